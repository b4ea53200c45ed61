"""The simulated network between controllers, workers, users and the services they call.

Links can be cut, machines can be unable to send or to receive, reports can arrive a second time,
any single message between a controller and a worker or a peer can be delayed by itself, and
requests that were delivered can arrive again (`message_copies`).
"""

import dataclasses
import enum
import json
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from sagecove.coordination.effects import CallResult, IncomingRequest, OutgoingCall
from sagecove.coordination.owner import Owner
from sagecove.lab.fakes import (
    AnswerCallback,
    FakeCloud,
    FakeStateService,
    FakeWorker,
    ignore_answer,
)
from sagecove.lab.message_copies import CopiedRequest, MessageCopies, RequestKind

# Time a message takes to a worker or a peer without further delay.
LINK_S = 0.002


class MessageKind(enum.Enum):
    """The messages that can be delayed one by one."""

    REPORT = "report"
    REPORT_ANSWER = "report answer"
    COMMAND = "command"
    COMMAND_ANSWER = "command answer"
    PEER_REQUEST = "peer request"
    PEER_ANSWER = "peer answer"


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message with its decoded content; source and target are names of machines or nodes."""

    kind: MessageKind
    source: str
    target: str
    body: Any

    def launches(self, task: str) -> bool:
        """Return whether the message orders a worker to start a task."""
        orders = self.body.get("orders", []) if isinstance(self.body, dict) else []
        return any(order["verb"] == "launch" and order["hand"] == task for order in orders)


class Network:
    """Delivers messages subject to faults. Mixed into `World`, which has the endpoints."""

    now: float
    random: Random
    node_count: int
    owners: dict[str, Owner]
    inboxes: dict[str, list[Any]]
    workers: dict[str, FakeWorker]
    state: FakeStateService
    cloud: FakeCloud

    def __init__(self) -> None:
        super().__init__()
        # Controllers that have no connection with any worker.
        self.nodes_cut_from_workers: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        # Machines whose reports arrive, but which get no answer and no command.
        self.receive_blocked_machines: set[str] = set()
        # Extra delay of each message between controllers and workers.
        self.link_delay_s = 0.0
        # Extra delay of a single message in seconds; None: no message is delayed by itself.
        self.message_delay_s: Callable[[Message], float] | None = None
        # Machines that get direct commands, but whose reports do not arrive.
        self.send_blocked_machines: set[str] = set()
        # Reports that these machines have sent, for `replay_report`.
        self.recorded_reports: dict[str, list[bytes]] = {}
        # Delays after which copies of these machines' reports arrive at a random controller.
        self.report_copy_delays_s: dict[str, list[float]] = {}
        # Ended controllers refuse connections; otherwise they do not answer, as without power.
        self.dead_nodes_refuse = False
        self.message_copies = MessageCopies(self.call_later)

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay on the simulated clock."""
        raise NotImplementedError

    def controller_names(self) -> list[str]:
        """Return the running controllers, or all of them if none is running."""
        raise NotImplementedError

    # -- faults ---------------------------------------------------------------------------------

    def partition(self, group: list[str], other_group: list[str]) -> None:
        """Cut all links between two groups of nodes and machines, until `cut_links` is cleared."""
        addresses = {f"n{i}": f"10.0.0.{i}:81" for i in range(self.node_count)}
        addresses |= {name: worker.cloud_record["addr"] for name, worker in self.workers.items()}
        for sources, destinations in ((group, other_group), (other_group, group)):
            # Machines call controllers by name; controllers call machines and peers by address.
            self.cut_links |= {(a, b) for a in sources for b in destinations}
            self.cut_links |= {(a, addresses[b]) for a in sources for b in destinations}

    def isolate_node(self, node: str, refused_by_state: bool) -> None:
        """Cut a controller off from its peers and the state service, which refuses its requests
        or does not answer them; workers and users still reach it."""
        self.partition([node], [n for n in self.inboxes if n != node])
        if refused_by_state:
            self.state.refused_nodes.add(node)
        else:
            self.cut_links.add((node, "state"))

    def _after_own_delay(
        self, kind: MessageKind, source: str, target: str, body: Any, deliver: Callable[[], None]
    ) -> None:
        """Deliver a message after the delay that it has by itself, at once if it has none."""
        delay_s = 0.0
        if self.message_delay_s is not None:
            delay_s = self.message_delay_s(Message(kind, source, target, body))
        if delay_s > 0:
            self.call_later(delay_s, deliver)
        else:
            deliver()

    def _with_delayed_answer(
        self, kind: MessageKind, source: str, target: str, answer: AnswerCallback
    ) -> AnswerCallback:
        """Return a callback that passes an answer on after the delay that it has by itself."""
        if self.message_delay_s is None:
            return answer

        def answer_delayed(status: int | None, raw: bytes) -> None:
            body = json.loads(raw) if raw else None
            self._after_own_delay(kind, source, target, body, lambda: answer(status, raw))

        return answer_delayed

    # -- calls of controllers -------------------------------------------------------------------

    def deliver_call(self, name: str, owner: Owner, call: OutgoingCall) -> None:
        """Send a controller's call to its target, subject to the network's faults."""
        raw = None if call.body is None else json.loads(msgspec.json.encode(call.body))
        answered = [False]

        def answer(status: int | None, body: bytes) -> None:
            if not answered[0] and self.owners.get(name) is owner:
                answered[0] = True
                self.inboxes[name].append(CallResult(call.token, status, body))

        self.call_later(call.timeout_s, lambda: answer(None, b""))
        if (name, call.target) in self.cut_links:
            return
        if call.target == "state":
            self.call_later(0.005, lambda: self._call_state_service(name, call, raw, answer))
        elif call.target == "cloud":
            self.call_later(
                0.05, lambda: self.cloud.handle_request(call.method, call.path, raw, answer)
            )
        else:
            if name in self.nodes_cut_from_workers and call.target.startswith("10.9."):
                return
            self.call_later(
                LINK_S + self.link_delay_s, lambda: self._deliver_to(name, call, raw, answer)
            )

    def _call_state_service(
        self, source: str, call: OutgoingCall, raw: Any, answer: AnswerCallback
    ) -> None:
        self.state.handle_request(source, call.method, call.path, raw, answer)
        if call.method == "POST":
            self.message_copies.schedule(
                CopiedRequest(RequestKind.STATE_WRITE, source, call.target, raw),
                lambda: self.state.handle_request(
                    source, call.method, call.path, raw, ignore_answer
                ),
            )

    def _deliver_to(
        self, source: str, call: OutgoingCall, raw: Any, answer: AnswerCallback
    ) -> None:
        """Deliver a controller's call to the worker or the peer with the target's address."""
        for worker in self.workers.values():
            if worker.cloud_record["addr"] == call.target and not worker.dead:
                self._call_worker(source, worker, call, raw, answer)
                return
        for name in self.owners:
            if f"10.0.0.{name[1:]}:81" == call.target:
                self._call_peer(source, name, call, raw, answer)

    def _call_worker(
        self, source: str, worker: FakeWorker, call: OutgoingCall, raw: Any, answer: AnswerCallback
    ) -> None:
        if worker.name in self.receive_blocked_machines:
            return
        answer = self._with_delayed_answer(MessageKind.COMMAND_ANSWER, worker.name, source, answer)

        def deliver() -> None:
            if worker.dead:
                return
            if call.path == "/show":
                if not worker.isolated and not worker.direct_commands_blocked:
                    answer(200, json.dumps(worker.report_body()).encode())
            elif worker.isolated or worker.direct_commands_blocked:
                worker.delayed_commands.append(raw)
            else:
                status, body = worker.handle_commands(raw)
                answer(status, body)
                if status == 200:
                    self.message_copies.schedule(
                        CopiedRequest(RequestKind.COMMAND, source, worker.name, raw),
                        lambda: self._deliver_command_copy(worker.name, raw),
                    )

        self._after_own_delay(MessageKind.COMMAND, source, worker.name, raw, deliver)

    def _deliver_command_copy(self, machine: str, raw: Any) -> None:
        """Deliver a copy of direct commands that were executed; nobody waits for the answer."""
        worker = self.workers.get(machine)
        if worker is None or worker.dead:
            return
        if worker.isolated or worker.direct_commands_blocked:
            worker.delayed_commands.append(raw)
            return
        status, _ = worker.handle_commands(raw)
        self.message_copies.command_copy_statuses[status] += 1

    def _call_peer(
        self, source: str, target: str, call: OutgoingCall, raw: Any, answer: AnswerCallback
    ) -> None:
        body = msgspec.json.encode(call.body)
        answer = self._with_delayed_answer(MessageKind.PEER_ANSWER, target, source, answer)

        def deliver_to_peer(answer: AnswerCallback) -> None:
            if target in self.owners:
                self.inboxes[target].append(
                    IncomingRequest(call.method, call.path, body, answer, True)
                )

        def deliver() -> None:
            deliver_to_peer(answer)
            self.message_copies.schedule(
                CopiedRequest(RequestKind.PEER_REQUEST, source, target, raw),
                lambda: deliver_to_peer(ignore_answer),
            )

        self._after_own_delay(MessageKind.PEER_REQUEST, source, target, raw, deliver)

    # -- requests of users and workers ----------------------------------------------------------

    def request_controller(
        self, node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        """Send a user's or worker's request to a controller, subject to the network's faults."""
        if path == "/hello" and isinstance(body, dict):
            self._send_report(node, body, answer)
        else:
            self.deliver_to_controller(node, method, path, body, answer)
            self.message_copies.schedule(
                CopiedRequest(RequestKind.USER_REQUEST, "user", node, body),
                lambda: self.deliver_to_controller(node, method, path, body, ignore_answer),
            )

    def _send_report(self, node: str, body: dict[str, Any], answer: AnswerCallback) -> None:
        name = body["mount"]
        if (
            node in self.nodes_cut_from_workers
            or (name, node) in self.cut_links
            or name in self.send_blocked_machines
        ):
            return
        raw_report = json.dumps(body).encode()
        if name in self.recorded_reports:
            self.recorded_reports[name].append(raw_report)
        for delay in self.report_copy_delays_s.get(name, ()):
            self.call_later(delay, lambda: self._replay_copy(raw_report))
        blocked = name in self.receive_blocked_machines
        send_answer = self._with_delayed_answer(MessageKind.REPORT_ANSWER, node, name, answer)

        def pass_answer(status: int | None, raw: bytes) -> None:
            if not blocked:
                send_answer(status, raw)

        def deliver() -> None:
            self.deliver_to_controller(node, "POST", "/hello", raw_report, pass_answer)

        def send() -> None:
            self._after_own_delay(MessageKind.REPORT, name, node, body, deliver)

        if self.link_delay_s:
            self.call_later(self.link_delay_s, send)
        else:
            send()

    def deliver_to_controller(
        self, node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        """Put a request into a controller's inbox; an ended controller refuses or ignores it."""
        if node in self.owners:
            raw = body if isinstance(body, bytes) else json.dumps(body).encode()
            self.inboxes[node].append(IncomingRequest(method, path, raw, answer))
        elif node not in self.owners and self.dead_nodes_refuse:
            self.call_later(0.01, lambda: answer(None, b""))

    def _replay_copy(self, raw: bytes) -> None:
        """Deliver a copy of a report to a random controller, as a network duplicate."""
        self.replay_report(raw, [self.random.choice(self.controller_names())])

    def replay_report(self, raw: bytes, nodes: list[str]) -> list[int]:
        """Deliver a copy of a report to controllers; the returned list gets their statuses."""
        statuses: list[int] = []
        for node in nodes:
            if node in self.owners:
                answer = lambda status, body: statuses.append(status or 0)  # noqa: E731
                self.inboxes[node].append(IncomingRequest("POST", "/hello", raw, answer))
        return statuses

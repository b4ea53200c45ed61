"""Controllers and stand-ins on a fake clock, advanced together; the rules are checked as they go.

The controllers are the real owners, without sockets. Everything is seeded, so each story plays the
same every time.
"""

import heapq
import itertools
import json
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from sagecove.coordination.effects import CallResult, IncomingRequest, OutgoingCall, Reply
from sagecove.coordination.ledger_check import ledger_differences
from sagecove.coordination.owner import Owner
from sagecove.lab.deployment import controller_settings
from sagecove.lab.fakes import AnswerCallback, FakeCloud, FakeStateService, FakeWorker
from sagecove.lab.rule_checker import RuleChecker


class World(RuleChecker):
    """Controllers and stand-ins, advanced together; the rules are checked at every start."""

    def __init__(
        self,
        node_count: int = 3,
        seed: int = 1,
        features: Any = None,
        checks_ledgers: bool = True,
        teams: list[dict[str, Any]] | None = None,
    ) -> None:
        super().__init__()
        if teams is not None:
            self.teams = teams
        # What controllers are started with: changed, it is what those started later go by.
        self.controller_teams = self.teams
        self.features = features
        # Count the books anew after each batch: linear in all there is, so not where time is taken.
        self.checks_ledgers = checks_ledgers
        self.now = 1000.0
        self.random = Random(seed)
        self.scheduled_actions: list[tuple[float, int, Callable[[], None]]] = []
        self.action_order = itertools.count()
        self.owners: dict[str, Owner] = {}
        self.inboxes: dict[str, list[Any]] = {}
        self.state = FakeStateService(self)
        self.cloud = FakeCloud(self)
        # Controllers that workers cannot reach, nor they the workers.
        self.nodes_cut_from_workers: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        # Machines whose reports arrive, while no answer or command reaches them.
        self.receive_blocked_machines: set[str] = set()
        # What each message between controllers and workers takes on its way, beside the usual.
        self.link_delay_s = 0.0
        # Machines that reach no controller, while direct commands reach them.
        self.send_blocked_machines: set[str] = set()
        # Reports of these machines, as they were sent: `again` has them arrive once more.
        self.recorded_reports: dict[str, list[bytes]] = {}
        # After how long reports of these machines arrive once more, at whatever controller.
        self.report_copy_delays_s: dict[str, list[float]] = {}
        # Controllers that stand still, and until when; the second kind has decided already, and
        # what it decided leaves only afterwards.
        self.paused_until: dict[str, float] = {}
        self.output_held_until: dict[str, float] = {}
        # Controllers that have ended refuse connections; else they are silent, as without power.
        self.dead_nodes_refuse = False
        self.node_count = node_count
        for i in range(node_count):
            self.start_node(i)

    # -- time -----------------------------------------------------------------------------------

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.scheduled_actions, (self.now + delay, next(self.action_order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.02, 6)
            while self.scheduled_actions and self.scheduled_actions[0][0] <= self.now:
                heapq.heappop(self.scheduled_actions)[2]()
            self.state.tick()
            for name in list(self.owners):
                self.step_node(name)
            acting = [s for o in self.owners.values() for s in o.shards.active_shards(self.now)]
            assert len(acting) == len(set(acting)), f"two holders act for a shard: {acting}"
            self.check_rules()

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        begun = self.now
        while not condition():
            assert self.now - begun < timeout_s, "it took too long"
            self.run(0.1)
        return self.now - begun

    def fetch_description(self, job_id: str, done: Callable[[dict[str, Any] | None], None]) -> None:
        """What its user uploaded; a sweep's point is described by any controller."""
        if job_id in self.specs or not self.features:
            done(self.specs.get(job_id))
            return
        left = self.controller_names()
        self.random.shuffle(left)

        def ask() -> None:
            if not left:
                done(None)
                return
            answered = [False]

            def answer(status: int | None, body: bytes) -> None:
                if answered[0]:
                    return
                answered[0] = True
                if status == 200:
                    self.specs[job_id] = json.loads(body)
                    done(self.specs[job_id])
                else:
                    ask()

            self.request_controller(
                left.pop(), "GET", f"/api/jobs/{job_id}/description", b"", answer
            )
            self.call_later(2.0, lambda: answer(None, b""))

        ask()

    def controller_names(self) -> list[str]:
        return sorted(self.owners) or sorted(self.inboxes)

    def partition(self, left: list[str], right: list[str]) -> None:
        """Two groups of controllers and machines cannot reach each other, until `cut_links` is
        cleared."""
        addresses = {f"n{i}": f"10.0.0.{i}:81" for i in range(self.node_count)}
        addresses |= {name: worker.cloud_record["addr"] for name, worker in self.workers.items()}
        for one, other in ((left, right), (right, left)):
            # Machines call controllers by name, controllers call others by address.
            self.cut_links |= {(a, b) for a in one for b in other}
            self.cut_links |= {(a, addresses[b]) for a in one for b in other}

    def isolate_node(self, node: str, refusing: bool) -> None:
        """A controller has only its workers and users left; the state service refuses it, or is
        silent."""
        self.partition([node], [n for n in self.inboxes if n != node])
        if refusing:
            self.state.refused_nodes.add(node)
        else:
            self.cut_links.add((node, "state"))

    # -- controllers ----------------------------------------------------------------------------

    def start_node(self, number: int) -> None:
        name = f"n{number}"
        self.owners[name] = Owner(
            controller_settings(number, self.node_count, self.controller_teams),
            *(Random(number + 7), self.now, self.now, self.features),
        )
        self.inboxes[name] = []

    def kill_node(self, name: str) -> None:
        del self.owners[name]

    def step_node(self, name: str) -> None:
        owner = self.owners[name]
        if self.now < self.paused_until.get(name, 0.0):
            return
        batch, self.inboxes[name] = self.inboxes[name], []
        if (
            not batch
            and owner.seconds_until_due() > 0.02
            and self.now - owner.now < owner.seconds_until_due()
        ):
            return
        effects = owner.handle(batch, self.now, self.now)
        if self.checks_ledgers and (wrong := ledger_differences(owner)):
            raise AssertionError(f"{name}: the books are wrong: {'; '.join(wrong[:5])}")
        if (until := self.output_held_until.pop(name, None)) is not None and effects:
            self.paused_until[name] = until
            self.call_later(until - self.now, lambda: self.send_effects(name, owner, effects))
        else:
            self.send_effects(name, owner, effects)

    def send_effects(self, name: str, owner: Owner, effects: list[Any]) -> None:
        if self.owners.get(name) is not owner:
            return
        for effect in effects:
            if isinstance(effect, Reply):
                effect.exchange(effect.status, msgspec.json.encode(effect.body))
            else:
                self.deliver_call(name, owner, effect)

    def deliver_call(self, name: str, owner: Owner, call: OutgoingCall) -> None:
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
            self.call_later(
                0.005, lambda: self.state.handle_request(name, call.method, call.path, raw, answer)
            )
        elif call.target == "cloud":
            self.call_later(
                0.05, lambda: self.cloud.handle_request(call.method, call.path, raw, answer)
            )
        else:
            if name in self.nodes_cut_from_workers and call.target.startswith("10.9."):
                return
            self.call_later(
                0.002 + self.link_delay_s, lambda: self._deliver_addr(call, raw, answer)
            )

    def _deliver_addr(self, call: OutgoingCall, raw: Any, answer: AnswerCallback) -> None:
        for worker in self.workers.values():
            if worker.cloud_record["addr"] == call.target and not worker.dead:
                if worker.name in self.receive_blocked_machines:
                    return
                if call.path == "/show":
                    if not worker.isolated and not worker.direct_commands_blocked:
                        answer(200, json.dumps(worker.report_body()).encode())
                elif worker.isolated or worker.direct_commands_blocked:
                    worker.delayed_commands.append(raw)
                else:
                    answer(*worker.handle_commands(raw))
                return
        for name in self.owners:
            if f"10.0.0.{name[1:]}:81" == call.target:
                body = msgspec.json.encode(call.body)
                self.inboxes[name].append(
                    IncomingRequest(call.method, call.path, body, answer, True)
                )

    # -- users and workers ----------------------------------------------------------------------

    def request_controller(
        self,
        node: str,
        method: str,
        path: str,
        body: Any,
        answer: AnswerCallback,
    ) -> None:
        if path == "/hello" and isinstance(body, dict):
            name = body["mount"]
            if (
                node in self.nodes_cut_from_workers
                or (name, node) in self.cut_links
                or name in self.send_blocked_machines
            ):
                return
            if name in self.recorded_reports:
                self.recorded_reports[name].append(json.dumps(body).encode())
            for delay in self.report_copy_delays_s.get(name, ()):
                self.call_later(delay, lambda: self._copy(json.dumps(body).encode()))
            given, told = answer, name in self.receive_blocked_machines
            answer = lambda status, raw: None if told else given(status, raw)  # noqa: E731
            if self.link_delay_s:
                slow = json.dumps(body).encode()
                self.call_later(
                    self.link_delay_s,
                    lambda: self.deliver_to_controller(node, method, path, slow, answer),
                )
                return
        self.deliver_to_controller(node, method, path, body, answer)

    def deliver_to_controller(
        self, node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        """A request arrives, or finds nobody."""
        if node in self.owners:
            raw = body if isinstance(body, bytes) else json.dumps(body).encode()
            self.inboxes[node].append(IncomingRequest(method, path, raw, answer))
        elif node not in self.owners and self.dead_nodes_refuse:
            self.call_later(0.01, lambda: answer(None, b""))

    def _copy(self, raw: bytes) -> None:
        """A report arrives once more; whoever sent it has long had its answer."""
        self.replay_report(raw, [self.random.choice(self.controller_names())])

    def replay_report(self, raw: bytes, nodes: list[str]) -> list[int]:
        """A report arrives once more, at these controllers; the statuses of their answers."""
        told: list[int] = []
        for node in nodes:
            if node in self.owners:
                answer = lambda status, body: told.append(status or 0)  # noqa: E731
                self.inboxes[node].append(IncomingRequest("POST", "/hello", raw, answer))
        return told

    def start_user_request(self, node: str, method: str, path: str, body: Any = b"") -> None:
        """A user's request beside others: its answer is held against what users had been told
        before it was made."""
        begun, told = next(self.answer_counter), [False]

        def answer(status: int | None, raw: bytes) -> None:
            if not told[0]:
                told[0] = True
                self.check_user_answer(path, body, status, raw, begun)

        self.request_controller(node, method, path, body, answer)

    def check_user_answer(
        self, path: str, body: Any, status: int | None, raw: bytes, asked_at: int | None = None
    ) -> Any:
        """A user was given this answer about a job: the rules hear of it."""
        told = json.loads(raw) if raw else None
        about, new = self._about(path, body), path == "/api/jobs"
        self.record_answer(about, status or 0, told, submitted=new, asked_at=asked_at)
        return told

    def user_request(self, node: str, method: str, path: str, body: Any = b"") -> tuple[int, Any]:
        """A user's request, waited for."""
        got: list[tuple[int, Any]] = []
        answer = lambda s, b: got.append((s or 0, json.loads(b) if b else None))  # noqa: E731
        self.request_controller(node, method, path, body, answer)
        begun = self.now
        while not got and self.now - begun < 6:
            self.run(0.02)
        if path.startswith("/api/jobs"):
            told = got[0] if got else (0, None)
            self.record_answer(self._about(path, body), *told, submitted=path == "/api/jobs")
        if got and (method, path) == ("POST", "/api/sweeps") and got[0][0] in (200, 201):
            self.accepted_sweeps.add(body["id"])
        return got[0] if got else (0, None)

    @staticmethod
    def _about(path: str, body: Any) -> str:
        if path == "/api/jobs":
            try:
                told = json.loads(body) if isinstance(body, bytes) else body
            except ValueError:
                return ""
            return str(told.get("nameId")) if isinstance(told, dict) else ""
        return path.split("/")[3]

    def poll_jobs(self, interval_s: float = 5.0) -> None:
        """From now on users ask for each accepted job every few seconds, at any controller."""
        for job_id in list(self.reported_states):
            if self.reported_states[job_id] not in ("done", "aborted"):
                self._poll(job_id)
        self.call_later(interval_s, lambda: self.poll_jobs(interval_s))

    def _poll(self, job_id: str) -> None:
        told: list[int] = []

        def answer(status: int | None, raw: bytes) -> None:
            if not told:
                told.append(status or 0)
                body = json.loads(raw) if raw else None
                self.record_answer(job_id, status or 0, body, submitted=False)

        node = self.random.choice(self.controller_names())
        self.request_controller(node, "GET", f"/api/jobs/{job_id}", b"", answer)
        self.call_later(2.0, lambda: answer(None, b""))

    def add_spec(self, spec: dict[str, Any]) -> dict[str, Any]:
        """Make a submission known to the workers."""
        self.specs[spec["nameId"]] = spec
        return spec

    def submit(self, node: str, spec: dict[str, Any]) -> tuple[int, Any]:
        return self.user_request(node, "POST", "/api/jobs", self.add_spec(spec))

    def machine_booted(self, name: str) -> None:
        if name in self.cloud.machines:
            self.cloud.machines[name]["standing"] = "running"
            self.workers[name] = FakeWorker(self, name, self.cloud.machines[name])


def world_with_machines(count: int) -> World:
    """Three controllers that are up, with small machines in two zones."""
    world = World()
    for i in range(count):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    return world


def job_state(w: World, node: str, job_id: str) -> str:
    """What a node tells of a job: its state, or the status of a refusal."""
    status, body = w.user_request(node, "GET", f"/api/jobs/{job_id}")
    return body["standing"] if status == 200 else str(status)

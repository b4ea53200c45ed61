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
from sagecove.lab.deployment import settings
from sagecove.lab.models import Answer, FakeCloud, FakeState, FakeWorker
from sagecove.lab.rules import Rules


class World(Rules):
    """Controllers and stand-ins, advanced together; the rules are checked at every start."""

    def __init__(
        self,
        nodes: int = 3,
        seed: int = 1,
        features: Any = None,
        audit: bool = True,
        teams: list[dict[str, Any]] | None = None,
    ) -> None:
        super().__init__()
        if teams is not None:
            self.teams = teams
        # What controllers are started with: changed, it is what those started later go by.
        self.configured = self.teams
        self.features = features
        # Count the books anew after each batch: linear in all there is, so not where time is taken.
        self.audit = audit
        self.now = 1000.0
        self.random = Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.owners: dict[str, Owner] = {}
        self.inbox: dict[str, list[Any]] = {}
        self.state = FakeState(self)
        self.cloud = FakeCloud(self)
        # Controllers that workers cannot reach, nor they the workers.
        self.deaf: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        # Machines whose reports arrive, while no answer or command reaches them.
        self.unreached: set[str] = set()
        # What each message between controllers and workers takes on its way, beside the usual.
        self.link_s = 0.0
        # Machines that reach no controller, while direct commands reach them.
        self.mute: set[str] = set()
        # Reports of these machines, as they were sent: `again` has them arrive once more.
        self.overheard: dict[str, list[bytes]] = {}
        # After how long reports of these machines arrive once more, at whatever controller.
        self.copies: dict[str, list[float]] = {}
        # Controllers that stand still, and until when; the second kind has decided already, and
        # what it decided leaves only afterwards.
        self.still: dict[str, float] = {}
        self.decided: dict[str, float] = {}
        # Controllers that have ended refuse connections; else they are silent, as without power.
        self.refuses = False
        self.nodes = nodes
        for i in range(nodes):
            self.boot_node(i)

    # -- time -----------------------------------------------------------------------------------

    def later(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.02, 6)
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            self.state.tick()
            for name in list(self.owners):
                self.turn(name)
            acting = [s for o in self.owners.values() for s in o.shards.active_shards(self.now)]
            assert len(acting) == len(set(acting)), f"two holders act for a shard: {acting}"
            self.check()

    def until(self, condition: Callable[[], bool], most: float) -> float:
        begun = self.now
        while not condition():
            assert self.now - begun < most, "it took too long"
            self.run(0.1)
        return self.now - begun

    def describe(self, job_id: str, done: Callable[[dict[str, Any] | None], None]) -> None:
        """What its user uploaded; a sweep's point is described by any controller."""
        if job_id in self.specs or not self.features:
            done(self.specs.get(job_id))
            return
        left = self.controllers()
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

            self.ask(left.pop(), "GET", f"/api/jobs/{job_id}/description", b"", answer)
            self.later(2.0, lambda: answer(None, b""))

        ask()

    def controllers(self) -> list[str]:
        return sorted(self.owners) or sorted(self.inbox)

    def part(self, left: list[str], right: list[str]) -> None:
        """Two groups of controllers and machines cannot reach each other, until `cut_links` is
        cleared."""
        addresses = {f"n{i}": f"10.0.0.{i}:81" for i in range(self.nodes)}
        addresses |= {name: worker.info["addr"] for name, worker in self.workers.items()}
        for one, other in ((left, right), (right, left)):
            # Machines call controllers by name, controllers call others by address.
            self.cut_links |= {(a, b) for a in one for b in other}
            self.cut_links |= {(a, addresses[b]) for a in one for b in other}

    def alone(self, node: str, refusing: bool) -> None:
        """A controller has only its workers and users left; the state service refuses it, or is
        silent."""
        self.part([node], [n for n in self.inbox if n != node])
        if refusing:
            self.state.refused.add(node)
        else:
            self.cut_links.add((node, "state"))

    # -- controllers ----------------------------------------------------------------------------

    def boot_node(self, number: int) -> None:
        name = f"n{number}"
        self.owners[name] = Owner(
            settings(number, self.nodes, self.configured),
            *(Random(number + 7), self.now, self.now, self.features),
        )
        self.inbox[name] = []

    def kill(self, name: str) -> None:
        del self.owners[name]

    def turn(self, name: str) -> None:
        owner = self.owners[name]
        if self.now < self.still.get(name, 0.0):
            return
        batch, self.inbox[name] = self.inbox[name], []
        if (
            not batch
            and owner.seconds_until_due() > 0.02
            and self.now - owner.now < owner.seconds_until_due()
        ):
            return
        effects = owner.handle(batch, self.now, self.now)
        if self.audit and (wrong := ledger_differences(owner)):
            raise AssertionError(f"{name}: the books are wrong: {'; '.join(wrong[:5])}")
        if (until := self.decided.pop(name, None)) is not None and effects:
            self.still[name] = until
            self.later(until - self.now, lambda: self.emit(name, owner, effects))
        else:
            self.emit(name, owner, effects)

    def emit(self, name: str, owner: Owner, effects: list[Any]) -> None:
        if self.owners.get(name) is not owner:
            return
        for effect in effects:
            if isinstance(effect, Reply):
                effect.exchange(effect.status, msgspec.json.encode(effect.body))
            else:
                self.deliver(name, owner, effect)

    def deliver(self, name: str, owner: Owner, call: OutgoingCall) -> None:
        raw = None if call.body is None else json.loads(msgspec.json.encode(call.body))
        answered = [False]

        def answer(status: int | None, body: bytes) -> None:
            if not answered[0] and self.owners.get(name) is owner:
                answered[0] = True
                self.inbox[name].append(CallResult(call.token, status, body))

        self.later(call.timeout_s, lambda: answer(None, b""))
        if (name, call.target) in self.cut_links:
            return
        if call.target == "state":
            self.later(0.005, lambda: self.state.request(name, call.method, call.path, raw, answer))
        elif call.target == "cloud":
            self.later(0.05, lambda: self.cloud.request(call.method, call.path, raw, answer))
        else:
            if name in self.deaf and call.target.startswith("10.9."):
                return
            self.later(0.002 + self.link_s, lambda: self._deliver_addr(call, raw, answer))

    def _deliver_addr(self, call: OutgoingCall, raw: Any, answer: Answer) -> None:
        for worker in self.workers.values():
            if worker.info["addr"] == call.target and not worker.dead:
                if worker.name in self.unreached:
                    return
                if call.path == "/show":
                    if not worker.cut and not worker.cut_direct:
                        answer(200, json.dumps(worker.body()).encode())
                elif worker.cut or worker.cut_direct:
                    worker.held.append(raw)
                else:
                    answer(*worker.commands(raw))
                return
        for name in self.owners:
            if f"10.0.0.{name[1:]}:81" == call.target:
                body = msgspec.json.encode(call.body)
                self.inbox[name].append(IncomingRequest(call.method, call.path, body, answer, True))

    # -- users and workers ----------------------------------------------------------------------

    def ask(
        self,
        node: str,
        method: str,
        path: str,
        body: Any,
        answer: Answer,
    ) -> None:
        if path == "/hello" and isinstance(body, dict):
            name = body["mount"]
            if node in self.deaf or (name, node) in self.cut_links or name in self.mute:
                return
            if name in self.overheard:
                self.overheard[name].append(json.dumps(body).encode())
            for delay in self.copies.get(name, ()):
                self.later(delay, lambda: self._copy(json.dumps(body).encode()))
            given, told = answer, name in self.unreached
            answer = lambda status, raw: None if told else given(status, raw)  # noqa: E731
            if self.link_s:
                slow = json.dumps(body).encode()
                self.later(self.link_s, lambda: self.ask_now(node, method, path, slow, answer))
                return
        self.ask_now(node, method, path, body, answer)

    def ask_now(self, node: str, method: str, path: str, body: Any, answer: Answer) -> None:
        """A request arrives, or finds nobody."""
        if node in self.owners:
            raw = body if isinstance(body, bytes) else json.dumps(body).encode()
            self.inbox[node].append(IncomingRequest(method, path, raw, answer))
        elif node not in self.owners and self.refuses:
            self.later(0.01, lambda: answer(None, b""))

    def _copy(self, raw: bytes) -> None:
        """A report arrives once more; whoever sent it has long had its answer."""
        self.again(raw, [self.random.choice(self.controllers())])

    def again(self, raw: bytes, nodes: list[str]) -> list[int]:
        """A report arrives once more, at these controllers; the statuses of their answers."""
        told: list[int] = []
        for node in nodes:
            if node in self.owners:
                answer = lambda status, body: told.append(status or 0)  # noqa: E731
                self.inbox[node].append(IncomingRequest("POST", "/hello", raw, answer))
        return told

    def look(self, node: str, method: str, path: str, body: Any = b"") -> None:
        """A user's request beside others: its answer is held against what users had been told
        before it was made."""
        begun, told = next(self.moments), [False]

        def answer(status: int | None, raw: bytes) -> None:
            if not told[0]:
                told[0] = True
                self.heard(path, body, status, raw, begun)

        self.ask(node, method, path, body, answer)

    def heard(
        self, path: str, body: Any, status: int | None, raw: bytes, begun: int | None = None
    ) -> Any:
        """A user was given this answer about a job: the rules hear of it."""
        told = json.loads(raw) if raw else None
        about, new = self._about(path, body), path == "/api/jobs"
        self.answered(about, status or 0, told, submitted=new, begun=begun)
        return told

    def user(self, node: str, method: str, path: str, body: Any = b"") -> tuple[int, Any]:
        """A user's request, waited for."""
        got: list[tuple[int, Any]] = []
        answer = lambda s, b: got.append((s or 0, json.loads(b) if b else None))  # noqa: E731
        self.ask(node, method, path, body, answer)
        begun = self.now
        while not got and self.now - begun < 6:
            self.run(0.02)
        if path.startswith("/api/jobs"):
            told = got[0] if got else (0, None)
            self.answered(self._about(path, body), *told, submitted=path == "/api/jobs")
        if got and (method, path) == ("POST", "/api/sweeps") and got[0][0] in (200, 201):
            self.sweeps.add(body["id"])
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

    def poll_all(self, gap_s: float = 5.0) -> None:
        """From now on users ask for each accepted job every few seconds, at any controller."""
        for job_id in list(self.told):
            if self.told[job_id] not in ("done", "aborted"):
                self._poll(job_id)
        self.later(gap_s, lambda: self.poll_all(gap_s))

    def _poll(self, job_id: str) -> None:
        told: list[int] = []

        def answer(status: int | None, raw: bytes) -> None:
            if not told:
                told.append(status or 0)
                body = json.loads(raw) if raw else None
                self.answered(job_id, status or 0, body, submitted=False)

        node = self.random.choice(self.controllers())
        self.ask(node, "GET", f"/api/jobs/{job_id}", b"", answer)
        self.later(2.0, lambda: answer(None, b""))

    def spec(self, spec: dict[str, Any]) -> dict[str, Any]:
        """Make a submission known to the workers."""
        self.specs[spec["nameId"]] = spec
        return spec

    def submit(self, node: str, spec: dict[str, Any]) -> tuple[int, Any]:
        return self.user(node, "POST", "/api/jobs", self.spec(spec))

    def boot(self, name: str) -> None:
        if name in self.cloud.machines:
            self.cloud.machines[name]["standing"] = "running"
            self.workers[name] = FakeWorker(self, name, self.cloud.machines[name])


def with_machines(count: int) -> World:
    """Three controllers that are up, with small machines in two zones."""
    world = World()
    for i in range(count):
        world.cloud.start("small", "ab"[i % 2], False)
    world.run(3)
    return world


def standing(w: World, node: str, job_id: str) -> str:
    """What a node tells of a job: its state, or the status of a refusal."""
    status, body = w.user(node, "GET", f"/api/jobs/{job_id}")
    return body["standing"] if status == 200 else str(status)

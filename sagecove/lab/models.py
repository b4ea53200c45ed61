"""ONE model of each outside system: the state service, the cloud, and a machine's worker.

They answer PROTOCOL at the level of requests and know neither sockets nor clocks: a `Site` gives
them time, chance and a network. On a fake clock that is the stories' `World`; on loopback it is
`sagecove dev`. Faults are switches on the models.
"""

import json
from bisect import bisect_right
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from sagecove.lab.deployment import GANG_WAIT_S, LEASE_S, REPORT_S, TYPES

Answer = Callable[[int | None, bytes], None]


class Site(Protocol):
    """What the models need of their surroundings. Times in seconds of the site's own clock."""

    random: Random
    workers: "dict[str, FakeWorker]"
    # Jobs that were submitted with a mistake: they fail wherever they run.
    broken: set[str]
    completed: set[str]

    @property
    def now(self) -> float:
        """The site's clock."""

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""

    def controllers(self) -> list[str]:
        """Names that workers know, sorted."""

    def ask(self, node: str, method: str, path: str, body: Any, answer: Answer) -> None:
        """A worker's request to a controller; no answer at all if it cannot be reached."""

    def boot(self, name: str) -> None:
        """A rented machine has come up: start its worker."""

    def describe(self, job_id: str, done: Callable[[dict[str, Any] | None], None]) -> None:
        """Fetch a job's description as workers do; None if there is none."""

    def started(self, worker: "FakeWorker", task: str) -> None:
        """A task has just been started: the rules are checked here."""


class FakeState:
    """The state service: conditions, leases, watch, outage."""

    def __init__(self, world: Site) -> None:
        self.world = world
        self.ledger = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: list[tuple[int, str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.watches: list[tuple[str, str, int, float, Answer]] = []
        self.down = False
        self.refused: set[str] = set()
        self.forgets_before = 0
        self.next_lease = 1
        # Small, so that paging is always exercised.
        self.page = 3
        # Seconds until a request is answered, after it was executed: longer than its sender's
        # patience, and the answer comes after the client gave up.
        self.slow_s = 0.0
        # Seconds until the answer to one request, by who asks and its path; None: `slow_s`.
        self.answer_after: Callable[[str, str], float] | None = None
        # Answers 429 to all but renewals.
        self.storm = False
        # Called with each transaction; what becomes of it: None for the usual, or `lost` (not
        # executed, no answer), `unanswered`, `late` (no answer, executed later), `throttled` or
        # `refused`.
        self.hook: Callable[[str, dict[str, Any]], str | None] | None = None

    def tick(self) -> None:
        now = self.world.now
        if not self.down:
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    self.end(lease)
        for watch in list(self.watches):
            node, prefix, since, until, answer = watch
            events = self.events(prefix, since)
            # Open ones wait through an outage, and of one that is refused alone as well.
            waits = self.down or node in self.refused
            if not waits and (events or now >= until):
                self.watches.remove(watch)
                answer(200, self.dump({"ledger": self.ledger, "events": events}))

    def end(self, lease: int) -> None:
        del self.leases[lease]
        gone = [k for k, (_, _, owner) in self.keys.items() if owner == lease]
        if gone:
            self.ledger += 1
            for key in gone:
                del self.keys[key]
                self.changes.append((self.ledger, key, None))

    def outage(self, on: bool) -> None:
        self.down = on
        if not on:
            for lease, (_, ttl) in list(self.leases.items()):
                self.leases[lease] = (self.world.now + ttl, ttl)

    def events(self, prefix: str, since: int) -> list[dict[str, Any]]:
        last: dict[str, tuple[int, Any]] = {}
        begin = bisect_right(self.changes, since, key=lambda change: change[0])
        for ledger, key, value in self.changes[begin:]:
            if key.startswith(prefix):
                last[key] = (ledger, value)
        return [
            {"drop": k, "stamp": s} if v is None else {"put": k, "v": v, "stamp": s}
            for k, (s, v) in last.items()
        ]

    @staticmethod
    def dump(body: Any) -> bytes:
        return json.dumps(body).encode()

    def commit(self, body: dict[str, Any]) -> tuple[int, bytes]:
        failed = [
            c["path"]
            for c in body["if"]
            if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]
        ]
        for change in body["then"]:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, self.dump({"error": "no such lease"})
        if failed:
            return 409, self.dump({"failed": failed, "ledger": self.ledger})
        assert len(body["then"]) <= 12
        self.ledger += 1
        for change in body["then"]:
            if "put" in change:
                assert len(json.dumps(change["v"])) <= 16 * 1024
                self.keys[change["put"]] = (change["v"], self.ledger, change.get("tenure"))
                self.changes.append((self.ledger, change["put"], change["v"]))
            elif self.keys.pop(change["drop"], None):
                self.changes.append((self.ledger, change["drop"], None))
        return 200, self.dump({"ledger": self.ledger})

    def request(
        self,
        node: str,
        method: str,
        path: str,
        body: Any,
        answer: Answer,
    ) -> None:
        wait_s = self.answer_after(node, path) if self.answer_after else self.slow_s
        if wait_s:
            given = answer

            def answer(status: int | None, body: bytes) -> None:
                self.world.later(wait_s, lambda: given(status, body))

        if self.storm and not path.endswith("/renew"):
            answer(429, b"{}")
            return
        if path.startswith("/watch"):
            args = dict(p.split("=") for p in path.partition("?")[2].split("&"))
            if self.down or node in self.refused:
                answer(503, b"{}")
            elif int(args["from"]) < self.forgets_before:
                answer(410, b"{}")
            else:
                until = self.world.now + int(args["blockMs"]) / 1000
                self.watches.append((node, args["prefix"], int(args["from"]), until, answer))
                self.tick()
            return
        if self.down or node in self.refused:
            answer(503, b"{}")
            return
        if path == "/commit":
            verdict = self.hook(node, body) if self.hook else None
            if verdict == "lost":
                answer(None, b"")
                return
            if verdict == "late":
                # No answer, and executed much later.
                self.world.later(
                    self.world.random.uniform(3, 15), lambda: (self.commit(body), None)[1]
                )
                answer(None, b"")
                return
            if verdict in ("throttled", "refused"):
                answer(429 if verdict == "throttled" else 503, b"{}")
                return
            result = self.commit(body)
            self.world.later(0.0, self.tick)
            if verdict == "unanswered":
                answer(None, b"")
            else:
                answer(*result)
        elif path == "/grants":
            lease = self.next_lease
            self.next_lease += 1
            ttl = body["lifeMs"] / 1000
            self.leases[lease] = (self.world.now + ttl, ttl)
            answer(200, self.dump({"tenure": lease}))
        elif path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                answer(404, b"{}")
            else:
                ttl = self.leases[lease][1]
                self.leases[lease] = (self.world.now + ttl, ttl)
                answer(200, self.dump({"tenure": lease}))
        elif path.startswith("/store?"):
            args = dict(p.split("=") for p in path.partition("?")[2].split("&"))
            keys = sorted(
                k for k in self.keys if k.startswith(args["prefix"]) and k > args.get("from", "")
            )
            part = keys[: self.page]
            pairs = [{"path": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in part]
            answer(
                200,
                self.dump(
                    {"pairs": pairs, "truncated": len(keys) > self.page, "ledger": self.ledger}
                ),
            )
        else:
            key = path[len("/store/") :]
            if key in self.keys:
                value, stamp, _ = self.keys[key]
                answer(200, self.dump({"path": key, "v": value, "stamp": stamp}))
            else:
                answer(404, self.dump({"ledger": self.ledger}))


class FakeCloud:
    """The cloud: rentals by unique names, boots, deletions, a list that lags."""

    def __init__(self, world: Site) -> None:
        self.world = world
        self.requests: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.number = 0
        self.capacity = {"small": 50, "gpu": 4}
        self.never_boot = 0
        self.boot_s = 10.0
        # Seconds that one machine takes to boot, by its number; None: `boot_s`.
        self.boots: Callable[[int], float] | None = None
        # Where a machine of this name will listen.
        self.address: Callable[[str], str] = lambda name: f"10.9.0.{int(name[3:]) + 1}:9"
        self.lag_s = 4.0
        self.refuses = False
        self.deleted: list[str] = []

    def start(self, sku: str, zone: str, spot: bool, boot: float = 0.0) -> str:
        name = f"vm-{self.number:06d}"
        self.number += 1
        self.machines[name] = {
            "nameId": name,
            "addr": self.address(name),
            "breed": sku,
            "range": zone,
            "borrowed": spot,
            "standing": "booting",
            "at": self.world.now,
        }
        if self.never_boot > 0:
            self.never_boot -= 1
        else:
            if boot and self.boots is not None:
                boot = self.boots(self.number)
            self.world.later(boot, lambda: self.world.boot(name))
        return name

    def request(self, method: str, path: str, body: Any, answer: Answer) -> None:
        if self.refuses:
            answer(503, b'{"error":"trouble"}')
        elif path == "/flavors":
            answer(200, json.dumps({"breeds": TYPES}).encode())
        elif path == "/machines":
            name = body["hire"]
            if name not in self.requests:
                have = sum(1 for m in self.machines.values() if m["breed"] == body["breed"])
                count = min(body["howMany"], self.capacity[body["breed"]] - have)
                if count <= 0:
                    answer(503, b'{"error":"no capacity"}')
                    return
                self.requests[name] = [
                    self.start(body["breed"], body["range"], body["borrowed"], self.boot_s)
                    for _ in range(count)
                ]
            answer(200, json.dumps({"mounts": self.requests[name]}).encode())
        elif path == "/machines/delete":
            for name in body["mounts"]:
                self.deleted.append(name)
                self.machines.pop(name, None)
                worker = self.world.workers.pop(name, None)
                if worker is not None:
                    worker.tasks = {}
                    worker.dead = True
            answer(200, b"{}")
        else:
            listed = [
                {**m, "heldS": self.world.now - m["at"]}
                for m in self.machines.values()
                if self.world.now - m["at"] > self.lag_s
            ]
            answer(200, json.dumps({"mounts": listed, "truncated": False}).encode())


class FakeWorker:
    """A machine's worker: tasks, tokens, sessions, leases."""

    def __init__(self, world: Site, name: str, info: dict[str, Any]) -> None:
        self.world = world
        self.name = name
        self.info = info
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.node = world.random.choice(world.controllers())
        self.lease_from = world.now
        self.dead = False
        self.cut = False
        self.cut_direct = False
        self.held: list[dict[str, Any]] = []
        # How much faster than told tasks run here.
        self.pace = 1.0
        # Seconds that tasks take here; None: what their owners reckon.
        self.run_s: float | None = 5.0
        # Seconds until it has a task's image.
        self.fetch_s = 0.0
        self.warning: float | None = None
        self.fails = False
        self.changed_at = 0.0
        self.in_flight = False
        world.later(0.01, self.report)

    def body(self) -> dict[str, Any]:
        self.seq += 1
        return {
            "mount": self.name,
            "addr": self.info["addr"],
            "breed": self.info["breed"],
            "range": self.info["range"],
            "borrowed": self.info["borrowed"],
            "ride": self.session,
            "tally": self.seq,
            "brand": self.token,
            "warningS": self.warning,
            "hands": [
                {"hand": t, "try": v["try"], "standing": v["standing"], "cause": v["cause"]}
                for t, v in self.tasks.items()
            ],
        }

    def live(self) -> list[str]:
        return [t for t, v in self.tasks.items() if v["standing"] != "exited"]

    def check_lease(self) -> None:
        if self.world.now - self.lease_from > LEASE_S:
            self.tasks = {}
            self.session += 1
            self.lease_from = self.world.now

    def report(self) -> None:
        if self.dead:
            return
        self.check_lease()
        self.world.later(self.world.random.uniform(0.75, 1.0) * REPORT_S, self.report)
        self.send()

    def send(self) -> None:
        if self.cut or self.in_flight:
            return
        self.in_flight = True
        sent = self.world.now
        session = self.session

        def answer(status: int | None, body: bytes) -> None:
            if self.dead or session != self.session:
                return
            if status == 200:
                message = json.loads(body)
                if message.get("brand", -1) >= self.token:
                    self.token = message["brand"]
                    self.lease_from = sent
                    self.execute(message["orders"])
            elif status == 421 and json.loads(body).get("foreman") in self.world.controllers():
                self.node = json.loads(body)["foreman"]
                self.world.later(0.2, self.send)
            else:
                self.next_node()

        answered = [False]

        def once(status: int | None, body: bytes) -> None:
            if not answered[0]:
                answered[0] = True
                self.in_flight = False
                answer(status, body)

        self.world.ask(self.node, "POST", "/hello", self.body(), once)
        self.world.later(4.0, lambda: once(None, b""))

    def restart(self) -> None:
        """The machine is back at once, with nothing it had: no task, no token, session 1."""
        self.tasks = {}
        self.session, self.seq, self.token = 1, 0, 0
        self.lease_from = self.world.now

    def next_node(self) -> None:
        """Try the next node 1 s later."""
        names = self.world.controllers()
        if names:
            self.node = next((n for n in names if n > self.node), names[0])
        self.world.later(1.0, self.send)

    def commands(self, body: dict[str, Any]) -> tuple[int, bytes]:
        self.check_lease()
        status = 200
        if body["brand"] < self.token or body["ride"] != self.session:
            status = 409
        else:
            self.token = body["brand"]
            self.execute(body["orders"])
        return status, json.dumps(self.body()).encode()

    def go_on(self) -> None:
        """No way to it is cut any more: what was held up arrives, in order."""
        self.cut = self.cut_direct = False
        late, self.held = self.held, []
        for raw in late:
            if not self.dead:
                self.commands(raw)

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            task, attempt = order["hand"], order["try"]
            have = self.tasks.get(task)
            if order["verb"] == "launch":
                if have and have["try"] == attempt:
                    continue
                if have and have["standing"] != "exited":
                    continue
                self.launch(task, attempt)
            elif have and have["try"] == attempt:
                if order["verb"] == "halt":
                    self.halt(task, attempt, order["leewayS"])
                elif have["standing"] == "exited":
                    del self.tasks[task]

    def halt(self, task: str, attempt: int, grace_s: float) -> None:
        """A running task that can save does, if it may; any other one exits at once."""
        have = self.tasks[task]
        spec = have.get("spec")
        saves = spec and spec["waypointS"] > 0 and grace_s >= spec["stashS"]
        if spec is None or not saves or (have["standing"] != "running" and grace_s == 0):
            self.exit(task, attempt, "stopped")
        elif have["standing"] == "running":
            have["standing"] = "saving"
            self.world.later(spec["stashS"], lambda: self.exit(task, attempt, "stopped"))

    def launch(self, task: str, attempt: int) -> None:
        """Start a task as soon as its description is here."""
        mine = self.tasks[task] = {"try": attempt, "standing": "pulling", "cause": ""}

        def described(spec: dict[str, Any] | None) -> None:
            if self.tasks.get(task) is not mine or mine["standing"] != "pulling" or self.dead:
                return
            if spec is None:
                mine["standing"], mine["cause"] = "exited", "unknown"
            elif self.fetch_s:
                self.world.later(self.fetch_s, lambda: begin(spec))
            else:
                begin(spec)

        def begin(spec: dict[str, Any]) -> None:
            if self.tasks.get(task) is not mine or mine["standing"] != "pulling" or self.dead:
                return
            self.check_lease()
            if self.tasks.get(task) is not mine:
                return
            gang = spec["shape"] == "ensemble"
            mine["standing"], mine["spec"] = "waiting" if gang else "running", spec
            self.world.started(self, task)
            if self.fails or task.split("/")[0] in self.world.broken:
                self.world.later(0.1, lambda: self.exit(task, attempt, "error"))
            elif gang:
                self.world.later(GANG_WAIT_S, lambda: self.incomplete(task, attempt))
                self.gather(task.split("/")[0], attempt, spec)
            elif spec["shape"] != "service":
                self.world.later(self.takes_s(spec), lambda: self.exit(task, attempt, "done"))

        self.world.describe(task.split("/")[0], described)

    def gather(self, job: str, attempt: int, spec: dict[str, Any]) -> None:
        """A gang starts together once the last of it is here, and completes together."""
        names = {f"{job}/{n}" for n in range(spec["hands"])}

        def members(standing: str) -> "list[tuple[FakeWorker, str]]":
            return [
                (worker, task)
                for worker in self.world.workers.values()
                for task, v in worker.tasks.items()
                if task in names and v["try"] == attempt and v["standing"] == standing
            ]

        def over() -> None:
            running = members("running")
            for worker, task in running:
                worker.exit(task, attempt, "done" if len(running) == len(names) else "mates_gone")

        if len(gathered := members("waiting")) == len(names):
            for worker, task in gathered:
                worker.tasks[task]["standing"] = "running"
            self.world.later(self.takes_s(spec), over)

    def takes_s(self, spec: dict[str, Any]) -> float:
        """How long a task runs here."""
        return float(spec["reckonS"] if self.run_s is None else self.run_s) / self.pace

    def incomplete(self, task: str, attempt: int) -> None:
        """A gang task has waited for the others for too long."""
        have = self.tasks.get(task)
        if have and have["try"] == attempt and have["standing"] == "waiting":
            self.exit(task, attempt, "incomplete")

    def exit(self, task: str, attempt: int, why: str) -> None:
        have = self.tasks.get(task)
        if have and have["try"] == attempt and have["standing"] != "exited":
            have["standing"], have["cause"] = "exited", why
            if why == "done":
                self.world.completed.add(task)
            self.world.later(0.3, self.send)

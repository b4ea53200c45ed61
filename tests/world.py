"""In-memory stand-ins for the state service, the cloud, workers and the network, on a fake clock.

They answer the published protocols at the level of requests; the controllers under test are the
real owners, without sockets. Everything is seeded, so each story plays the same every time.
"""

import heapq
import itertools
import json
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from sagecove.config import Settings
from sagecove.coordination.effects import Answered, Asked, Call, Reply
from sagecove.coordination.owner import Owner

Answer = Callable[[int | None, bytes], None]

TYPES = [
    {
        "sku": "small",
        "vcpus": 4.0,
        "cards": 0,
        "memoryGb": 16.0,
        "cacheGb": 40.0,
        "pullGbPerS": 1.0,
        "price": 0.2,
        "spotPrice": 0.07,
        "bootS": 10.0,
        "ranges": ["a", "b"],
    },
    {
        "sku": "gpu",
        "vcpus": 16.0,
        "cards": 4,
        "memoryGb": 64.0,
        "cacheGb": 80.0,
        "pullGbPerS": 1.0,
        "price": 8.0,
        "spotPrice": 3.0,
        "bootS": 20.0,
        "ranges": ["a", "b"],
    },
]


def settings(node: int, nodes: int = 3, **state: Any) -> Settings:
    """Settings of controller number `node`."""
    raw = {
        "node": f"n{node}",
        "area": "a",
        "serve_on": f"10.0.0.{node}:80",
        "peer_listen": f"10.0.0.{node}:81",
        "members": [
            {"node": f"n{i}", "area": "a", "endpoint": f"10.0.0.{i}:81"}
            for i in range(nodes)
            if i != node
        ],
        "external": {"cloud": "10.1.0.1:1", "state": "10.1.0.2:1"},
        "cluster": {
            "size": nodes,
            "zones": ["a", "b"],
            "teams": [
                {"name": "red", "cpus": 16.0, "cpus_max": 64.0, "gpus": 4, "gpus_max": 16},
                {"name": "blue", "cpus": 8.0, "cpus_max": 8.0, "gpus": 0, "gpus_max": 0},
                {"name": "guests", "cpus": 0.0, "cpus_max": 0.0},
            ],
            "workers": {
                "report_s": 2.0,
                "lease_s": 12.0,
                "gang_wait_s": 30.0,
                "gang_peer_s": 5.0,
                "cancel_s": 37.0,
            },
            "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 16, "txn_ops": 12, **state},
            "cloud": {"rps": 5.0, "list_lag_s": 4.0},
            "resources": {"core_share": 0.3, "ram_mb": 146.0, "fd_limit": 1000},
        },
    }
    return msgspec.convert(raw, Settings)


def job(number: int, **fields: Any) -> dict[str, Any]:
    """A submission."""
    return {
        "nameId": f"run-{number:06d}",
        "herd": "c",
        "outfit": "red",
        "shape": "sweep",
        "rank": "normal",
        "hands": 1,
        "vcpus": 2.0,
        "cards": 0,
        "memoryGb": 4.0,
        "bundle": "img",
        "sizeGb": 1.0,
        "breeds": None,
        "range": None,
        "samePlace": False,
        "scatter": False,
        "borrowed": False,
        "reckonS": 5.0,
        "waypointS": 0.0,
        "stashS": 0.0,
        "dueS": None,
        **fields,
    }


class FakeState:
    """The state service: conditions, leases, watch, outage."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.ledger = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: list[tuple[int, str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.watches: list[tuple[str, int, float, Answer]] = []
        self.down = False
        self.refused: set[str] = set()
        self.forgets_before = 0
        self.next_lease = 1
        # Called with each transaction; what becomes of it: None for the usual, or `lost` (not
        # executed, no answer), `unanswered`, `late` (no answer, executed later) or `throttled`.
        self.hook: Callable[[str, dict[str, Any]], str | None] | None = None

    def tick(self) -> None:
        now = self.world.now
        if not self.down:
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    self.end(lease)
        for watch in list(self.watches):
            prefix, since, until, answer = watch
            events = self.events(prefix, since)
            if not self.down and (events or now >= until):
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
        for ledger, key, value in self.changes:
            if ledger > since and key.startswith(prefix):
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
        if path.startswith("/watch"):
            args = dict(p.split("=") for p in path.partition("?")[2].split("&"))
            if self.down or node in self.refused:
                answer(503, b"{}")
            elif int(args["from"]) < self.forgets_before:
                answer(410, b"{}")
            else:
                until = self.world.now + int(args["blockMs"]) / 1000
                self.watches.append((args["prefix"], int(args["from"]), until, answer))
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
                self.world.later(self.world.random.uniform(3, 15), lambda: self.commit(body))
                answer(None, b"")
                return
            if verdict == "throttled":
                answer(429, b"{}")
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
            part = keys[:3]  # small pages, so that paging is always exercised
            pairs = [{"path": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in part]
            answer(
                200,
                self.dump({"pairs": pairs, "truncated": len(keys) > 3, "ledger": self.ledger}),
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

    def __init__(self, world: "World") -> None:
        self.world = world
        self.requests: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.number = 0
        self.capacity = {"small": 50, "gpu": 4}
        self.never_boot = 0
        self.deleted: list[str] = []

    def start(self, sku: str, zone: str, spot: bool, boot: float = 0.0) -> str:
        name = f"vm-{self.number:06d}"
        self.number += 1
        self.machines[name] = {
            "nameId": name,
            "addr": f"10.9.0.{self.number}:9",
            "breed": sku,
            "range": zone,
            "borrowed": spot,
            "standing": "booting",
            "at": self.world.now,
        }
        if self.never_boot > 0:
            self.never_boot -= 1
        else:
            self.world.later(boot, lambda: self.world.boot(name))
        return name

    def request(self, method: str, path: str, body: Any, answer: Answer) -> None:
        if path == "/flavors":
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
                    self.start(body["breed"], body["range"], body["borrowed"], 10.0)
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
                if self.world.now - m["at"] > 4.0
            ]
            answer(200, json.dumps({"mounts": listed, "truncated": False}).encode())


class FakeWorker:
    """A machine's worker: tasks, tokens, sessions, leases."""

    def __init__(self, world: "World", name: str, info: dict[str, Any]) -> None:
        self.world = world
        self.name = name
        self.info = info
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.node = world.random.choice(sorted(world.owners))
        self.lease_from = world.now
        self.dead = False
        self.cut = False
        self.cut_direct = False
        self.held: list[dict[str, Any]] = []
        self.run_s = 5.0
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
        if self.world.now - self.lease_from > 12.0:
            self.tasks = {}
            self.session += 1
            self.lease_from = self.world.now

    def report(self) -> None:
        if self.dead:
            return
        self.check_lease()
        self.world.later(self.world.random.uniform(1.5, 2.0), self.report)
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
            elif status == 421 and json.loads(body).get("foreman") in self.world.owners:
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

        node = self.node
        if node not in self.world.deaf:
            self.world.ask(node, "POST", "/hello", self.body(), once)
        self.world.later(4.0, lambda: once(None, b""))

    def next_node(self) -> None:
        """Try the next node 1 s later."""
        names = sorted(self.world.owners)
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

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            task, attempt = order["hand"], order["try"]
            have = self.tasks.get(task)
            if order["verb"] == "launch":
                if have and have["try"] == attempt:
                    continue
                if have and have["standing"] != "exited":
                    continue
                self.world.started(self, task)
                self.tasks[task] = {"try": attempt, "standing": "running", "cause": ""}
                if self.fails or task.split("/")[0] in self.world.broken:
                    self.world.later(0.1, lambda t=task, a=attempt: self.exit(t, a, "error"))
                elif not self.world.is_service(task):
                    self.world.later(self.run_s, lambda t=task, a=attempt: self.exit(t, a, "done"))
            elif have and have["try"] == attempt:
                if order["verb"] == "halt":
                    self.exit(task, attempt, "stopped")
                elif have["standing"] == "exited":
                    del self.tasks[task]

    def exit(self, task: str, attempt: int, why: str) -> None:
        have = self.tasks.get(task)
        if have and have["try"] == attempt and have["standing"] != "exited":
            have["standing"], have["cause"] = "exited", why
            if why == "done":
                self.world.completed.add(task)
            self.world.later(0.3, self.send)


class World:
    """Controllers and stand-ins, advanced together; the rules are checked at every start."""

    def __init__(self, nodes: int = 3, seed: int = 1) -> None:
        self.now = 1000.0
        self.random = Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.owners: dict[str, Owner] = {}
        self.inbox: dict[str, list[Any]] = {}
        self.state = FakeState(self)
        self.cloud = FakeCloud(self)
        self.workers: dict[str, FakeWorker] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.cancelled: dict[str, float] = {}
        self.completed: set[str] = set()
        # Jobs that were submitted with a mistake: they fail wherever they run.
        self.broken: set[str] = set()
        self.starts: list[tuple[float, str, str]] = []
        # Controllers that workers cannot reach, nor they the workers.
        self.deaf: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        # Controllers that stand still, and until when; the second kind has decided already, and
        # what it decided leaves only afterwards.
        self.still: dict[str, float] = {}
        self.decided: dict[str, float] = {}
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
            self.check()

    def until(self, condition: Callable[[], bool], most: float) -> float:
        begun = self.now
        while not condition():
            assert self.now - begun < most, "it took too long"
            self.run(0.1)
        return self.now - begun

    # -- controllers ----------------------------------------------------------------------------

    def boot_node(self, number: int) -> None:
        name = f"n{number}"
        self.owners[name] = Owner(
            settings(number, self.nodes), Random(number + 7), self.now, self.now
        )
        self.inbox[name] = []

    def kill(self, name: str) -> None:
        del self.owners[name]

    def turn(self, name: str) -> None:
        owner = self.owners[name]
        if self.now < self.still.get(name, 0.0):
            return
        batch, self.inbox[name] = self.inbox[name], []
        if not batch and owner.wait() > 0.02 and self.now - owner.now < owner.wait():
            return
        effects = owner.handle(batch, self.now, self.now)
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

    def deliver(self, name: str, owner: Owner, call: Call) -> None:
        raw = None if call.body is None else json.loads(msgspec.json.encode(call.body))
        answered = [False]

        def answer(status: int | None, body: bytes) -> None:
            if not answered[0] and self.owners.get(name) is owner:
                answered[0] = True
                self.inbox[name].append(Answered(call.token, status, body))

        self.later(call.timeout, lambda: answer(None, b""))
        if (name, call.target) in self.cut_links:
            return
        if call.target == "state":
            self.later(0.005, lambda: self.state.request(name, call.method, call.path, raw, answer))
        elif call.target == "cloud":
            self.later(0.05, lambda: self.cloud.request(call.method, call.path, raw, answer))
        else:
            if name in self.deaf and call.target.startswith("10.9."):
                return
            self.later(0.002, lambda: self._deliver_addr(call, raw, answer))

    def _deliver_addr(self, call: Call, raw: Any, answer: Answer) -> None:
        for worker in self.workers.values():
            if worker.info["addr"] == call.target and not worker.dead:
                if worker.cut or worker.cut_direct:
                    worker.held.append(raw)
                else:
                    answer(*worker.commands(raw))
                return
        for name in self.owners:
            if f"10.0.0.{name[1:]}:81" == call.target:
                body = msgspec.json.encode(call.body)
                self.inbox[name].append(Asked(call.method, call.path, body, answer, True))

    # -- users and workers ----------------------------------------------------------------------

    def ask(
        self,
        node: str,
        method: str,
        path: str,
        body: Any,
        answer: Answer,
    ) -> None:
        if node in self.owners:
            raw = body if isinstance(body, bytes) else json.dumps(body).encode()
            self.inbox[node].append(Asked(method, path, raw, answer))

    def user(self, node: str, method: str, path: str, body: Any = b"") -> tuple[int, Any]:
        """A user's request, waited for."""
        got: list[tuple[int, Any]] = []
        self.ask(node, method, path, body, lambda s, b: got.append((s or 0, json.loads(b))))
        begun = self.now
        while not got and self.now - begun < 6:
            self.run(0.02)
        if got and path.endswith("/cancel") and got[0][0] == 200:
            if got[0][1]["standing"] == "aborted":
                self.cancelled.setdefault(path.split("/")[3], self.now)
        return got[0] if got else (0, None)

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

    def is_service(self, task: str) -> bool:
        return self.specs[task.split("/")[0]]["shape"] == "service"

    # -- the rules ------------------------------------------------------------------------------

    def started(self, worker: FakeWorker, task: str) -> None:
        self.starts.append((self.now, task, worker.name))
        for other in self.workers.values():
            other.check_lease()
            assert other is worker or task not in other.live(), f"ran_twice {task}"
        job_id = task.split("/")[0]
        spec = self.specs[job_id]
        assert spec["breeds"] is None or worker.info["breed"] in spec["breeds"]
        assert spec["range"] in (None, worker.info["range"]), "wrong_place"
        assert spec["borrowed"] or not worker.info["borrowed"], "wrong_place"
        zones = [
            w.info["range"]
            for w in self.workers.values()
            for t in w.live()
            if t.split("/")[0] == job_id
        ] + [worker.info["range"]]
        if spec["samePlace"]:
            assert len(set(zones)) == 1, "wrong_place"
        if spec["scatter"]:
            assert zones.count(worker.info["range"]) <= (spec["hands"] + 1) // 2, "wrong_place"
        if job_id in self.cancelled:
            assert self.now - self.cancelled[job_id] <= 37.0, "ran_cancelled"

    def check(self) -> None:
        acting = [s for o in self.owners.values() for s in o.acting_shards(self.now)]
        assert len(acting) == len(set(acting)), f"two holders act for a shard: {acting}"
        used: dict[str, float] = {}
        for worker in self.workers.values():
            if self.now - worker.lease_from > 12.0:
                continue
            for task in worker.live():
                job_id = task.split("/")[0]
                spec = self.specs[job_id]
                used[spec["outfit"]] = used.get(spec["outfit"], 0.0) + spec["vcpus"]
                if job_id in self.cancelled:
                    assert self.now - self.cancelled[job_id] <= 37.0, "ran_cancelled"
        assert used.get("red", 0) <= 64 and used.get("blue", 0) <= 8, "quota"

    def running(self, job_id: str) -> int:
        return sum(
            1
            for w in self.workers.values()
            if self.now - w.lease_from <= 12.0
            for t in w.live()
            if t.split("/")[0] == job_id
        )


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

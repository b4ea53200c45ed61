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

from sagecove.lab.deployment import GANG_WAIT_S, LEASE_S, MACHINE_TYPES, REPORT_S

AnswerCallback = Callable[[int | None, bytes], None]


class FakeEnvironment(Protocol):
    """What the models need of their surroundings. Times in seconds of the site's own clock."""

    random: Random
    workers: "dict[str, FakeWorker]"
    # Jobs that were submitted with a mistake: they fail wherever they run.
    failing_jobs: set[str]
    completed_tasks: set[str]

    @property
    def now(self) -> float:
        """The site's clock."""

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""

    def controller_names(self) -> list[str]:
        """Names that workers know, sorted."""

    def request_controller(
        self, node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        """A worker's request to a controller; no answer at all if it cannot be reached."""

    def machine_booted(self, name: str) -> None:
        """A rented machine has come up: start its worker."""

    def fetch_description(self, job_id: str, done: Callable[[dict[str, Any] | None], None]) -> None:
        """Fetch a job's description as workers do; None if there is none."""

    def task_started(self, worker: "FakeWorker", task: str) -> None:
        """A task has just been started: the rules are checked here."""


class FakeStateService:
    """The state service: conditions, leases, watch, outage."""

    def __init__(self, world: FakeEnvironment) -> None:
        self.world = world
        self.ledger = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.change_log: list[tuple[int, str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.open_watches: list[tuple[str, str, int, float, AnswerCallback]] = []
        self.down = False
        self.refused_nodes: set[str] = set()
        self.compacted_before = 0
        self.next_lease = 1
        # Small, so that paging is always exercised.
        self.page_size = 3
        # Seconds until a request is answered, after it was executed: longer than its sender's
        # patience, and the answer comes after the client gave up.
        self.answer_delay_s = 0.0
        # Seconds until the answer to one request, by who asks and its path; None: `slow_s`.
        self.answer_delay_of: Callable[[str, str], float] | None = None
        # Answers 429 to all but renewals.
        self.throttles_all = False
        # Called with each transaction; what becomes of it: None for the usual, or `lost` (not
        # executed, no answer), `unanswered`, `late` (no answer, executed later), `throttled` or
        # `refused`.
        self.transaction_fault: Callable[[str, dict[str, Any]], str | None] | None = None

    def tick(self) -> None:
        now = self.world.now
        if not self.down:
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    self.expire_lease(lease)
        for watch in list(self.open_watches):
            node, prefix, since, until, answer = watch
            events = self.events_since(prefix, since)
            # Open ones wait through an outage, and of one that is refused alone as well.
            waits = self.down or node in self.refused_nodes
            if not waits and (events or now >= until):
                self.open_watches.remove(watch)
                answer(200, self.encode_json({"ledger": self.ledger, "events": events}))

    def expire_lease(self, lease: int) -> None:
        del self.leases[lease]
        gone = [k for k, (_, _, owner) in self.keys.items() if owner == lease]
        if gone:
            self.ledger += 1
            for key in gone:
                del self.keys[key]
                self.change_log.append((self.ledger, key, None))

    def set_outage(self, on: bool) -> None:
        self.down = on
        if not on:
            for lease, (_, ttl) in list(self.leases.items()):
                self.leases[lease] = (self.world.now + ttl, ttl)

    def events_since(self, prefix: str, since: int) -> list[dict[str, Any]]:
        last: dict[str, tuple[int, Any]] = {}
        begin = bisect_right(self.change_log, since, key=lambda change: change[0])
        for ledger, key, value in self.change_log[begin:]:
            if key.startswith(prefix):
                last[key] = (ledger, value)
        return [
            {"drop": k, "stamp": s} if v is None else {"put": k, "v": v, "stamp": s}
            for k, (s, v) in last.items()
        ]

    @staticmethod
    def encode_json(body: Any) -> bytes:
        return json.dumps(body).encode()

    def commit(self, body: dict[str, Any]) -> tuple[int, bytes]:
        failed = [
            c["path"]
            for c in body["if"]
            if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]
        ]
        for change in body["then"]:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, self.encode_json({"error": "no such lease"})
        if failed:
            return 409, self.encode_json({"failed": failed, "ledger": self.ledger})
        assert len(body["then"]) <= 12
        self.ledger += 1
        for change in body["then"]:
            if "put" in change:
                assert len(json.dumps(change["v"])) <= 16 * 1024
                self.keys[change["put"]] = (change["v"], self.ledger, change.get("tenure"))
                self.change_log.append((self.ledger, change["put"], change["v"]))
            elif self.keys.pop(change["drop"], None):
                self.change_log.append((self.ledger, change["drop"], None))
        return 200, self.encode_json({"ledger": self.ledger})

    def handle_request(
        self,
        node: str,
        method: str,
        path: str,
        body: Any,
        answer: AnswerCallback,
    ) -> None:
        wait_s = self.answer_delay_of(node, path) if self.answer_delay_of else self.answer_delay_s
        if wait_s:
            given = answer

            def answer(status: int | None, body: bytes) -> None:
                self.world.call_later(wait_s, lambda: given(status, body))

        if self.throttles_all and not path.endswith("/renew"):
            answer(429, b"{}")
            return
        if path.startswith("/watch"):
            args = dict(p.split("=") for p in path.partition("?")[2].split("&"))
            if self.down or node in self.refused_nodes:
                answer(503, b"{}")
            elif int(args["from"]) < self.compacted_before:
                answer(410, b"{}")
            else:
                until = self.world.now + int(args["blockMs"]) / 1000
                self.open_watches.append((node, args["prefix"], int(args["from"]), until, answer))
                self.tick()
            return
        if self.down or node in self.refused_nodes:
            answer(503, b"{}")
            return
        if path == "/commit":
            verdict = self.transaction_fault(node, body) if self.transaction_fault else None
            if verdict == "lost":
                answer(None, b"")
                return
            if verdict == "late":
                # No answer, and executed much later.
                self.world.call_later(
                    self.world.random.uniform(3, 15), lambda: (self.commit(body), None)[1]
                )
                answer(None, b"")
                return
            if verdict in ("throttled", "refused"):
                answer(429 if verdict == "throttled" else 503, b"{}")
                return
            result = self.commit(body)
            self.world.call_later(0.0, self.tick)
            if verdict == "unanswered":
                answer(None, b"")
            else:
                answer(*result)
        elif path == "/grants":
            lease = self.next_lease
            self.next_lease += 1
            ttl = body["lifeMs"] / 1000
            self.leases[lease] = (self.world.now + ttl, ttl)
            answer(200, self.encode_json({"tenure": lease}))
        elif path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                answer(404, b"{}")
            else:
                ttl = self.leases[lease][1]
                self.leases[lease] = (self.world.now + ttl, ttl)
                answer(200, self.encode_json({"tenure": lease}))
        elif path.startswith("/store?"):
            args = dict(p.split("=") for p in path.partition("?")[2].split("&"))
            keys = sorted(
                k for k in self.keys if k.startswith(args["prefix"]) and k > args.get("from", "")
            )
            part = keys[: self.page_size]
            pairs = [{"path": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in part]
            answer(
                200,
                self.encode_json(
                    {"pairs": pairs, "truncated": len(keys) > self.page_size, "ledger": self.ledger}
                ),
            )
        else:
            key = path[len("/store/") :]
            if key in self.keys:
                value, stamp, _ = self.keys[key]
                answer(200, self.encode_json({"path": key, "v": value, "stamp": stamp}))
            else:
                answer(404, self.encode_json({"ledger": self.ledger}))


class FakeCloud:
    """The cloud: rentals by unique names, boots, deletions, a list that lags."""

    def __init__(self, world: FakeEnvironment) -> None:
        self.world = world
        self.machines_by_request: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.next_number = 0
        self.capacity = {"small": 50, "gpu": 4}
        self.never_boot_count = 0
        self.boot_s = 10.0
        # Seconds that one machine takes to boot, by its number; None: `boot_s`.
        self.boot_s_of: Callable[[int], float] | None = None
        # Where a machine of this name will listen.
        self.address_of: Callable[[str], str] = lambda name: f"10.9.0.{int(name[3:]) + 1}:9"
        self.list_lag_s = 4.0
        self.unavailable = False
        self.deleted_names: list[str] = []

    def start_machine(self, sku: str, zone: str, spot: bool, boot: float = 0.0) -> str:
        name = f"vm-{self.next_number:06d}"
        self.next_number += 1
        self.machines[name] = {
            "nameId": name,
            "addr": self.address_of(name),
            "breed": sku,
            "range": zone,
            "borrowed": spot,
            "standing": "booting",
            "at": self.world.now,
        }
        if self.never_boot_count > 0:
            self.never_boot_count -= 1
        else:
            if boot and self.boot_s_of is not None:
                boot = self.boot_s_of(self.next_number)
            self.world.call_later(boot, lambda: self.world.machine_booted(name))
        return name

    def handle_request(self, method: str, path: str, body: Any, answer: AnswerCallback) -> None:
        if self.unavailable:
            answer(503, b'{"error":"trouble"}')
        elif path == "/flavors":
            answer(200, json.dumps({"breeds": MACHINE_TYPES}).encode())
        elif path == "/machines":
            name = body["hire"]
            if name not in self.machines_by_request:
                have = sum(1 for m in self.machines.values() if m["breed"] == body["breed"])
                count = min(body["howMany"], self.capacity[body["breed"]] - have)
                if count <= 0:
                    answer(503, b'{"error":"no capacity"}')
                    return
                self.machines_by_request[name] = [
                    self.start_machine(body["breed"], body["range"], body["borrowed"], self.boot_s)
                    for _ in range(count)
                ]
            answer(200, json.dumps({"mounts": self.machines_by_request[name]}).encode())
        elif path == "/machines/delete":
            for name in body["mounts"]:
                self.deleted_names.append(name)
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
                if self.world.now - m["at"] > self.list_lag_s
            ]
            answer(200, json.dumps({"mounts": listed, "truncated": False}).encode())


class FakeWorker:
    """A machine's worker: tasks, tokens, sessions, leases."""

    def __init__(self, world: FakeEnvironment, name: str, cloud_record: dict[str, Any]) -> None:
        self.world = world
        self.name = name
        self.cloud_record = cloud_record
        self.session, self.report_number, self.token = 1, 0, 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.node = world.random.choice(world.controller_names())
        self.lease_started_at = world.now
        self.dead = False
        self.isolated = False
        self.direct_commands_blocked = False
        self.delayed_commands: list[dict[str, Any]] = []
        # How much faster than told tasks run here.
        self.speed_factor = 1.0
        # Seconds that tasks take here; None: what their owners reckon.
        self.task_run_s: float | None = 5.0
        # Seconds until it has a task's image.
        self.image_fetch_s = 0.0
        self.spot_warning_s: float | None = None
        self.fails_tasks = False
        self.changed_at = 0.0
        self.report_in_flight = False
        world.call_later(0.01, self.report_periodically)

    def report_body(self) -> dict[str, Any]:
        self.report_number += 1
        return {
            "mount": self.name,
            "addr": self.cloud_record["addr"],
            "breed": self.cloud_record["breed"],
            "range": self.cloud_record["range"],
            "borrowed": self.cloud_record["borrowed"],
            "ride": self.session,
            "tally": self.report_number,
            "brand": self.token,
            "warningS": self.spot_warning_s,
            "hands": [
                {"hand": t, "try": v["try"], "standing": v["standing"], "cause": v["cause"]}
                for t, v in self.tasks.items()
            ],
        }

    def live_tasks(self) -> list[str]:
        return [t for t, v in self.tasks.items() if v["standing"] != "exited"]

    def check_lease(self) -> None:
        if self.world.now - self.lease_started_at > LEASE_S:
            self.tasks = {}
            self.session += 1
            self.lease_started_at = self.world.now

    def report_periodically(self) -> None:
        if self.dead:
            return
        self.check_lease()
        self.world.call_later(
            self.world.random.uniform(0.75, 1.0) * REPORT_S, self.report_periodically
        )
        self.send_report()

    def send_report(self) -> None:
        if self.isolated or self.report_in_flight:
            return
        self.report_in_flight = True
        sent = self.world.now
        session = self.session

        def answer(status: int | None, body: bytes) -> None:
            if self.dead or session != self.session:
                return
            if status == 200:
                message = json.loads(body)
                if message.get("brand", -1) >= self.token:
                    self.token = message["brand"]
                    self.lease_started_at = sent
                    self.execute_orders(message["orders"])
            elif status == 421 and json.loads(body).get("foreman") in self.world.controller_names():
                self.node = json.loads(body)["foreman"]
                self.world.call_later(0.2, self.send_report)
            else:
                self.try_next_node()

        answered = [False]

        def once(status: int | None, body: bytes) -> None:
            if not answered[0]:
                answered[0] = True
                self.report_in_flight = False
                answer(status, body)

        self.world.request_controller(self.node, "POST", "/hello", self.report_body(), once)
        self.world.call_later(4.0, lambda: once(None, b""))

    def restart(self) -> None:
        """The machine is back at once, with nothing it had: no task, no token, session 1."""
        self.tasks = {}
        self.session, self.report_number, self.token = 1, 0, 0
        self.lease_started_at = self.world.now

    def try_next_node(self) -> None:
        """Try the next node 1 s later."""
        names = self.world.controller_names()
        if names:
            self.node = next((n for n in names if n > self.node), names[0])
        self.world.call_later(1.0, self.send_report)

    def handle_commands(self, body: dict[str, Any]) -> tuple[int, bytes]:
        self.check_lease()
        status = 200
        if body["brand"] < self.token or body["ride"] != self.session:
            status = 409
        else:
            self.token = body["brand"]
            self.execute_orders(body["orders"])
        return status, json.dumps(self.report_body()).encode()

    def reconnect(self) -> None:
        """No way to it is cut any more: what was held up arrives, in order."""
        self.isolated = self.direct_commands_blocked = False
        late, self.delayed_commands = self.delayed_commands, []
        for raw in late:
            if not self.dead:
                self.handle_commands(raw)

    def execute_orders(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            task, attempt = order["hand"], order["try"]
            have = self.tasks.get(task)
            if order["verb"] == "launch":
                if have and have["try"] == attempt:
                    continue
                if have and have["standing"] != "exited":
                    continue
                self.launch_task(task, attempt)
            elif have and have["try"] == attempt:
                if order["verb"] == "halt":
                    self.stop_task(task, attempt, order["leewayS"])
                elif have["standing"] == "exited":
                    del self.tasks[task]

    def stop_task(self, task: str, attempt: int, grace_s: float) -> None:
        """A running task that can save does, if it may; any other one exits at once."""
        have = self.tasks[task]
        spec = have.get("spec")
        saves = spec and spec["waypointS"] > 0 and grace_s >= spec["stashS"]
        if spec is None or not saves or (have["standing"] != "running" and grace_s == 0):
            self.exit_task(task, attempt, "stopped")
        elif have["standing"] == "running":
            have["standing"] = "saving"
            self.world.call_later(spec["stashS"], lambda: self.exit_task(task, attempt, "stopped"))

    def launch_task(self, task: str, attempt: int) -> None:
        """Start a task as soon as its description is here."""
        mine = self.tasks[task] = {"try": attempt, "standing": "pulling", "cause": ""}

        def described(spec: dict[str, Any] | None) -> None:
            if self.tasks.get(task) is not mine or mine["standing"] != "pulling" or self.dead:
                return
            if spec is None:
                mine["standing"], mine["cause"] = "exited", "unknown"
            elif self.image_fetch_s:
                self.world.call_later(self.image_fetch_s, lambda: begin(spec))
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
            self.world.task_started(self, task)
            if self.fails_tasks or task.split("/")[0] in self.world.failing_jobs:
                self.world.call_later(0.1, lambda: self.exit_task(task, attempt, "error"))
            elif gang:
                self.world.call_later(GANG_WAIT_S, lambda: self.give_up_gang_wait(task, attempt))
                self.start_gang_if_complete(task.split("/")[0], attempt, spec)
            elif spec["shape"] != "service":
                self.world.call_later(
                    self.run_duration_s(spec), lambda: self.exit_task(task, attempt, "done")
                )

        self.world.fetch_description(task.split("/")[0], described)

    def start_gang_if_complete(self, job: str, attempt: int, spec: dict[str, Any]) -> None:
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
                worker.exit_task(
                    task, attempt, "done" if len(running) == len(names) else "mates_gone"
                )

        if len(gathered := members("waiting")) == len(names):
            for worker, task in gathered:
                worker.tasks[task]["standing"] = "running"
            self.world.call_later(self.run_duration_s(spec), over)

    def run_duration_s(self, spec: dict[str, Any]) -> float:
        """How long a task runs here."""
        return (
            float(spec["reckonS"] if self.task_run_s is None else self.task_run_s)
            / self.speed_factor
        )

    def give_up_gang_wait(self, task: str, attempt: int) -> None:
        """A gang task has waited for the others for too long."""
        have = self.tasks.get(task)
        if have and have["try"] == attempt and have["standing"] == "waiting":
            self.exit_task(task, attempt, "incomplete")

    def exit_task(self, task: str, attempt: int, why: str) -> None:
        have = self.tasks.get(task)
        if have and have["try"] == attempt and have["standing"] != "exited":
            have["standing"], have["cause"] = "exited", why
            if why == "done":
                self.world.completed_tasks.add(task)
            self.world.call_later(0.3, self.send_report)

"""Fakes of the systems around a controller: the state service, the cloud and machines' workers.

They implement PROTOCOL at the level of requests, without sockets or clocks of their own: a
`FakeEnvironment` provides time, random numbers and a network. Tests use them in `World`, on a
simulated clock; `sagecove dev` uses them in `Loopback`, in real time. Attributes of the fakes
switch faults on.
"""

import json
from bisect import bisect_right
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from sagecove.lab.deployment import GANG_WAIT_S, LEASE_S, MACHINE_TYPES, REPORT_S

# Shortest time between two reports of a worker, in seconds.
MIN_REPORT_GAP_S = 0.5

AnswerCallback = Callable[[int | None, bytes], None]


def ignore_answer(status: int | None, body: bytes) -> None:
    """Take an answer for which nobody waits."""


class FakeEnvironment(Protocol):
    """Environment that the fakes require. Times are seconds of the environment's clock."""

    random: Random
    workers: "dict[str, FakeWorker]"
    # Jobs that fail wherever they run, as if submitted with a mistake.
    failing_jobs: set[str]
    completed_tasks: set[str]

    @property
    def now(self) -> float:
        """The current time."""

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""

    def controller_names(self) -> list[str]:
        """Return the sorted names of the controllers that workers know."""

    def request_controller(
        self, node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        """Send a request to a controller; `answer` is not called if it is unreachable."""

    def machine_booted(self, name: str) -> None:
        """Start the worker of a rented machine that has booted."""

    def fetch_description(
        self, job_id: str, callback: Callable[[dict[str, Any] | None], None]
    ) -> None:
        """Fetch a job's description as workers do; call back with None if there is none."""

    def task_started(self, worker: "FakeWorker", task: str) -> None:
        """Record that a task has started, and check the rules."""

    def lease_renewed(self, worker: "FakeWorker", reported_attempts: dict[str, int]) -> None:
        """Check what an answer that renewed the worker's lease left of the reported tasks."""


class FakeStateService:
    """The state service: conditional transactions, leases, watches and outages."""

    def __init__(self, environment: FakeEnvironment) -> None:
        self.environment = environment
        self.ledger = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.change_log: list[tuple[int, str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.open_watches: list[tuple[str, str, int, float, AnswerCallback]] = []
        self.down = False
        self.refused_nodes: set[str] = set()
        self.compacted_before = 0
        self.next_lease_id = 1
        # Keys in an answer; small, so that tests always exercise paging.
        self.page_size = 3
        # Delay in seconds between executing a request and answering it. If it is longer than the
        # client's timeout, the answer arrives after the client gave up.
        self.answer_delay_s = 0.0
        # Delay in seconds of an answer, by client and path; None: `answer_delay_s` for all.
        self.answer_delay_of: Callable[[str, str], float] | None = None
        # If set, transactions with a longer value get status 400, although the settings allow it.
        self.lowered_value_bytes: int | None = None
        # If set, all requests but lease renewals get status 429.
        self.throttles_all = False
        # Called with each transaction; returns its fault: None (executed and answered), `lost` (not
        # executed, no answer), `unanswered` (executed, no answer), `late` (no answer, executed
        # later), `throttled` (429) or `refused` (503).
        self.transaction_fault: Callable[[str, dict[str, Any]], str | None] | None = None

    def tick(self) -> None:
        """Expire leases and answer watches that have events or have timed out."""
        now = self.environment.now
        if not self.down:
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    self.expire_lease(lease)
        for watch in list(self.open_watches):
            node, prefix, since, until, answer = watch
            events = self.events_since(prefix, since)
            # During an outage, and while their client is refused, open watches stay open.
            waits = self.down or node in self.refused_nodes
            if not waits and (events or now >= until):
                self.open_watches.remove(watch)
                answer(200, self.encode_json({"ledger": self.ledger, "events": events}))

    def expire_lease(self, lease: int) -> None:
        """Delete a lease and the keys bound to it."""
        del self.leases[lease]
        dropped_keys = [k for k, (_, _, owner) in self.keys.items() if owner == lease]
        if dropped_keys:
            self.ledger += 1
            for key in dropped_keys:
                del self.keys[key]
                self.change_log.append((self.ledger, key, None))

    def set_outage(self, on: bool) -> None:
        """Start or end an outage; after it, all leases begin anew at full length."""
        self.down = on
        if not on:
            for lease, (_, ttl) in list(self.leases.items()):
                self.leases[lease] = (self.environment.now + ttl, ttl)

    def events_since(self, prefix: str, since: int) -> list[dict[str, Any]]:
        """Return the latest change of each key with a prefix, after a ledger position."""
        latest: dict[str, tuple[int, Any]] = {}
        first_index = bisect_right(self.change_log, since, key=lambda change: change[0])
        for ledger, key, value in self.change_log[first_index:]:
            if key.startswith(prefix):
                latest[key] = (ledger, value)
        return [
            {"drop": k, "stamp": s} if v is None else {"put": k, "v": v, "stamp": s}
            for k, (s, v) in latest.items()
        ]

    @staticmethod
    def encode_json(body: Any) -> bytes:
        """Encode an answer's body."""
        return json.dumps(body).encode()

    def commit(self, body: dict[str, Any]) -> tuple[int, bytes]:
        """Execute a transaction; return the status and body of the answer."""
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
        longest_bytes = max((len(json.dumps(c.get("v"))) for c in body["then"]), default=0)
        if self.lowered_value_bytes is not None and longest_bytes > self.lowered_value_bytes:
            return 400, self.encode_json({"error": "value too long"})
        assert longest_bytes <= 16 * 1024
        self.ledger += 1
        for change in body["then"]:
            if "put" in change:
                self.keys[change["put"]] = (change["v"], self.ledger, change.get("tenure"))
                self.change_log.append((self.ledger, change["put"], change["v"]))
            elif self.keys.pop(change["drop"], None):
                self.change_log.append((self.ledger, change["drop"], None))
        return 200, self.encode_json({"ledger": self.ledger})

    def handle_request(
        self, node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        """Execute and answer a client's request."""
        delay_s = self.answer_delay_of(node, path) if self.answer_delay_of else self.answer_delay_s
        if delay_s:
            send_answer = answer

            def answer(status: int | None, body: bytes) -> None:
                self.environment.call_later(delay_s, lambda: send_answer(status, body))

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
                until = self.environment.now + int(args["blockMs"]) / 1000
                self.open_watches.append((node, args["prefix"], int(args["from"]), until, answer))
                self.tick()
            return
        if self.down or node in self.refused_nodes:
            answer(503, b"{}")
            return
        if path == "/commit":
            fault = self.transaction_fault(node, body) if self.transaction_fault else None
            if fault == "lost":
                answer(None, b"")
                return
            if fault == "late":
                # Not answered, and executed 3 to 15 s later.
                self.environment.call_later(
                    self.environment.random.uniform(3, 15), lambda: (self.commit(body), None)[1]
                )
                answer(None, b"")
                return
            if fault in ("throttled", "refused"):
                answer(429 if fault == "throttled" else 503, b"{}")
                return
            result = self.commit(body)
            self.environment.call_later(0.0, self.tick)
            if fault == "unanswered":
                answer(None, b"")
            else:
                answer(*result)
        elif path == "/grants":
            lease = self.next_lease_id
            self.next_lease_id += 1
            ttl = body["lifeMs"] / 1000
            self.leases[lease] = (self.environment.now + ttl, ttl)
            answer(200, self.encode_json({"tenure": lease}))
        elif path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                answer(404, b"{}")
            else:
                ttl = self.leases[lease][1]
                self.leases[lease] = (self.environment.now + ttl, ttl)
                answer(200, self.encode_json({"tenure": lease}))
        elif path.startswith("/store?"):
            args = dict(p.split("=") for p in path.partition("?")[2].split("&"))
            keys = sorted(
                k for k in self.keys if k.startswith(args["prefix"]) and k > args.get("from", "")
            )
            page = keys[: self.page_size]
            pairs = [{"path": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in page]
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
    """The cloud: rentals by unique request id, boots, deletions and a machine list that lags."""

    def __init__(self, environment: FakeEnvironment) -> None:
        self.environment = environment
        self.machines_by_request: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.next_number = 0
        self.capacity = {"small": 50, "gpu": 4}
        self.never_boot_count = 0
        self.boot_s = 10.0
        # Boot time in seconds by machine number; None: `boot_s` for all.
        self.boot_s_of: Callable[[int], float] | None = None
        # The address on which a machine will listen, by its name.
        self.address_of: Callable[[str], str] = lambda name: f"10.9.0.{int(name[3:]) + 1}:9"
        self.list_lag_s = 4.0
        self.unavailable = False
        self.deleted_names: list[str] = []
        # Called with path and body of each rental and deletion. Returns the seconds after which the
        # request is carried out, without an answer; None: it is carried out and answered at once.
        self.late_by_s: Callable[[str, Any], float | None] | None = None
        # Returns the seconds after which a copy of a deletion arrives; None: there is no copy.
        self.deletion_copy_after_s: Callable[[], float | None] | None = None

    def start_machine(self, sku: str, zone: str, spot: bool, boot_s: float = 0.0) -> str:
        """Start a machine, which boots after a delay, and return its name."""
        name = f"vm-{self.next_number:06d}"
        self.next_number += 1
        self.machines[name] = {
            "nameId": name,
            "addr": self.address_of(name),
            "breed": sku,
            "range": zone,
            "borrowed": spot,
            "standing": "booting",
            "at": self.environment.now,
        }
        if self.never_boot_count > 0:
            self.never_boot_count -= 1
        else:
            if boot_s and self.boot_s_of is not None:
                boot_s = self.boot_s_of(self.next_number)
            self.environment.call_later(boot_s, lambda: self.environment.machine_booted(name))
        return name

    def handle_request(self, method: str, path: str, body: Any, answer: AnswerCallback) -> None:
        """Execute and answer a controller's request, or execute it late."""
        changes_machines = method == "POST"
        late_s = self.late_by_s(path, body) if changes_machines and self.late_by_s else None
        if late_s is not None:
            self.environment.call_later(late_s, lambda: self.execute(path, body, ignore_answer))
            answer(None, b"")
            return
        self.execute(path, body, answer)
        if path == "/machines/delete" and self.deletion_copy_after_s is not None:
            copy_s = self.deletion_copy_after_s()
            if copy_s is not None:
                self.environment.call_later(copy_s, lambda: self.execute(path, body, ignore_answer))

    def execute(self, path: str, body: Any, answer: AnswerCallback) -> None:
        """Execute and answer a request."""
        if self.unavailable:
            answer(503, b'{"error":"trouble"}')
        elif path == "/flavors":
            answer(200, json.dumps({"breeds": MACHINE_TYPES}).encode())
        elif path == "/machines":
            name = body["hire"]
            if name not in self.machines_by_request:
                existing_count = sum(
                    1 for m in self.machines.values() if m["breed"] == body["breed"]
                )
                count = min(body["howMany"], self.capacity[body["breed"]] - existing_count)
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
                worker = self.environment.workers.pop(name, None)
                if worker is not None:
                    worker.tasks = {}
                    worker.dead = True
            answer(200, b"{}")
        else:
            listed = [
                {**m, "heldS": self.environment.now - m["at"]}
                for m in self.machines.values()
                if self.environment.now - m["at"] > self.list_lag_s
            ]
            answer(200, json.dumps({"mounts": listed, "truncated": False}).encode())


class FakeWorker:
    """A machine's worker, with its tasks, token, session and lease."""

    def __init__(
        self, environment: FakeEnvironment, name: str, cloud_record: dict[str, Any]
    ) -> None:
        self.environment = environment
        self.name = name
        self.cloud_record = cloud_record
        self.session, self.report_number, self.token = 1, 0, 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.node = environment.random.choice(environment.controller_names())
        self.lease_started_at = environment.now
        self.dead = False
        self.isolated = False
        self.direct_commands_blocked = False
        self.delayed_commands: list[dict[str, Any]] = []
        # Tasks run faster by this factor.
        self.speed_factor = 1.0
        # Run time of each task in seconds; None: the estimate of its submission.
        self.task_run_s: float | None = 5.0
        # Seconds to fetch a task's image.
        self.image_fetch_s = 0.0
        self.spot_warning_s: float | None = None
        self.fails_tasks = False
        self.changed_at = 0.0
        self.report_in_flight = False
        # A task has exited while a report was in flight.
        self.change_unreported = False
        self.restart_count = 0
        environment.call_later(0.01, self.report_periodically)

    def report_body(self) -> dict[str, Any]:
        """Return the next report, with a new sequence number."""
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
        """Return the tasks that have not exited."""
        return [t for t, v in self.tasks.items() if v["standing"] != "exited"]

    def check_lease(self) -> None:
        """If the lease has expired, end all tasks and begin a new session."""
        if self.environment.now - self.lease_started_at > LEASE_S:
            self.tasks = {}
            self.session += 1
            self.lease_started_at = self.environment.now

    def report_periodically(self) -> None:
        """Send a report now and schedule the next one."""
        if self.dead:
            return
        self.check_lease()
        self.environment.call_later(
            self.environment.random.uniform(0.75, 1.0) * REPORT_S, self.report_periodically
        )
        self.send_report()

    def send_report(self) -> None:
        """Send a report, unless one is unanswered, and execute the orders in the answer."""
        if self.isolated or self.report_in_flight:
            return
        self.report_in_flight = True
        sent_at = self.environment.now
        session, restart_count = self.session, self.restart_count
        reported_attempts = {task: self.tasks[task]["try"] for task in self.live_tasks()}

        def answer(status: int | None, body: bytes) -> None:
            if self.dead or (session, restart_count) != (self.session, self.restart_count):
                return
            if status == 200:
                message = json.loads(body)
                if message.get("brand", -1) >= self.token:
                    self.token = message["brand"]
                    self.lease_started_at = sent_at
                    self.execute_orders(message["orders"])
                    self.environment.lease_renewed(self, reported_attempts)
            elif (
                status == 421
                and json.loads(body).get("foreman") in self.environment.controller_names()
            ):
                self.node = json.loads(body)["foreman"]
                self.environment.call_later(0.2, self.send_report)
            else:
                self.try_next_node()

        answered = [False]

        def answer_once(status: int | None, body: bytes) -> None:
            if not answered[0]:
                answered[0] = True
                self.report_in_flight = False
                answer(status, body)
                if self.change_unreported:
                    pause_s = max(0.0, sent_at + MIN_REPORT_GAP_S - self.environment.now)
                    self.environment.call_later(pause_s, self.report_change)

        self.environment.request_controller(
            self.node, "POST", "/hello", self.report_body(), answer_once
        )
        self.environment.call_later(4.0, lambda: answer_once(None, b""))

    def report_change(self) -> None:
        """Report a change now, or after the answer to the report that is in flight."""
        self.change_unreported = self.report_in_flight
        self.send_report()

    def restart(self) -> None:
        """Restart the machine without delay and without its tasks, token and session number.

        Answers to reports of before are lost with its connections.
        """
        self.tasks = {}
        self.restart_count += 1
        self.session, self.report_number, self.token = 1, 0, 0
        self.lease_started_at = self.environment.now

    def try_next_node(self) -> None:
        """Switch to the next controller and send a report to it after 1 s."""
        names = self.environment.controller_names()
        if names:
            self.node = next((n for n in names if n > self.node), names[0])
        self.environment.call_later(1.0, self.send_report)

    def handle_commands(self, body: dict[str, Any]) -> tuple[int, bytes]:
        """Execute commands sent directly; refuse them if their token or session is old."""
        self.check_lease()
        status = 200
        if body["brand"] < self.token or body["ride"] != self.session:
            status = 409
        else:
            self.token = body["brand"]
            self.execute_orders(body["orders"])
        return status, json.dumps(self.report_body()).encode()

    def reconnect(self) -> None:
        """Restore the network; delayed commands arrive in the order in which they were sent."""
        self.isolated = self.direct_commands_blocked = False
        delayed, self.delayed_commands = self.delayed_commands, []
        for raw in delayed:
            if not self.dead:
                self.handle_commands(raw)

    def execute_orders(self, orders: list[dict[str, Any]]) -> None:
        """Launch, stop and forget tasks; repeated and outdated orders have no effect."""
        for order in orders:
            task, attempt = order["hand"], order["try"]
            entry = self.tasks.get(task)
            if order["verb"] == "launch":
                if entry and entry["try"] == attempt:
                    continue
                if entry and entry["standing"] != "exited":
                    continue
                self.launch_task(task, attempt)
            elif entry and entry["try"] == attempt:
                if order["verb"] == "halt":
                    self.stop_task(task, attempt, order["leewayS"])
                elif entry["standing"] == "exited":
                    del self.tasks[task]

    def stop_task(self, task: str, attempt: int, grace_s: float) -> None:
        """Stop a task: a running one that can save within the grace period saves first, any other
        one exits at once."""
        entry = self.tasks[task]
        spec = entry.get("spec")
        can_save = spec and spec["waypointS"] > 0 and grace_s >= spec["stashS"]
        if spec is None or not can_save or (entry["standing"] != "running" and grace_s == 0):
            self.exit_task(task, attempt, "stopped")
        elif entry["standing"] == "running":
            entry["standing"] = "saving"
            self.environment.call_later(
                spec["stashS"], lambda: self.exit_task(task, attempt, "stopped")
            )

    def launch_task(self, task: str, attempt: int) -> None:
        """Start a task once its description and image have been fetched."""
        entry = self.tasks[task] = {"try": attempt, "standing": "pulling", "cause": ""}

        def description_fetched(spec: dict[str, Any] | None) -> None:
            if self.tasks.get(task) is not entry or entry["standing"] != "pulling" or self.dead:
                return
            if spec is None:
                entry["standing"], entry["cause"] = "exited", "unknown"
            elif self.image_fetch_s:
                self.environment.call_later(self.image_fetch_s, lambda: start(spec))
            else:
                start(spec)

        def start(spec: dict[str, Any]) -> None:
            if self.tasks.get(task) is not entry or entry["standing"] != "pulling" or self.dead:
                return
            self.check_lease()
            if self.tasks.get(task) is not entry:
                return
            gang = spec["shape"] == "ensemble"
            entry["standing"], entry["spec"] = "waiting" if gang else "running", spec
            self.environment.task_started(self, task)
            if self.fails_tasks or task.split("/")[0] in self.environment.failing_jobs:
                self.environment.call_later(0.1, lambda: self.exit_task(task, attempt, "error"))
            elif gang:
                self.environment.call_later(
                    GANG_WAIT_S, lambda: self.give_up_gang_wait(task, attempt)
                )
                self.start_gang_if_complete(task.split("/")[0], attempt, spec)
            elif spec["shape"] != "service":
                self.environment.call_later(
                    self.run_duration_s(spec), lambda: self.exit_task(task, attempt, "done")
                )

        self.environment.fetch_description(task.split("/")[0], description_fetched)

    def start_gang_if_complete(self, job: str, attempt: int, spec: dict[str, Any]) -> None:
        """Start a gang's tasks together once all of them wait; they also complete together."""
        gang_tasks = {f"{job}/{index}" for index in range(spec["hands"])}

        def members(standing: str) -> "list[tuple[FakeWorker, str]]":
            return [
                (worker, task)
                for worker in self.environment.workers.values()
                for task, v in worker.tasks.items()
                if task in gang_tasks and v["try"] == attempt and v["standing"] == standing
            ]

        def end_gang() -> None:
            running = members("running")
            for worker, task in running:
                worker.exit_task(
                    task, attempt, "done" if len(running) == len(gang_tasks) else "mates_gone"
                )

        if len(waiting := members("waiting")) == len(gang_tasks):
            for worker, task in waiting:
                worker.tasks[task]["standing"] = "running"
            self.environment.call_later(self.run_duration_s(spec), end_gang)

    def run_duration_s(self, spec: dict[str, Any]) -> float:
        """Return how long a task runs on this machine, in seconds."""
        return (
            float(spec["reckonS"] if self.task_run_s is None else self.task_run_s)
            / self.speed_factor
        )

    def give_up_gang_wait(self, task: str, attempt: int) -> None:
        """End a gang task that still waits for the others of its gang."""
        entry = self.tasks.get(task)
        if entry and entry["try"] == attempt and entry["standing"] == "waiting":
            self.exit_task(task, attempt, "incomplete")

    def exit_task(self, task: str, attempt: int, cause: str) -> None:
        """Mark a task as exited and report it 0.3 s later."""
        entry = self.tasks.get(task)
        if entry and entry["try"] == attempt and entry["standing"] != "exited":
            entry["standing"], entry["cause"] = "exited", cause
            if cause == "done":
                self.environment.completed_tasks.add(task)
            self.environment.call_later(0.3, self.report_change)

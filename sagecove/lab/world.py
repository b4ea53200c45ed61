"""A simulated cluster: real controllers and fake systems on one simulated clock.

The controllers are `Owner` objects without sockets. All random numbers come from seeds, so each run
of a test is the same. PROTOCOL's rules are checked throughout.
"""

import heapq
import itertools
import json
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from sagecove.coordination.effects import Reply
from sagecove.coordination.ledger_check import ledger_differences
from sagecove.coordination.owner import Owner
from sagecove.lab.answer_history import RuleViolation
from sagecove.lab.deployment import controller_settings
from sagecove.lab.fakes import FakeCloud, FakeStateService, FakeWorker
from sagecove.lab.network import Network
from sagecove.lab.rule_checker import RuleChecker
from sagecove.lab.submission_bodies import sound_body
from sagecove.protocol.decoding import MalformedMessage, decoder


class _NamedSubmission(msgspec.Struct):
    """What the checker reads of a submission."""

    nameId: str


_decode_named = decoder(_NamedSubmission)


class World(Network, RuleChecker):
    """Advances controllers and fakes together, and checks the rules at every step and start."""

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
        # The teams in the settings of controllers; a change applies to those started later.
        self.controller_teams = self.teams
        self.features = features
        # Recount each ledger after each batch; linear in jobs and machines, so not in benchmarks.
        self.checks_ledgers = checks_ledgers
        # Whether controllers may contain exceptions; only for tests that cause some.
        self.allows_contained_faults = False
        self.now = 1000.0
        self.random = Random(seed)
        # Decides how users spell submissions; apart, so that it changes nothing else in a history.
        self.spelling_random = Random(seed)
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_order = itertools.count()
        self.owners: dict[str, Owner] = {}
        self.inboxes: dict[str, list[Any]] = {}
        self.state = FakeStateService(self)
        self.cloud = FakeCloud(self)
        # Paused controllers, and until when. Those in `output_held_until` are paused after their
        # next decision, whose effects are sent only when the pause ends.
        self.paused_until: dict[str, float] = {}
        self.output_held_until: dict[str, float] = {}
        self.node_count = node_count
        for number in range(node_count):
            self.start_node(number)

    # -- time -----------------------------------------------------------------------------------

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay on the simulated clock."""
        heapq.heappush(self.timers, (self.now + delay_s, next(self.timer_order), action))

    def run(self, seconds: float) -> None:
        """Advance the simulated clock in steps of 20 ms, checking the rules at each step."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now = round(self.now + 0.02, 6)
            while self.timers and self.timers[0][0] <= self.now:
                heapq.heappop(self.timers)[2]()
            self.state.tick()
            for name in list(self.owners):
                self.step_node(name)
            acting = [s for o in self.owners.values() for s in o.shards.active_shards(self.now)]
            assert len(acting) == len(set(acting)), f"two controllers hold a shard: {acting}"
            self.check_rules()

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Advance until a condition holds and return the seconds taken; fail after the timeout."""
        started_at = self.now
        while not condition():
            assert self.now - started_at < timeout_s, "the condition did not hold in time"
            self.run(0.1)
        return self.now - started_at

    def fetch_description(
        self, job_id: str, callback: Callable[[dict[str, Any] | None], None]
    ) -> None:
        """Call back with what a user uploaded; points of sweeps are fetched from any controller."""
        if job_id in self.specs or not self.features:
            callback(self.specs.get(job_id))
            return
        untried = self.controller_names()
        self.random.shuffle(untried)

        def ask_next() -> None:
            if not untried:
                callback(None)
                return
            answered = [False]

            def answer(status: int | None, body: bytes) -> None:
                if answered[0]:
                    return
                answered[0] = True
                if status == 200:
                    self.specs[job_id] = json.loads(body)
                    callback(self.specs[job_id])
                else:
                    ask_next()

            self.request_controller(
                untried.pop(), "GET", f"/api/jobs/{job_id}/description", b"", answer
            )
            self.call_later(2.0, lambda: answer(None, b""))

        ask_next()

    def controller_names(self) -> list[str]:
        """Return the running controllers, or all of them if none is running."""
        return sorted(self.owners) or sorted(self.inboxes)

    # -- controllers ----------------------------------------------------------------------------

    def start_node(self, number: int) -> None:
        """Start a controller with empty memory."""
        name = f"n{number}"
        self.owners[name] = Owner(
            controller_settings(number, self.node_count, self.controller_teams),
            *(Random(number + 7), self.now, self.now, self.features),
        )
        self.inboxes[name] = []

    def kill_node(self, name: str) -> None:
        """End a controller without a shutdown."""
        del self.owners[name]

    def step_node(self, name: str) -> None:
        """Let a controller handle its inbox, unless it is paused or has nothing to do."""
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
        if owner.containment.faults and not self.allows_contained_faults:
            raise next(iter(owner.containment.faults.values()))
        if self.checks_ledgers and (differences := ledger_differences(owner)):
            raise AssertionError(
                f"{name}: the ledger differs from a recount: {'; '.join(differences[:5])}"
            )
        if (until := self.output_held_until.pop(name, None)) is not None and effects:
            self.paused_until[name] = until
            self.call_later(until - self.now, lambda: self.send_effects(name, owner, effects))
        else:
            self.send_effects(name, owner, effects)

    def send_effects(self, name: str, owner: Owner, effects: list[Any]) -> None:
        """Send a controller's replies and calls, unless it has ended meanwhile."""
        if self.owners.get(name) is not owner:
            return
        for effect in effects:
            if isinstance(effect, Reply):
                effect.exchange(effect.status, msgspec.json.encode(effect.body))
            else:
                self.deliver_call(name, owner, effect)

    def check_all_known(self) -> None:
        """Check that the controllers know each machine of the cloud, and each task on one."""
        known_tasks: set[str] = set()
        known_machines: set[str] = set()
        for owner in self.owners.values():
            known_machines |= owner.machines.keys()
            for machine in owner.machines.values():
                known_tasks |= {f"{machine.name} {task}" for task in machine.tasks}
        for name in self.cloud.machines:
            if name not in known_machines:
                raise RuleViolation(f"unknown machine {name}")
        for name, worker in self.workers.items():
            for task in worker.live_tasks():
                if f"{name} {task}" not in known_tasks:
                    raise RuleViolation(f"unknown task {task} on machine {name}")

    # -- users and workers ----------------------------------------------------------------------

    def start_user_request(
        self,
        node: str,
        method: str,
        path: str,
        body: Any = b"",
        on_answer: Callable[[int, Any], None] | None = None,
    ) -> None:
        """Send a user's request without waiting; check its answer by what users knew before.

        `on_answer` is called with the status (0: no answer) and the content of the answer.
        """
        asked_at, answered = next(self.answer_counter), [False]
        if (method, path) == ("POST", "/api/sweeps"):
            self.submitted_sweeps.add(body["id"])

        def answer(status: int | None, raw: bytes) -> None:
            if not answered[0]:
                answered[0] = True
                content = self.check_user_answer(path, body, status, raw, asked_at)
                if on_answer is not None:
                    on_answer(status or 0, content)

        self.request_controller(node, method, path, self._spelled(body), answer)

    def _spelled(self, body: Any) -> Any:
        """Return a known submission in a random spelling, and anything else as it is."""
        if isinstance(body, dict) and self.specs.get(body.get("nameId", "")) is body:
            return sound_body(self.spelling_random, body)
        return body

    def check_user_answer(
        self, path: str, body: Any, status: int | None, raw: bytes, asked_at: int | None = None
    ) -> Any:
        """Check an answer that a user was given, and return its content."""
        content = json.loads(raw) if raw else None
        self._record_user_answer(path, body, status or 0, content, asked_at)
        return content

    def _record_user_answer(
        self, path: str, body: Any, status: int, content: Any, asked_at: int | None = None
    ) -> None:
        """Check an answer about a job or a sweep; others are not checked."""
        parts = path.strip("/").split("/")
        if parts[:2] == ["api", "jobs"]:
            job_id, submitted = self._job_of_request(path, body), path == "/api/jobs"
            self.record_answer(job_id, status, content, submitted=submitted, asked_at=asked_at)
        elif isinstance(body, dict) and (path == "/api/sweeps" or parts[3:] == ["retry"]):
            sweep_id = str(body.get("id"))
            self.record_sweep_answer(sweep_id, status, content, submitted=True, asked_at=asked_at)
        elif path == "/api/sweeps" and status == 200:
            for view in content["sweeps"]:
                self.record_sweep_answer(
                    view["id"], status, view, submitted=False, asked_at=asked_at
                )
        elif parts[:2] == ["api", "sweeps"] and self._is_about_sweep(parts[2:]):
            self.record_sweep_answer(parts[2], status, content, submitted=False, asked_at=asked_at)

    @staticmethod
    def _is_about_sweep(parts: list[str]) -> bool:
        """Return whether the end of a path asks for a sweep's state or cancels the sweep."""
        return len(parts) > 0 and parts[0] != "preview" and parts[1:] in ([], ["cancel"])

    def user_request(self, node: str, method: str, path: str, body: Any = b"") -> tuple[int, Any]:
        """Send a user's request and advance up to 6 s until it is answered; status 0: no answer."""
        answers: list[tuple[int, Any]] = []
        answer = lambda s, b: answers.append((s or 0, json.loads(b) if b else None))  # noqa: E731
        self.request_controller(node, method, path, self._spelled(body), answer)
        asked_at = self.now
        while not answers and self.now - asked_at < 6:
            self.run(0.02)
        self._record_user_answer(path, body, *(answers[0] if answers else (0, None)))
        return answers[0] if answers else (0, None)

    @staticmethod
    def _job_of_request(path: str, body: Any) -> str:
        if path == "/api/jobs":
            if not isinstance(body, bytes):
                return str(body.get("nameId"))
            try:
                return _decode_named(body).nameId
            except MalformedMessage:
                return ""
        return path.split("/")[3]

    def poll_jobs(self, interval_s: float = 5.0) -> None:
        """From now on let users ask for each accepted job periodically, at random controllers."""
        for job_id in list(self.reported_states):
            if self.reported_states[job_id] not in ("done", "aborted"):
                self._poll_job(job_id)
        self.call_later(interval_s, lambda: self.poll_jobs(interval_s))

    def _poll_job(self, job_id: str) -> None:
        statuses: list[int] = []

        def answer(status: int | None, raw: bytes) -> None:
            if not statuses:
                statuses.append(status or 0)
                body = json.loads(raw) if raw else None
                self.record_answer(job_id, status or 0, body, submitted=False)

        node = self.random.choice(self.controller_names())
        self.request_controller(node, "GET", f"/api/jobs/{job_id}", b"", answer)
        self.call_later(2.0, lambda: answer(None, b""))

    def add_spec(self, spec: dict[str, Any]) -> dict[str, Any]:
        """Make a submission known to the workers and return it."""
        self.specs[spec["nameId"]] = spec
        return spec

    def submit(self, node: str, spec: dict[str, Any]) -> tuple[int, Any]:
        """Submit a job to a controller and return the status and content of the answer."""
        return self.user_request(node, "POST", "/api/jobs", self.add_spec(spec))

    def machine_booted(self, name: str) -> None:
        """Start the worker of a rented machine, unless the machine has been deleted."""
        if name in self.cloud.machines:
            self.cloud.machines[name]["standing"] = "running"
            self.workers[name] = FakeWorker(self, name, self.cloud.machines[name])


def world_with_machines(count: int) -> World:
    """Return a world with three running controllers and small machines in two zones."""
    world = World()
    for i in range(count):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    return world


def job_state(world: World, node: str, job_id: str) -> str:
    """Return a job's state as a controller reports it, or the HTTP status of a refusal."""
    status, body = world.user_request(node, "GET", f"/api/jobs/{job_id}")
    return body["standing"] if status == 200 else str(status)

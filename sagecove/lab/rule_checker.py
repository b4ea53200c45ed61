"""PROTOCOL's rules as the stand-ins can see them, checked at every start and as time goes by.

Shares no code with the controllers. A breach raises `RuleBroken`, which names the rule first.
"""

import itertools
from collections.abc import Callable
from random import Random
from typing import Any

from sagecove.lab.deployment import CANCEL_S, LEASE_S, MACHINE_TYPES, TEAMS, job_submission
from sagecove.lab.fakes import FakeWorker

# The operators' addition to the rules (seconds; share).
UNANSWERED_LIMIT_S = 75.0
SERVED_WITHIN_S = 240.0
WAITING_LIMIT_S = 90.0
MIN_SERVED_SHARE = 0.5
# What every submission has; those that may be null may also be left out.
REQUIRED_FIELDS = set(job_submission(0)) - {"breeds", "range", "dueS"}


class RuleViolation(AssertionError):
    """A rule of PROTOCOL was broken: its name, and by what."""


class RuleChecker:
    """What has been submitted, cancelled, started and completed, and whether that was in order."""

    now: float
    random: Random

    def __init__(self) -> None:
        self.workers: dict[str, FakeWorker] = {}
        # Submissions by job id, in wire names: what workers fetch.
        self.specs: dict[str, dict[str, Any]] = {}
        # Sweeps that were accepted: their points are jobs that nobody submits one by one.
        self.accepted_sweeps: set[str] = set()
        # When users were told that a job is cancelled.
        self.cancelled_at: dict[str, float] = {}
        self.completed_tasks: set[str] = set()
        self.failing_jobs: set[str] = set()
        # What users have been told of jobs: the last state, and tasks that completed.
        self.reported_states: dict[str, str] = {}
        # The same in the order of the users' clocks: from which moment on a job has been accepted,
        # done or cancelled for its users. A request begun before that may be answered as before.
        self.answer_counter = itertools.count()
        self.state_history: dict[str, list[tuple[int, str]]] = {}
        # Tasks that started after their users had been told of the cancellation: (task, how long
        # after). Messages under way make some of them; none may be `cancel_s` late.
        self.starts_after_cancel: list[tuple[str, float]] = []
        # Teams whose limits hold, and those of the settings that controllers are started with.
        self.teams = TEAMS
        # (time, task, machine).
        self.task_starts: list[tuple[float, str, str]] = []
        # When jobs were first submitted; accepted ones of which no question is answered, and since
        # when; and when all troubles were over (None: they are not).
        self.submitted_at: dict[str, float] = {}
        self.unanswered_since: dict[str, float] = {}
        self.faults_over_at: float | None = None
        # Jobs that wait though they could begin, and since when.
        self.startable_since: dict[str, float] = {}
        self.waiting_checked_at = 0.0

    def fetch_description(self, job_id: str, done: Callable[[dict[str, Any] | None], None]) -> None:
        """A job's description, as workers fetch it: what its user has uploaded."""
        done(self.specs.get(job_id))

    def task_started(self, worker: FakeWorker, task: str) -> None:
        """A task starts on a machine."""
        self.task_starts.append((self.now, task, worker.name))
        for other in self.workers.values():
            other.check_lease()
            if other is not worker and task in other.live_tasks():
                raise RuleViolation(f"ran_twice {task} on {worker.name} and {other.name}")
        job_id = task.split("/")[0]
        spec = self.specs[job_id]
        info = worker.cloud_record
        if (
            (spec["breeds"] is not None and info["breed"] not in spec["breeds"])
            or spec["range"] not in (None, info["range"])
            or (info["borrowed"] and not spec["borrowed"])
        ):
            raise RuleViolation(f"wrong_place {task} on {worker.name}")
        zones = [
            w.cloud_record["range"]
            for w in self.workers.values()
            for t in w.live_tasks()
            if t.split("/")[0] == job_id and t != task
        ] + [info["range"]]
        if spec["samePlace"] and len(set(zones)) > 1:
            raise RuleViolation(f"wrong_place {task}: zones {zones}")
        if spec["scatter"] and zones.count(info["range"]) > (spec["hands"] + 1) // 2:
            raise RuleViolation(f"wrong_place {task}: zones {zones}")
        if job_id in self.cancelled_at:
            self.starts_after_cancel.append((task, self.now - self.cancelled_at[job_id]))
        self._check_cancelled(job_id)

    def _check_cancelled(self, job_id: str) -> None:
        if job_id in self.cancelled_at and self.now - self.cancelled_at[job_id] > CANCEL_S:
            raise RuleViolation(f"ran_cancelled {job_id}")

    def check_rules(self) -> None:
        """Limits of teams, and tasks of cancelled jobs, at this moment."""
        used: dict[str, float] = {}
        for worker in self.workers.values():
            if self.now - worker.lease_started_at > LEASE_S:
                continue
            for task in worker.live_tasks():
                job_id = task.split("/")[0]
                spec = self.specs.get(job_id)
                if spec is None:
                    # Its description is still being fetched: it has not started.
                    continue
                used[spec["outfit"]] = used.get(spec["outfit"], 0.0) + spec["vcpus"]
                self._check_cancelled(job_id)
        if self.faults_over_at is not None:
            for job_id, since in self.unanswered_since.items():
                if self.now - max(since, self.faults_over_at) > UNANSWERED_LIMIT_S:
                    raise RuleViolation(f"forgotten {job_id}: no question answered")
            if self.now - self.waiting_checked_at >= 1.0:
                self.waiting_checked_at = self.now
                self._check_waiting(used)
        for team in self.teams:
            if team["cpus_max"] and used.get(team["name"], 0.0) > team["cpus_max"] + 1e-6:
                raise RuleViolation(f"quota {team['name']} uses {used[team['name']]} CPUs")

    def _check_waiting(self, used: dict[str, float]) -> None:
        """No job waits while machines that fit have room and its team is under its limit."""
        on = {t.split("/")[0] for w in self.workers.values() for t in w.tasks}
        over = {task.split("/")[0] for task in self.completed_tasks}
        for job_id, state in self.reported_states.items():
            spec = self.specs.get(job_id)
            left = state not in ("done", "aborted") and job_id not in on | over | self.failing_jobs
            if spec is None or not left or not self._could_begin(spec, used):
                self.startable_since.pop(job_id, None)
            elif self.now - self.startable_since.setdefault(job_id, self.now) > WAITING_LIMIT_S:
                raise RuleViolation(f"waiting {job_id}: there is room for it")

    def _could_begin(self, spec: dict[str, Any], used: dict[str, float]) -> bool:
        """Its tasks, of an array one, find room on machines as they are."""
        at_once = 1 if spec["shape"] == "sweep" else int(spec["hands"])
        team = next(t for t in self.teams if t["name"] == spec["outfit"])
        most = team["cpus_max"] or float("inf")
        if used.get(team["name"], 0.0) + at_once * spec["vcpus"] > most + 1e-6:
            return False
        room: dict[str, int] = {}
        for worker in self.workers.values():
            info = worker.cloud_record
            kind = next(t for t in MACHINE_TYPES if t["sku"] == info["breed"])
            if (
                (spec["breeds"] is not None and info["breed"] not in spec["breeds"])
                or spec["range"] not in (None, info["range"])
                or (info["borrowed"] and not spec["borrowed"])
            ):
                continue
            have = [self.specs.get(t.split("/")[0]) for t in worker.tasks]
            if any(other is None for other in have):
                continue
            times = [at_once]
            for field in ("vcpus", "cards", "memoryGb"):
                free = kind[field] - sum(other[field] for other in have if other)
                if spec[field] > 0:
                    times.append(int((free + 1e-6) // spec[field]))
            room[info["range"]] = room.get(info["range"], 0) + max(0, min(times))
        if spec["samePlace"]:
            return max(room.values(), default=0) >= at_once
        if spec["scatter"]:
            room = {zone: min(n, (spec["hands"] + 1) // 2) for zone, n in room.items()}
        return sum(room.values()) >= at_once

    def record_answer(
        self, job_id: str, status: int, answer: Any, *, submitted: bool, asked_at: int | None = None
    ) -> None:
        """A user was given an answer about one job (status 0: none). `begun`: the moment at which
        it asked, if others asked meanwhile."""
        told = self.state_history.get(job_id, [])
        known = [state for moment, state in told if asked_at is None or moment < asked_at]
        before = known[-1] if known else None
        if submitted:
            self.submitted_at.setdefault(job_id, self.now)
        if status in (200, 201):
            self.unanswered_since.pop(job_id, None)
        elif before is not None:
            self.unanswered_since.setdefault(job_id, self.now)
        if status == 404 and before is not None:
            raise RuleViolation(f"forgotten {job_id} was {before}")
        if submitted and status in (400, 422) and before is not None:
            raise RuleViolation(f"forgotten {job_id} was {before}, then refused")
        if status not in (200, 201) or not isinstance(answer, dict):
            return
        if job_id not in self.specs and job_id.rpartition(".p")[0] not in self.accepted_sweeps:
            raise RuleViolation(f"invented {job_id}")
        state = answer["standing"]
        if before in ("done", "aborted") and state != before:
            raise RuleViolation(f"went_back {job_id} from {before} to {state}")
        if state == "done":
            every = {f"{job_id}/{n}" for n in range(self.specs.get(job_id, {"hands": 1})["hands"])}
            if every - self.completed_tasks:
                raise RuleViolation(
                    f"not_done {job_id} lacks {len(every - self.completed_tasks)} tasks"
                )
        if submitted and status == 201 and job_id in self.specs:
            self._check_accepted(self.specs[job_id])
        final = next((s for _, s in told if s in ("done", "aborted")), None)
        if final is not None and state in ("done", "aborted") and state != final:
            raise RuleViolation(f"went_back {job_id} from {final} to {state}")
        if not told or (final is None and state in ("done", "aborted")):
            self.state_history.setdefault(job_id, []).append((next(self.answer_counter), state))
        if final is None:
            self.reported_states[job_id] = state
        if state == "aborted":
            self.cancelled_at.setdefault(job_id, self.now)

    def _check_accepted(self, spec: dict[str, Any]) -> None:
        """Who accepts a job says that it can run, and that it lacks nothing."""
        missing = REQUIRED_FIELDS - set(spec)
        team = next((t for t in self.teams if t["name"] == spec.get("outfit")), None)
        if missing or team is None:
            raise RuleViolation(f"accepted {spec['nameId']} lacks {sorted(missing) or 'a team'}")
        fits = any(
            spec["vcpus"] <= t["vcpus"]
            and spec["cards"] <= t["cards"]
            and spec["memoryGb"] <= t["memoryGb"]
            and (spec["breeds"] is None or t["sku"] in spec["breeds"])
            and spec["range"] in (None, *t["ranges"])
            for t in MACHINE_TYPES
        )
        at_once = 1 if spec["shape"] == "sweep" else spec["hands"]
        most = team["cpus_max"] or float("inf")
        if not fits or at_once * spec["vcpus"] > most + 1e-6:
            raise RuleViolation(f"accepted {spec['nameId']} can't run")

    def served_shares(self, by: str = "herd") -> dict[str, float]:
        """Share of accepted jobs that weren't cancelled and began within four minutes (a gang or
        service with all its tasks), by class or, with `outfit`, team; the largest of each class, of
        which there is another size, apart."""
        begun: dict[str, set[str]] = {}
        for at, task, _ in self.task_starts:
            job_id = task.split("/")[0]
            if at - self.submitted_at.get(job_id, at) <= SERVED_WITHIN_S:
                begun.setdefault(job_id, set()).add(task)
        groups: dict[str, list[bool]] = {}
        jobs = [
            self.specs[j]
            for j in self.reported_states
            if j in self.specs and j not in self.cancelled_at
        ]
        for spec in jobs:
            tasks = len(begun.get(spec["nameId"], ()))
            good = tasks >= (1 if spec["shape"] == "sweep" else spec["hands"])
            groups.setdefault(spec[by], []).append(good)
            sizes = {s["hands"] for s in jobs if s["herd"] == spec["herd"]}
            if len(sizes) > 1 and spec["hands"] == max(sizes):
                groups.setdefault(f"largest {spec['herd']}", []).append(good)
        return {name: sum(good) / len(good) for name, good in groups.items()}

    def check_served(self) -> None:
        """Less than half of a class, a team or a class's largest jobs fails the day."""
        for name, share in {**self.served_shares(), **self.served_shares("outfit")}.items():
            if share < MIN_SERVED_SHARE:
                raise RuleViolation(f"served {name}: {share:.2f}")

    def running_task_count(self, job_id: str) -> int:
        """How many of a job's tasks are on machines."""
        return sum(
            1
            for w in self.workers.values()
            if self.now - w.lease_started_at <= LEASE_S
            for t in w.live_tasks()
            if t.split("/")[0] == job_id
        )

"""Checks PROTOCOL's rules on what the fakes observe, at every task start and as time advances.

Shares no code with the controllers. A broken rule raises `RuleViolation`, whose text begins with
the name of the rule.
"""

import itertools
from collections.abc import Callable
from random import Random
from typing import Any

from sagecove.lab.answer_history import AnswerHistory, RuleViolation
from sagecove.lab.deployment import CANCEL_S, LEASE_S, MACHINE_TYPES, TEAMS, job_submission
from sagecove.lab.fakes import FakeWorker

# Bounds that operators set in addition to PROTOCOL.
UNANSWERED_LIMIT_S = 75.0
SERVED_WITHIN_S = 240.0
WAITING_LIMIT_S = 90.0
MIN_SERVED_SHARE = 0.5
# A controller may not know of a cancellation for the length of its own lease, and workers take an
# answer up to 4 s after it was decided.
STOP_DUE_AFTER_S = 0.65 * LEASE_S + 4.0
# Fields that every submission must have; fields that may be null may also be left out.
REQUIRED_FIELDS = set(job_submission(0)) - {"breeds", "range", "dueS"}


class RuleChecker:
    """Records what is submitted, cancelled, started and completed, and checks it by the rules."""

    now: float
    random: Random

    def __init__(self) -> None:
        self.workers: dict[str, FakeWorker] = {}
        # Submissions by job id, in wire names, as workers fetch them.
        self.specs: dict[str, dict[str, Any]] = {}
        # Accepted sweeps: their points are jobs that nobody submits individually.
        self.accepted_sweeps: set[str] = set()
        # Submitted sweeps that were not refused; users may not know yet that they are accepted.
        self.submitted_sweeps: set[str] = set()
        # When users first learnt that a job is cancelled.
        self.cancelled_at: dict[str, float] = {}
        self.completed_tasks: set[str] = set()
        self.failing_jobs: set[str] = set()
        # The last state of each job that was reported to users.
        self.reported_states: dict[str, str] = {}
        # Orders requests and answers.
        self.answer_counter = itertools.count()
        self.job_history = AnswerHistory(self.answer_counter)
        self.sweep_history = AnswerHistory(self.answer_counter)
        # (task, seconds) for tasks that started so long after users learnt of the cancellation.
        # Messages in flight cause some of them; none may be more than `cancel_s` late.
        self.starts_after_cancel: list[tuple[str, float]] = []
        # Teams with the limits that are checked.
        self.teams = TEAMS
        # All task starts, as (time, task, machine).
        self.task_starts: list[tuple[float, str, str]] = []
        # Started attempts, as (machine, restarts, session, task, attempt), and those that a worker
        # started again in the same session: it was told to forget them while a launch was under
        # way. A worker that has restarted does not know what it started before.
        self.started_attempts: set[tuple[str, int, int, str, int]] = set()
        self.repeated_attempts: list[tuple[str, int, int, str, int]] = []
        # When jobs were first submitted; since when no request about an accepted job has been
        # answered; and when all faults were over (None: they are not yet).
        self.submitted_at: dict[str, float] = {}
        self.unanswered_since: dict[str, float] = {}
        self.faults_over_at: float | None = None
        # Since when jobs have waited though there is room for them.
        self.startable_since: dict[str, float] = {}
        self.waiting_checked_at = 0.0

    def fetch_description(
        self, job_id: str, callback: Callable[[dict[str, Any] | None], None]
    ) -> None:
        """Call back with the job description that its user uploaded."""
        callback(self.specs.get(job_id))

    def task_started(self, worker: FakeWorker, task: str) -> None:
        """Record a task start and check that it is allowed there and then."""
        self.task_starts.append((self.now, task, worker.name))
        attempt = (
            *(worker.name, worker.restart_count, worker.session),
            *(task, int(worker.tasks[task]["try"])),
        )
        if attempt in self.started_attempts:
            self.repeated_attempts.append(attempt)
        self.started_attempts.add(attempt)
        for other in self.workers.values():
            other.check_lease()
            if other is not worker and task in other.live_tasks():
                raise RuleViolation(f"ran_twice {task} on {worker.name} and {other.name}")
        job_id = task.split("/")[0]
        spec = self.specs[job_id]
        cloud_record = worker.cloud_record
        if (
            (spec["breeds"] is not None and cloud_record["breed"] not in spec["breeds"])
            or spec["range"] not in (None, cloud_record["range"])
            or (cloud_record["borrowed"] and not spec["borrowed"])
        ):
            raise RuleViolation(f"wrong_place {task} on {worker.name}")
        zones = [
            w.cloud_record["range"]
            for w in self.workers.values()
            for t in w.live_tasks()
            if t.split("/")[0] == job_id and t != task
        ] + [cloud_record["range"]]
        if spec["samePlace"] and len(set(zones)) > 1:
            raise RuleViolation(f"wrong_place {task}: zones {zones}")
        if spec["scatter"] and zones.count(cloud_record["range"]) > (spec["hands"] + 1) // 2:
            raise RuleViolation(f"wrong_place {task}: zones {zones}")
        if job_id in self.cancelled_at:
            self.starts_after_cancel.append((task, self.now - self.cancelled_at[job_id]))
        self._check_cancelled(job_id)

    def lease_renewed(self, worker: FakeWorker, reported_attempts: dict[str, int]) -> None:
        """Check that an answer that renewed a worker's lease stopped the cancelled jobs' tasks.

        `reported_attempts` are the tasks, with their attempts, of the report that was answered.
        """
        for task, attempt in reported_attempts.items():
            entry = worker.tasks.get(task)
            cancelled_at = self.cancelled_at.get(task.split("/")[0])
            if entry is None or cancelled_at is None or entry["try"] != attempt:
                continue
            goes_on = entry["standing"] not in ("exited", "saving")
            if goes_on and self.now - cancelled_at > STOP_DUE_AFTER_S:
                raise RuleViolation(f"renewed_cancelled {task} on {worker.name}")

    def _check_cancelled(self, job_id: str) -> None:
        if job_id in self.cancelled_at and self.now - self.cancelled_at[job_id] > CANCEL_S:
            raise RuleViolation(f"ran_cancelled {job_id}")

    def check_rules(self) -> None:
        """Check the rules that hold at every moment: limits, cancellations, answers and waiting."""
        used_cpus: dict[str, float] = {}
        for worker in self.workers.values():
            if self.now - worker.lease_started_at > LEASE_S:
                continue
            for task in worker.live_tasks():
                job_id = task.split("/")[0]
                spec = self.specs.get(job_id)
                if spec is None:
                    # Its description is still being fetched, so it has not started.
                    continue
                used_cpus[spec["outfit"]] = used_cpus.get(spec["outfit"], 0.0) + spec["vcpus"]
                self._check_cancelled(job_id)
        if self.faults_over_at is not None:
            for job_id, since in self.unanswered_since.items():
                if self.now - max(since, self.faults_over_at) > UNANSWERED_LIMIT_S:
                    raise RuleViolation(f"forgotten {job_id}: no question answered")
            if self.now - self.waiting_checked_at >= 1.0:
                self.waiting_checked_at = self.now
                self._check_waiting(used_cpus)
        for team in self.teams:
            if team["cpus_max"] and used_cpus.get(team["name"], 0.0) > team["cpus_max"] + 1e-6:
                raise RuleViolation(f"quota {team['name']} uses {used_cpus[team['name']]} CPUs")

    def _check_waiting(self, used_cpus: dict[str, float]) -> None:
        """Check that no job waits too long while there is room and its team is under its limit."""
        placed_jobs = {t.split("/")[0] for w in self.workers.values() for t in w.tasks}
        completed_jobs = {task.split("/")[0] for task in self.completed_tasks}
        for job_id, state in self.reported_states.items():
            spec = self.specs.get(job_id)
            unfinished = (
                state not in ("done", "aborted")
                and job_id not in placed_jobs | completed_jobs | self.failing_jobs
            )
            if spec is None or not unfinished or not self._could_start(spec, used_cpus):
                self.startable_since.pop(job_id, None)
            elif self.now - self.startable_since.setdefault(job_id, self.now) > WAITING_LIMIT_S:
                raise RuleViolation(f"waiting {job_id}: there is room for it")

    def _could_start(self, spec: dict[str, Any], used_cpus: dict[str, float]) -> bool:
        """Return whether all tasks of a job, or one of an array, fit on the current machines."""
        tasks_at_once = 1 if spec["shape"] == "sweep" else int(spec["hands"])
        team = next(t for t in self.teams if t["name"] == spec["outfit"])
        cpu_limit = team["cpus_max"] or float("inf")
        if used_cpus.get(team["name"], 0.0) + tasks_at_once * spec["vcpus"] > cpu_limit + 1e-6:
            return False
        room: dict[str, int] = {}
        for worker in self.workers.values():
            cloud_record = worker.cloud_record
            machine_type = next(t for t in MACHINE_TYPES if t["sku"] == cloud_record["breed"])
            if (
                (spec["breeds"] is not None and cloud_record["breed"] not in spec["breeds"])
                or spec["range"] not in (None, cloud_record["range"])
                or (cloud_record["borrowed"] and not spec["borrowed"])
            ):
                continue
            placed_specs = [self.specs.get(t.split("/")[0]) for t in worker.tasks]
            if any(other is None for other in placed_specs):
                continue
            fitting_counts = [tasks_at_once]
            for field in ("vcpus", "cards", "memoryGb"):
                free = machine_type[field] - sum(other[field] for other in placed_specs if other)
                if spec[field] > 0:
                    fitting_counts.append(int((free + 1e-6) // spec[field]))
            room[cloud_record["range"]] = room.get(cloud_record["range"], 0) + max(
                0, min(fitting_counts)
            )
        if spec["samePlace"]:
            return max(room.values(), default=0) >= tasks_at_once
        if spec["scatter"]:
            room = {zone: min(n, (spec["hands"] + 1) // 2) for zone, n in room.items()}
        return sum(room.values()) >= tasks_at_once

    def record_answer(
        self, job_id: str, status: int, answer: Any, *, submitted: bool, asked_at: int | None = None
    ) -> None:
        """Check an answer that a user was given about a job; status 0 means no answer.

        `asked_at` is the `answer_counter` number at which the request was sent, if other requests
        were open meanwhile.
        """
        history = self.job_history
        if submitted:
            self.submitted_at.setdefault(job_id, self.now)
        if status in (200, 201):
            self.unanswered_since.pop(job_id, None)
        elif history.known_before(job_id, asked_at) is not None:
            self.unanswered_since.setdefault(job_id, self.now)
        history.check_refusal(job_id, status, submitted, asked_at)
        if status not in (200, 201) or not isinstance(answer, dict):
            return
        sweep_id = job_id.rpartition(".p")[0]
        if job_id not in self.specs and not self._sweep_may_exist(sweep_id):
            raise RuleViolation(f"invented {job_id}")
        state = answer["standing"]
        history.check_state(job_id, state, asked_at)
        if state == "done":
            all_tasks = {
                f"{job_id}/{n}" for n in range(self.specs.get(job_id, {"hands": 1})["hands"])
            }
            if all_tasks - self.completed_tasks:
                raise RuleViolation(
                    f"not_done {job_id} lacks {len(all_tasks - self.completed_tasks)} tasks"
                )
        if submitted and status == 201 and job_id in self.specs:
            self._check_accepted(self.specs[job_id])
        history.check_final_state(job_id, state)
        if history.final_state(job_id) is None:
            self.reported_states[job_id] = state
        history.record(job_id, state)
        if state == "aborted":
            self.cancelled_at.setdefault(job_id, self.now)

    def record_sweep_answer(
        self,
        sweep_id: str,
        status: int,
        answer: Any,
        *,
        submitted: bool,
        asked_at: int | None = None,
    ) -> None:
        """Check an answer that a user was given about a sweep; see `record_answer`."""
        self.sweep_history.check_refusal(sweep_id, status, submitted, asked_at)
        if submitted and status in (400, 413, 422):
            self.submitted_sweeps.discard(sweep_id)
        if status not in (200, 201) or not isinstance(answer, dict):
            return
        if submitted:
            self.accepted_sweeps.add(sweep_id)
        if not self._sweep_may_exist(sweep_id):
            raise RuleViolation(f"invented {sweep_id}")
        self.sweep_history.check_state(sweep_id, answer["state"], asked_at)
        self.sweep_history.check_final_state(sweep_id, answer["state"])
        self.sweep_history.record(sweep_id, answer["state"])

    def _sweep_may_exist(self, sweep_id: str) -> bool:
        return sweep_id in self.accepted_sweeps or sweep_id in self.submitted_sweeps

    def _check_accepted(self, spec: dict[str, Any]) -> None:
        """Check that an accepted job can run and that its submission is complete."""
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
        tasks_at_once = 1 if spec["shape"] == "sweep" else spec["hands"]
        cpu_limit = team["cpus_max"] or float("inf")
        if not fits or tasks_at_once * spec["vcpus"] > cpu_limit + 1e-6:
            raise RuleViolation(f"accepted {spec['nameId']} can't run")

    def served_shares(self, group_field: str = "herd") -> dict[str, float]:
        """Return the share of accepted, not cancelled jobs that began within `SERVED_WITHIN_S`.

        A gang or service has begun when all its tasks have. Shares are by class (`herd`) or by team
        (`outfit`); if a class has jobs of several sizes, its largest ones also count separately.
        """
        started_tasks: dict[str, set[str]] = {}
        for started_at, task, _ in self.task_starts:
            job_id = task.split("/")[0]
            if started_at - self.submitted_at.get(job_id, started_at) <= SERVED_WITHIN_S:
                started_tasks.setdefault(job_id, set()).add(task)
        groups: dict[str, list[bool]] = {}
        jobs = [
            self.specs[j]
            for j in self.reported_states
            if j in self.specs and j not in self.cancelled_at
        ]
        for spec in jobs:
            started_count = len(started_tasks.get(spec["nameId"], ()))
            began_in_time = started_count >= (1 if spec["shape"] == "sweep" else spec["hands"])
            groups.setdefault(spec[group_field], []).append(began_in_time)
            sizes = {s["hands"] for s in jobs if s["herd"] == spec["herd"]}
            if len(sizes) > 1 and spec["hands"] == max(sizes):
                groups.setdefault(f"largest {spec['herd']}", []).append(began_in_time)
        return {name: sum(outcomes) / len(outcomes) for name, outcomes in groups.items()}

    def check_served(self) -> None:
        """Check that in each group of `served_shares`, `MIN_SERVED_SHARE` began in time."""
        for name, share in {**self.served_shares(), **self.served_shares("outfit")}.items():
            if share < MIN_SERVED_SHARE:
                raise RuleViolation(f"served {name}: {share:.2f}")

    def running_task_count(self, job_id: str) -> int:
        """Return how many tasks of a job are on machines whose leases have not expired."""
        return sum(
            1
            for w in self.workers.values()
            if self.now - w.lease_started_at <= LEASE_S
            for t in w.live_tasks()
            if t.split("/")[0] == job_id
        )

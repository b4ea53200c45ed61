"""Random histories of more work than room, most without faults, which must all be served.

`tests/test_waiting_search.py` plays a few seeds of each kind and `bench/waiting.py` many. A history
breaks a rule if a job waits beside room (`RuleChecker`), or if work stalls: all services are
cancelled, tasks are left that the machines could run, and none is completed for long.
"""

import enum
from random import Random
from typing import Any

from sagecove.lab.answer_history import RuleViolation
from sagecove.lab.deployment import job_submission
from sagecove.lab.random_faults import RandomFaults
from sagecove.lab.world import World

# Work that is left has stalled after so long without a completed task: the bound on waiting (90 s),
# and one minute for what has to end or to boot before it.
STALLED_AFTER_S = 150.0
# A history takes no longer than this, stalled or not.
HISTORY_MAX_S = 1500.0
JOB_COUNT = 30
# Share of the submissions after which a fault is caused.
FAULT_SHARE = 0.3
TEAMS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 16.0, "cpus_max": 40.0, "gpus": 0, "gpus_max": 0},
    {"name": "blue", "cpus": 8.0, "cpus_max": 12.0, "gpus": 0, "gpus_max": 0},
    {"name": "green", "cpus": 0.0, "cpus_max": 24.0, "gpus": 0, "gpus_max": 0},
]


class HistoryKind(enum.Enum):
    """Which jobs and machines a history has."""

    GANGS = "gangs and arrays"
    ZONES = "arrays, some bound to one zone or spread"
    SPOT = "arrays and gangs, spot machines beside ordinary ones"
    MIXED = "all shapes, with services"
    FAULTS = "all shapes but services, while controllers end and machines are lost"


class WaitingHistory:
    """One history, drawn from one seed."""

    def __init__(self, kind: HistoryKind, seed: int) -> None:
        self.kind = kind
        self.random = Random(f"{kind.name} {seed}")
        self.faults: RandomFaults | None = None
        self.world = World(self.random.choice([1, 2, 3]), seed, checks_ledgers=False, teams=TEAMS)
        machine_count = self.random.randint(5, 9)
        self.world.cloud.capacity = {
            "small": machine_count + self.random.choice([0, 0, 4, 12]),
            "gpu": 0,
        }
        for number in range(machine_count):
            spot = self._mixes_spot() and self.random.random() < 0.5
            self.world.cloud.start_machine("small", "ab"[number % 2], spot)

    def _mixes_spot(self) -> bool:
        return self.kind in (HistoryKind.SPOT, HistoryKind.MIXED)

    def play(self) -> None:
        """Play the history; raise `RuleViolation` if a job waits beside room or work stalls."""
        world = self.world
        world.run(6)
        for worker in world.workers.values():
            worker.task_run_s = None
        world.poll_jobs()
        if self.kind is HistoryKind.FAULTS:
            self.faults = RandomFaults(world, self.random)
        else:
            world.faults_over_at = world.now
        span_s = self.random.choice([10.0, 30.0, 60.0])
        for number in range(1, JOB_COUNT + 1):
            self._submit(job_submission(number, **self._fields()))
            world.run(self.random.uniform(0.0, 2.0 * span_s / JOB_COUNT))
            if self.faults is not None and self.random.random() < FAULT_SHARE:
                self.faults.cause_one()
        world.run(40.0)
        if self.faults is not None:
            world.faults_over_at = world.now
        for job_id, spec in world.specs.items():
            if spec["shape"] == "service" and job_id in world.reported_states:
                world.user_request("n0", "POST", f"/api/jobs/{job_id}/cancel")
        self._finish()

    def _submit(self, job: dict[str, Any]) -> None:
        """Submit a job until it is accepted, or refused as one that can never run."""
        status = 0
        while status not in (200, 201, 422):
            status, _ = self.world.submit(self.random.choice(sorted(self.world.owners)), job)

    def _finish(self) -> None:
        """Advance until all work is done."""
        world = self.world
        started_at = completed_at = world.now
        completed_count = len(world.completed_tasks)
        while left := self._tasks_left():
            world.run(1.0)
            if len(world.completed_tasks) > completed_count:
                completed_count, completed_at = len(world.completed_tasks), world.now
            if world.now - completed_at > STALLED_AFTER_S:
                jobs = sorted({task.split("/")[0] for task in left})
                raise RuleViolation(f"stalled: {len(left)} tasks of {', '.join(jobs)} are left")
            if world.now - started_at > HISTORY_MAX_S:
                raise RuleViolation(f"{len(left)} tasks are left after {HISTORY_MAX_S:.0f} s")

    def _tasks_left(self) -> set[str]:
        world = self.world
        return {
            f"{job_id}/{index}"
            for job_id in world.reported_states
            if job_id in world.specs and job_id not in world.cancelled_at
            for index in range(world.specs[job_id]["hands"])
        } - world.completed_tasks

    # -- jobs -----------------------------------------------------------------------------------

    def _fields(self) -> dict[str, Any]:
        random = self.random
        shapes = {
            HistoryKind.GANGS: ["sweep", "ensemble"],
            HistoryKind.ZONES: ["sweep"],
            HistoryKind.SPOT: ["sweep", "sweep", "ensemble"],
            HistoryKind.MIXED: ["sweep", "sweep", "ensemble", "service"],
            HistoryKind.FAULTS: ["sweep", "sweep", "ensemble"],
        }[self.kind]
        shape = random.choice(shapes)
        fields: dict[str, Any] = {
            "shape": shape,
            "outfit": random.choice(["red", "blue", "green"]),
            "rank": random.choice(["urgent", "normal", "low"]),
            "hands": random.choice([1, 1, 2, 4, 12] if shape == "sweep" else [1, 2, 2, 3, 4]),
            "vcpus": random.choice([0.5, 1.0, 2.0, 3.0, 4.0]),
            "memoryGb": random.choice([1.0, 4.0, 8.0]),
            "sizeGb": 0.0,
            "reckonS": random.choice([1.0, 2.0, 4.0]),
        }
        if shape == "service":
            fields |= {
                "rank": "production",
                "vcpus": random.choice([0.5, 1.0, 2.0]),
                "reckonS": 0.0,
            }
        if self.kind in (HistoryKind.ZONES, HistoryKind.MIXED, HistoryKind.FAULTS):
            rule = random.choice(["", "", "samePlace", "scatter"])
            if rule:
                fields[rule] = True
        if self._mixes_spot():
            fields["borrowed"] = random.random() < 0.5
        return fields

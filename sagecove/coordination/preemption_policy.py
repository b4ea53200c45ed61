"""Decides which tasks may be preempted for a job, and which are worth preempting.

PROTOCOL and the precedence of jobs decide what may be preempted. An array task that ends by the
time its room is needed is not worth preempting, and one that was preempted before is spared for
longer each time. Services and gangs do not wait for tasks to end. See docs/design-preemption.md.
"""

from __future__ import annotations

from typing import Protocol

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.model import JobRun, Placement
from sagecove.coordination.precedence import fixed_precedence

# A task that has run for this many times its expected time is expected to run on for half the time
# it has run, as nothing better is known.
OVERRUN_RATIO = 1.5
# Work within a guarantee gets its room after this many worker reports.
GUARANTEE_WAIT_REPORT_COUNT = 2.0


class RunTimeEstimates(Protocol):
    """Expected run times and target times of jobs."""

    def expected_run_s(self, job: JobRun) -> float:
        """Return the expected run time of a task, including the fetch of its image."""

    def target_ages_s(self, job: JobRun) -> list[float]:
        """Return the ages by which a job is expected to be finished, in ascending order."""


def may_preempt(job: JobRun, victim: JobRun) -> bool:
    """Return whether PROTOCOL's rules let a job preempt tasks of `victim`. The job must also have
    the higher precedence; otherwise the victim would take the room straight back."""
    allowed = victim.priority < job.priority or (
        job.within_guarantee and not victim.within_guarantee and victim.spec.team != job.spec.team
    )
    # No large task is preempted for a small one.
    return (
        allowed
        and victim.spec.cpus <= largest_victim_cpus(job)
        and fixed_precedence(job) < fixed_precedence(victim)
    )


def largest_victim_cpus(job: JobRun) -> float:
    """Return the CPUs of the largest task that may be preempted for one of this job."""
    return 8 * max(job.spec.cpus, 0.5)


def task_resources(job: JobRun) -> tuple[float, float, float]:
    """Return the CPUs, GPUs and memory (GB) that a task of a job needs."""
    return job.spec.cpus, job.spec.gpus, job.spec.memory_gb


class PreemptionPolicy:
    """Weighs preemption against waiting for tasks to end."""

    def __init__(self, context: BaseContext, estimates: RunTimeEstimates) -> None:
        self.context = context
        self.estimates = estimates
        # How long work within a guarantee may wait for others to end: two reports, which tell
        # what room came free. An objective that leaves more time does not extend it.
        self.guarantee_wait_s = (
            GUARANTEE_WAIT_REPORT_COUNT * context.settings.params.workers.report_s
        )

    def rights_key(self, job: JobRun) -> tuple[object, ...]:
        """Return a key: jobs with an equal key may preempt the same tasks."""
        return (
            *(job.priority, job.within_guarantee, job.spec.team if job.within_guarantee else ""),
            round(self.patience(job)),
        )

    def patience(self, job: JobRun) -> float:
        """Return how long (seconds) a job's tasks may wait for others to end. An array finishes
        hardly later if each of its tasks waits for at most one run, unless it then misses a target
        that it can still meet. One within its team's guarantee need not wait for other teams."""
        if not job.array:
            return 0.0
        run_s = self.estimates.expected_run_s(job)
        age_s = self.context.wall() - job.submitted_at
        left_s = run_s
        if job.within_guarantee:
            # Waiting for one run of the job's own tasks is too long here: an array of endless tasks
            # waited without end for other teams' tasks that held its team's guarantee.
            left_s = self.guarantee_wait_s - age_s - self.context.settings.poll_interval_s
        for due in self.estimates.target_ages_s(job):
            if age_s + run_s <= due:
                left_s = min(left_s, due - age_s - run_s)
                break
        return max(0.0, min(run_s, left_s))

    def worth(self, patience: float, victim: JobRun, placement: Placement) -> bool:
        """Return whether a task that may be preempted should be: it would run on for longer than
        `patience`, which grows with each time it was preempted before."""
        return bool(self.split_by_remaining_run(patience, victim, [placement])[0])

    def split_by_remaining_run(
        self, patience: float, victim: JobRun, placements: list[Placement]
    ) -> tuple[list[Placement], int]:
        """Return the tasks of a job that are worth preempting, as they would run on for longer
        than `patience` (which grows with each earlier preemption of a task), and how many tasks end
        in time. Services never end."""
        if patience <= 0 or not victim.array:
            return placements, 0
        run_s = self.estimates.expected_run_s(victim)
        now, stops = self.context.now, victim.stop_counts or {}
        worth, ending_count = [], 0
        for placement in placements:
            ran_s = now - placement.started_at
            left_s = run_s - ran_s if ran_s < OVERRUN_RATIO * run_s else ran_s / 2
            if left_s <= patience:
                ending_count += 1
            elif not stops or left_s > patience * (1 + stops.get(placement.index, 0)):
                worth.append(placement)
        return worth, ending_count

    @staticmethod
    def note_stop(placement: Placement) -> None:
        """Count a preemption of a task, so that it is spared for longer next time."""
        job = placement.job
        if job is not None and job.array:
            if job.stop_counts is None:
                job.stop_counts = {}
            job.stop_counts[placement.index] = job.stop_counts.get(placement.index, 0) + 1

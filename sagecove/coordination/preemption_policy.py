"""Which tasks may be stopped for a job, and which are worth it.

What may be is PROTOCOL's and our own order. What is worth it: a task of an array that will have
ended by the time its room is needed is waited for, and one that was stopped before is spared the
longer the more often that was. Services and gangs wait for nobody. docs/design-preemption.md.
"""

from __future__ import annotations

from typing import Protocol

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.model import JobRun, Placement, fixed_precedence

# A task that has run for so many times what was expected will run on for half as long again as it
# has: nothing better is known of it.
OUTRUN = 1.5
# Work within a guarantee has its room after so many reports.
GUARANTEE_REPORTS = 2.0


class Expecting(Protocol):
    """Learned run times."""

    def expected_run_s(self, job: JobRun) -> float:
        """Expected run time of a task, its image included (seconds)."""

    def target_ages_s(self, job: JobRun) -> list[float]:
        """The ages by which a job is expected to be through (seconds)."""


def may_stop(job: JobRun, victim: JobRun) -> bool:
    """PROTOCOL's preemption rules; and only for a job that comes first in our own order, since
    otherwise the victim would take the room straight back."""
    allowed = victim.priority < job.priority or (
        job.within_guarantee and not victim.within_guarantee and victim.spec.team != job.spec.team
    )
    # Never more than the need: no large task is stopped for a small one.
    return (
        allowed
        and victim.spec.cpus <= largest_victim(job)
        and fixed_precedence(job) < fixed_precedence(victim)
    )


def largest_victim(job: JobRun) -> float:
    """CPUs of the largest task that may be stopped for one of this job."""
    return 8 * max(job.spec.cpus, 0.5)


def need(job: JobRun) -> tuple[float, float, float]:
    """CPUs, GPUs and memory of a task."""
    return job.spec.cpus, job.spec.gpus, job.spec.memory_gb


class PreemptionPolicy:
    """Weighs stops against waiting."""

    def __init__(self, clock: BaseContext, learning: Expecting) -> None:
        self.clock = clock
        self.learning = learning
        # How long work within a guarantee may wait for others to end: two reports, in which
        # machines tell what came free. Not longer for an aim that allows it.
        self.guarantee_wait_s = GUARANTEE_REPORTS * clock.settings.params.workers.report_s

    def rank(self, job: JobRun) -> tuple[object, ...]:
        """Jobs with this in common may stop the same tasks."""
        return (
            *(job.priority, job.within_guarantee, job.spec.team if job.within_guarantee else ""),
            round(self.patience(job)),
        )

    def patience(self, job: JobRun) -> float:
        """How long a job's tasks may wait for others to end (seconds). An array is through hardly
        later if each of its tasks waits for at most one run, unless that costs it an aim that it
        can still meet; and one within its team's guarantee need not wait on other teams."""
        if not job.array:
            return 0.0
        run = self.learning.expected_run_s(job)
        age = self.clock.wall() - job.submitted_at
        left = run
        if job.within_guarantee:
            # Against waiting for as long as one's own tasks run: an array of endless tasks waited
            # without end for the guests that held its team's guarantee.
            left = self.guarantee_wait_s - age - self.clock.settings.poll_s
        for due in self.learning.target_ages_s(job):
            if age + run <= due:
                left = min(left, due - age - run)
                break
        return max(0.0, min(run, left))

    def worth(self, patience: float, victim: JobRun, placement: Placement) -> bool:
        """A task that may be stopped should be: it would run on for longer than can be waited for,
        the longer the more often it was stopped already."""
        return bool(self.sort(patience, victim, [placement])[0])

    def sort(
        self, patience: float, victim: JobRun, placements: list[Placement]
    ) -> tuple[list[Placement], int]:
        """Of a job's tasks those worth being stopped: that would run on for longer than can
        be waited for, the longer the more often they were stopped already. And how many end soon
        enough. Services never end."""
        if patience <= 0 or not victim.array:
            return placements, 0
        run = self.learning.expected_run_s(victim)
        now, stops = self.clock.now, victim.stop_counts or {}
        worth, soon = [], 0
        for placement in placements:
            ran = now - placement.started_at
            left = run - ran if ran < OUTRUN * run else ran / 2
            if left <= patience:
                soon += 1
            elif not stops or left > patience * (1 + stops.get(placement.index, 0)):
                worth.append(placement)
        return worth, soon

    @staticmethod
    def stopped(placement: Placement) -> None:
        """A task is stopped for another: next time it is spared for longer."""
        job = placement.job
        if job is not None and job.array:
            if job.stop_counts is None:
                job.stop_counts = {}
            job.stop_counts[placement.index] = job.stop_counts.get(placement.index, 0) + 1

"""Tracks cancellations that this controller confirmed to users, and those that peers report.

A controller that the state service refuses may continue to act on the promises of its peers, but it
cannot read which jobs were cancelled meanwhile. A peer that gives a promise therefore names the
cancellations that it has confirmed to users, or may confirm from memory. Before a controller counts
the promise, it has read all these cancellations or has stopped the named jobs.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from sagecove.coordination.model import JobRun, Placement
from sagecove.storage.mirror import Mirror

log = logging.getLogger("sagecove.cancels")

# Job ids that are remembered and put into one message, which keeps it within a body of 64 KiB.
REMEMBERED_COUNT = 300


class CancellationContext(Protocol):
    """The parts of the owner used here: its clock, its live jobs and its mirror."""

    now: float
    jobs: dict[str, JobRun]
    mirror: Mirror


class Cancellations:
    """Cancellations that are confirmed here or reported by peers.

    `stop_task(placement, grace_s, stopped_for)` stops a task.
    """

    def __init__(
        self, owner: CancellationContext, stop_task: Callable[[Placement, float, str], None]
    ) -> None:
        self.owner = owner
        self.stop_task = stop_task
        # Cancellations that are or may be confirmed here: job id to a revision by which the
        # cancellation was durable, in the order in which this controller learned of them.
        self.confirmed: dict[str, int] = {}
        # The highest revision of cancellations that are not in the table: those from before the
        # mirror was loaded (an earlier process may have confirmed them), those of points of sweeps,
        # and those dropped from the table.
        self.floor = 0
        # Jobs that peers report as cancelled, and when they last did; see `stop_reported`.
        self.reported_at: dict[str, float] = {}

    # -- confirmed here -------------------------------------------------------------------------

    def record_confirmed(self, job_id: str, revision: int) -> None:
        """Record a durable cancellation that may be confirmed to a user.

        This controller may have learned of it from the answer to its own transaction, or by reading
        the result of another one, including one that got no answer.
        """
        if job_id in self.confirmed:
            return
        self.confirmed[job_id] = revision
        if len(self.confirmed) > REMEMBERED_COUNT:
            oldest = next(iter(self.confirmed))
            self.raise_floor(self.confirmed.pop(oldest))

    def raise_floor(self, revision: int) -> None:
        """Raise the revision up to which cancellations are not named to peers. A peer knows of them
        only if it has read up to that revision.
        """
        self.floor = max(self.floor, revision)

    @property
    def last_revision(self) -> int:
        """The revision by which all cancellations confirmed here were durable."""
        return max(self.floor, max(self.confirmed.values(), default=0))

    def confirmed_after(self, applied: int) -> list[str]:
        """Return the recorded jobs whose cancellation a peer that has read up to the revision
        `applied` may not know.
        """
        return [job_id for job_id, revision in self.confirmed.items() if revision > applied]

    # -- reported by peers ----------------------------------------------------------------------

    def stop_reported(self, job_ids: list[str]) -> None:
        """Stop the tasks of jobs that peers report as cancelled, and start no more of them.

        Peers repeat the report with every answer until this controller has read the cancellation,
        so that tasks which become known later are stopped too. The report itself confirms nothing
        to users and releases no claim: only the state service decides whether the job is cancelled.
        """
        for job_id in job_ids:
            job = self.owner.jobs.get(job_id)
            if job is None or job.durable_state is not None:
                continue
            if not job.cancelled_elsewhere:
                log.info("cancelled elsewhere job=%s tasks=%d", job_id, len(job.placed))
            job.cancelled_elsewhere = True
            self.reported_at[job_id] = self.owner.now
            for placement in list(job.placed.values()):
                self.stop_task(placement, 0.0, "cancelled elsewhere")

    def drop_old_reports(self, started_at: float) -> None:
        """Drop reports from before `started_at`, up to which all changes have now been read. Each
        of these cancellations has been applied from the mirror, or it did not happen.
        """
        for job_id, reported_at in list(self.reported_at.items()):
            if reported_at >= started_at:
                continue
            del self.reported_at[job_id]
            job = self.owner.jobs.get(job_id)
            if job is not None and job.cancelled_elsewhere:
                log.warning("not cancelled after all job=%s", job_id)
                job.cancelled_elsewhere = False

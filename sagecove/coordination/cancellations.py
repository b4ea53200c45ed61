"""Cancellations that users were told of here, and those that peers tell of.

A controller that the state service refuses may act on by its peers' promises, and cannot read what
was cancelled meanwhile. Whoever promises therefore names what it has told users, or may tell them
from memory: the one who counts on the promise has read all of it, or has stopped those jobs first.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from sagecove.coordination.model import JobRun, Placement
from sagecove.storage.mirror import Mirror

log = logging.getLogger("sagecove.cancels")

# Names of jobs that are remembered, and that one message carries: within a body of 64 KiB.
KEPT = 300


class Live(Protocol):
    """What is asked of the owner: its time, the jobs it takes for live, what it has read."""

    now: float
    jobs: dict[str, JobRun]
    mirror: Mirror


class Cancellations:
    """`halt(placement, grace, why)` stops a task."""

    def __init__(self, owner: Live, halt: Callable[[Placement, float, str], None]) -> None:
        self.owner = owner
        self.halt = halt
        # Cancellations told here or that may be, each with a revision by which it was durable, in
        # the order in which this controller learned of them; and the highest of those that are not
        # among them: of an earlier process (what was there when the mirror was loaded), of points
        # of sweeps, or dropped.
        self.confirmed: dict[str, int] = {}
        self.floor = 0
        # Jobs that peers say are cancelled, and when they did; see `stop`.
        self.withheld: dict[str, float] = {}

    # -- who has told ---------------------------------------------------------------------------

    def record_confirmed(self, job_id: str, revision: int) -> None:
        """A cancellation is durable, and a user may be told of it, however it was learned of: with
        the answer to this controller's own transaction or by reading what became of another's, one
        without an answer included."""
        if job_id in self.confirmed:
            return
        self.confirmed[job_id] = revision
        if len(self.confirmed) > KEPT:
            oldest = next(iter(self.confirmed))
            self.raise_floor(self.confirmed.pop(oldest))

    def raise_floor(self, revision: int) -> None:
        """What was cancelled up to a revision is not named: only who has read it knows of it."""
        self.floor = max(self.floor, revision)

    @property
    def last(self) -> int:
        """By this revision all that was told here was durable."""
        return max(self.floor, max(self.confirmed.values(), default=0))

    def since(self, applied: int) -> list[str]:
        """What is named that somebody who has read up to a revision may not know."""
        return [job_id for job_id, revision in self.confirmed.items() if revision > applied]

    # -- who is told ----------------------------------------------------------------------------

    def stop(self, job_ids: list[str]) -> None:
        """Peers say that these jobs are cancelled: their tasks stop, and none is started. They say
        so with every answer until it has been read here, so that tasks heard of later stop too. It
        is no record: no user is told anything by it and no claim is given back, until the state
        service answers, which has the last word."""
        for job_id in job_ids:
            job = self.owner.jobs.get(job_id)
            if job is None or job.durable_state is not None:
                continue
            if not job.cancelled_elsewhere:
                log.info("cancelled elsewhere job=%s tasks=%d", job_id, len(job.placed))
            job.cancelled_elsewhere = True
            self.withheld[job_id] = self.owner.now
            for placement in list(job.placed.values()):
                self.halt(placement, 0.0, "cancelled elsewhere")

    def read(self, begun: float) -> None:
        """All changes of before `begun` have been read: what was said by then has taken effect, or
        is not so."""
        for job_id, said in list(self.withheld.items()):
            if said >= begun:
                continue
            del self.withheld[job_id]
            job = self.owner.jobs.get(job_id)
            if job is not None and job.cancelled_elsewhere:
                log.warning("not cancelled after all job=%s", job_id)
                job.cancelled_elsewhere = False

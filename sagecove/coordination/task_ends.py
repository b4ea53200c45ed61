"""How tasks end, told in the log: what was thrown away, and for whom.

A line for each task that ended otherwise than by being done, and now and then a sum of those that
were. `sagecove lab waste` reads both.
"""

from __future__ import annotations

import logging

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.model import Placement
from sagecove.protocol import workers as w

log = logging.getLogger("sagecove.ends")

# Seconds between two sums of what was done.
SUM_S = 10.0


class TaskEndLog:
    """Ends of tasks on the machines of shards held here."""

    def __init__(self, owner: BaseContext) -> None:
        self.owner = owner
        # By class: tasks done since the last sum, and their CPUs times seconds.
        self.done: dict[str, tuple[int, float]] = {}
        self.sum_at = 0.0

    def ended(self, placement: Placement, why: str, saved: bool = False) -> None:
        """A task is over on its machine. `why` is the worker's word, or one of ours: `lease` (its
        worker's lease ended), `gone` (its machine is), `missing` (a report does not show it)."""
        job = placement.job
        if job is None:
            return
        ran = self.owner.now - placement.running_at if placement.running_at else 0.0
        if why == w.WHY_DONE:
            count, spent = self.done.get(job.spec.klass, (0, 0.0))
            self.done[job.spec.klass] = count + 1, spent + ran * job.spec.cpus
            return
        # What is lost with it: nothing of a replica, nor up to the last checkpoint.
        lost = 0.0 if saved or job.service else ran
        if job.spec.checkpoint_s > 0:
            lost %= job.spec.checkpoint_s
        log.info(
            "task ended task=%s attempt=%d machine=%s class=%s why=%s for=%s ran=%.1f"
            " lost_cpu_s=%.1f",
            placement.task,
            placement.attempt,
            placement.machine.name,
            job.spec.klass,
            why,
            placement.stopped_for.replace(" ", "-") or "-",
            ran,
            lost * job.spec.cpus,
        )

    def tick(self, now: float) -> None:
        """Tell how much was done."""
        if not self.done or now < self.sum_at:
            return
        self.sum_at = now + SUM_S
        done, self.done = self.done, {}
        for klass, (count, spent) in done.items():
            log.info("tasks done class=%s tasks=%d cpu_s=%.1f", klass, count, spent)

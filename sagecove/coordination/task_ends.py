"""Logs how tasks end: which work was lost, and for which job a task was stopped.

Each task that ends without completing gets a line of its own; completed tasks are summed up at
intervals. `sagecove lab waste` reads both kinds of lines.
"""

from __future__ import annotations

import logging

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.model import Placement
from sagecove.protocol import workers as worker_protocol

log = logging.getLogger("sagecove.ends")

# Time between two summaries of completed tasks.
SUMMARY_INTERVAL_S = 10.0


class TaskEndLog:
    """Logs the ends of tasks on machines of the shards held by this controller."""

    def __init__(self, context: BaseContext) -> None:
        self.context = context
        # By class of job: tasks completed since the last summary, and their CPU seconds.
        self.completed: dict[str, tuple[int, float]] = {}
        self.next_summary_at = 0.0

    def log_task_end(self, placement: Placement, reason: str, saved: bool = False) -> None:
        """Log or count a task that has ended on its machine.

        `reason` is what the worker reported, or one of the controller's own: `lease` (the worker's
        lease expired), `gone` (the machine was deleted), `missing` (a report doesn't show it).
        """
        job = placement.job
        if job is None:
            return
        run_s = self.context.now - placement.running_at if placement.running_at else 0.0
        if reason == worker_protocol.EXIT_DONE:
            count, cpu_s = self.completed.get(job.spec.klass, (0, 0.0))
            self.completed[job.spec.klass] = count + 1, cpu_s + run_s * job.spec.cpus
            return
        # Lost work: none for a replica of a service or a saved task, else all since the last
        # checkpoint.
        lost_s = 0.0 if saved or job.service else run_s
        if job.spec.checkpoint_s > 0:
            lost_s %= job.spec.checkpoint_s
        log.info(
            "task ended task=%s attempt=%d machine=%s class=%s why=%s for=%s ran=%.1f"
            " lost_cpu_s=%.1f",
            placement.task,
            placement.attempt,
            placement.machine.name,
            job.spec.klass,
            reason,
            placement.stopped_for.replace(" ", "-") or "-",
            run_s,
            lost_s * job.spec.cpus,
        )

    def tick(self, now: float) -> None:
        """Log a summary of completed tasks when one is due."""
        if not self.completed or now < self.next_summary_at:
            return
        self.next_summary_at = now + SUMMARY_INTERVAL_S
        completed, self.completed = self.completed, {}
        for job_class, (count, cpu_s) in completed.items():
            log.info("tasks done class=%s tasks=%d cpu_s=%.1f", job_class, count, cpu_s)

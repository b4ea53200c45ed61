"""Follows the states of the tasks on a machine, as its worker reports them."""

from __future__ import annotations

import logging
from typing import Protocol

from sagecove.coordination import images
from sagecove.coordination.estimates import Estimates
from sagecove.coordination.failures import FailureTracker
from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.launch_tracker import LaunchTracker
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import LAUNCH_SENT, Machine, Placement
from sagecove.coordination.stops_due import find_claimed_job, parse_task_name
from sagecove.coordination.task_ends import TaskEndLog
from sagecove.coordination.worker_commands import WorkerCommands
from sagecove.protocol import workers as worker_protocol

log = logging.getLogger("sagecove.workers")


class TaskStateContext(BaseContext, Protocol):
    """Interface that the task states require of the owner."""

    ledger: Ledger
    task_end_log: TaskEndLog
    # Something has changed that the next scheduling pass has to consider.
    pass_needed: bool

    @property
    def estimates(self) -> Estimates:
        """The learned run times."""

    @property
    def failures(self) -> FailureTracker:
        """The failures of tasks."""


class TaskStates:
    """Adopts tasks of earlier holders, applies reported states and drops tasks that are gone."""

    def __init__(self, context: TaskStateContext, commands: WorkerCommands) -> None:
        self.context = context
        self.commands = commands
        self.report_s = context.settings.params.workers.report_s

    def recognize(self, machine: Machine, reported: worker_protocol.TaskReport) -> Placement | None:
        """Adopt a reported task that an earlier holder placed; None if it can't be such a task."""
        job = find_claimed_job(self.context.jobs, machine.record.shard, reported.task)
        if job is None:
            return None
        if reported.state == worker_protocol.EXITED and reported.why != worker_protocol.EXIT_DONE:
            return None
        _, index = parse_task_name(reported.task)
        placement = Placement(job, index, reported.task, reported.attempt, machine)
        placement.started_at = self.context.now
        self.context.ledger.add_placement(machine, placement)
        if (possibly_running := job.possibly_running.get(machine.record.shard)) is not None:
            job.possibly_running[machine.record.shard] = possibly_running & ~(1 << index)
        if job.gang and job.attempt != reported.attempt:
            if len(job.placed) > 1:
                job.gang_stopping = True
            job.attempt = max(job.attempt, reported.attempt)
        if job.cancelled_elsewhere:
            self.commands.stop_task(placement, 0.0, "cancelled elsewhere")
        return placement

    def apply(
        self, machine: Machine, placement: Placement, reported: worker_protocol.TaskReport
    ) -> None:
        """Apply the changed state of a task."""
        context = self.context
        context.ledger.set_task_state(placement, reported.state)
        job = placement.job
        assert job is not None
        if reported.state in (worker_protocol.TASK_RUNNING, worker_protocol.WAITING):
            images.record_image_use(machine, job.spec)
        if reported.state == worker_protocol.TASK_RUNNING and not placement.running_at:
            placement.running_at = context.now
            log.info(
                "runs task=%s machine=%s class=%s after=%.1f image_gb=%.1f",
                *(placement.task, machine.name, job.spec.klass),
                *(context.now - placement.started_at, job.spec.image_gb),
            )
        if reported.state != worker_protocol.EXITED:
            return
        self._apply_exit(machine, placement, reported)

    def _apply_exit(
        self, machine: Machine, placement: Placement, reported: worker_protocol.TaskReport
    ) -> None:
        context = self.context
        job = placement.job
        assert job is not None
        placement.exit_reason = reported.why
        context.task_end_log.log_task_end(placement, reported.why, reported.saved)
        if reported.why == worker_protocol.EXIT_DONE:
            context.estimates.note_run_time(placement)
            context.failures.task_completed(machine, job)
            if job.gang:
                # The tasks of a gang complete together.
                job.finished_unrecorded |= job.all_tasks & ~job.finished
            else:
                job.finished_unrecorded |= (1 << placement.index) & ~job.finished
        else:
            if reported.why == worker_protocol.EXIT_ERROR:
                context.failures.task_failed(placement)
            elif reported.why in (
                worker_protocol.EXIT_FULL,
                worker_protocol.EXIT_BUSY,
                worker_protocol.EXIT_UNKNOWN,
            ):
                job.hold_until = max(job.hold_until, context.now + self.report_s)
            if job.gang:
                job.gang_stopping = True
        context.ledger.update_claims(job)
        if not machine.tasks:
            machine.idle_since = context.now

    def drop(self, machine: Machine, placement: Placement, reason: str = "missing") -> None:
        """Remove a task that is provably gone from its machine."""
        job = placement.job
        if placement.takes_room and job is not None and job.gang and placement.state != LAUNCH_SENT:
            job.gang_stopping = True
        if placement.takes_room:
            self.context.task_end_log.log_task_end(placement, reason)
        self.context.ledger.remove_placement(machine, placement)
        if not machine.tasks:
            machine.idle_since = self.context.now
        self.context.pass_needed = True

    def forget_all(self, machine: Machine, reason: str = "lease") -> None:
        """Drop all tasks of a machine, as its session is over or the machine gone."""
        for placement in list(machine.tasks.values()):
            self.drop(machine, placement, reason)
        machine.used = [0.0, 0.0, 0.0]
        machine.quiescent = False
        machine.unknown_tasks = {}
        machine.launches = LaunchTracker()
        self.context.ledger.update_machine(machine)

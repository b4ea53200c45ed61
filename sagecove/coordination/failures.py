"""Decides whether a failed task is the fault of its machine or of its job.

A faulty machine fails whatever it starts; a job submitted with a mistake fails wherever it runs,
until its user cancels it. Both look alike at the first failure, so the decision waits for more
evidence: the job is tried on other machines, the machine is given other jobs. Nothing here ends a
job.
"""

from __future__ import annotations

import logging

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.model import JobRun, Machine, Placement

log = logging.getLogger("sagecove.failures")

# Machines on which a job has to fail, or tries in a row that have to, before the job is at fault.
JOB_FAULT_FAILURES_COUNT = 3


class FailureTracker:
    """Attributes failures of tasks to machines and jobs."""

    def __init__(self, context: BaseContext) -> None:
        self.context = context
        worker_settings = context.settings.params.workers
        # Pauses between single tries of a job that fails everywhere double up to the maximum.
        self.retry_pause_s = 2 * worker_settings.report_s
        self.max_retry_pause_s = 4 * worker_settings.lease_s
        # Faulty machines, to be returned from `Machine.return_due_at` on.
        self.machines_to_return: dict[str, Machine] = {}

    def fails_everywhere(self, job: JobRun) -> bool:
        """Return whether the job fails everywhere, as seen here or reported by a peer."""
        return job.judged_faulty or (
            not has_completed_tasks(job) and self.context.now - job.peer_judged_faulty_at < 5.0
        )

    def task_completed(self, machine: Machine, job: JobRun) -> None:
        """Clear both machine and job of suspicion, as a task has completed."""
        machine.failures_by_job.clear()
        if job.judged_faulty:
            log.info("job no longer fails job=%s", job.id)
            job.judged_faulty = False
            job.hold_until = self.context.now
        job.failed_on = frozenset()
        job.failed_round_count = job.probe_count = 0

    def task_failed(self, placement: Placement) -> None:
        """Count a task that has ended with an error against its machine or its job."""
        now = self.context.now
        machine, job = placement.machine, placement.job
        assert job is not None
        job.failed_on |= {machine.name}
        if placement.started_at > job.last_failed_at:
            # Tasks that were started together and fail together count as one try.
            job.failed_round_count += 1
            job.last_failed_at = now
        if has_completed_tasks(job):
            # The job runs elsewhere, so the machine is at fault; other tasks need not wait.
            machine.failures_by_job[job.id] = machine.failures_by_job.get(job.id, 0) + 1
        elif (
            not job.judged_faulty
            and max(len(job.failed_on), job.failed_round_count) < JOB_FAULT_FAILURES_COUNT
        ):
            machine.failures_by_job[job.id] = machine.failures_by_job.get(job.id, 0) + 1
            job.hold_until = max(
                job.hold_until, now + self.retry_pause_s * job.failed_round_count / 6
            )
        elif not job.judged_faulty or now >= job.hold_until:
            self._mark_job_faulty(job, now)
        self._judge_machine(machine)

    def _mark_job_faulty(self, job: JobRun, now: float) -> None:
        if not job.judged_faulty:
            job.judged_faulty = True
            log.info("job fails everywhere job=%s machines=%d", job.id, len(job.failed_on))
        job.hold_until = now + min(
            self.max_retry_pause_s, self.retry_pause_s * 2.0**job.probe_count
        )
        job.probe_count = min(job.probe_count + 1, 16)
        job.reserved.clear()
        # The job's failures no longer count against the machines.
        for name in job.failed_on:
            machine = self.context.machines.get(name)
            if machine is not None and machine.failures_by_job.pop(job.id, None) is not None:
                self._judge_machine(machine)

    def _judge_machine(self, machine: Machine) -> None:
        """Update whether a machine is faulty, and from when on it is to be returned.

        It is faulty if jobs fail on it that run elsewhere, or if several jobs have failed on it and
        on no other machine. In the second case it gets no more tasks, but is kept until those jobs
        have been tried on other machines: they may turn out to fail everywhere.
        """
        proven_count = only_here_count = 0
        for job_id, count in list(machine.failures_by_job.items()):
            job = self.context.jobs.get(job_id)
            if job is None:
                only_here_count += 1
            elif has_completed_tasks(job) or (
                job.gang and len(job.failed_on) == 1 and job.spec.tasks > 1
            ):
                # A gang starts only when complete, so its tasks on other machines have run.
                proven_count += count
            elif len(job.failed_on) == 1:
                only_here_count += 1
        faulty = proven_count >= 2 or only_here_count >= 2
        if faulty and not machine.faulty:
            log.info(
                "machine fails its tasks machine=%s jobs=%d",
                machine.name,
                len(machine.failures_by_job),
            )
        if not faulty:
            machine.return_due_at = None
        elif proven_count >= 2:
            machine.return_due_at = self.context.now
        elif not machine.faulty:
            machine.return_due_at = self.context.now + 2 * self.retry_pause_s
        if faulty:
            self.machines_to_return[machine.name] = machine
        machine.faulty = faulty


def has_completed_tasks(job: JobRun) -> bool:
    """Return whether tasks of the job have completed, which proves that the job can run."""
    return bool(job.finished | job.finished_unrecorded)

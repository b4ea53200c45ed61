"""Who is to blame for a task that failed: its machine or its job?

A faulty machine fails whatever it starts; a job submitted with a mistake fails wherever it runs,
until its user cancels it. Both look alike at the first failure, so a judgement waits for a second
opinion: the job is tried elsewhere, the machine is given another job. Nothing here ends a job.
"""

from __future__ import annotations

import logging

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.model import JobRun, Machine, Placement

log = logging.getLogger("sagecove.failures")

# So many machines, or tries one after the other, have to fail before the job is to blame.
OPINIONS = 3


class FailureTracker:
    """Judges machines and jobs."""

    def __init__(self, owner: BaseContext) -> None:
        self.owner = owner
        pace = owner.settings.params.workers
        # Pauses between single tries of a job that fails everywhere: they double up to the most.
        self.pause_s = 2 * pace.report_s
        self.pause_most_s = 4 * pace.lease_s
        # Machines that are to be returned for their failures, from a moment on.
        self.condemned: dict[str, Machine] = {}

    def fails_everywhere(self, job: JobRun) -> bool:
        """The job fails everywhere, as far as this controller has seen or a peer has told."""
        return job.judged_faulty or (
            not proven(job) and self.owner.now - job.peer_judged_faulty_at < 5.0
        )

    def completed(self, machine: Machine, job: JobRun) -> None:
        """A task has completed: neither is at fault."""
        machine.failures_by_job.clear()
        if job.judged_faulty:
            log.info("job no longer fails job=%s", job.id)
            job.judged_faulty = False
            job.hold_until = self.owner.now
        job.failed_on = frozenset()
        job.failed_round_count = job.probe_count = 0

    def failed(self, placement: Placement) -> None:
        """A task has ended with an error."""
        now = self.owner.now
        machine, job = placement.machine, placement.job
        assert job is not None
        job.failed_on |= {machine.name}
        if placement.started_at > job.last_failed_at:
            # Tasks started together that fail together are one try.
            job.failed_round_count += 1
            job.last_failed_at = now
        if proven(job):
            # It runs elsewhere, so the fault is here; its other tasks need not wait.
            machine.failures_by_job[job.id] = machine.failures_by_job.get(job.id, 0) + 1
        elif not job.judged_faulty and max(len(job.failed_on), job.failed_round_count) < OPINIONS:
            machine.failures_by_job[job.id] = machine.failures_by_job.get(job.id, 0) + 1
            job.hold_until = max(job.hold_until, now + self.pause_s * job.failed_round_count / 6)
        elif not job.judged_faulty or now >= job.hold_until:
            self._blame(job, now)
        self._judge(machine)

    def _blame(self, job: JobRun, now: float) -> None:
        if not job.judged_faulty:
            job.judged_faulty = True
            log.info("job fails everywhere job=%s machines=%d", job.id, len(job.failed_on))
        job.hold_until = now + min(self.pause_most_s, self.pause_s * 2.0**job.probe_count)
        job.probe_count = min(job.probe_count + 1, 16)
        job.reserved.clear()
        # The machines are not to blame for it.
        for name in job.failed_on:
            machine = self.owner.machines.get(name)
            if machine is not None and machine.failures_by_job.pop(job.id, None) is not None:
                self._judge(machine)

    def _judge(self, machine: Machine) -> None:
        """A machine is sick if jobs fail on it that run elsewhere, or if several have failed on it
        and on no other. Of these it takes no more tasks, but stays until their second opinions
        can be in: they may turn out to fail everywhere."""
        sure = only_here = 0
        for job_id, count in list(machine.failures_by_job.items()):
            job = self.owner.jobs.get(job_id)
            if job is None:
                only_here += 1
            elif proven(job) or (job.gang and len(job.failed_on) == 1 and job.spec.tasks > 1):
                # The other tasks of a gang have run, or it would not have been complete.
                sure += count
            elif len(job.failed_on) == 1:
                only_here += 1
        sick = sure >= 2 or only_here >= 2
        if sick and not machine.faulty:
            log.info(
                "machine fails its tasks machine=%s jobs=%d",
                machine.name,
                len(machine.failures_by_job),
            )
        if not sick:
            machine.return_due_at = None
        elif sure >= 2:
            machine.return_due_at = self.owner.now
        elif not machine.faulty:
            machine.return_due_at = self.owner.now + 2 * self.pause_s
        if sick:
            self.condemned[machine.name] = machine
        machine.faulty = sick


def proven(job: JobRun) -> bool:
    """Tasks of the job have completed: it is no mistake."""
    return bool(job.finished | job.finished_unrecorded)

"""Who is to blame for a task that failed: its machine or its job?

A faulty machine fails whatever it starts; a job submitted with a mistake fails wherever it runs,
until its user cancels it. Both look alike at the first failure, so a judgement waits for a second
opinion: the job is tried elsewhere, the machine is given another job. Nothing here ends a job.
"""

from __future__ import annotations

import logging

from sagecove.coordination.model import JobRun, Machine, Placement
from sagecove.coordination.ports import Clock

log = logging.getLogger("sagecove.failures")

# So many machines, or tries one after the other, have to fail before the job is to blame.
OPINIONS = 3


class Failures:
    """Judges machines and jobs."""

    def __init__(self, owner: Clock) -> None:
        self.owner = owner
        pace = owner.settings.params.workers
        # Pauses between single tries of a job that fails everywhere: they double up to the most.
        self.pause_s = 2 * pace.report_s
        self.pause_most_s = 4 * pace.lease_s
        # Machines that are to be returned for their failures, from a moment on.
        self.condemned: dict[str, Machine] = {}

    def suspect(self, job: JobRun) -> bool:
        """The job fails everywhere, as far as this controller has seen or a peer has told."""
        return job.blamed or (not proven(job) and self.owner.now - job.blamed_elsewhere_at < 5.0)

    def completed(self, machine: Machine, job: JobRun) -> None:
        """A task has completed: neither is at fault."""
        machine.errors.clear()
        if job.blamed:
            log.info("job no longer fails job=%s", job.id)
            job.blamed = False
            job.hold_until = self.owner.now
        job.errors = frozenset()
        job.rounds = job.probes = 0

    def failed(self, placement: Placement) -> None:
        """A task has ended with an error."""
        now = self.owner.now
        machine, job = placement.machine, placement.job
        assert job is not None
        job.errors |= {machine.name}
        if placement.started_at > job.failed_at:
            # Tasks started together that fail together are one try.
            job.rounds += 1
            job.failed_at = now
        if proven(job):
            # It runs elsewhere, so the fault is here; its other tasks need not wait.
            machine.errors[job.id] = machine.errors.get(job.id, 0) + 1
        elif not job.blamed and max(len(job.errors), job.rounds) < OPINIONS:
            machine.errors[job.id] = machine.errors.get(job.id, 0) + 1
            job.hold_until = max(job.hold_until, now + self.pause_s * job.rounds / 6)
        elif not job.blamed or now >= job.hold_until:
            self._blame(job, now)
        self._judge(machine)

    def _blame(self, job: JobRun, now: float) -> None:
        if not job.blamed:
            job.blamed = True
            log.info("job fails everywhere job=%s machines=%d", job.id, len(job.errors))
        job.hold_until = now + min(self.pause_most_s, self.pause_s * 2.0**job.probes)
        job.probes = min(job.probes + 1, 16)
        job.reserved.clear()
        # The machines are not to blame for it.
        for name in job.errors:
            machine = self.owner.machines.get(name)
            if machine is not None and machine.errors.pop(job.id, None) is not None:
                self._judge(machine)

    def _judge(self, machine: Machine) -> None:
        """A machine is sick if jobs fail on it that run elsewhere, or if several have failed on it
        and on no other. Of these it takes no more tasks, but stays until their second opinions
        can be in: they may turn out to fail everywhere."""
        sure = only_here = 0
        for job_id, count in list(machine.errors.items()):
            job = self.owner.jobs.get(job_id)
            if job is None:
                only_here += 1
            elif proven(job) or (job.gang and len(job.errors) == 1 and job.spec.tasks > 1):
                # The other tasks of a gang have run, or it would not have been complete.
                sure += count
            elif len(job.errors) == 1:
                only_here += 1
        sick = sure >= 2 or only_here >= 2
        if sick and not machine.sick:
            log.info(
                "machine fails its tasks machine=%s jobs=%d", machine.name, len(machine.errors)
            )
        if not sick:
            machine.condemned_at = None
        elif sure >= 2:
            machine.condemned_at = self.owner.now
        elif not machine.sick:
            machine.condemned_at = self.owner.now + 2 * self.pause_s
        if sick:
            self.condemned[machine.name] = machine
        machine.sick = sick


def proven(job: JobRun) -> bool:
    """Tasks of the job have completed: it is no mistake."""
    return bool(job.fin | job.fresh)

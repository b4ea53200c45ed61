"""Writes finished tasks to job records, and stops gangs that lost a task."""

from __future__ import annotations

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.interfaces import MachineCommands, OwnerContext, SyncRequests
from sagecove.coordination.model import JobRun, Shard
from sagecove.protocol import state as wire
from sagecove.protocol.users import DONE
from sagecove.storage.records import FINAL_STATE_PREFIX, HOLDER_PREFIX, JOB_PREFIX, FinalStateRecord
from sagecove.storage.store import Outcome, Result


class Results:
    """Makes results durable, and stops incomplete gangs."""

    def __init__(
        self, context: OwnerContext, backlog: Backlog, workers: MachineCommands, sync: SyncRequests
    ) -> None:
        self.context = context
        self.backlog = backlog
        self.workers = workers
        self.sync = sync
        self.write_interval_s = self.context.settings.params.workers.lease_s / 4

    def write_finished(self, now: float, shards: list[Shard]) -> None:
        """Write newly finished tasks of all jobs; end jobs whose last task has finished."""
        for job in list(self.backlog.dirty_jobs.values()):
            if not job.finished_unrecorded or job.committing:
                continue
            shard = next(
                (s for s in shards if job.claims.get(s.name, 0) & job.finished_unrecorded), None
            )
            if shard is None:
                continue
            unrecorded = 0
            for held_shard in shards:
                unrecorded |= job.claims.get(held_shard.name, 0) & job.finished_unrecorded
            if job.durable_state is not None:
                job.durable_state.write_finished(job, shard)
                continue
            finished = job.finished | unrecorded
            # Tasks of a large array finish all the time, so they are written in batches unless no
            # task of the job is left to run here. Until then the workers keep the results.
            tasks_left_here = any(job.claimed(s.name) for s in shards)
            if tasks_left_here and now - job.recorded_at < self.write_interval_s:
                continue
            job.recorded_at = now
            key = JOB_PREFIX + job.id
            changes: list[wire.Put | wire.Delete]
            if finished == job.all_tasks:
                changes = [
                    wire.Delete(key),
                    wire.Put(FINAL_STATE_PREFIX + job.id, FinalStateRecord(DONE, job.spec.tasks)),
                ]
            else:
                changes = [wire.Put(key, job.with_sets(finished, job.claims))]
            self._write(job, shard, changes)

    def _write(self, job: JobRun, shard: Shard, changes: list[wire.Put | wire.Delete]) -> None:
        """Write a job's record on condition that neither it nor the shard's holder has changed."""
        job.committing = True

        def done(result: Result) -> None:
            job.committing = False
            self.context.pass_needed = True
            if result.outcome is Outcome.CONFLICT:
                job.claim_after = self.context.now + self.context.random.uniform(0.05, 0.3)
                self.sync.request_sync()
            elif result.outcome is not Outcome.DONE:
                job.claim_after = self.context.now + self.context.random.uniform(0.3, 1.0)

        conditions = [(JOB_PREFIX + job.id, job.stamp), (HOLDER_PREFIX + shard.name, shard.term)]
        self.context.commit(conditions, changes, done)

    def stop_incomplete_gangs(self, now: float) -> None:
        """Stop all tasks of gangs that lost one; they start again once all tasks are gone."""
        workers = self.workers
        for job in self.backlog.dirty_jobs.values():
            if not job.gang:
                continue
            placements = [p for p in job.placed.values() if p.takes_room]
            if not placements:
                job.gang_stopping = False
                continue
            if any(p.stop_grace_s is not None for p in placements) and not job.gang_stopping:
                # An orderly stop: all tasks get the same grace period.
                grace_s = max(p.stop_grace_s or 0.0 for p in placements)
                for placement in placements:
                    if placement.stop_grace_s is None:
                        workers.stop_task(placement, grace_s, "gang")
            elif job.gang_stopping:
                for placement in placements:
                    workers.stop_task(placement, 0.0, "gang")

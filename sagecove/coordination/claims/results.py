"""Results are made durable; gangs ended as a whole."""

from __future__ import annotations

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.interfaces import MachineCommands, MirrorSync, OwnerContext
from sagecove.coordination.model import JobRun, Shard
from sagecove.protocol import state as wire
from sagecove.protocol.users import DONE
from sagecove.storage.records import HOLDER, JOB, OVER, OverRecord
from sagecove.storage.store import Outcome, Result


class Results:
    """Writes what has come of tasks."""

    def __init__(
        self, desk: OwnerContext, backlog: Backlog, workers: MachineCommands, sync: MirrorSync
    ) -> None:
        self.desk = desk
        self.backlog = backlog
        self.workers = workers
        self.sync = sync
        self.record_s = self.desk.settings.params.workers.lease_s / 4

    def record(self, now: float, shards: list[Shard]) -> None:
        """Make finished tasks durable; end jobs whose last task has."""
        for job in list(self.backlog.dirty_jobs.values()):
            if not job.finished_unrecorded or job.committing:
                continue
            shard = next(
                (s for s in shards if job.claims.get(s.name, 0) & job.finished_unrecorded), None
            )
            if shard is None:
                continue
            fresh = 0
            for s in shards:
                fresh |= job.claims.get(s.name, 0) & job.finished_unrecorded
            if job.durable_state is not None:
                job.durable_state.write_finished(job, shard)
                continue
            fin = job.finished | fresh
            # Tasks of a large array end all the time: their numbers are written together, unless
            # nothing of the job is left to run here. Until then the workers keep them.
            more = any(job.claimed(s.name) for s in shards)
            if more and now - job.recorded_at < self.record_s:
                continue
            job.recorded_at = now
            key = JOB + job.id
            changes: list[wire.Put | wire.Drop]
            if fin == job.all_tasks:
                changes = [
                    wire.Drop(key),
                    wire.Put(OVER + job.id, OverRecord(DONE, job.spec.tasks)),
                ]
            else:
                changes = [wire.Put(key, job.with_sets(fin, job.claims))]
            self._write(job, shard, changes)

    def _write(self, job: JobRun, shard: Shard, changes: list[wire.Put | wire.Drop]) -> None:
        """Write a job's record, if neither it nor the shard's holder has changed."""
        job.committing = True

        def done(result: Result) -> None:
            job.committing = False
            self.desk.pass_needed = True
            if result.outcome is Outcome.CONFLICT:
                job.claim_after = self.desk.now + self.desk.random.uniform(0.05, 0.3)
                self.sync.request_sync()
            elif result.outcome is not Outcome.DONE:
                job.claim_after = self.desk.now + self.desk.random.uniform(0.3, 1.0)

        conditions = [(JOB + job.id, job.stamp), (HOLDER + shard.name, shard.term)]
        self.desk.commit(conditions, changes, done)

    def gangs(self, now: float) -> None:
        """A gang that lost a task ends as a whole, and starts anew once all of it is gone."""
        workers = self.workers
        for job in self.backlog.dirty_jobs.values():
            if not job.gang:
                continue
            live = [p for p in job.placed.values() if p.takes_room]
            if not live:
                job.gang_stopping = False
                continue
            if any(p.stop_grace_s is not None for p in live) and not job.gang_stopping:
                # An orderly stop: everybody hears of it with the same grace.
                grace = max(p.stop_grace_s or 0.0 for p in live)
                for p in live:
                    if p.stop_grace_s is None:
                        workers.stop_task(p, grace, "gang")
            elif job.gang_stopping:
                for p in live:
                    workers.stop_task(p, 0.0, "gang")

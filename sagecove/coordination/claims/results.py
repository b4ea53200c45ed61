"""Results are made durable; gangs ended as a whole."""

from __future__ import annotations

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.model import JobRun, Shard
from sagecove.coordination.ports import Desk, Halting, Syncing
from sagecove.protocol import state as wire
from sagecove.protocol.users import DONE
from sagecove.storage.records import HOLDER, JOB, OVER, OverRecord
from sagecove.storage.store import Outcome, Result


class Results:
    """Writes what has come of tasks."""

    def __init__(self, desk: Desk, backlog: Backlog, workers: Halting, sync: Syncing) -> None:
        self.desk = desk
        self.backlog = backlog
        self.workers = workers
        self.sync = sync
        self.record_s = self.desk.settings.params.workers.lease_s / 4

    def record(self, now: float, shards: list[Shard]) -> None:
        """Make finished tasks durable; end jobs whose last task has."""
        for job in list(self.backlog.open.values()):
            if not job.fresh or job.committing:
                continue
            shard = next((s for s in shards if job.claims.get(s.name, 0) & job.fresh), None)
            if shard is None:
                continue
            fresh = 0
            for s in shards:
                fresh |= job.claims.get(s.name, 0) & job.fresh
            if job.home is not None:
                job.home.finished(job, shard)
                continue
            fin = job.fin | fresh
            # Tasks of a large array end all the time: their numbers are written together, unless
            # nothing of the job is left to run here. Until then the workers keep them.
            more = any(job.claimed(s.name) for s in shards)
            if more and now - job.recorded_at < self.record_s:
                continue
            job.recorded_at = now
            key = JOB + job.id
            changes: list[wire.Put | wire.Drop]
            if fin == job.every:
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
            self.desk.dirty = True
            if result.outcome is Outcome.CONFLICT:
                job.claim_after = self.desk.now + self.desk.random.uniform(0.05, 0.3)
                self.sync.want_sync()
            elif result.outcome is not Outcome.DONE:
                job.claim_after = self.desk.now + self.desk.random.uniform(0.3, 1.0)

        conditions = [(JOB + job.id, job.stamp), (HOLDER + shard.name, shard.term)]
        self.desk.commit(conditions, changes, done)

    def gangs(self, now: float) -> None:
        """A gang that lost a task ends as a whole, and starts anew once all of it is gone."""
        workers = self.workers
        for job in self.backlog.open.values():
            if not job.gang:
                continue
            live = [p for p in job.placed.values() if p.live]
            if not live:
                job.failing = False
                continue
            if any(p.halt is not None for p in live) and not job.failing:
                # An orderly stop: everybody hears of it with the same grace.
                grace = max(p.halt or 0.0 for p in live)
                for p in live:
                    if p.halt is None:
                        workers.halt(p, grace, "gang")
            elif job.failing:
                for p in live:
                    workers.halt(p, 0.0, "gang")

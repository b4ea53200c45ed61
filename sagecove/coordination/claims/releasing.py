"""Claims that found no place are given back."""

from __future__ import annotations

from sagecove.coordination.claims.ground import Ground
from sagecove.coordination.model import JobRun, Shard
from sagecove.coordination.ports import Desk, Syncing
from sagecove.protocol import state as wire
from sagecove.storage.records import HOLDER, JOB
from sagecove.storage.store import Outcome, Result


class Releasing:
    """Gives claims back."""

    def __init__(self, desk: Desk, ground: Ground, sync: Syncing) -> None:
        self.desk = desk
        self.sync = sync
        self.ground = ground
        # Releases whose outcome is unknown: job, shard, claims without them, tasks.
        self.retries: list[tuple[JobRun, Shard, dict[str, int], int]] = []

    def release(self, now: float, job: JobRun, shard: Shard) -> None:
        """Give back claims that found no place within a poll (a whole job's only all together)."""
        if job.committing:
            return
        name = shard.name
        bits = job.placeable(name)
        if job.whole and (job.placed or bits != job.claimed(name) or job.limbo.get(name)):
            return
        claims = dict(job.claims)
        claims[name] = claims.get(name, 0) & ~bits
        # What is being released must not be placed: the record is conditional, the room is not.
        job.hold_until = now + 0.5
        job.stuck_at.pop(name, None)
        job.claim_after = now + self.desk.random.uniform(0.5, 1.5) * self.ground.poll_s
        job.releasing |= bits
        if job.home is not None:
            job.home.release(job, shard, bits)
            return
        self.write_release(job, shard, claims, bits)

    def write_release(self, job: JobRun, shard: Shard, claims: dict[str, int], bits: int) -> None:
        stamp = job.stamp
        job.committing = True

        def done(result: Result) -> None:
            job.committing = False
            self.desk.dirty = True
            if result.outcome is Outcome.UNKNOWN and job.stamp == stamp:
                # It may be executed late: nothing is placed until a repetition has settled it.
                self.retries.append((job, shard, claims, bits))
                return
            job.releasing &= ~bits
            self.sync.want_sync()

        conditions = [(JOB + job.id, stamp), (HOLDER + shard.name, shard.term)]
        put = wire.Put(JOB + job.id, job.with_sets(job.fin, claims))
        self.desk.commit(conditions, [put], done)

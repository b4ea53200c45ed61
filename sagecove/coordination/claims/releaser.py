"""Claims that found no place are given back."""

from __future__ import annotations

from typing import NamedTuple

from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.interfaces import MirrorSync, OwnerContext
from sagecove.coordination.model import JobRun, Shard
from sagecove.protocol import state as wire
from sagecove.storage.records import HOLDER, JOB
from sagecove.storage.store import Outcome, Result


class UnconfirmedRelease(NamedTuple):
    """A release whose outcome is not known: tasks (`bits`), the job's claims without them, the
    record it was written on, and if it is to be sent once more."""

    job: JobRun
    shard: Shard
    claims: dict[str, int]
    bits: int
    stamp: int
    again: bool


class Releaser:
    """Gives claims back."""

    def __init__(self, desk: OwnerContext, ground: PassState, sync: MirrorSync) -> None:
        self.desk = desk
        self.sync = sync
        self.ground = ground
        self.unconfirmed: list[UnconfirmedRelease] = []

    def release(self, now: float, job: JobRun, shard: Shard) -> None:
        """Give back claims that found no place within a poll (a whole job's only all together)."""
        if job.committing:
            return
        name = shard.name
        bits = job.placeable(name)
        if job.claimed_whole and (
            job.placed or bits != job.claimed(name) or job.possibly_running.get(name)
        ):
            return
        claims = dict(job.claims)
        claims[name] = claims.get(name, 0) & ~bits
        # What is being released must not be placed: the record is conditional, the room is not.
        job.hold_until = now + 0.5
        job.unplaceable_since.pop(name, None)
        job.claim_after = now + self.desk.random.uniform(0.5, 1.5) * self.ground.poll_s
        job.releasing |= bits
        if job.durable_state is not None:
            job.durable_state.write_release(job, shard, bits)
            return
        self.write_release(job, shard, claims, bits)

    def repeat(self) -> None:
        """Settle what is in doubt: by a newer record of the job, by the end of the term, or by
        writing it once more."""
        doubts, self.unconfirmed = self.unconfirmed, []
        for doubt in doubts:
            job, shard, claims, bits, stamp, again = doubt
            if self.desk.jobs.get(job.id) is not job:
                continue
            if job.stamp != stamp or self.desk.held_shards.get(shard.name) is not shard:
                # Its record, or its term, is over, so that it can't be executed any more: were the
                # tasks kept back for it, nobody would ever place them.
                job.releasing &= ~bits
                self.desk.pass_needed = True
            elif again:
                self.write_release(job, shard, claims, bits, doubtful=True)
            else:
                self.unconfirmed.append(doubt)

    def write_release(
        self,
        job: JobRun,
        shard: Shard,
        claims: dict[str, int],
        bits: int,
        doubtful: bool = False,
    ) -> None:
        """`doubtful`: an earlier copy got no answer, and may be executed at any time."""
        stamp = job.stamp
        job.committing = True

        def done(result: Result) -> None:
            job.committing = False
            self.desk.pass_needed = True
            self.sync.request_sync()
            conflict = result.outcome is Outcome.CONFLICT
            unsure = doubtful or result.outcome is Outcome.UNKNOWN
            if job.stamp == stamp and (conflict or (unsure and result.outcome is not Outcome.DONE)):
                # Nothing is placed until it is settled. A conflict says that the record is another,
                # maybe by an earlier copy: until that is read here, the claims are not what they
                # seem. And that a repetition was refused says nothing of the first.
                self.unconfirmed.append(
                    UnconfirmedRelease(job, shard, claims, bits, stamp, not conflict)
                )
                return
            job.releasing &= ~bits

        conditions = [(JOB + job.id, stamp), (HOLDER + shard.name, shard.term)]
        put = wire.Put(JOB + job.id, job.with_sets(job.finished, claims))
        self.desk.commit(conditions, [put], done)

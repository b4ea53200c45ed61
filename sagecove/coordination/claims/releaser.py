"""Releases claims on tasks that could not be placed."""

from __future__ import annotations

from typing import NamedTuple

from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.interfaces import OwnerContext, SyncRequests
from sagecove.coordination.model import JobRun, Shard
from sagecove.protocol import state as wire
from sagecove.storage.records import HOLDER_PREFIX, JOB_PREFIX
from sagecove.storage.store import Outcome, Result


class UnconfirmedRelease(NamedTuple):
    """A release with an unknown outcome: its tasks (`bits`), the job's claims without them, the
    version of the record (`stamp`) it was based on, and whether it has to be sent again."""

    job: JobRun
    shard: Shard
    claims: dict[str, int]
    bits: int
    stamp: int
    resend: bool


class Releaser:
    """Releases claims and resolves releases with an unknown outcome."""

    def __init__(self, context: OwnerContext, state: PassState, sync: SyncRequests) -> None:
        self.context = context
        self.sync = sync
        self.state = state
        self.unconfirmed: list[UnconfirmedRelease] = []

    def release(self, now: float, job: JobRun, shard: Shard) -> None:
        """Release a job's unplaced claims; those of a job claimed as a whole only all at once."""
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
        # Tasks under release must not be placed: the write is conditional, a placement is not.
        job.hold_until = now + 0.5
        job.unplaceable_since.pop(name, None)
        job.claim_after = now + self.context.random.uniform(0.5, 1.5) * self.state.poll_s
        job.releasing |= bits
        if job.durable_state is not None:
            job.durable_state.write_release(job, shard, bits)
            return
        self.write_release(job, shard, claims, bits)

    def resolve_unconfirmed(self) -> None:
        """Resolve unconfirmed releases by a newer record of the job, the end of the shard's term,
        or another write."""
        unresolved, self.unconfirmed = self.unconfirmed, []
        for entry in unresolved:
            job, shard, claims, bits, stamp, resend = entry
            if self.context.jobs.get(job.id) is not job:
                continue
            if job.stamp != stamp or self.context.held_shards.get(shard.name) is not shard:
                # The write can't be executed any more, as its record or term has changed. Tasks
                # still marked as under release would never be placed by anyone.
                job.releasing &= ~bits
                self.context.pass_needed = True
            elif resend:
                self.write_release(job, shard, claims, bits, earlier_unanswered=True)
            else:
                self.unconfirmed.append(entry)

    def write_release(
        self,
        job: JobRun,
        shard: Shard,
        claims: dict[str, int],
        bits: int,
        earlier_unanswered: bool = False,
    ) -> None:
        """Write a release. `earlier_unanswered`: an earlier copy may still be executed."""
        stamp = job.stamp
        job.committing = True

        def done(result: Result) -> None:
            job.committing = False
            self.context.pass_needed = True
            self.sync.request_sync()
            conflict = result.outcome is Outcome.CONFLICT
            uncertain = earlier_unanswered or result.outcome is Outcome.UNKNOWN
            if job.stamp == stamp and (
                conflict or (uncertain and result.outcome is not Outcome.DONE)
            ):
                # Don't place the tasks until the outcome is known. A conflict means that the record
                # has changed, maybe by an earlier copy, so the claims known here are out of date
                # until it is read. A refused repetition says nothing about the first copy.
                self.unconfirmed.append(
                    UnconfirmedRelease(job, shard, claims, bits, stamp, not conflict)
                )
                return
            job.releasing &= ~bits

        conditions = [(JOB_PREFIX + job.id, stamp), (HOLDER_PREFIX + shard.name, shard.term)]
        put = wire.Put(JOB_PREFIX + job.id, job.with_sets(job.finished, claims))
        self.context.commit(conditions, [put], done)

"""Blocks: ranges of a sweep's points, claimed, given back and finished in one write for many.

The core decides for each point as for any job. What it decides in a pass is gathered by block and
written together, on three conditions: the block is as it was, the shard is held under this term,
the sweep is alive. So a claim lost, a holder replaced and a sweep cancelled meanwhile all make the
write fail as a whole, and the next pass starts from what is then known.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from sagecove.coordination.model import JobRun, Shard
from sagecove.protocol import state as wire
from sagecove.protocol.users import CANCELLED, DONE, JobStatus
from sagecove.storage import taskset
from sagecove.storage.records import FINAL_STATE_PREFIX, HOLDER_PREFIX, JOB_PREFIX, JobRecord
from sagecove.storage.store import Outcome, Result
from sagecove.storage.taskset import members
from sagecove.sweeps.model import Sweep, decode_block
from sagecove.sweeps.records import (
    BLOCK_PREFIX,
    ENDED_BLOCK_PREFIX,
    SWEEP_PREFIX,
    BlockRecord,
    block_key,
    point_id,
)

if TYPE_CHECKING:
    from sagecove.sweeps.manager import SweepManager

log = logging.getLogger("sagecove.sweeps")

# A point that is done waits so long for others of its block to be written with it: PROTOCOL gives
# 3 s until its user expects to be told.
DONE_WAIT_S = 1.0


class Block:
    """A block of a live sweep, and the home of its points' jobs."""

    def __init__(self, feature: SweepManager, sweep: Sweep, number: int) -> None:
        self.feature = feature
        self.owner = feature.owner
        self.sweep = sweep
        self.number = number
        self.first_point = number * sweep.block_size
        self.size = min(sweep.block_size, sweep.size - self.first_point)
        self.key = block_key(BLOCK_PREFIX, sweep.id, number)
        self.stamp = 0
        self.claims: dict[str, int] = {}
        self.done = 0
        self.cancelled = 0
        # Points with records of their own that are not known to be over.
        self.made = 0
        self.failure_reasons: dict[int, str] = {}
        # Left out by the filter: known once the block has been looked through.
        self.left_out = 0
        self.scanned = False
        self.over_since: float | None = None
        # What the core has decided and is to be written: number to job and shard.
        self.claiming: dict[int, tuple[JobRun, Shard]] = {}
        self.giving: dict[int, tuple[JobRun, Shard]] = {}
        self.finishing: dict[int, tuple[JobRun, Shard]] = {}
        # Points found bad, to be written: number to reason; and since when.
        self.bad: dict[int, str] = {}
        self.bad_at = 0.0
        # Points that had records of their own and are over: number to state.
        self.endings: dict[int, str] = {}
        self.due = 0.0
        self.busy = False
        # What is in doubt, to be written once more with the next pass.
        self.again: Callable[[], None] | None = None

    # -- the record -----------------------------------------------------------------------------

    @property
    def over(self) -> int:
        """Points that are over."""
        bits = self.done | self.cancelled
        for k in self.failure_reasons:
            bits |= 1 << k
        return bits

    @property
    def claimed(self) -> int:
        """Points that some shard has claimed."""
        bits = 0
        for some in self.claims.values():
            bits |= some
        return bits

    @property
    def complete(self) -> bool:
        """All points are over, or left out."""
        return self.scanned and (self.over | self.left_out) == taskset.full(self.size)

    def record(self) -> BlockRecord:
        """The record as it stands."""
        return BlockRecord(
            {s: taskset.encode(bits) for s, bits in self.claims.items() if bits},
            taskset.encode(self.done),
            taskset.encode(self.cancelled),
            taskset.encode(self.made),
            {str(k): why for k, why in self.failure_reasons.items()},
        )

    def update(self, record: BlockRecord, stamp: int) -> None:
        """Take over a newer record: points are claimed, given back, over."""
        owner, sweep = self.owner, self.sweep
        before_over, before, gone = self.over, self.claims, self.claimed
        self.stamp = stamp
        sets = decode_block(record, self.size)
        self.claims, self.done, self.cancelled, self.failure_reasons = (
            *(sets.claims, sets.done, sets.cancelled, sets.failed),
        )
        for k in members(sets.made & ~self.made):
            sweep.forget(self.first_point + k)
        self.made = sets.made
        over = self.over
        for k in members(over & ~before_over):
            sweep.forget(self.first_point + k)
            job_id = point_id(sweep.id, self.first_point + k)
            job = owner.jobs.get(job_id)
            if job is not None:
                owner.job_over(job)
            if self.done >> k & 1:
                self.feature.remember_final_state(job_id, DONE)
            elif self.cancelled >> k & 1:
                self.feature.remember_final_state(job_id, CANCELLED)
        gone &= ~self.claimed
        for shard, bits in self.claims.items():
            for k in members(bits & ~before.get(shard, 0) & ~over):
                self._claimed(k, shard)
        for k in members(gone & ~over):
            self._given_back(k)
        self.note_complete()

    def note_complete(self) -> None:
        """Something was learned of the block: is it over by now?"""
        if self.complete:
            self.sweep.complete.setdefault(self.number, self)

    def _run(self, k: int) -> JobRun | None:
        """The job of a point, made if it is not there yet."""
        job_id = point_id(self.sweep.id, self.first_point + k)
        job = self.owner.jobs.get(job_id)
        if job is None:
            spec = self.sweep.point_spec(self.first_point + k)
            if spec is None or isinstance(spec, str):
                return None
            job = JobRun(JobRecord(spec, self.sweep.at(self.first_point + k)), self.stamp)
            job.durable_state = self
            self.owner.job_seen(job)
        return job

    def _claimed(self, k: int, shard: str) -> None:
        job = self._run(k)
        self.sweep.forget(self.first_point + k)
        if job is not None:
            job.apply_record(JobRecord(job.spec, job.submitted_at, {shard: "0"}), self.stamp)
            self.owner.backlog.reclassify(job)
            self.owner.ledger.update_claims(job)

    def _given_back(self, k: int) -> None:
        job = self._run(k)
        if job is not None:
            job.apply_record(JobRecord(job.spec, job.submitted_at), self.stamp)
            self.owner.backlog.reclassify(job)
            self.owner.ledger.update_claims(job)
            self.sweep.group_of(job.spec).claimable |= 1 << (self.first_point + k)

    def open(self, k: int) -> None:
        """A waiting point becomes a job that may be claimed."""
        job = self._run(k)
        bit = 1 << (self.first_point + k)
        if job is not None:
            group = self.sweep.group_of(job.spec)
            group.waiting &= ~bit
            group.claimable |= bit

    # -- what the core decides ------------------------------------------------------------------

    def _number(self, job: JobRun) -> int:
        return int(job.id.rpartition(".p")[2]) - self.first_point

    def write_claim(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Claim a point, see `ports.Home`."""
        self.claiming[self._number(job)] = (job, shard)
        self.feature.touched[self.key] = self

    def write_release(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Give a point back."""
        job.committing = True
        self.giving[self._number(job)] = (job, shard)
        self.feature.touched[self.key] = self

    def write_finished(self, job: JobRun, shard: Shard) -> None:
        """A point has completed."""
        job.committing = True
        if not self.finishing:
            self.due = self.owner.now + DONE_WAIT_S
        self.finishing[self._number(job)] = (job, shard)
        self.feature.touched[self.key] = self

    def cancel(self, job: JobRun, exchange: Any) -> None:
        """Cancel a point."""
        self.cancel_point(self._number(job), exchange)

    def cancel_point(self, k: int, exchange: Any) -> None:
        """Cancel a point, a job here or not, and answer its user once that is durable."""
        owner, users = self.owner, self.owner.users
        job_id = point_id(self.sweep.id, self.first_point + k)
        record = self.record()
        for shard, bits in self.claims.items():
            if bits >> k & 1:
                record.claims[shard] = taskset.encode(bits & ~(1 << k))
        record.claims = {shard: text for shard, text in record.claims.items() if text}
        record.cancelled = taskset.encode(self.cancelled | 1 << k)

        def done(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                # Promises in an outage rest on who knows of which cancellation.
                owner.cancellations.raise_floor(result.revision)
                owner.peers.announce_cancellation(job_id)
                log.info("cancelled job=%s", job_id)
                users.reply(exchange, 200, JobStatus(job_id, CANCELLED))
            elif result.outcome is Outcome.CONFLICT:
                users.answer_after_read("cancel", job_id, exchange)
            else:
                users.refuse_state_unavailable(exchange)

        conditions = [*self._unchanged(), (SWEEP_PREFIX + self.sweep.id, self.sweep.stamp)]
        owner.commit(conditions, [wire.Put(self.key, record)], done, urgent=True)

    # -- points with records of their own -----------------------------------------------------

    def make(self, points: list[int], shard: Shard) -> None:
        """Write records for points of more than one task: from then on they are jobs as if their
        user had sent them alone, at the time of the sweep."""
        sweep = self.sweep
        record = self.record()
        made = self.made
        jobs: list[wire.Put | wire.Delete] = []
        conditions = self._conditions(shard)
        for k in points:
            spec = sweep.point_spec(self.first_point + k)
            if spec is None or isinstance(spec, str):
                continue
            made |= 1 << k
            job = JobRecord(spec, sweep.at(self.first_point + k), sweep=sweep.id)
            jobs.append(wire.Put(JOB_PREFIX + spec.id, job))
            conditions += [(JOB_PREFIX + spec.id, 0), (FINAL_STATE_PREFIX + spec.id, 0)]
        record.made = taskset.encode(made)
        self._commit(shard, conditions, [wire.Put(self.key, record), *jobs], [], [])

    def ended(self, k: int, state: str) -> None:
        """A point with a record of its own is known to be over."""
        if not self.endings and not self.finishing:
            self.due = self.owner.now + DONE_WAIT_S
        self.endings[k] = state
        self.feature.touched[self.key] = self

    def _write_endings(self, now: float, acting: dict[str, Shard]) -> bool:
        """Write down which points are over that had records of their own; True if there is more
        to do."""
        self.endings = {k: state for k, state in self.endings.items() if self.made >> k & 1}
        if not self.endings:
            return False
        shard = acting.get(self.owner.settings.node)
        if shard is None or now < self.due:
            return True
        record = self.record()
        sets = {DONE: self.done, CANCELLED: self.cancelled}
        made = self.made
        for k, state in self.endings.items():
            made &= ~(1 << k)
            sets[state] |= 1 << k
        record.made = taskset.encode(made)
        record.done, record.cancelled = taskset.encode(sets[DONE]), taskset.encode(sets[CANCELLED])
        self._commit(shard, self._conditions(shard), [wire.Put(self.key, record)], [], [])
        return True

    def _conditions(self, shard: Shard) -> list[tuple[str, int]]:
        """The block is as it was, the shard is held under this term, the sweep is alive."""
        return [
            *self._unchanged(),
            (HOLDER_PREFIX + shard.name, shard.term),
            (SWEEP_PREFIX + self.sweep.id, self.sweep.stamp),
        ]

    def _unchanged(self) -> list[tuple[str, int]]:
        """The block is as it was. One that had never been written is absent again once it is over:
        a first claim carried out late brought it back, and its points were told to wait that had
        been told to be done."""
        never = (
            [] if self.stamp else [(block_key(ENDED_BLOCK_PREFIX, self.sweep.id, self.number), 0)]
        )
        return [(self.key, self.stamp), *never]

    # -- writing --------------------------------------------------------------------------------

    def flush(self, now: float) -> bool:
        """Write what is to be written, as far as it may be; whether nothing is left."""
        if self.busy:
            if self.again is not None:
                again, self.again = self.again, None
                again()
            return False
        acting = {
            name: self.owner.held_shards[name] for name in self.owner.shards.active_shards(now)
        }
        self._drop_stale(acting)
        queued = (self.claiming, self.giving, self.finishing)
        if not any(queued):
            return not (self._write_endings(now, acting) or self._write_bad(now, acting))
        if not self.claiming and not self.giving and now < self.due and not self._last():
            return False
        # One shard at a time: a write is conditional on one term.
        shard = next(s for queue in queued for _, s in queue.values())
        self._write(shard)
        return not any(queued)

    def _last(self) -> bool:
        """What is finishing ends all that is claimed of the block: nothing more will come soon."""
        return self.claimed.bit_count() <= len(self.finishing)

    def _drop_stale(self, acting: dict[str, Shard]) -> None:
        """What was decided under a term that is over, or for a job that is, is void; and so is what
        rested on claims that are not there any more: it waits here while another write of the
        block is under way. Without that check a point that another shard had claimed meanwhile
        was claimed by both, and ran twice."""
        claimed, over = self.claimed, self.over
        for queue in (self.claiming, self.giving, self.finishing):
            for k, (job, shard) in list(queue.items()):
                mine = self.claims.get(shard.name, 0)
                stands = not claimed >> k & 1 if queue is self.claiming else mine >> k & 1
                if (
                    not stands
                    or acting.get(shard.name) is not shard
                    or self.owner.jobs.get(job.id) is not job
                    or over >> k & 1
                ):
                    del queue[k]
                    self._settle(job)

    def _write(self, shard: Shard) -> None:
        owner = self.owner
        claiming = _of(self.claiming, shard)
        giving = _of(self.giving, shard)
        finishing = _of(self.finishing, shard)
        changes: list[wire.Put | wire.Delete] = []
        conditions = self._conditions(shard)
        for team in list(dict.fromkeys(job.spec.team for job, _ in claiming.values())):
            if not owner.limits.claims_within_share(shard.name, team):
                # The limit stands against it by now: they are left to the next pass.
                for k, (job, _) in list(claiming.items()):
                    if job.spec.team == team:
                        del claiming[k]
                        self._settle(job)
                        job.claim_after = owner.now + owner.settings.poll_interval_s / 2
        if not claiming and not giving and not finishing:
            return
        record = self.record()
        bits = self.claims.get(shard.name, 0)
        for k in claiming:
            bits |= 1 << k
        for k in (*giving, *finishing):
            bits &= ~(1 << k)
        record.claims.pop(shard.name, None)
        if bits:
            record.claims[shard.name] = taskset.encode(bits)
        done = self.done
        for k in finishing:
            done |= 1 << k
        record.done = taskset.encode(done)
        self._commit(
            shard,
            conditions,
            [wire.Put(self.key, record), *changes],
            [job for job, _ in (claiming | finishing).values()],
            [job for job, _ in giving.values()],
        )

    def _commit(
        self,
        shard: Shard,
        conditions: list[tuple[str, int]],
        changes: list[wire.Put | wire.Delete],
        jobs: list[JobRun],
        giving: list[JobRun],
        doubtful: bool = False,
    ) -> None:
        owner = self.owner
        self.busy = True
        stamp = conditions[0][1]

        def done(result: Result) -> None:
            owner.pass_needed = True
            unsure = doubtful or result.outcome in (Outcome.UNKNOWN, Outcome.CONFLICT)
            current = (
                self.stamp == stamp
                and owner.held_shards.get(shard.name) is shard
                and self.feature.sweeps.get(self.sweep.id) is self.sweep
            )
            if giving and current and unsure and result.outcome is not Outcome.DONE:
                # It may be executed late: what is being given back is placed by nobody until a
                # newer record has been read. Of an earlier copy it says nothing that this one is
                # refused, and a conflict may be that copy's work.
                owner.sync.request_sync()
                self.again = lambda: self._commit(shard, conditions, changes, jobs, giving, True)
                return
            self.busy = False
            for job in jobs + giving:
                self._settle(job)
                if result.outcome is not Outcome.DONE:
                    job.claim_after = owner.now + owner.random.uniform(0.05, 0.5)
            if result.outcome is Outcome.DONE:
                for job in giving:
                    job.claim_after = owner.now + owner.random.uniform(0.5, 1.5)
            else:
                owner.count("block_conflicts")
                owner.sync.request_sync()

        owner.commit(conditions, changes, done)

    def _settle(self, job: JobRun) -> None:
        """Nothing of a job is being written any more."""
        job.committing = False
        job.claiming = None
        job.releasing = 0
        self.owner.ledger.update_claims(job)

    def _write_bad(self, now: float, acting: dict[str, Shard]) -> bool:
        """Write down which points can't run. Whose block it is does it; if that controller does
        not, another does. True if there is more to do."""
        self.bad = {k: why for k, why in self.bad.items() if not self.over >> k & 1}
        if not self.bad:
            return False
        shard = acting.get(self.owner.settings.node)
        patience = 0.0 if self.number in self.sweep.own_blocks else self.owner.leadership.lease_s
        if shard is None or now < self.bad_at + patience:
            return True
        record = self.record()
        # All of a block may fail: its reasons take half of a value at most.
        length = int(self.owner.settings.params.state.value_kb * 512 / self.sweep.block_size)
        for k, why in sorted(self.bad.items()):
            record.failed[str(k)] = why[:length]
            log.info(
                "point failed job=%s why=%s", point_id(self.sweep.id, self.first_point + k), why
            )
        self._commit(shard, self._conditions(shard), [wire.Put(self.key, record)], [], [])
        return True


def _of(queue: dict[int, tuple[JobRun, Shard]], shard: Shard) -> dict[int, tuple[JobRun, Shard]]:
    """What of a queue belongs to a shard, taken out of it."""
    taken = {k: entry for k, entry in queue.items() if entry[1] is shard}
    for k in taken:
        del queue[k]
    return taken

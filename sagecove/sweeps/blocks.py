"""Reads and writes blocks: ranges of a sweep's points whose claims and states share one record.

The scheduling core decides on each point as on any job. The decisions of a pass are collected by
block and written in one transaction, on three conditions: the block's record is unchanged, the
shard is held under the same term, and the sweep is live. If a claim was lost, the holder replaced
or the sweep cancelled in the meantime, the whole transaction fails, and the next pass starts from
the state known by then.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from sagecove.coordination.model import JobRun, Shard
from sagecove.coordination.refusals import Operation
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
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.sweeps")

# How long a completed point waits to be written together with others of its block. PROTOCOL allows
# 3 s until users see the completion.
DONE_WAIT_S = 1.0


class BlockContext(Protocol):
    """Interface that blocks require of the feature."""

    owner: Owner
    sweeps: dict[str, Sweep]
    # By key: the blocks with decisions to write.
    blocks_to_write: dict[str, Block]

    def remember_final_state(self, job_id: str, state: str) -> None:
        """Remember the durable final state of a point."""


class Block:
    """A block of a live sweep; keeps the durable state of the jobs of its points.

    Points are numbered from the first point of the block. Sets of points are integers with one
    bit per point.
    """

    def __init__(self, manager: BlockContext, sweep: Sweep, number: int) -> None:
        self.manager = manager
        self.owner = manager.owner
        self.sweep = sweep
        self.number = number
        self.first_point = number * sweep.block_size
        self.size = min(sweep.block_size, sweep.size - self.first_point)
        self.key = block_key(BLOCK_PREFIX, sweep.id, number)
        self.stamp = 0
        self.claims: dict[str, int] = {}
        self.done = 0
        self.cancelled = 0
        # Points with job records of their own that are not known to have ended.
        self.with_job_record = 0
        self.failure_reasons: dict[int, str] = {}
        # Points that the sweep's filter excludes; complete once the block is scanned.
        self.left_out = 0
        self.scanned = False
        self.complete_since: float | None = None
        # Decisions of the core that are not written yet: point to job and shard.
        self.claiming: dict[int, tuple[JobRun, Shard]] = {}
        self.releasing: dict[int, tuple[JobRun, Shard]] = {}
        self.finishing: dict[int, tuple[JobRun, Shard]] = {}
        # Points found unable to run that are not written yet, with the reason; and when found.
        self.unwritten_failures: dict[int, str] = {}
        self.failure_found_at = 0.0
        # Final states, not written yet, of points that had job records of their own.
        self.unwritten_ends: dict[int, str] = {}
        self.write_due_at = 0.0
        self.write_open = False
        # Repeats, in the next pass, a write whose outcome is unknown.
        self.repeat_write: Callable[[], None] | None = None

    # -- record -----------------------------------------------------------------------------------

    @property
    def ended_points(self) -> int:
        """Points that have ended."""
        bits = self.done | self.cancelled
        for k in self.failure_reasons:
            bits |= 1 << k
        return bits

    @property
    def claimed(self) -> int:
        """Points that any shard has claimed."""
        bits = 0
        for shard_claims in self.claims.values():
            bits |= shard_claims
        return bits

    @property
    def complete(self) -> bool:
        """Whether all points have ended or are excluded by the filter."""
        return self.scanned and (self.ended_points | self.left_out) == taskset.full(self.size)

    def record(self) -> BlockRecord:
        """Builds the block's record from the current state."""
        return BlockRecord(
            {s: taskset.encode(bits) for s, bits in self.claims.items() if bits},
            taskset.encode(self.done),
            taskset.encode(self.cancelled),
            taskset.encode(self.with_job_record),
            {str(k): why for k, why in self.failure_reasons.items()},
        )

    def apply_record(self, record: BlockRecord, stamp: int) -> None:
        """Applies a newer record: points become claimed, released or ended."""
        owner, sweep = self.owner, self.sweep
        ended_before, claims_before, released = self.ended_points, self.claims, self.claimed
        self.stamp = stamp
        sets = decode_block(record, self.size)
        self.claims, self.done, self.cancelled, self.failure_reasons = (
            *(sets.claims, sets.done, sets.cancelled, sets.failed),
        )
        for k in members(sets.made & ~self.with_job_record):
            sweep.remove_unclaimed(self.first_point + k)
        self.with_job_record = sets.made
        ended = self.ended_points
        for k in members(ended & ~ended_before):
            sweep.remove_unclaimed(self.first_point + k)
            job_id = point_id(sweep.id, self.first_point + k)
            job = owner.jobs.get(job_id)
            if job is not None:
                owner.job_over(job)
            if self.done >> k & 1:
                self.manager.remember_final_state(job_id, DONE)
            elif self.cancelled >> k & 1:
                self.manager.remember_final_state(job_id, CANCELLED)
        released &= ~self.claimed
        for shard, bits in self.claims.items():
            for k in members(bits & ~claims_before.get(shard, 0) & ~ended):
                self._apply_claim(k, shard)
        for k in members(released & ~ended):
            self._apply_release(k)
        self.update_complete()

    def update_complete(self) -> None:
        """Adds the block to the sweep's complete blocks if all of its points have ended."""
        if self.complete:
            self.sweep.complete_blocks.setdefault(self.number, self)

    def _find_or_create_job(self, k: int) -> JobRun | None:
        """Returns the job of a point and creates it if needed; None if the point has no job."""
        job_id = point_id(self.sweep.id, self.first_point + k)
        job = self.owner.jobs.get(job_id)
        if job is None:
            spec = self.sweep.point_spec(self.first_point + k)
            if spec is None or isinstance(spec, str):
                return None
            job = JobRun(JobRecord(spec, self.sweep.submitted_at(self.first_point + k)), self.stamp)
            job.durable_state = self
            self.owner.job_seen(job)
        return job

    def _apply_claim(self, k: int, shard: str) -> None:
        job = self._find_or_create_job(k)
        self.sweep.remove_unclaimed(self.first_point + k)
        if job is not None:
            job.apply_record(JobRecord(job.spec, job.submitted_at, {shard: "0"}), self.stamp)
            self.owner.backlog.reclassify(job)
            self.owner.ledger.update_claims(job)

    def _apply_release(self, k: int) -> None:
        job = self._find_or_create_job(k)
        if job is not None:
            job.apply_record(JobRecord(job.spec, job.submitted_at), self.stamp)
            self.owner.backlog.reclassify(job)
            self.owner.ledger.update_claims(job)
            self.sweep.group_of(job.spec).claimable |= 1 << (self.first_point + k)

    def make_claimable(self, k: int) -> None:
        """Turns a waiting point into a job that may be claimed."""
        job = self._find_or_create_job(k)
        bit = 1 << (self.first_point + k)
        if job is not None:
            group = self.sweep.group_of(job.spec)
            group.waiting &= ~bit
            group.claimable |= bit

    # -- decisions of the core --------------------------------------------------------------------

    def _point_of(self, job: JobRun) -> int:
        return int(job.id.rpartition(".p")[2]) - self.first_point

    def write_claim(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Queues the claim of a point; see `DurableState`."""
        self.claiming[self._point_of(job)] = (job, shard)
        self.manager.blocks_to_write[self.key] = self

    def write_release(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Queues the release of a point's claim."""
        job.committing = True
        self.releasing[self._point_of(job)] = (job, shard)
        self.manager.blocks_to_write[self.key] = self

    def write_finished(self, job: JobRun, shard: Shard) -> None:
        """Queues the completion of a point."""
        job.committing = True
        if not self.finishing:
            self.write_due_at = self.owner.now + DONE_WAIT_S
        self.finishing[self._point_of(job)] = (job, shard)
        self.manager.blocks_to_write[self.key] = self

    def cancel(self, job: JobRun, exchange: object) -> None:
        """Cancels the point of a job."""
        self.cancel_point(self._point_of(job), exchange)

    def cancel_point(self, k: int, exchange: object) -> None:
        """Cancels a point, whether or not it is a job on this controller, and answers the user once
        the cancellation is durable."""
        owner = self.owner
        job_id = point_id(self.sweep.id, self.first_point + k)
        if (self.with_job_record | self.ended_points) >> k & 1:
            # Written since the state was read that the request was answered by.
            owner.users.answer_after_read(Operation.CANCEL, job_id, exchange)
            return
        record = self.record()
        for shard, bits in self.claims.items():
            if bits >> k & 1:
                record.claims[shard] = taskset.encode(bits & ~(1 << k))
        record.claims = {shard: text for shard, text in record.claims.items() if text}
        record.cancelled = taskset.encode(self.cancelled | 1 << k)

        def done(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                # Promises made during an outage depend on which controllers know of which
                # cancellations.
                owner.cancellations.raise_floor(result.revision)
                owner.peers.announce_cancellation(job_id)
                log.info("cancelled job=%s", job_id)
                owner.answers.report_final(exchange, JobStatus(job_id, CANCELLED))
            elif result.outcome is Outcome.CONFLICT:
                owner.users.answer_after_read(Operation.CANCEL, job_id, exchange)
            else:
                owner.answers.refuse_state_unavailable(exchange)

        conditions = [
            *self._unchanged_conditions(),
            (SWEEP_PREFIX + self.sweep.id, self.sweep.stamp),
        ]
        owner.commit(conditions, [wire.Put(self.key, record)], done, urgent=True)

    # -- points with job records of their own -----------------------------------------------------

    def create_job_records(self, points: list[int], shard: Shard) -> None:
        """Writes job records for points of more than one task. From then on they are handled like
        jobs that the user submitted singly at the time of the sweep."""
        sweep = self.sweep
        record = self.record()
        made = self.with_job_record
        jobs: list[wire.Put | wire.Delete] = []
        conditions = self._write_conditions(shard)
        for k in points:
            spec = sweep.point_spec(self.first_point + k)
            if spec is None or isinstance(spec, str):
                continue
            made |= 1 << k
            job = JobRecord(spec, sweep.submitted_at(self.first_point + k), sweep=sweep.id)
            jobs.append(wire.Put(JOB_PREFIX + spec.id, job))
            conditions += [(JOB_PREFIX + spec.id, 0), (FINAL_STATE_PREFIX + spec.id, 0)]
        record.made = taskset.encode(made)
        self._commit(shard, conditions, [wire.Put(self.key, record), *jobs], [], [])

    def note_final_state(self, k: int, state: str) -> None:
        """Notes the final state of a point that has a job record of its own."""
        if not self.unwritten_ends and not self.finishing:
            self.write_due_at = self.owner.now + DONE_WAIT_S
        self.unwritten_ends[k] = state
        self.manager.blocks_to_write[self.key] = self

    def _write_ends(self, now: float, active_shards: dict[str, Shard]) -> bool:
        """Writes the final states of points that had job records of their own; returns whether
        there may be more to write."""
        self.unwritten_ends = {
            k: state for k, state in self.unwritten_ends.items() if self.with_job_record >> k & 1
        }
        if not self.unwritten_ends:
            return False
        shard = active_shards.get(self.owner.settings.node)
        if shard is None or now < self.write_due_at:
            return True
        record = self.record()
        sets = {DONE: self.done, CANCELLED: self.cancelled}
        made = self.with_job_record
        for k, state in self.unwritten_ends.items():
            made &= ~(1 << k)
            sets[state] |= 1 << k
        record.made = taskset.encode(made)
        record.done, record.cancelled = taskset.encode(sets[DONE]), taskset.encode(sets[CANCELLED])
        self._commit(shard, self._write_conditions(shard), [wire.Put(self.key, record)], [], [])
        return True

    def _write_conditions(self, shard: Shard) -> list[tuple[str, int]]:
        """Conditions of a write: the block is unchanged, the shard is held under this term, the
        sweep is live."""
        return [
            *self._unchanged_conditions(),
            (HOLDER_PREFIX + shard.name, shard.term),
            (SWEEP_PREFIX + self.sweep.id, self.sweep.stamp),
        ]

    def _unchanged_conditions(self) -> list[tuple[str, int]]:
        """Conditions that the block's record is unchanged.

        A block that was never written must not be among the ended blocks either, as its live key
        is absent again once it has ended. A first claim that was executed late recreated such a
        block, and points already reported as done were reported as waiting.
        """
        not_ended_condition = (
            [] if self.stamp else [(block_key(ENDED_BLOCK_PREFIX, self.sweep.id, self.number), 0)]
        )
        return [(self.key, self.stamp), *not_ended_condition]

    # -- writing ----------------------------------------------------------------------------------

    def flush(self, now: float) -> bool:
        """Writes the queued decisions as far as possible now; returns whether none is left."""
        if self.write_open:
            if self.repeat_write is not None:
                repeat, self.repeat_write = self.repeat_write, None
                repeat()
            return False
        active_shards = {
            name: self.owner.held_shards[name] for name in self.owner.shards.active_shards(now)
        }
        self._drop_invalid(active_shards)
        queued = (self.claiming, self.releasing, self.finishing)
        if not any(queued):
            return not (
                self._write_ends(now, active_shards) or self._write_failures(now, active_shards)
            )
        if (
            not self.claiming
            and not self.releasing
            and now < self.write_due_at
            and not self._completes_claims()
        ):
            return False
        # A write is conditional on the term of one shard.
        shard = next(s for queue in queued for _, s in queue.values())
        self._write_decisions(shard)
        return not any(queued)

    def _completes_claims(self) -> bool:
        """Whether the queued completions cover all claims of the block, so that no further
        completion is worth waiting for."""
        return self.claimed.bit_count() <= len(self.finishing)

    def _drop_invalid(self, active_shards: dict[str, Shard]) -> None:
        """Drops queued decisions that are no longer valid.

        A decision is invalid if it was made under a term that has ended or for a job that has
        ended, or if the claims that it was based on have changed while it waited for another write
        of the block. Without the check of the claims, a point that another shard had claimed in
        the meantime was claimed by both, and ran twice.
        """
        claimed, ended = self.claimed, self.ended_points
        for queue in (self.claiming, self.releasing, self.finishing):
            for k, (job, shard) in list(queue.items()):
                own_claims = self.claims.get(shard.name, 0)
                claim_valid = (
                    not claimed >> k & 1 if queue is self.claiming else own_claims >> k & 1
                )
                if (
                    not claim_valid
                    or active_shards.get(shard.name) is not shard
                    or self.owner.jobs.get(job.id) is not job
                    or ended >> k & 1
                ):
                    del queue[k]
                    self._clear_write_marks(job)

    def _write_decisions(self, shard: Shard) -> None:
        owner = self.owner
        claiming = _take_entries(self.claiming, shard)
        releasing = _take_entries(self.releasing, shard)
        finishing = _take_entries(self.finishing, shard)
        changes: list[wire.Put | wire.Delete] = []
        conditions = self._write_conditions(shard)
        for team in list(dict.fromkeys(job.spec.team for job, _ in claiming.values())):
            if not owner.limits.claims_within_share(shard.name, team):
                # The team's limit does not allow these claims any more; the next pass decides anew.
                for k, (job, _) in list(claiming.items()):
                    if job.spec.team == team:
                        del claiming[k]
                        self._clear_write_marks(job)
                        job.claim_after = owner.now + owner.settings.poll_interval_s / 2
        if not claiming and not releasing and not finishing:
            return
        record = self.record()
        bits = self.claims.get(shard.name, 0)
        for k in claiming:
            bits |= 1 << k
        for k in (*releasing, *finishing):
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
            [job for job, _ in releasing.values()],
        )

    def _commit(
        self,
        shard: Shard,
        conditions: list[tuple[str, int]],
        changes: list[wire.Put | wire.Delete],
        jobs: list[JobRun],
        releasing: list[JobRun],
        repeated: bool = False,
    ) -> None:
        owner = self.owner
        self.write_open = True
        stamp = conditions[0][1]

        def done(result: Result) -> None:
            owner.pass_needed = True
            uncertain = repeated or result.outcome in (Outcome.UNKNOWN, Outcome.CONFLICT)
            current = (
                self.stamp == stamp
                and owner.held_shards.get(shard.name) is shard
                and self.manager.sweeps.get(self.sweep.id) is self.sweep
            )
            if releasing and current and uncertain and result.outcome is not Outcome.DONE:
                # The write may still be executed: released points must not be placed until a newer
                # record has been read. That this copy is refused says nothing about an earlier
                # copy, and a conflict may be caused by that copy.
                owner.sync.request_sync()
                self.repeat_write = lambda: self._commit(
                    shard, conditions, changes, jobs, releasing, True
                )
                # With its last decision under way, the block was taken off the list.
                self.manager.blocks_to_write[self.key] = self
                return
            self.write_open = False
            for job in jobs + releasing:
                self._clear_write_marks(job)
                if result.outcome is not Outcome.DONE:
                    job.claim_after = owner.now + owner.random.uniform(0.05, 0.5)
            if result.outcome is Outcome.DONE:
                for job in releasing:
                    job.claim_after = owner.now + owner.random.uniform(0.5, 1.5)
            else:
                owner.count("block_conflicts")
                owner.sync.request_sync()

        owner.commit(conditions, changes, done)

    def _clear_write_marks(self, job: JobRun) -> None:
        """Clears the marks of a write under way from a job."""
        job.committing = False
        job.claiming = None
        job.releasing = 0
        self.owner.ledger.update_claims(job)

    def _write_failures(self, now: float, active_shards: dict[str, Shard]) -> bool:
        """Writes which points can't run; returns whether there may be more to write.

        The controller that the block is assigned to writes it; another one does if that has not
        happened within a lease.
        """
        self.unwritten_failures = {
            k: why for k, why in self.unwritten_failures.items() if not self.ended_points >> k & 1
        }
        if not self.unwritten_failures:
            return False
        shard = active_shards.get(self.owner.settings.node)
        delay_s = 0.0 if self.number in self.sweep.own_blocks else self.owner.leadership.lease_s
        if shard is None or now < self.failure_found_at + delay_s:
            return True
        record = self.record()
        # All points of a block may fail: their reasons together take at most half of a value.
        length = int(self.owner.settings.params.state.value_kb * 512 / self.sweep.block_size)
        for k, why in sorted(self.unwritten_failures.items()):
            record.failed[str(k)] = why[:length]
            log.info(
                "point failed job=%s why=%s", point_id(self.sweep.id, self.first_point + k), why
            )
        self._commit(shard, self._write_conditions(shard), [wire.Put(self.key, record)], [], [])
        return True


def _take_entries(
    queue: dict[int, tuple[JobRun, Shard]], shard: Shard
) -> dict[int, tuple[JobRun, Shard]]:
    """Removes the entries of a shard from a queue and returns them."""
    taken = {k: entry for k, entry in queue.items() if entry[1] is shard}
    for k in taken:
        del queue[k]
    return taken

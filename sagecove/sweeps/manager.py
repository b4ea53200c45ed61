"""Manages the live sweeps of one controller: creates jobs for points and ends completed blocks.

The module does no I/O: it receives key changes from the mirror and writes through the owner's
transactions. Only a few hundred points of a sweep, those next to be claimed, are jobs at a time;
the others are bits in sets. Each controller scans all points once, at a bounded rate, so that
points that can't run are found without waiting for the others.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Iterable
from math import inf
from typing import TYPE_CHECKING, Any

import msgspec

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.interfaces import SubmissionGuard
from sagecove.coordination.refusals import RequestKind
from sagecove.protocol import state as wire
from sagecove.protocol.users import CANCELLED, DONE
from sagecove.storage import taskset
from sagecove.storage.mirror import Event
from sagecove.storage.records import FINAL_STATE_PREFIX, JOB_PREFIX, MEMBER_PREFIX, FinalStateRecord
from sagecove.storage.store import Outcome, Result, decode_answer
from sagecove.storage.taskset import members
from sagecove.sweeps import records
from sagecove.sweeps.blocks import Block
from sagecove.sweeps.model import PointGroup, Sweep

if TYPE_CHECKING:
    from sagecove.coordination.effects import IncomingRequest
    from sagecove.coordination.model import JobRun
    from sagecove.coordination.owner import Owner
    from sagecove.sweeps.routes import Routes

log = logging.getLogger("sagecove.sweeps")

# Rate at which points are scanned, and the most points scanned in a pass.
SCAN_POINTS_PER_S, SCAN_MAX_POINT_COUNT = 1000.0, 512
# The least `txn_ops` that suffices to end blocks of sweeps with one task per point.
MIN_TXN_OP_COUNT = 8
# Most blocks without a record that one transaction ends. `txn_ops` bounds those with a record:
# each is dropped and put again as ended, beside the progress record.
CLOSE_MAX_BLOCK_COUNT = 40
FINAL_STATES_KEPT_COUNT = 10_000
# A point with a job record of its own counts as this many others towards the window.
JOB_RECORD_POINT_WEIGHT = 8
# Most concurrent reads of the final states of such points.
MAX_OPEN_READ_COUNT = 4


class SweepManager:
    """The sweeps feature of a controller.

    `window` is the number of unclaimed points that are jobs at a time, over all sweeps.
    """

    def __init__(self, owner: Owner, points_most: int, window: int) -> None:
        self.owner = owner
        self.points_most = points_most
        self.window = window
        self.records: list[tuple[str, Any]] = [
            (records.SWEEP_PREFIX, records.SweepRecord),
            (records.BLOCK_PREFIX, records.BlockRecord),
            (records.PROGRESS_PREFIX, records.ProgressRecord),
        ]
        self.sweeps: dict[str, Sweep] = {}
        # Block records and stamps of the mirror, also of unknown sweeps, by sweep and number.
        self.stored_blocks: dict[str, dict[int, tuple[records.BlockRecord, int]]] = {}
        self.blocks_to_write: dict[str, Block] = {}
        # Jobs with records of their own, by sweep; and the ids whose final states are being read.
        self.jobs_with_records: dict[str, dict[str, JobRun]] = {}
        self.open_reads: set[str] = set()
        self.cancellation_open = False
        self.ends_checked_at = -1e9
        self.last_pass_at = -1e9
        # Final states of points, bounded; evicted ones are read again. They are kept apart from
        # the core's: a job submitted under a point's id must not be reported as done.
        self.final_states: OrderedDict[str, str] = OrderedDict()
        self.removal_open = False
        self._routes: Routes | None = None

    # -- mirror -----------------------------------------------------------------------------------

    def key_changed(self, event: Event) -> None:
        """Applies the change of a key of the feature."""
        if event.key.startswith(records.BLOCK_PREFIX):
            self._block_changed(event)
        elif event.key.startswith(records.PROGRESS_PREFIX):
            sweep = self.sweeps.get(event.key[len(records.PROGRESS_PREFIX) :])
            if sweep is not None and event.value is not None:
                self._apply_progress(sweep, event.value, event.revision)
        elif event.value is None:
            self._remove_sweep(event.key[len(records.SWEEP_PREFIX) :])
        else:
            self._add_sweep(event.value, event.revision)

    def _add_sweep(self, record: records.SweepRecord, stamp: int) -> None:
        owner = self.owner
        sweep = Sweep(record, stamp, owner.settings.node, owner.settings.nodes)
        self.sweeps[record.id] = sweep
        progress = owner.mirror.items.get(records.PROGRESS_PREFIX + record.id)
        if progress is not None and progress.value is not None:
            self._apply_progress(sweep, progress.value, progress.revision)
        for number, (block, block_stamp) in self.stored_blocks.get(record.id, {}).items():
            self.get_block(sweep, number).apply_record(block, block_stamp)
        owner.jobs_changed = True

    def _remove_sweep(self, sweep_id: str) -> None:
        """Handles the end or cancellation of a sweep: its tasks on machines are stopped."""
        sweep = self.sweeps.pop(sweep_id, None)
        if sweep is None:
            return
        self.owner.jobs_changed = True
        for job in self.jobs_with_records.get(sweep_id, {}).values():
            # Their records are cancelled later, a few at a time; without the hold they were still
            # started until then.
            job.hold_until = inf
        for job in [
            j for j in self.owner.jobs.values() if self._is_block_of(j.durable_state, sweep)
        ]:
            self.owner.job_over(job)
        for block in sweep.blocks.values():
            self.blocks_to_write.pop(block.key, None)

    @staticmethod
    def _is_block_of(durable_state: object, sweep: Sweep) -> bool:
        return isinstance(durable_state, Block) and durable_state.sweep is sweep

    def _block_changed(self, event: Event) -> None:
        sweep_id, number = records.parse_block_key(event.key)
        sweep = self.sweeps.get(sweep_id)
        if event.value is None:
            blocks = self.stored_blocks.get(sweep_id, {})
            blocks.pop(number, None)
            if not blocks:
                self.stored_blocks.pop(sweep_id, None)
            return
        self.stored_blocks.setdefault(sweep_id, {})[number] = (event.value, event.revision)
        if sweep is not None and not sweep.ended_blocks >> number & 1:
            self.get_block(sweep, number).apply_record(event.value, event.revision)

    def _apply_progress(self, sweep: Sweep, record: records.ProgressRecord, stamp: int) -> None:
        sweep.progress, sweep.progress_stamp = record, stamp
        before, sweep.ended_blocks = sweep.ended_blocks, taskset.decode(record.over)
        for number in members(sweep.ended_blocks & ~before):
            block = sweep.blocks.pop(number, None)
            sweep.complete_blocks.pop(number, None)
            if block is None or block.left_out:
                mask = sweep.points_of_block(number)
                for group in sweep.groups.values():
                    group.waiting &= ~mask
                    group.claimable &= ~mask

    def get_block(self, sweep: Sweep, number: int) -> Block:
        """Returns a block, not ended, of a live sweep; creates it if needed."""
        found = sweep.blocks.get(number)
        if found is None:
            found = sweep.blocks[number] = Block(self, sweep, number)
        return found

    def job_seen(self, job: JobRun) -> None:
        """Registers a new job if it is a point with a job record of its own."""
        if job.record.sweep:
            self.jobs_with_records.setdefault(job.record.sweep, {})[job.id] = job

    def job_over(self, job: JobRun) -> None:
        """Unregisters a job that has ended."""
        jobs = self.jobs_with_records.get(job.record.sweep)
        if jobs is not None:
            jobs.pop(job.id, None)
            if not jobs:
                del self.jobs_with_records[job.record.sweep]

    # -- scheduling passes ------------------------------------------------------------------------

    def before_pass(self, now: float) -> None:
        """Scans more points and makes enough of them claimable."""
        if not self.sweeps or not self.owner.machine_types:
            return
        share = max(4, self.window // len(self.sweeps))
        for sweep in list(self.sweeps.values()):
            if sweep.scanned_count < len(sweep.scan_order):
                self._scan(
                    sweep,
                    int(min(SCAN_MAX_POINT_COUNT, SCAN_POINTS_PER_S * (now - self.last_pass_at))),
                )
        self.last_pass_at = now
        for sweep in list(self.sweeps.values()):
            ready = sum(group.claimable.bit_count() for group in sweep.groups.values())
            for group in list(sweep.groups.values()):
                if group.needs_job_records:
                    self._create_job_records(
                        sweep,
                        group,
                        max(2, share // len(sweep.groups) // JOB_RECORD_POINT_WEIGHT),
                        now,
                    )
                elif ready < share:
                    self._make_claimable(sweep, group, max(4, share // len(sweep.groups)))

    def _make_claimable(self, sweep: Sweep, group: PointGroup, max_count: int) -> None:
        for _ in range(max_count - group.claimable.bit_count()):
            k = sweep.next_waiting(group)
            if k is None:
                return
            number, offset = divmod(k, sweep.block_size)
            group.waiting &= ~(1 << k)
            self.get_block(sweep, number).make_claimable(offset)

    def _create_job_records(
        self, sweep: Sweep, group: PointGroup, max_count: int, now: float
    ) -> None:
        """Writes job records for a few points of more than one task, to make them claimable."""
        k = sweep.next_waiting(group)
        shard = self.owner.held_shards.get(self.owner.settings.node)
        if k is None or shard is None or shard.name not in self.owner.shards.active_shards(now):
            return
        ready = sum(
            1
            for job in self.jobs_with_records.get(sweep.id, {}).values()
            if job.unclaimed and sweep.group_of(job.spec) is group
        )
        number = k // sweep.block_size
        block = self.get_block(sweep, number)
        max_count = min(max_count - ready, self.owner.settings.params.state.txn_ops // 2)
        if max_count <= 0 or block.write_open or self.owner.store.writes_scarce(now):
            return
        points = []
        for k in members(group.waiting & sweep.points_of_block(number)):
            points.append(k - block.first_point)
            if len(points) == max_count:
                break
        block.create_job_records(points, shard)

    def _scan(self, sweep: Sweep, points: int) -> None:
        """Scans the next blocks: sorts points into groups, finds those that can't run or are
        excluded."""
        while points > 0 and sweep.scanned_count < len(sweep.scan_order):
            number = sweep.scan_order[sweep.scanned_count]
            sweep.scanned_count += 1
            if sweep.ended_blocks >> number & 1:
                continue
            block = self.get_block(sweep, number)
            points -= block.size
            # Points with job records of their own don't wait. When they were counted as waiting
            # after a restart, their records were written again and again, in vain, and their block
            # never ended.
            claimed = block.ended_points | block.with_job_record | block.claimed
            for k in range(block.size):
                if not claimed >> k & 1:
                    self._scan_point(sweep, block, k)
            block.scanned = True
            block.update_complete()
            if block.unwritten_failures:
                self.blocks_to_write[block.key] = block
        if sweep.scanned_count == len(sweep.scan_order):
            self.owner.jobs_changed = True
            log.info("sweep looked through sweep=%s points=%d", sweep.id, sweep.size)

    def _scan_point(self, sweep: Sweep, block: Block, k: int) -> None:
        spec = sweep.point_spec(block.first_point + k)
        if spec is None:
            block.left_out |= 1 << k
            sweep.left_out_count += 1
            return
        why = (
            spec
            if isinstance(spec, str)
            else sweep.impossible_reason(spec, self.owner.users.submissions.impossible_reason)
        )
        if why is not None:
            block.unwritten_failures[k] = why
            block.failure_found_at = self.owner.now
        elif not isinstance(spec, str):
            group = sweep.group_of(spec)
            group.scanned_point_count += 1
            if spec.id not in self.owner.jobs:
                group.waiting |= 1 << (block.first_point + k)

    def after_pass(self, now: float) -> None:
        """Writes the decisions of the pass and ends completed blocks."""
        for block in list(self.blocks_to_write.values()):
            if block.flush(now):
                self.blocks_to_write.pop(block.key, None)
        for sweep in self.sweeps.values():
            self._end_blocks(sweep, now)

    def tick(self, now: float) -> None:
        """Reads the final states of points with job records of their own and removes what cancelled
        sweeps have left."""
        if now - self.ends_checked_at >= 1.0 and self.owner.mirror.loaded:
            self.ends_checked_at = now
            for sweep in self.sweeps.values():
                for block in list(sweep.blocks.values()):
                    if block.with_job_record:
                        self._read_final_states(sweep, block)
            if self.jobs_with_records and not self.cancellation_open:
                self._cancel_orphaned_jobs(now)
        if self.stored_blocks and not self.removal_open and self.owner.mirror.loaded:
            self._remove_cancelled_blocks(now)

    def unfinished_work(self) -> Iterable[tuple[float, str, str, float, float]]:
        """Yields the work of points that are not the owner's jobs, for counting guarantees."""
        for sweep in self.sweeps.values():
            for group in sweep.groups.values():
                # Points not scanned yet are assumed to be distributed like the scanned ones.
                unscanned_count = sweep.size - min(
                    sweep.size, sweep.scanned_count * sweep.block_size
                )
                count = group.waiting.bit_count()
                if 0 < unscanned_count < sweep.size:
                    # Claimed points may define groups before any point was scanned: a controller
                    # that had just started divided by zero here and crashed.
                    count += (
                        unscanned_count
                        * group.scanned_point_count
                        // (sweep.size - unscanned_count)
                    )
                if count:
                    cpus, gpus = count * group.cpus, count * group.gpus
                    yield sweep.submitted_at(sweep.size), f"{sweep.id}.p", group.team, cpus, gpus

    def _read_final_states(self, sweep: Sweep, block: Block) -> None:
        """Reads the final states of a block's points that have job records of their own.

        The controller that the block is assigned to does it, or any other if that one is down.
        Reads that find nothing are repeated, as the mirror may be behind.
        """
        owner = self.owner
        nodes = sorted(owner.settings.nodes)
        assigned_node = nodes[block.number % len(nodes)]
        if (
            assigned_node != owner.settings.node
            and MEMBER_PREFIX + assigned_node in owner.mirror.items
        ):
            return
        for k in members(block.with_job_record):
            job_id = records.point_id(sweep.id, block.first_point + k)
            if job_id in owner.jobs or k in block.unwritten_ends or job_id in self.open_reads:
                continue
            if len(self.open_reads) >= MAX_OPEN_READ_COUNT:
                return
            self.open_reads.add(job_id)

            def done(status: int | None, body: bytes, k: int = k, job_id: str = job_id) -> None:
                self.open_reads.discard(job_id)
                pair = decode_answer(body, wire.Pair) if status == 200 else None
                state = pair.value.get("state") if pair and isinstance(pair.value, dict) else None
                if state in (DONE, CANCELLED):
                    block.note_final_state(k, state)

            owner.store.read(owner.now, FINAL_STATE_PREFIX + job_id, done)

    def _cancel_orphaned_jobs(self, now: float) -> None:
        """Cancels the jobs of cancelled sweeps, a few in each write.

        All controllers do this, each starting with different jobs.
        """
        owner = self.owner
        remaining = [
            j
            for s, jobs in self.jobs_with_records.items()
            if s not in self.sweeps
            for j in jobs.values()
        ]
        if not remaining or not owner.leadership.may_act(now):
            return
        node_index = sorted(owner.settings.nodes).index(owner.settings.node)
        remaining = remaining[node_index :: len(owner.settings.nodes)] or remaining
        chosen = remaining[: owner.settings.params.state.txn_ops // 2]
        conditions = [(JOB_PREFIX + job.id, job.stamp) for job in chosen]
        changes: list[wire.Put | wire.Delete] = []
        for job in chosen:
            changes.append(wire.Delete(JOB_PREFIX + job.id))
            changes.append(
                wire.Put(FINAL_STATE_PREFIX + job.id, FinalStateRecord(CANCELLED, job.spec.tasks))
            )
        self.cancellation_open = True

        def done(result: Result) -> None:
            self.cancellation_open = False
            # After a success the next jobs follow without delay.
            self.ends_checked_at = -1e9 if result.outcome is Outcome.DONE else owner.now
            log.info("points stopped count=%d outcome=%s", len(chosen), result.outcome.name)

        owner.commit(conditions, changes, done, urgent=True)

    # -- ending blocks and sweeps -----------------------------------------------------------------

    def _end_blocks(self, sweep: Sweep, now: float) -> None:
        """Moves ended blocks out of the watched keys and ends the sweep with the last of them."""
        owner = self.owner
        node = owner.settings.node
        if sweep.close_write_open or node not in owner.shards.active_shards(now):
            return
        ready: list[Block] = []
        for number, block in sweep.complete_blocks.items():
            if block.write_open:
                continue
            if block.complete_since is None:
                block.complete_since = now
            # The controller that the block is assigned to ends it; another one does if that has
            # not happened within a lease.
            assigned_here = number in sweep.own_blocks
            if assigned_here or now - block.complete_since > owner.leadership.lease_s:
                ready.append(block)
        if not ready:
            return
        stored = [b for b in ready if b.stamp]
        stored = stored[: (owner.settings.params.state.txn_ops - 4) // 2]
        ready = stored + [b for b in ready if not b.stamp][:CLOSE_MAX_BLOCK_COUNT]
        ended_blocks = sweep.ended_blocks
        for block in ready:
            ended_blocks |= 1 << block.number
        sweep_complete = ended_blocks == sweep.all_blocks
        full = len(stored) == (owner.settings.params.state.txn_ops - 4) // 2
        if not sweep_complete and not full and now - sweep.closed_at < 1.0:
            return
        sweep.closed_at = now
        self._write_ended_blocks(sweep, ready, ended_blocks, sweep_complete)

    def _write_ended_blocks(
        self, sweep: Sweep, ready: list[Block], ended_blocks: int, sweep_complete: bool
    ) -> None:
        owner = self.owner
        node = owner.settings.node
        progress_before = sweep.progress
        progress = records.ProgressRecord(
            taskset.encode(ended_blocks),
            progress_before.done + sum(b.done.bit_count() for b in ready),
            progress_before.failed + sum(len(b.failure_reasons) for b in ready),
            progress_before.cancelled + sum(b.cancelled.bit_count() for b in ready),
            progress_before.left_out + sum(b.left_out.bit_count() for b in ready),
        )
        conditions = [
            (records.SWEEP_PREFIX + sweep.id, sweep.stamp),
            (records.PROGRESS_PREFIX + sweep.id, sweep.progress_stamp),
            *((block.key, block.stamp) for block in ready),
        ]
        changes: list[wire.Put | wire.Delete] = []
        for block in ready:
            if block.stamp:
                record = block.record()
                record.claims = {}
                changes.append(wire.Delete(block.key))
                kept = records.block_key(records.ENDED_BLOCK_PREFIX, sweep.id, block.number)
                changes.append(wire.Put(kept, record))
        if sweep_complete:
            changes.append(wire.Delete(records.SWEEP_PREFIX + sweep.id))
            if sweep.progress_stamp:
                changes.append(wire.Delete(records.PROGRESS_PREFIX + sweep.id))
            ended = records.EndedSweepRecord(DONE, sweep.record, progress)
            changes.append(wire.Put(records.ENDED_SWEEP_PREFIX + sweep.id, ended))
        else:
            changes.append(wire.Put(records.PROGRESS_PREFIX + sweep.id, progress))
        sweep.close_write_open = True

        def done(result: Result) -> None:
            sweep.close_write_open = False
            if result.outcome is not Outcome.DONE:
                owner.sync.request_sync()
                sweep.closed_at = owner.now + owner.random.uniform(0.0, 1.0)
            elif sweep_complete:
                log.info("sweep over sweep=%s done=%d node=%s", sweep.id, progress.done, node)

        owner.commit(conditions, changes, done)

    def _remove_cancelled_blocks(self, now: float) -> None:
        """Moves the blocks of cancelled sweeps out of the watched keys; their states are kept."""
        owner = self.owner
        remaining = [s for s in self.stored_blocks if s not in self.sweeps]
        if (
            not remaining
            or not owner.leadership.provisioner_term
            or not owner.leadership.may_act(now)
        ):
            return
        sweep_id = remaining[0]
        conditions = [(records.SWEEP_PREFIX + sweep_id, 0)]
        changes: list[wire.Put | wire.Delete] = []
        max_count = (owner.settings.params.state.txn_ops - 2) // 2
        for number, (record, stamp) in list(self.stored_blocks[sweep_id].items())[:max_count]:
            key = records.block_key(records.BLOCK_PREFIX, sweep_id, number)
            conditions.append((key, stamp))
            changes.append(wire.Delete(key))
            kept = msgspec.structs.replace(record, claims={})
            changes.append(
                wire.Put(records.block_key(records.ENDED_BLOCK_PREFIX, sweep_id, number), kept)
            )
        self.removal_open = True

        def done(result: Result) -> None:
            self.removal_open = False

        owner.commit(conditions, changes, done)

    def remember_final_state(self, job_id: str, state: str) -> None:
        """Remembers the durable final state of a point."""
        self.final_states[job_id] = state
        if len(self.final_states) > FINAL_STATES_KEPT_COUNT:
            self.final_states.popitem(last=False)

    # -- ids and user requests --------------------------------------------------------------------

    def submission_guard(self, job_id: str) -> SubmissionGuard | str | None:
        """Guards the submission of a job whose id has the form of a point's id.

        It is allowed as long as there is no such sweep, and then prevents such a sweep from being
        created.
        """
        point = records.parse_point_id(job_id)
        if point is None:
            return None
        sweep_id, k = point
        if sweep_id in self.sweeps:
            return f"the id belongs to point {k} of sweep {sweep_id}"
        return SubmissionGuard(
            [(records.SWEEP_PREFIX + sweep_id, 0), (records.ENDED_SWEEP_PREFIX + sweep_id, 0)],
            [wire.Put(records.TAKEN_SWEEP_ID_PREFIX + sweep_id, {})],
        )

    def routes(self) -> Routes:
        """Returns the HTTP routes; their module is loaded by the first request."""
        if self._routes is None:
            from sagecove.sweeps.routes import Routes

            self._routes = Routes(self)
        return self._routes

    def answer_unknown_job(self, kind: RequestKind, job_id: str, request: CoveredRequest) -> bool:
        """Answers a request about a job unknown to the core if its id has the form of a point's."""
        if records.parse_point_id(job_id) is None:
            return False
        self.routes().answer_point_request(kind, job_id, request)
        return True

    def handle_request(self, ask: IncomingRequest) -> bool:
        """Handles a request that the core has no route for; returns whether it is the feature's."""
        path = ask.path.partition("?")[0]
        own_path = path.startswith(("/api/sweeps", "/api/templates", "/explain/"))
        if own_path or (path.startswith("/api/jobs/") and path.endswith("/description")):
            return self.routes().handle_request(ask)
        return False

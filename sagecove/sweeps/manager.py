"""Sweeps as a controller deals with them: which points are jobs now, and which blocks are over.

No I/O: keys come in by the mirror, writes go out by the owner's transactions. A few hundred points
of a sweep are jobs at a time, the next to be claimed; the rest are bits. Each controller looks
through all points once, at a bounded pace, so that a bad one is found without the rest being tried.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Iterable
from math import inf
from typing import TYPE_CHECKING, Any

import msgspec

from sagecove.coordination.interfaces import SubmissionGuard
from sagecove.protocol import state as wire
from sagecove.protocol.users import CANCELLED, DONE
from sagecove.storage import taskset
from sagecove.storage.mirror import Event
from sagecove.storage.records import FINAL_STATE_PREFIX, JOB_PREFIX, MEMBER_PREFIX, FinalStateRecord
from sagecove.storage.store import Outcome, Result, decode_answer
from sagecove.storage.taskset import members
from sagecove.sweeps import records as r
from sagecove.sweeps.blocks import Block
from sagecove.sweeps.model import PointGroup, Sweep

if TYPE_CHECKING:
    from sagecove.coordination.effects import IncomingRequest
    from sagecove.coordination.model import JobRun
    from sagecove.coordination.owner import Owner
    from sagecove.sweeps.routes import Routes

log = logging.getLogger("sagecove.sweeps")

# Points looked through: so many a second, in a pass no more than the second figure.
SCAN_RATE, SCAN_MOST = 1000.0, 512
# Sweeps of one task a point end blocks by writes of so many changes.
TXN_LEAST = 8
# Blocks that one write ends: each is removed and kept, beside the progress (`txn_ops` bounds it).
CLOSE_CONDITIONS = 40
FINALS_KEPT = 10_000
# A point with a record of its own weighs as much as so many others among those that are ready.
HEAVY = 8
# Reads under way of how such points ended.
ASKING_MOST = 4


class SweepManager:
    """The feature. `window`: so many unclaimed points are jobs at a time, over all sweeps."""

    def __init__(self, owner: Owner, points_most: int, window: int) -> None:
        self.owner = owner
        self.points_most = points_most
        self.window = window
        self.records: list[tuple[str, Any]] = [
            (r.SWEEP_PREFIX, r.SweepRecord),
            (r.BLOCK_PREFIX, r.BlockRecord),
            (r.PROGRESS_PREFIX, r.ProgressRecord),
        ]
        self.sweeps: dict[str, Sweep] = {}
        # Blocks as the mirror has them, their sweep known or not: by sweep and number.
        self.stored_blocks: dict[str, dict[int, tuple[r.BlockRecord, int]]] = {}
        self.touched: dict[str, Block] = {}
        # Jobs with records of their own, by sweep; and what is being read about such that ended.
        self.made: dict[str, dict[str, JobRun]] = {}
        self.asking: set[str] = set()
        self.stopping = False
        self.looked_at = -1e9
        self.passed_at = -1e9
        # Points that are over, bounded; what fell out is read again. Not among the core's: a job
        # submitted under a point's id must not be told that it is done.
        self.final_states: OrderedDict[str, str] = OrderedDict()
        self.clearing = False
        self._routes: Routes | None = None

    # -- the mirror -----------------------------------------------------------------------------

    def key_changed(self, event: Event) -> None:
        """A key of ours has changed."""
        if event.key.startswith(r.BLOCK_PREFIX):
            self._block_changed(event)
        elif event.key.startswith(r.PROGRESS_PREFIX):
            sweep = self.sweeps.get(event.key[len(r.PROGRESS_PREFIX) :])
            if sweep is not None and event.value is not None:
                self._progressed(sweep, event.value, event.revision)
        elif event.value is None:
            self._sweep_gone(event.key[len(r.SWEEP_PREFIX) :])
        else:
            self._sweep_new(event.value, event.revision)

    def _sweep_new(self, record: r.SweepRecord, stamp: int) -> None:
        owner = self.owner
        sweep = Sweep(record, stamp, owner.settings.node, owner.settings.nodes)
        self.sweeps[record.id] = sweep
        progress = owner.mirror.items.get(r.PROGRESS_PREFIX + record.id)
        if progress is not None and progress.value is not None:
            self._progressed(sweep, progress.value, progress.revision)
        for number, (block, block_stamp) in self.stored_blocks.get(record.id, {}).items():
            self.get_block(sweep, number).update(block, block_stamp)
        owner.jobs_changed = True

    def _sweep_gone(self, sweep_id: str) -> None:
        """Ended or cancelled: whatever of it is still on machines stops."""
        sweep = self.sweeps.pop(sweep_id, None)
        if sweep is None:
            return
        self.owner.jobs_changed = True
        for job in self.made.get(sweep_id, {}).values():
            # Their own cancellations follow a few at a time: until then they were still started.
            job.hold_until = inf
        for job in [j for j in self.owner.jobs.values() if self._of(j.durable_state, sweep)]:
            self.owner.job_over(job)
        for block in sweep.blocks.values():
            self.touched.pop(block.key, None)

    @staticmethod
    def _of(home: object, sweep: Sweep) -> bool:
        return isinstance(home, Block) and home.sweep is sweep

    def _block_changed(self, event: Event) -> None:
        sweep_id, number = r.parse_block_key(event.key)
        sweep = self.sweeps.get(sweep_id)
        if event.value is None:
            blocks = self.stored_blocks.get(sweep_id, {})
            blocks.pop(number, None)
            if not blocks:
                self.stored_blocks.pop(sweep_id, None)
            return
        self.stored_blocks.setdefault(sweep_id, {})[number] = (event.value, event.revision)
        if sweep is not None and not sweep.over_blocks >> number & 1:
            self.get_block(sweep, number).update(event.value, event.revision)

    def _progressed(self, sweep: Sweep, record: r.ProgressRecord, stamp: int) -> None:
        sweep.progress, sweep.progress_stamp = record, stamp
        before, sweep.over_blocks = sweep.over_blocks, taskset.decode(record.over)
        for number in members(sweep.over_blocks & ~before):
            block = sweep.blocks.pop(number, None)
            sweep.complete.pop(number, None)
            if block is None or block.left_out:
                mask = sweep.mask(number)
                for group in sweep.groups.values():
                    group.waiting &= ~mask
                    group.claimable &= ~mask

    def get_block(self, sweep: Sweep, number: int) -> Block:
        """A block of a live sweep that is not over."""
        found = sweep.blocks.get(number)
        if found is None:
            found = sweep.blocks[number] = Block(self, sweep, number)
        return found

    def job_seen(self, job: JobRun) -> None:
        """A job has come: a point of more than one task?"""
        if job.record.sweep:
            self.made.setdefault(job.record.sweep, {})[job.id] = job

    def job_over(self, job: JobRun) -> None:
        """A job is over."""
        jobs = self.made.get(job.record.sweep)
        if jobs is not None:
            jobs.pop(job.id, None)
            if not jobs:
                del self.made[job.record.sweep]

    # -- passes ---------------------------------------------------------------------------------

    def before_pass(self, now: float) -> None:
        """Look through more points, and have enough of them ready to be claimed."""
        if not self.sweeps or not self.owner.machine_types:
            return
        share = max(4, self.window // len(self.sweeps))
        for sweep in list(self.sweeps.values()):
            if sweep.scanned_count < len(sweep.scan_order):
                self._scan(sweep, int(min(SCAN_MOST, SCAN_RATE * (now - self.passed_at))))
        self.passed_at = now
        for sweep in list(self.sweeps.values()):
            ready = sum(group.claimable.bit_count() for group in sweep.groups.values())
            for group in list(sweep.groups.values()):
                if group.heavy:
                    self._make(sweep, group, max(2, share // len(sweep.groups) // HEAVY), now)
                elif ready < share:
                    self._fill(sweep, group, max(4, share // len(sweep.groups)))

    def _fill(self, sweep: Sweep, group: PointGroup, most: int) -> None:
        for _ in range(most - group.claimable.bit_count()):
            k = sweep.next_waiting(group)
            if k is None:
                return
            number, offset = divmod(k, sweep.block_size)
            group.waiting &= ~(1 << k)
            self.get_block(sweep, number).open(offset)

    def _make(self, sweep: Sweep, group: PointGroup, most: int, now: float) -> None:
        """Have a few points of more than one task ready to be claimed, as jobs."""
        k = sweep.next_waiting(group)
        shard = self.owner.held_shards.get(self.owner.settings.node)
        if k is None or shard is None or shard.name not in self.owner.shards.active_shards(now):
            return
        ready = sum(
            1
            for job in self.made.get(sweep.id, {}).values()
            if job.unclaimed and sweep.group_of(job.spec) is group
        )
        number = k // sweep.block_size
        block = self.get_block(sweep, number)
        most = min(most - ready, self.owner.settings.params.state.txn_ops // 2)
        if most <= 0 or block.busy or self.owner.store.writes_scarce(now):
            return
        points = []
        for k in members(group.waiting & sweep.mask(number)):
            points.append(k - block.first_point)
            if len(points) == most:
                break
        block.make(points, shard)

    def _scan(self, sweep: Sweep, points: int) -> None:
        """Look through the next blocks: who waits in which group, who can't run or is left out."""
        while points > 0 and sweep.scanned_count < len(sweep.scan_order):
            number = sweep.scan_order[sweep.scanned_count]
            sweep.scanned_count += 1
            if sweep.over_blocks >> number & 1:
                continue
            block = self.get_block(sweep, number)
            points -= block.size
            # What has a record of its own waits no more: after a start such points were made again
            # and again, in vain, and their block never came to its end.
            claimed = block.over | block.made | block.claimed
            for k in range(block.size):
                if not claimed >> k & 1:
                    self._look(sweep, block, k)
            block.scanned = True
            block.note_complete()
            if block.bad:
                self.touched[block.key] = block
        if sweep.scanned_count == len(sweep.scan_order):
            self.owner.jobs_changed = True
            log.info("sweep looked through sweep=%s points=%d", sweep.id, sweep.size)

    def _look(self, sweep: Sweep, block: Block, k: int) -> None:
        spec = sweep.point_spec(block.first_point + k)
        if spec is None:
            block.left_out |= 1 << k
            sweep.left_out += 1
            return
        why = (
            spec
            if isinstance(spec, str)
            else sweep.impossible(spec, self.owner.users.impossible_reason)
        )
        if why is not None:
            block.bad[k] = why
            block.bad_at = self.owner.now
        elif not isinstance(spec, str):
            group = sweep.group_of(spec)
            group.seen += 1
            if spec.id not in self.owner.jobs:
                group.waiting |= 1 << (block.first_point + k)

    def after_pass(self, now: float) -> None:
        """Write what the pass has decided; end blocks."""
        for block in list(self.touched.values()):
            if block.flush(now):
                self.touched.pop(block.key, None)
        for sweep in self.sweeps.values():
            self._close(sweep, now)

    def tick(self, now: float) -> None:
        """Learn how points with records of their own ended; clear away what cancelled sweeps have
        left."""
        if now - self.looked_at >= 1.0 and self.owner.mirror.loaded:
            self.looked_at = now
            for sweep in self.sweeps.values():
                for block in list(sweep.blocks.values()):
                    if block.made:
                        self._ask_ends(sweep, block)
            if self.made and not self.stopping:
                self._stop_orphans(now)
        if self.stored_blocks and not self.clearing and self.owner.mirror.loaded:
            self._clear(now)

    def unfinished_work(self) -> Iterable[tuple[float, str, str, float, float]]:
        """Points that are not among the owner's jobs, for the count of guarantees."""
        for sweep in self.sweeps.values():
            for group in sweep.groups.values():
                # What has not been looked through is taken to be like what has.
                unseen = sweep.size - min(sweep.size, sweep.scanned_count * sweep.block_size)
                count = group.waiting.bit_count()
                if 0 < unseen < sweep.size:
                    # Groups may be known by claimed points before anything was looked through: a
                    # controller that had just started divided by nothing here, and ended.
                    count += unseen * group.seen // (sweep.size - unseen)
                if count:
                    cpus, gpus = count * group.cpus, count * group.gpus
                    yield sweep.at(sweep.size), f"{sweep.id}.p", group.team, cpus, gpus

    def _ask_ends(self, sweep: Sweep, block: Block) -> None:
        """Whose block it is reads how its made points ended; if that controller is down, another
        does. A read that finds nothing is repeated: the mirror may be behind."""
        owner = self.owner
        nodes = sorted(owner.settings.nodes)
        whose = nodes[block.number % len(nodes)]
        if whose != owner.settings.node and MEMBER_PREFIX + whose in owner.mirror.items:
            return
        for k in members(block.made):
            job_id = r.point_id(sweep.id, block.first_point + k)
            if job_id in owner.jobs or k in block.endings or job_id in self.asking:
                continue
            if len(self.asking) >= ASKING_MOST:
                return
            self.asking.add(job_id)

            def done(status: int | None, body: bytes, k: int = k, job_id: str = job_id) -> None:
                self.asking.discard(job_id)
                pair = decode_answer(body, wire.Pair) if status == 200 else None
                state = pair.value.get("state") if pair and isinstance(pair.value, dict) else None
                if state in (DONE, CANCELLED):
                    block.ended(k, state)

            owner.store.read(owner.now, FINAL_STATE_PREFIX + job_id, done)

    def _stop_orphans(self, now: float) -> None:
        """Jobs of sweeps that were cancelled are cancelled one after the other, a few in a write:
        by all controllers, each beginning with others."""
        owner = self.owner
        left = [j for s, jobs in self.made.items() if s not in self.sweeps for j in jobs.values()]
        if not left or not owner.leadership.may_act(now):
            return
        turn = sorted(owner.settings.nodes).index(owner.settings.node)
        left = left[turn :: len(owner.settings.nodes)] or left
        chosen = left[: owner.settings.params.state.txn_ops // 2]
        conditions = [(JOB_PREFIX + job.id, job.stamp) for job in chosen]
        changes: list[wire.Put | wire.Delete] = []
        for job in chosen:
            changes.append(wire.Delete(JOB_PREFIX + job.id))
            changes.append(
                wire.Put(FINAL_STATE_PREFIX + job.id, FinalStateRecord(CANCELLED, job.spec.tasks))
            )
        self.stopping = True

        def done(result: Result) -> None:
            self.stopping = False
            # The next few at once.
            self.looked_at = -1e9 if result.outcome is Outcome.DONE else owner.now
            log.info("points stopped count=%d outcome=%s", len(chosen), result.outcome.name)

        owner.commit(conditions, changes, done, urgent=True)

    # -- ends -----------------------------------------------------------------------------------

    def _close(self, sweep: Sweep, now: float) -> None:
        """Move blocks that are over out of the watch, and end the sweep with the last of them."""
        owner = self.owner
        node = owner.settings.node
        if sweep.closing or node not in owner.shards.active_shards(now):
            return
        ready: list[Block] = []
        for number, block in sweep.complete.items():
            if block.busy:
                continue
            if block.over_since is None:
                block.over_since = now
            # Whose block it is ends it; if that controller does not, another does.
            mine = number in sweep.own_blocks
            if mine or now - block.over_since > owner.leadership.lease_s:
                ready.append(block)
        if not ready:
            return
        stored = [b for b in ready if b.stamp]
        stored = stored[: (owner.settings.params.state.txn_ops - 4) // 2]
        ready = stored + [b for b in ready if not b.stamp][:CLOSE_CONDITIONS]
        over = sweep.over_blocks
        for block in ready:
            over |= 1 << block.number
        last = over == sweep.every_block
        full = len(stored) == (owner.settings.params.state.txn_ops - 4) // 2
        if not last and not full and now - sweep.closed_at < 1.0:
            return
        sweep.closed_at = now
        self._write_close(sweep, ready, over, last)

    def _write_close(self, sweep: Sweep, ready: list[Block], over: int, last: bool) -> None:
        owner = self.owner
        node = owner.settings.node
        old = sweep.progress
        progress = r.ProgressRecord(
            taskset.encode(over),
            old.done + sum(b.done.bit_count() for b in ready),
            old.failed + sum(len(b.failure_reasons) for b in ready),
            old.cancelled + sum(b.cancelled.bit_count() for b in ready),
            old.left_out + sum(b.left_out.bit_count() for b in ready),
        )
        conditions = [
            (r.SWEEP_PREFIX + sweep.id, sweep.stamp),
            (r.PROGRESS_PREFIX + sweep.id, sweep.progress_stamp),
            *((block.key, block.stamp) for block in ready),
        ]
        changes: list[wire.Put | wire.Delete] = []
        for block in ready:
            if block.stamp:
                record = block.record()
                record.claims = {}
                changes.append(wire.Delete(block.key))
                kept = r.block_key(r.ENDED_BLOCK_PREFIX, sweep.id, block.number)
                changes.append(wire.Put(kept, record))
        if last:
            changes.append(wire.Delete(r.SWEEP_PREFIX + sweep.id))
            if sweep.progress_stamp:
                changes.append(wire.Delete(r.PROGRESS_PREFIX + sweep.id))
            ended = r.EndedSweepRecord(DONE, sweep.record, progress)
            changes.append(wire.Put(r.ENDED_SWEEP_PREFIX + sweep.id, ended))
        else:
            changes.append(wire.Put(r.PROGRESS_PREFIX + sweep.id, progress))
        sweep.closing = True

        def done(result: Result) -> None:
            sweep.closing = False
            if result.outcome is not Outcome.DONE:
                owner.sync.request_sync()
                sweep.closed_at = owner.now + owner.random.uniform(0.0, 1.0)
            elif last:
                log.info("sweep over sweep=%s done=%d node=%s", sweep.id, progress.done, node)

        owner.commit(conditions, changes, done)

    def _clear(self, now: float) -> None:
        """Blocks of sweeps that are cancelled move out of the watch; what they say is kept."""
        owner = self.owner
        left = [s for s in self.stored_blocks if s not in self.sweeps]
        if not left or not owner.leadership.provisioner_term or not owner.leadership.may_act(now):
            return
        sweep_id = left[0]
        conditions = [(r.SWEEP_PREFIX + sweep_id, 0)]
        changes: list[wire.Put | wire.Delete] = []
        most = (owner.settings.params.state.txn_ops - 2) // 2
        for number, (record, stamp) in list(self.stored_blocks[sweep_id].items())[:most]:
            key = r.block_key(r.BLOCK_PREFIX, sweep_id, number)
            conditions.append((key, stamp))
            changes.append(wire.Delete(key))
            kept = msgspec.structs.replace(record, claims={})
            changes.append(wire.Put(r.block_key(r.ENDED_BLOCK_PREFIX, sweep_id, number), kept))
        self.clearing = True

        def done(result: Result) -> None:
            self.clearing = False

        owner.commit(conditions, changes, done)

    def remember_final_state(self, job_id: str, state: str) -> None:
        """A point is over, durably."""
        self.final_states[job_id] = state
        if len(self.final_states) > FINALS_KEPT:
            self.final_states.popitem(last=False)

    # -- ids and users --------------------------------------------------------------------------

    def submission_guard(self, job_id: str) -> SubmissionGuard | str | None:
        """A job whose id looks like a point's may be submitted as long as there is no such sweep;
        it then keeps such a sweep from beginning."""
        point = r.parse_point_id(job_id)
        if point is None:
            return None
        sweep_id, k = point
        if sweep_id in self.sweeps:
            return f"the id belongs to point {k} of sweep {sweep_id}"
        return SubmissionGuard(
            [(r.SWEEP_PREFIX + sweep_id, 0), (r.ENDED_SWEEP_PREFIX + sweep_id, 0)],
            [wire.Put(r.TAKEN_SWEEP_ID_PREFIX + sweep_id, {})],
        )

    def routes(self) -> Routes:
        """Answers to users; not loaded before the first question."""
        if self._routes is None:
            from sagecove.sweeps.routes import Routes

            self._routes = Routes(self)
        return self._routes

    def answer_unknown_job(self, kind: str, job_id: str, exchange: Any) -> bool:
        """A user asks for a job that the core does not know: a point?"""
        if r.parse_point_id(job_id) is None:
            return False
        self.routes().answer_point_request(kind, job_id, exchange)
        return True

    def handle_request(self, ask: IncomingRequest) -> bool:
        """A request that the core has no answer to."""
        path = ask.path.partition("?")[0]
        ours = path.startswith(("/api/sweeps", "/api/templates", "/explain/"))
        if ours or (path.startswith("/api/jobs/") and path.endswith("/description")):
            return self.routes().handle_request(ask)
        return False

"""What a controller keeps of a sweep: sets of numbers, and jobs for what is near its turn.

A point is a job like any other from the moment it may be claimed. Before that it is a bit in the
set of its group: points that the order of claims cannot tell apart by anything but their number.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from sagecove.protocol.users import ARRAY, Job
from sagecove.storage import taskset
from sagecove.sweeps.parameter_space import INDEX_PARAMETER, Space, Value
from sagecove.sweeps.records import BlockRecord, ProgressRecord, SweepRecord, point_id
from sagecove.sweeps.template import CompiledTemplate, TemplateError

if TYPE_CHECKING:
    from sagecove.sweeps.blocks import Block

# More groups than this are not told apart by run time and deadline.
GROUPS_MOST = 64

GroupKey = tuple[object, ...]


def heavy(spec: Job) -> bool:
    """More than one task: its state does not fit a bit, so it gets a record of its own."""
    return spec.kind != ARRAY or spec.tasks != 1


class PointGroup:
    """Points of one team, priority, class and size."""

    def __init__(self, spec: Job) -> None:
        self.team = spec.team
        self.cpus = spec.cpus * spec.tasks
        self.gpus = spec.gpus * spec.tasks
        self.heavy = heavy(spec)
        # Points that nobody has claimed, as far as is known: not jobs here yet, and jobs here.
        self.waiting = 0
        self.claimable = 0
        # Points seen in looking through the sweep.
        self.seen = 0


class Sweep:
    """A live sweep."""

    def __init__(self, record: SweepRecord, stamp: int, node: str, nodes: list[str]) -> None:
        self.record = record
        self.stamp = stamp
        self.id = record.id
        self.space: Space = record.space
        self.size = self.space.count()
        self.names = self.space.names()
        self.form = CompiledTemplate(record.template)
        self.only = taskset.decode(record.only) if record.only else None
        self.block_size = record.block
        self.block_count = -(-self.size // self.block_size)
        self.every_block = taskset.full(self.block_count)
        self.progress = ProgressRecord()
        self.progress_stamp = 0
        self.over_blocks = 0
        self.groups: dict[GroupKey, PointGroup] = {}
        self.blocks: dict[int, Block] = {}
        # Each controller begins with blocks of its own, so that they seldom reach for the same.
        turn = sorted(nodes).index(node)
        count = len(nodes)
        self.own_blocks = range(turn, self.block_count, count)
        self.scan_order = [b for n in range(count) for b in self._stripe((turn + n) % count, count)]
        self.own = 0
        for number in self.own_blocks:
            self.own |= self.mask(number)
        self.scanned_count = 0
        self.left_out = 0
        # Blocks of which all points are over: thousands are not, and are not looked at for it.
        self.complete: dict[int, Block] = {}
        self.closing = False
        self.closed_at = -1e9
        self._reasons: dict[tuple[object, ...], str | None] = {}

    def _stripe(self, turn: int, count: int) -> range:
        return range(turn, self.block_count, count)

    def mask(self, number: int) -> int:
        """The points of a block, as a set of the sweep's numbers."""
        first = number * self.block_size
        return taskset.full(min(self.block_size, self.size - first)) << first

    def at(self, k: int) -> float:
        """When point k counts as submitted: a moment apart, so that among equals the lower number
        comes first."""
        return self.record.at + 1e-6 * k

    def point_values(self, k: int) -> dict[str, Value] | None:
        """What point k binds; None if it is left out."""
        if self.only is not None and not self.only >> k & 1:
            return None
        point = self.space.point_values(k)
        if point is None:
            return None
        point[INDEX_PARAMETER] = k
        return {**self.record.values, **point}

    def point_spec(self, k: int) -> Job | str | None:
        """The job of point k; why it can't be one; None if it is left out."""
        values = self.point_values(k)
        if values is None:
            return None
        try:
            self.form.check_values({name: values[name] for name in self.names})
            return self.form.render(point_id(self.id, k), values)
        except TemplateError as error:
            return str(error)

    def impossible(self, spec: Job, judge: Callable[[Job], str | None]) -> str | None:
        """Why a point's job can never run, by the core's judge; like needs are judged once."""
        types = tuple(spec.types) if spec.types is not None else None
        key = (spec.team, types, spec.zone, spec.cpus, spec.gpus, spec.memory_gb)
        if key not in self._reasons:
            if len(self._reasons) > 1000:
                self._reasons.clear()
            self._reasons[key] = judge(spec)
        return self._reasons[key]

    def group_of(self, spec: Job) -> PointGroup:
        """The group that a point belongs to."""
        like = (spec.team, spec.priority, spec.klass, spec.cpus, spec.gpus, spec.tasks, spec.kind)
        key: GroupKey = (*like, spec.estimate_s, spec.deadline_s)
        if key not in self.groups and len(self.groups) >= GROUPS_MOST:
            key = like
        found = self.groups.get(key)
        if found is None:
            found = self.groups[key] = PointGroup(spec)
        return found

    def forget(self, k: int) -> None:
        """Point k waits no more: it is claimed, or over."""
        bit = 1 << k
        for group in self.groups.values():
            group.waiting &= ~bit
            group.claimable &= ~bit

    def next_waiting(self, group: PointGroup) -> int | None:
        """The point of a group that becomes a job next: of one's own blocks first."""
        bits = group.waiting & self.own or group.waiting
        return (bits & -bits).bit_length() - 1 if bits else None

    def count_points(self) -> dict[str, int]:
        """Points by what became of them, as far as is known here."""
        done, failed = self.progress.done, self.progress.failed
        cancelled, claimed = self.progress.cancelled, 0
        # Those with records of their own count as claimed.
        for block in self.blocks.values():
            done += block.done.bit_count()
            failed += len(block.failure_reasons)
            cancelled += block.cancelled.bit_count()
            claimed += sum(bits.bit_count() for bits in block.claims.values())
            claimed += block.made.bit_count()
        waiting = self.size - done - failed - cancelled - claimed - self.left_out
        return {
            "points": self.size,
            "done": done,
            "failed": failed,
            "cancelled": cancelled,
            "left_out": self.left_out,
            "claimed": claimed,
            "waiting": max(0, waiting),
        }


class BlockSets(NamedTuple):
    """A block record's sets; numbers count from the block's first point."""

    claims: dict[str, int]
    done: int
    cancelled: int
    made: int
    failed: dict[int, str]


def decode_block(record: BlockRecord, size: int) -> BlockSets:
    """A block record's sets. Numbers beyond the block, which nobody writes, count for nothing."""
    every = taskset.full(size)
    claims = {shard: taskset.decode(text) & every for shard, text in record.claims.items()}
    failed = {int(k): why for k, why in record.failed.items() if k.isdecimal() and int(k) < size}
    sets = [taskset.decode(text) & every for text in (record.done, record.cancelled, record.made)]
    return BlockSets(claims, sets[0], sets[1], sets[2], failed)

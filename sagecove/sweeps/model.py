"""Keeps a controller's view of a sweep: sets of point numbers, grouped by their jobs' properties.

A point is a job like any other from the moment it may be claimed. Before that it is one bit in the
set of its group. Points of a group differ, for the order of claims, only by their numbers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from sagecove.protocol.users import ARRAY, CANCELLED, DONE, PENDING, Job
from sagecove.storage import taskset
from sagecove.sweeps.parameter_space import INDEX_PARAMETER, Space, Value
from sagecove.sweeps.records import (
    BlockRecord,
    EndedSweepRecord,
    ProgressRecord,
    SweepRecord,
    point_id,
)
from sagecove.sweeps.template import CompiledTemplate, TemplateError

if TYPE_CHECKING:
    from sagecove.sweeps.blocks import Block

# With this many groups, new ones are not separated by run time and deadline any more.
MAX_DETAILED_GROUP_COUNT = 64

GroupKey = tuple[object, ...]


def needs_job_record(spec: Job) -> bool:
    """Whether a point has more than one task: its state does not fit one bit, so it needs a job
    record of its own."""
    return spec.kind != ARRAY or spec.tasks != 1


class PointGroup:
    """Points of a sweep that share team, priority, class and size."""

    def __init__(self, spec: Job) -> None:
        self.team = spec.team
        self.cpus = spec.cpus * spec.tasks
        self.gpus = spec.gpus * spec.tasks
        self.needs_job_records = needs_job_record(spec)
        # Points not known to be claimed: those not jobs on this controller yet, and those that are.
        self.waiting = 0
        self.claimable = 0
        # Points of the group found so far by scanning the sweep.
        self.scanned_point_count = 0


class Sweep:
    """A live sweep on this controller.

    Sets of points and of blocks are integers with one bit per number.
    """

    def __init__(self, record: SweepRecord, stamp: int, node: str, nodes: list[str]) -> None:
        self.record = record
        self.stamp = stamp
        self.id = record.id
        self.space: Space = record.space
        self.size = self.space.count()
        self.parameter_names = self.space.names()
        self.compiled_template = CompiledTemplate(record.template)
        self.only = taskset.decode(record.only) if record.only else None
        self.block_size = record.block
        self.block_count = -(-self.size // self.block_size)
        self.all_blocks = taskset.full(self.block_count)
        self.progress = ProgressRecord()
        self.progress_stamp = 0
        self.ended_blocks = 0
        self.groups: dict[GroupKey, PointGroup] = {}
        self.blocks: dict[int, Block] = {}
        # Each controller starts with the blocks assigned to it, to avoid conflicts with the others.
        node_index = sorted(nodes).index(node)
        count = len(nodes)
        self.own_blocks = range(node_index, self.block_count, count)
        self.scan_order = [
            b for n in range(count) for b in self._assigned_blocks((node_index + n) % count, count)
        ]
        self.own_points = 0
        for number in self.own_blocks:
            self.own_points |= self.points_of_block(number)
        self.scanned_count = 0
        self.left_out_count = 0
        # Blocks of which all points have ended, kept apart from thousands of others so that
        # ending blocks does not iterate over all of them.
        self.complete_blocks: dict[int, Block] = {}
        self.close_write_open = False
        self.closed_at = -1e9
        self._reasons: dict[tuple[object, ...], str | None] = {}

    def _assigned_blocks(self, node_index: int, count: int) -> range:
        return range(node_index, self.block_count, count)

    def points_of_block(self, number: int) -> int:
        """Returns the set of a block's points, numbered as in the sweep."""
        first = number * self.block_size
        return taskset.full(min(self.block_size, self.size - first)) << first

    def submitted_at(self, k: int) -> float:
        """Returns the submission time of point k.

        Points are a microsecond apart, so that among equal ones the lower number comes first.
        """
        return self.record.at + 1e-6 * k

    def point_values(self, k: int) -> dict[str, Value] | None:
        """Returns the parameter values of point k; None if the filter excludes it."""
        if self.only is not None and not self.only >> k & 1:
            return None
        point = self.space.point_values(k)
        if point is None:
            return None
        point[INDEX_PARAMETER] = k
        return {**self.record.values, **point}

    def point_spec(self, k: int) -> Job | str | None:
        """Returns the job of point k, or the reason why it has none; None if the filter excludes
        it."""
        values = self.point_values(k)
        if values is None:
            return None
        try:
            self.compiled_template.check_values(
                {name: values[name] for name in self.parameter_names}
            )
            return self.compiled_template.render(point_id(self.id, k), values)
        except TemplateError as error:
            return str(error)

    def impossible_reason(self, spec: Job, reason_of: Callable[[Job], str | None]) -> str | None:
        """Returns why a point's job can never run, by the core's `reason_of`; None if it can. The
        result is cached for jobs with the same needs."""
        types = tuple(spec.types) if spec.types is not None else None
        key = (spec.team, types, spec.zone, spec.cpus, spec.gpus, spec.memory_gb)
        if key not in self._reasons:
            if len(self._reasons) > 1000:
                self._reasons.clear()
            self._reasons[key] = reason_of(spec)
        return self._reasons[key]

    def group_of(self, spec: Job) -> PointGroup:
        """Returns the group of a point's job and creates it if needed."""
        coarse_key = (
            spec.team,
            spec.priority,
            spec.klass,
            spec.cpus,
            spec.gpus,
            spec.tasks,
            spec.kind,
        )
        key: GroupKey = (*coarse_key, spec.estimate_s, spec.deadline_s)
        if key not in self.groups and len(self.groups) >= MAX_DETAILED_GROUP_COUNT:
            key = coarse_key
        found = self.groups.get(key)
        if found is None:
            found = self.groups[key] = PointGroup(spec)
        return found

    def remove_unclaimed(self, k: int) -> None:
        """Removes point k from the unclaimed points of its group: it is claimed or has ended."""
        bit = 1 << k
        for group in self.groups.values():
            group.waiting &= ~bit
            group.claimable &= ~bit

    def next_waiting(self, group: PointGroup) -> int | None:
        """Returns the waiting point of a group that becomes a job next, those in blocks assigned to
        this controller first; None if no point waits."""
        bits = group.waiting & self.own_points or group.waiting
        return (bits & -bits).bit_length() - 1 if bits else None

    def count_points(self) -> dict[str, int]:
        """Returns the number of points by state, as far as known to this controller."""
        done, failed = self.progress.done, self.progress.failed
        cancelled, claimed = self.progress.cancelled, 0
        # Points with job records of their own count as claimed.
        for block in self.blocks.values():
            done += block.done.bit_count()
            failed += len(block.failure_reasons)
            cancelled += block.cancelled.bit_count()
            claimed += sum(bits.bit_count() for bits in block.claims.values())
            claimed += block.with_job_record.bit_count()
        waiting = self.size - done - failed - cancelled - claimed - self.left_out_count
        return {
            "points": self.size,
            "done": done,
            "failed": failed,
            "cancelled": cancelled,
            "left_out": self.left_out_count,
            "claimed": claimed,
            "waiting": max(0, waiting),
        }


class BlockSets(NamedTuple):
    """The decoded sets of a block record; points are numbered from the block's first point."""

    claims: dict[str, int]
    done: int
    cancelled: int
    made: int
    failed: dict[int, str]


def decode_block(record: BlockRecord, size: int) -> BlockSets:
    """Decodes the sets of a block record. Numbers beyond the block, which no controller writes, are
    ignored."""
    all_points = taskset.full(size)
    claims = {shard: taskset.decode(text) & all_points for shard, text in record.claims.items()}
    failed = {int(k): why for k, why in record.failed.items() if k.isdecimal() and int(k) < size}
    sets = [
        taskset.decode(text) & all_points for text in (record.done, record.cancelled, record.made)
    ]
    return BlockSets(claims, sets[0], sets[1], sets[2], failed)


# State of a point that has a job record of its own and isn't known to have ended.
HAS_RECORD = "made"


def point_state(
    sweep: Sweep, point_number: int, record: BlockRecord, ended_sweep: EndedSweepRecord | None
) -> tuple[str, str]:
    """Return a point's state by its block's record, and the reason for it.

    Beside the states of a job there are `left_out`, `failed` and `HAS_RECORD`.
    """
    offset = point_number % sweep.block_size
    sets = decode_block(record, sweep.block_size)
    if sets.done >> offset & 1:
        return DONE, ""
    if sets.cancelled >> offset & 1:
        return CANCELLED, ""
    if offset in sets.failed:
        return "failed", sets.failed[offset]
    if sets.made >> offset & 1:
        return HAS_RECORD, ""
    if sweep.point_values(point_number) is None:
        return "left_out", "the filter leaves it out"
    if ended_sweep is not None and ended_sweep.state == CANCELLED:
        return CANCELLED, ""
    return PENDING, ""

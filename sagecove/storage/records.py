"""Keys and values in the state service.

Everything under `s/` is watched and mirrored by each controller. Final states live under `o/`,
outside the watch: they only grow in number and are read one by one when a user asks.
"""

from collections.abc import Iterable
from itertools import chain
from typing import Any

import msgspec

from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job
from sagecove.storage import taskset

# No submission is longer (bytes) that is looked at without measuring it.
SPEC_MOST = 1024

LIVE_PREFIX = "s/"
JOB_PREFIX = "s/job/"
MACHINE_PREFIX = "s/machine/"
HOLDER_PREFIX = "s/holder/"
LAST_HOLDER_PREFIX = "s/last/"
MEMBER_PREFIX = "s/member/"
RENTAL_PREFIX = "s/rental/"
MACHINE_TYPES_KEY = "s/types"
PROVISIONER_KEY = "s/role/provisioner"
FINAL_STATE_PREFIX = "o/"


class JobRecord(msgspec.Struct, omit_defaults=True):
    """A live job: its submission, who claims which tasks, and which are finished."""

    spec: Job
    at: float
    claims: dict[str, str] = {}
    fin: str = ""
    # The sweep it is a point of, if it is.
    sweep: str = ""


def max_claimable_tasks(
    record: JobRecord, fin: int, held: int, shards: int, value_kb: float
) -> int:
    """How many of a job's tasks may be claimed at a time, in all shards, so that its record fits a
    value (KiB) in whatever order they complete: a set of thousands of numbers out of a hundred
    thousand has no short text. `held`: tasks that are claimed."""
    spec = record.spec
    limit = value_kb * 1024 - 128
    sets = (shards + 1) * taskset.max_text_bytes(spec.tasks, spec.tasks)
    if sets + SPEC_MOST < limit:
        return spec.tasks
    length = len(msgspec.json.encode(record.spec)) + 64 * shards
    # Tasks below the last that is held or finished and are neither: they part the finished ones.
    last = (fin | held).bit_length()
    holes = last - (fin | held).bit_count()
    most = 1
    step = 1 << (spec.tasks.bit_length() - 1)
    while step:
        count = most + step
        text = taskset.max_text_bytes(spec.tasks, count, sets=shards)
        text += taskset.max_text_bytes(spec.tasks, count + holes, runs=True)
        if count <= spec.tasks and length + text < limit:
            most = count
        step //= 2
    return most


class FinalStateRecord(msgspec.Struct):
    """A job's final state, written in the transaction that removes its live record."""

    state: str
    tasks: int


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """A machine and the shard it belongs to; `leaving` hands it to the provisioner for deletion."""

    type: str
    zone: str
    spot: bool
    shard: str
    addr: str = ""
    at: float = 0.0
    leaving: str = ""


class HolderRecord(msgspec.Struct):
    """Who holds a shard or role, under which lease. The key's revision is the term.

    `vacated`: the holder before has stopped acting for the shard (it handed it over, or it was
    an earlier process of the same node)."""

    node: str
    lease: int
    vacated: bool = False


class LastHolderRecord(msgspec.Struct):
    """Who held a shard last: on no lease, so that it outlives the holder's key."""

    node: str


class MemberRecord(msgspec.Struct, omit_defaults=True):
    """A controller that is up; its lease id lets others hand it a shard in one write."""

    lease: int
    # Teams whose limit by its settings is not the one agreed on (CPUs, GPUs in millionths).
    limits: dict[str, tuple[int, int]] = {}


class RentalRecord(msgspec.Struct):
    """A rental written down before the cloud is asked, so that a successor can repeat it."""

    type: str
    zone: str
    spot: bool
    count: int
    at: float


class MachineTypesRecord(msgspec.Struct):
    """The cloud's answer about machine types, as last written down by the provisioner."""

    types: list[MachineType]


_KINDS: list[tuple[str, Any]] = [
    (JOB_PREFIX, JobRecord),
    (MACHINE_PREFIX, MachineRecord),
    (HOLDER_PREFIX, HolderRecord),
    (LAST_HOLDER_PREFIX, LastHolderRecord),
    (MEMBER_PREFIX, MemberRecord),
    (RENTAL_PREFIX, RentalRecord),
    (PROVISIONER_KEY, HolderRecord),
    (MACHINE_TYPES_KEY, MachineTypesRecord),
]


def parse_record(key: str, raw: Any, more: Iterable[tuple[str, Any]] = ()) -> Any:
    """A record from a decoded JSON value; None if it is garbage or of no known kind. `more`: kinds
    beside the core's."""
    for prefix, kind in chain(_KINDS, more):
        if key.startswith(prefix):
            try:
                return msgspec.convert(raw, kind)
            except msgspec.ValidationError:
                return None
    return None

"""Keys and record types in the state service.

Each controller watches and mirrors all keys under `s/`. Final states of jobs are stored under
`o/`, outside the watch, because their number only grows; a controller reads a single one when a
user asks for it.
"""

from collections.abc import Iterable
from itertools import chain
from typing import Any

import msgspec

from sagecove.protocol.cloud import MachineType
from sagecove.protocol.decoding import MalformedMessage, convert_message
from sagecove.protocol.users import Job
from sagecove.storage import taskset

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
    """A live job: its submission, the tasks each shard claims, and the finished tasks."""

    spec: Job
    at: float
    claims: dict[str, str] = {}
    fin: str = ""
    # The sweep that the job is a point of; empty if it is none.
    sweep: str = ""

    def require_readable_sets(self) -> None:
        """Raise `MalformedMessage` if a set of tasks has a form that this build does not know."""
        for text in (self.fin, *self.claims.values()):
            if not taskset.is_readable(text):
                raise MalformedMessage(f"unreadable set of tasks: {text[:40]}")


def max_claimable_tasks(
    record: JobRecord, finished: int, claimed: int, shards: int, value_kb: float
) -> int:
    """Return how many tasks of a job all shards together may claim at a time.

    The limit keeps the job's record within `value_kb` (KiB) in whatever order the tasks complete:
    a set of thousands of numbers out of a hundred thousand has no short text form. `finished`
    and `claimed` are the sets of finished and of claimed tasks.
    """
    spec = record.spec
    limit_bytes = value_kb * 1024 - 128
    sets_bytes = (shards + 1) * taskset.max_text_bytes(spec.tasks, spec.tasks)
    fixed_bytes = len(msgspec.json.encode(record.spec)) + 64 * shards
    if fixed_bytes + sets_bytes < limit_bytes:
        return spec.tasks
    # Tasks that are neither claimed nor finished but lie below the highest such task: each may
    # split a run of finished tasks.
    highest = (finished | claimed).bit_length()
    gap_count = highest - (finished | claimed).bit_count()
    max_count = 1
    step = 1 << (spec.tasks.bit_length() - 1)
    while step:
        count = max_count + step
        text_bytes = taskset.max_text_bytes(spec.tasks, count, sets=shards)
        text_bytes += taskset.max_text_bytes(spec.tasks, count + gap_count, runs=True)
        if count <= spec.tasks and fixed_bytes + text_bytes < limit_bytes:
            max_count = count
        step //= 2
    return max_count


class FinalStateRecord(msgspec.Struct):
    """The final state of a job, written in the transaction that removes its live record."""

    state: str
    tasks: int


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """A machine and its shard; a reason in `leaving` asks the provisioner to delete it."""

    type: str
    zone: str
    spot: bool
    shard: str
    addr: str = ""
    at: float = 0.0
    leaving: str = ""


class HolderRecord(msgspec.Struct):
    """The holder of a shard or role, and its lease. The revision of the key is the term.

    `vacated` means that the previous holder has stopped acting for the shard: it handed the shard
    over, or it was an earlier process of the same node.
    """

    node: str
    lease: int
    vacated: bool = False


class LastHolderRecord(msgspec.Struct):
    """The last holder of a shard, written without a lease so that it outlives the holder's key."""

    node: str


class MemberRecord(msgspec.Struct, omit_defaults=True):
    """A running controller; with its lease id others can hand it a shard in one write."""

    lease: int
    # Limits (CPUs, GPUs in millionths) by team, where the settings of this controller differ from
    # the limit that the controllers agreed on.
    limits: dict[str, tuple[int, int]] = {}


class RentalRecord(msgspec.Struct):
    """A rental, recorded before the request to the cloud so that a successor can repeat it."""

    type: str
    zone: str
    spot: bool
    count: int
    at: float


class MachineTypesRecord(msgspec.Struct):
    """The machine types that the cloud offers, as last recorded by the provisioner."""

    types: list[MachineType]


_RECORD_TYPES: list[tuple[str, Any]] = [
    (JOB_PREFIX, JobRecord),
    (MACHINE_PREFIX, MachineRecord),
    (HOLDER_PREFIX, HolderRecord),
    (LAST_HOLDER_PREFIX, LastHolderRecord),
    (MEMBER_PREFIX, MemberRecord),
    (RENTAL_PREFIX, RentalRecord),
    (PROVISIONER_KEY, HolderRecord),
    (MACHINE_TYPES_KEY, MachineTypesRecord),
]


def parse_record(key: str, value: Any, extra_types: Iterable[tuple[str, Any]] = ()) -> Any:
    """Convert a decoded JSON value to the record type of its key.

    Returns None if the value is invalid or the key has no known record type. `extra_types`
    lists prefixes and record types beyond those of the core.
    """
    for prefix, record_type in chain(_RECORD_TYPES, extra_types):
        if key.startswith(prefix):
            try:
                record = convert_message(value, record_type)
                if isinstance(record, JobRecord):
                    record.require_readable_sets()
            except MalformedMessage:
                return None
            return record
    return None

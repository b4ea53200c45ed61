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

LIVE = "s/"
JOB = "s/job/"
MACHINE = "s/machine/"
HOLDER = "s/holder/"
LAST = "s/last/"
MEMBER = "s/member/"
RENTAL = "s/rental/"
TYPES = "s/types"
PROVISIONER = "s/role/provisioner"
OVER = "o/"


class JobRecord(msgspec.Struct, omit_defaults=True):
    """A live job: its submission, who claims which tasks, and which are finished."""

    spec: Job
    at: float
    claims: dict[str, str] = {}
    fin: str = ""
    # The sweep it is a point of, if it is.
    sweep: str = ""


class OverRecord(msgspec.Struct):
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


class LastRecord(msgspec.Struct):
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


class TypesRecord(msgspec.Struct):
    """The cloud's answer about machine types, as last written down by the provisioner."""

    types: list[MachineType]


_KINDS: list[tuple[str, Any]] = [
    (JOB, JobRecord),
    (MACHINE, MachineRecord),
    (HOLDER, HolderRecord),
    (LAST, LastRecord),
    (MEMBER, MemberRecord),
    (RENTAL, RentalRecord),
    (PROVISIONER, HolderRecord),
    (TYPES, TypesRecord),
]


def parse(key: str, raw: Any, more: Iterable[tuple[str, Any]] = ()) -> Any:
    """A record from a decoded JSON value; None if it is garbage or of no known kind. `more`: kinds
    beside the core's."""
    for prefix, kind in chain(_KINDS, more):
        if key.startswith(prefix):
            try:
                return msgspec.convert(raw, kind)
            except msgspec.ValidationError:
                return None
    return None

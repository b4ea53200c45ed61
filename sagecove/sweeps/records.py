"""Defines the records of templates and sweeps in the state service.

A sweep has one immutable record, a record for each block with the states of its points in compact
sets, and a progress record. Records that have ended move below `o/`, which is not watched.
"""

from __future__ import annotations

import re
from typing import Annotated, Any

import msgspec

from sagecove.protocol.users import JOB_ID_PATTERN
from sagecove.sweeps.parameter_space import Space, Value

# Key prefixes of live records, watched by all controllers.
SWEEP_PREFIX = "s/sweep/"
BLOCK_PREFIX = "s/points/"
PROGRESS_PREFIX = "s/swept/"
# Key prefixes of ended records, which are not watched but read singly.
ENDED_SWEEP_PREFIX = "o/sweep/"
ENDED_BLOCK_PREFIX = "o/points/"
# Written together with a job whose id has the form of a point's id of this sweep: prevents the
# sweep from being created.
TAKEN_SWEEP_ID_PREFIX = "o/taken/"
# Immutable versions of templates.
TEMPLATE_PREFIX = "t/"

# `run-nightly.p17` is point 17 of the sweep `run-nightly`.
POINT_ID_PATTERN = re.compile(r"(run-[A-Za-z0-9_.-]{1,90})\.p(0|[1-9]\d{0,5})\Z")
# A sweep's id is a valid job id that leaves room for the number of a point.
SWEEP_ID_PATTERN = re.compile(r"run-[A-Za-z0-9_.-]{1,90}\Z")


def point_id(sweep: str, k: int) -> str:
    """Returns the job id of a sweep's point."""
    return f"{sweep}.p{k}"


def parse_point_id(job_id: str) -> tuple[str, int] | None:
    """Returns sweep id and point number of a job id of a point's form; None for other ids."""
    match = POINT_ID_PATTERN.match(job_id)
    return (match[1], int(match[2])) if match and JOB_ID_PATTERN.match(job_id) else None


Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z_][A-Za-z0-9_]{0,39}\Z")]
TemplateName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,59}\Z")]


class Parameter(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A template's parameter. `kind`: `whole`, `number`, `text` or `flag`."""

    name: Name
    kind: Annotated[str, msgspec.Meta(pattern=r"^(whole|number|text|flag)\Z")]
    unit: str = ""
    about: str = ""
    default: Value | None = None
    # Allowed values: a list, or a range with both ends included.
    allowed: list[Value] | None = None
    least: int | float | None = None
    most: int | float | None = None
    # Teams whose jobs may set the parameter, None for all; the others get the default.
    set_by: list[str] | None = None


class Template(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A version of a template: parameters, and a job's fields with `${name}` placeholders."""

    name: TemplateName
    parameters: list[Parameter]
    job: dict[str, Any]
    version: int = 0
    about: str = ""


class SweepRecord(msgspec.Struct, omit_defaults=True):
    """A live sweep: everything that its points are computed from. Immutable while it is live."""

    id: str
    at: float
    template: Template
    space: Space
    # Parameter values that all points share.
    values: dict[str, Value] = {}
    # Number of points in a block.
    block: int = 64
    # Set of the points that run, "" for all: used to retry the failed points of another sweep.
    only: str = ""


class BlockRecord(msgspec.Struct, omit_defaults=True):
    """The states of a block's points, which are numbered from the block's first point."""

    # Shard to the set of points that it has claimed and that have not ended.
    claims: dict[str, str] = {}
    done: str = ""
    cancelled: str = ""
    # Points that are jobs with records of their own and are not known to have ended.
    made: str = ""
    # Points that can't run, with the reasons.
    failed: dict[str, str] = {}


class ProgressRecord(msgspec.Struct, omit_defaults=True):
    """The set of ended blocks, and the number of their points by final state."""

    over: str = ""
    done: int = 0
    failed: int = 0
    cancelled: int = 0
    left_out: int = 0


class EndedSweepRecord(msgspec.Struct, omit_defaults=True):
    """An ended sweep; its state is `done` or `aborted`."""

    state: str
    record: SweepRecord
    progress: ProgressRecord


def block_key(prefix: str, sweep: str, number: int) -> str:
    """Returns the key of a block."""
    return f"{prefix}{sweep}/{number:06d}"


def parse_block_key(key: str) -> tuple[str, int]:
    """Returns sweep id and block number of a live block's key."""
    sweep, _, number = key[len(BLOCK_PREFIX) :].rpartition("/")
    return sweep, int(number)


def template_key(name: str, version: int) -> str:
    """Returns the key of a template's version."""
    return f"{TEMPLATE_PREFIX}{name}/{version:06d}"

"""What templates and sweeps keep in the state service.

A sweep is one record that does not change, its blocks' records, which hold what became of its
points in compact sets, and its progress. What is over moves out of the watch, below `o/`.
"""

from __future__ import annotations

import re
from typing import Annotated, Any

import msgspec

from sagecove.protocol.users import JOB_ID_PATTERN
from sagecove.sweeps.parameter_space import Space, Value

# Live, watched by all controllers.
SWEEP_PREFIX = "s/sweep/"
BLOCK_PREFIX = "s/points/"
PROGRESS_PREFIX = "s/swept/"
# Over, read one by one.
ENDED_SWEEP_PREFIX = "o/sweep/"
ENDED_BLOCK_PREFIX = "o/points/"
# Written beside a job whose id looks like a point's of this sweep: no such sweep may begin.
TAKEN_SWEEP_ID_PREFIX = "o/taken/"
# Versions of templates, immutable.
TEMPLATE_PREFIX = "t/"

# `run-nightly.p17` is point 17 of the sweep `run-nightly`.
POINT = re.compile(r"(run-[A-Za-z0-9_.-]{1,90})\.p(0|[1-9]\d{0,5})\Z")
# A sweep's id: a job's, with room for a point's number.
SWEEP_ID_PATTERN = re.compile(r"run-[A-Za-z0-9_.-]{1,90}\Z")


def point_id(sweep: str, k: int) -> str:
    """The job id of a sweep's point."""
    return f"{sweep}.p{k}"


def parse_point_id(job_id: str) -> tuple[str, int] | None:
    """Sweep and number of an id that has the form of a point's."""
    match = POINT.match(job_id)
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
    # What it may be: these values, or a range (both ends included).
    allowed: list[Value] | None = None
    least: int | float | None = None
    most: int | float | None = None
    # Teams whose jobs may set it; None: all. Others get the default.
    set_by: list[str] | None = None


class Template(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A version of a template: parameters, and a job's fields with `${name}` for them."""

    name: TemplateName
    parameters: list[Parameter]
    job: dict[str, Any]
    version: int = 0
    about: str = ""


class SweepRecord(msgspec.Struct, omit_defaults=True):
    """A live sweep: all that its points are computed from. Never changed while it lives."""

    id: str
    at: float
    template: Template
    space: Space
    # Parameters that are the same for all points.
    values: dict[str, Value] = {}
    # Points in a block.
    block: int = 64
    # If not "", only these points (a set of numbers): a sweep of what failed in another.
    only: str = ""


class BlockRecord(msgspec.Struct, omit_defaults=True):
    """What became of a block's points; numbers count from the block's first point."""

    # Shard to the points that it has claimed and that are not over.
    claims: dict[str, str] = {}
    done: str = ""
    cancelled: str = ""
    # Points that are jobs with records of their own, until they are known to be over.
    made: str = ""
    # Points that can't run, with the reason.
    failed: dict[str, str] = {}


class ProgressRecord(msgspec.Struct, omit_defaults=True):
    """Blocks that are over, and what became of their points."""

    over: str = ""
    done: int = 0
    failed: int = 0
    cancelled: int = 0
    left_out: int = 0


class EndedSweepRecord(msgspec.Struct, omit_defaults=True):
    """A sweep that has ended: `done` or `aborted`."""

    state: str
    record: SweepRecord
    progress: ProgressRecord


def block_key(prefix: str, sweep: str, number: int) -> str:
    """Key of a block."""
    return f"{prefix}{sweep}/{number:06d}"


def parse_block_key(key: str) -> tuple[str, int]:
    """Sweep and number of a block's key."""
    sweep, _, number = key[len(BLOCK_PREFIX) :].rpartition("/")
    return sweep, int(number)


def template_key(name: str, version: int) -> str:
    """Key of a template's version."""
    return f"{TEMPLATE_PREFIX}{name}/{version:06d}"

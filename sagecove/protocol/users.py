"""Messages between users and controllers."""

import re
from sys import intern
from typing import Annotated

import msgspec

JOB_ID_PATTERN = re.compile(r"^run-[A-Za-z0-9_.-]{1,100}\Z")

# Bounds of what is kept of a job: amounts, the lengths of names, and the number of tasks.
MAX_AMOUNT = 1e9
MAX_NAME_LENGTH = 200
MAX_TASK_COUNT = 100_000

Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]

ARRAY, GANG, SERVICE = "sweep", "ensemble", "service"
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "aborted"
FINAL_STATES = frozenset({DONE, CANCELLED})
PRIORITY_RANKS = {"production": 3, "urgent": 2, "normal": 1, "low": 0}


class Job(
    msgspec.Struct,
    rename={
        "id": "nameId",
        "klass": "herd",
        "team": "outfit",
        "kind": "shape",
        "priority": "rank",
        "tasks": "hands",
        "cpus": "vcpus",
        "gpus": "cards",
        "memory_gb": "memoryGb",
        "image": "bundle",
        "image_gb": "sizeGb",
        "types": "breeds",
        "zone": "range",
        "one_zone": "samePlace",
        "spread": "scatter",
        "spot": "borrowed",
        "estimate_s": "reckonS",
        "checkpoint_s": "waypointS",
        "save_s": "stashS",
        "deadline_s": "dueS",
    },
    frozen=True,
):
    """A job as it is kept; `submissions` decodes what users send."""

    id: Annotated[str, msgspec.Meta(pattern=JOB_ID_PATTERN.pattern)]
    klass: Name
    team: Name
    kind: Annotated[str, msgspec.Meta(pattern=r"^(sweep|ensemble|service)\Z")]
    priority: Annotated[str, msgspec.Meta(pattern=r"^(production|urgent|normal|low)\Z")]
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASK_COUNT)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Name
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Amount
    checkpoint_s: Amount
    save_s: Amount
    types: list[Name] | None = None
    zone: Name | None = None
    deadline_s: Amount | None = None

    def __post_init__(self) -> None:
        # Thousands of waiting jobs share a few names; interning keeps one copy of each.
        for field in ("klass", "team", "kind", "priority", "image", "zone"):
            value = getattr(self, field)
            if value is not None:
                msgspec.structs.force_setattr(self, field, intern(value))


class JobStatus(
    msgspec.Struct,
    rename={"id": "nameId", "state": "standing"},
    omit_defaults=True,
):
    """The state of a job, as an answer to a user."""

    id: str
    state: str
    done: int | None = None
    running: int | None = None


class Refusal(msgspec.Struct):
    """The body of an answer that reports an error."""

    error: str

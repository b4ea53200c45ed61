"""What parts of the owner may ask of one another: a leaf, so that no import runs back up."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

from sagecove.config import Settings
from sagecove.coordination.effects import IncomingRequest
from sagecove.coordination.model import JobRun, Machine, Placement, Shard
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
from sagecove.storage.mirror import Event
from sagecove.storage.store import Result

# Who hears an answer: status (None: no response; 0: never sent) and body.
ResponseCallback = Callable[[int | None, bytes], None]

# Seconds between two ticks of the owner.
TICK_S = 0.25


class BaseContext(Protocol):
    """The owner's time (seconds of the steady clock), its settings, and its tables by name."""

    now: float
    settings: Settings
    jobs: dict[str, JobRun]
    machines: dict[str, Machine]

    def wall(self) -> float:
        """The time of day."""


class FailureJudge(Protocol):
    """Who is to blame for errors."""

    def fails_everywhere(self, job: JobRun) -> bool:
        """The job fails everywhere."""


class ArrayRanking(Protocol):
    """The order among jobs of equal standing."""

    def update_rank(self, job: JobRun) -> None:
        """Find an array's place as of now."""


class BacklogContext(BaseContext, Protocol):
    """What the backlog asks of its surroundings."""

    @property
    def failures(self) -> FailureJudge:
        """Who is to blame for errors."""

    @property
    def estimates(self) -> ArrayRanking:
        """The order of arrays."""


class BorrowingLevels(Protocol):
    """What teams borrow."""

    def borrowing_level(self, team: str) -> int:
        """How much a team borrows for the size of its guarantee, in powers of two."""


class EstimatesContext(BaseContext, Protocol):
    """What learning asks of its surroundings."""

    @property
    def claim_totals(self) -> BorrowingLevels:
        """What teams borrow."""

    machine_types: dict[str, MachineType]
    held_shards: dict[str, Shard]


class OwnerContext(BaseContext, Protocol):
    """The owner's tables as its parts read them, and how what they decide leaves."""

    random: Random
    # Shards held here; all machines by shard; machine types.
    held_shards: dict[str, Shard]
    machines_by_shard: dict[str, dict[str, Machine]]
    machine_types: dict[str, MachineType]
    # Something has changed that a pass should look at.
    pass_needed: bool

    def commit(
        self,
        conditions: list[tuple[str, int]],
        changes: list[wire.Put | wire.Drop],
        done: Callable[[Result], None],
        *,
        urgent: bool = False,
    ) -> None:
        """A transaction; `done` hears its outcome."""

    def count(self, what: str) -> None:
        """Count an event, for metrics."""


class MachineCommands(Protocol):
    """Commands to machines."""

    def stop_task(self, placement: Placement, grace_s: float, stopped_for: str) -> None:
        """A task is to stop, with this grace (seconds)."""

    def mark_urgent(self, machine: Machine) -> None:
        """A machine has commands waiting."""


class ShardQueries(Protocol):
    """Shards, and what belongs to them."""

    def active_shards(self, now: float) -> list[str]:
        """Shards for which this controller may act now."""

    def gang_home_shard(self, job: JobRun) -> str | None:
        """The shard that a gang of whole machines belongs to."""

    def home_shard(self, job: JobRun) -> str:
        """The shard that a gang is served in which fits nowhere yet."""

    def fleet_can_hold(self, job: JobRun) -> bool:
        """The fleet as it is, were it empty, has room for all tasks of a job."""

    def tasks_beyond_capacity(self, job: JobRun, shard: str) -> int:
        """Tasks of a job that a shard, were it empty, has no room for."""


class MirrorSync(Protocol):
    """The mirror's upkeep."""

    def request_sync(self) -> None:
        """The mirror is seen to be behind."""


class DrainHints(Protocol):
    """What peers say of machines that are to run empty."""

    # By shard, until when.
    draining_until: dict[str, float]


@dataclasses.dataclass
class SubmissionGuard:
    """What a submission must find and write beside its own record."""

    conditions: list[tuple[str, int]]
    changes: list[wire.Put | wire.Drop]


class Feature(Protocol):
    """A package beside the core, turned on in deploy/features.toml. The core imports none."""

    # Key prefixes of its own below `s/`, each with the struct its values are.
    records: list[tuple[str, Any]]

    def key_changed(self, event: Event) -> None:
        """A key of its own has changed in the mirror."""

    def handle_request(self, ask: IncomingRequest) -> bool:
        """A request that the core has no answer to; True if it is the feature's to answer."""

    def job_seen(self, job: JobRun) -> None:
        """A job has come, by a record of its own or by a home of ours."""

    def job_over(self, job: JobRun) -> None:
        """A job is over, durably."""

    def before_pass(self, now: float) -> None:
        """A pass over jobs and machines is about to begin."""

    def after_pass(self, now: float) -> None:
        """A pass is over: what it has given to the feature's homes may be written."""

    def tick(self, now: float) -> None:
        """Some quarter of a second has passed."""

    def answer_unknown_job(self, kind: str, job_id: str, exchange: Any) -> bool:
        """A user asks (`status`, `cancel`, `submit`) for a job that the core does not know. True
        if the feature will answer. The read that this rests on has been done."""

    def submission_guard(self, job_id: str) -> SubmissionGuard | str | None:
        """What the submission of a job of this id needs beside the core's own conditions; a reason
        why no job may have it; None for nothing."""

    def unfinished_work(self) -> Iterable[tuple[float, str, str, float, float]]:
        """Unfinished work that is not among the owner's jobs, for the count of guarantees: (when
        submitted, id to order by, team, CPUs, GPUs)."""

"""What parts of the owner may ask of one another: a leaf, so that no import runs back up."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

from sagecove.config import Settings
from sagecove.coordination.effects import Asked
from sagecove.coordination.model import JobRun, Machine, Placement, Shard
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
from sagecove.storage.mirror import Event
from sagecove.storage.store import Result

# Who hears an answer: status (None: no response; 0: never sent) and body.
Done = Callable[[int | None, bytes], None]

# Seconds between two ticks of the owner.
TICK_S = 0.25


class Clock(Protocol):
    """The owner's time (seconds of the steady clock), its settings, and its tables by name."""

    now: float
    settings: Settings
    jobs: dict[str, JobRun]
    machines: dict[str, Machine]

    def wall(self) -> float:
        """The time of day."""


class Judge(Protocol):
    """Who is to blame for errors."""

    def suspect(self, job: JobRun) -> bool:
        """The job fails everywhere."""


class Order(Protocol):
    """The order among jobs of equal standing."""

    def rank(self, job: JobRun) -> None:
        """Find an array's place as of now."""


class Ranked(Clock, Protocol):
    """What the backlog asks of its surroundings."""

    @property
    def failures(self) -> Judge:
        """Who is to blame for errors."""

    @property
    def learning(self) -> Order:
        """The order of arrays."""


class Levels(Protocol):
    """What teams borrow."""

    def level(self, team: str) -> int:
        """How much a team borrows for the size of its guarantee, in powers of two."""


class Learned(Clock, Protocol):
    """What learning asks of its surroundings."""

    @property
    def standing(self) -> Levels:
        """What teams borrow."""

    types: dict[str, MachineType]
    held: dict[str, Shard]


class Desk(Clock, Protocol):
    """The owner's tables as its parts read them, and how what they decide leaves."""

    random: Random
    # Shards held here; all machines by shard; machine types.
    held: dict[str, Shard]
    by_shard: dict[str, dict[str, Machine]]
    types: dict[str, MachineType]
    # Something has changed that a pass should look at.
    dirty: bool

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


class Halting(Protocol):
    """Commands to machines."""

    def halt(self, placement: Placement, grace: float, for_whom: str) -> None:
        """A task is to stop, with this grace (seconds)."""

    def hurry(self, machine: Machine) -> None:
        """A machine has commands waiting."""


class Territory(Protocol):
    """Shards, and what belongs to them."""

    def acting_shards(self, now: float) -> list[str]:
        """Shards for which this controller may act now."""

    def gang_home(self, job: JobRun) -> str | None:
        """The shard that a gang of whole machines belongs to."""

    def home(self, job: JobRun) -> str:
        """The shard that a gang is served in which fits nowhere yet."""

    def could_hold(self, job: JobRun) -> bool:
        """The fleet as it is, were it empty, has room for all tasks of a job."""

    def beyond(self, job: JobRun, shard: str) -> int:
        """Tasks of a job that a shard, were it empty, has no room for."""


class Syncing(Protocol):
    """The mirror's upkeep."""

    def want_sync(self) -> None:
        """The mirror is seen to be behind."""


class Draining(Protocol):
    """What peers say of machines that are to run empty."""

    # By shard, until when.
    draining: dict[str, float]


@dataclasses.dataclass
class Guard:
    """What a submission must find and write beside its own record."""

    conditions: list[tuple[str, int]]
    changes: list[wire.Put | wire.Drop]


class Feature(Protocol):
    """A package beside the core, turned on in deploy/features.toml. The core imports none."""

    # Key prefixes of its own below `s/`, each with the struct its values are.
    records: list[tuple[str, Any]]

    def changed(self, event: Event) -> None:
        """A key of its own has changed in the mirror."""

    def asked(self, ask: Asked) -> bool:
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

    def look_up(self, kind: str, job_id: str, exchange: Any) -> bool:
        """A user asks (`status`, `cancel`, `submit`) for a job that the core does not know. True
        if the feature will answer. The read that this rests on has been done."""

    def guard(self, job_id: str) -> Guard | str | None:
        """What the submission of a job of this id needs beside the core's own conditions; a reason
        why no job may have it; None for nothing."""

    def loads(self) -> Iterable[tuple[float, str, str, float, float]]:
        """Unfinished work that is not among the owner's jobs, for the count of guarantees: (when
        submitted, id to order by, team, CPUs, GPUs)."""

"""What parts of the owner may ask of one another: a leaf, so that no import runs back up."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sagecove.config import Settings
    from sagecove.coordination.effects import Asked
    from sagecove.coordination.model import JobRun, Machine, Shard
    from sagecove.protocol import state as wire
    from sagecove.protocol.cloud import MachineType
    from sagecove.storage.mirror import Event

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


class Poll(Protocol):
    """The pace of claims."""

    poll_s: float


class Learned(Clock, Protocol):
    """What learning asks of its surroundings."""

    types: dict[str, MachineType]
    held: dict[str, Shard]

    @property
    def claims(self) -> Poll:
        """The pace of claims."""


class Home(Protocol):
    """Where a job's durable state is, if not in a record of its own.

    The core decides as for any job, and leaves the writing to its home: until the outcome is known
    the home keeps `job.committing` set, and for a claim `job.claiming`, for a release the bits in
    `job.releasing`.
    """

    def claim(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Claim tasks for a shard, together with the allotment they need."""

    def release(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Give claimed tasks back that are provably nowhere."""

    def finished(self, job: JobRun, shard: Shard) -> None:
        """Tasks in `job.fresh` have completed on the shard's machines: make that durable."""

    def cancel(self, job: JobRun, exchange: Any) -> None:
        """Cancel the job, and answer its user once that is durable."""


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

"""Interfaces between the parts of the owner.

This module imports none of the parts, so that the parts can import it without import cycles.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

from sagecove.config import Settings
from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.effects import IncomingRequest
from sagecove.coordination.model import JobRun, Machine, Placement, Shard
from sagecove.coordination.refusals import RequestKind
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
from sagecove.storage.mirror import Event
from sagecove.storage.records import MachineRecord
from sagecove.storage.store import Result

# Receives the outcome of a call: status (None: no response, 0: never sent) and body.
ResponseCallback = Callable[[int | None, bytes], None]

# Time between two ticks of the owner.
TICK_S = 0.25


class BaseContext(Protocol):
    """The owner's time (monotonic clock, seconds), settings, and jobs and machines by name."""

    now: float
    settings: Settings
    jobs: dict[str, JobRun]
    machines: dict[str, Machine]

    def wall(self) -> float:
        """Return the wall clock time in seconds."""


class Authority(Protocol):
    """Tells whether this controller may act."""

    def may_act(self, now: float) -> bool:
        """Return whether this controller may act for its shards."""


class MachineRecordWriter(Protocol):
    """Writes the records of machines."""

    def put_machine(
        self,
        name: str,
        record: MachineRecord,
        stamp: int,
        shard: Shard,
        done: Callable[[Result], None],
    ) -> None:
        """Write a machine's record, on condition that this controller still holds the shard."""


class RequestSender(Protocol):
    """Sends requests to workers and other controllers."""

    def call(
        self, target: str, method: str, path: str, body: Any, timeout: float, done: ResponseCallback
    ) -> None:
        """Send a request; `done` is called with its response."""


class FailureJudge(Protocol):
    """Decides whether jobs or machines cause task failures."""

    def fails_everywhere(self, job: JobRun) -> bool:
        """Return whether the job fails on every machine."""


class ArrayRanking(Protocol):
    """Orders jobs of equal fixed precedence."""

    def update_rank(self, job: JobRun) -> None:
        """Update an array's rank to the current time."""


class BacklogContext(BaseContext, Protocol):
    """Interface that the backlog requires of the owner."""

    @property
    def failures(self) -> FailureJudge:
        """The failure judge."""

    @property
    def estimates(self) -> ArrayRanking:
        """The ranking of arrays."""


class BorrowingLevels(Protocol):
    """Tells how much teams borrow."""

    def borrowing_level(self, team: str) -> int:
        """Return how much a team borrows relative to its guarantee, in powers of two."""


class EstimatesContext(BaseContext, Protocol):
    """Interface that the estimates require of the owner."""

    @property
    def claim_totals(self) -> BorrowingLevels:
        """The claims of all teams."""

    machine_types: dict[str, MachineType]
    held_shards: dict[str, Shard]


class TransactionSender(Protocol):
    """Sends transactions to the state service."""

    def commit(
        self,
        conditions: list[tuple[str, int]],
        changes: list[wire.Put | wire.Delete],
        done: Callable[[Result], None],
        *,
        urgent: bool = False,
    ) -> None:
        """Send a transaction; `done` is called with its outcome."""


class OwnerContext(BaseContext, TransactionSender, Protocol):
    """The owner's state as its parts read it, and the way to write to the state service."""

    random: Random
    # Shards held here; all machines by shard and name; machine types by name.
    held_shards: dict[str, Shard]
    machines_by_shard: dict[str, dict[str, Machine]]
    machine_types: dict[str, MachineType]
    # Something has changed that the next scheduling pass has to consider.
    pass_needed: bool

    def count(self, event: str) -> None:
        """Increment the metric of an event."""


class MachineCommands(Protocol):
    """Sends commands to machines."""

    def stop_task(self, placement: Placement, grace_s: float, stopped_for: str) -> None:
        """Stop a task, with a grace period."""

    def mark_urgent(self, machine: Machine) -> None:
        """Send the machine's waiting commands without waiting for its next report."""


class ShardQueries(Protocol):
    """Answers questions about shards and their machines."""

    def active_shards(self, now: float) -> list[str]:
        """Return the shards for which this controller may act now."""

    def gang_home_shard(self, job: JobRun) -> str | None:
        """Return the shard that serves a gang whose tasks need whole machines."""

    def home_shard(self, job: JobRun) -> str:
        """Return the shard that serves a gang that fits in no shard yet."""

    def fleet_can_hold(self, job: JobRun) -> bool:
        """Return whether the current fleet, if it were empty, has room for all tasks of a job."""

    def tasks_beyond_capacity(self, job: JobRun, shard: str) -> int:
        """Return how many tasks of a job have no room in a shard, even if it were empty."""


class SyncRequests(Protocol):
    """Keeps the mirror of the state service up to date."""

    def request_sync(self) -> None:
        """Request a read, because the mirror is known to be behind."""


class DrainHints(Protocol):
    """Peers' hints about machines to be drained."""

    # By shard: when the hint expires.
    draining_until: dict[str, float]


@dataclasses.dataclass
class SubmissionGuard:
    """Extra conditions and changes of a submission's transaction, beside the job's own record."""

    conditions: list[tuple[str, int]]
    changes: list[wire.Put | wire.Delete]


class Feature(Protocol):
    """An optional package enabled in deploy/features.toml. The core does not import it."""

    # The feature's key prefixes below `s/`, each with the struct type of its values.
    records: list[tuple[str, Any]]

    def key_changed(self, event: Event) -> None:
        """Handle the change of one of the feature's keys in the mirror."""

    def handle_request(self, request: IncomingRequest) -> bool:
        """Handle a request unknown to the core; return whether the feature answers it."""

    def job_seen(self, job: JobRun) -> None:
        """Handle a new job, whether it has its own record or a `DurableState` of this feature."""

    def job_over(self, job: JobRun) -> None:
        """Handle the durable end of a job."""

    def before_pass(self, now: float) -> None:
        """Prepare for a scheduling pass over jobs and machines."""

    def after_pass(self, now: float) -> None:
        """Write what the pass has handed to the feature's `DurableState` objects."""

    def tick(self, now: float) -> None:
        """Do periodic work, about every `TICK_S`."""

    def answer_unknown_job(self, kind: RequestKind, job_id: str, request: CoveredRequest) -> bool:
        """Answer a request for a job unknown to the core. Return whether the feature answers."""

    def submission_guard(self, job_id: str) -> SubmissionGuard | str | None:
        """Return what the submission of a job with this id needs beside the core's conditions, the
        reason why no job may have the id, or None if nothing is needed."""

    def unfinished_work(self) -> Iterable[tuple[float, str, str, float, float]]:
        """Yield unfinished work that is not among the owner's jobs, to be counted for guarantees:
        (submission time, id to order by, team, CPUs, GPUs)."""

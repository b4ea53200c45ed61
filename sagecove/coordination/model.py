"""What the owner keeps in memory about jobs, machines, placements and shards."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from typing import Any, Protocol

from sagecove.protocol import workers as w
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import ARRAY, GANG, PRIORITIES, SERVICE, Job
from sagecove.storage import taskset
from sagecove.storage.records import JobRecord, MachineRecord

LAUNCH_SENT = "sent"
ROOM_EPSILON = 1e-6
# Amounts that must add up are kept in millionths, as integers.
MILLIONTHS_PER_UNIT = 1_000_000


def to_millionths(amount: float) -> int:
    """An amount in millionths."""
    return round(amount * MILLIONTHS_PER_UNIT)


class DurableState(Protocol):
    """Where a job's durable state is, if not in a record of its own.

    The core decides as for any job, and leaves the writing to its home: until the outcome is known
    the home keeps `job.committing` set, and for a claim `job.claiming`, for a release the bits in
    `job.releasing`.
    """

    def write_claim(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Claim tasks for a shard, within its share of the limit."""

    def write_release(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Give claimed tasks back that are provably nowhere."""

    def write_finished(self, job: JobRun, shard: Shard) -> None:
        """Tasks in `job.fresh` have completed on the shard's machines: make that durable."""

    def cancel(self, job: JobRun, exchange: Any) -> None:
        """Cancel the job, and answer its user once that is durable."""


class JobRun:
    """A live job: its record, and what this controller knows beyond it."""

    # Thousands may wait: a dictionary for each would be most of what they take.
    __slots__ = (
        "group_key",
        "array",
        "submitted_at",
        "attempt",
        "judged_faulty",
        "peer_judged_faulty_at",
        "ledger_claim_counts",
        "claim_after",
        "claiming",
        "claims",
        "committing",
        "failed_on",
        "all_tasks",
        "last_failed_at",
        "gang_stopping",
        "finished",
        "finished_unrecorded",
        "gang",
        "hold_until",
        "durable_state",
        "id",
        "lacks_room_since",
        "possibly_running",
        "avoided_types",
        "array_rank",
        "placed",
        "placed_bits",
        "priority",
        "probe_count",
        "record",
        "recorded_at",
        "releasing",
        "reserved",
        "reserved_until",
        "failed_round_count",
        "running_count",
        "first_seen_at",
        "service",
        "spec",
        "stamp",
        "team_claim_counts",
        "stop_counts",
        "unplaceable_since",
        "trim_after",
        "unclaimed",
        "wait_logged_at",
        "claimed_whole",
        "cancelled_elsewhere",
        "within_guarantee",
    )

    def __init__(self, record: JobRecord, stamp: int) -> None:
        self.spec: Job = record.spec
        self.id = record.spec.id
        self.submitted_at = record.at
        self.all_tasks = taskset.full(self.spec.tasks)
        self.priority = PRIORITIES[self.spec.priority]
        kind = self.spec.kind
        # Plain attributes: a pass reads them of every job.
        self.array, self.gang, self.service = kind == ARRAY, kind == GANG, kind == SERVICE
        # One claim for all tasks, so that rules over the job's tasks are decided in one place.
        self.claimed_whole = self.gang or self.spec.one_zone or self.spec.spread
        self.within_guarantee = False
        # Peers say that it is cancelled, see `Cancels`.
        self.cancelled_elsewhere = False
        # Types of machines that a service stays off while others suit it, see `Owner.settle`.
        self.avoided_types: frozenset[str] = frozenset()
        self.lacks_room_since: float | None = None
        # Among jobs of equal standing: see `Owner.rank`.
        self.array_rank: tuple[int, int, float] = (0, 0, 0.0)
        # Durable sets, from the record.
        self.finished = 0
        self.claims: dict[str, int] = {}
        # Tasks reported done here whose number is not yet durable.
        self.finished_unrecorded = 0
        self.placed: dict[int, Placement] = {}
        self.placed_bits = 0
        # Tasks of these that run, and per shard held here how many its claims count: by `Ledger`.
        self.running_count = 0
        self.ledger_claim_counts: dict[str, int] | None = None
        # Per shard: tasks claimed before a takeover that may be on a machine not heard of yet.
        self.possibly_running: dict[str, int] = {}
        # Tasks whose release is under way: placed by nobody until its outcome is known.
        self.releasing = 0
        # Room being made by stopping others: machine name to number of tasks, and until when.
        self.reserved: dict[str, int] = {}
        self.reserved_until = 0.0
        self.committing = False
        # When numbers of finished tasks were last written.
        self.recorded_at = -1e9
        # A claim under way: shard and tasks.
        self.claiming: tuple[str, int] | None = None
        self.claim_after = 0.0
        self.trim_after = 0.0
        self.first_seen_at = 0.0
        self.wait_logged_at = 0.0
        self.unplaceable_since: dict[str, float] = {}
        # Failing, see `Failures`: machines it has failed on, tries that have, whether it is the
        # job that is to blame, and when a peer last said so.
        self.failed_on: frozenset[str] = frozenset()
        self.failed_round_count = 0
        self.last_failed_at = -1e9
        self.judged_faulty = False
        self.peer_judged_faulty_at = -1e9
        self.probe_count = 0
        self.hold_until = 0.0
        self.attempt = 0
        self.gang_stopping = False
        # Who writes its state, if it has no record of its own.
        self.durable_state: DurableState | None = None
        # By task: how often it was stopped for others, see `Stopping`.
        self.stop_counts: dict[int, int] | None = None
        # Per shard, how many tasks its claims count for its team: by `Standing`.
        self.team_claim_counts: dict[str, int] | None = None
        # Where it rests, see `Backlog`.
        self.group_key: tuple[object, ...] | None = None
        self.apply_record(record, stamp)

    def apply_record(self, record: JobRecord, stamp: int) -> None:
        """Take over a newer record."""
        self.record = record
        self.stamp = stamp
        self.finished = taskset.decode(record.fin)
        self.claims = {shard: taskset.decode(text) for shard, text in record.claims.items()}
        self.finished_unrecorded &= ~self.finished
        # Tasks that no shard holds.
        self.unclaimed = self.all_tasks & ~self.finished
        for claim in self.claims.values():
            self.unclaimed &= ~claim

    @property
    def grace_s(self) -> float:
        """Time to give a task that is stopped: enough to save, if it saves at all."""
        return 1.2 * self.spec.save_s if self.spec.checkpoint_s > 0 else 0.0

    @property
    def unfinished(self) -> int:
        """Tasks that have not completed."""
        return self.all_tasks & ~self.finished & ~self.finished_unrecorded

    def claimed(self, shard: str) -> int:
        """Unfinished tasks held by a shard."""
        return self.claims.get(shard, 0) & self.unfinished

    def placeable(self, shard: str) -> int:
        """Tasks held by a shard that are provably nowhere and may be started."""
        if self.cancelled_elsewhere:
            return 0
        if self.claimed_whole and self.possibly_running.get(shard):
            return 0
        bits = self.claimed(shard) & ~self.placed_bits & ~self.releasing
        return bits & ~self.possibly_running.get(shard, 0)

    def add_placement(self, placement: Placement) -> None:
        """A task may now be on a machine."""
        self.placed[placement.index] = placement
        self.placed_bits |= 1 << placement.index

    def remove_placement(self, placement: Placement) -> None:
        """A task is known to be gone from its machine."""
        if self.placed.get(placement.index) is placement:
            del self.placed[placement.index]
            self.placed_bits &= ~(1 << placement.index)

    def with_sets(self, fin: int, claims: dict[str, int]) -> JobRecord:
        """The record with other sets of finished and claimed tasks."""
        return JobRecord(
            self.spec,
            self.submitted_at,
            {s: taskset.encode(b & ~fin) for s, b in claims.items() if b & ~fin},
            taskset.encode(fin),
            self.record.sweep,
        )


def precedence(job: JobRun) -> tuple[bool, bool, int, int, int, float, float]:
    """Order of claims: production, then guarantees, then priority; among equals as `Learning.rank`
    has it, and by age."""
    return *fixed_precedence(job), *job.array_rank, job.submitted_at


def fixed_precedence(job: JobRun) -> tuple[bool, bool, int]:
    """The part of the order that does not change with time."""
    return job.priority != 3, not job.within_guarantee, -job.priority


@dataclasses.dataclass(slots=True, eq=False)
class Placement:
    """A task that is, or may be, on a machine."""

    job: JobRun | None
    index: int
    task: str
    attempt: int
    machine: Machine
    state: str = LAUNCH_SENT
    exit_reason: str = ""
    saved: bool = False
    # None: meant to run. Otherwise it is to stop, with this grace.
    stop_grace_s: float | None = None
    stop_requested_at: float = 0.0
    stopped_for: str = ""
    started_at: float = 0.0
    running_at: float = 0.0
    # `seq` of the last report whose response carried the launch.
    answered_seq: int = 0
    # Direct commands with the launch that have not been answered yet.
    open_launch_calls: int = 0
    # A direct launch got no answer under this token: it may be executed until a higher is seen.
    unconfirmed_token: int = -1
    unconfirmed_at: float = 0.0
    # It takes room in the books, see `Ledger`; and waits for an image its machine did not have.
    in_ledger: bool = False
    fetching: bool = False

    @property
    def takes_room(self) -> bool:
        """It takes room."""
        return self.state != w.EXITED

    @property
    def in_flight(self) -> bool:
        """A launch of this attempt may still arrive at the worker."""
        return self.open_launch_calls > 0 or self.unconfirmed_token >= 0


class Machine:
    """A machine of any shard. Task lists are kept only while this controller holds the shard."""

    def __init__(self, name: str, record: MachineRecord, stamp: int, now: float) -> None:
        self.name = name
        self.record = record
        self.stamp = stamp
        self.seen_at = now
        self.machine_type: MachineType | None = None
        # Class of its price, see `placement.dearness`.
        self.price_class = 0
        self.reset(now)
        # Images (GB), the last used last; and those its tasks are waiting for, with their number.
        self.images: OrderedDict[str, float] = OrderedDict()
        self.fetching: dict[str, int] = {}
        # Jobs that failed here since a task last completed, and how often.
        self.failures_by_job: dict[str, int] = {}
        self.faulty = False
        # Sick, and to be returned from this moment on.
        self.return_due_at: float | None = None
        self.committing = False
        # When it may be marked for its return once more.
        self.next_return_try_at = -1e9
        # When a peer last heard of it, and our dealings with it as a machine of another's shard.
        self.peer_heard_at = self.redirected_at = self.foreign_report_at = -1e9
        # The newest report (session, number) that came here though another holds the machine.
        self.foreign_report_order = (0, 0)
        self.relaying = False
        # The provisioner would return it: until then no tasks of arrays are placed on it.
        self.drain_until = -1e9

    def reset(self, now: float) -> None:
        """Forget what a worker said: this controller did not hold the shard until now."""
        self.session = 0
        self.seq = 0
        self.worker_token = 0
        self.ended_session = -1
        self.tasks_known = False
        self.ever_reported = False
        # See `Reach`: the last report that came as such, the last answered, and with what token.
        self.last_hello_seq = 0
        self.answered_seq = 0
        self.answered_token = 0
        self.confirmed_token = 0
        self.session_started_at = 0.0
        self.missed_answer_count = 0
        self.unreachable_since: float | None = None
        self.unanswered_until = -1e9
        # Tokens up to this one may still be in commands from before the worker began anew.
        self.fence_token = 0
        self.show_request_open = False
        self.show_requested_at = -1e9
        self.addr = self.record.addr
        self.last_report_at = now
        self.last_answer_at = now
        self.idle_since = now
        self.spot_notice = False
        self.tasks: dict[str, Placement] = {}
        # Tasks reported that are none of this shard's: to be stopped and removed.
        self.unknown_tasks: dict[tuple[str, int], str] = {}
        # Tasks as last told, and whether there is nothing to be done here but to hear the same.
        self.last_task_list = b""
        self.quiescent = False
        # It is being handed to another shard, or may be: nothing is started on it.
        self.handing_over = False
        self.used = [0.0, 0.0, 0.0]
        self.open_call_count = 0

    def free_room(self) -> tuple[float, float, float]:
        """CPUs, GPUs and memory not taken by placements."""
        kind = self.machine_type
        if kind is None:
            return 0.0, 0.0, 0.0
        cpus, gpus, memory_gb = self.used
        return kind.cpus - cpus, kind.gpus - gpus, kind.memory_gb - memory_gb

    def count_room(self, spec: Job, sign: float) -> None:
        """Count a task's room in (1) or out (-1)."""
        self.used[0] += sign * spec.cpus
        self.used[1] += sign * spec.gpus
        self.used[2] += sign * spec.memory_gb

    @property
    def accepts_tasks(self) -> bool:
        """May be given new tasks."""
        return (
            self.tasks_known
            and not self.record.leaving
            and not self.spot_notice
            and not self.faulty
            and not self.handing_over
            and self.unreachable_since is None
            and not self.runs_unknown_tasks
            and self.machine_type is not None
        )

    @property
    def runs_unknown_tasks(self) -> bool:
        """Runs tasks of whose jobs nothing is known here."""
        return bool(self.unknown_tasks) and any(
            state != w.EXITED for state in self.unknown_tasks.values()
        )

    @property
    def empty(self) -> bool:
        """Provably without any task, and nothing on its way."""
        return (
            self.tasks_known
            and not self.tasks
            and not self.unknown_tasks
            and not self.open_call_count
        )


class Shard:
    """A shard this controller holds."""

    def __init__(self, name: str, term: int, now: float) -> None:
        self.name = name
        self.term = term
        self.held_since = now
        self.attempts = 0
        # Machines that were in the shard at the takeover and have not reported under the term.
        self.unreported_machines: set[str] = set()
        self.yielding = False

    def next_attempt(self) -> int:
        """An attempt number no controller has used: the term above, a counter below."""
        self.attempts += 1
        return (self.term << 20) | self.attempts

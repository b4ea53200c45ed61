"""In-memory records of the owner: jobs, machines, placements and shards."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from typing import Protocol

from sagecove.coordination.launch_tracker import Launch, LaunchTracker
from sagecove.protocol import workers as worker_protocol
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import ARRAY, GANG, PRIORITY_RANKS, SERVICE, Job
from sagecove.storage import taskset
from sagecove.storage.records import JobRecord, MachineRecord

LAUNCH_SENT = "sent"
ROOM_EPSILON = 1e-6
# Sums of amounts are kept as integers in millionths, so that they stay exact.
MILLIONTHS_PER_UNIT = 1_000_000


def to_millionths(amount: float) -> int:
    """Convert an amount to integer millionths."""
    return round(amount * MILLIONTHS_PER_UNIT)


class DurableState(Protocol):
    """Writes the durable state of a job that has no record of its own.

    Until the outcome of a write is known, the implementation keeps `job.committing` set, for a
    claim also `job.claiming`, for a release also the bits in `job.releasing`.
    """

    def write_claim(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Claim tasks for a shard, within the shard's share of the team limit."""

    def write_release(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Release claimed tasks that are provably on no machine."""

    def write_finished(self, job: JobRun, shard: Shard) -> None:
        """Record the tasks in `job.finished_unrecorded` that the shard's machines completed."""

    def cancel(self, job: JobRun, exchange: object) -> None:
        """Cancel the job and answer its user once the cancellation is durable."""


class JobRun:
    """A live job: its durable record and this controller's in-memory state of it."""

    # Thousands of jobs may wait; a `__dict__` for each would dominate their memory.
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
        "one_claimant",
        "cancelled_elsewhere",
        "within_guarantee",
    )

    def __init__(self, record: JobRecord, stamp: int) -> None:
        self.spec: Job = record.spec
        self.id = record.spec.id
        self.submitted_at = record.at
        self.all_tasks = taskset.full(self.spec.tasks)
        self.priority = PRIORITY_RANKS[self.spec.priority]
        kind = self.spec.kind
        # Plain attributes, because a scheduling pass reads them for every job.
        self.array, self.gang, self.service = kind == ARRAY, kind == GANG, kind == SERVICE
        # All tasks are claimed at once, or none.
        zone_rule = self.spec.one_zone or self.spec.spread
        self.claimed_whole = self.gang or (self.service and zone_rule)
        # Claimed in parts, but by one shard at a time: until its claims are completed or released,
        # no other shard has any. So one controller applies the rules that span tasks, and knows the
        # zones of all tasks that may be on a machine.
        self.one_claimant = self.array and zone_rule
        self.within_guarantee = False
        # A peer reported that the job is cancelled, see `Cancellations`.
        self.cancelled_elsewhere = False
        # Machine types a service avoids, see `Estimates.update_avoided_types`.
        self.avoided_types: frozenset[str] = frozenset()
        self.lacks_room_since: float | None = None
        # Order among jobs of equal fixed precedence, see `Estimates.update_rank`.
        self.array_rank: tuple[int, int, float] = (0, 0, 0.0)
        # Durable task sets, from the record.
        self.finished = 0
        self.claims: dict[str, int] = {}
        # Tasks reported done here whose completion is not durable yet.
        self.finished_unrecorded = 0
        self.placed: dict[int, Placement] = {}
        self.placed_bits = 0
        # Kept by `Ledger`: placed tasks that run, and claimed tasks per shard held here.
        self.running_count = 0
        self.ledger_claim_counts: dict[str, int] | None = None
        # Per shard: tasks claimed before a takeover that an unreported machine may be running.
        self.possibly_running: dict[str, int] = {}
        # Tasks with a release in progress; not placed until its outcome is known.
        self.releasing = 0
        # Room reserved while preempted tasks stop: machine name to task count, and until when.
        self.reserved: dict[str, int] = {}
        self.reserved_until = 0.0
        self.committing = False
        # When finished tasks were last written.
        self.recorded_at = -1e9
        # The claim in progress: shard and tasks.
        self.claiming: tuple[str, int] | None = None
        self.claim_after = 0.0
        self.trim_after = 0.0
        self.first_seen_at = 0.0
        self.wait_logged_at = 0.0
        self.unplaceable_since: dict[str, float] = {}
        # Kept by `FailureTracker`: machines the job failed on, failed rounds, whether the job is
        # judged faulty here, and when a peer last reported so.
        self.failed_on: frozenset[str] = frozenset()
        self.failed_round_count = 0
        self.last_failed_at = -1e9
        self.judged_faulty = False
        self.peer_judged_faulty_at = -1e9
        self.probe_count = 0
        self.hold_until = 0.0
        self.attempt = 0
        self.gang_stopping = False
        self.durable_state: DurableState | None = None
        # By task: how often it was preempted, see `PreemptionPolicy`.
        self.stop_counts: dict[int, int] | None = None
        # Kept by `ClaimTotals`: claimed tasks per shard counted for the team.
        self.team_claim_counts: dict[str, int] | None = None
        # Key of its group of resting jobs, see `Backlog`.
        self.group_key: tuple[object, ...] | None = None
        self.apply_record(record, stamp)

    def apply_record(self, record: JobRecord, stamp: int) -> None:
        """Replace the record by a newer version."""
        self.record = record
        self.stamp = stamp
        self.finished = taskset.decode(record.fin)
        self.claims = {shard: taskset.decode(text) for shard, text in record.claims.items()}
        self.finished_unrecorded &= ~self.finished
        self.unclaimed = self.all_tasks & ~self.finished
        for claim in self.claims.values():
            self.unclaimed &= ~claim

    @property
    def grace_s(self) -> float:
        """Grace period of a stopped task: long enough to save a checkpoint, if it saves any."""
        return 1.2 * self.spec.save_s if self.spec.checkpoint_s > 0 else 0.0

    @property
    def unfinished(self) -> int:
        """The set of tasks that have not completed."""
        return self.all_tasks & ~self.finished & ~self.finished_unrecorded

    def claimed(self, shard: str) -> int:
        """Return the unfinished tasks claimed by a shard."""
        return self.claims.get(shard, 0) & self.unfinished

    def placeable(self, shard: str) -> int:
        """Return the shard's claimed tasks that are provably on no machine and may be started."""
        if self.cancelled_elsewhere:
            return 0
        if (self.claimed_whole or self.one_claimant) and self.possibly_running.get(shard):
            return 0
        bits = self.claimed(shard) & ~self.placed_bits & ~self.releasing
        return bits & ~self.possibly_running.get(shard, 0)

    def may_be_claimed_by(self, shard: str) -> bool:
        """Return whether the job's rules on zones let a shard claim tasks of it now."""
        return not self.one_claimant or all(claimant == shard for claimant in self.claims)

    def add_placement(self, placement: Placement) -> None:
        """Add a task that is, or may be, on a machine."""
        self.placed[placement.index] = placement
        self.placed_bits |= 1 << placement.index

    def remove_placement(self, placement: Placement) -> None:
        """Remove a task that is known to be gone from its machine."""
        if self.placed.get(placement.index) is placement:
            del self.placed[placement.index]
            self.placed_bits &= ~(1 << placement.index)

    def with_sets(self, finished: int, claims: dict[str, int]) -> JobRecord:
        """Return a record with other sets of finished and claimed tasks."""
        return JobRecord(
            self.spec,
            self.submitted_at,
            {s: taskset.encode(b & ~finished) for s, b in claims.items() if b & ~finished},
            taskset.encode(finished),
            self.record.sweep,
        )


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
    # None while the task should run; otherwise it has to stop within this grace period.
    stop_grace_s: float | None = None
    stop_requested_at: float = 0.0
    stopped_for: str = ""
    started_at: float = 0.0
    running_at: float = 0.0
    # `seq` of the last report whose response carried the launch order.
    answered_seq: int = 0
    # Counted by `Ledger`; and waiting for an image that its machine did not have.
    in_ledger: bool = False
    fetching: bool = False

    @property
    def takes_room(self) -> bool:
        """The task occupies room on its machine."""
        return self.state != worker_protocol.EXITED

    @property
    def launch(self) -> Launch:
        """The task and attempt that a launch command names."""
        return self.task, self.attempt


class Machine:
    """A machine of any shard. Its tasks are kept only while this controller holds the shard."""

    def __init__(self, name: str, record: MachineRecord, stamp: int, now: float) -> None:
        self.name = name
        self.record = record
        self.stamp = stamp
        self.first_seen_at = now
        self.machine_type: MachineType | None = None
        self.price_class = 0
        self.reset(now)
        # Images (GB), most recently used last; and how many tasks wait for which image.
        self.images: OrderedDict[str, float] = OrderedDict()
        self.fetching: dict[str, int] = {}
        # How often jobs failed here since a task last completed.
        self.failures_by_job: dict[str, int] = {}
        self.faulty = False
        self.return_due_at: float | None = None
        self.committing = False
        self.next_return_try_at = -1e9
        # When it reported to a peer; was redirected, or reported here, as another's machine.
        self.peer_report_at = self.redirected_at = self.foreign_report_at = -1e9
        # (session, seq) of its newest report received while another controller held it.
        self.foreign_report_order = (0, 0)
        self.relaying = False
        # The provisioner wants to return it: no array tasks are placed on it until then.
        self.drain_until = -1e9

    def reset(self, now: float) -> None:
        """Forget the worker's reports, because this controller gained or lost the shard."""
        self.session = 0
        self.seq = 0
        self.worker_token = 0
        self.ended_session = -1
        self.tasks_known = False
        self.ever_reported = False
        # See `Reachability`: last /hello report, last answered report, and that answer's token.
        self.last_hello_seq = 0
        self.answered_seq = 0
        self.answered_token = 0
        self.confirmed_token = 0
        self.session_started_at = 0.0
        self.missed_answer_count = 0
        self.unreachable_since: float | None = None
        self.unanswered_until = -1e9
        # Commands from before the worker restarted may carry tokens up to this one.
        self.fence_token = 0
        self.show_request_open = False
        self.show_requested_at = -1e9
        self.addr = self.record.addr
        self.last_report_at = self.last_answer_at = self.idle_since = now
        self.spot_notice = False
        self.tasks: dict[str, Placement] = {}
        # Reported tasks that are not this shard's: (task, attempt) to state, to be stopped.
        self.unknown_tasks: dict[tuple[str, int], str] = {}
        # The task list as last reported, and whether the same list again needs no action.
        self.last_task_list = b""
        self.quiescent = False
        # A handover to another shard is or may be in progress: nothing is started on it.
        self.handing_over = False
        self.used = [0.0, 0.0, 0.0]
        self.open_call_count = 0
        # What was sent by an earlier holder or to an earlier session is refused by the worker.
        self.launches = LaunchTracker()

    def free_room(self) -> tuple[float, float, float]:
        """Return the CPUs, GPUs and memory (GB) not taken by placements."""
        kind = self.machine_type
        if kind is None:
            return 0.0, 0.0, 0.0
        cpus, gpus, memory_gb = self.used
        return kind.cpus - cpus, kind.gpus - gpus, kind.memory_gb - memory_gb

    def count_room(self, spec: Job, sign: float) -> None:
        """Add (sign 1) or subtract (sign -1) the room of one task."""
        self.used[0] += sign * spec.cpus
        self.used[1] += sign * spec.gpus
        self.used[2] += sign * spec.memory_gb

    @property
    def accepts_tasks(self) -> bool:
        """New tasks may be placed on the machine."""
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
        """The machine runs tasks whose jobs are unknown here."""
        return bool(self.unknown_tasks) and any(
            state != worker_protocol.EXITED for state in self.unknown_tasks.values()
        )

    @property
    def empty(self) -> bool:
        """The machine provably has no task (none may arrive), and no command to it is open."""
        return (
            self.tasks_known
            and not self.tasks
            and not self.unknown_tasks
            and not self.open_call_count
        )


class Shard:
    """A shard that this controller holds."""

    def __init__(self, name: str, term: int, now: float) -> None:
        self.name = name
        self.term = term
        self.held_since = now
        self.attempts = 0
        # Machines of the shard that have not reported since this controller took it over.
        self.unreported_machines: set[str] = set()
        self.yielding = False

    def next_attempt(self) -> int:
        """Return an unused attempt number: the term in the high bits, a counter in the low ones."""
        self.attempts += 1
        return (self.term << 20) | self.attempts

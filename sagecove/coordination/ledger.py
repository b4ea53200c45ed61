"""Keeps counts of what tasks and claims take in each shard held here.

The ledger is the one place where a placement, a claim or a change of what is known about a machine
changes these counts: what teams' tasks take, what their claims will take, which machines run tasks
that are not known, and which jobs have tasks in a shard. Each change updates the counts and a
scheduling pass never recomputes them; `coordination.ledger_check` recomputes all of them as a
check.

Amounts are integers in millionths: sums of floats would drift as tens of thousands of tasks come
and go, and limits must hold exactly.
"""

from __future__ import annotations

from typing import Protocol

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.model import (
    LAUNCH_SENT,
    MILLIONTHS_PER_UNIT,
    ROOM_EPSILON,
    JobRun,
    Machine,
    Placement,
    Shard,
    to_millionths,
)
from sagecove.protocol import workers as worker_protocol

# CPUs, and GPUs, counted for a machine whose type is not known yet: more than any limit.
UNKNOWN_TYPE_RESOURCE_COUNT = 1_000_000_000

# States in which a task may be waiting for its image.
FETCHING_STATES = (LAUNCH_SENT, worker_protocol.PULLING)

CpusGpus = tuple[float, float]


class DirtyMarker(Protocol):
    """Records which jobs have changed."""

    def mark_dirty(self, job: JobRun) -> None:
        """Make the next pass examine the job."""


class ClaimObserver(Protocol):
    """Keeps what teams claim across all shards."""

    def update_job(self, job: JobRun) -> None:
        """Update the totals after a job's claims may have changed."""

    def remove_job(self, job: JobRun) -> None:
        """Remove the claims of a job that has ended."""


class LedgerContext(BaseContext, Protocol):
    """Interface that the ledger requires of its owner."""

    held_shards: dict[str, Shard]
    machines_by_shard: dict[str, dict[str, Machine]]

    @property
    def backlog(self) -> DirtyMarker:
        """The unfinished jobs, sorted by whether a pass must examine them."""

    @property
    def claim_totals(self) -> ClaimObserver:
        """Return what teams claim across all shards."""


class ShardAccount:
    """Counts of one shard. Amounts are [CPUs, GPUs] in millionths."""

    def __init__(self) -> None:
        # By team: what its tasks take on machines whose tasks are all known.
        self.used: dict[str, list[int]] = {}
        # By team: what all of the shard's claims will take, including those being written.
        self.claimed: dict[str, list[int]] = {}
        # Capacity of machines whose tasks are not all known, by name, and its total. All of it
        # counts as used by every team.
        self.unknown_machines: dict[str, tuple[int, int]] = {}
        self.unknown_total = [0, 0]
        # Jobs that take room on the shard's machines, with the number of their tasks there.
        self.jobs: dict[str, tuple[JobRun, int]] = {}
        # Machines that are not full, and tasks that are being stopped, by name.
        self.with_room: dict[str, Machine] = {}
        self.stopping: dict[str, Placement] = {}

    def count_tasks(self, job: JobRun, count: int, machine_known: bool) -> None:
        """Count `count` more tasks of a job, or fewer if negative.

        `machine_known`: all tasks of their machine are known. Otherwise the whole machine counts.
        """
        entry = self.jobs.get(job.id)
        total = count + (entry[1] if entry is not None else 0)
        if total:
            self.jobs[job.id] = job, total
        else:
            self.jobs.pop(job.id, None)
        if machine_known:
            _add_tasks(self.used, job, count)

    def set_unknown_machine(self, name: str, capacity: tuple[int, int] | None) -> None:
        """Count a machine's capacity as used by every team, or no longer with None."""
        before = self.unknown_machines.pop(name, (0, 0))
        after = capacity if capacity is not None else (0, 0)
        self.unknown_total[0] += after[0] - before[0]
        self.unknown_total[1] += after[1] - before[1]
        if capacity is not None:
            self.unknown_machines[name] = capacity


class Ledger:
    """The counts of all shards held here."""

    def __init__(self, owner: LedgerContext) -> None:
        self.owner = owner
        self.accounts: dict[str, ShardAccount] = {}

    # -- queries --------------------------------------------------------------------------------

    def used(self, shard: str, team: str) -> CpusGpus:
        """Return an upper bound of what a team's tasks take on a shard's machines (CPUs, GPUs)."""
        amount = self.used_millionths(shard, team)
        return amount[0] / MILLIONTHS_PER_UNIT, amount[1] / MILLIONTHS_PER_UNIT

    def used_millionths(self, shard: str, team: str) -> tuple[int, int]:
        """Return the upper bound of `used` in millionths."""
        account = self.accounts[shard]
        amount = account.used.get(team, (0, 0))
        return amount[0] + account.unknown_total[0], amount[1] + account.unknown_total[1]

    def known_used_millionths(self, shard: str, team: str) -> tuple[int, int]:
        """Return what a team's tasks take on a shard's machines with known tasks, in millionths."""
        amount = self.accounts[shard].used.get(team, (0, 0))
        return amount[0], amount[1]

    def claimed(self, shard: str, team: str) -> CpusGpus:
        """Return what a shard's claims of a team will take (CPUs, GPUs)."""
        amount = self.claimed_millionths(shard, team)
        return amount[0] / MILLIONTHS_PER_UNIT, amount[1] / MILLIONTHS_PER_UNIT

    def claimed_millionths(self, shard: str, team: str) -> tuple[int, int]:
        """Return the amount of `claimed` in millionths."""
        amount = self.accounts[shard].claimed.get(team, (0, 0))
        return amount[0], amount[1]

    def jobs_with_tasks(self, shard: str) -> list[JobRun]:
        """Return the jobs that take room on a shard's machines."""
        account = self.accounts.get(shard)
        return [job for job, _ in account.jobs.values()] if account is not None else []

    def machines_with_room(self, shard: str) -> list[Machine]:
        """Return the machines of a shard that accept tasks and are not full.

        A pass need not look for room on any others.
        """
        account = self.accounts.get(shard)
        if account is None:
            return []
        return [machine for machine in account.with_room.values() if machine.accepts_tasks]

    def stopping_placements(self, shard: str) -> list[Placement]:
        """Return the tasks on a shard's machines that are being stopped."""
        account = self.accounts.get(shard)
        return list(account.stopping.values()) if account is not None else []

    # -- placements -----------------------------------------------------------------------------

    def add_placement(self, machine: Machine, placement: Placement) -> None:
        """Add a task that is, or may be, on a machine from now on."""
        job = placement.job
        assert job is not None
        machine.quiescent = False
        machine.tasks[placement.task] = placement
        machine.count_room(job.spec, 1)
        placement.in_ledger = True
        image = job.spec.image
        if placement.state in FETCHING_STATES and image not in machine.images:
            placement.fetching = True
            machine.fetching[image] = machine.fetching.get(image, 0) + 1
        job.add_placement(placement)
        account = self.accounts.get(machine.record.shard)
        if account is not None:
            account.count_tasks(job, 1, machine.name not in account.unknown_machines)
            _update_room(account, machine)
        self.owner.backlog.mark_dirty(job)

    def set_task_state(self, placement: Placement, state: str) -> None:
        """Set a task's state as reported; an exited task takes no room."""
        job = placement.job
        assert job is not None
        if placement.state == worker_protocol.TASK_RUNNING:
            job.running_count -= placement.in_ledger
        placement.state = state
        placement.machine.quiescent = False
        if state == worker_protocol.TASK_RUNNING:
            job.running_count += placement.in_ledger
        if state not in FETCHING_STATES:
            _stop_waiting_for_image(placement)
        if state == worker_protocol.EXITED:
            self._release(placement)

    def mark_stopping(self, placement: Placement) -> None:
        """Note that a task is being stopped, so that its room will become free."""
        placement.machine.quiescent = False
        account = self.accounts.get(placement.machine.record.shard)
        if account is not None and placement.in_ledger:
            account.stopping[placement.task] = placement
        if placement.job is not None:
            self.owner.backlog.mark_dirty(placement.job)

    def remove_placement(self, machine: Machine, placement: Placement) -> None:
        """Remove a task from a machine's list."""
        machine.quiescent = False
        if machine.tasks.get(placement.task) is placement:
            del machine.tasks[placement.task]
        self._release(placement)

    def _release(self, placement: Placement) -> None:
        """Drop a task that is known to be gone, or that another holder keeps track of."""
        job = placement.job
        if job is not None and self._uncount(placement, job):
            job.remove_placement(placement)
            self.owner.backlog.mark_dirty(job)

    def _uncount(self, placement: Placement, job: JobRun) -> bool:
        """Stop counting a task's room. Return False if it was not counted."""
        if not placement.in_ledger:
            return False
        if placement.state == worker_protocol.TASK_RUNNING:
            job.running_count -= 1
        placement.in_ledger = False
        _stop_waiting_for_image(placement)
        machine = placement.machine
        machine.count_room(job.spec, -1)
        account = self.accounts.get(machine.record.shard)
        if account is not None:
            account.count_tasks(job, -1, machine.name not in account.unknown_machines)
            if account.stopping.get(placement.task) is placement:
                del account.stopping[placement.task]
            _update_room(account, machine)
        return True

    # -- machines -------------------------------------------------------------------------------

    def update_machine(self, machine: Machine) -> None:
        """Update the counts after a change of a machine's type or of what is known of its tasks."""
        shard = self.owner.held_shards.get(machine.record.shard)
        account = self.accounts.get(machine.record.shard)
        if shard is None or account is None:
            return
        name = machine.name
        _update_room(account, machine)
        in_shard = self.owner.machines_by_shard.get(shard.name, {}).get(name) is machine
        if not in_shard:
            account.with_room.pop(name, None)
        tasks_unknown = in_shard and (
            name in shard.unreported_machines or machine.runs_unknown_tasks
        )
        if not tasks_unknown and name not in account.unknown_machines:
            return
        were_unknown = name in account.unknown_machines
        machine_type = machine.machine_type
        capacity = (
            (to_millionths(machine_type.cpus), to_millionths(machine_type.gpus))
            if machine_type is not None
            else (
                UNKNOWN_TYPE_RESOURCE_COUNT * MILLIONTHS_PER_UNIT,
                UNKNOWN_TYPE_RESOURCE_COUNT * MILLIONTHS_PER_UNIT,
            )
        )
        account.set_unknown_machine(name, capacity if tasks_unknown else None)
        if were_unknown == tasks_unknown:
            return
        for placement in machine.tasks.values():
            if placement.in_ledger and placement.job is not None:
                _add_tasks(account.used, placement.job, -1 if tasks_unknown else 1)

    def detach_machine(self, machine: Machine) -> None:
        """Stop counting a machine that is about to go to another shard, and its tasks.

        The tasks stay placed for their jobs: nothing shows that they have ended, and they must not
        start twice.
        """
        for placement in machine.tasks.values():
            if placement.job is not None:
                self._uncount(placement, placement.job)
        account = self.accounts.get(machine.record.shard)
        if account is not None:
            account.set_unknown_machine(machine.name, None)
            account.with_room.pop(machine.name, None)

    # -- shards ---------------------------------------------------------------------------------

    def open_shard(self, shard: Shard, jobs: list[JobRun]) -> None:
        """Start counting for a shard that is now held; its machines' tasks are not known yet."""
        self.accounts[shard.name] = ShardAccount()
        for machine in self.owner.machines_by_shard.get(shard.name, {}).values():
            self.update_machine(machine)
        for job in jobs:
            self.update_claims(job)

    def close_shard(self, shard: str, jobs: list[JobRun]) -> None:
        """Drop the counts of a shard that is no longer held, and its machines' tasks."""
        for machine in self.owner.machines_by_shard.get(shard, {}).values():
            for placement in machine.tasks.values():
                self._release(placement)
        self.accounts.pop(shard, None)
        for job in jobs:
            if job.ledger_claim_counts is not None:
                job.ledger_claim_counts.pop(shard, None)

    # -- claims ---------------------------------------------------------------------------------

    def update_claims(self, job: JobRun) -> None:
        """Update the counts after a job's claims (also pending ones) or finished tasks changed."""
        if self.owner.jobs.get(job.id) is not job:
            # The job has ended: its tasks still on machines take room, but claim nothing.
            return
        self.owner.claim_totals.update_job(job)
        if job.claims or job.claiming is not None or job.ledger_claim_counts:
            for shard, account in self.accounts.items():
                bits = job.claimed(shard)
                if job.claiming is not None and job.claiming[0] == shard:
                    # What a claim being written needs must not be given back meanwhile.
                    bits |= job.claiming[1]
                self._set_claim_count(job, shard, account, bits.bit_count())
        self.owner.backlog.mark_dirty(job)

    def remove_job(self, job: JobRun) -> None:
        """Remove the claims of a job that has ended."""
        self.owner.claim_totals.remove_job(job)
        for shard, account in self.accounts.items():
            self._set_claim_count(job, shard, account, 0)

    @staticmethod
    def _set_claim_count(job: JobRun, shard: str, account: ShardAccount, count: int) -> None:
        before = job.ledger_claim_counts.get(shard, 0) if job.ledger_claim_counts is not None else 0
        if count == before:
            return
        if job.ledger_claim_counts is None:
            job.ledger_claim_counts = {}
        job.ledger_claim_counts[shard] = count
        if not count:
            del job.ledger_claim_counts[shard]
        _add_tasks(account.claimed, job, count - before)


def _update_room(account: ShardAccount, machine: Machine) -> None:
    """Update whether a machine has room."""
    room = machine.free_room()
    if room[0] > ROOM_EPSILON and room[2] > ROOM_EPSILON:
        account.with_room[machine.name] = machine
    else:
        account.with_room.pop(machine.name, None)


def _stop_waiting_for_image(placement: Placement) -> None:
    """Note that a task no longer waits for its image."""
    if placement.fetching and placement.job is not None:
        placement.fetching = False
        fetching, image = placement.machine.fetching, placement.job.spec.image
        fetching[image] -= 1
        if not fetching[image]:
            del fetching[image]


def _add_tasks(amounts: dict[str, list[int]], job: JobRun, count: int) -> None:
    """Add the resources of `count` tasks of a job to its team's amount."""
    amount = amounts.get(job.spec.team)
    if amount is None:
        amount = amounts[job.spec.team] = [0, 0]
    amount[0] += count * to_millionths(job.spec.cpus)
    amount[1] += count * to_millionths(job.spec.gpus)

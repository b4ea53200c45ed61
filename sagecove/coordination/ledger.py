"""The one place where a placement, a claim or what is known of a machine changes the books.

For each shard held here: what teams' tasks take, what their claims will take, whose machines cannot
be told yet, and which jobs have tasks there. Kept up to date by each change, never recounted in a
pass; `coordination.ledger_check` counts all of it anew, as a check.

Amounts are kept in millionths, as integers: sums of decimals that come and go by the ten thousand
would drift, and a limit is a rule.
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
from sagecove.protocol import workers as w

# What a machine of a type not known yet may hold (CPUs, GPUs): more than any limit.
ANYTHING = 1_000_000_000

# A task in these states may be waiting for its image.
FETCHING = (LAUNCH_SENT, w.PULLING)

Pair = tuple[float, float]


class Stirred(Protocol):
    """Who wants to know that something about a job has changed."""

    def mark_dirty(self, job: JobRun) -> None:
        """A pass should look at the job again."""


class Noting(Protocol):
    """Who keeps what teams claim in all shards."""

    def noted(self, job: JobRun) -> None:
        """A job's claims may have changed."""

    def over(self, job: JobRun) -> None:
        """A job is over."""


class Books(BaseContext, Protocol):
    """What the ledger asks of its surroundings."""

    held_shards: dict[str, Shard]
    machines_by_shard: dict[str, dict[str, Machine]]

    @property
    def backlog(self) -> Stirred:
        """Jobs, sorted by whether a pass must look at them."""

    @property
    def claim_totals(self) -> Noting:
        """What teams claim in all shards."""


class Account:
    """The books of one shard. Amounts are [CPUs, GPUs] in millionths."""

    def __init__(self) -> None:
        # By team: what its tasks take on machines whose task lists are known.
        self.used: dict[str, list[int]] = {}
        # By team: what all of the shard's claims will take, those under way included.
        self.claimed: dict[str, list[int]] = {}
        # Machines whose tasks are not known, by name, and what they have together: it counts for
        # every team.
        self.unsure: dict[str, tuple[int, int]] = {}
        self.whole = [0, 0]
        # Jobs that take room on the shard's machines: the job and the number of its tasks.
        self.jobs: dict[str, tuple[JobRun, int]] = {}
        # Machines that are not full, and tasks that are on their way out, by name.
        self.free: dict[str, Machine] = {}
        self.stopping: dict[str, Placement] = {}

    def use(self, job: JobRun, count: int, sure: bool) -> None:
        """So many more tasks (or fewer) of a job take room here."""
        have = self.jobs.get(job.id)
        left = count + (have[1] if have is not None else 0)
        if left:
            self.jobs[job.id] = job, left
        else:
            self.jobs.pop(job.id, None)
        if sure:
            _add(self.used, job, count)

    def doubt(self, name: str, room: tuple[int, int] | None) -> None:
        """What a machine has counts for every team; with None it no longer does."""
        before = self.unsure.pop(name, (0, 0))
        after = room if room is not None else (0, 0)
        self.whole[0] += after[0] - before[0]
        self.whole[1] += after[1] - before[1]
        if room is not None:
            self.unsure[name] = room


class Ledger:
    """The books of all shards held here."""

    def __init__(self, owner: Books) -> None:
        self.owner = owner
        self.accounts: dict[str, Account] = {}

    # -- answers --------------------------------------------------------------------------------

    def used(self, shard: str, team: str) -> Pair:
        """An upper bound of what a team's tasks take on a shard's machines (CPUs, GPUs)."""
        have = self.used_parts(shard, team)
        return have[0] / MILLIONTHS_PER_UNIT, have[1] / MILLIONTHS_PER_UNIT

    def used_parts(self, shard: str, team: str) -> tuple[int, int]:
        """The same in millionths."""
        account = self.accounts[shard]
        have = account.used.get(team, (0, 0))
        return have[0] + account.whole[0], have[1] + account.whole[1]

    def known_parts(self, shard: str, team: str) -> tuple[int, int]:
        """What a team's tasks take on machines of a shard whose tasks are known, in millionths."""
        have = self.accounts[shard].used.get(team, (0, 0))
        return have[0], have[1]

    def claimed(self, shard: str, team: str) -> Pair:
        """What a shard's claims of a team will take (CPUs, GPUs)."""
        have = self.claimed_parts(shard, team)
        return have[0] / MILLIONTHS_PER_UNIT, have[1] / MILLIONTHS_PER_UNIT

    def claimed_parts(self, shard: str, team: str) -> tuple[int, int]:
        """The same in millionths."""
        have = self.accounts[shard].claimed.get(team, (0, 0))
        return have[0], have[1]

    def jobs_with_tasks(self, shard: str) -> list[JobRun]:
        """Jobs that take room on a shard's machines."""
        account = self.accounts.get(shard)
        return [job for job, _ in account.jobs.values()] if account is not None else []

    def machines_with_room(self, shard: str) -> list[Machine]:
        """Machines of a shard that may be given tasks and are not full: all that a pass need look
        at for room."""
        account = self.accounts.get(shard)
        if account is None:
            return []
        return [machine for machine in account.free.values() if machine.accepts_tasks]

    def stopping_placements(self, shard: str) -> list[Placement]:
        """Tasks on a shard's machines that are on their way out."""
        account = self.accounts.get(shard)
        return list(account.stopping.values()) if account is not None else []

    # -- placements -----------------------------------------------------------------------------

    def add_placement(self, machine: Machine, placement: Placement) -> None:
        """A task is, or may be, on a machine from now on."""
        job = placement.job
        assert job is not None
        machine.quiescent = False
        machine.tasks[placement.task] = placement
        machine.count_room(job.spec, 1)
        placement.in_ledger = True
        image = job.spec.image
        if placement.state in FETCHING and image not in machine.images:
            placement.fetching = True
            machine.fetching[image] = machine.fetching.get(image, 0) + 1
        job.add_placement(placement)
        account = self.accounts.get(machine.record.shard)
        if account is not None:
            account.use(job, 1, machine.name not in account.unsure)
            _note_room(account, machine)
        self.owner.backlog.mark_dirty(job)

    def set_task_state(self, placement: Placement, state: str) -> None:
        """A task's state is known to be another: when it has exited it takes no room."""
        job = placement.job
        assert job is not None
        if placement.state == w.TASK_RUNNING:
            job.running_count -= placement.in_ledger
        placement.state = state
        placement.machine.quiescent = False
        if state == w.TASK_RUNNING:
            job.running_count += placement.in_ledger
        if state not in FETCHING:
            _fetched(placement)
        if state == w.EXITED:
            self._out(placement)

    def mark_stopping(self, placement: Placement) -> None:
        """A task is on its way out: what it holds will be free."""
        placement.machine.quiescent = False
        account = self.accounts.get(placement.machine.record.shard)
        if account is not None and placement.in_ledger:
            account.stopping[placement.task] = placement
        if placement.job is not None:
            self.owner.backlog.mark_dirty(placement.job)

    def remove_placement(self, machine: Machine, placement: Placement) -> None:
        """A task is off a machine's list."""
        machine.quiescent = False
        if machine.tasks.get(placement.task) is placement:
            del machine.tasks[placement.task]
        self._out(placement)

    def _out(self, placement: Placement) -> None:
        """A task is known to be gone, or is another holder's to know of."""
        job = placement.job
        if job is not None and self._uncount(placement, job):
            job.remove_placement(placement)
            self.owner.backlog.mark_dirty(job)

    def _uncount(self, placement: Placement, job: JobRun) -> bool:
        """A task takes no room in the books any more; False if it took none before."""
        if not placement.in_ledger:
            return False
        if placement.state == w.TASK_RUNNING:
            job.running_count -= 1
        placement.in_ledger = False
        _fetched(placement)
        machine = placement.machine
        machine.count_room(job.spec, -1)
        account = self.accounts.get(machine.record.shard)
        if account is not None:
            account.use(job, -1, machine.name not in account.unsure)
            if account.stopping.get(placement.task) is placement:
                del account.stopping[placement.task]
            _note_room(account, machine)
        return True

    # -- machines -------------------------------------------------------------------------------

    def update_machine(self, machine: Machine) -> None:
        """Whether all tasks on a machine are known, or its type, may have changed."""
        shard = self.owner.held_shards.get(machine.record.shard)
        account = self.accounts.get(machine.record.shard)
        if shard is None or account is None:
            return
        name = machine.name
        _note_room(account, machine)
        here = self.owner.machines_by_shard.get(shard.name, {}).get(name) is machine
        if not here:
            account.free.pop(name, None)
        unsure = here and (name in shard.unreported_machines or machine.runs_unknown_tasks)
        if not unsure and name not in account.unsure:
            return
        was = name in account.unsure
        kind = machine.machine_type
        room = (
            (to_millionths(kind.cpus), to_millionths(kind.gpus))
            if kind is not None
            else (ANYTHING * MILLIONTHS_PER_UNIT, ANYTHING * MILLIONTHS_PER_UNIT)
        )
        account.doubt(name, room if unsure else None)
        if was == unsure:
            return
        for placement in machine.tasks.values():
            if placement.in_ledger and placement.job is not None:
                _add(account.used, placement.job, -1 if unsure else 1)

    def detach_machine(self, machine: Machine) -> None:
        """A machine is about to be another shard's: here it and its tasks count for nothing. They
        stay their jobs' tasks: nothing shows that they are gone, and they must not start twice."""
        for placement in machine.tasks.values():
            if placement.job is not None:
                self._uncount(placement, placement.job)
        account = self.accounts.get(machine.record.shard)
        if account is not None:
            account.doubt(machine.name, None)
            account.free.pop(machine.name, None)

    # -- shards ---------------------------------------------------------------------------------

    def open_shard(self, shard: Shard, jobs: list[JobRun]) -> None:
        """A shard is held from now on; nothing is known of its machines' tasks."""
        self.accounts[shard.name] = Account()
        for machine in self.owner.machines_by_shard.get(shard.name, {}).values():
            self.update_machine(machine)
        for job in jobs:
            self.update_claims(job)

    def close_shard(self, shard: str, jobs: list[JobRun]) -> None:
        """A shard is held no longer: its books, and its machines' tasks, are forgotten."""
        for machine in self.owner.machines_by_shard.get(shard, {}).values():
            for placement in machine.tasks.values():
                self._out(placement)
        self.accounts.pop(shard, None)
        for job in jobs:
            if job.ledger_claim_counts is not None:
                job.ledger_claim_counts.pop(shard, None)

    # -- claims ---------------------------------------------------------------------------------

    def update_claims(self, job: JobRun) -> None:
        """A job's claims, its finished tasks or a claim under way may have changed."""
        if self.owner.jobs.get(job.id) is not job:
            # Over: what is still on machines is in the way, but claims nothing.
            return
        self.owner.claim_totals.noted(job)
        if job.claims or job.claiming is not None or job.ledger_claim_counts:
            for name, account in self.accounts.items():
                bits = job.claimed(name)
                if job.claiming is not None and job.claiming[0] == name:
                    # A claim under way: what it needs must not be given back meanwhile.
                    bits |= job.claiming[1]
                self._book(job, name, account, bits.bit_count())
        self.owner.backlog.mark_dirty(job)

    def remove_job(self, job: JobRun) -> None:
        """A job is over: it claims nothing."""
        self.owner.claim_totals.over(job)
        for name, account in self.accounts.items():
            self._book(job, name, account, 0)

    @staticmethod
    def _book(job: JobRun, name: str, account: Account, count: int) -> None:
        before = job.ledger_claim_counts.get(name, 0) if job.ledger_claim_counts is not None else 0
        if count == before:
            return
        if job.ledger_claim_counts is None:
            job.ledger_claim_counts = {}
        job.ledger_claim_counts[name] = count
        if not count:
            del job.ledger_claim_counts[name]
        _add(account.claimed, job, count - before)


def _note_room(account: Account, machine: Machine) -> None:
    """A machine may have become full, or may no longer be."""
    free = machine.free_room()
    if free[0] > ROOM_EPSILON and free[2] > ROOM_EPSILON:
        account.free[machine.name] = machine
    else:
        account.free.pop(machine.name, None)


def _fetched(placement: Placement) -> None:
    """A task waits for no image any more."""
    if placement.fetching and placement.job is not None:
        placement.fetching = False
        fetching, image = placement.machine.fetching, placement.job.spec.image
        fetching[image] -= 1
        if not fetching[image]:
            del fetching[image]


def _add(table: dict[str, list[int]], job: JobRun, count: int) -> None:
    """Count tasks of a job in (or out) for its team."""
    have = table.get(job.spec.team)
    if have is None:
        have = table[job.spec.team] = [0, 0]
    have[0] += count * to_millionths(job.spec.cpus)
    have[1] += count * to_millionths(job.spec.gpus)

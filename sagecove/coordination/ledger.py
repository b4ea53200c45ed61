"""The one place where a placement, a claim or what is known of a machine changes the books.

For each shard held here: what teams' tasks take, what their claims will take, whose machines cannot
be told yet, and which jobs have tasks there. Kept up to date by each change, never recounted in a
pass; `coordination.recount` counts all of it anew, as a check.

Amounts are kept in millionths, as integers: sums of decimals that come and go by the ten thousand
would drift, and a limit is a rule.
"""

from __future__ import annotations

from typing import Protocol

from sagecove.coordination.model import EPS, PARTS, SENT, JobRun, Machine, Placement, Shard, parts
from sagecove.coordination.ports import Clock
from sagecove.protocol import workers as w

# What a machine of a type not known yet may hold (CPUs, GPUs): more than any limit.
ANYTHING = 1_000_000_000

# A task in these states may be waiting for its image.
FETCHING = (SENT, w.PULLING)

Pair = tuple[float, float]


class Stirred(Protocol):
    """Who wants to know that something about a job has changed."""

    def stir(self, job: JobRun) -> None:
        """A pass should look at the job again."""


class Noting(Protocol):
    """Who keeps what teams claim in all shards."""

    def noted(self, job: JobRun) -> None:
        """A job's claims may have changed."""

    def over(self, job: JobRun) -> None:
        """A job is over."""


class Books(Clock, Protocol):
    """What the ledger asks of its surroundings."""

    held: dict[str, Shard]
    by_shard: dict[str, dict[str, Machine]]

    @property
    def backlog(self) -> Stirred:
        """Jobs, sorted by whether a pass must look at them."""

    @property
    def standing(self) -> Noting:
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
        return have[0] / PARTS, have[1] / PARTS

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
        return have[0] / PARTS, have[1] / PARTS

    def claimed_parts(self, shard: str, team: str) -> tuple[int, int]:
        """The same in millionths."""
        have = self.accounts[shard].claimed.get(team, (0, 0))
        return have[0], have[1]

    def running(self, shard: str) -> list[JobRun]:
        """Jobs that take room on a shard's machines."""
        account = self.accounts.get(shard)
        return [job for job, _ in account.jobs.values()] if account is not None else []

    def free(self, shard: str) -> list[Machine]:
        """Machines of a shard that may be given tasks and are not full: all that a pass need look
        at for room."""
        account = self.accounts.get(shard)
        if account is None:
            return []
        return [machine for machine in account.free.values() if machine.open]

    def stopping(self, shard: str) -> list[Placement]:
        """Tasks on a shard's machines that are on their way out."""
        account = self.accounts.get(shard)
        return list(account.stopping.values()) if account is not None else []

    # -- placements -----------------------------------------------------------------------------

    def put(self, machine: Machine, placement: Placement) -> None:
        """A task is, or may be, on a machine from now on."""
        job = placement.job
        assert job is not None
        machine.settled = False
        machine.tasks[placement.task] = placement
        machine.take(job.spec, 1)
        placement.counted = True
        image = job.spec.image
        if placement.state in FETCHING and image not in machine.images:
            placement.fetching = True
            machine.fetching[image] = machine.fetching.get(image, 0) + 1
        job.add(placement)
        account = self.accounts.get(machine.record.shard)
        if account is not None:
            account.use(job, 1, machine.name not in account.unsure)
            _note_room(account, machine)
        self.owner.backlog.stir(job)

    def state(self, placement: Placement, state: str) -> None:
        """A task's state is known to be another: when it has exited it takes no room."""
        job = placement.job
        assert job is not None
        if placement.state == w.TASK_RUNNING:
            job.running -= placement.counted
        placement.state = state
        placement.machine.settled = False
        if state == w.TASK_RUNNING:
            job.running += placement.counted
        if state not in FETCHING:
            _fetched(placement)
        if state == w.EXITED:
            self._out(placement)

    def stop(self, placement: Placement) -> None:
        """A task is on its way out: what it holds will be free."""
        placement.machine.settled = False
        account = self.accounts.get(placement.machine.record.shard)
        if account is not None and placement.counted:
            account.stopping[placement.task] = placement
        if placement.job is not None:
            self.owner.backlog.stir(placement.job)

    def drop(self, machine: Machine, placement: Placement) -> None:
        """A task is off a machine's list."""
        machine.settled = False
        if machine.tasks.get(placement.task) is placement:
            del machine.tasks[placement.task]
        self._out(placement)

    def _out(self, placement: Placement) -> None:
        """A task is known to be gone, or is another holder's to know of."""
        job = placement.job
        if job is not None and self._uncount(placement, job):
            job.remove(placement)
            self.owner.backlog.stir(job)

    def _uncount(self, placement: Placement, job: JobRun) -> bool:
        """A task takes no room in the books any more; False if it took none before."""
        if not placement.counted:
            return False
        if placement.state == w.TASK_RUNNING:
            job.running -= 1
        placement.counted = False
        _fetched(placement)
        machine = placement.machine
        machine.take(job.spec, -1)
        account = self.accounts.get(machine.record.shard)
        if account is not None:
            account.use(job, -1, machine.name not in account.unsure)
            if account.stopping.get(placement.task) is placement:
                del account.stopping[placement.task]
            _note_room(account, machine)
        return True

    # -- machines -------------------------------------------------------------------------------

    def look(self, machine: Machine) -> None:
        """Whether all tasks on a machine are known, or its type, may have changed."""
        shard = self.owner.held.get(machine.record.shard)
        account = self.accounts.get(machine.record.shard)
        if shard is None or account is None:
            return
        name = machine.name
        _note_room(account, machine)
        here = self.owner.by_shard.get(shard.name, {}).get(name) is machine
        if not here:
            account.free.pop(name, None)
        unsure = here and (name in shard.unknown or machine.murky)
        if not unsure and name not in account.unsure:
            return
        was = name in account.unsure
        kind = machine.kind
        room = (
            (parts(kind.cpus), parts(kind.gpus))
            if kind is not None
            else (ANYTHING * PARTS, ANYTHING * PARTS)
        )
        account.doubt(name, room if unsure else None)
        if was == unsure:
            return
        for placement in machine.tasks.values():
            if placement.counted and placement.job is not None:
                _add(account.used, placement.job, -1 if unsure else 1)

    def moved(self, machine: Machine) -> None:
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

    def opened(self, shard: Shard, jobs: list[JobRun]) -> None:
        """A shard is held from now on; nothing is known of its machines' tasks."""
        self.accounts[shard.name] = Account()
        for machine in self.owner.by_shard.get(shard.name, {}).values():
            self.look(machine)
        for job in jobs:
            self.claims(job)

    def closed(self, shard: str, jobs: list[JobRun]) -> None:
        """A shard is held no longer: its books, and its machines' tasks, are forgotten."""
        for machine in self.owner.by_shard.get(shard, {}).values():
            for placement in machine.tasks.values():
                self._out(placement)
        self.accounts.pop(shard, None)
        for job in jobs:
            if job.booked is not None:
                job.booked.pop(shard, None)

    # -- claims ---------------------------------------------------------------------------------

    def claims(self, job: JobRun) -> None:
        """A job's claims, its finished tasks or a claim under way may have changed."""
        if self.owner.jobs.get(job.id) is not job:
            # Over: what is still on machines is in the way, but claims nothing.
            return
        self.owner.standing.noted(job)
        if job.claims or job.claiming is not None or job.booked:
            for name, account in self.accounts.items():
                bits = job.claimed(name)
                if job.claiming is not None and job.claiming[0] == name:
                    # A claim under way: what it needs must not be given back meanwhile.
                    bits |= job.claiming[1]
                self._book(job, name, account, bits.bit_count())
        self.owner.backlog.stir(job)

    def over(self, job: JobRun) -> None:
        """A job is over: it claims nothing."""
        self.owner.standing.over(job)
        for name, account in self.accounts.items():
            self._book(job, name, account, 0)

    @staticmethod
    def _book(job: JobRun, name: str, account: Account, count: int) -> None:
        before = job.booked.get(name, 0) if job.booked is not None else 0
        if count == before:
            return
        if job.booked is None:
            job.booked = {}
        job.booked[name] = count
        if not count:
            del job.booked[name]
        _add(account.claimed, job, count - before)


def _note_room(account: Account, machine: Machine) -> None:
    """A machine may have become full, or may no longer be."""
    free = machine.free()
    if free[0] > EPS and free[2] > EPS:
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
    have[0] += count * parts(job.spec.cpus)
    have[1] += count * parts(job.spec.gpus)

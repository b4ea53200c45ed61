"""Room for a job: what its team holds back for it, what is withheld, whom it stops."""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil

from sagecove.coordination.claims.candidates import Candidate, find_candidates
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.interfaces import MachineCommands, OwnerContext, ShardQueries
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import (
    ROOM_EPSILON,
    JobRun,
    Machine,
    Placement,
    Shard,
    fixed_precedence,
)
from sagecove.coordination.placement import (
    RoomByMachine,
    add_promised,
    fills_most_of_machine,
    machine_allowed,
    machine_suits,
    tasks_fitting,
    unpromised_room,
)
from sagecove.coordination.preemption_policy import PreemptionPolicy, need
from sagecove.protocol.cloud import MachineType

# Boots of a machine after which a gang waits for long.
LONG_BOOTS = 1.5


class Preemptor:
    """Makes room, or says how much could be made."""

    def __init__(
        self,
        desk: OwnerContext,
        ground: PassState,
        ledger: Ledger,
        limits: TeamLimits,
        stopping: PreemptionPolicy,
        workers: MachineCommands,
        shards: ShardQueries,
    ) -> None:
        self.desk = desk
        self.shards = shards
        self.ledger = ledger
        self.limits = limits
        self.stopping = stopping
        self.workers = workers
        self.ground = ground
        # CPUs that teams gave back lately, and when that was.
        self.given: dict[str, float] = {}
        self.given_at = 0.0

    def withhold(
        self, now: float, shard: Shard, machines: list[Machine], ordered: list[JobRun]
    ) -> dict[str, JobRun]:
        """While a job waits whose task takes most of a machine, arrays leave its room free on the
        machines it may use: it would only have to stop them again. Not for good for one that the
        fleet could not hold, nor for one that waits for its team's limit."""
        out: dict[str, JobRun] = {}
        for job in ordered:
            if not job.gang or job.placed or not (job.unclaimed or job.placeable(shard.name)):
                continue
            if not self.allowed(job) or not (self.long_waiting(now, job) or self._young(now, job)):
                continue
            for machine in machines:
                kind = machine.machine_type
                if kind is None or machine.name in out or not machine_allowed(job.spec, machine):
                    continue
                if fills_most_of_machine(job.spec, kind):
                    out[machine.name] = job
        return out

    def allowed(self, job: JobRun) -> bool:
        """Its team's limit has room for what a gang waits for. One that waits for its team keeps no
        room from others: beside idle machines they waited for as long as the team's other work ran,
        which may be for good."""
        lack = job.unclaimed.bit_count()
        return self.limits.claimable_anywhere(job.spec, lack) >= lack

    def hold_back(self, now: float, shard: Shard, job: JobRun) -> None:
        """A job waits to be claimed as a whole: what comes after it in its team leaves it room
        within the team's limit, and tasks of lower priority are stopped if that is not enough.

        Each holder stops its part of what lacks; claims of what was stopped are given back.
        """
        spec = job.spec
        held = self.add_held(job, job.unclaimed.bit_count())
        if job.gang and self.long_waiting(now, job):
            _hold(self.ground.held_long, job, job.unclaimed.bit_count())
        if (
            not self.ground.making
            or now - job.first_seen_at < 2 * self.ground.poll_s / 3
            or now < job.trim_after
        ):
            return
        spare = self.limits.unclaimed(spec.team)
        # Of either resource: at a limit of GPUs alone nothing was ever stopped for a service.
        nodes = len(self.desk.settings.nodes)
        lack = [max(h - s, 0.0) / nodes for h, s in zip(held, spare, strict=True)]
        if not _lacks(lack):
            return
        victims = [
            p
            for other in self.ledger.jobs_with_tasks(shard.name)
            if other.array and other.spec.team == spec.team and other.priority < job.priority
            if (lack[0] > ROOM_EPSILON and other.spec.cpus)
            or (lack[1] > ROOM_EPSILON and other.spec.gpus)
            for p in other.placed.values()
            if p.takes_room and p.stop_grace_s is None and p.machine.record.shard == shard.name
        ]
        victims.sort(key=lambda p: -p.started_at)
        for p in victims:
            if not _lacks(lack):
                break
            assert p.job is not None
            lack = [lack[0] - p.job.spec.cpus, lack[1] - p.job.spec.gpus]
            job.trim_after = now + 4 * self.ground.poll_s
            self.workers.stop_task(p, p.job.grace_s, job.id)

    def keep_limit(self, shard: str) -> None:
        """A limit was lowered below what runs: the last started of the lowest standing stops."""
        for team, (cpus, gpus) in self.limits.excess_use(shard).items():
            running = [
                p
                for other in self.ledger.jobs_with_tasks(shard)
                if other.spec.team == team
                for p in other.placed.values()
                if p.takes_room and p.machine.record.shard == shard
            ]
            over = [cpus, gpus]
            # First what is on its way out already.
            running.sort(key=lambda p: (p.stop_grace_s is None, _last(p)))
            for p in running:
                assert p.job is not None
                if not any(
                    over[n] > ROOM_EPSILON and (p.job.spec.cpus, p.job.spec.gpus)[n] > 0
                    for n in (0, 1)
                ):
                    continue
                over[0] -= p.job.spec.cpus
                over[1] -= p.job.spec.gpus
                if p.stop_grace_s is None:
                    self.workers.stop_task(p, p.job.grace_s, "limit")

    def add_held(self, job: JobRun, count: int) -> list[float]:
        """Hold back what tasks of a job need of its team's limit; all that its team holds back."""
        return _hold(self.ground.held_back, job, count)

    def long_waiting(self, now: float, job: JobRun) -> bool:
        """A job waits for longer than machines of its own would take to boot: smaller ones of its
        standing no longer go ahead of it."""
        return not self._young(now, job) and self.shards.fleet_can_hold(job)

    def _young(self, now: float, job: JobRun) -> bool:
        """Machines of its own may still be booting."""
        return now - job.first_seen_at < gang_long_wait_s(self.desk.machine_types.values())

    def limited(self, job: JobRun, wanted: int, claimed: bool = False) -> int:
        """How many tasks of an array may be claimed (or, claimed already, placed) beside what is
        held back. Only what the array itself takes matters: gangs that wait for their team's GPUs
        kept its arrays from CPUs that nobody used. Gangs may go ahead of larger ones for a while,
        but not for good: at its team's limit one was passed by as long as smaller ones came."""
        if job.service or (job.gang and claimed):
            # What a gang has claimed is its own: two at their team's limit waited for each other,
            # one for the other's claim to end, that one for room within the limit.
            return wanted
        table = self.ground.held_back if job.array else self.ground.held_long
        held = table.get(job.spec.team)
        if held is None:
            return wanted
        left = self.limits.unclaimed(job.spec.team)
        for n, each in enumerate((job.spec.cpus, job.spec.gpus)):
            if each <= 0 or held[n] <= 0:
                continue
            if held[n] > left[n] + ROOM_EPSILON:
                return 0
            if not claimed:
                wanted = min(wanted, int((left[n] - held[n] + ROOM_EPSILON) / each))
        return wanted

    def make_room(
        self,
        now: float,
        job: JobRun,
        count: int,
        machines: list[Machine],
        promised: RoomByMachine,
        most_loss: float | None = None,
    ) -> int:
        """Stop tasks that this job may displace; how many of its tasks will then fit. With
        `most_loss`: beside its image alone, for all of `count` or none, and losing no more than so
        many CPU seconds for each."""
        making = 0
        spec = job.spec
        rank = self.stopping.rank(job)
        if self.ground.no_room_by_preemption.known(job, rank) or not self.ground.stoppable(job):
            return 0
        # What ends by itself is not stopped as well.
        count -= self.ground.coming(job)
        if count <= 0:
            return 0
        where = self.ground.candidates(job, machines)
        found = find_candidates(now, job, count, where, promised, self.stopping, most_loss)
        if job.within_guarantee and not job.service:
            found = self._in_proportion(now, found)
        if not found and most_loss is None:
            self.ground.no_room_by_preemption.add(job, rank)
        if (job.gang or most_loss is not None) and sum(c.tasks for c in found) < count:
            return 0
        for candidate in found:
            if making >= count:
                break
            tasks = min(candidate.tasks, count - making)
            making += tasks
            name = candidate.machine.name
            add_promised(promised, name, spec, tasks)
            job.reserved[name] = job.reserved.get(name, 0) + tasks
            job.reserved_until = now + 2 * self.desk.settings.params.workers.report_s + 10.0
            for p in candidate.victims:
                assert p.job is not None
                team = p.job.spec.team
                self.given[team] = self.given.get(team, 0.0) + p.job.spec.cpus
                self.stopping.stopped(p)
                self.workers.stop_task(p, p.job.grace_s, job.id)
        return making

    def _in_proportion(self, now: float, candidates: list[Candidate]) -> list[Candidate]:
        """Who borrows gives back, in proportion to what it borrows beyond its guarantee by the
        account that all controllers have: not whoever has lost least by being stopped. Among one
        team's tasks that still decides."""
        if now - self.given_at > self.ground.poll_s:
            # By now what was stopped is no longer claimed.
            self.given.clear()
        self.given_at = now
        by_team: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            largest = max(
                candidate.victims, key=lambda p: need(p.job)[0] if p.job else 0.0, default=None
            )
            team = largest.job.spec.team if largest is not None and largest.job is not None else ""
            by_team.setdefault(team, []).append(candidate)
        out = by_team.pop("", [])
        if len(by_team) < 2:
            return out + [c for group in by_team.values() for c in group]
        borrowed = {
            team: max(1e-6, self.limits.claim_totals.borrowing_ratio(team)) for team in by_team
        }
        given = {team: self.given.get(team, 0.0) for team in by_team}
        while by_team:
            team = min(by_team, key=lambda t: ((given[t] + _stops(by_team[t][0])) / borrowed[t], t))
            given[team] += _stops(by_team[team][0])
            out.append(by_team[team].pop(0))
            if not by_team[team]:
                del by_team[team]
        return out

    def count_fitting_by_preemption(self, job: JobRun, count: int, promised: RoomByMachine) -> int:
        """How many tasks would fit if others were stopped for them (nothing is stopped yet)."""
        making = 0
        spec = job.spec
        rank = self.stopping.rank(job)
        if self.ground.no_room_by_preemption.known(job, rank) or not self.ground.stoppable(job):
            return 0
        zones: dict[str, int] = {}
        count -= self.ground.coming(job)
        if count <= 0:
            return 0
        count += ceil(self.ground.pledged / max(spec.cpus, 0.1))
        yielding = self.ground.yielding(job)
        free = self.ledger.machines_with_room(self.ground.around) if job.claimed_whole else []
        for machine in self.ground.candidates(job, free):
            if making >= count:
                break
            more = yielding.get(machine.name)
            if (
                (more is None and not job.claimed_whole)
                or not machine.accepts_tasks
                or not machine_suits(job, machine)
            ):
                continue
            cpus, gpus, memory = unpromised_room(machine, promised)
            if more is not None:
                cpus, gpus, memory = cpus + more[0], gpus + more[1], memory + more[2]
            fitting = tasks_fitting(spec, (cpus, gpus, memory))
            if fitting >= 1:
                # Of an array one claim takes all that a machine can give, or nine controllers
                # compete for the job's record many times over.
                more_here = min(fitting, count) if job.array or job.gang else 1
                zone = machine.record.zone if spec.one_zone else ""
                zones[zone] = zones.get(zone, 0) + more_here
                making = min(max(zones.values()), count)
        if not making:
            self.ground.no_room_by_preemption.add(job, rank)
        return max(0, making - ceil(self.ground.pledged / max(spec.cpus, 0.1)))


def gang_long_wait_s(types: Iterable[MachineType]) -> float:
    """After how long a gang waits for long (seconds)."""
    return LONG_BOOTS * max((t.boot_s for t in types), default=0.0)


def _hold(table: dict[str, list[float]], job: JobRun, count: int) -> list[float]:
    """Count what tasks of a job need to what its team holds back; all of that."""
    held = table.setdefault(job.spec.team, [0.0, 0.0])
    held[0] += count * job.spec.cpus
    held[1] += count * job.spec.gpus
    return held


def _lacks(amounts: list[float]) -> bool:
    """There is something of either resource."""
    return any(amount > ROOM_EPSILON for amount in amounts)


def _last(p: Placement) -> tuple[bool, bool, int, float]:
    """The order in which tasks are stopped when their team's limit is lowered."""
    assert p.job is not None
    first = fixed_precedence(p.job)
    return not first[0], not first[1], -first[2], -p.started_at


def _stops(candidate: Candidate) -> float:
    """CPUs that are stopped for a candidate."""
    return sum(p.job.spec.cpus for p in candidate.victims if p.job is not None)

"""Preempts tasks to make room for a job, and holds back room and team limits for waiting jobs."""

from __future__ import annotations

from math import ceil

from sagecove.coordination.claims.candidates import Candidate, find_candidates
from sagecove.coordination.claims.gang_waits import GangWaits
from sagecove.coordination.claims.kept_room import KEEP_ROOM_S
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.interfaces import MachineCommands, OwnerContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import ROOM_EPSILON, JobRun, Machine, Placement, Shard
from sagecove.coordination.placement import (
    RoomByMachine,
    add_promised,
    machine_suits,
    tasks_fitting,
    unpromised_room,
)
from sagecove.coordination.precedence import fixed_precedence
from sagecove.coordination.preemption_policy import PreemptionPolicy, task_resources
from sagecove.coordination.zone_rules import tasks_allowed_by_zone


class Preemptor:
    """Frees room for jobs by preemption, or computes how much could be freed."""

    def __init__(
        self,
        context: OwnerContext,
        state: PassState,
        ledger: Ledger,
        limits: TeamLimits,
        policy: PreemptionPolicy,
        workers: MachineCommands,
        waits: GangWaits,
    ) -> None:
        self.context = context
        self.waits = waits
        self.ledger = ledger
        self.limits = limits
        self.policy = policy
        self.workers = workers
        self.state = state
        # CPUs preempted lately by team, and when.
        self.reclaimed_cpus: dict[str, float] = {}
        self.reclaimed_at = 0.0

    def hold_back_for(self, now: float, shard: Shard, job: JobRun) -> None:
        """Hold back room in the team's limit for a job that waits to be claimed as a whole, and
        stop the team's tasks of lower priority if the limit has too little left.

        Each shard's holder stops its part of what lacks; the claims of stopped tasks are released.
        Nothing is stopped for a job that the fleet can't hold, or that has not begun with the limit
        that was freed: the stopped tasks would begin again and be stopped again.
        """
        spec = job.spec
        held = self.add_held_back(job, job.unclaimed.bit_count())
        if job.gang and self.waits.waits_long(now, job):
            _add_resources(self.state.held_back_long_by_team, job, job.unclaimed.bit_count())
        waited_s = now - job.first_seen_at
        if (
            not self.state.preemption_due
            or not 2 * self.state.poll_s / 3 <= waited_s < KEEP_ROOM_S
            or now < job.trim_after
            or not self.waits.shards.fleet_can_hold(job)
        ):
            return
        spare = self.limits.unclaimed(spec.team)
        # Either resource counts: at a limit of GPUs alone nothing was ever stopped for a service.
        nodes = len(self.context.settings.nodes)
        lack = [max(h - s, 0.0) / nodes for h, s in zip(held, spare, strict=True)]
        if not _any_positive(lack):
            return
        victims = [
            placement
            for other in self.ledger.jobs_with_tasks(shard.name)
            if other.array and other.spec.team == spec.team and other.priority < job.priority
            # A victim that comes before the job would take the limit straight back.
            if fixed_precedence(job) < fixed_precedence(other)
            if (lack[0] > ROOM_EPSILON and other.spec.cpus)
            or (lack[1] > ROOM_EPSILON and other.spec.gpus)
            for placement in other.placed.values()
            if placement.takes_room
            and placement.stop_grace_s is None
            and placement.machine.record.shard == shard.name
        ]
        victims.sort(key=lambda placement: -placement.started_at)
        for placement in victims:
            if not _any_positive(lack):
                break
            assert placement.job is not None
            lack = [lack[0] - placement.job.spec.cpus, lack[1] - placement.job.spec.gpus]
            job.trim_after = now + 4 * self.state.poll_s
            self.workers.stop_task(placement, placement.job.grace_s, job.id)

    def enforce_limits(self, shard: str) -> None:
        """Stop tasks of teams above a lowered limit: lowest precedence first, then the latest."""
        for team, (cpus, gpus) in self.limits.excess_use(shard).items():
            running = [
                placement
                for other in self.ledger.jobs_with_tasks(shard)
                if other.spec.team == team
                for placement in other.placed.values()
                if placement.takes_room and placement.machine.record.shard == shard
            ]
            excess = [cpus, gpus]
            # Count tasks that are already stopping first.
            running.sort(
                key=lambda placement: (placement.stop_grace_s is None, _stop_order(placement))
            )
            for placement in running:
                assert placement.job is not None
                if not any(
                    excess[n] > ROOM_EPSILON
                    and (placement.job.spec.cpus, placement.job.spec.gpus)[n] > 0
                    for n in (0, 1)
                ):
                    continue
                excess[0] -= placement.job.spec.cpus
                excess[1] -= placement.job.spec.gpus
                if placement.stop_grace_s is None:
                    self.workers.stop_task(placement, placement.job.grace_s, "limit")

    def add_held_back(self, job: JobRun, count: int) -> list[float]:
        """Hold back the needs of `count` tasks of a job; return all that its team holds back."""
        return _add_resources(self.state.held_back_by_team, job, count)

    def cap(self, job: JobRun, wanted: int, claimed: bool = False) -> int:
        """Cap the tasks of a job to claim (or with `claimed`, to place) at what its team's limit
        has left beside held back amounts. Only resources that the job uses count: gangs waiting
        for GPUs kept their team's arrays from CPUs that nobody used. Gangs may pass larger ones
        for a while, but not for good: at its team's limit one waited for as long as smaller gangs
        came."""
        if job.service or (job.gang and claimed):
            # A gang keeps what it has claimed: two gangs at their team's limit waited for each
            # other, one for the other's claim to end, the other for room within the limit.
            return wanted
        table = self.state.held_back_by_team if job.array else self.state.held_back_long_by_team
        held = table.get(job.spec.team)
        if held is None or not self.state.keeps_room:
            return wanted
        left = self.limits.unclaimed(job.spec.team)
        for resource, each in enumerate((job.spec.cpus, job.spec.gpus)):
            if each <= 0 or held[resource] <= 0:
                continue
            if held[resource] > left[resource] + ROOM_EPSILON:
                return 0
            if not claimed:
                wanted = min(wanted, int((left[resource] - held[resource] + ROOM_EPSILON) / each))
        return wanted

    def make_room(
        self,
        now: float,
        job: JobRun,
        count: int,
        machines: list[Machine],
        promised: RoomByMachine,
        max_loss_cpu_s: float | None = None,
    ) -> int:
        """Preempt tasks for a job, and return how many of its tasks will then fit. With
        `max_loss_cpu_s`: only on machines with its image, for all `count` tasks or none, and with
        at most that loss for each."""
        satisfied_count = 0
        spec = job.spec
        rights = self.policy.rights_key(job)
        if self.state.no_room_by_preemption.covers(job, rights) or not self.state.can_preempt(job):
            return 0
        # Room of tasks that end in time is not freed by preemption as well.
        count -= self.state.ending_soon_count(job)
        if count <= 0:
            return 0
        machines_to_search = self.state.candidate_machines(job, machines)
        found = find_candidates(
            now, job, count, machines_to_search, promised, self.policy, max_loss_cpu_s
        )
        if job.within_guarantee and not job.service:
            found = self._order_by_borrowing(now, found)
        if not found and max_loss_cpu_s is None:
            self.state.no_room_by_preemption.add(job, rights)
        if (job.gang or max_loss_cpu_s is not None) and sum(c.tasks for c in found) < count:
            return 0
        for candidate in found:
            if satisfied_count >= count:
                break
            tasks = min(candidate.tasks, count - satisfied_count)
            satisfied_count += tasks
            name = candidate.machine.name
            add_promised(promised, name, spec, tasks)
            job.reserved[name] = job.reserved.get(name, 0) + tasks
            job.reserved_until = now + 2 * self.context.settings.params.workers.report_s + 10.0
            for placement in candidate.victims:
                assert placement.job is not None
                team = placement.job.spec.team
                self.reclaimed_cpus[team] = (
                    self.reclaimed_cpus.get(team, 0.0) + placement.job.spec.cpus
                )
                self.policy.note_stop(placement)
                self.workers.stop_task(placement, placement.job.grace_s, job.id)
        return satisfied_count

    def _order_by_borrowing(self, now: float, candidates: list[Candidate]) -> list[Candidate]:
        """Order candidates so that teams give back in proportion to what they borrow beyond their
        guarantees, by the totals that all controllers share, and not whichever team loses least.
        Within a team the order by loss stays."""
        if now - self.reclaimed_at > self.state.poll_s:
            # After a poll the preempted tasks are no longer claimed.
            self.reclaimed_cpus.clear()
        self.reclaimed_at = now
        by_team: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            largest = max(
                candidate.victims,
                key=lambda placement: task_resources(placement.job)[0] if placement.job else 0.0,
                default=None,
            )
            team = largest.job.spec.team if largest is not None and largest.job is not None else ""
            by_team.setdefault(team, []).append(candidate)
        out = by_team.pop("", [])
        if len(by_team) < 2:
            return out + [c for group in by_team.values() for c in group]
        borrowed = {
            team: max(1e-6, self.limits.claim_totals.borrowing_ratio(team)) for team in by_team
        }
        reclaimed = {team: self.reclaimed_cpus.get(team, 0.0) for team in by_team}
        while by_team:
            team = min(
                by_team,
                key=lambda t: ((reclaimed[t] + _stopped_cpus(by_team[t][0])) / borrowed[t], t),
            )
            reclaimed[team] += _stopped_cpus(by_team[team][0])
            out.append(by_team[team].pop(0))
            if not by_team[team]:
                del by_team[team]
        return out

    def count_fitting_by_preemption(self, job: JobRun, count: int, promised: RoomByMachine) -> int:
        """Count the tasks that would fit if others were preempted. Preempts nothing."""
        satisfied_count = 0
        spec = job.spec
        rights = self.policy.rights_key(job)
        if self.state.no_room_by_preemption.covers(job, rights) or not self.state.can_preempt(job):
            return 0
        zone_rule = spec.one_zone or spec.spread
        fitting_by_zone: dict[str, int] = {}
        count -= self.state.ending_soon_count(job)
        if count <= 0:
            return 0
        count += ceil(self.state.unplaced_claim_cpus / max(spec.cpus, 0.1))
        reclaimable_room = self.state.reclaimable_room(job)
        free = self.ledger.machines_with_room(self.state.shard_name) if job.claimed_whole else []
        for machine in self.state.candidate_machines(job, free):
            if satisfied_count >= count:
                break
            more = reclaimable_room.get(machine.name)
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
                # One claim of an array takes all that a machine can give; otherwise nine
                # controllers compete for the job's record many times over.
                more_here = min(fitting, count) if job.array or job.gang else 1
                zone = machine.record.zone if zone_rule else ""
                fitting_by_zone[zone] = fitting_by_zone.get(zone, 0) + more_here
                allowed = tasks_allowed_by_zone(job, fitting_by_zone)
                satisfied_count = min(sum(allowed.values()), count)
        if not satisfied_count:
            self.state.no_room_by_preemption.add(job, rights)
        return max(0, satisfied_count - ceil(self.state.unplaced_claim_cpus / max(spec.cpus, 0.1)))


def _add_resources(table: dict[str, list[float]], job: JobRun, count: int) -> list[float]:
    """Add the needs of `count` tasks to their team's entry, and return that entry."""
    held = table.setdefault(job.spec.team, [0.0, 0.0])
    held[0] += count * job.spec.cpus
    held[1] += count * job.spec.gpus
    return held


def _any_positive(amounts: list[float]) -> bool:
    """Return whether any amount is above rounding error."""
    return any(amount > ROOM_EPSILON for amount in amounts)


def _stop_order(placement: Placement) -> tuple[bool, bool, int, float]:
    """Sort key of tasks to stop under a lowered limit: lowest precedence and latest start first."""
    assert placement.job is not None
    first = fixed_precedence(placement.job)
    return not first[0], not first[1], -first[2], -placement.started_at


def _stopped_cpus(candidate: Candidate) -> float:
    """Return the CPUs of the tasks preempted on a candidate."""
    return sum(
        placement.job.spec.cpus for placement in candidate.victims if placement.job is not None
    )

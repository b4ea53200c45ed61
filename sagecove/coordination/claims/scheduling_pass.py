"""The scheduling pass: claims, places and preempts for jobs in order of precedence.

Each pass computes everything anew from the mirror and the machines, so a lost race or a lost answer
needs no special handling: the next pass starts from the state known then.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import groupby

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.claims.claimer import Claimer
from sagecove.coordination.claims.gang_waits import GangWaits
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.claims.placer import Placer
from sagecove.coordination.claims.preemptor import Preemptor
from sagecove.coordination.claims.releaser import Releaser
from sagecove.coordination.claims.results import Results
from sagecove.coordination.claims.withheld_machines import WithheldMachines
from sagecove.coordination.estimates import Estimates
from sagecove.coordination.images import Images
from sagecove.coordination.interfaces import (
    DrainHints,
    FailureJudge,
    MachineCommands,
    OwnerContext,
    ShardQueries,
    SyncRequests,
)
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import ROOM_EPSILON, JobRun, Machine, Shard
from sagecove.coordination.placement import NoRoomCache, RoomByMachine, promise_reserved
from sagecove.coordination.precedence import fixed_precedence, precedence
from sagecove.coordination.preemption_policy import PreemptionPolicy

# Time between two scheduling passes. Up to `JOBS_PER_MIN_INTERVAL_COUNT` open jobs the minimum; it
# grows with more, since a pass then costs more; the maximum is of the order of a tick.
MIN_PASS_INTERVAL_S = 0.08
MAX_PASS_INTERVAL_S = 0.5
JOBS_PER_MIN_INTERVAL_COUNT = 30


class SchedulingPass:
    """Runs scheduling passes over the shards that this controller holds."""

    def __init__(
        self,
        context: OwnerContext,
        ledger: Ledger,
        limits: TeamLimits,
        backlog: Backlog,
        estimates: Estimates,
        failures: FailureJudge,
        policy: PreemptionPolicy,
        workers: MachineCommands,
        shards: ShardQueries,
        sync: SyncRequests,
        peers: DrainHints,
        images: Images,
    ) -> None:
        self.context = context
        self.ledger = ledger
        self.limits = limits
        self.backlog = backlog
        self.estimates = estimates
        self.failures = failures
        self.shards = shards
        self.peers = peers
        self.poll_s = context.settings.poll_interval_s
        self.pass_state = PassState(context, ledger, policy)
        waits = GangWaits(context, shards, limits)
        self.preemptor = Preemptor(context, self.pass_state, ledger, limits, policy, workers, waits)
        self.withheld_machines = WithheldMachines(context, shards, waits, self.pass_state)
        self.releaser = Releaser(context, self.pass_state, sync)
        self.claimer = Claimer(
            *(
                context,
                self.pass_state,
                self.preemptor,
                ledger,
                limits,
                backlog,
                estimates,
                shards,
                sync,
            ),
            images,
        )
        self.placer = Placer(
            context,
            self.pass_state,
            self.preemptor,
            self.releaser,
            self.claimer,
            ledger,
            limits,
            workers,
            images,
        )
        self.results = Results(context, backlog, workers, sync)
        # Number of jobs that the last pass had to look at, resting ones included.
        self.open_job_count = 0

    def interval_s(self) -> float:
        """Return the seconds between two passes."""
        return min(
            MAX_PASS_INTERVAL_S,
            MIN_PASS_INTERVAL_S * max(1.0, self.open_job_count / JOBS_PER_MIN_INTERVAL_COUNT),
        )

    def run(self, now: float) -> None:
        """Run one pass over all shards for which this controller may act."""
        shards = [self.context.held_shards[s] for s in self.shards.active_shards(now)]
        if not shards:
            return
        self.releaser.resolve_unconfirmed()
        self.results.write_finished(now, shards)
        self.results.stop_incomplete_gangs(now)
        dirty_jobs = self._collect_dirty_jobs(shards)
        if not dirty_jobs and not self.backlog.groups:
            return
        # Searching for tasks to preempt is the costly part, so not every pass does it.
        self.pass_state.preemption_due = now >= self.pass_state.preempt_after
        if self.pass_state.preemption_due:
            self.pass_state.preempt_after = now + self.pass_state.poll_s / 4
        for shard in shards:
            self.preemptor.enforce_limits(shard.name)
            promised: RoomByMachine = {}
            # Full machines are left out; preemption finds them by their tasks.
            machines_with_room = self.ledger.machines_with_room(shard.name)
            array_machines = [
                m
                for m in machines_with_room
                if now >= m.drain_until or self.pass_state.open_to_arrays(m)
            ]
            self.pass_state.no_room = NoRoomCache()
            self.pass_state.no_room_by_preemption = NoRoomCache()
            if self.pass_state.preemption_due:
                self.pass_state.scan_running_jobs(shard.name)
            self.pass_state.withheld = self.withheld_machines.choose(
                now, shard, machines_with_room, dirty_jobs
            )
            # DESIGN: prefer fuller machines while some wait to be returned.
            draining = now < self.peers.draining_until.get(shard.name, -1e9)
            self.pass_state.packing = draining or any(not m.tasks for m in machines_with_room)
            # Claimed and unclaimed jobs are handled in one order; otherwise the room for an open
            # claim would go to a job that comes after it.
            self.pass_state.held_back_by_team = {}
            self.pass_state.held_back_long_by_team = {}
            self.pass_state.unplaced_claim_cpus = 0.0
            self.pass_state.requested_room = {}
            has_machines = bool(self.context.machines_by_shard.get(shard.name))
            resting_jobs = (
                self._collect_resting_jobs(now, shard, machines_with_room)
                if has_machines and self.backlog.groups
                else []
            )
            self.pass_state.array_candidates = machines_for_arrays(
                array_machines, dirty_jobs + resting_jobs
            )
            jobs = sorted(dirty_jobs + resting_jobs, key=precedence) if resting_jobs else dirty_jobs
            if has_machines and any(job.durable_state is not None for job in jobs):
                jobs = self._handle_similar_jobs(now, shard, jobs, promised)
            self.pass_state.jobs_with_kept_room.clear()
            self.claimer.count_unclaimed_jobs(jobs)
            reserved = [job for job in jobs if job.reserved]
            current_precedence: object = None
            for job in jobs:
                if reserved and fixed_precedence(job) != current_precedence:
                    current_precedence = fixed_precedence(job)
                    self._keep_reserved_room(reserved, current_precedence, promised)
                machines = array_machines if job.array else machines_with_room
                self.placer.place(now, shard, machines, job, promised)
                if has_machines:
                    self.claimer.try_claim(now, shard, machines, job, promised)
                if not job.array and job.unclaimed and job.claiming is None:
                    self.preemptor.hold_back_for(now, shard, job)

    def _keep_reserved_room(
        self, jobs: list[JobRun], current_precedence: object, promised: RoomByMachine
    ) -> None:
        """Keep room that was freed for one job from other jobs of its precedence. Ten teams that
        claimed their guarantees at once took it from one another, and the last waited until its
        reservation had expired."""
        for job in jobs:
            if fixed_precedence(job) == current_precedence:
                promise_reserved(promised, job)
                self.pass_state.jobs_with_kept_room.add(job.id)

    def _collect_dirty_jobs(self, shards: list[Shard]) -> list[JobRun]:
        """Return the active jobs that the pass may have to act on, by precedence. Jobs
        with nothing to do stop being dirty: most are fully placed, and with thousands of tasks
        looking at each of them would be most of a pass."""
        names = [shard.name for shard in shards]
        found = []
        for job in list(self.backlog.dirty_jobs.values()):
            if self.backlog.nothing_to_do(job, names):
                del self.backlog.dirty_jobs[job.id]
                job.lacks_room_since = None
                continue
            if self.failures.fails_everywhere(job) and not self._may_probe(job):
                # Skip a job that fails everywhere until its next probe.
                continue
            if not (
                len(job.placed) == job.spec.tasks and not job.reserved and not job.unplaceable_since
            ) and (
                job.unclaimed
                or job.reserved
                or job.unplaceable_since
                or any(job.placeable(name) for name in names)
            ):
                if job.array:
                    self.estimates.update_rank(job)
                elif job.service:
                    self.estimates.update_avoided_types(job)
                found.append(job)
            else:
                job.lacks_room_since = None
        self.open_job_count = len(found) + self.backlog.resting_count
        found.sort(key=precedence)
        return found

    def _collect_resting_jobs(
        self, now: float, shard: Shard, machines: list[Machine]
    ) -> list[JobRun]:
        """Return resting jobs that a shard may be able to claim: the first of each group whose
        jobs may have room. Room only shrinks in a pass, so a group without room stays without."""
        max_free = [0.0, 0.0, 0.0]
        for machine in machines:
            for resource, amount in enumerate(machine.free_room()):
                max_free[resource] = max(max_free[resource], amount)
        out: list[JobRun] = []
        for group in self.backlog.groups.values():
            job = group.any_job()
            spec = job.spec
            fits = (
                spec.cpus <= max_free[0] + ROOM_EPSILON
                and spec.gpus <= max_free[1] + ROOM_EPSILON
                and spec.memory_gb <= max_free[2] + ROOM_EPSILON
            )
            if not fits and not (
                self.pass_state.preemption_due and self.pass_state.can_preempt(job)
            ):
                continue
            if self.limits.claimable(shard.name, spec, 1):
                out += self.backlog.first_claimable(group, now)
            elif self.pass_state.preemption_due and self.limits.claimable_anywhere(spec, 1):
                # The first job may lack only a share of the team's limit.
                out += self.backlog.first_claimable(group, now, 1)
        return out

    def _may_probe(self, job: JobRun) -> bool:
        """Return whether a job that fails everywhere is due for another try. Only the controller
        that has judged it faulty probes it."""
        return job.judged_faulty and self.context.now >= job.hold_until and not job.placed

    def _handle_similar_jobs(
        self, now: float, shard: Shard, jobs: list[JobRun], promised: RoomByMachine
    ) -> list[JobRun]:
        """Claim or place runs of similar jobs together, and return the jobs that are left to be
        looked at one by one, in order. Jobs without records of their own come in hundreds that
        are similar."""
        remaining: list[JobRun] = []
        for key, run in groupby(jobs, key=self._similarity_key(shard.name)):
            members = list(run)
            if key is not None and len(members) > 1:
                handle_similar = self.placer.place_similar if key[0] else self.claimer.claim_similar
                members = handle_similar(now, shard, members, promised)
            remaining += members
        return remaining

    def _similarity_key(self, shard: str) -> Callable[[JobRun], tuple[object, ...] | None]:
        """Return a key function: jobs of equal key are planned together, those of None are not."""

        def key(job: JobRun) -> tuple[object, ...] | None:
            spec = job.spec
            if (
                job.durable_state is None
                or job.placed
                or job.failed_on
                or job.judged_faulty
                or job.committing
            ):
                return None
            claimed = shard in job.claims
            if claimed and (job.unplaceable_since or job.reserved or not job.placeable(shard)):
                return None
            if not claimed and job.group_key is None:
                return None
            types = tuple(spec.types) if spec.types is not None else None
            return (
                *(claimed, spec.team, job.priority, types, spec.zone, spec.spot),
                *(spec.cpus, spec.gpus, spec.memory_gb, spec.image),
            )

        return key


def machines_for_arrays(machines: list[Machine], jobs: list[JobRun]) -> list[Machine]:
    """Return machines with room for the smallest task of the arrays among the jobs. Room only
    shrinks in a pass, and when there is much work most machines have none."""
    arrays = [job.spec for job in jobs if job.array]
    if not arrays:
        return machines
    cpus = min(spec.cpus for spec in arrays) - ROOM_EPSILON
    gpus = min(spec.gpus for spec in arrays) - ROOM_EPSILON
    memory = min(spec.memory_gb for spec in arrays) - ROOM_EPSILON
    out = []
    for machine in machines:
        free = machine.free_room()
        if free[0] >= cpus and free[1] >= gpus and free[2] >= memory:
            out.append(machine)
    return out

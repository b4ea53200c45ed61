"""A pass: what may have changed is looked at once, in the order of claims.

Everything here is derived afresh from the mirror and the machines on each pass, so a lost race or
a lost answer needs no special care: the next pass starts from what is then known.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import groupby

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.claims.claimer import Claimer
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.claims.placer import Placer
from sagecove.coordination.claims.preemptor import Preemptor
from sagecove.coordination.claims.releaser import Releaser
from sagecove.coordination.claims.results import Results
from sagecove.coordination.estimates import Estimates
from sagecove.coordination.images import Images
from sagecove.coordination.interfaces import (
    DrainHints,
    FailureJudge,
    MachineCommands,
    MirrorSync,
    OwnerContext,
    ShardQueries,
)
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import (
    ROOM_EPSILON,
    JobRun,
    Machine,
    Shard,
    fixed_precedence,
    precedence,
)
from sagecove.coordination.placement import (
    NoRoomCache,
    RoomByMachine,
    promise_reserved,
)
from sagecove.coordination.preemption_policy import PreemptionPolicy


class SchedulingPass:
    """Claims and placement for the shards held here."""

    def __init__(
        self,
        desk: OwnerContext,
        ledger: Ledger,
        limits: TeamLimits,
        backlog: Backlog,
        learning: Estimates,
        failures: FailureJudge,
        stopping: PreemptionPolicy,
        workers: MachineCommands,
        shards: ShardQueries,
        sync: MirrorSync,
        peers: DrainHints,
        images: Images,
    ) -> None:
        self.desk = desk
        self.ledger = ledger
        self.limits = limits
        self.backlog = backlog
        self.learning = learning
        self.failures = failures
        self.shards = shards
        self.peers = peers
        self.poll_s = desk.settings.poll_s
        self.pass_state = PassState(desk, ledger, stopping)
        self.preemptor = Preemptor(desk, self.pass_state, ledger, limits, stopping, workers, shards)
        self.releaser = Releaser(desk, self.pass_state, sync)
        self.claimer = Claimer(
            *(
                desk,
                self.pass_state,
                self.preemptor,
                ledger,
                limits,
                backlog,
                learning,
                shards,
                sync,
            ),
            images,
        )
        self.placer = Placer(
            desk,
            self.pass_state,
            self.preemptor,
            self.releaser,
            self.claimer,
            ledger,
            limits,
            workers,
            images,
        )
        self.results = Results(desk, backlog, workers, sync)
        # Jobs that the last pass had to look at.
        self.open_job_count = 0

    def run(self, now: float) -> None:
        """One pass."""
        shards = [self.desk.held_shards[s] for s in self.shards.active_shards(now)]
        if not shards:
            return
        self.releaser.repeat()
        self.results.record(now, shards)
        self.results.gangs(now)
        ordered = self._open(shards)
        if not ordered and not self.backlog.groups:
            return
        # Looking for tasks to stop is the costly part: not on every pass.
        self.pass_state.making = now >= self.pass_state.preempt_after
        if self.pass_state.making:
            self.pass_state.preempt_after = now + self.pass_state.poll_s / 4
        for shard in shards:
            self.preemptor.keep_limit(shard.name)
            promised: RoomByMachine = {}
            # What is full has room for nobody; what may be stopped there is found by its tasks.
            every = self.ledger.machines_with_room(shard.name)
            # Machines to be returned take no more tasks of arrays.
            steady = [m for m in every if now >= m.drain_until]
            self.pass_state.no_room = NoRoomCache()
            self.pass_state.no_room_by_preemption = NoRoomCache()
            if self.pass_state.making:
                self.pass_state.scan_running_jobs(shard.name)
            self.pass_state.withheld = self.preemptor.withhold(now, shard, every, ordered)
            # DESIGN: fuller machines are preferred while some await their return.
            draining = now < self.peers.draining_until.get(shard.name, -1e9)
            self.pass_state.packing = draining or any(not m.tasks for m in every)
            # One order for what is claimed and what is not: else the room for a claim that is
            # under way would go to whoever comes after it.
            self.pass_state.held_back = {}
            self.pass_state.held_long = {}
            self.pass_state.pledged = 0.0
            self.pass_state.asked = {}
            there = bool(self.desk.machines_by_shard.get(shard.name))
            rested = self._rested(now, shard, every) if there and self.backlog.groups else []
            self.pass_state.array_candidates = roomy(steady, ordered + rested)
            jobs = sorted(ordered + rested, key=precedence) if rested else ordered
            if there and any(job.durable_state is not None for job in jobs):
                jobs = self._alike(now, shard, jobs, promised)
            self.pass_state.kept.clear()
            self.claimer.note_crowd(jobs)
            reserved = [job for job in jobs if job.reserved]
            order: object = None
            for job in jobs:
                if reserved and fixed_precedence(job) != order:
                    order = fixed_precedence(job)
                    self._keep(reserved, order, promised)
                machines = steady if job.array else every
                self.placer.place(now, shard, machines, job, promised)
                if there:
                    self.claimer.compete(now, shard, machines, job, promised)
                if not job.array and job.unclaimed and job.claiming is None:
                    self.preemptor.hold_back(now, shard, job)

    def _keep(self, jobs: list[JobRun], order: object, promised: RoomByMachine) -> None:
        """Room that was made for one job is not there for another of its standing: ten teams that
        claimed their guarantees at once took it from one another, and the last waited until what
        was reserved for it had lapsed."""
        for job in jobs:
            if fixed_precedence(job) == order:
                promise_reserved(promised, job)
                self.pass_state.kept.add(job.id)

    def _open(self, shards: list[Shard]) -> list[JobRun]:
        """The active jobs that a pass may have to do something for, in order. Most jobs are
        through with placing, and at thousands of tasks looking at each of them is what a pass
        would cost."""
        names = [shard.name for shard in shards]
        found = []
        for job in list(self.backlog.dirty_jobs.values()):
            if self.backlog.through(job, names):
                del self.backlog.dirty_jobs[job.id]
                job.lacks_room_since = None
                continue
            if self.failures.fails_everywhere(job) and not self._may_probe(job):
                # Fails wherever it runs: until its next try it costs nobody anything.
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
                    self.learning.update_rank(job)
                elif job.service:
                    self.learning.update_avoided_types(job)
                found.append(job)
            else:
                job.lacks_room_since = None
        self.open_job_count = len(found) + self.backlog.resting_count
        found.sort(key=precedence)
        return found

    def _rested(self, now: float, shard: Shard, machines: list[Machine]) -> list[JobRun]:
        """Resting jobs that a shard may be able to claim tasks of: the first of each group for one
        of which there may be room. Room only shrinks in a pass, so what has none now has none."""
        most = [0.0, 0.0, 0.0]
        for machine in machines:
            for n, amount in enumerate(machine.free_room()):
                most[n] = max(most[n], amount)
        out: list[JobRun] = []
        for group in self.backlog.groups.values():
            job = group.any_job()
            spec = job.spec
            fits = (
                spec.cpus <= most[0] + ROOM_EPSILON
                and spec.gpus <= most[1] + ROOM_EPSILON
                and spec.memory_gb <= most[2] + ROOM_EPSILON
            )
            if not fits and not (self.pass_state.making and self.pass_state.stoppable(job)):
                continue
            if self.limits.claimable(shard.name, spec, 1):
                out += self.backlog.first(group, now)
            elif self.pass_state.making and self.limits.claimable_anywhere(spec, 1):
                # A share of the limit may be all that the first of them lacks.
                out += self.backlog.first(group, now, 1)
        return out

    def _may_probe(self, job: JobRun) -> bool:
        """It is time for a job that fails everywhere to be tried once more. Others leave that to
        the controller that has seen it fail."""
        return job.judged_faulty and self.desk.now >= job.hold_until and not job.placed

    def _alike(
        self, now: float, shard: Shard, jobs: list[JobRun], promised: RoomByMachine
    ) -> list[JobRun]:
        """Jobs without records of their own come in hundreds that are alike: those that follow one
        another in the order are planned for together. The jobs that are left to be looked at one
        by one, in order."""
        left: list[JobRun] = []
        for key, run in groupby(jobs, key=self._like(shard.name)):
            members = list(run)
            if key is not None and len(members) > 1:
                begin = self.placer.place_alike if key[0] else self.claimer.claim_alike
                members = begin(now, shard, members, promised)
            left += members
        return left

    def _like(self, shard: str) -> Callable[[JobRun], tuple[object, ...] | None]:
        """What jobs have in common that can be planned for together; None for those that can't."""

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


def roomy(machines: list[Machine], jobs: list[JobRun]) -> list[Machine]:
    """Machines with room for the smallest task of the arrays among jobs: in a pass room only
    shrinks, and when work is plenty most machines have none."""
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

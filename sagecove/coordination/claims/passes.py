"""A pass: what may have changed is looked at once, in the order of claims.

Everything here is derived afresh from the mirror and the machines on each pass, so a lost race or
a lost answer needs no special care: the next pass starts from what is then known.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import groupby

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.claims.competing import Competing
from sagecove.coordination.claims.ground import Ground
from sagecove.coordination.claims.making import Making
from sagecove.coordination.claims.placing import Placing
from sagecove.coordination.claims.releasing import Releasing
from sagecove.coordination.claims.results import Results
from sagecove.coordination.images import Images
from sagecove.coordination.learning import Learning
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.limits import Limits
from sagecove.coordination.model import EPS, JobRun, Machine, Shard, precedence, standing
from sagecove.coordination.placement import (
    Futile,
    Room,
    keep_reserved,
)
from sagecove.coordination.ports import Desk, Draining, Halting, Judge, Syncing, Territory
from sagecove.coordination.stopping import Stopping


class Claims:
    """Claims and placement for the shards held here."""

    def __init__(
        self,
        desk: Desk,
        ledger: Ledger,
        limits: Limits,
        backlog: Backlog,
        learning: Learning,
        failures: Judge,
        stopping: Stopping,
        workers: Halting,
        shards: Territory,
        sync: Syncing,
        peers: Draining,
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
        self.ground = Ground(desk, ledger, stopping)
        self.making = Making(desk, self.ground, ledger, limits, stopping, workers, shards)
        self.releasing = Releasing(desk, self.ground, sync)
        self.competing = Competing(
            *(desk, self.ground, self.making, ledger, limits, backlog, learning, shards, sync),
            images,
        )
        self.placing = Placing(
            desk,
            self.ground,
            self.making,
            self.releasing,
            self.competing,
            ledger,
            limits,
            workers,
            images,
        )
        self.results = Results(desk, backlog, workers, sync)
        # Jobs that the last pass had to look at.
        self.open_jobs = 0

    def run(self, now: float) -> None:
        """One pass."""
        shards = [self.desk.held[s] for s in self.shards.acting_shards(now)]
        if not shards:
            return
        self.releasing.repeat()
        self.results.record(now, shards)
        self.results.gangs(now)
        ordered = self._open(shards)
        if not ordered and not self.backlog.groups:
            return
        # Looking for tasks to stop is the costly part: not on every pass.
        self.ground.making = now >= self.ground.make_at
        if self.ground.making:
            self.ground.make_at = now + self.ground.poll_s / 4
        for shard in shards:
            self.making.keep_limit(shard.name)
            promised: Room = {}
            # What is full has room for nobody; what may be stopped there is found by its tasks.
            every = self.ledger.free(shard.name)
            # Machines to be returned take no more tasks of arrays.
            steady = [m for m in every if now >= m.drain_until]
            self.ground.futile = Futile()
            self.ground.futile_making = Futile()
            if self.ground.making:
                self.ground.look_around(shard.name)
            self.ground.withheld = self.making.withhold(now, shard, every, ordered)
            # DESIGN: fuller machines are preferred while some await their return.
            draining = now < self.peers.draining.get(shard.name, -1e9)
            self.ground.packing = draining or any(not m.tasks for m in every)
            # One order for what is claimed and what is not: else the room for a claim that is
            # under way would go to whoever comes after it.
            self.ground.held_back = {}
            self.ground.held_long = {}
            self.ground.pledged = 0.0
            self.ground.asked = {}
            there = bool(self.desk.by_shard.get(shard.name))
            rested = self._rested(now, shard, every) if there and self.backlog.groups else []
            self.ground.roomy = roomy(steady, ordered + rested)
            jobs = sorted(ordered + rested, key=precedence) if rested else ordered
            if there and any(job.home is not None for job in jobs):
                jobs = self._alike(now, shard, jobs, promised)
            self.ground.kept.clear()
            self.competing.note_crowd(jobs)
            reserved = [job for job in jobs if job.reserved]
            order: object = None
            for job in jobs:
                if reserved and standing(job) != order:
                    order = standing(job)
                    self._keep(reserved, order, promised)
                machines = steady if job.array else every
                self.placing.place(now, shard, machines, job, promised)
                if there:
                    self.competing.compete(now, shard, machines, job, promised)
                if not job.array and job.unclaimed and job.claiming is None:
                    self.making.hold_back(now, shard, job)

    def _keep(self, jobs: list[JobRun], order: object, promised: Room) -> None:
        """Room that was made for one job is not there for another of its standing: ten teams that
        claimed their guarantees at once took it from one another, and the last waited until what
        was reserved for it had lapsed."""
        for job in jobs:
            if standing(job) == order:
                keep_reserved(promised, job)
                self.ground.kept.add(job.id)

    def _open(self, shards: list[Shard]) -> list[JobRun]:
        """The active jobs that a pass may have to do something for, in order. Most jobs are
        through with placing, and at thousands of tasks looking at each of them is what a pass
        would cost."""
        names = [shard.name for shard in shards]
        found = []
        for job in list(self.backlog.open.values()):
            if self.backlog.through(job, names):
                del self.backlog.open[job.id]
                job.lacking_since = None
                continue
            if self.failures.suspect(job) and not self._may_probe(job):
                # Fails wherever it runs: until its next try it costs nobody anything.
                continue
            if not (
                len(job.placed) == job.spec.tasks and not job.reserved and not job.stuck_at
            ) and (
                job.unclaimed
                or job.reserved
                or job.stuck_at
                or any(job.placeable(name) for name in names)
            ):
                if job.array:
                    self.learning.rank(job)
                elif job.service:
                    self.learning.settle(job)
                found.append(job)
            else:
                job.lacking_since = None
        self.open_jobs = len(found) + self.backlog.resting
        found.sort(key=precedence)
        return found

    def _rested(self, now: float, shard: Shard, machines: list[Machine]) -> list[JobRun]:
        """Resting jobs that a shard may be able to claim tasks of: the first of each group for one
        of which there may be room. Room only shrinks in a pass, so what has none now has none."""
        most = [0.0, 0.0, 0.0]
        for machine in machines:
            for n, amount in enumerate(machine.free()):
                most[n] = max(most[n], amount)
        out: list[JobRun] = []
        for group in self.backlog.groups.values():
            job = group.any()
            spec = job.spec
            fits = (
                spec.cpus <= most[0] + EPS
                and spec.gpus <= most[1] + EPS
                and spec.memory_gb <= most[2] + EPS
            )
            if not fits and not (self.ground.making and self.ground.stoppable(job)):
                continue
            if self.limits.claimable(shard.name, spec, 1):
                out += self.backlog.first(group, now)
            elif self.ground.making and self.limits.obtainable(spec, 1):
                # A share of the limit may be all that the first of them lacks.
                out += self.backlog.first(group, now, 1)
        return out

    def _may_probe(self, job: JobRun) -> bool:
        """It is time for a job that fails everywhere to be tried once more. Others leave that to
        the controller that has seen it fail."""
        return job.blamed and self.desk.now >= job.hold_until and not job.placed

    def _alike(self, now: float, shard: Shard, jobs: list[JobRun], promised: Room) -> list[JobRun]:
        """Jobs without records of their own come in hundreds that are alike: those that follow one
        another in the order are planned for together. The jobs that are left to be looked at one
        by one, in order."""
        left: list[JobRun] = []
        for key, run in groupby(jobs, key=self._like(shard.name)):
            members = list(run)
            if key is not None and len(members) > 1:
                begin = self.placing.place_alike if key[0] else self.competing.claim_alike
                members = begin(now, shard, members, promised)
            left += members
        return left

    def _like(self, shard: str) -> Callable[[JobRun], tuple[object, ...] | None]:
        """What jobs have in common that can be planned for together; None for those that can't."""

        def key(job: JobRun) -> tuple[object, ...] | None:
            spec = job.spec
            if job.home is None or job.placed or job.errors or job.blamed or job.committing:
                return None
            claimed = shard in job.claims
            if claimed and (job.stuck_at or job.reserved or not job.placeable(shard)):
                return None
            if not claimed and job.alike is None:
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
    cpus = min(spec.cpus for spec in arrays) - EPS
    gpus = min(spec.gpus for spec in arrays) - EPS
    memory = min(spec.memory_gb for spec in arrays) - EPS
    out = []
    for machine in machines:
        free = machine.free()
        if free[0] >= cpus and free[1] >= gpus and free[2] >= memory:
            out.append(machine)
    return out

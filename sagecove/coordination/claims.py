"""Competition for claims, placing claimed tasks, stopping others for them, durable results.

Everything here is derived afresh from the mirror and the machines on each pass, so a lost race or
a lost answer needs no special care: the next pass starts from what is then known.
"""

from __future__ import annotations

import logging
from bisect import bisect_right
from collections.abc import Callable
from itertools import groupby
from typing import TYPE_CHECKING

from sagecove.coordination.model import (
    EPS,
    JobRun,
    Machine,
    Placement,
    Shard,
    precedence,
)
from sagecove.coordination.placement import (
    Futile,
    Room,
    fills_most,
    keep_reserved,
    machine_allowed,
    plan,
    promise,
    room_of,
    slots,
    suits,
    zone_counts,
)
from sagecove.coordination.stopping import largest_victim, may_stop, need
from sagecove.protocol import state as wire
from sagecove.protocol.users import DONE
from sagecove.storage import taskset
from sagecove.storage.records import HOLDER, JOB, OVER, QUOTA, OverRecord, QuotaRecord
from sagecove.storage.store import Outcome, Result

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.claims")

# The paper's batchSize bounds what one poll claims; here: claims under way at one time.
BATCH = 4


class Claims:
    """Claims and placement for the shards held here."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        # DESIGN's pollInterval is 1.5 s with a lease of 20 s: kept as a ratio to the report pace.
        self.poll_s = min(1.5, owner.settings.params.workers.report_s / 2)
        # DESIGN's fetchAhead, 4 s beside a poll of 1.5 s: short tasks are claimed before there is
        # room for them, or an array of thousands would need a write for each handful.
        self.ahead_s = self.poll_s * 8 / 3
        self.record_s = owner.settings.params.workers.lease_s / 4
        self.open_claims = 0
        # Jobs that the last pass had to look at.
        self.open_jobs = 0
        self.make_at = 0.0
        # Of the pass and shard at hand.
        self.making = False
        self.packing = False
        # Machines on which any array of the pass may find room at all; None: not known.
        self.roomy: list[Machine] | None = None
        self.withheld: dict[str, JobRun] = {}
        # Per team: CPUs and GPUs of jobs that wait to be claimed as a whole.
        self.held_back: dict[str, list[float]] = {}
        self.futile = Futile()
        self.futile_making = Futile()
        # Jobs that have tasks running in the shard at hand: what may be stopped at all.
        self.running: list[JobRun] = []
        self.sizes: list[float] = []
        # The shard at hand.
        self.around = ""
        self.yielding: dict[tuple[object, ...], dict[str, list[float]]] = {}
        # By the same keys: CPUs of tasks that are waited for instead, see `Stopping`.
        self.ending: dict[tuple[object, ...], float] = {}
        self.retries: list[tuple[JobRun, Shard, dict[str, int], int]] = []

    def run(self, now: float) -> None:
        """One pass."""
        owner = self.owner
        shards = [owner.held[s] for s in owner.shards.acting_shards(now)]
        if not shards:
            return
        retries, self.retries = self.retries, []
        for job, shard, claims, bits in retries:
            if owner.held.get(shard.name) is not shard:
                # Its term is over, so that it can't be executed any more: were the tasks kept
                # back for it, nobody would ever place them.
                job.releasing &= ~bits
            elif owner.jobs.get(job.id) is job:
                self._write_release(job, shard, claims, bits)
        self._record(now, shards)
        self._gangs(now)
        ordered = self._open(shards)
        if not ordered and not owner.backlog.groups:
            return
        # Looking for tasks to stop is the costly part: not on every pass.
        self.making = now >= self.make_at
        if self.making:
            self.make_at = now + self.poll_s / 4
        for shard in shards:
            promised: Room = {}
            # What is full has room for nobody; what may be stopped there is found by its tasks.
            every = owner.ledger.free(shard.name)
            # Machines to be returned take no more tasks of arrays.
            steady = [m for m in every if now >= m.drain_until]
            self.futile = Futile()
            self.futile_making = Futile()
            if self.making:
                self.look_around(shard.name)
            self.withheld = self._withhold(shard, every, ordered)
            # DESIGN: fuller machines are preferred while some await their return.
            draining = now < owner.peers.draining.get(shard.name, -1e9)
            self.packing = draining or any(not m.tasks for m in every)
            # One order for what is claimed and what is not: else the room for a claim that is
            # under way would go to whoever comes after it.
            self.held_back = {}
            there = bool(owner.by_shard.get(shard.name))
            rested = self._rested(now, shard, every) if there and owner.backlog.groups else []
            self.roomy = _roomy(steady, ordered + rested)
            jobs = sorted(ordered + rested, key=precedence) if rested else ordered
            if there and any(job.home is not None for job in jobs):
                jobs = self._alike(now, shard, jobs, promised)
            for job in jobs:
                machines = steady if job.array else every
                self._place(now, shard, machines, job, promised)
                if there:
                    self._compete(now, shard, machines, job, promised)
                if not job.array and job.unclaimed and job.claiming is None:
                    self._hold_back(now, shard, job)
        for team, name, record in owner.quota.trims(now):
            self._trim(team, owner.held[name], record)

    def _open(self, shards: list[Shard]) -> list[JobRun]:
        """The active jobs that a pass may have to do something for, in order. Most jobs are
        through with placing, and at thousands of tasks looking at each of them is what a pass
        would cost."""
        owner = self.owner
        names = [shard.name for shard in shards]
        found = []
        for job in list(owner.backlog.open.values()):
            if owner.backlog.through(job, names):
                job.lacking_since = None
                continue
            if owner.failures.suspect(job) and not self._may_probe(job):
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
                    owner.learning.rank(job)
                elif job.service:
                    owner.learning.settle(job)
                found.append(job)
            else:
                job.lacking_since = None
        self.open_jobs = len(found) + owner.backlog.resting
        found.sort(key=precedence)
        return found

    def _rested(self, now: float, shard: Shard, machines: list[Machine]) -> list[JobRun]:
        """Resting jobs that a shard may be able to claim tasks of: the first of each group for one
        of which there may be room. Room only shrinks in a pass, so what has none now has none."""
        owner = self.owner
        most = [0.0, 0.0, 0.0]
        for machine in machines:
            for n, amount in enumerate(machine.free()):
                most[n] = max(most[n], amount)
        out: list[JobRun] = []
        for group in owner.backlog.groups.values():
            job = group.any()
            spec = job.spec
            fits = (
                spec.cpus <= most[0] + EPS
                and spec.gpus <= most[1] + EPS
                and spec.memory_gb <= most[2] + EPS
            )
            if not fits and not (self.making and self._stoppable(job)):
                continue
            if owner.quota.claimable(shard.name, spec, 1):
                out += owner.backlog.first(group, now)
        return out

    def _may_probe(self, job: JobRun) -> bool:
        """It is time for a job that fails everywhere to be tried once more. Others leave that to
        the controller that has seen it fail."""
        return job.blamed and self.owner.now >= job.hold_until and not job.placed

    def _alike(self, now: float, shard: Shard, jobs: list[JobRun], promised: Room) -> list[JobRun]:
        """Jobs without records of their own come in hundreds that are alike: those that follow one
        another in the order are planned for together. The jobs that are left to be looked at one
        by one, in order."""
        left: list[JobRun] = []
        for key, run in groupby(jobs, key=self._like(shard.name)):
            members = list(run)
            if key is not None and len(members) > 1:
                begin = self._place_alike if key[0] else self._claim_alike
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

    def _place_alike(
        self, now: float, shard: Shard, jobs: list[JobRun], promised: Room
    ) -> list[JobRun]:
        """Place claimed jobs that are alike, and return those that found no place."""
        owner = self.owner
        first = jobs[0]
        allowed = self._limited(first, owner.quota.places(shard.name, first.spec, len(jobs)))
        if not allowed or self.futile.known(first) or self.roomy is None:
            return jobs
        planned = plan(
            first,
            list(range(allowed)),
            self.roomy,
            owner.random,
            promised,
            self.packing,
            self.withheld,
        )
        for number, machine in planned:
            promise(promised, machine.name, first.spec, -1)
            self._start(now, jobs[number], 0, machine, shard.next_attempt())
        return jobs[len(planned) :]

    def _claim_alike(
        self, now: float, shard: Shard, jobs: list[JobRun], promised: Room
    ) -> list[JobRun]:
        """Claim as many of the jobs that are alike as fit, and return the others."""
        first = jobs[0]
        wanted = self.owner.quota.claimable(shard.name, first.spec, len(jobs))
        wanted = self._limited(first, wanted)
        if not wanted or self.futile.known(first) or self.roomy is None:
            return jobs
        count = len(
            plan(
                first,
                list(range(wanted)),
                self.roomy,
                self.owner.random,
                promised,
                False,
                self.withheld,
            )
        )
        for job in jobs[:count]:
            self.claim(job, shard, 1)
        return jobs[count:]

    # -- results --------------------------------------------------------------------------------

    def _record(self, now: float, shards: list[Shard]) -> None:
        """Make finished tasks durable; end jobs whose last task has."""
        owner = self.owner
        for job in list(owner.backlog.open.values()):
            if not job.fresh or job.committing:
                continue
            shard = next((s for s in shards if job.claims.get(s.name, 0) & job.fresh), None)
            if shard is None:
                continue
            fresh = 0
            for s in shards:
                fresh |= job.claims.get(s.name, 0) & job.fresh
            if job.home is not None:
                job.home.finished(job, shard)
                continue
            fin = job.fin | fresh
            # Tasks of a large array end all the time: their numbers are written together, unless
            # nothing of the job is left to run here. Until then the workers keep them.
            more = any(job.claimed(s.name) for s in shards)
            if more and now - job.recorded_at < self.record_s:
                continue
            job.recorded_at = now
            key = JOB + job.id
            changes: list[wire.Put | wire.Drop]
            if fin == job.every:
                changes = [
                    wire.Drop(key),
                    wire.Put(OVER + job.id, OverRecord(DONE, job.spec.tasks)),
                ]
            else:
                changes = [wire.Put(key, job.with_sets(fin, job.claims))]
            self._write(job, shard, changes)

    def _write(
        self,
        job: JobRun,
        shard: Shard,
        changes: list[wire.Put | wire.Drop],
        extra: list[tuple[str, int]] | None = None,
    ) -> None:
        """Write a job's record, if neither it nor the shard's holder has changed."""
        owner = self.owner
        job.committing = True

        def done(result: Result) -> None:
            job.committing = False
            owner.dirty = True
            if result.outcome is Outcome.CONFLICT:
                job.claim_after = owner.now + owner.random.uniform(0.05, 0.3)
                owner.sync.want_sync()
            elif result.outcome is not Outcome.DONE:
                job.claim_after = owner.now + owner.random.uniform(0.3, 1.0)

        conditions = [(JOB + job.id, job.stamp), (HOLDER + shard.name, shard.term)]
        owner.commit(conditions + (extra or []), changes, done)

    def _trim(self, team: str, shard: Shard, record: QuotaRecord) -> None:
        owner = self.owner
        key = QUOTA + team
        stamp = owner.mirror.stamp(key)
        # Until the outcome is known, the smaller allotment holds here.
        shrink = (stamp, record.shards.get(shard.name, (0.0, 0.0)))
        owner.quota.shrinking[shard.name, team] = shrink
        conditions = [(key, stamp), (HOLDER + shard.name, shard.term)]
        owner.commit(
            conditions,
            [wire.Put(key, record)],
            lambda result: self.trimmed(shard, team, shrink, result),
        )

    def trimmed(
        self, shard: Shard, team: str, shrink: tuple[int, tuple[float, float]], result: Result
    ) -> None:
        """A reduction that surely was not made no longer counts. Another may be under way by
        now, and its caution must not end with this one's failure."""
        shrinking = self.owner.quota.shrinking
        surely_not = result.outcome in (Outcome.REFUSED, Outcome.CONFLICT)
        if surely_not and shrinking.get((shard.name, team)) == shrink:
            del shrinking[shard.name, team]

    # -- gangs ----------------------------------------------------------------------------------

    def _gangs(self, now: float) -> None:
        """A gang that lost a task ends as a whole, and starts anew once all of it is gone."""
        workers = self.owner.workers
        for job in self.owner.backlog.open.values():
            if not job.gang:
                continue
            live = [p for p in job.placed.values() if p.live]
            if not live:
                job.failing = False
                continue
            if any(p.halt is not None for p in live) and not job.failing:
                # An orderly stop: everybody hears of it with the same grace.
                grace = max(p.halt or 0.0 for p in live)
                for p in live:
                    if p.halt is None:
                        workers.halt(p, grace, "gang")
            elif job.failing:
                for p in live:
                    workers.halt(p, 0.0, "gang")

    # -- placing --------------------------------------------------------------------------------

    def look_around(self, shard: str) -> None:
        """Note the smallest job of each standing that is running on a shard's machines (of each
        team, where teams matter): what there is to be stopped at all."""
        seen: dict[tuple[object, ...], JobRun] = {}
        sizes: set[float] = set()
        for job in self.owner.ledger.running(shard):
            key = (job.priority, job.within, "" if job.within else job.spec.team)
            if key not in seen or job.spec.cpus < seen[key].spec.cpus:
                seen[key] = job
            sizes.add(job.spec.cpus)
        self.running = list(seen.values())
        self.sizes = sorted(sizes)
        self.around = shard
        self.yielding.clear()
        self.ending.clear()

    def _stoppable(self, job: JobRun) -> bool:
        """There is anything that the job may displace."""
        return any(may_stop(job, other) for other in self.running)

    def _rights(self, job: JobRun) -> tuple[object, ...]:
        return (
            *self.owner.stopping.rank(job),
            bisect_right(self.sizes, largest_victim(job)),
        )

    def _coming(self, job: JobRun) -> int:
        """Tasks of an array that find room as others end by themselves, soon enough for it."""
        if not job.array:
            return 0
        self._yielding(job)
        return int(self.ending[self._rights(job)] / max(job.spec.cpus, 0.1))

    def _yielding(self, job: JobRun) -> dict[str, list[float]]:
        """Room on machines that is held by what is on its way out or may be stopped for a job.
        Many jobs have the same rights, so it is found once a pass for all of them."""
        key = self._rights(job)
        found = self.yielding.get(key)
        if found is None:
            found = self.yielding[key] = {}
            stopping = self.owner.stopping
            patience = stopping.patience(job)
            going = self.owner.ledger.stopping(self.around)
            ending = 0.0
            for other in self.owner.ledger.running(self.around):
                if not may_stop(job, other):
                    continue
                for p in other.placed.values():
                    if p.halt is not None or p.machine.record.shard != self.around:
                        continue
                    if stopping.worth(patience, other, p):
                        going.append(p)
                    elif stopping.ends_soon(patience, other, p):
                        ending += other.spec.cpus
            self.ending[key] = ending
            for p in going:
                if p.job is not None:
                    room = found.setdefault(p.machine.name, [0.0, 0.0, 0.0])
                    for n, amount in enumerate(need(p.job)):
                        room[n] += amount
        return found

    def _withhold(
        self, shard: Shard, machines: list[Machine], ordered: list[JobRun]
    ) -> dict[str, JobRun]:
        """While a job waits whose task takes most of a machine, arrays leave its room free on the
        machines it may use: it would only have to stop them again."""
        out: dict[str, JobRun] = {}
        for job in ordered:
            if not job.gang or job.placed or not (job.unclaimed or job.placeable(shard.name)):
                continue
            for machine in machines:
                kind = machine.kind
                if kind is None or machine.name in out or not machine_allowed(job.spec, machine):
                    continue
                if fills_most(job.spec, kind):
                    out[machine.name] = job
        return out

    def _hold_back(self, now: float, shard: Shard, job: JobRun) -> None:
        """A job waits to be claimed as a whole: what comes after it in its team leaves it room
        within the team's limit, and tasks of lower priority are stopped if that is not enough.

        Each holder stops its part of what lacks; claims of what was stopped are given back.
        """
        spec = job.spec
        held = self._add_held(job, job.unclaimed.bit_count())
        if not self.making or now - job.seen_at < 2 * self.poll_s / 3 or now < job.trim_after:
            return
        owner = self.owner
        spare = owner.quota.spare(spec.team)
        lack = max(held[0] - spare[0], 0.0) / len(owner.settings.nodes)
        if lack <= 0:
            return
        victims = [
            p
            for other in owner.ledger.running(shard.name)
            if other.array and other.spec.team == spec.team and other.priority < job.priority
            for p in other.placed.values()
            if p.live and p.halt is None and p.machine.record.shard == shard.name
        ]
        victims.sort(key=lambda p: -p.started_at)
        for p in victims:
            if lack <= 0:
                break
            assert p.job is not None
            lack -= p.job.spec.cpus
            job.trim_after = now + 4 * self.poll_s
            owner.workers.halt(p, p.job.grace_s, job.id)

    def _add_held(self, job: JobRun, count: int) -> list[float]:
        """Hold back what tasks of a job need of its team's limit; all that its team holds back."""
        held = self.held_back.setdefault(job.spec.team, [0.0, 0.0])
        held[0] += count * job.spec.cpus
        held[1] += count * job.spec.gpus
        return held

    def _limited(self, job: JobRun, wanted: int) -> int:
        """How many tasks of an array may be claimed or placed beside what is held back."""
        held = self.held_back.get(job.spec.team)
        if held is None or not job.array:
            return wanted
        spare = self.owner.quota.spare(job.spec.team)
        return 0 if held[0] > spare[0] or held[1] > spare[1] else wanted

    def _unreserve(self, job: JobRun, shard: str) -> None:
        for name in [n for n in job.reserved if n in self.owner.by_shard.get(shard, {})]:
            del job.reserved[name]

    def _place(
        self, now: float, shard: Shard, machines: list[Machine], job: JobRun, promised: Room
    ) -> None:
        """Place claimed tasks; make room for them; release those that find none."""
        owner = self.owner
        name = shard.name
        bits = job.placeable(name)
        if not bits:
            job.stuck_at.pop(name, None)
            self._unreserve(job, name)
            return
        if now < job.hold_until or (job.gang and job.placed):
            return
        spec = job.spec
        wanted = bits.bit_count()
        allowed = self._limited(job, owner.quota.places(name, spec, wanted))
        indexes: list[int] = []
        if allowed >= wanted or (allowed > 0 and not job.gang):
            most = 1 if job.blamed and not job.gang else 1000
            indexes = list(taskset.members(taskset.lowest(bits, min(allowed, most))))
        usable = machines if self.roomy is None or not job.array else self.roomy
        if not job.array:
            # An earlier attempt that has exited is still to be removed from some.
            usable = [
                m
                for m in machines
                if not any(p.job is job and not p.live for p in m.tasks.values())
            ]
        planned: list[tuple[int, Machine]] = []
        if indexes and not self.futile.known(job):
            # Services stay long: spread thinly, they would keep every machine from its return.
            packing = self.packing or job.service
            planned = plan(job, indexes, usable, owner.random, promised, packing, self.withheld)
            for _, machine in planned:
                promise(promised, machine.name, spec, -1)
            if len(planned) < len(indexes) and not job.gang and (job.array or usable is machines):
                self.futile.add(job)
        if planned:
            attempt = shard.next_attempt()
            for index, machine in planned:
                self._start(now, job, index, machine, attempt)
        left = wanted - len(planned)
        if not left or (job.blamed and planned) or left <= self.ahead(job):
            job.stuck_at.pop(name, None)
            self._unreserve(job, name)
            return
        if not job.array:
            self._add_held(job, left)
        if now > job.reserved_until:
            job.reserved.clear()
        for _, machine in planned:
            if job.reserved.get(machine.name, 0) > 0:
                job.reserved[machine.name] -= 1
        making = sum(job.reserved.values())
        keep_reserved(promised, job)
        if len(indexes) - len(planned) > making and self.making and not job.blamed:
            making += self._make_room(
                now, job, len(indexes) - len(planned) - making, machines, promised
            )
        since = job.stuck_at.setdefault(name, now)
        if not self.making or making >= left or now - since < self.poll_s or job.committing:
            return
        self._release(now, job, shard)

    def _start(self, now: float, job: JobRun, index: int, machine: Machine, attempt: int) -> None:
        owner = self.owner
        task = f"{job.id}/{index}"
        if task in machine.tasks:
            # An earlier attempt that has exited here is still to be removed.
            return
        placement = Placement(job, index, task, attempt, machine)
        placement.started_at = now
        owner.ledger.put(machine, placement)
        owner.workers.hurry(machine)
        job.attempt = attempt
        log.info(
            "start task=%s attempt=%d machine=%s team=%s waited=%.1f",
            task,
            attempt,
            machine.name,
            job.spec.team,
            owner.wall() - job.at,
        )

    def _make_room(
        self, now: float, job: JobRun, count: int, machines: list[Machine], promised: Room
    ) -> int:
        """Stop tasks that this job may displace; how many of its tasks will then fit."""
        making = 0
        spec = job.spec
        rank = self.owner.stopping.rank(job)
        if self.futile_making.known(job, rank) or not self._stoppable(job):
            return 0
        # What ends by itself is not stopped as well.
        count -= self._coming(job)
        if count <= 0:
            return 0
        patience = self.owner.stopping.patience(job)
        candidates: list[tuple[bool, float, Machine, list[Placement]]] = []
        counts = zone_counts(job)
        for machine in self._candidates(job, machines):
            if not machine.open or not suits(job, machine):
                continue
            if spec.one_zone and counts and machine.record.zone not in counts:
                continue
            if spec.spread and counts.get(machine.record.zone, 0) >= (spec.tasks + 1) // 2:
                continue
            room = list(room_of(machine, promised))
            leaving: list[Placement] = []
            victims: list[Placement] = []
            for p in machine.tasks.values():
                if not p.live or p.job is None:
                    continue
                if p.halt is not None:
                    leaving.append(p)
                elif may_stop(job, p.job) and self.owner.stopping.worth(patience, p.job, p):
                    victims.append(p)
            for p in leaving:
                assert p.job is not None
                room = [r + n for r, n in zip(room, need(p.job), strict=True)]
            victims.sort(key=lambda p: (p.job.priority if p.job else 0, -p.started_at))
            chosen: list[Placement] = []
            loss = 0.0
            while slots(spec, (room[0], room[1], room[2])) < 1 and victims:
                p = victims.pop(0)
                assert p.job is not None
                chosen.append(p)
                loss += (now - p.started_at) * p.job.spec.cpus
                room = [r + n for r, n in zip(room, need(p.job), strict=True)]
            if slots(spec, (room[0], room[1], room[2])) >= 1:
                fetch = job.priority == 3 and spec.image not in machine.images
                candidates.append((fetch, loss, machine, chosen))
        candidates.sort(key=lambda c: (c[0], c[1], c[2].name))
        if not candidates:
            self.futile_making.add(job, rank)
        if job.gang and len(candidates) < count:
            return 0
        for _, _, machine, chosen in candidates:
            if making >= count:
                break
            making += 1
            promise(promised, machine.name, spec)
            job.reserved[machine.name] = job.reserved.get(machine.name, 0) + 1
            job.reserved_until = now + 2 * self.owner.settings.params.workers.report_s + 10.0
            for p in chosen:
                assert p.job is not None
                self.owner.stopping.stopped(p)
                self.owner.workers.halt(p, p.job.grace_s, job.id)
        return making

    def _candidates(self, job: JobRun, machines: list[Machine]) -> list[Machine]:
        """Machines with room, and those on which tasks may be stopped for a job, in the order in
        which they came."""
        owner = self.owner
        names = {m.name for m in machines} | self._yielding(job).keys()
        if job.array:
            names = {n for n in names if owner.now >= owner.machines[n].drain_until}
        return [owner.machines[name] for name in sorted(names)]

    def _release(self, now: float, job: JobRun, shard: Shard) -> None:
        """Give back claims that found no place within a poll (a whole job's only all together)."""
        if job.committing:
            return
        name = shard.name
        bits = job.placeable(name)
        if job.whole and (job.placed or bits != job.claimed(name) or job.limbo.get(name)):
            return
        claims = dict(job.claims)
        claims[name] = claims.get(name, 0) & ~bits
        # What is being released must not be placed: the record is conditional, the room is not.
        job.hold_until = now + 0.5
        job.stuck_at.pop(name, None)
        job.claim_after = now + self.owner.random.uniform(0.5, 1.5) * self.poll_s
        job.releasing |= bits
        if job.home is not None:
            job.home.release(job, shard, bits)
            return
        self._write_release(job, shard, claims, bits)

    def _write_release(self, job: JobRun, shard: Shard, claims: dict[str, int], bits: int) -> None:
        owner = self.owner
        stamp = job.stamp
        job.committing = True

        def done(result: Result) -> None:
            job.committing = False
            owner.dirty = True
            if result.outcome is Outcome.UNKNOWN and job.stamp == stamp:
                # It may be executed late: nothing is placed until a repetition has settled it.
                self.retries.append((job, shard, claims, bits))
                return
            job.releasing &= ~bits
            owner.sync.want_sync()

        conditions = [(JOB + job.id, stamp), (HOLDER + shard.name, shard.term)]
        put = wire.Put(JOB + job.id, job.with_sets(job.fin, claims))
        owner.commit(conditions, [put], done)

    def ahead(self, job: JobRun) -> int:
        """How many tasks of an array will find room soon, as those that run here come to an end.
        Estimates may be far too low: what has run for longer than that does not count."""
        if not job.array or job.blamed or not job.placed:
            return 0
        run = job.spec.estimate_s * self.owner.learning.class_run.get(job.spec.klass, 1.0)
        share = min(1.0, self.ahead_s / max(run, self.poll_s))
        if len(job.placed) * share < 1:
            return 0
        begun = self.owner.now - 2 * run - self.ahead_s
        return int(share * sum(p.started_at >= begun for p in job.placed.values()))

    # -- competing ------------------------------------------------------------------------------

    def fitting(self, job: JobRun, shard: str, machines: list[Machine], promised: Room) -> int:
        """How many unclaimed tasks fit this shard's free room; they are added to `promised`."""
        bits = job.unclaimed
        wanted = self.owner.quota.claimable(shard, job.spec, bits.bit_count())
        wanted = self._limited(job, wanted)
        if job.whole and wanted < bits.bit_count():
            return 0
        if not wanted:
            return 0
        indexes = list(taskset.members(taskset.lowest(bits, min(wanted, 1000))))
        if self.roomy is not None and job.array:
            machines = self.roomy
        count = len(plan(job, indexes, machines, self.owner.random, promised, False, self.withheld))
        if count < len(indexes) and not job.gang:
            self.futile.add(job)
        return count

    def _compete(
        self, now: float, shard: Shard, machines: list[Machine], job: JobRun, promised: Room
    ) -> None:
        owner = self.owner
        if job.claiming is not None and job.claiming[0] == shard.name:
            indexes = list(taskset.members(taskset.lowest(job.claiming[1], 1000)))
            plan(job, indexes, machines, owner.random, promised)
            return
        if self.open_claims >= BATCH and job.home is None:
            return
        if job.committing or now < job.claim_after or now < job.hold_until:
            return
        bits = job.unclaimed
        if not bits or (job.whole and bits != job.every & ~job.fin):
            return
        wanted = bits.bit_count()
        count = 0
        if not self.futile.known(job):
            count = self.fitting(job, shard.name, machines, promised)
        # Of a small array the others should find something, too.
        ahead = min(self.ahead(job), wanted // len(owner.settings.nodes))
        ahead -= job.placeable(shard.name).bit_count()
        if ahead > 0 and not job.whole:
            count = self._limited(
                job, owner.quota.claimable(shard.name, job.spec, min(wanted, count + ahead))
            )
        if job.whole and count < wanted and not job.gang and now - job.seen_at > self.poll_s:
            # A service that must be decided in one place starts with what there is.
            count = wanted if count else 0
        if job.blamed:
            # One task is enough to see; and nothing is stopped for it.
            count = min(count, wanted if job.whole else 1)
        elif self.making and count < wanted and now - job.seen_at > self.poll_s / 3:
            able = self._limited(job, owner.quota.claimable(shard.name, job.spec, wanted))
            if able > count:
                count += self.could_make(job, able - count, promised)
        if not count or (job.whole and count < wanted):
            if job.gang:
                self._gather(job, shard, wanted, machines, promised)
            return
        self.claim(job, shard, taskset.lowest(bits, count))

    def _gather(
        self, job: JobRun, shard: Shard, count: int, machines: list[Machine], promised: Room
    ) -> None:
        """A gang of whole machines does not fit yet. Smaller ones may go ahead of it for as long as
        its own machines take to boot; from then on what is free where it is served waits for it,
        or it might never find its number."""
        owner = self.owner
        boot = max((t.boot_s for t in owner.types.values()), default=0.0)
        if owner.now - job.seen_at < 1.5 * boot or owner.shards.gang_home(job) != shard.name:
            return
        for machine in machines:
            if count <= 0:
                break
            if suits(job, machine) and slots(job.spec, room_of(machine, promised)) > 0:
                promise(promised, machine.name, job.spec)
                count -= 1

    def could_make(self, job: JobRun, count: int, promised: Room) -> int:
        """How many tasks would fit if others were stopped for them (nothing is stopped yet)."""
        making = 0
        spec = job.spec
        rank = self.owner.stopping.rank(job)
        if self.futile_making.known(job, rank) or not self._stoppable(job):
            return 0
        zones: set[str] = set()
        count -= self._coming(job)
        if count <= 0:
            return 0
        yielding = self._yielding(job)
        free = self.owner.ledger.free(self.around) if job.whole else []
        for machine in self._candidates(job, free):
            if making >= count:
                break
            more = yielding.get(machine.name)
            if (more is None and not job.whole) or not machine.open or not suits(job, machine):
                continue
            cpus, gpus, memory = room_of(machine, promised)
            if more is not None:
                cpus, gpus, memory = cpus + more[0], gpus + more[1], memory + more[2]
            if slots(spec, (cpus, gpus, memory)) >= 1:
                if spec.one_zone and zones and machine.record.zone not in zones:
                    continue
                zones.add(machine.record.zone)
                making += 1
        if not making:
            self.futile_making.add(job, rank)
        return making

    def claim(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Claim tasks for a shard, together with the allotment they need."""
        owner = self.owner
        if job.home is not None:
            job.committing = True
            job.claiming = (shard.name, bits)
            owner.backlog.settle(job)
            owner.ledger.claims(job)
            job.home.claim(job, shard, bits)
            return
        made = self.claim_changes(shard, job, bits)
        if made is None:
            job.claim_after = owner.now + self.poll_s / 2
            return
        changes, conditions = made
        self.open_claims += 1
        job.committing = True
        job.claiming = (shard.name, bits)
        owner.backlog.settle(job)
        owner.ledger.claims(job)

        def done(result: Result) -> None:
            job.committing = False
            job.claiming = None
            owner.ledger.claims(job)
            self.open_claims -= 1
            owner.dirty = True
            if result.outcome is Outcome.DONE:
                return
            owner.count("claim_conflicts")
            owner.sync.want_sync()
            job.claim_after = owner.now + owner.random.uniform(0.1, 1.0) * self.poll_s

        conditions += [(JOB + job.id, job.stamp), (HOLDER + shard.name, shard.term)]
        owner.commit(conditions, changes, done)

    def claim_changes(
        self, shard: Shard, job: JobRun, bits: int
    ) -> tuple[list[wire.Put | wire.Drop], list[tuple[str, int]]] | None:
        """Changes and conditions of a claim; None where the team's limit stands against it."""
        owner = self.owner
        claims = dict(job.claims)
        claims[shard.name] = claims.get(shard.name, 0) | bits
        changes: list[wire.Put | wire.Drop] = [
            wire.Put(JOB + job.id, job.with_sets(job.fin, claims))
        ]
        conditions: list[tuple[str, int]] = []
        grown = owner.quota.grown(shard.name, job.spec, bits.bit_count())
        if grown is None:
            return None
        if grown is not owner.quota.record(job.spec.team):
            key = QUOTA + job.spec.team
            changes.append(wire.Put(key, grown))
            conditions.append((key, owner.mirror.stamp(key)))
        return changes, conditions


def _roomy(machines: list[Machine], jobs: list[JobRun]) -> list[Machine]:
    """Machines with room for the smallest task of the arrays among jobs: in a pass room only
    shrinks, and when work is plenty most machines have none."""
    arrays = [job.spec for job in jobs if job.array]
    if not arrays:
        return machines
    cpus = min(spec.cpus for spec in arrays) - EPS
    memory = min(spec.memory_gb for spec in arrays) - EPS
    out = []
    for machine in machines:
        free = machine.free()
        if free[0] >= cpus and free[2] >= memory:
            out.append(machine)
    return out

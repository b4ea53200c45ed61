"""Claimed tasks find their machines."""

from __future__ import annotations

import logging

from sagecove.coordination.claims.claimer import Claimer
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.claims.preemptor import Preemptor
from sagecove.coordination.claims.releaser import Releaser
from sagecove.coordination.images import Images
from sagecove.coordination.interfaces import MachineCommands, OwnerContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import JobRun, Machine, Placement, Shard
from sagecove.coordination.placement import (
    RoomByMachine,
    add_promised,
    plan_placements,
    promise_reserved,
    tasks_fitting,
)
from sagecove.coordination.preemption_policy import need
from sagecove.storage import taskset

log = logging.getLogger("sagecove.claims")

# Jobs that are remembered to have looked for room beside their images.
WARMING_MOST = 1000


class Placer:
    """Places claimed tasks."""

    def __init__(
        self,
        desk: OwnerContext,
        ground: PassState,
        making: Preemptor,
        releasing: Releaser,
        competing: Claimer,
        ledger: Ledger,
        limits: TeamLimits,
        workers: MachineCommands,
        images: Images,
    ) -> None:
        self.desk = desk
        self.images = images
        # Jobs for which room was sought beside their images, and until when they wait for it.
        self.warming: dict[str, float] = {}
        self.ledger = ledger
        self.limits = limits
        self.workers = workers
        self.ground = ground
        self.making = making
        self.releasing = releasing
        self.competing = competing

    def _unreserve(self, job: JobRun, shard: str) -> None:
        for name in [n for n in job.reserved if n in self.desk.machines_by_shard.get(shard, {})]:
            del job.reserved[name]

    def place(
        self,
        now: float,
        shard: Shard,
        machines: list[Machine],
        job: JobRun,
        promised: RoomByMachine,
    ) -> None:
        """Place claimed tasks; make room for them; release those that find none."""
        name = shard.name
        if job.id in self.ground.kept:
            # Kept from others of its standing; its own to take.
            promise_reserved(promised, job, -1)
        bits = job.placeable(name)
        if not bits:
            job.unplaceable_since.pop(name, None)
            self._unreserve(job, name)
            return
        if now < job.hold_until or (job.gang and job.placed):
            promise_reserved(promised, job)
            return
        spec = job.spec
        wanted = bits.bit_count()
        allowed = self.making.limited(job, self.limits.startable(name, spec, wanted), True)
        if allowed < wanted and not job.judged_faulty:
            self.limits.request_share(now, name, job, 0)
        indexes: list[int] = []
        if allowed >= wanted or (allowed > 0 and not job.gang):
            most = 1 if job.judged_faulty and not job.gang else 1000
            indexes = list(taskset.members(taskset.lowest(bits, min(allowed, most))))
        usable = (
            machines
            if self.ground.array_candidates is None or not job.array
            else self.ground.array_candidates
        )
        if not job.array:
            # An earlier attempt that has exited is still to be removed from some.
            usable = [
                m
                for m in machines
                if not any(p.job is job and not p.takes_room for p in m.tasks.values())
            ]
        planned: list[tuple[int, Machine]] = []
        if indexes and not self.ground.no_room.known(job):
            # Services stay long: spread thinly, they would keep every machine from its return.
            packing = self.ground.packing or job.service
            planned = plan_placements(
                job, indexes, usable, self.desk.random, promised, packing, self.ground.withheld
            )
            for _, machine in planned:
                add_promised(promised, machine.name, spec, -1)
            if len(planned) < len(indexes) and not job.gang and (job.array or usable is machines):
                self.ground.no_room.add(job)
        cold = planned and not job.array
        if cold and self._wait_for_image(now, job, planned, machines, promised):
            return
        if planned:
            attempt = shard.next_attempt()
            for index, machine in planned:
                self._start(now, job, index, machine, attempt)
        left = wanted - len(planned)
        if not left or (job.judged_faulty and planned) or left <= self.competing.ahead(job):
            job.unplaceable_since.pop(name, None)
            self._unreserve(job, name)
            return
        if not job.array:
            self.making.add_held(job, left)
        if now > job.reserved_until:
            job.reserved.clear()
        making = self._still_made(job, left, [machine for _, machine in planned])
        promise_reserved(promised, job)
        if len(indexes) - len(planned) > making and self.ground.making and not job.judged_faulty:
            making += self.making.make_room(
                now, job, len(indexes) - len(planned) - making, machines, promised
            )
        if not job.judged_faulty:
            self.ground.pledged += max(0, left - making) * spec.cpus
        since = job.unplaceable_since.setdefault(name, now)
        if (
            not self.ground.making
            or making >= left
            or now - since < self.ground.poll_s
            or job.committing
        ):
            return
        self.releasing.release(now, job, shard)

    def _wait_for_image(
        self,
        now: float,
        job: JobRun,
        planned: list[tuple[int, Machine]],
        machines: list[Machine],
        promised: RoomByMachine,
    ) -> bool:
        """There is room for a gang or service, but not beside its image. Where others can be
        stopped for it beside its image, at the price of less work than the fetch would cost, that
        is done, and it waits until they are gone: with 22 s and more to fetch, gangs were placed
        in 0.2 s and ran after 36 s, their machines idle meanwhile. Tried once for a new job."""
        image = job.spec.image
        cold = [machine for _, machine in planned if image not in machine.images]
        fetch_s = self.images.fetch_s(job.spec)
        if not cold or fetch_s < 2 * self.ground.poll_s or job.judged_faulty or job.failed_on:
            return False
        until = self.warming.get(job.id)
        if until is not None:
            if now >= until or not job.reserved:
                return False
            promise_reserved(promised, job)
            return True
        if now - job.first_seen_at > 4 * self.ground.poll_s or job.attempt or job.reserved:
            # Room made for it without regard to images is to be used: left for a moment, it was
            # taken by those who had been stopped for it, and made again, a hundred times over.
            return False
        if not self.ground.making:
            for _, machine in planned:
                add_promised(promised, machine.name, job.spec)
            return True
        if len(self.warming) > WARMING_MOST:
            self.warming.clear()
        report_s = self.desk.settings.params.workers.report_s
        # Arrays stop at once, and the next report says so.
        self.warming[job.id] = now + min(2 * report_s, fetch_s / 2)
        most_loss = fetch_s * job.spec.cpus
        count = len(planned)
        return self.making.make_room(now, job, count, machines, promised, most_loss) >= count

    def _still_made(self, job: JobRun, left: int, taken: list[Machine]) -> int:
        """For how many of its tasks room is still being made: not where it has been taken, and not
        for more than are without a place."""
        for machine in taken:
            if job.reserved.get(machine.name, 0) > 0:
                job.reserved[machine.name] -= 1
        making = 0
        for name in list(job.reserved):
            count = min(job.reserved[name], left - making, self._coming(job, name))
            if count > 0:
                job.reserved[name] = count
                making += count
            else:
                del job.reserved[name]
        return making

    def _coming(self, job: JobRun, name: str) -> int:
        """How many tasks of a job a machine will have room for, once what stops there has."""
        machine = self.desk.machines.get(name)
        if machine is None:
            return 0
        room = list(machine.free_room())
        for p in machine.tasks.values():
            if p.stop_grace_s is not None and p.takes_room and p.job is not None:
                room = [have + more for have, more in zip(room, need(p.job), strict=True)]
        return tasks_fitting(job.spec, (room[0], room[1], room[2]))

    def _start(self, now: float, job: JobRun, index: int, machine: Machine, attempt: int) -> None:
        task = f"{job.id}/{index}"
        if task in machine.tasks:
            # An earlier attempt that has exited here is still to be removed.
            return
        placement = Placement(job, index, task, attempt, machine)
        placement.started_at = now
        self.ledger.add_placement(machine, placement)
        self.workers.mark_urgent(machine)
        job.attempt = attempt
        log.info(
            "start task=%s attempt=%d machine=%s team=%s waited=%.1f within=%d image=%d",
            task,
            attempt,
            machine.name,
            job.spec.team,
            self.desk.wall() - job.submitted_at,
            job.within_guarantee,
            job.spec.image in machine.images,
        )

    def place_alike(
        self, now: float, shard: Shard, jobs: list[JobRun], promised: RoomByMachine
    ) -> list[JobRun]:
        """Place claimed jobs that are alike, and return those that found no place."""
        first = jobs[0]
        allowed = self.making.limited(
            first, self.limits.startable(shard.name, first.spec, len(jobs)), True
        )
        if not allowed or self.ground.no_room.known(first) or self.ground.array_candidates is None:
            return jobs
        planned = plan_placements(
            first,
            list(range(allowed)),
            self.ground.array_candidates,
            self.desk.random,
            promised,
            self.ground.packing,
            self.ground.withheld,
        )
        for number, machine in planned:
            add_promised(promised, machine.name, first.spec, -1)
            self._start(now, jobs[number], 0, machine, shard.next_attempt())
        return jobs[len(planned) :]

"""Starts claimed tasks on machines."""

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
from sagecove.coordination.preemption_policy import task_resources
from sagecove.storage import taskset

log = logging.getLogger("sagecove.claims")

# Jobs remembered in `image_wait_until`; the table is cleared beyond that.
IMAGE_WAIT_JOB_COUNT = 1000


class Placer:
    """Places claimed tasks, makes room for them, or hands their claims to the releaser."""

    def __init__(
        self,
        context: OwnerContext,
        state: PassState,
        preemptor: Preemptor,
        releaser: Releaser,
        claimer: Claimer,
        ledger: Ledger,
        limits: TeamLimits,
        workers: MachineCommands,
        images: Images,
    ) -> None:
        self.context = context
        self.images = images
        # By id of jobs that preempted for machines with their image: until when they wait.
        self.image_wait_until: dict[str, float] = {}
        self.ledger = ledger
        self.limits = limits
        self.workers = workers
        self.state = state
        self.preemptor = preemptor
        self.releaser = releaser
        self.claimer = claimer

    def _drop_reservations(self, job: JobRun, shard: str) -> None:
        for name in [n for n in job.reserved if n in self.context.machines_by_shard.get(shard, {})]:
            del job.reserved[name]

    def place(
        self,
        now: float,
        shard: Shard,
        machines: list[Machine],
        job: JobRun,
        promised: RoomByMachine,
    ) -> None:
        """Places the claimed tasks of a job; makes room for them; releases those that find none."""
        name = shard.name
        if job.id in self.state.jobs_with_kept_room:
            # The room is kept from other jobs of its precedence; the job itself may use it.
            promise_reserved(promised, job, -1)
        bits = job.placeable(name)
        if not bits:
            job.unplaceable_since.pop(name, None)
            self._drop_reservations(job, name)
            return
        if now < job.hold_until or (job.gang and job.placed):
            promise_reserved(promised, job)
            return
        spec = job.spec
        wanted = bits.bit_count()
        allowed = self.preemptor.cap(job, self.limits.startable(name, spec, wanted), True)
        if allowed < wanted and not job.judged_faulty:
            self.limits.request_share(now, name, job, 0)
        indexes: list[int] = []
        if allowed >= wanted or (allowed > 0 and not job.gang):
            max_starts = 1 if job.judged_faulty and not job.gang else 1000
            indexes = list(taskset.members(taskset.lowest(bits, min(allowed, max_starts))))
        usable = (
            machines
            if self.state.array_candidates is None or not job.array
            else self.state.array_candidates
        )
        if not job.array:
            # Skip machines that still list an exited earlier attempt.
            usable = [
                m
                for m in machines
                if not any(
                    placement.job is job and not placement.takes_room
                    for placement in m.tasks.values()
                )
            ]
        planned: list[tuple[int, Machine]] = []
        if indexes and not self.state.no_room.covers(job):
            # Services run long: spread thinly, they would keep all machines from being returned.
            packing = self.state.packing or job.service
            planned = plan_placements(
                job,
                indexes,
                usable,
                self.context.random,
                promised,
                packing,
                self.state.withheld,
            )
            for _, machine in planned:
                add_promised(promised, machine.name, spec, -1)
            if len(planned) < len(indexes) and not job.gang and (job.array or usable is machines):
                self.state.no_room.add(job)
        cold = planned and not job.array
        if cold and self._wait_for_image(now, job, planned, machines, promised):
            return
        if planned:
            attempt = shard.next_attempt()
            for index, machine in planned:
                self._start_task(now, job, index, machine, attempt)
        unplaced_count = wanted - len(planned)
        if (
            not unplaced_count
            or (job.judged_faulty and planned)
            or unplaced_count <= self.claimer.claim_ahead_count(job)
        ):
            job.unplaceable_since.pop(name, None)
            self._drop_reservations(job, name)
            return
        if not job.array:
            self.preemptor.add_held_back(job, unplaced_count)
        if now > job.reserved_until:
            job.reserved.clear()
        pending_count = self._count_pending_reservations(
            job, unplaced_count, [machine for _, machine in planned]
        )
        promise_reserved(promised, job)
        if (
            len(indexes) - len(planned) > pending_count
            and self.state.preemption_due
            and not job.judged_faulty
        ):
            pending_count += self.preemptor.make_room(
                now, job, len(indexes) - len(planned) - pending_count, machines, promised
            )
        if not job.judged_faulty:
            self.state.unplaced_claim_cpus += max(0, unplaced_count - pending_count) * spec.cpus
        since = job.unplaceable_since.setdefault(name, now)
        if (
            not self.state.preemption_due
            or pending_count >= unplaced_count
            or now - since < self.state.poll_s
            or job.committing
        ):
            return
        self.releaser.release(now, job, shard)

    def _wait_for_image(
        self,
        now: float,
        job: JobRun,
        planned: list[tuple[int, Machine]],
        machines: list[Machine],
        promised: RoomByMachine,
    ) -> bool:
        """Return whether a gang or service with room should rather wait for machines that have its
        image. If tasks can be preempted there at a loss of less work than the fetch would cost,
        they are, and the job waits for them to stop: with images of 22 s and more, gangs were
        placed in 0.2 s and ran after 36 s, their machines idle meanwhile. Tried once for a new
        job."""
        image = job.spec.image
        cold = [machine for _, machine in planned if image not in machine.images]
        fetch_s = self.images.fetch_s(job.spec)
        if not cold or fetch_s < 2 * self.state.poll_s or job.judged_faulty or job.failed_on:
            return False
        wait_until = self.image_wait_until.get(job.id)
        if wait_until is not None:
            if now >= wait_until or not job.reserved:
                return False
            promise_reserved(promised, job)
            return True
        if now - job.first_seen_at > 4 * self.state.poll_s or job.attempt or job.reserved:
            # Use room freed without regard to images at once: when it was left for a moment, the
            # preempted jobs took it back and it was freed again, a hundred times over.
            return False
        if not self.state.preemption_due:
            for _, machine in planned:
                add_promised(promised, machine.name, job.spec)
            return True
        if len(self.image_wait_until) > IMAGE_WAIT_JOB_COUNT:
            self.image_wait_until.clear()
        report_s = self.context.settings.params.workers.report_s
        # Array tasks stop at once, and the next report says so.
        self.image_wait_until[job.id] = now + min(2 * report_s, fetch_s / 2)
        max_loss_cpu_s = fetch_s * job.spec.cpus
        count = len(planned)
        return (
            self.preemptor.make_room(now, job, count, machines, promised, max_loss_cpu_s) >= count
        )

    def _count_pending_reservations(
        self, job: JobRun, unplaced_count: int, used_machines: list[Machine]
    ) -> int:
        """Count tasks of a job whose reserved room is still being freed, and drop reservations
        that have been used or exceed its unplaced tasks."""
        for machine in used_machines:
            if job.reserved.get(machine.name, 0) > 0:
                job.reserved[machine.name] -= 1
        pending_count = 0
        for name in list(job.reserved):
            count = min(
                job.reserved[name],
                unplaced_count - pending_count,
                self._fitting_after_stops(job, name),
            )
            if count > 0:
                job.reserved[name] = count
                pending_count += count
            else:
                del job.reserved[name]
        return pending_count

    def _fitting_after_stops(self, job: JobRun, name: str) -> int:
        """Count the tasks of a job that will fit a machine once its stopping tasks are gone."""
        machine = self.context.machines.get(name)
        if machine is None:
            return 0
        room = list(machine.free_room())
        for placement in machine.tasks.values():
            if (
                placement.stop_grace_s is not None
                and placement.takes_room
                and placement.job is not None
            ):
                room = [
                    have + more
                    for have, more in zip(room, task_resources(placement.job), strict=True)
                ]
        return tasks_fitting(job.spec, (room[0], room[1], room[2]))

    def _start_task(
        self, now: float, job: JobRun, index: int, machine: Machine, attempt: int
    ) -> None:
        task = f"{job.id}/{index}"
        if task in machine.tasks:
            # An exited earlier attempt is still listed on the machine.
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
            self.context.wall() - job.submitted_at,
            job.within_guarantee,
            job.spec.image in machine.images,
        )

    def place_similar(
        self, now: float, shard: Shard, jobs: list[JobRun], promised: RoomByMachine
    ) -> list[JobRun]:
        """Places similar claimed one-task jobs, and returns those that found no machine."""
        first = jobs[0]
        allowed = self.preemptor.cap(
            first, self.limits.startable(shard.name, first.spec, len(jobs)), True
        )
        if not allowed or self.state.no_room.covers(first) or self.state.array_candidates is None:
            return jobs
        planned = plan_placements(
            first,
            list(range(allowed)),
            self.state.array_candidates,
            self.context.random,
            promised,
            self.state.packing,
            self.state.withheld,
        )
        for number, machine in planned:
            add_promised(promised, machine.name, first.spec, -1)
            self._start_task(now, jobs[number], 0, machine, shard.next_attempt())
        return jobs[len(planned) :]

"""The shard at hand in a pass: its room, what is withheld, what may be stopped there."""

from __future__ import annotations

from bisect import bisect_right

from sagecove.coordination.interfaces import OwnerContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import JobRun, Machine
from sagecove.coordination.placement import (
    NoRoomCache,
    RoomByMachine,
)
from sagecove.coordination.preemption_policy import PreemptionPolicy, largest_victim, may_stop, need


class PassState:
    """What a pass knows of the shard it looks at; noted anew for each."""

    def __init__(self, desk: OwnerContext, ledger: Ledger, stopping: PreemptionPolicy) -> None:
        self.desk = desk
        self.ledger = ledger
        self.stopping = stopping
        self.poll_s = desk.settings.poll_s
        # When room may be made again.
        self.preempt_after = 0.0
        self.making = False
        self.packing = False
        # Machines on which any array of the pass may find room at all; None: not known.
        self.array_candidates: list[Machine] | None = None
        self.withheld: dict[str, JobRun] = {}
        # Per team: CPUs and GPUs of jobs that wait to be claimed as a whole.
        self.held_back: dict[str, list[float]] = {}
        # Of these, of gangs that have waited for long.
        self.held_long: dict[str, list[float]] = {}
        # Jobs whose reserved room is kept from others of their standing in this pass.
        self.kept: set[str] = set()
        # CPUs for claims of this pass that have neither a place nor room under way: what could be
        # made for others is less by these, or the same room is claimed twice.
        self.pledged = 0.0
        # Room for which shares of limits are asked in this pass: a controller that asked every team
        # for the same room gathered all their limits, and the others had none.
        self.asked: RoomByMachine = {}
        self.no_room = NoRoomCache()
        self.no_room_by_preemption = NoRoomCache()
        # Jobs that have tasks running in the shard at hand: what may be stopped at all.
        self.running: list[JobRun] = []
        self.sizes: list[float] = []
        # The shard at hand.
        self.around = ""
        # By a job's rights: room by machine, and CPUs of tasks that are waited for instead.
        self.yields: dict[tuple[object, ...], tuple[dict[str, list[float]], float]] = {}

    def scan_running_jobs(self, shard: str) -> None:
        """Note the smallest job of each standing that is running on a shard's machines (of each
        team, where teams matter): what there is to be stopped at all."""
        seen: dict[tuple[object, ...], JobRun] = {}
        sizes: set[float] = set()
        for job in self.ledger.jobs_with_tasks(shard):
            key = (
                job.priority,
                job.within_guarantee,
                "" if job.within_guarantee else job.spec.team,
            )
            if key not in seen or job.spec.cpus < seen[key].spec.cpus:
                seen[key] = job
            sizes.add(job.spec.cpus)
        self.running = list(seen.values())
        self.sizes = sorted(sizes)
        self.around = shard
        self.yields.clear()

    def stoppable(self, job: JobRun) -> bool:
        """There is anything that the job may displace."""
        return any(may_stop(job, other) for other in self.running)

    def coming(self, job: JobRun) -> int:
        """Tasks of an array that find room as others end by themselves, soon enough for it."""
        return int(self._room_of_others(job)[1] / max(job.spec.cpus, 0.1)) if job.array else 0

    def yielding(self, job: JobRun) -> dict[str, list[float]]:
        """Room on machines that is held by what is on its way out or may be stopped for a job."""
        return self._room_of_others(job)[0]

    def _room_of_others(self, job: JobRun) -> tuple[dict[str, list[float]], float]:
        """The room `yielding` tells, and the CPUs of tasks that end soon enough by themselves. Many
        jobs have the same rights, so both are found once a pass for all of them."""
        stopping = self.stopping
        key = (*stopping.rank(job), bisect_right(self.sizes, largest_victim(job)))
        known = self.yields.get(key)
        if known is not None:
            return known
        patience = stopping.patience(job)
        going = self.ledger.stopping_placements(self.around)
        ending = 0.0
        for other in self.ledger.jobs_with_tasks(self.around):
            if not may_stop(job, other):
                continue
            here = [
                p
                for p in other.placed.values()
                if p.stop_grace_s is None and p.machine.record.shard == self.around
            ]
            worth, soon = stopping.sort(patience, other, here)
            going += worth
            ending += soon * other.spec.cpus
        found: dict[str, list[float]] = {}
        for p in going:
            if p.job is not None:
                room = found.setdefault(p.machine.name, [0.0, 0.0, 0.0])
                for n, amount in enumerate(need(p.job)):
                    room[n] += amount
        self.yields[key] = found, ending
        return found, ending

    def candidates(self, job: JobRun, machines: list[Machine]) -> list[Machine]:
        """Machines with room, and those on which tasks may be stopped for a job, by name."""
        names = {m.name for m in machines} | self.yielding(job).keys()
        if job.array:
            names = {n for n in names if self.desk.now >= self.desk.machines[n].drain_until}
        return [self.desk.machines[name] for name in sorted(names)]

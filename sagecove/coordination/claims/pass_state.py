"""State of a scheduling pass for the shard it is working on: held room and preemptable tasks."""

from __future__ import annotations

from bisect import bisect_right

from sagecove.coordination.claims.kept_room import may_keep_room
from sagecove.coordination.interfaces import OwnerContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import JobRun, Machine
from sagecove.coordination.placement import NoRoomCache, RoomByMachine, withheld_for
from sagecove.coordination.preemption_policy import (
    PreemptionPolicy,
    largest_victim_cpus,
    may_preempt,
    task_resources,
)


class PassState:
    """State of a pass for one shard. Most of it is reset for each shard of each pass."""

    def __init__(self, context: OwnerContext, ledger: Ledger, policy: PreemptionPolicy) -> None:
        self.context = context
        self.ledger = ledger
        self.policy = policy
        self.poll_s = context.settings.poll_interval_s
        # Earliest time of the next pass with preemption; whether the current pass has it.
        self.preempt_after = 0.0
        self.preemption_due = False
        # Prefer fuller machines, so that others run empty.
        self.packing = False
        # Machines with room for the smallest array task of the pass; None: not computed.
        self.array_candidates: list[Machine] | None = None
        # By machine: the gang that its room is withheld from arrays for.
        self.withheld: dict[str, JobRun] = {}
        # By team: CPUs and GPUs needed by jobs that wait to be claimed as a whole.
        self.held_back_by_team: dict[str, list[float]] = {}
        # The part of these needed by gangs that have waited for long.
        self.held_back_long_by_team: dict[str, list[float]] = {}
        # Ids of jobs whose reserved room is kept from other jobs of their precedence.
        self.jobs_with_kept_room: set[str] = set()
        # CPUs of claimed tasks that have neither a machine nor room being freed. Room that
        # preemption could free for others is reduced by these; otherwise it is claimed twice.
        self.unplaced_claim_cpus = 0.0
        # Room that shares of team limits were requested for in this pass. A controller that
        # requested them of every team for the same room gathered all their limits.
        self.requested_room: RoomByMachine = {}
        self.no_room = NoRoomCache()
        self.no_room_by_preemption = NoRoomCache()
        # The smallest job with tasks in the shard by precedence (and team): what may be preempted.
        self.smallest_running_jobs: list[JobRun] = []
        self.running_task_cpus: list[float] = []
        self.shard_name = ""
        # By preemption rights: room by machine, and CPUs of tasks that end soon enough instead.
        self.reclaimable_by_rights: dict[
            tuple[object, ...], tuple[dict[str, list[float]], float]
        ] = {}

    def scan_running_jobs(self, shard: str) -> None:
        """Find the smallest job of each precedence that runs on a shard's machines, and of each
        team where teams matter. Only these have to be compared to know if a job may preempt."""
        smallest: dict[tuple[object, ...], JobRun] = {}
        running_task_cpus: set[float] = set()
        for job in self.ledger.jobs_with_tasks(shard):
            key = (
                job.priority,
                job.within_guarantee,
                "" if job.within_guarantee else job.spec.team,
            )
            if key not in smallest or job.spec.cpus < smallest[key].spec.cpus:
                smallest[key] = job
            running_task_cpus.add(job.spec.cpus)
        self.smallest_running_jobs = list(smallest.values())
        self.running_task_cpus = sorted(running_task_cpus)
        self.shard_name = shard
        self.reclaimable_by_rights.clear()

    def can_preempt(self, job: JobRun) -> bool:
        """Return whether the shard runs any task that the job may preempt."""
        return any(may_preempt(job, other) for other in self.smallest_running_jobs)

    def ending_soon_count(self, job: JobRun) -> int:
        """Count the tasks of an array that get room from tasks that end by themselves in time."""
        return int(self._reclaimable(job)[1] / max(job.spec.cpus, 0.1)) if job.array else 0

    def reclaimable_room(self, job: JobRun) -> dict[str, list[float]]:
        """Return room by machine held by tasks that are stopping or worth preempting for a job."""
        return self._reclaimable(job)[0]

    def _reclaimable(self, job: JobRun) -> tuple[dict[str, list[float]], float]:
        """Return `reclaimable_room` and the CPUs of tasks that end soon enough by themselves.
        Many jobs have the same rights, so both are cached by rights for the pass."""
        policy = self.policy
        key = (
            *policy.rights_key(job),
            bisect_right(self.running_task_cpus, largest_victim_cpus(job)),
        )
        known = self.reclaimable_by_rights.get(key)
        if known is not None:
            return known
        patience = policy.patience(job)
        reclaimable = self.ledger.stopping_placements(self.shard_name)
        ending_cpus = 0.0
        for other in self.ledger.jobs_with_tasks(self.shard_name):
            if not may_preempt(job, other):
                continue
            placements = [
                placement
                for placement in other.placed.values()
                if placement.stop_grace_s is None
                and placement.machine.record.shard == self.shard_name
            ]
            worth, ending_count = policy.split_by_remaining_run(patience, other, placements)
            reclaimable += worth
            ending_cpus += ending_count * other.spec.cpus
        found: dict[str, list[float]] = {}
        for placement in reclaimable:
            if placement.job is not None:
                room = found.setdefault(placement.machine.name, [0.0, 0.0, 0.0])
                for resource, amount in enumerate(task_resources(placement.job)):
                    room[resource] += amount
        self.reclaimable_by_rights[key] = found, ending_cpus
        return found, ending_cpus

    @property
    def keeps_room(self) -> bool:
        """Whether room may be kept at present from jobs that wait beside it."""
        return may_keep_room(self.context.wall())

    def open_to_arrays(self, machine: Machine) -> bool:
        """Return whether arrays may use a machine: not while it is drained, so that it can be
        returned. What runs there may be there to stay, so that is bounded too."""
        return self.context.now >= machine.drain_until or not self.keeps_room

    def candidate_machines(self, job: JobRun, machines: list[Machine]) -> list[Machine]:
        """Return the given machines and those with reclaimable room for a job, sorted by name."""
        names = {m.name for m in machines} | self.reclaimable_room(job).keys()
        if job.array:
            # Nothing is preempted for an array on machines that it then may not use.
            names = {
                name
                for name in names
                if self.open_to_arrays(self.context.machines[name])
                and withheld_for(job, name, self.withheld) is None
            }
        return [self.context.machines[name] for name in sorted(names)]

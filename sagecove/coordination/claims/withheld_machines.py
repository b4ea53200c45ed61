"""Withholds machines from arrays for gangs whose tasks take most of a machine.

Arrays would fill such machines task by task as room comes free, and the gang would never find one
empty, or would have to preempt them again.
"""

from __future__ import annotations

from sagecove.coordination.claims.gang_waits import GangWaits
from sagecove.coordination.claims.lasting_room import tasks_fitting_after_others
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.interfaces import OwnerContext, ShardQueries
from sagecove.coordination.model import JobRun, Machine, Shard
from sagecove.coordination.placement import fills_most_of_machine


class WithheldMachines:
    """Chooses the machines that are withheld from arrays, and for which gang."""

    def __init__(
        self,
        context: OwnerContext,
        shards: ShardQueries,
        waits: GangWaits,
        state: PassState,
    ) -> None:
        self.context = context
        self.shards = shards
        self.waits = waits
        self.state = state

    def choose(
        self, now: float, shard: Shard, machines: list[Machine], jobs: list[JobRun]
    ) -> dict[str, JobRun]:
        """Return the machines of a shard to be withheld, and the gang for which each of them is.

        `machines` are those with room, `jobs` the jobs of the pass in order of precedence. For each
        waiting gang that its team's limit allows, as many machines are withheld as it needs, those
        with most room first, and only such that will have room for a task of it."""
        out: dict[str, JobRun] = {}
        if not self.state.keeps_room:
            return out
        by_room: list[Machine] | None = None
        for job in jobs:
            if not self._gathers_machines(now, shard, job):
                continue
            if by_room is None:
                by_room = _unreserved_by_room(machines, jobs)
            missing = self._tasks_to_gather(shard, job)
            for machine in by_room:
                if missing <= 0:
                    break
                if machine.name in out:
                    continue
                fitting = _tasks_to_withhold_for(job, machine)
                if fitting > 0:
                    out[machine.name] = job
                    missing -= fitting
        return out

    def _gathers_machines(self, now: float, shard: Shard, job: JobRun) -> bool:
        """Return whether a job is a gang that waits for machines of a shard. One that the fleet
        could not hold does so only while machines may be booting for it."""
        if not job.gang or job.placed or not (job.unclaimed or job.placeable(shard.name)):
            return False
        return self.waits.limit_has_room(job) and (
            self.waits.machines_may_be_booting(now, job) or self.waits.waits_long(now, job)
        )

    def _tasks_to_gather(self, shard: Shard, job: JobRun) -> int:
        """Return for how many tasks of a gang a shard withholds machines: all of them in the shard
        that serves it, elsewhere an equal part, as that shard may ask for idle machines."""
        claimed = job.placeable(shard.name).bit_count()
        if claimed:
            return claimed
        count = job.unclaimed.bit_count()
        if self.shards.gang_home_shard(job) in (None, shard.name):
            return count
        other_shards = max(1, len(self.context.settings.nodes) - 1)
        return -(-count // other_shards)


def _unreserved_by_room(machines: list[Machine], jobs: list[JobRun]) -> list[Machine]:
    """Return the machines without room that was freed for an array, those with most room first:
    such room goes to that array."""
    reserved = {name for job in jobs if job.array for name in job.reserved}
    return sorted(
        (m for m in machines if m.name not in reserved), key=lambda m: (-m.free_room()[0], m.name)
    )


def _tasks_to_withhold_for(job: JobRun, machine: Machine) -> int:
    """Return for how many tasks of a gang a machine is to be withheld: 0 if a task takes less than
    most of it, or will find no room there."""
    kind = machine.machine_type
    if kind is None or not fills_most_of_machine(job.spec, kind):
        return 0
    return tasks_fitting_after_others(job, machine)

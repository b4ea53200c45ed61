"""Reserves free room for gangs that have waited for long and do not fit yet."""

from __future__ import annotations

from collections import Counter

from sagecove.coordination.claims.gang_waits import GangWaits
from sagecove.coordination.claims.lasting_room import tasks_fitting_after_others
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.interfaces import OwnerContext, ShardQueries
from sagecove.coordination.model import JobRun, Machine
from sagecove.coordination.placement import (
    RoomByMachine,
    add_promised,
    machine_suits,
    tasks_fitting,
    unpromised_room,
)


class GangReservations:
    """Promises room to waiting gangs, while room may be kept."""

    def __init__(
        self, context: OwnerContext, state: PassState, waits: GangWaits, shards: ShardQueries
    ) -> None:
        self.context = context
        self.state = state
        self.waits = waits
        self.shards = shards

    def reserve(
        self,
        job: JobRun,
        shard: str,
        count: int,
        machines: list[Machine],
        promised: RoomByMachine,
    ) -> None:
        """Reserve free room for `count` tasks of a gang (in one zone if required) that does not fit
        yet and has waited longer than its machines take to boot. Without that, smaller gangs passed
        a large one by for good where tasks share machines."""
        if (
            not self.state.keeps_room
            or not self.waits.waits_long(self.context.now, job)
            or not self.waits.limit_has_room(job)
        ):
            return
        home = self.shards.home_shard(job)
        suitable = self._suitable_machines(job, shard, home)
        if home == shard:
            self._reserve_free_room(job, count, machines, {m.name for m in suitable}, promised)
        else:
            self._empty_part(job, home, suitable, promised)

    def _suitable_machines(self, job: JobRun, shard: str, home: str) -> list[Machine]:
        """Return the machines of a shard that a gang may use, in the zone meant for it if all its
        tasks have to be in one."""
        machines_by_shard = self.context.machines_by_shard
        suitable = [
            m
            for m in machines_by_shard.get(shard, {}).values()
            if m.machine_type is not None and not m.record.leaving and machine_suits(job, m)
        ]
        if not job.spec.one_zone:
            return suitable
        # The zone with most machines, whatever is free at the moment: a stable choice.
        zones = Counter(m.record.zone for m in machines_by_shard.get(home, {}).values())
        zone = max(sorted(zones), key=lambda z: zones[z], default="")
        return [m for m in suitable if m.record.zone == zone]

    def _reserve_free_room(
        self,
        job: JobRun,
        count: int,
        machines: list[Machine],
        suitable: set[str],
        promised: RoomByMachine,
    ) -> None:
        """Reserve what is free for a gang in the shard that serves it."""
        for machine in machines:
            more = min(count, tasks_fitting(job.spec, unpromised_room(machine, promised)))
            if more > 0 and machine.name in suitable:
                add_promised(promised, machine.name, job.spec, more)
                count -= more
            if count <= 0:
                break

    def _empty_part(
        self, job: JobRun, home: str, suitable: list[Machine], promised: RoomByMachine
    ) -> None:
        """Let part of another shard run empty, least used machines first: only empty machines can
        be handed over, and each other shard gives its part of what the home shard cannot hold."""
        other_shards = max(1, len(self.context.settings.nodes) - 1)
        part = -(-self.shards.tasks_beyond_capacity(job, home) // other_shards)
        for machine in sorted(suitable, key=lambda m: (m.used[0], m.name)):
            if part <= 0:
                break
            fitting = tasks_fitting_after_others(job, machine)
            if fitting <= 0:
                continue
            part -= fitting
            room = unpromised_room(machine, promised)
            held = promised.setdefault(machine.name, [0.0, 0.0, 0.0])
            for resource in range(3):
                held[resource] += max(0.0, room[resource])

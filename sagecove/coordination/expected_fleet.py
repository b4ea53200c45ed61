"""Machines that have not reported yet or are about to be rented, and the room planned on them."""

from __future__ import annotations

import dataclasses

from sagecove.coordination.model import Machine
from sagecove.coordination.placement import tasks_fitting, type_allowed
from sagecove.coordination.zone_rules import tasks_per_zone_limit
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import GANG, Job


@dataclasses.dataclass(slots=True)
class ExpectedMachine:
    """A machine that has not reported yet or is about to be rented, and the room planned on it."""

    machine_type: MachineType
    zone: str
    spot: bool
    shard: str
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    # The machine is up already, and its room counts for gangs only.
    gangs_only: bool = False

    @classmethod
    def from_machine(cls, machine: Machine) -> ExpectedMachine:
        """Create the entry of a machine that has a record."""
        assert machine.machine_type is not None
        record = machine.record
        return cls(machine.machine_type, record.zone, record.spot, record.shard)

    def room_for(self, spec: Job) -> int:
        """Return how many more tasks fit."""
        kind = self.machine_type
        return tasks_fitting(
            spec, (kind.cpus - self.cpus, kind.gpus - self.gpus, kind.memory_gb - self.memory_gb)
        )

    def count_tasks(self, spec: Job, count: int) -> None:
        """Reserve room for tasks."""
        self.cpus += count * spec.cpus
        self.gpus += count * spec.gpus
        self.memory_gb += count * spec.memory_gb


class ExpectedFleet:
    """Expected machines, grouped by type, place and price model: a job checks each group once."""

    def __init__(self, smallest_task_cpus: float) -> None:
        # Machines with fewer free CPUs than the smallest task takes are not searched.
        self.smallest_task_cpus = smallest_task_cpus
        self.groups: dict[tuple[str, str, bool, str, bool], list[ExpectedMachine]] = {}

    def add(self, machine: ExpectedMachine) -> None:
        """Add a machine."""
        key = (
            machine.machine_type.name,
            machine.zone,
            machine.spot,
            machine.shard,
            machine.gangs_only,
        )
        self.groups.setdefault(key, []).append(machine)

    def zone_with_most(self, spec: Job, shard: str | None) -> str | None:
        """Return the zone with the most expected room for a one-zone job, if there is any."""
        room: dict[str, int] = {}
        for (_, zone, spot, shard_name, gangs_only), group in self.groups.items():
            if (
                group
                and (spec.kind == GANG or not gangs_only)
                and (shard is None or shard_name in ("", shard))
                and (spec.spot or not spot)
                and type_allowed(spec, group[0].machine_type)
            ):
                room[zone] = room.get(zone, 0) + sum(m.room_for(spec) for m in group)
        most = max(room, key=lambda zone: room[zone], default=None)
        return most if most is not None and room[most] else None

    def place(
        self,
        spec: Job,
        count: int,
        shard: str | None,
        zones: dict[str, int],
        required_zone: str | None = None,
    ) -> int:
        """Reserve room for tasks, in `required_zone` if given; return for how many it was found.
        `zones` counts the job's tasks by zone and is updated."""
        placed = 0
        zone_limit = tasks_per_zone_limit(spec)
        for (_, zone, spot, shard_name, gangs_only), group in self.groups.items():
            if (
                not group
                or (gangs_only and spec.kind != GANG)
                or (shard is not None and shard_name not in ("", shard))
                or (spot and not spec.spot)
                or (required_zone or spec.zone) not in (None, zone)
                or not type_allowed(spec, group[0].machine_type)
            ):
                continue
            filled = False
            for machine in group:
                more = min(count - placed, zone_limit - zones.get(zone, 0))
                if more <= 0:
                    break
                more = min(more, machine.room_for(spec))
                if more > 0:
                    machine.count_tasks(spec, more)
                    placed += more
                    zones[zone] = zones.get(zone, 0) + more
                    filled = (
                        filled or machine.machine_type.cpus - machine.cpus < self.smallest_task_cpus
                    )
            if filled:
                group[:] = [
                    m for m in group if m.machine_type.cpus - m.cpus >= self.smallest_task_cpus
                ]
            if placed >= count:
                break
        return placed

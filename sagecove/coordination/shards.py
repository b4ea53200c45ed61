"""Gains and loses shards, and answers questions about their machines and their capacity."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sagecove.coordination.interfaces import TICK_S
from sagecove.coordination.model import JobRun, Machine, Shard
from sagecove.coordination.placement import (
    RoomByMachine,
    fills_most_of_machine,
    machine_allowed,
    plan_placements,
    promise_reserved,
    tasks_fitting,
    type_allowed,
)
from sagecove.protocol.users import Job
from sagecove.storage import records, taskset

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner


log = logging.getLogger("sagecove.shards")


class Shards:
    """The shards that this controller holds, and the machines of all shards."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.gang_home_cache: dict[tuple[object, ...], tuple[float, str | None]] = {}
        # By requirements and shard: until when the entry is valid, and how many tasks fit on empty
        # machines.
        self.capacity_cache: dict[tuple[object, ...], tuple[float, int]] = {}

    def shard_machines(self, shard: str) -> list[Machine]:
        """Return the machines of a shard."""
        return list(self.owner.machines_by_shard.get(shard, {}).values())

    def active_shards(self, now: float) -> list[str]:
        """Return the shards for which this controller may act now."""
        if not self.owner.leadership.may_act(now):
            return []
        return [name for name, shard in self.owner.held_shards.items() if not shard.yielding]

    def holder_of(self, shard: str) -> str | None:
        """Return the node that holds a shard according to the mirror, or None."""
        item = self.owner.mirror.items.get(records.HOLDER_PREFIX + shard)
        return item.value.node if item and item.value is not None else None

    def shard_in_use(self, shard: str) -> bool:
        """Return whether a shard has machines or claims, which need a holder."""
        return bool(self.owner.machines_by_shard.get(shard)) or any(
            shard in job.claims for job in self.owner.backlog.active.values()
        )

    def gain_shard(self, shard: Shard) -> None:
        """Start to hold a shard. All its machines are unknown until they have reported."""
        self.owner.held_shards[shard.name] = shard
        machines = self.shard_machines(shard.name)
        for machine in machines:
            machine.reset(self.owner.now)
        shard.unreported_machines = {m.name for m in machines}
        jobs = list(self.owner.backlog.active.values())
        if shard.unreported_machines:
            for job in jobs:
                if bits := job.claimed(shard.name):
                    job.possibly_running[shard.name] = bits
        self.owner.ledger.open_shard(shard, jobs)
        log.info(
            "shard gained shard=%s term=%d machines=%d applied=%d read_age=%.1f",
            *(shard.name, shard.term, len(machines), self.owner.mirror.applied),
            self.owner.now - self.owner.sync.synced_at,
        )
        self.owner.pass_needed = True

    def lose_shard(self, name: str) -> None:
        """Stop holding a shard: another controller holds it, or none does."""
        shard = self.owner.held_shards.pop(name, None)
        if shard is None:
            return
        log.info("shard lost shard=%s term=%d", name, shard.term)
        self.owner.limits.shard_lost(name)
        jobs = list(self.owner.backlog.active.values())
        self.owner.ledger.close_shard(name, jobs)
        for machine in self.shard_machines(name):
            machine.reset(self.owner.now)
        for job in jobs:
            job.possibly_running.pop(name, None)
            job.unplaceable_since.pop(name, None)
            job.finished_unrecorded &= ~job.claims.get(name, 0)
            self.owner.ledger.update_claims(job)

    def resolve_machine(self, machine: Machine) -> None:
        """Note that the tasks an earlier holder may have left on a machine are known.

        Either the machine has reported under the current token, so that its list of tasks is
        complete, or everything that was on it is gone.
        """
        shard = self.owner.held_shards.get(machine.record.shard)
        if shard is None or machine.name not in shard.unreported_machines:
            return
        shard.unreported_machines.discard(machine.name)
        self.owner.ledger.update_machine(machine)
        if not shard.unreported_machines:
            for job in self.owner.backlog.active.values():
                if job.possibly_running.pop(shard.name, None):
                    self.owner.backlog.mark_dirty(job)
            self.owner.pass_needed = True

    def gang_home_shard(self, job: JobRun) -> str | None:
        """Return the shard that a gang of whole machines belongs to: the one with most machines
        that it may use. None if several of its tasks fit on one machine, as any shard can provide
        such room.
        """
        spec = job.spec
        requirements = _requirements(spec)
        cached = self.gang_home_cache.get(requirements)
        if cached is not None and self.owner.now < cached[0]:
            return cached[1]
        home = self._find_gang_home(spec)
        if len(self.gang_home_cache) > 200:
            self.gang_home_cache.clear()
        self.gang_home_cache[requirements] = (self.owner.now + 4 * TICK_S, home)
        return home

    def _find_gang_home(self, spec: Job) -> str | None:
        types = [t for t in self.owner.machine_types.values() if type_allowed(spec, t)]
        if not types or not all(fills_most_of_machine(spec, t) for t in types):
            return None
        return self.most_machines(spec)

    def home_shard(self, job: JobRun) -> str:
        """Return the shard that serves a gang which does not fit into any shard yet: the one with
        most machines that it may use. All controllers find the same one, from the same records.
        """
        return self.gang_home_shard(job) or self.most_machines(job.spec)

    def fleet_can_hold(self, job: JobRun) -> bool:
        """Return whether the present fleet, if it were empty, would have room for all tasks of a
        job (in one zone if the job requires that). No room is kept free for a job that could not
        fit even then.
        """
        return self._capacity(job.spec, None) >= job.spec.tasks

    def tasks_beyond_capacity(self, job: JobRun, shard: str) -> int:
        """Return how many tasks of a job would not fit into a shard if all its machines were empty
        (in one zone if the job requires that).
        """
        return max(0, job.spec.tasks - self._capacity(job.spec, shard))

    def _capacity(self, spec: Job, shard: str | None) -> int:
        """Return how many tasks fit on the machines of a shard (None: of all shards) when they are
        empty.
        """
        key = (*_requirements(spec), spec.one_zone, shard)
        cached = self.capacity_cache.get(key)
        if cached is not None and self.owner.now < cached[0]:
            return cached[1]
        machines_by_shard = self.owner.machines_by_shard
        machines = self.owner.machines if shard is None else machines_by_shard.get(shard, {})
        zones: dict[str, int] = {}
        for machine in machines.values():
            machine_type = machine.machine_type
            if machine_type is None or machine.record.leaving or not machine_allowed(spec, machine):
                continue
            zone = machine.record.zone if spec.one_zone else ""
            room = tasks_fitting(
                spec, (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            )
            zones[zone] = zones.get(zone, 0) + room
        if len(self.capacity_cache) > 200:
            self.capacity_cache.clear()
        capacity = max(zones.values(), default=0)
        self.capacity_cache[key] = self.owner.now + 8 * TICK_S, capacity
        return capacity

    def most_machines(self, spec: Job) -> str:
        """Return the shard with most machines that a job may use."""
        counts = dict.fromkeys(sorted(self.owner.settings.nodes), 0)
        for shard, machines in self.owner.machines_by_shard.items():
            if shard in counts:
                counts[shard] = sum(
                    not m.record.leaving and machine_allowed(spec, m) for m in machines.values()
                )
        return max(counts, key=lambda n: counts[n])

    def promised_room(self, shard: str) -> RoomByMachine:
        """Return the room on a shard's machines that its claimed but unplaced tasks will take."""
        promised: RoomByMachine = {}
        machines = self.owner.ledger.machines_with_room(shard)
        for job in self.owner.backlog.dirty_jobs.values():
            bits = 0 if self.owner.failures.fails_everywhere(job) else job.placeable(shard)
            if bits and job.reserved:
                promise_reserved(promised, job)
            elif bits:
                indexes = list(taskset.members(taskset.lowest(bits, 200)))
                plan_placements(job, indexes, machines, self.owner.random, promised)
        return promised


def _requirements(spec: Job) -> tuple[object, ...]:
    """Return the parts of a job's specification that decide on which machines its tasks may run."""
    return (*(spec.types or ()), spec.zone, spec.spot, spec.cpus, spec.gpus, spec.memory_gb)

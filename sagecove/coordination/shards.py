"""Shards: what is held, gained and lost, and whose machines and claims they have."""

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
from sagecove.storage import records as r
from sagecove.storage import taskset

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner


log = logging.getLogger("sagecove.shards")


class Shards:
    """Dealings with shards."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.gang_homes: dict[tuple[object, ...], tuple[float, str | None]] = {}
        # By needs: tasks that the whole fleet has room for, and until when that is believed.
        self.most_slots: dict[tuple[object, ...], tuple[float, int]] = {}

    def shard_machines(self, shard: str) -> list[Machine]:
        """The machines of a shard."""
        return list(self.owner.machines_by_shard.get(shard, {}).values())

    def active_shards(self, now: float) -> list[str]:
        """Shards for which this controller may act now."""
        if not self.owner.leadership.may_act(now):
            return []
        return [name for name, shard in self.owner.held_shards.items() if not shard.yielding]

    def holder_of(self, shard: str) -> str | None:
        """The node that holds a shard, as far as is known."""
        item = self.owner.mirror.items.get(r.HOLDER + shard)
        return item.value.node if item and item.value is not None else None

    def shard_in_use(self, shard: str) -> bool:
        """There are machines or claims that need a holder."""
        return bool(self.owner.machines_by_shard.get(shard)) or any(
            shard in job.claims for job in self.owner.backlog.active.values()
        )

    def gain_shard(self, shard: Shard) -> None:
        """This controller holds a shard from now on: nothing is known of its machines yet."""
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
        log.info("shard gained shard=%s term=%d machines=%d", shard.name, shard.term, len(machines))
        self.owner.pass_needed = True

    def lose_shard(self, name: str) -> None:
        """Somebody else holds a shard, or nobody does."""
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
        """What an earlier holder may have left on this machine is known: it has reported under the
        current token, so that its list is complete, or all that was on it is gone."""
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
        """The shard that a gang of whole machines belongs to: the one with most machines for it.
        None if several of its tasks share a machine, which any shard can provide."""
        spec = job.spec
        needs = _needs(spec)
        known = self.gang_homes.get(needs)
        if known is not None and self.owner.now < known[0]:
            return known[1]
        home = self._find_home(spec)
        if len(self.gang_homes) > 200:
            self.gang_homes.clear()
        self.gang_homes[needs] = (self.owner.now + 4 * TICK_S, home)
        return home

    def _find_home(self, spec: Job) -> str | None:
        types = [t for t in self.owner.machine_types.values() if type_allowed(spec, t)]
        if not types or not all(fills_most_of_machine(spec, t) for t in types):
            return None
        return self.most_machines(spec)

    def home_shard(self, job: JobRun) -> str:
        """The shard that a gang is served in which fits nowhere yet: the one with most machines for
        it, found from the records and so the same for all."""
        return self.gang_home_shard(job) or self.most_machines(job.spec)

    def fleet_can_hold(self, job: JobRun) -> bool:
        """The fleet as it is, were it empty, has room for all tasks of a job, in one zone if need
        be. Nothing is kept for one that nothing could make room for."""
        return self._slots(job.spec, None) >= job.spec.tasks

    def tasks_beyond_capacity(self, job: JobRun, shard: str) -> int:
        """Tasks of a job that a shard, were it empty, has no room for, in one zone if need be."""
        return max(0, job.spec.tasks - self._slots(job.spec, shard))

    def _slots(self, spec: Job, shard: str | None) -> int:
        """Tasks that the machines of a shard (None: of all) have room for when they are empty."""
        key = (*_needs(spec), spec.one_zone, shard)
        known = self.most_slots.get(key)
        if known is not None and self.owner.now < known[0]:
            return known[1]
        by_shard = self.owner.machines_by_shard
        machines = self.owner.machines if shard is None else by_shard.get(shard, {})
        zones: dict[str, int] = {}
        for machine in machines.values():
            kind = machine.machine_type
            if kind is None or machine.record.leaving or not machine_allowed(spec, machine):
                continue
            zone = machine.record.zone if spec.one_zone else ""
            room = tasks_fitting(spec, (kind.cpus, kind.gpus, kind.memory_gb))
            zones[zone] = zones.get(zone, 0) + room
        if len(self.most_slots) > 200:
            self.most_slots.clear()
        most = max(zones.values(), default=0)
        self.most_slots[key] = self.owner.now + 8 * TICK_S, most
        return most

    def most_machines(self, spec: Job) -> str:
        """The shard with most machines that a job may use."""
        counts = dict.fromkeys(sorted(self.owner.settings.nodes), 0)
        for shard, machines in self.owner.machines_by_shard.items():
            if shard in counts:
                counts[shard] = sum(
                    not m.record.leaving and machine_allowed(spec, m) for m in machines.values()
                )
        return max(counts, key=lambda n: counts[n])

    def promised_room(self, shard: str) -> RoomByMachine:
        """Room of a shard's machines that its claimed but unplaced tasks will take."""
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


def _needs(spec: Job) -> tuple[object, ...]:
    """What decides on which machines a task may be."""
    return (*(spec.types or ()), spec.zone, spec.spot, spec.cpus, spec.gpus, spec.memory_gb)

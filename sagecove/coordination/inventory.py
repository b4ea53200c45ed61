"""Machines as their records tell: they come, change their shards, and go."""

from __future__ import annotations

from typing import Protocol

from sagecove.coordination.interfaces import OwnerContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import Machine
from sagecove.coordination.placement import price_class
from sagecove.protocol.cloud import MachineType
from sagecove.storage import records as r
from sagecove.storage.mirror import Event


class Forgetting(Protocol):
    """What workers have said."""

    # Machines that are gone, and since when.
    deleted_at: dict[str, float]

    def forget_tasks(self, machine: Machine, why: str) -> None:
        """All that was on a machine is gone."""


class Resolving(Protocol):
    """Machines that an earlier holder knew."""

    def resolve_machine(self, machine: Machine) -> None:
        """What an earlier holder may have left on this machine is known."""


class Inventory:
    """The tables of machines."""

    def __init__(
        self, desk: OwnerContext, ledger: Ledger, workers: Forgetting, shards: Resolving
    ) -> None:
        self.desk = desk
        self.ledger = ledger
        self.workers = workers
        self.shards = shards
        # Machines that are to be deleted.
        self.leaving: dict[str, Machine] = {}
        # The cheapest ordinary price for a CPU.
        self.lowest_cpu_price = 0.0

    def types_changed(self, types: list[MachineType]) -> None:
        """The cloud has told its machine types."""
        self.desk.machine_types.clear()
        self.desk.machine_types.update((t.name, t) for t in types)
        self.lowest_cpu_price = min((t.price / max(t.cpus, 0.1) for t in types), default=0)
        for machine in self.desk.machines.values():
            self._set_kind(machine)

    def machine_changed(self, name: str, event: Event) -> None:
        """A machine's record has changed."""
        machine = self.desk.machines.get(name)
        if event.value is None:
            if machine is not None:
                # Its deletion was answered by the cloud: it is gone, and all that was on it.
                del self.desk.machines[name]
                self.leaving.pop(name, None)
                self.desk.machines_by_shard.get(machine.record.shard, {}).pop(name, None)
                self.workers.deleted_at[name] = self.desk.now
                machine.tasks_known = False
                self.workers.forget_tasks(machine, "gone")
                self.shards.resolve_machine(machine)
                self.ledger.update_machine(machine)
            return
        record: r.MachineRecord = event.value
        if machine is None:
            machine = Machine(name, record, event.stamp, self.desk.now)
            self.desk.machines[name] = machine
        else:
            if machine.record.shard != record.shard:
                self.desk.machines_by_shard.get(machine.record.shard, {}).pop(name, None)
                self.ledger.detach_machine(machine)
                machine.record = record
                machine.reset(self.desk.now)
            machine.record = record
            machine.stamp = event.stamp
            machine.handing_over = False
        self._set_kind(machine)
        self.desk.machines_by_shard.setdefault(record.shard, {})[name] = machine
        if record.leaving:
            self.leaving[name] = machine
        else:
            self.leaving.pop(name, None)
        self.ledger.update_machine(machine)

    def _set_kind(self, machine: Machine) -> None:
        machine.machine_type = kind = self.desk.machine_types.get(machine.record.type)
        if kind is not None:
            machine.price_class = price_class(kind, machine.record.spot, self.lowest_cpu_price)
        self.ledger.update_machine(machine)

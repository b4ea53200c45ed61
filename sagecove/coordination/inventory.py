"""Keeps the owner's tables of machines in step with their records in the state service."""

from __future__ import annotations

from typing import Protocol

from sagecove.coordination.interfaces import OwnerContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import Machine
from sagecove.coordination.placement import price_class
from sagecove.protocol.cloud import MachineType
from sagecove.storage import records
from sagecove.storage.mirror import Event


class WorkerTables(Protocol):
    """Interface that the inventory requires of `Workers`."""

    def machine_deleted(self, machine: Machine) -> None:
        """Drop all tasks of a machine that is gone, and ignore its late reports."""


class MachineResolver(Protocol):
    """Machines on which tasks of an earlier holder may still run."""

    def resolve_machine(self, machine: Machine) -> None:
        """Record that the tasks an earlier holder left on this machine are known."""


class Inventory:
    """The tables of machines and machine types."""

    def __init__(
        self,
        context: OwnerContext,
        ledger: Ledger,
        workers: WorkerTables,
        shards: MachineResolver,
    ) -> None:
        self.context = context
        self.ledger = ledger
        self.workers = workers
        self.shards = shards
        # Machines that are to be deleted.
        self.leaving: dict[str, Machine] = {}
        # The lowest on-demand price per CPU of any machine type.
        self.lowest_cpu_price = 0.0

    def types_changed(self, types: list[MachineType]) -> None:
        """Replace the machine types by those the cloud offers now."""
        self.context.machine_types.clear()
        self.context.machine_types.update((t.name, t) for t in types)
        self.lowest_cpu_price = min((t.price / max(t.cpus, 0.1) for t in types), default=0)
        for machine in self.context.machines.values():
            self._set_machine_type(machine)

    def machine_changed(self, name: str, event: Event) -> None:
        """Apply a change of a machine's record."""
        machine = self.context.machines.get(name)
        if event.value is None:
            if machine is not None:
                # The cloud has confirmed the deletion: the machine and all its tasks are gone.
                del self.context.machines[name]
                self.leaving.pop(name, None)
                self.context.machines_by_shard.get(machine.record.shard, {}).pop(name, None)
                machine.tasks_known = False
                self.workers.machine_deleted(machine)
                self.shards.resolve_machine(machine)
                self.ledger.update_machine(machine)
            return
        record: records.MachineRecord = event.value
        if machine is None:
            machine = Machine(name, record, event.revision, self.context.now)
            self.context.machines[name] = machine
        else:
            if machine.record.shard != record.shard:
                self.context.machines_by_shard.get(machine.record.shard, {}).pop(name, None)
                self.ledger.detach_machine(machine)
                machine.record = record
                machine.reset(self.context.now)
            machine.record = record
            machine.stamp = event.revision
            machine.handing_over = False
        self._set_machine_type(machine)
        self.context.machines_by_shard.setdefault(record.shard, {})[name] = machine
        if record.leaving:
            self.leaving[name] = machine
        else:
            self.leaving.pop(name, None)
        self.ledger.update_machine(machine)

    def _set_machine_type(self, machine: Machine) -> None:
        machine.machine_type = machine_type = self.context.machine_types.get(machine.record.type)
        if machine_type is not None:
            machine.price_class = price_class(
                machine_type, machine.record.spot, self.lowest_cpu_price
            )
        self.ledger.update_machine(machine)

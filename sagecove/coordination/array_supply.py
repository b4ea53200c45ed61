"""CPUs that are there for arrays, and the work that needs them, by the machines it may use.

An array that may not use spot machines, or is bound to a zone or to machine types, has room only on
some of the machines. One account over all machines counted the others as room for it: nothing was
rented, and the only machines that it may use were drained. So there is an account for each set of
kinds of machines that some array is bound to, and one for all. The work of an array counts in each
account that has all of its machines.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from sagecove.coordination.model import Machine
from sagecove.coordination.placement import type_allowed
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job

# Share of the CPUs that are counted on: the rest is lost between tasks and to odd sizes.
USABLE_CPU_SHARE = 0.9


class MachineKind(NamedTuple):
    """What decides, beside their size, which jobs may use machines."""

    type_name: str
    zone: str
    spot: bool


# Kinds of machines, as a set of bits.
KindSet = int


@dataclasses.dataclass(slots=True)
class SupplyAccount:
    """CPUs of machines of some kinds, and the work of the arrays that may use no others."""

    kinds: KindSet
    available_cpus: float
    # Work of the arrays counted so far, and the most CPUs that any of them needs to be in time.
    work_cpu_s: float = 0.0
    needed_cpus: float = 0.0

    @property
    def surplus_cpus(self) -> float:
        """CPUs that arrays could do without."""
        return USABLE_CPU_SHARE * self.available_cpus - self.needed_cpus


class ArraySupply:
    """The accounts of one look at the fleet."""

    def __init__(self, machine_types: Iterable[MachineType], machines: Iterable[Machine]) -> None:
        self._types = list(machine_types)
        self._bits: dict[MachineKind, KindSet] = {}
        self._cpus: dict[MachineKind, float] = {}
        self._kinds_by_needs: dict[tuple[object, ...], KindSet] = {}
        self._taken_cpus: dict[KindSet, float] = {}
        self._accounts: dict[KindSet, SupplyAccount] = {}
        self._accounts_by_kinds: dict[KindSet, list[SupplyAccount]] = {}
        for machine_type in self._types:
            for zone in machine_type.zones:
                for spot in (False, True):
                    self._add_kind(MachineKind(machine_type.name, zone, spot))
        cpus_by_type = {machine_type.name: machine_type.cpus for machine_type in self._types}
        records = (machine.record for machine in machines if machine.machine_type is not None)
        # Plain tuples: with thousands of machines this is most of the cost.
        counts = Counter((record.type, record.zone, record.spot) for record in records)
        for fields, count in counts.items():
            kind = MachineKind(*fields)
            self._add_kind(kind)
            self._cpus[kind] = count * cpus_by_type.get(kind.type_name, 0.0)

    def take(self, spec: Job, cpus: float) -> None:
        """Count CPUs that a job which is no array has claimed. To be called for all of them before
        the accounts are opened."""
        kinds = self.kinds_for(spec)
        self._taken_cpus[kinds] = self._taken_cpus.get(kinds, 0.0) + cpus

    def open_accounts(self, arrays: Iterable[Job]) -> None:
        """Open an account for each set of kinds that arrays are bound to, and one for all kinds."""
        everything = sum(self._bits.values())
        for kinds in {everything, *map(self.kinds_for, arrays)}:
            taken = sum(
                cpus * self._share_within(of, kinds) for of, cpus in self._taken_cpus.items()
            )
            available = max(0.0, self._cpus_of(kinds) - taken) * USABLE_CPU_SHARE
            self._accounts[kinds] = SupplyAccount(kinds, available)

    def accounts_for(self, spec: Job) -> list[SupplyAccount]:
        """Return the accounts that have all machines which an array may use."""
        kinds = self.kinds_for(spec)
        found = self._accounts_by_kinds.get(kinds)
        if found is None:
            found = [account for account in self._accounts.values() if not kinds & ~account.kinds]
            self._accounts_by_kinds[kinds] = found
        return found

    def surplus_cpus(self, kind: MachineKind) -> float:
        """Return the CPUs of machines of a kind that arrays could do without: the least surplus of
        all accounts that have them."""
        bit = self._bits[kind]
        return min(a.surplus_cpus for a in self._accounts.values() if a.kinds & bit)

    def remove(self, kind: MachineKind, cpus: float) -> None:
        """Count a machine as given up."""
        bit = self._bits[kind]
        for account in self._accounts.values():
            if account.kinds & bit:
                account.available_cpus -= cpus / USABLE_CPU_SHARE

    def kinds_for(self, spec: Job) -> KindSet:
        """Return the kinds of machines that a job may use and a task fits on."""
        types = None if spec.types is None else tuple(spec.types)
        needs = types, spec.zone, spec.spot, spec.cpus, spec.gpus, spec.memory_gb
        kinds = self._kinds_by_needs.get(needs)
        if kinds is None:
            fitting = {t.name for t in self._types if type_allowed(spec, t)}
            kinds = sum(
                bit
                for kind, bit in self._bits.items()
                if kind.type_name in fitting
                and spec.zone in (None, kind.zone)
                and (spec.spot or not kind.spot)
            )
            self._kinds_by_needs[needs] = kinds
        return kinds

    def _add_kind(self, kind: MachineKind) -> None:
        self._bits.setdefault(kind, 1 << len(self._bits))

    def _cpus_of(self, kinds: KindSet) -> float:
        return sum(cpus for kind, cpus in self._cpus.items() if self._bits[kind] & kinds)

    def _share_within(self, of: KindSet, kinds: KindSet) -> float:
        """Return which share of what may be on kinds `of` is taken to be on `kinds`."""
        if not of & ~kinds:
            return 1.0
        total = self._cpus_of(of)
        return self._cpus_of(of & kinds) / total if total else 0.0


def kind_of(machine: Machine) -> MachineKind:
    """Return the kind of a machine."""
    return MachineKind(machine.record.type, machine.record.zone, machine.record.spot)

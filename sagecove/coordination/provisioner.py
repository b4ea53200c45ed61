"""The provisioner: one leased role that makes the cloud calls.

It works from what the state service says (jobs, claims, machines, rentals); peers' hints about
room and need only make its choices better.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from sagecove.coordination.model import JobRun, Machine, precedence
from sagecove.coordination.placement import (
    hourly_price,
    machine_allowed,
    price_class,
    tasks_by_zone,
    tasks_fitting,
    type_allowed,
)
from sagecove.protocol import cloud as c
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import GANG, Job
from sagecove.storage.budget import Budget
from sagecove.storage.records import (
    HOLDER,
    MACHINE,
    PROVISIONER,
    RENTAL,
    TYPES,
    MachineRecord,
    RentalRecord,
    TypesRecord,
)
from sagecove.storage.store import Outcome, Result, decode

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.provision")

# Resting jobs that are alike and are looked at one by one for what is to be rented.
ALIKE_MOST = 200

Done = Callable[[int | None, bytes], None]

# Machines of a list that are taken in: far beyond any fleet, against a list without end.
LISTED_MOST = 50_000

# Arrays are not rented for at more than this many times their cheapest price.
DEAR = 20.0


@dataclasses.dataclass(slots=True)
class ExpectedMachine:
    """A machine that has not reported yet, or is about to be rented, and its room to be filled."""

    machine_type: MachineType
    zone: str
    spot: bool
    shard: str
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    # Up already, and free as far as gangs go.
    gangs_only: bool = False

    @classmethod
    def from_machine(cls, machine: Machine) -> ExpectedMachine:
        """A machine with a record."""
        assert machine.machine_type is not None
        record = machine.record
        return cls(machine.machine_type, record.zone, record.spot, record.shard)

    def room_for(self, spec: Job) -> int:
        """How many more tasks fit."""
        kind = self.machine_type
        return tasks_fitting(
            spec, (kind.cpus - self.cpus, kind.gpus - self.gpus, kind.memory_gb - self.memory_gb)
        )

    def count_tasks(self, spec: Job, count: int) -> None:
        """Count tasks in."""
        self.cpus += count * spec.cpus
        self.gpus += count * spec.gpus
        self.memory_gb += count * spec.memory_gb


class ExpectedFleet:
    """Machines to come, grouped by what they are, so that a job looks at a group once."""

    def __init__(self, smallest_task_cpus: float) -> None:
        # Machines with less room than any task takes are out of the search.
        self.least_cpus = smallest_task_cpus
        self.groups: dict[tuple[str, str, bool, str, bool], list[ExpectedMachine]] = {}

    def add(self, machine: ExpectedMachine) -> None:
        """One more machine."""
        key = (
            machine.machine_type.name,
            machine.zone,
            machine.spot,
            machine.shard,
            machine.gangs_only,
        )
        self.groups.setdefault(key, []).append(machine)

    def zone_with_most(self, spec: Job, shard: str | None) -> str | None:
        """Where a job whose tasks must be in one zone has most room to come, if anywhere."""
        room: dict[str, int] = {}
        for (_, zone, spot, home, gangs), group in self.groups.items():
            if (
                group
                and (spec.kind == GANG or not gangs)
                and (shard is None or home in ("", shard))
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
        only: str | None = None,
    ) -> int:
        """Give tasks room (in one zone `only`); how many got it. `zones` counts the job's tasks by
        zone."""
        placed = 0
        cap = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
        for (_, zone, spot, home, gangs), group in self.groups.items():
            if (
                not group
                or (gangs and spec.kind != GANG)
                or (shard is not None and home not in ("", shard))
                or (spot and not spec.spot)
                or (only or spec.zone) not in (None, zone)
                or not type_allowed(spec, group[0].machine_type)
            ):
                continue
            full = False
            for machine in group:
                more = min(count - placed, cap - zones.get(zone, 0))
                if more <= 0:
                    break
                more = min(more, machine.room_for(spec))
                if more > 0:
                    machine.count_tasks(spec, more)
                    placed += more
                    zones[zone] = zones.get(zone, 0) + more
                    full = full or machine.machine_type.cpus - machine.cpus < self.least_cpus
            if full:
                group[:] = [m for m in group if m.machine_type.cpus - m.cpus >= self.least_cpus]
            if placed >= count:
                break
        return placed


class Provisioner:
    """Rents and returns machines while this controller holds the role."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        rps = owner.settings.params.cloud.rps
        self.budget = Budget(rps * 0.9, rps * 1.8, owner.now)
        self.types_at = -1e9
        self.listed_at = -1e9
        self.think_at = 0.0
        self.busy: set[str] = set()
        self.count = 0
        # (type, zone, spot) that had no capacity, until when it is not asked again.
        self.full_until: dict[tuple[str, str, bool], float] = {}
        self.listing: list[c.Listed] = []
        # Deleted machines whose records are being removed.
        self.dropping: set[str] = set()
        self.term = 0
        # Rentals that were refused, and when the removal of their record may be tried again.
        self.refused: dict[str, float] = {}
        # Machines whose holders are asked to let them run empty.
        self.machines_to_drain: list[str] = []
        # By job: how many like it are not looked at one by one, and their tasks.
        self.more: dict[str, tuple[int, int]] = {}

    def tick(self, now: float) -> None:
        """Do what is due."""
        owner = self.owner
        term = owner.leadership.provisioner_term
        if not term or not owner.leadership.may_act(now):
            self.machines_to_drain = []
            return
        if term != self.term:
            self.term = term
            self.refused.clear()
            self.count = 0
            self.listed_at = -1e9
            self.think_at = now + 0.5
        if "types" not in self.busy and now - self.types_at > (
            60.0 if owner.machine_types else 2.0
        ):
            self._call("types", "GET", "/flavors", None, self._types)
            self.types_at = now
        self._repeat_rentals(now)
        self._delete(now)
        lag = owner.settings.params.cloud.list_lag_s
        if "list" not in self.busy and now - self.listed_at > max(5.0, lag):
            self.listed_at = now
            self.listing = []
            self._page("")
        if now >= self.think_at and owner.machine_types:
            self.think_at = now + 1.0
            self._rent_what_lacks(now)

    def _call(self, name: str, method: str, path: str, body: object, done: Done) -> bool:
        """A cloud call within the budget; at most one of a name at a time."""
        owner = self.owner
        if name in self.busy or self.budget.delay(owner.now) > 0:
            return False
        self.budget.spend(owner.now)
        self.busy.add(name)

        def answered(status: int | None, body: bytes) -> None:
            self.busy.discard(name)
            done(status, body)

        owner.call("cloud", method, path, body, 8.0, answered)
        return True

    # -- types ----------------------------------------------------------------------------------

    def _types(self, status: int | None, body: bytes) -> None:
        owner = self.owner
        answer = decode(body, c.Types) if status == 200 else None
        if answer is None or not answer.types:
            self.types_at = owner.now - 58.0
            return
        record = TypesRecord(answer.types)
        self._commit([wire.Put(TYPES, record)], [], lambda _: None)

    # -- the list -------------------------------------------------------------------------------

    def _page(self, after: str) -> None:
        start = f"from={after}&" if after else ""
        self._call("list", "GET", f"/machines?{start}most={c.LIST_MOST}", None, self._listed)

    def _listed(self, status: int | None, body: bytes) -> None:
        owner = self.owner
        page = decode(body, c.Listing) if status == 200 else None
        if page is None:
            return
        self.listing += page.machines
        if page.more and page.machines and len(self.listing) < LISTED_MOST:
            self._page(page.machines[-1].name)
            return
        sizes = self._shard_sizes()
        for machine in self.listing:
            known = owner.machines.get(machine.name)
            if known is None:
                self._unexpected(machine, sizes)
            elif machine.state == "failed" and not known.record.leaving:
                self._mark(known.name, known.record, known.stamp, "failed")
            elif (
                machine.state == "booting"
                and not known.ever_reported
                and known.machine_type is not None
                and machine.age_s > owner.estimates.boot_timeout_s(known.machine_type)
                and not known.record.leaving
            ):
                self._mark(known.name, known.record, known.stamp, "never came up")
        self.listing = []

    def _mark(self, name: str, record: MachineRecord, stamp: int, why: str) -> None:
        """Mark a machine that stopped, or never started, for deletion."""
        log.info("machine to be deleted machine=%s why=%s", name, why)
        new = MachineRecord(
            record.type, record.zone, record.spot, record.shard, record.addr, record.at, why
        )
        self._commit([wire.Put(MACHINE + name, new)], [(MACHINE + name, stamp)], lambda _: None)

    def _unexpected(self, machine: c.Listed, sizes: dict[str, int]) -> None:
        """A machine nobody has a record of: from a lost or late rental. Use it."""
        owner = self.owner
        gone = owner.workers.deleted_at.get(machine.name)
        lag = owner.settings.params.cloud.list_lag_s
        if gone is not None and owner.now - gone < 3 * lag + 5:
            return
        if any(name.startswith("rent:") for name in self.busy):
            return
        home = _fewest(sizes)
        sizes[home] += 1
        record = MachineRecord(
            machine.type,
            machine.zone,
            machine.spot,
            home,
            machine.addr,
            owner.wall(),
            "failed" if machine.state == "failed" else "",
        )
        log.info("unexpected machine adopted machine=%s", machine.name)
        key = MACHINE + machine.name
        self._commit([wire.Put(key, record)], [(key, 0)], lambda _: None)

    # -- returning ------------------------------------------------------------------------------

    def _delete(self, now: float) -> None:
        owner = self.owner
        # While the records of deleted machines wait for their removal, deleting them again would
        # queue that again, at every tick: on a bench day this filled the queue of transactions, and
        # no claim went through for a minute.
        names = [name for name in owner.inventory.leaving if name not in self.dropping]
        if not names or "delete" in self.busy:
            return
        names = sorted(names)[: c.DELETE_MOST]

        def done(status: int | None, body: bytes) -> None:
            if status != 200:
                return
            for start in range(0, len(names), 8):
                part = names[start : start + 8]
                drops: list[wire.Put | wire.Drop] = []
                conditions = []
                self.dropping.update(part)
                for name in part:
                    machine = owner.machines.get(name)
                    if machine is not None:
                        drops.append(wire.Drop(MACHINE + name))
                        conditions.append((MACHINE + name, machine.stamp))
                if drops:
                    self._commit(drops, conditions, self._dropped(part))
                else:
                    self.dropping.difference_update(part)

        self._call("delete", "POST", "/machines/delete", c.Names(names), done)

    def shard_of_rental(self, kind: str, zone: str, spot: bool) -> str | None:
        """The shard that machines of a rental without a recorded answer are meant for."""
        for key, item in self.owner.rentals.items():
            record: RentalRecord = item.value
            if (record.type, record.zone, record.spot) == (kind, zone, spot):
                shard = key.rpartition(".")[2]
                if shard in self.owner.settings.nodes:
                    return shard
        return None

    def _dropped(self, names: list[str]) -> Callable[[Result], None]:
        def done(_: Result) -> None:
            self.dropping.difference_update(names)

        return done

    # -- renting --------------------------------------------------------------------------------

    def _shard_sizes(self) -> dict[str, int]:
        """Machines per shard, of the shards that have a holder."""
        owner = self.owner
        up = [n for n in owner.settings.nodes if HOLDER + n in owner.mirror.items]
        return {n: len(owner.machines_by_shard.get(n, {})) for n in up or [owner.settings.node]}

    def _homes(self, shard: str, count: int) -> list[str]:
        """Shards for rented machines: the one they were rented for, else those with the fewest."""
        if shard in self.owner.settings.nodes:
            return [shard] * count
        counts = self._shard_sizes()
        homes = []
        for _ in range(count):
            home = _fewest(counts)
            counts[home] += 1
            homes.append(home)
        return homes

    def options(self, job: JobRun, now: float) -> list[tuple[float, MachineType, str, bool]]:
        """What could be rented for a task of this job, cheapest per task first."""
        out = []
        spec = job.spec
        left = max(1, job.unfinished.bit_count())
        kinds = self.owner.machine_types.values()
        nominal = min((self._nominal(spec, kind) for kind in kinds), default=0.0)
        for kind in self.owner.machine_types.values():
            if not type_allowed(spec, kind):
                continue
            fit = self._fit(spec, kind)
            for zone in kind.zones:
                if spec.zone is not None and zone != spec.zone:
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    if self.full_until.get((kind.name, zone, spot), 0.0) > now:
                        continue
                    price = hourly_price(kind, spot)
                    # Late work costs a multiple of its cheapest price; beyond that, better late.
                    if job.array and price / fit > DEAR * nominal:
                        continue
                    # Spot machines may be taken: count some of the work as lost.
                    cost = price * (1.15 if spot else 1.0) / min(fit, left)
                    out.append((cost + self.owner.random.random() * 1e-6, kind, zone, spot))
        out.sort(key=lambda o: o[0])
        return out

    @staticmethod
    def _fit(spec: Job, kind: MachineType) -> int:
        return max(1, tasks_fitting(spec, (kind.cpus, kind.gpus, kind.memory_gb)))

    def _nominal(self, spec: Job, kind: MachineType) -> float:
        """Lowest price of a task on a full machine of a type."""
        if not type_allowed(spec, kind):
            return float("inf")
        return hourly_price(kind, spec.spot) / self._fit(spec, kind)

    def _rent_what_lacks(self, now: float) -> None:
        """Rent for tasks that nobody has room for, beyond what is booting already."""
        owner = self.owner
        if owner.rentals:
            return
        # Machines would not help jobs that fail everywhere. Of many that are alike the first are
        # looked at one by one, and the others' work is added to the last of these.
        jobs: list[JobRun] = []
        failing: list[JobRun] = []
        self.more = {}
        for job in owner.backlog.active.values():
            if not owner.failures.fails_everywhere(job):
                if job.array:
                    owner.estimates.update_rank(job)
                jobs.append(job)
            else:
                failing.append(job)
        for group in owner.backlog.groups.values():
            members = [j for j in group.jobs.values() if not owner.failures.fails_everywhere(j)]
            most = ALIKE_MOST if group.any_job().durable_state is None else 1
            if len(members) > most:
                rest = members[most:]
                members = members[:most]
                self.more[members[-1].id] = len(rest), sum(j.unclaimed.bit_count() for j in rest)
            jobs += owner.backlog.sort_by_precedence(members)
        jobs.sort(key=precedence)
        coming = ExpectedFleet(min((j.spec.cpus for j in jobs), default=0.0))
        usable: list[Machine] = []
        for machine, arrival in owner.peers.boot_statuses():
            if machine.machine_type is None or machine.record.leaving:
                continue
            if arrival == "coming":
                coming.add(ExpectedMachine.from_machine(machine))
            if arrival != "overdue" and not machine.faulty:
                usable.append(machine)
        wanted: dict[tuple[str, str, bool, str], int] = {}
        homes = self._gang_homes(jobs, coming)
        for job in jobs:
            if not job.array and now - job.first_seen_at > 0.4:
                for shard, count in self._lacking(job, now):
                    home = shard or homes.get(job.id)
                    self._fill(job, count, home, coming, wanted, now)
        self._fill_arrays([j for j in jobs if j.array], usable, coming, wanted, now)
        for job in failing:
            # Nothing more is rented for what fails everywhere, but its next try needs a machine.
            if now >= job.hold_until and not any(machine_allowed(job.spec, m) for m in usable):
                self._fill(job, 1, None, coming, wanted, now)
        for (name, zone, spot, shard), count in wanted.items():
            self.rent(name, zone, spot, min(count, c.RENT_MOST), shard)

    def _gang_homes(self, jobs: list[JobRun], coming: ExpectedFleet) -> dict[str, str]:
        """Where gangs of whole machines are served: a gang must fit one shard, so what is rented
        for one goes to the shard that has most of such machines. Those that no claim there needs
        are free for the next gang, and are counted as room to come."""
        owner = self.owner
        homes: dict[str, str] = {}
        free: dict[str, set[str]] = {}
        for job in jobs:
            if not job.gang or (home := owner.shards.gang_home_shard(job)) is None:
                continue
            homes[job.id] = home
            claimed = job.claimed(home).bit_count()
            hungry = owner.peers.room_shortages.get(job.id)
            if hungry is not None and owner.now - hungry[2] < 4.0:
                claimed -= hungry[1]
            if home not in free:
                free[home] = {
                    m.name
                    for m in owner.machines_by_shard.get(home, {}).values()
                    if not m.record.leaving and not m.faulty and owner.peers.boot_status(m) == "up"
                }
            # Which ones the claimed tasks are on only the holder knows: any will do here.
            mine = [n for n in free[home] if machine_allowed(job.spec, owner.machines[n])]
            for name in sorted(mine)[: max(0, claimed)]:
                free[home].discard(name)
        waiting = [j for j in jobs if j.id in homes and j.unclaimed]
        for names in free.values():
            for name in sorted(names):
                machine = owner.machines[name]
                if any(machine_allowed(j.spec, machine) for j in waiting):
                    room = ExpectedMachine.from_machine(machine)
                    # For gangs alone: other work may well have taken its part.
                    room.gangs_only = True
                    coming.add(room)
        return homes

    def _lacking(self, job: JobRun, now: float) -> list[tuple[str | None, int]]:
        """Tasks without a place: those nobody claims, and those whose shard lacks the room."""
        out: list[tuple[str | None, int]] = []
        hungry = self.owner.peers.room_shortages.get(job.id)
        if hungry is not None and now - hungry[2] < 4.0:
            out.append((hungry[0], hungry[1]))
        if unclaimed := job.unclaimed.bit_count():
            out.append((None, unclaimed))
        return out

    def _fill(
        self,
        job: JobRun,
        count: int,
        shard: str | None,
        coming: ExpectedFleet,
        wanted: dict[tuple[str, str, bool, str], int],
        now: float,
        dearest: int = 99,
    ) -> int:
        """Find room for tasks on machines to come, else on machines to be rented that are no
        dearer than a class; how many found none."""
        spec = job.spec
        zones = tasks_by_zone(job)
        cap = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
        # What is rented for a gang that must be in one zone goes where the rest of it is. Replacing
        # one of its machines in another zone helped nobody.
        only = None
        if spec.one_zone and spec.zone is None and spec.tasks > 1:
            only = next(iter(zones), None) or coming.zone_with_most(spec, shard)
        count -= coming.place(spec, count, shard, zones, only)
        base = self.owner.inventory.lowest_cpu_price
        options = self.options(job, now) if count > 0 else []
        # Where there is no more to be had, all of it has to go elsewhere, as for a new one.
        options = [o for o in options if only in (None, o[2])] or options
        options = [o for o in options if price_class(o[1], o[3], base) <= dearest]
        while count > 0:
            choice = next((o for o in options if zones.get(o[2], 0) < cap), None)
            if choice is None:
                break
            _, kind, zone, spot = choice
            key = (kind.name, zone, spot, shard or "")
            wanted[key] = wanted.get(key, 0) + 1
            found = ExpectedMachine(kind, zone, spot, shard or "")
            more = min(found.room_for(spec), count, cap - zones.get(zone, 0))
            found.count_tasks(spec, more)
            if kind.cpus - found.cpus >= coming.least_cpus:
                coming.add(found)
            count -= more
            zones[zone] = zones.get(zone, 0) + more
        return count

    def _cheap(self, kind: MachineType) -> bool:
        """Machines of a type are among the cheap, at least as spot machines."""
        return price_class(kind, True, self.owner.inventory.lowest_cpu_price) <= 1

    def _fill_arrays(
        self,
        jobs: list[JobRun],
        usable: list[Machine],
        coming: ExpectedFleet,
        wanted: dict[tuple[str, str, bool, str], int],
        now: float,
    ) -> None:
        """Tasks of arrays may wait their turn: rent only if the machines there are, and those to
        come, would not be through with all that is ahead of a job by the time it is due."""
        owner = self.owner
        # CPUs that arrays may have, by the work's shape: what others claim is taken off.
        have = sum(
            machine.machine_type.cpus for machine in usable if machine.machine_type is not None
        )
        for other in owner.backlog.active.values():
            if not other.array and not owner.failures.fails_everywhere(other):
                claimed = (other.unfinished & ~other.unclaimed).bit_count()
                have -= claimed * self._weight(other)
        have = max(0.0, have) * 0.9
        work = peak = 0.0
        needed_kinds: set[str] = set()
        for job in jobs:
            # What is claimed is mostly under way, on average half done.
            unclaimed = job.unclaimed.bit_count()
            left = (job.unfinished.bit_count() + unclaimed) / 2
            others, more = self.more.get(job.id, (0, 0))
            unclaimed += more
            left += more
            limit = owner.limits.teams.get(job.spec.team)
            if limit is not None:
                # More than its team may use at one time would not run anyway.
                spec = job.spec
                for most, each in ((limit.cpus_max, spec.cpus), (limit.gpus_max, spec.gpus)):
                    if each > 0:
                        left = min(left, (1 + others) * 4.0 * max(1, int(most / each)))
            weight = self._weight(job)
            run = max(1.0, owner.estimates.expected_run_s(job))
            work += left * run * weight
            # Nobody is through sooner than one task's run after the machine is there.
            soon = max(self._time_left(job) - 0.3 * run, 0.75 * run, 10.0)
            peak = max(peak, work / soon)
            fitting = [t for t in owner.machine_types.values() if type_allowed(job.spec, t)]
            if fitting:
                needed_kinds.add(min(fitting, key=lambda t: t.price).name)
            if not unclaimed or now - job.first_seen_at < 0.4:
                continue
            # Cheap machines are rented for all that would otherwise still wait when they are up;
            # dear ones only for what would be late.
            boot = max((t.boot_s for t in fitting if self._cheap(t)), default=0.0)
            if boot:
                quick = max(min(soon, boot + run), 10.0)
                lack = min(work / quick - have, unclaimed * weight)
                if (count := int(lack / weight + 0.5)) > 0:
                    have += weight * (count - self._fill(job, count, None, coming, wanted, now, 1))
            lack = min(work / soon - have, unclaimed * weight)
            count = int(lack / weight + 0.5)
            if count <= 0 and not any(machine_allowed(job.spec, m) for m in usable):
                count = 1
            if count > 0:
                self._fill(job, count, None, coming, wanted, now)
                have += count * weight
        self.machines_to_drain = (
            [] if wanted else self._spare(usable, 0.9 * have - peak, needed_kinds)
        )

    def _spare(self, machines: list[Machine], surplus: float, needed: set[str]) -> list[str]:
        """The dearest machines that the arrays could do without: their holders let them run empty.

        Cheapest types stay, since they are the ones to be rented next.
        """
        out: list[str] = []
        # Prices of a CPU, by type and kind: of thousands of machines most are of the cheapest.
        prices: dict[tuple[str, bool], float] = {}
        for m in machines:
            key = m.record.type, m.record.spot
            if m.machine_type is not None and key not in prices:
                prices[key] = hourly_price(m.machine_type, m.record.spot) / max(
                    m.machine_type.cpus, 0.1
                )
        if not prices or surplus <= 0:
            return []
        floor = 1.5 * min(prices.values())
        dear = [
            (prices[m.record.type, m.record.spot], m.name, m)
            for m in machines
            if m.machine_type is not None and prices[m.record.type, m.record.spot] >= floor
        ]
        for _, name, machine in sorted(dear, reverse=True, key=lambda p: p[:2]):
            assert machine.machine_type is not None
            if surplus <= 0:
                break
            kind = machine.machine_type
            cheaper = bool(kind.spot_price) and not machine.record.spot
            if kind.cpus <= surplus and (cheaper or kind.name not in needed):
                surplus -= machine.machine_type.cpus
                out.append(name)
        return out

    def _weight(self, job: JobRun) -> float:
        """CPUs a task takes, or keeps others from taking because of its memory."""
        spec = job.spec
        fitting = [t for t in self.owner.machine_types.values() if type_allowed(spec, t)]
        if not fitting:
            return spec.cpus
        kind = min(fitting, key=lambda t: t.price / max(t.cpus, 0.1))
        return max(spec.cpus, kind.cpus / self._fit(spec, kind))

    def _time_left(self, job: JobRun) -> float:
        """How long the rest of an array may take, with some reserve."""
        owner = self.owner
        return owner.estimates.finish_within_s(job) * 0.7 - (owner.wall() - job.submitted_at)

    def rent(self, kind: str, zone: str, spot: bool, count: int, shard: str) -> None:
        """Write a rental down, then ask the cloud for it. Of one type, zone and kind only one call
        is under way: its answer tells whether there are more to be had."""
        owner = self.owner
        self.count += 1
        name = f"h{self.term}-{self.count}.{shard}"
        record = RentalRecord(kind, zone, spot, count, owner.wall())
        self._commit([wire.Put(RENTAL + name, record)], [(RENTAL + name, 0)], lambda _: None)

    def _repeat_rentals(self, now: float) -> None:
        """Every rental written down is asked for, under its name, until its answer is recorded."""
        owner = self.owner
        for key, item in list(owner.rentals.items()):
            name = key[len(RENTAL) :]
            record: RentalRecord = item.value
            call = "rent:" + name
            if call in self.busy:
                continue
            if (again := self.refused.get(key)) is not None:
                # Refused: the protocol has one repetition, not one at every tick. What is left to
                # do is to remove the record, which the state service may have refused in turn.
                if now >= again:
                    self._refused(key, item.stamp)
                continue
            body = c.Rent(name, record.type, record.zone, record.spot, record.count)
            if not self._call(
                call, "POST", "/machines", body, self._rented(name, record, item.stamp)
            ):
                return

    def _rented(self, name: str, record: RentalRecord, stamp: int) -> Done:
        def done(status: int | None, body: bytes) -> None:
            owner = self.owner
            key = RENTAL + name
            place = (record.type, record.zone, record.spot)
            if status == 200:
                answer = decode(body, c.Names)
                if answer is None:
                    return
                log.info(
                    "rented type=%s zone=%s spot=%s asked=%d got=%d request=%s",
                    *place,
                    record.count,
                    len(answer.machines),
                    name,
                )
                if len(answer.machines) < record.count:
                    self.full_until[place] = owner.now + 20.0
                new = [m for m in answer.machines if m not in owner.machines]
                homes = self._homes(name.partition(".")[2], len(new))
                pairs = list(zip(new, homes, strict=True))
                # A part must fit a transaction, with the rental's own key.
                size = owner.settings.params.state.txn_ops - 1
                parts = [pairs[i : i + size] for i in range(0, len(pairs), size)] or [[]]
                self._record_rented(key, stamp, record, parts)
            elif status in (400, 503):
                # A 503 was not executed; whoever still needs a machine asks under a new name.
                if b"no capacity" in body or status == 400:
                    self.full_until[place] = owner.now + 20.0
                    log.info("no capacity type=%s zone=%s spot=%s", *place)
                    self._refused(key, stamp)
                else:
                    self.budget.spend(owner.now)

        return done

    def _refused(self, key: str, stamp: int) -> None:
        """A rental was refused: its record goes."""
        self.refused[key] = self.owner.now + 2.0

        def done(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                self.refused.pop(key, None)

        self._commit([wire.Drop(key)], [(key, stamp)], done)

    def _record_rented(
        self, key: str, stamp: int, record: RentalRecord, parts: list[list[tuple[str, str]]]
    ) -> None:
        """Write the rented machines' records; with the last of them the rental is settled."""
        owner = self.owner
        part, rest = parts[0], parts[1:]
        changes: list[wire.Put | wire.Drop] = []
        conditions = []
        for machine, shard in part:
            new = MachineRecord(record.type, record.zone, record.spot, shard, "", owner.wall())
            changes.append(wire.Put(MACHINE + machine, new))
            conditions.append((MACHINE + machine, 0))
        if not rest:
            changes.append(wire.Drop(key))
            conditions.append((key, stamp))
        name = key[len(RENTAL) :]
        self.busy.add("rent:" + name)

        def done(result: Result) -> None:
            self.busy.discard("rent:" + name)
            if result.outcome is Outcome.DONE and rest:
                self._record_rented(key, stamp, record, rest)
            elif result.outcome is Outcome.CONFLICT and key not in result.failed:
                # Some were up at once and have been taken in by those they reported to.
                left = [(m, s) for m, s in part if MACHINE + m not in result.failed]
                if len(left) < len(part):
                    self._record_rented(key, stamp, record, [left, *rest])

        self._commit(changes, conditions, done)

    def _commit(
        self,
        changes: list[wire.Put | wire.Drop],
        conditions: list[tuple[str, int]],
        done: Callable[[Result], None],
    ) -> None:
        """A transaction that fails once the role has gone to another controller."""
        self.owner.commit([*conditions, (PROVISIONER, self.term)], changes, done)


def _fewest(counts: dict[str, int]) -> str:
    """The shard with the fewest machines."""
    return min(counts, key=lambda n: (counts[n], n))

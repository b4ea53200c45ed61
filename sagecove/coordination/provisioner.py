"""The provisioner: a leased role, held by one controller, that rents and deletes cloud machines.

It decides from the records in the state service (jobs, claims, machines, rentals). Peers' hints
about room and shortages only improve its choices.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from sagecove.coordination.array_supply import ArraySupply, MachineKind, SupplyAccount, kind_of
from sagecove.coordination.claims.gang_waits import gang_long_wait_s
from sagecove.coordination.claims.lasting_room import tasks_fitting_after_others
from sagecove.coordination.expected_fleet import ExpectedFleet, ExpectedMachine
from sagecove.coordination.model import JobRun, Machine
from sagecove.coordination.placement import (
    hourly_price,
    machine_allowed,
    price_class,
    tasks_fitting,
    type_allowed,
)
from sagecove.coordination.precedence import precedence
from sagecove.coordination.zone_rules import tasks_by_zone, tasks_per_zone_limit
from sagecove.protocol import cloud as cloud_protocol
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job
from sagecove.storage.budget import TokenBucket
from sagecove.storage.records import (
    HOLDER_PREFIX,
    MACHINE_PREFIX,
    MACHINE_TYPES_KEY,
    PROVISIONER_KEY,
    RENTAL_PREFIX,
    MachineRecord,
    MachineTypesRecord,
    RentalRecord,
)
from sagecove.storage.store import Outcome, Result, decode_answer

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.provision")

# Of a group of alike resting jobs, at most this many are considered one by one for rentals.
GROUP_JOBS_MAX_COUNT = 200

ResponseCallback = Callable[[int | None, bytes], None]

# Bound of the machines read from the cloud's list, far beyond any fleet, against an endless list.
LISTED_MACHINES_MAX_COUNT = 50_000

# Machines for arrays cost at most this many times the lowest price for their tasks.
ARRAY_PRICE_MAX_RATIO = 20.0


class Provisioner:
    """Rents and returns machines while this controller holds the role."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        rps = owner.settings.params.cloud.rps
        self.budget = TokenBucket(rps * 0.9, rps * 1.8, owner.now)
        self.types_requested_at = -1e9
        self.list_requested_at = -1e9
        self.next_rent_check_at = 0.0
        self.open_operations: set[str] = set()
        self.rental_count = 0
        # When (type, zone, spot) combinations without capacity may be tried again.
        self.no_capacity_until: dict[tuple[str, str, bool], float] = {}
        self.listed_machines: list[cloud_protocol.ListedMachine] = []
        # Deleted machines whose records are being removed.
        self.removing_records: set[str] = set()
        self.term = 0
        # Refused rentals, and when removing their record may be tried again.
        self.refused_rentals: dict[str, float] = {}
        # Machines whose holders are asked to drain them.
        self.machines_to_drain: list[str] = []
        # By job: the number of jobs like it that are not considered one by one, and their tasks.
        self.group_remainders: dict[str, tuple[int, int]] = {}

    def tick(self, now: float) -> None:
        """Start the cloud calls and writes that are due."""
        owner = self.owner
        term = owner.leadership.provisioner_term
        if not term or not owner.leadership.may_act(now):
            self.machines_to_drain = []
            return
        if term != self.term:
            self.term = term
            self.refused_rentals.clear()
            self.rental_count = 0
            self.list_requested_at = -1e9
            self.next_rent_check_at = now + 0.5
        if "types" not in self.open_operations and now - self.types_requested_at > (
            60.0 if owner.machine_types else 2.0
        ):
            self._call_cloud("types", "GET", "/flavors", None, self._types_received)
            self.types_requested_at = now
        self._send_rentals(now)
        self._delete_leaving(now)
        list_lag_s = owner.settings.params.cloud.list_lag_s
        if "list" not in self.open_operations and now - self.list_requested_at > max(
            5.0, list_lag_s
        ):
            self.list_requested_at = now
            self.listed_machines = []
            self._request_page("")
        if now >= self.next_rent_check_at and owner.machine_types:
            self.next_rent_check_at = now + 1.0
            self._rent_missing_machines(now)

    def _call_cloud(
        self, name: str, method: str, path: str, body: object, done: ResponseCallback
    ) -> bool:
        """Call the cloud within the rate budget, with at most one open call per name.

        Return whether the call was made.
        """
        owner = self.owner
        if name in self.open_operations or self.budget.seconds_until_available(owner.now) > 0:
            return False
        self.budget.spend(owner.now)
        self.open_operations.add(name)

        def answered(status: int | None, body: bytes) -> None:
            self.open_operations.discard(name)
            done(status, body)

        owner.call("cloud", method, path, body, 8.0, answered)
        return True

    # -- machine types --------------------------------------------------------------------------

    def _types_received(self, status: int | None, body: bytes) -> None:
        owner = self.owner
        answer = decode_answer(body, cloud_protocol.Types) if status == 200 else None
        if answer is None or not answer.types:
            self.types_requested_at = owner.now - 58.0
            return
        record = MachineTypesRecord(answer.types)
        self._commit([wire.Put(MACHINE_TYPES_KEY, record)], [], lambda _: None)

    # -- list of machines -----------------------------------------------------------------------

    def _request_page(self, after: str) -> None:
        start = f"from={after}&" if after else ""
        self._call_cloud(
            "list",
            "GET",
            f"/machines?{start}most={cloud_protocol.LIST_PAGE_COUNT}",
            None,
            self._page_received,
        )

    def _page_received(self, status: int | None, body: bytes) -> None:
        owner = self.owner
        page = decode_answer(body, cloud_protocol.Listing) if status == 200 else None
        if page is None:
            return
        self.listed_machines += page.machines
        if page.more and page.machines and len(self.listed_machines) < LISTED_MACHINES_MAX_COUNT:
            self._request_page(page.machines[-1].name)
            return
        sizes = self._shard_sizes()
        for machine in self.listed_machines:
            known = owner.machines.get(machine.name)
            if known is None:
                self._adopt_unexpected(machine, sizes)
            elif machine.state == "failed" and not known.record.leaving:
                self._mark_for_deletion(known.name, known.record, known.stamp, "failed")
            elif (
                machine.state == "booting"
                and not known.ever_reported
                and known.machine_type is not None
                and machine.age_s > owner.estimates.boot_timeout_s(known.machine_type)
                and not known.record.leaving
            ):
                self._mark_for_deletion(known.name, known.record, known.stamp, "never came up")
        self.listed_machines = []

    def _mark_for_deletion(self, name: str, record: MachineRecord, stamp: int, why: str) -> None:
        """Mark a machine that failed or never started for deletion."""
        log.info("machine to be deleted machine=%s why=%s", name, why)
        new = MachineRecord(
            record.type, record.zone, record.spot, record.shard, record.addr, record.at, why
        )
        self._commit(
            [wire.Put(MACHINE_PREFIX + name, new)], [(MACHINE_PREFIX + name, stamp)], lambda _: None
        )

    def _adopt_unexpected(
        self, machine: cloud_protocol.ListedMachine, sizes: dict[str, int]
    ) -> None:
        """Add a record for a listed machine without one, left by a lost or late rental answer."""
        owner = self.owner
        deleted_at = owner.workers.deleted_at.get(machine.name)
        list_lag_s = owner.settings.params.cloud.list_lag_s
        if deleted_at is not None and owner.now - deleted_at < 3 * list_lag_s + 5:
            return
        if any(name.startswith("rent:") for name in self.open_operations):
            return
        home_shard = _smallest_shard(sizes)
        sizes[home_shard] += 1
        record = MachineRecord(
            machine.type,
            machine.zone,
            machine.spot,
            home_shard,
            machine.addr,
            owner.wall(),
            "failed" if machine.state == "failed" else "",
        )
        log.info("unexpected machine adopted machine=%s", machine.name)
        key = MACHINE_PREFIX + machine.name
        self._commit([wire.Put(key, record)], [(key, 0)], lambda _: None)

    # -- deletion -------------------------------------------------------------------------------

    def _delete_leaving(self, now: float) -> None:
        owner = self.owner
        # Machines whose records are being removed are skipped. Deleting them again at every tick
        # queued the removal again each time; in a benchmark this filled the transaction queue, and
        # no claim went through for a minute.
        names = [name for name in owner.inventory.leaving if name not in self.removing_records]
        if not names or "delete" in self.open_operations:
            return
        names = sorted(names)[: cloud_protocol.DELETE_MAX_COUNT]

        def done(status: int | None, body: bytes) -> None:
            if status != 200:
                return
            for start in range(0, len(names), 8):
                part = names[start : start + 8]
                drops: list[wire.Put | wire.Delete] = []
                conditions = []
                self.removing_records.update(part)
                for name in part:
                    machine = owner.machines.get(name)
                    if machine is not None:
                        drops.append(wire.Delete(MACHINE_PREFIX + name))
                        conditions.append((MACHINE_PREFIX + name, machine.stamp))
                if drops:
                    self._commit(drops, conditions, self._removal_finished(part))
                else:
                    self.removing_records.difference_update(part)

        self._call_cloud("delete", "POST", "/machines/delete", cloud_protocol.Names(names), done)

    def shard_of_rental(self, kind: str, zone: str, spot: bool) -> str | None:
        """Return the shard that an unanswered rental of this kind is meant for, if any."""
        for key, item in self.owner.rentals.items():
            record: RentalRecord = item.value
            if (record.type, record.zone, record.spot) == (kind, zone, spot):
                shard = key.rpartition(".")[2]
                if shard in self.owner.settings.nodes:
                    return shard
        return None

    def _removal_finished(self, names: list[str]) -> Callable[[Result], None]:
        def done(_: Result) -> None:
            self.removing_records.difference_update(names)

        return done

    # -- rental ---------------------------------------------------------------------------------

    def _shard_sizes(self) -> dict[str, int]:
        """Return the number of machines of each shard that has a holder."""
        owner = self.owner
        up = [n for n in owner.settings.nodes if HOLDER_PREFIX + n in owner.mirror.items]
        return {n: len(owner.machines_by_shard.get(n, {})) for n in up or [owner.settings.node]}

    def _assign_shards(self, shard: str, count: int) -> list[str]:
        """Return shards for rented machines: the one they are rented for, else the smallest."""
        if shard in self.owner.settings.nodes:
            return [shard] * count
        counts = self._shard_sizes()
        home_shards = []
        for _ in range(count):
            home_shard = _smallest_shard(counts)
            counts[home_shard] += 1
            home_shards.append(home_shard)
        return home_shards

    def rental_options(self, job: JobRun, now: float) -> list[tuple[float, MachineType, str, bool]]:
        """Return (cost per task, type, zone, spot) of a job's possible rentals, cheapest first."""
        out = []
        spec = job.spec
        left = max(1, job.unfinished.bit_count())
        kinds = self.owner.machine_types.values()
        lowest_price = min((self._lowest_task_price(spec, kind) for kind in kinds), default=0.0)
        for kind in self.owner.machine_types.values():
            if not type_allowed(spec, kind):
                continue
            tasks_per_machine = self._tasks_per_machine(spec, kind)
            for zone in kind.zones:
                if spec.zone is not None and zone != spec.zone:
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    if self.no_capacity_until.get((kind.name, zone, spot), 0.0) > now:
                        continue
                    price = hourly_price(kind, spot)
                    # Late work costs a multiple of its lowest price; beyond that, late is cheaper.
                    if (
                        job.array
                        and price / tasks_per_machine > ARRAY_PRICE_MAX_RATIO * lowest_price
                    ):
                        continue
                    # Spot machines may be reclaimed, so some of the work counts as lost.
                    cost = price * (1.15 if spot else 1.0) / min(tasks_per_machine, left)
                    out.append((cost + self.owner.random.random() * 1e-6, kind, zone, spot))
        out.sort(key=lambda o: o[0])
        return out

    @staticmethod
    def _tasks_per_machine(spec: Job, kind: MachineType) -> int:
        return max(1, tasks_fitting(spec, (kind.cpus, kind.gpus, kind.memory_gb)))

    def _lowest_task_price(self, spec: Job, kind: MachineType) -> float:
        """Return the lowest price of a task on a full machine of a type."""
        if not type_allowed(spec, kind):
            return float("inf")
        return hourly_price(kind, spec.spot) / self._tasks_per_machine(spec, kind)

    def _rent_missing_machines(self, now: float) -> None:
        """Rent machines for tasks without room, beyond what is booting already."""
        owner = self.owner
        if owner.rentals:
            return
        # Machines would not help jobs that fail everywhere. Of a large group of alike jobs, the
        # first are considered one by one, and the work of the rest is added to the last of these.
        jobs: list[JobRun] = []
        failing: list[JobRun] = []
        self.group_remainders = {}
        for job in owner.backlog.active.values():
            if not owner.failures.fails_everywhere(job):
                if job.array:
                    owner.estimates.update_rank(job)
                jobs.append(job)
            else:
                failing.append(job)
        for group in owner.backlog.groups.values():
            members = [j for j in group.jobs.values() if not owner.failures.fails_everywhere(j)]
            max_count = GROUP_JOBS_MAX_COUNT if group.any_job().durable_state is None else 1
            if len(members) > max_count:
                rest = members[max_count:]
                members = members[:max_count]
                self.group_remainders[members[-1].id] = (
                    len(rest),
                    sum(j.unclaimed.bit_count() for j in rest),
                )
            jobs += owner.backlog.sort_by_precedence(members)
        jobs.sort(key=precedence)
        expected = ExpectedFleet(min((j.spec.cpus for j in jobs), default=0.0))
        usable: list[Machine] = []
        for machine, boot_status in owner.peers.boot_statuses():
            if machine.machine_type is None or machine.record.leaving:
                continue
            if boot_status == "coming":
                expected.add(ExpectedMachine.from_machine(machine))
            if boot_status != "overdue" and not machine.faulty:
                usable.append(machine)
        rentals_needed: dict[tuple[str, str, bool, str], int] = {}
        home_shards = self._gang_home_shards(jobs, expected)
        for job in jobs:
            if not job.array and now - job.first_seen_at > 0.4:
                for shard, count in self._tasks_without_room(job, now):
                    home_shard = shard or home_shards.get(job.id)
                    self._place_or_rent(job, count, home_shard, expected, rentals_needed, now)
        self._rent_for_arrays([j for j in jobs if j.array], usable, expected, rentals_needed, now)
        for job in failing:
            # Jobs that fail everywhere get one machine at most, for their next try.
            if now >= job.hold_until and not any(machine_allowed(job.spec, m) for m in usable):
                self._place_or_rent(job, 1, None, expected, rentals_needed, now)
        for (name, zone, spot, shard), count in rentals_needed.items():
            self.write_rental(name, zone, spot, min(count, cloud_protocol.RENT_MAX_COUNT), shard)

    def _gang_home_shards(self, jobs: list[JobRun], expected: ExpectedFleet) -> dict[str, str]:
        """Return the shards that serve gangs of whole machines, by job.

        A gang must fit one shard, so its rentals go to the shard with the most suitable machines.
        Machines there that no claim needs are free for the next gang and added to `expected`.
        """
        owner = self.owner
        home_shards: dict[str, str] = {}
        free: dict[str, set[str]] = {}
        for job in jobs:
            if not job.gang or (home_shard := owner.shards.gang_home_shard(job)) is None:
                continue
            home_shards[job.id] = home_shard
            claimed = job.claimed(home_shard).bit_count()
            shortage = owner.peers.room_shortages.get(job.id)
            if shortage is not None and owner.now - shortage[2] < 4.0:
                claimed -= shortage[1]
            if home_shard not in free:
                free[home_shard] = {
                    m.name
                    for m in owner.machines_by_shard.get(home_shard, {}).values()
                    if not m.record.leaving and not m.faulty and owner.peers.boot_status(m) == "up"
                }
            # Only the holder knows which machines run the claimed tasks; any will do here.
            suitable = [n for n in free[home_shard] if machine_allowed(job.spec, owner.machines[n])]
            for name in sorted(suitable)[: max(0, claimed)]:
                free[home_shard].discard(name)
        waiting = [j for j in jobs if j.id in home_shards and j.unclaimed]
        long_wait_s = gang_long_wait_s(owner.machine_types.values())
        recent = [j for j in waiting if owner.now - j.first_seen_at < long_wait_s]
        for shard, names in free.items():
            in_use = self._machines_with_services(shard)
            for name in sorted(names):
                machine = owner.machines[name]
                # What looked free to a gang that has waited for so long was not.
                gangs = recent if name in in_use else waiting
                if any(tasks_fitting_after_others(j, machine) for j in gangs):
                    room = ExpectedMachine.from_machine(machine)
                    # For gangs only, because other work may have taken part of the room.
                    room.gangs_only = True
                    expected.add(room)
        return home_shards

    def _machines_with_services(self, shard: str) -> set[str]:
        """Return as many machines of another controller's shard as hold services at least: their
        holder alone knows which, but the replicas of one service are spread over machines."""
        owner = self.owner
        if shard in owner.held_shards:
            return set()  # The tasks of these machines are known here.
        machines = owner.shards.shard_machines(shard)
        in_use: set[str] = set()
        for job in owner.backlog.active.values():
            if job.service and (replica_count := job.claimed(shard).bit_count()) > len(in_use):
                usable = sorted(m.name for m in machines if machine_allowed(job.spec, m))
                in_use = max(in_use, set(usable[:replica_count]), key=len)
        return in_use

    def _tasks_without_room(self, job: JobRun, now: float) -> list[tuple[str | None, int]]:
        """Return (shard, count) of unclaimed tasks, and of claimed tasks whose shard lacks room."""
        out: list[tuple[str | None, int]] = []
        shortage = self.owner.peers.room_shortages.get(job.id)
        if shortage is not None and now - shortage[2] < 4.0:
            out.append((shortage[0], shortage[1]))
        if unclaimed := job.unclaimed.bit_count():
            out.append((None, unclaimed))
        return out

    def _place_or_rent(
        self,
        job: JobRun,
        count: int,
        shard: str | None,
        expected: ExpectedFleet,
        rentals_needed: dict[tuple[str, str, bool, str], int],
        now: float,
        highest_price_class: int = 99,
    ) -> int:
        """Find room for tasks on expected machines, else on machines to be rented up to a price
        class; return how many tasks found none."""
        spec = job.spec
        zones = tasks_by_zone(job)
        zone_limit = tasks_per_zone_limit(spec)
        # Rentals for a gang that must be in one zone go to the zone of its other tasks: a
        # replacement in another zone is useless to it.
        required_zone = None
        if spec.one_zone and spec.zone is None and spec.tasks > 1:
            required_zone = next(iter(zones), None) or expected.zone_with_most(spec, shard)
        count -= expected.place(spec, count, shard, zones, required_zone)
        base = self.owner.inventory.lowest_cpu_price
        options = self.rental_options(job, now) if count > 0 else []
        # If that zone has no capacity, the whole gang has to go elsewhere, as a new one would.
        options = [o for o in options if required_zone in (None, o[2])] or options
        options = [o for o in options if price_class(o[1], o[3], base) <= highest_price_class]
        while count > 0:
            choice = next((o for o in options if zones.get(o[2], 0) < zone_limit), None)
            if choice is None:
                break
            _, kind, zone, spot = choice
            key = (kind.name, zone, spot, shard or "")
            rentals_needed[key] = rentals_needed.get(key, 0) + 1
            found = ExpectedMachine(kind, zone, spot, shard or "")
            more = min(found.room_for(spec), count, zone_limit - zones.get(zone, 0))
            found.count_tasks(spec, more)
            if kind.cpus - found.cpus >= expected.smallest_task_cpus:
                expected.add(found)
            count -= more
            zones[zone] = zones.get(zone, 0) + more
        return count

    def _is_cheap(self, kind: MachineType) -> bool:
        """Return whether machines of a type are cheap, at least as spot machines."""
        return price_class(kind, True, self.owner.inventory.lowest_cpu_price) <= 1

    def _rent_for_arrays(
        self,
        jobs: list[JobRun],
        usable: list[Machine],
        expected: ExpectedFleet,
        rentals_needed: dict[tuple[str, str, bool, str], int],
        now: float,
    ) -> None:
        """Rent for arrays, whose tasks may wait their turn: only if present and expected machines
        would not finish a job, and all work ahead of it, by the time it is due."""
        owner = self.owner
        supply = self._array_supply(jobs, usable)
        needed_kinds: set[str] = set()
        for job in jobs:
            # Claimed tasks are mostly running and on average half done.
            unclaimed = job.unclaimed.bit_count()
            left = (job.unfinished.bit_count() + unclaimed) / 2
            other_job_count, more = self.group_remainders.get(job.id, (0, 0))
            unclaimed += more
            left += more
            limit = owner.limits.teams.get(job.spec.team)
            if limit is not None:
                # Work beyond what the team may use at one time would not run anyway.
                spec = job.spec
                for team_limit, per_task in (
                    (limit.cpus_max, spec.cpus),
                    (limit.gpus_max, spec.gpus),
                ):
                    if per_task > 0:
                        left = min(
                            left, (1 + other_job_count) * 4.0 * max(1, int(team_limit / per_task))
                        )
            task_cpus = self._effective_cpus(job)
            run_s = max(1.0, owner.estimates.expected_run_s(job))
            # No job finishes sooner than one task's run after the machine is up.
            time_left_s = max(self._time_left_s(job) - 0.3 * run_s, 0.75 * run_s, 10.0)
            accounts = supply.accounts_for(job.spec)
            for account in accounts:
                account.work_cpu_s += left * run_s * task_cpus
                account.needed_cpus = max(account.needed_cpus, account.work_cpu_s / time_left_s)
            fitting = [t for t in owner.machine_types.values() if type_allowed(job.spec, t)]
            if fitting:
                needed_kinds.add(min(fitting, key=lambda t: t.price).name)
            if not unclaimed or now - job.first_seen_at < 0.4:
                continue
            # Another shard may claim none of its tasks meanwhile.
            claimant = next(iter(job.claims), None) if job.one_claimant else None
            # Cheap machines are rented for all work that would otherwise still wait once they are
            # up; expensive ones only for work that would be late.
            boot_s = max((t.boot_s for t in fitting if self._is_cheap(t)), default=0.0)
            if boot_s:
                until_cheap_up_s = max(min(time_left_s, boot_s + run_s), 10.0)
                missing_cpus = _missing_cpus(accounts, until_cheap_up_s)
                count = int(min(missing_cpus / task_cpus, unclaimed) + 0.5)
                if count > 0:
                    count -= self._place_or_rent(
                        job, count, claimant, expected, rentals_needed, now, 1
                    )
                    _add_cpus(accounts, count * task_cpus)
            missing_cpus = _missing_cpus(accounts, time_left_s)
            count = int(min(missing_cpus / task_cpus, unclaimed) + 0.5)
            if count <= 0 and not any(machine_allowed(job.spec, m) for m in usable):
                count = 1
            if count > 0:
                self._place_or_rent(job, count, claimant, expected, rentals_needed, now)
                _add_cpus(accounts, count * task_cpus)
        self.machines_to_drain = (
            [] if rentals_needed else self._surplus_machines(usable, supply, needed_kinds)
        )

    def _array_supply(self, arrays: list[JobRun], usable: list[Machine]) -> ArraySupply:
        """Return the CPUs for arrays: what other jobs have claimed is taken off, by their tasks'
        shape."""
        owner = self.owner
        supply = ArraySupply(owner.machine_types.values(), usable)
        for other in owner.backlog.active.values():
            if not other.array and not owner.failures.fails_everywhere(other):
                claimed = (other.unfinished & ~other.unclaimed).bit_count()
                supply.take(other.spec, claimed * self._effective_cpus(other))
        supply.open_accounts(job.spec for job in arrays)
        return supply

    def _surplus_machines(
        self, machines: list[Machine], supply: ArraySupply, needed: set[str]
    ) -> list[str]:
        """Return the most expensive machines that arrays do not need, whichever they may use; their
        holders drain them.

        The cheapest types stay, because they would be rented next.
        """
        out: list[str] = []
        # Price per CPU by (type, spot), computed once: most of thousands of machines share a type.
        prices: dict[tuple[str, bool], float] = {}
        for machine in machines:
            key = machine.record.type, machine.record.spot
            if machine.machine_type is not None and key not in prices:
                prices[key] = hourly_price(machine.machine_type, machine.record.spot) / max(
                    machine.machine_type.cpus, 0.1
                )
        if not prices:
            return []
        floor = 1.5 * min(prices.values())
        # Kinds of which no more machines can be spared.
        needed_whole: set[MachineKind] = set()
        expensive = [
            (prices[m.record.type, m.record.spot], m.name, m)
            for m in machines
            if m.machine_type is not None and prices[m.record.type, m.record.spot] >= floor
        ]
        for _, name, machine in sorted(expensive, reverse=True, key=lambda p: p[:2]):
            machine_type = machine.machine_type
            assert machine_type is not None
            kind = kind_of(machine)
            cheaper = bool(machine_type.spot_price) and not machine.record.spot
            if kind in needed_whole or (not cheaper and machine_type.name in needed):
                continue
            if machine_type.cpus <= supply.surplus_cpus(kind):
                supply.remove(kind, machine_type.cpus)
                out.append(name)
            else:
                needed_whole.add(kind)
        return out

    def _effective_cpus(self, job: JobRun) -> float:
        """Return the CPUs a task takes, or blocks for others because of its memory."""
        spec = job.spec
        fitting = [t for t in self.owner.machine_types.values() if type_allowed(spec, t)]
        if not fitting:
            return spec.cpus
        kind = min(fitting, key=lambda t: t.price / max(t.cpus, 0.1))
        return max(spec.cpus, kind.cpus / self._tasks_per_machine(spec, kind))

    def _time_left_s(self, job: JobRun) -> float:
        """Return how long the rest of an array may take, with some reserve."""
        owner = self.owner
        return owner.estimates.finish_within_s(job) * 0.7 - (owner.wall() - job.submitted_at)

    def write_rental(self, kind: str, zone: str, spot: bool, count: int, shard: str) -> None:
        """Write the record of a rental, which is then sent to the cloud. Per type, zone and price
        model only one call is open: its answer tells whether there is more capacity."""
        owner = self.owner
        self.rental_count += 1
        name = f"h{self.term}-{self.rental_count}.{shard}"
        record = RentalRecord(kind, zone, spot, count, owner.wall())
        self._commit(
            [wire.Put(RENTAL_PREFIX + name, record)], [(RENTAL_PREFIX + name, 0)], lambda _: None
        )

    def _send_rentals(self, now: float) -> None:
        """Send every recorded rental to the cloud, under its name, until its answer is recorded."""
        owner = self.owner
        for key, item in list(owner.rentals.items()):
            name = key[len(RENTAL_PREFIX) :]
            record: RentalRecord = item.value
            call = "rent:" + name
            if call in self.open_operations:
                continue
            if (again := self.refused_rentals.get(key)) is not None:
                # A refused rental is not sent again, since the protocol allows one repetition, not
                # one at every tick. Its record remains to be removed, which may have failed before.
                if now >= again:
                    self._remove_refused_rental(key, item.revision)
                continue
            body = cloud_protocol.RentRequest(
                name, record.type, record.zone, record.spot, record.count
            )
            if not self._call_cloud(
                call, "POST", "/machines", body, self._rental_answered(name, record, item.revision)
            ):
                return

    def _rental_answered(self, name: str, record: RentalRecord, stamp: int) -> ResponseCallback:
        def done(status: int | None, body: bytes) -> None:
            owner = self.owner
            key = RENTAL_PREFIX + name
            place = (record.type, record.zone, record.spot)
            if status == 200:
                answer = decode_answer(body, cloud_protocol.Names)
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
                    self.no_capacity_until[place] = owner.now + 20.0
                new = [m for m in answer.machines if m not in owner.machines]
                home_shards = self._assign_shards(name.partition(".")[2], len(new))
                pairs = list(zip(new, home_shards, strict=True))
                # Each part, with the rental's own key, must fit into one transaction.
                size = owner.settings.params.state.txn_ops - 1
                parts = [pairs[i : i + size] for i in range(0, len(pairs), size)] or [[]]
                self._write_rented_machines(key, stamp, record, parts)
            elif status in (400, 503):
                # A call answered 503 was not executed; a later need uses a rental of a new name.
                if b"no capacity" in body or status == 400:
                    self.no_capacity_until[place] = owner.now + 20.0
                    log.info("no capacity type=%s zone=%s spot=%s", *place)
                    self._remove_refused_rental(key, stamp)
                else:
                    self.budget.spend(owner.now)

        return done

    def _remove_refused_rental(self, key: str, stamp: int) -> None:
        """Remove the record of a refused rental."""
        self.refused_rentals[key] = self.owner.now + 2.0

        def done(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                self.refused_rentals.pop(key, None)

        self._commit([wire.Delete(key)], [(key, stamp)], done)

    def _write_rented_machines(
        self, key: str, stamp: int, record: RentalRecord, parts: list[list[tuple[str, str]]]
    ) -> None:
        """Write the rented machines' records part by part; the last part removes the rental."""
        owner = self.owner
        part, rest = parts[0], parts[1:]
        changes: list[wire.Put | wire.Delete] = []
        conditions = []
        for machine, shard in part:
            new = MachineRecord(record.type, record.zone, record.spot, shard, "", owner.wall())
            changes.append(wire.Put(MACHINE_PREFIX + machine, new))
            conditions.append((MACHINE_PREFIX + machine, 0))
        if not rest:
            changes.append(wire.Delete(key))
            conditions.append((key, stamp))
        name = key[len(RENTAL_PREFIX) :]
        self.open_operations.add("rent:" + name)

        def done(result: Result) -> None:
            self.open_operations.discard("rent:" + name)
            if result.outcome is Outcome.DONE and rest:
                self._write_rented_machines(key, stamp, record, rest)
            elif result.outcome is Outcome.CONFLICT and key not in result.failed:
                # Some machines came up at once and were adopted by the controller they reported to.
                left = [(m, s) for m, s in part if MACHINE_PREFIX + m not in result.failed]
                if len(left) < len(part):
                    self._write_rented_machines(key, stamp, record, [left, *rest])

        self._commit(changes, conditions, done)

    def _commit(
        self,
        changes: list[wire.Put | wire.Delete],
        conditions: list[tuple[str, int]],
        done: Callable[[Result], None],
    ) -> None:
        """Send a transaction that fails once another controller holds the provisioner role."""
        self.owner.commit([*conditions, (PROVISIONER_KEY, self.term)], changes, done)


def _missing_cpus(accounts: list[SupplyAccount], time_left_s: float) -> float:
    """Return the CPUs missing to finish the counted work in some time, in the scarcest account."""
    return max(a.work_cpu_s / time_left_s - a.available_cpus for a in accounts)


def _add_cpus(accounts: list[SupplyAccount], cpus: float) -> None:
    """Add the CPUs of machines that will come."""
    for account in accounts:
        account.available_cpus += cpus


def _smallest_shard(counts: dict[str, int]) -> str:
    """Return the shard with the fewest machines."""
    return min(counts, key=lambda n: (counts[n], n))

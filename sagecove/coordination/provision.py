"""The provisioner: one leased role that makes the cloud calls.

It works from what the state service says (jobs, claims, machines, rentals); peers' hints about
room and need only make its choices better.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from sagecove.coordination.model import JobRun
from sagecove.coordination.placement import slots, type_allowed
from sagecove.protocol import cloud as c
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
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

Done = Callable[[int | None, bytes], None]


class Provision:
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
        self.unlisted: dict[str, float] = {}
        self.term = 0

    def tick(self, now: float) -> None:
        """Do what is due."""
        owner = self.owner
        term = owner.leadership.provisioner_term
        if not term or not owner.leadership.acting(now):
            return
        if term != self.term:
            self.term = term
            self.count = 0
            self.listed_at = -1e9
            self.think_at = now + 0.5
        if "types" not in self.busy and now - self.types_at > (60.0 if owner.types else 2.0):
            self._call("types", "GET", "/flavors", None, self._types)
            self.types_at = now
        self._repeat_rentals(now)
        self._delete(now)
        lag = owner.settings.params.cloud.list_lag_s
        if "list" not in self.busy and now - self.listed_at > max(5.0, lag):
            self.listed_at = now
            self.listing = []
            self._page("")
        if now >= self.think_at and owner.types:
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
        if page.more and page.machines and len(self.listing) < 5000:
            self._page(page.machines[-1].name)
            return
        for machine in self.listing:
            known = owner.machines.get(machine.name)
            if known is None:
                self._unexpected(machine)
            elif machine.state == "failed" and not known.record.leaving:
                self._mark(known.name, known.record, known.stamp, "failed")
            elif (
                machine.state == "booting"
                and not known.ever_heard
                and known.kind is not None
                and machine.age_s > 5 * known.kind.boot_s + 30
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

    def _unexpected(self, machine: c.Listed) -> None:
        """A machine nobody has a record of: from a lost or late rental. Use it."""
        owner = self.owner
        gone = owner.workers.gone.get(machine.name)
        lag = owner.settings.params.cloud.list_lag_s
        if gone is not None and owner.now - gone < 3 * lag + 5:
            return
        if any(name.startswith("rent:") for name in self.busy):
            return
        record = MachineRecord(
            machine.type,
            machine.zone,
            machine.spot,
            self._shard_for(None),
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
        names = [m.name for m in owner.machines.values() if m.record.leaving]
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
                for name in part:
                    machine = owner.machines.get(name)
                    if machine is not None:
                        drops.append(wire.Drop(MACHINE + name))
                        conditions.append((MACHINE + name, machine.stamp))
                if drops:
                    self._commit(drops, conditions, lambda _: None)

        self._call("delete", "POST", "/machines/delete", c.Names(names), done)

    # -- renting --------------------------------------------------------------------------------

    def _shard_for(self, hungry: str | None) -> str:
        """The shard a new machine goes to: the one in need, else the one with fewest."""
        owner = self.owner
        up = [n for n in owner.settings.nodes if HOLDER + n in owner.mirror.items]
        if hungry in up and hungry is not None:
            return hungry
        counts = dict.fromkeys(up or [owner.settings.node], 0)
        for machine in owner.machines.values():
            if machine.record.shard in counts:
                counts[machine.record.shard] += 1
        for key, item in owner.mirror.items.items():
            if key.startswith(RENTAL) and item.value is not None:
                shard = key.rpartition(".")[2]
                if shard in counts:
                    counts[shard] += item.value.count
        return min(counts, key=lambda s: (counts[s], s))

    def options(self, job: JobRun, now: float) -> list[tuple[float, MachineType, str, bool]]:
        """What could be rented for a task of this job, cheapest per task first."""
        out = []
        spec = job.spec
        left = max(1, job.unfinished.bit_count())
        for kind in self.owner.types.values():
            if not type_allowed(spec, kind):
                continue
            fit = slots(spec, (kind.cpus, kind.gpus, kind.memory_gb))
            if fit < 1:
                continue
            for zone in kind.zones:
                if spec.zone is not None and zone != spec.zone:
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    if self.full_until.get((kind.name, zone, spot), 0.0) > now:
                        continue
                    price = kind.spot_price if spot and kind.spot_price else kind.price
                    # Spot machines may be taken: count some of the work as lost.
                    cost = price * (1.15 if spot else 1.0) / min(fit, left)
                    out.append((cost + self.owner.random.random() * 1e-6, kind, zone, spot))
        out.sort(key=lambda o: o[0])
        return out

    def _rent_what_lacks(self, now: float) -> None:
        """Rent for tasks that nobody has room for, beyond what is booting already."""
        owner = self.owner
        if any(key.startswith(RENTAL) for key in owner.mirror.items):
            return
        # Room to come: machines that have not reported yet.
        coming: list[tuple[MachineType, str, bool, str, list[float]]] = []
        for machine in owner.machines.values():
            if machine.record.leaving or machine.kind is None:
                continue
            if not owner.heard_somewhere(machine):
                kind = machine.kind
                record = machine.record
                coming.append(
                    (
                        kind,
                        record.zone,
                        record.spot,
                        record.shard,
                        [kind.cpus, kind.gpus, kind.memory_gb],
                    )
                )
        wanted: dict[tuple[str, str, bool, str], int] = {}
        for job, count, shard in self._demand(now):
            spec = job.spec
            zones: dict[str, int] = {}
            for p in job.placed.values():
                zone = p.machine.record.zone
                zones[zone] = zones.get(zone, 0) + 1
            cap = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
            for _ in range(count):
                placed = False
                for kind, zone, spot, of, room in coming:
                    if (
                        type_allowed(spec, kind)
                        and (spec.zone is None or spec.zone == zone)
                        and (spec.spot or not spot)
                        and (shard is None or of == shard)
                        and zones.get(zone, 0) < cap
                        and slots(spec, (room[0], room[1], room[2])) > 0
                    ):
                        room[0] -= spec.cpus
                        room[1] -= spec.gpus
                        room[2] -= spec.memory_gb
                        zones[zone] = zones.get(zone, 0) + 1
                        placed = True
                        break
                if placed:
                    continue
                choice = next((o for o in self.options(job, now) if zones.get(o[2], 0) < cap), None)
                if choice is None:
                    break
                _, kind, zone, spot = choice
                target = shard or ""
                key = (kind.name, zone, spot, target)
                wanted[key] = wanted.get(key, 0) + 1
                zones[zone] = zones.get(zone, 0) + 1
                coming.append(
                    (
                        kind,
                        zone,
                        spot,
                        target or shard or "",
                        [
                            kind.cpus - spec.cpus,
                            kind.gpus - spec.gpus,
                            kind.memory_gb - spec.memory_gb,
                        ],
                    )
                )
        for (name, zone, spot, target), count in wanted.items():
            shards = [target] if target else []
            if not shards:
                up = [n for n in owner.settings.nodes if HOLDER + n in owner.mirror.items]
                owner.random.shuffle(up)
                shards = up or [owner.settings.node]
            each = -(-count // len(shards))
            left = count
            for shard in shards:
                part = min(each, left, c.RENT_MOST)
                if part > 0:
                    left -= part
                    self.rent(
                        name,
                        zone,
                        spot,
                        part,
                        self._shard_for(target or None) if part == 1 and not target else shard,
                    )

    def _demand(self, now: float) -> list[tuple[JobRun, int, str | None]]:
        """Tasks without a place, most urgent first: (job, count, the shard that must have them)."""
        from sagecove.coordination.claims import precedence

        owner = self.owner
        out: list[tuple[JobRun, int, str | None]] = []
        for job in sorted(owner.jobs.values(), key=precedence):
            bits = job.unclaimed
            count = bits.bit_count()
            shard = None
            hungry = owner.hungry.get(job.id)
            if hungry is not None and now - hungry[2] < 4.0 and hungry[0] in owner.settings.nodes:
                shard = hungry[0]
                count += hungry[1]
            if not count or now - job.seen_at < 0.4:
                continue
            limit = owner.quota.teams.get(job.spec.team)
            if limit is not None:
                for most, need in (
                    (limit.cpus_max, job.spec.cpus),
                    (limit.gpus_max, job.spec.gpus),
                ):
                    if need > 0:
                        count = min(count, int(most / need + 1e-6))
            if job.array:
                # Tasks of an array may wait their turn: enough room to be through in time.
                run = owner.expected(job)
                horizon = self._horizon(job)
                at_once = -(-int(count * run) // max(1, int(max(horizon, run))))
                count = min(count, max(1, at_once))
            out.append((job, count, shard))
        return out

    def _horizon(self, job: JobRun) -> float:
        """How long the rest of an array may take."""
        owner = self.owner
        target = owner.finish_within(job)
        left = target * 0.6 - (owner.wall() - job.at)
        return max(15.0, left)

    def rent(self, kind: str, zone: str, spot: bool, count: int, shard: str) -> None:
        """Write a rental down, then ask the cloud for it."""
        owner = self.owner
        self.count += 1
        name = f"h{self.term}-{self.count}.{shard}"
        record = RentalRecord(kind, zone, spot, count, owner.wall())
        self._commit([wire.Put(RENTAL + name, record)], [(RENTAL + name, 0)], lambda _: None)

    def _repeat_rentals(self, now: float) -> None:
        """Every rental written down is asked for, under its name, until its answer is recorded."""
        owner = self.owner
        for key, item in list(owner.mirror.items.items()):
            if not key.startswith(RENTAL) or item.value is None:
                continue
            name = key[len(RENTAL) :]
            record: RentalRecord = item.value
            call = "rent:" + name
            if call in self.busy:
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
                shard = name.partition(".")[2]
                if shard not in owner.settings.nodes:
                    shard = owner.settings.node
                new = [m for m in answer.machines if m not in owner.machines]
                parts = [new[i : i + 10] for i in range(0, len(new), 10)] or [[]]
                self._record_rented(key, stamp, record, shard, parts)
            elif status in (400, 503):
                # A 503 was not executed; whoever still needs a machine asks under a new name.
                if b"no capacity" in body or status == 400:
                    self.full_until[place] = owner.now + 20.0
                    log.info("no capacity type=%s zone=%s spot=%s", *place)
                    self._commit([wire.Drop(key)], [(key, stamp)], lambda _: None)
                else:
                    self.budget.spend(owner.now)

        return done

    def _record_rented(
        self, key: str, stamp: int, record: RentalRecord, shard: str, parts: list[list[str]]
    ) -> None:
        """Write the rented machines' records; with the last of them the rental is settled."""
        owner = self.owner
        part, rest = parts[0], parts[1:]
        changes: list[wire.Put | wire.Drop] = []
        conditions = []
        for machine in part:
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
                self._record_rented(key, stamp, record, shard, rest)

        self._commit(changes, conditions, done)

    def _commit(
        self,
        changes: list[wire.Put | wire.Drop],
        conditions: list[tuple[str, int]],
        done: Callable[[Result], None],
    ) -> None:
        """A transaction that fails once the role has gone to another controller."""
        self.owner.commit([*conditions, (PROVISIONER, self.term)], changes, done)

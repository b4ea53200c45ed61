"""The one owner of all state in a process.

Commands go in by batches (`handle`), effects come out as data. Time and randomness are passed in.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from sagecove.config import Settings
from sagecove.coordination.claims import Claims
from sagecove.coordination.effects import Answered, Asked, Call, Command, Effect, Reply
from sagecove.coordination.failures import Failures
from sagecove.coordination.leadership import Leadership
from sagecove.coordination.model import JobRun, Machine, Placement, Shard
from sagecove.coordination.placement import (
    Room,
    dearness,
    fills_most,
    keep_reserved,
    machine_allowed,
    plan,
    type_allowed,
)
from sagecove.coordination.provision import Provision
from sagecove.coordination.quota import Quota
from sagecove.coordination.users import Users
from sagecove.coordination.workers import Workers
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.peers import Hint, read_hint, read_promise
from sagecove.protocol.users import CANCELLED, Job, Refusal
from sagecove.storage import records as r
from sagecove.storage import taskset
from sagecove.storage.mirror import Event, Item, Mirror
from sagecove.storage.store import Outcome, Result, Store, decode

log = logging.getLogger("sagecove.owner")

Done = Callable[[int | None, bytes], None]

# A pass over jobs and machines, at most this often (seconds); under a backlog it costs more, and
# one in `PASS_MOST_S` is enough then. Ticks come about as often.
PASS_S = 0.08
PASS_MOST_S = 0.5
PASS_JOBS = 30
TICK_S = 0.25
# The owner is called at every tick; a longer time without a call is a gap in its own time.
GAP_S = 8 * TICK_S
# A job that waits this long is told of in the log, and again after as long.
WAIT_TOLD_S = 20.0


class Owner:
    """All state, and what is done about it."""

    def __init__(self, settings: Settings, random: Random, now: float, wall: float) -> None:
        self.settings = settings
        self.random = random
        self.now = now
        self.started_at = now
        # Since when this process has been running without a stop.
        self.present_since = now
        self._wall_offset = wall - now
        self.effects: list[Effect] = []
        self.pending: dict[int, Done] = {}
        self.tokens = 0
        self.mirror = Mirror()
        state = settings.params.state
        self.store = Store(
            state.rps, state.write_rps, len(settings.nodes), now, self._send_to_state
        )
        self.jobs: dict[str, JobRun] = {}
        self.machines: dict[str, Machine] = {}
        self.by_shard: dict[str, dict[str, Machine]] = {}
        self.types: dict[str, MachineType] = {}
        self.base_price = 0.0
        # Rentals written down whose answers have not been.
        self.rentals: dict[str, Item] = {}
        self.held: dict[str, Shard] = {}
        self.hints: dict[str, tuple[float, Hint]] = {}
        # Jobs short of room in the shard that must have them: (shard, tasks, when said).
        self.hungry: dict[str, tuple[str, int, float]] = {}
        self.gang_homes: dict[tuple[object, ...], tuple[float, str | None]] = {}
        self.cancelled_lately: list[str] = []
        self.arrivals: dict[str, deque[float]] = {}
        self.class_dues: dict[str, list[tuple[bool, float]]] = {}
        self.class_run: dict[str, float] = {}
        # Seconds that machines of a type took lately from their rental to their first report.
        self.boots: dict[str, deque[float]] = {}
        self.counts: dict[str, int] = {}
        self.synced_at = -1e9
        self.sync_failed_at = -1e9
        self.syncing = False
        self.sync_wanted = False
        self.sync_at = 0.0
        self.watching = False
        self.watch_at = 0.0
        self.loading = False
        self.load_at = 0.0
        self.page_items: dict[str, Item] = {}
        self.page_ledger = 0
        self.page_begun = 0.0
        self.dirty = True
        # A job came or went: who is within a guarantee is to be found anew.
        self.jobs_changed = True
        self.passed_at = -1e9
        self.ticked_at = -1e9
        self.hint_at = 0.0
        self.idle_at = 0.0
        self.wait_told_at = 0.0
        self.quota = Quota(self)
        self.leadership = Leadership(self)
        self.failures = Failures(self)
        self.workers = Workers(self)
        self.claims = Claims(self)
        self.users = Users(self)
        self.provision = Provision(self)

    # -- the loop -------------------------------------------------------------------------------

    def handle(self, commands: list[Command], now: float, wall: float) -> list[Effect]:
        """Take in a batch of commands; what is to be done about them."""
        if now - self.now > GAP_S:
            # It stood still while its clocks ran on, or was starved. Authority is judged by the
            # time after the gap anyway; what peers and workers said, or did not, is not current.
            log.info("stood still seconds=%.1f", now - self.now)
            self.present_since = now
            self.hints.clear()
            self.hungry.clear()
            self.leadership.promises.clear()
        self.now = now
        self._wall_offset = wall - now
        for command in commands:
            if isinstance(command, Answered):
                done = self.pending.pop(command.token, None)
                if done is not None:
                    done(command.status, command.body)
            else:
                self._asked(command)
        if now - self.ticked_at >= TICK_S:
            self.ticked_at = now
            self._tick(now)
        if self.dirty and now - self.passed_at >= self._pass_s():
            self.dirty = False
            self.passed_at = now
            self._pass(now)
        self.workers.flush(now)
        self._sync_if_due(now)
        self.store.flush(now)
        effects, self.effects = self.effects, []
        return effects

    def wait(self) -> float:
        """Seconds until the owner wants to be called again, commands or none."""
        waits = [TICK_S - (self.now - self.ticked_at)]
        if self.dirty:
            waits.append(self._pass_s() - (self.now - self.passed_at))
        if self.sync_wanted and not self.syncing:
            waits.append(self.sync_at - self.now)
        if self.store.queued:
            waits.append(self.store.flush(self.now) or 0.01)
        return max(0.002, min(waits))

    def _pass_s(self) -> float:
        return min(PASS_MOST_S, PASS_S * max(1.0, self.claims.open_jobs / PASS_JOBS))

    def wall(self) -> float:
        """The time of day."""
        return self.now + self._wall_offset

    def count(self, what: str) -> None:
        """Count an event, for metrics."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def _tick(self, now: float) -> None:
        if not self.mirror.loaded:
            self._load(now)
        elif not self.watching and now >= self.watch_at:
            self._watch(now)
        self.leadership.tick(now)
        self.workers.tick(now)
        self.workers.raise_tokens()
        self.provision.tick(now)
        self._idle(now)
        self._hint(now)
        self._tell_waits(now)
        if self.mirror.loaded and now - self.synced_at > self.leadership.length / 8:
            self.want_sync()
        self.dirty = True

    def _pass(self, now: float) -> None:
        self.quota.forget()
        if self.jobs_changed:
            self.jobs_changed = False
            self.quota.assign_guarantees(list(self.jobs.values()))
        self.claims.run(now)

    # -- requests -------------------------------------------------------------------------------

    def _asked(self, ask: Asked) -> None:
        path = ask.path.partition("?")[0]
        if ask.peer:
            self._peer(ask)
        elif path == "/hello":
            if ask.method != "POST":
                self.effects.append(Reply(ask.exchange, 405, Refusal("POST only")))
            else:
                self.workers.report(ask.body, ask.exchange)
        elif path == "/ready":
            self._ready(ask)
        elif path == "/api/jobs":
            if ask.method != "POST":
                self.effects.append(Reply(ask.exchange, 405, Refusal("POST only")))
            else:
                self.users.submit(ask.body, ask.exchange)
        elif path.startswith("/api/jobs/"):
            job_id, _, rest = path[len("/api/jobs/") :].partition("/")
            if rest not in ("", "cancel"):
                self.effects.append(Reply(ask.exchange, 404, Refusal("no such path")))
            elif ask.method != ("POST" if rest else "GET"):
                self.effects.append(Reply(ask.exchange, 405, Refusal("wrong method")))
            elif rest:
                self.users.cancel(job_id, ask.exchange)
            else:
                self.users.status(job_id, ask.exchange)
        elif path == "/cluster" or path.startswith("/explain/"):
            self._view(path, ask)
        else:
            self.effects.append(Reply(ask.exchange, 404, Refusal("no such path")))

    def _view(self, path: str, ask: Asked) -> None:
        """Read-only questions beside PROTOCOL, answered from memory."""
        # Hardly ever asked, so not loaded before.
        from sagecove.coordination import explain

        if ask.method != "GET":
            self.effects.append(Reply(ask.exchange, 405, Refusal("GET only")))
        elif not self.mirror.loaded:
            self.effects.append(Reply(ask.exchange, 503, Refusal("not ready"), 1.0))
        elif path == "/cluster":
            self.effects.append(Reply(ask.exchange, 200, explain.cluster(self)))
        elif (job := self.jobs.get(path[len("/explain/") :])) is not None:
            self.effects.append(Reply(ask.exchange, 200, explain.explain(self, job)))
        else:
            self.effects.append(
                Reply(
                    ask.exchange, 404, Refusal("no job under way has this id; ask for its status")
                )
            )

    def _ready(self, ask: Asked) -> None:
        if ask.method not in ("GET", "HEAD"):
            self.effects.append(Reply(ask.exchange, 405, Refusal("GET only")))
        elif self.ready():
            self.effects.append(Reply(ask.exchange, 200, {"ready": True}))
        else:
            self.effects.append(Reply(ask.exchange, 503, Refusal("not ready")))

    def ready(self) -> bool:
        """Can take requests: or is no worse off than the other controllers."""
        if not self.mirror.loaded or not self.types:
            return False
        if self.now - self.synced_at < 3.0:
            return True
        if self.synced_at < self.present_since and not self.hints:
            # It stood still, and has heard of nobody since.
            return False
        # In an outage of the state service everybody is refused: being taken out of balance would
        # only delay the return. Refused alone, this node lets the others answer.
        return not any(self.now - at < 3.0 and hint.connected for at, hint in self.hints.values())

    def connected(self) -> bool:
        """The state service answered lately."""
        return self.mirror.loaded and (
            self.now - self.synced_at < 2.0 or self.sync_failed_at < self.synced_at
        )

    def retry_hint(self) -> float:
        """When a refused user should come back."""
        return 1.0 if self.connected() else 2.0

    # -- calls ----------------------------------------------------------------------------------

    def call(
        self, target: str, method: str, path: str, body: Any, timeout: float, done: Done
    ) -> None:
        """Emit a call; `done` hears its answer."""
        self.tokens += 1
        self.pending[self.tokens] = done
        self.effects.append(Call(self.tokens, target, method, path, body, timeout))

    def _send_to_state(self, method: str, path: str, body: Any, timeout: float, done: Done) -> None:
        def answered(status: int | None, raw: bytes) -> None:
            if status == 429:
                self.store.throttled(self.now, self.random.uniform(0.05, 0.25))
                self.count("throttled")
            done(status, raw)

        self.call("state", method, path, body, timeout, answered)

    def commit(
        self,
        conditions: list[tuple[str, int]],
        changes: list[wire.Put | wire.Drop],
        done: Callable[[Result], None],
        *,
        urgent: bool = False,
    ) -> None:
        """A transaction; on success the mirror learns of it at once."""

        def committed(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                for change in changes:
                    key = change.key
                    value = change.value if isinstance(change, wire.Put) else None
                    if key.startswith(r.LIVE):
                        self._apply(Event(key, value, result.revision))
                    elif isinstance(value, r.OverRecord):
                        if value.state == CANCELLED:
                            self.leadership.cancels = max(self.leadership.cancels, result.revision)
                        self.users.final(key[len(r.OVER) :], value.state, value.tasks)
            done(result)

        self.store.commit(conditions, changes, committed, urgent=urgent)

    def put_machine(
        self,
        name: str,
        record: r.MachineRecord,
        stamp: int,
        shard: Shard,
        done: Callable[[Result], None],
    ) -> None:
        """Write a machine's record as its shard's holder."""
        key = r.MACHINE + name
        conditions = [(key, stamp), (r.HOLDER + shard.name, shard.term)]
        self.commit(conditions, [wire.Put(key, record)], done)

    # -- the mirror -----------------------------------------------------------------------------

    def _load(self, now: float) -> None:
        if self.loading or now < self.load_at:
            return
        self.loading = True
        self.page_items = {}
        self.page_ledger = 0
        self.page_begun = now
        self.store.page(now, r.LIVE, "", self._paged)

    def _paged(self, status: int | None, body: bytes) -> None:
        page = decode(body, wire.Page) if status == 200 else None
        if page is None:
            self.loading = False
            self.load_at = self.now + self.random.uniform(0.2, 0.5)
            return
        if not self.page_ledger:
            # Later pages may hold newer values: the watch starts from the first page's revision.
            self.page_ledger = page.revision
        for pair in page.items:
            self.page_items[pair.key] = Item(r.parse(pair.key, pair.value), pair.version)
        if page.more and page.items:
            self.store.page(self.now, r.LIVE, page.items[-1].key, self._paged)
            return
        self.loading = False
        events = self.mirror.differences(self.page_items, self.page_ledger)
        self.page_items = {}
        for event in events:
            self._apply(event)
        first = not self.mirror.loaded
        self.mirror.loaded = True
        self._advance(self.page_ledger, self.page_begun)
        if first:
            self.leadership.cancels = self.page_ledger
            log.info("loaded keys=%d ledger=%d", len(self.mirror.items), self.page_ledger)

    def _watch(self, now: float) -> None:
        self.watching = True
        wait_s = min(30.0, self.leadership.length / 2)
        self.store.watch(now, r.LIVE, self.mirror.applied, wait_s, self._changes(now, False))

    def want_sync(self) -> None:
        """A linearizable read is wanted."""
        self.sync_wanted = True

    def _sync_if_due(self, now: float) -> None:
        if not self.sync_wanted or self.syncing or not self.mirror.loaded or now < self.sync_at:
            return
        self.sync_wanted = False
        self.syncing = True
        # Polls of an interval share one read: its length keeps reads within a part of the budget.
        self.sync_at = now + 5 / self.store.requests.rate
        self.store.watch(now, r.LIVE, self.mirror.applied, 0.0, self._changes(now, True))

    def _changes(self, begun: float, sync: bool) -> Done:
        asked = self.users.asked

        def done(status: int | None, body: bytes) -> None:
            if sync:
                self.syncing = False
            else:
                self.watching = False
                # Changes come all the time: each answer should carry several.
                self.watch_at = self.now + 5 / self.store.requests.rate
            answer = decode(body, wire.Changes) if status == 200 else None
            if answer is not None:
                for change in answer.events:
                    if change.version <= self.mirror.applied:
                        # Told of by another answer already: not worth being parsed again.
                        continue
                    if change.put is not None:
                        value = r.parse(change.put, change.value)
                        self._apply(Event(change.put, value, change.version))
                    elif change.delete is not None:
                        self._apply(Event(change.delete, None, change.version))
                # Only a read that answers at once proves that nothing newer was there before it.
                self._advance(answer.revision, begun)
                if sync:
                    self.users.read_done(asked, True)
                    if self.users.waiting:
                        self.sync_wanted = True
                return
            if status == 410:
                self.mirror.loaded = False
                self.loading = False
                if sync:
                    self.users.read_done(asked, False)
                return
            if sync:
                self.sync_failed_at = self.now
                self.sync_at = self.now + self.random.uniform(0.15, 0.4)
                self.users.read_done(asked, False)
                self.sync_wanted = True
            else:
                self.watch_at = self.now + self.random.uniform(0.3, 0.8)

        return done

    def _advance(self, ledger: int, begun: float) -> None:
        self.mirror.advance(ledger)
        self.synced_at = max(self.synced_at, begun)
        self.leadership.check_holders()
        self.dirty = True

    def _apply(self, event: Event) -> None:
        key = event.key
        if not self.mirror.apply(event):
            return
        self.dirty = True
        if key.startswith(r.JOB):
            self._job_changed(key[len(r.JOB) :], event)
        elif key.startswith(r.RENTAL):
            if event.value is None:
                self.rentals.pop(key, None)
            else:
                self.rentals[key] = self.mirror.items[key]
        elif key.startswith(r.MACHINE):
            self._machine_changed(key[len(r.MACHINE) :], event)
        elif key == r.TYPES and event.value is not None:
            self.types = {t.name: t for t in event.value.types}
            self.base_price = min(
                (t.price / max(t.cpus, 0.1) for t in self.types.values()), default=0
            )
            for machine in self.machines.values():
                self._set_kind(machine)
        elif key.startswith(r.HOLDER) and event.value is None:
            self.leadership.check_holders()

    def _job_changed(self, job_id: str, event: Event) -> None:
        job = self.jobs.get(job_id)
        if event.value is None:
            if job is not None:
                del self.jobs[job_id]
                self.jobs_changed = True
                self.hungry.pop(job_id, None)
                for placement in list(job.placed.values()):
                    self.workers.halt(placement, 0.0, "job over")
            return
        if job is None:
            job = self.jobs[job_id] = JobRun(event.value, event.stamp)
            self.jobs_changed = True
            job.seen_at = job.wait_told_at = self.now
            # Or all controllers would reach for it in the same moment, and all but one in vain.
            job.claim_after = self.now + self.random.uniform(0.0, self.claims.poll_s / 6)
            self._note_arrival(job)
        else:
            job.update(event.value, event.stamp)

    def _machine_changed(self, name: str, event: Event) -> None:
        machine = self.machines.get(name)
        if event.value is None:
            if machine is not None:
                # Its deletion was answered by the cloud: it is gone, and all that was on it.
                del self.machines[name]
                self.by_shard.get(machine.record.shard, {}).pop(name, None)
                self.workers.gone[name] = self.now
                machine.known = False
                self.workers.forget_tasks(machine)
                self.machine_resolved(machine)
            return
        record: r.MachineRecord = event.value
        if machine is None:
            machine = Machine(name, record, event.stamp, self.now)
            self.machines[name] = machine
        else:
            if machine.record.shard != record.shard:
                self.by_shard.get(machine.record.shard, {}).pop(name, None)
                machine.record = record
                machine.reset(self.now)
            machine.record = record
            machine.stamp = event.stamp
        self._set_kind(machine)
        self.by_shard.setdefault(record.shard, {})[name] = machine

    def _set_kind(self, machine: Machine) -> None:
        machine.kind = kind = self.types.get(machine.record.type)
        if kind is not None:
            machine.dear = dearness(kind, machine.record.spot, self.base_price)

    # -- shards ---------------------------------------------------------------------------------

    def shard_machines(self, shard: str) -> list[Machine]:
        """The machines of a shard."""
        return list(self.by_shard.get(shard, {}).values())

    def acting_shards(self, now: float) -> list[str]:
        """Shards for which this controller may act now."""
        if not self.leadership.acting(now):
            return []
        return [name for name, shard in self.held.items() if not shard.yielding]

    def holder_of(self, shard: str) -> str | None:
        """The node that holds a shard, as far as is known."""
        item = self.mirror.items.get(r.HOLDER + shard)
        return item.value.node if item and item.value is not None else None

    def shard_in_use(self, shard: str) -> bool:
        """There are machines or claims that need a holder."""
        return bool(self.by_shard.get(shard)) or any(
            shard in job.claims for job in self.jobs.values()
        )

    def gain_shard(self, shard: Shard) -> None:
        """This controller holds a shard from now on: nothing is known of its machines yet."""
        self.held[shard.name] = shard
        machines = self.shard_machines(shard.name)
        for machine in machines:
            machine.reset(self.now)
        shard.unknown = {m.name for m in machines}
        if shard.unknown:
            for job in self.jobs.values():
                if bits := job.claimed(shard.name):
                    job.limbo[shard.name] = bits
        log.info("shard gained shard=%s term=%d machines=%d", shard.name, shard.term, len(machines))
        self.quota.forget()
        self.dirty = True

    def lose_shard(self, name: str) -> None:
        """Somebody else holds a shard, or nobody does."""
        shard = self.held.pop(name, None)
        if shard is None:
            return
        log.info("shard lost shard=%s term=%d", name, shard.term)
        for machine in self.shard_machines(name):
            for placement in machine.tasks.values():
                if placement.job is not None:
                    placement.job.remove(placement)
            machine.reset(self.now)
        for job in self.jobs.values():
            job.limbo.pop(name, None)
            job.stuck_at.pop(name, None)
            job.fresh &= ~job.claims.get(name, 0)
        self.quota.forget()

    def machine_resolved(self, machine: Machine) -> None:
        """What an earlier holder may have left on this machine is known: it has reported under the
        current token, so that its list is complete, or all that was on it is gone."""
        shard = self.held.get(machine.record.shard)
        if shard is None or machine.name not in shard.unknown:
            return
        shard.unknown.discard(machine.name)
        self.quota.forget()
        if not shard.unknown:
            for job in self.jobs.values():
                job.limbo.pop(shard.name, None)
            self.dirty = True

    def gang_home(self, job: JobRun) -> str | None:
        """The shard that a gang of whole machines belongs to: the one with most machines for it.
        None if several of its tasks share a machine, which any shard can provide."""
        spec = job.spec
        needs = (*(spec.types or ()), spec.zone, spec.spot, spec.cpus, spec.gpus, spec.memory_gb)
        known = self.gang_homes.get(needs)
        if known is not None and self.now < known[0]:
            return known[1]
        home = self._find_home(spec)
        if len(self.gang_homes) > 200:
            self.gang_homes.clear()
        self.gang_homes[needs] = (self.now + 4 * TICK_S, home)
        return home

    def _find_home(self, spec: Job) -> str | None:
        types = [t for t in self.types.values() if type_allowed(spec, t)]
        if not types or not all(fills_most(spec, t) for t in types):
            return None
        counts = dict.fromkeys(sorted(self.settings.nodes), 0)
        for shard, machines in self.by_shard.items():
            if shard in counts:
                counts[shard] = sum(
                    not m.record.leaving and machine_allowed(spec, m) for m in machines.values()
                )
        return max(counts, key=lambda n: counts[n])

    def promised(self, shard: str) -> Room:
        """Room of a shard's machines that its claimed but unplaced tasks will take."""
        promised: Room = {}
        machines = self.shard_machines(shard)
        for job in self.jobs.values():
            bits = 0 if self.failures.suspect(job) else job.placeable(shard)
            if bits and job.reserved:
                keep_reserved(promised, job)
            elif bits:
                indexes = list(taskset.members(taskset.lowest(bits, 200)))
                plan(job, indexes, machines, self.random, promised)
        return promised

    # -- machines that nobody needs -------------------------------------------------------------

    def _idle(self, now: float) -> None:
        """Return machines that have been idle for long, but keep a little room for arrivals."""
        if now < self.idle_at:
            return
        self.idle_at = now + 4 * TICK_S
        for name in self.acting_shards(now):
            idle: dict[tuple[str, bool], list[Machine]] = {}
            machines = self.shard_machines(name)
            for machine in machines:
                if not machine.empty or machine.record.leaving or machine.kind is None:
                    continue
                if machine.notice:
                    self.workers.leave(machine, "spot notice")
                    continue
                idle.setdefault((machine.record.type, machine.record.spot), []).append(machine)
            for group in idle.values():
                group.sort(key=lambda m: -m.idle_since)
                kind = group[0].kind
                assert kind is not None
                patience = self._patience(kind)
                keep = self._keep(kind, machines) if not group[0].record.spot else 0
                for machine in group[keep:]:
                    age = self.wall() - machine.record.at
                    # A machine that is deleted costs 60 s at least: it may as well wait as long.
                    drained = now < machine.drain_until and now - machine.idle_since > 2.0
                    if (drained or now - machine.idle_since > patience) and age > 55.0:
                        self.workers.leave(machine, "idle")

    def _patience(self, kind: MachineType) -> float:
        """How long a machine may idle: longer where jobs come that need one of its own, since
        those would have to wait for a boot."""
        patience = max(15.0, 0.8 * kind.boot_s)
        arrivals = self.arrivals.get(kind.name)
        if arrivals and len(arrivals) > 1:
            gap = (self.now - arrivals[0]) / len(arrivals)
            patience = max(patience, min(2.5 * gap, 5 * kind.boot_s))
        return patience

    def _keep(self, kind: MachineType, machines: list[Machine]) -> int:
        """Idle machines a shard keeps for services to come: none where others can make room."""
        if kind.gpus > 0:
            return 0
        room = 0.0
        for machine in machines:
            if machine.open and not machine.record.spot and machine.tasks:
                fixed = sum(
                    p.job.spec.cpus
                    for p in machine.tasks.values()
                    if p.job is not None and p.live and p.job.priority == 3
                )
                room += (machine.kind.cpus if machine.kind else 0.0) - fixed
        return 0 if room >= kind.cpus else 1

    def _note_arrival(self, job: JobRun) -> None:
        """Remember when jobs came whose task takes most of a machine."""
        if job.array:
            return
        fitting = [t for t in self.types.values() if type_allowed(job.spec, t)]
        if not fitting:
            return
        kind = min(fitting, key=lambda t: t.price)
        if fills_most(job.spec, kind):
            self.arrivals.setdefault(kind.name, deque(maxlen=8)).append(self.now)

    # -- what is learned ------------------------------------------------------------------------

    def learned(self, placement: Placement) -> None:
        """A task completed: owners' estimates are wrong, so learn by how much, per class."""
        job = placement.job
        if job is None or job.spec.estimate_s <= 0 or not placement.running_at:
            return
        ratio = max(0.1, min(10.0, (self.now - placement.running_at) / job.spec.estimate_s))
        old = self.class_run.get(job.spec.klass, 1.0)
        self.class_run[job.spec.klass] = old + 0.05 * (ratio - old)

    def came_up(self, machine: Machine) -> None:
        """A machine has reported for the first time: learn how long that takes."""
        took = self.wall() - machine.record.at
        shard = self.held.get(machine.record.shard)
        if shard is None or self.now - took < shard.since:
            # Rented before this holder's time: it may have reported to another.
            return
        self.boots.setdefault(machine.record.type, deque(maxlen=16)).append(took)

    def boot_most_s(self, kind: MachineType) -> float:
        """A machine that takes longer than this never comes up: twice the slowest seen lately.
        Before enough have been seen, several times the nominal time, as PROTOCOL has it."""
        most = 5 * kind.boot_s + 30.0
        seen = self.boots.get(kind.name, ())
        if len(seen) >= 8:
            most = min(most, max(2.5 * kind.boot_s, 2 * max(seen)))
        return most

    def expected(self, job: JobRun) -> float:
        """Expected run time of a task, its image included."""
        kind = next(iter(self.types.values()), None)
        fetch = job.spec.image_gb / kind.fetch_gb_per_s if kind and kind.fetch_gb_per_s else 0.0
        return job.spec.estimate_s * self.class_run.get(job.spec.klass, 1.0) + 0.5 * fetch

    def dues(self, job: JobRun) -> list[float]:
        """The ages by which a job's class is expected to be through, from the settings."""
        known = self.class_dues.get(job.spec.klass)
        if known is None:
            known = []
            for aim in self.settings.params.objectives:
                if aim.klass == job.spec.klass:
                    if aim.kind == "deadline":
                        known.append((True, aim.times or 1.0))
                    elif aim.kind in ("finished", "wait") and aim.within_s:
                        known.append((False, aim.within_s))
            self.class_dues[job.spec.klass] = known
        deadline = job.spec.deadline_s
        if deadline is not None and not any(relative for relative, _ in known):
            known = [*known, (True, 1.0)]
        return sorted(
            value * (deadline or 300.0) if relative else value for relative, value in known
        ) or [300.0]

    def rank(self, job: JobRun) -> None:
        """Order among arrays of equal standing. When there is more work than machines, serving in
        order of age makes everybody late; so what can still be in time goes first, the least work
        first, and what cannot goes after it, though not for ever."""
        age = self.wall() - job.at
        run = self.expected(job)
        dues = self.dues(job)
        feasible = any(age + run <= due for due in dues) or age > 2 * dues[-1]
        work = job.unfinished.bit_count() * run * max(job.spec.cpus, 0.1)
        job.order = (0, work) if feasible else (1, job.at)

    def settle(self, job: JobRun) -> None:
        """Where a service may go: not on machines with GPUs if others suit it, since it would keep
        them from the jobs that need them, for good, or keep a dear machine from its return. If it
        lacks room for a moment, those that no gang asks for will do; if it does for long, any."""
        if not job.unclaimed and not any(job.placeable(shard) for shard in self.held):
            job.lacking_since = None
        elif job.lacking_since is None:
            job.lacking_since = self.now
        job.off = frozenset()
        spec = job.spec
        waited = self.now - job.lacking_since if job.lacking_since is not None else 0.0
        if spec.gpus > 0 or waited > 10.0:
            return
        fitting = [t for t in self.types.values() if type_allowed(spec, t)]
        gpus = {t.name for t in fitting if t.gpus > 0}
        if len(gpus) < len(fitting):
            if waited > self.claims.poll_s / 2:
                gpus &= self.arrivals.keys()
            job.off = frozenset(gpus)

    def finish_within(self, job: JobRun) -> float:
        """How long a job may take from its submission, by its deadline or its class's aims."""
        if job.spec.deadline_s is not None:
            return job.spec.deadline_s
        found = [
            o.within_s
            for o in self.settings.params.objectives
            if o.klass == job.spec.klass and o.kind == "finished" and o.within_s
        ]
        return min(found) if found else 300.0

    # -- peers ----------------------------------------------------------------------------------

    def _hint(self, now: float) -> None:
        if now < self.hint_at:
            return
        self.hint_at = now + 1.0
        hungry: dict[str, tuple[str, int]] = {}
        running: dict[str, int] = {}
        for job in self.jobs.values():
            count = sum(1 for p in job.placed.values() if p.state == "running")
            if count:
                running[job.id] = count
            for shard in self.held:
                lacking = job.placeable(shard)
                if self.failures.suspect(job):
                    # Nothing is rented for what fails everywhere.
                    continue
                if lacking and now - job.stuck_at.get(shard, now) > 0.4:
                    hungry[job.id] = (shard, lacking.bit_count())
                    self.hungry[job.id] = (shard, lacking.bit_count(), now)
        hint = Hint(
            self.settings.node,
            self.now - self.synced_at < 2.0,
            running,
            hungry,
            [m.name for m in self.machines.values() if m.known],
            self.workers.strangers(now),
            self.provision.draining,
            self.cancelled_lately,
            [job.id for job in self.jobs.values() if job.blamed],
        )
        self._drain(hint)
        self.cancelled_lately = []
        for peer in self.settings.peers:
            self.call(peer.addr, "POST", "/hint", hint, 1.0, self._hinted(peer.node, now))

    def _drain(self, hint: Hint) -> None:
        for name in hint.drain:
            if (machine := self.machines.get(name)) is not None:
                machine.drain_until = self.now + 4.0

    def _hinted(self, node: str, sent: float) -> Done:
        def done(status: int | None, body: bytes) -> None:
            try:
                answer = read_promise(body) if status == 200 else None
            except (msgspec.MsgspecError, UnicodeDecodeError):
                answer = None
            if answer is not None:
                self.leadership.promised(node, sent, answer)

        return done

    def _tell_waits(self, now: float) -> None:
        """Log why jobs wait that have waited for long: the oldest few at a time."""
        if not self.leadership.provisioner_term or now < self.wait_told_at + 5.0:
            return
        self.wait_told_at = now
        from sagecove.coordination import explain

        long = [j for j in self.jobs.values() if j.unclaimed and now - j.wait_told_at > WAIT_TOLD_S]
        for job in sorted(long, key=lambda j: j.wait_told_at)[:3]:
            job.wait_told_at = now
            told = explain.explain(self, job)
            log.info("waits job=%s team=%s why=%s", job.id, told.team, "; ".join(told.reasons))

    def hint_cancel(self, job_id: str) -> None:
        """Let the peers look for a cancellation before their watch tells them."""
        self.cancelled_lately.append(job_id)
        self.hint_at = min(self.hint_at, self.now)

    def _peer(self, ask: Asked) -> None:
        if ask.path == "/relay":
            self.workers.report(ask.body, ask.exchange, relayed=True)
            return
        try:
            hint = read_hint(ask.body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.effects.append(Reply(ask.exchange, 400, Refusal("unreadable")))
            return
        if hint.node in self.settings.nodes:
            self.hints[hint.node] = (self.now, hint)
            for job_id, (shard, count) in hint.hungry.items():
                self.hungry[job_id] = (shard, count, self.now)
            self._drain(hint)
            for job_id in hint.failing:
                if (job := self.jobs.get(job_id)) is not None:
                    job.blamed_elsewhere_at = self.now
            for name in hint.strangers:
                if (machine := self.machines.get(name)) is not None:
                    machine.elsewhere_at = self.now
            if any(job_id in self.jobs for job_id in hint.cancelled):
                self.want_sync()
        self.effects.append(Reply(ask.exchange, 200, self.leadership.promise()))

    def running_elsewhere(self, job_id: str) -> int:
        """Running tasks of a job on other controllers' machines, for display."""
        return sum(
            hint.running.get(job_id, 0) for at, hint in self.hints.values() if self.now - at < 5.0
        )

    def arrival(self, machine: Machine) -> str:
        """Whether a machine is `up`, `coming` or `overdue`, as far as this controller can tell."""
        if machine.known:
            return "up"
        holder = self.holder_of(machine.record.shard)
        hint = self.hints.get(holder or "")
        told = hint is not None and self.now - hint[0] < 5.0
        if told and hint is not None and machine.name in hint[1].heard:
            return "up"
        boot = machine.kind.boot_s if machine.kind else 30.0
        if self.wall() - machine.record.at < 2 * boot:
            return "coming"
        return "overdue" if told or holder == self.settings.node else "up"

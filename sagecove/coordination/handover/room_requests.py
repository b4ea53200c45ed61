"""Idle machines go to the shard where a gang waits that fits in no single one.

DESIGN: "a gang no controller can fit goes to the one with most room, and the other controllers hand
that controller idle machines". Which shard that is follows from the records, so all find the same.
Its holder calls for so many tasks' room; each other holder hands over its part of idle machines, in
a transaction on the machine's record and its own term. Calls are hints: nothing is taken, and only
what is provably empty is given. docs/design.md, "Gangs of whole machines".
"""

from __future__ import annotations

import logging
from collections import Counter

import msgspec

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.interfaces import TICK_S, MirrorSync, OwnerContext, ShardQueries
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import JobRun, Machine, Shard, precedence
from sagecove.coordination.placement import machine_suits, tasks_fitting
from sagecove.protocol import state as wire
from sagecove.protocol.peers import RoomRequest
from sagecove.storage.records import HOLDER, MACHINE
from sagecove.storage.store import Outcome, Result

log = logging.getLogger("sagecove.handover")

# Polls that a gang waits before machines are called for, and that a machine is idle before it goes.
PATIENCE_POLLS = 2.0
IDLE_POLLS = 1.0


class RoomRequests:
    """Calls for room, and what is given to them."""

    def __init__(
        self,
        desk: OwnerContext,
        ledger: Ledger,
        limits: TeamLimits,
        backlog: Backlog,
        shards: ShardQueries,
        sync: MirrorSync,
    ) -> None:
        self.desk = desk
        self.ledger = ledger
        self.limits = limits
        self.backlog = backlog
        self.shards = shards
        self.sync = sync
        self.poll_s = desk.settings.poll_s
        self.looked_at = -1e9
        # Calls of shards held here, for the next hint.
        self.mine: list[RoomRequest] = []
        # Moves whose outcome is in doubt: by machine, the shard that gives and where to.
        self.doubts: dict[str, tuple[Shard, str]] = {}

    def tick(self, now: float) -> None:
        """Find out for which gangs to call; settle what is in doubt."""
        if now - self.looked_at < 4 * TICK_S:
            return
        self.looked_at = now
        acting = set(self.shards.active_shards(now))
        self.mine = []
        for job in self.backlog.dirty_jobs.values():
            if not job.gang or job.placed or job.judged_faulty or not job.unclaimed or job.claims:
                continue
            if now - job.first_seen_at < PATIENCE_POLLS * self.poll_s:
                continue
            home = self.shards.home_shard(job)
            if home in acting and (call := self._call(job, home)) is not None:
                self.mine.append(call)
        doubts, self.doubts = self.doubts, {}
        for name, (shard, to) in doubts.items():
            machine = self.desk.machines.get(name)
            if (
                machine is not None
                and machine.handing_over
                and self.desk.held_shards.get(shard.name) is shard
            ):
                self._move(machine, shard, to, doubtful=True)
        for call in self.mine:
            # Another shard that is held here gives as well.
            self.called(now, call)

    def _call(self, job: JobRun, home: str) -> RoomRequest | None:
        spec = job.spec
        if spec.spread or self.limits.claimable_anywhere(spec, spec.tasks) < spec.tasks:
            return None
        rooms: Counter[str] = Counter()
        for machine in self.ledger.machines_with_room(home):
            if machine_suits(job, machine):
                rooms[machine.record.zone] += tasks_fitting(spec, machine.free_room())
        if not spec.one_zone:
            lacking = spec.tasks - rooms.total()
            return RoomRequest(job.id, home, "", lacking) if lacking > 0 else None
        zone, found = max(sorted(rooms.items()), key=lambda r: r[1], default=("", 0))
        if not zone or found >= spec.tasks:
            return None
        return RoomRequest(job.id, home, zone, spec.tasks - found)

    def called(self, now: float, call: RoomRequest) -> None:
        """A shard calls for room: give this controller's part of it, if machines are idle here."""
        job = self.desk.jobs.get(call.job)
        if job is None or not job.unclaimed or call.shard not in self.desk.settings.nodes:
            return
        others = max(1, len(self.desk.settings.nodes) - 1)
        for name in self.shards.active_shards(now):
            if name == call.shard:
                continue
            lacking = -(-call.tasks // others)
            for machine in self._idle(now, job, name, call.zone):
                if lacking <= 0:
                    break
                lacking -= tasks_fitting(job.spec, machine.free_room())
                log.info("hand over machine=%s to=%s job=%s", machine.name, call.shard, job.id)
                self._move(machine, self.desk.held_shards[name], call.shard)

    def _idle(self, now: float, job: JobRun, shard: str, zone: str) -> list[Machine]:
        # Or two gangs of different homes would draw the same machines to and fro.
        mine = [
            own
            for call in self.mine
            if call.shard == shard
            and (own := self.desk.jobs.get(call.job)) is not None
            and precedence(own) < precedence(job)
        ]
        return [
            m
            for m in self.desk.machines_by_shard.get(shard, {}).values()
            if m.empty
            and m.accepts_tasks
            and not m.committing
            and now - m.idle_since > IDLE_POLLS * self.poll_s
            and machine_suits(job, m)
            and tasks_fitting(job.spec, m.free_room()) > 0
            and not any(machine_suits(own, m) for own in mine)
            and (not zone or m.record.zone == zone)
        ]

    def _move(self, machine: Machine, shard: Shard, to: str, doubtful: bool = False) -> None:
        """Write the machine's new shard. From here on nothing is started on it: the transaction may
        be executed long after it was sent. `doubtful`: an earlier copy got no answer, of which it
        says nothing that this one is refused."""
        machine.handing_over = True
        record = msgspec.structs.replace(machine.record, shard=to)
        stamp = machine.stamp

        def done(result: Result) -> None:
            if self.desk.machines.get(machine.name) is not machine or machine.stamp != stamp:
                return
            if result.outcome is Outcome.UNKNOWN or (
                doubtful and result.outcome in (Outcome.REFUSED, Outcome.NO_LEASE)
            ):
                self.doubts[machine.name] = shard, to
            elif result.outcome is Outcome.CONFLICT:
                # The record is another, or the term is over: either will be seen.
                self.sync.request_sync()
            else:
                machine.handing_over = False

        key = MACHINE + machine.name
        conditions = [(key, stamp), (HOLDER + shard.name, shard.term)]
        self.desk.commit(conditions, [wire.Put(key, record)], done)

"""Moves idle machines to the shard that serves a gang which fits into no single shard.

DESIGN: "a gang no controller can fit goes to the one with most room, and the other controllers hand
that controller idle machines". All controllers find the same shard, because it follows from the
records. Its holder requests room for a number of tasks. Each other holder hands over its part of
idle machines, in a transaction that is conditional on the machine's record and on its own term.
Requests are hints: no machine is taken away, and only machines that are provably empty are given.
See docs/design.md, "Gangs of whole machines".
"""

from __future__ import annotations

import logging
from collections import Counter

import msgspec

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.interfaces import TICK_S, OwnerContext, ShardQueries, SyncRequests
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import JobRun, Machine, Shard
from sagecove.coordination.placement import machine_suits, tasks_fitting
from sagecove.coordination.precedence import precedence
from sagecove.coordination.zone_rules import tasks_allowed_by_zone, tasks_per_zone_limit
from sagecove.protocol import state as wire
from sagecove.protocol.peers import RoomRequest
from sagecove.storage.records import HOLDER_PREFIX, MACHINE_PREFIX
from sagecove.storage.store import Outcome, Result

log = logging.getLogger("sagecove.handover")

# Poll intervals that a gang waits before machines are requested for it, and that a machine is idle
# before it is given away.
REQUEST_AFTER_POLLS = 2.0
IDLE_FOR_POLLS = 1.0


class RoomRequests:
    """Requests room for gangs served here, and gives idle machines to requests of other shards."""

    def __init__(
        self,
        context: OwnerContext,
        ledger: Ledger,
        limits: TeamLimits,
        backlog: Backlog,
        shards: ShardQueries,
        sync: SyncRequests,
    ) -> None:
        self.context = context
        self.ledger = ledger
        self.limits = limits
        self.backlog = backlog
        self.shards = shards
        self.sync = sync
        self.poll_s = context.settings.poll_interval_s
        self.checked_at = -1e9
        # Requests of shards held here, for the next hint.
        self.own_requests: list[RoomRequest] = []
        # Moves whose outcome is unknown: machine to (giving shard, name of the receiving shard).
        self.unconfirmed_moves: dict[str, tuple[Shard, str]] = {}

    def tick(self, now: float) -> None:
        """Find the gangs that need machines, and retry moves whose outcome is unknown."""
        if now - self.checked_at < 4 * TICK_S:
            return
        self.checked_at = now
        active_shards = set(self.shards.active_shards(now))
        self.own_requests = []
        for job in self.backlog.dirty_jobs.values():
            if not job.gang or job.placed or job.judged_faulty or not job.unclaimed or job.claims:
                continue
            if now - job.first_seen_at < REQUEST_AFTER_POLLS * self.poll_s:
                continue
            home_shard = self.shards.home_shard(job)
            if (
                home_shard in active_shards
                and (request := self._build_request(job, home_shard)) is not None
            ):
                self.own_requests.append(request)
        unconfirmed_moves, self.unconfirmed_moves = self.unconfirmed_moves, {}
        for name, (shard, receiver) in unconfirmed_moves.items():
            machine = self.context.machines.get(name)
            if (
                machine is not None
                and machine.handing_over
                and self.context.held_shards.get(shard.name) is shard
            ):
                self._move_machine(machine, shard, receiver, is_retry=True)
        for request in self.own_requests:
            # Other shards held here give machines too.
            self.give_machines(now, request)

    def _build_request(self, job: JobRun, home_shard: str) -> RoomRequest | None:
        spec = job.spec
        if self.limits.claimable_anywhere(spec, spec.tasks) < spec.tasks:
            return None
        fitting_by_zone: Counter[str] = Counter()
        for machine in self.ledger.machines_with_room(home_shard):
            if machine_suits(job, machine):
                fitting_by_zone[machine.record.zone] += tasks_fitting(spec, machine.free_room())
        if spec.spread:
            return self._build_spread_request(job, home_shard, fitting_by_zone)
        if not spec.one_zone:
            missing_tasks = spec.tasks - fitting_by_zone.total()
            return RoomRequest(job.id, home_shard, "", missing_tasks) if missing_tasks > 0 else None
        zone, found = max(
            sorted(fitting_by_zone.items()), key=lambda item: item[1], default=("", 0)
        )
        if not zone or found >= spec.tasks:
            return None
        return RoomRequest(job.id, home_shard, zone, spec.tasks - found)

    def _build_spread_request(
        self, job: JobRun, home_shard: str, fitting_by_zone: dict[str, int]
    ) -> RoomRequest | None:
        """Request room for a gang that is spread over zones, in one zone at a time: of those in
        which other shards have machines for it, the one where the home shard has least room."""
        usable = tasks_allowed_by_zone(job, fitting_by_zone)
        missing_tasks = job.spec.tasks - sum(usable.values())
        zone_limit = tasks_per_zone_limit(job.spec)
        zones = {
            machine.record.zone
            for machine in self.context.machines.values()
            if machine.record.shard != home_shard and machine_suits(job, machine)
        }
        lacking = [zone for zone in sorted(zones) if usable.get(zone, 0) < zone_limit]
        if missing_tasks <= 0 or not lacking:
            return None
        zone = min(lacking, key=lambda name: usable.get(name, 0))
        task_count = min(missing_tasks, zone_limit - usable.get(zone, 0))
        return RoomRequest(job.id, home_shard, zone, task_count)

    def give_machines(self, now: float, request: RoomRequest) -> None:
        """Give this controller's part of the requested room, as far as it has idle machines."""
        job = self.context.jobs.get(request.job)
        if job is None or not job.unclaimed or request.shard not in self.context.settings.nodes:
            return
        others = max(1, len(self.context.settings.nodes) - 1)
        for name in self.shards.active_shards(now):
            if name == request.shard:
                continue
            missing_tasks = -(-request.tasks // others)
            for machine in self._idle_machines(now, job, name, request.zone):
                if missing_tasks <= 0:
                    break
                missing_tasks -= tasks_fitting(job.spec, machine.free_room())
                log.info("hand over machine=%s to=%s job=%s", machine.name, request.shard, job.id)
                self._move_machine(machine, self.context.held_shards[name], request.shard)

    def _idle_machines(self, now: float, job: JobRun, shard: str, zone: str) -> list[Machine]:
        # Machines that suit an earlier gang of this shard are kept. Otherwise two gangs with
        # different home shards would move the same machines back and forth.
        earlier_jobs = [
            other_job
            for request in self.own_requests
            if request.shard == shard
            and (other_job := self.context.jobs.get(request.job)) is not None
            and precedence(other_job) < precedence(job)
        ]
        return [
            m
            for m in self.context.machines_by_shard.get(shard, {}).values()
            if m.empty
            and m.accepts_tasks
            and not m.committing
            and now - m.idle_since > IDLE_FOR_POLLS * self.poll_s
            and machine_suits(job, m)
            and tasks_fitting(job.spec, m.free_room()) > 0
            and not any(machine_suits(other_job, m) for other_job in earlier_jobs)
            and (not zone or m.record.zone == zone)
        ]

    def _move_machine(
        self, machine: Machine, shard: Shard, receiver: str, is_retry: bool = False
    ) -> None:
        """Write the machine's new shard.

        From here on no task is started on the machine, because the transaction may be executed long
        after it was sent. `is_retry`: an earlier attempt got no answer. If the retry is refused,
        the outcome of the earlier attempt is still unknown.
        """
        machine.handing_over = True
        record = msgspec.structs.replace(machine.record, shard=receiver)
        stamp = machine.stamp

        def done(result: Result) -> None:
            if self.context.machines.get(machine.name) is not machine or machine.stamp != stamp:
                return
            if result.outcome is Outcome.UNKNOWN or (
                is_retry and result.outcome in (Outcome.REFUSED, Outcome.NO_LEASE)
            ):
                self.unconfirmed_moves[machine.name] = shard, receiver
            elif result.outcome is Outcome.CONFLICT:
                # The record has changed or the term has ended. The read shows which.
                self.sync.request_sync()
            else:
                machine.handing_over = False

        key = MACHINE_PREFIX + machine.name
        conditions = [(key, stamp), (HOLDER_PREFIX + shard.name, shard.term)]
        self.context.commit(conditions, [wire.Put(key, record)], done)

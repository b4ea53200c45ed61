"""The single owner of a controller's state and decisions.

`Owner.handle` takes a batch of commands and returns effects as data. Time and randomness are
passed in, so the owner itself does no I/O.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random
from typing import Any

from sagecove.config import Settings
from sagecove.coordination.backlog import Backlog
from sagecove.coordination.cancellations import Cancellations
from sagecove.coordination.claims.scheduling_pass import SchedulingPass
from sagecove.coordination.containment import Containment
from sagecove.coordination.effects import CallResult, Command, Effect, Reply
from sagecove.coordination.estimates import Estimates
from sagecove.coordination.event_counts import EventCounts
from sagecove.coordination.failures import FailureTracker
from sagecove.coordination.final_states import FinalStates
from sagecove.coordination.handover.room_requests import RoomRequests
from sagecove.coordination.images import Images
from sagecove.coordination.interfaces import TICK_S, Feature, ResponseCallback
from sagecove.coordination.inventory import Inventory
from sagecove.coordination.leadership import Leadership
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.claim_totals import ClaimTotals
from sagecove.coordination.limits.guarantees import Guarantees
from sagecove.coordination.limits.records import (
    LIMIT_RECORD_TYPES,
    LIMIT_SPLIT_PREFIX,
    TRANSFERS_PREFIX,
)
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.maintenance import Maintenance
from sagecove.coordination.mirror_sync import MirrorSync
from sagecove.coordination.model import JobRun, Machine, Shard
from sagecove.coordination.peers import Peers
from sagecove.coordination.pending_calls import PendingCalls
from sagecove.coordination.preemption_policy import PreemptionPolicy
from sagecove.coordination.provisioner import Provisioner
from sagecove.coordination.request_coverage import RequestCoverage
from sagecove.coordination.request_router import RequestRouter
from sagecove.coordination.shards import Shards
from sagecove.coordination.task_ends import TaskEndLog
from sagecove.coordination.user_answers import UserAnswers
from sagecove.coordination.users import Users
from sagecove.coordination.workers import Workers
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Refusal
from sagecove.storage import records
from sagecove.storage.mirror import Event, Item, Mirror
from sagecove.storage.store import Outcome, Result, Store

log = logging.getLogger("sagecove.owner")

# The owner is called at every tick; a longer time between calls means that the process paused.
PROCESS_PAUSE_S = 8 * TICK_S


class Owner:
    """Holds all state of the controller and creates the parts that act on it."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        now: float,
        wall: float,
        features: Callable[[Owner], list[Feature]] | None = None,
    ) -> None:
        self.settings = settings
        self.random = random
        self.now = now
        self.started_at = now
        # Since when this process has been running without a pause.
        self.running_since = now
        self._wall_offset = wall - now
        self.effects: list[Effect] = []
        self.calls = PendingCalls()
        self.mirror = Mirror()
        state = settings.params.state
        self.store = Store(
            state.rps, state.write_rps, len(settings.nodes), now, self._send_to_state
        )
        self.jobs: dict[str, JobRun] = {}
        self.machines: dict[str, Machine] = {}
        self.machines_by_shard: dict[str, dict[str, Machine]] = {}
        self.machine_types: dict[str, MachineType] = {}
        # Rentals with a durable record whose answer is not recorded yet.
        self.rentals: dict[str, Item] = {}
        self.held_shards: dict[str, Shard] = {}
        self.event_counts = EventCounts()
        self.containment = Containment(self.event_counts)
        self.pass_needed = True
        # A job was added or removed: the next pass recomputes which jobs are within guarantees.
        self.jobs_changed = True
        self.last_pass_at = -1e9
        self.last_tick_at = -1e9
        self.sync = MirrorSync(self)
        self.answers = UserAnswers(self)
        self.coverage = RequestCoverage(self, self.answers)
        self.peers = Peers(self)
        self.estimates = Estimates(self)
        self.shards = Shards(self)
        self.router = RequestRouter(self)
        self.backlog = Backlog(self)
        teams = {team.name: team for team in settings.params.teams}
        self.claim_totals = ClaimTotals(teams)
        self.ledger = Ledger(self)
        self.images = Images(self, self.ledger)
        self.guarantees = Guarantees(teams, self.jobs, self.backlog.reclassify)
        self.task_end_log = TaskEndLog(self)
        self.limits = TeamLimits(
            settings,
            self.held_shards,
            self.ledger,
            self.claim_totals,
            self.mirror,
            lambda *args: self.commit(*args, urgent=True),
            self.sync.request_sync,
            random,
        )
        self.leadership = Leadership(self)
        self.failures = FailureTracker(self)
        self.workers = Workers(self)
        self.cancellations = Cancellations(self, self.workers.commands.stop_task)
        self.final_states: FinalStates = FinalStates(self)
        self.inventory = Inventory(self, self.ledger, self.workers, self.shards)
        self.room_requests = RoomRequests(
            self, self.ledger, self.limits, self.backlog, self.shards, self.sync
        )
        self.maintenance = Maintenance(
            self,
            self.shards,
            self.workers.lost_machines,
            self.estimates,
            self.backlog,
            self.limits,
            self._wait_reasons,
        )
        self.preemption_policy = PreemptionPolicy(self, self.estimates)
        self.scheduling_pass = SchedulingPass(
            self,
            self.ledger,
            self.limits,
            self.backlog,
            self.estimates,
            self.failures,
            self.preemption_policy,
            self.workers.commands,
            self.shards,
            self.sync,
            self.peers,
            self.images,
        )
        self.users = Users(self)
        self.provisioner = Provisioner(self)
        self.features = features(self) if features is not None else []
        self.record_kinds = [
            *LIMIT_RECORD_TYPES,
            *(kind for feature in self.features for kind in feature.records),
        ]

    # -- main loop -----------------------------------------------------------------------------

    def handle(self, commands: list[Command], now: float, wall: float) -> list[Effect]:
        """Process a batch of commands and return the resulting effects."""
        if now - self.now > PROCESS_PAUSE_S:
            # The process was paused or starved while its clocks ran on. Leases are checked against
            # the time after the pause; peers' reports and workers' silence are out of date.
            log.info("stood still seconds=%.1f", now - self.now)
            self.running_since = now
            self.peers.forget_hints()
            self.leadership.peer_promises.clear()
        self.now = now
        self._wall_offset = wall - now
        run = self.containment.run
        for command in commands:
            if isinstance(command, CallResult):
                done = self.calls.pending.pop(command.token, None)
                if done is not None:
                    run("answer", done, command.status, command.body)
            elif not run("request", self.router.handle, command):
                self.effects.append(Reply(command.exchange, 500, Refusal("internal error")))
        if now - self.last_tick_at >= TICK_S:
            self.last_tick_at = now
            run("tick", self._tick, now)
        if self.pass_needed and now - self.last_pass_at >= self.scheduling_pass.interval_s():
            self.pass_needed = False
            self.last_pass_at = now
            run("pass", self._pass, now)
        run("commands", self.workers.commands.send_urgent_commands, now)
        run("held reports", self.workers.held_reports.answer_due, now)
        run("sync", self.sync.sync_if_due, now)
        run("writes", self.store.flush, now)
        effects, self.effects = self.effects, []
        return effects

    def seconds_until_due(self) -> float:
        """Return the seconds until `handle` has to be called again, even without commands."""
        delays_s = [TICK_S - (self.now - self.last_tick_at)]
        if self.pass_needed:
            delays_s.append(self.scheduling_pass.interval_s() - (self.now - self.last_pass_at))
        if self.sync.sync_requested and not self.sync.syncing:
            delays_s.append(self.sync.next_sync_at - self.now)
        if self.store.queued:
            delays_s.append(self.store.flush(self.now) or 0.01)
        return max(0.002, min(delays_s))

    def wall(self) -> float:
        """Return the wall clock time in seconds."""
        return self.now + self._wall_offset

    def count(self, event: str) -> None:
        """Increment the metric of an event."""
        self.event_counts.add(event)

    def _tick(self, now: float) -> None:
        if not self.mirror.loaded:
            self.sync.load(now)
        elif not self.sync.watching and now >= self.sync.next_watch_at:
            self.sync.watch(now)
        # Each runs whether or not another one raises.
        run = self.containment.run
        run("leadership tick", self.leadership.tick, now)
        run("workers tick", self.workers.tick, now)
        run("provisioner tick", self.provisioner.tick, now)
        run("returns", self.maintenance.return_idle, now)
        run("room requests tick", self.room_requests.tick, now)
        run("hints", self.peers.send_hints, now)
        run("share requests", self.peers.send_share_requests, now)
        run("long waits", self._log_long_waits, now)
        run("task ends tick", self.task_end_log.tick, now)
        run("event counts tick", self.event_counts.tick, now)
        if self.mirror.loaded and now - self.sync.synced_at > self.leadership.lease_s / 8:
            self.sync.request_sync()
        for feature in self.features:
            run("feature tick", feature.tick, now)
        self.pass_needed = True

    def _log_long_waits(self, now: float) -> None:
        if self.leadership.provisioner_term:
            self.maintenance.log_long_waits(now)

    def _pass(self, now: float) -> None:
        if self.jobs_changed:
            self.jobs_changed = False
            unfinished_work = [
                load for feature in self.features for load in feature.unfinished_work()
            ]
            self.guarantees.mark_covered_jobs(unfinished_work)
        for feature in self.features:
            feature.before_pass(now)
        self.backlog.reclassify_dirty()
        self.scheduling_pass.run(now)
        self.limits.run(now, [self.held_shards[s] for s in self.shards.active_shards(now)])
        self.peers.send_share_requests(now)
        for feature in self.features:
            feature.after_pass(now)

    def _wait_reasons(self, job: JobRun) -> list[str]:
        """Return why a job waits. The module is rarely needed, so it is imported on demand."""
        from sagecove.coordination import explain

        return explain.explain_job(self, job).reasons

    # -- outgoing calls -------------------------------------------------------------------------

    def call(
        self, target: str, method: str, path: str, body: Any, timeout: float, done: ResponseCallback
    ) -> None:
        """Emit a call; `done` is called with its outcome."""
        self.effects.append(self.calls.add(target, method, path, body, timeout, done))

    def _send_to_state(
        self, method: str, path: str, body: Any, timeout: float, done: ResponseCallback
    ) -> None:
        def answered(status: int | None, raw: bytes) -> None:
            if status == 429:
                self.store.pause_after_throttling(self.now, self.random.uniform(0.05, 0.25))
                self.count("throttled")
            done(status, raw)

        self.call("state", method, path, body, timeout, answered)

    def commit(
        self,
        conditions: list[tuple[str, int]],
        changes: list[wire.Put | wire.Delete],
        done: Callable[[Result], None],
        *,
        urgent: bool = False,
    ) -> None:
        """Send a transaction; once it succeeds, its changes are applied to the mirror at once."""

        def committed(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                self.sync.apply_committed(changes, result.revision)
            done(result)

        self.store.commit(conditions, changes, committed, urgent=urgent)

    def put_machine(
        self,
        name: str,
        record: records.MachineRecord,
        stamp: int,
        shard: Shard,
        done: Callable[[Result], None],
    ) -> None:
        """Write a machine's record, on condition that this controller still holds its shard."""
        key = records.MACHINE_PREFIX + name
        conditions = [(key, stamp), (records.HOLDER_PREFIX + shard.name, shard.term)]
        self.commit(conditions, [wire.Put(key, record)], done)

    # -- the mirror -----------------------------------------------------------------------------

    def apply_event(self, event: Event) -> None:
        """Apply a change from the state service to the mirror and the in-memory state."""
        key = event.key
        if not self.mirror.apply(event):
            return
        self.pass_needed = True
        if key.startswith(records.JOB_PREFIX):
            self._job_changed(key[len(records.JOB_PREFIX) :], event)
        elif key.startswith(records.RENTAL_PREFIX):
            if event.value is None:
                self.rentals.pop(key, None)
            else:
                self.rentals[key] = self.mirror.items[key]
        elif key.startswith(records.MACHINE_PREFIX):
            self.inventory.machine_changed(key[len(records.MACHINE_PREFIX) :], event)
        elif key == records.MACHINE_TYPES_KEY and event.value is not None:
            self.inventory.types_changed(event.value.types)
        elif key.startswith((TRANSFERS_PREFIX, LIMIT_SPLIT_PREFIX)):
            self.limits.apply_event(event, self.now)
        elif key.startswith(records.HOLDER_PREFIX):
            if event.value is None:
                self.leadership.update_held_shards()
        else:
            for feature in self.features:
                if any(key.startswith(prefix) for prefix, _ in feature.records):
                    feature.key_changed(event)

    def parse(self, key: str, raw: Any) -> Any:
        """Convert a decoded JSON value to the record type of its key (core or feature)."""
        return records.parse_record(key, raw, self.record_kinds)

    def _job_changed(self, job_id: str, event: Event) -> None:
        job = self.jobs.get(job_id)
        if event.value is None:
            if job is not None:
                self.job_over(job)
            return
        if job is None:
            self.job_seen(JobRun(event.value, event.revision))
        else:
            job.apply_record(event.value, event.revision)
            self.backlog.reclassify(job)
            self.ledger.update_claims(job)

    def job_seen(self, job: JobRun) -> None:
        """Register a new job."""
        self.jobs[job.id] = job
        self.jobs_changed = True
        job.first_seen_at = job.wait_logged_at = self.now
        # A random delay, so that not all controllers try to claim the job at the same moment.
        job.claim_after = self.now + self.random.uniform(0.0, self.settings.poll_interval_s / 6)
        self.estimates.note_arrival_time(job)
        self.guarantees.add_job(job)
        for feature in self.features:
            feature.job_seen(job)
        self.backlog.reclassify(job)
        self.ledger.update_claims(job)

    def job_over(self, job: JobRun) -> None:
        """Remove a job that is durably done or cancelled, and stop what still runs of it."""
        del self.jobs[job.id]
        self.jobs_changed = True
        self.guarantees.remove_job(job)
        for feature in self.features:
            feature.job_over(job)
        self.backlog.remove(job)
        self.peers.room_shortages.pop(job.id, None)
        for placement in list(job.placed.values()):
            self.workers.commands.stop_task(placement, 0.0, "job over")
        self.ledger.remove_job(job)

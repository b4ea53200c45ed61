"""Submissions, polls and cancellations.

`done` and `aborted` never change, so they may be told from memory. Everything else, and every
404, rests on a read of the state service begun after the request arrived; one read serves all
requests that wait.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from sagecove.coordination.effects import Reply
from sagecove.coordination.interfaces import SubmissionGuard
from sagecove.coordination.model import JobRun
from sagecove.coordination.placement import NoRoomCache, type_allowed
from sagecove.protocol import state as wire
from sagecove.protocol import users as u
from sagecove.protocol.state import Pair
from sagecove.storage import taskset
from sagecove.storage.records import HOLDER, JOB, OVER, JobRecord, OverRecord
from sagecove.storage.store import Outcome, Result, decode

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.users")

FINALS_KEPT = 20_000
REFUSE = "refuse:"


def refusal_kind(status: int, why: str) -> str:
    """A kind of request: a submission that is refused unless its job is known all the same."""
    return f"{REFUSE}{status}:{why}"


class Users:
    """Answers to users."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        # Final states, bounded; what fell out is read again.
        self.final_states: OrderedDict[str, tuple[str, int]] = OrderedDict()
        # Requests that wait for a read: (number, kind, job id, exchange); of kind `call` with a
        # function, which hears whether the read went well, for an exchange. Numbered, for the clock
        # may stand still between a read that has been sent and a request that comes after it.
        self.waiting_requests: list[tuple[int, str, str, Any]] = []
        self.request_count = 0
        # Reads of what became of jobs, with who waits for them, and who came since they were sent.
        self.open_reads: dict[str, list[tuple[str, Any]]] = {}
        self.queued_reads: dict[str, list[tuple[str, Any]]] = {}
        self.submitting: dict[str, list[Any]] = {}

    # -- answers --------------------------------------------------------------------------------

    def reply(self, exchange: Any, status: int, body: Any, retry: float | None = None) -> None:
        """Answer a request."""
        self.owner.effects.append(Reply(exchange, status, body, retry))

    def refuse_for_now(self, exchange: Any, why: str, retry: float = 1.0) -> None:
        """The service can't answer now: say so at once, and when to come back."""
        self.reply(exchange, 503, u.Refusal(why), retry)

    def refuse_state_unavailable(self, exchange: Any) -> None:
        """The state service does not answer."""
        retry = self.owner.router.retry_hint()
        self.refuse_for_now(exchange, "the state service does not answer", retry)

    def remember_final_state(self, job_id: str, state: str, tasks: int, revision: int) -> None:
        """Remember a final state, durable by a revision. All that users are told of cancelled jobs
        goes by here."""
        if state == u.CANCELLED:
            self.owner.cancellations.record_confirmed(job_id, revision)
        self.final_states[job_id] = (state, tasks)
        self.final_states.move_to_end(job_id)
        if len(self.final_states) > FINALS_KEPT:
            self.final_states.popitem(last=False)

    def _tell_final(self, kind: str, job_id: str, exchange: Any) -> None:
        state, tasks = self.final_states[job_id]
        if kind == "status":
            done = tasks if state == u.DONE else 0
            self.reply(exchange, 200, u.Status(job_id, state, done, 0))
        else:
            self.reply(exchange, 200, u.Status(job_id, state))

    def _tell_live(self, kind: str, job: JobRun, exchange: Any) -> None:
        owner = self.owner
        done = (job.finished | job.finished_unrecorded).bit_count()
        running = job.running_count
        running += owner.peers.running_elsewhere(job.id)
        state = u.RUNNING if running else u.PENDING
        if kind == "status":
            self.reply(exchange, 200, u.Status(job.id, state, done, running))
        else:
            self.reply(exchange, 200, u.Status(job.id, state))

    # -- requests -------------------------------------------------------------------------------

    def submit(self, body: bytes, exchange: Any) -> None:
        """POST a job."""
        owner = self.owner
        try:
            job = u.read_job(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            self.reply(exchange, 400, u.Refusal(str(error)[:300]))
            return
        # An id that a feature has given away was never accepted: its guard is in that transaction.
        guards = [feature.submission_guard(job.id) for feature in owner.features]
        refusal = next((guard for guard in guards if isinstance(guard, str)), None)
        if refusal is not None:
            self.reply(exchange, 422, u.Refusal(refusal))
            return
        # What is known already is told first: whatever would be said of it as a new job, it was
        # accepted.
        if job.id in self.final_states:
            self._tell_final("submit", job.id, exchange)
            return
        if job.id in owner.jobs:
            self.answer_after_read("submit", job.id, exchange)
            return
        if len(body) > owner.settings.params.state.value_kb * 512:
            # Its record would not fit the state service, beside the sets of its tasks.
            self.answer_after_read(
                refusal_kind(400, "the submission is too long"), job.id, exchange
            )
            return
        if not owner.mirror.loaded or not owner.machine_types:
            self.refuse_for_now(exchange, "the machine types are not known yet")
            return
        if not owner.sync.connected():
            self.refuse_state_unavailable(exchange)
            return
        reason = self.impossible_reason(job)
        if reason is not None:
            # A job that was accepted under other circumstances must not be refused now.
            self.answer_after_read(refusal_kind(422, reason), job.id, exchange)
            return
        if job.id in self.submitting:
            self.submitting[job.id].append(exchange)
            return
        if len(owner.store.urgent) > 100:
            self.refuse_for_now(exchange, "too many requests at once", 2.0)
            return
        self._store(
            job, exchange, [guard for guard in guards if isinstance(guard, SubmissionGuard)]
        )

    def impossible_reason(self, job: u.Job) -> str | None:
        """Why a job can never run, if it can't."""
        owner = self.owner
        team = owner.limits.teams.get(job.team)
        if team is None:
            return f"unknown team {job.team}"
        fitting = [
            t
            for t in owner.machine_types.values()
            if type_allowed(job, t) and (job.zone is None or job.zone in t.zones)
        ]
        if not fitting:
            return "a task fits no allowed machine type"
        count = 1 if job.kind == u.ARRAY else job.tasks
        if count * job.cpus > team.cpus_max + 1e-6 or count * job.gpus > team.gpus_max + 1e-6:
            return f"needs more than the limit of team {job.team}"
        if job.spread and job.tasks > 1 and job.kind != u.ARRAY:
            zones = {z for t in fitting for z in t.zones if job.zone in (None, z)}
            if job.one_zone or len(zones) < 2:
                return "its tasks can't be both apart in zones and all in one"
        return None

    def _store(self, spec: u.Job, exchange: Any, guards: list[SubmissionGuard]) -> None:
        """Write a submission; where it fits this controller's free room, claimed already."""
        owner = self.owner
        job_id = spec.id
        self.submitting[job_id] = [exchange]
        record = JobRecord(spec, owner.wall())
        own = [(JOB + job_id, 0), (OVER + job_id, 0)]
        more: list[wire.Put | wire.Drop] = []
        for guard in guards:
            own += guard.conditions
            more += guard.changes
        conditions = list(own)
        changes: list[wire.Put | wire.Drop] = [wire.Put(JOB + job_id, record), *more]
        run = JobRun(record, 0)
        run.first_seen_at = owner.now
        if run.service:
            owner.estimates.update_avoided_types(run)
        claimed = self._claim_at_submission(run)
        if claimed is not None:
            changes = [claimed[0], *more]
            conditions.append(claimed[1])

        def done(result: Result) -> None:
            if result.outcome is Outcome.CONFLICT and claimed is not None:
                mine = [key for key, _ in own]
                if not any(key in mine for key in result.failed):
                    put = wire.Put(JOB + job_id, record)
                    owner.commit(own, [put, *more], stored, urgent=True)
                    return
            stored(result)

        def stored(result: Result) -> None:
            waiters = self.submitting.pop(job_id, [])
            if result.outcome is Outcome.DONE:
                log.info(
                    "accepted job=%s team=%s class=%s tasks=%d",
                    job_id,
                    spec.team,
                    spec.klass,
                    spec.tasks,
                )
                for waiter in waiters[:1]:
                    self.reply(waiter, 201, u.Status(job_id, u.PENDING))
                for waiter in waiters[1:]:
                    self.reply(waiter, 200, u.Status(job_id, u.PENDING))
            elif result.outcome is Outcome.CONFLICT:
                for waiter in waiters:
                    self.answer_after_read("submit", job_id, waiter)
            else:
                for waiter in waiters:
                    self.refuse_state_unavailable(waiter)

        owner.commit(conditions, changes, done, urgent=True)

    def _claim_at_submission(self, job: JobRun) -> tuple[wire.Put, tuple[str, int]] | None:
        owner = self.owner
        node = owner.settings.node
        shard = owner.held_shards.get(node)
        if shard is None or node not in owner.shards.active_shards(owner.now):
            return None
        machines = [
            m
            for m in owner.ledger.machines_with_room(node)
            if not job.array or owner.now >= m.drain_until
        ]
        promised = owner.shards.promised_room(node)
        claims = owner.scheduling_pass
        ground = claims.pass_state
        ground.no_room = ground.no_room_by_preemption = NoRoomCache()
        ground.array_candidates = None
        ground.scan_running_jobs(node)
        if owner.images.count_left_to_peers(job, machines, promised, job.spec.tasks):
            return None
        count = claims.claimer.count_fitting(job, node, machines, promised)
        if count < job.spec.tasks and job.priority >= 2:
            # Users wait for these: room is made at once where it may be.
            able = owner.limits.claimable(node, job.spec, job.spec.tasks)
            if able > count:
                count += claims.preemptor.count_fitting_by_preemption(job, able - count, promised)
                ground.preempt_after = 0.0
        if not count or (job.claimed_whole and count < job.spec.tasks):
            return None
        count = claims.claimer.limit_to_record_size(job, count)
        bits = taskset.lowest(job.all_tasks, count)
        change = claims.claimer.claim_write(shard, job, bits)
        return None if change is None else (change, (HOLDER + node, shard.term))

    def status(self, job_id: str, exchange: Any) -> None:
        """GET a job."""
        self.answer_after_read("status", job_id, exchange)

    def cancel(self, job_id: str, exchange: Any) -> None:
        """Cancel a job."""
        self.answer_after_read("cancel", job_id, exchange)

    # -- reads ----------------------------------------------------------------------------------

    def answer_after_read(self, kind: str, job_id: str, exchange: Any) -> None:
        """Answer from memory if the state is final, else after a read begun from now on."""
        owner = self.owner
        if not u.JOB_ID.match(job_id):
            self.reply(exchange, 404, u.Refusal("no such job"))
        elif job_id in self.final_states:
            self._tell_final(kind, job_id, exchange)
        elif not owner.sync.connected():
            self.refuse_state_unavailable(exchange)
        elif len(self.waiting_requests) > 2000:
            self.refuse_for_now(exchange, "too many requests at once", 2.0)
        else:
            self.request_count += 1
            self.waiting_requests.append((self.request_count, kind, job_id, exchange))
            owner.sync.request_sync()

    def call_after_read(self, call: Callable[[bool], None]) -> None:
        """Call back after a read begun from now on; with False if it can't be had."""
        owner = self.owner
        if not owner.sync.connected() or len(self.waiting_requests) > 2000:
            call(False)
            return
        self.request_count += 1
        self.waiting_requests.append((self.request_count, "call", "", call))
        owner.sync.request_sync()

    def read_done(self, asked: int, good: bool) -> None:
        """A read has ended that was sent after request number `asked` had come in."""
        owner = self.owner
        ready = [entry for entry in self.waiting_requests if entry[0] <= asked or not good]
        if not ready:
            return
        self.waiting_requests = [e for e in self.waiting_requests if e[0] > asked] if good else []
        for _, kind, job_id, exchange in ready:
            if kind == "call":
                exchange(good)
            elif not good:
                self.refuse_state_unavailable(exchange)
            elif (job := owner.jobs.get(job_id)) is not None:
                if kind == "cancel":
                    self._cancel(job, exchange)
                else:
                    self._tell_live(kind, job, exchange)
            elif JOB + job_id in owner.sync.unreadable_job_keys:
                if kind == "cancel":
                    self.refuse_for_now(exchange, "the job's record can't be read here", 5.0)
                else:
                    self.reply(exchange, 200, u.Status(job_id, u.PENDING))
            elif job_id in self.final_states:
                self._tell_final(kind, job_id, exchange)
            elif not any(f.answer_unknown_job(kind, job_id, exchange) for f in owner.features):
                self.read_final_state(kind, job_id, exchange)

    def read_final_state(self, kind: str, job_id: str, exchange: Any) -> None:
        """Not live: over, or never accepted."""
        if job_id in self.open_reads:
            # The state service may have answered that read already, and the job may have been
            # accepted, and be over, since: one that begins only now says.
            self.queued_reads.setdefault(job_id, []).append((kind, exchange))
        else:
            self._read_over(job_id, [(kind, exchange)])

    def _read_over(self, job_id: str, waiters: list[tuple[str, Any]]) -> None:
        owner = self.owner
        self.open_reads[job_id] = waiters

        def done(status: int | None, body: bytes) -> None:
            del self.open_reads[job_id]
            pair = decode(body, Pair) if status == 200 else None
            if pair is not None:
                try:
                    over = msgspec.convert(pair.value, OverRecord)
                except msgspec.ValidationError:
                    status = None
                else:
                    self.remember_final_state(job_id, over.state, over.tasks, pair.version)
            for kind, exchange in waiters:
                if job_id in self.final_states:
                    self._tell_final(kind, job_id, exchange)
                elif status != 404:
                    self.refuse_for_now(exchange, "the state service does not answer")
                elif kind.startswith(REFUSE):
                    code, _, why = kind.removeprefix(REFUSE).partition(":")
                    log.info("refused job=%s why=%s", job_id, why)
                    self.reply(exchange, int(code), u.Refusal(why))
                elif kind == "submit":
                    self.refuse_for_now(exchange, "try again")
                else:
                    self.reply(exchange, 404, u.Refusal("no such job"))
            later = self.queued_reads.pop(job_id, [])
            if job_id in self.final_states:
                for kind, exchange in later:
                    self._tell_final(kind, job_id, exchange)
            elif later:
                self._read_over(job_id, later)

        owner.store.read(owner.now, OVER + job_id, done)

    def _cancel(self, job: JobRun, exchange: Any) -> None:
        owner = self.owner
        if job.durable_state is not None:
            job.durable_state.cancel(job, exchange)
            return
        # Not on the record's revision: claims and results move that on all the time, and a job with
        # many tasks had no end of conflicts. It was accepted and is not over: that is all it takes,
        # whenever it is carried out.
        changes: list[wire.Put | wire.Drop] = [
            wire.Drop(JOB + job.id),
            wire.Put(OVER + job.id, OverRecord(u.CANCELLED, job.spec.tasks)),
        ]

        def done(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                log.info("cancelled job=%s", job.id)
                owner.peers.announce_cancellation(job.id)
                self.reply(exchange, 200, u.Status(job.id, u.CANCELLED))
            elif result.outcome is Outcome.CONFLICT:
                # It is over.
                self.answer_after_read("cancel", job.id, exchange)
            else:
                self.refuse_state_unavailable(exchange)

        owner.commit([(OVER + job.id, 0)], changes, done, urgent=True)

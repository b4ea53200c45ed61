"""Answers users' submissions, status polls and cancellations.

Final states, `done` and `aborted`, never change and are answered from memory. Any other answer and
every 404 need a state service read begun after the request arrived; one read serves all waiting.
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
from sagecove.protocol import users as api
from sagecove.protocol.state import Pair
from sagecove.storage import taskset
from sagecove.storage.records import (
    FINAL_STATE_PREFIX,
    HOLDER_PREFIX,
    JOB_PREFIX,
    FinalStateRecord,
    JobRecord,
)
from sagecove.storage.store import Outcome, Result, decode_answer

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.users")

FINAL_STATES_KEPT_COUNT = 20_000
REFUSAL_PREFIX = "refuse:"


def refusal_kind(status: int, reason: str) -> str:
    """Return the kind of a submission that is refused unless its job is already known."""
    return f"{REFUSAL_PREFIX}{status}:{reason}"


class Users:
    """Handles users' requests for jobs."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        # Final states (state, number of tasks); bounded, and read again once dropped.
        self.final_states: OrderedDict[str, tuple[str, int]] = OrderedDict()
        # Waiting for a read: (number, kind, job id, exchange); for `call` the last is a callback
        # for the read's success. Numbers give the order: a later request may have the same time.
        self.waiting_requests: list[tuple[int, str, str, Any]] = []
        self.request_count = 0
        # Open reads of final states: requests that wait for them, and requests that came later.
        self.open_reads: dict[str, list[tuple[str, Any]]] = {}
        self.queued_reads: dict[str, list[tuple[str, Any]]] = {}
        self.open_submissions: dict[str, list[Any]] = {}

    # -- answers --------------------------------------------------------------------------------

    def reply(self, exchange: Any, status: int, body: Any, retry_s: float | None = None) -> None:
        """Send the answer to a request."""
        self.owner.effects.append(Reply(exchange, status, body, retry_s))

    def refuse_for_now(self, exchange: Any, reason: str, retry_s: float = 1.0) -> None:
        """Answer 503 with the time after which to retry."""
        self.reply(exchange, 503, api.Refusal(reason), retry_s)

    def refuse_state_unavailable(self, exchange: Any) -> None:
        """Answer 503 because the state service does not answer."""
        retry_s = self.owner.router.retry_after_s()
        self.refuse_for_now(exchange, "the state service does not answer", retry_s)

    def remember_final_state(self, job_id: str, state: str, tasks: int, revision: int) -> None:
        """Remember a final state durable at `revision`. Cancellations pass here before a reply."""
        if state == api.CANCELLED:
            self.owner.cancellations.record_confirmed(job_id, revision)
        self.final_states[job_id] = (state, tasks)
        self.final_states.move_to_end(job_id)
        if len(self.final_states) > FINAL_STATES_KEPT_COUNT:
            self.final_states.popitem(last=False)

    def _reply_final_state(self, kind: str, job_id: str, exchange: Any) -> None:
        state, tasks = self.final_states[job_id]
        if kind == "status":
            done = tasks if state == api.DONE else 0
            self.reply(exchange, 200, api.JobStatus(job_id, state, done, 0))
        else:
            self.reply(exchange, 200, api.JobStatus(job_id, state))

    def _reply_live_state(self, kind: str, job: JobRun, exchange: Any) -> None:
        owner = self.owner
        done = (job.finished | job.finished_unrecorded).bit_count()
        running = job.running_count
        running += owner.peers.running_elsewhere(job.id)
        state = api.RUNNING if running else api.PENDING
        if kind == "status":
            self.reply(exchange, 200, api.JobStatus(job.id, state, done, running))
        else:
            self.reply(exchange, 200, api.JobStatus(job.id, state))

    # -- requests -------------------------------------------------------------------------------

    def submit(self, body: bytes, exchange: Any) -> None:
        """Handle the submission of a job."""
        owner = self.owner
        try:
            job = api.decode_job(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            self.reply(exchange, 400, api.Refusal(str(error)[:300]))
            return
        # An id reserved by a feature can't have been accepted: guards are part of the transaction.
        guards = [feature.submission_guard(job.id) for feature in owner.features]
        refusal = next((guard for guard in guards if isinstance(guard, str)), None)
        if refusal is not None:
            self.reply(exchange, 422, api.Refusal(refusal))
            return
        # Known jobs are answered first: they were accepted, even if they would be refused now.
        if job.id in self.final_states:
            self._reply_final_state("submit", job.id, exchange)
            return
        if job.id in owner.jobs:
            self.answer_after_read("submit", job.id, exchange)
            return
        if len(body) > owner.settings.params.state.value_kb * 512:
            # Its record, with its task sets, would exceed the state service's value size.
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
            # It must not be refused if it was accepted earlier, under other conditions.
            self.answer_after_read(refusal_kind(422, reason), job.id, exchange)
            return
        if job.id in self.open_submissions:
            self.open_submissions[job.id].append(exchange)
            return
        if len(owner.store.urgent) > 100:
            self.refuse_for_now(exchange, "too many requests at once", 2.0)
            return
        self._write_submission(
            job, exchange, [guard for guard in guards if isinstance(guard, SubmissionGuard)]
        )

    def impossible_reason(self, job: api.Job) -> str | None:
        """Return why a job can never run, or None if it can."""
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
        count = 1 if job.kind == api.ARRAY else job.tasks
        if count * job.cpus > team.cpus_max + 1e-6 or count * job.gpus > team.gpus_max + 1e-6:
            return f"needs more than the limit of team {job.team}"
        if job.spread and job.tasks > 1 and job.kind != api.ARRAY:
            zones = {z for t in fitting for z in t.zones if job.zone in (None, z)}
            if job.one_zone or len(zones) < 2:
                return "its tasks can't be both apart in zones and all in one"
        return None

    def _write_submission(self, job: api.Job, exchange: Any, guards: list[SubmissionGuard]) -> None:
        """Write a submission, with a claim if this controller has room for the job."""
        owner = self.owner
        job_id = job.id
        self.open_submissions[job_id] = [exchange]
        record = JobRecord(job, owner.wall())
        own_conditions = [(JOB_PREFIX + job_id, 0), (FINAL_STATE_PREFIX + job_id, 0)]
        additional: list[wire.Put | wire.Delete] = []
        for guard in guards:
            own_conditions += guard.conditions
            additional += guard.changes
        conditions = list(own_conditions)
        changes: list[wire.Put | wire.Delete] = [wire.Put(JOB_PREFIX + job_id, record), *additional]
        job_run = JobRun(record, 0)
        job_run.first_seen_at = owner.now
        if job_run.service:
            owner.estimates.update_avoided_types(job_run)
        claim = self._claim_at_submission(job_run)
        if claim is not None:
            changes = [claim[0], *additional]
            conditions.append(claim[1])

        def done(result: Result) -> None:
            if result.outcome is Outcome.CONFLICT and claim is not None:
                own_keys = [key for key, _ in own_conditions]
                if not any(key in own_keys for key in result.failed):
                    put = wire.Put(JOB_PREFIX + job_id, record)
                    owner.commit(own_conditions, [put, *additional], stored, urgent=True)
                    return
            stored(result)

        def stored(result: Result) -> None:
            waiters = self.open_submissions.pop(job_id, [])
            if result.outcome is Outcome.DONE:
                log.info(
                    "accepted job=%s team=%s class=%s tasks=%d",
                    job_id,
                    job.team,
                    job.klass,
                    job.tasks,
                )
                for waiter in waiters[:1]:
                    self.reply(waiter, 201, api.JobStatus(job_id, api.PENDING))
                for waiter in waiters[1:]:
                    self.reply(waiter, 200, api.JobStatus(job_id, api.PENDING))
            elif result.outcome is Outcome.CONFLICT:
                for waiter in waiters:
                    self.answer_after_read("submit", job_id, waiter)
            else:
                for waiter in waiters:
                    self.refuse_state_unavailable(waiter)

        owner.commit(conditions, changes, done, urgent=True)

    def _claim_at_submission(self, job: JobRun) -> tuple[wire.Put, tuple[str, int]] | None:
        """Return the record with a claim for this node's shard, and its condition, if it fits."""
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
        scheduler = owner.scheduling_pass
        pass_state = scheduler.pass_state
        pass_state.no_room = pass_state.no_room_by_preemption = NoRoomCache()
        pass_state.array_candidates = None
        pass_state.scan_running_jobs(node)
        if owner.images.count_left_to_peers(job, machines, promised, job.spec.tasks):
            return None
        count = scheduler.claimer.count_fitting(job, node, machines, promised)
        if count < job.spec.tasks and job.priority >= 2:
            # Users wait for these jobs, so room is made by preemption at once.
            claimable_count = owner.limits.claimable(node, job.spec, job.spec.tasks)
            if claimable_count > count:
                count += scheduler.preemptor.count_fitting_by_preemption(
                    job, claimable_count - count, promised
                )
                pass_state.preempt_after = 0.0
        if not count or (job.claimed_whole and count < job.spec.tasks):
            return None
        count = scheduler.claimer.limit_to_record_size(job, count)
        bits = taskset.lowest(job.all_tasks, count)
        change = scheduler.claimer.claim_write(shard, job, bits)
        return None if change is None else (change, (HOLDER_PREFIX + node, shard.term))

    def status(self, job_id: str, exchange: Any) -> None:
        """Handle a status request for a job."""
        self.answer_after_read("status", job_id, exchange)

    def cancel(self, job_id: str, exchange: Any) -> None:
        """Handle the cancellation of a job."""
        self.answer_after_read("cancel", job_id, exchange)

    # -- reads ----------------------------------------------------------------------------------

    def answer_after_read(self, kind: str, job_id: str, exchange: Any) -> None:
        """Answer from memory if the state is final, else after a read that begins from now on."""
        owner = self.owner
        if not api.JOB_ID_PATTERN.match(job_id):
            self.reply(exchange, 404, api.Refusal("no such job"))
        elif job_id in self.final_states:
            self._reply_final_state(kind, job_id, exchange)
        elif not owner.sync.connected():
            self.refuse_state_unavailable(exchange)
        elif len(self.waiting_requests) > 2000:
            self.refuse_for_now(exchange, "too many requests at once", 2.0)
        else:
            self.request_count += 1
            self.waiting_requests.append((self.request_count, kind, job_id, exchange))
            owner.sync.request_sync()

    def call_after_read(self, callback: Callable[[bool], None]) -> None:
        """Call back after a read that begins from now on, with False if the read fails."""
        owner = self.owner
        if not owner.sync.connected() or len(self.waiting_requests) > 2000:
            callback(False)
            return
        self.request_count += 1
        self.waiting_requests.append((self.request_count, "call", "", callback))
        owner.sync.request_sync()

    def read_done(self, number: int, succeeded: bool) -> None:
        """Answer requests up to `number` after a read that began once they had arrived."""
        owner = self.owner
        due = [entry for entry in self.waiting_requests if entry[0] <= number or not succeeded]
        if not due:
            return
        self.waiting_requests = (
            [e for e in self.waiting_requests if e[0] > number] if succeeded else []
        )
        for _, kind, job_id, exchange in due:
            if kind == "call":
                exchange(succeeded)
            elif not succeeded:
                self.refuse_state_unavailable(exchange)
            elif (job := owner.jobs.get(job_id)) is not None:
                if kind == "cancel":
                    self._cancel(job, exchange)
                else:
                    self._reply_live_state(kind, job, exchange)
            elif JOB_PREFIX + job_id in owner.sync.unreadable_job_keys:
                if kind == "cancel":
                    self.refuse_for_now(exchange, "the job's record can't be read here", 5.0)
                else:
                    self.reply(exchange, 200, api.JobStatus(job_id, api.PENDING))
            elif job_id in self.final_states:
                self._reply_final_state(kind, job_id, exchange)
            elif not any(f.answer_unknown_job(kind, job_id, exchange) for f in owner.features):
                self.read_final_state(kind, job_id, exchange)

    def read_final_state(self, kind: str, job_id: str, exchange: Any) -> None:
        """Answer for a job that is not live: it is over or was never accepted."""
        if job_id in self.open_reads:
            # The open read may be executed already, and the job accepted and finished since then.
            self.queued_reads.setdefault(job_id, []).append((kind, exchange))
        else:
            self._read_final_record(job_id, [(kind, exchange)])

    def _read_final_record(self, job_id: str, waiters: list[tuple[str, Any]]) -> None:
        owner = self.owner
        self.open_reads[job_id] = waiters

        def done(status: int | None, body: bytes) -> None:
            del self.open_reads[job_id]
            pair = decode_answer(body, Pair) if status == 200 else None
            if pair is not None:
                try:
                    record = msgspec.convert(pair.value, FinalStateRecord)
                except msgspec.ValidationError:
                    status = None
                else:
                    self.remember_final_state(job_id, record.state, record.tasks, pair.version)
            for kind, exchange in waiters:
                if job_id in self.final_states:
                    self._reply_final_state(kind, job_id, exchange)
                elif status != 404:
                    self.refuse_for_now(exchange, "the state service does not answer")
                elif kind.startswith(REFUSAL_PREFIX):
                    code, _, reason = kind.removeprefix(REFUSAL_PREFIX).partition(":")
                    log.info("refused job=%s why=%s", job_id, reason)
                    self.reply(exchange, int(code), api.Refusal(reason))
                elif kind == "submit":
                    self.refuse_for_now(exchange, "try again")
                else:
                    self.reply(exchange, 404, api.Refusal("no such job"))
            queued = self.queued_reads.pop(job_id, [])
            if job_id in self.final_states:
                for kind, exchange in queued:
                    self._reply_final_state(kind, job_id, exchange)
            elif queued:
                self._read_final_record(job_id, queued)

        owner.store.read(owner.now, FINAL_STATE_PREFIX + job_id, done)

    def _cancel(self, job: JobRun, exchange: Any) -> None:
        owner = self.owner
        if job.durable_state is not None:
            job.durable_state.cancel(job, exchange)
            return
        # Not conditional on the record's revision: claims and results change it all the time, so a
        # large job's cancellation conflicted without end. Accepted and not over at commit suffices.
        changes: list[wire.Put | wire.Delete] = [
            wire.Delete(JOB_PREFIX + job.id),
            wire.Put(FINAL_STATE_PREFIX + job.id, FinalStateRecord(api.CANCELLED, job.spec.tasks)),
        ]

        def done(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                log.info("cancelled job=%s revision=%d", job.id, result.revision)
                owner.peers.announce_cancellation(job.id)
                self.reply(exchange, 200, api.JobStatus(job.id, api.CANCELLED))
            elif result.outcome is Outcome.CONFLICT:
                # The job is over.
                self.answer_after_read("cancel", job.id, exchange)
            else:
                self.refuse_state_unavailable(exchange)

        owner.commit([(FINAL_STATE_PREFIX + job.id, 0)], changes, done, urgent=True)

"""Answers users' submissions, status polls and cancellations.

Final states, `done` and `aborted`, never change and are answered from memory. Any other answer and
every 404 need a state service read begun after the request arrived; one read serves all waiting.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from sagecove.coordination.effects import Reply
from sagecove.coordination.model import JobRun
from sagecove.coordination.placement import NoRoomCache
from sagecove.coordination.refusals import RefusedSubmission, RequestKind
from sagecove.coordination.submissions import SubmissionClaim, Submissions
from sagecove.protocol import state as wire
from sagecove.protocol import users as api
from sagecove.protocol.decoding import MalformedMessage, convert_message
from sagecove.protocol.state import Pair
from sagecove.storage import taskset
from sagecove.storage.records import (
    FINAL_STATE_PREFIX,
    HOLDER_PREFIX,
    JOB_PREFIX,
    FinalStateRecord,
)
from sagecove.storage.store import Outcome, Result, decode_answer

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.users")

FINAL_STATES_KEPT_COUNT = 20_000


class Users:
    """Handles users' requests for jobs."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        # Final states (state, number of tasks); bounded, and read again once dropped.
        self.final_states: OrderedDict[str, tuple[str, int]] = OrderedDict()
        # Waiting for a read: (number, kind, job id, exchange); for `call` the last is a callback
        # for the read's success. Numbers give the order: a later request may have the same time.
        self.waiting_requests: list[tuple[int, RequestKind, str, Any]] = []
        self.request_count = 0
        # Open reads of final states: requests that wait for them, and requests that came later.
        self.open_reads: dict[str, list[tuple[RequestKind, Any]]] = {}
        self.queued_reads: dict[str, list[tuple[RequestKind, Any]]] = {}
        self.submissions = Submissions(owner, self)

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

    def _reply_final_state(self, kind: RequestKind, job_id: str, exchange: Any) -> None:
        state, tasks = self.final_states[job_id]
        if kind == "status":
            done = tasks if state == api.DONE else 0
            self.reply(exchange, 200, api.JobStatus(job_id, state, done, 0))
        else:
            self.reply(exchange, 200, api.JobStatus(job_id, state))

    def _reply_live_state(self, kind: RequestKind, job: JobRun, exchange: Any) -> None:
        owner = self.owner
        done = (job.finished | job.finished_unrecorded).bit_count()
        running = job.running_count
        running += owner.peers.running_elsewhere(job.id)
        state = api.RUNNING if running else api.PENDING
        log.debug(
            "answered job=%s kind=%s state=%s basis=read revision=%d",
            *(job.id, kind, state, owner.mirror.applied),
        )
        if kind == "status":
            self.reply(exchange, 200, api.JobStatus(job.id, state, done, running))
        else:
            self.reply(exchange, 200, api.JobStatus(job.id, state))

    # -- requests -------------------------------------------------------------------------------

    def submit(self, body: bytes, exchange: Any) -> None:
        """Handle the submission of a job."""
        self.submissions.submit(body, exchange)

    def answer_if_known(self, job_id: str, exchange: Any) -> bool:
        """Answer a submission if its job is known to this controller; return whether it is."""
        if job_id in self.final_states:
            self._reply_final_state("submit", job_id, exchange)
            return True
        if job_id in self.owner.jobs:
            self.answer_after_read("submit", job_id, exchange)
            return True
        return False

    def claim_at_submission(self, job: JobRun) -> SubmissionClaim | None:
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

    def answer_after_read(self, kind: RequestKind, job_id: str, exchange: Any) -> None:
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
        due = [entry for entry in self.waiting_requests if entry[0] <= number or not succeeded]
        if not due:
            return
        self.waiting_requests = (
            [e for e in self.waiting_requests if e[0] > number] if succeeded else []
        )
        for _, kind, job_id, exchange in due:
            if kind == "call":
                self.owner.containment.run("call after read", exchange, succeeded)
            else:
                self.owner.containment.run(
                    "answer after read", self._answer_read, kind, job_id, exchange, succeeded
                )

    def _answer_read(self, kind: RequestKind, job_id: str, exchange: Any, succeeded: bool) -> None:
        """Answer a request after the read that it has waited for."""
        owner = self.owner
        if not succeeded:
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

    def read_final_state(self, kind: RequestKind, job_id: str, exchange: Any) -> None:
        """Answer for a job that is not live: it is over or was never accepted."""
        if job_id in self.open_reads:
            # The open read may be executed already, and the job accepted and finished since then.
            self.queued_reads.setdefault(job_id, []).append((kind, exchange))
        else:
            self._read_final_record(job_id, [(kind, exchange)])

    def _read_final_record(self, job_id: str, waiters: list[tuple[RequestKind, Any]]) -> None:
        owner = self.owner
        self.open_reads[job_id] = waiters

        def done(status: int | None, body: bytes) -> None:
            del self.open_reads[job_id]
            pair = decode_answer(body, Pair) if status == 200 else None
            if pair is not None:
                try:
                    record = convert_message(pair.value, FinalStateRecord)
                except MalformedMessage:
                    status = None
                else:
                    self.remember_final_state(job_id, record.state, record.tasks, pair.version)
            for kind, exchange in waiters:
                if job_id in self.final_states:
                    self._reply_final_state(kind, job_id, exchange)
                elif status != 404:
                    self.refuse_for_now(exchange, "the state service does not answer")
                elif isinstance(kind, RefusedSubmission):
                    self.submissions.refuse(exchange, kind)
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

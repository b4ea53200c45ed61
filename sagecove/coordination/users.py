"""Answers users' submissions, status polls and cancellations.

Final states, `done` and `aborted`, never change and are answered from memory. Any other answer and
every 404 need a state service read begun after the request arrived (`request_coverage`); one read
serves all waiting.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.final_states import FinalState, FinalStateAnswer
from sagecove.coordination.model import JobRun
from sagecove.coordination.placement import NoRoomCache
from sagecove.coordination.refusals import Operation, RefusedSubmission, RequestKind
from sagecove.coordination.submissions import SubmissionClaim, Submissions
from sagecove.protocol import state as wire
from sagecove.protocol import users as api
from sagecove.storage import taskset
from sagecove.storage.records import (
    FINAL_STATE_PREFIX,
    HOLDER_PREFIX,
    JOB_PREFIX,
    FinalStateRecord,
)
from sagecove.storage.store import Outcome, Result

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.users")


class Users:
    """Handles users' requests for jobs."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.answers = owner.answers
        self.final_states = owner.final_states
        self.submissions = Submissions(owner, owner.answers, owner.coverage, self)

    # -- requests -------------------------------------------------------------------------------

    def submit(self, body: bytes, exchange: object) -> None:
        """Handle the submission of a job."""
        self.submissions.submit(body, exchange)

    def answer_if_known(self, job_id: str, exchange: object) -> bool:
        """Answer a submission if its job is known to this controller; return whether it is."""
        if job_id not in self.final_states.known and job_id not in self.owner.jobs:
            return False
        self.answer_after_read(Operation.SUBMIT, job_id, exchange)
        return True

    def claim_at_submission(self, job: JobRun) -> SubmissionClaim | None:
        """Return the record with a claim for this node's shard, and its condition, if it fits."""
        owner = self.owner
        node = owner.settings.node
        shard = owner.held_shards.get(node)
        if shard is None or node not in owner.shards.active_shards(owner.now):
            return None
        scheduler = owner.scheduling_pass
        pass_state = scheduler.pass_state
        machines = [
            m
            for m in owner.ledger.machines_with_room(node)
            if not job.array or pass_state.open_to_arrays(m)
        ]
        promised = owner.shards.promised_room(node)
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
        if not count or (count < job.spec.tasks and (job.claimed_whole or job.one_claimant)):
            return None
        count = scheduler.claimer.limit_to_record_size(job, count)
        bits = taskset.lowest(job.all_tasks, count)
        change = scheduler.claimer.claim_write(shard, job, bits)
        return None if change is None else (change, (HOLDER_PREFIX + node, shard.term))

    def status(self, job_id: str, exchange: object) -> None:
        """Handle a status request for a job."""
        self.answer_after_read(Operation.STATUS, job_id, exchange)

    def cancel(self, job_id: str, exchange: object) -> None:
        """Handle the cancellation of a job."""
        self.answer_after_read(Operation.CANCEL, job_id, exchange)

    # -- answers --------------------------------------------------------------------------------

    def answer_after_read(self, kind: RequestKind, job_id: str, exchange: object) -> None:
        """Answer from memory if the state is final, else after a read that begins from now on."""
        final_state = self.final_states.known.get(job_id)
        if not api.JOB_ID_PATTERN.match(job_id):
            self.answers.refuse(exchange, 404, "no such job")
        elif final_state is not None:
            self._report_final(kind, job_id, final_state, exchange)
        else:
            self.owner.coverage.after_read(
                exchange, lambda request: self._answer(kind, job_id, request)
            )

    def _answer(self, kind: RequestKind, job_id: str, request: CoveredRequest) -> None:
        """Answer a request by what the read that covers it has shown."""
        owner = self.owner
        final_state = self.final_states.known.get(job_id)
        if final_state is not None:
            self._report_final(kind, job_id, final_state, request.exchange)
        elif (job := owner.jobs.get(job_id)) is not None:
            if kind is Operation.CANCEL:
                self._cancel(job, request.exchange)
            else:
                self._report_live(kind, job, request)
        elif JOB_PREFIX + job_id in owner.sync.unreadable_job_keys:
            if kind is Operation.CANCEL:
                self.answers.refuse_for_now(
                    request.exchange, "the job's record can't be read here", 5.0
                )
            else:
                self.answers.report_live(request, api.JobStatus(job_id, api.PENDING))
        elif not any(f.answer_unknown_job(kind, job_id, request) for f in owner.features):
            self.read_final_state(kind, job_id, request)

    def read_final_state(
        self, kind: RequestKind, job_id: str, request: CoveredRequest, *, accepted: bool = False
    ) -> None:
        """Answer for a job that is not live: it is over or was never accepted.

        `accepted` means that it is known to have been accepted, so that it is never unknown.
        """

        def on_read(answer: FinalStateAnswer) -> None:
            if answer.final_state is not None:
                self._report_final(kind, job_id, answer.final_state, request.exchange)
            elif not answer.absent:
                self.answers.refuse_for_now(request.exchange, "the state service does not answer")
            elif accepted:
                self.answers.refuse_for_now(request.exchange, "try again")
            elif isinstance(kind, RefusedSubmission):
                self.submissions.refuse_unknown(request, kind)
            elif kind is Operation.SUBMIT:
                self.answers.refuse_for_now(request.exchange, "try again")
            else:
                self.answers.refuse_unknown(request, 404, "no such job")

        self.final_states.read(job_id, on_read)

    def _report_final(
        self, kind: RequestKind, job_id: str, final_state: FinalState, exchange: object
    ) -> None:
        state = final_state.state
        job = api.JobStatus(job_id, state)
        if kind is Operation.STATUS:
            done = final_state.task_count if state == api.DONE else 0
            job = api.JobStatus(job_id, state, done, 0)
        self.answers.report_final(exchange, job)

    def _report_live(self, kind: RequestKind, job: JobRun, request: CoveredRequest) -> None:
        running = job.running_count
        running += self.owner.peers.running_elsewhere(job.id)
        state = api.RUNNING if running else api.PENDING
        status = api.JobStatus(job.id, state)
        if kind is Operation.STATUS:
            done = (job.finished | job.finished_unrecorded).bit_count()
            status = api.JobStatus(job.id, state, done, running)
        self.answers.report_live(request, status)

    # -- cancellations --------------------------------------------------------------------------

    def _cancel(self, job: JobRun, exchange: object) -> None:
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
                self.answers.report_final(exchange, api.JobStatus(job.id, api.CANCELLED))
            elif result.outcome is Outcome.CONFLICT:
                # The job is over.
                self.answer_after_read(Operation.CANCEL, job.id, exchange)
            else:
                self.answers.refuse_state_unavailable(exchange)

        owner.commit([(FINAL_STATE_PREFIX + job.id, 0)], changes, done, urgent=True)

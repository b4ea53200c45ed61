"""Decides on submissions of jobs, and writes the records of those that are accepted."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Protocol

from sagecove.config import Team
from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.interfaces import (
    BaseContext,
    Feature,
    SubmissionGuard,
)
from sagecove.coordination.model import JobRun
from sagecove.coordination.placement import type_allowed
from sagecove.coordination.refusals import Operation, RefusedSubmission, RequestKind
from sagecove.coordination.request_coverage import RequestCoverage
from sagecove.coordination.user_answers import StateConnection, UserAnswers
from sagecove.protocol import state as wire
from sagecove.protocol import users as api
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.decoding import MalformedMessage
from sagecove.protocol.submissions import decode_submission, encoded_bytes, job_to_keep
from sagecove.storage.mirror import Mirror
from sagecove.storage.records import FINAL_STATE_PREFIX, JOB_PREFIX, JobRecord
from sagecove.storage.store import Outcome, Result, Store

log = logging.getLogger("sagecove.users")

# Urgent transactions that may wait before submissions are put off.
MAX_URGENT_COUNT = 100
# Of a reason that is told to a user; it may quote a submission.
REASON_MAX_LENGTH = 300

# A write of the record with a claim, and the condition for the claim.
SubmissionClaim = tuple[wire.Put, tuple[str, int]]


class ConfiguredTeams(Protocol):
    """The teams of the settings."""

    teams: dict[str, Team]


class AvoidedTypes(Protocol):
    """Keeps track of machine types that a service avoids."""

    def update_avoided_types(self, job: JobRun) -> None:
        """Update the machine types that the service avoids."""


class SubmissionContext(BaseContext, Protocol):
    """Interface that submissions require of the owner."""

    mirror: Mirror
    store: Store
    machine_types: dict[str, MachineType]
    features: list[Feature]

    @property
    def sync(self) -> StateConnection:
        """The connection with the state service."""

    @property
    def limits(self) -> ConfiguredTeams:
        """The teams and their limits."""

    @property
    def estimates(self) -> AvoidedTypes:
        """The estimates of services."""

    def count(self, event: str) -> None:
        """Increment the metric of an event."""


class JobRequests(Protocol):
    """Answers the users that submit a job which is known, and claims jobs."""

    def answer_if_known(self, job_id: str, exchange: object) -> bool:
        """Answer if the job is known to this controller; return whether it is."""

    def answer_after_read(self, kind: RequestKind, job_id: str, exchange: object) -> None:
        """Answer with what is known of the job after a read that begins from now on."""

    def claim_at_submission(self, job: JobRun) -> SubmissionClaim | None:
        """Return the record with a claim for this node's shard, and its condition, if it fits."""


class Submissions:
    """Accepts or refuses jobs."""

    def __init__(
        self,
        context: SubmissionContext,
        answers: UserAnswers,
        coverage: RequestCoverage,
        job_requests: JobRequests,
    ) -> None:
        self.context = context
        self.answers = answers
        self.coverage = coverage
        self.job_requests = job_requests
        # By job whose record is being written: the exchanges of submissions that came meanwhile.
        self.open_submissions: dict[str, list[object]] = {}

    def submit(self, body: bytes, exchange: object) -> None:
        """Handle the submission of a job."""
        context, answers = self.context, self.answers
        try:
            job = decode_submission(body)
        except MalformedMessage as error:
            self.refuse(exchange, RefusedSubmission("", 400, str(error), len(body), 0))
            return
        # An id reserved by a feature can't have been accepted: guards are part of the transaction.
        guards = [feature.submission_guard(job.id) for feature in context.features]
        reserved = next((guard for guard in guards if isinstance(guard, str)), None)
        if reserved is not None:
            self.refuse(exchange, RefusedSubmission(job.id, 422, reserved, len(body), 0))
            return
        # Known jobs are answered first: they were accepted, even if they would be refused now.
        if self.job_requests.answer_if_known(job.id, exchange):
            return
        if not context.mirror.loaded or not context.machine_types:
            answers.refuse_for_now(exchange, "the machine types are not known yet")
            return
        if not context.sync.connected():
            answers.refuse_state_unavailable(exchange)
            return
        refusal = self._refusal(job, len(body))
        kept_job = self._job_to_keep(job)
        if refusal is not None or kept_job is None:
            # It must not be refused if it was accepted earlier, under other conditions.
            refusal = refusal or self._too_long(job, len(body))
            self.job_requests.answer_after_read(refusal, job.id, exchange)
            return
        if job.id in self.open_submissions:
            self.open_submissions[job.id].append(exchange)
            log.info("joined an open submission job=%s mirror=%d", job.id, context.mirror.applied)
            return
        if len(context.store.urgent) > MAX_URGENT_COUNT:
            answers.refuse_for_now(exchange, "too many requests at once", 2.0)
            return
        self._write(
            kept_job, exchange, [guard for guard in guards if isinstance(guard, SubmissionGuard)]
        )

    def refuse(self, exchange: object, refusal: RefusedSubmission) -> None:
        """Refuse a submission that can't have been accepted; log and count it."""
        self._note_refusal(refusal)
        self.answers.refuse(exchange, refusal.status, refusal.reason)

    def refuse_unknown(self, request: CoveredRequest, refusal: RefusedSubmission) -> None:
        """Refuse a submission whose job was not accepted before; log and count it."""
        self._note_refusal(refusal)
        if refusal.status == 503:
            self.answers.refuse_for_now(request.exchange, refusal.reason)
        else:
            self.answers.refuse_unknown(request, refusal.status, refusal.reason)

    def _note_refusal(self, refusal: RefusedSubmission) -> None:
        refusal.log()
        self.context.count(f"refused {refusal.status}")

    def _refusal(self, job: api.Job, body_bytes: int) -> RefusedSubmission | None:
        """Return the refusal of a job that can never run."""
        reason = self.impossible_reason(job)
        if reason is None:
            return None
        return RefusedSubmission(
            job.id, 422, reason[:REASON_MAX_LENGTH], body_bytes, encoded_bytes(job)
        )

    def _too_long(self, job: api.Job, body_bytes: int) -> RefusedSubmission:
        """Return the refusal of a job that no value of the state service can hold.

        It is neither malformed nor impossible, so users are told to retry.
        """
        reason = "the job's known fields exceed a value of the state service"
        return RefusedSubmission(job.id, 503, reason, body_bytes, encoded_bytes(job))

    def _job_to_keep(self, job: api.Job) -> api.Job | None:
        """Return what is kept of a job in half a value; the other half is left to its task sets."""
        limit_bytes = self.context.settings.params.state.value_kb * 512
        return job_to_keep(job, self.context.machine_types, limit_bytes)

    def impossible_reason(self, job: api.Job) -> str | None:
        """Return why a job can never run, or None if it can."""
        context = self.context
        team = context.limits.teams.get(job.team)
        if team is None:
            return f"unknown team {job.team}"
        fitting = [
            t
            for t in context.machine_types.values()
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

    def _write(self, job: api.Job, exchange: object, guards: Sequence[SubmissionGuard]) -> None:
        """Write a job's record, with a claim if this controller has room for the job."""
        context = self.context
        record = JobRecord(job, context.wall())
        own_conditions = [(JOB_PREFIX + job.id, 0), (FINAL_STATE_PREFIX + job.id, 0)]
        additional: list[wire.Put | wire.Delete] = []
        for guard in guards:
            own_conditions += guard.conditions
            additional += guard.changes
        conditions = list(own_conditions)
        changes: list[wire.Put | wire.Delete] = [wire.Put(JOB_PREFIX + job.id, record), *additional]
        job_run = JobRun(record, 0)
        job_run.first_seen_at = context.now
        if job_run.service:
            context.estimates.update_avoided_types(job_run)
        claim = self.job_requests.claim_at_submission(job_run)
        if claim is not None:
            changes = [claim[0], *additional]
            conditions.append(claim[1])

        def on_outcome(result: Result, covered: CoveredRequest | None) -> None:
            own_keys = [key for key, _ in own_conditions]
            claim_failed = claim is not None and result.outcome is Outcome.CONFLICT
            if claim_failed and not any(key in own_keys for key in result.failed):
                put = wire.Put(JOB_PREFIX + job.id, record)
                self.coverage.after_own_transaction(
                    exchange,
                    own_conditions,
                    [put, *additional],
                    lambda *outcome: self._written(job, exchange, *outcome),
                )
            else:
                self._written(job, exchange, result, covered)

        self.open_submissions[job.id] = []
        self.coverage.after_own_transaction(exchange, conditions, changes, on_outcome)

    def _written(
        self, job: api.Job, exchange: object, result: Result, covered: CoveredRequest | None
    ) -> None:
        """Answer the user whose submission caused a transaction, and those that came meanwhile.

        The latter may have arrived after the transaction was executed, so its outcome says nothing
        to them: others may have reported the job's end since then.
        """
        joined = self.open_submissions.pop(job.id, [])
        if covered is not None:
            self._report_accepted(job, covered, len(joined))
        elif result.outcome is Outcome.CONFLICT:
            self.job_requests.answer_after_read(Operation.SUBMIT, job.id, exchange)
        else:
            self.answers.refuse_state_unavailable(exchange)
        for joined_exchange in joined:
            if result.outcome in (Outcome.DONE, Outcome.CONFLICT):
                self.job_requests.answer_after_read(Operation.SUBMIT, job.id, joined_exchange)
            else:
                self.answers.refuse_state_unavailable(joined_exchange)

    def _report_accepted(self, job: api.Job, request: CoveredRequest, joined_count: int) -> None:
        """Answer 201, unless this controller has meanwhile seen the end of the job."""
        context = self.context
        live = JOB_PREFIX + job.id in context.mirror.items
        log.info(
            "accepted job=%s team=%s class=%s tasks=%d revision=%d mirror=%d live=%s joined=%d",
            *(job.id, job.team, job.klass, job.tasks, request.revision),
            *(context.mirror.applied, live, joined_count),
        )
        if live:
            self.answers.report_live(request, api.JobStatus(job.id, api.PENDING), 201)
        else:
            self.job_requests.answer_after_read(Operation.SUBMIT, job.id, request.exchange)

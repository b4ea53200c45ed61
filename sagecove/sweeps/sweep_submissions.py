"""Handles submissions and previews of sweeps, and new sweeps of another sweep's points."""

from __future__ import annotations

import logging
from typing import Any

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.effects import IncomingRequest
from sagecove.protocol import state as state_protocol
from sagecove.protocol.users import CANCELLED, PENDING
from sagecove.storage.records import FINAL_STATE_PREFIX
from sagecove.storage.store import Outcome, Result
from sagecove.sweeps import records as sweep_records
from sagecove.sweeps.admission import (
    RequestRefused,
    RetryRequest,
    SweepRequest,
    build_sweep_record,
    check_sweep_id,
    decode_request,
    decode_sweep_request,
    inline_template,
    requested_space,
)
from sagecove.sweeps.interfaces import LiveSweeps
from sagecove.sweeps.lookup import SweepLookup
from sagecove.sweeps.model import Sweep, point_state
from sagecove.sweeps.parameter_space import Space
from sagecove.sweeps.refusals import Refusals
from sagecove.sweeps.sweep_answers import SweepAnswers
from sagecove.sweeps.template_routes import TemplateRoutes

log = logging.getLogger("sagecove.sweeps")

# Urgent transactions that may wait before submissions are put off.
MAX_URGENT_COUNT = 100
PREVIEW_POINT_COUNT = 10


class SweepSubmissions:
    """Accepts or refuses sweeps. A template may have `max_value_bytes` bytes of JSON."""

    def __init__(
        self,
        feature: LiveSweeps,
        sweep_answers: SweepAnswers,
        template_routes: TemplateRoutes,
        lookup: SweepLookup,
        refusals: Refusals,
        max_value_bytes: float,
    ) -> None:
        self.feature = feature
        self.owner = feature.owner
        self.sweep_answers = sweep_answers
        self.template_routes = template_routes
        self.lookup = lookup
        self.refusals = refusals
        self.max_value_bytes = max_value_bytes

    # -- submissions ----------------------------------------------------------------------------

    def submit(self, incoming: IncomingRequest) -> None:
        """Handle the submission of a sweep."""
        exchange = incoming.exchange
        request = decode_sweep_request(incoming.body)
        if not self.owner.sync.connected():
            self.owner.answers.refuse_state_unavailable(exchange)
        elif request.id in self.feature.sweeps:
            self.sweep_answers.report_after_read(request.id, exchange)
        elif len(self.owner.store.urgent) > MAX_URGENT_COUNT:
            self.owner.answers.refuse_for_now(exchange, "too many requests at once", 2.0)
        else:
            space = requested_space(request.space, self.feature.points_most)
            self._with_template(
                request, space, exchange, lambda t: self.start_sweep(request, t, space, exchange)
            )

    def _with_template(
        self, request: SweepRequest, space: Space, exchange: object, on_template: Any
    ) -> None:
        """Pass the template that a request names or contains to `on_template`."""
        if request.template is None:
            on_template(inline_template(request, space))
        else:
            self.template_routes.find_template(
                request.template, request.version, exchange, on_template
            )

    def start_sweep(
        self,
        request: SweepRequest,
        template: sweep_records.Template,
        space: Space,
        exchange: object,
        only: int = 0,
    ) -> None:
        """Write the record of a new sweep; `only` is a set of points, 0 for all of them.

        Raises `RequestRefused` if the sweep is not acceptable.
        """
        nodes = len(self.owner.settings.nodes)
        at = self.owner.wall()
        record = build_sweep_record(request, template, space, at, nodes, self.max_value_bytes, only)
        if (conflicting_job := self._point_among(record.id, self.owner.jobs)) is not None:
            self._refuse_unless_accepted(record.id, conflicting_job, exchange)
            return

        # Jobs that ended before sweeps were enabled wrote no key below TAKEN_SWEEP_ID_PREFIX, so
        # look for their final states too.
        def on_listed(_: CoveredRequest, pairs: list[state_protocol.Pair]) -> None:
            ended_jobs = (pair.key[len(FINAL_STATE_PREFIX) :] for pair in pairs)
            if (ended_job := self._point_among(record.id, ended_jobs)) is not None:
                self._refuse_unless_accepted(record.id, ended_job, exchange)
            else:
                self._write_sweep(record, exchange)

        prefix = f"{FINAL_STATE_PREFIX}{record.id}.p"
        self.owner.coverage.after_listing(exchange, prefix, on_listed)

    @staticmethod
    def _point_among(sweep_id: str, job_ids: Any) -> str | None:
        """Return the first of the job ids that is a point's of the sweep, or None."""
        for job_id in job_ids:
            point = sweep_records.parse_point_id(job_id)
            if point is not None and point[0] == sweep_id:
                return str(job_id)
        return None

    def _refuse_unless_accepted(
        self, sweep_id: str, conflicting_job: str, exchange: object
    ) -> None:
        """Refuse a sweep whose id conflicts with a job's, unless the job is a point of the sweep:
        then the sweep was accepted before.
        """
        refused = self._id_conflict(sweep_id, conflicting_job)

        def on_covered(request: CoveredRequest) -> None:
            if not self.sweep_answers.report_if_live(sweep_id, request):
                self.lookup.find_ended_sweep(
                    sweep_id,
                    request,
                    lambda ended_sweep: self.sweep_answers.report_ended(ended_sweep, request),
                    lambda: self.refusals.refuse_unknown(request, refused),
                )

        self.owner.coverage.after_read(exchange, on_covered)

    @staticmethod
    def _id_conflict(sweep_id: str, job_id: str) -> RequestRefused:
        return RequestRefused(
            422,
            f"job {job_id} has the id of a point of {sweep_id}: choose another id for the sweep",
        )

    def _write_sweep(self, record: sweep_records.SweepRecord, exchange: object) -> None:
        keys = (
            sweep_records.SWEEP_PREFIX + record.id,
            sweep_records.ENDED_SWEEP_PREFIX + record.id,
            sweep_records.TAKEN_SWEEP_ID_PREFIX + record.id,
        )

        def on_outcome(result: Result, request: CoveredRequest | None) -> None:
            if request is not None:
                self._report_accepted(record, request)
            elif result.outcome is not Outcome.CONFLICT:
                self.owner.answers.refuse_state_unavailable(exchange)
            elif keys[2] in result.failed:
                # Written with such a job, only while there is no such sweep, and never deleted.
                self.refusals.refuse(exchange, self._id_conflict(record.id, f"{record.id}.p..."))
            else:
                # The sweep exists already: submitting the same id twice counts as one submission.
                self.sweep_answers.report_after_read(record.id, exchange)

        conditions = [(key, 0) for key in keys]
        put = state_protocol.Put(keys[0], record)
        self.owner.coverage.after_own_transaction(exchange, conditions, [put], on_outcome)

    def _report_accepted(self, record: sweep_records.SweepRecord, request: CoveredRequest) -> None:
        """Answer 201, unless this controller has meanwhile seen the end of the sweep."""
        points = record.space.count()
        log.info("accepted sweep=%s points=%d revision=%d", record.id, points, request.revision)
        if record.id in self.feature.sweeps:
            answer = {"id": record.id, "state": PENDING, "points": points}
            self.owner.answers.report_live(request, answer, 201)
        else:
            self.sweep_answers.report_after_read(record.id, request.exchange)

    # -- previews -------------------------------------------------------------------------------

    def preview(self, incoming: IncomingRequest) -> None:
        """Answer with the points that a submission would expand into; write nothing."""
        request = decode_sweep_request(incoming.body)
        space = requested_space(request.space, self.feature.points_most)

        def on_template(template: sweep_records.Template) -> None:
            nodes = self.owner.settings.nodes
            record = build_sweep_record(
                request, template, space, 0.0, len(nodes), self.max_value_bytes
            )
            sweep = Sweep(record, 0, nodes[0], nodes)
            answer = {"points": sweep.size, "first": self._preview_points(sweep)}
            self.owner.answers.report_immutable(incoming.exchange, answer)

        self._with_template(request, space, incoming.exchange, on_template)

    def _preview_points(self, sweep: Sweep) -> list[dict[str, Any]]:
        points: list[dict[str, Any]] = []
        for point_number in range(min(sweep.size, 20 * PREVIEW_POINT_COUNT)):
            spec = sweep.point_spec(point_number)
            if spec is None:
                continue
            why = (
                spec
                if isinstance(spec, str)
                else self.owner.users.submissions.impossible_reason(spec)
            )
            point = {"point": point_number, "values": sweep.point_values(point_number)}
            points.append({**point, "failed": why} if why else {**point, "job": spec})
            if len(points) == PREVIEW_POINT_COUNT:
                break
        return points

    # -- sweeps of another sweep's points -------------------------------------------------------

    def retry(self, incoming: IncomingRequest, sweep_id: str) -> None:
        """Submit a new sweep of the points that failed, or were cancelled, in another sweep."""
        retry: RetryRequest = decode_request(incoming.body, RetryRequest)
        check_sweep_id(retry.id)

        def on_covered(request: CoveredRequest) -> None:
            sweep = self.feature.sweeps.get(sweep_id)
            if sweep is not None:
                self._collect_retry_points(sweep, None, retry, request)
                return
            self.lookup.find_ended_sweep(
                sweep_id,
                request,
                lambda ended_sweep: self._collect_retry_points(
                    self.lookup.rebuild_sweep(ended_sweep), ended_sweep, retry, request
                ),
            )

        self.owner.coverage.after_read(incoming.exchange, on_covered)

    def _collect_retry_points(
        self,
        sweep: Sweep,
        ended_sweep: sweep_records.EndedSweepRecord | None,
        retry: RetryRequest,
        request: CoveredRequest,
    ) -> None:
        """Read the blocks one by one and start a sweep of the points in the requested states."""
        retry_points = 0

        def read_block(block_number: int) -> None:
            if block_number < sweep.block_count:
                self.lookup.read_block(
                    sweep.id,
                    block_number,
                    request,
                    lambda record: add_retry_points(block_number, record),
                )
            else:
                self._start_retry(sweep, retry, retry_points, request)

        def add_retry_points(block_number: int, record: sweep_records.BlockRecord) -> None:
            nonlocal retry_points
            block_start = block_number * sweep.block_size
            for point_number in range(block_start, min(block_start + sweep.block_size, sweep.size)):
                state, _ = point_state(sweep, point_number, record, ended_sweep)
                requested_state = "cancelled" if state == CANCELLED else state
                if requested_state in retry.states:
                    retry_points |= 1 << point_number
            read_block(block_number + 1)

        read_block(0)

    def _start_retry(
        self, sweep: Sweep, retry: RetryRequest, retry_points: int, request: CoveredRequest
    ) -> None:
        if not retry_points:
            states = " or ".join(retry.states)
            refused = RequestRefused(422, f"no point of sweep {sweep.id} is {states}")
            self.refusals.refuse_unknown(request, refused)
            return
        record = sweep.record
        new_sweep = SweepRequest(retry.id, "again", "again", None, None, None, record.values)
        self.refusals.refuse_on_error(
            request.exchange,
            lambda: self.start_sweep(
                new_sweep, record.template, record.space, request.exchange, retry_points
            ),
        )

"""Answers users' requests about points of sweeps.

Answers about a point rest on the same reads as answers about any job: `done` and `aborted` are
final and may be answered from memory, every other state is read again.
"""

from __future__ import annotations

from typing import Any

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.effects import IncomingRequest
from sagecove.coordination.refusals import Operation, RefusedSubmission, RequestKind
from sagecove.protocol.users import CANCELLED, DONE, PENDING, RUNNING, JobStatus
from sagecove.protocol.views import Explanation
from sagecove.sweeps import records as sweep_records
from sagecove.sweeps.admission import RequestRefused
from sagecove.sweeps.interfaces import LiveSweeps
from sagecove.sweeps.lookup import SweepLookup
from sagecove.sweeps.model import HAS_RECORD, Sweep, point_state
from sagecove.sweeps.refusals import Refusals

MAX_LISTED_POINT_COUNT = 500
# Blocks that one answer covers; the client continues from `next`.
MAX_LISTED_BLOCK_COUNT = 32


class PointRoutes:
    """Handles the requests about points."""

    def __init__(self, feature: LiveSweeps, lookup: SweepLookup, refusals: Refusals) -> None:
        self.feature = feature
        self.owner = feature.owner
        self.answers = feature.owner.answers
        self.lookup = lookup
        self.refusals = refusals

    # -- a single point -------------------------------------------------------------------------

    def answer_request(self, kind: RequestKind, job_id: str, request: CoveredRequest) -> None:
        """Answer a request for a job id that is a point's and is no job on this controller."""
        point = sweep_records.parse_point_id(job_id)
        assert point is not None
        sweep_id, point_number = point
        sweep = self.feature.sweeps.get(sweep_id)
        final_state = self.feature.final_states.get(job_id)
        if final_state is not None and kind in (Operation.STATUS, Operation.CANCEL):
            self._report_final(kind, job_id, final_state, request)
        elif sweep is not None:
            self._answer_for_point(kind, sweep, point_number, None, request)
        else:
            self.lookup.find_ended_sweep(
                sweep_id,
                request,
                lambda ended_sweep: self._answer_for_point(
                    kind,
                    self.lookup.rebuild_sweep(ended_sweep),
                    point_number,
                    ended_sweep,
                    request,
                ),
                lambda: self.owner.users.read_final_state(kind, job_id, request),
            )

    def _report_final(
        self, kind: RequestKind, job_id: str, state: str, request: CoveredRequest
    ) -> None:
        if state == CANCELLED:
            # The mirror's revision covers a cancellation known from the mirror; for one known
            # from a read, that read has raised the floor already.
            self.owner.cancellations.raise_floor(self.owner.mirror.applied)
        job = JobStatus(job_id, state)
        if kind is Operation.STATUS:
            job = JobStatus(job_id, state, 1 if state == DONE else 0, 0)
        self.answers.report_final(request.exchange, job)

    def _answer_for_point(
        self,
        kind: RequestKind,
        sweep: Sweep,
        point_number: int,
        ended_sweep: sweep_records.EndedSweepRecord | None,
        request: CoveredRequest,
    ) -> None:
        if kind is Operation.SUBMIT or isinstance(kind, RefusedSubmission):
            why = f"the id belongs to point {point_number} of sweep {sweep.id}"
            self.refusals.refuse_unknown(request, RequestRefused(422, why))
            return
        if point_number >= sweep.size:
            refused = RequestRefused(404, f"sweep {sweep.id} has {sweep.size} points")
            self.refusals.refuse_unknown(request, refused)
            return
        self.lookup.read_block(
            sweep.id,
            point_number // sweep.block_size,
            request,
            lambda record: self._answer_by_block(
                kind, sweep, point_number, record, ended_sweep, request
            ),
        )

    def _answer_by_block(
        self,
        kind: RequestKind,
        sweep: Sweep,
        point_number: int,
        record: sweep_records.BlockRecord,
        ended_sweep: sweep_records.EndedSweepRecord | None,
        request: CoveredRequest,
    ) -> None:
        job_id = sweep_records.point_id(sweep.id, point_number)
        state, why = point_state(sweep, point_number, record, ended_sweep)
        if state in (DONE, CANCELLED):
            self.feature.remember_final_state(job_id, state)
            self._report_final(kind, job_id, state, request)
        elif state == HAS_RECORD:
            # The job has a record of its own, which holds its final state. It may have been
            # written after the read that covers the request.
            self.owner.users.read_final_state(kind, job_id, request, accepted=True)
        elif state != PENDING:
            # The point was never accepted as a job, so it has no job state.
            refused = RequestRefused(404, f"point {point_number} of sweep {sweep.id}: {why}")
            self.refusals.refuse_unknown(request, refused)
        elif kind is Operation.CANCEL:
            block_number, offset = divmod(point_number, sweep.block_size)
            block = self.feature.get_block(sweep, block_number)
            block.cancel_point(offset, request.exchange)
        else:
            self.answers.report_live(request, JobStatus(job_id, PENDING, 0, 0))

    # -- descriptions and explanations ----------------------------------------------------------

    def describe_job(self, incoming: IncomingRequest, job_id: str) -> None:
        """Answer a worker with a job's description, as a user would have uploaded it.

        Descriptions never change, so known ones are answered from memory.
        """
        if self._describe_if_live(job_id, incoming.exchange):
            return
        point = sweep_records.parse_point_id(job_id)

        def on_covered(request: CoveredRequest) -> None:
            if self._describe_if_live(job_id, request.exchange):
                return
            if point is None:
                refused = RequestRefused(404, "no job under way has this id")
                self.refusals.refuse_unknown(request, refused)
                return
            self.lookup.find_ended_sweep(
                point[0],
                request,
                lambda ended_sweep: self._describe_point(
                    self.lookup.rebuild_sweep(ended_sweep), point[1], request.exchange
                ),
            )

        self.owner.coverage.after_read(incoming.exchange, on_covered)

    def _describe_if_live(self, job_id: str, exchange: object) -> bool:
        """Answer if the job, or the sweep whose point it is, is live; return whether it is."""
        job = self.owner.jobs.get(job_id)
        if job is not None:
            self.answers.report_immutable(exchange, job.spec)
            return True
        point = sweep_records.parse_point_id(job_id)
        sweep = self.feature.sweeps.get(point[0]) if point is not None else None
        if point is None or sweep is None:
            return False
        self._describe_point(sweep, point[1], exchange)
        return True

    def _describe_point(self, sweep: Sweep, point_number: int, exchange: object) -> None:
        spec = sweep.point_spec(point_number) if point_number < sweep.size else None
        if spec is None or isinstance(spec, str):
            why = spec or f"sweep {sweep.id} has no point {point_number}"
            self.refusals.refuse(exchange, RequestRefused(404, why))
        else:
            self.answers.report_immutable(exchange, spec)

    def explain_point(self, incoming: IncomingRequest, job_id: str) -> None:
        """Explain why a point that is no job yet waits."""
        point = sweep_records.parse_point_id(job_id)
        assert point is not None
        sweep = self.feature.sweeps.get(point[0])
        if sweep is None or point[1] >= sweep.size:
            raise RequestRefused(404, "no job under way has this id; ask for its status")
        spec = sweep.point_spec(point[1])
        if spec is None or isinstance(spec, str):
            raise RequestRefused(404, f"point {point[1]} can't run: {spec or 'it is left out'}")
        group = sweep.group_of(spec)
        ahead = group.claimable.bit_count() + (group.waiting & ((1 << point[1]) - 1)).bit_count()
        explanation = Explanation(
            job_id,
            *(spec.team, spec.kind, spec.priority),
            *(1, 0, 0),
            False,
            False,
            {},
            [f"about {ahead} points of its sweep come first"],
            self.owner.settings.node,
        )
        self.answers.report_view(incoming.exchange, explanation)

    # -- lists ----------------------------------------------------------------------------------

    def list_points(
        self, incoming: IncomingRequest, sweep_id: str, query_args: dict[str, str]
    ) -> None:
        """List points with their values and states, starting at a point number."""
        try:
            first, max_count = int(query_args.get("from", "0")), int(query_args.get("most", "100"))
        except ValueError:
            raise RequestRefused(400, "`from` and `most` must be whole numbers") from None
        if first < 0 or not 1 <= max_count <= MAX_LISTED_POINT_COUNT:
            raise RequestRefused(
                400, f"`from` must be at least 0 and `most` from 1 to {MAX_LISTED_POINT_COUNT}"
            )
        wanted = query_args.get("state")

        def on_covered(request: CoveredRequest) -> None:
            sweep = self.feature.sweeps.get(sweep_id)
            if sweep is not None:
                self._list_points(sweep, None, first, max_count, wanted, request)
                return
            self.lookup.find_ended_sweep(
                sweep_id,
                request,
                lambda ended_sweep: self._list_points(
                    self.lookup.rebuild_sweep(ended_sweep),
                    *(ended_sweep, first, max_count, wanted, request),
                ),
            )

        self.owner.coverage.after_read(incoming.exchange, on_covered)

    def _list_points(
        self,
        sweep: Sweep,
        ended_sweep: sweep_records.EndedSweepRecord | None,
        first: int,
        max_count: int,
        wanted: str | None,
        request: CoveredRequest,
    ) -> None:
        points: list[dict[str, Any]] = []
        first_block = first // sweep.block_size

        def reply(next_point: int | None) -> None:
            self.answers.report_live(request, {"points": points, "next": next_point})

        def read_block(block_number: int) -> None:
            end = block_number * sweep.block_size
            if block_number >= sweep.block_count:
                reply(end if end < sweep.size else None)
            elif block_number >= first_block + MAX_LISTED_BLOCK_COUNT:
                reply(end)
            else:
                self.lookup.read_block(
                    sweep.id,
                    block_number,
                    request,
                    lambda record: add_points(block_number, record),
                )

        def add_points(block_number: int, record: sweep_records.BlockRecord) -> None:
            block_start = block_number * sweep.block_size
            for point_number in range(
                max(first, block_start), min(block_start + sweep.block_size, sweep.size)
            ):
                entry = self._list_entry(sweep, point_number, record, ended_sweep)
                if wanted not in (None, entry["state"]):
                    continue
                if len(points) == max_count:
                    reply(point_number)
                    return
                points.append(entry)
            read_block(block_number + 1)

        read_block(first_block)

    def _list_entry(
        self,
        sweep: Sweep,
        point_number: int,
        record: sweep_records.BlockRecord,
        ended_sweep: sweep_records.EndedSweepRecord | None,
    ) -> dict[str, Any]:
        state, why = point_state(sweep, point_number, record, ended_sweep)
        job_id = sweep_records.point_id(sweep.id, point_number)
        job = self.owner.jobs.get(job_id)
        if job is not None and any(p.state == "running" for p in job.placed.values()):
            state = RUNNING
        elif state == HAS_RECORD:
            state = PENDING if job is not None else "ending"
        entry = {
            "point": point_number,
            "job": job_id,
            "state": state,
            "values": sweep.point_values(point_number),
        }
        return {**entry, "why": why} if why else entry

"""Answers users' requests about the state of sweeps, and cancels sweeps."""

from __future__ import annotations

import logging
from typing import Any

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.effects import IncomingRequest
from sagecove.protocol import state as state_protocol
from sagecove.protocol.users import CANCELLED, PENDING, RUNNING
from sagecove.storage.store import Outcome, Result
from sagecove.sweeps import records as sweep_records
from sagecove.sweeps.interfaces import LiveSweeps
from sagecove.sweeps.lookup import SweepLookup
from sagecove.sweeps.model import Sweep

log = logging.getLogger("sagecove.sweeps")

LISTED_FAILURE_COUNT = 20


class SweepAnswers:
    """Handles status requests, lists and cancellations of sweeps."""

    def __init__(self, feature: LiveSweeps, lookup: SweepLookup) -> None:
        self.feature = feature
        self.owner = feature.owner
        self.lookup = lookup

    def list_sweeps(self, incoming: IncomingRequest) -> None:
        """Answer with all live sweeps."""

        def on_covered(request: CoveredRequest) -> None:
            views = [self._sweep_view(sweep) for sweep in self.feature.sweeps.values()]
            self.owner.answers.report_live(request, {"sweeps": views})

        self.owner.coverage.after_read(incoming.exchange, on_covered)

    def status(self, incoming: IncomingRequest, sweep_id: str) -> None:
        """Answer with the state of a sweep."""
        self.report_after_read(sweep_id, incoming.exchange)

    def report_after_read(self, sweep_id: str, exchange: object) -> None:
        """Answer with the state of a sweep after a read that begins from now on."""
        self.owner.coverage.after_read(exchange, lambda request: self.report(sweep_id, request))

    def report(self, sweep_id: str, request: CoveredRequest) -> None:
        """Answer with the state of a sweep, whether it is live or has ended."""
        if not self.report_if_live(sweep_id, request):
            self.lookup.find_ended_sweep(
                sweep_id, request, lambda ended_sweep: self.report_ended(ended_sweep, request)
            )

    def report_if_live(self, sweep_id: str, request: CoveredRequest) -> bool:
        """Answer if a sweep is live; return whether it is."""
        sweep = self.feature.sweeps.get(sweep_id)
        if sweep is None:
            return False
        self.owner.answers.report_live(request, self._sweep_view(sweep))
        return True

    def report_ended(
        self, ended_sweep: sweep_records.EndedSweepRecord, request: CoveredRequest
    ) -> None:
        """Answer with the final state of a sweep."""
        progress, record = ended_sweep.progress, ended_sweep.record
        points = record.space.count()
        other = points - progress.done - progress.failed - progress.left_out
        answer = {
            "id": record.id,
            "state": ended_sweep.state,
            "template": record.template.name,
            "version": record.template.version,
            "points": points,
            "done": progress.done,
            "failed": progress.failed,
            "cancelled": other if ended_sweep.state == CANCELLED else progress.cancelled,
            "left_out": progress.left_out,
            "claimed": 0,
            "waiting": 0,
            "running": 0,
            "looked_through": True,
            "failures": [],
            "reasons": [],
        }
        self.owner.answers.report_immutable(request.exchange, answer)

    def _sweep_view(self, sweep: Sweep) -> dict[str, Any]:
        running = self._running_point_count(sweep)
        failures = sorted(
            (block.first_point + offset, why)
            for block in sweep.blocks.values()
            for offset, why in block.failure_reasons.items()
        )
        return {
            "id": sweep.id,
            "state": RUNNING if running else PENDING,
            "template": sweep.record.template.name,
            "version": sweep.record.template.version,
            **sweep.count_points(),
            "running": running,
            "looked_through": sweep.scanned_count == len(sweep.scan_order),
            "failures": [
                {"point": point_number, "why": why}
                for point_number, why in failures[:LISTED_FAILURE_COUNT]
            ],
            "reasons": group_reasons(failures),
        }

    def _running_point_count(self, sweep: Sweep) -> int:
        """Count running points by this controller's machines and its peers' hints."""
        count = 0
        for job in self.owner.backlog.active.values():
            in_sweep = (
                getattr(job.durable_state, "sweep", None) is sweep or job.record.sweep == sweep.id
            )
            if in_sweep and (job.claims or job.placed):
                running_here = any(p.state == "running" for p in job.placed.values())
                count += running_here or self.owner.peers.running_elsewhere(job.id) > 0
        return count

    # -- cancellations --------------------------------------------------------------------------

    def cancel(self, incoming: IncomingRequest, sweep_id: str) -> None:
        """Cancel all points that haven't ended, by deleting the sweep's record."""

        def on_covered(request: CoveredRequest) -> None:
            sweep = self.feature.sweeps.get(sweep_id)
            if sweep is None:
                self.report(sweep_id, request)
            else:
                self._write_cancel(sweep, incoming)

        self.owner.coverage.after_read(incoming.exchange, on_covered)

    def _write_cancel(self, sweep: Sweep, incoming: IncomingRequest) -> None:
        owner = self.owner
        # Counts are as of now; the result of each point stays in its block's record.
        counts = sweep.count_points()
        progress = sweep_records.ProgressRecord(
            sweep.progress.over,
            counts["done"],
            counts["failed"],
            counts["cancelled"],
            counts["left_out"],
        )
        ended_sweep = sweep_records.EndedSweepRecord(CANCELLED, sweep.record, progress)
        key = sweep_records.SWEEP_PREFIX + sweep.id
        conditions = [
            (key, sweep.stamp),
            (sweep_records.PROGRESS_PREFIX + sweep.id, sweep.progress_stamp),
            (sweep_records.ENDED_SWEEP_PREFIX + sweep.id, 0),
        ]
        changes: list[state_protocol.Put | state_protocol.Delete] = [
            state_protocol.Delete(key),
            state_protocol.Put(sweep_records.ENDED_SWEEP_PREFIX + sweep.id, ended_sweep),
        ]
        if sweep.progress_stamp:
            changes.append(state_protocol.Delete(sweep_records.PROGRESS_PREFIX + sweep.id))
        running = [
            j.id for j in owner.jobs.values() if getattr(j.durable_state, "sweep", None) is sweep
        ]

        def on_outcome(result: Result, request: CoveredRequest | None) -> None:
            if request is not None:
                for job_id in running[:3]:
                    # Announcing a few jobs is enough to make the peers check the whole sweep.
                    owner.peers.announce_cancellation(job_id)
                log.info("cancelled sweep=%s", sweep.id)
                self.report(sweep.id, request)
            elif result.outcome is Outcome.CONFLICT:
                self.cancel(incoming, sweep.id)
            else:
                owner.answers.refuse_state_unavailable(incoming.exchange)

        owner.coverage.after_own_transaction(incoming.exchange, conditions, changes, on_outcome)


def group_reasons(failures: list[tuple[int, str]]) -> list[dict[str, Any]]:
    """Group failures by reason, most frequent first, with the count and the first few points."""
    points_by_reason: dict[str, list[int]] = {}
    for point, why in failures:
        points_by_reason.setdefault(why, []).append(point)
    ranked = sorted(points_by_reason.items(), key=lambda pair: (-len(pair[1]), pair[1][0]))
    return [{"why": why, "points": len(points), "first": points[:5]} for why, points in ranked[:20]]

"""Serves the HTTP requests about sweeps and points, and routes those about templates.

Answers about a point rest on the same reads as answers about any job: `done` and `aborted` are
final and may be answered from memory, every other state is read again.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from sagecove.coordination.effects import IncomingRequest
from sagecove.coordination.refusals import RefusedSubmission, RequestKind
from sagecove.protocol import state as state_protocol
from sagecove.protocol.decoding import MalformedMessage, convert_message
from sagecove.protocol.users import (
    CANCELLED,
    DONE,
    PENDING,
    RUNNING,
    JobStatus,
    Refusal,
)
from sagecove.protocol.views import Explanation
from sagecove.storage.records import FINAL_STATE_PREFIX
from sagecove.storage.store import Outcome, Result, decode_answer
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
from sagecove.sweeps.cache import BoundedCache
from sagecove.sweeps.model import Sweep, decode_block
from sagecove.sweeps.template_routes import TemplateRoutes

if TYPE_CHECKING:
    from sagecove.sweeps.manager import SweepManager

log = logging.getLogger("sagecove.sweeps")

# How many immutable records of each kind are cached after they were read.
CACHED_SWEEP_COUNT, CACHED_BLOCK_COUNT = 20, 100
PREVIEW_POINT_COUNT = 10
MAX_LISTED_POINT_COUNT = 500
# State of a point that has a job record of its own and isn't known to have ended.
HAS_RECORD = "made"


class Routes:
    """Handles the HTTP requests about sweeps and points."""

    def __init__(self, feature: SweepManager) -> None:
        self.feature = feature
        self.owner = feature.owner
        self.users = feature.owner.users
        self.ended_sweeps = BoundedCache(CACHED_SWEEP_COUNT)
        self.ended_blocks = BoundedCache(CACHED_BLOCK_COUNT)
        # In bytes: half the size limit of a value; the other half is left to data stored with it.
        self.max_value_bytes = self.owner.settings.params.state.value_kb * 512
        self.template_routes = TemplateRoutes(self.owner, self._refuse, self.max_value_bytes)

    # -- routing --------------------------------------------------------------------------------

    def handle_request(self, incoming: IncomingRequest) -> bool:
        """Answer a request if its path belongs to sweeps; return whether it does."""
        path, _, query = incoming.path.partition("?")
        parts = path.strip("/").split("/")
        query_args = {key: values[-1] for key, values in parse_qs(query).items()}
        try:
            handler = self._handler(incoming.method, parts, query_args)
            if handler is None:
                return False
            if not self.owner.mirror.loaded or not self.owner.machine_types:
                self.users.refuse_for_now(incoming.exchange, "not ready")
                return True
            handler(incoming)
        except RequestRefused as refused:
            self._refuse(incoming.exchange, refused)
        return True

    def _handler(
        self, method: str, parts: list[str], query_args: dict[str, str]
    ) -> Callable[[IncomingRequest], None] | None:
        # Fixed paths are matched before those that hold a sweep's or job's id or a template's name.
        known: dict[tuple[str, ...], dict[str, Callable[[IncomingRequest], None]]] = {
            ("api", "templates"): {
                "GET": self.template_routes.list_templates,
                "POST": self.template_routes.put_template,
            },
            ("api", "sweeps"): {"GET": self._list_sweeps, "POST": self._submit},
            ("api", "sweeps", "preview"): {"POST": self._preview},
        }
        handlers = known.get(tuple(parts))
        name = parts[2] if len(parts) > 2 else parts[-1]
        if handlers is None:
            named: dict[tuple[str, ...], dict[str, Callable[[IncomingRequest], None]]] = {
                ("api", "templates", "*"): {
                    "GET": lambda incoming: self.template_routes.show_template(
                        incoming, name, query_args
                    )
                },
                ("api", "templates", "*", "jobs"): {
                    "POST": lambda incoming: self.template_routes.submit_from_template(
                        incoming, name
                    )
                },
                ("api", "sweeps", "*"): {
                    "GET": lambda incoming: self._sweep_status(incoming, name)
                },
                ("api", "sweeps", "*", "cancel"): {
                    "POST": lambda incoming: self._cancel_sweep(incoming, name)
                },
                ("api", "sweeps", "*", "retry"): {
                    "POST": lambda incoming: self._retry_sweep(incoming, name)
                },
                ("api", "sweeps", "*", "points"): {
                    "GET": lambda incoming: self._points_page(incoming, name, query_args)
                },
                ("api", "jobs", "*", "description"): {
                    "GET": lambda incoming: self._describe_job(incoming, name)
                },
            }
            handlers = named.get((*parts[:2], "*", *parts[3:]))
        if handlers is None and parts[0] == "explain" and len(parts) == 2:
            handlers = (
                {"GET": lambda incoming: self._explain_point(incoming, name)}
                if sweep_records.parse_point_id(name)
                else None
            )
        if handlers is None:
            return None
        if method not in handlers:
            raise RequestRefused(405, f"{' or '.join(handlers)} only")
        return handlers[method]

    def _refuse(self, exchange: Any, refused: RequestRefused) -> None:
        log.info("refused status=%d why=%s", refused.status, refused.reason)
        self.users.reply(exchange, refused.status, Refusal(refused.reason))

    # -- submission -----------------------------------------------------------------------------

    def _submit(self, incoming: IncomingRequest) -> None:
        request = decode_sweep_request(incoming.body)
        if not self.owner.sync.connected():
            self.users.refuse_state_unavailable(incoming.exchange)
            return
        if len(self.owner.store.urgent) > 100:
            self.users.refuse_for_now(incoming.exchange, "too many requests at once", 2.0)
            return
        space = requested_space(request.space, self.feature.points_most)
        if request.template is None:
            self._start_sweep(request, inline_template(request, space), space, incoming.exchange)
            return
        self.template_routes.find_template(
            request.template,
            request.version,
            incoming.exchange,
            lambda template: self._start_sweep(request, template, space, incoming.exchange),
        )

    def _start_sweep(
        self,
        request: SweepRequest,
        template: sweep_records.Template,
        space: Any,
        exchange: Any,
        only: int = 0,
    ) -> None:
        nodes = len(self.owner.settings.nodes)
        at = self.owner.wall()
        record = build_sweep_record(request, template, space, at, nodes, self.max_value_bytes, only)
        conflicting_job = next(
            (j for j in self.owner.jobs if self._is_point_of(j, record.id)), None
        )
        if conflicting_job is not None and record.id not in self.feature.sweeps:
            raise RequestRefused(422, self._id_conflict(record.id, conflicting_job))
        # Jobs that ended before sweeps were enabled wrote no key below TAKEN_SWEEP_ID_PREFIX, so
        # look for their final states too.
        prefix = f"{FINAL_STATE_PREFIX}{record.id}.p"

        def on_page(status: int | None, body: bytes) -> None:
            page = decode_answer(body, state_protocol.Page) if status == 200 else None
            if page is None:
                self.users.refuse_state_unavailable(exchange)
                return
            names = [pair.key[len(FINAL_STATE_PREFIX) :] for pair in page.items]
            conflict = next((name for name in names if self._is_point_of(name, record.id)), None)
            if conflict is not None:
                self._refuse(exchange, RequestRefused(422, self._id_conflict(record.id, conflict)))
            else:
                self._write_sweep(record, exchange)

        self.owner.store.read_page(self.owner.now, prefix, "", on_page)

    @staticmethod
    def _is_point_of(job_id: str, sweep_id: str) -> bool:
        point = sweep_records.parse_point_id(job_id)
        return point is not None and point[0] == sweep_id

    @staticmethod
    def _id_conflict(sweep_id: str, job_id: str) -> str:
        return f"job {job_id} has the id of a point of {sweep_id}: choose another id for the sweep"

    def _write_sweep(self, record: sweep_records.SweepRecord, exchange: Any) -> None:
        keys = (
            sweep_records.SWEEP_PREFIX + record.id,
            sweep_records.ENDED_SWEEP_PREFIX + record.id,
            sweep_records.TAKEN_SWEEP_ID_PREFIX + record.id,
        )

        def on_commit(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                points = record.space.count()
                log.info("accepted sweep=%s points=%d", record.id, points)
                answer = {"id": record.id, "state": PENDING, "points": points}
                self.users.reply(exchange, 201, answer)
            elif result.outcome is not Outcome.CONFLICT:
                self.users.refuse_state_unavailable(exchange)
            elif keys[2] in result.failed:
                conflict = RequestRefused(422, self._id_conflict(record.id, f"{record.id}.p..."))
                self._refuse(exchange, conflict)
            else:
                # The sweep exists already: submitting the same id twice counts as one submission.
                self._reply_after_read(record.id, exchange)

        conditions = [(key, 0) for key in keys]
        put = state_protocol.Put(keys[0], record)
        self.owner.commit(conditions, [put], on_commit, urgent=True)

    def _preview(self, incoming: IncomingRequest) -> None:
        """Answer with the points that a submission would expand into; write nothing."""
        request = decode_sweep_request(incoming.body)
        space = requested_space(request.space, self.feature.points_most)

        def on_template(template: sweep_records.Template) -> None:
            nodes = self.owner.settings.nodes
            record = build_sweep_record(
                request, template, space, 0.0, len(nodes), self.max_value_bytes
            )
            sweep = Sweep(record, 0, nodes[0], nodes)
            answer = []
            for point_number in range(min(sweep.size, 20 * PREVIEW_POINT_COUNT)):
                spec = sweep.point_spec(point_number)
                if spec is None:
                    continue
                why = (
                    spec
                    if isinstance(spec, str)
                    else self.users.submissions.impossible_reason(spec)
                )
                point = {"point": point_number, "values": sweep.point_values(point_number)}
                answer.append({**point, "failed": why} if why else {**point, "job": spec})
                if len(answer) == PREVIEW_POINT_COUNT:
                    break
            self.users.reply(incoming.exchange, 200, {"points": sweep.size, "first": answer})

        if request.template is None:
            on_template(inline_template(request, space))
        else:
            self.template_routes.find_template(
                request.template, request.version, incoming.exchange, on_template
            )

    # -- sweeps ---------------------------------------------------------------------------------

    def _list_sweeps(self, incoming: IncomingRequest) -> None:
        answer = [self._sweep_view(sweep) for sweep in self.feature.sweeps.values()]
        self.users.reply(incoming.exchange, 200, {"sweeps": answer})

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
                {"point": point_number, "why": why} for point_number, why in failures[:20]
            ],
            "reasons": _group_reasons(failures),
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

    def _sweep_status(self, incoming: IncomingRequest, sweep_id: str) -> None:
        self._reply_after_read(sweep_id, incoming.exchange)

    def _reply_after_read(self, sweep_id: str, exchange: Any) -> None:
        """Answer with the state of a sweep after a read that begins from now on."""

        def after_read(read_succeeded: bool) -> None:
            if read_succeeded:
                self._reply_sweep_state(sweep_id, exchange)
            else:
                self.users.refuse_state_unavailable(exchange)

        self.users.call_after_read(after_read)

    def _reply_sweep_state(self, sweep_id: str, exchange: Any) -> None:
        """Answer with the state of a sweep, whether it is live or has ended."""
        sweep = self.feature.sweeps.get(sweep_id)
        if sweep is not None:
            self.users.reply(exchange, 200, self._sweep_view(sweep))
            return

        def reply_ended(ended_sweep: sweep_records.EndedSweepRecord) -> None:
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
            self.users.reply(exchange, 200, answer)

        self._find_ended_sweep(sweep_id, exchange, reply_ended)

    def _find_ended_sweep(
        self,
        sweep_id: str,
        exchange: Any,
        on_found: Callable[[sweep_records.EndedSweepRecord], None],
        missing: Callable[[], None] | None = None,
    ) -> None:
        """Pass an ended sweep to `on_found`; if there is none, call `missing` or answer 404."""
        cached = self.ended_sweeps.get(sweep_id)
        if cached is not None:
            on_found(cached)
            return

        def on_answer(status: int | None, body: bytes) -> None:
            pair = decode_answer(body, state_protocol.Pair) if status == 200 else None
            if pair is not None:
                try:
                    ended_sweep = convert_message(pair.value, sweep_records.EndedSweepRecord)
                except MalformedMessage:
                    status = None
                else:
                    # Users may learn of a cancellation by this read, so peers have to read
                    # up to its revision to know of it.
                    self.owner.cancellations.raise_floor(pair.version)
                    self.ended_sweeps.put(sweep_id, ended_sweep)
                    on_found(ended_sweep)
                    return
            if status != 404:
                self.users.refuse_state_unavailable(exchange)
            elif missing is not None:
                missing()
            else:
                self._refuse(exchange, RequestRefused(404, f"there is no sweep {sweep_id}"))

        if not sweep_records.SWEEP_ID_PATTERN.match(sweep_id):
            self._refuse(exchange, RequestRefused(404, f"there is no sweep {sweep_id}"))
            return
        self.owner.store.read(
            self.owner.now, sweep_records.ENDED_SWEEP_PREFIX + sweep_id, on_answer
        )

    def _cancel_sweep(self, incoming: IncomingRequest, sweep_id: str) -> None:
        """Cancel all points that haven't ended, by deleting the sweep's record."""

        def after_read(read_succeeded: bool) -> None:
            sweep = self.feature.sweeps.get(sweep_id)
            if not read_succeeded:
                self.users.refuse_state_unavailable(incoming.exchange)
            elif sweep is None:
                self._reply_sweep_state(sweep_id, incoming.exchange)
            else:
                self._write_cancel(sweep, incoming)

        self.users.call_after_read(after_read)

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

        def on_commit(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                for job_id in running[:3]:
                    # Announcing a few jobs is enough to make the peers check the whole sweep.
                    owner.peers.announce_cancellation(job_id)
                log.info("cancelled sweep=%s", sweep.id)
                self._reply_sweep_state(sweep.id, incoming.exchange)
            elif result.outcome is Outcome.CONFLICT:
                self._cancel_sweep(incoming, sweep.id)
            else:
                self.users.refuse_state_unavailable(incoming.exchange)

        owner.commit(conditions, changes, on_commit, urgent=True)

    # -- points ---------------------------------------------------------------------------------

    def _read_block(
        self,
        sweep_id: str,
        block_number: int,
        exchange: Any,
        on_found: Callable[[sweep_records.BlockRecord], None],
    ) -> None:
        """Pass a block's current record, live or ended, to `on_found`; an empty one if none."""
        stored = self.feature.stored_blocks.get(sweep_id, {}).get(block_number)
        if stored is not None:
            on_found(stored[0])
            return
        key = sweep_records.block_key(sweep_records.ENDED_BLOCK_PREFIX, sweep_id, block_number)
        cached = self.ended_blocks.get(key)
        if cached is not None:
            on_found(cached)
            return

        def on_answer(status: int | None, body: bytes) -> None:
            record = None
            if status == 404:
                record = sweep_records.BlockRecord()
            elif status == 200 and (pair := decode_answer(body, state_protocol.Pair)) is not None:
                try:
                    record = convert_message(pair.value, sweep_records.BlockRecord)
                except MalformedMessage:
                    log.info("unreadable block key=%s", key)
                else:
                    self.owner.cancellations.raise_floor(pair.version)
                    self.ended_blocks.put(key, record)
            if record is None:
                self.users.refuse_state_unavailable(exchange)
            else:
                on_found(record)

        self.owner.store.read(self.owner.now, key, on_answer)

    def answer_point_request(self, kind: RequestKind, job_id: str, exchange: Any) -> None:
        """Answer a user's request for a job id that is a point's and is no job on this controller.

        The caller has completed a read of the state service before.
        """
        found = sweep_records.parse_point_id(job_id)
        assert found is not None
        sweep_id, point_number = found
        sweep = self.feature.sweeps.get(sweep_id)
        final = self.feature.final_states.get(job_id)
        if final is not None and kind in ("status", "cancel"):
            self._reply_final_state(kind, job_id, final, exchange)
        elif sweep is not None:
            self._answer_for_point(kind, sweep, point_number, None, exchange)
        else:
            self._find_ended_sweep(
                sweep_id,
                exchange,
                lambda ended_sweep: self._answer_for_point(
                    kind, self._rebuild_sweep(ended_sweep), point_number, ended_sweep, exchange
                ),
                lambda: self.users.read_final_state(kind, job_id, exchange),
            )

    def _reply_final_state(self, kind: RequestKind, job_id: str, state: str, exchange: Any) -> None:
        if state == CANCELLED:
            # The mirror's revision covers a cancellation known from the mirror; for one known
            # from a read, that read has raised the floor already.
            self.owner.cancellations.raise_floor(self.owner.mirror.applied)
        known = JobStatus(job_id, state, 1 if state == DONE else 0, 0)
        self.users.reply(exchange, 200, known if kind == "status" else JobStatus(job_id, state))

    def _rebuild_sweep(self, ended_sweep: sweep_records.EndedSweepRecord) -> Sweep:
        nodes = self.owner.settings.nodes
        return Sweep(ended_sweep.record, 0, nodes[0], nodes)

    def _answer_for_point(
        self,
        kind: RequestKind,
        sweep: Sweep,
        point_number: int,
        ended_sweep: sweep_records.EndedSweepRecord | None,
        exchange: Any,
    ) -> None:
        users = self.users
        if kind == "submit" or isinstance(kind, RefusedSubmission):
            why = f"the id belongs to point {point_number} of sweep {sweep.id}"
            self._refuse(exchange, RequestRefused(422, why))
            return
        if point_number >= sweep.size:
            self._refuse(exchange, RequestRefused(404, f"sweep {sweep.id} has {sweep.size} points"))
            return
        job_id = sweep_records.point_id(sweep.id, point_number)
        block_number, offset = divmod(point_number, sweep.block_size)

        def reply_state(record: sweep_records.BlockRecord) -> None:
            state, why = _point_state(sweep, point_number, offset, record, ended_sweep)
            if state in (DONE, CANCELLED):
                self.feature.remember_final_state(job_id, state)
                self._reply_final_state(kind, job_id, state, exchange)
            elif state == HAS_RECORD:
                # The job has a record of its own, which holds its final state.
                users.read_final_state(kind, job_id, exchange)
            elif state != PENDING:
                # The point was never accepted as a job, so it has no job state.
                self._refuse(
                    exchange,
                    RequestRefused(404, f"point {point_number} of sweep {sweep.id}: {why}"),
                )
            elif kind == "cancel":
                self.feature.get_block(sweep, block_number).cancel_point(offset, exchange)
            else:
                users.reply(exchange, 200, JobStatus(job_id, PENDING, 0, 0))

        self._read_block(sweep.id, block_number, exchange, reply_state)

    def _describe_job(self, incoming: IncomingRequest, job_id: str) -> None:
        """Answer a worker with a job's description, as a user would have uploaded it."""
        job = self.owner.jobs.get(job_id)
        point = sweep_records.parse_point_id(job_id)
        if job is not None:
            self.users.reply(incoming.exchange, 200, job.spec)
            return
        if point is None:
            raise RequestRefused(404, "no job under way has this id")
        sweep = self.feature.sweeps.get(point[0])
        if sweep is not None:
            self._describe_point(sweep, point[1], incoming)
        else:
            self._find_ended_sweep(
                point[0],
                incoming.exchange,
                lambda ended_sweep: self._describe_point(
                    self._rebuild_sweep(ended_sweep), point[1], incoming
                ),
            )

    def _describe_point(self, sweep: Sweep, point_number: int, incoming: IncomingRequest) -> None:
        spec = sweep.point_spec(point_number) if point_number < sweep.size else None
        if spec is None or isinstance(spec, str):
            why = spec or f"sweep {sweep.id} has no point {point_number}"
            self._refuse(incoming.exchange, RequestRefused(404, why))
        else:
            self.users.reply(incoming.exchange, 200, spec)

    def _explain_point(self, incoming: IncomingRequest, job_id: str) -> None:
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
        answer = Explanation(
            job_id,
            *(spec.team, spec.kind, spec.priority),
            *(1, 0, 0),
            False,
            False,
            {},
            [f"about {ahead} points of its sweep come first"],
            self.owner.settings.node,
        )
        self.users.reply(incoming.exchange, 200, answer)

    def _points_page(
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

        def after_read(read_succeeded: bool) -> None:
            if not read_succeeded:
                self.users.refuse_state_unavailable(incoming.exchange)
                return
            sweep = self.feature.sweeps.get(sweep_id)
            if sweep is not None:
                self._list_points(sweep, None, first, max_count, wanted, incoming)
            else:
                self._find_ended_sweep(
                    sweep_id,
                    incoming.exchange,
                    lambda ended_sweep: self._list_points(
                        self._rebuild_sweep(ended_sweep),
                        ended_sweep,
                        first,
                        max_count,
                        wanted,
                        incoming,
                    ),
                )

        self.users.call_after_read(after_read)

    def _list_points(
        self,
        sweep: Sweep,
        ended_sweep: sweep_records.EndedSweepRecord | None,
        first: int,
        max_count: int,
        wanted: str | None,
        incoming: IncomingRequest,
    ) -> None:
        answer: list[dict[str, Any]] = []

        def read_block(block_number: int) -> None:
            # Each answer covers a bounded number of blocks; the client continues from `next`.
            if block_number >= sweep.block_count or block_number >= first // sweep.block_size + 32:
                end = block_number * sweep.block_size
                more = end if end < sweep.size else None
                self.users.reply(incoming.exchange, 200, {"points": answer, "next": more})
                return
            self._read_block(
                sweep.id,
                block_number,
                incoming.exchange,
                lambda record: add_points(block_number, record),
            )

        def add_points(block_number: int, record: sweep_records.BlockRecord) -> None:
            block_start = block_number * sweep.block_size
            for point_number in range(
                max(first, block_start), min(block_start + sweep.block_size, sweep.size)
            ):
                state, why = _point_state(
                    sweep, point_number, point_number - block_start, record, ended_sweep
                )
                job = self.owner.jobs.get(sweep_records.point_id(sweep.id, point_number))
                if job is not None and any(p.state == "running" for p in job.placed.values()):
                    state = RUNNING
                elif state == HAS_RECORD:
                    state = PENDING if job is not None else "ending"
                if wanted not in (None, state):
                    continue
                if len(answer) == max_count:
                    self.users.reply(
                        incoming.exchange, 200, {"points": answer, "next": point_number}
                    )
                    return
                entry = {
                    "point": point_number,
                    "job": sweep_records.point_id(sweep.id, point_number),
                    "state": state,
                }
                answer.append(
                    {
                        **entry,
                        "values": sweep.point_values(point_number),
                        **({"why": why} if why else {}),
                    }
                )
            read_block(block_number + 1)

        read_block(first // sweep.block_size)

    def _retry_sweep(self, incoming: IncomingRequest, sweep_id: str) -> None:
        """Submit a new sweep of the points that failed, or were cancelled, in another sweep."""
        request: RetryRequest = decode_request(incoming.body, RetryRequest)
        check_sweep_id(request.id)

        def after_read(read_succeeded: bool) -> None:
            sweep = self.feature.sweeps.get(sweep_id)
            if not read_succeeded:
                self.users.refuse_state_unavailable(incoming.exchange)
            elif sweep is not None:
                self._collect_retry_points(sweep, None, request, incoming)
            else:
                self._find_ended_sweep(
                    sweep_id,
                    incoming.exchange,
                    lambda ended_sweep: self._collect_retry_points(
                        self._rebuild_sweep(ended_sweep), ended_sweep, request, incoming
                    ),
                )

        self.users.call_after_read(after_read)

    def _collect_retry_points(
        self,
        sweep: Sweep,
        ended_sweep: sweep_records.EndedSweepRecord | None,
        request: RetryRequest,
        incoming: IncomingRequest,
    ) -> None:
        """Read the blocks one by one and start a sweep of the points in the requested states."""
        retry_points = 0

        def read_block(block_number: int) -> None:
            if block_number < sweep.block_count:
                self._read_block(
                    sweep.id,
                    block_number,
                    incoming.exchange,
                    lambda record: add_retry_points(block_number, record),
                )
                return
            if not retry_points:
                states = " or ".join(request.states)
                refused = RequestRefused(422, f"no point of sweep {sweep.id} is {states}")
                self._refuse(incoming.exchange, refused)
                return
            record = sweep.record
            retry_request = SweepRequest(
                request.id, "again", "again", None, None, None, record.values
            )
            self.template_routes.refuse_on_error(
                incoming.exchange,
                lambda: self._start_sweep(
                    retry_request, record.template, record.space, incoming.exchange, retry_points
                ),
            )

        def add_retry_points(block_number: int, record: sweep_records.BlockRecord) -> None:
            nonlocal retry_points
            block_start = block_number * sweep.block_size
            for point_number in range(block_start, min(block_start + sweep.block_size, sweep.size)):
                state, _ = _point_state(
                    sweep, point_number, point_number - block_start, record, ended_sweep
                )
                requested_state = "cancelled" if state == CANCELLED else state
                if requested_state in request.states:
                    retry_points |= 1 << point_number
            read_block(block_number + 1)

        read_block(0)


def _point_state(
    sweep: Sweep,
    point_number: int,
    offset: int,
    record: sweep_records.BlockRecord,
    ended_sweep: sweep_records.EndedSweepRecord | None,
) -> tuple[str, str]:
    """Return a point's state by its block's record, and the reason for it.

    Beside the states of a job there are `left_out` and `failed`.
    """
    sets = decode_block(record, sweep.block_size)
    if sets.done >> offset & 1:
        return DONE, ""
    if sets.cancelled >> offset & 1:
        return CANCELLED, ""
    if offset in sets.failed:
        return "failed", sets.failed[offset]
    if sets.made >> offset & 1:
        return HAS_RECORD, ""
    if sweep.point_values(point_number) is None:
        return "left_out", "the filter leaves it out"
    if ended_sweep is not None and ended_sweep.state == CANCELLED:
        return CANCELLED, ""
    return PENDING, ""


def _group_reasons(failures: list[tuple[int, str]]) -> list[dict[str, Any]]:
    """Group failures by reason, most frequent first, with the count and the first few points."""
    points_by_reason: dict[str, list[int]] = {}
    for point, why in failures:
        points_by_reason.setdefault(why, []).append(point)
    ranked = sorted(points_by_reason.items(), key=lambda pair: (-len(pair[1]), pair[1][0]))
    return [{"why": why, "points": len(points), "first": points[:5]} for why, points in ranked[:20]]

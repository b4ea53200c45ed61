"""Templates and sweeps over HTTP. What a user is told of a point rests on the same reads as what is
told of any job: `done` and `aborted` are final, all else is read anew."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec

from sagecove.coordination.effects import IncomingRequest
from sagecove.protocol import state as wire
from sagecove.protocol.users import (
    CANCELLED,
    DONE,
    JOB_ID_PATTERN,
    PENDING,
    RUNNING,
    JobStatus,
    Refusal,
)
from sagecove.protocol.views import Explanation
from sagecove.storage.records import FINAL_STATE_PREFIX
from sagecove.storage.store import Outcome, Result, decode_answer
from sagecove.sweeps import records as r
from sagecove.sweeps.admission import (
    JobRequest,
    RequestRefused,
    RetryRequest,
    SweepRequest,
    build_sweep_record,
    check_sweep_id,
    check_template,
    decode_request,
    decode_sweep_request,
    inline_template,
    requested_space,
)
from sagecove.sweeps.model import Sweep
from sagecove.sweeps.model import decode_block as decoded_block
from sagecove.sweeps.template import CompiledTemplate, TemplateError

if TYPE_CHECKING:
    from sagecove.sweeps.manager import SweepManager

log = logging.getLogger("sagecove.sweeps")

# Things that never change, kept after they were read.
TEMPLATES_KEPT, SWEEPS_KEPT, BLOCKS_KEPT = 50, 20, 100
PREVIEWED = 10
POINTS_MOST = 500
# A point with a record of its own, not known to be over.
MADE = "made"


class Kept:
    """A bounded memory of what never changes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._items: OrderedDict[str, Any] = OrderedDict()

    def get(self, key: str) -> Any:
        """What is kept, or None."""
        return self._items.get(key)

    def put(self, key: str, value: Any) -> None:
        """Keep it; the oldest goes."""
        self._items[key] = value
        if len(self._items) > self.most:
            self._items.popitem(last=False)


class Routes:
    """Answers to users."""

    def __init__(self, feature: SweepManager) -> None:
        self.feature = feature
        self.owner = feature.owner
        self.users = feature.owner.users
        self.templates = Kept(TEMPLATES_KEPT)
        self.ended = Kept(SWEEPS_KEPT)
        self.ended_blocks = Kept(BLOCKS_KEPT)
        # Half of a value is left to what is written beside it.
        self.limit = self.owner.settings.params.state.value_kb * 512

    # -- which path -----------------------------------------------------------------------------

    def handle_request(self, ask: IncomingRequest) -> bool:
        """Answer a request, if the path is one of ours."""
        path, _, query = ask.path.partition("?")
        parts = path.strip("/").split("/")
        args = {key: values[-1] for key, values in parse_qs(query).items()}
        try:
            handler = self._handler(ask.method, parts, args)
            if handler is None:
                return False
            if not self.owner.mirror.loaded or not self.owner.machine_types:
                self.users.refuse_for_now(ask.exchange, "not ready")
                return True
            handler(ask)
        except RequestRefused as refused:
            self._refuse(ask.exchange, refused)
        return True

    def _handler(
        self, method: str, parts: list[str], args: dict[str, str]
    ) -> Callable[[IncomingRequest], None] | None:
        # What is named comes last: sweeps' and jobs' ids, templates' names.
        known: dict[tuple[str, ...], dict[str, Callable[[IncomingRequest], None]]] = {
            ("api", "templates"): {"GET": self._list_templates, "POST": self._put_template},
            ("api", "sweeps"): {"GET": self._list, "POST": self._submit},
            ("api", "sweeps", "preview"): {"POST": self._preview},
        }
        handlers = known.get(tuple(parts))
        name = parts[2] if len(parts) > 2 else parts[-1]
        if handlers is None:
            named: dict[tuple[str, ...], dict[str, Callable[[IncomingRequest], None]]] = {
                ("api", "templates", "*"): {"GET": lambda a: self._show_template(a, name, args)},
                ("api", "templates", "*", "jobs"): {"POST": lambda a: self._from(a, name)},
                ("api", "sweeps", "*"): {"GET": lambda a: self._status(a, name)},
                ("api", "sweeps", "*", "cancel"): {"POST": lambda a: self._cancel(a, name)},
                ("api", "sweeps", "*", "retry"): {"POST": lambda a: self._retry(a, name)},
                ("api", "sweeps", "*", "points"): {"GET": lambda a: self._points(a, name, args)},
                ("api", "jobs", "*", "description"): {"GET": lambda a: self._describe(a, name)},
            }
            handlers = named.get((*parts[:2], "*", *parts[3:]))
        if handlers is None and parts[0] == "explain" and len(parts) == 2:
            handlers = {"GET": lambda a: self._explain(a, name)} if r.parse_point_id(name) else None
        if handlers is None:
            return None
        if method not in handlers:
            raise RequestRefused(405, f"{' or '.join(handlers)} only")
        return handlers[method]

    def _refuse(self, exchange: Any, refused: RequestRefused) -> None:
        log.info("refused status=%d why=%s", refused.status, refused.reason)
        self.users.reply(exchange, refused.status, Refusal(refused.reason))

    # -- templates ------------------------------------------------------------------------------

    def _template(
        self, name: str, version: int | None, exchange: Any, then: Callable[[r.Template], None]
    ) -> None:
        """Find a template's version, or its newest; answers by itself if it can't."""
        if version is not None:
            kept = self.templates.get(r.template_key(name, version))
            if kept is not None:
                self._guarded(exchange, lambda: then(kept))
                return

        def versions(found: list[r.Template] | None) -> None:
            if found is None:
                self.users.refuse_state_unavailable(exchange)
                return
            wanted = [t for t in found if version in (None, t.version)]
            if not wanted:
                what = f"version {version} of template {name}" if found else f"template {name}"
                self._refuse(exchange, RequestRefused(404, f"there is no {what}"))
                return
            template = wanted[-1]
            self.templates.put(r.template_key(name, template.version), template)
            self._guarded(exchange, lambda: then(template))

        self._versions(f"{r.TEMPLATE_PREFIX}{name}/", versions)

    def _guarded(self, exchange: Any, call: Callable[[], None]) -> None:
        try:
            call()
        except RequestRefused as refused:
            self._refuse(exchange, refused)

    def _versions(self, prefix: str, done: Callable[[list[r.Template] | None], None]) -> None:
        """All templates below a prefix, in order; None if they can't be read."""
        found: list[r.Template] = []

        def paged(status: int | None, body: bytes) -> None:
            page = decode_answer(body, wire.Page) if status == 200 else None
            if page is None:
                done(None)
                return
            for pair in page.items:
                try:
                    found.append(msgspec.convert(pair.value, r.Template))
                except msgspec.ValidationError:
                    log.info("unreadable template key=%s", pair.key)
            if page.more and page.items:
                self.owner.store.read_page(self.owner.now, prefix, page.items[-1].key, paged)
            else:
                done(found)

        self.owner.store.read_page(self.owner.now, prefix, "", paged)

    def _list_templates(self, ask: IncomingRequest) -> None:
        def versions(found: list[r.Template] | None) -> None:
            if found is None:
                self.users.refuse_state_unavailable(ask.exchange)
                return
            newest = {t.name: t for t in found}
            told = [
                {"name": t.name, "version": t.version, "about": t.about} for t in newest.values()
            ]
            self.users.reply(ask.exchange, 200, {"templates": told})

        self._versions(r.TEMPLATE_PREFIX, versions)

    def _show_template(self, ask: IncomingRequest, name: str, args: dict[str, str]) -> None:
        version = args.get("version")
        if version is not None and not version.isdecimal():
            raise RequestRefused(400, "`version` must be a whole number")
        self._template(
            name,
            int(version) if version else None,
            ask.exchange,
            lambda template: self.users.reply(ask.exchange, 200, template),
        )

    def _put_template(self, ask: IncomingRequest) -> None:
        """A new version; the newest one again, if nothing has changed."""
        template: r.Template = decode_request(ask.body, r.Template)
        template.version = 0
        check_template(template, self.limit)

        def versions(found: list[r.Template] | None) -> None:
            if found is None:
                self.users.refuse_state_unavailable(ask.exchange)
                return
            newest = found[-1].version if found else 0
            if found and msgspec.structs.replace(found[-1], version=0) == template:
                told = {"name": template.name, "version": newest}
                self.users.reply(ask.exchange, 200, told)
                return
            numbered = msgspec.structs.replace(template, version=newest + 1)
            key = r.template_key(template.name, newest + 1)

            def done(result: Result) -> None:
                if result.outcome is Outcome.DONE:
                    log.info("template put name=%s version=%d", template.name, newest + 1)
                    told = {"name": template.name, "version": newest + 1}
                    self.users.reply(ask.exchange, 201, told)
                elif result.outcome is Outcome.CONFLICT:
                    self.users.refuse_for_now(ask.exchange, "another version came in between")
                else:
                    self.users.refuse_state_unavailable(ask.exchange)

            self.owner.commit([(key, 0)], [wire.Put(key, numbered)], done, urgent=True)

        self._versions(f"{r.TEMPLATE_PREFIX}{template.name}/", versions)

    def _from(self, ask: IncomingRequest, name: str) -> None:
        """Submit a single job of a template."""
        request: JobRequest = decode_request(ask.body, JobRequest)
        if not JOB_ID_PATTERN.match(request.nameId):
            raise RequestRefused(400, "`nameId` has not the form of a job's id")

        def found(template: r.Template) -> None:
            form = CompiledTemplate(template)
            try:
                form.check_values(request.values)
                job = form.render(request.nameId, request.values)
            except TemplateError as error:
                raise RequestRefused(422, str(error)) from None
            self.users.submit(msgspec.json.encode(job), ask.exchange)

        self._template(name, request.version, ask.exchange, found)

    # -- submitting -----------------------------------------------------------------------------

    def _submit(self, ask: IncomingRequest) -> None:
        request = decode_sweep_request(ask.body)
        if not self.owner.sync.connected():
            self.users.refuse_state_unavailable(ask.exchange)
            return
        if len(self.owner.store.urgent) > 100:
            self.users.refuse_for_now(ask.exchange, "too many requests at once", 2.0)
            return
        space = requested_space(request.space, self.feature.points_most)
        if request.template is None:
            self._begin(request, inline_template(request, space), space, ask.exchange)
            return
        self._template(
            request.template,
            request.version,
            ask.exchange,
            lambda template: self._begin(request, template, space, ask.exchange),
        )

    def _begin(
        self, request: SweepRequest, template: r.Template, space: Any, exchange: Any, only: int = 0
    ) -> None:
        nodes = len(self.owner.settings.nodes)
        at = self.owner.wall()
        record = build_sweep_record(request, template, space, at, nodes, self.limit, only)
        taken = next((j for j in self.owner.jobs if self._is_point(j, record.id)), None)
        if taken is not None and record.id not in self.feature.sweeps:
            raise RequestRefused(422, self._clash(record.id, taken))
        # Jobs that ended before sweeps were turned on left no mark.
        prefix = f"{FINAL_STATE_PREFIX}{record.id}.p"

        def paged(status: int | None, body: bytes) -> None:
            page = decode_answer(body, wire.Page) if status == 200 else None
            if page is None:
                self.users.refuse_state_unavailable(exchange)
                return
            names = [pair.key[len(FINAL_STATE_PREFIX) :] for pair in page.items]
            clash = next((name for name in names if self._is_point(name, record.id)), None)
            if clash is not None:
                self._refuse(exchange, RequestRefused(422, self._clash(record.id, clash)))
            else:
                self._store(record, exchange)

        self.owner.store.read_page(self.owner.now, prefix, "", paged)

    @staticmethod
    def _is_point(job_id: str, sweep_id: str) -> bool:
        point = r.parse_point_id(job_id)
        return point is not None and point[0] == sweep_id

    @staticmethod
    def _clash(sweep_id: str, job_id: str) -> str:
        return f"job {job_id} has the id of a point of {sweep_id}: choose another id for the sweep"

    def _store(self, record: r.SweepRecord, exchange: Any) -> None:
        keys = (
            r.SWEEP_PREFIX + record.id,
            r.ENDED_SWEEP_PREFIX + record.id,
            r.TAKEN_SWEEP_ID_PREFIX + record.id,
        )

        def done(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                points = record.space.count()
                log.info("accepted sweep=%s points=%d", record.id, points)
                told = {"id": record.id, "state": PENDING, "points": points}
                self.users.reply(exchange, 201, told)
            elif result.outcome is not Outcome.CONFLICT:
                self.users.refuse_state_unavailable(exchange)
            elif keys[2] in result.failed:
                clash = RequestRefused(422, self._clash(record.id, f"{record.id}.p..."))
                self._refuse(exchange, clash)
            else:
                # Known already: a submission twice with the same id is one.
                self._tell(record.id, exchange)

        conditions = [(key, 0) for key in keys]
        put = wire.Put(keys[0], record)
        self.owner.commit(conditions, [put], done, urgent=True)

    def _preview(self, ask: IncomingRequest) -> None:
        """What a submission would expand into; nothing is written."""
        request = decode_sweep_request(ask.body)
        space = requested_space(request.space, self.feature.points_most)

        def found(template: r.Template) -> None:
            nodes = self.owner.settings.nodes
            record = build_sweep_record(request, template, space, 0.0, len(nodes), self.limit)
            sweep = Sweep(record, 0, nodes[0], nodes)
            told = []
            for k in range(min(sweep.size, 20 * PREVIEWED)):
                spec = sweep.point_spec(k)
                if spec is None:
                    continue
                why = spec if isinstance(spec, str) else self.users.impossible_reason(spec)
                point = {"point": k, "values": sweep.point_values(k)}
                told.append({**point, "failed": why} if why else {**point, "job": spec})
                if len(told) == PREVIEWED:
                    break
            self.users.reply(ask.exchange, 200, {"points": sweep.size, "first": told})

        if request.template is None:
            found(inline_template(request, space))
        else:
            self._template(request.template, request.version, ask.exchange, found)

    # -- sweeps ---------------------------------------------------------------------------------

    def _list(self, ask: IncomingRequest) -> None:
        told = [self._view(sweep) for sweep in self.feature.sweeps.values()]
        self.users.reply(ask.exchange, 200, {"sweeps": told})

    def _view(self, sweep: Sweep) -> dict[str, Any]:
        running = self._running(sweep)
        failures = sorted(
            (block.first_point + k, why)
            for block in sweep.blocks.values()
            for k, why in block.failure_reasons.items()
        )
        return {
            "id": sweep.id,
            "state": RUNNING if running else PENDING,
            "template": sweep.record.template.name,
            "version": sweep.record.template.version,
            **sweep.count_points(),
            "running": running,
            "looked_through": sweep.scanned_count == len(sweep.scan_order),
            "failures": [{"point": k, "why": why} for k, why in failures[:20]],
            "reasons": _reasons(failures),
        }

    def _running(self, sweep: Sweep) -> int:
        """Points that run, as far as is known here: by this controller's machines and hints."""
        count = 0
        for job in self.owner.backlog.active.values():
            ours = (
                getattr(job.durable_state, "sweep", None) is sweep or job.record.sweep == sweep.id
            )
            if ours and (job.claims or job.placed):
                here = any(p.state == "running" for p in job.placed.values())
                count += here or self.owner.peers.running_elsewhere(job.id) > 0
        return count

    def _status(self, ask: IncomingRequest, sweep_id: str) -> None:
        def read(good: bool) -> None:
            if good:
                self._tell(sweep_id, ask.exchange)
            else:
                self.users.refuse_state_unavailable(ask.exchange)

        self.users.call_after_read(read)

    def _tell(self, sweep_id: str, exchange: Any) -> None:
        """A sweep's state, live or over."""
        sweep = self.feature.sweeps.get(sweep_id)
        if sweep is not None:
            self.users.reply(exchange, 200, self._view(sweep))
            return

        def ended(over: r.EndedSweepRecord) -> None:
            progress, record = over.progress, over.record
            points = record.space.count()
            other = points - progress.done - progress.failed - progress.left_out
            told = {
                "id": record.id,
                "state": over.state,
                "template": record.template.name,
                "version": record.template.version,
                "points": points,
                "done": progress.done,
                "failed": progress.failed,
                "cancelled": other if over.state == CANCELLED else progress.cancelled,
                "left_out": progress.left_out,
                "claimed": 0,
                "waiting": 0,
                "running": 0,
                "looked_through": True,
                "failures": [],
                "reasons": [],
            }
            self.users.reply(exchange, 200, told)

        self._ended(sweep_id, exchange, ended)

    def _ended(
        self,
        sweep_id: str,
        exchange: Any,
        then: Callable[[r.EndedSweepRecord], None],
        missing: Callable[[], None] | None = None,
    ) -> None:
        """Find a sweep that is over; 404, or `missing`, if there is none."""
        kept = self.ended.get(sweep_id)
        if kept is not None:
            then(kept)
            return

        def done(status: int | None, body: bytes) -> None:
            pair = decode_answer(body, wire.Pair) if status == 200 else None
            if pair is not None:
                try:
                    over = msgspec.convert(pair.value, r.EndedSweepRecord)
                except msgspec.ValidationError:
                    status = None
                else:
                    # Whoever reads of a cancellation may tell a user of it.
                    self.owner.cancellations.raise_floor(pair.version)
                    self.ended.put(sweep_id, over)
                    then(over)
                    return
            if status != 404:
                self.users.refuse_state_unavailable(exchange)
            elif missing is not None:
                missing()
            else:
                self._refuse(exchange, RequestRefused(404, f"there is no sweep {sweep_id}"))

        if not r.SWEEP_ID_PATTERN.match(sweep_id):
            self._refuse(exchange, RequestRefused(404, f"there is no sweep {sweep_id}"))
            return
        self.owner.store.read(self.owner.now, r.ENDED_SWEEP_PREFIX + sweep_id, done)

    def _cancel(self, ask: IncomingRequest, sweep_id: str) -> None:
        """Cancel all of a sweep that is not over: its record goes, and with it every point."""

        def read(good: bool) -> None:
            sweep = self.feature.sweeps.get(sweep_id)
            if not good:
                self.users.refuse_state_unavailable(ask.exchange)
            elif sweep is None:
                self._tell(sweep_id, ask.exchange)
            else:
                self._write_cancel(sweep, ask)

        self.users.call_after_read(read)

    def _write_cancel(self, sweep: Sweep, ask: IncomingRequest) -> None:
        owner = self.owner
        # Counts are as of now; what each point came to stays with its block.
        counts = sweep.count_points()
        progress = r.ProgressRecord(
            sweep.progress.over,
            counts["done"],
            counts["failed"],
            counts["cancelled"],
            counts["left_out"],
        )
        over = r.EndedSweepRecord(CANCELLED, sweep.record, progress)
        key = r.SWEEP_PREFIX + sweep.id
        conditions = [
            (key, sweep.stamp),
            (r.PROGRESS_PREFIX + sweep.id, sweep.progress_stamp),
            (r.ENDED_SWEEP_PREFIX + sweep.id, 0),
        ]
        changes: list[wire.Put | wire.Delete] = [
            wire.Delete(key),
            wire.Put(r.ENDED_SWEEP_PREFIX + sweep.id, over),
        ]
        if sweep.progress_stamp:
            changes.append(wire.Delete(r.PROGRESS_PREFIX + sweep.id))
        running = [
            j.id for j in owner.jobs.values() if getattr(j.durable_state, "sweep", None) is sweep
        ]

        def done(result: Result) -> None:
            if result.outcome is Outcome.DONE:
                for job_id in running[:3]:
                    # A few are enough for the peers to look.
                    owner.peers.announce_cancellation(job_id)
                log.info("cancelled sweep=%s", sweep.id)
                self._tell(sweep.id, ask.exchange)
            elif result.outcome is Outcome.CONFLICT:
                self._cancel(ask, sweep.id)
            else:
                self.users.refuse_state_unavailable(ask.exchange)

        owner.commit(conditions, changes, done, urgent=True)

    # -- points ---------------------------------------------------------------------------------

    def _block(
        self,
        sweep_id: str,
        number: int,
        exchange: Any,
        then: Callable[[r.BlockRecord], None],
    ) -> None:
        """A block's record as it stands, wherever it is; an empty one if there is none."""
        stored = self.feature.stored_blocks.get(sweep_id, {}).get(number)
        if stored is not None:
            then(stored[0])
            return
        key = r.block_key(r.ENDED_BLOCK_PREFIX, sweep_id, number)
        kept = self.ended_blocks.get(key)
        if kept is not None:
            then(kept)
            return

        def done(status: int | None, body: bytes) -> None:
            record = None
            if status == 404:
                record = r.BlockRecord()
            elif status == 200 and (pair := decode_answer(body, wire.Pair)) is not None:
                try:
                    record = msgspec.convert(pair.value, r.BlockRecord)
                except msgspec.ValidationError:
                    log.info("unreadable block key=%s", key)
                else:
                    self.owner.cancellations.raise_floor(pair.version)
                    self.ended_blocks.put(key, record)
            if record is None:
                self.users.refuse_state_unavailable(exchange)
            else:
                then(record)

        self.owner.store.read(self.owner.now, key, done)

    def answer_point_request(self, kind: str, job_id: str, exchange: Any) -> None:
        """A user asks for a job of a point's id that is no job here; a read has been done."""
        found = r.parse_point_id(job_id)
        assert found is not None
        sweep_id, k = found
        sweep = self.feature.sweeps.get(sweep_id)
        final = self.feature.final_states.get(job_id)
        if final is not None and kind in ("status", "cancel"):
            self._final(kind, job_id, final, exchange)
        elif sweep is not None:
            self._tell_point(kind, sweep, k, None, exchange)
        else:
            self._ended(
                sweep_id,
                exchange,
                lambda over: self._tell_point(kind, self._as_sweep(over), k, over, exchange),
                lambda: self.users.read_final_state(kind, job_id, exchange),
            )

    def _final(self, kind: str, job_id: str, state: str, exchange: Any) -> None:
        if state == CANCELLED:
            # By what the mirror has, or by what was read and noted then.
            self.owner.cancellations.raise_floor(self.owner.mirror.applied)
        known = JobStatus(job_id, state, 1 if state == DONE else 0, 0)
        self.users.reply(exchange, 200, known if kind == "status" else JobStatus(job_id, state))

    def _as_sweep(self, over: r.EndedSweepRecord) -> Sweep:
        nodes = self.owner.settings.nodes
        return Sweep(over.record, 0, nodes[0], nodes)

    def _tell_point(
        self, kind: str, sweep: Sweep, k: int, over: r.EndedSweepRecord | None, exchange: Any
    ) -> None:
        users = self.users
        if kind == "submit" or kind.startswith("refuse:"):
            why = f"the id belongs to point {k} of sweep {sweep.id}"
            self._refuse(exchange, RequestRefused(422, why))
            return
        if k >= sweep.size:
            self._refuse(exchange, RequestRefused(404, f"sweep {sweep.id} has {sweep.size} points"))
            return
        job_id = r.point_id(sweep.id, k)
        number, offset = divmod(k, sweep.block_size)

        def tell(record: r.BlockRecord) -> None:
            state, why = _state(sweep, k, offset, record, over)
            if state in (DONE, CANCELLED):
                self.feature.remember_final_state(job_id, state)
                self._final(kind, job_id, state, exchange)
            elif state == MADE:
                # It has a record of its own, which says how it ended.
                users.read_final_state(kind, job_id, exchange)
            elif state != PENDING:
                # Never accepted as a job: it has no state.
                self._refuse(exchange, RequestRefused(404, f"point {k} of sweep {sweep.id}: {why}"))
            elif kind == "cancel":
                self.feature.get_block(sweep, number).cancel_point(offset, exchange)
            else:
                users.reply(exchange, 200, JobStatus(job_id, PENDING, 0, 0))

        self._block(sweep.id, number, exchange, tell)

    def _describe(self, ask: IncomingRequest, job_id: str) -> None:
        """A job's description, as its user would have uploaded it: for workers."""
        job = self.owner.jobs.get(job_id)
        point = r.parse_point_id(job_id)
        if job is not None:
            self.users.reply(ask.exchange, 200, job.spec)
            return
        if point is None:
            raise RequestRefused(404, "no job under way has this id")
        sweep = self.feature.sweeps.get(point[0])
        if sweep is not None:
            self._describe_point(sweep, point[1], ask)
        else:
            self._ended(
                point[0],
                ask.exchange,
                lambda over: self._describe_point(self._as_sweep(over), point[1], ask),
            )

    def _describe_point(self, sweep: Sweep, k: int, ask: IncomingRequest) -> None:
        spec = sweep.point_spec(k) if k < sweep.size else None
        if spec is None or isinstance(spec, str):
            why = spec or f"sweep {sweep.id} has no point {k}"
            self._refuse(ask.exchange, RequestRefused(404, why))
        else:
            self.users.reply(ask.exchange, 200, spec)

    def _explain(self, ask: IncomingRequest, job_id: str) -> None:
        """Why a point waits that is no job yet."""
        point = r.parse_point_id(job_id)
        assert point is not None
        sweep = self.feature.sweeps.get(point[0])
        if sweep is None or point[1] >= sweep.size:
            raise RequestRefused(404, "no job under way has this id; ask for its status")
        spec = sweep.point_spec(point[1])
        if spec is None or isinstance(spec, str):
            raise RequestRefused(404, f"point {point[1]} can't run: {spec or 'it is left out'}")
        group = sweep.group_of(spec)
        ahead = group.claimable.bit_count() + (group.waiting & ((1 << point[1]) - 1)).bit_count()
        told = Explanation(
            job_id,
            *(spec.team, spec.kind, spec.priority),
            *(1, 0, 0),
            False,
            False,
            {},
            [f"about {ahead} points of its sweep come first"],
            self.owner.settings.node,
        )
        self.users.reply(ask.exchange, 200, told)

    def _points(self, ask: IncomingRequest, sweep_id: str, args: dict[str, str]) -> None:
        """List points with their values and states, from a number on."""
        try:
            first, most = int(args.get("from", "0")), int(args.get("most", "100"))
        except ValueError:
            raise RequestRefused(400, "`from` and `most` must be whole numbers") from None
        if first < 0 or not 1 <= most <= POINTS_MOST:
            raise RequestRefused(
                400, f"`from` must be at least 0 and `most` from 1 to {POINTS_MOST}"
            )
        wanted = args.get("state")

        def read(good: bool) -> None:
            if not good:
                self.users.refuse_state_unavailable(ask.exchange)
                return
            sweep = self.feature.sweeps.get(sweep_id)
            if sweep is not None:
                self._list_points(sweep, None, first, most, wanted, ask)
            else:
                self._ended(
                    sweep_id,
                    ask.exchange,
                    lambda over: self._list_points(
                        self._as_sweep(over), over, first, most, wanted, ask
                    ),
                )

        self.users.call_after_read(read)

    def _list_points(
        self,
        sweep: Sweep,
        over: r.EndedSweepRecord | None,
        first: int,
        most: int,
        wanted: str | None,
        ask: IncomingRequest,
    ) -> None:
        told: list[dict[str, Any]] = []

        def block(number: int) -> None:
            # A bounded stretch at a time: the asker goes on from `next`.
            if number >= sweep.block_count or number >= first // sweep.block_size + 32:
                end = number * sweep.block_size
                more = end if end < sweep.size else None
                self.users.reply(ask.exchange, 200, {"points": told, "next": more})
                return
            self._block(sweep.id, number, ask.exchange, lambda record: fill(number, record))

        def fill(number: int, record: r.BlockRecord) -> None:
            begin = number * sweep.block_size
            for k in range(max(first, begin), min(begin + sweep.block_size, sweep.size)):
                state, why = _state(sweep, k, k - begin, record, over)
                job = self.owner.jobs.get(r.point_id(sweep.id, k))
                if job is not None and any(p.state == "running" for p in job.placed.values()):
                    state = RUNNING
                elif state == MADE:
                    state = PENDING if job is not None else "ending"
                if wanted not in (None, state):
                    continue
                if len(told) == most:
                    self.users.reply(ask.exchange, 200, {"points": told, "next": k})
                    return
                entry = {"point": k, "job": r.point_id(sweep.id, k), "state": state}
                told.append(
                    {**entry, "values": sweep.point_values(k), **({"why": why} if why else {})}
                )
            block(number + 1)

        block(first // sweep.block_size)

    def _retry(self, ask: IncomingRequest, sweep_id: str) -> None:
        """A new sweep of the points that failed, or were cancelled, in another."""
        request: RetryRequest = decode_request(ask.body, RetryRequest)
        check_sweep_id(request.id)

        def read(good: bool) -> None:
            sweep = self.feature.sweeps.get(sweep_id)
            if not good:
                self.users.refuse_state_unavailable(ask.exchange)
            elif sweep is not None:
                self._collect(sweep, None, request, ask)
            else:
                self._ended(
                    sweep_id,
                    ask.exchange,
                    lambda over: self._collect(self._as_sweep(over), over, request, ask),
                )

        self.users.call_after_read(read)

    def _collect(
        self,
        sweep: Sweep,
        over: r.EndedSweepRecord | None,
        request: RetryRequest,
        ask: IncomingRequest,
    ) -> None:
        """Read the blocks one after the other, and begin a sweep of what is found."""
        found = 0

        def block(number: int) -> None:
            if number < sweep.block_count:
                self._block(sweep.id, number, ask.exchange, lambda record: take(number, record))
                return
            if not found:
                states = " or ".join(request.states)
                refused = RequestRefused(422, f"no point of sweep {sweep.id} is {states}")
                self._refuse(ask.exchange, refused)
                return
            record = sweep.record
            again = SweepRequest(request.id, "again", "again", None, None, None, record.values)
            self._guarded(
                ask.exchange,
                lambda: self._begin(again, record.template, record.space, ask.exchange, found),
            )

        def take(number: int, record: r.BlockRecord) -> None:
            nonlocal found
            begin = number * sweep.block_size
            for k in range(begin, min(begin + sweep.block_size, sweep.size)):
                state, _ = _state(sweep, k, k - begin, record, over)
                told = "cancelled" if state == CANCELLED else state
                if told in request.states:
                    found |= 1 << k
            block(number + 1)

        block(0)


def _state(
    sweep: Sweep, k: int, offset: int, record: r.BlockRecord, over: r.EndedSweepRecord | None
) -> tuple[str, str]:
    """A point's state by its block's record, and why: `left_out` and `failed` beside a job's."""
    sets = decoded_block(record, sweep.block_size)
    if sets.done >> offset & 1:
        return DONE, ""
    if sets.cancelled >> offset & 1:
        return CANCELLED, ""
    if offset in sets.failed:
        return "failed", sets.failed[offset]
    if sets.made >> offset & 1:
        return MADE, ""
    if sweep.point_values(k) is None:
        return "left_out", "the filter leaves it out"
    if over is not None and over.state == CANCELLED:
        return CANCELLED, ""
    return PENDING, ""


def _reasons(failures: list[tuple[int, str]]) -> list[dict[str, Any]]:
    """Why points failed, the reason of most first: how many share it, and the first few of them."""
    alike: dict[str, list[int]] = {}
    for point, why in failures:
        alike.setdefault(why, []).append(point)
    ranked = sorted(alike.items(), key=lambda pair: (-len(pair[1]), pair[1][0]))
    return [{"why": why, "points": len(some), "first": some[:5]} for why, some in ranked[:20]]

"""Serves the HTTP requests about templates and the jobs that are submitted from them."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.effects import IncomingRequest
from sagecove.coordination.refusals import RefusedSubmission
from sagecove.protocol import state as state_protocol
from sagecove.protocol.decoding import MalformedMessage, convert_message
from sagecove.protocol.users import JOB_ID_PATTERN
from sagecove.storage.store import Outcome, Result
from sagecove.sweeps import records as sweep_records
from sagecove.sweeps.admission import JobRequest, RequestRefused, check_template, decode_request
from sagecove.sweeps.cache import BoundedCache
from sagecove.sweeps.refusals import Refusals
from sagecove.sweeps.template import CompiledTemplate, TemplateError

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.sweeps")

CACHED_TEMPLATE_COUNT = 50
VERSION_PATTERN = re.compile(r"[0-9]{1,9}\Z")


class TemplateRoutes:
    """Handles the requests about templates. A template may have `max_value_bytes` bytes of JSON."""

    def __init__(self, owner: Owner, refusals: Refusals, max_value_bytes: float) -> None:
        self.owner = owner
        self.answers = owner.answers
        self.refusals = refusals
        self.max_value_bytes = max_value_bytes
        # Versions of templates never change, so they are cached by key.
        self.templates = BoundedCache(CACHED_TEMPLATE_COUNT)

    def find_template(
        self,
        name: str,
        version: int | None,
        exchange: object,
        on_found: Callable[[sweep_records.Template], None],
    ) -> None:
        """Pass a template's version, by default the newest, to `on_found`.

        Answers the request with an error if there is none or it can't be read.
        """
        if version is not None:
            cached = self.templates.get(sweep_records.template_key(name, version))
            if cached is not None:
                self.refusals.refuse_on_error(exchange, lambda: on_found(cached))
                return

        def on_listed(request: CoveredRequest, found: list[sweep_records.Template]) -> None:
            wanted = [t for t in found if version in (None, t.version)]
            if not wanted:
                what = f"version {version} of template {name}" if found else f"template {name}"
                refused = RequestRefused(404, f"there is no {what}")
                self.refusals.refuse_unknown(request, refused)
                return
            template = wanted[-1]
            self.templates.put(sweep_records.template_key(name, template.version), template)
            self.refusals.refuse_on_error(exchange, lambda: on_found(template))

        self._list(exchange, f"{sweep_records.TEMPLATE_PREFIX}{name}/", on_listed)

    def _list(
        self,
        exchange: object,
        prefix: str,
        on_listed: Callable[[CoveredRequest, list[sweep_records.Template]], None],
    ) -> None:
        """Pass all templates below a prefix, read from now on in key order, to `on_listed`."""

        def on_pairs(request: CoveredRequest, pairs: list[state_protocol.Pair]) -> None:
            found = []
            for pair in pairs:
                try:
                    found.append(convert_message(pair.value, sweep_records.Template))
                except MalformedMessage:
                    log.info("unreadable template key=%s", pair.key)
            on_listed(request, found)

        self.owner.coverage.after_listing(exchange, prefix, on_pairs)

    def list_templates(self, incoming: IncomingRequest) -> None:
        """Answer with the newest version of each template."""

        def on_listed(request: CoveredRequest, found: list[sweep_records.Template]) -> None:
            newest = {t.name: t for t in found}
            views = [
                {"name": t.name, "version": t.version, "about": t.about} for t in newest.values()
            ]
            self.answers.report_live(request, {"templates": views})

        self._list(incoming.exchange, sweep_records.TEMPLATE_PREFIX, on_listed)

    def show_template(
        self, incoming: IncomingRequest, name: str, query_args: dict[str, str]
    ) -> None:
        """Answer with a template; a version, once written, never changes."""
        version = query_args.get("version")
        if version is not None and not VERSION_PATTERN.match(version):
            raise RequestRefused(400, "`version` must be a whole number of at most 9 digits")
        self.find_template(
            name,
            int(version) if version else None,
            incoming.exchange,
            lambda template: self.answers.report_immutable(incoming.exchange, template),
        )

    def put_template(self, incoming: IncomingRequest) -> None:
        """Store a new version of a template; answer with the newest one if nothing has changed."""
        template: sweep_records.Template = decode_request(incoming.body, sweep_records.Template)
        template.version = 0
        check_template(template, self.max_value_bytes)

        def on_listed(request: CoveredRequest, found: list[sweep_records.Template]) -> None:
            newest = found[-1].version if found else 0
            if found and msgspec.structs.replace(found[-1], version=0) == template:
                self.answers.report_live(request, {"name": template.name, "version": newest})
            else:
                numbered = msgspec.structs.replace(template, version=newest + 1)
                self._write_template(numbered, incoming.exchange)

        self._list(incoming.exchange, f"{sweep_records.TEMPLATE_PREFIX}{template.name}/", on_listed)

    def _write_template(self, template: sweep_records.Template, exchange: object) -> None:
        def on_outcome(result: Result, request: CoveredRequest | None) -> None:
            if request is not None:
                log.info("template put name=%s version=%d", template.name, template.version)
                answer = {"name": template.name, "version": template.version}
                self.answers.report_live(request, answer, 201)
            elif result.outcome is Outcome.CONFLICT:
                self.answers.refuse_for_now(exchange, "another version was stored meanwhile")
            else:
                self.answers.refuse_state_unavailable(exchange)

        key = sweep_records.template_key(template.name, template.version)
        put = state_protocol.Put(key, template)
        self.owner.coverage.after_own_transaction(exchange, [(key, 0)], [put], on_outcome)

    def submit_from_template(self, incoming: IncomingRequest, name: str) -> None:
        """Submit a single job rendered from a template."""
        request: JobRequest = decode_request(incoming.body, JobRequest)
        if not JOB_ID_PATTERN.match(request.nameId):
            raise RequestRefused(400, "`nameId` is not a valid job id")

        def on_template(template: sweep_records.Template) -> None:
            try:
                body = self._render(template, request)
            except RequestRefused as refused:
                # An earlier version of the template may have been accepted for this job.
                refusal = RefusedSubmission(
                    request.nameId, refused.status, refused.reason, len(incoming.body), 0
                )
                self.owner.users.answer_after_read(refusal, request.nameId, incoming.exchange)
            else:
                self.owner.users.submit(body, incoming.exchange)

        self.find_template(name, request.version, incoming.exchange, on_template)

    def _render(self, template: sweep_records.Template, request: JobRequest) -> bytes:
        """Return the submission of a job; raises `RequestRefused` if it is not acceptable."""
        compiled = CompiledTemplate(template)
        try:
            compiled.check_values(request.values)
            job = compiled.render(request.nameId, request.values)
        except TemplateError as error:
            raise RequestRefused(422, str(error)) from None
        body = msgspec.json.encode(job)
        if len(body) > self.max_value_bytes:
            # Workers get the description from the record, so it can't be shortened.
            limit = f"{self.max_value_bytes:.0f} bytes"
            raise RequestRefused(413, f"the job's description is longer than {limit}")
        return body

"""Serves the HTTP requests about templates and the jobs that are submitted from them."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from sagecove.coordination.effects import IncomingRequest
from sagecove.protocol import state as state_protocol
from sagecove.protocol.decoding import MalformedMessage, convert_message
from sagecove.protocol.users import JOB_ID_PATTERN
from sagecove.storage.store import Outcome, Result, decode_answer
from sagecove.sweeps import records as sweep_records
from sagecove.sweeps.admission import JobRequest, RequestRefused, check_template, decode_request
from sagecove.sweeps.cache import BoundedCache
from sagecove.sweeps.template import CompiledTemplate, TemplateError

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.sweeps")

CACHED_TEMPLATE_COUNT = 50
VERSION_PATTERN = re.compile(r"[0-9]{1,9}\Z")


class TemplateRoutes:
    """Handles the requests about templates.

    `refuse(exchange, refused)` answers a request that is refused. A template may have
    `max_value_bytes` bytes of JSON.
    """

    def __init__(
        self,
        owner: Owner,
        refuse: Callable[[Any, RequestRefused], None],
        max_value_bytes: float,
    ) -> None:
        self.owner = owner
        self.users = owner.users
        self._refuse = refuse
        self.max_value_bytes = max_value_bytes
        self.templates = BoundedCache(CACHED_TEMPLATE_COUNT)

    def find_template(
        self,
        name: str,
        version: int | None,
        exchange: Any,
        on_found: Callable[[sweep_records.Template], None],
    ) -> None:
        """Pass a template's version, by default the newest, to `on_found`.

        Answers the request with an error if there is none or it can't be read.
        """
        if version is not None:
            cached = self.templates.get(sweep_records.template_key(name, version))
            if cached is not None:
                self.refuse_on_error(exchange, lambda: on_found(cached))
                return

        def on_templates(found: list[sweep_records.Template] | None) -> None:
            if found is None:
                self.users.refuse_state_unavailable(exchange)
                return
            wanted = [t for t in found if version in (None, t.version)]
            if not wanted:
                what = f"version {version} of template {name}" if found else f"template {name}"
                self._refuse(exchange, RequestRefused(404, f"there is no {what}"))
                return
            template = wanted[-1]
            self.templates.put(sweep_records.template_key(name, template.version), template)
            self.refuse_on_error(exchange, lambda: on_found(template))

        self._read_templates(f"{sweep_records.TEMPLATE_PREFIX}{name}/", on_templates)

    def refuse_on_error(self, exchange: Any, call: Callable[[], None]) -> None:
        """Run a call; if it raises `RequestRefused`, answer the request so."""
        try:
            call()
        except RequestRefused as refused:
            self._refuse(exchange, refused)

    def _read_templates(
        self, prefix: str, on_read: Callable[[list[sweep_records.Template] | None], None]
    ) -> None:
        """Pass all templates below a prefix, in key order, to `on_read`; None if the read fails."""
        found: list[sweep_records.Template] = []

        def on_page(status: int | None, body: bytes) -> None:
            page = decode_answer(body, state_protocol.Page) if status == 200 else None
            if page is None:
                on_read(None)
                return
            for pair in page.items:
                try:
                    found.append(convert_message(pair.value, sweep_records.Template))
                except MalformedMessage:
                    log.info("unreadable template key=%s", pair.key)
            if page.more and page.items:
                self.owner.store.read_page(self.owner.now, prefix, page.items[-1].key, on_page)
            else:
                on_read(found)

        self.owner.store.read_page(self.owner.now, prefix, "", on_page)

    def list_templates(self, incoming: IncomingRequest) -> None:
        def on_templates(found: list[sweep_records.Template] | None) -> None:
            if found is None:
                self.users.refuse_state_unavailable(incoming.exchange)
                return
            newest = {t.name: t for t in found}
            answer = [
                {"name": t.name, "version": t.version, "about": t.about} for t in newest.values()
            ]
            self.users.reply(incoming.exchange, 200, {"templates": answer})

        self._read_templates(sweep_records.TEMPLATE_PREFIX, on_templates)

    def show_template(
        self, incoming: IncomingRequest, name: str, query_args: dict[str, str]
    ) -> None:
        version = query_args.get("version")
        if version is not None and not VERSION_PATTERN.match(version):
            raise RequestRefused(400, "`version` must be a whole number of at most 9 digits")
        self.find_template(
            name,
            int(version) if version else None,
            incoming.exchange,
            lambda template: self.users.reply(incoming.exchange, 200, template),
        )

    def put_template(self, incoming: IncomingRequest) -> None:
        """Store a new version of a template; answer with the newest one if nothing has changed."""
        template: sweep_records.Template = decode_request(incoming.body, sweep_records.Template)
        template.version = 0
        check_template(template, self.max_value_bytes)

        def on_templates(found: list[sweep_records.Template] | None) -> None:
            if found is None:
                self.users.refuse_state_unavailable(incoming.exchange)
                return
            newest = found[-1].version if found else 0
            if found and msgspec.structs.replace(found[-1], version=0) == template:
                answer = {"name": template.name, "version": newest}
                self.users.reply(incoming.exchange, 200, answer)
                return
            numbered = msgspec.structs.replace(template, version=newest + 1)
            key = sweep_records.template_key(template.name, newest + 1)

            def on_commit(result: Result) -> None:
                if result.outcome is Outcome.DONE:
                    log.info("template put name=%s version=%d", template.name, newest + 1)
                    answer = {"name": template.name, "version": newest + 1}
                    self.users.reply(incoming.exchange, 201, answer)
                elif result.outcome is Outcome.CONFLICT:
                    self.users.refuse_for_now(
                        incoming.exchange, "another version was stored meanwhile"
                    )
                else:
                    self.users.refuse_state_unavailable(incoming.exchange)

            self.owner.commit(
                [(key, 0)], [state_protocol.Put(key, numbered)], on_commit, urgent=True
            )

        self._read_templates(f"{sweep_records.TEMPLATE_PREFIX}{template.name}/", on_templates)

    def submit_from_template(self, incoming: IncomingRequest, name: str) -> None:
        """Submit a single job rendered from a template."""
        request: JobRequest = decode_request(incoming.body, JobRequest)
        if not JOB_ID_PATTERN.match(request.nameId):
            raise RequestRefused(400, "`nameId` is not a valid job id")

        def on_template(template: sweep_records.Template) -> None:
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
            self.users.submit(body, incoming.exchange)

        self.find_template(name, request.version, incoming.exchange, on_template)

"""Validates templates and sweeps before anything is written.

A submission is accepted as a whole, in one write, or refused with the place of the error and what
is allowed there.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from sagecove.protocol.decoding import MalformedMessage, decode_message
from sagecove.storage import taskset
from sagecove.sweeps.grammar import GrammarError, parse_space
from sagecove.sweeps.parameter_space import (
    Axis,
    Node,
    Space,
    SpaceError,
    Value,
    ValueList,
    check_space,
)
from sagecove.sweeps.records import SWEEP_ID_PATTERN, Parameter, SweepRecord, Template
from sagecove.sweeps.template import CompiledTemplate, TemplateError

# Points in a block: larger blocks need fewer writes, smaller blocks cause fewer conflicts between
# controllers. Even of a small sweep each controller gets several blocks of its own.
MAX_BLOCK_POINT_COUNT, MIN_BLOCK_POINT_COUNT = 64, 8
BLOCKS_PER_CONTROLLER_COUNT = 8


class RequestRefused(Exception):
    """A user's request is refused; carries the HTTP status and the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class SweepRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A submitted sweep: names a template (by default its newest version) or contains a job."""

    id: str
    space: Annotated[str, msgspec.Meta(min_length=1)]
    template: str | None = None
    version: int | None = None
    job: dict[str, Any] | None = None
    parameters: list[Parameter] | None = None
    values: dict[str, Value] = {}


class RetryRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A request for a new sweep of another sweep's points that ended in the given states."""

    id: str
    states: list[Annotated[str, msgspec.Meta(pattern=r"^(failed|cancelled)\Z")]] = msgspec.field(
        default_factory=lambda: ["failed"]
    )


class JobRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A request for a single job of a template."""

    nameId: str
    version: int | None = None
    values: dict[str, Value] = {}


def decode_request(body: bytes, kind: Any) -> Any:
    """Decodes a request's body; raises `RequestRefused` with 400 if it is invalid."""
    try:
        return decode_message(body, kind)
    except MalformedMessage as error:
        raise RequestRefused(400, str(error)) from None


def decode_sweep_request(body: bytes) -> SweepRequest:
    """Decodes the submission of a sweep; raises `RequestRefused` with 400 if it is malformed."""
    request: SweepRequest = decode_request(body, SweepRequest)
    check_sweep_id(request.id)
    if (request.template is None) == (request.job is None):
        raise RequestRefused(400, "either `template` or `job` must be given, and not both")
    if request.template is not None and request.parameters is not None:
        raise RequestRefused(400, "`parameters` are the template's to say")
    if request.template is None and request.version is not None:
        raise RequestRefused(400, "`version` goes with `template`")
    return request


def check_sweep_id(sweep_id: str) -> None:
    """Raises `RequestRefused` with 400 unless the id is a valid job id that leaves room for the
    number of a point."""
    if not SWEEP_ID_PATTERN.match(sweep_id):
        raise RequestRefused(
            400, "`id` must be `run-` and 1 to 90 letters, digits, `_`, `.` or `-`"
        )


def requested_space(text: str, most: int) -> Space:
    """Parses the expression of a space; raises `RequestRefused` with the place of an error."""
    try:
        space = parse_space(text)
    except GrammarError as error:
        raise RequestRefused(400, f"`space`, {error}") from None
    try:
        check_space(space, most)
    except SpaceError as error:
        raise RequestRefused(422, f"`space`: {error}") from None
    return space


def check_template(template: Template, limit: float) -> None:
    """Raises `RequestRefused` if a template is invalid (422) or longer than `limit` bytes (413)."""
    if len(msgspec.json.encode(template)) > limit:
        raise RequestRefused(413, f"the template is longer than {limit:.0f} bytes")
    try:
        CompiledTemplate(template).check_template()
    except TemplateError as error:
        raise RequestRefused(422, str(error)) from None


def inline_template(request: SweepRequest, space: Space) -> Template:
    """Builds the template for a job given in the submission itself; the kinds of parameters that
    it does not describe are derived from their values."""
    assert request.job is not None
    described = request.parameters or []
    known = {p.name for p in described}
    found = [Parameter(axis.name, _kind_of_axis(axis)) for axis in _axes(space.node)]
    found += [Parameter(name, _kind_of_values([value])) for name, value in request.values.items()]
    return Template("inline", [*described, *(p for p in found if p.name not in known)], request.job)


def _axes(node: Node) -> list[Axis]:
    return [node] if isinstance(node, Axis) else [a for part in node.parts for a in _axes(part)]


def _kind_of_axis(axis: Axis) -> str:
    source = axis.source
    if isinstance(source, ValueList):
        return _kind_of_values(source.values)
    return _kind_of_values(
        [source.value_at(k) for k in {0, source.count() // 2, source.count() - 1}]
    )


def _kind_of_values(values: list[Value]) -> str:
    if all(isinstance(v, bool) for v in values):
        return "flag"
    if all(isinstance(v, int) and not isinstance(v, bool) for v in values):
        return "whole"
    if all(isinstance(v, int | float) and not isinstance(v, bool) for v in values):
        return "number"
    return "text"


def build_sweep_record(
    request: SweepRequest,
    template: Template,
    space: Space,
    at: float,
    nodes: int,
    limit: float,
    only: int = 0,
) -> SweepRecord:
    """Checks a submission against its template and builds the sweep's record, of at most `limit`
    bytes; raises `RequestRefused` if the sweep is not acceptable."""
    form = CompiledTemplate(template)
    if request.job is not None:
        check_template(template, limit)
    names = space.names()
    for name in names:
        if name not in form.parameters:
            known = ", ".join(form.parameters) or "none"
            raise RequestRefused(422, f"{form.title} has no parameter {name}; it has: {known}")
        if name in request.values:
            raise RequestRefused(422, f"parameter {name} is both in `space` and in `values`")
    try:
        form.check_values(request.values)
    except TemplateError as error:
        raise RequestRefused(422, str(error)) from None
    for name in sorted(form.referenced_names()):
        if name in form.parameters and name not in {*names, *request.values, *form.defaults}:
            raise RequestRefused(
                422, f"{form.title}, parameter {name}: not given, and it has no default"
            )
    block = max(
        MIN_BLOCK_POINT_COUNT,
        min(MAX_BLOCK_POINT_COUNT, space.count() // (BLOCKS_PER_CONTROLLER_COUNT * nodes)),
    )
    record = SweepRecord(
        request.id, at, template, space, request.values, block, taskset.encode(only)
    )
    if len(msgspec.json.encode(record)) > limit:
        raise RequestRefused(413, f"the sweep's description is longer than {limit:.0f} bytes")
    return record

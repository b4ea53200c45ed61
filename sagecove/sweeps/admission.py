"""What may become a template or a sweep: everything that can be told before anything is written.

Nothing is accepted by halves: a submission is one write, or it is refused with the place and what
was allowed.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

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

# Points in a block: the more, the fewer writes; the fewer, the less controllers get in each
# other's way. Each controller is to have several blocks of its own even of a small sweep.
BLOCK_MOST, BLOCK_LEAST = 64, 8
BLOCKS_EACH = 8


class RequestRefused(Exception):
    """A request that can't be granted: HTTP status and the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class SweepRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A sweep as submitted: a template by name (and version, else the newest) or a job inline."""

    id: str
    space: Annotated[str, msgspec.Meta(min_length=1)]
    template: str | None = None
    version: int | None = None
    job: dict[str, Any] | None = None
    parameters: list[Parameter] | None = None
    values: dict[str, Value] = {}


class RetryRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A new sweep of the points of another that ended so."""

    id: str
    states: list[Annotated[str, msgspec.Meta(pattern=r"^(failed|cancelled)\Z")]] = msgspec.field(
        default_factory=lambda: ["failed"]
    )


class JobRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A single job of a template."""

    nameId: str
    version: int | None = None
    values: dict[str, Value] = {}


def decode_request(body: bytes, kind: Any) -> Any:
    """A request's body, or `Refused` with 400."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RequestRefused(400, str(error)[:300]) from None


def decode_sweep_request(body: bytes) -> SweepRequest:
    """A submission that is in form: `Refused` with 400 otherwise."""
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
    """A sweep's id has a job's form, with room for a point's number."""
    if not SWEEP_ID_PATTERN.match(sweep_id):
        raise RequestRefused(
            400, "`id` must be `run-` and 1 to 90 letters, digits, `_`, `.` or `-`"
        )


def requested_space(text: str, most: int) -> Space:
    """The space an expression stands for; `Refused` names the place."""
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
    """Whether a template may be kept: `Refused` with 422, or 413 if it is over `limit` bytes."""
    if len(msgspec.json.encode(template)) > limit:
        raise RequestRefused(413, f"the template is longer than {limit:.0f} bytes")
    try:
        CompiledTemplate(template).check_template()
    except TemplateError as error:
        raise RequestRefused(422, str(error)) from None


def inline_template(request: SweepRequest, space: Space) -> Template:
    """The template that a job written into the submission stands for; parameters that are not
    described are taken from the space's values."""
    assert request.job is not None
    given = request.parameters or []
    known = {p.name for p in given}
    found = [Parameter(axis.name, _kind(axis)) for axis in _axes(space.node)]
    found += [Parameter(name, _kind_of([value])) for name, value in request.values.items()]
    return Template("inline", [*given, *(p for p in found if p.name not in known)], request.job)


def _axes(node: Node) -> list[Axis]:
    return [node] if isinstance(node, Axis) else [a for part in node.parts for a in _axes(part)]


def _kind(axis: Axis) -> str:
    source = axis.source
    if isinstance(source, ValueList):
        return _kind_of(source.values)
    return _kind_of([source.value_at(k) for k in {0, source.count() // 2, source.count() - 1}])


def _kind_of(values: list[Value]) -> str:
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
    """The record of a sweep that may begin; `Refused` otherwise. `limit`: bytes it may have."""
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
    block = max(BLOCK_LEAST, min(BLOCK_MOST, space.count() // (BLOCKS_EACH * nodes)))
    record = SweepRecord(
        request.id, at, template, space, request.values, block, taskset.encode(only)
    )
    if len(msgspec.json.encode(record)) > limit:
        raise RequestRefused(413, f"the sweep's description is longer than {limit:.0f} bytes")
    return record

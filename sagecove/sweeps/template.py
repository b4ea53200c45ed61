"""A template's job description, filled with values.

Each difference between two jobs of one template is a listed value: nothing else can vary.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec

from sagecove.protocol.users import Job
from sagecove.sweeps.parameter_space import INDEX_PARAMETER, REPETITION_PARAMETER, Value
from sagecove.sweeps.records import Parameter, Template

REFERENCE = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)\}")

KINDS = {
    "whole": "a whole number",
    "number": "a number",
    "text": "a text",
    "flag": "true or false",
}
# Wire names of a job's fields: what a template's `job` may hold.
FIELDS = {field.encode_name for field in msgspec.structs.fields(Job)}
ID = "nameId"


class TemplateError(ValueError):
    """A template, or a value for it, that makes no sense."""


def _is(kind: str, value: Any) -> bool:
    if kind == "flag":
        return isinstance(value, bool)
    if isinstance(value, bool):
        return False
    if kind == "text":
        return isinstance(value, str)
    return isinstance(value, int) or (kind == "number" and isinstance(value, float))


def allowed_text(parameter: Parameter) -> str:
    """What a parameter may be, in words."""
    unit = f" {parameter.unit}" if parameter.unit else ""
    if parameter.allowed is not None:
        return "one of " + ", ".join(msgspec.json.encode(v).decode() for v in parameter.allowed)
    out = KINDS[parameter.kind]
    if parameter.least is not None:
        out += f" from {parameter.least}{unit}"
    if parameter.most is not None:
        out += f" up to {parameter.most}{unit}"
    return out


def fits(parameter: Parameter, value: Any) -> bool:
    """Whether a parameter may have a value."""
    if not _is(parameter.kind, value):
        return False
    if parameter.allowed is not None and not any(
        value == v and isinstance(value, bool) == isinstance(v, bool) for v in parameter.allowed
    ):
        return False
    if isinstance(value, str):
        return len(value) <= 500
    return not (
        (parameter.least is not None and value < parameter.least)
        or (parameter.most is not None and value > parameter.most)
    )


def _references(value: Any) -> Iterator[str]:
    if isinstance(value, str):
        yield from REFERENCE.findall(value)
    elif isinstance(value, list):
        for part in value:
            yield from _references(part)


class CompiledTemplate:
    """A template made ready for filling many times."""

    def __init__(self, template: Template) -> None:
        self.template = template
        self.title = f"template {template.name}" if template.name else "the job"
        if template.version:
            self.title += f" version {template.version}"
        self.parameters = {p.name: p for p in template.parameters}
        # Fields whose whole value is one parameter's, and those that are to be worked out.
        self.direct: list[tuple[str, str]] = []
        self.woven: list[tuple[str, Any]] = []
        self.fixed: dict[str, Any] = {}
        for field, value in template.job.items():
            match = REFERENCE.fullmatch(value) if isinstance(value, str) else None
            if match:
                self.direct.append((field, match[1]))
            elif any(_references(value)):
                self.woven.append((field, value))
            else:
                self.fixed[field] = value
        self.defaults = {p.name: p.default for p in template.parameters if p.default is not None}
        # Parameters that only some teams may set.
        self.guarded = [p for p in template.parameters if p.set_by is not None]

    def referenced_names(self) -> set[str]:
        """Parameters that the job's fields name."""
        return {name for value in self.template.job.values() for name in _references(value)}

    def check_template(self) -> None:
        """Raise `TemplateError` if the template makes no sense by itself."""
        names = [p.name for p in self.template.parameters]
        for name in names:
            if names.count(name) > 1:
                raise TemplateError(f"parameter {name} is there twice")
            if name in (INDEX_PARAMETER, REPETITION_PARAMETER):
                raise TemplateError(f"parameter {name}: every point has that already")
        for parameter in self.template.parameters:
            if parameter.default is not None and not fits(parameter, parameter.default):
                raise TemplateError(
                    f"parameter {parameter.name}: its default is not {allowed_text(parameter)}"
                )
            for value in parameter.allowed or ():
                if not _is(parameter.kind, value):
                    raise TemplateError(
                        f"parameter {parameter.name}: {value!r} is not {KINDS[parameter.kind]}"
                    )
        for field in self.template.job:
            if field == ID:
                raise TemplateError(f"job: {ID} is not the template's to give")
            if field not in FIELDS:
                raise TemplateError(f"job: there is no field {field}")
        for name in sorted(
            self.referenced_names() - set(names) - {INDEX_PARAMETER, REPETITION_PARAMETER}
        ):
            raise TemplateError(f"job: ${{{name}}} is no parameter")

    def check_values(self, values: dict[str, Any]) -> None:
        """Raise `TemplateError` for a value that no job may have."""
        for name, value in values.items():
            parameter = self.parameters.get(name)
            if parameter is None:
                known = ", ".join(self.parameters) or "none"
                raise TemplateError(f"{self.title} has no parameter {name}; it has: {known}")
            if not fits(parameter, value):
                given = msgspec.json.encode(value).decode()[:100]
                raise TemplateError(
                    f"{self.title}, parameter {name}: given {given}, allowed is"
                    f" {allowed_text(parameter)}"
                )

    def render(self, job_id: str, values: dict[str, Value]) -> Job:
        """The job with these values; `values` may hold `index` and `repetition` too.

        `TemplateError` says which value is missing or does not fit the job's field."""
        bound = {**self.defaults, **values}
        document = dict(self.fixed)
        try:
            for field, name in self.direct:
                document[field] = bound[name]
            for field, value in self.woven:
                document[field] = _weave(value, bound)
        except KeyError as error:
            name = error.args[0]
            raise TemplateError(
                f"{self.title}, parameter {name}: not given, and it has no default"
            ) from None
        document[ID] = job_id
        try:
            job = msgspec.convert(document, Job)
        except msgspec.ValidationError as error:
            raise TemplateError(f"{self.title}: {error}") from None
        for parameter in self.guarded:
            if (
                parameter.name in values
                and values[parameter.name] != parameter.default
                and job.team not in (parameter.set_by or ())
            ):
                raise TemplateError(
                    f"{self.title}, parameter {parameter.name}: team {job.team} may not set it;"
                    f" allowed are {', '.join(parameter.set_by or ()) or 'none'}"
                )
        return job


def _weave(value: Any, bound: dict[str, Value]) -> Any:
    if isinstance(value, list):
        return [_weave(part, bound) for part in value]
    if not isinstance(value, str):
        return value
    whole = REFERENCE.fullmatch(value)
    if whole:
        return bound[whole[1]]

    def text(match: re.Match[str]) -> str:
        found = bound[match[1]]
        return str(found).lower() if isinstance(found, bool) else str(found)

    return REFERENCE.sub(text, value)


def differences(old: Template, new: Template) -> list[str]:
    """What has changed between two versions, a line each."""
    out = []
    before = {p.name: p for p in old.parameters}
    after = {p.name: p for p in new.parameters}
    for name in [*before, *(n for n in after if n not in before)]:
        if name not in after:
            out.append(f"parameter {name} is gone")
        elif name not in before:
            out.append(f"parameter {name} is new: {allowed_text(after[name])}")
        elif before[name] != after[name]:
            was, now = msgspec.to_builtins(before[name]), msgspec.to_builtins(after[name])
            for key in sorted(was.keys() | now.keys()):
                if was.get(key) != now.get(key):
                    out.append(f"parameter {name}, {key}: {was.get(key)!r} -> {now.get(key)!r}")
    for field in sorted(old.job.keys() | new.job.keys()):
        if old.job.get(field) != new.job.get(field):
            out.append(f"job, {field}: {old.job.get(field)!r} -> {new.job.get(field)!r}")
    return out

"""Checks job templates and renders jobs from them.

Two jobs of one template version differ only in their ids and the values put in for references.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec

from sagecove.protocol.users import Job
from sagecove.sweeps.parameter_space import INDEX_PARAMETER, REPETITION_PARAMETER, Value
from sagecove.sweeps.records import Parameter, Template

REFERENCE_PATTERN = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)\}")

KIND_DESCRIPTIONS = {
    "whole": "a whole number",
    "number": "a number",
    "text": "a text",
    "flag": "true or false",
}
# Wire names of a job's fields, which a template's `job` may hold.
JOB_FIELDS = {field.encode_name for field in msgspec.structs.fields(Job)}
ID_FIELD = "nameId"


class TemplateError(ValueError):
    """A template, or a value for one of its parameters, is invalid."""


def _has_kind(kind: str, value: Any) -> bool:
    if kind == "flag":
        return isinstance(value, bool)
    if isinstance(value, bool):
        return False
    if kind == "text":
        return isinstance(value, str)
    return isinstance(value, int) or (kind == "number" and isinstance(value, float))


def describe_allowed_values(parameter: Parameter) -> str:
    """Describe the values that a parameter allows."""
    unit = f" {parameter.unit}" if parameter.unit else ""
    if parameter.allowed is not None:
        return "one of " + ", ".join(msgspec.json.encode(v).decode() for v in parameter.allowed)
    description = KIND_DESCRIPTIONS[parameter.kind]
    if parameter.least is not None:
        description += f" from {parameter.least}{unit}"
    if parameter.most is not None:
        description += f" up to {parameter.most}{unit}"
    return description


def accepts_value(parameter: Parameter, value: Any) -> bool:
    """Return whether a parameter allows a value."""
    if not _has_kind(parameter.kind, value):
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


def _reference_names(value: Any) -> Iterator[str]:
    if isinstance(value, str):
        yield from REFERENCE_PATTERN.findall(value)
    elif isinstance(value, list):
        for part in value:
            yield from _reference_names(part)


class CompiledTemplate:
    """A template prepared for rendering many jobs."""

    def __init__(self, template: Template) -> None:
        self.template = template
        self.title = f"template {template.name}" if template.name else "the job"
        if template.version:
            self.title += f" version {template.version}"
        self.parameters = {p.name: p for p in template.parameters}
        # Fields that are a single reference, and fields with references inside their value.
        self.direct_references: list[tuple[str, str]] = []
        self.interpolated_fields: list[tuple[str, Any]] = []
        self.constant_fields: dict[str, Any] = {}
        for field, value in template.job.items():
            match = REFERENCE_PATTERN.fullmatch(value) if isinstance(value, str) else None
            if match:
                self.direct_references.append((field, match[1]))
            elif any(_reference_names(value)):
                self.interpolated_fields.append((field, value))
            else:
                self.constant_fields[field] = value
        self.defaults = {p.name: p.default for p in template.parameters if p.default is not None}
        # Parameters that only some teams may set.
        self.team_restricted = [p for p in template.parameters if p.set_by is not None]

    def referenced_names(self) -> set[str]:
        """Return the names that the job's fields refer to."""
        return {name for value in self.template.job.values() for name in _reference_names(value)}

    def check_template(self) -> None:
        """Raise `TemplateError` if the template is invalid, whatever the values."""
        names = [p.name for p in self.template.parameters]
        for name in names:
            if names.count(name) > 1:
                raise TemplateError(f"parameter {name} is defined twice")
            if name in (INDEX_PARAMETER, REPETITION_PARAMETER):
                raise TemplateError(f"parameter {name}: the name is reserved")
        for parameter in self.template.parameters:
            if parameter.default is not None and not accepts_value(parameter, parameter.default):
                raise TemplateError(
                    f"parameter {parameter.name}: its default is not"
                    f" {describe_allowed_values(parameter)}"
                )
            for value in parameter.allowed or ():
                if not _has_kind(parameter.kind, value):
                    raise TemplateError(
                        f"parameter {parameter.name}: {value!r} is not"
                        f" {KIND_DESCRIPTIONS[parameter.kind]}"
                    )
        for field in self.template.job:
            if field == ID_FIELD:
                raise TemplateError(f"job: {ID_FIELD} can't be set by a template")
            if field not in JOB_FIELDS:
                raise TemplateError(f"job: there is no field {field}")
        for name in sorted(
            self.referenced_names() - set(names) - {INDEX_PARAMETER, REPETITION_PARAMETER}
        ):
            raise TemplateError(f"job: ${{{name}}} is no parameter")

    def check_values(self, values: dict[str, Any]) -> None:
        """Raise `TemplateError` for an unknown parameter or a value that it doesn't allow."""
        for name, value in values.items():
            parameter = self.parameters.get(name)
            if parameter is None:
                known = ", ".join(self.parameters) or "none"
                raise TemplateError(f"{self.title} has no parameter {name}; it has: {known}")
            if not accepts_value(parameter, value):
                given = msgspec.json.encode(value).decode()[:100]
                raise TemplateError(
                    f"{self.title}, parameter {name}: given {given}, allowed is"
                    f" {describe_allowed_values(parameter)}"
                )

    def render(self, job_id: str, values: dict[str, Value]) -> Job:
        """Return the job with these values; `values` may hold `index` and `repetition` too.

        Raises `TemplateError` that names the value that is missing or doesn't fit the job's field.
        """
        bound_values = {**self.defaults, **values}
        document = dict(self.constant_fields)
        try:
            for field, name in self.direct_references:
                document[field] = bound_values[name]
            for field, value in self.interpolated_fields:
                document[field] = _interpolate(value, bound_values)
        except KeyError as error:
            name = error.args[0]
            raise TemplateError(
                f"{self.title}, parameter {name}: not given, and it has no default"
            ) from None
        document[ID_FIELD] = job_id
        try:
            job = msgspec.convert(document, Job)
        except msgspec.ValidationError as error:
            raise TemplateError(f"{self.title}: {error}") from None
        for parameter in self.team_restricted:
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


def _interpolate(value: Any, bound_values: dict[str, Value]) -> Any:
    if isinstance(value, list):
        return [_interpolate(part, bound_values) for part in value]
    if not isinstance(value, str):
        return value
    whole = REFERENCE_PATTERN.fullmatch(value)
    if whole:
        return bound_values[whole[1]]

    def text(match: re.Match[str]) -> str:
        found = bound_values[match[1]]
        return str(found).lower() if isinstance(found, bool) else str(found)

    return REFERENCE_PATTERN.sub(text, value)


def differences(old: Template, new: Template) -> list[str]:
    """List the changes between two versions of a template, one line for each."""
    lines = []
    old_parameters = {p.name: p for p in old.parameters}
    new_parameters = {p.name: p for p in new.parameters}
    for name in [*old_parameters, *(n for n in new_parameters if n not in old_parameters)]:
        if name not in new_parameters:
            lines.append(f"parameter {name} is gone")
        elif name not in old_parameters:
            lines.append(
                f"parameter {name} is new: {describe_allowed_values(new_parameters[name])}"
            )
        elif old_parameters[name] != new_parameters[name]:
            old_values, new_values = (
                msgspec.to_builtins(old_parameters[name]),
                msgspec.to_builtins(new_parameters[name]),
            )
            for key in sorted(old_values.keys() | new_values.keys()):
                if old_values.get(key) != new_values.get(key):
                    lines.append(
                        f"parameter {name}, {key}:"
                        f" {old_values.get(key)!r} -> {new_values.get(key)!r}"
                    )
    for field in sorted(old.job.keys() | new.job.keys()):
        if old.job.get(field) != new.job.get(field):
            lines.append(f"job, {field}: {old.job.get(field)!r} -> {new.job.get(field)!r}")
    return lines

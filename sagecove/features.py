"""What is turned on beyond the core: a file of tables, each a feature's name with its settings.

A feature is a package with a `feature` module that has `Options`, a struct of its settings, and
`make(owner, options)`. Nothing of it is imported while it is off.
"""

from __future__ import annotations

import importlib
import re
import tomllib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from sagecove.config import SettingsError, read_file

if TYPE_CHECKING:
    from sagecove.coordination.interfaces import Feature
    from sagecove.coordination.owner import Owner

# Name of a feature and of its table: the module that makes it.
FEATURES = {"sweeps": "sagecove.sweeps.feature"}

ChosenFeatures = list[tuple[str, Any]]


def load_features(path: str) -> ChosenFeatures:
    """Features that a file turns on, with their options; `SettingsError` names file and line."""
    raw = read_file(path)
    try:
        text = raw.decode()
        tables = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    chosen: ChosenFeatures = []
    for name, table in tables.items():
        if name not in FEATURES:
            known = ", ".join(FEATURES)
            raise SettingsError(
                f"{path}:{_line(text, name)}: there is no feature {name}; there are: {known}"
            )
        if not isinstance(table, dict):
            raise SettingsError(f"{path}:{_line(text, name)}: {name} must be a table, [{name}]")
        enabled = table.pop("enabled", True)
        if not isinstance(enabled, bool):
            raise SettingsError(f"{path}:{_line(text, 'enabled', name)}: true or false, no other")
        if enabled:
            chosen.append((name, _options(path, text, name, table)))
    return chosen


def _options(path: str, text: str, name: str, table: dict[str, Any]) -> Any:
    kind = importlib.import_module(FEATURES[name]).Options
    fields = {field.name for field in msgspec.structs.fields(kind)}
    for key in table:
        if key not in fields:
            raise SettingsError(
                f"{path}:{_line(text, key, name)}: {name} has no setting {key}; it has:"
                f" {', '.join(sorted(fields))}"
            )
    try:
        return msgspec.convert(table, kind)
    except msgspec.ValidationError as error:
        field = re.search(r"`\$\.(\w+)", str(error))
        line = _line(text, field[1], name) if field else _line(text, name)
        raise SettingsError(f"{path}:{line}: {error}") from None


def _line(text: str, key: str, table: str = "") -> int:
    """Where a key stands, from 1: below its table's heading, if it is in one."""
    inside = not table
    for number, line in enumerate(text.splitlines(), 1):
        if re.match(rf"\s*\[\s*{re.escape(table or key)}\s*\]", line):
            if not table:
                return number
            inside = True
        elif inside and re.match(rf'\s*"?{re.escape(key)}"?\s*=', line):
            return number
    return 1


def feature_factory(chosen: ChosenFeatures) -> Callable[[Owner], list[Feature]]:
    """What makes the chosen features for an owner."""

    def make(owner: Owner) -> list[Feature]:
        return [
            importlib.import_module(FEATURES[name]).make(owner, options) for name, options in chosen
        ]

    return make

"""Optional features, enabled by a TOML file with one table of settings per feature.

A feature is a package whose `feature` module has `Options`, a struct of its settings, and
`make(owner, options)`. Nothing of the package is imported while the feature is disabled.
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

# Module of each feature, by the name of the feature and its table.
FEATURE_MODULES = {"sweeps": "sagecove.sweeps.feature"}

ChosenFeatures = list[tuple[str, Any]]


def load_features(path: str) -> ChosenFeatures:
    """Return the features that a file enables, with their options.

    Raises `SettingsError` with the file and the line of a mistake.
    """
    raw = read_file(path)
    try:
        text = raw.decode()
        tables = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    enabled_features: ChosenFeatures = []
    for name, table in tables.items():
        if name not in FEATURE_MODULES:
            known = ", ".join(FEATURE_MODULES)
            raise SettingsError(
                f"{path}:{_line_of(text, name)}: there is no feature {name}; there are: {known}"
            )
        if not isinstance(table, dict):
            raise SettingsError(f"{path}:{_line_of(text, name)}: {name} must be a table, [{name}]")
        enabled = table.pop("enabled", True)
        if not isinstance(enabled, bool):
            raise SettingsError(f"{path}:{_line_of(text, 'enabled', name)}: true or false expected")
        if enabled:
            enabled_features.append((name, _options(path, text, name, table)))
    return enabled_features


def _options(path: str, text: str, name: str, table: dict[str, Any]) -> Any:
    options_type = importlib.import_module(FEATURE_MODULES[name]).Options
    fields = {field.name for field in msgspec.structs.fields(options_type)}
    for key in table:
        if key not in fields:
            raise SettingsError(
                f"{path}:{_line_of(text, key, name)}: {name} has no setting {key}; it has:"
                f" {', '.join(sorted(fields))}"
            )
    try:
        return msgspec.convert(table, options_type)
    except msgspec.ValidationError as error:
        field = re.search(r"`\$\.(\w+)", str(error))
        line = _line_of(text, field[1], name) if field else _line_of(text, name)
        raise SettingsError(f"{path}:{line}: {error}") from None


def _line_of(text: str, key: str, table: str = "") -> int:
    """Return the line number of a key, searched below the heading of `table` if one is given."""
    inside = not table
    for number, line in enumerate(text.splitlines(), 1):
        if re.match(rf"\s*\[\s*{re.escape(table or key)}\s*\]", line):
            if not table:
                return number
            inside = True
        elif inside and re.match(rf'\s*"?{re.escape(key)}"?\s*=', line):
            return number
    return 1


def feature_factory(enabled_features: ChosenFeatures) -> Callable[[Owner], list[Feature]]:
    """Return a function that creates the enabled features for an owner."""

    def make(owner: Owner) -> list[Feature]:
        return [
            importlib.import_module(FEATURE_MODULES[name]).make(owner, options)
            for name, options in enabled_features
        ]

    return make

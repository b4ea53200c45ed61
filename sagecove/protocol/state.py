"""Messages between controllers and the state service."""

from typing import Any

import msgspec


class Pair(msgspec.Struct, rename={"key": "path", "value": "v", "version": "stamp"}):
    """A key with its value."""

    key: str
    value: Any
    version: int


class Page(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "ledger"}):
    """A page of a prefix read."""

    items: list[Pair]
    revision: int
    more: bool = False


class Condition(msgspec.Struct, rename={"key": "path", "version": "stamp"}):
    """A key must stand at this version (0: must not exist)."""

    key: str
    version: int


class Put(
    msgspec.Struct, rename={"key": "put", "value": "v", "lease": "tenure"}, omit_defaults=True
):
    """Write a key."""

    key: str
    value: Any
    lease: int | None = None


class Delete(msgspec.Struct, rename={"key": "drop"}):
    """Delete a key."""

    key: str


class Transaction(msgspec.Struct, rename={"conditions": "if", "changes": "then"}):
    """Changes made together if every condition holds."""

    conditions: list[Condition]
    changes: list[Put | Delete] = []


class Revision(msgspec.Struct, rename={"revision": "ledger"}):
    """A transaction's success."""

    revision: int


class Conflict(msgspec.Struct, rename={"revision": "ledger"}):
    """A transaction's failed conditions."""

    failed: list[str]
    revision: int


class Grant(msgspec.Struct, rename={"ttl_ms": "lifeMs"}):
    """A request for a lease."""

    ttl_ms: int


class Granted(msgspec.Struct, rename={"lease": "tenure"}):
    """A lease."""

    lease: int


class Change(msgspec.Struct, rename={"delete": "drop", "value": "v", "version": "stamp"}):
    """A watched change."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class Changes(msgspec.Struct, rename={"revision": "ledger"}):
    """A watch's answer: every change after the asked revision up to `revision`."""

    revision: int
    events: list[Change] = []

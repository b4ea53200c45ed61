"""Messages between controllers and the state service."""

from typing import Any

import msgspec


class Pair(msgspec.Struct, rename={"key": "path", "value": "v", "version": "stamp"}):
    """A key with its value and the revision of its last change."""

    key: str
    value: Any
    version: int


class Page(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "ledger"}):
    """A page of the keys with a prefix."""

    items: list[Pair]
    revision: int
    more: bool = False


class Condition(msgspec.Struct, rename={"key": "path", "version": "stamp"}):
    """Requires that a key has this version; 0 requires that it does not exist."""

    key: str
    version: int


class Put(
    msgspec.Struct, rename={"key": "put", "value": "v", "lease": "tenure"}, omit_defaults=True
):
    """A change that writes a key."""

    key: str
    value: Any
    lease: int | None = None


class Delete(msgspec.Struct, rename={"key": "drop"}):
    """A change that deletes a key."""

    key: str


class Transaction(msgspec.Struct, rename={"conditions": "if", "changes": "then"}):
    """Changes that are made together if every condition holds."""

    conditions: list[Condition]
    changes: list[Put | Delete] = []


class Revision(msgspec.Struct, rename={"revision": "ledger"}):
    """The answer to a transaction that was executed."""

    revision: int


class Conflict(msgspec.Struct, rename={"revision": "ledger"}):
    """The answer to a transaction with the keys of its failed conditions."""

    failed: list[str]
    revision: int


class Grant(msgspec.Struct, rename={"ttl_ms": "lifeMs"}):
    """A request for a lease."""

    ttl_ms: int


class Granted(msgspec.Struct, rename={"lease": "tenure"}):
    """The answer to a request for a lease."""

    lease: int


class Change(msgspec.Struct, rename={"delete": "drop", "value": "v", "version": "stamp"}):
    """A change of a watched key: a write (`put`) or a deletion (`delete`)."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class Changes(msgspec.Struct, rename={"revision": "ledger"}):
    """The answer to a watch: all changes after the requested revision, up to `revision`."""

    revision: int
    events: list[Change] = []

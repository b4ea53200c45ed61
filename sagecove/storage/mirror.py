"""A controller's copy of the watched keys.

Events may arrive twice and out of step with this controller's own commits (a poll, a long watch
and a commit are answered independently), so every change is compared by its revision.
"""

from typing import Any, NamedTuple


class Item(NamedTuple):
    """A key's value and the revision of its last change."""

    value: Any
    revision: int


class Event(NamedTuple):
    """A change: `value` is None for a deletion."""

    key: str
    value: Any
    revision: int


class Mirror:
    """Key to item, complete up to revision `applied`."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.applied = 0
        self.loaded = False
        self._dropped: dict[str, int] = {}

    def revision_of(self, key: str) -> int:
        """The revision to name in a condition; 0 for a missing key."""
        item = self.items.get(key)
        return item.revision if item else 0

    def apply(self, event: Event) -> bool:
        """Take one change unless something newer is known; True if anything changed."""
        if event.revision <= self.applied:
            # Answers overtake one another: a put that a long watch delivers late must not bring
            # back a key whose removal a later read has already told of.
            return False
        old = self.items.get(event.key)
        known = old.revision if old else self._dropped.get(event.key, 0)
        if event.revision <= known:
            return False
        if event.value is None:
            if event.revision > self.applied:
                # An older put of this key may still be on its way: it must not come back.
                self._dropped[event.key] = event.revision
            return self.items.pop(event.key, None) is not None
        self.items[event.key] = Item(event.value, event.revision)
        self._dropped.pop(event.key, None)
        return True

    def advance_to(self, ledger: int) -> None:
        """All changes up to `ledger` have been applied."""
        if ledger > self.applied:
            self.applied = ledger
            if self._dropped:
                self._dropped = {k: s for k, s in self._dropped.items() if s > ledger}

    def differences(self, items: dict[str, Item], ledger: int) -> list[Event]:
        """Events that turn this mirror into a fresh listing begun at revision `ledger`."""
        events = [Event(key, item.value, item.revision) for key, item in items.items()]
        events += [
            Event(key, None, ledger)
            for key, item in self.items.items()
            if key not in items and item.revision <= ledger
        ]
        return events

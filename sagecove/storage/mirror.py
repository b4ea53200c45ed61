"""A controller's copy of the watched keys.

Events may arrive twice and out of step with this controller's own commits (a poll, a long watch
and a commit are answered independently), so every change is compared by its revision.
"""

from typing import Any, NamedTuple


class Item(NamedTuple):
    """A key's value and the revision of its last change."""

    value: Any
    stamp: int


class Event(NamedTuple):
    """A change: `value` is None for a deletion."""

    key: str
    value: Any
    stamp: int


class Mirror:
    """Key to item, complete up to revision `applied`."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.applied = 0
        self.loaded = False
        self._dropped: dict[str, int] = {}

    def stamp(self, key: str) -> int:
        """The revision to name in a condition; 0 for a missing key."""
        item = self.items.get(key)
        return item.stamp if item else 0

    def apply(self, event: Event) -> bool:
        """Take one change unless something newer is known; True if anything changed."""
        if event.stamp <= self.applied:
            # Answers overtake one another: a put that a long watch delivers late must not bring
            # back a key whose removal a later read has already told of.
            return False
        old = self.items.get(event.key)
        known = old.stamp if old else self._dropped.get(event.key, 0)
        if event.stamp <= known:
            return False
        if event.value is None:
            if event.stamp > self.applied:
                # An older put of this key may still be on its way: it must not come back.
                self._dropped[event.key] = event.stamp
            return self.items.pop(event.key, None) is not None
        self.items[event.key] = Item(event.value, event.stamp)
        self._dropped.pop(event.key, None)
        return True

    def advance(self, ledger: int) -> None:
        """All changes up to `ledger` have been applied."""
        if ledger > self.applied:
            self.applied = ledger
            if self._dropped:
                self._dropped = {k: s for k, s in self._dropped.items() if s > ledger}

    def differences(self, items: dict[str, Item], ledger: int) -> list[Event]:
        """Events that turn this mirror into a fresh listing begun at revision `ledger`."""
        events = [Event(key, item.value, item.stamp) for key, item in items.items()]
        events += [
            Event(key, None, ledger)
            for key, item in self.items.items()
            if key not in items and item.stamp <= ledger
        ]
        return events

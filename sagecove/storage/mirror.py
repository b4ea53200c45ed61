"""A controller's local copy of the watched keys of the state service.

A poll, a long watch and a commit are answered independently, so the same event may arrive twice
and in another order than this controller's own commits. Every change is therefore compared by its
revision.
"""

from typing import Any, NamedTuple


class Item(NamedTuple):
    """The value of a key and the revision of its last change."""

    value: Any
    revision: int


class Event(NamedTuple):
    """A change of a key; `value` is None if the key was deleted."""

    key: str
    value: Any
    revision: int


class Mirror:
    """Items by key, complete up to revision `applied`."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.applied = 0
        self.loaded = False
        self._deleted_revisions: dict[str, int] = {}

    def revision_of(self, key: str) -> int:
        """Return the revision of the last change of `key`, for a condition; 0 if it is missing."""
        item = self.items.get(key)
        return item.revision if item else 0

    def apply(self, event: Event) -> bool:
        """Apply a change unless a newer one is known; return whether the mirror changed."""
        if event.revision <= self.applied:
            # Answers can overtake one another: a put that a long watch delivers late must not
            # restore a key that a later read has already reported as deleted.
            return False
        known_item = self.items.get(event.key)
        known_revision = (
            known_item.revision if known_item else self._deleted_revisions.get(event.key, 0)
        )
        if event.revision <= known_revision:
            return False
        if event.value is None:
            if event.revision > self.applied:
                # An older put of this key may still arrive and must not restore it.
                self._deleted_revisions[event.key] = event.revision
            return self.items.pop(event.key, None) is not None
        self.items[event.key] = Item(event.value, event.revision)
        self._deleted_revisions.pop(event.key, None)
        return True

    def advance_to(self, revision: int) -> None:
        """Record that all changes up to `revision` have been applied."""
        if revision > self.applied:
            self.applied = revision
            if self._deleted_revisions:
                self._deleted_revisions = {
                    key: deleted_at
                    for key, deleted_at in self._deleted_revisions.items()
                    if deleted_at > revision
                }

    def differences(self, items: dict[str, Item], revision: int) -> list[Event]:
        """Return the events that turn this mirror into a listing that began at `revision`."""
        events = [Event(key, item.value, item.revision) for key, item in items.items()]
        events += [
            Event(key, None, revision)
            for key, item in self.items.items()
            if key not in items and item.revision <= revision
        ]
        return events

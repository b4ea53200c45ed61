"""Loading and watching the mirror, and linearizable reads."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sagecove.coordination.interfaces import ResponseCallback
from sagecove.protocol import state as wire
from sagecove.storage import records as r
from sagecove.storage.mirror import Event, Item
from sagecove.storage.store import decode

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner


log = logging.getLogger("sagecove.sync")


class MirrorSync:
    """The mirror, kept current."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.synced_at = -1e9
        self.sync_failed_at = -1e9
        self.syncing = False
        self.sync_requested = False
        self.next_sync_at = 0.0
        self.watching = False
        self.next_watch_at = 0.0
        self.loading = False
        self.load_at = 0.0
        self.page_items: dict[str, Item] = {}
        self.page_ledger = 0
        self.page_begun = 0.0
        # Keys of jobs whose records can't be read, such as those of a later version.
        self.unreadable_job_keys: set[str] = set()

    def load(self, now: float) -> None:
        if self.loading or now < self.load_at:
            return
        self.loading = True
        self.page_items = {}
        self.page_ledger = 0
        self.page_begun = now
        self.owner.store.page(now, r.LIVE, "", self._paged)

    def _paged(self, status: int | None, body: bytes) -> None:
        page = decode(body, wire.Page) if status == 200 else None
        if page is None:
            self.loading = False
            self.load_at = self.owner.now + self.owner.random.uniform(0.2, 0.5)
            return
        if not self.page_ledger:
            # Later pages may hold newer values: the watch starts from the first page's revision.
            self.page_ledger = page.revision
        for pair in page.items:
            value = self.owner.parse(pair.key, pair.value)
            self._noted(pair.key, value)
            self.page_items[pair.key] = Item(value, pair.version)
        if page.more and page.items:
            self.owner.store.page(self.owner.now, r.LIVE, page.items[-1].key, self._paged)
            return
        self.loading = False
        events = self.owner.mirror.differences(self.page_items, self.page_ledger)
        self.page_items = {}
        for event in events:
            self.owner.apply_event(event)
        first = not self.owner.mirror.loaded
        self.owner.mirror.loaded = True
        self._advance(self.page_ledger, self.page_begun)
        if first:
            self.owner.cancellations.raise_floor(self.page_ledger)
            log.info("loaded keys=%d ledger=%d", len(self.owner.mirror.items), self.page_ledger)

    def _noted(self, key: str, value: object) -> None:
        """A record that can't be read is there all the same: its job was told to be unknown."""
        if value is not None:
            self.unreadable_job_keys.discard(key)
        elif key.startswith(r.JOB) and key not in self.unreadable_job_keys:
            log.error("unreadable record key=%s", key)
            self.unreadable_job_keys.add(key)

    def watch(self, now: float) -> None:
        self.watching = True
        wait_s = min(30.0, self.owner.leadership.lease_s / 2)
        self.owner.store.watch(
            now, r.LIVE, self.owner.mirror.applied, wait_s, self._changes(now, False)
        )

    def request_sync(self) -> None:
        """A linearizable read is wanted."""
        self.sync_requested = True

    def sync_if_due(self, now: float) -> None:
        if (
            not self.sync_requested
            or self.syncing
            or not self.owner.mirror.loaded
            or now < self.next_sync_at
        ):
            return
        self.sync_requested = False
        self.syncing = True
        # Polls of an interval share one read: its length keeps reads within a part of the budget.
        self.next_sync_at = now + 5 / self.owner.store.requests.rate
        self.owner.store.watch(
            now, r.LIVE, self.owner.mirror.applied, 0.0, self._changes(now, True)
        )

    def _changes(self, begun: float, sync: bool) -> ResponseCallback:
        asked = self.owner.users.request_count

        def done(status: int | None, body: bytes) -> None:
            if sync:
                self.syncing = False
            else:
                self.watching = False
                # Changes come all the time: each answer should carry several.
                self.next_watch_at = self.owner.now + 5 / self.owner.store.requests.rate
            answer = decode(body, wire.Changes) if status == 200 else None
            if answer is not None:
                for change in answer.events:
                    if change.version <= self.owner.mirror.applied:
                        # Told of by another answer already: not worth being parsed again.
                        continue
                    if change.put is not None:
                        value = self.owner.parse(change.put, change.value)
                        self._noted(change.put, value)
                        self.owner.apply_event(Event(change.put, value, change.version))
                    elif change.delete is not None:
                        self.unreadable_job_keys.discard(change.delete)
                        self.owner.apply_event(Event(change.delete, None, change.version))
                # Only a read that answers at once proves that nothing newer was there before it.
                self._advance(answer.revision, begun)
                if sync:
                    self.owner.users.read_done(asked, True)
                    if self.owner.users.waiting_requests:
                        self.sync_requested = True
                return
            if status == 410:
                self.owner.mirror.loaded = False
                self.loading = False
                if sync:
                    self.owner.users.read_done(asked, False)
                return
            if sync:
                self.sync_failed_at = self.owner.now
                self.next_sync_at = self.owner.now + self.owner.random.uniform(0.15, 0.4)
                self.owner.users.read_done(asked, False)
                self.sync_requested = True
            else:
                self.next_watch_at = self.owner.now + self.owner.random.uniform(0.3, 0.8)

        return done

    def _advance(self, ledger: int, begun: float) -> None:
        self.owner.mirror.advance(ledger)
        self.synced_at = max(self.synced_at, begun)
        self.owner.cancellations.read(begun)
        self.owner.leadership.update_held_shards()
        self.owner.pass_needed = True

    def connected(self) -> bool:
        """The state service answered lately."""
        return self.owner.mirror.loaded and (
            self.owner.now - self.synced_at < 2.0 or self.sync_failed_at < self.synced_at
        )

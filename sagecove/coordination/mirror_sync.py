"""Loads the mirror of the state service, watches for changes and makes linearizable reads."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sagecove.coordination.interfaces import ResponseCallback
from sagecove.protocol import state as wire
from sagecove.storage import records
from sagecove.storage.mirror import Event, Item
from sagecove.storage.store import decode_answer

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner


log = logging.getLogger("sagecove.sync")


class MirrorSync:
    """Keeps the mirror up to date.

    `synced_at` is the start of the last successful read: the mirror contains every change that was
    made before then.
    """

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
        self.next_load_at = 0.0
        self.loaded_items: dict[str, Item] = {}
        self.load_revision = 0
        self.load_started_at = 0.0
        # Keys of live jobs whose records can't be decoded, such as those of a later version, or
        # can't be applied; with the revisions of these records.
        self.unreadable_job_keys: dict[str, int] = {}

    def load(self, now: float) -> None:
        """Start to load all live records, page by page, unless a load is under way."""
        if self.loading or now < self.next_load_at:
            return
        self.loading = True
        self.loaded_items = {}
        self.load_revision = 0
        self.load_started_at = now
        self.owner.store.read_page(now, records.LIVE_PREFIX, "", self._on_page)

    def _on_page(self, status: int | None, body: bytes) -> None:
        page = decode_answer(body, wire.Page) if status == 200 else None
        if page is None:
            self.loading = False
            self.next_load_at = self.owner.now + self.owner.random.uniform(0.2, 0.5)
            return
        if not self.load_revision:
            # Later pages may contain newer values, so the watch starts from the revision of the
            # first page.
            self.load_revision = page.revision
        for pair in page.items:
            value = self.owner.parse(pair.key, pair.value)
            self._track_readable(pair.key, value, pair.version)
            self.loaded_items[pair.key] = Item(value, pair.version)
        if page.more and page.items:
            self.owner.store.read_page(
                self.owner.now, records.LIVE_PREFIX, page.items[-1].key, self._on_page
            )
            return
        self.loading = False
        events = self.owner.mirror.differences(self.loaded_items, self.load_revision)
        self._forget_unlisted_jobs()
        self.loaded_items = {}
        for event in events:
            self.apply(event)
        first = not self.owner.mirror.loaded
        self.owner.mirror.loaded = True
        self._advance(self.load_revision, self.load_started_at)
        if first:
            self.owner.cancellations.raise_floor(self.load_revision)
            log.info("loaded keys=%d ledger=%d", len(self.owner.mirror.items), self.load_revision)

    def _track_readable(self, key: str, value: object, revision: int) -> None:
        """Keep track of job records that can't be decoded. Otherwise users would get a 404 for such
        a job.
        """
        if not key.startswith(records.JOB_PREFIX):
            return
        if value is not None:
            self._forget_unreadable(key, revision)
        elif revision > max(self.owner.mirror.applied, self.unreadable_job_keys.get(key, 0)):
            # An older record is known already, or was deleted since.
            log.error("unreadable record key=%s", key)
            self.unreadable_job_keys[key] = revision

    def _forget_unreadable(self, key: str, revision: int) -> None:
        """Forget an unreadable record that was replaced or deleted at a later revision."""
        if self.unreadable_job_keys.get(key, revision) < revision:
            del self.unreadable_job_keys[key]

    def _forget_unlisted_jobs(self) -> None:
        """Forget unreadable records that were deleted before the listing that was just read."""
        for key in list(self.unreadable_job_keys):
            if key not in self.loaded_items:
                self._forget_unreadable(key, self.load_revision + 1)

    def apply(self, event: Event) -> None:
        """Apply a change to the owner; an exception does not stop the changes beside it."""
        if not self.owner.containment.run("change", self.owner.apply_event, event):
            job_id = event.key.removeprefix(records.JOB_PREFIX)
            if event.key != job_id and event.value is not None and job_id not in self.owner.jobs:
                # The job is accepted, so it must not be answered with 404.
                self.unreadable_job_keys[event.key] = event.revision

    def apply_committed(self, changes: list[wire.Put | wire.Delete], revision: int) -> None:
        """Apply the changes of a transaction of this controller that was executed at `revision`."""
        for change in changes:
            value = change.value if isinstance(change, wire.Put) else None
            if change.key.startswith(records.LIVE_PREFIX):
                self.apply(Event(change.key, value, revision))
            elif isinstance(value, records.FinalStateRecord):
                job_id = change.key.removeprefix(records.FINAL_STATE_PREFIX)
                self.owner.final_states.remember(job_id, value.state, value.tasks, revision)

    def watch(self, now: float) -> None:
        """Ask the state service for the next changes; it answers when there are some."""
        self.watching = True
        wait_s = min(30.0, self.owner.leadership.lease_s / 2)
        self.owner.store.watch(
            now,
            records.LIVE_PREFIX,
            self.owner.mirror.applied,
            wait_s,
            self._on_changes(now, False),
        )

    def request_sync(self) -> None:
        """Request a linearizable read; `sync_if_due` makes it."""
        self.sync_requested = True

    def sync_if_due(self, now: float) -> None:
        """Make the requested linearizable read unless one is under way or too recent."""
        if (
            not self.sync_requested
            or self.syncing
            or not self.owner.mirror.loaded
            or now < self.next_sync_at
        ):
            return
        self.sync_requested = False
        self.syncing = True
        # All requests of an interval share one read. The interval keeps reads within a part of the
        # request budget.
        self.next_sync_at = now + 5 / self.owner.store.requests.rate
        self.owner.store.watch(
            now, records.LIVE_PREFIX, self.owner.mirror.applied, 0.0, self._on_changes(now, True)
        )

    def _on_changes(self, started_at: float, is_sync: bool) -> ResponseCallback:
        coverage = self.owner.coverage
        last_request = coverage.request_count

        def done(status: int | None, body: bytes) -> None:
            if is_sync:
                self.syncing = False
            else:
                self.watching = False
                # Changes are frequent: wait, so that each answer contains several of them.
                self.next_watch_at = self.owner.now + 5 / self.owner.store.requests.rate
            answer = decode_answer(body, wire.Changes) if status == 200 else None
            if answer is not None:
                for change in answer.events:
                    if change.version <= self.owner.mirror.applied:
                        # Already applied from another answer: skip the cost of parsing.
                        continue
                    if change.put is not None:
                        value = self.owner.parse(change.put, change.value)
                        self._track_readable(change.put, value, change.version)
                        self.apply(Event(change.put, value, change.version))
                    elif change.delete is not None:
                        self._forget_unreadable(change.delete, change.version)
                        self.apply(Event(change.delete, None, change.version))
                # Waiting users may be answered only after a read that returns at once, which proves
                # that no newer change existed when it began.
                self._advance(answer.revision, started_at)
                if is_sync:
                    coverage.read_completed(last_request, answer.revision)
                    if coverage.waiting:
                        self.sync_requested = True
                return
            if status == 410:
                self.owner.mirror.loaded = False
                self.loading = False
                if is_sync:
                    coverage.read_failed()
                return
            if is_sync:
                self.sync_failed_at = self.owner.now
                self.next_sync_at = self.owner.now + self.owner.random.uniform(0.15, 0.4)
                coverage.read_failed()
                self.sync_requested = True
            else:
                self.next_watch_at = self.owner.now + self.owner.random.uniform(0.3, 0.8)

        return done

    def _advance(self, revision: int, started_at: float) -> None:
        self.owner.mirror.advance_to(revision)
        self.synced_at = max(self.synced_at, started_at)
        self.owner.cancellations.drop_old_reports(started_at)
        self.owner.leadership.update_held_shards()
        self.owner.pass_needed = True

    def connected(self) -> bool:
        """Return whether the state service has answered recently."""
        return self.owner.mirror.loaded and (
            self.owner.now - self.synced_at < 2.0 or self.sync_failed_at < self.synced_at
        )

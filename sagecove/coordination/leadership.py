"""Keeps this controller's lease, takes over shards without a holder and hands shards back.

The holder of a shard is recorded under one key that is bound to the holder's lease. The revision
of that key is the term. A holder acts for a shard only while its own conservative estimate says
that its lease is alive and that its mirror is no older than one lease length. A controller that
takes over the shard after the lease has expired, or that cancels a job meanwhile, can therefore
rely on the old holder having stopped.

Each shard is named after its default holder; other controllers hold it only while that is down.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from sagecove.coordination.interfaces import TICK_S
from sagecove.coordination.model import Shard
from sagecove.protocol import state as wire
from sagecove.protocol.peers import Promise
from sagecove.storage.records import (
    HOLDER_PREFIX,
    LAST_HOLDER_PREFIX,
    MEMBER_PREFIX,
    PROVISIONER_KEY,
    HolderRecord,
    LastHolderRecord,
    MemberRecord,
)
from sagecove.storage.store import Outcome, Result, decode_answer

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.leadership")


class Leadership:
    """Manages this controller's lease and the terms of the shards that it holds."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.lease_s = owner.settings.lease_s
        self.lease_id: int | None = None
        self.lease_until = 0.0
        self.grant_pending = False
        self.renewal_pending = False
        self.next_renewal_at = 0.0
        self.member_recorded = False
        self.published_limits: dict[str, tuple[int, int]] = {}
        # Keys with a takeover or hand-back transaction in flight.
        self.pending_keys: set[str] = set()
        self.missing_since: dict[str, float] = {}
        self.provisioner_term = 0
        self.returned_at: dict[str, float] = {}
        # When a foreign shard's default holder was first seen up: it settles before the hand-back.
        self.default_holder_up_since: dict[str, float] = {}
        # By peer: when its promise ends. Authority is extended only while all peers' promises hold.
        self.peer_promises: dict[str, float] = {}
        self.promises_until = 0.0
        # End of this controller's own promises. Until then it must not act for a shard that it took
        # after a lease expired. A process that has just started does not know what the previous
        # process of this node promised, so it waits for one lease length.
        self.own_promises_until = owner.now + self.lease_s

    # -- promises during an outage ----------------------------------------------------------------

    def make_promise(self, applied: int) -> Promise:
        """Build the answer to the hint of a peer that has read up to the revision `applied`.

        It names the later cancellations that this controller confirmed to users. It contains a
        promise only while the state service refuses this controller too, so that a peer that is
        refused alone is replaced in time.
        """
        owner = self.owner
        cancellations = owner.cancellations
        if not owner.mirror.loaded:
            return Promise()
        without_promise = Promise(
            0.0,
            cancellations.last_revision,
            cancellations.floor,
            cancellations.confirmed_after(applied),
        )
        refused = (
            owner.sync.sync_failed_at > owner.sync.synced_at
            and owner.now - owner.sync.synced_at > 0.5
        )
        if not refused:
            return without_promise
        self.own_promises_until = max(self.own_promises_until, owner.now + self.lease_s)
        return msgspec.structs.replace(without_promise, for_s=self.lease_s)

    def receive_promise(self, node: str, sent_at: float, promise: Promise) -> None:
        """Handle a peer's answer to a hint that was sent at `sent_at`.

        Promises extend authority but never restore it: another controller may have taken over.
        """
        owner = self.owner
        # Stop the named jobs before counting the promise, so that this controller acts for no job
        # whose cancellation was confirmed to a user before the promise was given.
        owner.cancellations.stop_reported(promise.cancelled)
        # A peer of an older build names no cancellations and sends no floor.
        unnamed_until = promise.cancels if promise.floor is None else promise.floor
        if promise.for_s <= 0 or unnamed_until > owner.mirror.applied:
            self.peer_promises.pop(node, None)
            return
        # A longer promise is cut to this controller's own lease length, which is what covers a
        # cancellation that the peer confirms later.
        promise_s = min(promise.for_s, self.lease_s)
        self.peer_promises[node] = sent_at + promise_s * (1 - owner.settings.clock_drift_ratio)
        if all(peer.node in self.peer_promises for peer in owner.settings.peers) and self.may_act(
            owner.now
        ):
            self.promises_until = max(self.promises_until, min(self.peer_promises.values()))

    def may_act_until(self) -> float:
        """Return the time after which this controller must not act."""
        mirror_until = self.owner.sync.synced_at + self.lease_s * (
            1 - self.owner.settings.clock_drift_ratio
        )
        return max(min(self.lease_until, mirror_until), self.promises_until)

    def may_act(self, now: float) -> bool:
        """Return whether this controller may act for its shards."""
        return self.lease_id is not None and now < self.may_act_until()

    # -- the lease ------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Renew the lease, take over shards without a holder and hand back foreign shards."""
        if self.lease_id is None:
            if not self.grant_pending and now >= self.next_renewal_at:
                self.grant_pending = True
                self.owner.store.grant_lease(now, self.lease_s, self._on_granted(now))
            return
        if now >= self.next_renewal_at and not self.renewal_pending:
            self.renewal_pending = True
            # Refused renewals are retried soon: the first after an outage decides the lease.
            self.next_renewal_at = now + self.lease_s / 8
            self.owner.store.renew_lease(now, self.lease_id, self._on_renewed(now, self.lease_id))
        if self.owner.mirror.loaded and now < self.lease_until:
            self._take_missing_shards(now)
            self._hand_back_shards(now)

    def _estimate_expiry(self, sent_at: float) -> float:
        return sent_at + self.lease_s * (1 - self.owner.settings.clock_drift_ratio) - 0.05

    def _on_granted(self, sent_at: float) -> Callable[[int | None, bytes], None]:
        def done(status: int | None, body: bytes) -> None:
            self.grant_pending = False
            answer = decode_answer(body, wire.Granted) if status == 200 else None
            if answer is None:
                self.next_renewal_at = self.owner.now + self.lease_s / 16
                return
            self.lease_id = answer.lease
            self.lease_until = self._estimate_expiry(sent_at)
            self.next_renewal_at = sent_at + self.lease_s / 8
            self.member_recorded = False
            self._retake_own_shard()

        return done

    def _on_renewed(self, sent_at: float, lease: int) -> Callable[[int | None, bytes], None]:
        def done(status: int | None, body: bytes) -> None:
            self.renewal_pending = False
            if lease != self.lease_id:
                return
            if status == 200:
                self.lease_until = max(self.lease_until, self._estimate_expiry(sent_at))
            elif status == 404:
                log.info("lease lost lease=%d", lease)
                self.lease_id = None
                self.lease_until = 0.0
                self.promises_until = 0.0
                self.next_renewal_at = self.owner.now
                self.provisioner_term = 0
                for name in list(self.owner.held_shards):
                    self.owner.shards.lose_shard(name)
            else:
                self.next_renewal_at = min(self.next_renewal_at, self.owner.now + self.lease_s / 16)

        return done

    # -- takeover -------------------------------------------------------------------------------

    def _retake_own_shard(self) -> None:
        """Record this controller as a member and take its own shard if it has no other holder.

        After a restart it is taken at once: the earlier process of this node no longer runs.
        """
        owner = self.owner
        if not owner.mirror.loaded or self.lease_id is None:
            return
        node = owner.settings.node
        if (differing := owner.limits.split_proposer.differing_limits()) != self.published_limits:
            self.published_limits = differing
            self.member_recorded = False
        if not self.member_recorded:
            self.member_recorded = True
            changes: list[wire.Put | wire.Delete] = [
                wire.Put(
                    MEMBER_PREFIX + node,
                    MemberRecord(self.lease_id, self.published_limits),
                    self.lease_id,
                )
            ]
            # An older write executed late must not replace a newer record: peers use its limits.
            conditions = [(MEMBER_PREFIX + node, owner.mirror.revision_of(MEMBER_PREFIX + node))]
            owner.commit(conditions, changes, self._on_member_written, urgent=True)
        item = owner.mirror.items.get(HOLDER_PREFIX + node)
        if node not in owner.held_shards and (
            item is None or (item.value.node == node and item.value.lease != self.lease_id)
        ):
            self._take_shard(node)

    def _on_member_written(self, result: Result) -> None:
        if result.outcome is not Outcome.DONE:
            self.member_recorded = False
            self.owner.sync.request_sync()

    def _take_shard(self, shard: str) -> None:
        key = HOLDER_PREFIX + shard
        if key in self.pending_keys or self.lease_id is None:
            return
        self.pending_keys.add(key)
        owner = self.owner

        def done(result: Result) -> None:
            self.pending_keys.discard(key)
            owner.sync.request_sync()
            if result.outcome is not Outcome.DONE:
                self.missing_since[shard] = owner.now + owner.random.uniform(0, self.lease_s / 16)

        node = owner.settings.node
        last_key = LAST_HOLDER_PREFIX + shard
        conditions = [
            (key, owner.mirror.revision_of(key)),
            (last_key, owner.mirror.revision_of(last_key)),
        ]
        previous = owner.mirror.items.get(key)
        is_ours = (previous.value.node if previous else self._last_holder(shard)) == node
        # No other controller acts for it if this node held it last or it has no machines or claims.
        vacated = is_ours or not owner.shards.shard_in_use(shard)
        # The last-holder record is written even if it already names this node. Otherwise this
        # transaction, executed late, could find the holder key absent and the record unchanged
        # after the default holder had taken, used and lost the shard in between.
        changes: list[wire.Put | wire.Delete] = [
            wire.Put(key, HolderRecord(node, self.lease_id, vacated), self.lease_id),
            wire.Put(last_key, LastHolderRecord(node)),
        ]
        owner.commit(conditions, changes, done, urgent=True)

    def _last_holder(self, shard: str) -> str | None:
        """Return the node that held a shard last, if any.

        The holder key is deleted when the holder's lease ends. Without this record, a controller
        that restarted after that waited for one lease length, as another controller might be acting
        for its own shard, and the leases of all its workers expired meanwhile. It is written with
        the key, so a takeover in between makes a transaction that is conditional on it fail.
        """
        item = self.owner.mirror.items.get(LAST_HOLDER_PREFIX + shard)
        return item.value.node if item is not None and item.value is not None else None

    def _take_missing_shards(self, now: float) -> None:
        owner = self.owner
        node = owner.settings.node
        self._retake_own_shard()
        for name in owner.settings.nodes:
            key = HOLDER_PREFIX + name
            if key in owner.mirror.items:
                self.missing_since.pop(name, None)
                continue
            if name == node:
                continue
            is_unused = not owner.shards.shard_in_use(name)
            if is_unused and not owner.limits.has_share(name):
                continue
            since = self.missing_since.setdefault(
                name, now + owner.random.uniform(0, self.lease_s / 32)
            )
            # A default holder that is up takes its own shard: let it try first.
            delay_s = self.lease_s / 8 if MEMBER_PREFIX + name in owner.mirror.items else 0.0
            if is_unused:
                # The shard has no machines or claims, only a share of the limits. Wait a full lease
                # length for a controller that is still starting or restarting.
                delay_s = self.lease_s
            # A controller that already holds foreign shards waits for as long as others may take
            # to see and take the shard. Otherwise one of three survivors took both lost shards.
            delay_s += self._foreign_shard_count() * (self.lease_s / 16 + 2 * TICK_S)
            # Until its own promises end, this controller could not act for the shard. When several
            # controllers restarted together and the first one took it all the same, nobody could
            # act for it until then, not even its default holder.
            can_act = now >= self.own_promises_until or self._last_holder(name) == node or is_unused
            if can_act and now >= since + delay_s and now < self.may_act_until():
                self._take_shard(name)
        if PROVISIONER_KEY not in owner.mirror.items and self.lease_id is not None:
            since = self.missing_since.setdefault(
                PROVISIONER_KEY, now + owner.random.uniform(0, self.lease_s / 16)
            )
            if now >= since and PROVISIONER_KEY not in self.pending_keys:
                self.pending_keys.add(PROVISIONER_KEY)

                def done(result: Result) -> None:
                    self.pending_keys.discard(PROVISIONER_KEY)
                    self.missing_since[PROVISIONER_KEY] = owner.now + self.lease_s / 16

                put = wire.Put(PROVISIONER_KEY, HolderRecord(node, self.lease_id), self.lease_id)
                owner.commit([(PROVISIONER_KEY, 0)], [put], done, urgent=True)
        else:
            self.missing_since.pop(PROVISIONER_KEY, None)

    def _foreign_shard_count(self) -> int:
        """Count the foreign shards that this controller holds or is about to take."""
        node = self.owner.settings.node
        names = {name for name in self.owner.held_shards if name != node}
        taking = {
            key.removeprefix(HOLDER_PREFIX)
            for key in self.pending_keys
            if key.startswith(HOLDER_PREFIX)
        }
        return len(names | (taking - {node}))

    def update_held_shards(self) -> None:
        """Gain and lose shards according to their holder keys in the mirror."""
        owner = self.owner
        for name in owner.settings.nodes:
            item = owner.mirror.items.get(HOLDER_PREFIX + name)
            # A key bound to the lease of an earlier process of this node does not count.
            is_ours = (
                item is not None and item.value.lease == self.lease_id and self.lease_id is not None
            )
            held = owner.held_shards.get(name)
            if held is not None and (not is_ours or item is None or held.term != item.revision):
                owner.shards.lose_shard(name)
                held = None
            # The mirror must have been read up to the term. From that revision on, transactions of
            # earlier holders fail, because they are conditional on their own terms.
            if (
                is_ours
                and item is not None
                and held is None
                and owner.mirror.applied >= item.revision
                and (item.value.vacated or owner.now >= self.own_promises_until)
            ):
                owner.shards.gain_shard(Shard(name, item.revision, owner.now))
        role = owner.mirror.items.get(PROVISIONER_KEY)
        is_ours = (
            role is not None and role.value.lease == self.lease_id and self.lease_id is not None
        )
        self.provisioner_term = role.revision if is_ours and role is not None else 0

    # -- hand-back ------------------------------------------------------------------------------

    def _hand_back_shards(self, now: float) -> None:
        """Hand foreign shards back to their default holder once it is up.

        This starts a new term and stops no task. If the default holder ends meanwhile, a shard that
        is already being handed back is taken again under a new term.
        """
        owner = self.owner
        for name, shard in list(owner.held_shards.items()):
            if name == owner.settings.node:
                continue
            item = owner.mirror.items.get(MEMBER_PREFIX + name)
            if item is None or item.value is None:
                self.default_holder_up_since.pop(name, None)
                if not shard.yielding:
                    continue
            else:
                since = self.default_holder_up_since.setdefault(name, now)
                if now - since < self.lease_s / 8 and not shard.yielding:
                    continue
            key = HOLDER_PREFIX + name
            if key in self.pending_keys:
                continue
            # From here on this controller answers and sends nothing for the shard, whatever the
            # outcome of the transaction, because it may be executed long after it was sent.
            shard.yielding = True
            self.pending_keys.add(key)
            changes: list[wire.Put | wire.Delete] = []
            if item is not None and item.value is not None:
                lease = item.value.lease
                changes.append(wire.Put(key, HolderRecord(name, lease, True), lease))
                changes.append(wire.Put(LAST_HOLDER_PREFIX + name, LastHolderRecord(name)))
            else:
                assert self.lease_id is not None
                node, lease = owner.settings.node, self.lease_id
                changes.append(wire.Put(key, HolderRecord(node, lease, True), lease))

            def done(result: Result, key: str = key, name: str = name) -> None:
                self.pending_keys.discard(key)
                if result.outcome is Outcome.NO_LEASE:
                    self.default_holder_up_since.pop(name, None)
                owner.sync.request_sync()

            owner.commit([(key, shard.term)], changes, done, urgent=True)

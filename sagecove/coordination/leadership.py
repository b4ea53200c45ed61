"""This controller's lease, the shards it holds, takeover and hand-back.

A shard's holder is named by one key on the holder's lease; the key's revision is the term. A
holder acts only while its own conservative estimate says that its lease lives and its mirror is
no older than one lease length, so that whoever takes the shard after the lapse, and whoever
cancelled a job meanwhile, can count on it having stopped.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from sagecove.coordination.model import Shard
from sagecove.protocol import state as wire
from sagecove.protocol.peers import Promise
from sagecove.storage.records import (
    HOLDER,
    LAST,
    MEMBER,
    PROVISIONER,
    HolderRecord,
    LastRecord,
    MemberRecord,
)
from sagecove.storage.store import Outcome, Result, decode

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.leadership")


class Leadership:
    """Lease and terms."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.lease_s = owner.settings.lease_s
        self.lease_id: int | None = None
        self.lease_until = 0.0
        self.granting = False
        self.renewing = False
        self.renew_at = 0.0
        self.member_put = False
        self.told_limits: dict[str, tuple[int, int]] = {}
        # Keys with a takeover or hand-back under way.
        self.busy: set[str] = set()
        self.missing_since: dict[str, float] = {}
        self.provisioner_term = 0
        self.returned_at: dict[str, float] = {}
        # When a foreign shard's namesake was first seen healthy: it gets a moment to settle.
        self.namesake_since: dict[str, float] = {}
        # Promises of the other controllers, kept only while all of them stand.
        self.peer_promises: dict[str, float] = {}
        self.promises_until = 0.0
        # Our own promises: no shard taken by lapse is acted for before. A process that has just
        # started does not know what its predecessor promised.
        self.given_until = owner.now + self.lease_s

    # -- promises in an outage --------------------------------------------------------------------

    def promise(self, applied: int) -> Promise:
        """Answer the hint of a peer that has read up to the revision `applied`: what has been
        cancelled since, as far as users were told of it here, and a promise only while refused
        ourselves, so that a peer refused alone is replaced in time."""
        owner = self.owner
        cancels = owner.cancellations
        if not owner.mirror.loaded:
            return Promise()
        known = Promise(0.0, cancels.last, cancels.floor, cancels.since(applied))
        refused = (
            owner.sync.sync_failed_at > owner.sync.synced_at
            and owner.now - owner.sync.synced_at > 0.5
        )
        if not refused:
            return known
        self.given_until = max(self.given_until, owner.now + self.lease_s)
        return msgspec.structs.replace(known, for_s=self.lease_s)

    def promised(self, node: str, sent: float, promise: Promise) -> None:
        """A peer has answered a hint sent at `sent`. Promises extend authority that has not ended;
        they never bring it back: by then somebody may have taken over."""
        owner = self.owner
        # First what it names is stopped: then this controller acts for nothing that a user was told
        # to be cancelled before the promise was given.
        owner.cancellations.stop(promise.cancelled)
        # One of a build that names nothing.
        unnamed = promise.cancels if promise.floor is None else promise.floor
        if promise.for_s <= 0 or unnamed > owner.mirror.applied:
            self.peer_promises.pop(node, None)
            return
        # However much it promises: that a cancellation which it tells later is covered rests on
        # this controller's own length.
        length = min(promise.for_s, self.lease_s)
        self.peer_promises[node] = sent + length * (1 - owner.settings.drift)
        if all(peer.node in self.peer_promises for peer in owner.settings.peers) and self.may_act(
            owner.now
        ):
            self.promises_until = max(self.promises_until, min(self.peer_promises.values()))

    def acting_until(self) -> float:
        """The moment after which this controller must not act."""
        synced = self.owner.sync.synced_at + self.lease_s * (1 - self.owner.settings.drift)
        return max(min(self.lease_until, synced), self.promises_until)

    def may_act(self, now: float) -> bool:
        """May act for its shards."""
        return self.lease_id is not None and now < self.acting_until()

    # -- the lease ------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Keep the lease, and take what is missing."""
        if self.lease_id is None:
            if not self.granting and now >= self.renew_at:
                self.granting = True
                self.owner.store.grant(now, self.lease_s, self._granted(now))
            return
        if now >= self.renew_at and not self.renewing:
            self.renewing = True
            # While refused, a node retries fast: the first renewal after an outage counts.
            self.renew_at = now + self.lease_s / 8
            self.owner.store.renew(now, self.lease_id, self._renewed(now, self.lease_id))
        if self.owner.mirror.loaded and now < self.lease_until:
            self._take_missing(now)
            self._give_back(now)

    def _estimate(self, sent: float) -> float:
        return sent + self.lease_s * (1 - self.owner.settings.drift) - 0.05

    def _granted(self, sent: float) -> Callable[[int | None, bytes], None]:
        def done(status: int | None, body: bytes) -> None:
            self.granting = False
            answer = decode(body, wire.Granted) if status == 200 else None
            if answer is None:
                self.renew_at = self.owner.now + self.lease_s / 16
                return
            self.lease_id = answer.lease
            self.lease_until = self._estimate(sent)
            self.renew_at = sent + self.lease_s / 8
            self.member_put = False
            self._retake_own()

        return done

    def _renewed(self, sent: float, lease: int) -> Callable[[int | None, bytes], None]:
        def done(status: int | None, body: bytes) -> None:
            self.renewing = False
            if lease != self.lease_id:
                return
            if status == 200:
                self.lease_until = max(self.lease_until, self._estimate(sent))
            elif status == 404:
                log.info("lease lost lease=%d", lease)
                self.lease_id = None
                self.lease_until = 0.0
                self.promises_until = 0.0
                self.renew_at = self.owner.now
                self.provisioner_term = 0
                for name in list(self.owner.held_shards):
                    self.owner.shards.lose_shard(name)
            else:
                self.renew_at = min(self.renew_at, self.owner.now + self.lease_s / 16)

        return done

    # -- taking ---------------------------------------------------------------------------------

    def _retake_own(self) -> None:
        """After a start: the process that held this node's shard is dead, so take it at once."""
        owner = self.owner
        if not owner.mirror.loaded or self.lease_id is None:
            return
        node = owner.settings.node
        if (differing := owner.limits.split_proposer.differing_limits()) != self.told_limits:
            self.told_limits = differing
            self.member_put = False
        if not self.member_put:
            self.member_put = True
            changes: list[wire.Put | wire.Drop] = [
                wire.Put(
                    MEMBER + node, MemberRecord(self.lease_id, self.told_limits), self.lease_id
                )
            ]
            # An older one that is carried out late must not stand over a newer one: the others go
            # by the limits it tells.
            conditions = [(MEMBER + node, owner.mirror.stamp(MEMBER + node))]
            owner.commit(conditions, changes, self._member_done, urgent=True)
        item = owner.mirror.items.get(HOLDER + node)
        if node not in owner.held_shards and (
            item is None or (item.value.node == node and item.value.lease != self.lease_id)
        ):
            self._take_shard(node)

    def _member_done(self, result: Result) -> None:
        if result.outcome is not Outcome.DONE:
            self.member_put = False
            self.owner.sync.request_sync()

    def _take_shard(self, shard: str) -> None:
        key = HOLDER + shard
        if key in self.busy or self.lease_id is None:
            return
        self.busy.add(key)
        owner = self.owner

        def done(result: Result) -> None:
            self.busy.discard(key)
            owner.sync.request_sync()
            if result.outcome is not Outcome.DONE:
                self.missing_since[shard] = owner.now + owner.random.uniform(0, self.lease_s / 16)

        node = owner.settings.node
        last = LAST + shard
        conditions = [(key, owner.mirror.stamp(key)), (last, owner.mirror.stamp(last))]
        before = owner.mirror.items.get(key)
        mine = (before.value.node if before else self._last_holder(shard)) == node
        # Nobody else can be acting for it if this node was its last holder, or if there is nothing
        # to act for.
        vacated = mine or not owner.shards.shard_in_use(shard)
        # Written whoever it names: carried out late, the transaction found the key absent again and
        # the record as it was, after its namesake had taken the shard, used it and lost it.
        changes: list[wire.Put | wire.Drop] = [
            wire.Put(key, HolderRecord(node, self.lease_id, vacated), self.lease_id),
            wire.Put(last, LastRecord(node)),
        ]
        owner.commit(conditions, changes, done, urgent=True)

    def _last_holder(self, shard: str) -> str | None:
        """Who held a shard last. Its key ends with its holder's lease, and a controller that comes
        back after that once took its own shard for one that somebody may be acting for: it waited
        for one lease, and all its workers' leases ended meanwhile. This record stays; it is written
        with the key, so whoever takes the shard in between makes a transaction on it fail."""
        item = self.owner.mirror.items.get(LAST + shard)
        return item.value.node if item is not None and item.value is not None else None

    def _take_missing(self, now: float) -> None:
        owner = self.owner
        node = owner.settings.node
        self._retake_own()
        for name in owner.settings.nodes:
            key = HOLDER + name
            if key in owner.mirror.items:
                self.missing_since.pop(name, None)
                continue
            if name == node:
                continue
            unused = not owner.shards.shard_in_use(name)
            if unused and not owner.limits.has_share(name):
                continue
            since = self.missing_since.setdefault(
                name, now + owner.random.uniform(0, self.lease_s / 32)
            )
            # The namesake, if it is up, takes its own shard: leave it the first try.
            patience = self.lease_s / 8 if MEMBER + name in owner.mirror.items else 0.0
            if unused:
                # Only its part of the limits is wanted: a controller that has not come up yet, or
                # comes back, is waited for as long as one that is silent.
                patience = self.lease_s
            # Who has taken one already leaves the next to others: of five controllers two ended,
            # and one of the three that were left took both shards.
            patience += self._foreign() * self.lease_s / 16
            # Before its own promises are over it could not act for the shard: taken all the same,
            # by the first of several controllers that came back together, it was of no use to
            # anybody, its namesake included, until they were.
            able = now >= self.given_until or self._last_holder(name) == node or unused
            if able and now >= since + patience and now < self.acting_until():
                self._take_shard(name)
        if PROVISIONER not in owner.mirror.items and self.lease_id is not None:
            since = self.missing_since.setdefault(
                PROVISIONER, now + owner.random.uniform(0, self.lease_s / 16)
            )
            if now >= since and PROVISIONER not in self.busy:
                self.busy.add(PROVISIONER)

                def done(result: Result) -> None:
                    self.busy.discard(PROVISIONER)
                    self.missing_since[PROVISIONER] = owner.now + self.lease_s / 16

                put = wire.Put(PROVISIONER, HolderRecord(node, self.lease_id), self.lease_id)
                owner.commit([(PROVISIONER, 0)], [put], done, urgent=True)
        else:
            self.missing_since.pop(PROVISIONER, None)

    def _foreign(self) -> int:
        """Shards of others that are held here, or about to be."""
        node = self.owner.settings.node
        names = {name for name in self.owner.held_shards if name != node}
        taking = {key.removeprefix(HOLDER) for key in self.busy if key.startswith(HOLDER)}
        return len(names | (taking - {node}))

    def update_held_shards(self) -> None:
        """Gain and lose shards by what the mirror says of their holders."""
        owner = self.owner
        for name in owner.settings.nodes:
            item = owner.mirror.items.get(HOLDER + name)
            # A key under the lease of an earlier process of this node is not this one's.
            mine = (
                item is not None and item.value.lease == self.lease_id and self.lease_id is not None
            )
            held = owner.held_shards.get(name)
            if held is not None and (not mine or item is None or held.term != item.stamp):
                owner.shards.lose_shard(name)
                held = None
            # Records read for the shard must be no older than the term: earlier holders'
            # transactions are conditional on theirs and fail from then on.
            if (
                mine
                and item is not None
                and held is None
                and owner.mirror.applied >= item.stamp
                and (item.value.vacated or owner.now >= self.given_until)
            ):
                owner.shards.gain_shard(Shard(name, item.stamp, owner.now))
        role = owner.mirror.items.get(PROVISIONER)
        mine = role is not None and role.value.lease == self.lease_id and self.lease_id is not None
        self.provisioner_term = role.stamp if mine and role is not None else 0

    # -- handing back ---------------------------------------------------------------------------

    def _give_back(self, now: float) -> None:
        """Foreign shards return to their namesake once it is up: a new term, no task stopped."""
        owner = self.owner
        for name, shard in list(owner.held_shards.items()):
            if name == owner.settings.node:
                continue
            item = owner.mirror.items.get(MEMBER + name)
            if item is None or item.value is None:
                self.namesake_since.pop(name, None)
                if not shard.yielding:
                    continue
            else:
                since = self.namesake_since.setdefault(name, now)
                if now - since < self.lease_s / 8 and not shard.yielding:
                    continue
            key = HOLDER + name
            if key in self.busy:
                continue
            # From here on nothing is answered or commanded for the shard, whatever becomes of
            # the transaction: it may be executed long after it was sent.
            shard.yielding = True
            self.busy.add(key)
            changes: list[wire.Put | wire.Drop] = []
            if item is not None and item.value is not None:
                lease = item.value.lease
                changes.append(wire.Put(key, HolderRecord(name, lease, True), lease))
                changes.append(wire.Put(LAST + name, LastRecord(name)))
            else:
                assert self.lease_id is not None
                node, lease = owner.settings.node, self.lease_id
                changes.append(wire.Put(key, HolderRecord(node, lease, True), lease))

            def done(result: Result, key: str = key, name: str = name) -> None:
                self.busy.discard(key)
                if result.outcome is Outcome.NO_LEASE:
                    self.namesake_since.pop(name, None)
                owner.sync.request_sync()

            owner.commit([(key, shard.term)], changes, done, urgent=True)

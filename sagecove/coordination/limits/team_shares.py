"""Computes each shard's share of a team's limit from durable records alone.

A shard's share is its part of the limit split, plus what other shards have transferred to it, minus
what it has transferred to others. Each transfer record has one writer, the holder of the shard
under its term, and only grows within an epoch. A reader that lags behind therefore misses transfers
to its own shard but knows all of its own transfers. So the shares as their holders know them add up
to no more than the limit, whatever messages are late, lost or repeated.
"""

from __future__ import annotations

from sagecove.coordination.limits.records import (
    ZERO,
    LimitSplit,
    ResourceAmount,
    ShardTransfers,
    add,
    fits_within,
    maximum,
    minimum,
    subtract,
)


class TeamShares:
    """One team's limit split and transfer records, as this controller knows them."""

    def __init__(self) -> None:
        self.split: LimitSplit | None = None
        # The revision of the split.
        self.epoch = 0
        self.transfers: dict[str, ShardTransfers] = {}
        # Transfer records being written whose outcome is not known: the smaller share counts.
        self.pending: dict[str, ShardTransfers] = {}
        self._shares: dict[str, ResourceAmount] = {}
        self._fully_adopted: bool | None = None

    def clear_cache(self) -> None:
        """Discard derived values after a record was replaced."""
        self._shares.clear()
        self._fully_adopted = None

    @property
    def fully_adopted(self) -> bool:
        """Return whether all shards adopted the split, so that none uses more than its part."""
        if self._fully_adopted is None:
            split = self.split
            self._fully_adopted = split is not None and (
                not split.before
                or all(self._has_adopted(s) for s in {*split.shards, *split.earlier})
            )
        return self._fully_adopted

    def shards(self) -> list[str]:
        """Return the shards that have a part of the limit, or were given one."""
        split = self.split
        found = set(split.shards) if split is not None else set()
        return sorted(found.union(*(record.given for record in self.transfers.values())))

    def _has_adopted(self, shard: str) -> bool:
        record = self.transfers.get(shard)
        return record is not None and record.epoch == self.epoch

    def share(self, shard: str) -> ResourceAmount:
        """Return what the holder of a shard may let the team's tasks use there."""
        share = self._shares.get(shard)
        if share is None:
            share = self._share(shard, self.transfers.get(shard))
            if (record := self.pending.get(shard)) is not None:
                share = minimum(share, self._share(shard, record))
            self._shares[shard] = share
        return share

    def _share(self, shard: str, record: ShardTransfers | None) -> ResourceAmount:
        split = self.split
        if split is None:
            return ZERO
        part = split.shards.get(shard, ZERO)
        if self.fully_adopted:
            return maximum(ZERO, self._apply_transfers(shard, record, part, self.epoch))
        if record is not None and record.epoch == self.epoch:
            return minimum(part, record.hold or ZERO)
        # A share may grow only once no shard uses the previous split any more.
        return minimum(part, maximum(ZERO, self.previous_share(shard, record)))

    def previous_share(self, shard: str, record: ShardTransfers | None) -> ResourceAmount:
        """Return a shard's share under the previous split."""
        split = self.split
        assert split is not None
        return self._apply_transfers(shard, record, split.earlier.get(shard, ZERO), split.before)

    def _apply_transfers(
        self, shard: str, record: ShardTransfers | None, base: ResourceAmount, epoch: int
    ) -> ResourceAmount:
        share = base
        for other, theirs in self.transfers.items():
            if other != shard and theirs.epoch == epoch and shard in theirs.given:
                share = add(share, theirs.given[shard])
        if record is not None and record.epoch == epoch:
            for given in record.given.values():
                share = subtract(share, given)
        return share

    # -- records to write -------------------------------------------------------------------------

    def transfer_record(self, shard: str, amounts: dict[str, ResourceAmount]) -> ShardTransfers:
        """Return the record of a shard that transfers further amounts to others.

        All shards must have adopted the split.
        """
        record = self.transfers.get(shard)
        given = dict(record.given) if record is not None and record.epoch == self.epoch else {}
        for receiver, amount in amounts.items():
            given[receiver] = add(given.get(receiver, ZERO), amount)
        return ShardTransfers(self.epoch, given)

    def adoption_record(self, shard: str, used: ResourceAmount) -> ShardTransfers | None:
        """Return the record by which a shard adopts the split.

        None if it has adopted the split already, or while it uses more than its part.
        """
        split = self.split
        if split is None or not split.before or self._has_adopted(shard):
            return None
        part = split.shards.get(shard, ZERO)
        if not fits_within(used, part):
            return None
        # What is used is within the previous share, or the limit was exceeded already.
        return ShardTransfers(self.epoch, {}, self.share(shard))

    def next_split(
        self, limit: ResourceAmount, claimed: dict[str, ResourceAmount], shards: list[str]
    ) -> LimitSplit:
        """Return the next split of a limit; all shards must have adopted the current one.

        Each shard gets its claims, scaled down if they exceed the limit, and an equal part of what
        is left.
        """
        parts: dict[str, list[int]] = {shard: [0, 0] for shard in shards}
        for resource in (0, 1):
            have = {shard: claimed.get(shard, ZERO)[resource] for shard in shards}
            total = sum(have.values())
            for shard in shards:
                if total <= limit[resource]:
                    parts[shard][resource] = have[shard] + (limit[resource] - total) // len(shards)
                else:
                    parts[shard][resource] = have[shard] * limit[resource] // total
            # No millionth may be lost to rounding: tasks that fill a limit exactly need it.
            parts[shards[0]][resource] += limit[resource] - sum(
                part[resource] for part in parts.values()
            )
        split = {shard: (amount[0], amount[1]) for shard, amount in parts.items()}
        previous = self.split
        return LimitSplit(
            limit, split, self.epoch if previous else 0, previous.shards if previous else {}
        )

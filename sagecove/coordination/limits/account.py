"""A team's limit as split among shards: pure arithmetic over what is durable.

A shard's share is its part of the settlement, and what others have given it, less what it has
given. Each row has one writer, its shard's holder under its term, and only grows within an epoch: a
reader that is behind knows of too few gifts to itself, and its own it knows all. So the shares as
the holders know them add up to no more than the limit, whatever is late, lost or repeated.
"""

from __future__ import annotations

from sagecove.coordination.limits.records import (
    ZERO,
    LimitSplit,
    ResourceAmount,
    ShardTransfers,
    least,
    minus,
    most,
    plus,
    within,
)


class Account:
    """One team's settlement and rows, as one controller knows them."""

    def __init__(self) -> None:
        self.settlement: LimitSplit | None = None
        # The settlement's revision.
        self.epoch = 0
        self.rows: dict[str, ShardTransfers] = {}
        # Rows under way whose outcome is not known: the smaller share counts.
        self.pending: dict[str, ShardTransfers] = {}
        self._shares: dict[str, ResourceAmount] = {}
        self._settled: bool | None = None

    def changed(self) -> None:
        """A record was replaced: what was derived is to be found anew."""
        self._shares.clear()
        self._settled = None

    @property
    def settled(self) -> bool:
        """All shards go by the settlement: none may be using more than its part of it."""
        if self._settled is None:
            q = self.settlement
            self._settled = q is not None and (
                not q.before or all(self._goes_by(s) for s in {*q.shards, *q.earlier})
            )
        return self._settled

    def shards(self) -> list[str]:
        """Shards that have, or were given, a part of the limit."""
        q = self.settlement
        found = set(q.shards) if q is not None else set()
        return sorted(found.union(*(row.given for row in self.rows.values())))

    def _goes_by(self, shard: str) -> bool:
        row = self.rows.get(shard)
        return row is not None and row.epoch == self.epoch

    def share(self, shard: str) -> ResourceAmount:
        """What a shard's holder may let the team's tasks use there."""
        found = self._shares.get(shard)
        if found is None:
            found = self._share(shard, self.rows.get(shard))
            if (row := self.pending.get(shard)) is not None:
                found = least(found, self._share(shard, row))
            self._shares[shard] = found
        return found

    def _share(self, shard: str, row: ShardTransfers | None) -> ResourceAmount:
        q = self.settlement
        if q is None:
            return ZERO
        mine = q.shards.get(shard, ZERO)
        if self.settled:
            return most(ZERO, self._sum(shard, row, mine, self.epoch))
        if row is not None and row.epoch == self.epoch:
            return least(mine, row.hold or ZERO)
        # Growth only follows once nobody goes by the split before any more.
        return least(mine, most(ZERO, self.earlier(shard, row)))

    def earlier(self, shard: str, row: ShardTransfers | None) -> ResourceAmount:
        """A shard's share by the settlement before."""
        q = self.settlement
        assert q is not None
        return self._sum(shard, row, q.earlier.get(shard, ZERO), q.before)

    def _sum(
        self, shard: str, row: ShardTransfers | None, base: ResourceAmount, epoch: int
    ) -> ResourceAmount:
        share = base
        for other, theirs in self.rows.items():
            if other != shard and theirs.epoch == epoch and shard in theirs.given:
                share = plus(share, theirs.given[shard])
        if row is not None and row.epoch == epoch:
            for given in row.given.values():
                share = minus(share, given)
        return share

    # -- what may be written ----------------------------------------------------------------------

    def giving(self, shard: str, gifts: dict[str, ResourceAmount]) -> ShardTransfers:
        """The row of a shard that gives so much more to others. The account is settled."""
        row = self.rows.get(shard)
        given = dict(row.given) if row is not None and row.epoch == self.epoch else {}
        for to, amount in gifts.items():
            given[to] = plus(given.get(to, ZERO), amount)
        return ShardTransfers(self.epoch, given)

    def accepting(self, shard: str, used: ResourceAmount) -> ShardTransfers | None:
        """The row by which a shard goes over to the settlement; None while it uses more than its
        part, or if it has gone over."""
        q = self.settlement
        if q is None or not q.before or self._goes_by(shard):
            return None
        mine = q.shards.get(shard, ZERO)
        if not within(used, mine):
            return None
        # What is used is within what it had before, or the limit was exceeded already.
        return ShardTransfers(self.epoch, {}, self.share(shard))

    def resettled(
        self, limit: ResourceAmount, claimed: dict[str, ResourceAmount], shards: list[str]
    ) -> LimitSplit:
        """The next settlement: each shard its claims, scaled down if the limit is less, and an
        equal part of what is left. Only once the one before is settled."""
        parts: dict[str, list[int]] = {shard: [0, 0] for shard in shards}
        for n in (0, 1):
            have = {shard: claimed.get(shard, ZERO)[n] for shard in shards}
            total = sum(have.values())
            for shard in shards:
                if total <= limit[n]:
                    parts[shard][n] = have[shard] + (limit[n] - total) // len(shards)
                else:
                    parts[shard][n] = have[shard] * limit[n] // total
            # Not a millionth is lost: tasks that fill a limit exactly need it.
            parts[shards[0]][n] += limit[n] - sum(part[n] for part in parts.values())
        split = {shard: (amount[0], amount[1]) for shard, amount in parts.items()}
        before = self.settlement
        return LimitSplit(
            limit, split, self.epoch if before else 0, before.shards if before else {}
        )

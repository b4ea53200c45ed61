"""Writes the transfer records of shards held here, under the shard's term.

The holder applies a transfer from the moment it decides to write the record.
"""

from __future__ import annotations

from collections.abc import Callable

from sagecove.coordination.limits.records import ShardTransfers, transfers_key
from sagecove.coordination.limits.team_shares import TeamShares
from sagecove.coordination.model import Shard
from sagecove.protocol import state as state_protocol
from sagecove.storage.mirror import Mirror
from sagecove.storage.records import HOLDER_PREFIX
from sagecove.storage.store import Outcome, Result

Commit = Callable[
    [
        list[tuple[str, int]],
        "list[state_protocol.Put | state_protocol.Delete]",
        Callable[[Result], None],
    ],
    None,
]


class TransferWriter:
    """Writes transfer records and repeats writes whose outcome is unknown."""

    def __init__(
        self,
        team_shares: dict[str, TeamShares],
        mirror: Mirror,
        commit: Commit,
        request_sync: Callable[[], None],
    ) -> None:
        self.team_shares = team_shares
        self.mirror = mirror
        self.commit = commit
        # Called when the mirror turns out to be behind and must be read again.
        self.request_sync = request_sync
        # Writes whose outcome is unknown, by team and shard, to be repeated.
        self.uncertain_writes: dict[tuple[str, str], Callable[[], None]] = {}

    def write_record(self, team: str, shard: Shard, record: ShardTransfers) -> None:
        """Write a shard's transfer record; it limits the share until the outcome is known."""
        shares = self.team_shares[team]
        key = transfers_key(team, shard.name)
        conditions = [(key, self.mirror.revision_of(key)), (HOLDER_PREFIX + shard.name, shard.term)]
        shares.pending[shard.name] = record
        shares.clear_cache()
        uncertain = False

        def write() -> None:
            if shares.pending.get(shard.name) is record:
                self.commit(conditions, [state_protocol.Put(key, record)], done)

        def done(result: Result) -> None:
            nonlocal uncertain
            if shares.pending.get(shard.name) is not record:
                return
            if result.outcome is Outcome.CONFLICT:
                # The record has changed, or the term is over; the mirror will show which. Until
                # then the smaller share counts: an earlier copy of this write may be what changed
                # the record.
                self.request_sync()
            elif result.outcome is Outcome.UNKNOWN or uncertain:
                # The write may be executed late: it counts until a repetition has an outcome.
                uncertain = True
                self.uncertain_writes[team, shard.name] = write
            else:
                shares.pending.pop(shard.name, None)
                shares.clear_cache()

        write()

    def record_changed(self, team: str, shard: str) -> None:
        """Drop the pending write of a record that has changed: its outcome is decided."""
        shares = self.team_shares[team]
        shares.pending.pop(shard, None)
        self.uncertain_writes.pop((team, shard), None)
        shares.clear_cache()

    def shard_lost(self, shard: str) -> None:
        """Drop pending writes of a shard that is no longer held here.

        What was written under its term is done, or can no longer be executed.
        """
        for team, shares in self.team_shares.items():
            if shard in shares.pending:
                self.record_changed(team, shard)

    def repeat_uncertain(self) -> None:
        """Repeat the writes whose outcome is unknown."""
        writes, self.uncertain_writes = self.uncertain_writes, {}
        for write in writes.values():
            write()

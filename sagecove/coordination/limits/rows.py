"""The rows of shards held here: written under its term, and obeyed from the decision on."""

from __future__ import annotations

from collections.abc import Callable

from sagecove.coordination.limits.account import Account
from sagecove.coordination.limits.records import ShardTransfers, row_key
from sagecove.coordination.model import Shard
from sagecove.protocol import state as wire
from sagecove.storage.mirror import Mirror
from sagecove.storage.records import HOLDER
from sagecove.storage.store import Outcome, Result

Commit = Callable[
    [list[tuple[str, int]], "list[wire.Put | wire.Drop]", Callable[[Result], None]], None
]


class Rows:
    """Writes rows."""

    def __init__(
        self,
        accounts: dict[str, Account],
        mirror: Mirror,
        commit: Commit,
        behind: Callable[[], None],
    ) -> None:
        self.accounts = accounts
        self.mirror = mirror
        self.commit = commit
        # The mirror is seen to be behind: it is to be read anew.
        self.behind = behind
        # Rows whose outcome is in doubt, to be written once more.
        self.doubts: dict[tuple[str, str], Callable[[], None]] = {}

    def put(self, team: str, shard: Shard, row: ShardTransfers) -> None:
        """Write a shard's row, and be bound by it until the outcome is known."""
        account = self.accounts[team]
        key = row_key(team, shard.name)
        conditions = [(key, self.mirror.stamp(key)), (HOLDER + shard.name, shard.term)]
        account.pending[shard.name] = row
        account.changed()
        doubtful = False

        def write() -> None:
            if account.pending.get(shard.name) is row:
                self.commit(conditions, [wire.Put(key, row)], done)

        def done(result: Result) -> None:
            nonlocal doubtful
            if account.pending.get(shard.name) is not row:
                return
            if result.outcome is Outcome.CONFLICT:
                # The row is another by now, or the term is over: either will be seen. Until then
                # the smaller share holds: an earlier copy may be what changed the row.
                self.behind()
            elif result.outcome is Outcome.UNKNOWN or doubtful:
                # It may be executed late: bound by it until a repetition has settled it.
                doubtful = True
                self.doubts[team, shard.name] = write
            else:
                account.pending.pop(shard.name, None)
                account.changed()

        write()

    def changed(self, team: str, shard: str) -> None:
        """A row is another: whatever was under way is settled."""
        account = self.accounts[team]
        account.pending.pop(shard, None)
        self.doubts.pop((team, shard), None)
        account.changed()

    def lost(self, shard: str) -> None:
        """A shard is held here no longer: what was written under its term is done, or can't be."""
        for team, account in self.accounts.items():
            if shard in account.pending:
                self.changed(team, shard)

    def repeat(self) -> None:
        """Write once more what is in doubt."""
        doubts, self.doubts = self.doubts, {}
        for write in doubts.values():
            write()

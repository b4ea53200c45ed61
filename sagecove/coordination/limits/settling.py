"""Settlements: how a limit is split anew when the settings have changed.

A lower limit is agreed on at once by the first controller that has it in its settings, a higher one
when all that are up have. Then each shard goes over to the new split, first stopping what it uses
beyond its part; nothing grows until all have. docs/design-limits.md, "Changed settings".
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random

from sagecove.config import Settings
from sagecove.coordination.limits.account import Account
from sagecove.coordination.limits.claim_totals import ClaimTotals
from sagecove.coordination.limits.records import (
    LIMIT_SPLIT_PREFIX,
    LimitSplit,
    ResourceAmount,
    least,
)
from sagecove.coordination.limits.rows import Commit, Rows
from sagecove.coordination.model import Shard, to_millionths
from sagecove.protocol import state as wire
from sagecove.storage.mirror import Mirror
from sagecove.storage.records import HOLDER, MEMBER
from sagecove.storage.store import Outcome, Result

log = logging.getLogger("sagecove.limits")

# An upper bound of what a team uses on a shard's machines.
Used = Callable[[str, str], ResourceAmount]


class SplitProposer:
    """Proposes settlements, and says by what is gone."""

    def __init__(
        self,
        settings: Settings,
        accounts: dict[str, Account],
        standing: ClaimTotals,
        mirror: Mirror,
        rows: Rows,
        commit: Commit,
        random: Random,
    ) -> None:
        self.settings = settings
        self.accounts = accounts
        self.standing = standing
        self.mirror = mirror
        self.rows = rows
        self.commit = commit
        self.random = random
        self.poll_s = settings.poll_s
        self.configured = {
            team.name: (to_millionths(team.cpus_max), to_millionths(team.gpus_max))
            for team in settings.params.teams
        }
        # Teams to be looked at: a settlement is under way or missing.
        self.open: set[str] = set(accounts)
        # When a settlement may be proposed next, and that one is.
        self.propose_at: float | None = None
        self.proposing = False

    def differing_limits(self) -> dict[str, ResourceAmount]:
        """Teams whose limit by these settings is not what is agreed, to be told in the member's
        record."""
        return {
            team: limit
            for team, limit in self.configured.items()
            if (q := self.accounts[team].settlement) is not None and q.limit != limit
        }

    def run(self, now: float, acting: list[Shard], used: Used) -> None:
        """See that limits are split, that the splits are the settings', and are gone by."""
        new: dict[str, LimitSplit] = {}
        for team in sorted(self.open):
            account = self.accounts[team]
            for shard in acting:
                if shard.name not in account.pending:
                    row = account.accepting(shard.name, used(shard.name, team))
                    if row is not None:
                        self.rows.put(team, shard, row)
            q = account.settlement
            if q is not None and not account.settled:
                continue
            target = self._target(team)
            if q is None or q.limit != target:
                claimed = self.standing.claimed.get(team, {})
                new[team] = account.resettled(target, claimed, sorted(self.settings.nodes))
            elif q.limit == self.configured[team]:
                self.open.discard(team)
        if not new:
            self.propose_at = None
        elif acting and not self.proposing:
            if self.propose_at is None:
                # One proposes; the others after it, or all but one would in vain.
                up = sorted(n for n in self.settings.nodes if MEMBER + n in self.mirror.items)
                place = up.index(self.settings.node) if self.settings.node in up else len(up)
                self.propose_at = now + place * self.poll_s / 2
            if now >= self.propose_at:
                some = dict(list(new.items())[: self.settings.params.state.txn_ops])
                self._propose(now, acting[0], some)

    def _propose(self, now: float, shard: Shard, new: dict[str, LimitSplit]) -> None:
        self.proposing = True

        def done(result: Result) -> None:
            self.proposing = False
            if result.outcome is not Outcome.DONE:
                self.propose_at = now + self.random.uniform(0.5, 1.0) * self.poll_s
                self.rows.behind()

        conditions = [(HOLDER + shard.name, shard.term)]
        changes: list[wire.Put | wire.Drop] = []
        for team, settlement in new.items():
            key = LIMIT_SPLIT_PREFIX + team
            conditions.append((key, self.mirror.stamp(key)))
            changes.append(wire.Put(key, settlement))
            log.info("settlement team=%s limit=%s", team, settlement.limit)
        self.commit(conditions, changes, done)

    def _target(self, team: str) -> ResourceAmount:
        """The limit that all who are up know of: lowered at once, raised when each of them has the
        larger one in its settings."""
        target = self.configured[team]
        q = self.accounts[team].settlement
        if q is None:
            return target
        for node in self.settings.nodes[1:]:
            item = self.mirror.items.get(MEMBER + node)
            if item is not None and item.value is not None:
                # Who tells nothing of a team goes by what is agreed.
                target = least(target, item.value.limits.get(team, q.limit))
        return target

"""Proposes a new split of a team's limit when the settings have changed.

A lower limit is agreed on as soon as the first controller has it in its settings, a higher one when
all running controllers have it. Each shard then adopts the new split, after stopping what it uses
beyond its part; no share grows until all shards have adopted it. See docs/design-limits.md,
"Changed settings".
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random

from sagecove.config import Settings
from sagecove.coordination.limits.claim_totals import ClaimTotals
from sagecove.coordination.limits.records import (
    LIMIT_SPLIT_PREFIX,
    LimitSplit,
    ResourceAmount,
    minimum,
)
from sagecove.coordination.limits.team_shares import TeamShares
from sagecove.coordination.limits.transfer_writer import Commit, TransferWriter
from sagecove.coordination.model import Shard, to_millionths
from sagecove.protocol import state as state_protocol
from sagecove.storage.mirror import Mirror
from sagecove.storage.records import HOLDER_PREFIX, MEMBER_PREFIX
from sagecove.storage.store import Outcome, Result

log = logging.getLogger("sagecove.limits")

# Returns an upper bound of what a team uses on a shard's machines.
UsageBound = Callable[[str, str], ResourceAmount]


class SplitProposer:
    """Proposes limit splits and lets the shards held here adopt them."""

    def __init__(
        self,
        settings: Settings,
        team_shares: dict[str, TeamShares],
        claim_totals: ClaimTotals,
        mirror: Mirror,
        transfer_writer: TransferWriter,
        commit: Commit,
        random: Random,
    ) -> None:
        self.settings = settings
        self.team_shares = team_shares
        self.claim_totals = claim_totals
        self.mirror = mirror
        self.transfer_writer = transfer_writer
        self.commit = commit
        self.random = random
        self.poll_s = settings.poll_interval_s
        self.configured = {
            team.name: (to_millionths(team.cpus_max), to_millionths(team.gpus_max))
            for team in settings.params.teams
        }
        # Teams whose split is missing, not yet adopted or different from the settings.
        self.open_teams: set[str] = set(team_shares)
        # The earliest time of the next proposal, and whether one is being written.
        self.propose_at: float | None = None
        self.proposing = False

    def differing_limits(self) -> dict[str, ResourceAmount]:
        """Return the configured limits that differ from the agreed ones, for the member record."""
        return {
            team: limit
            for team, limit in self.configured.items()
            if (split := self.team_shares[team].split) is not None and split.limit != limit
        }

    def run(self, now: float, active_shards: list[Shard], usage_bound: UsageBound) -> None:
        """Adopt new splits for the shards held here, and propose those that the settings need."""
        new_splits: dict[str, LimitSplit] = {}
        for team in sorted(self.open_teams):
            shares = self.team_shares[team]
            for shard in active_shards:
                if shard.name not in shares.pending:
                    record = shares.adoption_record(shard.name, usage_bound(shard.name, team))
                    if record is not None:
                        self.transfer_writer.write_record(team, shard, record)
            split = shares.split
            if split is not None and not shares.fully_adopted:
                continue
            target = self._target_limit(team)
            if split is None or split.limit != target:
                claimed = self.claim_totals.claimed.get(team, {})
                new_splits[team] = shares.next_split(target, claimed, sorted(self.settings.nodes))
            elif split.limit == self.configured[team]:
                self.open_teams.discard(team)
        if not new_splits:
            self.propose_at = None
        elif active_shards and not self.proposing:
            if self.propose_at is None:
                # Controllers propose one after the other: of simultaneous proposals all but one
                # would fail.
                running = sorted(
                    n for n in self.settings.nodes if MEMBER_PREFIX + n in self.mirror.items
                )
                position = (
                    running.index(self.settings.node)
                    if self.settings.node in running
                    else len(running)
                )
                self.propose_at = now + position * self.poll_s / 2
            if now >= self.propose_at:
                batch = dict(list(new_splits.items())[: self.settings.params.state.txn_ops])
                self._propose(now, active_shards[0], batch)

    def _propose(self, now: float, shard: Shard, new_splits: dict[str, LimitSplit]) -> None:
        self.proposing = True

        def done(result: Result) -> None:
            self.proposing = False
            if result.outcome is not Outcome.DONE:
                self.propose_at = now + self.random.uniform(0.5, 1.0) * self.poll_s
                self.transfer_writer.request_sync()

        conditions = [(HOLDER_PREFIX + shard.name, shard.term)]
        changes: list[state_protocol.Put | state_protocol.Delete] = []
        for team, split in new_splits.items():
            key = LIMIT_SPLIT_PREFIX + team
            conditions.append((key, self.mirror.revision_of(key)))
            changes.append(state_protocol.Put(key, split))
            log.info("settlement team=%s limit=%s", team, split.limit)
        self.commit(conditions, changes, done)

    def _target_limit(self, team: str) -> ResourceAmount:
        """Return the smallest limit that any running controller has in its settings.

        A limit is thus lowered at once, and raised when each controller has the larger one.
        """
        target = self.configured[team]
        split = self.team_shares[team].split
        if split is None:
            return target
        for node in self.settings.nodes[1:]:
            item = self.mirror.items.get(MEMBER_PREFIX + node)
            if item is not None and item.value is not None:
                # A member record lists only limits that differ from the agreed ones.
                target = minimum(target, item.value.limits.get(team, split.limit))
        return target

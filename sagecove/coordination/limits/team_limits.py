"""The part of the owner that keeps teams' limits: shares, wants, gifts, changed settings."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random
from typing import Protocol

from sagecove.config import UNLIMITED, Settings, Team
from sagecove.coordination.limits.account import Account
from sagecove.coordination.limits.claim_totals import ClaimTotals
from sagecove.coordination.limits.records import (
    LIMIT_SPLIT_PREFIX,
    TRANSFERS_PREFIX,
    ZERO,
    ResourceAmount,
    least,
    minus,
    most,
    plus,
    within,
)
from sagecove.coordination.limits.rows import Commit, Rows
from sagecove.coordination.limits.settling import SplitProposer
from sagecove.coordination.limits.transfers import plan
from sagecove.coordination.limits.wants import TOLD_POLLS, ShareRequests
from sagecove.coordination.model import MILLIONTHS_PER_UNIT, JobRun, Shard, to_millionths
from sagecove.protocol.peers import CompletedClaims, ShareRequest
from sagecove.protocol.users import Job
from sagecove.storage.mirror import Event, Mirror
from sagecove.storage.records import MEMBER

log = logging.getLogger("sagecove.limits")

Pair = tuple[float, float]

# A limit of which more than this share is not claimed is far.
FAR = 0.25
# What stands for no limit.
NONE = to_millionths(UNLIMITED)
# So much of a limit may have come free without being known of here.
LAG = 1 / 16


class Books(Protocol):
    """What tasks and claims take in a shard held here (CPUs, GPUs in millionths)."""

    def used_parts(self, shard: str, team: str) -> ResourceAmount:
        """An upper bound of what a team's tasks take on the shard's machines."""

    def known_parts(self, shard: str, team: str) -> ResourceAmount:
        """The same of machines whose tasks are known."""

    def claimed_parts(self, shard: str, team: str) -> ResourceAmount:
        """What the shard's claims of a team will take."""


class TeamLimits:
    """Shares of teams' limits, for the shards held here."""

    def __init__(
        self,
        settings: Settings,
        held: dict[str, Shard],
        books: Books,
        claim_totals: ClaimTotals,
        mirror: Mirror,
        commit: Commit,
        behind: Callable[[], None],
        random: Random,
    ) -> None:
        self.nodes = settings.nodes
        # Shards held here.
        self.held = held
        # By peer, what it has said of completed claims by team, and when.
        self.told_ended: dict[str, tuple[dict[str, list[tuple[str, ResourceAmount]]], float]] = {}
        self.now = 0.0
        self.books = books
        self.standing = claim_totals
        self.teams: dict[str, Team] = {t.name: t for t in settings.params.teams}
        self.accounts: dict[str, Account] = {name: Account() for name in self.teams}
        self.rows = Rows(self.accounts, mirror, commit, behind)
        self.split_proposer = SplitProposer(
            settings, self.accounts, claim_totals, mirror, self.rows, commit, random
        )
        self.share_requests = ShareRequests(
            self.split_proposer.poll_s,
            lambda: [node for node in settings.nodes[1:] if MEMBER + node in mirror.items],
        )

    # -- answers ----------------------------------------------------------------------------------

    def limit(self, team: str) -> ResourceAmount:
        """What a team may use by this controller's settings and by what has been agreed: the
        smaller."""
        limit = self.split_proposer.configured[team]
        q = self.accounts[team].settlement
        return least(limit, q.limit) if q is not None else limit

    def share(self, shard: str, team: str) -> ResourceAmount:
        """What a team's tasks may use on a shard's machines."""
        return self.accounts[team].share(shard)

    def committed(self, shard: str, team: str) -> ResourceAmount:
        """What all of a shard's claims of a team will take, or its tasks take if that is more."""
        return most(self.books.claimed_parts(shard, team), self.books.used_parts(shard, team))

    def startable(self, shard: str, spec: Job, wanted: int) -> int:
        """How many more tasks of this kind a shard may start within its share."""
        if self.frozen(spec.team):
            return 0
        used = self.books.used_parts(shard, spec.team)
        return _count(spec, minus(self.share(shard, spec.team), used), wanted)

    def claimable(self, shard: str, spec: Job, wanted: int) -> int:
        """How many more tasks a shard may claim within its share."""
        if self.frozen(spec.team):
            return 0
        have = self.committed(shard, spec.team)
        return _count(spec, minus(self.share(shard, spec.team), have), wanted)

    def claims_within_share(self, shard: str, team: str) -> bool:
        """A shard's claims, those under way included, are within its share."""
        return not self.frozen(team) and within(
            self.books.claimed_parts(shard, team), self.share(shard, team)
        )

    def frozen(self, team: str) -> bool:
        """Nothing of a team starts: its limit is not split yet, or the split is of more than these
        settings allow, and is about to be lowered; or they know nothing of the team: others were
        started with later ones, and their jobs' records once ended controllers that were not."""
        account = self.accounts.get(team)
        q = account.settlement if account is not None else None
        return q is None or not within(q.limit, self.split_proposer.configured[team])

    def claims(self, team: str) -> dict[str, ResourceAmount]:
        """What a team claims, by shard: as the records have it, less what holders have said, or
        know here, to have completed since."""
        found = dict(self.standing.claimed.get(team, {}))
        for told, at in self.told_ended.values():
            if self.now - at > TOLD_POLLS * self.share_requests.poll_s:
                continue
            for shard, amount in told.get(team, ()):
                if shard in found and shard not in self.held:
                    found[shard] = most(ZERO, minus(found[shard], amount))
        for shard in self.held:
            found[shard] = self.books.claimed_parts(shard, team)
        return found

    def unrecorded_completed_claims(self) -> list[CompletedClaims]:
        """Of teams near their limits: claims of shards held here that have completed, while the
        records do not say so yet. A holder writes down completed tasks seconds later."""
        out = []
        for team in self.teams:
            total, limit = self.standing.total(team), self.limit(team)
            if total[0] < (1 - FAR) * limit[0] and total[1] < (1 - FAR) * limit[1]:
                continue
            table = self.standing.claimed.get(team, {})
            for shard in self.held:
                gone = minus(table.get(shard, ZERO), self.books.claimed_parts(shard, team))
                if gone[0] > 0 or gone[1] > 0:
                    out.append(CompletedClaims(team, shard, most(ZERO, gone)))
        return out

    def unclaimed(self, team: str) -> Pair:
        """What of a team's limit nobody claims, anywhere (CPUs, GPUs)."""
        if team not in self.teams:
            return 0.0, 0.0
        rest = self.limit(team)
        for amount in self.claims(team).values():
            rest = minus(rest, amount)
        return rest[0] / MILLIONTHS_PER_UNIT, rest[1] / MILLIONTHS_PER_UNIT

    def claimable_anywhere(self, spec: Job, wanted: int) -> int:
        """How many more tasks of this kind a team's limit has room for, wherever that is."""
        if spec.team not in self.teams:
            return 0
        left, limit = self.unclaimed(spec.team), self.limit(spec.team)
        # What has just completed elsewhere is not known here yet.
        room = [round(left[n] * MILLIONTHS_PER_UNIT) + int(limit[n] * LAG) for n in (0, 1)]
        return _count(spec, (room[0], room[1]), wanted)

    def has_share(self, shard: str) -> bool:
        """A part of some team's limit is a shard's, and nobody else's while it has no holder."""
        return any(account.share(shard) != ZERO for account in self.accounts.values())

    def excess_use(self, shard: str) -> dict[str, Pair]:
        """By team, what its tasks use in a shard beyond its part of a limit that was lowered."""
        out = {}
        for team in self.split_proposer.open:
            account = self.accounts[team]
            if account.settlement is not None and not account.settled:
                over = minus(self.books.known_parts(shard, team), account.share(shard))
                if over[0] > 0 or over[1] > 0:
                    out[team] = over[0] / MILLIONTHS_PER_UNIT, over[1] / MILLIONTHS_PER_UNIT
        return out

    # -- wants ------------------------------------------------------------------------------------

    def request_share(self, now: float, shard: str, job: JobRun, more: int) -> None:
        """A shard could use more of a team's limit, for so many more tasks of a job than it has
        claimed. What it wants is told to those who have it."""
        spec = job.spec
        team = spec.team
        if team not in self.teams:
            return
        need = more * to_millionths(spec.cpus), more * to_millionths(spec.gpus)
        target = plus(self.committed(shard, team), need)
        limit, total = self.limit(team), self.standing.total(team)
        step = [0, 0]
        for n in (0, 1):
            rest = limit[n] - total[n] - need[n]
            if need[n] and limit[n] < NONE and rest > limit[n] * FAR:
                # Far from the limit in coarse steps, to save writes. Not where there is none: steps
                # of what has no end would be given and wanted back for nothing.
                step[n] = rest // (2 * len(self.nodes))
        target = plus(target, (step[0], step[1]))
        self.share_requests.feel(now, team, shard, job, target, self.share(shard, team))

    def receive_completed_claims(self, now: float, node: str, ended: list[CompletedClaims]) -> None:
        """All that a peer says of completed claims."""
        by_team: dict[str, list[tuple[str, ResourceAmount]]] = {}
        for one in ended:
            by_team.setdefault(one.team, []).append((one.shard, one.amount))
        self.told_ended[node] = by_team, now

    def receive_requests(self, now: float, node: str, wants: list[ShareRequest]) -> None:
        """All that a peer wants."""
        self.share_requests.told(now, node, [want for want in wants if want.team in self.teams])

    # -- what follows -----------------------------------------------------------------------------

    def apply_event(self, event: Event, now: float) -> None:
        """A settlement or a row has changed."""
        key, value = event.key, event.value
        if key.startswith(LIMIT_SPLIT_PREFIX):
            team = key[len(LIMIT_SPLIT_PREFIX) :]
            if (account := self.accounts.get(team)) is None:
                return
            account.settlement = value
            account.epoch = event.stamp if value is not None else 0
            account.changed()
        else:
            team, _, shard = key[len(TRANSFERS_PREFIX) :].rpartition("/")
            if (account := self.accounts.get(team)) is None:
                return
            account.rows.pop(shard, None)
            if value is not None:
                account.rows[shard] = value
            wanted = value.want if value is not None else None
            if wanted is not None and wanted.shard not in self.held:
                self.share_requests.told(now, key, [wanted])
            else:
                self.share_requests.theirs.pop(key, None)
            self.rows.changed(team, shard)
        self.split_proposer.open.add(team)

    def shard_lost(self, shard: str) -> None:
        """A shard is held here no longer."""
        self.rows.lost(shard)
        self.share_requests.lost(shard)

    def run(self, now: float, acting: list[Shard]) -> None:
        """After a pass: settle what changed, give what others need, let go of old wants."""
        self.now = now
        self.share_requests.forget_old(now)
        self.rows.repeat()
        if self.split_proposer.open:
            self.split_proposer.run(now, acting, self.books.used_parts)
        for team, wants in self.share_requests.by_team().items():
            self._give(team, acting, wants)
        shards = {shard.name: shard for shard in acting}
        for want in self.share_requests.unheard(now):
            account = self.accounts[want.team]
            shard = shards.get(want.shard)
            lacks = not within(want.target, account.share(want.shard))
            free = account.settled and want.shard not in account.pending
            if shard is not None and free and lacks:
                row = account.giving(want.shard, {})
                row.want = want
                self.rows.put(want.team, shard, row)

    def _may_give(self, team: str, acting: list[Shard], wants: list[ShareRequest]) -> bool:
        """Something that is wanted is to spare in a shard held here: most teams at their limits
        are wanted more of all the time, and a plan for each of them would cost most of a pass."""
        account = self.accounts[team]
        lacking = [False, False]
        for want in wants:
            share = account.share(want.shard)
            for n in (0, 1):
                lacking[n] = lacking[n] or want.target[n] > share[n]
        if not any(lacking):
            return False
        for shard in acting:
            rest = minus(account.share(shard.name), self.committed(shard.name, team))
            if any(lacking[n] and rest[n] > 0 for n in (0, 1)):
                return True
        return False

    def _give(self, team: str, acting: list[Shard], wants: list[ShareRequest]) -> None:
        account = self.accounts[team]
        if not self._may_give(team, acting, wants):
            return
        by_giver: dict[str, dict[str, ResourceAmount]] = {}
        for gift in plan(account, self.claims(team), wants):
            to = by_giver.setdefault(gift.giver, {})
            to[gift.to] = plus(to.get(gift.to, ZERO), gift.amount)
        for shard in acting:
            gifts = by_giver.get(shard.name)
            if gifts is None or shard.name in account.pending:
                continue
            # Others go by the records; what tasks here take may be more.
            rest = most(ZERO, minus(account.share(shard.name), self.committed(shard.name, team)))
            out: dict[str, ResourceAmount] = {}
            for to_shard, amount in gifts.items():
                part = least(amount, rest)
                if part != ZERO:
                    out[to_shard] = part
                    rest = minus(rest, part)
            if out:
                log.info("gift team=%s shard=%s to=%s", team, shard.name, out)
                self.rows.put(team, shard, account.giving(shard.name, out))


def _count(spec: Job, room: ResourceAmount, wanted: int) -> int:
    count = wanted
    for have, need in ((room[0], to_millionths(spec.cpus)), (room[1], to_millionths(spec.gpus))):
        if need > 0:
            count = min(count, have // need if have > 0 else 0)
    return max(0, count)

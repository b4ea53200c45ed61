"""What teams have claimed, by all shards' records: one account that every controller can check.

Claims are durable and read by all, so this is the same everywhere but for a moment's delay. What a
team is owed, what it borrows and who gives back first follow from it.
"""

from __future__ import annotations

from math import log2

from sagecove.config import Team
from sagecove.coordination.limits.records import ZERO, ResourceAmount, minus, most, plus
from sagecove.coordination.model import MILLIONTHS_PER_UNIT, JobRun, to_millionths

# A team without a guarantee counts with this part of the smallest guarantee.
GUESTS = 0.25


class ClaimTotals:
    """Claims by team and shard (CPUs, GPUs in millionths)."""

    def __init__(self, teams: dict[str, Team]) -> None:
        self.teams = teams
        self.claimed: dict[str, dict[str, ResourceAmount]] = {}
        # What a team without a guarantee counts with: a part of the smallest.
        self.least = [
            int(GUESTS * min((to_millionths(a) for a in amounts if a > 0), default=0))
            for amounts in (
                [team.cpus for team in teams.values()],
                [team.gpus for team in teams.values()],
            )
        ]
        # By team: what all its claims come to, and the CPUs of those that take no GPUs.
        self.totals: dict[str, ResourceAmount] = {}
        self.alone: dict[str, int] = {}

    def noted(self, job: JobRun) -> None:
        """A job's claims may have changed."""
        before, job.team_claim_counts = job.team_claim_counts, None
        for shard, bits in job.claims.items():
            if count := bits.bit_count():
                if job.team_claim_counts is None:
                    job.team_claim_counts = {}
                job.team_claim_counts[shard] = count
        if before == job.team_claim_counts:
            return
        after = job.team_claim_counts or {}
        for shard in {*(before or ()), *after}:
            more = after.get(shard, 0) - (before or {}).get(shard, 0)
            if more:
                self._add(job, shard, more)

    def over(self, job: JobRun) -> None:
        """A job is over: it claims nothing."""
        before, job.team_claim_counts = job.team_claim_counts, None
        for shard, count in (before or {}).items():
            self._add(job, shard, -count)

    def _add(self, job: JobRun, shard: str, count: int) -> None:
        team = job.spec.team
        amount = count * to_millionths(job.spec.cpus), count * to_millionths(job.spec.gpus)
        table = self.claimed.setdefault(team, {})
        now = plus(table.get(shard, ZERO), amount)
        if now == ZERO:
            table.pop(shard, None)
        else:
            table[shard] = now
        self.totals[team] = plus(self.totals.get(team, ZERO), amount)
        if not amount[1]:
            self.alone[team] = self.alone.get(team, 0) + amount[0]

    def entitlement(self, team: Team) -> ResourceAmount:
        """What a team is owed, of what it claims as it claims it: its guarantee; of CPUs, where it
        is guaranteed GPUs alone, those that come with the GPUs it is owed. Counted as a guarantee
        of nothing, all CPUs of such teams were borrowed, by each from all the others."""
        gpus = to_millionths(team.gpus)
        if team.cpus > 0 or not gpus:
            return to_millionths(team.cpus), gpus
        total = self.total(team.name)
        beside = total[0] - self.alone.get(team.name, 0)
        return beside if total[1] <= gpus else beside * gpus // total[1], gpus

    def total(self, team: str) -> ResourceAmount:
        """All that a team claims."""
        return self.totals.get(team, ZERO)

    def borrowing_level(self, team: str) -> int:
        """How much a team borrows for the size of its guarantee, in powers of two: what is unused
        is shared so, within a factor of two, among work of equal standing. A team without a
        guarantee counts with a part of the smallest there is: last, but never nothing."""
        known = self.teams.get(team)
        if known is None:
            return 0
        out = 0.0
        for n, owed in enumerate(self.entitlement(known)):
            weight = owed or self.least[n]
            if weight:
                out = max(out, (self.total(team)[n] - owed) / weight)
        return int(log2(1 + out)) if out > 0 else 0

    def borrowers(self, team: str) -> dict[str, ResourceAmount]:
        """Other teams that claim more than their guarantees, and by how much."""
        out = {}
        for name, total in self.totals.items():
            known = self.teams.get(name)
            if name != team and known is not None:
                over = minus(total, self.entitlement(known))
                if over[0] > 0 or over[1] > 0:
                    out[name] = most(ZERO, over)
        return out

    def reclaim_sources(self, team: str, lack: ResourceAmount) -> dict[str, ResourceAmount]:
        """Who gives how much of what a team is owed: in proportion to what they borrow, and no more
        than that. Rounded down; what that leaves comes from whoever borrows most."""
        borrowers = self.borrowers(team)
        found: dict[str, list[int]] = {name: [0, 0] for name in borrowers}
        for n in (0, 1):
            total = sum(over[n] for over in borrowers.values())
            wanted = min(lack[n], total)
            for name, over in borrowers.items():
                found[name][n] = wanted * over[n] // total if total else 0
            rest = wanted - sum(part[n] for part in found.values())
            for name in sorted(borrowers, key=lambda b: -borrowers[b][n]):
                more = min(rest, borrowers[name][n] - found[name][n])
                found[name][n] += more
                rest -= more
        return {name: (p[0], p[1]) for name, p in found.items() if p != [0, 0]}

    def reclaim_from_shard(self, shard: str, team: str, lack: ResourceAmount) -> ResourceAmount:
        """What of a team's lack is to come from a shard: of what each borrower gives, as much as
        the shard has of that borrower's claims."""
        out = ZERO
        for name, amount in self.reclaim_sources(team, lack).items():
            here, total = self.claimed[name].get(shard, ZERO), self.totals[name]
            share = [amount[n] * here[n] // total[n] if total[n] else 0 for n in (0, 1)]
            out = plus(out, (share[0], share[1]))
        return out

    def borrowed_by_others(self, team: str) -> tuple[float, float]:
        """CPUs and GPUs that other teams claim beyond their guarantees."""
        over = list(self.borrowers(team).values())
        return sum(o[0] for o in over) / MILLIONTHS_PER_UNIT, sum(
            o[1] for o in over
        ) / MILLIONTHS_PER_UNIT

    def borrowing_ratio(self, team: str) -> float:
        """What a team claims beyond its guarantee, as a part of that: the larger of its parts of
        CPUs and GPUs. Of a team without a guarantee, its claims in tasks' whole units."""
        known = self.teams.get(team)
        if known is None:
            return 0.0
        out = 0.0
        for have, mine in zip(self.total(team), self.entitlement(known), strict=True):
            out = max(out, (have - mine) / max(mine, to_millionths(1.0)))
        return out

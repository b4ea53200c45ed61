"""Computes what teams claim across all shards, and what they are owed or borrow as a result.

Claims are durable and every controller reads them, so all controllers compute the same totals but
for a moment's delay. From the totals follow what a team is owed, what it borrows beyond its
guarantee, and which teams give back first.
"""

from __future__ import annotations

from math import log2

from sagecove.config import Team
from sagecove.coordination.limits.records import ZERO, ResourceAmount, add, maximum, subtract
from sagecove.coordination.model import MILLIONTHS_PER_UNIT, JobRun, to_millionths

# The weight of a team without a guarantee, as a fraction of the smallest guarantee.
GUEST_WEIGHT_FRACTION = 0.25


class ClaimTotals:
    """Claims by team and shard (CPUs, GPUs in millionths)."""

    def __init__(self, teams: dict[str, Team]) -> None:
        self.teams = teams
        self.claimed: dict[str, dict[str, ResourceAmount]] = {}
        # Weights of a team without a guarantee (CPUs, GPUs).
        self.guest_weights = [
            int(
                GUEST_WEIGHT_FRACTION * min((to_millionths(a) for a in amounts if a > 0), default=0)
            )
            for amounts in (
                [team.cpus for team in teams.values()],
                [team.gpus for team in teams.values()],
            )
        ]
        # By team: the total of its claims, and the CPUs of those that take no GPUs.
        self.totals: dict[str, ResourceAmount] = {}
        self.cpus_without_gpus: dict[str, int] = {}

    def update_job(self, job: JobRun) -> None:
        """Update the totals after a job's claims may have changed."""
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
            added = after.get(shard, 0) - (before or {}).get(shard, 0)
            if added:
                self._add(job, shard, added)

    def remove_job(self, job: JobRun) -> None:
        """Remove the claims of a job that has ended."""
        before, job.team_claim_counts = job.team_claim_counts, None
        for shard, count in (before or {}).items():
            self._add(job, shard, -count)

    def _add(self, job: JobRun, shard: str, count: int) -> None:
        team = job.spec.team
        amount = count * to_millionths(job.spec.cpus), count * to_millionths(job.spec.gpus)
        by_shard = self.claimed.setdefault(team, {})
        claimed = add(by_shard.get(shard, ZERO), amount)
        if claimed == ZERO:
            by_shard.pop(shard, None)
        else:
            by_shard[shard] = claimed
        self.totals[team] = add(self.totals.get(team, ZERO), amount)
        if not amount[1]:
            self.cpus_without_gpus[team] = self.cpus_without_gpus.get(team, 0) + amount[0]

    def entitlement(self, team: Team) -> ResourceAmount:
        """Return how much of its claims a team is owed.

        This is its guarantee. A team that is guaranteed GPUs alone is also owed the CPUs that come
        with the GPUs it is owed: with a CPU guarantee of zero, all CPUs of such teams would count
        as borrowed, by each of them from all the others.
        """
        gpus = to_millionths(team.gpus)
        if team.cpus > 0 or not gpus:
            return to_millionths(team.cpus), gpus
        total = self.total(team.name)
        cpus_with_gpus = total[0] - self.cpus_without_gpus.get(team.name, 0)
        return cpus_with_gpus if total[1] <= gpus else cpus_with_gpus * gpus // total[1], gpus

    def total(self, team: str) -> ResourceAmount:
        """Return all that a team claims."""
        return self.totals.get(team, ZERO)

    def borrowing_level(self, team: str) -> int:
        """Return how much a team borrows relative to its guarantee, in powers of two.

        Unused resources are thus shared in proportion to the guarantees, within a factor of two,
        among jobs of the same fixed precedence. A team without a guarantee has a fraction of the
        smallest guarantee as its weight: it comes last, but always gets something.
        """
        settings = self.teams.get(team)
        if settings is None:
            return 0
        ratio = 0.0
        for resource, owed in enumerate(self.entitlement(settings)):
            weight = owed or self.guest_weights[resource]
            if weight:
                ratio = max(ratio, (self.total(team)[resource] - owed) / weight)
        return int(log2(1 + ratio)) if ratio > 0 else 0

    def borrowers(self, team: str) -> dict[str, ResourceAmount]:
        """Return the other teams that claim more than they are owed, and by how much."""
        borrowers = {}
        for name, total in self.totals.items():
            settings = self.teams.get(name)
            if name != team and settings is not None:
                borrowed = subtract(total, self.entitlement(settings))
                if borrowed[0] > 0 or borrowed[1] > 0:
                    borrowers[name] = maximum(ZERO, borrowed)
        return borrowers

    def reclaim_sources(self, team: str, lack: ResourceAmount) -> dict[str, ResourceAmount]:
        """Return how much each borrowing team gives back of what a team is owed and lacks.

        Borrowers give in proportion to what they borrow and no more than that. Amounts are rounded
        down; the remainder comes from those that borrow most.
        """
        borrowers = self.borrowers(team)
        found: dict[str, list[int]] = {name: [0, 0] for name in borrowers}
        for resource in (0, 1):
            total = sum(borrowed[resource] for borrowed in borrowers.values())
            wanted = min(lack[resource], total)
            for name, borrowed in borrowers.items():
                found[name][resource] = wanted * borrowed[resource] // total if total else 0
            rest = wanted - sum(part[resource] for part in found.values())
            for name in sorted(borrowers, key=lambda b: -borrowers[b][resource]):
                more = min(rest, borrowers[name][resource] - found[name][resource])
                found[name][resource] += more
                rest -= more
        return {name: (p[0], p[1]) for name, p in found.items() if p != [0, 0]}

    def reclaim_from_shard(self, shard: str, team: str, lack: ResourceAmount) -> ResourceAmount:
        """Return how much of what a team lacks one shard gives back.

        Each borrower's part is split among shards in proportion to that borrower's claims there.
        """
        total_part = ZERO
        for name, amount in self.reclaim_sources(team, lack).items():
            here, total = self.claimed[name].get(shard, ZERO), self.totals[name]
            part = [
                amount[resource] * here[resource] // total[resource] if total[resource] else 0
                for resource in (0, 1)
            ]
            total_part = add(total_part, (part[0], part[1]))
        return total_part

    def borrowed_by_others(self, team: str) -> tuple[float, float]:
        """Return the CPUs and GPUs that other teams claim beyond what they are owed."""
        borrowed = list(self.borrowers(team).values())
        return (
            sum(amount[0] for amount in borrowed) / MILLIONTHS_PER_UNIT,
            sum(amount[1] for amount in borrowed) / MILLIONTHS_PER_UNIT,
        )

    def borrowing_ratio(self, team: str) -> float:
        """Return what a team claims beyond what it is owed, as a ratio to that.

        The larger of the ratios for CPUs and GPUs. For a team without a guarantee this is its
        claims in whole units.
        """
        settings = self.teams.get(team)
        if settings is None:
            return 0.0
        ratio = 0.0
        for claimed, owed in zip(self.total(team), self.entitlement(settings), strict=True):
            ratio = max(ratio, (claimed - owed) / max(owed, to_millionths(1.0)))
        return ratio

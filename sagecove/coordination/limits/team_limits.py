"""Keeps teams' limits for the shards held here: shares, share requests, transfers, new settings."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random
from typing import Protocol

from sagecove.config import UNLIMITED_AMOUNT, Settings, Team
from sagecove.coordination.limits.claim_totals import ClaimTotals
from sagecove.coordination.limits.records import (
    LIMIT_SPLIT_PREFIX,
    TRANSFERS_PREFIX,
    ZERO,
    ResourceAmount,
    add,
    fits_within,
    maximum,
    minimum,
    subtract,
)
from sagecove.coordination.limits.share_requests import PEER_REPORT_EXPIRY_POLLS, ShareRequests
from sagecove.coordination.limits.split_proposer import SplitProposer
from sagecove.coordination.limits.team_shares import TeamShares
from sagecove.coordination.limits.transfer_plan import plan_transfers
from sagecove.coordination.limits.transfer_writer import Commit, TransferWriter
from sagecove.coordination.model import MILLIONTHS_PER_UNIT, JobRun, Shard, to_millionths
from sagecove.protocol.peers import CompletedClaims, ShareRequest
from sagecove.protocol.users import Job
from sagecove.storage.mirror import Event, Mirror
from sagecove.storage.records import MEMBER_PREFIX

log = logging.getLogger("sagecove.limits")

CpusGpus = tuple[float, float]

# A team is near its limit unless more than this fraction of the limit is unclaimed.
NEAR_LIMIT_FRACTION = 0.25
# The amount that represents no limit.
UNLIMITED_MILLIONTHS = to_millionths(UNLIMITED_AMOUNT)
# This fraction of a limit may have been freed by completions that are not known here yet.
UNKNOWN_COMPLETIONS_FRACTION = 1 / 16


class ShardUsage(Protocol):
    """Usage by tasks and claims in a shard held here (CPUs, GPUs in millionths)."""

    def used_millionths(self, shard: str, team: str) -> ResourceAmount:
        """Return an upper bound of what a team's tasks take on the shard's machines."""

    def known_used_millionths(self, shard: str, team: str) -> ResourceAmount:
        """Return what a team's tasks take on machines whose tasks are known."""

    def claimed_millionths(self, shard: str, team: str) -> ResourceAmount:
        """Return what the shard's claims of a team will take."""


class TeamLimits:
    """Shares of teams' limits, for the shards held here."""

    def __init__(
        self,
        settings: Settings,
        held_shards: dict[str, Shard],
        usage: ShardUsage,
        claim_totals: ClaimTotals,
        mirror: Mirror,
        commit: Commit,
        request_sync: Callable[[], None],
        random: Random,
    ) -> None:
        self.nodes = settings.nodes
        self.held_shards = held_shards
        # By peer: the completed claims it last reported, by team, and when.
        self.completed_by_peer: dict[
            str, tuple[dict[str, list[tuple[str, ResourceAmount]]], float]
        ] = {}
        self.now = 0.0
        self.usage = usage
        self.claim_totals = claim_totals
        self.teams: dict[str, Team] = {t.name: t for t in settings.params.teams}
        self.team_shares: dict[str, TeamShares] = {name: TeamShares() for name in self.teams}
        self.transfer_writer = TransferWriter(self.team_shares, mirror, commit, request_sync)
        self.split_proposer = SplitProposer(
            settings, self.team_shares, claim_totals, mirror, self.transfer_writer, commit, random
        )
        self.share_requests = ShareRequests(
            self.split_proposer.poll_s,
            lambda: [node for node in settings.nodes[1:] if MEMBER_PREFIX + node in mirror.items],
        )

    # -- queries ----------------------------------------------------------------------------------

    def limit(self, team: str) -> ResourceAmount:
        """Return the smaller of a team's configured limit and its agreed limit."""
        limit = self.split_proposer.configured[team]
        split = self.team_shares[team].split
        return minimum(limit, split.limit) if split is not None else limit

    def share(self, shard: str, team: str) -> ResourceAmount:
        """Return what a team's tasks may use on a shard's machines."""
        return self.team_shares[team].share(shard)

    def committed(self, shard: str, team: str) -> ResourceAmount:
        """Return the larger of what a shard's claims of a team will take and its tasks take."""
        return maximum(
            self.usage.claimed_millionths(shard, team), self.usage.used_millionths(shard, team)
        )

    def startable(self, shard: str, spec: Job, wanted: int) -> int:
        """Return how many more tasks of a job a shard may start within its share."""
        if self.starts_suspended(spec.team):
            return 0
        used = self.usage.used_millionths(shard, spec.team)
        return _tasks_fitting(spec, subtract(self.share(shard, spec.team), used), wanted)

    def claimable(self, shard: str, spec: Job, wanted: int) -> int:
        """Return how many more tasks of a job a shard may claim within its share."""
        if self.starts_suspended(spec.team):
            return 0
        committed = self.committed(shard, spec.team)
        return _tasks_fitting(spec, subtract(self.share(shard, spec.team), committed), wanted)

    def claims_within_share(self, shard: str, team: str) -> bool:
        """Return whether a shard's claims, including those being written, fit its share."""
        return not self.starts_suspended(team) and fits_within(
            self.usage.claimed_millionths(shard, team), self.share(shard, team)
        )

    def starts_suspended(self, team: str) -> bool:
        """Return whether no task of a team may start.

        That is so while its limit has not been split, or while the split is of more than the
        settings allow and is about to be lowered. It is also so if the settings do not have the
        team: other controllers may have been started with newer settings, and records of that
        team's jobs once made controllers with the older settings exit.
        """
        shares = self.team_shares.get(team)
        split = shares.split if shares is not None else None
        return split is None or not fits_within(split.limit, self.split_proposer.configured[team])

    def claims(self, team: str) -> dict[str, ResourceAmount]:
        """Return what a team claims, by shard.

        These are the claims on record less those that have completed since, as peers reported or
        as is known here.
        """
        found = dict(self.claim_totals.claimed.get(team, {}))
        for by_team, received_at in self.completed_by_peer.values():
            if self.now - received_at > PEER_REPORT_EXPIRY_POLLS * self.share_requests.poll_s:
                continue
            for shard, amount in by_team.get(team, ()):
                if shard in found and shard not in self.held_shards:
                    found[shard] = maximum(ZERO, subtract(found[shard], amount))
        for shard in self.held_shards:
            found[shard] = self.usage.claimed_millionths(shard, team)
        return found

    def unrecorded_completed_claims(self) -> list[CompletedClaims]:
        """Return completed claims of shards held here that are not on record yet.

        Only for teams near their limits. A holder writes completed tasks seconds later.
        """
        found = []
        for team in self.teams:
            total, limit = self.claim_totals.total(team), self.limit(team)
            if (
                total[0] < (1 - NEAR_LIMIT_FRACTION) * limit[0]
                and total[1] < (1 - NEAR_LIMIT_FRACTION) * limit[1]
            ):
                continue
            recorded = self.claim_totals.claimed.get(team, {})
            for shard in self.held_shards:
                completed = subtract(
                    recorded.get(shard, ZERO), self.usage.claimed_millionths(shard, team)
                )
                if completed[0] > 0 or completed[1] > 0:
                    found.append(CompletedClaims(team, shard, maximum(ZERO, completed)))
        return found

    def unclaimed(self, team: str) -> CpusGpus:
        """Return what no shard claims of a team's limit (CPUs, GPUs)."""
        if team not in self.teams:
            return 0.0, 0.0
        rest = self.limit(team)
        for amount in self.claims(team).values():
            rest = subtract(rest, amount)
        return rest[0] / MILLIONTHS_PER_UNIT, rest[1] / MILLIONTHS_PER_UNIT

    def claimable_anywhere(self, spec: Job, wanted: int) -> int:
        """Return how many more tasks of a job fit its team's limit, in whichever shard."""
        if spec.team not in self.teams:
            return 0
        unclaimed, limit = self.unclaimed(spec.team), self.limit(spec.team)
        # Claims that have just completed elsewhere are not known here yet.
        room = [
            round(unclaimed[resource] * MILLIONTHS_PER_UNIT)
            + int(limit[resource] * UNKNOWN_COMPLETIONS_FRACTION)
            for resource in (0, 1)
        ]
        return _tasks_fitting(spec, (room[0], room[1]), wanted)

    def has_share(self, shard: str) -> bool:
        """Return whether a shard has a share of any limit.

        While the shard has no holder, no other shard can use that share.
        """
        return any(shares.share(shard) != ZERO for shares in self.team_shares.values())

    def excess_use(self, shard: str) -> dict[str, CpusGpus]:
        """Return by team what its tasks use in a shard beyond its share of a lowered limit."""
        excess = {}
        for team in self.split_proposer.open_teams:
            shares = self.team_shares[team]
            if shares.split is not None and not shares.fully_adopted:
                over = subtract(self.usage.known_used_millionths(shard, team), shares.share(shard))
                if over[0] > 0 or over[1] > 0:
                    excess[team] = over[0] / MILLIONTHS_PER_UNIT, over[1] / MILLIONTHS_PER_UNIT
        return excess

    # -- share requests ---------------------------------------------------------------------------

    def request_share(self, now: float, shard: str, job: JobRun, more: int) -> None:
        """Request a larger share for a shard, for `more` tasks of a job than it has claimed."""
        spec = job.spec
        team = spec.team
        if team not in self.teams:
            return
        need = more * to_millionths(spec.cpus), more * to_millionths(spec.gpus)
        target = add(self.committed(shard, team), need)
        limit, total = self.limit(team), self.claim_totals.total(team)
        reserve = [0, 0]
        for resource in (0, 1):
            rest = limit[resource] - total[resource] - need[resource]
            if (
                need[resource]
                and limit[resource] < UNLIMITED_MILLIONTHS
                and rest > limit[resource] * NEAR_LIMIT_FRACTION
            ):
                # Far from the limit, request more than needed to save writes. Not if there is no
                # limit: parts of an unlimited amount would go to and fro for nothing.
                reserve[resource] = rest // (2 * len(self.nodes))
        target = add(target, (reserve[0], reserve[1]))
        self.share_requests.request(now, team, shard, job, target, self.share(shard, team))

    def receive_completed_claims(
        self, now: float, node: str, completed: list[CompletedClaims]
    ) -> None:
        """Replace all that a peer reported of completed claims."""
        by_team: dict[str, list[tuple[str, ResourceAmount]]] = {}
        for claims in completed:
            by_team.setdefault(claims.team, []).append((claims.shard, claims.amount))
        self.completed_by_peer[node] = by_team, now

    def receive_requests(self, now: float, node: str, requests: list[ShareRequest]) -> None:
        """Replace all share requests of a peer."""
        self.share_requests.receive(now, node, [r for r in requests if r.team in self.teams])

    # -- changes ----------------------------------------------------------------------------------

    def apply_event(self, event: Event, now: float) -> None:
        """Apply a changed limit split or transfer record."""
        key, value = event.key, event.value
        if key.startswith(LIMIT_SPLIT_PREFIX):
            team = key[len(LIMIT_SPLIT_PREFIX) :]
            if (shares := self.team_shares.get(team)) is None:
                return
            shares.split = value
            shares.epoch = event.revision if value is not None else 0
            shares.clear_cache()
        else:
            team, _, shard = key[len(TRANSFERS_PREFIX) :].rpartition("/")
            if (shares := self.team_shares.get(team)) is None:
                return
            shares.transfers.pop(shard, None)
            if value is not None:
                shares.transfers[shard] = value
            request = value.want if value is not None else None
            if request is not None and request.shard not in self.held_shards:
                self.share_requests.receive(now, key, [request])
            else:
                self.share_requests.from_peers.pop(key, None)
            self.transfer_writer.record_changed(team, shard)
        self.split_proposer.open_teams.add(team)

    def shard_lost(self, shard: str) -> None:
        """Drop writes and requests of a shard that is no longer held here."""
        self.transfer_writer.shard_lost(shard)
        self.share_requests.shard_lost(shard)

    def run(self, now: float, active_shards: list[Shard]) -> None:
        """Do what is due after a pass: adopt and propose splits, transfer and request shares."""
        self.now = now
        self.share_requests.drop_expired(now)
        self.transfer_writer.repeat_uncertain()
        if self.split_proposer.open_teams:
            self.split_proposer.run(now, active_shards, self.usage.used_millionths)
        for team, requests in self.share_requests.by_team().items():
            self._transfer(team, active_shards, requests)
        shards = {shard.name: shard for shard in active_shards}
        for request in self.share_requests.requests_to_record(now):
            shares = self.team_shares[request.team]
            shard = shards.get(request.shard)
            lacks = not fits_within(request.target, shares.share(request.shard))
            writable = shares.fully_adopted and request.shard not in shares.pending
            if shard is not None and writable and lacks:
                record = shares.transfer_record(request.shard, {})
                record.want = request
                self.transfer_writer.write_record(request.team, shard, record)

    def _may_transfer(
        self, team: str, active_shards: list[Shard], requests: list[ShareRequest]
    ) -> bool:
        """Return whether a shard held here can spare something that is requested.

        For most teams at their limits more is requested all the time; planning transfers for each
        of them would take most of a pass.
        """
        shares = self.team_shares[team]
        lacking = [False, False]
        for request in requests:
            share = shares.share(request.shard)
            for resource in (0, 1):
                lacking[resource] = lacking[resource] or request.target[resource] > share[resource]
        if not any(lacking):
            return False
        for shard in active_shards:
            rest = subtract(shares.share(shard.name), self.committed(shard.name, team))
            if any(lacking[resource] and rest[resource] > 0 for resource in (0, 1)):
                return True
        return False

    def _transfer(
        self, team: str, active_shards: list[Shard], requests: list[ShareRequest]
    ) -> None:
        shares = self.team_shares[team]
        if not self._may_transfer(team, active_shards, requests):
            return
        by_giver: dict[str, dict[str, ResourceAmount]] = {}
        for transfer in plan_transfers(shares, self.claims(team), requests):
            by_receiver = by_giver.setdefault(transfer.giver, {})
            by_receiver[transfer.receiver] = add(
                by_receiver.get(transfer.receiver, ZERO), transfer.amount
            )
        for shard in active_shards:
            planned = by_giver.get(shard.name)
            if planned is None or shard.name in shares.pending:
                continue
            # The plan is based on recorded claims; the tasks here may take more than that.
            rest = maximum(
                ZERO, subtract(shares.share(shard.name), self.committed(shard.name, team))
            )
            amounts: dict[str, ResourceAmount] = {}
            for receiver, amount in planned.items():
                part = minimum(amount, rest)
                if part != ZERO:
                    amounts[receiver] = part
                    rest = subtract(rest, part)
            if amounts:
                log.info("gift team=%s shard=%s to=%s", team, shard.name, amounts)
                self.transfer_writer.write_record(
                    team, shard, shares.transfer_record(shard.name, amounts)
                )


def _tasks_fitting(spec: Job, room: ResourceAmount, wanted: int) -> int:
    count = wanted
    for have, need in ((room[0], to_millionths(spec.cpus)), (room[1], to_millionths(spec.gpus))):
        if need > 0:
            count = min(count, have // need if have > 0 else 0)
    return max(0, count)

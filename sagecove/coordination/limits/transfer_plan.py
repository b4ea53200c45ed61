"""Plans which shards transfer how much of a team's limit to which others.

What a shard can spare is its share less its claims. Both are durable, so every controller finds the
same givers for the same share requests and carries out the transfers of its own shards. Where the
controllers' views differ for a moment, too much or too little is transferred, but never more than
there is.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple
from zlib import crc32

from sagecove.coordination.limits.records import ZERO, ResourceAmount, maximum, minimum, subtract
from sagecove.coordination.limits.team_shares import TeamShares
from sagecove.protocol.peers import ShareRequest


class Transfer(NamedTuple):
    """An amount that goes from one shard to another."""

    giver: str
    receiver: str
    amount: ResourceAmount


def spare_share(shares: TeamShares, shard: str, claimed: ResourceAmount) -> ResourceAmount:
    """Return what a shard does not need of its share for its claims."""
    return maximum(ZERO, subtract(shares.share(shard), claimed))


def plan_transfers(
    shares: TeamShares, claimed: dict[str, ResourceAmount], requests: Iterable[ShareRequest]
) -> list[Transfer]:
    """Return transfers that meet the share requests, those for the first jobs first.

    The shard that waits for the first job is served from all that have something to spare,
    including shards that themselves wait for a later job: otherwise shards could each hold a part
    of what none of them can use. As few givers as possible are used.
    """
    if not shares.fully_adopted or shares.split is None:
        return []
    shards = shares.shards()
    spare = {s: spare_share(shares, s, claimed.get(s, ZERO)) for s in shards}
    transfers: list[Transfer] = []
    served: set[str] = set()
    for request in sorted(requests, key=request_order):
        if request.shard in served:
            continue
        served.add(request.shard)
        lack = maximum(ZERO, subtract(request.target, shares.share(request.shard)))
        if lack == ZERO:
            continue
        givers = [s for s in shards if s not in served and spare[s] != ZERO]
        for giver in sorted(givers, key=lambda s: (-covered_fraction(spare[s], lack), s)):
            amount = minimum(spare[giver], lack)
            if amount == ZERO:
                continue
            spare[giver] = subtract(spare[giver], amount)
            lack = subtract(lack, amount)
            transfers.append(Transfer(giver, request.shard, amount))
            if lack == ZERO:
                break
    return transfers


def request_order(request: ShareRequest) -> tuple[object, ...]:
    """Return the sort key of share requests: the precedence of the job first.

    Shards that wait for the same job are sorted by a hash that depends on the team: sorted by name,
    the same shard would come first for every team.
    """
    return request.rank, crc32(f"{request.team} {request.shard}".encode()), request.shard


def covered_fraction(have: ResourceAmount, lack: ResourceAmount) -> float:
    """Return how much of a lack one giver can cover: the sum of the fractions of CPUs and GPUs."""
    return sum(min(h, w) / w for h, w in zip(have, lack, strict=True) if w > 0)

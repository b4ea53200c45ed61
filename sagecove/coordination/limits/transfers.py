"""Who gives whom how much of a team's limit: planned alike by all, from what all can read.

What a shard has to spare is its share less its claims, and both are durable: every controller finds
the same givers for the same wants, and carries out the lines of the plan that are its own. Where
views differ by a moment too much or too little moves, never more than there is.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple
from zlib import crc32

from sagecove.coordination.limits.account import Account
from sagecove.coordination.limits.records import ZERO, ResourceAmount, least, minus, most
from sagecove.protocol.peers import ShareRequest


class Gift(NamedTuple):
    """An amount that goes from one shard to another."""

    giver: str
    to: str
    amount: ResourceAmount


def spare(account: Account, shard: str, claimed: ResourceAmount) -> ResourceAmount:
    """What of its share a shard does not need for its claims."""
    return most(ZERO, minus(account.share(shard), claimed))


def plan(
    account: Account, claimed: dict[str, ResourceAmount], wants: Iterable[ShareRequest]
) -> list[Gift]:
    """Gifts that meet the wants, first things first: who waits for the job that comes first is
    served from all who have something to spare, those who themselves wait for a later one included
    (or shards would each hold a part of what none of them can use). The fewest givers are asked."""
    if not account.settled or account.settlement is None:
        return []
    shards = account.shards()
    left = {s: spare(account, s, claimed.get(s, ZERO)) for s in shards}
    gifts: list[Gift] = []
    first: set[str] = set()
    for want in sorted(wants, key=order):
        if want.shard in first:
            continue
        first.add(want.shard)
        lack = most(ZERO, minus(want.target, account.share(want.shard)))
        if lack == ZERO:
            continue
        givers = [s for s in shards if s not in first and left[s] != ZERO]
        for giver in sorted(givers, key=lambda s: (-useful(left[s], lack), s)):
            amount = least(left[giver], lack)
            if amount == ZERO:
                continue
            left[giver] = minus(left[giver], amount)
            lack = minus(lack, amount)
            gifts.append(Gift(giver, want.shard, amount))
            if lack == ZERO:
                break
    return gifts


def order(want: ShareRequest) -> tuple[object, ...]:
    """Wants for the job that comes first go first; among shards that want for the same job, in an
    order of the team's own: by name, one shard would have come first with every team."""
    return want.rank, crc32(f"{want.team} {want.shard}".encode()), want.shard


def useful(have: ResourceAmount, lack: ResourceAmount) -> float:
    """How much of what lacks one giver can meet, CPUs and GPUs as parts of what lacks."""
    return sum(min(h, w) / w for h, w in zip(have, lack, strict=True) if w > 0)

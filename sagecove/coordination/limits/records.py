"""Durable records about limits (keys and values), and arithmetic on amounts of CPUs and GPUs.

Amounts are pairs (CPUs, GPUs) in millionths. docs/design-limits.md describes the protocol and why
no limit is ever exceeded.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sagecove.protocol.peers import ShareRequest

ResourceAmount = tuple[int, int]
ZERO: ResourceAmount = (0, 0)

# `s/limit/<team>`: the current split of the team's limit. Its revision is the epoch of the split.
LIMIT_SPLIT_PREFIX = "s/limit/"
# `s/share/<team>/<shard>`: what the shard has transferred to others under that split. Only the
# holder of the shard writes it.
TRANSFERS_PREFIX = "s/share/"


class LimitSplit(msgspec.Struct, omit_defaults=True):
    """A limit and how it is split among shards; the parts never add up to more than the limit."""

    limit: ResourceAmount
    shards: dict[str, ResourceAmount] = {}
    # Epoch and parts of the previous split. Until a shard adopts this split it may use no more than
    # it had under the previous one. 0: there was no previous split.
    before: int = 0
    earlier: dict[str, ResourceAmount] = {}


class ShardTransfers(msgspec.Struct, omit_defaults=True):
    """The amounts that one shard has transferred to others from its part of a limit.

    `given` only grows within an epoch, so a reader with an old record underestimates the receiver's
    share and never overestimates it.
    """

    epoch: int
    given: dict[str, ResourceAmount] = {}
    # What the shard may use until all shards have adopted the split of this epoch.
    hold: ResourceAmount | None = None
    # A share request that peers may not have received directly.
    want: ShareRequest | None = None


LIMIT_RECORD_TYPES: list[tuple[str, Any]] = [
    (LIMIT_SPLIT_PREFIX, LimitSplit),
    (TRANSFERS_PREFIX, ShardTransfers),
]


def transfers_key(team: str, shard: str) -> str:
    """Return the key of a shard's transfer record for a team."""
    return f"{TRANSFERS_PREFIX}{team}/{shard}"


def add(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount:
    """Return the sum of two amounts."""
    return a[0] + b[0], a[1] + b[1]


def subtract(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount:
    """Return the difference of two amounts, which may be negative."""
    return a[0] - b[0], a[1] - b[1]


def minimum(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount:
    """Return the smaller value of each resource."""
    return min(a[0], b[0]), min(a[1], b[1])


def maximum(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount:
    """Return the larger value of each resource."""
    return max(a[0], b[0]), max(a[1], b[1])


def fits_within(a: ResourceAmount, b: ResourceAmount) -> bool:
    """Return whether `a` is at most `b` in both resources."""
    return a[0] <= b[0] and a[1] <= b[1]

"""What is durable about limits: keys and values. Amounts are (CPUs, GPUs) in millionths.

docs/design-limits.md has the protocol and why no limit is ever exceeded.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sagecove.protocol.peers import ShareRequest

ResourceAmount = tuple[int, int]
ZERO: ResourceAmount = (0, 0)

# `s/limit/<team>`: how the limit was split last; its revision is the epoch.
LIMIT_SPLIT_PREFIX = "s/limit/"
# `s/share/<team>/<shard>`: what the shard has given to others since. Only its holder writes it.
TRANSFERS_PREFIX = "s/share/"


class LimitSplit(msgspec.Struct, omit_defaults=True):
    """A limit and its split among shards; the parts never add up to more than it."""

    limit: ResourceAmount
    shards: dict[str, ResourceAmount] = {}
    # The epoch before this one and its split: until a shard goes by this settlement it may use no
    # more than it had then. 0: there was none.
    before: int = 0
    earlier: dict[str, ResourceAmount] = {}


class ShardTransfers(msgspec.Struct, omit_defaults=True):
    """What one shard has made of its part. `given` only grows within an epoch, so whoever reads an
    old row takes the receiver's share for smaller than it is, never for larger."""

    epoch: int
    given: dict[str, ResourceAmount] = {}
    # What it may use until all shards go by the epoch.
    hold: ResourceAmount | None = None
    # A want that peers may not hear.
    want: ShareRequest | None = None


LIMIT_RECORD_TYPES: list[tuple[str, Any]] = [
    (LIMIT_SPLIT_PREFIX, LimitSplit),
    (TRANSFERS_PREFIX, ShardTransfers),
]


def row_key(team: str, shard: str) -> str:
    """The key of a shard's row."""
    return f"{TRANSFERS_PREFIX}{team}/{shard}"


def plus(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount:
    """The sum."""
    return a[0] + b[0], a[1] + b[1]


def minus(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount:
    """The difference; may be negative."""
    return a[0] - b[0], a[1] - b[1]


def least(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount:
    """The smaller of each."""
    return min(a[0], b[0]), min(a[1], b[1])


def most(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount:
    """The larger of each."""
    return max(a[0], b[0]), max(a[1], b[1])


def within(a: ResourceAmount, b: ResourceAmount) -> bool:
    """No more than, in both."""
    return a[0] <= b[0] and a[1] <= b[1]

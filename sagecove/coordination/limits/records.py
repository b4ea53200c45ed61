"""What is durable about limits: keys and values. Amounts are (CPUs, GPUs) in millionths.

docs/design-limits.md has the protocol and why no limit is ever exceeded.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sagecove.protocol.peers import Want

Amount = tuple[int, int]
ZERO: Amount = (0, 0)

# `s/limit/<team>`: how the limit was split last; its revision is the epoch.
SETTLEMENT = "s/limit/"
# `s/share/<team>/<shard>`: what the shard has given to others since. Only its holder writes it.
ROW = "s/share/"


class Settlement(msgspec.Struct, omit_defaults=True):
    """A limit and its split among shards; the parts never add up to more than it."""

    limit: Amount
    shards: dict[str, Amount] = {}
    # The epoch before this one and its split: until a shard goes by this settlement it may use no
    # more than it had then. 0: there was none.
    before: int = 0
    earlier: dict[str, Amount] = {}


class Row(msgspec.Struct, omit_defaults=True):
    """What one shard has made of its part. `given` only grows within an epoch, so whoever reads an
    old row takes the receiver's share for smaller than it is, never for larger."""

    epoch: int
    given: dict[str, Amount] = {}
    # What it may use until all shards go by the epoch.
    hold: Amount | None = None
    # A want that peers may not hear.
    want: Want | None = None


KINDS: list[tuple[str, Any]] = [(SETTLEMENT, Settlement), (ROW, Row)]


def row_key(team: str, shard: str) -> str:
    """The key of a shard's row."""
    return f"{ROW}{team}/{shard}"


def plus(a: Amount, b: Amount) -> Amount:
    """The sum."""
    return a[0] + b[0], a[1] + b[1]


def minus(a: Amount, b: Amount) -> Amount:
    """The difference; may be negative."""
    return a[0] - b[0], a[1] - b[1]


def least(a: Amount, b: Amount) -> Amount:
    """The smaller of each."""
    return min(a[0], b[0]), min(a[1], b[1])


def most(a: Amount, b: Amount) -> Amount:
    """The larger of each."""
    return max(a[0], b[0]), max(a[1], b[1])


def within(a: Amount, b: Amount) -> bool:
    """No more than, in both."""
    return a[0] <= b[0] and a[1] <= b[1]

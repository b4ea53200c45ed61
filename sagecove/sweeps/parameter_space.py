"""A space of points, expanded by index: point k is computed from k, nothing is ever listed.

A space is a product of axes (the first varies slowest), some of them zipped, each point repeated,
or a sample of points drawn without replacement. A filter leaves points out without renumbering the
rest, so that all controllers agree on what point k is without knowing the others.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterator
from decimal import Decimal
from typing import Any

import msgspec

Value = bool | int | float | str

# Names that every point has beside its axes.
INDEX_PARAMETER, REPETITION_PARAMETER = "index", "repetition"


class SpaceError(ValueError):
    """A space that makes no sense: which part, and why."""


class ValueList(msgspec.Struct, tag="list", frozen=True):
    """The values as they are written."""

    values: list[Value]

    def count(self) -> int:
        """How many values."""
        return len(self.values)

    def value_at(self, k: int) -> Value:
        """Value number k."""
        return self.values[k]


class Range(msgspec.Struct, tag="range", frozen=True):
    """From `first` to `last`, both included where a step meets it."""

    first: int | float
    last: int | float
    step: int | float = 1

    def count(self) -> int:
        """How many values."""
        if self.step == 0:
            raise SpaceError("a range's step must not be 0")
        if all(isinstance(v, int) for v in (self.first, self.last, self.step)):
            return max(0, int((self.last - self.first) // self.step) + 1)
        first, last, step = (Decimal(str(v)) for v in (self.first, self.last, self.step))
        return max(0, int((last - first) / step) + 1) if (last - first) / step >= 0 else 0

    def value_at(self, k: int) -> Value:
        """Value number k, without the error that adding up would gather."""
        if isinstance(self.first, int) and isinstance(self.step, int):
            return self.first + k * self.step
        return float(Decimal(str(self.first)) + k * Decimal(str(self.step)))


class Spread(msgspec.Struct, tag="spread", frozen=True):
    """`count` values from `first` to `last`, evenly spread; on a logarithmic scale if `log`."""

    first: int | float
    last: int | float
    number: int
    log: bool = False

    def count(self) -> int:
        """How many values."""
        if self.number < 1:
            raise SpaceError("a spread needs at least one value")
        if self.log and (self.first <= 0 or self.last <= 0):
            raise SpaceError("a logarithmic range runs between numbers above 0")
        return self.number

    def value_at(self, k: int) -> Value:
        """Value number k, to 12 digits; the ends are as they were written."""
        if k == 0:
            return self.first
        if k == self.number - 1:
            return self.last
        part = k / (self.number - 1)
        if self.log:
            value = math.exp((1 - part) * math.log(self.first) + part * math.log(self.last))
        else:
            value = self.first + part * (self.last - self.first)
        return float(f"{value:.12g}")


Source = ValueList | Range | Spread


class Axis(msgspec.Struct, tag="axis", frozen=True):
    """A parameter that runs over values."""

    name: str
    source: Source

    def names(self) -> list[str]:
        """Parameters bound."""
        return [self.name]

    def count(self) -> int:
        """How many points."""
        return self.source.count()

    def fill(self, k: int, out: dict[str, Value]) -> None:
        """Bind what point k has."""
        out[self.name] = self.source.value_at(k)


class Zip(msgspec.Struct, tag="zip", frozen=True):
    """Parts of one length that run together."""

    parts: list[Node]

    def names(self) -> list[str]:
        """Parameters bound."""
        return [name for part in self.parts for name in part.names()]

    def count(self) -> int:
        """How many points."""
        counts = [part.count() for part in self.parts]
        if len(set(counts)) > 1:
            told = ", ".join(
                f"{'*'.join(part.names())} has {count}"
                for part, count in zip(self.parts, counts, strict=True)
            )
            raise SpaceError(f"parts joined by & must be of one length: {told}")
        return counts[0]

    def fill(self, k: int, out: dict[str, Value]) -> None:
        """Bind what point k has."""
        for part in self.parts:
            part.fill(k, out)


class Product(msgspec.Struct, tag="product", frozen=True):
    """Every combination of the parts; the first varies slowest."""

    parts: list[Node]

    def names(self) -> list[str]:
        """Parameters bound."""
        return [name for part in self.parts for name in part.names()]

    def count(self) -> int:
        """How many points."""
        return math.prod(part.count() for part in self.parts)

    def fill(self, k: int, out: dict[str, Value]) -> None:
        """Bind what point k has."""
        for part in reversed(self.parts):
            k, rest = divmod(k, part.count())
            part.fill(rest, out)


Node = Axis | Zip | Product


class Const(msgspec.Struct, tag="const", frozen=True):
    """A number or text in a filter."""

    value: Value


class Name(msgspec.Struct, tag="name", frozen=True):
    """A parameter's value in a filter."""

    name: str


class Arithmetic(msgspec.Struct, tag="arithmetic", frozen=True):
    """`+ - * / %` of two operands."""

    op: str
    left: Operand
    right: Operand


Operand = Const | Name | Arithmetic


class Compare(msgspec.Struct, tag="compare", frozen=True):
    """A comparison of two operands."""

    op: str
    left: Operand
    right: Operand


class Member(msgspec.Struct, tag="member", frozen=True):
    """An operand is among values."""

    left: Operand
    values: list[Value]


class Every(msgspec.Struct, tag="and", frozen=True):
    """All conditions hold."""

    parts: list[Condition]


class Some(msgspec.Struct, tag="or", frozen=True):
    """At least one condition holds."""

    parts: list[Condition]


class Not(msgspec.Struct, tag="not", frozen=True):
    """The condition does not hold."""

    part: Condition


Condition = Compare | Member | Every | Some | Not


class Space(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole space. `sample`: so many points drawn from the product (before repeats and filter),
    the same ones for the same seed."""

    node: Node
    where: Condition | None = None
    repeat: int = 1
    sample: int | None = None
    seed: int = 0

    def count(self) -> int:
        """How many points, those that the filter leaves out included."""
        raw = self.node.count()
        if self.sample is not None:
            raw = min(raw, self.sample)
        return raw * self.repeat

    def names(self) -> list[str]:
        """Parameters bound, in the order they were written."""
        return self.node.names()

    def point_values(self, k: int) -> dict[str, Value] | None:
        """What point k binds; None if the filter leaves it out."""
        k, repetition = divmod(k, self.repeat)
        out: dict[str, Value] = {}
        if self.sample is not None and self.sample < (raw := self.node.count()):
            k = permuted(k, raw, self.seed)
        self.node.fill(k, out)
        out[REPETITION_PARAMETER] = repetition
        if self.where is not None and not holds(self.where, out):
            return None
        return out


def check_space(space: Space, max_points: int) -> None:
    """Raise `SpaceError` if the space makes no sense or has no, or over `most`, points."""
    names = space.names()
    for name in names:
        if names.count(name) > 1:
            raise SpaceError(f"{name} is bound twice")
        if name in (INDEX_PARAMETER, REPETITION_PARAMETER):
            raise SpaceError(f"{name} is what every point has already: choose another name")
    if space.repeat < 1:
        raise SpaceError("repeat must be at least 1")
    if space.sample is not None and space.sample < 1:
        raise SpaceError("sample must be at least 1")
    known = {*names, REPETITION_PARAMETER}
    for name in _used(space.where) if space.where is not None else ():
        if name not in known:
            raise SpaceError(f"the filter names {name}, which is not bound")
    count = space.count()
    if count == 0:
        raise SpaceError("the space has no points")
    if count > max_points:
        raise SpaceError(f"the space has {count} points; {max_points} are allowed")


def _used(part: Condition | Operand) -> Iterator[str]:
    if isinstance(part, Name):
        yield part.name
    elif isinstance(part, Arithmetic | Compare):
        yield from _used(part.left)
        yield from _used(part.right)
    elif isinstance(part, Member):
        yield from _used(part.left)
    elif isinstance(part, Every | Some):
        for inner in part.parts:
            yield from _used(inner)
    elif isinstance(part, Not):
        yield from _used(part.part)


def holds(condition: Condition, point: dict[str, Value]) -> bool:
    """Whether a point satisfies a condition. What cannot be compared is not equal, not less and
    not more; what cannot be computed satisfies nothing."""
    if isinstance(condition, Every):
        return all(holds(part, point) for part in condition.parts)
    if isinstance(condition, Some):
        return any(holds(part, point) for part in condition.parts)
    if isinstance(condition, Not):
        return not holds(condition.part, point)
    left = _value(condition.left, point)
    if isinstance(condition, Member):
        return left is not None and any(_same(left, value) for value in condition.values)
    right = _value(condition.right, point)
    if left is None or right is None:
        return False
    if condition.op in ("==", "!="):
        return _same(left, right) == (condition.op == "==")
    if isinstance(left, str) != isinstance(right, str):
        return False
    a: Any = left
    b: Any = right
    return bool({"<": a < b, "<=": a <= b, ">": a > b, ">=": a >= b}[condition.op])


def _same(left: Value, right: Value) -> bool:
    # True is no 1 here.
    return isinstance(left, bool) == isinstance(right, bool) and left == right


def _value(operand: Operand, point: dict[str, Value]) -> Value | None:
    if isinstance(operand, Const):
        return operand.value
    if isinstance(operand, Name):
        return point.get(operand.name)
    left, right = _value(operand.left, point), _value(operand.right, point)
    if not isinstance(left, int | float) or not isinstance(right, int | float):
        return None
    try:
        if operand.op == "+":
            return left + right
        if operand.op == "-":
            return left - right
        if operand.op == "*":
            return left * right
        return left / right if operand.op == "/" else left % right
    except (ZeroDivisionError, OverflowError):
        return None


def permuted(k: int, size: int, seed: int) -> int:
    """Number k of a fixed random order of `size` numbers: a Feistel network over the next even
    power of two, walked until it falls into the range (fewer than four steps on average)."""
    half = max(1, ((size - 1).bit_length() + 1) // 2)
    mask = (1 << half) - 1
    while True:
        left, right = k >> half, k & mask
        for turn in range(4):
            text = b"%d %d %d" % (seed, turn, right)
            mixed = int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "little")
            left, right = right, left ^ (mixed & mask)
        k = left << half | right
        if k < size:
            return k

"""Defines parameter spaces and computes any of their points from its index, without listing them.

A space is a product of axes (the first varies slowest), some of them zipped, each point repeated,
or a sample of points drawn without replacement. A filter leaves points out without renumbering the
rest, so that all controllers agree on what point k is without computing the others.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterator
from decimal import Decimal
from typing import Any

import msgspec

Value = bool | int | float | str

# Parameters that every point has in addition to its axes.
INDEX_PARAMETER, REPETITION_PARAMETER = "index", "repetition"


class SpaceError(ValueError):
    """A space is invalid; the message names the part and the reason."""


class ValueList(msgspec.Struct, tag="list", frozen=True):
    """An explicit list of values."""

    values: list[Value]

    def count(self) -> int:
        """Return the number of values."""
        return len(self.values)

    def value_at(self, index: int) -> Value:
        """Return the value at an index."""
        return self.values[index]


class Range(msgspec.Struct, tag="range", frozen=True):
    """Values from `first` in steps of `step`; `last` is included if a step meets it."""

    first: int | float
    last: int | float
    step: int | float = 1

    def count(self) -> int:
        """Return the number of values."""
        if self.step == 0:
            raise SpaceError("a range's step must not be 0")
        if all(isinstance(v, int) for v in (self.first, self.last, self.step)):
            return max(0, int((self.last - self.first) // self.step) + 1)
        first, last, step = (Decimal(str(v)) for v in (self.first, self.last, self.step))
        return max(0, int((last - first) / step) + 1) if (last - first) / step >= 0 else 0

    def value_at(self, index: int) -> Value:
        """Return the value at an index, without the rounding errors that repeated adding causes."""
        if isinstance(self.first, int) and isinstance(self.step, int):
            return self.first + index * self.step
        return float(Decimal(str(self.first)) + index * Decimal(str(self.step)))


class EvenSpacing(msgspec.Struct, tag="spread", frozen=True):
    """`number` values spaced evenly from `first` to `last`; on a logarithmic scale if `log`."""

    first: int | float
    last: int | float
    number: int
    log: bool = False

    def count(self) -> int:
        """Return the number of values."""
        if self.number < 1:
            raise SpaceError("lin and log need at least one value")
        if self.log and (self.first <= 0 or self.last <= 0):
            raise SpaceError("both ends of a logarithmic range must be above 0")
        return self.number

    def value_at(self, index: int) -> Value:
        """Return the value at an index, to 12 digits; both ends are returned as written."""
        if index == 0:
            return self.first
        if index == self.number - 1:
            return self.last
        fraction = index / (self.number - 1)
        if self.log:
            value = math.exp((1 - fraction) * math.log(self.first) + fraction * math.log(self.last))
        else:
            value = self.first + fraction * (self.last - self.first)
        return float(f"{value:.12g}")


Source = ValueList | Range | EvenSpacing


class Axis(msgspec.Struct, tag="axis", frozen=True):
    """A parameter and the values it takes."""

    name: str
    source: Source

    def names(self) -> list[str]:
        """Return the names of the parameters bound."""
        return [self.name]

    def count(self) -> int:
        """Return the number of points."""
        return self.source.count()

    def bind_values(self, index: int, bindings: dict[str, Value]) -> None:
        """Add the parameter values of the point at an index to `bindings`."""
        bindings[self.name] = self.source.value_at(index)


class Zip(msgspec.Struct, tag="zip", frozen=True):
    """Parts of equal length that advance together."""

    parts: list[Node]

    def names(self) -> list[str]:
        """Return the names of the parameters bound."""
        return [name for part in self.parts for name in part.names()]

    def count(self) -> int:
        """Return the number of points."""
        counts = [part.count() for part in self.parts]
        if len(set(counts)) > 1:
            lengths = ", ".join(
                f"{'*'.join(part.names())} has {count}"
                for part, count in zip(self.parts, counts, strict=True)
            )
            raise SpaceError(f"parts joined by & must be of one length: {lengths}")
        return counts[0]

    def bind_values(self, index: int, bindings: dict[str, Value]) -> None:
        """Add the parameter values of the point at an index to `bindings`."""
        for part in self.parts:
            part.bind_values(index, bindings)


class Product(msgspec.Struct, tag="product", frozen=True):
    """All combinations of the parts; the first varies slowest."""

    parts: list[Node]

    def names(self) -> list[str]:
        """Return the names of the parameters bound."""
        return [name for part in self.parts for name in part.names()]

    def count(self) -> int:
        """Return the number of points."""
        return math.prod(part.count() for part in self.parts)

    def bind_values(self, index: int, bindings: dict[str, Value]) -> None:
        """Add the parameter values of the point at an index to `bindings`."""
        for part in reversed(self.parts):
            index, part_index = divmod(index, part.count())
            part.bind_values(part_index, bindings)


Node = Axis | Zip | Product


class Constant(msgspec.Struct, tag="const", frozen=True):
    """A number or text in a filter."""

    value: Value


class ParameterReference(msgspec.Struct, tag="name", frozen=True):
    """A parameter's value in a filter."""

    name: str


class Arithmetic(msgspec.Struct, tag="arithmetic", frozen=True):
    """`+ - * / %` of two operands."""

    op: str
    left: Operand
    right: Operand


Operand = Constant | ParameterReference | Arithmetic


class Comparison(msgspec.Struct, tag="compare", frozen=True):
    """A comparison of two operands."""

    op: str
    left: Operand
    right: Operand


class Membership(msgspec.Struct, tag="member", frozen=True):
    """Tests whether an operand is one of a list of values."""

    left: Operand
    values: list[Value]


class AllOf(msgspec.Struct, tag="and", frozen=True):
    """All conditions hold."""

    parts: list[Condition]


class AnyOf(msgspec.Struct, tag="or", frozen=True):
    """At least one condition holds."""

    parts: list[Condition]


class Negation(msgspec.Struct, tag="not", frozen=True):
    """The condition does not hold."""

    part: Condition


Condition = Comparison | Membership | AllOf | AnyOf | Negation


class Space(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole parameter space.

    `sample` is the number of points drawn from the product, before repeats and filter; the same
    seed draws the same points.
    """

    node: Node
    where: Condition | None = None
    repeat: int = 1
    sample: int | None = None
    seed: int = 0

    def count(self) -> int:
        """Return the number of points, including those that the filter leaves out."""
        unsampled_count = self.node.count()
        if self.sample is not None:
            unsampled_count = min(unsampled_count, self.sample)
        return unsampled_count * self.repeat

    def names(self) -> list[str]:
        """Return the names of the parameters bound, in the order of the text."""
        return self.node.names()

    def point_values(self, index: int) -> dict[str, Value] | None:
        """Return the parameter values of a point by its index; None if filtered out."""
        index, repetition = divmod(index, self.repeat)
        bindings: dict[str, Value] = {}
        if self.sample is not None and self.sample < (unsampled_count := self.node.count()):
            index = permuted_index(index, unsampled_count, self.seed)
        self.node.bind_values(index, bindings)
        bindings[REPETITION_PARAMETER] = repetition
        if self.where is not None and not satisfies(self.where, bindings):
            return None
        return bindings


def check_space(space: Space, max_points: int) -> None:
    """Raise `SpaceError` if the space is invalid, is empty or has over `max_points` points."""
    names = space.names()
    for name in names:
        if names.count(name) > 1:
            raise SpaceError(f"{name} is bound twice")
        if name in (INDEX_PARAMETER, REPETITION_PARAMETER):
            raise SpaceError(f"{name} is a reserved name: choose another one")
    if space.repeat < 1:
        raise SpaceError("repeat must be at least 1")
    if space.sample is not None and space.sample < 1:
        raise SpaceError("sample must be at least 1")
    bound_names = {*names, REPETITION_PARAMETER}
    for name in _referenced_names(space.where) if space.where is not None else ():
        if name not in bound_names:
            raise SpaceError(f"the filter names {name}, which is not bound")
    count = space.count()
    if count == 0:
        raise SpaceError("the space has no points")
    if count > max_points:
        raise SpaceError(f"the space has {count} points; {max_points} are allowed")


def _referenced_names(part: Condition | Operand) -> Iterator[str]:
    if isinstance(part, ParameterReference):
        yield part.name
    elif isinstance(part, Arithmetic | Comparison):
        yield from _referenced_names(part.left)
        yield from _referenced_names(part.right)
    elif isinstance(part, Membership):
        yield from _referenced_names(part.left)
    elif isinstance(part, AllOf | AnyOf):
        for inner in part.parts:
            yield from _referenced_names(inner)
    elif isinstance(part, Negation):
        yield from _referenced_names(part.part)


def satisfies(condition: Condition, point: dict[str, Value]) -> bool:
    """Return whether a point satisfies a condition.

    Values that can't be compared are neither equal, less nor greater; a comparison with an operand
    that can't be computed is false.
    """
    if isinstance(condition, AllOf):
        return all(satisfies(part, point) for part in condition.parts)
    if isinstance(condition, AnyOf):
        return any(satisfies(part, point) for part in condition.parts)
    if isinstance(condition, Negation):
        return not satisfies(condition.part, point)
    left = _evaluate(condition.left, point)
    if isinstance(condition, Membership):
        return left is not None and any(_equal(left, value) for value in condition.values)
    right = _evaluate(condition.right, point)
    if left is None or right is None:
        return False
    if condition.op in ("==", "!="):
        return _equal(left, right) == (condition.op == "==")
    if isinstance(left, str) != isinstance(right, str):
        return False
    a: Any = left
    b: Any = right
    return bool({"<": a < b, "<=": a <= b, ">": a > b, ">=": a >= b}[condition.op])


def _equal(left: Value, right: Value) -> bool:
    # Python takes True for 1; here a flag never equals a number.
    return isinstance(left, bool) == isinstance(right, bool) and left == right


def _evaluate(operand: Operand, point: dict[str, Value]) -> Value | None:
    if isinstance(operand, Constant):
        return operand.value
    if isinstance(operand, ParameterReference):
        return point.get(operand.name)
    left, right = _evaluate(operand.left, point), _evaluate(operand.right, point)
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


def permuted_index(index: int, size: int, seed: int) -> int:
    """Return the number at an index of a pseudorandom permutation of `size` numbers.

    Applies a Feistel network over the next even power of two until the result is in the range,
    fewer than four times on average.
    """
    half = max(1, ((size - 1).bit_length() + 1) // 2)
    mask = (1 << half) - 1
    while True:
        left, right = index >> half, index & mask
        for round_number in range(4):
            text = b"%d %d %d" % (seed, round_number, right)
            round_hash = int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "little")
            left, right = right, left ^ (round_hash & mask)
        index = left << half | right
        if index < size:
            return index

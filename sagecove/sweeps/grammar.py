"""Parses the text language of parameter spaces with lark, and formats spaces as text.

firm in ["north", "south"] * depth in 1..5 by 2 * rate in log(0.001, 1, 4)
(firm in ["a", "b"] & cpus in [2, 4]) * seed in 0..99 where cpus * seed < 100
depth in 1..1000 repeat 3 sample 50 seed 7
"""

from __future__ import annotations

import functools
import json
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, UnexpectedToken
from lark.exceptions import VisitError

from sagecove.sweeps import parameter_space as space_types

GRAMMAR = r"""
start: _product tail
_product: product
product: zipped ("*" zipped)*
zipped: _factor ("&" _factor)*
_factor: axis | "(" product ")"
axis: NAME "in" _source
_source: listed | range | log | lin
listed: "[" literal ("," literal)* "]"
range: number ".." number ("by" number)?
log: "log" "(" number "," number "," count ")"
lin: "lin" "(" number "," number "," count ")"
tail: where? repeat? sample?
where: "where" some
repeat: "repeat" count
sample: "sample" count ("seed" count)?
some: every ("or" every)*
every: _test ("and" _test)*
_test: negated | compare | member | "(" some ")"
negated: "not" _test
compare: sum COMPARE sum
member: sum "in" listed
?sum: term | sum "+" term -> add | sum "-" term -> sub
?term: atom | term "*" atom -> mul | term "/" atom -> div | term "%" atom -> mod
?atom: literal -> const | NAME -> name | "{" sum "}"
literal: number | TEXT -> text | "true" -> true | "false" -> false
number: UNSIGNED -> plus | "-" UNSIGNED -> minus
count: DIGITS
COMPARE: "==" | "!=" | "<=" | ">=" | "<" | ">"
NAME: /(?!(in|where|and|or|not|true|false)\b)[A-Za-z_][A-Za-z0-9_]*/
DIGITS.2: /\d+(?![\d.eE])/
UNSIGNED: /\d+(\.\d+)?([eE][+-]?\d+)?/
TEXT: /"([^"\\\n]|\\.)*"/
COMMENT: /#[^\n]*/
%ignore /\s+/
%ignore COMMENT
"""

# Descriptions of terminals for error messages; other terminals are shown by their text.
TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "DIGITS": "a whole number",
    "UNSIGNED": "a number",
    "TEXT": 'a text in "quotes"',
    "COMPARE": "a comparison",
    "$END": "the end",
}


class GrammarError(ValueError):
    """An expression can't be parsed; has line and column (from 1) and what was expected there."""

    def __init__(self, line: int, column: int, problem: str) -> None:
        super().__init__(f"line {line}, column {column}: {problem}")
        self.line, self.column, self.problem = line, column, problem


class _SpaceBuilder(Transformer[Token, Any]):
    """Builds the structs of `parameter_space` from the parse tree."""

    def start(self, parts: list[Any]) -> space_types.Space:
        return space_types.Space(parts[0], **parts[1])

    def product(self, parts: list[Any]) -> space_types.Node:
        return parts[0] if len(parts) == 1 else space_types.Product(parts)

    def zipped(self, parts: list[Any]) -> space_types.Node:
        return parts[0] if len(parts) == 1 else space_types.Zip(parts)

    def axis(self, parts: list[Any]) -> space_types.Axis:
        return space_types.Axis(str(parts[0]), parts[1])

    def listed(self, parts: list[Any]) -> space_types.ValueList:
        return space_types.ValueList(parts)

    def range(self, parts: list[Any]) -> space_types.Range:
        step = parts[2] if len(parts) > 2 else 1 if parts[1] >= parts[0] else -1
        return space_types.Range(parts[0], parts[1], step)

    def log(self, parts: list[Any]) -> space_types.EvenSpacing:
        return space_types.EvenSpacing(parts[0], parts[1], parts[2], True)

    def lin(self, parts: list[Any]) -> space_types.EvenSpacing:
        return space_types.EvenSpacing(parts[0], parts[1], parts[2])

    def tail(self, parts: list[Any]) -> dict[str, Any]:
        return {name: value for part in parts for name, value in part.items()}

    def where(self, parts: list[Any]) -> dict[str, Any]:
        return {"where": parts[0]}

    def repeat(self, parts: list[Any]) -> dict[str, Any]:
        return {"repeat": parts[0]}

    def sample(self, parts: list[Any]) -> dict[str, Any]:
        return {"sample": parts[0], "seed": parts[1] if len(parts) > 1 else 0}

    def some(self, parts: list[Any]) -> space_types.Condition:
        return parts[0] if len(parts) == 1 else space_types.AnyOf(parts)

    def every(self, parts: list[Any]) -> space_types.Condition:
        return parts[0] if len(parts) == 1 else space_types.AllOf(parts)

    def negated(self, parts: list[Any]) -> space_types.Negation:
        return space_types.Negation(parts[0])

    def compare(self, parts: list[Any]) -> space_types.Comparison:
        return space_types.Comparison(str(parts[1]), parts[0], parts[2])

    def member(self, parts: list[Any]) -> space_types.Membership:
        return space_types.Membership(parts[0], parts[1].values)

    def const(self, parts: list[Any]) -> space_types.Constant:
        return space_types.Constant(parts[0])

    def name(self, parts: list[Any]) -> space_types.ParameterReference:
        return space_types.ParameterReference(str(parts[0]))

    def literal(self, parts: list[space_types.Value]) -> space_types.Value:
        return parts[0]

    def text(self, parts: list[Any]) -> str:
        return str(json.loads(str(parts[0])))

    def true(self, _: list[Any]) -> bool:
        return True

    def false(self, _: list[Any]) -> bool:
        return False

    def plus(self, parts: list[Any]) -> int | float:
        return _number(str(parts[0]))

    def minus(self, parts: list[Any]) -> int | float:
        return -_number(str(parts[0]))

    def count(self, parts: list[Any]) -> int:
        return int(parts[0])

    def add(self, parts: list[Any]) -> space_types.Arithmetic:
        return space_types.Arithmetic("+", *parts)

    def sub(self, parts: list[Any]) -> space_types.Arithmetic:
        return space_types.Arithmetic("-", *parts)

    def mul(self, parts: list[Any]) -> space_types.Arithmetic:
        return space_types.Arithmetic("*", *parts)

    def div(self, parts: list[Any]) -> space_types.Arithmetic:
        return space_types.Arithmetic("/", *parts)

    def mod(self, parts: list[Any]) -> space_types.Arithmetic:
        return space_types.Arithmetic("%", *parts)


def _number(text: str) -> int | float:
    return int(text) if text.isdigit() else float(text)


@functools.cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


def parse_space(text: str) -> space_types.Space:
    """Parse the text of a space; raises `GrammarError` with the position of an error."""
    if len(text) > 8000:
        raise GrammarError(1, 1, f"the expression has {len(text)} characters; 8000 are allowed")
    try:
        space: space_types.Space = _SpaceBuilder().transform(_parser().parse(text))
        return space
    except UnexpectedInput as error:
        line, column = error.line, error.column
        if isinstance(error, UnexpectedToken) and error.token.type == "$END":
            lines = text.split("\n")
            line, column = len(lines), len(lines[-1]) + 1
        raise GrammarError(line, column, _expected(error)) from None
    except VisitError as error:
        raise GrammarError(1, 1, str(error.orig_exc)) from None


def _expected(error: UnexpectedInput) -> str:
    names = getattr(error, "accepts", None) or getattr(error, "allowed", None) or ()
    expectations = sorted(
        {TERMINAL_DESCRIPTIONS.get(str(name)) or f"`{_terminal_text(str(name))}`" for name in names}
    )
    return f"expected {' or '.join(expectations)}" if expectations else "cannot be read"


def _terminal_text(name: str) -> str:
    found = [t.pattern.value for t in _parser().terminals if t.name == name]
    return found[0] if found else name


def format_space(space: space_types.Space) -> str:
    """Format a space as text; parsing the text gives the same space again."""
    text = _format_node(space.node, 0)
    if space.where is not None:
        text += f" where {_format_condition(space.where, 0)}"
    if space.repeat != 1:
        text += f" repeat {space.repeat}"
    if space.sample is not None:
        text += f" sample {space.sample}" + (f" seed {space.seed}" if space.seed else "")
    return text


def _format_literal(value: space_types.Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value) if isinstance(value, str) else repr(value)


def _format_node(node: space_types.Node, depth: int) -> str:
    if isinstance(node, space_types.Axis):
        return f"{node.name} in {_format_source(node.source)}"
    joined = (" * " if isinstance(node, space_types.Product) else " & ").join(
        _format_node(
            part,
            1
            if isinstance(node, space_types.Product) and not isinstance(part, space_types.Product)
            else 2,
        )
        for part in node.parts
    )
    return (
        f"({joined})" if depth > 1 or (depth and isinstance(node, space_types.Product)) else joined
    )


def _format_source(source: space_types.Source) -> str:
    if isinstance(source, space_types.ValueList):
        return "[" + ", ".join(_format_literal(value) for value in source.values) + "]"
    if isinstance(source, space_types.Range):
        default_step = 1 if source.last >= source.first else -1
        step_suffix = "" if source.step == default_step else f" by {source.step!r}"
        return f"{source.first!r}..{source.last!r}{step_suffix}"
    name = "log" if source.log else "lin"
    return f"{name}({source.first!r}, {source.last!r}, {source.number})"


def _format_condition(part: space_types.Condition, depth: int) -> str:
    if isinstance(part, space_types.Negation):
        return f"not {_format_condition(part.part, 2)}"
    if isinstance(part, space_types.Comparison):
        return f"{_format_operand(part.left)} {part.op} {_format_operand(part.right)}"
    if isinstance(part, space_types.Membership):
        return (
            f"{_format_operand(part.left)} in {_format_source(space_types.ValueList(part.values))}"
        )
    word, inner = (" or ", 1) if isinstance(part, space_types.AnyOf) else (" and ", 2)
    text = word.join(_format_condition(p, inner) for p in part.parts)
    needs_parentheses = depth > 1 or (depth == 1 and isinstance(part, space_types.AnyOf))
    return f"({text})" if needs_parentheses else text


def _format_operand(part: space_types.Operand, nested: bool = False) -> str:
    if isinstance(part, space_types.Constant):
        return _format_literal(part.value)
    if isinstance(part, space_types.ParameterReference):
        return part.name
    text = f"{_format_operand(part.left, True)} {part.op} {_format_operand(part.right, True)}"
    return "{" + text + "}" if nested else text

"""The language of spaces: parsed with lark, and printed back.

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

from sagecove.sweeps import parameter_space as e

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

# What a user may be told to write, by the grammar's names; of all others their text.
TERMS = {
    "NAME": "a name",
    "DIGITS": "a whole number",
    "UNSIGNED": "a number",
    "TEXT": 'a text in "quotes"',
    "COMPARE": "a comparison",
    "$END": "the end",
}


class GrammarError(ValueError):
    """An expression that cannot be read: line and column (from 1) and what was expected there."""

    def __init__(self, line: int, column: int, problem: str) -> None:
        super().__init__(f"line {line}, column {column}: {problem}")
        self.line, self.column, self.problem = line, column, problem


class _Build(Transformer[Token, Any]):
    """From the tree to the structs of `expand`."""

    def start(self, parts: list[Any]) -> e.Space:
        return e.Space(parts[0], **parts[1])

    def product(self, parts: list[Any]) -> e.Node:
        return parts[0] if len(parts) == 1 else e.Product(parts)

    def zipped(self, parts: list[Any]) -> e.Node:
        return parts[0] if len(parts) == 1 else e.Zip(parts)

    def axis(self, parts: list[Any]) -> e.Axis:
        return e.Axis(str(parts[0]), parts[1])

    def listed(self, parts: list[Any]) -> e.ValueList:
        return e.ValueList(parts)

    def range(self, parts: list[Any]) -> e.Range:
        step = parts[2] if len(parts) > 2 else 1 if parts[1] >= parts[0] else -1
        return e.Range(parts[0], parts[1], step)

    def log(self, parts: list[Any]) -> e.Spread:
        return e.Spread(parts[0], parts[1], parts[2], True)

    def lin(self, parts: list[Any]) -> e.Spread:
        return e.Spread(parts[0], parts[1], parts[2])

    def tail(self, parts: list[Any]) -> dict[str, Any]:
        return {name: value for part in parts for name, value in part.items()}

    def where(self, parts: list[Any]) -> dict[str, Any]:
        return {"where": parts[0]}

    def repeat(self, parts: list[Any]) -> dict[str, Any]:
        return {"repeat": parts[0]}

    def sample(self, parts: list[Any]) -> dict[str, Any]:
        return {"sample": parts[0], "seed": parts[1] if len(parts) > 1 else 0}

    def some(self, parts: list[Any]) -> e.Condition:
        return parts[0] if len(parts) == 1 else e.Some(parts)

    def every(self, parts: list[Any]) -> e.Condition:
        return parts[0] if len(parts) == 1 else e.Every(parts)

    def negated(self, parts: list[Any]) -> e.Not:
        return e.Not(parts[0])

    def compare(self, parts: list[Any]) -> e.Compare:
        return e.Compare(str(parts[1]), parts[0], parts[2])

    def member(self, parts: list[Any]) -> e.Member:
        return e.Member(parts[0], parts[1].values)

    def const(self, parts: list[Any]) -> e.Const:
        return e.Const(parts[0])

    def name(self, parts: list[Any]) -> e.Name:
        return e.Name(str(parts[0]))

    def literal(self, parts: list[e.Value]) -> e.Value:
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

    def add(self, parts: list[Any]) -> e.Arithmetic:
        return e.Arithmetic("+", *parts)

    def sub(self, parts: list[Any]) -> e.Arithmetic:
        return e.Arithmetic("-", *parts)

    def mul(self, parts: list[Any]) -> e.Arithmetic:
        return e.Arithmetic("*", *parts)

    def div(self, parts: list[Any]) -> e.Arithmetic:
        return e.Arithmetic("/", *parts)

    def mod(self, parts: list[Any]) -> e.Arithmetic:
        return e.Arithmetic("%", *parts)


def _number(text: str) -> int | float:
    return int(text) if text.isdigit() else float(text)


@functools.cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


def parse_space(text: str) -> e.Space:
    """A space from its text; `GrammarError` names the place."""
    if len(text) > 8000:
        raise GrammarError(1, 1, f"the expression has {len(text)} characters; 8000 are allowed")
    try:
        space: e.Space = _Build().transform(_parser().parse(text))
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
    told = sorted({TERMS.get(str(name)) or f"`{_text_of(str(name))}`" for name in names})
    return f"expected {' or '.join(told)}" if told else "cannot be read"


def _text_of(name: str) -> str:
    found = [t.pattern.value for t in _parser().terminals if t.name == name]
    return found[0] if found else name


def show(space: e.Space) -> str:
    """The text of a space: parsing it gives the same space again."""
    out = _node(space.node, 0)
    if space.where is not None:
        out += f" where {_condition(space.where, 0)}"
    if space.repeat != 1:
        out += f" repeat {space.repeat}"
    if space.sample is not None:
        out += f" sample {space.sample}" + (f" seed {space.seed}" if space.seed else "")
    return out


def _literal(value: e.Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value) if isinstance(value, str) else repr(value)


def _node(node: e.Node, depth: int) -> str:
    if isinstance(node, e.Axis):
        return f"{node.name} in {_source(node.source)}"
    joined = (" * " if isinstance(node, e.Product) else " & ").join(
        _node(part, 1 if isinstance(node, e.Product) and not isinstance(part, e.Product) else 2)
        for part in node.parts
    )
    return f"({joined})" if depth > 1 or (depth and isinstance(node, e.Product)) else joined


def _source(source: e.Source) -> str:
    if isinstance(source, e.ValueList):
        return "[" + ", ".join(_literal(value) for value in source.values) + "]"
    if isinstance(source, e.Range):
        usual = 1 if source.last >= source.first else -1
        by = "" if source.step == usual else f" by {source.step!r}"
        return f"{source.first!r}..{source.last!r}{by}"
    name = "log" if source.log else "lin"
    return f"{name}({source.first!r}, {source.last!r}, {source.number})"


def _condition(part: e.Condition, depth: int) -> str:
    if isinstance(part, e.Not):
        return f"not {_condition(part.part, 2)}"
    if isinstance(part, e.Compare):
        return f"{_operand(part.left)} {part.op} {_operand(part.right)}"
    if isinstance(part, e.Member):
        return f"{_operand(part.left)} in {_source(e.ValueList(part.values))}"
    word, inner = (" or ", 1) if isinstance(part, e.Some) else (" and ", 2)
    text = word.join(_condition(p, inner) for p in part.parts)
    needs = depth > 1 or (depth == 1 and isinstance(part, e.Some))
    return f"({text})" if needs else text


def _operand(part: e.Operand, inside: bool = False) -> str:
    if isinstance(part, e.Const):
        return _literal(part.value)
    if isinstance(part, e.Name):
        return part.name
    text = f"{_operand(part.left, True)} {part.op} {_operand(part.right, True)}"
    return "{" + text + "}" if inside else text

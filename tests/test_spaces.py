"""Tests of parameter spaces (expansion by index, text language, errors) and of template values.

They guard against controllers that disagree on what a point is, and jobs with values that their
template doesn't allow.
"""

from itertools import product
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagecove.sweeps import parameter_space as space_types
from sagecove.sweeps.grammar import GrammarError, format_space, parse_space
from sagecove.sweeps.records import Parameter, Template
from sagecove.sweeps.template import CompiledTemplate, TemplateError, accepts_value, differences

DETERMINISTIC = settings(derandomize=True, max_examples=150, deadline=None)

numbers = st.one_of(
    st.integers(-50, 50), st.floats(-50, 50).map(lambda x: round(x, 3)).filter(lambda x: x != 0)
)
texts = st.text(st.characters(blacklist_categories=("Cs", "Cc")), max_size=5)
values = st.one_of(numbers, texts, st.booleans())
value_lists = st.lists(values, min_size=1, max_size=4).map(space_types.ValueList)
ranges = st.tuples(st.integers(-9, 9), st.integers(0, 6), st.integers(1, 3)).map(
    lambda t: space_types.Range(t[0], t[0] + t[1], t[2])
)
descending_ranges = st.tuples(st.integers(-9, 9), st.integers(1, 6)).map(
    lambda t: space_types.Range(t[0], t[0] - t[1], -1)
)
fractional_ranges = st.tuples(st.integers(0, 20), st.integers(1, 9)).map(
    lambda t: space_types.Range(0.0, t[0] / 10, t[1] / 10)
)
linear_spacings = st.tuples(numbers, numbers, st.integers(1, 4)).map(
    lambda t: space_types.EvenSpacing(*t)
)
logarithmic_spacings = st.tuples(st.integers(1, 9), st.integers(1, 99), st.integers(1, 4)).map(
    lambda t: space_types.EvenSpacing(*t, True)
)
sources = st.one_of(
    value_lists, ranges, descending_ranges, fractional_ranges, linear_spacings, logarithmic_spacings
)


@st.composite
def nodes(draw: Any, names: list[str] | None = None, depth: int = 2) -> space_types.Node:
    names = names if names is not None else [f"p{n}" for n in range(12)]
    kind = draw(st.sampled_from(["axis", "product", "zip"])) if depth and len(names) > 3 else "axis"
    if kind == "axis":
        return space_types.Axis(names.pop(), draw(sources))
    parts = [draw(nodes(names, depth - 1)) for _ in range(draw(st.integers(2, 3))) if names]
    if len(parts) < 2:
        return parts[0]
    if kind == "zip":
        # Only parts of equal length may be zipped.
        parts = [p for p in parts if p.count() == parts[0].count()]
        return space_types.Zip(parts) if len(parts) > 1 else parts[0]
    return space_types.Product(parts)


def operands(names: list[str]) -> Any:
    leaf = st.one_of(
        st.sampled_from(names).map(space_types.ParameterReference), values.map(space_types.Constant)
    )
    return st.recursive(
        leaf,
        lambda inner: st.builds(space_types.Arithmetic, st.sampled_from("+-*/%"), inner, inner),
        max_leaves=3,
    )


def conditions(names: list[str]) -> Any:
    compared = st.builds(
        space_types.Comparison,
        st.sampled_from(["==", "!=", "<", "<=", ">", ">="]),
        operands(names),
        operands(names),
    )
    member = st.builds(
        space_types.Membership, operands(names), st.lists(values, min_size=1, max_size=3)
    )
    return st.recursive(
        st.one_of(compared, member),
        lambda inner: st.one_of(
            st.lists(inner, min_size=2, max_size=3).map(space_types.AllOf),
            st.lists(inner, min_size=2, max_size=3).map(space_types.AnyOf),
            inner.map(space_types.Negation),
        ),
        max_leaves=4,
    )


@st.composite
def spaces(draw: Any, sampled: bool = True) -> space_types.Space:
    node = draw(nodes())
    where = draw(st.none() | conditions(node.names()))
    sample = draw(st.none() | st.integers(1, 30)) if sampled else None
    seed = draw(st.integers(0, 9)) if sample is not None else 0
    return space_types.Space(node, where, draw(st.integers(1, 3)), sample, seed)


def expand_all(node: space_types.Node) -> list[dict[str, Any]]:
    """Return all points of a node by listing them."""
    if isinstance(node, space_types.Axis):
        return [{node.name: node.source.value_at(k)} for k in range(node.source.count())]
    lists = [expand_all(part) for part in node.parts]
    rows = product(*lists) if isinstance(node, space_types.Product) else zip(*lists, strict=True)
    return [{k: v for part in row for k, v in part.items()} for row in rows]


@DETERMINISTIC
@given(spaces(sampled=False))
def test_expansion_by_index_equals_full_listing(space: space_types.Space) -> None:
    expected_points = []
    for point in expand_all(space.node):
        for repetition in range(space.repeat):
            full = {**point, "repetition": repetition}
            expected_points.append(
                full if space.where is None or space_types.satisfies(space.where, full) else None
            )
    assert [space.point_values(k) for k in range(space.count())] == expected_points


@DETERMINISTIC
@given(spaces())
def test_formatted_space_parses_back(space: space_types.Space) -> None:
    text = format_space(space)
    reparsed = parse_space(text)
    assert format_space(reparsed) == text
    assert [reparsed.point_values(k) for k in range(min(50, reparsed.count()))] == [
        space.point_values(k) for k in range(min(50, space.count()))
    ]


@DETERMINISTIC
@given(st.integers(1, 3000), st.integers(0, 99))
def test_sample_draws_no_point_twice(size: int, seed: int) -> None:
    drawn_points = [space_types.permuted_index(k, size, seed) for k in range(size)]
    assert sorted(drawn_points) == list(range(size))


def test_sample_of_huge_space_needs_no_listing() -> None:
    space = parse_space("a in 1..1000000 * b in 1..1000000 sample 5 seed 3")
    space_types.check_space(space, 100)
    drawn_points = [space.point_values(k) for k in range(space.count())]
    assert len({str(p) for p in drawn_points}) == 5 and drawn_points == [
        space.point_values(k) for k in range(5)
    ]
    other = parse_space("a in 1..1000000 * b in 1..1000000 sample 5 seed 4")
    assert other.point_values(0) != space.point_values(0)


def test_fractional_range_has_no_rounding_errors() -> None:
    space = parse_space("x in 0..1 by 0.1")
    assert [space.point_values(k)["x"] for k in range(space.count())] == [  # type: ignore[index]
        n / 10 for n in range(11)
    ]


@pytest.mark.parametrize(
    ("text", "line", "column", "expected"),
    [
        ("x in 1..", 1, 9, "a number"),
        ("x in [1, 2", 1, 11, "`]`"),
        ("x on [1]", 1, 3, "`in`"),
        ("", 1, 1, "a name"),
        ("x in [1]\n  * y in [2 3]", 2, 13, "`,`"),
        ("x in 1..3 where x", 1, 18, "a comparison"),
        ("x in 1..3 repeat 2.5", 1, 18, "a whole number"),
        ("x in 1..3 where x in y", 1, 22, "`[`"),
    ],
)
def test_error_names_position_and_expectation(
    text: str, line: int, column: int, expected: str
) -> None:
    with pytest.raises(GrammarError) as error:
        parse_space(text)
    assert (error.value.line, error.value.column) == (line, column)
    assert expected in error.value.problem


@DETERMINISTIC
@given(st.text('xyin[]()1.*&," whereptlog<=-+{}', max_size=40))
def test_parser_handles_any_text(text: str) -> None:
    try:
        space = parse_space(text)
    except GrammarError as error:
        assert error.line >= 1 and error.column >= 1 and error.problem
    else:
        assert parse_space(format_space(space)) == parse_space(
            format_space(parse_space(format_space(space)))
        )


parameter_kinds = st.sampled_from(["whole", "number", "text", "flag"])


@DETERMINISTIC
@given(parameter_kinds, values, st.none() | st.integers(-9, 9), st.none() | st.integers(-9, 9))
def test_accepted_value_is_within_limits(kind: str, value: Any, least: Any, most: Any) -> None:
    parameter = Parameter("p", kind, least=least, most=most)
    form = CompiledTemplate(Template("t", [parameter], {"herd": "${p}"}))
    if accepts_value(parameter, value):
        form.check_values({"p": value})
        if not isinstance(value, str):
            assert least is None or value >= least
            assert most is None or value <= most
    else:
        with pytest.raises(TemplateError, match="parameter p: given"):
            form.check_values({"p": value})


def test_differences_lists_changes_of_versions() -> None:
    old = Template("t", [Parameter("a", "whole"), Parameter("b", "text")], {"herd": "x"}, 1)
    new = Template("t", [Parameter("a", "whole", most=3), Parameter("c", "flag")], {"herd": "y"}, 2)
    assert differences(old, new) == [
        "parameter a, most: None -> 3",
        "parameter b is gone",
        "parameter c is new: true or false",
        "job, herd: 'x' -> 'y'",
    ]

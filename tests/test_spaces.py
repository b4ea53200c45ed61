"""Properties of spaces: expansion by index, text, errors; and of templates' values."""

from itertools import product
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagecove.sweeps import parameter_space as e
from sagecove.sweeps.grammar import GrammarError, parse_space, show
from sagecove.sweeps.records import Parameter, Template
from sagecove.sweeps.template import CompiledTemplate, TemplateError, differences, fits

QUIET = settings(derandomize=True, max_examples=150, deadline=None)

numbers = st.one_of(
    st.integers(-50, 50), st.floats(-50, 50).map(lambda x: round(x, 3)).filter(lambda x: x != 0)
)
texts = st.text(st.characters(blacklist_categories=("Cs", "Cc")), max_size=5)
values = st.one_of(numbers, texts, st.booleans())
listed = st.lists(values, min_size=1, max_size=4).map(e.ValueList)
ranges = st.tuples(st.integers(-9, 9), st.integers(0, 6), st.integers(1, 3)).map(
    lambda t: e.Range(t[0], t[0] + t[1], t[2])
)
falling = st.tuples(st.integers(-9, 9), st.integers(1, 6)).map(
    lambda t: e.Range(t[0], t[0] - t[1], -1)
)
fractions = st.tuples(st.integers(0, 20), st.integers(1, 9)).map(
    lambda t: e.Range(0.0, t[0] / 10, t[1] / 10)
)
spreads = st.tuples(numbers, numbers, st.integers(1, 4)).map(lambda t: e.Spread(*t))
logs = st.tuples(st.integers(1, 9), st.integers(1, 99), st.integers(1, 4)).map(
    lambda t: e.Spread(*t, True)
)
sources = st.one_of(listed, ranges, falling, fractions, spreads, logs)


@st.composite
def nodes(draw: Any, names: list[str] | None = None, depth: int = 2) -> e.Node:
    names = names if names is not None else [f"p{n}" for n in range(12)]
    kind = draw(st.sampled_from(["axis", "product", "zip"])) if depth and len(names) > 3 else "axis"
    if kind == "axis":
        return e.Axis(names.pop(), draw(sources))
    parts = [draw(nodes(names, depth - 1)) for _ in range(draw(st.integers(2, 3))) if names]
    if len(parts) < 2:
        return parts[0]
    if kind == "zip":
        # Only parts of one length may be zipped.
        parts = [p for p in parts if p.count() == parts[0].count()]
        return e.Zip(parts) if len(parts) > 1 else parts[0]
    return e.Product(parts)


def operands(names: list[str]) -> Any:
    leaf = st.one_of(st.sampled_from(names).map(e.Name), values.map(e.Const))
    return st.recursive(
        leaf,
        lambda inner: st.builds(e.Arithmetic, st.sampled_from("+-*/%"), inner, inner),
        max_leaves=3,
    )


def conditions(names: list[str]) -> Any:
    compared = st.builds(
        e.Compare,
        st.sampled_from(["==", "!=", "<", "<=", ">", ">="]),
        operands(names),
        operands(names),
    )
    member = st.builds(e.Member, operands(names), st.lists(values, min_size=1, max_size=3))
    return st.recursive(
        st.one_of(compared, member),
        lambda inner: st.one_of(
            st.lists(inner, min_size=2, max_size=3).map(e.Every),
            st.lists(inner, min_size=2, max_size=3).map(e.Some),
            inner.map(e.Not),
        ),
        max_leaves=4,
    )


@st.composite
def spaces(draw: Any, sampled: bool = True) -> e.Space:
    node = draw(nodes())
    where = draw(st.none() | conditions(node.names()))
    sample = draw(st.none() | st.integers(1, 30)) if sampled else None
    seed = draw(st.integers(0, 9)) if sample is not None else 0
    return e.Space(node, where, draw(st.integers(1, 3)), sample, seed)


def naive(node: e.Node) -> list[dict[str, Any]]:
    """All points of a node, written out."""
    if isinstance(node, e.Axis):
        return [{node.name: node.source.value_at(k)} for k in range(node.source.count())]
    lists = [naive(part) for part in node.parts]
    rows = product(*lists) if isinstance(node, e.Product) else zip(*lists, strict=True)
    return [{k: v for part in row for k, v in part.items()} for row in rows]


@QUIET
@given(spaces(sampled=False))
def test_expansion_by_index_equals_the_list_written_out(space: e.Space) -> None:
    wanted = []
    for point in naive(space.node):
        for turn in range(space.repeat):
            full = {**point, "repetition": turn}
            wanted.append(full if space.where is None or e.holds(space.where, full) else None)
    assert [space.point_values(k) for k in range(space.count())] == wanted


@QUIET
@given(spaces())
def test_a_space_is_printed_and_read_back_as_it_was(space: e.Space) -> None:
    text = show(space)
    again = parse_space(text)
    assert show(again) == text
    assert [again.point_values(k) for k in range(min(50, again.count()))] == [
        space.point_values(k) for k in range(min(50, space.count()))
    ]


@QUIET
@given(st.integers(1, 3000), st.integers(0, 99))
def test_a_sample_draws_no_point_twice(size: int, seed: int) -> None:
    drawn = [e.permuted(k, size, seed) for k in range(size)]
    assert sorted(drawn) == list(range(size))


def test_a_sample_of_a_huge_space_is_drawn_without_listing_it() -> None:
    space = parse_space("a in 1..1000000 * b in 1..1000000 sample 5 seed 3")
    e.check_space(space, 100)
    drawn = [space.point_values(k) for k in range(space.count())]
    assert len({str(p) for p in drawn}) == 5 and drawn == [space.point_values(k) for k in range(5)]
    other = parse_space("a in 1..1000000 * b in 1..1000000 sample 5 seed 4")
    assert other.point_values(0) != space.point_values(0)


def test_fractions_do_not_gather_errors() -> None:
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
def test_errors_name_line_column_and_what_was_expected(
    text: str, line: int, column: int, expected: str
) -> None:
    with pytest.raises(GrammarError) as error:
        parse_space(text)
    assert (error.value.line, error.value.column) == (line, column)
    assert expected in error.value.problem


@QUIET
@given(st.text('xyin[]()1.*&," whereptlog<=-+{}', max_size=40))
def test_no_text_breaks_the_parser(text: str) -> None:
    try:
        space = parse_space(text)
    except GrammarError as error:
        assert error.line >= 1 and error.column >= 1 and error.problem
    else:
        assert parse_space(show(space)) == parse_space(show(parse_space(show(space))))


kinds = st.sampled_from(["whole", "number", "text", "flag"])


@QUIET
@given(kinds, values, st.none() | st.integers(-9, 9), st.none() | st.integers(-9, 9))
def test_a_value_that_fits_is_what_the_job_gets(
    kind: str, value: Any, least: Any, most: Any
) -> None:
    parameter = Parameter("p", kind, least=least, most=most)
    form = CompiledTemplate(Template("t", [parameter], {"herd": "${p}"}))
    if fits(parameter, value):
        form.check_values({"p": value})
        if not isinstance(value, str):
            assert least is None or value >= least
            assert most is None or value <= most
    else:
        with pytest.raises(TemplateError, match="parameter p: given"):
            form.check_values({"p": value})


def test_differences_of_versions_are_listed() -> None:
    old = Template("t", [Parameter("a", "whole"), Parameter("b", "text")], {"herd": "x"}, 1)
    new = Template("t", [Parameter("a", "whole", most=3), Parameter("c", "flag")], {"herd": "y"}, 2)
    assert differences(old, new) == [
        "parameter a, most: None -> 3",
        "parameter b is gone",
        "parameter c is new: true or false",
        "job, herd: 'x' -> 'y'",
    ]

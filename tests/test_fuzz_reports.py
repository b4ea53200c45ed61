"""Reports of any shape: broken, half right, repeated. None does harm; the books stay right."""

import json
from typing import Any

from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.coordination.ledger_check import ledger_differences
from sagecove.coordination.owner import Owner
from tests.test_ledger import world_with_two_running_tasks

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=12),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)
STATES = st.sampled_from(["pulling", "waiting", "running", "saving", "exited", "dreaming"])
HANDS = st.fixed_dictionaries(
    {
        "hand": st.sampled_from(["run-000001/0", "run-000001/1", "run-000009/0", "x", "a/b/7"]),
        "try": st.integers(0, 2**40),
        "standing": STATES,
    },
    optional={"cause": st.sampled_from(["done", "stopped", "error", "busy", ""])},
)


def ask(owner: Owner, body: bytes) -> list[int]:
    """Statuses of what a report is answered with."""
    effects = owner.handle(
        [IncomingRequest("POST", "/hello", body, object())], owner.now + 0.01, owner.now
    )
    return [effect.status for effect in effects if isinstance(effect, Reply)]


@how(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.binary(max_size=200))
def test_bytes_that_are_no_report_are_answered_and_change_nothing(body: bytes) -> None:
    assert ask(OWNER, body) == [400]
    assert ledger_differences(OWNER) == []


@how(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.data())
def test_a_report_with_one_field_of_any_kind_does_no_harm(data: st.DataObject) -> None:
    field = data.draw(st.sampled_from(sorted(BODY)))
    body = {**BODY, field: data.draw(VALUES)}
    assert ask(OWNER, json.dumps(body).encode())[0] in (200, 400, 503)
    assert ledger_differences(OWNER) == []


@how(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.lists(HANDS, max_size=4), st.integers(0, 3), st.booleans())
def test_task_lists_of_any_kind_leave_the_books_right(
    hands: list[dict[str, Any]], later: int, twice: bool
) -> None:
    machine = OWNER.machines["vm-000000"]
    body = {
        **BODY,
        "ride": machine.session,
        "tally": machine.seq + later,
        "brand": machine.worker_token,
    }
    for number in range(1 + twice):
        # The second time the same list comes again: what was settled stays settled.
        raw = {**body, "tally": body["tally"] + number, "hands": hands}
        assert ask(OWNER, json.dumps(raw).encode())[0] in (200, 400, 503)
        assert ledger_differences(OWNER) == []


# A controller with a machine that runs two tasks, and that machine's next report.
WORLD = world_with_two_running_tasks(600.0)
OWNER: Owner = WORLD.owners["n0"]
BODY: dict[str, Any] = WORLD.workers["vm-000000"].body()

"""Malformed, partly valid and repeated reports must not crash a controller or corrupt its ledger.

Hypothesis generates the reports; the ledger is compared with a recount after each.
"""

import json
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.coordination.ledger_check import ledger_differences
from sagecove.coordination.owner import Owner
from tests.test_ledger import world_with_two_running_tasks

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=12),
    lambda values: (
        st.lists(values, max_size=3) | st.dictionaries(st.text(max_size=6), values, max_size=3)
    ),
    max_leaves=6,
)
STATES = st.sampled_from(["pulling", "waiting", "running", "saving", "exited", "dreaming"])
REPORTED_TASKS = st.fixed_dictionaries(
    {
        "hand": st.sampled_from(["run-000001/0", "run-000001/1", "run-000009/0", "x", "a/b/7"]),
        "try": st.integers(0, 2**40),
        "standing": STATES,
    },
    optional={"cause": st.sampled_from(["done", "stopped", "error", "busy", ""])},
)


def answer_statuses(owner: Owner, body: bytes) -> list[int]:
    """Status codes of the answers to a report; one that is held is answered without delay."""
    exchange = object()
    effects = owner.handle(
        [IncomingRequest("POST", "/hello", body, exchange)], owner.now + 0.01, owner.now
    )
    for machine in owner.machines.values():
        owner.workers.held_reports.answer_now(machine)
    effects += owner.handle([], owner.now + 0.01, owner.now)
    return [e.status for e in effects if isinstance(e, Reply) and e.exchange is exchange]


@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.binary(max_size=200))
def test_invalid_reports_change_nothing(body: bytes) -> None:
    assert answer_statuses(OWNER, body) == [400]
    assert ledger_differences(OWNER) == []


@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.data())
def test_reports_with_one_random_field(data: st.DataObject) -> None:
    field = data.draw(st.sampled_from(sorted(BODY)))
    body = {**BODY, field: data.draw(VALUES)}
    assert answer_statuses(OWNER, json.dumps(body).encode())[0] in (200, 400, 503)
    assert ledger_differences(OWNER) == []


@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.lists(REPORTED_TASKS, max_size=4), st.integers(0, 3), st.booleans())
def test_random_task_lists_keep_ledger_consistent(
    tasks: list[dict[str, Any]], later: int, twice: bool
) -> None:
    machine = OWNER.machines["vm-000000"]
    body = {
        **BODY,
        "ride": machine.session,
        "tally": machine.seq + later,
        "brand": machine.worker_token,
    }
    for number in range(1 + twice):
        # The second report repeats the task list, which takes the path for unchanged lists.
        raw = {**body, "tally": body["tally"] + number, "hands": tasks}
        assert answer_statuses(OWNER, json.dumps(raw).encode())[0] in (200, 400, 503)
        assert ledger_differences(OWNER) == []


# A controller with a machine that runs two tasks, and the machine's next report.
WORLD = world_with_two_running_tasks(600.0)
OWNER: Owner = WORLD.owners["n0"]
BODY: dict[str, Any] = WORLD.workers["vm-000000"].report_body()

"""A repeated submission of a sweep is told the state of the sweep, and nothing older.

Users submit a sweep at one controller, learn of its acceptance, cancellation or end, and repeat the
submission at once at all controllers, whose mirrors may be behind.
"""

import pytest

from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World
from tests.test_sweeps import is_over, submit_sweep, sweep_world

SPACE = "x in 1..6"


def delay_changes(world: World, *nodes: str) -> None:
    """Let these controllers learn of changes 0.6 s late, unless they read for a request."""
    world.state.answer_delay_of = lambda node, path: (
        0.6 if node in nodes and path.startswith("/watch") and "blockMs=0" not in path else 0.0
    )
    # A change ends the watches that are open already, whose answers are not delayed.
    world.submit("n0", job_submission(1))
    world.run(2)


def states_at_all_nodes(world: World, **fields: object) -> list[tuple[int, str]]:
    """Repeat the submission at all controllers; return statuses and states (or errors)."""
    answers = [submit_sweep(world, SPACE, node, **fields) for node in sorted(world.owners)]
    return [(status, body.get("state") or body.get("error")) for status, body in answers]


def test_repeated_sweep_is_known_at_once_at_all_controllers() -> None:
    # Guards against 404 for an accepted sweep.
    world = sweep_world()
    delay_changes(world, "n1", "n2")
    assert submit_sweep(world, SPACE)[0] == 201
    assert {status for status, _ in states_at_all_nodes(world)} == {200}


def test_repeated_sweep_is_cancelled_at_once_at_all_controllers() -> None:
    # Guards against `pending` for a sweep whose cancellation was confirmed.
    world = sweep_world()
    for worker in world.workers.values():
        worker.task_run_s = 60.0
    assert submit_sweep(world, SPACE)[0] == 201
    world.run(2)
    delay_changes(world, "n1", "n2")
    assert world.user_request("n0", "POST", "/api/sweeps/run-s/cancel")[1]["state"] == "aborted"
    assert states_at_all_nodes(world) == [(200, "aborted")] * 3


@pytest.mark.parametrize("hands", [1, 2])
def test_repeated_sweep_is_known_while_and_after_its_points_end(hands: int) -> None:
    # Guards against 422 once a point with a job record of its own (of several tasks) has ended.
    world = sweep_world()
    assert submit_sweep(world, SPACE, hands=hands)[0] == 201
    while not is_over(world):
        assert {status for status, _ in states_at_all_nodes(world, hands=hands)} == {200}
        world.run(0.5)
    assert states_at_all_nodes(world, hands=hands) == [(200, "done")] * 3


def test_repeated_cancelled_sweep_is_known_while_jobs_of_its_points_remain() -> None:
    # Guards against 422 as long as jobs of the cancelled sweep's points have records.
    world = sweep_world()
    fields = {"hands": 2, "shape": "service"}
    assert submit_sweep(world, SPACE, **fields)[0] == 201
    world.run(3)
    assert world.user_request("n0", "POST", "/api/sweeps/run-s/cancel")[1]["state"] == "aborted"
    for _ in range(20):
        assert states_at_all_nodes(world, **fields) == [(200, "aborted")] * 3
        world.run(0.1)

"""The cancellation of a point of several tasks meets the writing of the point's own job record."""

from typing import Any

import pytest

from sagecove.lab.world import World
from tests.test_sweeps import point_job, started_tasks, sweep_world

POINT = "run-s.p2"


def cancel_until_confirmed(world: World) -> None:
    """Cancel the point at n0, again and again until that is confirmed."""

    def on_answer(status: int, answer: Any) -> None:
        if status != 200:
            world.call_later(0.02, lambda: cancel_until_confirmed(world))

    world.start_user_request("n0", "POST", f"/api/jobs/{POINT}/cancel", b"", on_answer)


@pytest.mark.parametrize("delay_s", [0.0, 0.06, 0.3, 1.0])
@pytest.mark.parametrize("cancelled_after_s", [0.0, 0.02, 0.04, 0.06, 0.08])
def test_point_that_becomes_a_job_meanwhile_is_cancelled_as_a_job(
    cancelled_after_s: float, delay_s: float
) -> None:
    # Guards against a cancellation that was confirmed and noted in the block alone: the job of the
    # point, written while the block was read for the cancellation, lived on and ran.
    world = sweep_world()
    world.state.answer_delay_of = lambda node, path: (
        delay_s if path.startswith("/store/o/points") else 0.0
    )
    body = {"id": "run-s", "space": "x in 1..4", "job": point_job(hands=2)}
    world.start_user_request("n0", "POST", "/api/sweeps", body)
    world.call_later(cancelled_after_s, lambda: cancel_until_confirmed(world))
    world.run_until(lambda: world.reported_states.get(POINT) == "aborted", 5)
    for _ in range(20):
        for node in sorted(world.owners):
            status, answer = world.user_request(node, "GET", f"/api/jobs/{POINT}")
            assert (status, answer["standing"]) == (200, "aborted")
        world.run(0.3)
    assert not [task for task, _ in world.starts_after_cancel if task.startswith(f"{POINT}/")]
    assert [task for task in started_tasks(world) if task.startswith("run-s.p1/")]

"""A repeated submission that meets an open one is not answered from that one's older outcome.

A controller's transaction for a submission is executed at once and answered late. Meanwhile users
learn from other controllers that the job is accepted and cancelled, or done, and repeat the
submission at the first controller.
"""

from typing import Any

import pytest

from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World, job_state, world_with_machines

JOB = "run-000001"
SLOW_ANSWER_S = 0.9


def delay_answer_to_submission(world: World, node: str, delay_s: float = SLOW_ANSWER_S) -> None:
    """Delay the answers to the transactions of a controller, which are executed at once."""
    world.state.answer_delay_of = lambda client, path: (
        delay_s if (client, path) == (node, "/commit") else 0.0
    )


def start_submission(world: World, node: str) -> None:
    world.start_user_request(node, "POST", "/api/jobs", world.specs[JOB])


def answers_of(world: World, node: str, count: int = 1) -> list[tuple[int, Any]]:
    """Submit the known job several times at once and return the answers."""
    answers: list[tuple[int, Any]] = []
    for _ in range(count):
        world.start_user_request(
            node, "POST", "/api/jobs", world.specs[JOB], on_answer=lambda *a: answers.append(a)
        )
    world.run(6)
    return answers


@pytest.mark.parametrize("repeats", [1, 5])
def test_joined_submission_is_not_told_the_state_before_a_cancellation(repeats: int) -> None:
    # Guards against review/3: a repeated submission was told `pending` after the cancellation.
    world = world_with_machines(3)
    world.add_spec(job_submission(1, hands=1))
    delay_answer_to_submission(world, "n0")
    start_submission(world, "n0")
    world.run(0.1)
    assert job_state(world, "n1", JOB) in ("pending", "running")
    assert world.user_request("n1", "POST", f"/api/jobs/{JOB}/cancel")[1]["standing"] == "aborted"
    world.run(0.3)
    answers = answers_of(world, "n0", repeats)
    assert [answer for _, answer in answers] == [{"nameId": JOB, "standing": "aborted"}] * repeats


def test_joined_submission_is_not_told_the_state_before_the_end() -> None:
    # Guards against `pending` for a job that another controller has reported as done.
    world = world_with_machines(3)
    world.add_spec(job_submission(1, hands=1))
    for worker in world.workers.values():
        worker.task_run_s = 0.1
    for owner in world.owners.values():
        # The job is claimed, run and finished by another controller.
        owner.users.claim_at_submission = lambda job: None  # type: ignore[method-assign]
    delay_answer_to_submission(world, "n0", 2.4)
    start_submission(world, "n0")
    world.run_until(lambda: job_state(world, "n1", JOB) == "done", 2.3)
    assert [answer["standing"] for _, answer in answers_of(world, "n0")] == ["done"]


def test_first_submission_is_told_an_end_that_its_controller_has_seen() -> None:
    # Guards against 201 `pending` from a controller whose mirror shows that the job is over.
    world = world_with_machines(3)
    world.add_spec(job_submission(1, hands=1))
    delay_answer_to_submission(world, "n0")
    answers: list[tuple[int, Any]] = []
    world.start_user_request(
        "n0", "POST", "/api/jobs", world.specs[JOB], on_answer=lambda *a: answers.append(a)
    )
    world.run(0.1)
    assert world.user_request("n1", "POST", f"/api/jobs/{JOB}/cancel")[1]["standing"] == "aborted"
    world.run(3)
    assert answers == [(200, {"nameId": JOB, "standing": "aborted"})]


def test_submissions_are_told_to_retry_if_the_state_service_stops_after_the_transaction() -> None:
    # The job is accepted and not forgotten, whatever its users were told meanwhile.
    world = world_with_machines(3)
    world.add_spec(job_submission(1, hands=1))
    delay_answer_to_submission(world, "n0")
    answers: list[tuple[int, Any]] = []
    for _ in range(3):
        world.start_user_request(
            "n0", "POST", "/api/jobs", world.specs[JOB], on_answer=lambda *a: answers.append(a)
        )
    world.call_later(0.5, lambda: world.state.set_outage(True))
    world.run(4)
    # The answer was under way before the outage; who joined needs a read.
    assert sorted(status for status, _ in answers) == [201, 503, 503]
    world.state.set_outage(False)
    world.run(3)
    for node in sorted(world.owners):
        assert world.submit(node, world.specs[JOB])[0] == 200
    world.run_until(lambda: job_state(world, "n1", JOB) == "done", 30)


def test_plain_submission_needs_one_transaction_and_no_read() -> None:
    world = world_with_machines(1)
    requests: list[str] = []
    handle_request = world.state.handle_request

    def count_request(node: str, method: str, path: str, body: Any, answer: Any) -> None:
        watches = path.startswith("/watch") and "blockMs=0" not in path
        if node == "n0" and not watches and (path != "/commit" or JOB in str(body)):
            requests.append(path.partition("?")[0])
        handle_request(node, method, path, body, answer)

    world.state.handle_request = count_request  # type: ignore[method-assign]
    spec = world.add_spec(job_submission(1, hands=1, shape="service"))
    answers: list[int] = []
    # Periodic reads, for the leases, come more than 0.1 s after the last one.
    world.run_until(lambda: bool(requests), 5)
    requests.clear()
    world.start_user_request(
        "n0", "POST", "/api/jobs", spec, on_answer=lambda status, _: answers.append(status)
    )
    world.run(0.06)
    assert (answers, requests) == ([201], ["/commit"])

"""Jobs whose records this controller can't read or apply are known as long as they are live."""

from typing import Any

import pytest

from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World, job_state, world_with_machines

JOB = "run-000001"
KEY = f"s/job/{JOB}"


def world_with_unreadable_job() -> World:
    """Return a world with a job whose record has the form of a later build."""
    world = world_with_machines(2)
    spec = world.add_spec(job_submission(1))
    record = {"spec": spec, "at": 1.0, "claims": {"n0": "later-form:1"}}
    world.state.commit({"if": [], "then": [{"put": KEY, "v": record}]})
    world.run(1)
    assert job_state(world, "n0", JOB) == "pending"
    return world


def end_job(world: World) -> None:
    """Cancel the job as a controller of the later build would."""
    final_state = {"state": "aborted", "tasks": 1}
    changes = [{"drop": KEY}, {"put": f"o/{JOB}", "v": final_state}]
    assert world.state.commit({"if": [], "then": changes})[0] == 200


def test_end_of_an_unreadable_job_is_told() -> None:
    world = world_with_unreadable_job()
    end_job(world)
    assert {job_state(world, node, JOB) for node in world.owners} == {"aborted"}


def test_end_of_an_unreadable_job_is_told_if_its_changes_were_dropped() -> None:
    # Guards against `pending` for good: the state service has dropped the change, so the records
    # are listed anew, and a key that is not listed any more stayed among the unreadable ones.
    world = world_with_unreadable_job()
    watches, world.state.open_watches = world.state.open_watches, []
    end_job(world)
    world.state.compacted_before = world.state.ledger + 1
    for *_, answer in watches:
        answer(None, b"")
    world.run(2)
    assert not any(owner.mirror.loaded for owner in world.owners.values())
    world.state.compacted_before = 0
    world.run(3)
    assert {job_state(world, node, JOB) for node in world.owners} == {"aborted"}


@pytest.mark.parametrize("record", [{"state": "expired", "tasks": 1}, {"state": 7}, []])
def test_final_state_that_cannot_be_read_is_not_told(record: Any) -> None:
    # Such a record of a later build says that the job was accepted, but not how it ended.
    world = world_with_machines(1)
    spec = world.add_spec(job_submission(1))
    world.state.commit({"if": [], "then": [{"put": f"o/{JOB}", "v": record}]})
    for method, path, body in (
        ("GET", f"/api/jobs/{JOB}", b""),
        ("POST", f"/api/jobs/{JOB}/cancel", b""),
        ("POST", "/api/jobs", spec),
    ):
        assert world.user_request("n0", method, path, body)[0] == 503


def test_request_that_raises_costs_others_of_the_same_read_nothing() -> None:
    world = world_with_machines(1)
    world.allows_contained_faults = True
    final_states = world.owners["n0"].final_states
    read: list[bool] = []
    for _ in range(2):
        # The second pair waits for a read that begins after the first one.
        final_states.read(JOB, lambda answer: 1 // 0)
        final_states.read(JOB, lambda answer: read.append(answer.absent))
    world.run(1)
    assert read == [True, True]


def test_job_whose_change_raised_is_known_when_the_change_is_read_again() -> None:
    # Guards against 404: the same change, read again, seemed to be applied.
    world = world_with_machines(1)
    world.allows_contained_faults = True
    owner = world.owners["n0"]
    job_seen = owner.job_seen

    def failing_job_seen(job: Any) -> None:
        if job.id == JOB:
            raise ZeroDivisionError
        job_seen(job)

    owner.job_seen = failing_job_seen  # type: ignore[method-assign]
    for other in world.owners.values():
        # Nobody claims the job, whose record would then change.
        other.scheduling_pass.run = lambda now: None  # type: ignore[method-assign]
        other.users.claim_at_submission = lambda job: None  # type: ignore[method-assign]
    assert world.submit("n0", job_submission(1, shape="service"))[0] == 201
    for _ in range(10):
        assert job_state(world, "n0", JOB) in ("pending", "running")
        assert world.submit("n0", world.specs[JOB])[0] == 200
        world.run(0.2)

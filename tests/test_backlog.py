"""Long backlogs: resting jobs cost little in a scheduling pass, and jobs still start in order.

Looking at each of thousands of waiting jobs would make passes too slow, so jobs with the same needs
are grouped and sorted rarely, which must not change which job starts next.
"""

from typing import Any

import pytest

from sagecove.coordination import backlog
from sagecove.coordination.claims.claimer import Claimer
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World


def world_with_backlog(count: int, **fields: Any) -> World:
    """Returns a world with two machines and many waiting jobs, written like submitted ones."""
    world = World(node_count=1, seed=2)
    world.cloud.capacity = {"small": 2, "gpu": 0}
    for _ in range(2):
        world.cloud.start_machine("small", "a", False)
    world.run(3)
    for number in range(count):
        spec = world.add_spec(job_submission(number, reckonS=5.0, dueS=900.0, **fields))
        put = {
            "put": f"s/job/{spec['nameId']}",
            "v": {"spec": spec, "at": world.now + number / 100},
        }
        world.state.commit({"if": [], "then": [put]})
    return world


def test_long_backlog_starts_in_order_of_age() -> None:
    world = world_with_backlog(600)
    world.run(60)
    order = [task for _, task, _ in world.task_starts]
    assert len(order) > 30
    # Random placement and parallel claims may swap close neighbours only.
    for place, task in enumerate(order):
        assert abs(int(task.split("/")[0][4:]) - place) < 12


@pytest.mark.parametrize("small_group_count", [0, 10**9])
def test_urgent_job_starts_first_with_rare_sorting(
    small_group_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backlog, "SMALL_GROUP_JOB_COUNT", small_group_count)
    monkeypatch.setattr(backlog, "SORT_INTERVAL_PER_JOB_S", 0.01)
    world = world_with_backlog(300, outfit="guests")
    world.run(20)
    # A late job that is due soon still goes first.
    urgent = job_submission(9999, outfit="guests", rank="urgent", dueS=30.0)
    world.submit("n0", urgent)
    world.run_until(lambda: "run-009999/0" in [t for _, t, _ in world.task_starts], 12)
    assert len(world.task_starts) < 60


def test_pass_visits_few_resting_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    world = world_with_backlog(2000)
    world.run(3)
    visits: list[int] = []
    try_claim = Claimer.try_claim

    def counted(self: Claimer, *args: Any) -> None:
        visits.append(1)
        try_claim(self, *args)

    monkeypatch.setattr(Claimer, "try_claim", counted)
    world.run(10)
    owner = world.owners["n0"]
    assert owner.backlog.resting_count > 1900 and len(owner.backlog.active) < 30
    # At most two passes a second under such a backlog, each over one group.
    assert len(visits) < 10 * 2.5 * (backlog.GROUP_JOBS_PER_PASS_COUNT + 30)


def test_finished_and_cancelled_jobs_leave_backlog() -> None:
    world = world_with_backlog(40)
    world.run(5)
    for number in (30, 31, 39):
        assert world.user_request("n0", "POST", f"/api/jobs/run-{number:06d}/cancel")[0] == 200
    world.run_until(lambda: len(world.completed_tasks) == 37, 200)
    world.run(3)
    owner = world.owners["n0"]
    assert not owner.jobs and not owner.backlog.active and not owner.backlog.groups
    assert owner.backlog.resting_count == 0 and not any(owner.guarantees.queues.values())


def test_guarantee_moves_to_next_oldest_job() -> None:
    # Red is guaranteed 16 CPUs: its eight oldest tasks of two. When one ends the next moves up.
    world = world_with_backlog(100)
    world.run(1)
    owner = world.owners["n0"]
    within = sorted(j.id for j in owner.jobs.values() if j.within_guarantee)
    assert within == [f"run-{n:06d}" for n in range(8)]
    world.user_request("n0", "POST", "/api/jobs/run-000003/cancel")
    world.run(1)
    assert (
        owner.jobs["run-000008"].within_guarantee and not owner.jobs["run-000010"].within_guarantee
    )


def test_controllers_claim_different_jobs() -> None:
    # Of five controllers four lost each claim: 4 jobs a pass were claimed, and machines were idle.
    world = World(node_count=5, seed=3, checks_ledgers=False)
    world.cloud.capacity = {"small": 150, "gpu": 0}
    world.run(3)
    for number in range(150):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(8)
    for worker in world.workers.values():
        worker.task_run_s = 60.0
    for number in range(200):
        spec = world.add_spec(job_submission(number, outfit="guests"))
        put = {"put": f"s/job/{spec['nameId']}", "v": {"spec": spec, "at": world.now}}
        world.state.commit({"if": [], "then": [put]})
    world.run(6)
    # With all controllers trying the same jobs 79 had started by now, and 193 claims were lost.
    assert len(world.task_starts) > 110

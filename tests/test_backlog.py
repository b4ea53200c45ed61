"""Stories of a long backlog: what rests costs little, and nothing of the order is lost by it."""

from typing import Any

import pytest

from sagecove.coordination import backlog
from sagecove.coordination.claims.claimer import Claimer
from sagecove.lab.deployment import job
from sagecove.lab.world import World


def full(count: int, **fields: Any) -> World:
    """Two machines and many jobs that wait for them, written as accepted submissions are."""
    w = World(nodes=1, seed=2)
    w.cloud.capacity = {"small": 2, "gpu": 0}
    for _ in range(2):
        w.cloud.start("small", "a", False)
    w.run(3)
    for number in range(count):
        spec = w.spec(job(number, reckonS=5.0, dueS=900.0, **fields))
        put = {"put": f"s/job/{spec['nameId']}", "v": {"spec": spec, "at": w.now + number / 100}}
        w.state.commit({"if": [], "then": [put]})
    return w


def test_jobs_of_a_long_backlog_start_in_the_order_of_their_age() -> None:
    w = full(600)
    w.run(60)
    order = [task for _, task, _ in w.starts]
    assert len(order) > 30
    # Random placement and parallel claims blur neighbours, no more.
    for place, task in enumerate(order):
        assert abs(int(task.split("/")[0][4:]) - place) < 12


@pytest.mark.parametrize("small", [0, 10**9])
def test_a_group_put_in_order_seldom_serves_as_one_put_in_order_always(
    small: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backlog, "SMALL_GROUP_JOB_COUNT", small)
    monkeypatch.setattr(backlog, "SORT_INTERVAL_PER_JOB_S", 0.01)
    w = full(300, outfit="guests")
    w.run(20)
    # One that comes late and is due at once goes first all the same, behind none that came since.
    urgent = job(9999, outfit="guests", rank="urgent", dueS=30.0)
    w.submit("n0", urgent)
    w.until(lambda: "run-009999/0" in [t for _, t, _ in w.starts], 12)
    assert len(w.starts) < 60


def test_a_pass_looks_at_few_of_what_rests(monkeypatch: pytest.MonkeyPatch) -> None:
    w = full(2000)
    w.run(3)
    looked: list[int] = []
    compete = Claimer.try_claim

    def counted(self: Claimer, *args: Any) -> None:
        looked.append(1)
        compete(self, *args)

    monkeypatch.setattr(Claimer, "try_claim", counted)
    w.run(10)
    owner = w.owners["n0"]
    assert owner.backlog.resting_count > 1900 and len(owner.backlog.active) < 30
    # Two passes a second at most under such a backlog, each of one group.
    assert len(looked) < 10 * 2.5 * (backlog.GROUP_JOBS_PER_PASS_COUNT + 30)


def test_what_is_over_or_cancelled_leaves_the_backlog() -> None:
    w = full(40)
    w.run(5)
    for number in (30, 31, 39):
        assert w.user("n0", "POST", f"/api/jobs/run-{number:06d}/cancel")[0] == 200
    w.until(lambda: len(w.completed) == 37, 200)
    w.run(3)
    owner = w.owners["n0"]
    assert not owner.jobs and not owner.backlog.active and not owner.backlog.groups
    assert owner.backlog.resting_count == 0 and not any(owner.guarantees.queues.values())


def test_guarantees_are_found_by_walking_no_further_than_they_reach() -> None:
    # Red is guaranteed 16 CPUs: eight tasks of two, the oldest; when one is over the next moves up.
    w = full(100)
    w.run(1)
    owner = w.owners["n0"]
    within = sorted(j.id for j in owner.jobs.values() if j.within_guarantee)
    assert within == [f"run-{n:06d}" for n in range(8)]
    w.user("n0", "POST", "/api/jobs/run-000003/cancel")
    w.run(1)
    assert (
        owner.jobs["run-000008"].within_guarantee and not owner.jobs["run-000010"].within_guarantee
    )


def test_controllers_do_not_all_reach_for_the_same_jobs_of_a_backlog() -> None:
    # With five controllers four were beaten at every claim: 4 jobs a pass, and machines idle.
    w = World(nodes=5, seed=3, audit=False)
    w.cloud.capacity = {"small": 150, "gpu": 0}
    w.run(3)
    for number in range(150):
        w.cloud.start("small", "ab"[number % 2], False)
    w.run(8)
    for worker in w.workers.values():
        worker.run_s = 60.0
    for number in range(200):
        spec = w.spec(job(number, outfit="guests"))
        put = {"put": f"s/job/{spec['nameId']}", "v": {"spec": spec, "at": w.now}}
        w.state.commit({"if": [], "then": [put]})
    w.run(6)
    # Before: 79 started after this time, 193 claims beaten.
    assert len(w.starts) > 110

"""Every accepted job stays known and is served: the checks themselves, then controllers that end
between any two effects and are back within a second, or are alone with their workers."""

from collections.abc import Callable
from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, job_submission
from sagecove.lab.rule_checker import UNANSWERED_LIMIT_S, RuleViolation
from sagecove.lab.world import World, job_state, world_with_machines

# -- the checks find what they are for -----------------------------------------------------------


def test_a_job_of_which_no_question_is_answered_is_found_however_others_fare() -> None:
    w = world_with_machines(4)
    for n in (1, 2):
        w.submit("n0", job_submission(n, shape="service", hands=1))
    for owner in w.owners.values():
        real = owner.users.status
        owner.users.status = (  # type: ignore[method-assign]
            lambda name, exchange, real=real: None if name == "run-000001" else real(name, exchange)
        )
    w.poll_jobs()
    w.run(UNANSWERED_LIMIT_S + 20)
    # Troubles are not over: nothing is held against anybody yet.
    w.faults_over_at = w.now
    with pytest.raises(RuleViolation, match="forgotten run-000001"):
        w.run(UNANSWERED_LIMIT_S + 20)


def test_a_class_a_team_and_the_largest_that_are_not_served_are_found() -> None:
    w = world_with_machines(4)
    w.cloud.capacity = {"small": 4, "gpu": 0}
    w.submit("n0", job_submission(1, herd="x", hands=2))
    w.run_until(lambda: len(w.completed_tasks) == 2, 30)
    assert w.served_shares() == {"x": 1.0}
    w.check_served()
    owner = w.owners["n1"]
    owner.scheduling_pass.run = lambda now: None  # type: ignore[method-assign]
    for other in ("n0", "n2"):
        w.kill_node(other)
    w.submit("n1", job_submission(2, herd="x", hands=20))
    w.submit("n1", job_submission(3, herd="y", outfit="blue"))
    assert w.served_shares()["largest x"] == 0.0 and w.served_shares("outfit")["blue"] == 0.0
    with pytest.raises(RuleViolation, match="served"):
        w.check_served()


# -- back at once, at every point ----------------------------------------------------------------

BACK_S = (0.05, 0.2, 0.45, 0.9)


def persist(w: World, method: str, path: str, body: Any = b"") -> None:
    """As users do: until it is answered."""
    begun = w.now
    node = w.random.choice(sorted(w.inboxes))
    while w.user_request(node, method, path, body)[0] not in (200, 201):
        assert w.now - begun < UNANSWERED_LIMIT_S
        w.run(1.0)
        node = w.random.choice(sorted(w.inboxes))


def play(w: World) -> None:
    """Submit, run, cancel, finish: with a gang, an array, a service."""
    persist(w, "POST", "/api/jobs", w.add_spec(job_submission(1, hands=4)))
    persist(
        w,
        "POST",
        "/api/jobs",
        w.add_spec(job_submission(2, shape="ensemble", hands=3, rank="urgent")),
    )
    persist(
        w,
        "POST",
        "/api/jobs",
        w.add_spec(job_submission(3, shape="service", hands=2, rank="production")),
    )
    w.run(4)
    persist(w, "POST", "/api/jobs/run-000003/cancel")
    w.run_until(lambda: len(w.completed_tasks) >= 7, 75)
    w.faults_over_at = w.now
    for node in sorted(w.owners):
        for n, state in ((1, "done"), (2, "done"), (3, "aborted")):
            w.run_until(lambda node=node, n=n, s=state: job_state(w, node, f"run-{n:06d}") == s, 30)
    w.check_served()


def commits(w: World, play: Callable[[World], None]) -> int:
    """How many transactions a story makes when nothing fails."""
    count = [0]

    def counted(node: str, body: dict[str, Any]) -> None:
        count[0] += 1

    w.state.transaction_fault = counted
    play(w)
    return count[0]


@pytest.mark.parametrize("twice", [False, True])
@pytest.mark.parametrize("executed", [True, False])
def test_a_controller_that_ends_with_any_transaction_and_is_back_at_once(
    executed: bool, twice: bool
) -> None:
    for point in range(0, commits(world_with_machines(6), play), 2 if twice else 1):
        w = world_with_machines(6)
        seen = [0]

        def ends(
            node: str, body: dict[str, Any], w: World = w, seen: list[int] = seen, at: int = point
        ) -> str | None:
            seen[0] += 1
            if seen[0] - 1 not in ((at, at + 2) if twice else (at,)) or node not in w.owners:
                return None
            # It ends between this effect and whatever would have been the next; what it had sent
            # is executed, or is not.
            w.call_later(0.0, lambda: w.owners.pop(node, None))
            back_s = BACK_S[at % len(BACK_S)]
            w.call_later(back_s, lambda: None if node in w.owners else w.start_node(int(node[1:])))
            return "unanswered" if executed else "lost"

        w.state.transaction_fault = ends
        w.poll_jobs()
        play(w)


@pytest.mark.parametrize("back_s", BACK_S)
@pytest.mark.parametrize("phase", [0.0, 0.3, 0.8, 2.0, 5.0, 7.9, 8.3])
def test_a_taker_and_the_one_it_takes_from_are_back_in_the_middle_of_it(
    phase: float, back_s: float
) -> None:
    # The shard of one is about to be taken, or has just been: now the other two end as well.
    w = world_with_machines(9)
    w.submit("n0", job_submission(1, shape="service", hands=9))
    w.run_until(lambda: w.running_task_count("run-000001") == 9, 60)
    starts = len(w.task_starts)
    w.dead_nodes_refuse = True
    w.kill_node("n0")
    w.run(phase)
    for name in ("n1", "n2"):
        w.kill_node(name)
        w.call_later(back_s, lambda name=name: w.start_node(int(name[1:])))
    w.run(back_s / 2)
    w.start_node(0)
    w.run(3 * LEASE_S)
    assert w.running_task_count("run-000001") == 9 and len(w.owners) == 3
    assert {s for o in w.owners.values() for s in o.shards.active_shards(w.now)} == set(w.owners)
    # The one whose shard had not been taken yet had been silent for that long.
    if phase < 5.0:
        assert len(w.task_starts) == starts


# -- alone with its workers ----------------------------------------------------------------------


@pytest.mark.parametrize("alone", [["n0"], ["n0", "n1"]])
@pytest.mark.parametrize("seconds", [2.0, 6.0, 9.0, 14.0, 30.0])
@pytest.mark.parametrize("refusing", [False, True])
def test_a_controller_that_has_only_its_workers_left_loses_no_session(
    alone: list[str], seconds: float, refusing: bool
) -> None:
    w = world_with_machines(9)
    w.submit("n0", job_submission(1, shape="service", hands=9))
    w.run_until(lambda: w.running_task_count("run-000001") == 9, 60)
    w.run(3)
    starts = len(w.task_starts)
    others = [n for n in w.owners if n not in alone]
    for name in alone:
        w.isolate_node(name, refusing)
    begun = w.now
    w.run(seconds)
    if seconds > 9:
        # It stopped by its own estimate, sends its workers on, and says so to users and balancer.
        for name in alone:
            assert not w.owners[name].shards.active_shards(w.now)
            assert w.user_request(name, "GET", "/ready")[0] == 503
            assert job_state(w, name, "run-000001") == "503"
        acting = {s for n in others for s in w.owners[n].shards.active_shards(w.now)}
        assert acting == set(w.owners)
    w.cut_links.clear()
    w.state.refused_nodes.clear()
    w.run(2 * LEASE_S)
    assert w.now - begun > seconds
    assert w.running_task_count("run-000001") == 9 and len(w.task_starts) == starts
    assert all(worker.session == 1 for worker in w.workers.values())

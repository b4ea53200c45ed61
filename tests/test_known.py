"""Accepted jobs are neither forgotten nor left unserved.

First the checks of the simulator are tested themselves. Then controllers end between any two
effects and restart within a second, or reach only their workers.
"""

from collections.abc import Callable
from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, job_submission
from sagecove.lab.rule_checker import UNANSWERED_LIMIT_S, RuleViolation
from sagecove.lab.world import World, job_state, world_with_machines

# -- tests of the checks --


def test_checker_finds_a_job_whose_status_requests_stay_unanswered() -> None:
    world = world_with_machines(4)
    for n in (1, 2):
        world.submit("n0", job_submission(n, shape="service", hands=1))
    for owner in world.owners.values():
        original = owner.users.status
        owner.users.status = (  # type: ignore[method-assign]
            lambda name, exchange, original=original: (
                None if name == "run-000001" else original(name, exchange)
            )
        )
    world.poll_jobs()
    world.run(UNANSWERED_LIMIT_S + 20)
    # Faults are not over yet, so missing answers are not violations.
    world.faults_over_at = world.now
    with pytest.raises(RuleViolation, match="forgotten run-000001"):
        world.run(UNANSWERED_LIMIT_S + 20)


def test_checker_finds_job_classes_and_teams_that_are_not_served() -> None:
    world = world_with_machines(4)
    world.cloud.capacity = {"small": 4, "gpu": 0}
    world.submit("n0", job_submission(1, herd="x", hands=2))
    world.run_until(lambda: len(world.completed_tasks) == 2, 30)
    assert world.served_shares() == {"x": 1.0}
    world.check_served()
    owner = world.owners["n1"]
    owner.scheduling_pass.run = lambda now: None  # type: ignore[method-assign]
    for other in ("n0", "n2"):
        world.kill_node(other)
    world.submit("n1", job_submission(2, herd="x", hands=20))
    world.submit("n1", job_submission(3, herd="y", outfit="blue"))
    assert (
        world.served_shares()["largest x"] == 0.0 and world.served_shares("outfit")["blue"] == 0.0
    )
    with pytest.raises(RuleViolation, match="served"):
        world.check_served()


# -- restarts at every point --

BACK_S = (0.05, 0.2, 0.45, 0.9)


def retry_until_accepted(world: World, method: str, path: str, body: Any = b"") -> None:
    """Repeat a request at random nodes until it succeeds, as users do."""
    started_at = world.now
    node = world.random.choice(sorted(world.inboxes))
    while world.user_request(node, method, path, body)[0] not in (200, 201):
        assert world.now - started_at < UNANSWERED_LIMIT_S
        world.run(1.0)
        node = world.random.choice(sorted(world.inboxes))


def run_scenario(world: World) -> None:
    """Submit, run, cancel and finish an array, a gang and a service."""
    retry_until_accepted(world, "POST", "/api/jobs", world.add_spec(job_submission(1, hands=4)))
    retry_until_accepted(
        world,
        "POST",
        "/api/jobs",
        world.add_spec(job_submission(2, shape="ensemble", hands=3, rank="urgent")),
    )
    retry_until_accepted(
        world,
        "POST",
        "/api/jobs",
        world.add_spec(job_submission(3, shape="service", hands=2, rank="production")),
    )
    world.run(4)
    retry_until_accepted(world, "POST", "/api/jobs/run-000003/cancel")
    world.run_until(lambda: len(world.completed_tasks) >= 7, 75)
    world.faults_over_at = world.now
    for node in sorted(world.owners):
        for n, state in ((1, "done"), (2, "done"), (3, "aborted")):
            world.run_until(
                lambda node=node, n=n, s=state: job_state(world, node, f"run-{n:06d}") == s, 30
            )
    world.check_served()


def count_transactions(world: World, run_scenario: Callable[[World], None]) -> int:
    """Count the transactions of a scenario without faults."""
    count = [0]

    def count_transaction(node: str, body: dict[str, Any]) -> None:
        count[0] += 1

    world.state.transaction_fault = count_transaction
    run_scenario(world)
    return count[0]


@pytest.mark.parametrize("two_restarts", [False, True])
@pytest.mark.parametrize("executed", [True, False])
def test_controller_restarts_at_any_transaction(executed: bool, two_restarts: bool) -> None:
    for index in range(
        0, count_transactions(world_with_machines(6), run_scenario), 2 if two_restarts else 1
    ):
        world = world_with_machines(6)
        transaction_count = [0]

        def kill_sender(
            node: str,
            body: dict[str, Any],
            world: World = world,
            transaction_count: list[int] = transaction_count,
            at: int = index,
        ) -> str | None:
            transaction_count[0] += 1
            if (
                transaction_count[0] - 1 not in ((at, at + 2) if two_restarts else (at,))
                or node not in world.owners
            ):
                return None
            # The controller ends after this effect and before the next; the transaction that it
            # sent is executed or lost.
            world.call_later(0.0, lambda: world.owners.pop(node, None))
            back_s = BACK_S[at % len(BACK_S)]
            world.call_later(
                back_s, lambda: None if node in world.owners else world.start_node(int(node[1:]))
            )
            return "unanswered" if executed else "lost"

        world.state.transaction_fault = kill_sender
        world.poll_jobs()
        run_scenario(world)


@pytest.mark.parametrize("back_s", BACK_S)
@pytest.mark.parametrize("phase", [0.0, 0.3, 0.8, 2.0, 5.0, 7.9, 8.3])
def test_all_controllers_restart_during_a_takeover(phase: float, back_s: float) -> None:
    # The shard of n0 is about to be taken over, or was just taken; now the others end as well.
    world = world_with_machines(9)
    world.submit("n0", job_submission(1, shape="service", hands=9))
    world.run_until(lambda: world.running_task_count("run-000001") == 9, 60)
    starts = len(world.task_starts)
    world.dead_nodes_refuse = True
    world.kill_node("n0")
    world.run(phase)
    for name in ("n1", "n2"):
        world.kill_node(name)
        world.call_later(back_s, lambda name=name: world.start_node(int(name[1:])))
    world.run(back_s / 2)
    world.start_node(0)
    world.run(3 * LEASE_S)
    assert world.running_task_count("run-000001") == 9 and len(world.owners) == 3
    assert {s for o in world.owners.values() for s in o.shards.active_shards(world.now)} == set(
        world.owners
    )
    # Later, a shard that had not been taken over has had no active holder for too long.
    if phase < 5.0:
        assert len(world.task_starts) == starts


# -- controllers that reach only their workers --


@pytest.mark.parametrize("isolated", [["n0"], ["n0", "n1"]])
@pytest.mark.parametrize("seconds", [2.0, 6.0, 9.0, 14.0, 30.0])
@pytest.mark.parametrize("refusing", [False, True])
def test_controller_that_reaches_only_its_workers_loses_no_session(
    isolated: list[str], seconds: float, refusing: bool
) -> None:
    world = world_with_machines(9)
    world.submit("n0", job_submission(1, shape="service", hands=9))
    world.run_until(lambda: world.running_task_count("run-000001") == 9, 60)
    world.run(3)
    starts = len(world.task_starts)
    others = [n for n in world.owners if n not in isolated]
    for name in isolated:
        world.isolate_node(name, refusing)
    started_at = world.now
    world.run(seconds)
    if seconds > 9:
        # It stopped by its own estimate, redirects its workers, and answers 503 to users and to the
        # load balancer.
        for name in isolated:
            assert not world.owners[name].shards.active_shards(world.now)
            assert world.user_request(name, "GET", "/ready")[0] == 503
            assert job_state(world, name, "run-000001") == "503"
        acting = {s for n in others for s in world.owners[n].shards.active_shards(world.now)}
        assert acting == set(world.owners)
    world.cut_links.clear()
    world.state.refused_nodes.clear()
    world.run(2 * LEASE_S)
    assert world.now - started_at > seconds
    assert world.running_task_count("run-000001") == 9 and len(world.task_starts) == starts
    assert all(worker.session == 1 for worker in world.workers.values())

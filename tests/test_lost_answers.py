"""Transactions that are executed at once while only their answer is lost.

Other controllers read the written records and claim, start, cancel and report on their basis, while
the sender still acts on the old state. The simulator verifies the rules of the service after every
step; docs/meetings.md has the table.
"""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S
from sagecove.lab.world import World, job_state
from tests.test_known import count_transactions, retry_until_accepted
from tests.test_late_writes import run_scenario, world_with_capacity, world_with_stopped_task
from tests.test_sweeps import point_job, sweep_view, sweep_world


def continue_running(world: World, node: str) -> None:
    pass


def stall(world: World, node: str) -> None:
    world.paused_until[node] = world.now + 0.7 * LEASE_S


def stall_beyond_lease(world: World, node: str) -> None:
    world.paused_until[node] = world.now + 1.3 * LEASE_S


def restart(world: World, node: str) -> None:
    world.owners.pop(node, None)
    world.call_later(0.3, lambda: None if node in world.owners else world.start_node(int(node[1:])))


def end_for_a_lease(world: World, node: str) -> None:
    world.owners.pop(node, None)
    world.call_later(
        LEASE_S, lambda: None if node in world.owners else world.start_node(int(node[1:]))
    )


def refuse_at_state_service(world: World, node: str) -> None:
    world.state.refused_nodes.add(node)
    world.call_later(0.6 * LEASE_S, world.state.refused_nodes.clear)


SENDER_FAULTS = [
    continue_running,
    stall,
    stall_beyond_lease,
    restart,
    end_for_a_lease,
    refuse_at_state_service,
]


@pytest.mark.parametrize("sender_fault", SENDER_FAULTS)
@pytest.mark.parametrize("pair", [False, True])
def test_answer_to_each_transaction_is_lost(pair: bool, sender_fault: Any) -> None:
    total = count_transactions(world_with_capacity(), run_scenario)
    assert total > 30
    # Test each transaction alone while its sender continues; only some with another fault.
    for index_to_lose in range(0, total, 1 if sender_fault is continue_running and not pair else 6):
        world, transaction_count = world_with_capacity(), [0]

        def lost(
            node: str,
            body: dict[str, Any],
            world: World = world,
            transaction_count: list[int] = transaction_count,
            at: int = index_to_lose,
        ) -> str | None:
            transaction_count[0] += 1
            if transaction_count[0] - 1 not in ((at, at + 1) if pair else (at,)):
                return None
            world.call_later(0.0, lambda: sender_fault(world, node))
            return "unanswered"

        world.state.transaction_fault = lost
        world.poll_jobs()
        run_scenario(world)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("share", [0.2, 0.5, 0.8])
def test_many_answers_are_lost(share: float, seed: int) -> None:
    world = world_with_capacity()
    world.random.seed(seed)
    world.state.transaction_fault = lambda node, body: (
        "unanswered" if world.random.random() < share else None
    )
    world.poll_jobs()
    run_scenario(world)


# -- sweeps and templates --


def run_sweep_scenario(world: World) -> None:
    """Run a sweep from a template to its end; cancel a point, then the rest, of another sweep.

    The second sweep has two tasks per point. At the end all nodes report the same states.
    """
    for worker in world.workers.values():
        worker.task_run_s = None
    template = {
        "name": "tiny",
        "parameters": [{"name": "x", "kind": "whole"}],
        "job": point_job(vcpus=0.5),
    }
    retry_until_accepted(world, "POST", "/api/templates", template)
    retry_until_accepted(
        world,
        "POST",
        "/api/sweeps",
        {"id": "run-s", "space": "x in 1..12", "template": "tiny", "version": 1},
    )
    two_task_sweep = {
        "id": "run-t",
        "space": "x in 1..6",
        "job": point_job(vcpus=0.5, hands=2, reckonS=900.0),
    }
    retry_until_accepted(world, "POST", "/api/sweeps", two_task_sweep)
    world.run(1.5)
    retry_until_accepted(world, "POST", "/api/jobs/run-t.p3/cancel")
    retry_until_accepted(world, "POST", "/api/sweeps/run-t/cancel")
    world.run_until(lambda: sum(t.startswith("run-s.p") for t in world.completed_tasks) == 12, 120)
    world.faults_over_at = world.now
    for node in sorted(world.owners):
        world.run_until(lambda node=node: sweep_view(world, "run-s", node)["state"] == "done", 60)
        world.run_until(
            lambda node=node: sweep_view(world, "run-t", node)["state"] == "aborted", 60
        )
        world.run_until(lambda node=node: job_state(world, node, "run-s.p5") == "done", 30)
        world.run_until(lambda node=node: job_state(world, node, "run-t.p3") == "aborted", 30)
    world.run(14)
    for node in sorted(world.owners):
        assert sweep_view(world, "run-s", node)["done"] == 12
        assert sweep_view(world, "run-t", node)["state"] == "aborted"
    record_prefixes = ("s/job/", "s/sweep", "s/points", "s/swept")
    world.run_until(
        lambda: not [key for key in world.state.keys if key.startswith(record_prefixes)], 30
    )
    started_tasks = [task for _, task, _ in world.task_starts if task.startswith("run-s.p")]
    assert set(started_tasks) == {f"run-s.p{k}/0" for k in range(12)}


@pytest.mark.parametrize(
    "sender_fault", [continue_running, stall_beyond_lease, restart, end_for_a_lease]
)
@pytest.mark.parametrize("verdict", ["unanswered", "late"])
def test_each_transaction_of_sweeps_is_late_or_unanswered(verdict: str, sender_fault: Any) -> None:
    total = count_transactions(sweep_world(), run_sweep_scenario)
    assert total > 12
    for index_to_lose in range(0, total, 1 if sender_fault is continue_running else 4):
        world, transaction_count = sweep_world(), [0]

        def fail_transaction(
            node: str,
            body: dict[str, Any],
            world: World = world,
            transaction_count: list[int] = transaction_count,
            at: int = index_to_lose,
        ) -> str | None:
            transaction_count[0] += 1
            if transaction_count[0] - 1 != at:
                return None
            world.call_later(0.0, lambda: sender_fault(world, node))
            return verdict

        world.state.transaction_fault = fail_transaction
        run_sweep_scenario(world)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("verdicts", [["unanswered"], ["late"], ["unanswered", "late", "lost"]])
def test_half_of_all_transactions_of_sweeps_fail(verdicts: list[str], seed: int) -> None:
    world = sweep_world(seed=seed + 1)
    world.state.transaction_fault = lambda node, body: world.random.choice(
        [*verdicts, *[None] * len(verdicts)]
    )
    run_sweep_scenario(world)


# -- released claims --


def block_reads(world: World, name: str, seconds: float) -> None:
    """Block a controller's reads of changes for some time; its transactions continue."""
    owner = world.owners[name]
    reads = owner.sync.sync_if_due, owner.sync.watch
    owner.sync.sync_if_due = owner.sync.watch = lambda now: None  # type: ignore[method-assign]
    world.state.open_watches = [watch for watch in world.state.open_watches if watch[0] != name]
    owner.sync.watching = False

    def restore_reads() -> None:
        owner.sync.sync_if_due, owner.sync.watch = reads  # type: ignore[method-assign]

    world.call_later(seconds, restore_reads)


@pytest.mark.parametrize("reads_blocked_s", [0.0, 1.0, 3.0, 5.0])
def test_released_claims_are_available_to_others_without_an_answer(reads_blocked_s: float) -> None:
    world, owner, run, shard = world_with_stopped_task()
    name = shard.name
    lost: list[str] = []

    def lose_release_answer(node: str, body: dict[str, Any]) -> str | None:
        if lost or not any("s/job/" in change.get("put", "") for change in body["then"]):
            return None
        lost.append(node)
        # The sender would place the tasks at once if it considered the release refused.
        run.hold_until = 0.0
        return "unanswered"

    world.state.transaction_fault = lose_release_answer
    if reads_blocked_s:
        block_reads(world, name, reads_blocked_s)
    owner.scheduling_pass.releaser.release(world.now, run, shard)
    world.run(25)
    assert lost == [name] and world.running_task_count("run-000001") == 4

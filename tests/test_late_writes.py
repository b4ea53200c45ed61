"""Transactions that get no answer and are executed 2 to 12 s later, after newer ones of the sender.

The simulator verifies the rules of the service after every step; docs/meetings.md has the table of
transactions.
"""

import json
from typing import Any

import pytest

from sagecove.coordination.model import JobRun, Shard
from sagecove.coordination.owner import Owner
from sagecove.lab.deployment import LEASE_S, job_submission
from sagecove.lab.world import World, job_state, world_with_machines
from tests.test_known import count_transactions, retry_until_accepted
from tests.test_sweeps import submit_sweep as submit_sweep
from tests.test_sweeps import sweep_world

# The seconds after which the sender returns: it doesn't end, it restarts at once, or it returns
# after its shard was taken over.
SENDER_RESTART_S = {"nothing": None, "restart": 0.3, "takeover": LEASE_S}


FINAL_STATES = [(1, "done"), (2, "done"), (3, "aborted"), (4, "done"), (5, "done")]


def run_scenario(world: World) -> None:
    """Run jobs of each shape until all are done or cancelled and no record is left.

    Includes rentals, claims beyond the first allotment of a limit, results of tasks that end at
    very different times, a gang and a cancellation.
    """
    world.run(2)
    retry_until_accepted(
        world, "POST", "/api/jobs", world.add_spec(job_submission(1, hands=9, vcpus=2.0))
    )
    retry_until_accepted(
        world,
        "POST",
        "/api/jobs",
        world.add_spec(job_submission(2, outfit="blue", hands=5, vcpus=2.0)),
    )
    retry_until_accepted(
        world,
        "POST",
        "/api/jobs",
        world.add_spec(job_submission(3, shape="service", hands=2, rank="production")),
    )
    world.run(14)
    # First a gang with the usual run time, then an array whose tasks end at different times.
    retry_until_accepted(
        world,
        "POST",
        "/api/jobs",
        world.add_spec(job_submission(4, shape="ensemble", hands=3, rank="urgent")),
    )
    world.run_until(lambda: world.running_task_count("run-000004") == 3, 60)
    for n, worker in enumerate(world.workers.values()):
        worker.task_run_s = 3.0 + 4.0 * (n % 4)
    retry_until_accepted(
        world, "POST", "/api/jobs", world.add_spec(job_submission(5, hands=8, vcpus=1.0))
    )
    world.run(4)
    retry_until_accepted(world, "POST", "/api/jobs/run-000003/cancel")
    world.run_until(lambda: len(world.completed_tasks) == 25, 120)
    world.faults_over_at = world.now
    for node in sorted(world.owners):
        for n, state in FINAL_STATES:
            world.run_until(
                lambda node=node, n=n, s=state: job_state(world, node, f"run-{n:06d}") == s, 30
            )
    # Transactions that are executed later must not restore any record.
    world.run(14)
    for node in sorted(world.owners):
        for n, state in FINAL_STATES:
            assert job_state(world, node, f"run-{n:06d}") == state
    assert not [key for key in world.state.keys if key.startswith("s/job/")]
    world.check_served()


def world_with_capacity() -> World:
    world = World()
    world.cloud.capacity = {"small": 6, "gpu": 0}
    return world


@pytest.mark.parametrize("sender_event", SENDER_RESTART_S)
@pytest.mark.parametrize("pair", [False, True])
def test_each_transaction_is_executed_late(pair: bool, sender_event: str) -> None:
    back_s = SENDER_RESTART_S[sender_event]
    total = count_transactions(world_with_capacity(), run_scenario)
    assert total > 30
    # Test each transaction alone, but only some of them combined with another fault.
    for index_to_lose in range(0, total, 1 if not pair and back_s is None else 5):
        world, transaction_count = world_with_capacity(), [0]

        def lose_transaction(
            node: str,
            body: dict[str, Any],
            world: World = world,
            transaction_count: list[int] = transaction_count,
            at: int = index_to_lose,
        ) -> str | None:
            transaction_count[0] += 1
            if transaction_count[0] - 1 not in ((at, at + 1) if pair else (at,)):
                return None
            # Of two lost transactions, the first is executed after the second.
            delay = 2.0 + at * 3 % 10 + (at + 1 - transaction_count[0]) * -1.5
            world.call_later(max(2.0, delay), lambda: (world.state.commit(body), None)[1])
            if back_s is not None and node in world.owners:
                world.call_later(0.0, lambda: world.owners.pop(node, None))
                world.call_later(
                    back_s,
                    lambda: None if node in world.owners else world.start_node(int(node[1:])),
                )
            return "lost"

        world.state.transaction_fault = lose_transaction
        world.poll_jobs()
        run_scenario(world)


def test_each_transaction_is_executed_just_before_its_retry() -> None:
    for index_to_lose in range(0, count_transactions(world_with_capacity(), run_scenario), 2):
        world, transaction_count = world_with_capacity(), [0]
        first: list[tuple[str, dict[str, Any]]] = []

        def lose_transaction(
            node: str,
            body: dict[str, Any],
            world: World = world,
            transaction_count: list[int] = transaction_count,
            first: list[tuple[str, dict[str, Any]]] = first,
            at: int = index_to_lose,
        ) -> str | None:
            transaction_count[0] += 1
            if transaction_count[0] - 1 == at:
                first.append((node, body))
                world.call_later(
                    12.0, lambda: (first and world.state.commit(first.pop()[1]), None)[1]
                )
                return "lost"
            if first and first[0][0] == node and written_keys(first[0][1]) & written_keys(body):
                world.state.commit(first.pop()[1])
            return None

        world.state.transaction_fault = lose_transaction
        world.poll_jobs()
        run_scenario(world)


def written_keys(body: dict[str, Any]) -> set[str]:
    """Return the keys that a transaction writes."""
    return {change.get("put") or change["drop"] for change in body["then"]}


def lose_next_write(world: World, key_prefix: str, node: str | None = None) -> list[dict[str, Any]]:
    """Lose the next transaction that writes a key with this prefix; return it in a list."""
    lost_transactions: list[dict[str, Any]] = []

    def lose_matching_write(sender: str, body: dict[str, Any]) -> str | None:
        if lost_transactions or node not in (None, sender):
            return None
        if not any(change.get("put", "").startswith(key_prefix) for change in body["then"]):
            return None
        lost_transactions.append(body)
        return "lost"

    world.state.transaction_fault = lose_matching_write
    return lost_transactions


def test_late_member_record_is_rejected() -> None:
    world = world_with_machines(3)
    world.kill_node("n1")
    world.run(LEASE_S)
    lost_transactions = lose_next_write(world, "s/member/n1", "n1")
    world.start_node(1)
    world.run_until(lambda: bool(lost_transactions) and "s/member/n1" in world.state.keys, 20)
    assert world.state.commit(lost_transactions[0])[0] == 409


def test_late_takeover_of_a_shard_held_meanwhile_is_rejected() -> None:
    # n0 decides to take the unused shard n2 for its part of the limits. Meanwhile n2 itself takes
    # and uses its shard and loses the lease, and now acts by promises, among them one of n0. The
    # holder key is absent as before, and the record of the last holder was unchanged, so n0
    # considered the shard vacated.
    world = world_with_machines(3)
    world.kill_node("n2")
    world.run_until(lambda: "s/holder/n2" not in world.state.keys, 30)
    world.run(0.1)
    lost_transactions = lose_next_write(world, "s/holder/n2", "n0")
    owner = world.owners["n0"]
    owner.leadership._take_shard("n2")
    world.run(0.1)
    assert lost_transactions
    world.start_node(2)
    world.run_until(lambda: "n2" in world.owners["n2"].held_shards, 20)
    lease = world.owners["n2"].leadership.lease_id
    assert lease is not None
    world.state.expire_lease(lease)
    assert "s/holder/n2" not in world.state.keys
    assert world.state.commit(lost_transactions[0])[0] == 409


def test_late_first_claim_does_not_restore_a_finished_block() -> None:
    world = sweep_world()
    for worker in world.workers.values():
        worker.task_run_s = 0.2
    lost_transactions = lose_next_write(world, "s/points/run-s/")
    assert submit_sweep(world, "x in 1..2000", vcpus=0.5, memoryGb=0.5)[0] == 201
    world.run_until(lambda: bool(lost_transactions), 20)
    block = lost_transactions[0]["then"][0]["put"]
    finished_block = block.replace("s/points", "o/points")
    world.run_until(
        lambda: finished_block in world.state.keys and block not in world.state.keys, 90
    )
    assert "s/sweep/run-s" in world.state.keys
    first = int(block.rpartition("/")[2])
    number = next(k for k in range(2000) if f"run-s.p{k}/0" in world.completed_tasks and k >= first)
    name = f"run-s.p{number}"
    assert world.user_request("n0", "GET", f"/api/jobs/{name}")[1]["standing"] == "done"
    assert world.state.commit(lost_transactions[0])[0] == 409
    world.run(1)
    for node in world.owners:
        assert world.user_request(node, "GET", f"/api/jobs/{name}")[1]["standing"] == "done"
    assert not json.dumps(sorted(world.state.keys)).count(block)


def test_late_cancellation_does_not_change_a_finished_job() -> None:
    world = world_with_machines(3)
    retry_until_accepted(world, "POST", "/api/jobs", world.add_spec(job_submission(1)))
    world.run_until(lambda: world.running_task_count("run-000001") == 1, 30)
    lost_transactions = lose_next_write(world, "o/run-000001")
    status, _ = world.user_request("n0", "POST", "/api/jobs/run-000001/cancel")
    assert lost_transactions and status != 200
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 30)
    assert world.state.commit(lost_transactions[0])[0] == 409
    for node in world.owners:
        assert job_state(world, node, "run-000001") == "done"


def world_with_stopped_task() -> tuple[World, Owner, JobRun, Shard]:
    """Build a world in which a task of an array was stopped and its claim can be released."""
    world = world_with_machines(6)
    for worker in world.workers.values():
        worker.task_run_s = 500.0
    world.submit("n0", job_submission(1, hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    name = max(world.owners, key=lambda n: len(world.owners[n].jobs["run-000001"].placed))
    owner = world.owners[name]
    run = owner.jobs["run-000001"]
    index, placement = next(iter(run.placed.items()))
    world.workers[placement.machine.name].exit_task(placement.task, placement.attempt, "stopped")
    world.run_until(lambda: index not in run.placed or not run.placed[index].takes_room, 5)
    run.hold_until = world.now + 60.0
    world.run_until(lambda: bool(run.placeable(name)), 10)
    return world, owner, run, owner.held_shards[name]


@pytest.mark.parametrize("retry_result", ["conflict", "refused"])
def test_late_release_is_not_placed_before_it_is_read(retry_result: str) -> None:
    # meet-slow-state: a release delayed by a network cut was executed as the cut ended, just before
    # its own retry. The conflict of the retry was taken as proof that the release had failed, while
    # the mirror still had the claim: the tasks started here and at the controller that claimed
    # them next.
    world, owner, run, shard = world_with_stopped_task()
    name = shard.name
    lost_transactions: list[dict[str, Any]] = []

    def lose_transaction(node: str, body: dict[str, Any]) -> str | None:
        if lost_transactions or not any(
            "s/job/" in change.get("put", "") for change in body["then"]
        ):
            return None
        lost_transactions.append(body)
        # What it sends next is lost or refused.
        if retry_result == "refused":
            world.state.refused_nodes.add(name)
        else:
            world.cut_links.add((name, "state"))
        return "lost"

    world.state.transaction_fault = lose_transaction
    owner.scheduling_pass.releaser.release(world.now, run, shard)
    world.run(0.1)
    assert lost_transactions and run.releasing
    world.run(4.0)
    run.hold_until = 0.0
    world.state.refused_nodes.clear()
    world.cut_links.clear()
    world.state.open_watches = [watch for watch in world.state.open_watches if watch[0] != name]
    if retry_result == "conflict":
        assert world.state.commit(lost_transactions[0])[0] == 200
        # The controller reads the change only after the conflict.
        original_reads = owner.sync.sync_if_due, owner.sync.watch
        owner.sync.sync_if_due = owner.sync.watch = lambda now: None  # type: ignore
        world.run(5.0)
        owner.sync.sync_if_due, owner.sync.watch = original_reads  # type: ignore
        owner.sync.watching = False
        world.run(20)
    else:
        # A refused retry says nothing about the first attempt.
        world.run(0.3)
        world.state.commit(lost_transactions[0])
        world.run(20)
    assert world.running_task_count("run-000001") == 4


def test_unconfirmed_release_of_a_point_is_not_settled_by_a_refusal() -> None:
    world = sweep_world()
    for worker in world.workers.values():
        worker.task_run_s = 500.0
    assert submit_sweep(world, "x in 1..6", vcpus=2.0, memoryGb=0.5)[0] == 201
    world.run_until(lambda: sum(world.running_task_count(f"run-s.p{k}") for k in range(6)) == 6, 60)
    world.run(2)
    name = max(
        world.owners, key=lambda n: sum(len(j.placed) for j in world.owners[n].jobs.values())
    )
    owner = world.owners[name]
    run = next(j for j in owner.jobs.values() if j.placed)
    placement = run.placed[0]
    world.workers[placement.machine.name].exit_task(placement.task, placement.attempt, "stopped")
    run.hold_until = world.now + 60.0
    world.run_until(lambda: bool(run.placeable(name)), 10)
    lost_transactions: list[dict[str, Any]] = []

    def lose_transaction(node: str, body: dict[str, Any]) -> str | None:
        if lost_transactions or not any(
            "s/points/" in change.get("put", "") for change in body["then"]
        ):
            return None
        lost_transactions.append(body)
        world.state.refused_nodes.add(name)
        world.state.answer_delay_s = 1.0
        return "lost"

    world.state.transaction_fault = lose_transaction
    owner.scheduling_pass.releaser.release(world.now, run, owner.held_shards[name])
    world.run_until(lambda: bool(lost_transactions), 3)
    for _ in range(150):
        world.run(0.02)
        assert run.releasing
    world.state.transaction_fault = None
    world.state.commit(lost_transactions[0])
    world.state.refused_nodes.clear()
    world.state.answer_delay_s = 0.0
    world.run(20)
    assert sum(world.running_task_count(f"run-s.p{k}") for k in range(6)) == 6

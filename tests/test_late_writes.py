"""Transactions that get no answer and are carried out 2 to 12 s later, after newer ones of the same
controller. World's rules are checked all along; docs/meetings.md has the table of transactions."""

import json
from typing import Any

import pytest

from sagecove.coordination.model import JobRun, Shard
from sagecove.coordination.owner import Owner
from sagecove.lab.deployment import LEASE_S, job_submission
from sagecove.lab.world import World, job_state, world_with_machines
from tests.test_known import commits, persist
from tests.test_sweeps import submit_sweep as submit_sweep
from tests.test_sweeps import sweep_world as sweeping

# What happens to the controller that sent it: nothing, it is back at once, it is back later than
# its shard has been taken.
BETWEEN = {"nothing": None, "restart": 0.3, "takeover": LEASE_S}


ENDS = [(1, "done"), (2, "done"), (3, "aborted"), (4, "done"), (5, "done")]


def story(w: World) -> None:
    """Machines rented, claims beyond a limit's first share, results of tasks that end far apart, a
    gang, a job cancelled; then all is known and over."""
    w.run(2)
    persist(w, "POST", "/api/jobs", w.add_spec(job_submission(1, hands=9, vcpus=2.0)))
    persist(
        w, "POST", "/api/jobs", w.add_spec(job_submission(2, outfit="blue", hands=5, vcpus=2.0))
    )
    persist(
        w,
        "POST",
        "/api/jobs",
        w.add_spec(job_submission(3, shape="service", hands=2, rank="production")),
    )
    w.run(14)
    # The gang at the usual pace; then an array's tasks that end far apart.
    persist(
        w,
        "POST",
        "/api/jobs",
        w.add_spec(job_submission(4, shape="ensemble", hands=3, rank="urgent")),
    )
    w.run_until(lambda: w.running_task_count("run-000004") == 3, 60)
    for n, worker in enumerate(w.workers.values()):
        worker.task_run_s = 3.0 + 4.0 * (n % 4)
    persist(w, "POST", "/api/jobs", w.add_spec(job_submission(5, hands=8, vcpus=1.0)))
    w.run(4)
    persist(w, "POST", "/api/jobs/run-000003/cancel")
    w.run_until(lambda: len(w.completed_tasks) == 25, 120)
    w.faults_over_at = w.now
    for node in sorted(w.owners):
        for n, state in ENDS:
            w.run_until(lambda node=node, n=n, s=state: job_state(w, node, f"run-{n:06d}") == s, 30)
    # Nothing that is carried out later brings anything back.
    w.run(14)
    for node in sorted(w.owners):
        for n, state in ENDS:
            assert job_state(w, node, f"run-{n:06d}") == state
    assert not [key for key in w.state.keys if key.startswith("s/job/")]
    w.check_served()


def fresh() -> World:
    w = World()
    w.cloud.capacity = {"small": 6, "gpu": 0}
    return w


@pytest.mark.parametrize("between", BETWEEN)
@pytest.mark.parametrize("pair", [False, True])
def test_each_transaction_of_a_story_is_carried_out_late(pair: bool, between: str) -> None:
    back_s = BETWEEN[between]
    every = commits(fresh(), story)
    assert every > 30
    # Each one alone; with another failure beside it, some.
    for point in range(0, every, 1 if not pair and back_s is None else 5):
        w, seen = fresh(), [0]

        def astray(
            node: str, body: dict[str, Any], w: World = w, seen: list[int] = seen, at: int = point
        ) -> str | None:
            seen[0] += 1
            if seen[0] - 1 not in ((at, at + 1) if pair else (at,)):
                return None
            # Of two the first is carried out after the second.
            delay = 2.0 + at * 3 % 10 + (at + 1 - seen[0]) * -1.5
            w.call_later(max(2.0, delay), lambda: (w.state.commit(body), None)[1])
            if back_s is not None and node in w.owners:
                w.call_later(0.0, lambda: w.owners.pop(node, None))
                w.call_later(
                    back_s, lambda: None if node in w.owners else w.start_node(int(node[1:]))
                )
            return "lost"

        w.state.transaction_fault = astray
        w.poll_jobs()
        story(w)


def test_each_transaction_is_carried_out_just_before_its_repetition() -> None:
    for point in range(0, commits(fresh(), story), 2):
        w, seen = fresh(), [0]
        first: list[tuple[str, dict[str, Any]]] = []

        def astray(
            node: str,
            body: dict[str, Any],
            w: World = w,
            seen: list[int] = seen,
            first: list[tuple[str, dict[str, Any]]] = first,
            at: int = point,
        ) -> str | None:
            seen[0] += 1
            if seen[0] - 1 == at:
                first.append((node, body))
                w.call_later(12.0, lambda: (first and w.state.commit(first.pop()[1]), None)[1])
                return "lost"
            if first and first[0][0] == node and keys(first[0][1]) & keys(body):
                w.state.commit(first.pop()[1])
            return None

        w.state.transaction_fault = astray
        w.poll_jobs()
        story(w)


def keys(body: dict[str, Any]) -> set[str]:
    """What a transaction writes."""
    return {change.get("put") or change["drop"] for change in body["then"]}


def capture(w: World, wanted: str, node: str | None = None) -> list[dict[str, Any]]:
    """Lose the next transaction that writes such a key, and keep it."""
    kept: list[dict[str, Any]] = []

    def hook(sender: str, body: dict[str, Any]) -> str | None:
        if kept or node not in (None, sender):
            return None
        if not any(change.get("put", "").startswith(wanted) for change in body["then"]):
            return None
        kept.append(body)
        return "lost"

    w.state.transaction_fault = hook
    return kept


def test_what_a_controller_tells_of_itself_is_not_told_once_more_later() -> None:
    w = world_with_machines(3)
    w.kill_node("n1")
    w.run(LEASE_S)
    kept = capture(w, "s/member/n1", "n1")
    w.start_node(1)
    w.run_until(lambda: bool(kept) and "s/member/n1" in w.state.keys, 20)
    assert w.state.commit(kept[0])[0] == 409


def test_a_takeover_carried_out_late_does_not_take_what_was_held_meanwhile() -> None:
    # Unused when n0 decided to take it, for its part of the limits, the shard was taken by its
    # namesake, used and lost again, which now acts by promises, n0's among them. Its key was absent
    # as before, the record of its last holder unchanged, and n0 took it for vacated.
    w = world_with_machines(3)
    w.kill_node("n2")
    w.run_until(lambda: "s/holder/n2" not in w.state.keys, 30)
    w.run(0.1)
    kept = capture(w, "s/holder/n2", "n0")
    owner = w.owners["n0"]
    owner.leadership._take_shard("n2")
    w.run(0.1)
    assert kept
    w.start_node(2)
    w.run_until(lambda: "n2" in w.owners["n2"].held_shards, 20)
    lease = w.owners["n2"].leadership.lease_id
    assert lease is not None
    w.state.expire_lease(lease)
    assert "s/holder/n2" not in w.state.keys
    assert w.state.commit(kept[0])[0] == 409


def test_a_first_claim_carried_out_late_brings_no_block_back_that_is_over() -> None:
    w = sweeping()
    for worker in w.workers.values():
        worker.task_run_s = 0.2
    kept = capture(w, "s/points/run-s/")
    assert submit_sweep(w, "x in 1..2000", vcpus=0.5, memoryGb=0.5)[0] == 201
    w.run_until(lambda: bool(kept), 20)
    block = kept[0]["then"][0]["put"]
    over = block.replace("s/points", "o/points")
    w.run_until(lambda: over in w.state.keys and block not in w.state.keys, 90)
    assert "s/sweep/run-s" in w.state.keys
    first = int(block.rpartition("/")[2])
    number = next(k for k in range(2000) if f"run-s.p{k}/0" in w.completed_tasks and k >= first)
    name = f"run-s.p{number}"
    assert w.user_request("n0", "GET", f"/api/jobs/{name}")[1]["standing"] == "done"
    assert w.state.commit(kept[0])[0] == 409
    w.run(1)
    for node in w.owners:
        assert w.user_request(node, "GET", f"/api/jobs/{name}")[1]["standing"] == "done"
    assert not json.dumps(sorted(w.state.keys)).count(block)


def test_a_cancellation_carried_out_late_does_not_undo_what_was_done() -> None:
    w = world_with_machines(3)
    persist(w, "POST", "/api/jobs", w.add_spec(job_submission(1)))
    w.run_until(lambda: w.running_task_count("run-000001") == 1, 30)
    kept = capture(w, "o/run-000001")
    status, _ = w.user_request("n0", "POST", "/api/jobs/run-000001/cancel")
    assert kept and status != 200
    w.run_until(lambda: job_state(w, "n1", "run-000001") == "done", 30)
    assert w.state.commit(kept[0])[0] == 409
    for node in w.owners:
        assert job_state(w, node, "run-000001") == "done"


def stopped() -> tuple[World, Owner, JobRun, Shard]:
    """A task of an array was stopped; its claim is about to be given back."""
    w = world_with_machines(6)
    for worker in w.workers.values():
        worker.task_run_s = 500.0
    w.submit("n0", job_submission(1, hands=4))
    w.run_until(lambda: w.running_task_count("run-000001") == 4, 40)
    name = max(w.owners, key=lambda n: len(w.owners[n].jobs["run-000001"].placed))
    owner = w.owners[name]
    run = owner.jobs["run-000001"]
    index, placement = next(iter(run.placed.items()))
    w.workers[placement.machine.name].exit_task(placement.task, placement.attempt, "stopped")
    w.run_until(lambda: index not in run.placed or not run.placed[index].takes_room, 5)
    run.hold_until = w.now + 60.0
    w.run_until(lambda: bool(run.placeable(name)), 10)
    return w, owner, run, owner.held_shards[name]


@pytest.mark.parametrize("repeated", ["conflict", "refused"])
def test_a_release_carried_out_late_is_not_placed_before_it_is_seen(repeated: str) -> None:
    # meet-slow-state: held up by a cut, a release was carried out as the cut ended, just before its
    # own repetition, whose conflict was taken for the end of the doubt: the mirror still had the
    # claim, and the tasks began here as well as where they were claimed next.
    w, owner, run, shard = stopped()
    name = shard.name
    kept: list[dict[str, Any]] = []

    def astray(node: str, body: dict[str, Any]) -> str | None:
        if kept or not any("s/job/" in change.get("put", "") for change in body["then"]):
            return None
        kept.append(body)
        # What it sends next goes astray, or is refused.
        if repeated == "refused":
            w.state.refused_nodes.add(name)
        else:
            w.cut_links.add((name, "state"))
        return "lost"

    w.state.transaction_fault = astray
    owner.scheduling_pass.releaser.release(w.now, run, shard)
    w.run(0.1)
    assert kept and run.releasing
    w.run(4.0)
    run.hold_until = 0.0
    w.state.refused_nodes.clear()
    w.cut_links.clear()
    w.state.open_watches = [watch for watch in w.state.open_watches if watch[0] != name]
    if repeated == "conflict":
        assert w.state.commit(kept[0])[0] == 200
        # Its own reads come later than the conflict.
        slow = owner.sync.sync_if_due, owner.sync.watch
        owner.sync.sync_if_due = owner.sync.watch = lambda now: None  # type: ignore
        w.run(5.0)
        owner.sync.sync_if_due, owner.sync.watch = slow  # type: ignore
        owner.sync.watching = False
        w.run(20)
    else:
        # One that was refused says nothing of the first.
        w.run(0.3)
        w.state.commit(kept[0])
        w.run(20)
    assert w.running_task_count("run-000001") == 4


def test_a_points_give_back_in_doubt_is_not_settled_by_a_refusal() -> None:
    w = sweeping()
    for worker in w.workers.values():
        worker.task_run_s = 500.0
    assert submit_sweep(w, "x in 1..6", vcpus=2.0, memoryGb=0.5)[0] == 201
    w.run_until(lambda: sum(w.running_task_count(f"run-s.p{k}") for k in range(6)) == 6, 60)
    w.run(2)
    name = max(w.owners, key=lambda n: sum(len(j.placed) for j in w.owners[n].jobs.values()))
    owner = w.owners[name]
    run = next(j for j in owner.jobs.values() if j.placed)
    placement = run.placed[0]
    w.workers[placement.machine.name].exit_task(placement.task, placement.attempt, "stopped")
    run.hold_until = w.now + 60.0
    w.run_until(lambda: bool(run.placeable(name)), 10)
    kept: list[dict[str, Any]] = []

    def astray(node: str, body: dict[str, Any]) -> str | None:
        if kept or not any("s/points/" in change.get("put", "") for change in body["then"]):
            return None
        kept.append(body)
        w.state.refused_nodes.add(name)
        w.state.answer_delay_s = 1.0
        return "lost"

    w.state.transaction_fault = astray
    owner.scheduling_pass.releaser.release(w.now, run, owner.held_shards[name])
    w.run_until(lambda: bool(kept), 3)
    for _ in range(150):
        w.run(0.02)
        assert run.releasing
    w.state.transaction_fault = None
    w.state.commit(kept[0])
    w.state.refused_nodes.clear()
    w.state.answer_delay_s = 0.0
    w.run(20)
    assert sum(w.running_task_count(f"run-s.p{k}") for k in range(6)) == 6

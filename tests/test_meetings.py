"""Combinations of two simultaneous faults (table in docs/meetings.md).

The simulator verifies the rules of the service after every step. Most tests run with and without
duplicates of reports that arrive much later.
"""

from collections.abc import Callable
from typing import Any

import pytest

from sagecove.lab.deployment import CANCEL_S, LEASE_S, REPORT_S, job_submission
from sagecove.lab.fakes import FakeWorker
from sagecove.lab.world import World, job_state
from tests.test_known import retry_until_accepted
from tests.test_refused_leader import node_with_most_tasks, use_deployment_timing

LONG, DOOMED = "run-000001", "run-000002"
COPIES = {"no copies": [], "copies": [1.0, 5.0, 30.0]}


def world_with_two_services(copies: list[float], nodes: int = 3) -> World:
    """Build a world whose machines run a service that stays (LONG) and one to cancel (DOOMED)."""
    world = World(node_count=nodes)
    world.cloud.capacity = {"small": 3 * nodes, "gpu": 0}
    for i in range(3 * nodes):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    for name in world.workers:
        world.report_copy_delays_s[name] = copies
    for n in (1, 2):
        spec = job_submission(
            n, shape="service", hands=2 * nodes, vcpus=1.0, memoryGb=2.0, rank="urgent"
        )
        world.submit("n0", spec)
    world.run_until(
        lambda: world.running_task_count(LONG) == world.running_task_count(DOOMED) == 2 * nodes, 90
    )
    world.run(3)
    world.poll_jobs()
    return world


def other_nodes(world: World, node: str) -> list[str]:
    return [n for n in sorted(world.owners) if n != node]


def workers_of_shard(world: World, node: str) -> list[FakeWorker]:
    """Return the workers of a controller's own shard."""
    shards = {m.name for m in world.owners[node].machines.values() if m.record.shard == node}
    return [worker for name, worker in world.workers.items() if name in shards]


def settle(world: World, seconds: float = 3 * LEASE_S) -> None:
    """End all faults; check that wanted jobs run, cancelled ones don't, and shards are active."""
    world.cut_links.clear()
    world.receive_blocked_machines.clear()
    world.state.refused_nodes.clear()
    world.state.answer_delay_s = 0.0
    world.state.transaction_fault = None
    world.state.set_outage(False)
    for worker in world.workers.values():
        worker.isolated = worker.direct_commands_blocked = False
    for n in range(world.node_count):
        if f"n{n}" not in world.owners:
            world.start_node(n)
    world.faults_over_at = world.now
    world.run(seconds)
    world.run_until(
        lambda: world.running_task_count(LONG) == world.specs[LONG]["hands"], 4 * LEASE_S
    )
    if world.reported_states[DOOMED] == "aborted":
        assert world.running_task_count(DOOMED) == 0
    acting = [s for o in world.owners.values() for s in o.shards.active_shards(world.now)]
    assert sorted(acting) == sorted(world.owners)


# -- controllers that reach only workers and users --


@pytest.mark.parametrize("copies", COPIES)
@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("refusing", [False, True])
@pytest.mark.parametrize("cancel_at", [0.3, 5.0, 12.0])
def test_cancellation_through_a_peer_while_the_leader_reaches_only_workers_and_users(
    cancel_at: float, refusing: bool, nodes: int, copies: str
) -> None:
    world = world_with_two_services(COPIES[copies], nodes)
    lead = node_with_most_tasks(world, DOOMED)
    world.isolate_node(lead, refusing)
    world.run(cancel_at)
    cancel_until_confirmed(world, other_nodes(world, lead)[0])
    for _ in range(int(1.2 * CANCEL_S / 4)):
        world.run(4)
        # Its answer is no older than what the other node reported, or it gives none.
        assert job_state(world, lead, DOOMED) in ("503", "aborted")
    assert world.running_task_count(DOOMED) == 0 and world.running_task_count(LONG) == 2 * nodes
    settle(world)


@pytest.mark.parametrize("alone", [["n0"], ["n0", "n1"]])
@pytest.mark.parametrize("seconds", [2.0, 5.0, 8.0, 14.0, 35.0])
@pytest.mark.parametrize("refusing", [False, True])
def test_isolated_controllers_lose_no_session_with_the_tightest_timing(
    refusing: bool, seconds: float, alone: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    use_deployment_timing(monkeypatch, "annex")
    world = world_with_two_services([])
    starts = len(world.task_starts)
    for name in alone:
        world.isolate_node(name, refusing)
    world.run(seconds)
    settle(world)
    assert (
        world.running_task_count(LONG) == world.running_task_count(DOOMED) == 6
        and len(world.task_starts) == starts
    )
    assert all(worker.session == 1 for worker in world.workers.values())


def cancel_until_confirmed(world: World, node: str, name: str = DOOMED) -> None:
    begun = world.now
    while world.user_request(node, "POST", f"/api/jobs/{name}/cancel")[0] != 200:
        assert world.now - begun < 75
        world.run(0.5)


# -- a slow state service --


@pytest.mark.parametrize("copies", COPIES)
@pytest.mark.parametrize("slow_s", [0.2, 1.0, 2.0, 5.0])
@pytest.mark.parametrize("then_down", [False, True])
def test_cancellation_while_the_state_service_is_slow_and_then_refuses(
    slow_s: float, then_down: bool, copies: str
) -> None:
    world = world_with_two_services(COPIES[copies])
    lead = node_with_most_tasks(world, DOOMED)
    world.state.answer_delay_s = slow_s
    for node in other_nodes(world, lead):
        world.request_controller(
            node, "POST", f"/api/jobs/{DOOMED}/cancel", b"", lambda status, body: None
        )
    world.run(0.5)
    for node in sorted(world.owners):
        world.user_request(node, "GET", f"/api/jobs/{DOOMED}")
    world.state.refused_nodes.add(lead)
    for node in other_nodes(world, lead):
        world.user_request(node, "POST", f"/api/jobs/{DOOMED}/cancel")
    if then_down:
        world.state.set_outage(True)
    world.run(1.3 * CANCEL_S)
    settle(world)
    cancel_until_confirmed(world, lead)


@pytest.mark.parametrize("slow_s", [0.2, 1.0, 2.0])
def test_leases_and_reads_are_dated_from_their_request(slow_s: float) -> None:
    # A lease counts from when its renewal was sent, since the answer may have taken all this time.
    world = world_with_two_services([])
    world.state.answer_delay_s = slow_s
    for _ in range(100):
        world.state.commit({"if": [], "then": [{"put": "s/note", "v": {}}]})
        changed, sent_at = world.state.ledger, world.now
        world.run(0.2)
        for owner in world.owners.values():
            # A read counts from when it was sent, too: it contains every earlier change.
            assert owner.sync.synced_at <= sent_at or owner.mirror.applied >= changed
            lease = owner.leadership.lease_id
            if lease is not None and world.now < owner.leadership.lease_until:
                assert owner.leadership.lease_until <= world.state.leases[lease][0]


# -- delayed direct commands --


def cancel_job(world: World, lead: str) -> None:
    cancel_until_confirmed(world, other_nodes(world, lead)[0])


def restart_holder(world: World, lead: str) -> None:
    world.kill_node(lead)
    world.run(0.3)
    world.start_node(int(lead[1:]))


def kill_holder(world: World, lead: str) -> None:
    world.kill_node(lead)


def expire_worker_sessions(world: World, lead: str) -> None:
    for worker in workers_of_shard(world, lead):
        worker.isolated = True
    world.run(1.2 * LEASE_S)
    for worker in workers_of_shard(world, lead):
        worker.isolated = False


def cancel_and_stop_state_service(world: World, lead: str) -> None:
    cancel_job(world, lead)
    world.state.set_outage(True)


@pytest.mark.parametrize("copies", COPIES)
@pytest.mark.parametrize("held_s", [1.0, 6.0, 20.0, 1.2 * CANCEL_S])
@pytest.mark.parametrize(
    "event",
    [
        cancel_job,
        restart_holder,
        kill_holder,
        expire_worker_sessions,
        cancel_and_stop_state_service,
    ],
)
def test_direct_commands_are_delayed_while_reports_continue(
    event: Callable[[World, str], None], held_s: float, copies: str
) -> None:
    world = world_with_two_services(COPIES[copies])
    lead = node_with_most_tasks(world, DOOMED)
    blocked_workers = workers_of_shard(world, lead)
    for worker in blocked_workers:
        worker.direct_commands_blocked = True
    # Delayed: launches of new tasks, halts of cancelled ones, reaps of finished ones.
    world.submit(lead, job_submission(3, hands=3, vcpus=0.5, memoryGb=1.0))
    world.run(0.5)
    event(world, lead)
    world.run(held_s)
    for worker in blocked_workers:
        worker.reconnect()
    world.run(3)
    settle(world)
    world.run_until(lambda: job_state(world, "n0", "run-000003") == "done", 75)
    assert len({t for _, t, _ in world.task_starts if t.startswith("run-000003")}) == 3


# -- all controllers end, some return --


@pytest.mark.parametrize("copies", COPIES)
@pytest.mark.parametrize("apart_s", [0.0, 0.05, 0.4, 3.0, 8.5])
@pytest.mark.parametrize("back_s", [0.05, 0.9, 6.0])
@pytest.mark.parametrize("lead_back", [True, False])
def test_all_controllers_end_one_returns_and_shards_are_handed_back(
    lead_back: bool, back_s: float, apart_s: float, copies: str
) -> None:
    world = world_with_two_services(COPIES[copies])
    world.dead_nodes_refuse = True
    lead = node_with_most_tasks(world, DOOMED)
    order = [lead, *other_nodes(world, lead)]
    for node in order:
        world.kill_node(node)
        world.run(apart_s)
    first = order[0] if lead_back else order[-1]
    world.run(back_s)
    world.start_node(int(first[1:]))
    world.run(4.0)
    retry_until_accepted(world, "POST", f"/api/jobs/{DOOMED}/cancel")
    world.run(4.0)
    for node in order:
        if node not in world.owners:
            world.start_node(int(node[1:]))
            world.run(back_s)
    # The first one ends again in the middle of handing shards back.
    world.run(1.0)
    world.kill_node(first)
    world.run(back_s)
    settle(world)


# -- a leader ends while its machines are unreachable --


@pytest.mark.parametrize("copies", COPIES)
@pytest.mark.parametrize("how", ["cut", "deaf", "direct"])
@pytest.mark.parametrize("seconds", [4.0, 0.9 * LEASE_S, 1.1 * LEASE_S, 3 * LEASE_S])
def test_leader_ends_while_its_machines_are_unreachable(
    seconds: float, how: str, copies: str
) -> None:
    world = world_with_two_services(COPIES[copies])
    lead = node_with_most_tasks(world, DOOMED)
    unreachable_workers = workers_of_shard(world, lead)[:2]
    for worker in unreachable_workers:
        if how == "deaf":
            world.receive_blocked_machines.add(worker.name)
        else:
            worker.isolated, worker.direct_commands_blocked = how == "cut", True
    world.run(1.0)
    world.kill_node(lead)
    world.run(seconds)
    # There is room elsewhere for tasks that provably ended; none starts twice (World.started).
    world.cloud.capacity["small"] = 12
    for worker in unreachable_workers:
        worker.reconnect()
    world.receive_blocked_machines.clear()
    world.run(2 * REPORT_S)
    settle(world)


# -- jobs of two or three tasks --


def kill_leader(world: World, lead: str) -> None:
    world.kill_node(lead)


def stall_leader(world: World, lead: str) -> None:
    world.paused_until[lead] = world.now + 9.0


def refuse_leader(world: World, lead: str) -> None:
    world.state.refused_nodes.add(lead)


def delay_writes(world: World, lead: str) -> None:
    world.state.transaction_fault = lambda node, body: (
        "late" if world.random.random() < 0.6 else None
    )


@pytest.mark.parametrize("copies", COPIES)
@pytest.mark.parametrize("change", [kill_leader, stall_leader, refuse_leader, delay_writes])
@pytest.mark.parametrize("change_at_s", [0.5, 2.5, 4.0, 6.5, 9.5])
@pytest.mark.parametrize("hands", [2, 3])
def test_tasks_of_a_small_job_end_before_and_after_a_change_of_leader(
    hands: int, change_at_s: float, change: Callable[[World, str], None], copies: str
) -> None:
    world = world_with_two_services(COPIES[copies])
    for n, worker in enumerate(world.workers.values()):
        worker.task_run_s = 2.0 + 4.0 * (n % 3)
    spec: dict[str, Any] = {"hands": hands, "vcpus": 0.5, "memoryGb": 1.0}
    world.submit("n0", job_submission(3, **spec))
    world.run_until(lambda: world.running_task_count("run-000003") == hands, 30)
    lead = node_with_most_tasks(world, "run-000003")
    world.run(change_at_s)
    change(world, lead)
    world.run_until(lambda: len(world.completed_tasks) == hands, 60)
    # No task whose machine survived was started again.
    tasks = [t for _, t, _ in world.task_starts if t.startswith("run-000003")]
    assert len(tasks) == len(set(tasks)) == hands
    # Reported by a node that reaches the state service: at once if writes succeed, or soon after a
    # takeover.
    world.run_until(
        lambda: any(job_state(world, n, "run-000003") == "done" for n in sorted(world.owners)),
        75,
    )
    settle(world)
    for node in world.owners:
        assert job_state(world, node, "run-000003") == "done"
    tasks = [t for _, t, _ in world.task_starts if t.startswith("run-000003")]
    assert len(tasks) == hands

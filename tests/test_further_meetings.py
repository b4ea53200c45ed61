"""More combinations of simultaneous faults (table in docs/meetings.md).

The simulator verifies the rules of the service after every step.
"""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, REPORT_S, job_submission
from sagecove.lab.world import World, job_state
from tests.test_close_looks import schedule_requests
from tests.test_meetings import (
    DOOMED,
    other_nodes,
    settle,
    workers_of_shard,
    world_with_two_services,
)
from tests.test_old_reports import wait_for_takeover
from tests.test_refused_leader import node_with_most_tasks

JOB = "run-000001"


def start_machines(world: World, count: int, zones: str = "ab") -> World:
    world.cloud.capacity = {"small": count, "gpu": 0}
    for i in range(count):
        world.cloud.start_machine("small", zones[i % len(zones)], False)
    world.run(3)
    return world


# -- user requests as a job's last task ends --


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("kinds", ["p", "c", "s", "pcs"])
@pytest.mark.parametrize("shape, hands", [("sweep", 1), ("sweep", 3), ("ensemble", 2)])
def test_users_poll_cancel_and_resubmit_as_the_last_task_ends(
    shape: str, hands: int, kinds: str, nodes: int
) -> None:
    for step in range(-2, 14, 2 if kinds == "c" else 5):
        world = start_machines(World(node_count=nodes), 2 * nodes)
        for worker in world.workers.values():
            worker.task_run_s = 3.0
        spec = job_submission(1, shape=shape, hands=hands, vcpus=1.0, memoryGb=1.0)
        assert world.submit("n0", spec)[0] == 201
        world.run_until(lambda world=world: world.running_task_count(JOB) == hands, 10)
        world.run(3.0 + 0.04 * step)
        schedule_requests(world, spec, 0.08, 0.04, kinds)
        world.run(1.0)
        schedule_requests(world, spec, 3.0, 0.5, "ps")
        world.faults_over_at = world.now
        world.run(4.0)
        reported_states = {job_state(world, node, JOB) for node in world.owners}
        # Whichever came first is reported by all nodes: done within three seconds, or cancelled.
        assert reported_states == {"done"} or ("c" in kinds and reported_states == {"aborted"})
        world.run(3.0)
        assert world.running_task_count(JOB) == 0


@pytest.mark.parametrize("first", ["end", "cancellation"])
@pytest.mark.parametrize("nodes", [3, 5])
def test_completion_and_cancellation_race_at_the_state_service(nodes: int, first: str) -> None:
    world = start_machines(World(node_count=nodes), 2 * nodes)
    for worker in world.workers.values():
        worker.task_run_s = 3.0
    world.submit("n0", job_submission(1, hands=2, vcpus=1.0, memoryGb=1.0))
    held: list[dict[str, Any]] = []

    def delay_final_write(node: str, body: dict[str, Any]) -> str | None:
        state = next((c["v"] for c in body["then"] if c.get("put") == f"o/{JOB}"), None)
        if state is None:
            return None
        if not held:
            # The completion is not yet written; users are told that the job runs.
            held.append(body)
            return "lost"
        if len(held) == 1 and body["then"] != held[0]["then"]:
            held.append(body)
            if first == "end":
                assert world.state.commit(held[0])[0] == 200
            else:
                world.call_later(0.5, lambda: (world.state.commit(held[0]), None)[1])
            return None
        return None if len(held) > 1 else "lost"

    world.state.transaction_fault = delay_final_write
    world.run_until(lambda: bool(held), 20)
    for node in sorted(world.owners):
        world.start_user_request(node, "POST", f"/api/jobs/{JOB}/cancel")
    world.run(1.0)
    for _ in range(5):
        reported_states = {job_state(world, node, JOB) for node in world.owners}
        assert reported_states == ({"done"} if first == "end" else {"aborted"})
        world.run(1.0)


# -- overload over slow links --


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("link_s", [0.2, 0.8, 1.5])
@pytest.mark.parametrize("change", ["nothing", "ends", "cancels"])
def test_overload_of_mixed_priorities_over_slow_links(
    change: str, link_s: float, nodes: int
) -> None:
    world = start_machines(World(node_count=nodes), 9)
    world.link_delay_s = link_s
    for n in range(1, 9):
        rank, outfit = ("urgent", "red") if n % 3 == 0 else ("low", "guests")
        shape = "ensemble" if n % 4 == 0 else "sweep"
        spec = job_submission(n, shape=shape, hands=8, vcpus=2.0, rank=rank, outfit=outfit)
        world.start_user_request(f"n{n % nodes}", "POST", "/api/jobs", world.add_spec(spec))
    world.run(6)
    if change == "ends":
        world.kill_node("n1")
        world.call_later(LEASE_S, lambda: world.start_node(1))
    elif change == "cancels":
        for n in (2, 3, 4):
            for node in world.owners:
                world.start_user_request(node, "POST", f"/api/jobs/run-{n:06d}/cancel")
    world.run(20)
    world.faults_over_at = world.now
    kept = [n for n in range(1, 9) if f"run-{n:06d}" not in world.cancelled_at]
    assert len(kept) == 8 or change == "cancels"
    world.run_until(
        lambda: all(job_state(world, "n0", f"run-{n:06d}") == "done" for n in kept), 200
    )
    world.check_served()


# -- a zone that loses machines --


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", ["sweep", "ensemble", "service"])
@pytest.mark.parametrize(
    "bound", [{"range": "a"}, {"samePlace": True}, {"range": "a", "samePlace": True}]
)
@pytest.mark.parametrize("lost", ["power", "cut"])
def test_jobs_restricted_to_one_zone_lose_machines(
    lost: str, bound: dict[str, Any], shape: str, nodes: int
) -> None:
    world = start_machines(World(node_count=nodes), 10, "aab")
    for worker in world.workers.values():
        worker.task_run_s = 20.0
    world.submit("n0", job_submission(1, shape=shape, hands=8, vcpus=1.0, memoryGb=1.0, **bound))
    world.run_until(lambda: world.running_task_count(JOB) == 8, 60)
    world.poll_jobs()
    zone = next(
        worker.cloud_record["range"] for worker in world.workers.values() if worker.live_tasks()
    )
    lost_workers = [
        worker
        for worker in world.workers.values()
        if worker.cloud_record["range"] == zone and worker.live_tasks()
    ][:2]
    lost_workers += [
        worker
        for worker in world.workers.values()
        if worker.cloud_record["range"] == zone and worker not in lost_workers
    ][:1]
    for worker in lost_workers:
        if lost == "power":
            worker.dead, worker.tasks = True, {}
        else:
            worker.isolated = worker.direct_commands_blocked = True
    world.cloud.capacity = {"small": 16, "gpu": 0}
    world.run(0.6 * LEASE_S)
    world.run(LEASE_S)
    for worker in lost_workers:
        if lost == "cut":
            worker.reconnect()
    world.faults_over_at = world.now
    if shape == "service":
        world.run_until(lambda: world.running_task_count(JOB) == 8, 120)
    else:
        world.run_until(lambda: job_state(world, "n1", JOB) == "done", 200)


# -- repeated changes of leader --


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("every", [4.0, 0.75 * LEASE_S, 12.0])
@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize("back_s", [0.4, 3.0, LEASE_S])
def test_leaders_change_ten_times_also_during_an_outage(
    back_s: float, outage: bool, every: float, nodes: int
) -> None:
    world = world_with_two_services([], nodes)
    for n in range(10):
        lead = max(
            world.owners, key=lambda name: len(world.owners[name].shards.active_shards(world.now))
        )
        if len(world.owners) > 1:
            world.kill_node(lead)
            world.call_later(
                back_s, lambda n=lead: None if n in world.owners else world.start_node(int(n[1:]))
            )
        if n == 3:
            world.start_user_request(sorted(world.owners)[0], "POST", f"/api/jobs/{DOOMED}/cancel")
        if outage and n in (4, 7):
            world.state.set_outage(n == 4)
        world.run(every)
    settle(world, 4 * LEASE_S)


# -- machines that reach no controller --


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("seconds", [4.0, 0.8 * LEASE_S, 1.5 * LEASE_S, 5 * LEASE_S])
@pytest.mark.parametrize("change", ["nothing", "ends", "cancelled"])
def test_workers_reach_no_controller_but_receive_direct_commands(
    change: str, seconds: float, nodes: int
) -> None:
    world = world_with_two_services([], nodes)
    lead = node_with_most_tasks(world, DOOMED)
    cut_workers = [worker for worker in workers_of_shard(world, lead) if worker.tasks][:2]
    world.cloud.capacity["small"] = 3 * nodes + 2
    for worker in cut_workers:
        world.send_blocked_machines.add(worker.name)
    world.run(1.0)
    if change == "ends":
        world.kill_node(lead)
    elif change == "cancelled":
        world.user_request(other_nodes(world, lead)[0], "POST", f"/api/jobs/{DOOMED}/cancel")
    silence_limit_s = world.owners[other_nodes(world, lead)[0]].workers.silence_limit_s
    submitted_at = world.now
    world.submit(other_nodes(world, lead)[0], job_submission(3, hands=4, vcpus=0.5, memoryGb=0.5))
    world.run(seconds)
    # An answer to a command is no report: only few tasks start on these machines, and none once
    # they are considered silent.
    cut_names = {worker.name for worker in cut_workers}
    start_times = [
        at for at, _, name in world.task_starts if name in cut_names and at > submitted_at
    ]
    assert all(at - submitted_at < silence_limit_s + 2 * REPORT_S for at in start_times)
    world.send_blocked_machines.clear()
    settle(world, 4 * LEASE_S)
    world.run_until(lambda: job_state(world, "n0", "run-000003") == "done", 75)
    # They came back with a new lease, or were returned.
    for worker in cut_workers:
        assert worker.dead or worker.lease_started_at > world.now - LEASE_S


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("lost", ["mute", "power"])
def test_tasks_placed_on_an_unreachable_machine_start_elsewhere(lost: str, nodes: int) -> None:
    # The unreachable machine is the only one with room, and it executes what it receives.
    world = start_machines(World(node_count=nodes), 6)
    for worker in world.workers.values():
        worker.task_run_s = 25.0
    filling = {"shape": "service", "rank": "production", "outfit": "guests", "vcpus": 4.0}
    world.submit("n0", job_submission(1, hands=5, **filling))
    world.run_until(lambda: world.running_task_count(JOB) == 5, 60)
    world.run(3)
    world.cloud.capacity["small"] = 12
    last_worker = next(worker for worker in world.workers.values() if not worker.live_tasks())
    if lost == "mute":
        world.send_blocked_machines.add(last_worker.name)
    else:
        last_worker.dead = True
    world.run(0.5)
    world.submit(
        "n1", job_submission(2, hands=4, vcpus=1.0, memoryGb=1.0, outfit="guests", reckonS=25.0)
    )
    world.run_until(
        lambda: world.running_task_count("run-000002") == 4 and not last_worker.live_tasks(),
        3 * LEASE_S,
    )
    world.run_until(lambda: job_state(world, "n0", "run-000002") == "done", 45)
    world.run_until(lambda: last_worker.name in world.cloud.deleted_names, 8 * LEASE_S)


# -- a zone with workers and a controller is cut off --


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("seconds", [0.8 * LEASE_S, 1.3 * LEASE_S, 3 * LEASE_S])
@pytest.mark.parametrize("cancel", [False, True])
def test_zone_with_workers_and_a_controller_is_cut_off(
    cancel: bool, seconds: float, nodes: int
) -> None:
    world = world_with_two_services([], nodes)
    inside = [worker for worker in world.workers.values() if worker.cloud_record["range"] == "b"]
    zone = ["n1", *(worker.name for worker in inside)]
    world.partition(zone, [*other_nodes(world, "n1"), *(n for n in world.workers if n not in zone)])
    world.cut_links |= {("n1", "state"), ("n1", "cloud")}
    world.cloud.capacity["small"] = 6 * nodes
    world.run(2.0)
    if cancel:
        world.run_until(
            lambda: world.user_request("n0", "POST", f"/api/jobs/{DOOMED}/cancel")[0] == 200, 60
        )
        assert job_state(world, "n1", DOOMED) in ("503", "running", "0")
    world.run(seconds)
    settle(world, 4 * LEASE_S)


# -- all controllers are down --


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("away_s", [0.9 * LEASE_S, 1.1 * LEASE_S, 2.5 * LEASE_S])
@pytest.mark.parametrize("back", ["together", "apart", "one"])
def test_all_controllers_are_down_for_about_a_lease_or_longer(
    back: str, away_s: float, nodes: int
) -> None:
    world = world_with_two_services([], nodes)
    world.dead_nodes_refuse = True
    world.start_user_request("n0", "POST", f"/api/jobs/{DOOMED}/cancel")
    world.start_user_request(
        "n1",
        "POST",
        "/api/jobs",
        world.add_spec(job_submission(3, hands=4, vcpus=0.5, memoryGb=0.5)),
    )
    world.run(0.03)
    for name in sorted(world.owners):
        world.kill_node(name)
    world.run(away_s)
    for n in range(1 if back == "one" else nodes):
        world.start_node(n)
        world.run(0.3 if back == "apart" else 0.0)
    world.run(LEASE_S)
    settle(world, 4 * LEASE_S)
    world.submit("n0", world.specs["run-000003"])
    world.run_until(lambda: job_state(world, "n1", "run-000003") == "done", 75)


# -- handover interrupted for less than a second --


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("back_s", [0.02, 0.3, 0.7])
@pytest.mark.parametrize("step", [0.0, 0.1, 0.2, 0.4, 0.8])
def test_all_controllers_end_during_a_handover_and_one_returns_within_a_second(
    step: float, back_s: float, nodes: int
) -> None:
    world = world_with_two_services([], nodes)
    world.dead_nodes_refuse = True
    lead = node_with_most_tasks(world, DOOMED)
    world.kill_node(lead)
    taker = wait_for_takeover(world, lead)
    world.start_node(int(lead[1:]))
    world.run_until(
        lambda: (
            lead not in world.owners[taker].held_shards
            or world.owners[taker].held_shards[lead].yielding
        ),
        60,
    )
    world.run(step)
    for name in sorted(world.owners):
        world.kill_node(name)
    world.run(back_s)
    world.start_node(int(taker[1:]))
    world.run(0.9 - back_s)
    world.start_user_request(taker, "POST", f"/api/jobs/{DOOMED}/cancel")
    world.run(2.0)
    settle(world, 4 * LEASE_S)

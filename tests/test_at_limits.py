"""Team limits hold when jobs on unreachable machines are cancelled and the leader changes.

The record of a cancelled job is gone, so the successor knows neither the team nor the size of the
tasks that machines report to it. The simulator checks after every step that no team exceeds its
limit and that no job waits despite free capacity.
"""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, REPORT_S, job_submission
from sagecove.lab.fakes import FakeWorker
from sagecove.lab.world import World
from tests.test_meetings import other_nodes, workers_of_shard
from tests.test_refused_leader import node_with_most_tasks

TEAMS: list[dict[str, Any]] = [
    {"name": name, "cpus": 4.0, "cpus_max": 12.0} for name in ("red", "blue", "green")
]
DOOMED = {team["name"]: f"run-{n:06d}" for n, team in enumerate(TEAMS, 1)}


def world_at_limits(nodes: int) -> World:
    """Give each team a service that uses its whole limit, on machines with room for more."""
    world = World(node_count=nodes, teams=TEAMS)
    world.cloud.capacity = {"small": 18, "gpu": 0}
    for i in range(18):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    for worker in world.workers.values():
        worker.task_run_s = 500.0
    for n, team in enumerate(DOOMED, 1):
        spec = job_submission(n, outfit=team, shape="service", hands=12, vcpus=1.0, memoryGb=1.0)
        world.submit("n0", spec)
    world.run_until(
        lambda: all(world.running_task_count(name) == 12 for name in DOOMED.values()), 90
    )
    world.run(3)
    world.poll_jobs()
    return world


def kill_leader(world: World, lead: str) -> None:
    world.kill_node(lead)


def stall_leader(world: World, lead: str) -> None:
    world.paused_until[lead] = world.now + 1.5 * LEASE_S


def isolate_leader(world: World, lead: str) -> None:
    world.isolate_node(lead, True)


def restart_leader(world: World, lead: str) -> None:
    world.kill_node(lead)
    world.call_later(0.5, lambda: world.start_node(int(lead[1:])))


def set_unreachable(world: World, worker: FakeWorker, how: str, unreachable: bool) -> None:
    if how == "deaf":
        (
            world.receive_blocked_machines.add
            if unreachable
            else world.receive_blocked_machines.discard
        )(worker.name)
    elif how == "mute":
        (world.send_blocked_machines.add if unreachable else world.send_blocked_machines.discard)(
            worker.name
        )
    elif unreachable:
        worker.isolated = worker.direct_commands_blocked = True
    else:
        worker.reconnect()


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("change", [kill_leader, stall_leader, isolate_leader, restart_leader])
@pytest.mark.parametrize("how", ["hangs", "deaf", "mute"])
@pytest.mark.parametrize("away_s", [1.0, 0.6 * LEASE_S, 1.5 * LEASE_S])
def test_cancellation_and_leader_change_with_all_teams_at_their_limits(
    away_s: float, how: str, change: Any, nodes: int
) -> None:
    world = world_at_limits(nodes)
    lead = node_with_most_tasks(world, DOOMED["red"])
    unreachable_workers = [worker for worker in workers_of_shard(world, lead) if worker.tasks]
    for worker in unreachable_workers:
        set_unreachable(world, worker, how, True)
    world.run(0.3)
    change_first = change in (kill_leader, restart_leader) and away_s > 1.0
    if change_first:
        # The successor never reads the records of the jobs.
        change(world, lead)
    node = other_nodes(world, lead)[0]
    for name in DOOMED.values():
        world.run_until(
            lambda name=name: (
                world.user_request(node, "POST", f"/api/jobs/{name}/cancel")[0] == 200
            ),
            30,
        )
    if not change_first:
        change(world, lead)
    confirmed = world.now
    # Submit as much work again: each team may start only as much as has provably ended.
    for n, team in enumerate(DOOMED, 11):
        spec = job_submission(n, outfit=team, hands=12, vcpus=1.0, memoryGb=1.0, reckonS=900.0)
        world.submit(node, spec)
    world.run(away_s)
    for worker in unreachable_workers:
        set_unreachable(world, worker, how, False)
    world.cut_links.clear()
    world.state.refused_nodes.clear()
    if lead not in world.owners:
        world.start_node(int(lead[1:]))
    world.faults_over_at = world.now
    world.run_until(
        lambda: all(world.running_task_count(f"run-{n:06d}") == 12 for n in (11, 12, 13)),
        6 * LEASE_S,
    )
    assert all(world.running_task_count(name) == 0 for name in DOOMED.values())
    assert world.now - confirmed < away_s + 4 * LEASE_S + 4 * REPORT_S


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("worker_limit", [1, 99])
@pytest.mark.parametrize("after", [0.1 * n for n in range(1, 44, 3)])
def test_machines_with_cancelled_tasks_become_unreachable_after_a_takeover(
    after: float, nodes: int, worker_limit: int
) -> None:
    # The new leader knows the tasks from reports, but its halt commands do not arrive.
    world = world_at_limits(nodes)
    lead = node_with_most_tasks(world, DOOMED["red"])
    # With only one worker unreachable, the others free room within the limits for new tasks.
    unreachable_workers = [worker for worker in workers_of_shard(world, lead) if worker.tasks][
        :worker_limit
    ]
    world.kill_node(lead)
    node = sorted(world.owners)[0]
    for name in DOOMED.values():
        world.run_until(
            lambda name=name: (
                world.user_request(node, "POST", f"/api/jobs/{name}/cancel")[0] == 200
            ),
            30,
        )
    world.run_until(
        lambda: any(lead in o.shards.active_shards(world.now) for o in world.owners.values()), 30
    )
    for n, team in enumerate(DOOMED, 11):
        spec = job_submission(n, outfit=team, hands=12, vcpus=1.0, memoryGb=1.0, reckonS=900.0)
        world.submit(node, spec)
    world.run(after)
    for worker in unreachable_workers:
        set_unreachable(world, worker, "deaf", True)
    world.run(2 * LEASE_S)
    for worker in unreachable_workers:
        set_unreachable(world, worker, "deaf", False)
    world.start_node(int(lead[1:]))
    world.faults_over_at = world.now
    world.run_until(
        lambda: all(world.running_task_count(f"run-{n:06d}") == 12 for n in (11, 12, 13)),
        4 * LEASE_S,
    )

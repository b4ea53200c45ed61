"""Guards against tasks that survive a cancellation made while a shard or machine is handed over.

Jobs are cancelled before the handover, while no controller acts for the shard, and after the new
term has begun but before the machines are known. At that time some tasks run, some wait for their
image and would start later, and some launch commands are in flight.
"""

from typing import Any

import pytest

from sagecove.lab.deployment import CANCEL_S, LEASE_S, REPORT_S, job_submission
from sagecove.lab.world import World, job_state
from tests.test_refused_leader import node_with_most_tasks

CANCELLED_JOB = "run-000001"
FETCH_S = 5.0


def create_world(nodes: int, machines: int = 0) -> World:
    world = World(node_count=nodes)
    machines = machines or 3 * nodes
    world.cloud.capacity = {"small": machines, "gpu": 0}
    for i in range(machines):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    for n, worker in enumerate(world.workers.values()):
        worker.task_run_s, worker.image_fetch_s = 900.0, FETCH_S * (n % 2)
    return world


def check_job_stays_stopped(world: World, confirmed: float) -> None:
    """Check that the cancelled job stops long before the bound and starts no task again."""
    world.run(3 * LEASE_S)
    assert world.running_task_count(CANCELLED_JOB) == 0
    for worker in world.workers.values():
        assert not any(
            t.startswith(CANCELLED_JOB) and v["standing"] != "exited"
            for t, v in worker.tasks.items()
        )
    world.run(CANCEL_S)
    assert world.running_task_count(CANCELLED_JOB) == 0
    for node in world.owners:
        assert job_state(world, node, CANCELLED_JOB) == "aborted"
    # A shard is without an acting controller for at most 1.5 leases, and its machines are known a
    # report later.
    bound = 1.5 * LEASE_S + 2 * REPORT_S
    assert all(delay_s < bound for _, delay_s in world.starts_after_cancel), (
        world.starts_after_cancel
    )


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", ["sweep", "service"])
@pytest.mark.parametrize(
    "offset_s", [-4.0, -1.0, -0.1, 0.0, 0.1, 2.0, 5.0, 7.0, 7.8, 8.2, 9.0, 10.0, 12.0]
)
def test_cancel_around_takeover(offset_s: float, shape: str, nodes: int) -> None:
    world = create_world(nodes)
    world.submit("n0", job_submission(1, shape=shape, hands=3 * nodes, vcpus=1.0, memoryGb=1.0))
    world.run(1.0 if offset_s < -1 else 4.0)
    leader = node_with_most_tasks(world, CANCELLED_JOB)
    confirming_node = next(n for n in sorted(world.owners) if n != leader)
    confirmed: list[float] = []

    def cancel() -> None:
        def answer(status: int | None, body: bytes) -> None:
            if status == 200:
                world.record_answer(CANCELLED_JOB, 200, {"standing": "aborted"}, submitted=False)
                confirmed.append(world.now)
            else:
                world.call_later(1.0, cancel)

        world.request_controller(
            confirming_node, "POST", f"/api/jobs/{CANCELLED_JOB}/cancel", b"", answer
        )

    world.call_later(max(0.0, 4.0 + offset_s), cancel)
    world.run(4.0)
    world.kill_node(leader)
    world.run_until(lambda: bool(confirmed), 30)
    check_job_stays_stopped(world, confirmed[0])


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize(
    "offset_s", [0.05 * n for n in range(0, 12)] + [0.4 * n for n in range(2, 16)]
)
def test_cancel_during_hand_back(offset_s: float, nodes: int) -> None:
    world = create_world(nodes)
    world.kill_node("n1")
    world.run(LEASE_S)
    world.submit("n0", job_submission(1, hands=6 * nodes, vcpus=1.0, memoryGb=1.0, shape="service"))
    world.run(2.0)
    world.start_node(1)
    holder = next(n for n, o in world.owners.items() if "n1" in o.held_shards)
    world.run_until(
        lambda: (
            world.owners[holder].held_shards.get("n1") is None
            or world.owners[holder].held_shards["n1"].yielding
        ),
        60,
    )
    world.run(offset_s)
    world.run_until(
        lambda: world.user_request("n0", "POST", f"/api/jobs/{CANCELLED_JOB}/cancel")[0] == 200, 30
    )
    check_job_stays_stopped(world, world.now)


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("offset_s", [0.25 * n for n in range(0, 16)])
@pytest.mark.parametrize("gang", [True, False])
def test_cancel_during_machine_handover(gang: bool, offset_s: float, nodes: int) -> None:
    # Cancels either the gang or a job that runs on the machines given to the gang.
    world = create_world(nodes, 24)
    gang_spec: dict[str, Any] = {"shape": "ensemble", "rank": "urgent", "vcpus": 4.0, "hands": 14}
    array_spec = {"hands": 10, "vcpus": 0.5, "memoryGb": 0.5}
    world.submit("n0", job_submission(1 if gang else 2, **gang_spec))
    if not gang:
        world.submit("n1", job_submission(1, **array_spec))
    world.run(offset_s)
    world.run_until(
        lambda: world.user_request("n0", "POST", f"/api/jobs/{CANCELLED_JOB}/cancel")[0] == 200, 30
    )
    check_job_stays_stopped(world, world.now)
    if not gang:
        world.run_until(lambda: world.running_task_count("run-000002") == 14, 60)

"""Machines that boot within two seconds get work at once, although writes to the state service lag
and controllers are killed during the rental.

The provisioner, a shard holder, both or all controllers are killed at points between the rental's
record, the cloud call, its answer, the machine's first report, `GET /show`, the machine's record
and the first launch. Machines must not be lost or recorded twice, and all tasks must run.
"""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, job_submission
from sagecove.lab.world import World

SERVICE_JOB = "run-000001"


def empty_world(boot_s: float, nodes: int = 3, seed: int = 1) -> World:
    """Create a world without machines that can rent up to twelve small ones."""
    world = World(node_count=nodes, seed=seed)
    world.cloud.boot_s, world.cloud.capacity = boot_s, {"small": 12, "gpu": 0}
    world.run(5)
    return world


def submit_jobs(world: World, node: str) -> None:
    """Submit work for eight machines; the half that is a service stays."""
    keep = {"shape": "service", "hands": 16, "vcpus": 1.0, "memoryGb": 1.0, "rank": "urgent"}
    world.start_user_request(node, "POST", "/api/jobs", world.add_spec(job_submission(1, **keep)))
    world.start_user_request(
        node,
        "POST",
        "/api/jobs",
        world.add_spec(job_submission(2, hands=8, vcpus=2.0, reckonS=30.0)),
    )


def check_outcome(world: World) -> None:
    """End all faults, then check that all work runs once on machines with one record each, and that
    unneeded machines are returned."""
    world.state.transaction_fault = None
    world.state.answer_delay_s = 0.0
    world.state.set_outage(False)
    for n in range(world.node_count):
        if f"n{n}" not in world.owners:
            world.start_node(n)
    world.faults_over_at = world.now
    for name in (SERVICE_JOB, "run-000002"):
        # A job that was never accepted is submitted again, as users do.
        world.run_until(
            lambda name=name: (
                world.user_request("n0", "POST", "/api/jobs", world.specs[name])[0] < 300
            ),
            60,
        )
    world.run_until(lambda: world.running_task_count(SERVICE_JOB) == 16, 60)
    world.run_until(lambda: sum(t.startswith("run-000002") for t in world.completed_tasks) == 8, 90)
    # Idle machines are returned; every remaining machine has a record in one shard.
    world.run(120)
    records = {key for key in world.state.keys if key.startswith("s/machine/")}
    assert records == {f"s/machine/{name}" for name in world.cloud.machines}
    assert len(world.cloud.machines) <= 8 and world.running_task_count(SERVICE_JOB) == 16
    for owner in world.owners.values():
        for shard, machines in owner.machines_by_shard.items():
            assert all(m.record.shard == shard for m in machines.values())
    assert not [key for key in world.state.keys if key.startswith("s/rental/")]


@pytest.mark.parametrize("boot_s", [0.0, 0.3, 1.0, 2.0])
@pytest.mark.parametrize("slow_s", [0.0, 0.4, 1.2])
def test_fast_booting_machines_get_work(slow_s: float, boot_s: float) -> None:
    world = empty_world(boot_s)
    world.state.answer_delay_s = slow_s
    submit_jobs(world, "n0")
    world.run_until(lambda: world.running_task_count(SERVICE_JOB) == 16, 25)
    check_outcome(world)


def find_provisioner(world: World) -> str:
    """Return the node that holds the provisioner role, or an empty string."""
    return next((n for n, o in world.owners.items() if o.leadership.provisioner_term), "")


def both(world: World) -> list[str]:
    """Return the provisioner and the node that received the jobs."""
    return [find_provisioner(world), "n0"]


@pytest.mark.parametrize("who", ["provisioner", "another", "both", "all"])
@pytest.mark.parametrize("back_s", [0.3, LEASE_S])
@pytest.mark.parametrize("boot_s", [0.0, 0.6, 1.8])
def test_controllers_killed_during_rental(boot_s: float, back_s: float, who: str) -> None:
    for step in range(0, 28, 4 if who in ("provisioner", "all") else 9):
        world = empty_world(boot_s, seed=step + 1)
        world.state.answer_delay_s = 0.15
        submit_jobs(world, "n0")
        world.run(0.25 + 0.12 * step)
        provisioner_node = find_provisioner(world)
        names = {
            "provisioner": [provisioner_node],
            "another": [n for n in world.owners if n != provisioner_node][:1],
            "both": sorted({provisioner_node, "n0"}),
            "all": sorted(world.owners),
        }[who]
        for name in names:
            world.kill_node(name)
            world.call_later(back_s, lambda world=world, n=name: world.start_node(int(n[1:])))
        world.run(back_s + 0.1)
        check_outcome(world)


@pytest.mark.parametrize("verdict", ["late", "unanswered", "lost"])
@pytest.mark.parametrize("kind", ["s/rental/", "s/machine/"])
@pytest.mark.parametrize("end", [False, True])
@pytest.mark.parametrize("nodes", [3, 5])
def test_lost_or_late_rental_writes(nodes: int, end: bool, kind: str, verdict: str) -> None:
    for seed in (2, 4):
        world = empty_world([0.0, 0.5, 1.0, 1.9][seed - 1], nodes, seed)

        def hook(node: str, body: dict[str, Any], world: World = world) -> str | None:
            touched = [c.get("put") or c["drop"] for c in body["then"]]
            return (
                verdict
                if any(k.startswith(kind) for k in touched) and world.random.random() < 0.6
                else None
            )

        world.state.transaction_fault = hook
        submit_jobs(world, "n0")
        world.run(2.5)
        if end and (provisioner_node := find_provisioner(world)):
            world.kill_node(provisioner_node)
        world.run(8.0)
        check_outcome(world)

"""Guards against gangs that wait forever although the whole fleet has room for them.

A gang that is larger than one controller's part of the fleet starts only if the other controllers
hand over idle machines. No machine may run tasks of two controllers while it is handed over.
"""

from typing import Any

import pytest
from msgspec import structs

from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World


def create_world(nodes: int, machines: int) -> World:
    """Create controllers with idle machines of 4 CPUs; the cloud provides no more."""
    world = World(node_count=nodes, seed=nodes)
    world.cloud.capacity = {"small": machines, "gpu": 0}
    world.run(3)
    for number in range(machines):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(6)
    return world


def started_task_count(world: World, number: int) -> int:
    return len({task for _, task, _ in world.task_starts if task.startswith(f"run-{number:06d}/")})


GANG: dict[str, Any] = {"shape": "ensemble", "outfit": "guests", "memoryGb": 4.0}


@pytest.mark.parametrize(
    ("nodes", "hands", "cpus"), [(3, 30, 4.0), (5, 40, 1.5), (3, 15, 4.0), (9, 30, 4.0)]
)
def test_large_gang_gets_machines(nodes: int, hands: int, cpus: float) -> None:
    # DESIGN requires the others to hand over idle machines. Before they did, the gangs of the first
    # two cases never started.
    world = create_world(nodes, 60)
    world.submit("n0", job_submission(1, hands=hands, vcpus=cpus, **GANG))
    world.run_until(lambda: started_task_count(world, 1) == hands, 25)
    world.run_until(lambda: len(world.completed_tasks) == hands, 20)


def test_one_zone_gang_gets_machines_of_zone() -> None:
    world = create_world(3, 42)
    world.submit("n1", job_submission(1, hands=18, vcpus=4.0, samePlace=True, **GANG))
    world.run_until(lambda: started_task_count(world, 1) == 18, 30)


@pytest.mark.parametrize("nodes", [2, 3])
def test_spread_gang_gets_machines_of_each_zone(nodes: int) -> None:
    # Guards against a gang with `scatter` that no shard asks machines for, beside empty ones.
    world = create_world(nodes, 12)
    world.poll_jobs()
    world.faults_over_at = world.now
    world.submit("n1", job_submission(1, hands=8, vcpus=4.0, scatter=True, **GANG))
    world.run_until(lambda: started_task_count(world, 1) == 8, 40)


@pytest.mark.parametrize("verdict", ["lost", "late", "unanswered"])
@pytest.mark.parametrize("ended_node", ["n0", "n1", "n2"])
def test_controller_ends_during_machine_moves(verdict: str, ended_node: str) -> None:
    world = create_world(3, 24)
    move_count = [0]

    def hook(node: str, body: dict[str, Any]) -> str | None:
        puts = [c["v"] for c in body["then"] if c.get("put", "").startswith("s/machine/")]
        if any(put["shard"] != node for put in puts):
            move_count[0] += 1
            if ended_node in world.owners and move_count[0] > 2:
                world.call_later(0.001, lambda: world.owners.pop(ended_node, None))
            return verdict if world.random.random() < 0.6 else None
        return None

    world.state.transaction_fault = hook
    world.submit("n0", job_submission(1, hands=16, vcpus=4.0, **GANG))
    # Tasks that must not run twice continue alongside.
    world.submit("n1", job_submission(2, hands=10, outfit="guests"))
    world.run(12)
    world.state.transaction_fault = None
    if ended_node not in world.owners:
        world.start_node(int(ended_node[1:]))
    world.run_until(lambda: len(world.completed_tasks) == 26, 120)
    assert move_count[0] > 0


@pytest.mark.parametrize("verdict", ["late", "lost", "refused"])
def test_no_start_during_unknown_move(verdict: str) -> None:
    # The transaction may still be executed at any later time.
    world = create_world(3, 24)
    moved: set[str] = set()

    def hook(node: str, body: dict[str, Any]) -> str | None:
        keys = [c["put"] for c in body["then"] if c.get("put", "").startswith("s/machine/")]
        names = {key.removeprefix("s/machine/") for key in keys}
        first = bool(names - moved)
        moved.update(names)
        # A refused retry says nothing about the first attempt, which may still be in flight.
        return ("late" if first and verdict == "refused" else verdict) if keys else None

    world.state.transaction_fault = hook
    world.submit("n0", job_submission(1, hands=20, vcpus=4.0, **GANG))
    world.run_until(lambda: len(moved) > 3, 10)
    moving = set(moved)
    starts_before = len(world.task_starts)
    # Services are used because arrays would leave the room to the gang.
    service: dict[str, Any] = {"shape": "service", "rank": "production", "outfit": "guests"}
    for number in range(3):
        world.submit(f"n{number}", job_submission(2 + number, hands=16, **service))
    world.run(2)
    new_starts = world.task_starts[starts_before:]
    assert len(new_starts) > 20 and not moving & {machine for _, _, machine in new_starts}
    world.state.transaction_fault = None
    for number in range(3):
        assert world.user_request("n0", "POST", f"/api/jobs/run-{2 + number:06d}/cancel")[0] == 200
    world.run_until(lambda: len(world.completed_tasks) == 20, 120)


def test_unrequested_machines_stay() -> None:
    world = create_world(3, 24)
    shards = {m.name: m.record.shard for m in world.owners["n0"].machines.values()}
    world.submit("n0", job_submission(1, hands=5, vcpus=4.0, **GANG))
    world.submit("n1", job_submission(2, hands=20, outfit="guests", reckonS=20.0))
    world.run(20)
    assert {m.name: m.record.shard for m in world.owners["n0"].machines.values()} == shards


def test_earlier_gang_keeps_its_machines() -> None:
    world = create_world(3, 24)
    world.submit("n0", job_submission(1, hands=20, vcpus=4.0, **GANG))
    world.submit("n0", job_submission(2, hands=21, vcpus=4.0, **GANG))
    home = next(
        n
        for n in world.owners
        if world.owners[n].shards.home_shard(world.owners[n].jobs["run-000001"]) == n
    )
    world.run_until(lambda: bool(world.owners[home].room_requests.own_requests), 10)
    owner = world.owners[home]
    requests = {request.job: request for request in owner.room_requests.own_requests}
    other = next(n for n in world.owners if n != home)
    # If the later gang were served by another shard, its request would get no machine from here.
    owner.room_requests.give_machines(
        world.now, structs.replace(requests["run-000002"], shard=other)
    )
    assert not any(m.handing_over for m in owner.machines_by_shard[home].values())
    world.run_until(lambda: len(world.completed_tasks) == 41, 90)


@pytest.mark.parametrize("seed", [*range(1, 7), 15, 16, 21, 34, 41, 42, 45, 47, 48, 51, 57])
def test_lost_shards_go_to_different_survivors(seed: int) -> None:
    # With each of these seeds, one of the three survivors used to take both shards.
    world = World(node_count=5, seed=seed)
    for number in range(20):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(4 + seed / 10)
    world.kill_node("n1")
    world.kill_node("n3")
    world.run_until(
        lambda: {"n1", "n3"} <= {s for o in world.owners.values() for s in o.held_shards}, 20
    )
    assert max(len(owner.held_shards) for owner in world.owners.values()) == 2

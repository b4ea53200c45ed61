"""Room that is kept for one job is not kept from others that wait beside it for too long.

`RuleChecker` checks in each test that no job waits for 90 s beside room under its team's limit.
"""

from itertools import groupby
from typing import Any

import pytest

from sagecove.coordination.claims import pass_state
from sagecove.coordination.claims.kept_room import KEEP_ROOM_S, OPEN_ROOM_S, may_keep_room
from sagecove.lab.deployment import job_submission
from sagecove.lab.rule_checker import WAITING_LIMIT_S
from sagecove.lab.world import World

TEAMS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 0.0, "cpus_max": 64.0, "gpus": 0, "gpus_max": 0},
    {"name": "green", "cpus": 0.0, "cpus_max": 16.0, "gpus": 0, "gpus_max": 0},
]
GUARANTEED_TEAMS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 0.0, "cpus_max": 32.0, "gpus": 0, "gpus_max": 0},
    {"name": "green", "cpus": 8.0, "cpus_max": 12.0, "gpus": 0, "gpus_max": 0},
]
# A replica that leaves 3 of a small machine's 4 CPUs and 4 of its 16 GB, so that each has one.
REPLICAS: dict[str, Any] = {"shape": "service", "rank": "production", "vcpus": 1.0}
REPLICA_MEMORY_GB = 12.0


def world_of_services(node_count: int, machine_count: int, **fields: Any) -> World:
    """Return a world with a replica of a service on each of its machines, and no more machines."""
    world = World(node_count, teams=TEAMS)
    world.cloud.capacity = {"small": machine_count, "gpu": 0}
    for number in range(machine_count):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(6)
    replicas = {"memoryGb": REPLICA_MEMORY_GB, **REPLICAS, **fields}
    world.submit("n0", job_submission(1, hands=machine_count, **replicas))
    world.run_until(lambda: world.running_task_count("run-000001") == machine_count, 60)
    assert all(len(worker.live_tasks()) == 1 for worker in world.workers.values())
    world.poll_jobs()
    world.faults_over_at = world.now
    return world


@pytest.mark.parametrize("node_count", [1, 3])
def test_gang_waiting_for_machines_with_services_stops_no_arrays(
    node_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a gang that keeps arrays from machines which it can't get: review/6.
    monkeypatch.setattr(pass_state, "may_keep_room", lambda wall_s: True)
    world = world_of_services(node_count, 9)
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 2, "vcpus": 4.0, "memoryGb": 2.0}
    world.submit("n0", job_submission(2, **gang))
    world.run(1)
    submitted_at = world.now
    world.submit("n0", job_submission(3, outfit="green", hands=4, vcpus=2.0, memoryGb=2.0))
    # No room is kept at all, as no machine will have any for the gang.
    world.run_until(lambda: world.running_task_count("run-000003") == 4, 15)
    assert world.now - submitted_at < 15


@pytest.mark.parametrize("node_count", [1, 3])
def test_machines_are_rented_for_gang_beside_services(node_count: int) -> None:
    # Guards against machines with services that count as room for a gang of whole machines.
    world = world_of_services(node_count, 9)
    world.cloud.capacity = {"small": 20, "gpu": 0}
    gang: dict[str, Any] = {
        "shape": "ensemble",
        "rank": "urgent",
        "hands": 2,
        "vcpus": 4.0,
        "memoryGb": 2.0,
    }
    # Only there it takes most of any machine, so that it is served by one shard.
    gang["breeds"] = ["small"]
    world.submit("n0", job_submission(2, **gang))
    world.run_until(lambda: world.running_task_count("run-000002") == 2, 60)


def test_gang_that_shares_machines_with_services_reserves_no_room_for_good() -> None:
    # Guards against room that is reserved for a gang which would fit only without the services.
    world = world_of_services(1, 3)
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 5, "vcpus": 2.0, "memoryGb": 1.0}
    world.submit("n0", job_submission(2, **gang))
    world.run(60)
    world.submit("n0", job_submission(3, outfit="green", hands=1, vcpus=2.0, memoryGb=2.0))
    world.run_until(lambda: "run-000003/0" in world.completed_tasks, WAITING_LIMIT_S)


def test_gang_without_machines_holds_back_no_limit_for_good() -> None:
    # Guards against a gang that the fleet can't hold and that holds back its team's limit.
    world = world_of_services(1, 3, vcpus=0.5, memoryGb=9.0)
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 4, "vcpus": 4.0, "memoryGb": 2.0}
    world.submit("n0", job_submission(2, outfit="green", **gang))
    world.run(20)
    world.submit("n0", job_submission(3, outfit="green", hands=1, vcpus=2.0, memoryGb=2.0))
    world.run_until(lambda: "run-000003/0" in world.completed_tasks, WAITING_LIMIT_S)


@pytest.mark.parametrize("node_count", [1, 3])
def test_room_freed_for_an_array_goes_to_that_array(
    node_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an array that preempts a gang, whose room is then withheld from it for another
    # gang: review/4. Each gang was started and stopped again, and nothing was completed.
    # That room is open to all from time to time must not be what ends it.
    monkeypatch.setattr(pass_state, "may_keep_room", lambda wall_s: True)
    world = World(node_count, teams=GUARANTEED_TEAMS)
    world.cloud.capacity = {"small": 3, "gpu": 0}
    for number in range(3):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(6)
    world.poll_jobs()
    world.faults_over_at = world.now
    for worker in world.workers.values():
        worker.task_run_s = None
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 2, "vcpus": 3.0}
    array = {"rank": "urgent", "vcpus": 4.0}
    low = {"rank": "low", "outfit": "green", "vcpus": 2.0}
    history = [(gang, 4.0), (array, 0.5), (gang, 0.5), (array, 4.0), (array, 0.5)]
    history += [(gang, 4.0), (gang, 4.0), (low, 4.0), (low, 4.0), (low, 4.0)]
    for number, (fields, run_s) in enumerate(history, 1):
        fields = {"memoryGb": 2.0, "sizeGb": 0.0, "reckonS": run_s, **fields}
        world.submit("n0", job_submission(number, **fields))
        world.run(0.3)
    tasks = {f"{job}/{n}" for job, spec in world.specs.items() for n in range(spec["hands"])}
    # Some 55 CPU seconds of work on 12 CPUs.
    world.run_until(lambda: tasks <= world.completed_tasks, 60)


def test_limit_freed_by_stops_is_not_taken_straight_back() -> None:
    # Guards against a gang that stops tasks of its team which come before it, again and again.
    world = World(1, teams=GUARANTEED_TEAMS)
    world.cloud.capacity = {"small": 6, "gpu": 0}
    for number in range(6):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(6)
    for worker in world.workers.values():
        worker.task_run_s = None
    # Within the guarantee of 8 CPUs; beyond it, as it takes the whole limit of 12 CPUs.
    array = {"outfit": "green", "rank": "low", "hands": 4, "vcpus": 2.0, "reckonS": 20.0}
    gang = {"outfit": "green", "shape": "ensemble", "rank": "normal", "hands": 3, "vcpus": 4.0}
    world.submit("n0", job_submission(1, **array))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 10)
    world.submit("n0", job_submission(2, reckonS=1.0, **gang))
    world.run(50)
    assert {f"run-000001/{n}" for n in range(4)} <= world.completed_tasks
    starts = [task for _, task, _ in world.task_starts if task.startswith("run-000001/")]
    assert len(starts) == 4
    assert {f"run-000002/{n}" for n in range(3)} <= world.completed_tasks


def test_room_is_kept_for_less_than_any_job_may_wait() -> None:
    # Guards against room that is kept without end, and against one that is open for a moment only.
    kept = [may_keep_room(start_s + at) for start_s in (0.0, 1.7e9) for at in range(1000)]
    spells = [(is_kept, len(list(group))) for is_kept, group in groupby(kept[:1000])]
    assert all(length <= KEEP_ROOM_S for is_kept, length in spells if is_kept)
    assert [length for is_kept, length in spells if not is_kept][0] == OPEN_ROOM_S
    assert kept.count(True) > 0.75 * len(kept)
    assert KEEP_ROOM_S + OPEN_ROOM_S < WAITING_LIMIT_S

"""Gangs reserve room only while they could start in it.

No job may wait for 90 s beside a machine that suits it and has room while its team is under its
limit (`Rules._check_waiting`). A gang that waits for its team's limit, or for machines that the
fleet does not have, kept such room from other teams.
"""

from typing import Any

import pytest

from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World

TEAM_SETTINGS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 4.0, "cpus_max": 24.0, "gpus": 0, "gpus_max": 64},
    {"name": "green", "cpus": 0.0, "cpus_max": 24.0, "gpus": 0, "gpus_max": 64},
]
# Four jobs of another team, with one task each.
SMALL_JOB_NUMBERS = range(3, 7)


def check_other_team_starts(world: World, shape: str, **fields: Any) -> None:
    """Submits jobs of another team that have room, and checks that they start in time."""
    submitted_at = world.now
    for n in SMALL_JOB_NUMBERS:
        spec = {"shape": shape, "vcpus": 2.0, "reckonS": 20.0, **fields}
        world.submit("n1", job_submission(n, outfit="green", hands=1, **spec))
    world.faults_over_at = submitted_at
    world.run(100)
    names = {f"run-{n:06d}/0" for n in SMALL_JOB_NUMBERS}
    waits_s = [at - submitted_at for at, task, _ in world.task_starts if task in names]
    assert len(waits_s) >= 4 and max(waits_s) < 25.0


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", ["sweep", "ensemble", "service"])
@pytest.mark.parametrize("delay_s", [5.0, 20.0, 35.0, 45.0])
def test_gang_at_team_limit_reserves_no_room(delay_s: float, shape: str, nodes: int) -> None:
    # Four machines were free, and arrays were kept off all of them for as long as the service ran.
    world = World(teams=TEAM_SETTINGS, node_count=nodes)
    world.cloud.capacity = {"small": 8, "gpu": 0}
    for i in range(8):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    for worker in world.workers.values():
        worker.task_run_s = 20.0
    service_fields = {"shape": "service", "hands": 4, "vcpus": 4.0, "rank": "production"}
    world.submit("n0", job_submission(1, outfit="red", **service_fields))
    world.submit(
        "n0", job_submission(2, outfit="red", shape="ensemble", hands=3, vcpus=4.0, rank="urgent")
    )
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 60)
    world.run(delay_s)
    check_other_team_starts(world, shape)
    # The gang starts once its team's limit has room.
    assert world.user_request("n0", "POST", "/api/jobs/run-000001/cancel")[0] == 200
    world.run_until(lambda: world.running_task_count("run-000002") == 3, 60)


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", ["sweep", "ensemble", "service"])
def test_impossible_gang_reserves_no_room(shape: str, nodes: int) -> None:
    # The fleet has three of the four machines that it needs, and the cloud has no more.
    world = World(teams=TEAM_SETTINGS, node_count=nodes)
    world.cloud.capacity = {"small": 0, "gpu": 3}
    for _ in range(3):
        world.cloud.start_machine("gpu", "a", False)
    world.run(3)
    for worker in world.workers.values():
        worker.task_run_s = 20.0
    gang_fields = {
        "shape": "ensemble",
        "vcpus": 5.0,
        "cards": 4.0,
        "memoryGb": 30.0,
        "rank": "urgent",
    }
    world.submit("n0", job_submission(2, outfit="red", hands=4, **gang_fields))
    world.run(40)
    check_other_team_starts(world, shape, cards=1.0)


def test_arrays_and_waiting_gangs_do_not_block_each_other() -> None:
    # Guards against a machine that stays idle: its room is reserved for arrays, and withheld from
    # arrays for a gang that waits.
    world = World(node_count=1)
    world.cloud.capacity = {"small": 3, "gpu": 0}
    for number in range(3):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(6)
    world.poll_jobs()
    for worker in world.workers.values():
        worker.task_run_s = None
    gang: dict[str, Any] = {"hands": 2, "shape": "ensemble", "rank": "urgent", "vcpus": 3.0}
    array: dict[str, Any] = {"rank": "urgent", "vcpus": 4.0}
    low: dict[str, Any] = {"rank": "low", "outfit": "blue"}
    service: dict[str, Any] = {"hands": 2, "shape": "service", "rank": "production", "vcpus": 1.0}
    # Each job with its run time and the time until the next submission, in seconds.
    history: list[tuple[dict[str, Any], float, float]] = [
        (gang, 4.0, 0.1),
        (array, 0.5, 0.1),
        (gang, 0.5, 0.1),
        (array, 4.0, 0.1),
        (array, 0.5, 0.1),
        (gang, 4.0, 0.5),
        (gang, 4.0, 2.0),
        (low, 4.0, 0.1),
        (service, 0.0, 2.0),
        (low, 4.0, 0.1),
        (low, 4.0, 0.1),
    ]
    for number, (fields, run_s, pause_s) in enumerate(history, 1):
        world.submit("n0", job_submission(number, reckonS=run_s, **fields))
        world.run(pause_s)
    world.run(30)
    assert world.user_request("n0", "POST", "/api/jobs/run-000009/cancel")[0] == 200
    world.faults_over_at = world.now
    tasks = {
        f"{job}/{index}"
        for job, spec in world.specs.items()
        if spec["shape"] != "service"
        for index in range(spec["hands"])
    }
    world.run_until(lambda: tasks <= world.completed_tasks, 240)

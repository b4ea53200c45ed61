"""Gangs must start where their image is cached, instead of waiting for fetches.

Covered are the choice of zone and machines, the contents of the cache, the choice of the controller
that claims a job, and preemption on machines that have the image.
"""

import json
from random import Random
from typing import Any

import msgspec
import pytest

from sagecove.coordination import images
from sagecove.coordination.claims.candidates import find_candidates
from sagecove.coordination.model import JobRun, Machine, Placement
from sagecove.coordination.placement import plan_placements
from sagecove.lab.deployment import MACHINE_TYPES, job_submission
from sagecove.lab.world import World
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.submissions import decode_submission
from sagecove.storage.records import JobRecord, MachineRecord

GPU_TYPE = msgspec.convert(MACHINE_TYPES[1], MachineType)
GANG_FIELDS = {"shape": "ensemble", "vcpus": 3.0, "cards": 2, "memoryGb": 8.0, "sizeGb": 9.0}


def make_machine(number: int, zone: str, *cached_images: str) -> Machine:
    out = Machine(f"vm-{number}", MachineRecord("gpu", zone, False, "n0"), 1, 0.0)
    out.machine_type = GPU_TYPE
    out.tasks_known = True
    for image in cached_images:
        out.images[image] = 9.0
    return out


def make_job_run(number: int, **fields: Any) -> JobRun:
    return JobRun(
        JobRecord(decode_submission(json.dumps(job_submission(number, **fields)).encode()), 1.0), 0
    )


def planned_machine_names(run: JobRun, machines: list[Machine], seed: int = 1) -> list[str]:
    indexes = list(range(run.spec.tasks))
    return [m.name for _, m in plan_placements(run, indexes, machines, Random(seed), {})]


def test_gang_in_one_zone_uses_zone_with_its_image() -> None:
    # Guards against choosing the zone among those with room without regard to cached images.
    machines = [make_machine(n, "ab"[n % 2]) for n in range(8)] + [make_machine(8, "b", "img")]
    run = make_job_run(1, samePlace=True, hands=2, **GANG_FIELDS)
    for seed in range(12):
        assert planned_machine_names(run, machines, seed) == ["vm-8", "vm-8"]


def test_gang_without_cached_image_needs_few_fetches() -> None:
    # Four tasks on four machines took four fetches of 9 GB, and the gang waited for the slowest.
    machines = [make_machine(n, "a") for n in range(6)]
    run = make_job_run(1, hands=4, **GANG_FIELDS)
    for seed in range(12):
        assert len(set(planned_machine_names(run, machines, seed))) == 2


def test_machines_fetching_other_images_are_avoided() -> None:
    machines = [make_machine(n, "a") for n in range(3)]
    machines[0].fetching["other"] = 1
    machines[2].fetching["img"] = 1
    run = make_job_run(1, vcpus=1.0)
    assert planned_machine_names(run, machines) == ["vm-2"]
    machines[2].fetching = {"third": 1}
    assert planned_machine_names(run, machines) == ["vm-1"]


def test_cache_keeps_images_used_last() -> None:
    machine = make_machine(1, "a")
    for name, size in (("a", 30.0), ("b", 30.0), ("a", 30.0), ("c", 30.0)):
        images.record_image_use(machine, make_job_run(1, bundle=name, sizeGb=size).spec)
    # The cache has 80 GB: the image used longest ago goes, not the one that was fetched first.
    assert list(machine.images) == ["a", "c"]


def world_with_gpu_machines() -> World:
    """Three controllers with six GPU machines in one zone; no image is cached yet."""
    world = World(seed=2)
    world.cloud.capacity = {"small": 0, "gpu": 6}
    world.run(3)
    for _ in range(6):
        world.cloud.start_machine("gpu", "a", False)
    world.run(5)
    return world


@pytest.mark.parametrize("submitted_to", ["n0", "n1", "n2"])
def test_job_is_claimed_where_its_image_is_cached(submitted_to: str) -> None:
    world = world_with_gpu_machines()
    world.submit("n0", job_submission(1, **GANG_FIELDS, hands=1))
    world.run_until(lambda: len(world.completed_tasks) == 1, 60)
    world.run(3)
    first_machine = world.task_starts[-1][2]
    world.submit(submitted_to, job_submission(2, **GANG_FIELDS, hands=2))
    assert world.run_until(lambda: world.running_task_count("run-000002") == 2, 30) < 1.0
    assert {name for _, task, name in world.task_starts if "000002" in task} == {first_machine}


def test_job_is_claimed_after_peer_with_its_image_ends() -> None:
    world = world_with_gpu_machines()
    world.submit("n0", job_submission(1, **GANG_FIELDS, hands=1))
    world.run_until(lambda: len(world.completed_tasks) == 1, 60)
    world.run(3)
    warm_machine = world.task_starts[-1][2]
    holder_name = world.owners["n0"].machines[warm_machine].record.shard
    # Peers have just been told of the cached image when the controller that holds it ends.
    world.kill_node(holder_name)
    other = next(iter(world.owners))
    world.submit(other, job_submission(2, **GANG_FIELDS, hands=2))
    assert world.run_until(lambda: world.running_task_count("run-000002") == 2, 30) < 4.0


def test_image_being_fetched_does_not_count_as_cached() -> None:
    world = world_with_gpu_machines()
    original_describe = world.fetch_description
    world.fetch_description = lambda job_id, callback: None  # type: ignore[method-assign]
    world.submit("n0", job_submission(1, **GANG_FIELDS, hands=1))
    world.run(3)
    busy = [m for o in world.owners.values() for m in o.machines.values() if m.tasks]
    assert [m.fetching for m in busy] == [{"img": 1}] and not busy[0].images
    world.user_request("n0", "POST", "/api/jobs/run-000001/cancel")
    world.fetch_description = original_describe  # type: ignore[method-assign]
    world.run(10)
    assert not busy[0].fetching


def world_with_estimated_run_times(zones: str) -> World:
    """Three controllers with nine GPU machines on which tasks run as long as their job says."""
    world = World(seed=5)
    world.cloud.capacity = {"small": 0, "gpu": 9}
    world.run(3)
    for n in range(9):
        world.cloud.start_machine("gpu", zones[n % len(zones)], False)
    world.run(5)
    for worker in world.workers.values():
        worker.task_run_s = None
    return world


def test_young_array_task_is_preempted_for_gangs_image() -> None:
    # Guards against using free room without the image: 22 s of fetching cost more than the work
    # that is lost by preempting a young task.
    world = world_with_estimated_run_times("a")
    world.submit("n0", job_submission(1, **GANG_FIELDS, hands=1, reckonS=1.0))
    world.run_until(lambda: len(world.completed_tasks) == 1, 60)
    warm_machine = world.task_starts[-1][2]
    world.run(1)
    array = {"vcpus": 3.0, "cards": 1, "memoryGb": 8.0, "outfit": "guests", "reckonS": 500.0}
    world.submit("n0", job_submission(2, **array, hands=28, bundle="other", sizeGb=0.1))
    world.run_until(lambda: world.running_task_count("run-000002") == 28, 30)
    assert len(world.workers[warm_machine].live_tasks()) >= 3
    submitted_to = next(
        n for n, o in world.owners.items() if warm_machine in o.machines_by_shard.get(n, {})
    )
    world.submit(
        submitted_to, job_submission(3, **GANG_FIELDS, hands=1, rank="urgent", reckonS=500.0)
    )
    assert world.run_until(lambda: world.running_task_count("run-000003") == 1, 30) < 3.0
    assert [name for _, task, name in world.task_starts if "000003" in task] == [warm_machine]


class NoWaiting:
    """A preemption policy without waiting, for which each preemption is worthwhile."""

    def patience(self, job: JobRun) -> float:
        return 0.0

    def worth(self, patience: float, victim: JobRun, placement: Placement) -> bool:
        return True


def test_victims_are_few_and_lose_little_work() -> None:
    machine = make_machine(1, "a", "img")
    array = make_job_run(1, vcpus=3.0, cards=1, hands=3)
    alone = make_job_run(2, vcpus=2.0)
    for run, index, began in (
        (array, 0, 0.0),
        (array, 1, 90.0),
        (array, 2, 95.0),
        (alone, 0, 99.0),
    ):
        placement = Placement(run, index, f"{run.id}/{index}", 1, machine, state="running")
        placement.started_at = began
        machine.tasks[placement.task] = placement
        machine.count_room(run.spec, 1)
    gang = make_job_run(3, rank="urgent", **GANG_FIELDS)
    no_waiting: Any = NoWaiting()
    # The gang lacks a GPU, so the task that uses none stays, though it started last.
    found = find_candidates(100.0, gang, 1, [machine], {}, no_waiting)
    assert [(p.task[-8:], c.loss, c.tasks) for c in found for p in c.victims] == [
        ("000001/2", 15.0, 1)
    ]
    assert find_candidates(100.0, gang, 1, [machine], {}, no_waiting, 15.0) == found
    assert find_candidates(100.0, gang, 1, [machine], {}, no_waiting, 14.9) == []


@pytest.mark.parametrize("hands", [2, 4])
def test_preemption_for_gang_in_one_zone_stays_in_one_zone(hands: int) -> None:
    # Guards against preempting in several zones, where the tasks can't start together.
    world = world_with_estimated_run_times("abc"[:2])
    array = {"vcpus": 3.0, "cards": 1, "memoryGb": 8.0, "outfit": "guests", "reckonS": 500.0}
    world.submit("n0", job_submission(1, **array, hands=36))
    world.run_until(lambda: world.running_task_count("run-000001") == 36, 30)
    world.submit(
        "n1",
        job_submission(2, **GANG_FIELDS, hands=hands, rank="urgent", samePlace=True, reckonS=60.0),
    )
    assert world.run_until(lambda: world.running_task_count("run-000002") == hands, 30) < 5.0
    # No more tasks were stopped than necessary.
    assert world.running_task_count("run-000001") == 36 - 2 * hands


def test_room_preempted_for_gang_is_not_taken_by_others() -> None:
    # While preemption on machines with the image was being considered, freed room was not reserved:
    # in a benchmark one gang stopped 107 tasks in five seconds.
    world = world_with_estimated_run_times("a")
    array = {"vcpus": 3.0, "cards": 1, "memoryGb": 8.0, "outfit": "guests", "reckonS": 500.0}
    world.submit("n0", job_submission(1, **array, hands=60, bundle="other", sizeGb=0.1))
    world.run_until(lambda: world.running_task_count("run-000001") == 36, 30)
    starts_before = len(world.task_starts)
    world.submit("n1", job_submission(2, **GANG_FIELDS, hands=4, rank="urgent", reckonS=60.0))
    assert world.run_until(lambda: world.running_task_count("run-000002") == 4, 30) < 3.0
    world.run(5)
    # The gang needs eight GPUs: eight tasks were stopped, and nothing but the gang started.
    assert (
        len(world.task_starts) - starts_before == 4 and world.running_task_count("run-000001") == 28
    )

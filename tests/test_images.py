"""Images: who has one, who takes a job for it, and how few fetches a gang needs."""

import json
from random import Random
from typing import Any

import msgspec
import pytest

from sagecove.coordination import images
from sagecove.coordination.claims.candidates import find_candidates
from sagecove.coordination.model import JobRun, Machine, Placement
from sagecove.coordination.placement import plan_placements
from sagecove.lab.deployment import TYPES, job
from sagecove.lab.world import World
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import read_job
from sagecove.storage.records import JobRecord, MachineRecord

GPU = msgspec.convert(TYPES[1], MachineType)
GANG = {"shape": "ensemble", "vcpus": 3.0, "cards": 2, "memoryGb": 8.0, "sizeGb": 9.0}


def machine(number: int, zone: str, *held: str) -> Machine:
    out = Machine(f"vm-{number}", MachineRecord("gpu", zone, False, "n0"), 1, 0.0)
    out.machine_type = GPU
    out.tasks_known = True
    for image in held:
        out.images[image] = 9.0
    return out


def run_of(number: int, **fields: Any) -> JobRun:
    return JobRun(JobRecord(read_job(json.dumps(job(number, **fields)).encode()), 1.0), 0)


def planned(run: JobRun, machines: list[Machine], seed: int = 1) -> list[str]:
    indexes = list(range(run.spec.tasks))
    return [m.name for _, m in plan_placements(run, indexes, machines, Random(seed), {})]


def test_a_gang_in_one_zone_goes_where_its_image_is() -> None:
    # The zone was drawn first, of those with room, whatever images were there.
    fleet = [machine(n, "ab"[n % 2]) for n in range(8)] + [machine(8, "b", "img")]
    run = run_of(1, samePlace=True, hands=2, **GANG)
    for seed in range(12):
        assert planned(run, fleet, seed) == ["vm-8", "vm-8"]


def test_a_gang_without_its_image_is_fetched_for_as_few_times_as_may_be() -> None:
    # Four tasks on four machines were four fetches of 9 GB, of which the slowest counted.
    fleet = [machine(n, "a") for n in range(6)]
    run = run_of(1, hands=4, **GANG)
    for seed in range(12):
        assert len(set(planned(run, fleet, seed))) == 2


def test_where_another_image_is_being_fetched_the_rate_is_shared() -> None:
    fleet = [machine(n, "a") for n in range(3)]
    fleet[0].fetching["other"] = 1
    fleet[2].fetching["img"] = 1
    run = run_of(1, vcpus=1.0)
    assert planned(run, fleet) == ["vm-2"]
    fleet[2].fetching = {"third": 1}
    assert planned(run, fleet) == ["vm-1"]


def test_the_cache_keeps_what_was_used_last_and_what_is_in_use() -> None:
    one = machine(1, "a")
    for name, size in (("a", 30.0), ("b", 30.0), ("a", 30.0), ("c", 30.0)):
        images.record_image_use(one, run_of(1, bundle=name, sizeGb=size).spec)
    # 80 GB: of three the one that was not used again goes, not the one that came first.
    assert list(one.images) == ["a", "c"]


def warm_world() -> World:
    """Three controllers with two machines each, of which one has run a job with the image."""
    w = World(seed=2)
    w.cloud.capacity = {"small": 0, "gpu": 6}
    w.run(3)
    for _ in range(6):
        w.cloud.start("gpu", "a", False)
    w.run(5)
    return w


@pytest.mark.parametrize("asked", ["n0", "n1", "n2"])
def test_a_job_is_claimed_where_its_image_is_whoever_was_asked(asked: str) -> None:
    w = warm_world()
    w.submit("n0", job(1, **GANG, hands=1))
    w.until(lambda: len(w.completed) == 1, 60)
    w.run(3)
    first = w.starts[-1][2]
    w.submit(asked, job(2, **GANG, hands=2))
    assert w.until(lambda: w.running("run-000002") == 2, 30) < 1.0
    assert {name for _, task, name in w.starts if "000002" in task} == {first}


def test_a_job_whose_image_the_others_no_longer_have_room_beside_is_taken_all_the_same() -> None:
    w = warm_world()
    w.submit("n0", job(1, **GANG, hands=1))
    w.until(lambda: len(w.completed) == 1, 60)
    w.run(3)
    warm = w.starts[-1][2]
    home = w.owners["n0"].machines[warm].record.shard
    # It has just been told of, and its controller ends.
    w.kill(home)
    other = next(iter(w.owners))
    w.submit(other, job(2, **GANG, hands=2))
    assert w.until(lambda: w.running("run-000002") == 2, 30) < 4.0


def test_what_is_being_fetched_is_told_apart_from_what_is_there() -> None:
    w = warm_world()
    described = w.describe
    w.describe = lambda job_id, done: None  # type: ignore[method-assign]
    w.submit("n0", job(1, **GANG, hands=1))
    w.run(3)
    busy = [m for o in w.owners.values() for m in o.machines.values() if m.tasks]
    assert [m.fetching for m in busy] == [{"img": 1}] and not busy[0].images
    w.user("n0", "POST", "/api/jobs/run-000001/cancel")
    w.describe = described  # type: ignore[method-assign]
    w.run(10)
    assert not busy[0].fetching


def full_world(zones: str) -> World:
    """Three controllers; machines are full of one team's arrays but for one a shard."""
    w = World(seed=5)
    w.cloud.capacity = {"small": 0, "gpu": 9}
    w.run(3)
    for n in range(9):
        w.cloud.start("gpu", zones[n % len(zones)], False)
    w.run(5)
    for worker in w.workers.values():
        worker.run_s = None
    return w


def test_an_arrays_young_task_makes_room_beside_a_gangs_image() -> None:
    # Cold room was taken though 22 s of fetching cost more than what ran beside the image.
    w = full_world("a")
    w.submit("n0", job(1, **GANG, hands=1, reckonS=1.0))
    w.until(lambda: len(w.completed) == 1, 60)
    warm = w.starts[-1][2]
    w.run(1)
    array = {"vcpus": 3.0, "cards": 1, "memoryGb": 8.0, "outfit": "guests", "reckonS": 500.0}
    w.submit("n0", job(2, **array, hands=28, bundle="other", sizeGb=0.1))
    w.until(lambda: w.running("run-000002") == 28, 30)
    assert len(w.workers[warm].live()) >= 3
    asked = next(n for n, o in w.owners.items() if warm in o.machines_by_shard.get(n, {}))
    w.submit(asked, job(3, **GANG, hands=1, rank="urgent", reckonS=500.0))
    assert w.until(lambda: w.running("run-000003") == 1, 30) < 3.0
    assert [name for _, task, name in w.starts if "000003" in task] == [warm]


class Never:
    """Nothing is waited for."""

    def patience(self, job: JobRun) -> float:
        return 0.0

    def worth(self, patience: float, victim: JobRun, placement: Placement) -> bool:
        return True


def test_work_of_minutes_is_not_thrown_away_for_an_image_and_nobody_is_stopped_in_vain() -> None:
    one = machine(1, "a", "img")
    array = run_of(1, vcpus=3.0, cards=1, hands=3)
    alone = run_of(2, vcpus=2.0)
    for run, index, began in (
        (array, 0, 0.0),
        (array, 1, 90.0),
        (array, 2, 95.0),
        (alone, 0, 99.0),
    ):
        placement = Placement(run, index, f"{run.id}/{index}", 1, one, state="running")
        placement.started_at = began
        one.tasks[placement.task] = placement
        one.count_room(run.spec, 1)
    gang = run_of(3, rank="urgent", **GANG)
    never: Any = Never()
    # Another GPU is wanted: the task that takes none stays, though it began last.
    found = find_candidates(100.0, gang, 1, [one], {}, never)
    assert [(p.task[-8:], c.loss, c.tasks) for c in found for p in c.victims] == [
        ("000001/2", 15.0, 1)
    ]
    assert find_candidates(100.0, gang, 1, [one], {}, never, 15.0) == found
    assert find_candidates(100.0, gang, 1, [one], {}, never, 14.9) == []


@pytest.mark.parametrize("hands", [2, 4])
def test_room_for_a_gang_in_one_zone_is_made_in_one_zone(hands: int) -> None:
    # Machines of all zones were emptied for it, and its tasks could not start in them together.
    w = full_world("abc"[:2])
    array = {"vcpus": 3.0, "cards": 1, "memoryGb": 8.0, "outfit": "guests", "reckonS": 500.0}
    w.submit("n0", job(1, **array, hands=36))
    w.until(lambda: w.running("run-000001") == 36, 30)
    w.submit("n1", job(2, **GANG, hands=hands, rank="urgent", samePlace=True, reckonS=60.0))
    assert w.until(lambda: w.running("run-000002") == hands, 30) < 5.0
    # No more was stopped than it needs.
    assert w.running("run-000001") == 36 - 2 * hands


def test_room_made_for_a_gang_is_not_taken_by_those_who_were_stopped_for_it() -> None:
    # While it was weighed whether to make room beside its image instead, what had come free was
    # kept for nobody: on a bench day one gang stopped 107 tasks in five seconds.
    w = full_world("a")
    array = {"vcpus": 3.0, "cards": 1, "memoryGb": 8.0, "outfit": "guests", "reckonS": 500.0}
    w.submit("n0", job(1, **array, hands=60, bundle="other", sizeGb=0.1))
    w.until(lambda: w.running("run-000001") == 36, 30)
    begun = len(w.starts)
    w.submit("n1", job(2, **GANG, hands=4, rank="urgent", reckonS=60.0))
    assert w.until(lambda: w.running("run-000002") == 4, 30) < 3.0
    w.run(5)
    # Eight GPUs were wanted, eight tasks stopped, and nothing else began.
    assert len(w.starts) - begun == 4 and w.running("run-000001") == 28

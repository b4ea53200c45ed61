"""The largest jobs of a class begin within four minutes, behind streams of smaller ones."""

from typing import Any

import pytest

from sagecove.lab.deployment import job
from sagecove.lab.world import World, standing
from tests.test_limits import started_task_count, team_settings

MOST_S = 240.0
# Two on a machine of 4 GPUs, in one zone.
GANG: dict[str, Any] = {
    "shape": "ensemble",
    "vcpus": 6.0,
    "cards": 2,
    "memoryGb": 8.0,
    "rank": "urgent",
    "samePlace": True,
    "reckonS": 24.0,
}


def full(nodes: int, machines: int, zones: str, *teams: dict[str, Any]) -> World:
    """Machines with 4 GPUs, none to be rented, tasks that take what they reckon."""
    w = World(nodes=nodes, seed=nodes, teams=list(teams))
    w.cloud.capacity = {"small": 0, "gpu": machines}
    w.run(3)
    for n in range(machines):
        w.cloud.start("gpu", zones[n % len(zones)], False)
    w.run(5)
    for worker in w.workers.values():
        worker.run_s = None
    return w


def stream(w: World, gap_s: float, **fields: Any) -> list[int]:
    """Small gangs, one after the other, as many as keep the room full."""
    sent: list[int] = []

    def send() -> None:
        number = 1000 + len(sent)
        sent.append(number)
        spec = job(number, **{**GANG, "hands": 1, **fields})
        w.ask(f"n{number % w.nodes}", "POST", "/api/jobs", w.spec(spec), lambda s, b: None)
        w.later(gap_s, send)

    send()
    return sent


def served(w: World, numbers: list[int]) -> float:
    return sum(started_task_count(w, n) > 0 for n in numbers) / len(numbers)


@pytest.mark.parametrize(("nodes", "zones"), [(3, "a"), (5, "a"), (3, "ab")])
def test_a_large_gang_starts_behind_a_stream_of_small_ones(nodes: int, zones: str) -> None:
    # Its tasks share machines, so that nothing was kept for it anywhere: small ones of its own
    # standing took each pair of GPUs that came free, for as long as they came.
    w = full(nodes, 2 * nodes, zones, team_settings("red", 0, 0))
    small = stream(w, 24.0 / (4 * nodes) / 1.2)
    w.run(30)
    w.submit("n0", job(1, **GANG, hands=4))
    w.run(1)
    _, told = w.user("n1", "GET", "/explain/run-000001")
    assert any(
        "s what comes free in shard" in why for why in told["reasons"]
    ) or started_task_count(w, 1)
    w.until(lambda: started_task_count(w, 1) == 4, MOST_S)
    begun = w.now
    w.run(60)
    # Nor do the small ones starve.
    early = [n for n in small if 1000 + (begun - 1030) / 0.5 > n][: len(small) // 2]
    assert served(w, early) > 0.5


@pytest.mark.parametrize("nodes", [3, 5])
def test_a_large_gang_starts_at_its_teams_limit(nodes: int) -> None:
    # Room there is, but the limit was used up by smaller ones of its team, one after the other.
    most = {"name": "red", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 12}
    w = full(nodes, 3 * nodes, "a", most)
    stream(w, 24.0 / 6 / 1.2)
    w.run(30)
    w.submit("n0", job(1, **GANG, hands=5))
    w.until(lambda: started_task_count(w, 1) == 5, MOST_S)


def test_two_gangs_that_each_need_more_than_half_of_the_room_start_in_turn() -> None:
    w = full(3, 6, "a", team_settings("red", 0, 0), team_settings("blue", 0, 0))
    small = stream(w, 1.8)
    w.run(30)
    w.submit("n0", job(1, **GANG, hands=8))
    w.submit("n1", job(2, **{**GANG, "outfit": "blue"}, hands=8))
    w.until(lambda: started_task_count(w, 1) == 8 and started_task_count(w, 2) == 8, MOST_S)
    assert small


def test_two_gangs_at_one_limit_do_not_wait_for_each_other() -> None:
    # Found by the machine of three controllers: one had claimed and was held back for the other.
    w = full(3, 6, "a", {"name": "red", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 10})
    for n in range(3):
        w.submit("n0", job(100 + n, **{**GANG, "shape": "sweep", "rank": "normal"}, hands=8))
    w.submit("n1", job(1, **GANG, hands=4))
    w.submit("n2", job(2, **GANG, hands=4))
    w.until(lambda: started_task_count(w, 1) == 4 and started_task_count(w, 2) == 4, MOST_S)


def test_nothing_is_kept_for_a_gang_that_the_fleet_cannot_hold() -> None:
    w = full(3, 6, "ab", team_settings("red", 0, 0))
    small = stream(w, 24.0 / 12 / 1.2)
    # Seven tasks in one zone, which has room for six.
    w.submit("n0", job(1, **GANG, hands=7))
    w.run(120)
    assert started_task_count(w, 1) == 0
    status, told = w.user("n1", "GET", "/explain/run-000001")
    assert status == 200
    assert (
        "the machines there are could not hold all 7 tasks in one zone at once" in told["reasons"]
    )
    assert served(w, small[: len(small) // 2]) > 0.8


def test_the_largest_array_begins_behind_smaller_ones() -> None:
    w = full(3, 6, "a", team_settings("red", 0, 0))
    fields = {"shape": "sweep", "rank": "normal", "samePlace": False, "vcpus": 3.0, "cards": 1}
    stream(w, 0.8, **fields, hands=1)
    w.run(30)
    w.submit("n0", job(1, **{**GANG, **fields}, hands=200))
    w.until(lambda: started_task_count(w, 1) > 0, MOST_S)


WHOLE = {"shape": "ensemble", "rank": "urgent", "vcpus": 12.0, "memoryGb": 40.0, "cards": 3.0}


def booting(nodes: int, most: int, late_s: float, every: int) -> World:
    """Machines are to be rented; every so many of them take long to boot."""
    w = World(nodes=nodes)
    w.cloud.capacity = {"small": 0, "gpu": most}
    w.cloud.boots = lambda number: late_s if number % every == every - 1 else 12.0
    w.run(3)
    w.submit("n0", job(1, hands=4, samePlace=True, **WHOLE))
    return w


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("late_s", [50.0, 75.0, 100.0])
def test_a_gang_whose_machines_come_late_asks_for_its_part_of_the_limit(
    late_s: float, nodes: int
) -> None:
    # meet-cancel-now: complete only after the gang had begun to gather, its machines looked taken
    # when its team's limit was to be asked for. It waited to the end of the day, eleven minutes,
    # while its machines were given back as idle and rented again.
    w = booting(nodes, 6, late_s, 4)
    w.until(lambda: w.running("run-000001") == 4, late_s + 30)
    # What replaces one that takes too long is rented where the others are.
    assert len({m["range"] for m in w.cloud.machines.values()}) == 1
    assert w.cloud.number <= 5
    w.until(lambda: standing(w, "n0", "run-000001") == "done", 60)
    w.until(lambda: not w.cloud.machines, 150)


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("late_s", [75.0, 100.0])
def test_machines_that_are_up_wait_for_the_others_of_their_gang(late_s: float, nodes: int) -> None:
    # No more are to be had. Those up first were given back while the others booted, and so on.
    w = booting(nodes, 4, late_s, 2)
    w.until(lambda: w.running("run-000001") == 4, late_s + 30)
    assert w.cloud.number == 4
    w.until(lambda: standing(w, "n0", "run-000001") == "done", 60)
    w.until(lambda: not w.cloud.machines, 150)

"""No job waits for 90 s beside a machine that fits and has room while its team is under its limit
(`Rules._check_waiting`): what gangs keep for themselves is theirs only while they can begin."""

from typing import Any

import pytest

from sagecove.lab.deployment import job
from sagecove.lab.world import World

TEAMS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 4.0, "cpus_max": 24.0, "gpus": 0, "gpus_max": 64},
    {"name": "green", "cpus": 0.0, "cpus_max": 24.0, "gpus": 0, "gpus_max": 64},
]
# Four of another team, of one task each.
SMALL = range(3, 7)


def others_begin(w: World, shape: str, **need: Any) -> None:
    """Jobs of another team come, and there is room for them."""
    come = w.now
    for n in SMALL:
        spec = {"shape": shape, "vcpus": 2.0, "reckonS": 20.0, **need}
        w.submit("n1", job(n, outfit="green", hands=1, **spec))
    w.calm_at = come
    w.run(100)
    names = {f"run-{n:06d}/0" for n in SMALL}
    begun = [at - come for at, task, _ in w.starts if task in names]
    assert len(begun) >= 4 and max(begun) < 25.0


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", ["sweep", "ensemble", "service"])
@pytest.mark.parametrize("later_s", [5.0, 20.0, 35.0, 45.0])
def test_a_gang_that_waits_for_its_teams_limit_keeps_no_room_from_others(
    later_s: float, shape: str, nodes: int
) -> None:
    # Of four machines that were free arrays were let on none, for as long as the service ran.
    w = World(teams=TEAMS, nodes=nodes)
    w.cloud.capacity = {"small": 8, "gpu": 0}
    for i in range(8):
        w.cloud.start("small", "ab"[i % 2], False)
    w.run(3)
    for worker in w.workers.values():
        worker.run_s = 20.0
    stays = {"shape": "service", "hands": 4, "vcpus": 4.0, "rank": "production"}
    w.submit("n0", job(1, outfit="red", **stays))
    w.submit("n0", job(2, outfit="red", shape="ensemble", hands=3, vcpus=4.0, rank="urgent"))
    w.until(lambda: w.running("run-000001") == 4, 60)
    w.run(later_s)
    others_begin(w, shape)
    # The gang begins once its team's limit has room.
    assert w.user("n0", "POST", "/api/jobs/run-000001/cancel")[0] == 200
    w.until(lambda: w.running("run-000002") == 3, 60)


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", ["sweep", "ensemble", "service"])
def test_a_gang_that_the_fleet_cannot_hold_keeps_no_room_from_others(
    shape: str, nodes: int
) -> None:
    # Three machines of the four that it needs, and no more to be had.
    w = World(teams=TEAMS, nodes=nodes)
    w.cloud.capacity = {"small": 0, "gpu": 3}
    for _ in range(3):
        w.cloud.start("gpu", "a", False)
    w.run(3)
    for worker in w.workers.values():
        worker.run_s = 20.0
    whole = {"shape": "ensemble", "vcpus": 5.0, "cards": 4.0, "memoryGb": 30.0, "rank": "urgent"}
    w.submit("n0", job(2, outfit="red", hands=4, **whole))
    w.run(40)
    others_begin(w, shape, cards=1.0)

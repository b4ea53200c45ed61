"""Limits and guarantees over several controllers: never above, by need, whoever dies or is cut off.

`World.check` compares what runs on machines with the limits at every step of these stories.
"""

import json
from typing import Any

import pytest

from sagecove.features import maker
from sagecove.lab.deployment import REPORT_S, job
from sagecove.lab.world import World
from sagecove.sweeps.feature import Options

GUESTS = {"name": "guests", "cpus": 0, "cpus_max": 0}


def team_settings(name: str, cpus: float, most: float, **more: float) -> dict[str, Any]:
    return {"name": name, "cpus": cpus, "cpus_max": most, "gpus": 0, "gpus_max": 0, **more}


def world(nodes: int, machines: int, *teams: dict[str, Any], kind: str = "small") -> World:
    """Controllers that are up, with machines that were there before and none to be rented."""
    w = World(nodes=nodes, seed=nodes, teams=[*teams, GUESTS])
    w.cloud.capacity = {"small": 0, "gpu": 0, kind: machines}
    w.run(3)
    for number in range(machines):
        w.cloud.start(kind, "ab"[number % 2], False)
    w.run(6)
    return w


def use(w: World, name: str, what: str = "vcpus") -> float:
    return sum(
        w.specs[task.split("/")[0]][what]
        for worker in w.workers.values()
        for task in worker.live()
        if w.specs[task.split("/")[0]]["outfit"] == name
    )


def submit_all(w: World, *specs: dict[str, Any]) -> None:
    """In the same moment, each at another controller."""
    for number, spec in enumerate(specs):
        w.ask(f"n{number % w.nodes}", "POST", "/api/jobs", w.spec(spec), lambda s, b: None)


def fill(w: World, cpus: float) -> None:
    """Guests take all there is, for good."""
    for worker in w.workers.values():
        worker.run_s = None
    endless = {"outfit": "guests", "reckonS": 1e6, "hands": int(cpus / 6)}
    submit_all(w, *(job(900000 + n, **endless) for n in range(3)))
    w.until(lambda: use(w, "guests") >= cpus, 60)
    w.run(3)


def started_task_count(w: World, number: int) -> int:
    return len({task for _, task, _ in w.starts if task.startswith(f"run-{number:06d}/")})


def shares(w: World, name: str) -> int:
    """All shares, as their holders know them, in millionths of a CPU."""
    return sum(o.limits.share(s, name)[0] for o in w.owners.values() for s in o.held_shards)


# -- what was found ------------------------------------------------------------------------------


@pytest.mark.parametrize("nodes", [1, 3])
def test_a_guarantee_is_not_waited_for_as_long_as_its_own_tasks_run(nodes: int) -> None:
    # With endless tasks on both sides a team got none of its guarantee in 90 s.
    w = world(nodes, 18, team_settings("red", 60, 72))
    fill(w, 72)
    submit_all(w, job(1, hands=10, reckonS=1e6))
    assert w.until(lambda: started_task_count(w, 1) == 10, 60) <= 2 * REPORT_S


def test_one_job_that_fills_its_guarantee_has_all_of_it_at_once() -> None:
    # What was claimed ahead of room waited for a whole run of its own tasks: 20 s of 20 s tasks,
    # while guests still held what was owed.
    w = world(5, 60, team_settings("red", 200, 240))
    fill(w, 240)
    for worker in w.workers.values():
        worker.run_s = 20.0
    submit_all(w, job(1, hands=100, reckonS=20.0))
    assert w.until(lambda: started_task_count(w, 1) == 100, 60) <= 2 * REPORT_S


def test_teams_that_claim_their_guarantees_at_once_stop_no_more_than_they_need() -> None:
    # Room made for one was taken by another, which left the last waiting 15 s for its own, and 6 s
    # at nine controllers when it was only made anew.
    teams = [team_settings(f"t{n}", 20, 60) for n in range(10)]
    w = world(9, 60, *teams)
    fill(w, 240)
    submit_all(w, *(job(n, outfit=f"t{n}", hands=10, reckonS=1e6) for n in range(10)))
    assert (
        w.until(lambda: all(started_task_count(w, n) == 10 for n in range(10)), 60) < 2.5 * REPORT_S
    )
    w.run(5)
    assert use(w, "guests") >= 240 - 200 - 2 * len(w.owners)


@pytest.mark.parametrize("nodes", [1, 3, 5, 9])
def test_at_a_limit_no_controller_is_beaten_to_an_amount(nodes: int) -> None:
    # Every controller changed one record: at nine, 74 of 106 transactions on it lost.
    w = world(nodes, 18, team_settings("red", 0, 40))
    written, lost = [0], [0]
    commit = w.state.commit

    def counted(body: dict[str, Any]) -> tuple[int, bytes]:
        status, answer = commit(body)
        keys = [c.get("put") or c.get("drop") for c in body["then"]]
        if any(key.startswith(("s/limit/", "s/share/")) for key in keys):
            written[0] += 1
            failed = json.loads(answer)["failed"] if status == 409 else []
            lost[0] += any(key.startswith(("s/limit/", "s/share/")) for key in failed)
        return status, answer

    w.state.commit = counted  # type: ignore[method-assign]
    submit_all(w, *(job(n, hands=20) for n in range(12)))
    w.run(20)
    assert lost[0] * 10 <= written[0] <= 60
    assert use(w, "red") > 30


@pytest.mark.parametrize("seed", [1, 2])
def test_a_lowered_limit_is_obeyed_once_the_first_controller_has_it(seed: int) -> None:
    # Controllers restarted in turn with 24 instead of 48: a minute later 48 were still used.
    w = world(3, 18, team_settings("red", 0, 48))
    for worker in w.workers.values():
        worker.run_s = None
    submit_all(w, *(job(n, hands=20, reckonS=1e6) for n in range(3)))
    w.until(lambda: use(w, "red") == 48, 30)
    w.configured = [team_settings("red", 0, 24), GUESTS]
    for number in range(3):
        w.kill(f"n{number}")
        w.run(1.0 * seed)
        w.boot_node(number)
        if not number:
            w.until(lambda: use(w, "red") <= 24, 12)
            w.teams = w.configured
        w.run(3)
    w.run(10)
    assert 20 <= use(w, "red") <= 24
    assert shares(w, "red") == 24_000_000


def test_a_raised_limit_is_used_when_all_have_it_and_not_before() -> None:
    w = world(3, 18, team_settings("red", 0, 24))
    for worker in w.workers.values():
        worker.run_s = None
    submit_all(w, *(job(n, hands=20, reckonS=1e6) for n in range(3)))
    w.until(lambda: use(w, "red") == 24, 30)
    w.configured = [team_settings("red", 0, 48), GUESTS]
    for number in range(3):
        assert use(w, "red") <= 24
        w.kill(f"n{number}")
        w.run(1)
        if number == 2:
            w.teams = w.configured
        w.boot_node(number)
        w.run(4)
    assert w.until(lambda: use(w, "red") == 48, 20) < 10


def test_controllers_with_different_settings_go_by_the_smaller() -> None:
    w = world(3, 18, team_settings("red", 0, 48))
    w.configured = [team_settings("red", 0, 20), GUESTS]
    w.kill("n1")
    w.boot_node(1)
    w.run(6)
    w.teams = w.configured
    submit_all(w, *(job(n, hands=20) for n in range(3)))
    w.run(30)
    assert len(w.completed) > 0 and shares(w, "red") == 20_000_000


def test_a_team_that_controllers_learn_of_one_after_the_other() -> None:
    # Its jobs' records reached controllers whose settings did not have it, and these ended.
    w = world(3, 9, team_settings("red", 0, 20))
    w.teams = w.configured = [team_settings("red", 0, 20), team_settings("new", 4, 12), GUESTS]
    w.kill("n0")
    w.boot_node(0)
    w.run(3)
    assert w.submit("n0", job(1, outfit="new", hands=6))[0] == 201
    assert w.submit("n1", job(2, outfit="new", hands=6))[0] == 422
    w.run(10)
    for number in (1, 2):
        w.kill(f"n{number}")
        w.run(1)
        w.boot_node(number)
        w.run(3)
    assert w.submit("n1", job(2, outfit="new", hands=6))[0] == 201
    w.until(lambda: len(w.completed) == 12, 30)


# -- by need -------------------------------------------------------------------------------------


def test_what_others_do_not_use_comes_to_who_needs_it() -> None:
    # All of the machines are one controller's, and two thirds of the limit are not.
    w = world(3, 0, team_settings("red", 0, 48))
    holder = w.owners["n0"]
    w.cloud.capacity = {"small": 18, "gpu": 0}
    for _ in range(18):
        name = w.cloud.start("small", "a", False)
        record = {"type": "small", "zone": "a", "spot": False, "shard": "n0"}
        w.state.commit({"if": [], "then": [{"put": f"s/machine/{name}", "v": record}]})
    w.run(6)
    assert len(holder.machines_by_shard["n0"]) == 18
    for worker in w.workers.values():
        worker.run_s = None
    submit_all(w, job(1, hands=24, reckonS=1e6))
    assert w.until(lambda: use(w, "red") == 48, 20) < 5


@pytest.mark.parametrize("nodes", [3, 9])
def test_a_service_that_needs_all_of_a_limit_gathers_it_from_all(nodes: int) -> None:
    # Each shard holds a part that is smaller than one task of it, and some are held back by arrays.
    w = world(nodes, 27, team_settings("blue", 0, 8))
    submit_all(
        w, job(1, outfit="blue", shape="service", rank="production", hands=4, samePlace=True)
    )
    w.until(lambda: started_task_count(w, 1) == 4, 20)
    assert use(w, "blue") == 8


def test_two_that_need_more_than_half_each_are_served_in_order() -> None:
    # Each gathers: without an order both would hold a part of what neither can use.
    w = world(5, 30, team_settings("blue", 0, 10))
    gang = {"outfit": "blue", "shape": "ensemble", "rank": "urgent", "hands": 4}
    submit_all(w, *(job(n, **gang) for n in range(4)))
    w.until(lambda: len({t.split("/")[0] for t in w.completed}) == 4, 120)


def test_cpus_and_gpus_of_which_different_parts_are_short() -> None:
    w = world(3, 9, team_settings("red", 0, 60, gpus_max=12), kind="gpu")
    gang = {"shape": "ensemble", "vcpus": 4.0, "cards": 4, "memoryGb": 16.0, "hands": 3}
    submit_all(
        w,
        *(job(n, vcpus=4.0, hands=6, reckonS=20.0) for n in range(3)),
        *(job(10 + n, **gang) for n in range(2)),
    )
    for _ in range(120):
        w.run(0.5)
        assert use(w, "red", "cards") <= 12
    assert started_task_count(w, 10) == 3 and started_task_count(w, 11) == 3


def test_who_borrows_gives_back_in_proportion() -> None:
    # Two teams with guarantees of 4 hold 44 and 24: 40 and 20 borrowed. 24 are asked back.
    w = world(
        3, 18, team_settings("red", 24, 72), team_settings("x", 4, 72), team_settings("y", 4, 72)
    )
    for worker in w.workers.values():
        worker.run_s = None
    submit_all(
        w, job(1, outfit="x", hands=22, reckonS=1e6), job(2, outfit="y", hands=12, reckonS=1e6)
    )
    w.until(lambda: use(w, "x") + use(w, "y") == 68, 30)
    before = use(w, "x"), use(w, "y")
    submit_all(w, job(3, hands=12, reckonS=1e6))
    w.until(lambda: started_task_count(w, 3) == 12, 30)
    gave = before[0] - use(w, "x"), before[1] - use(w, "y")
    # 4 of 72 were free: 20 come back, two thirds and one third of them, give or take one task each.
    assert sum(gave) == 20
    assert abs(gave[0] - 2 * sum(gave) / 3) <= 2 * len(w.owners)


def test_borrowers_share_by_their_guarantees_and_guests_have_something() -> None:
    # Without the account the least work went first, whoever it was of.
    w = world(3, 20, team_settings("x", 4, 80), team_settings("y", 12, 80))
    for worker in w.workers.values():
        worker.run_s = 3.0
    for name, first in (("x", 100), ("y", 200), ("guests", 300)):
        # Those of the team that is to have most are the largest.
        hands = {"x": 10, "y": 30, "guests": 5}[name]
        submit_all(
            w, *(job(first + n, outfit=name, hands=hands, dueS=600.0) for n in range(900 // hands))
        )
    w.run(15)
    begun = len(w.starts)
    w.run(25)
    had = {"x": 0, "y": 0, "guests": 0}
    for _, task, _ in w.starts[begun:]:
        had[w.specs[task.split("/")[0]]["outfit"]] += 1
    assert 1.2 < had["y"] / had["x"] < 6 and 0 < had["guests"] < had["x"]


def test_what_is_owed_and_from_whom_is_told() -> None:
    w = world(3, 9, team_settings("red", 12, 36), team_settings("x", 4, 36))
    fill(w, 36)
    w.still.update({f"n{n}": w.now + 2 for n in (1, 2)})
    w.run(0.1)
    w.submit("n0", job(1, hands=6, reckonS=1e6))
    told = w.user("n0", "GET", "/explain/run-000001")[1]
    assert any("owed to team red" in r and "guests (" in r for r in told["reasons"]), told
    seen = w.user("n0", "GET", "/cluster")[1]
    red = next(t for t in seen["teams"] if t["name"] == "red")
    assert red["owed_cpus"] + red["cpus"] == 12 and red["lent_cpus"] == 0
    idle = next(t for t in seen["teams"] if t["name"] == "x")
    assert idle["lent_cpus"] == 4


def test_no_array_waits_without_end_behind_smaller_ones_of_its_standing() -> None:
    # Each of them could still be in time, so that a large one that could not came after them all.
    w = world(1, 4, team_settings("red", 0, 64))
    for worker in w.workers.values():
        worker.run_s = 4.0
    submit_all(w, job(1, hands=40, outfit="guests", dueS=10.0))
    for n in range(60):
        submit_all(w, job(100 + n, hands=6, outfit="guests", dueS=60.0, reckonS=4.0))
        w.run(1.0)
    assert len({t for t in w.completed if t.startswith("run-000001/")}) == 40


def test_a_gang_that_waits_for_gpus_keeps_no_cpus_from_its_team() -> None:
    # Whatever a gang lacked, its team's arrays were held back from all.
    w = world(3, 9, team_settings("red", 0, 60, gpus_max=12), kind="gpu")
    for worker in w.workers.values():
        worker.run_s = None
    gang = {"shape": "ensemble", "vcpus": 4.0, "cards": 4, "memoryGb": 16.0, "hands": 3}
    submit_all(w, *(job(10 + n, reckonS=1e6, **gang) for n in range(2)))
    w.until(lambda: started_task_count(w, 10) + started_task_count(w, 11) == 3, 40)
    submit_all(w, job(1, hands=6, reckonS=1e6))
    assert w.until(lambda: started_task_count(w, 1) == 6, 30) < 10


# -- failures ------------------------------------------------------------------------------------


def test_amounts_of_a_silent_controller_come_free_at_its_takeover() -> None:
    w = world(3, 18, team_settings("red", 0, 36))
    for worker in w.workers.values():
        worker.run_s = None
    w.still["n2"] = w.now + 60
    w.run(1)
    submit_all(w, job(1, hands=0 + 18, reckonS=1e6))
    w.run(4)
    # Its part is a third, and nobody may take it for unused before its lease is over.
    assert use(w, "red") <= 24
    taken = w.until(
        lambda: any("n2" in o.held_shards for n, o in w.owners.items() if n != "n2"), 20
    )
    assert taken > 0
    # Its machines' leases must run out before their use is known.
    w.until(lambda: use(w, "red") > 24, 30)


def test_the_part_of_a_controller_that_never_came_up_is_not_lost() -> None:
    # Its shard has neither machines nor claims, so that nobody had a reason to take it.
    w = World(nodes=3, seed=3, teams=[team_settings("red", 0, 24), GUESTS])
    w.kill("n2")
    for number in range(9):
        w.cloud.start("small", "ab"[number % 2], False)
    w.run(5)
    w.submit("n0", job(1, shape="ensemble", hands=12, reckonS=1e6))
    w.until(lambda: started_task_count(w, 1) == 12, 25)
    w.boot_node(2)
    w.until(lambda: "n2" in w.owners["n2"].held_shards, 15)
    assert shares(w, "red") == 24_000_000


def test_wants_are_heard_through_the_state_service_when_peers_are_cut_off() -> None:
    w = world(3, 18, team_settings("red", 0, 36))
    for name in w.owners:
        for number in range(3):
            w.cut_links.add((name, f"10.0.0.{number}:81"))
    w.run(8)
    for worker in w.workers.values():
        worker.run_s = None
    # More than one controller's part, in one gang.
    w.submit("n0", job(1, shape="ensemble", hands=9, reckonS=1e6))
    w.until(lambda: started_task_count(w, 1) == 9, 40)


@pytest.mark.parametrize("verdict", ["lost", "late", "unanswered"])
@pytest.mark.parametrize("victim", ["n0", "n1", "n2"])
def test_a_controller_dies_while_an_amount_is_on_its_way(verdict: str, victim: str) -> None:
    # Between the decision and the answer, and between the answer and what follows from it.
    w = world(3, 18, team_settings("red", 0, 24))
    for worker in w.workers.values():
        worker.run_s = 4.0
    gifts = [0]

    def hook(node: str, body: dict[str, Any]) -> str | None:
        if any(c.get("put", "").startswith("s/share/") for c in body["then"]):
            gifts[0] += 1
            if node == victim and victim in w.owners:
                w.later(0.001, lambda: w.owners.pop(victim, None))
            return verdict
        return None

    w.state.hook = hook
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 8}
    submit_all(w, *(job(n, **gang) for n in range(3)), *(job(10 + n, hands=10) for n in range(3)))
    w.run(6)
    w.state.hook = None
    w.run(6)
    if victim not in w.owners:
        w.boot_node(int(victim[1:]))
    w.until(lambda: len(w.completed) == 54, 150)
    assert gifts[0] > 0
    w.run(3)
    # Nothing is lost for good, and nothing is there twice.
    assert shares(w, "red") == 24_000_000


@pytest.mark.parametrize("point", range(0, 30, 2))
def test_a_giver_dies_between_any_two_of_its_effects(point: int) -> None:
    # What it has decided leaves one effect after the other, and it ends after so many of them.
    w = world(3, 12, team_settings("red", 0, 24))
    for worker in w.workers.values():
        worker.run_s = 3.0
    emit, left = w.emit, [point]

    def one_by_one(name: str, owner: Any, effects: list[Any]) -> None:
        for effect in effects:
            if name == "n0" and left[0] == 0 and name in w.owners:
                w.kill(name)
            if name == "n0":
                left[0] -= 1
            emit(name, owner, [effect])

    w.emit = one_by_one  # type: ignore[method-assign]
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 8}
    submit_all(w, job(1, **gang), job(2, hands=10), job(3, **gang), job(4, hands=10))
    w.run(3)
    if "n0" not in w.owners:
        w.boot_node(0)
    for number, spec in ((1, gang), (2, {"hands": 10}), (3, gang), (4, {"hands": 10})):
        # Its user repeats what was not answered.
        w.submit("n1", job(number, **spec))
    w.until(lambda: len(w.completed) == 36, 90)
    w.run(3)
    assert left[0] < 0 and shares(w, "red") == 24_000_000


def test_all_controllers_restart_and_shares_are_as_they_were() -> None:
    w = world(3, 18, team_settings("red", 0, 36))
    for worker in w.workers.values():
        worker.run_s = None
    submit_all(w, job(1, shape="ensemble", hands=12, reckonS=1e6), job(2, hands=12, reckonS=1e6))
    w.until(lambda: use(w, "red") == 36, 30)
    for name in w.controllers():
        w.kill(name)
    w.run(3)
    for number in range(3):
        w.boot_node(number)
    w.run(20)
    assert use(w, "red") == 36 and shares(w, "red") == 36_000_000


def test_thirty_teams_cost_no_writes_while_they_are_below_their_limits() -> None:
    teams = [team_settings(f"t{n:02d}", 0, 12) for n in range(30)]
    w = world(3, 18, *teams)
    before = w.state.ledger
    writes = [k for _, k, _ in w.state.changes if k.startswith("s/limit/")]
    assert len(writes) == 31
    submit_all(w, *(job(n, outfit=f"t{n:02d}", hands=1) for n in range(30)))
    w.until(lambda: len(w.completed) == 30, 60)
    assert not [k for at, k, _ in w.state.changes if at > before and k.startswith("s/share/")]


def test_points_of_a_sweep_are_counted_like_jobs_over_all_controllers() -> None:
    # They have no records of their own: what they claim is their block's.
    w = World(
        nodes=3,
        seed=3,
        features=maker([("sweeps", Options())]),
        teams=[team_settings("blue", 0, 10), GUESTS],
    )
    for number in range(12):
        w.cloud.start("small", "ab"[number % 2], False)
    w.run(5)
    spec = {key: value for key, value in job(1, outfit="blue").items() if key != "nameId"}
    body = {"id": "run-s", "space": "x in 1..60", "job": spec}
    assert w.user("n1", "POST", "/api/sweeps", body)[0] in (200, 201)
    submit_all(w, job(7, outfit="blue", hands=10), job(8, outfit="blue", hands=10))
    most = 0.0
    for _ in range(100):
        w.run(0.5)
        most = max(most, use(w, "blue"))
    assert most == 10
    w.until(lambda: len(w.completed) == 80, 60)


@pytest.mark.parametrize("nodes", [5, 9])
def test_many_teams_with_limits_smaller_than_a_task_a_controller_share_the_room(nodes: int) -> None:
    # A controller that wanted all teams' limits for the same room gathered them, and none of the
    # others had any: at fifteen a third of the tasks were done.
    teams = [team_settings(f"t{n:02d}", 0, 8) for n in range(12)]
    w = world(nodes, 24, *teams)
    submit_all(w, *(job(n, outfit=f"t{n % 12:02d}", hands=12) for n in range(24)))
    w.run(20)
    # 96 CPUs, 48 tasks of 5 s and their images at a time.
    assert len(w.completed) > 110

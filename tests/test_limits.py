"""Teams' limits and guarantees hold across several controllers.

Guards against use above a limit, guarantees that are met late, and shares that are lost or counted
twice when controllers die, are cut off or change their settings. `World.check` compares what runs
on machines with the limits at every step.
"""

import json
from typing import Any

import pytest

from sagecove.features import feature_factory
from sagecove.lab.deployment import REPORT_S, job_submission
from sagecove.lab.world import World
from sagecove.sweeps.feature import Options

GUEST_TEAM = {"name": "guests", "cpus": 0, "cpus_max": 0}


def team_settings(name: str, cpus: float, cpus_max: float, **others: float) -> dict[str, Any]:
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0, "gpus_max": 0, **others}


def world_with_machines(
    nodes: int, machines: int, *teams: dict[str, Any], kind: str = "small"
) -> World:
    """Return running controllers with `machines` machines and no more to be rented."""
    world = World(node_count=nodes, seed=nodes, teams=[*teams, GUEST_TEAM])
    world.cloud.capacity = {"small": 0, "gpu": 0, kind: machines}
    world.run(3)
    for number in range(machines):
        world.cloud.start_machine(kind, "ab"[number % 2], False)
    world.run(6)
    return world


def team_use(world: World, name: str, field: str = "vcpus") -> float:
    """Return what a team's tasks take of a resource; one whose description is still being fetched
    has not started."""
    specs = [
        world.specs.get(task.split("/")[0])
        for worker in world.workers.values()
        for task in worker.live_tasks()
    ]
    return sum(spec[field] for spec in specs if spec is not None and spec["outfit"] == name)


def submit_all(world: World, *specs: dict[str, Any]) -> None:
    """Submit jobs at the same moment, at different controllers."""
    for number, spec in enumerate(specs):
        world.request_controller(
            f"n{number % world.node_count}",
            "POST",
            "/api/jobs",
            world.add_spec(spec),
            lambda s, b: None,
        )


def fill_with_guest_tasks(world: World, cpus: float) -> None:
    """Let endless tasks of guests take all machines."""
    for worker in world.workers.values():
        worker.task_run_s = None
    endless = {"outfit": "guests", "reckonS": 1e6, "hands": int(cpus / 6)}
    submit_all(world, *(job_submission(900000 + n, **endless) for n in range(3)))
    world.run_until(lambda: team_use(world, "guests") >= cpus, 60)
    world.run(3)


def started_task_count(world: World, number: int) -> int:
    """Return how many tasks of a job have been started."""
    return len({task for _, task, _ in world.task_starts if task.startswith(f"run-{number:06d}/")})


def total_share(world: World, name: str) -> int:
    """Return the sum of a team's shares, as their holders know them, in millionths of a CPU."""
    return sum(o.limits.share(s, name)[0] for o in world.owners.values() for s in o.held_shards)


# -- regressions ---------------------------------------------------------------------------------


@pytest.mark.parametrize("nodes", [1, 3])
def test_guarantee_is_met_while_tasks_are_endless(nodes: int) -> None:
    # With endless tasks on both sides, a team got none of its guarantee in 90 s.
    world = world_with_machines(nodes, 18, team_settings("red", 60, 72))
    fill_with_guest_tasks(world, 72)
    submit_all(world, job_submission(1, hands=10, reckonS=1e6))
    assert world.run_until(lambda: started_task_count(world, 1) == 10, 60) <= 2 * REPORT_S


def test_job_filling_its_guarantee_starts_whole() -> None:
    # Tasks claimed before there was room waited for the job's own first tasks to end (20 s), while
    # guests still used what was owed.
    world = world_with_machines(5, 60, team_settings("red", 200, 240))
    fill_with_guest_tasks(world, 240)
    for worker in world.workers.values():
        worker.task_run_s = 20.0
    submit_all(world, job_submission(1, hands=100, reckonS=20.0))
    assert world.run_until(lambda: started_task_count(world, 1) == 100, 60) <= 2 * REPORT_S


def test_simultaneous_guarantees_stop_no_excess_tasks() -> None:
    # Room made for one team was taken by another: the last one waited 15 s, and still 6 s with nine
    # controllers when the room was only made again.
    teams = [team_settings(f"t{n}", 20, 60) for n in range(10)]
    world = world_with_machines(9, 60, *teams)
    fill_with_guest_tasks(world, 240)
    submit_all(
        world, *(job_submission(n, outfit=f"t{n}", hands=10, reckonS=1e6) for n in range(10))
    )
    assert (
        world.run_until(lambda: all(started_task_count(world, n) == 10 for n in range(10)), 60)
        < 2.5 * REPORT_S
    )
    world.run(5)
    assert team_use(world, "guests") >= 240 - 200 - 2 * len(world.owners)


@pytest.mark.parametrize("nodes", [1, 3, 5, 9])
def test_share_transactions_rarely_conflict_at_limit(nodes: int) -> None:
    # All controllers changed one record: with nine, 74 of 106 transactions on it failed.
    world = world_with_machines(nodes, 18, team_settings("red", 0, 40))
    written, lost = [0], [0]
    commit = world.state.commit

    def counted(body: dict[str, Any]) -> tuple[int, bytes]:
        status, answer = commit(body)
        keys = [c.get("put") or c.get("drop") for c in body["then"]]
        if any(key.startswith(("s/limit/", "s/share/")) for key in keys):
            written[0] += 1
            failed = json.loads(answer)["failed"] if status == 409 else []
            lost[0] += any(key.startswith(("s/limit/", "s/share/")) for key in failed)
        return status, answer

    world.state.commit = counted  # type: ignore[method-assign]
    submit_all(world, *(job_submission(n, hands=20) for n in range(12)))
    world.run(20)
    assert lost[0] * 10 <= written[0] <= 60
    assert team_use(world, "red") > 30


@pytest.mark.parametrize("seed", [1, 2])
def test_lowered_limit_holds_after_first_restart(seed: int) -> None:
    # After controllers were restarted in turn with 24 instead of 48 CPUs, 48 were still used a
    # minute later.
    world = world_with_machines(3, 18, team_settings("red", 0, 48))
    for worker in world.workers.values():
        worker.task_run_s = None
    submit_all(world, *(job_submission(n, hands=20, reckonS=1e6) for n in range(3)))
    world.run_until(lambda: team_use(world, "red") == 48, 30)
    world.controller_teams = [team_settings("red", 0, 24), GUEST_TEAM]
    for number in range(3):
        world.kill_node(f"n{number}")
        world.run(1.0 * seed)
        world.start_node(number)
        if not number:
            world.run_until(lambda: team_use(world, "red") <= 24, 12)
            world.teams = world.controller_teams
        world.run(3)
    world.run(10)
    assert 20 <= team_use(world, "red") <= 24
    assert total_share(world, "red") == 24_000_000


def test_raised_limit_is_used_after_last_restart() -> None:
    world = world_with_machines(3, 18, team_settings("red", 0, 24))
    for worker in world.workers.values():
        worker.task_run_s = None
    submit_all(world, *(job_submission(n, hands=20, reckonS=1e6) for n in range(3)))
    world.run_until(lambda: team_use(world, "red") == 24, 30)
    world.controller_teams = [team_settings("red", 0, 48), GUEST_TEAM]
    for number in range(3):
        assert team_use(world, "red") <= 24
        world.kill_node(f"n{number}")
        world.run(1)
        if number == 2:
            world.teams = world.controller_teams
        world.start_node(number)
        world.run(4)
    assert world.run_until(lambda: team_use(world, "red") == 48, 20) < 10


def test_smaller_of_differing_limits_holds() -> None:
    world = world_with_machines(3, 18, team_settings("red", 0, 48))
    world.controller_teams = [team_settings("red", 0, 20), GUEST_TEAM]
    world.kill_node("n1")
    world.start_node(1)
    world.run(6)
    world.teams = world.controller_teams
    submit_all(world, *(job_submission(n, hands=20) for n in range(3)))
    world.run(30)
    assert len(world.completed_tasks) > 0 and total_share(world, "red") == 20_000_000


def test_new_team_is_rolled_out_by_restarts() -> None:
    # Controllers whose settings did not have the team exited when they read its jobs' records.
    world = world_with_machines(3, 9, team_settings("red", 0, 20))
    world.teams = world.controller_teams = [
        team_settings("red", 0, 20),
        team_settings("new", 4, 12),
        GUEST_TEAM,
    ]
    world.kill_node("n0")
    world.start_node(0)
    world.run(3)
    assert world.submit("n0", job_submission(1, outfit="new", hands=6))[0] == 201
    assert world.submit("n1", job_submission(2, outfit="new", hands=6))[0] == 422
    world.run(10)
    for number in (1, 2):
        world.kill_node(f"n{number}")
        world.run(1)
        world.start_node(number)
        world.run(3)
    assert world.submit("n1", job_submission(2, outfit="new", hands=6))[0] == 201
    world.run_until(lambda: len(world.completed_tasks) == 12, 30)


# -- shares follow need --------------------------------------------------------------------------


def test_unused_shares_go_to_shard_with_machines() -> None:
    # One controller has all machines, but only a third of the limit.
    world = world_with_machines(3, 0, team_settings("red", 0, 48))
    holder = world.owners["n0"]
    world.cloud.capacity = {"small": 18, "gpu": 0}
    for _ in range(18):
        name = world.cloud.start_machine("small", "a", False)
        record = {"type": "small", "zone": "a", "spot": False, "shard": "n0"}
        world.state.commit({"if": [], "then": [{"put": f"s/machine/{name}", "v": record}]})
    world.run(6)
    assert len(holder.machines_by_shard["n0"]) == 18
    for worker in world.workers.values():
        worker.task_run_s = None
    submit_all(world, job_submission(1, hands=24, reckonS=1e6))
    assert world.run_until(lambda: team_use(world, "red") == 48, 20) < 5


@pytest.mark.parametrize("nodes", [3, 9])
def test_service_gathers_whole_limit(nodes: int) -> None:
    # Each shard's share is smaller than one task of the service, and arrays hold back some shares.
    world = world_with_machines(nodes, 27, team_settings("blue", 0, 8))
    submit_all(
        world,
        job_submission(
            1, outfit="blue", shape="service", rank="production", hands=4, samePlace=True
        ),
    )
    world.run_until(lambda: started_task_count(world, 1) == 4, 20)
    assert team_use(world, "blue") == 8


def test_gangs_needing_over_half_of_limit_all_run() -> None:
    # Without an order, each gang would gather a part of the limit that it can't use.
    world = world_with_machines(5, 30, team_settings("blue", 0, 10))
    gang = {"outfit": "blue", "shape": "ensemble", "rank": "urgent", "hands": 4}
    submit_all(world, *(job_submission(n, **gang) for n in range(4)))
    world.run_until(lambda: len({t.split("/")[0] for t in world.completed_tasks}) == 4, 120)


def test_gangs_run_when_cpus_and_gpus_are_short() -> None:
    world = world_with_machines(3, 9, team_settings("red", 0, 60, gpus_max=12), kind="gpu")
    gang = {"shape": "ensemble", "vcpus": 4.0, "cards": 4, "memoryGb": 16.0, "hands": 3}
    submit_all(
        world,
        *(job_submission(n, vcpus=4.0, hands=6, reckonS=20.0) for n in range(3)),
        *(job_submission(10 + n, **gang) for n in range(2)),
    )
    for _ in range(120):
        world.run(0.5)
        assert team_use(world, "red", "cards") <= 12
    assert started_task_count(world, 10) == 3 and started_task_count(world, 11) == 3


def test_borrowers_give_back_in_proportion() -> None:
    # Two teams with guarantees of 4 use 44 and 24, so they borrow 40 and 20; 24 are reclaimed.
    world = world_with_machines(
        3, 18, team_settings("red", 24, 72), team_settings("x", 4, 72), team_settings("y", 4, 72)
    )
    for worker in world.workers.values():
        worker.task_run_s = None
    submit_all(
        world,
        job_submission(1, outfit="x", hands=22, reckonS=1e6),
        job_submission(2, outfit="y", hands=12, reckonS=1e6),
    )
    world.run_until(lambda: team_use(world, "x") + team_use(world, "y") == 68, 30)
    before = team_use(world, "x"), team_use(world, "y")
    submit_all(world, job_submission(3, hands=12, reckonS=1e6))
    world.run_until(lambda: started_task_count(world, 3) == 12, 30)
    given_back = before[0] - team_use(world, "x"), before[1] - team_use(world, "y")
    # 4 of 72 were free, so 20 come back: two thirds and one third, but for a task per controller.
    assert sum(given_back) == 20
    assert abs(given_back[0] - 2 * sum(given_back) / 3) <= 2 * len(world.owners)


def test_borrowers_share_by_guarantee_with_some_for_guests() -> None:
    # Without claim totals the job with the least work came first, whatever its team.
    world = world_with_machines(3, 20, team_settings("x", 4, 80), team_settings("y", 12, 80))
    for worker in world.workers.values():
        worker.task_run_s = 3.0
    for name, first in (("x", 100), ("y", 200), ("guests", 300)):
        # The team that should get most has the largest jobs.
        hands = {"x": 10, "y": 30, "guests": 5}[name]
        submit_all(
            world,
            *(
                job_submission(first + n, outfit=name, hands=hands, dueS=600.0)
                for n in range(900 // hands)
            ),
        )
    world.run(15)
    starts_before = len(world.task_starts)
    world.run(25)
    started = {"x": 0, "y": 0, "guests": 0}
    for _, task, _ in world.task_starts[starts_before:]:
        started[world.specs[task.split("/")[0]]["outfit"]] += 1
    assert 1.2 < started["y"] / started["x"] < 6 and 0 < started["guests"] < started["x"]


def test_owed_amounts_and_sources_are_explained() -> None:
    world = world_with_machines(3, 9, team_settings("red", 12, 36), team_settings("x", 4, 36))
    fill_with_guest_tasks(world, 36)
    world.paused_until.update({f"n{n}": world.now + 2 for n in (1, 2)})
    world.run(0.1)
    world.submit("n0", job_submission(1, hands=6, reckonS=1e6))
    explanation = world.user_request("n0", "GET", "/explain/run-000001")[1]
    assert any("owed to team red" in r and "guests (" in r for r in explanation["reasons"]), (
        explanation
    )
    cluster = world.user_request("n0", "GET", "/cluster")[1]
    red = next(t for t in cluster["teams"] if t["name"] == "red")
    assert red["owed_cpus"] + red["cpus"] == 12 and red["lent_cpus"] == 0
    idle = next(t for t in cluster["teams"] if t["name"] == "x")
    assert idle["lent_cpus"] == 4


def test_large_array_is_not_starved_by_smaller_ones() -> None:
    # Small arrays that could still meet their deadlines all came before a large one that could not.
    world = world_with_machines(1, 4, team_settings("red", 0, 64))
    for worker in world.workers.values():
        worker.task_run_s = 4.0
    submit_all(world, job_submission(1, hands=40, outfit="guests", dueS=10.0))
    for n in range(60):
        submit_all(world, job_submission(100 + n, hands=6, outfit="guests", dueS=60.0, reckonS=4.0))
        world.run(1.0)
    assert len({t for t in world.completed_tasks if t.startswith("run-000001/")}) == 40


def test_gang_waiting_for_gpus_withholds_no_cpus() -> None:
    # Whichever resource a gang lacked, its team's arrays got none of either.
    world = world_with_machines(3, 9, team_settings("red", 0, 60, gpus_max=12), kind="gpu")
    for worker in world.workers.values():
        worker.task_run_s = None
    gang = {"shape": "ensemble", "vcpus": 4.0, "cards": 4, "memoryGb": 16.0, "hands": 3}
    submit_all(world, *(job_submission(10 + n, reckonS=1e6, **gang) for n in range(2)))
    world.run_until(lambda: started_task_count(world, 10) + started_task_count(world, 11) == 3, 40)
    submit_all(world, job_submission(1, hands=6, reckonS=1e6))
    assert world.run_until(lambda: started_task_count(world, 1) == 6, 30) < 10


# -- failures ------------------------------------------------------------------------------------


def test_share_of_silent_controller_is_free_after_takeover() -> None:
    world = world_with_machines(3, 18, team_settings("red", 0, 36))
    for worker in world.workers.values():
        worker.task_run_s = None
    world.paused_until["n2"] = world.now + 60
    world.run(1)
    submit_all(world, job_submission(1, hands=0 + 18, reckonS=1e6))
    world.run(4)
    # Its share is a third of the limit; nobody may treat it as unused before its lease ends.
    assert team_use(world, "red") <= 24
    takeover_s = world.run_until(
        lambda: any("n2" in o.held_shards for n, o in world.owners.items() if n != "n2"), 20
    )
    assert takeover_s > 0
    # What its machines use is known only after their leases have ended.
    world.run_until(lambda: team_use(world, "red") > 24, 30)


def test_share_of_controller_that_never_started_is_used() -> None:
    # Its shard has neither machines nor claims, so no controller took it over.
    world = World(node_count=3, seed=3, teams=[team_settings("red", 0, 24), GUEST_TEAM])
    world.kill_node("n2")
    for number in range(9):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(5)
    world.submit("n0", job_submission(1, shape="ensemble", hands=12, reckonS=1e6))
    world.run_until(lambda: started_task_count(world, 1) == 12, 25)
    world.start_node(2)
    world.run_until(lambda: "n2" in world.owners["n2"].held_shards, 15)
    assert total_share(world, "red") == 24_000_000


def test_share_requests_reach_peers_through_state_service() -> None:
    world = world_with_machines(3, 18, team_settings("red", 0, 36))
    for name in world.owners:
        for number in range(3):
            world.cut_links.add((name, f"10.0.0.{number}:81"))
    world.run(8)
    for worker in world.workers.values():
        worker.task_run_s = None
    # The gang needs more than one controller's share.
    world.submit("n0", job_submission(1, shape="ensemble", hands=9, reckonS=1e6))
    world.run_until(lambda: started_task_count(world, 1) == 9, 40)


@pytest.mark.parametrize("verdict", ["lost", "late", "unanswered"])
@pytest.mark.parametrize("victim", ["n0", "n1", "n2"])
def test_controller_dies_during_share_write(verdict: str, victim: str) -> None:
    # The controller dies after deciding on the write, before or after its answer.
    world = world_with_machines(3, 18, team_settings("red", 0, 24))
    for worker in world.workers.values():
        worker.task_run_s = 4.0
    share_writes = [0]

    def hook(node: str, body: dict[str, Any]) -> str | None:
        if any(c.get("put", "").startswith("s/share/") for c in body["then"]):
            share_writes[0] += 1
            if node == victim and victim in world.owners:
                world.call_later(0.001, lambda: world.owners.pop(victim, None))
            return verdict
        return None

    world.state.transaction_fault = hook
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 8}
    submit_all(
        world,
        *(job_submission(n, **gang) for n in range(3)),
        *(job_submission(10 + n, hands=10) for n in range(3)),
    )
    world.run(6)
    world.state.transaction_fault = None
    world.run(6)
    if victim not in world.owners:
        world.start_node(int(victim[1:]))
    world.run_until(lambda: len(world.completed_tasks) == 54, 150)
    assert share_writes[0] > 0
    world.run(3)
    # No share is lost or counted twice.
    assert total_share(world, "red") == 24_000_000


@pytest.mark.parametrize("point", range(0, 30, 2))
def test_giver_dies_between_effects(point: int) -> None:
    # The controller's effects are emitted one by one, and it dies after `point` of them.
    world = world_with_machines(3, 12, team_settings("red", 0, 24))
    for worker in world.workers.values():
        worker.task_run_s = 3.0
    emit, effects_left = world.send_effects, [point]

    def one_by_one(name: str, owner: Any, effects: list[Any]) -> None:
        for effect in effects:
            if name == "n0" and effects_left[0] == 0 and name in world.owners:
                world.kill_node(name)
            if name == "n0":
                effects_left[0] -= 1
            emit(name, owner, [effect])

    world.send_effects = one_by_one  # type: ignore[method-assign]
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 8}
    submit_all(
        world,
        job_submission(1, **gang),
        job_submission(2, hands=10),
        job_submission(3, **gang),
        job_submission(4, hands=10),
    )
    world.run(3)
    if "n0" not in world.owners:
        world.start_node(0)
    for number, spec in ((1, gang), (2, {"hands": 10}), (3, gang), (4, {"hands": 10})):
        # The user repeats requests that were not answered.
        world.submit("n1", job_submission(number, **spec))
    world.run_until(lambda: len(world.completed_tasks) == 36, 90)
    world.run(3)
    assert effects_left[0] < 0 and total_share(world, "red") == 24_000_000


def test_shares_survive_restart_of_all_controllers() -> None:
    world = world_with_machines(3, 18, team_settings("red", 0, 36))
    for worker in world.workers.values():
        worker.task_run_s = None
    submit_all(
        world,
        job_submission(1, shape="ensemble", hands=12, reckonS=1e6),
        job_submission(2, hands=12, reckonS=1e6),
    )
    world.run_until(lambda: team_use(world, "red") == 36, 30)
    for name in world.controller_names():
        world.kill_node(name)
    world.run(3)
    for number in range(3):
        world.start_node(number)
    world.run(20)
    assert team_use(world, "red") == 36 and total_share(world, "red") == 36_000_000


def test_teams_below_limits_cause_no_share_writes() -> None:
    teams = [team_settings(f"t{n:02d}", 0, 12) for n in range(30)]
    world = world_with_machines(3, 18, *teams)
    before = world.state.ledger
    writes = [k for _, k, _ in world.state.change_log if k.startswith("s/limit/")]
    assert len(writes) == 31
    submit_all(world, *(job_submission(n, outfit=f"t{n:02d}", hands=1) for n in range(30)))
    world.run_until(lambda: len(world.completed_tasks) == 30, 60)
    assert not [
        k for at, k, _ in world.state.change_log if at > before and k.startswith("s/share/")
    ]


def test_sweep_points_count_against_limit() -> None:
    # Points have no records of their own: their claims are in the record of their block.
    world = World(
        node_count=3,
        seed=3,
        features=feature_factory([("sweeps", Options())]),
        teams=[team_settings("blue", 0, 10), GUEST_TEAM],
    )
    for number in range(12):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(5)
    spec = {
        key: value for key, value in job_submission(1, outfit="blue").items() if key != "nameId"
    }
    body = {"id": "run-s", "space": "x in 1..60", "job": spec}
    assert world.user_request("n1", "POST", "/api/sweeps", body)[0] in (200, 201)
    submit_all(
        world,
        job_submission(7, outfit="blue", hands=10),
        job_submission(8, outfit="blue", hands=10),
    )
    max_use = 0.0
    for _ in range(100):
        world.run(0.5)
        max_use = max(max_use, team_use(world, "blue"))
    assert max_use == 10
    world.run_until(lambda: len(world.completed_tasks) == 80, 60)


@pytest.mark.parametrize("nodes", [5, 9])
def test_many_teams_with_small_limits_share_room(nodes: int) -> None:
    # A controller requested shares of all teams' limits for the same room and got them, so the
    # others had none: with fifteen controllers only a third of the tasks were done.
    teams = [team_settings(f"t{n:02d}", 0, 8) for n in range(12)]
    world = world_with_machines(nodes, 24, *teams)
    submit_all(world, *(job_submission(n, outfit=f"t{n % 12:02d}", hands=12) for n in range(24)))
    world.run(20)
    # 96 CPUs run 48 tasks of 5 s at a time, and their images have to be fetched.
    assert len(world.completed_tasks) > 110

"""The operators' further meetings that have no file of their own (docs/meetings.md has the table).
World's rules are checked all along."""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, REPORT_S, job
from sagecove.lab.world import World, standing
from tests.test_close_looks import looks
from tests.test_meetings import DOOMED, mine, others, settle, world
from tests.test_old_reports import wait_for_takeover
from tests.test_refused_leader import node_with_most_tasks

ONE = "run-000001"


def machines(w: World, count: int, zones: str = "ab") -> World:
    w.cloud.capacity = {"small": count, "gpu": 0}
    for i in range(count):
        w.cloud.start("small", zones[i % len(zones)], False)
    w.run(3)
    return w


# -- the end of a job's last task, and users ------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("kinds", ["p", "c", "s", "pcs"])
@pytest.mark.parametrize("shape, hands", [("sweep", 1), ("sweep", 3), ("ensemble", 2)])
def test_users_ask_cancel_and_repeat_as_the_last_task_ends(
    shape: str, hands: int, kinds: str, nodes: int
) -> None:
    for step in range(-2, 14, 2 if kinds == "c" else 5):
        w = machines(World(nodes=nodes), 2 * nodes)
        for worker in w.workers.values():
            worker.run_s = 3.0
        spec = job(1, shape=shape, hands=hands, vcpus=1.0, memoryGb=1.0)
        assert w.submit("n0", spec)[0] == 201
        w.until(lambda w=w: w.running(ONE) == hands, 10)
        w.run(3.0 + 0.04 * step)
        looks(w, spec, 0.08, 0.04, kinds)
        w.run(1.0)
        looks(w, spec, 3.0, 0.5, "ps")
        w.calm_at = w.now
        w.run(4.0)
        told = {standing(w, node, ONE) for node in w.owners}
        # Whatever came first holds, everywhere: done within three seconds, or cancelled.
        assert told == {"done"} or ("c" in kinds and told == {"aborted"})
        w.run(3.0)
        assert w.running(ONE) == 0


@pytest.mark.parametrize("first", ["end", "cancellation"])
@pytest.mark.parametrize("nodes", [3, 5])
def test_the_end_and_a_cancellation_cross_at_the_state_service(nodes: int, first: str) -> None:
    w = machines(World(nodes=nodes), 2 * nodes)
    for worker in w.workers.values():
        worker.run_s = 3.0
    w.submit("n0", job(1, hands=2, vcpus=1.0, memoryGb=1.0))
    held: list[dict[str, Any]] = []

    def hook(node: str, body: dict[str, Any]) -> str | None:
        state = next((c["v"] for c in body["then"] if c.get("put") == f"o/{ONE}"), None)
        if state is None:
            return None
        if not held:
            # The end is under way; whoever asks is told that it runs.
            held.append(body)
            return "lost"
        if len(held) == 1 and body["then"] != held[0]["then"]:
            held.append(body)
            if first == "end":
                assert w.state.commit(held[0])[0] == 200
            else:
                w.later(0.5, lambda: (w.state.commit(held[0]), None)[1])
            return None
        return None if len(held) > 1 else "lost"

    w.state.hook = hook
    w.until(lambda: bool(held), 20)
    for node in sorted(w.owners):
        w.look(node, "POST", f"/api/jobs/{ONE}/cancel")
    w.run(1.0)
    for _ in range(5):
        told = {standing(w, node, ONE) for node in w.owners}
        assert told == ({"done"} if first == "end" else {"aborted"})
        w.run(1.0)


# -- more work than room over slow links ----------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("link_s", [0.2, 0.8, 1.5])
@pytest.mark.parametrize("change", ["nothing", "ends", "cancels"])
def test_more_work_than_room_urgent_and_not_over_slow_links(
    change: str, link_s: float, nodes: int
) -> None:
    w = machines(World(nodes=nodes), 9)
    w.link_s = link_s
    for n in range(1, 9):
        rank, outfit = ("urgent", "red") if n % 3 == 0 else ("low", "guests")
        shape = "ensemble" if n % 4 == 0 else "sweep"
        spec = job(n, shape=shape, hands=8, vcpus=2.0, rank=rank, outfit=outfit)
        w.look(f"n{n % nodes}", "POST", "/api/jobs", w.spec(spec))
    w.run(6)
    if change == "ends":
        w.kill("n1")
        w.later(LEASE_S, lambda: w.boot_node(1))
    elif change == "cancels":
        for n in (2, 3, 4):
            for node in w.owners:
                w.look(node, "POST", f"/api/jobs/run-{n:06d}/cancel")
    w.run(20)
    w.calm_at = w.now
    kept = [n for n in range(1, 9) if f"run-{n:06d}" not in w.cancelled]
    assert len(kept) == 8 or change == "cancels"
    w.until(lambda: all(standing(w, "n0", f"run-{n:06d}") == "done" for n in kept), 200)
    w.check_served()


# -- a zone that loses machines -------------------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", ["sweep", "ensemble", "service"])
@pytest.mark.parametrize(
    "bound", [{"range": "a"}, {"samePlace": True}, {"range": "a", "samePlace": True}]
)
@pytest.mark.parametrize("lost", ["power", "cut"])
def test_jobs_bound_to_one_zone_lose_machines(
    lost: str, bound: dict[str, Any], shape: str, nodes: int
) -> None:
    w = machines(World(nodes=nodes), 10, "aab")
    for worker in w.workers.values():
        worker.run_s = 20.0
    w.submit("n0", job(1, shape=shape, hands=8, vcpus=1.0, memoryGb=1.0, **bound))
    w.until(lambda: w.running(ONE) == 8, 60)
    w.poll_all()
    zone = next(v.info["range"] for v in w.workers.values() if v.live())
    hit = [v for v in w.workers.values() if v.info["range"] == zone and v.live()][:2]
    hit += [v for v in w.workers.values() if v.info["range"] == zone and v not in hit][:1]
    for worker in hit:
        if lost == "power":
            worker.dead, worker.tasks = True, {}
        else:
            worker.cut = worker.cut_direct = True
    w.cloud.capacity = {"small": 16, "gpu": 0}
    w.run(0.6 * LEASE_S)
    w.run(LEASE_S)
    for worker in hit:
        if lost == "cut":
            worker.go_on()
    w.calm_at = w.now
    if shape == "service":
        w.until(lambda: w.running(ONE) == 8, 120)
    else:
        w.until(lambda: standing(w, "n1", ONE) == "done", 200)


# -- leaders change again and again ---------------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("every", [4.0, 0.75 * LEASE_S, 12.0])
@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize("back_s", [0.4, 3.0, LEASE_S])
def test_leaders_change_ten_times_in_two_minutes_also_inside_an_outage(
    back_s: float, outage: bool, every: float, nodes: int
) -> None:
    w = world([], nodes)
    for n in range(10):
        lead = max(w.owners, key=lambda name: len(w.owners[name].shards.active_shards(w.now)))
        if len(w.owners) > 1:
            w.kill(lead)
            w.later(back_s, lambda n=lead: None if n in w.owners else w.boot_node(int(n[1:])))
        if n == 3:
            w.look(sorted(w.owners)[0], "POST", f"/api/jobs/{DOOMED}/cancel")
        if outage and n in (4, 7):
            w.state.outage(n == 4)
        w.run(every)
    settle(w, 4 * LEASE_S)


# -- machines that reach no controller ------------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("seconds", [4.0, 0.8 * LEASE_S, 1.5 * LEASE_S, 5 * LEASE_S])
@pytest.mark.parametrize("change", ["nothing", "ends", "cancelled"])
def test_workers_reach_no_controller_while_direct_commands_reach_them(
    change: str, seconds: float, nodes: int
) -> None:
    w = world([], nodes)
    lead = node_with_most_tasks(w, DOOMED)
    far = [worker for worker in mine(w, lead) if worker.tasks][:2]
    w.cloud.capacity["small"] = 3 * nodes + 2
    for worker in far:
        w.mute.add(worker.name)
    w.run(1.0)
    if change == "ends":
        w.kill(lead)
    elif change == "cancelled":
        w.user(others(w, lead)[0], "POST", f"/api/jobs/{DOOMED}/cancel")
    silent = w.owners[others(w, lead)[0]].workers.silence_limit_s
    begun = w.now
    w.submit(others(w, lead)[0], job(3, hands=4, vcpus=0.5, memoryGb=0.5))
    w.run(seconds)
    # A command's answer is no report: little is begun there, and nothing once it counts as silent.
    quiet = {worker.name for worker in far}
    there = [at for at, _, name in w.starts if name in quiet and at > begun]
    assert all(at - begun < silent + 2 * REPORT_S for at in there)
    w.mute.clear()
    settle(w, 4 * LEASE_S)
    w.until(lambda: standing(w, "n0", "run-000003") == "done", 75)
    # They came back with a session of their own, or were returned.
    for worker in far:
        assert worker.dead or worker.lease_from > w.now - LEASE_S


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("lost", ["mute", "power"])
def test_work_sent_to_a_machine_that_reaches_nobody_begins_elsewhere(lost: str, nodes: int) -> None:
    # It is the only one with room, and takes what it is sent.
    w = machines(World(nodes=nodes), 6)
    for worker in w.workers.values():
        worker.run_s = 25.0
    filling = {"shape": "service", "rank": "production", "outfit": "guests", "vcpus": 4.0}
    w.submit("n0", job(1, hands=5, **filling))
    w.until(lambda: w.running(ONE) == 5, 60)
    w.run(3)
    w.cloud.capacity["small"] = 12
    last = next(worker for worker in w.workers.values() if not worker.live())
    if lost == "mute":
        w.mute.add(last.name)
    else:
        last.dead = True
    w.run(0.5)
    w.submit("n1", job(2, hands=4, vcpus=1.0, memoryGb=1.0, outfit="guests", reckonS=25.0))
    w.until(lambda: w.running("run-000002") == 4 and not last.live(), 3 * LEASE_S)
    w.until(lambda: standing(w, "n0", "run-000002") == "done", 45)
    w.until(lambda: last.name in w.cloud.deleted, 8 * LEASE_S)


# -- a zone with workers and a controller is cut off ----------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("seconds", [0.8 * LEASE_S, 1.3 * LEASE_S, 3 * LEASE_S])
@pytest.mark.parametrize("cancel", [False, True])
def test_a_zone_with_workers_and_a_controller_is_cut_off(
    cancel: bool, seconds: float, nodes: int
) -> None:
    w = world([], nodes)
    inside = [worker for worker in w.workers.values() if worker.info["range"] == "b"]
    zone = ["n1", *(worker.name for worker in inside)]
    w.part(zone, [*others(w, "n1"), *(n for n in w.workers if n not in zone)])
    w.cut_links |= {("n1", "state"), ("n1", "cloud")}
    w.cloud.capacity["small"] = 6 * nodes
    w.run(2.0)
    if cancel:
        w.until(lambda: w.user("n0", "POST", f"/api/jobs/{DOOMED}/cancel")[0] == 200, 60)
        assert standing(w, "n1", DOOMED) in ("503", "running", "0")
    w.run(seconds)
    settle(w, 4 * LEASE_S)


# -- all controllers are away ---------------------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("away_s", [0.9 * LEASE_S, 1.1 * LEASE_S, 2.5 * LEASE_S])
@pytest.mark.parametrize("back", ["together", "apart", "one"])
def test_all_controllers_are_away_for_longer_than_a_lease(
    back: str, away_s: float, nodes: int
) -> None:
    w = world([], nodes)
    w.refuses = True
    w.look("n0", "POST", f"/api/jobs/{DOOMED}/cancel")
    w.look("n1", "POST", "/api/jobs", w.spec(job(3, hands=4, vcpus=0.5, memoryGb=0.5)))
    w.run(0.03)
    for name in sorted(w.owners):
        w.kill(name)
    w.run(away_s)
    for n in range(1 if back == "one" else nodes):
        w.boot_node(n)
        w.run(0.3 if back == "apart" else 0.0)
    w.run(LEASE_S)
    settle(w, 4 * LEASE_S)
    w.submit("n0", w.specs["run-000003"])
    w.until(lambda: standing(w, "n1", "run-000003") == "done", 75)


# -- hand-over and back within a second -----------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("back_s", [0.02, 0.3, 0.7])
@pytest.mark.parametrize("step", [0.0, 0.1, 0.2, 0.4, 0.8])
def test_a_shard_is_handed_back_all_end_and_one_returns_within_a_second(
    step: float, back_s: float, nodes: int
) -> None:
    w = world([], nodes)
    w.refuses = True
    lead = node_with_most_tasks(w, DOOMED)
    w.kill(lead)
    taker = wait_for_takeover(w, lead)
    w.boot_node(int(lead[1:]))
    w.until(
        lambda: (
            lead not in w.owners[taker].held_shards or w.owners[taker].held_shards[lead].yielding
        ),
        60,
    )
    w.run(step)
    for name in sorted(w.owners):
        w.kill(name)
    w.run(back_s)
    w.boot_node(int(taker[1:]))
    w.run(0.9 - back_s)
    w.look(taker, "POST", f"/api/jobs/{DOOMED}/cancel")
    w.run(2.0)
    settle(w, 4 * LEASE_S)

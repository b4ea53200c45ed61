"""Every team is at its limit, jobs are cancelled whose machines are cut off or hang, and the leader
changes: the record of a cancelled job is gone, so its successor knows neither team nor size of what
it finds reported. World checks limits at every moment, and that nobody waits beside room."""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, REPORT_S, job_submission
from sagecove.lab.fakes import FakeWorker
from sagecove.lab.world import World
from tests.test_meetings import mine, others
from tests.test_refused_leader import node_with_most_tasks

TEAMS: list[dict[str, Any]] = [
    {"name": name, "cpus": 4.0, "cpus_max": 12.0} for name in ("red", "blue", "green")
]
DOOMED = {team["name"]: f"run-{n:06d}" for n, team in enumerate(TEAMS, 1)}


def full(nodes: int) -> World:
    """Each team has a service that takes all of its limit, on machines with room for more."""
    w = World(node_count=nodes, teams=TEAMS)
    w.cloud.capacity = {"small": 18, "gpu": 0}
    for i in range(18):
        w.cloud.start_machine("small", "ab"[i % 2], False)
    w.run(3)
    for worker in w.workers.values():
        worker.task_run_s = 500.0
    for n, team in enumerate(DOOMED, 1):
        spec = job_submission(n, outfit=team, shape="service", hands=12, vcpus=1.0, memoryGb=1.0)
        w.submit("n0", spec)
    w.run_until(lambda: all(w.running_task_count(name) == 12 for name in DOOMED.values()), 90)
    w.run(3)
    w.poll_jobs()
    return w


def ends(w: World, lead: str) -> None:
    w.kill_node(lead)


def stands_still(w: World, lead: str) -> None:
    w.paused_until[lead] = w.now + 1.5 * LEASE_S


def is_alone(w: World, lead: str) -> None:
    w.isolate_node(lead, True)


def restarts(w: World, lead: str) -> None:
    w.kill_node(lead)
    w.call_later(0.5, lambda: w.start_node(int(lead[1:])))


def out_of_reach(w: World, worker: FakeWorker, how: str, away: bool) -> None:
    if how == "deaf":
        (w.receive_blocked_machines.add if away else w.receive_blocked_machines.discard)(
            worker.name
        )
    elif how == "mute":
        (w.send_blocked_machines.add if away else w.send_blocked_machines.discard)(worker.name)
    elif away:
        worker.isolated = worker.direct_commands_blocked = True
    else:
        worker.reconnect()


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("change", [ends, stands_still, is_alone, restarts])
@pytest.mark.parametrize("how", ["hangs", "deaf", "mute"])
@pytest.mark.parametrize("away_s", [1.0, 0.6 * LEASE_S, 1.5 * LEASE_S])
def test_every_team_is_at_its_limit_when_its_jobs_are_cancelled_and_the_leader_changes(
    away_s: float, how: str, change: Any, nodes: int
) -> None:
    w = full(nodes)
    lead = node_with_most_tasks(w, DOOMED["red"])
    far = [worker for worker in mine(w, lead) if worker.tasks]
    for worker in far:
        out_of_reach(w, worker, how, True)
    w.run(0.3)
    before = change in (ends, restarts) and away_s > 1.0
    if before:
        # The successor never saw the jobs' records.
        change(w, lead)
    asked = others(w, lead)[0]
    for name in DOOMED.values():
        w.run_until(
            lambda name=name: w.user_request(asked, "POST", f"/api/jobs/{name}/cancel")[0] == 200,
            30,
        )
    if not before:
        change(w, lead)
    confirmed = w.now
    # As many again, at once: each team may begin as much of it as has surely ended.
    for n, team in enumerate(DOOMED, 11):
        spec = job_submission(n, outfit=team, hands=12, vcpus=1.0, memoryGb=1.0, reckonS=900.0)
        w.submit(asked, spec)
    w.run(away_s)
    for worker in far:
        out_of_reach(w, worker, how, False)
    w.cut_links.clear()
    w.state.refused_nodes.clear()
    if lead not in w.owners:
        w.start_node(int(lead[1:]))
    w.faults_over_at = w.now
    w.run_until(
        lambda: all(w.running_task_count(f"run-{n:06d}") == 12 for n in (11, 12, 13)), 6 * LEASE_S
    )
    assert all(w.running_task_count(name) == 0 for name in DOOMED.values())
    assert w.now - confirmed < away_s + 4 * LEASE_S + 4 * REPORT_S


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("many", [1, 99])
@pytest.mark.parametrize("after", [0.1 * n for n in range(1, 44, 3)])
def test_machines_with_tasks_of_cancelled_jobs_go_away_as_their_new_leader_hears_of_them(
    after: float, nodes: int, many: int
) -> None:
    # It knows them by their reports, and what it orders them to stop does not arrive.
    w = full(nodes)
    lead = node_with_most_tasks(w, DOOMED["red"])
    # The others let it begin what their teams' limits leave.
    far = [worker for worker in mine(w, lead) if worker.tasks][:many]
    w.kill_node(lead)
    asked = sorted(w.owners)[0]
    for name in DOOMED.values():
        w.run_until(
            lambda name=name: w.user_request(asked, "POST", f"/api/jobs/{name}/cancel")[0] == 200,
            30,
        )
    w.run_until(lambda: any(lead in o.shards.active_shards(w.now) for o in w.owners.values()), 30)
    for n, team in enumerate(DOOMED, 11):
        spec = job_submission(n, outfit=team, hands=12, vcpus=1.0, memoryGb=1.0, reckonS=900.0)
        w.submit(asked, spec)
    w.run(after)
    for worker in far:
        out_of_reach(w, worker, "deaf", True)
    w.run(2 * LEASE_S)
    for worker in far:
        out_of_reach(w, worker, "deaf", False)
    w.start_node(int(lead[1:]))
    w.faults_over_at = w.now
    w.run_until(
        lambda: all(w.running_task_count(f"run-{n:06d}") == 12 for n in (11, 12, 13)), 4 * LEASE_S
    )

"""A delayed report must not be taken for the present state of its machine.

A new leader of a shard doesn't know the order of earlier reports. An old report reaches every
controller as the new leader begins, or reaches the leader after it has acted. Its tasks, session
and address must not be used, nor may it show that the machine is alive or reachable.
"""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, REPORT_S, job_submission
from sagecove.lab.world import World
from tests.test_meetings import (
    DOOMED,
    LONG,
    other_nodes,
    settle,
    workers_of_shard,
    world_with_two_services,
)
from tests.test_refused_leader import node_with_most_tasks


def wait_for_takeover(cluster: World, leader: str) -> str:
    """Wait until another controller acts for the shard of a lost leader; returns its name."""

    def new_leader() -> str | None:
        acting = {n: o.shards.active_shards(cluster.now) for n, o in cluster.owners.items()}
        return next((n for n, shards in acting.items() if leader in shards and n != leader), None)

    cluster.run_until(lambda: new_leader() is not None, 4 * LEASE_S)
    found = new_leader()
    assert found is not None
    return found


def leader_is_killed(cluster: World, leader: str) -> None:
    cluster.kill_node(leader)


def leader_is_isolated(cluster: World, leader: str) -> None:
    cluster.isolate_node(leader, False)


def leader_restarts_at_once(cluster: World, leader: str) -> None:
    cluster.kill_node(leader)
    cluster.call_later(0.2, lambda: cluster.start_node(int(leader[1:])))


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("which", ["first", "oldest", "last", "all"])
@pytest.mark.parametrize("change", [leader_is_killed, leader_is_isolated, leader_restarts_at_once])
@pytest.mark.parametrize("after", [0.0, 0.1, 1.0, 3.0])
def test_old_reports_arrive_as_new_leader_begins(
    after: float, change: Any, which: str, nodes: int
) -> None:
    cluster = world_with_two_services([], nodes)
    leader = node_with_most_tasks(cluster, DOOMED)
    for worker in workers_of_shard(cluster, leader):
        cluster.recorded_reports[worker.name] = []
    cluster.run(4 * REPORT_S)
    # Two of its machines lose power and all their tasks.
    dead = [worker for worker in workers_of_shard(cluster, leader) if worker.tasks][:2]
    cluster.user_request(other_nodes(cluster, leader)[0], "POST", f"/api/jobs/{DOOMED}/cancel")
    cluster.run(0.5)
    for worker in dead:
        worker.dead, worker.tasks = True, {}
        cluster.cloud.machines.pop(worker.name, None)
    change(cluster, leader)
    if change is not leader_restarts_at_once:
        wait_for_takeover(cluster, leader)
    else:
        cluster.run_until(
            lambda: (
                leader in cluster.owners
                and leader in cluster.owners[leader].shards.active_shards(cluster.now)
            ),
            40,
        )
    cluster.run(after)
    sent_at = cluster.now
    select_reports = {
        "first": lambda reports: reports[:1],
        "oldest": lambda reports: reports[:3],
        "last": lambda reports: reports[-1:],
        "all": lambda reports: reports,
    }[which]
    old_reports = [
        report
        for reports in cluster.recorded_reports.values()
        for report in select_reports(reports)
    ]
    cluster.recorded_reports.clear()
    assert old_reports
    for report in old_reports:
        cluster.replay_report(report, sorted(cluster.owners))
    cluster.run(0.6)
    for owner in cluster.owners.values():
        for worker in dead:
            machine = owner.machines.get(worker.name)
            # No old task list has made the dead machine's tasks known.
            if machine is not None and machine.record.shard in owner.shards.active_shards(
                cluster.now
            ):
                assert not machine.tasks_known
    # Their tasks start elsewhere as soon as without old reports.
    cluster.cloud.capacity["small"] = 3 * nodes + 2
    cluster.run_until(lambda: cluster.running_task_count(LONG) == 2 * nodes, 4 * LEASE_S)
    assert cluster.now - sent_at < 3 * LEASE_S
    settle(cluster)


@pytest.mark.parametrize("hold_s", [0.0, 0.5 * LEASE_S, 2 * LEASE_S])
@pytest.mark.parametrize("nodes", [3, 5])
def test_delayed_report_arrives_after_new_leader_has_acted(nodes: int, hold_s: float) -> None:
    # Reports from before the takeover arrive after tasks were stopped and others started.
    cluster = world_with_two_services([], nodes)
    leader = node_with_most_tasks(cluster, LONG)
    for worker in workers_of_shard(cluster, leader):
        cluster.recorded_reports[worker.name] = []
    cluster.run(3 * REPORT_S)
    old_reports = [reports[-1] for reports in cluster.recorded_reports.values() if reports]
    cluster.recorded_reports.clear()
    cluster.kill_node(leader)
    new_leader = wait_for_takeover(cluster, leader)
    cluster.run(2 * REPORT_S)
    cluster.user_request(new_leader, "POST", f"/api/jobs/{DOOMED}/cancel")
    cluster.submit(new_leader, job_submission(3, hands=4, vcpus=0.5, memoryGb=0.5))
    cluster.run(1.0 + hold_s)
    starts = len(cluster.task_starts)
    for report in old_reports:
        cluster.replay_report(report, [new_leader])
        cluster.run(0.05)
    cluster.run(LEASE_S)
    # Running tasks go on where they are, and the cancelled job is not taken for running.
    assert cluster.running_task_count(LONG) == 2 * nodes
    assert [t for _, t, _ in cluster.task_starts[starts:] if t.startswith((LONG, DOOMED))] == []
    assert not any(o.jobs.get(DOOMED) for o in cluster.owners.values())
    settle(cluster)


def test_old_reports_do_not_keep_dead_machine() -> None:
    # Copies keep arriving at every controller; the machine is returned, and its tasks start
    # elsewhere.
    cluster = world_with_two_services([])
    leader = node_with_most_tasks(cluster, LONG)
    victim = next(worker for worker in workers_of_shard(cluster, leader) if worker.tasks)
    cluster.recorded_reports[victim.name] = []
    cluster.run(3 * REPORT_S)
    report = cluster.recorded_reports.pop(victim.name)[-1]
    victim.dead, victim.tasks = True, {}
    cluster.cloud.capacity["small"] = 10

    def again() -> None:
        cluster.replay_report(report, sorted(cluster.owners))
        cluster.call_later(0.4, again)

    again()
    cluster.run_until(lambda: cluster.running_task_count(LONG) == 6, 3 * LEASE_S)
    cluster.run_until(lambda: victim.name in cluster.cloud.deleted_names, 5 * LEASE_S)
    cluster.run(LEASE_S)
    assert all(victim.name not in o.machines for o in cluster.owners.values())


def test_old_reports_do_not_bring_back_deleted_machine() -> None:
    # A restarted controller doesn't remember that the machine was deleted, and asks it.
    cluster = world_with_two_services([])
    victim = next(worker for worker in cluster.workers.values() if worker.tasks)
    cluster.recorded_reports[victim.name] = []
    cluster.run(3 * REPORT_S)
    reports = cluster.recorded_reports.pop(victim.name)
    victim.dead, victim.tasks = True, {}
    cluster.cloud.capacity["small"] = 10
    cluster.run_until(lambda: victim.name in cluster.cloud.deleted_names, 8 * LEASE_S)
    cluster.run_until(lambda: f"s/machine/{victim.name}" not in cluster.state.keys, 30)
    cluster.workers[victim.name] = victim
    for n in range(3):
        cluster.kill_node(f"n{n}")
        cluster.start_node(n)
    for _ in range(40):
        cluster.run(0.25)
        for report in reports:
            cluster.replay_report(report, sorted(cluster.owners))
        assert f"s/machine/{victim.name}" not in cluster.state.keys
    assert all(victim.name not in o.machines for o in cluster.owners.values())

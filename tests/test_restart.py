"""All controllers crash together: what follows is bound by ratios to settings, at any size."""

import pytest

from bench.restart import CONTROLLER_RESTART_S, crash_all_controllers, recovery_timeline
from bench.size import build_world
from sagecove.lab.deployment import LEASE_S, REPORT_S, job_submission
from sagecove.lab.world import World


def test_after_a_common_crash_all_machines_are_back_before_their_leases_end() -> None:
    world = build_world(150, 75, nodes=5)
    running = sum(len(worker.live_tasks()) for worker in world.workers.values())
    crash_all_controllers(world)
    phases = {phase: (first, last) for phase, first, last in recovery_timeline(world, 2 * LEASE_S)}
    # What is serial is short beside a report; the rest is the workers' own pace, who have gone
    # from node to node meanwhile and are known at their second report.
    assert phases["loaded"][1] < REPORT_S / 2
    assert phases["term"][1] < REPORT_S / 2
    assert phases["ready"][1] < REPORT_S / 2
    assert phases["nine in ten back"][1] < 3 * REPORT_S
    assert phases["all back"][1] < LEASE_S - CONTROLLER_RESTART_S
    # Nobody's lease has ended: all that ran runs on, and nothing was started again.
    assert sum(len(worker.live_tasks()) for worker in world.workers.values()) == running
    assert len({task for _, task, _ in world.task_starts}) == len(world.task_starts)


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("back_s", [0.05, 0.6, 0.9, 1.02, 1.15])
def test_controllers_back_only_as_their_leases_end_lose_no_session(
    nodes: int, back_s: float
) -> None:
    # On a bench day all three came back 6 s after they ended, with leases of 6.5 s: their shards'
    # keys had just gone, each waited a whole lease for promises it might have given, and the first
    # one back had taken the others' shards, which it could not act for. All 800 tasks began again.
    w = World(node_count=nodes, seed=nodes)
    for i in range(4 * nodes):
        w.cloud.start_machine("small", "ab"[i % 2], False)
    w.run(5)
    w.submit("n0", job_submission(1, shape="service", hands=4 * nodes))
    w.run_until(lambda: w.running_task_count("run-000001") == 4 * nodes, 40)
    w.run(4)
    starts = len(w.task_starts)
    lease_s = w.owners["n0"].settings.lease_s
    w.dead_nodes_refuse = True
    for name in w.controller_names():
        w.kill_node(name)
    w.run(back_s * lease_s)
    for i in range(nodes):
        w.start_node(i)
        w.run(0.2)
    assert w.run_until(lambda: len(holders(w)) == nodes, lease_s) < REPORT_S
    w.run(LEASE_S)
    assert w.running_task_count("run-000001") == 4 * nodes
    assert len(w.task_starts) == starts


def holders(w: World) -> set[str]:
    """Controllers that act for their own shard."""
    return {n for n, o in w.owners.items() if n in o.shards.active_shards(w.now)}


def test_a_shard_that_another_took_last_is_waited_for() -> None:
    # The record of who held a shard last is what tells: n1 may be acting by promises for what it
    # took, so n0, whose own shard it is, starts nothing for it before its own promises are over.
    w = World(seed=4)
    for i in range(6):
        w.cloud.start_machine("small", "ab"[i % 2], False)
    w.run(5)
    lease_s = w.owners["n0"].settings.lease_s
    w.kill_node("n0")
    w.run_until(lambda: any("n0" in o.held_shards for o in w.owners.values()), 3 * lease_s)
    taker = next(n for n, o in w.owners.items() if "n0" in o.held_shards)
    w.kill_node(taker)
    w.run(1.1 * lease_s)
    # The third one is refused, so that nobody takes the shard meanwhile.
    third = next(iter(w.owners))
    w.state.refused_nodes.add(third)
    w.run(0.5)
    w.start_node(0)
    w.run(1)
    record = w.state.keys["s/last/n0"][0]
    assert record["node"] in (taker, third)
    if record["node"] == taker:
        assert "n0" not in w.owners["n0"].held_shards
    w.state.refused_nodes.clear()
    w.run_until(lambda: "n0" in w.owners["n0"].held_shards, 3 * lease_s)

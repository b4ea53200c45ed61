"""All controllers crash together: what follows is bound by ratios to settings, at any size."""

from bench.restart import BACK_S, crash, timeline
from bench.size import build
from sagecove.lab.deployment import LEASE_S, REPORT_S


def test_after_a_common_crash_all_machines_are_back_before_their_leases_end() -> None:
    world = build(150, 75, nodes=5)
    running = sum(len(worker.live()) for worker in world.workers.values())
    crash(world)
    phases = {phase: (first, last) for phase, first, last in timeline(world, 2 * LEASE_S)}
    # What is serial is short beside a report; the rest is the workers' own pace, who have gone
    # from node to node meanwhile and are known at their second report.
    assert phases["loaded"][1] < REPORT_S / 2
    assert phases["term"][1] < REPORT_S / 2
    assert phases["ready"][1] < REPORT_S / 2
    assert phases["nine in ten back"][1] < 3 * REPORT_S
    assert phases["all back"][1] < LEASE_S - BACK_S
    # Nobody's lease has ended: all that ran runs on, and nothing was started again.
    assert sum(len(worker.live()) for worker in world.workers.values()) == running
    assert len({task for _, task, _ in world.starts}) == len(world.starts)

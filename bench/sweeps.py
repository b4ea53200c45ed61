"""Measures the cost of a sweep.

`memory` runs it on the simulated clock (processor time of all owners, writes), `loopback` with real
controller processes (points a second, processor time, latency of other users' submissions).

Usage: python -m bench.sweeps memory [POINTS...] | loopback POINTS CONTROLLERS
"""

import sys
from statistics import median
from typing import Any

from bench.timing import owner_cpu_time
from sagecove.features import feature_factory, load_features
from sagecove.lab import deployment
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World
from sagecove.sweeps.feature import Options


def point_job(**overrides: Any) -> dict[str, Any]:
    """Return a point's job, small enough that machines don't limit the throughput."""
    spec = job_submission(1, vcpus=0.25, memoryGb=0.1, sizeGb=0.1, **overrides)
    return {k: v for k, v in spec.items() if k != "nameId"}


def measure_simulated(kind: str, count: int, nodes: int = 3) -> tuple[float, float, float]:
    """Run points as a sweep, or as the tasks of one array (the baseline), on the simulated clock.

    Returns processor time of all owners in ms a point, writes a point, and points a second.
    There are sixty machines; tasks take 3 s.
    """
    world = World(node_count=nodes, features=feature_factory([("sweeps", Options())]))
    world.check_rules = lambda: None  # type: ignore[method-assign]
    world.cloud.capacity = {"small": 60, "gpu": 0}
    for number in range(60):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(3)
    for worker in world.workers.values():
        worker.task_run_s = 3.0
    # Checking each start against all machines would take longer than the rest of the run.
    world.task_started = lambda worker, task: None  # type: ignore[method-assign]
    write_count = [0]

    def count_writes(node: str, body: dict[str, Any]) -> None:
        write_count[0] += len(body["then"])

    world.state.transaction_fault = count_writes
    begun_at = world.now
    with owner_cpu_time() as cpu_s:
        if kind == "sweep":
            body = {"id": "run-s", "space": f"x in 1..{count}", "job": point_job()}
            world.user_request("n0", "POST", "/api/sweeps", body)
        else:
            world.submit("n0", {**point_job(), "nameId": "run-a", "hands": count})
        while len(world.completed_tasks) < count and world.now - begun_at < 36000:
            world.run(1.0)
    assert len(world.completed_tasks) == count
    return 1000 * cpu_s[0] / count, write_count[0] / count, count / (world.now - begun_at)


def measure_loopback(count: int, controllers: int) -> None:
    """Run a sweep on real controller processes and print one line of the table."""
    from twisted.internet import reactor
    from twisted.internet.defer import inlineCallbacks

    from sagecove.lab.dev import Demo
    from sagecove.lab.loopback import Loopback

    deployment.TEAMS[0]["cpus_max"] = 1000.0
    lab = Loopback(reactor, controllers, 5.0, 1, "deploy/features.toml", lambda text: None)
    lab.cloud.capacity = {"small": 60, "gpu": 0}
    write_count = [0]

    def count_writes(node: str, body: dict[str, Any]) -> None:
        write_count[0] += len(body["then"])

    lab.state.transaction_fault = count_writes
    lab.task_started = lambda worker, task: None  # type: ignore[method-assign]
    lab.start(60)
    demo = Demo(lab, lambda text: None)
    latencies: list[float] = []

    def controllers_cpu_s() -> float:
        total = 0.0
        for node in lab.processes:
            with open(f"/proc/{node.process.pid}/stat", encoding="ascii") as file:
                stat_fields = file.read().rpartition(")")[2].split()
            total += (int(stat_fields[11]) + int(stat_fields[12])) / 100
        return total

    def run_submissions() -> Any:
        yield demo.pause(6.0)
        idle_cpu_share = controllers_cpu_s()
        yield demo.pause(4.0)
        idle_cpu_share = (controllers_cpu_s() - idle_cpu_share) / 4
        cpu_before, writes_before, begun_at = controllers_cpu_s(), write_count[0], lab.now
        body = {"id": "run-s", "space": f"x in 1..{count}", "job": point_job(reckonS=5.0)}
        yield demo.user_request("POST", "/api/sweeps", body)
        number = 0
        while len([t for t in lab.completed_tasks if t.startswith("run-s.")]) < count:
            number += 1
            sent_at = lab.now
            other = {**point_job(outfit="blue"), "nameId": f"run-o{number}"}
            yield demo.user_request("POST", "/api/jobs", other)
            latencies.append(lab.now - sent_at)
            yield demo.pause(0.5)
            if lab.now - begun_at > 500:
                break
        elapsed_s = lab.now - begun_at
        done = len([t for t in lab.completed_tasks if t.startswith("run-s.")])
        cpu_s = controllers_cpu_s() - cpu_before - idle_cpu_share * elapsed_s
        latencies.sort()
        p95_ms = 1000 * latencies[int(0.95 * len(latencies))]
        print(
            f"{done:>7} points, {controllers} controllers: {done / elapsed_s:.0f} a second,"
            f" {1000 * cpu_s / done:.2f} ms of processes' time and"
            f" {(write_count[0] - writes_before) / done:.2f} writes a point; others' submissions"
            f" p50 {1000 * median(latencies):.0f} ms, p95 {p95_ms:.0f} ms",
            flush=True,
        )

    finished = inlineCallbacks(run_submissions)()
    finished.addErrback(lambda failure: failure.printTraceback())
    finished.addBoth(lambda _: reactor.stop())  # type: ignore[attr-defined]
    reactor.run()  # type: ignore[attr-defined]


if __name__ == "__main__":
    assert load_features("deploy/features.toml")
    if sys.argv[1:2] == ["loopback"]:
        measure_loopback(int(sys.argv[2]), int(sys.argv[3]))
    else:
        print("kind   points  ms a point  writes a point  points a second")
        for count_text in sys.argv[2:] or ["1000", "10000"]:
            for kind_name in ("array", "sweep"):
                cpu_ms, writes, points_per_s = measure_simulated(kind_name, int(count_text))
                print(
                    f"{kind_name}  {count_text:>7}  {cpu_ms:>9.3f}  {writes:>13.3f}"
                    f"  {points_per_s:>15.0f}",
                    flush=True,
                )

"""What a sweep costs: on the fake clock (owners' processor time, writes), and on loopback with real
controllers (points a second, processor time, how long others' submissions take meanwhile).

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


def point(**fields: Any) -> dict[str, Any]:
    """A point's job: small, so that machines are not what bounds the pace."""
    spec = job_submission(1, vcpus=0.25, memoryGb=0.1, sizeGb=0.1, **fields)
    return {k: v for k, v in spec.items() if k != "nameId"}


def memory(kind: str, count: int, nodes: int = 3) -> tuple[float, float, float]:
    """Milliseconds of all owners' processor time a point, writes a point, points a second: as a
    sweep, or as the tasks of one array (the baseline). Sixty machines; tasks take 3 s."""
    w = World(node_count=nodes, features=feature_factory([("sweeps", Options())]))
    w.check_rules = lambda: None  # type: ignore[method-assign]
    w.cloud.capacity = {"small": 60, "gpu": 0}
    for number in range(60):
        w.cloud.start_machine("small", "ab"[number % 2], False)
    w.run(3)
    for worker in w.workers.values():
        worker.task_run_s = 3.0
    # Checking each start against all machines would take longer than all the rest.
    w.task_started = lambda worker, task: None  # type: ignore[method-assign]
    writes = [0]

    def counted(node: str, body: dict[str, Any]) -> None:
        writes[0] += len(body["then"])

    w.state.transaction_fault = counted
    begun = w.now
    with owner_cpu_time() as spent:
        if kind == "sweep":
            body = {"id": "run-s", "space": f"x in 1..{count}", "job": point()}
            w.user_request("n0", "POST", "/api/sweeps", body)
        else:
            w.submit("n0", {**point(), "nameId": "run-a", "hands": count})
        while len(w.completed_tasks) < count and w.now - begun < 36000:
            w.run(1.0)
    assert len(w.completed_tasks) == count
    return 1000 * spent[0] / count, writes[0] / count, count / (w.now - begun)


def loopback(count: int, controllers: int) -> None:
    """A sweep through real processes; prints a line of the table."""
    from twisted.internet import reactor
    from twisted.internet.defer import inlineCallbacks

    from sagecove.lab.dev import Demo
    from sagecove.lab.loopback import Loopback

    deployment.TEAMS[0]["cpus_max"] = 1000.0
    lab = Loopback(reactor, controllers, 5.0, 1, "deploy/features.toml", lambda text: None)
    lab.cloud.capacity = {"small": 60, "gpu": 0}
    writes = [0]

    def counted(node: str, body: dict[str, Any]) -> None:
        writes[0] += len(body["then"])

    lab.state.transaction_fault = counted
    lab.task_started = lambda worker, task: None  # type: ignore[method-assign]
    lab.start(60)
    asked = Demo(lab, lambda text: None)
    latencies: list[float] = []

    def cpu() -> float:
        total = 0.0
        for node in lab.processes:
            with open(f"/proc/{node.process.pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
            total += (int(fields[11]) + int(fields[12])) / 100
        return total

    def play() -> Any:
        yield asked.pause(6.0)
        idle = cpu()
        yield asked.pause(4.0)
        idle = (cpu() - idle) / 4
        before, written, begun = cpu(), writes[0], lab.now
        body = {"id": "run-s", "space": f"x in 1..{count}", "job": point(reckonS=5.0)}
        yield asked.user_request("POST", "/api/sweeps", body)
        number = 0
        while len([t for t in lab.completed_tasks if t.startswith("run-s.")]) < count:
            number += 1
            sent = lab.now
            other = {**point(outfit="blue"), "nameId": f"run-o{number}"}
            yield asked.user_request("POST", "/api/jobs", other)
            latencies.append(lab.now - sent)
            yield asked.pause(0.5)
            if lab.now - begun > 500:
                break
        took = lab.now - begun
        done = len([t for t in lab.completed_tasks if t.startswith("run-s.")])
        spent = cpu() - before - idle * took
        latencies.sort()
        late = 1000 * latencies[int(0.95 * len(latencies))]
        print(
            f"{done:>7} points, {controllers} controllers: {done / took:.0f} a second,"
            f" {1000 * spent / done:.2f} ms of processes' time and"
            f" {(writes[0] - written) / done:.2f} writes a point; others' submissions"
            f" p50 {1000 * median(latencies):.0f} ms, p95 {late:.0f} ms",
            flush=True,
        )

    playing = inlineCallbacks(play)()
    playing.addErrback(lambda failure: failure.printTraceback())
    playing.addBoth(lambda _: reactor.stop())  # type: ignore[attr-defined]
    reactor.run()  # type: ignore[attr-defined]


if __name__ == "__main__":
    assert load_features("deploy/features.toml")
    if sys.argv[1:2] == ["loopback"]:
        loopback(int(sys.argv[2]), int(sys.argv[3]))
    else:
        print("kind   points  ms a point  writes a point  points a second")
        for text in sys.argv[2:] or ["1000", "10000"]:
            for shape in ("array", "sweep"):
                cost, written, pace = memory(shape, int(text))
                print(
                    f"{shape}  {text:>7}  {cost:>9.3f}  {written:>13.3f}  {pace:>15.0f}", flush=True
                )

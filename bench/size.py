"""What many machines cost a controller when nothing but reports comes: processor time and memory.

Three controllers on the in-memory world, four running tasks on each machine, nothing to be rented.
Usage: python -m bench.size [--baseline CHECKOUT] [--waiting JOBS] [MACHINES...]
With a checkout of another version, the same is measured there, size by size, in the same run.
"""

import argparse
import gc
import os
import subprocess
import sys
import tracemalloc
from random import Random
from typing import Any

import msgspec

from bench.timing import owner_cpu_time
from sagecove.coordination.owner import Owner
from sagecove.lab.deployment import controller_settings, job_submission
from sagecove.lab.fakes import FakeWorker
from sagecove.lab.world import World
from sagecove.protocol.users import Job
from sagecove.storage.mirror import Event
from sagecove.storage.records import JobRecord, MachineRecord

TASKS_PER_MACHINE_COUNT = 4
ARRAY_TASK_COUNT = 120


class UncheckedWorld(World):
    """A world that checks no rules: with thousands of machines that is most of what it costs."""

    def task_started(self, worker: FakeWorker, task: str) -> None:
        self.task_starts.append((self.now, task, worker.name))

    def check_rules(self) -> None:
        pass


def build_world(machines: int, waiting: int, nodes: int = 3) -> World:
    """Machines with their records, and tasks that run for good on all of them."""
    w = UncheckedWorld(node_count=nodes)
    w.checks_ledgers = False  # type: ignore[attr-defined]
    w.cloud.capacity = {"small": 0, "gpu": 0}
    w.state.page_size = 500
    w.run(3)
    puts: list[dict[str, Any]] = []
    for number in range(machines):
        name = w.cloud.start_machine("small", "ab"[number % 2], False)
        record = MachineRecord("small", "ab"[number % 2], False, f"n{number % nodes}", "", w.now)
        puts.append({"put": f"s/machine/{name}", "v": msgspec.to_builtins(record)})
    arrays = machines * TASKS_PER_MACHINE_COUNT // ARRAY_TASK_COUNT
    for number in range(arrays + waiting):
        fields: dict[str, Any] = {"hands": ARRAY_TASK_COUNT} if number < arrays else {"hands": 2}
        spec = w.add_spec(
            job_submission(number, outfit="guests", vcpus=1.0, memoryGb=1.0, **fields)
        )
        puts.append({"put": f"s/job/{spec['nameId']}", "v": {"spec": spec, "at": w.now}})
    for start in range(0, len(puts), 10):
        w.state.commit({"if": [], "then": puts[start : start + 10]})
    w.run(0.5)
    for worker in w.workers.values():
        worker.task_run_s = 1e9
    begun = w.now
    while len(w.task_starts) < arrays * ARRAY_TASK_COUNT:
        if w.now - begun > 240:
            raise SystemExit(
                f"only {len(w.task_starts)} of {arrays * ARRAY_TASK_COUNT} tasks started"
            )
        w.run(1.0)
    w.run(6.0)
    return w


def measure_idle(machines: int, waiting: int = 0, seconds: float = 6.0) -> tuple[float, float]:
    """Milliseconds of owners' processor time a second and controller; microseconds a report."""
    w = build_world(machines, waiting)
    reports = [0]
    ask = w.request_controller

    def counted(node: str, method: str, path: str, *args: Any) -> None:
        reports[0] += path == "/hello"
        ask(node, method, path, *args)

    w.request_controller = counted  # type: ignore[method-assign]
    with owner_cpu_time() as spent:
        w.run(seconds)
    return 1000 * spent[0] / seconds / 3, 1e6 * spent[0] / max(1, reports[0])


def measure_memory_mb(machines: int, waiting: int) -> float:
    """Megabytes that machines, their tasks' jobs and waiting jobs take in a controller, by their
    records; what stands beside them, and placements, comes on top."""
    owner = Owner(controller_settings(0), Random(1), 0.0, 0.0)
    gc.collect()
    tracemalloc.start()
    stamp = 0
    for number in range(machines):
        stamp += 1
        record = MachineRecord("small", "a", False, f"n{number % 3}", "10.9.0.1:9", 0.0)
        owner.apply_event(Event(f"s/machine/vm-{number:06d}", record, stamp))
    for number in range(machines * TASKS_PER_MACHINE_COUNT // ARRAY_TASK_COUNT + waiting):
        stamp += 1
        spec = msgspec.convert(job_submission(number, outfit="guests", hands=ARRAY_TASK_COUNT), Job)
        owner.apply_event(Event(f"s/job/{spec.id}", JobRecord(spec, 0.0), stamp))
    gc.collect()
    grown = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return grown / 1e6


def _one(checkout: str, machines: int, waiting: int) -> list[str]:
    """The two figures for a size, from a process of its own, with the sources of a checkout."""
    env = {**os.environ, "PYTHONPATH": os.path.abspath(checkout), "LOG_LEVEL": "error"}
    done = subprocess.run(
        [sys.executable, os.path.abspath(__file__), "--one", str(machines), str(waiting)],
        env=env,
        cwd=checkout,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.split() if done.returncode == 0 else ["-", "-", done.stderr.strip()[-200:]]


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="bench.size", description=__doc__)
    parser.add_argument("--baseline", metavar="CHECKOUT", help="another version's checkout")
    parser.add_argument("--waiting", type=int, default=0, help="jobs that wait beside")
    parser.add_argument("machines", nargs="*", type=int, default=[600, 1800, 6000])
    args = parser.parse_args()
    print("machines  ms a second and controller  us a report  baseline's two")
    for machines in args.machines:
        mine = _one(".", machines, args.waiting)
        other = _one(args.baseline, machines, args.waiting) if args.baseline else []
        print(f"{machines:>8}  {mine[0]:>26}  {mine[1]:>11}  {' '.join(other)}", flush=True)
    print(
        "records of 6,000 machines and 10,000 waiting jobs:"
        f" {measure_memory_mb(6000, 10000):.0f} MB"
    )


if __name__ == "__main__":
    if sys.argv[1:2] == ["--one"]:
        print(*(f"{figure:.1f}" for figure in measure_idle(int(sys.argv[2]), int(sys.argv[3]))))
    else:
        main()

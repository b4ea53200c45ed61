"""Measures what machines cost a controller that gets only reports: CPU time and memory.

Three controllers run in the simulated world, with four running tasks on each machine and nothing to
be rented. Usage: python -m bench.size [--baseline CHECKOUT] [--waiting JOBS] [MACHINES...]
With a checkout of another version, each size is also measured with that version, in the same run.
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
    """A world that checks no rules, as that is most of its cost with thousands of machines."""

    def task_started(self, worker: FakeWorker, task: str) -> None:
        self.task_starts.append((self.now, task, worker.name))

    def check_rules(self) -> None:
        pass


def build_world(machines: int, waiting: int, nodes: int = 3) -> World:
    """Return a world with machines, their records, and endless tasks on all of them."""
    world = UncheckedWorld(node_count=nodes)
    world.checks_ledgers = False  # type: ignore[attr-defined]
    world.cloud.capacity = {"small": 0, "gpu": 0}
    world.state.page_size = 500
    world.run(3)
    puts: list[dict[str, Any]] = []
    for number in range(machines):
        name = world.cloud.start_machine("small", "ab"[number % 2], False)
        record = MachineRecord(
            "small", "ab"[number % 2], False, f"n{number % nodes}", "", world.now
        )
        puts.append({"put": f"s/machine/{name}", "v": msgspec.to_builtins(record)})
    arrays = machines * TASKS_PER_MACHINE_COUNT // ARRAY_TASK_COUNT
    for number in range(arrays + waiting):
        fields: dict[str, Any] = {"hands": ARRAY_TASK_COUNT} if number < arrays else {"hands": 2}
        spec = world.add_spec(
            job_submission(number, outfit="guests", vcpus=1.0, memoryGb=1.0, **fields)
        )
        puts.append({"put": f"s/job/{spec['nameId']}", "v": {"spec": spec, "at": world.now}})
    for start in range(0, len(puts), 10):
        world.state.commit({"if": [], "then": puts[start : start + 10]})
    world.run(0.5)
    for worker in world.workers.values():
        worker.task_run_s = 1e9
    started_at = world.now
    while len(world.task_starts) < arrays * ARRAY_TASK_COUNT:
        if world.now - started_at > 240:
            raise SystemExit(
                f"only {len(world.task_starts)} of {arrays * ARRAY_TASK_COUNT} tasks started"
            )
        world.run(1.0)
    world.run(6.0)
    return world


def measure_idle(machines: int, waiting: int = 0, seconds: float = 6.0) -> tuple[float, float]:
    """Return milliseconds of CPU time per second and controller, and microseconds per report."""
    world = build_world(machines, waiting)
    reports = [0]
    ask = world.request_controller

    def counted(node: str, method: str, path: str, *args: Any) -> None:
        reports[0] += path == "/hello"
        ask(node, method, path, *args)

    world.request_controller = counted  # type: ignore[method-assign]
    with owner_cpu_time() as cpu_time_s:
        world.run(seconds)
    return 1000 * cpu_time_s[0] / seconds / 3, 1e6 * cpu_time_s[0] / max(1, reports[0])


def measure_memory_mb(machines: int, waiting: int) -> float:
    """Return the megabytes that machines, their tasks' jobs and waiting jobs take in a controller.

    Only what their records bring is measured, without placements and other objects.
    """
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
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return allocated_bytes / 1e6


def _measure_in_subprocess(checkout: str, machines: int, waiting: int) -> list[str]:
    """Return the two figures of `measure_idle`, from a subprocess with a checkout's sources."""
    env = {**os.environ, "PYTHONPATH": os.path.abspath(checkout), "LOG_LEVEL": "error"}
    completed = subprocess.run(
        [sys.executable, os.path.abspath(__file__), "--one", str(machines), str(waiting)],
        env=env,
        cwd=checkout,
        capture_output=True,
        text=True,
        check=False,
    )
    return (
        completed.stdout.split()
        if completed.returncode == 0
        else ["-", "-", completed.stderr.strip()[-200:]]
    )


def main() -> None:
    """Measure each size and print the table."""
    parser = argparse.ArgumentParser(prog="bench.size", description=__doc__)
    parser.add_argument("--baseline", metavar="CHECKOUT", help="another version's checkout")
    parser.add_argument("--waiting", type=int, default=0, help="number of waiting jobs")
    parser.add_argument("machines", nargs="*", type=int, default=[600, 1800, 6000])
    args = parser.parse_args()
    print("machines    ms per s, per controller    us/report  baseline's two")
    for machines in args.machines:
        own_figures = _measure_in_subprocess(".", machines, args.waiting)
        baseline = (
            _measure_in_subprocess(args.baseline, machines, args.waiting) if args.baseline else []
        )
        print(
            f"{machines:>8}  {own_figures[0]:>26}  {own_figures[1]:>11}  {' '.join(baseline)}",
            flush=True,
        )
    print(
        "records of 6,000 machines and 10,000 waiting jobs:"
        f" {measure_memory_mb(6000, 10000):.0f} MB"
    )


if __name__ == "__main__":
    if sys.argv[1:2] == ["--one"]:
        print(*(f"{figure:.1f}" for figure in measure_idle(int(sys.argv[2]), int(sys.argv[3]))))
    else:
        main()

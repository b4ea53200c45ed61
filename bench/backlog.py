"""Measures what waiting jobs cost a controller: CPU time per second, and memory per job.

Jobs of two tasks wait for room on six machines, and no machine can be rented; three controllers
run in the simulated world. Usage: python -m bench.backlog [JOBS...]
"""

import gc
import sys
import tracemalloc
from random import Random
from typing import Any

import msgspec

from bench.timing import owner_cpu_time
from sagecove.coordination.owner import Owner
from sagecove.lab.deployment import controller_settings, job_submission
from sagecove.lab.world import World
from sagecove.storage.mirror import Event


def measure_waiting_jobs(count: int, seconds: float = 10.0) -> tuple[float, int]:
    """Return milliseconds of CPU time per second and controller, and the number of known jobs."""
    world = World(node_count=3)
    world.cloud.capacity = {"small": 6, "gpu": 0}
    for number in range(6):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(3)
    for worker in world.workers.values():
        worker.task_run_s = 4.0
    # Job records are written directly, as the submissions themselves are not measured.
    for number in range(count):
        spec = world.add_spec(_spec(number))
        put = {
            "put": f"s/job/{spec['nameId']}",
            "v": {"spec": spec, "at": world.now + number / 1e4},
        }
        world.state.commit({"if": [], "then": [put]})
    world.run(5)
    # Tasks end during the measurement, so that there is room from time to time.
    with owner_cpu_time() as cpu_time_s:
        world.run(seconds)
    return 1000 * cpu_time_s[0] / seconds / 3, len(world.owners["n0"].jobs)


def measure_bytes_per_job(count: int) -> float:
    """Return the bytes that a waiting job takes in a controller: its record in the mirror, its
    job and its queue entries, without the fakes."""
    owner = Owner(controller_settings(0), Random(1), 0.0, 0.0)
    bodies = [
        msgspec.json.encode({"spec": _spec(number), "at": number / 1e3}) for number in range(count)
    ]
    gc.collect()
    tracemalloc.start()
    for number, body in enumerate(bodies):
        key = f"s/job/run-{number:06d}"
        value = owner.parse(key, msgspec.json.decode(body))
        owner.apply_event(Event(key, value, number + 1))
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return allocated_bytes / count


def _spec(number: int) -> dict[str, Any]:
    return job_submission(
        number,
        hands=2,
        reckonS=4.0 + number % 7,
        bundle=f"img-{number % 5}",
        sizeGb=0.5,
        dueS=600.0 + number % 11,
    )


if __name__ == "__main__":
    print("jobs waiting  CPU ms per second and controller")
    for job_count in [int(text) for text in sys.argv[1:]] or [200, 1000, 4000, 10000]:
        cpu_ms, waiting = measure_waiting_jobs(job_count)
        print(f"{waiting:>12}  {cpu_ms:.1f}", flush=True)
    print(f"bytes per waiting job and controller: {measure_bytes_per_job(2000):.0f}")

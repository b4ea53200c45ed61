"""What waiting jobs cost a controller: processor time a second and memory a job.

Jobs of two tasks wait for room on six machines, no new ones to be had; the in-memory world, all
three controllers. Usage: python -m bench.backlog [JOBS...]
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
    """Milliseconds of processor time a second and controller, and how many jobs wait."""
    w = World(node_count=3)
    w.cloud.capacity = {"small": 6, "gpu": 0}
    for number in range(6):
        w.cloud.start_machine("small", "ab"[number % 2], False)
    w.run(3)
    for worker in w.workers.values():
        worker.task_run_s = 4.0
    # Written as accepted submissions are: a thousand users' patience is not what is measured.
    for number in range(count):
        spec = w.add_spec(_spec(number))
        put = {"put": f"s/job/{spec['nameId']}", "v": {"spec": spec, "at": w.now + number / 1e4}}
        w.state.commit({"if": [], "then": [put]})
    w.run(5)
    # Some tasks end all the time, so that there is room now and then.
    with owner_cpu_time() as spent:
        w.run(seconds)
    return 1000 * spent[0] / seconds / 3, len(w.owners["n0"].jobs)


def measure_bytes_per_job(count: int) -> float:
    """Bytes that a waiting job takes in a controller: its record in the mirror, its job, its
    places in the lines; the stand-ins are left out."""
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
    grown = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return grown / count


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
    print("jobs waiting  ms of processor a second and controller")
    for wanted in [int(text) for text in sys.argv[1:]] or [200, 1000, 4000, 10000]:
        cost, waiting = measure_waiting_jobs(wanted)
        print(f"{waiting:>12}  {cost:.1f}", flush=True)
    print(f"bytes a waiting job and controller: {measure_bytes_per_job(2000):.0f}")

"""Case 2: a job that failed on a faulty machine is never tried on a machine of another controller."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

from standins import NODES, CouldNotRun, run_case, submission  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FAULTY, HEALTHY = "vm-000001", "vm-000002"
SERVICE, JOB, LATER = 1, 2, (3, 4)
# The page's bound for a job that waits beside room.
WAITING_LIMIT_S = 90.0


def job(number, **fields):
    """Return a submission of the only team that is used."""
    return submission(number, outfit="platform-ops-00", sizeGb=0.06, **fields)


async def play(lab):
    first, second, third = NODES
    faulty, healthy = lab.workers[FAULTY], lab.workers[HEALTHY]
    # Both machines have reported under their tokens, so their controllers use them.
    await asyncio.sleep(0.7)
    # A small service keeps the healthy machine from being returned as idle.
    await lab.submit(second, job(SERVICE, shape="service", rank="production", vcpus=1.0, reckonS=0.0))
    await lab.until(lambda: lab.is_on("run-000001/0", HEALTHY), 20, "the service did not start")
    faulty.faulty = TROUBLE
    await lab.submit(first, job(JOB, reckonS=5.0))
    task = f"run-{JOB:06d}/0"
    if TROUBLE:
        await lab.until(lambda: lab.failures.get(task, 0) >= 3, 30, "the job did not fail")
        await asyncio.sleep(0.2)
    # Two more jobs fail there, so that the machine gets no more tasks and is returned.
    for number in LATER:
        await lab.submit(first, job(number, vcpus=0.5, reckonS=2.0))
    if TROUBLE:
        later = [f"run-{number:06d}/0" for number in LATER]
        await lab.until(
            lambda: all(lab.failures.get(t, 0) > 0 for t in later), 30, "no later job failed"
        )
        faulty.faulty = False
        lab.record(f"LAB     {FAULTY} fails no more tasks: the trouble is over")
    waiting_since = polled_at = time.monotonic()
    while (waited_s := time.monotonic() - waiting_since) <= WAITING_LIMIT_S:
        if HEALTHY not in lab.workers:
            raise CouldNotRun("the healthy machine was returned")
        if lab.on.get(task) or task in lab.done:
            return ""
        if healthy.free_cpus() < 2.0:
            waiting_since = time.monotonic()
        if time.monotonic() - polled_at > 5.0:
            polled_at = time.monotonic()
            await lab.ask(third, "GET", f"/api/jobs/run-{JOB:06d}", timeout_s=2.0)
        await asyncio.sleep(0.1)
    await lab.ask(third, "GET", f"/api/jobs/run-{JOB:06d}", timeout_s=2.0)
    lab.record(f"LAB     {healthy.free_cpus()} CPUs are free on {HEALTHY}, 2 are wanted")
    return f"run-{JOB:06d} has waited for {waited_s:.0f} s beside room on {HEALTHY}"


MACHINES = [(FAULTY, "regina-hall", NODES[0]), (HEALTHY, "regina-hall", NODES[1])]
sys.exit(run_case(FOLDER, "prairie-codeshare", MACHINES, play))

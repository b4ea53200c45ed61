"""Gangs and arrays wait for one another beside empty machines, and nothing runs any more."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import TROUBLE, Deployment, job, karakoram, play  # noqa: E402

WAIT_LIMIT_S = 90.0
# Ordinary machines up at the start, by zone; with the trouble there are no more.
UP = {"lahore-rack": 2, "islamabad-rack": 1}
# Ordinary machines that there may be, as in the site file.
MOST = {"lahore-rack": 8, "islamabad-rack": 7, "gilgit-rack": 7, "karachi-rack": 8}

GANG = {"shape": "ensemble", "rank": "urgent", "hands": 2, "vcpus": 3.0}
URGENT = {"rank": "urgent", "hands": 1, "vcpus": 4.0}
LOW = {"rank": "low", "hands": 1, "vcpus": 2.0, "outfit": "app-team"}
# Each job with its run time and the time until the next submission, in seconds.
HISTORY = [
    (GANG, 4.0, 0.1),
    (URGENT, 0.5, 0.1),
    (GANG, 0.5, 0.1),
    (URGENT, 4.0, 0.1),
    (URGENT, 0.5, 0.1),
    (GANG, 4.0, 0.5),
    (GANG, 4.0, 2.0),
    (LOW, 4.0, 0.1),
    (LOW, 4.0, 0.1),
    (LOW, 4.0, 0.1),
]


def make():
    names, zones, cluster, types = karakoram()
    counts = UP if TROUBLE else MOST
    capacity = {("chikor-box", zone, False): count for zone, count in counts.items()}
    deployment = Deployment(HERE, names, zones, cluster, types, capacity)
    # All three machines belong to one controller.
    deployment.first_node = 0
    return deployment


async def scenario(deployment):
    await deployment.start()
    await deployment.ready()
    await deployment.start_machines("chikor-box", UP)
    for number, (fields, run_s, pause_s) in enumerate(HISTORY, 1):
        spec = {"outfit": "infra-crew", "memoryGb": 2.0, "sizeGb": 0.0, "reckonS": run_s, **fields}
        await deployment.submit(job(number, **spec))
        await asyncio.sleep(pause_s)
    deployment.spawn(tell(deployment))
    waited_s = await deployment.watch_waiting("run-000008", WAIT_LIMIT_S, 114.0)
    if waited_s:
        deployment.broken(
            f"run-000008 was left waiting for {waited_s:.0f} s while machines that fit have room"
            f" and its team is under its limit; {unfinished(deployment)} of {len(HISTORY)} jobs are"
            " unfinished"
        )


def unfinished(deployment):
    tasks = {j: range(s["hands"]) for j, s in deployment.specs.items()}
    return sum(any(f"{j}/{i}" not in deployment.completed for i in r) for j, r in tasks.items())


async def tell(deployment):
    while True:
        free = [worker.free()[0] for worker in deployment.workers.values()]
        starts = sum(deployment.task_starts.values())
        deployment.note(
            f"unfinished jobs {unfinished(deployment)}, starts {starts}, free CPUs {free}"
        )
        await asyncio.sleep(5.0)


if __name__ == "__main__":
    play(make, scenario)

"""An array that may not use spot machines waits without end beside room on ordinary ones."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import TROUBLE, Deployment, job, karakoram, play  # noqa: E402

WAIT_LIMIT_S = 90.0
# The machines up at the start, by zone. With the trouble all but two of the nine are spot machines.
ORDINARY = {"lahore-rack": 1, "islamabad-rack": 1}
OTHERS = {"lahore-rack": 2, "islamabad-rack": 1, "gilgit-rack": 2, "karachi-rack": 2}
# Ordinary machines that there may be, as in the site file.
MOST = {"lahore-rack": 8, "islamabad-rack": 7, "gilgit-rack": 7, "karachi-rack": 8}


def make():
    names, zones, cluster, types = karakoram()
    capacity = {("chikor-box", zone, False): count for zone, count in MOST.items()}
    capacity.update({("chikor-box", zone, True): count for zone, count in OTHERS.items()})
    return Deployment(HERE, names, zones, cluster, types, capacity)


async def stream(deployment):
    work = {"hands": 7, "vcpus": 1.0, "memoryGb": 5.0, "borrowed": True, "reckonS": 12.0}
    for number in range(100, 110):
        deployment.spawn(deployment.submit(job(number, outfit="survey-team", **work)))
        await asyncio.sleep(13.0)


async def scenario(deployment):
    await deployment.start()
    await deployment.ready()
    await deployment.start_machines("chikor-box", ORDINARY)
    # A live service with a replica on each of the two: 1 CPU and 5 GB of 4 CPUs and 8 GB.
    service = job(
        *(1,),
        herd="tile-server",
        outfit="app-team",
        shape="service",
        rank="production",
        hands=2,
        vcpus=1.0,
        memoryGb=5.0,
        reckonS=0.0,
    )
    await deployment.replicas(service, 2)
    await deployment.start_machines("chikor-box", OTHERS, spot=TROUBLE)
    # A stream of work of another team that may use spot machines: a task at a time on each of the
    # seven others; its 5 GB don't fit beside the service.
    deployment.spawn(stream(deployment))
    await asyncio.sleep(2.0)
    # An array that may not use them. Each of the two ordinary machines has room for one task.
    await deployment.submit(job(3))
    waited_s = await deployment.watch_waiting("run-000003", WAIT_LIMIT_S, 114.0)
    if waited_s:
        deployment.broken(
            f"run-000003 was left waiting for {waited_s:.0f} s while machines that fit have room"
            " and its team is under its limit"
        )


if __name__ == "__main__":
    play(make, scenario)

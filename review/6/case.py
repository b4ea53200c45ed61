"""A gang that waits for whole machines keeps arrays of all teams from room that it can't use."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import TROUBLE, Deployment, job, karakoram, play  # noqa: E402

WAIT_LIMIT_S = 90.0
# Ordinary machines of the site file, by zone: those up at the start, and the most there may be.
UP = {"lahore-rack": 3, "islamabad-rack": 2, "gilgit-rack": 2, "karachi-rack": 2}
MOST = {"lahore-rack": 8, "islamabad-rack": 7, "gilgit-rack": 7, "karachi-rack": 8}


def make():
    names, zones, cluster, types = karakoram()
    return Deployment(HERE, names, zones, cluster, types, capacity(UP))


def capacity(counts):
    return {("chikor-box", zone, False): count for zone, count in counts.items()}


async def scenario(deployment):
    await deployment.start()
    await deployment.ready()
    await deployment.start_machines("chikor-box", UP)
    # A live service with a replica on each machine: 1 CPU and 5 GB of 4 CPUs and 8 GB.
    service = job(
        *(1,),
        herd="tile-server",
        outfit="app-team",
        shape="service",
        rank="production",
        hands=9,
        vcpus=1.0,
        memoryGb=5.0,
        reckonS=0.0,
    )
    await deployment.replicas(service, 9)
    # So that each of the nine has a replica, the cloud has had no more machines so far.
    deployment.cloud.capacity = capacity(MOST)
    if TROUBLE:
        # An urgent gang of whole machines. None is empty, and it may not preempt the service.
        gang = job(
            *(2,),
            herd="print-plates",
            outfit="survey-team",
            shape="ensemble",
            rank="urgent",
            hands=2,
            vcpus=4.0,
            memoryGb=6.0,
            reckonS=20.0,
        )
        await deployment.submit(gang)
        await asyncio.sleep(1.0)
    # An array of another team, with room for one of its tasks on each machine.
    await deployment.submit(job(3))
    waited_s = await deployment.watch_waiting("run-000003", WAIT_LIMIT_S, 114.0)
    if waited_s:
        deployment.broken(
            f"run-000003 was left waiting for {waited_s:.0f} s while machines that fit have room"
            " and its team is under its limit"
        )


if __name__ == "__main__":
    play(make, scenario)

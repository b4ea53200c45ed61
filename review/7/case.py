"""An array that is bound to one zone is accepted and never runs."""

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
    capacity = {("chikor-box", zone, False): count for zone, count in MOST.items()}
    return Deployment(HERE, names, zones, cluster, types, capacity)


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
    # 12 tasks of 2 CPUs; the team's limit is 32 CPUs, and it runs nothing else.
    array = job(2, outfit="infra-crew", hands=12, samePlace=TROUBLE)
    await deployment.submit(array)
    waited_s = await deployment.watch_waiting("run-000002", WAIT_LIMIT_S, 114.0)
    if waited_s:
        deployment.broken(
            f"run-000002 was left waiting for {waited_s:.0f} s while machines that fit have room"
            " and its team is under its limit (it uses nothing)"
        )


if __name__ == "__main__":
    play(make, scenario)

"""A gang of more than a thousand tasks is accepted and never runs."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import TROUBLE, Deployment, job, play, prairie  # noqa: E402

WAIT_LIMIT_S = 90.0
MACHINES = 9
TASKS = 1200 if TROUBLE else 900


def make():
    names, zones, cluster, types = prairie()
    capacity = {("bison-gpu", "regina-hall", False): MACHINES}
    return Deployment(HERE, names, zones, cluster, types, capacity)


async def scenario(deployment):
    await deployment.start()
    await deployment.ready()
    await deployment.start_machines("bison-gpu", {"regina-hall": MACHINES})
    # A service with a replica on each machine, so that no machine idles and is returned: 1 CPU and
    # 200 GB of 96 CPUs and 384 GB.
    service = job(
        *(2,),
        herd="query-frontends",
        outfit="platform-ops-01",
        shape="service",
        rank="production",
        hands=MACHINES,
        vcpus=1.0,
        memoryGb=200.0,
        reckonS=0.0,
    )
    await deployment.replicas(service, MACHINES)
    # 240 CPUs and 120 GB: three machines hold it, and one controller has at least three of nine.
    gang = job(
        *(1,),
        herd="ranker-train",
        outfit="platform-ops-00",
        shape="ensemble",
        rank="urgent",
        hands=TASKS,
        vcpus=0.2,
        memoryGb=0.1,
        reckonS=10.0,
    )
    await deployment.submit(gang)
    waited_s = await deployment.watch_waiting("run-000001", WAIT_LIMIT_S, 114.0)
    if waited_s:
        deployment.broken(
            f"run-000001 was left waiting for {waited_s:.0f} s while the machines have room"
            " for all its tasks three times over and its team is under its limit"
        )
        return
    # It has to run, not only to be launched.
    for _ in range(80):
        if await deployment.poll("run-000001") == "done":
            return
        await asyncio.sleep(1.0)
    deployment.note("the gang began and was not done in time")


if __name__ == "__main__":
    play(make, scenario)

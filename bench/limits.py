"""Measures the cost of keeping limits and guarantees, and how soon they are met.

Prints tables for several numbers of controllers, in the in-memory world with machines of 4 CPUs.

`limit`    a team at its limit of 160 CPUs for 25 s: transactions that change shares, those that
           failed, and the mean use
`uneven`   the same, with most machines held by one controller and with gangs
`long`     guests fill all machines with endless tasks; a team with a guarantee of 200 CPUs asks for
           40 of them, in tasks that never end
`exact`    one job fills that guarantee
`ten`      ten teams claim their guarantees in the same second
`lowered`  a limit of 160 becomes 80, and the controllers are restarted in turn
`pass`     milliseconds of owners' time per second and controller, with thirty teams

Usage: python -m bench.limits [--baseline CHECKOUT] [--nodes N ...] [SCENARIO ...]
With a checkout of another version, the same is measured there in the same run.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from bench.timing import owner_cpu_time
from sagecove.lab import deployment
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World

SHARE_KEY_PREFIXES = ("s/quota/", "s/limit/", "s/share/")


def team_settings(name: str, cpus: float, cpus_max: float) -> dict[str, Any]:
    """Return a team as in the settings."""
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0, "gpus_max": 0}


class LimitsWorld(World):
    """A world with given teams that counts changes and transactions of shares."""

    def __init__(self, nodes: int, teams: list[dict[str, Any]], machines: int) -> None:
        deployment.TEAMS[:] = teams
        super().__init__(node_count=nodes, seed=nodes, checks_ledgers=False)
        self.cloud.capacity = {"small": machines, "gpu": 0}
        self.state.page_size = 500
        self.share_transactions = self.failed_share_transactions = self.change_count = 0
        commit = self.state.commit

        def counted(body: dict[str, Any]) -> tuple[int, bytes]:
            status, answer = commit(body)
            keys = [change.get("put") or change.get("drop") for change in body["then"]]
            self.change_count += len(keys)
            if any(key.startswith(SHARE_KEY_PREFIXES) for key in keys):
                self.share_transactions += 1
                failed = json.loads(answer)["failed"] if status == 409 else []
                self.failed_share_transactions += any(
                    key.startswith(SHARE_KEY_PREFIXES) for key in failed
                )
            return status, answer

        self.state.commit = counted  # type: ignore[method-assign]
        self.run(3)
        for number in range(machines):
            self.cloud.start_machine("small", "ab"[number % 2], False)
        self.run(8)

    def cpus_used(self, name: str) -> float:
        """Return the CPUs that a team's tasks take on machines."""
        return sum(
            self.specs[task.split("/")[0]]["vcpus"]
            for worker in self.workers.values()
            for task in worker.live_tasks()
            if self.specs[task.split("/")[0]]["outfit"] == name
        )

    def submit_all(self, specs: list[dict[str, Any]]) -> None:
        """Submit jobs at the same moment, at different controllers."""
        for number, spec in enumerate(specs):
            node = f"n{number % self.node_count}"
            self.request_controller(
                node, "POST", "/api/jobs", self.add_spec(spec), lambda s, b: None
            )

    def fill_with_guest_tasks(self, machines: int) -> None:
        """Let endless tasks of guests take all machines."""
        for worker in self.workers.values():
            worker.task_run_s = None
        endless = {"outfit": "guests", "reckonS": 1e6, "hands": machines // 2}
        self.submit_all([job_submission(900000 + n, **endless) for n in range(6)])
        self.run_until(lambda: self.cpus_used("guests") >= 3.9 * machines, 90)
        self.run(10)

    def seconds_until_started(self, number: int, count: int, timeout_s: float) -> float:
        """Return the seconds until `count` tasks of a job have started."""
        begun_at = self.now
        name = f"run-{number:06d}/"
        while self.now - begun_at < timeout_s:
            self.run(0.1)
            if sum(task.startswith(name) for _, task, _ in self.task_starts) >= count:
                return self.now - begun_at
        return float("inf")


def measure_at_limit(nodes: int) -> dict[str, float]:
    """Measure a team at its limit."""
    world = LimitsWorld(nodes, [team_settings("red", 0, 160), team_settings("guests", 0, 0)], 60)
    world.submit_all([job_submission(n, hands=40) for n in range(60)])
    world.run(5)
    world.share_transactions = world.failed_share_transactions = world.change_count = 0
    samples = []
    for _ in range(100):
        world.run(0.25)
        samples.append(world.cpus_used("red"))
    return {
        "transactions": world.share_transactions,
        "lost": world.failed_share_transactions,
        "mean use of 160": sum(samples) / len(samples),
        "changes a second": world.change_count / 25,
    }


def measure_uneven_machines(nodes: int) -> dict[str, float]:
    """Measure a team with gangs at its limit; one controller has two thirds of the machines."""
    world = LimitsWorld(nodes, [team_settings("red", 0, 160), team_settings("guests", 0, 0)], 0)
    world.cloud.capacity = {"small": 60, "gpu": 0}
    for number in range(60):
        name = world.cloud.start_machine("small", "ab"[number % 2], False)
        shard = "n0" if number % 3 else f"n{number % nodes}"
        record = {
            "type": "small",
            "zone": "ab"[number % 2],
            "spot": False,
            "shard": shard,
            "at": world.now,
        }
        world.state.commit({"if": [], "then": [{"put": f"s/machine/{name}", "v": record}]})
    world.run(8)
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 12}
    world.submit_all([job_submission(n, hands=40) for n in range(30)])
    world.run(5)
    world.share_transactions = world.failed_share_transactions = world.change_count = 0
    samples, done_before = [], len(world.completed_tasks)
    for step in range(100):
        if step % 12 == 0:
            world.submit_all([job_submission(1000 + step, **gang)])
        world.run(0.25)
        samples.append(world.cpus_used("red"))
    return {
        "transactions": world.share_transactions,
        "lost": world.failed_share_transactions,
        "mean use of 160": sum(samples) / len(samples),
        "tasks done": len(world.completed_tasks) - done_before,
        "changes a second": world.change_count / 25,
    }


def measure_guarantee_with_endless_tasks(nodes: int) -> dict[str, float]:
    """Measure how soon a part of a guarantee is met with endless tasks."""
    world = LimitsWorld(nodes, [team_settings("red", 200, 240), team_settings("guests", 0, 0)], 60)
    world.fill_with_guest_tasks(60)
    world.submit_all([job_submission(1, hands=20, reckonS=1e6)])
    return {"all started after s": world.seconds_until_started(1, 20, 90)}


def measure_job_filling_guarantee(nodes: int) -> dict[str, float]:
    """Measure how soon one job that fills a guarantee starts."""
    world = LimitsWorld(nodes, [team_settings("red", 200, 240), team_settings("guests", 0, 0)], 60)
    world.fill_with_guest_tasks(60)
    for worker in world.workers.values():
        worker.task_run_s = 20.0
    world.submit_all([job_submission(1, hands=100, reckonS=20.0)])
    return {
        "first s": world.seconds_until_started(1, 1, 90),
        "last after the first s": world.seconds_until_started(1, 100, 90),
    }


def measure_simultaneous_guarantees(nodes: int) -> dict[str, float]:
    """Measure how soon ten guarantees are met at once, and at what cost."""
    teams = [team_settings(f"t{n}", 20, 60) for n in range(10)]
    world = LimitsWorld(nodes, [*teams, team_settings("guests", 0, 0)], 60)
    world.fill_with_guest_tasks(60)
    starts_before = len(world.task_starts)
    world.submit_all([job_submission(n, outfit=f"t{n}", hands=10, reckonS=1e6) for n in range(10)])
    begun_at = world.now
    while len(world.task_starts) < starts_before + 100 and world.now - begun_at < 90:
        world.run(0.1)
    duration_s = world.now - begun_at
    world.run(5)
    stopped = 120 - world.cpus_used("guests") / 2
    return {"all started after s": duration_s, "stopped for 100": stopped}


def measure_lowered_limit(nodes: int) -> dict[str, float]:
    """Measure how soon a lowered limit holds."""
    world = LimitsWorld(nodes, [team_settings("red", 0, 160), team_settings("guests", 0, 0)], 60)
    for worker in world.workers.values():
        worker.task_run_s = 500.0
    world.submit_all([job_submission(n, hands=40, reckonS=500.0) for n in range(8)])
    world.run(15)
    before = world.cpus_used("red")
    deployment.TEAMS[:] = [team_settings("red", 0, 80), team_settings("guests", 0, 0)]
    world.check_rules = lambda: None  # type: ignore[method-assign]
    begun_at, reached_s = world.now, float("inf")

    def run_and_observe(seconds: float) -> None:
        nonlocal reached_s
        for _ in range(int(seconds / 0.2)):
            world.run(0.2)
            if world.cpus_used("red") <= 80:
                reached_s = min(reached_s, world.now - begun_at)

    for name in world.controller_names():
        world.kill_node(name)
        run_and_observe(2)
        world.start_node(int(name[1:]))
        run_and_observe(8)
    run_and_observe(60)
    return {"before": before, "under 80 after s": reached_s, "at the end": world.cpus_used("red")}


def measure_pass_time(nodes: int) -> dict[str, float]:
    """Measure the owners' time with thirty teams."""
    teams = [team_settings(f"t{n:02d}", 4, 8) for n in range(30)]
    world = LimitsWorld(nodes, [*teams, team_settings("guests", 0, 0)], 60)
    world.submit_all([job_submission(n, outfit=f"t{n % 30:02d}", hands=20) for n in range(120)])
    world.run(5)
    world.share_transactions = world.failed_share_transactions = world.change_count = 0
    with owner_cpu_time() as seconds:
        world.run(15)
    return {
        "ms a second": 1000 * seconds[0] / 15 / nodes,
        "transactions": world.share_transactions,
        "lost": world.failed_share_transactions,
        "changes a second": world.change_count / 15,
        "started": len(world.task_starts),
    }


SCENARIOS = {
    "limit": measure_at_limit,
    "uneven": measure_uneven_machines,
    "long": measure_guarantee_with_endless_tasks,
    "exact": measure_job_filling_guarantee,
    "ten": measure_simultaneous_guarantees,
    "lowered": measure_lowered_limit,
    "pass": measure_pass_time,
}


def measure(scenario: str, nodes: int, checkout: str | None) -> dict[str, float]:
    """Run a scenario in its own process, with the sources of another checkout if one is given."""
    root = checkout or str(Path(__file__).parent.parent)
    args = [sys.executable, os.path.abspath(__file__), scenario, "--one", "--nodes", str(nodes)]
    env = {**os.environ, "PYTHONPATH": root}
    done = subprocess.run(args, env=env, cwd=root, capture_output=True, text=True, check=False)
    if done.returncode:
        return {"failed: " + done.stderr.strip().splitlines()[-1][:60]: 0.0}
    found: dict[str, float] = json.loads(done.stdout)
    return found


def main() -> None:
    """Run the scenarios of the command line and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", help="a checkout of another version")
    parser.add_argument("--nodes", type=int, nargs="+", default=[1, 3, 5, 9, 15])
    parser.add_argument("--one", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("scenarios", nargs="*", metavar="SCENARIO", default=list(SCENARIOS))
    args = parser.parse_args()
    if args.one:
        print(json.dumps(SCENARIOS[args.scenarios[0]](args.nodes[0])))
        return
    for scenario in args.scenarios:
        for nodes in args.nodes:
            for name, root in (("before", args.baseline), ("now", None)):
                if name == "now" or root is not None:
                    found = measure(scenario, nodes, os.path.abspath(root) if root else None)
                    text = ", ".join(f"{key} {value:.4g}" for key, value in found.items())
                    print(f"{scenario:8} {nodes:2} {name:6} {text}", flush=True)


if __name__ == "__main__":
    main()

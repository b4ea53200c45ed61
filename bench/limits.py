"""What keeping limits and guarantees costs and how soon it gives: tables for several controllers.

On the in-memory world, with machines of 4 CPUs. `limit`: a team at its limit of 160 CPUs for 25 s;
transactions that touch amounts, those that lost, and the mean use. `uneven`: the same with most
machines one controller's, and gangs. `long`: guests hold everything with endless tasks, a team asks
for 40 CPUs of its guarantee of 200, in tasks that never end. `exact`: one job fills that guarantee.
`ten`: ten teams claim theirs in the same second. `lowered`: a limit of 160 becomes 80, controllers
restarted in turn. `pass`: milliseconds of owners' time a second and controller with thirty teams.

Usage: python -m bench.limits [--baseline CHECKOUT] [--nodes N ...] [PLAY ...]
With a checkout of another version the same is measured there, in the same run.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from bench.timing import owners_time
from sagecove.lab import deployment
from sagecove.lab.deployment import job
from sagecove.lab.world import World

AMOUNTS = ("s/quota/", "s/limit/", "s/share/")


def team(name: str, cpus: float, most: float) -> dict[str, Any]:
    """A team of the settings."""
    return {"name": name, "cpus": cpus, "cpus_max": most, "gpus": 0, "gpus_max": 0}


class Play(World):
    """A world with teams of its own that counts what is written of amounts."""

    def __init__(self, nodes: int, teams: list[dict[str, Any]], machines: int) -> None:
        deployment.TEAMS[:] = teams
        super().__init__(nodes=nodes, seed=nodes, audit=False)
        self.cloud.capacity = {"small": machines, "gpu": 0}
        self.state.page = 500
        self.written = self.lost = self.changes = 0
        commit = self.state.commit

        def counted(body: dict[str, Any]) -> tuple[int, bytes]:
            status, answer = commit(body)
            keys = [change.get("put") or change.get("drop") for change in body["then"]]
            self.changes += len(keys)
            if any(key.startswith(AMOUNTS) for key in keys):
                self.written += 1
                failed = json.loads(answer)["failed"] if status == 409 else []
                self.lost += any(key.startswith(AMOUNTS) for key in failed)
            return status, answer

        self.state.commit = counted  # type: ignore[method-assign]
        self.run(3)
        for number in range(machines):
            self.cloud.start("small", "ab"[number % 2], False)
        self.run(8)

    def use(self, name: str) -> float:
        """CPUs that a team's tasks take on machines."""
        return sum(
            self.specs[task.split("/")[0]]["vcpus"]
            for worker in self.workers.values()
            for task in worker.live()
            if self.specs[task.split("/")[0]]["outfit"] == name
        )

    def ask_all(self, specs: list[dict[str, Any]]) -> None:
        """Submissions that come in the same moment, at all controllers."""
        for number, spec in enumerate(specs):
            node = f"n{number % self.nodes}"
            self.ask(node, "POST", "/api/jobs", self.spec(spec), lambda s, b: None)

    def fill(self, machines: int) -> None:
        """Guests take all there is, for good."""
        for worker in self.workers.values():
            worker.run_s = None
        endless = {"outfit": "guests", "reckonS": 1e6, "hands": machines // 2}
        self.ask_all([job(900000 + n, **endless) for n in range(6)])
        self.until(lambda: self.use("guests") >= 3.9 * machines, 90)
        self.run(10)

    def waits(self, number: int, count: int, most: float) -> float:
        """Seconds until so many tasks of a job have started."""
        begun = self.now
        name = f"run-{number:06d}/"
        while self.now - begun < most:
            self.run(0.1)
            if sum(task.startswith(name) for _, task, _ in self.starts) >= count:
                return self.now - begun
        return float("inf")


def limit(nodes: int) -> dict[str, float]:
    w = Play(nodes, [team("red", 0, 160), team("guests", 0, 0)], 60)
    w.ask_all([job(n, hands=40) for n in range(60)])
    w.run(5)
    w.written = w.lost = w.changes = 0
    uses = []
    for _ in range(100):
        w.run(0.25)
        uses.append(w.use("red"))
    return {
        "transactions": w.written,
        "lost": w.lost,
        "mean use of 160": sum(uses) / len(uses),
        "changes a second": w.changes / 25,
    }


def uneven(nodes: int) -> dict[str, float]:
    """Two thirds of the machines are one controller's, and jobs of three shapes come and go."""
    w = Play(nodes, [team("red", 0, 160), team("guests", 0, 0)], 0)
    w.cloud.capacity = {"small": 60, "gpu": 0}
    for number in range(60):
        name = w.cloud.start("small", "ab"[number % 2], False)
        shard = "n0" if number % 3 else f"n{number % nodes}"
        record = {
            "type": "small",
            "zone": "ab"[number % 2],
            "spot": False,
            "shard": shard,
            "at": w.now,
        }
        w.state.commit({"if": [], "then": [{"put": f"s/machine/{name}", "v": record}]})
    w.run(8)
    gang = {"shape": "ensemble", "rank": "urgent", "hands": 12}
    w.ask_all([job(n, hands=40) for n in range(30)])
    w.run(5)
    w.written = w.lost = w.changes = 0
    uses, done = [], len(w.completed)
    for step in range(100):
        if step % 12 == 0:
            w.ask_all([job(1000 + step, **gang)])
        w.run(0.25)
        uses.append(w.use("red"))
    return {
        "transactions": w.written,
        "lost": w.lost,
        "mean use of 160": sum(uses) / len(uses),
        "tasks done": len(w.completed) - done,
        "changes a second": w.changes / 25,
    }


def long(nodes: int) -> dict[str, float]:
    w = Play(nodes, [team("red", 200, 240), team("guests", 0, 0)], 60)
    w.fill(60)
    w.ask_all([job(1, hands=20, reckonS=1e6)])
    return {"all started after s": w.waits(1, 20, 90)}


def exact(nodes: int) -> dict[str, float]:
    w = Play(nodes, [team("red", 200, 240), team("guests", 0, 0)], 60)
    w.fill(60)
    for worker in w.workers.values():
        worker.run_s = 20.0
    w.ask_all([job(1, hands=100, reckonS=20.0)])
    return {"first s": w.waits(1, 1, 90), "last after the first s": w.waits(1, 100, 90)}


def ten(nodes: int) -> dict[str, float]:
    teams = [team(f"t{n}", 20, 60) for n in range(10)]
    w = Play(nodes, [*teams, team("guests", 0, 0)], 60)
    w.fill(60)
    starts = len(w.starts)
    w.ask_all([job(n, outfit=f"t{n}", hands=10, reckonS=1e6) for n in range(10)])
    begun = w.now
    while len(w.starts) < starts + 100 and w.now - begun < 90:
        w.run(0.1)
    took = w.now - begun
    w.run(5)
    stopped = 120 - w.use("guests") / 2
    return {"all started after s": took, "stopped for 100": stopped}


def lowered(nodes: int) -> dict[str, float]:
    w = Play(nodes, [team("red", 0, 160), team("guests", 0, 0)], 60)
    for worker in w.workers.values():
        worker.run_s = 500.0
    w.ask_all([job(n, hands=40, reckonS=500.0) for n in range(8)])
    w.run(15)
    before = w.use("red")
    deployment.TEAMS[:] = [team("red", 0, 80), team("guests", 0, 0)]
    w.check = lambda: None  # type: ignore[method-assign]
    begun, reached = w.now, float("inf")

    def pass_by(seconds: float) -> None:
        nonlocal reached
        for _ in range(int(seconds / 0.2)):
            w.run(0.2)
            if w.use("red") <= 80:
                reached = min(reached, w.now - begun)

    for name in w.controllers():
        w.kill(name)
        pass_by(2)
        w.boot_node(int(name[1:]))
        pass_by(8)
    pass_by(60)
    return {"before": before, "under 80 after s": reached, "at the end": w.use("red")}


def thirty(nodes: int) -> dict[str, float]:
    teams = [team(f"t{n:02d}", 4, 8) for n in range(30)]
    w = Play(nodes, [*teams, team("guests", 0, 0)], 60)
    w.ask_all([job(n, outfit=f"t{n % 30:02d}", hands=20) for n in range(120)])
    w.run(5)
    w.written = w.lost = w.changes = 0
    with owners_time() as spent:
        w.run(15)
    return {
        "ms a second": 1000 * spent[0] / 15 / nodes,
        "transactions": w.written,
        "lost": w.lost,
        "changes a second": w.changes / 15,
        "started": len(w.starts),
    }


PLAYS = {
    "limit": limit,
    "uneven": uneven,
    "long": long,
    "exact": exact,
    "ten": ten,
    "lowered": lowered,
    "pass": thirty,
}


def measure(play: str, nodes: int, checkout: str | None) -> dict[str, float]:
    """One play, in a process of its own: with the sources of another checkout, if one is given."""
    root = checkout or str(Path(__file__).parent.parent)
    args = [sys.executable, os.path.abspath(__file__), play, "--one", "--nodes", str(nodes)]
    env = {**os.environ, "PYTHONPATH": root}
    done = subprocess.run(args, env=env, cwd=root, capture_output=True, text=True, check=False)
    if done.returncode:
        return {"failed: " + done.stderr.strip().splitlines()[-1][:60]: 0.0}
    found: dict[str, float] = json.loads(done.stdout)
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", help="a checkout of another version")
    parser.add_argument("--nodes", type=int, nargs="+", default=[1, 3, 5, 9, 15])
    parser.add_argument("--one", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("plays", nargs="*", metavar="PLAY", default=list(PLAYS))
    args = parser.parse_args()
    if args.one:
        print(json.dumps(PLAYS[args.plays[0]](args.nodes[0])))
        return
    for play in args.plays:
        for nodes in args.nodes:
            for name, root in (("before", args.baseline), ("now", None)):
                if name == "now" or root is not None:
                    found = measure(play, nodes, os.path.abspath(root) if root else None)
                    text = ", ".join(f"{key} {value:.4g}" for key, value in found.items())
                    print(f"{play:8} {nodes:2} {name:6} {text}", flush=True)


if __name__ == "__main__":
    main()

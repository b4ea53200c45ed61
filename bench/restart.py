"""Measures the recovery from a simultaneous crash of all controllers, in simulated seconds.

Five controllers run in the simulated world, with four tasks on each machine and waiting jobs; all
end at once and restart three seconds later. Usage: python -m bench.restart [MACHINES [WAITING]]
"""

import sys
from collections.abc import Callable
from typing import Any

from bench.size import build_world
from sagecove.lab.world import World

CONTROLLER_RESTART_S = 3.0


def crash_all_controllers(world: World) -> None:
    """End all controllers and start them again after `CONTROLLER_RESTART_S`."""
    names = world.controller_names()
    for name in names:
        world.kill_node(name)
    world.run(CONTROLLER_RESTART_S)
    for name in names:
        world.start_node(int(name[1:]))


def recovery_timeline(world: World, timeout_s: float) -> list[tuple[str, float, float]]:
    """Return each phase with the times at which the first and the last controller reached it.

    Times are seconds from the start of the processes, infinite if longer than `timeout_s`.
    """
    started_at, starts = world.now, len(world.task_starts)

    def share_known(name: str, share: float) -> bool:
        machines = world.owners[name].machines_by_shard.get(name, {}).values()
        return bool(machines) and sum(m.tasks_known for m in machines) >= share * len(machines)

    phases: dict[str, Callable[[str], bool]] = {
        "loaded": lambda n: world.owners[n].mirror.loaded,
        "term": lambda n: n in world.owners[n].held_shards,
        "ready": lambda n: world.owners[n].router.is_ready(),
        "half of its machines back": lambda n: share_known(n, 0.5),
        "nine in ten back": lambda n: share_known(n, 0.9),
        "all back": lambda n: share_known(n, 1.0),
    }
    reached_at: dict[str, dict[str, float]] = {phase: {} for phase in phases}
    first_start = float("inf")
    while world.now - started_at < timeout_s:
        world.run(0.1)
        for phase, reached in phases.items():
            for name in world.owners:
                if name not in reached_at[phase] and reached(name):
                    reached_at[phase][name] = world.now - started_at
        if len(world.task_starts) > starts:
            first_start = min(first_start, world.now - started_at)
        if len(reached_at["all back"]) == len(world.owners):
            break
    rows = []
    for phase, times in reached_at.items():
        last = max(times.values()) if len(times) == len(world.owners) else float("inf")
        rows.append((phase, min(times.values(), default=float("inf")), last))
    rows.append(("first task started again", first_start, first_start))
    return rows


def main() -> None:
    """Crash all controllers and print the timeline of the recovery."""
    machines = int(sys.argv[1]) if len(sys.argv) > 1 else 600
    waiting = int(sys.argv[2]) if len(sys.argv) > 2 else machines // 2
    world = build_world(machines, waiting, nodes=5)
    crash_all_controllers(world)
    request_count = [0]
    request = world.state.handle_request

    def counting_request(*args: Any) -> None:
        request_count[0] += 1
        request(*args)

    world.state.handle_request = counting_request  # type: ignore[method-assign]
    ledger_before = world.state.ledger
    print(f"{machines} machines, {waiting} waiting jobs: seconds after the processes start")
    for phase, first, last in recovery_timeline(world, 60.0):
        print(f"{phase:<28} first {first:6.1f}  last {last:6.1f}", flush=True)
    print(
        f"requests to the state service {request_count[0]},"
        f" transactions {world.state.ledger - ledger_before}"
    )


if __name__ == "__main__":
    main()

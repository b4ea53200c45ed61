"""What follows when all controllers crash together: a timeline, in simulated seconds.

Five controllers on the in-memory world, four tasks on each machine and jobs that wait; all of them
end at once and are back three seconds later. Usage: python -m bench.restart [MACHINES [WAITING]]
"""

import sys
from collections.abc import Callable
from typing import Any

from bench.size import build_world
from sagecove.lab.world import World

CONTROLLER_RESTART_S = 3.0


def crash_all_controllers(w: World) -> None:
    """All controllers end, and are started again."""
    names = w.controller_names()
    for name in names:
        w.kill_node(name)
    w.run(CONTROLLER_RESTART_S)
    for name in names:
        w.start_node(int(name[1:]))


def recovery_timeline(w: World, most: float) -> list[tuple[str, float, float]]:
    """Phases: when the first controller, and when the last, had got there; seconds from the start
    of the processes, infinite if it took longer than `most`."""
    begun, starts = w.now, len(w.task_starts)

    def known(name: str, share: float) -> bool:
        machines = w.owners[name].machines_by_shard.get(name, {}).values()
        return bool(machines) and sum(m.tasks_known for m in machines) >= share * len(machines)

    phases: dict[str, Callable[[str], bool]] = {
        "loaded": lambda n: w.owners[n].mirror.loaded,
        "term": lambda n: n in w.owners[n].held_shards,
        "ready": lambda n: w.owners[n].router.is_ready(),
        "half of its machines back": lambda n: known(n, 0.5),
        "nine in ten back": lambda n: known(n, 0.9),
        "all back": lambda n: known(n, 1.0),
    }
    found: dict[str, dict[str, float]] = {phase: {} for phase in phases}
    first_start = float("inf")
    while w.now - begun < most:
        w.run(0.1)
        for phase, there in phases.items():
            for name in w.owners:
                if name not in found[phase] and there(name):
                    found[phase][name] = w.now - begun
        if len(w.task_starts) > starts:
            first_start = min(first_start, w.now - begun)
        if len(found["all back"]) == len(w.owners):
            break
    out = []
    for phase, when in found.items():
        last = max(when.values()) if len(when) == len(w.owners) else float("inf")
        out.append((phase, min(when.values(), default=float("inf")), last))
    out.append(("first task started again", first_start, first_start))
    return out


def main() -> None:
    """Print the timeline."""
    machines = int(sys.argv[1]) if len(sys.argv) > 1 else 600
    waiting = int(sys.argv[2]) if len(sys.argv) > 2 else machines // 2
    w = build_world(machines, waiting, nodes=5)
    crash_all_controllers(w)
    asked = [0]
    request = w.state.handle_request

    def counted(*args: Any) -> None:
        asked[0] += 1
        request(*args)

    w.state.handle_request = counted  # type: ignore[method-assign]
    writes = w.state.ledger
    print(f"{machines} machines, {waiting} waiting jobs: seconds after the processes start")
    for phase, first, last in recovery_timeline(w, 60.0):
        print(f"{phase:<28} first {first:6.1f}  last {last:6.1f}", flush=True)
    print(f"requests to the state service {asked[0]}, transactions {w.state.ledger - writes}")


if __name__ == "__main__":
    main()

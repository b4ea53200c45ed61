"""Measures what answering users costs: requests to the state service and processor time.

Usage: python -m bench.answer_cost

Plays, on a simulated clock, four one-task jobs a second for two minutes at three controllers, once
with each job submitted once and once with each submission repeated five times at the same moment.
Prints, for each, requests to the state service a second and processor time of the controllers.
"""

import dataclasses
import time
from collections import Counter
from typing import Any

from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World

PLAYED_S = 120.0
JOBS_PER_S = 4
MACHINE_COUNT = 12
TASK_RUN_S = 2.0


@dataclasses.dataclass(frozen=True)
class Cost:
    """Requests to the state service a second, by kind, and what the controllers took."""

    reads_per_s: float
    transactions_per_s: float
    processor_ms_per_s: float
    answers: int


def measure(repeats: int) -> Cost:
    """Play with each submission sent `repeats` times at once, and return the cost."""
    world = World(seed=3, checks_ledgers=False)
    world.cloud.capacity = {"small": MACHINE_COUNT, "gpu": 0}
    for number in range(MACHINE_COUNT):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(6)
    for worker in world.workers.values():
        worker.task_run_s = TASK_RUN_S
    requests: Counter[str] = Counter()
    handle_request = world.state.handle_request

    def count_request(node: str, method: str, path: str, body: Any, answer: Any) -> None:
        waits = path.startswith("/watch") and not path.endswith("blockMs=0")
        requests["watch" if waits else "transaction" if path == "/commit" else "read"] += 1
        handle_request(node, method, path, body, answer)

    world.state.handle_request = count_request  # type: ignore[method-assign]
    processor_s = 0.0
    step_node = world.step_node

    def timed_step(name: str) -> None:
        nonlocal processor_s
        started_at = time.process_time()
        step_node(name)
        processor_s += time.process_time() - started_at

    world.step_node = timed_step  # type: ignore[method-assign]
    for number in range(int(PLAYED_S * JOBS_PER_S)):
        spec = world.add_spec(job_submission(number + 1, hands=1, vcpus=1.0, outfit="blue"))
        for _ in range(repeats):
            world.start_user_request(f"n{number % 3}", "POST", "/api/jobs", spec)
        world.run(1 / JOBS_PER_S)
    accepted = len(world.reported_states)
    assert accepted >= PLAYED_S * JOBS_PER_S * 0.9, f"only {accepted} jobs were accepted"
    return Cost(
        requests["read"] / PLAYED_S,
        requests["transaction"] / PLAYED_S,
        1000 * processor_s / PLAYED_S,
        accepted,
    )


def main() -> None:
    """Measure with and without repeated submissions."""
    for repeats in (1, 5):
        cost = measure(repeats)
        print(
            f"submitted {repeats} times: {cost.reads_per_s:.1f} reads a second, "
            f"{cost.transactions_per_s:.1f} transactions a second, "
            f"{cost.processor_ms_per_s:.1f} ms of processor time a second, {cost.answers} accepted",
            flush=True,
        )


if __name__ == "__main__":
    main()

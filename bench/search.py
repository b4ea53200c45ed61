"""A long search for histories of sweeps that break a rule or lose a point: the machine of
tests/test_sweep_machine.py with new seeds.

Usage: python -m bench.search [EXAMPLES [STEPS [shrink]]]

A find is printed as the history that shows it (with `shrink`, the shortest); it becomes a story.
"""

import sys

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.test_sweep_machine import SweepStateMachine


def main() -> None:
    """Search, and say how far."""
    examples = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    steps = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    search = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        # Shrinking takes longer than the search; a third argument asks for it.
        phases=[Phase.generate, *([Phase.shrink] if len(sys.argv) > 3 else [])],
    )
    run_state_machine_as_test(SweepStateMachine, settings=search)  # type: ignore[no-untyped-call]
    print(f"{examples} histories of up to {steps} steps: nothing found")


if __name__ == "__main__":
    main()

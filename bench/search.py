"""Searches long for histories of sweeps that break a rule or lose a point.

Runs the state machine of tests/test_sweep_machine.py with new seeds.
Usage: python -m bench.search [EXAMPLES [STEPS [shrink]]]

A failing history is printed (with `shrink`, the shortest one found) and should become a test.
"""

import sys

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.test_sweep_machine import SweepStateMachine


def main() -> None:
    """Run the search and print how many histories passed."""
    examples = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    steps = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    search_settings = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        # Shrinking takes longer than the search, so it is done only if a third argument is given.
        phases=[Phase.generate, *([Phase.shrink] if len(sys.argv) > 3 else [])],
    )
    run_state_machine_as_test(SweepStateMachine, settings=search_settings)  # type: ignore[no-untyped-call]
    print(f"{examples} histories of up to {steps} steps: no failure found")


if __name__ == "__main__":
    main()

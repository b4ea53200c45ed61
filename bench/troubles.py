"""Searches long for faults that break a rule: `python -m bench.troubles FIRST LAST [EXAMPLES]`.

Runs the state machine of tests/test_trouble_machine.py with the seeds FIRST to LAST and EXAMPLES
histories for each (default 100), with three controllers for odd seeds and five for even ones.
Prints a line for each seed; a failure is printed as the shortest history found.
"""

import sys
import time

from hypothesis import HealthCheck, Phase, seed
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import run_state_machine_as_test

from tests.test_trouble_machine import OfFive, Troubled


def main(first: int, last: int, examples: int = 100) -> int:
    """Run the seeds and return the number of those with a history that breaks a rule."""
    failed_seed_count = 0
    for number in range(first, last + 1):
        started_at = time.perf_counter()
        search_settings = hypothesis_settings(
            max_examples=examples,
            stateful_step_count=24,
            deadline=None,
            database=None,
            print_blob=False,
            suppress_health_check=list(HealthCheck),
            phases=(Phase.generate, Phase.shrink),
        )
        try:
            machine = Troubled if number % 2 else OfFive
            run_state_machine_as_test(seed(number)(machine), settings=search_settings)
        except Exception as error:
            failed_seed_count += 1
            print(f"seed {number}: {type(error).__name__}: {error}", *error.__notes__, sep="\n")
        else:
            elapsed_s = time.perf_counter() - started_at
            print(
                f"seed {number}: {examples} histories, no rule broken, {elapsed_s:.0f} s",
                flush=True,
            )
    return failed_seed_count


if __name__ == "__main__":
    sys.exit(min(1, main(*map(int, sys.argv[1:]))))

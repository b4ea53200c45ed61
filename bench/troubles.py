"""A long search with the machine of troubles: `python -m bench.troubles FIRST LAST [EXAMPLES]`.

Plays the histories of tests/test_trouble_machine.py with the seeds FIRST to LAST, EXAMPLES of each
(100), of three controllers with odd seeds and of five with even ones, and prints a line for each
seed; what breaks a rule is printed as its shortest history found.
"""

import sys
import time

from hypothesis import HealthCheck, Phase, seed
from hypothesis import settings as how
from hypothesis.stateful import run_state_machine_as_test

from tests.test_trouble_machine import OfFive, Troubled


def main(first: int, last: int, examples: int = 100) -> int:
    """The number of seeds with a history that breaks a rule."""
    broken = 0
    for number in range(first, last + 1):
        begun = time.perf_counter()
        told = how(
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
            run_state_machine_as_test(seed(number)(machine), settings=told)
        except Exception as error:
            broken += 1
            print(f"seed {number}: {type(error).__name__}: {error}", *error.__notes__, sep="\n")
        else:
            took = time.perf_counter() - begun
            print(f"seed {number}: {examples} histories, no rule broken, {took:.0f} s", flush=True)
    return broken


if __name__ == "__main__":
    sys.exit(min(1, main(*map(int, sys.argv[1:]))))

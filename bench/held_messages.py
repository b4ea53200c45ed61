"""Searches long for single late messages that break a rule.

Usage: python -m bench.held_messages FIRST LAST

Plays the histories of tests/test_held_messages.py with the seeds FIRST to LAST, for odd seeds with
gangs whose tasks take most of a machine. Prints a line for each seed with a failure.
"""

import sys

from tests.test_held_messages import HeldMessages


def main(first: int, last: int) -> int:
    """Play the seeds and return the number of those that failed."""
    failed_seed_count = 0
    for seed in range(first, last + 1):
        history = HeldMessages(seed, large_gangs=seed % 2 == 1)
        try:
            history.play()
        except AssertionError as error:
            failed_seed_count += 1
            repeated = history.world.repeated_attempts
            print(f"seed {seed}: {type(error).__name__}: {error} {repeated}", flush=True)
    print(f"seeds {first} to {last}: {failed_seed_count} failed")
    return failed_seed_count


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]))))

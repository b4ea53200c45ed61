"""Searches long for late rentals and deletions that break a rule or leave something unknown.

Usage: python -m bench.late_cloud FIRST LAST

Plays the histories of tests/test_late_cloud.py with the seeds FIRST to LAST, with each other fault.
Prints a line for each history with a failure, and a line for each kind.
"""

import sys

from tests.test_copied_messages import OtherFault
from tests.test_late_cloud import LateCloud


def main(first: int, last: int) -> int:
    """Play all kinds of histories and return the number of those that failed."""
    failed_count = 0
    for other_fault in OtherFault:
        failed_seeds = []
        for seed in range(first, last + 1):
            try:
                LateCloud(seed, other_fault).play()
            except AssertionError as error:
                failed_seeds.append(seed)
                print(f"{other_fault.name} seed {seed}: {type(error).__name__}: {error}")
        print(f"{other_fault.name}, seeds {first} to {last}: failed {failed_seeds}", flush=True)
        failed_count += len(failed_seeds)
    return failed_count


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]))))

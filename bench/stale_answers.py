"""Searches long for answers to users that are older than their requests.

Usage: python -m bench.stale_answers FIRST LAST

Plays the histories of tests/test_stale_answers.py with the seeds FIRST to LAST, of jobs and of
sweeps, with each combination of faults, and of both with no answer late. Prints a line for each
history with a failure, and a line for each kind.
"""

import sys
from typing import Any

from tests.test_stale_answers import Fault, StaleAnswers

ALL_FAULTS = Fault.UNANSWERED | Fault.CONTROLLERS_END | Fault.OUTAGES


def play_kind(name: str, first: int, last: int, **options: Any) -> int:
    """Play the histories of one kind and return the number of those that failed."""
    failed_seeds = []
    request_count = 0
    for seed in range(first, last + 1):
        history = StaleAnswers(seed, **options)
        try:
            history.play()
        except Exception as error:
            failed_seeds.append(seed)
            print(f"{name} seed {seed}: {type(error).__name__}: {error}")
        request_count += history.request_count
    print(
        f"{name}, seeds {first} to {last}, {request_count} requests: failed {failed_seeds}",
        flush=True,
    )
    return len(failed_seeds)


def main(first: int, last: int) -> int:
    """Play all kinds of histories and return the number of those that failed."""
    failed_count = 0
    for sweeps in (False, True):
        subject = "sweeps" if sweeps else "jobs"
        failed_count += play_kind(
            f"{subject}, nothing late", first, last, sweeps=sweeps, late=False
        )
        for value in range(ALL_FAULTS.value + 1):
            faults = Fault(value)
            name = f"{subject}, late answers, {faults.name or 'nothing else'}"
            failed_count += play_kind(name, first, last, sweeps=sweeps, faults=faults)
    return failed_count


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]))))

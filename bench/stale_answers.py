"""Searches long for answers to users that are older than their requests.

Usage: python -m bench.stale_answers FIRST LAST [KIND]

Plays the histories of tests/test_stale_answers.py with the seeds FIRST to LAST, of jobs and of
sweeps, with each combination of faults, and of both with no answer late. Prints a line for each
history with a failure, and a line for each kind. With a third argument only kinds whose names
contain it are played.
"""

import sys
from typing import Any

from tests.test_stale_answers import Fault, StaleAnswers


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


def kinds() -> dict[str, dict[str, Any]]:
    """Return the options of each kind of history, by name."""
    found: dict[str, dict[str, Any]] = {}
    combinations = [Fault(value) for value in range(2 ** len(Fault))]
    for sweeps in (False, True):
        subject = "sweeps" if sweeps else "jobs"
        found[f"{subject}, nothing late"] = {"sweeps": sweeps, "late": False}
        for faults in combinations:
            name = f"{subject}, late answers, {faults.name or Fault.NONE.name}"
            found[name] = {"sweeps": sweeps, "faults": faults}
    return found


def main(first: int, last: int, kind: str = "") -> int:
    """Play the kinds of histories and return the number of those that failed."""
    return sum(
        play_kind(name, first, last, **options) for name, options in kinds().items() if kind in name
    )


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:])))

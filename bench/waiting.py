"""Searches long for jobs that wait beside room, or work that stalls, most without any fault.

Usage: python -m bench.waiting FIRST LAST [KIND]

Plays the histories of sagecove/lab/waiting_histories.py with the seeds FIRST to LAST, of each kind
or of one (its name in `HistoryKind`). Prints a line for each history that breaks a rule, and one
for each kind.
"""

import sys

from sagecove.lab.waiting_histories import HistoryKind, WaitingHistory


def play_kind(kind: HistoryKind, first: int, last: int) -> int:
    """Play the seeds of one kind; return the number of histories that broke a rule."""
    broken_count = 0
    for seed in range(first, last + 1):
        try:
            WaitingHistory(kind, seed).play()
        except AssertionError as error:
            broken_count += 1
            print(f"{kind.name} seed {seed}: {type(error).__name__}: {error}", flush=True)
    print(f"{kind.name}, seeds {first} to {last}: {broken_count} broken", flush=True)
    return broken_count


def main(arguments: list[str]) -> int:
    """Play the kinds and return the number of histories that broke a rule."""
    kinds = [HistoryKind[arguments[2]]] if len(arguments) > 2 else list(HistoryKind)
    return sum(play_kind(kind, int(arguments[0]), int(arguments[1])) for kind in kinds)


if __name__ == "__main__":
    sys.exit(min(1, main(sys.argv[1:])))

"""Searches long for copies of requests that break a rule.

Usage: python -m bench.copied_messages FIRST LAST

Plays the histories of tests/test_copied_messages.py with the seeds FIRST to LAST, for each kind of
copied requests and each other fault. Prints a line for each history with a failure, and a line for
each kind.
"""

import sys

from tests.test_copied_messages import CopiedMessages, CopiedRequests, OtherFault


def play_kind(first: int, last: int, copied: CopiedRequests, other_fault: OtherFault) -> int:
    """Play one kind of histories and return the number of those that failed."""
    failed_count = 0
    for seed in range(first, last + 1):
        history = CopiedMessages(seed, copied, other_fault)
        try:
            history.play()
        except AssertionError as error:
            failed_count += 1
            print(
                f"{copied.name} {other_fault.name} seed {seed}: {type(error).__name__}: {error}",
                flush=True,
            )
    print(
        f"{copied.name}, {other_fault.name}, seeds {first} to {last}: {failed_count} failed",
        flush=True,
    )
    return failed_count


def main(first: int, last: int) -> int:
    """Play all kinds of histories and return the number of those that failed."""
    return sum(
        play_kind(first, last, copied, other_fault)
        for copied in CopiedRequests
        for other_fault in OtherFault
    )


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]))))

"""Searches long for cancelled tasks that survive controllers which end within seconds.

Plays the histories of tests/test_ending_controllers.py. Prints a line for each seed with a failure,
and counts of what was played.
"""

import argparse
import sys

from tests.test_ending_controllers import EndingControllers


def main(first: int, last: int, controllers_end: bool = True, hold_messages: bool = False) -> int:
    """Play the seeds and return the number of those that failed."""
    failed_seed_count = job_count = cancelled_count = start_count = 0
    for seed in range(first, last + 1):
        history = EndingControllers(seed, controllers_end, hold_messages)
        try:
            history.play()
        except AssertionError as error:
            failed_seed_count += 1
            print(f"seed {seed}: {type(error).__name__}: {error}", flush=True)
        job_count += history.job_count
        cancelled_count += len(history.world.cancelled_at)
        start_count += len(history.world.task_starts)
    print(
        f"seeds {first} to {last}: {failed_seed_count} failed; {job_count} jobs,"
        f" {cancelled_count} cancelled, {start_count} task starts"
    )
    return failed_seed_count


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="python -m bench.ending_controllers", description=__doc__)
    parser.add_argument("first", type=int, help="first seed")
    parser.add_argument("last", type=int, help="last seed")
    parser.add_argument("--none-end", action="store_true", help="no controller ends")
    parser.add_argument("--hold-messages", action="store_true", help="single messages are held up")
    arguments = parser.parse_args()
    failed = main(arguments.first, arguments.last, not arguments.none_end, arguments.hold_messages)
    sys.exit(min(1, failed))

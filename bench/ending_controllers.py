"""Searches long for cancelled tasks that survive controllers which end within seconds.

Usage: python -m bench.ending_controllers FIRST LAST [none]

Plays the histories of tests/test_ending_controllers.py with the seeds FIRST to LAST; with `none`,
no controller ends. Prints a line for each seed with a failure, and counts of what was played.
"""

import sys

from tests.test_ending_controllers import EndingControllers


def main(first: int, last: int, controllers_end: bool = True) -> int:
    """Play the seeds and return the number of those that failed."""
    failed_seed_count = job_count = cancelled_count = start_count = 0
    for seed in range(first, last + 1):
        history = EndingControllers(seed, controllers_end)
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
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]), "none" not in sys.argv[3:])))

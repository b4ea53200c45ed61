"""Plays a few random histories of more work than room; `python -m bench.waiting` plays many."""

import pytest

from sagecove.lab.waiting_histories import HistoryKind, WaitingHistory

# Most of these seeds broke a rule before the incidents review-4, review-6, review-7 and review-8.
SEEDS = {
    HistoryKind.GANGS: (14, 29, 38),
    HistoryKind.ZONES: (1, 2, 3, 4),
    HistoryKind.SPOT: (24, 26),
    HistoryKind.MIXED: (1, 2, 4, 43, 51),
}


@pytest.mark.parametrize(
    ("kind", "seed"), [(kind, seed) for kind, seeds in SEEDS.items() for seed in seeds]
)
def test_no_job_waits_beside_room_and_no_work_stalls(kind: HistoryKind, seed: int) -> None:
    # Guards against jobs that wait for one another, or for room that is kept, for good.
    WaitingHistory(kind, seed).play()

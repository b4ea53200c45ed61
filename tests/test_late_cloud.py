"""Seeded search: rentals and deletions are carried out late, and copies of deletions arrive.

Besides, controllers end and are back within seconds, or machines are back at once without their
tasks, token and session. No rule may be broken, and 75 s after the faults the controllers know each
machine and each task.

`python -m bench.late_cloud FIRST LAST` plays more seeds.
"""

from collections.abc import Callable
from typing import Any

import pytest

from sagecove.lab.deployment import job_submission
from sagecove.lab.rule_checker import RuleViolation
from sagecove.lab.world import world_with_machines
from tests.test_copied_messages import CopiedMessages, CopiedRequests, OtherFault

LATE_S = (0.2, 40.0)
KNOWN_AFTER_S = 75.0
FAULTS_S = 180.0
MACHINE_COUNT = 8


class LateCloud(CopiedMessages):
    """One history, drawn from one seed, in which machines are rented and returned all the time."""

    def __init__(self, seed: int, other_fault: OtherFault) -> None:
        super().__init__(seed, CopiedRequests.COMMANDS, other_fault)
        # Machines are returned when they are idle and 55 s old.
        self.faults_s = FAULTS_S
        self.late_share = self.random.choice((0.2, 0.5, 1.0))
        self.late_count = self.deletion_copy_count = 0
        cloud = self.world.cloud
        cloud.capacity = {"small": MACHINE_COUNT, "gpu": 0}
        cloud.boot_s_of = lambda number: self.random.choice((0.1, 0.8, 2.0, 10.0))
        cloud.late_by_s = self._late_by_s
        cloud.deletion_copy_after_s = self._deletion_copy_after_s

    def _late_by_s(self, path: str, body: Any) -> float | None:
        if self.random.random() >= self.late_share:
            return None
        self.late_count += 1
        return self.random.uniform(*LATE_S)

    def _deletion_copy_after_s(self) -> float:
        self.deletion_copy_count += 1
        return self.random.uniform(*LATE_S)

    def return_machines(self) -> None:
        """Let a while pass without work, so that idle machines are returned."""
        self.world.run(20)

    def choose_steps(self) -> list[Callable[[], None]]:
        return [*super().choose_steps(), self.return_machines]

    def _wait_until_jobs_end(self) -> None:
        self.world.cloud.late_by_s = None
        self.world.cloud.deletion_copy_after_s = None
        super()._wait_until_jobs_end()

    def play(self) -> None:
        super().play()
        self.world.run(LATE_S[1] + KNOWN_AFTER_S)
        self.world.check_all_known()


@pytest.mark.parametrize("other_fault", list(OtherFault))
@pytest.mark.parametrize("seed", range(8))
def test_late_rentals_and_deletions_leave_nothing_unknown(
    seed: int, other_fault: OtherFault
) -> None:
    LateCloud(seed, other_fault).play()


def test_rentals_and_deletions_are_late_and_copied() -> None:
    # Guards against a search in which nothing is late.
    histories = [LateCloud(seed, OtherFault.NONE) for seed in range(3)]
    for history in histories:
        history.play()
    assert sum(history.late_count for history in histories) > 3
    assert sum(history.deletion_copy_count for history in histories) > 3


def test_checker_finds_machines_and_tasks_that_nobody_knows() -> None:
    world = world_with_machines(2)
    world.check_all_known()
    worker = world.workers["vm-000000"]
    worker.isolated = True
    world.add_spec(job_submission(1))
    worker.execute_orders([{"verb": "launch", "hand": "run-000001/0", "try": 1}])
    with pytest.raises(RuleViolation, match="unknown task run-000001/0"):
        world.check_all_known()
    worker.tasks.clear()
    name = world.cloud.start_machine("small", "a", False, 600.0)
    with pytest.raises(RuleViolation, match=f"unknown machine {name}"):
        world.check_all_known()

"""Case 1: the answer to a report is held up, and its launch is obeyed after the task was reaped."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

from standins import NODES, CouldNotRun, run_case, submission  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Commands to vm-000001 are held up: on their way to it directly, and inside the answer to a report.
# The worker takes answers for 4 s from when it sent the report.
COMMAND_HELD_S = 0.4
ANSWER_HELD_S = 2.5
FIRST, SECOND = "vm-000001", "vm-000002"
FILLER, OTHER, TASK, URGENT = (f"run-{n:06d}/0" for n in (1, 2, 3, 4))


def launches(orders, task):
    """Return whether orders contain the launch of a task."""
    return any(o["verb"] == "launch" and o["hand"] == task for o in orders)


async def play(lab):
    first, second = lab.workers[FIRST], lab.workers[SECOND]
    node = NODES[0]
    # vm-000001 has 2 CPUs left, vm-000002 none.
    await lab.submit(node, submission(1, range=first.zone))
    await lab.submit(node, submission(2, range=second.zone, vcpus=4.0))
    await lab.until(
        lambda: lab.is_on(FILLER, FIRST) and lab.is_on(OTHER, SECOND), 20, "no start of the fillers"
    )
    await asyncio.sleep(2.0)

    crossing, held = [], []

    def hold_command(worker, body):
        """The launch of the task comes: just then the filler completes, which is reported."""
        if worker is not first or crossing or not launches(body["orders"], TASK):
            return 0.0
        crossing.append(True)
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, first.complete, FILLER)
        loop.call_later(0.1, second.complete, OTHER)
        return COMMAND_HELD_S if TROUBLE else 0.0

    def hold_report_answer(worker, report, answer):
        """The answer to that report is on its way."""
        if not TROUBLE or worker is not first or held or not launches(answer["orders"], TASK):
            return 0.0
        held.append(True)
        return ANSWER_HELD_S

    lab.hold_command, lab.hold_report_answer = hold_command, hold_report_answer
    await lab.submit(node, submission(3, rank="low"))
    await lab.until(lambda: lab.is_on(TASK, FIRST), 10, "the task did not start")
    if TROUBLE and not held:
        raise CouldNotRun("no report crossed the launch")
    # An urgent job needs all of vm-000001; the task is stopped for it and goes to vm-000002.
    await asyncio.sleep(0.3)
    await lab.submit(
        node,
        submission(
            4, shape="ensemble", rank="urgent", vcpus=4.0, range=first.zone, reckonS=0.5
        ),
    )
    await lab.until(lambda: lab.is_on(TASK, SECOND), 10, "the task was not moved")
    await asyncio.sleep(6.0)
    return f"ran_twice {lab.ran_twice}" if lab.ran_twice else ""


MACHINES = [(FIRST, "lahore-rack", NODES[0]), (SECOND, "islamabad-rack", NODES[0])]
sys.exit(run_case(FOLDER, "karakoram-maps", MACHINES, play))

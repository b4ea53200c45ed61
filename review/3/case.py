"""Case 3: a repeated submission joins one that waits for a slow answer of the state service."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

from standins import NODES, CouldNotRun, run_case, submission  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# One transaction is carried out at once, and its answer takes this long.
SLOW_ANSWER_S = 0.9
JOB = "run-000001"


async def play(lab):
    slow, other, third = NODES
    spec = submission(1)
    lab.specs[JOB] = spec

    def hold_answer(node, body):
        puts = [change.get("put") for change in body["then"]]
        return SLOW_ANSWER_S if TROUBLE and node == slow and f"s/job/{JOB}" in puts else 0.0

    lab.state.hold_answer = hold_answer
    # A user submits a job to one node and asks at another one, which says that it is accepted.
    first = asyncio.create_task(lab.ask(slow, "POST", "/api/jobs", spec))
    for _ in range(40):
        await asyncio.sleep(0.05)
        status, _ = await lab.ask(other, "GET", f"/api/jobs/{JOB}", timeout_s=2.0)
        if status == 200:
            break
    else:
        raise CouldNotRun("the other node does not know the job")
    # The user cancels it, repeats the request until it is confirmed, and then asks at all nodes.
    for _ in range(10):
        status, answer = await lab.ask(other, "POST", f"/api/jobs/{JOB}/cancel")
        if status == 200:
            break
    else:
        raise CouldNotRun("the cancellation was not confirmed")
    if answer["standing"] != "aborted":
        raise CouldNotRun(f"the job was over before: {answer}")
    lab.record("USER    knows that the job is cancelled")
    if TROUBLE and first.done():
        raise CouldNotRun("the slow answer came before the cancellation was confirmed")
    await asyncio.sleep(0.3)
    asked = [
        (node, what, asyncio.create_task(lab.ask(node, *what)))
        for node in (slow, other, third)
        for what in (("POST", "/api/jobs", spec), ("GET", f"/api/jobs/{JOB}"))
    ]
    answers = [await question for _, _, question in asked]
    await first
    older = [
        f"{what[0]} {what[1]} at {node} -> {status} {answer}"
        for (node, what, _), (status, answer) in zip(asked, answers, strict=True)
        if status in (200, 201) and answer["standing"] != "aborted"
    ]
    return f"went_back after the cancellation was confirmed: {older}" if older else ""


MACHINES = [("vm-000001", "lahore-rack", NODES[0]), ("vm-000002", "islamabad-rack", NODES[0])]
sys.exit(run_case(FOLDER, "karakoram-maps", MACHINES, play))

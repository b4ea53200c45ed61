"""A launch can be on its way to a worker twice: sent directly, and in the answer to a report.

The network holds up one of the two while the other is executed. Until the held one can't arrive any
more, the worker must not be told to forget the task: it would start it again.
"""

from collections.abc import Callable
from typing import Any

import pytest

from sagecove.config import WORKER_ANSWER_TIMEOUT_S
from sagecove.coordination.launch_tracker import LaunchTracker
from sagecove.lab.deployment import LEASE_S, job_submission
from sagecove.lab.fakes import FakeWorker
from sagecove.lab.network import Message, MessageKind
from sagecove.lab.world import World

FILLER, JOB, URGENT = "run-000001", "run-000002", "run-000003"
TASK = f"{JOB}/0"
LAUNCH = (TASK, 7)
# A worker takes an answer for 4 s from when it sent the report.
ANSWER_HELD_S = 3.6
COMMAND_HELD_S = 0.4


def preempt(world: World) -> None:
    """An urgent job takes the machine for half a second; the task moves to the other machine."""
    second = sorted(world.workers.values(), key=lambda worker: worker.name)[1]
    second.exit_task(f"{FILLER}/0", second.tasks[f"{FILLER}/0"]["try"], "done")
    fields = {"shape": "ensemble", "rank": "urgent", "vcpus": 4.0, "range": "a", "reckonS": 0.5}
    world.submit("n0", job_submission(3, **fields))


def cancel(world: World) -> None:
    """The user cancels the job."""
    assert world.user_request("n0", "POST", f"/api/jobs/{JOB}/cancel")[0] == 200


def complete(world: World) -> None:
    """The task completes."""
    first = sorted(world.workers.values(), key=lambda worker: worker.name)[0]
    first.exit_task(TASK, first.tasks[TASK]["try"], "done")


def fail(world: World) -> None:
    """The task fails; it starts again on the other machine."""
    first, second = sorted(world.workers.values(), key=lambda worker: worker.name)
    second.exit_task(f"{FILLER}/0", second.tasks[f"{FILLER}/0"]["try"], "done")
    first.exit_task(TASK, first.tasks[TASK]["try"], "error")


def world_with_task_on_first_machine(
    delays: Callable[[World, FakeWorker], Callable[[Message], float]],
    relayed: bool,
    node_count: int = 1,
    **fields: Any,
) -> World:
    """Return a world in which one task has started on the first of two machines, while messages
    were held up by `delays`. With `relayed`, the machine reports by way of a second controller."""
    world = World(node_count=2 if relayed else node_count)
    world.cloud.capacity = {"small": 2, "gpu": 0}
    for zone in "ab":
        world.cloud.start_machine("small", zone, False)
    world.run(8)
    first, second = sorted(world.workers.values(), key=lambda worker: worker.name)
    for worker in (first, second):
        worker.task_run_s = None
    if relayed:
        holder = first.node
        world.cut_links.add((first.name, holder))
        world.run(LEASE_S)
        assert first.node != holder
    world.submit("n0", job_submission(1, range="b", vcpus=4.0, reckonS=1000.0))
    world.run_until(lambda: world.running_task_count(FILLER) == 1, 20)
    world.message_delay_s = delays(world, first)
    world.submit("n0", job_submission(2, rank="low", reckonS=1000.0, range=None, **fields))
    world.run_until(lambda: TASK in first.live_tasks(), 20)
    return world


def answer_is_held(world: World, first: FakeWorker) -> Callable[[Message], float]:
    """The direct launch crosses a report, and the answer to that is held up for longer."""
    held: list[MessageKind] = []

    def delay_s(message: Message) -> float:
        if not message.launches(TASK) or message.target != first.name or message.kind in held:
            return 0.0
        held.append(message.kind)
        if message.kind is MessageKind.COMMAND:
            world.call_later(0.1, first.send_report)
            return COMMAND_HELD_S
        return ANSWER_HELD_S

    return delay_s


@pytest.mark.parametrize("relayed", [False, True])
@pytest.mark.parametrize("end_task", [preempt, cancel, complete, fail])
def test_reap_waits_for_launch_in_held_answer(
    end_task: Callable[[World], None], relayed: bool
) -> None:
    # Guards against `ran_twice`: a reaped task was started again by the answer to a report.
    world = world_with_task_on_first_machine(answer_is_held, relayed)
    end_task(world)
    # The commands for further tasks on the machine can carry the reap.
    for number in range(4, 7):
        world.run(0.3)
        world.submit("n0", job_submission(number, range="a", vcpus=0.5))
    world.run(2 * LEASE_S)
    starts = [machine for _, task, machine in world.task_starts if task == TASK]
    assert len(starts) == len(set(starts))
    assert world.starts_after_cancel == []


def test_launch_in_answer_may_arrive_until_later_report_or_timeout() -> None:
    # Guards against a reap while the answer to a report may still be taken.
    tracker = LaunchTracker()
    tracker.note_answer(LAUNCH, seq=5, now=100.0)
    tracker.note_report(5)
    assert tracker.may_arrive(LAUNCH, now=100.0 + WORKER_ANSWER_TIMEOUT_S)
    assert not tracker.may_arrive((TASK, 8), now=100.0)
    assert not tracker.may_arrive(LAUNCH, now=105.0)
    tracker.note_report(6)
    assert not tracker.may_arrive(LAUNCH, now=100.0)
    # An older report that arrives late does not hide the answer to a newer one.
    tracker.note_answer(LAUNCH, seq=89, now=200.0)
    tracker.note_answer(LAUNCH, seq=88, now=200.0)
    tracker.note_report(89)
    assert tracker.may_arrive(LAUNCH, now=200.0)
    tracker.note_answer(LAUNCH, seq=90, now=200.0)
    tracker.note_restart()
    assert not tracker.may_arrive(LAUNCH, now=200.0)

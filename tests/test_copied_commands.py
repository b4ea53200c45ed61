"""A direct command that was executed and answered can arrive at the worker once more, at any time.

By then the worker may have been told to forget the attempt, which a copied launch would start
again, while the task has completed, was cancelled, or runs on another machine.
"""

from collections.abc import Callable

import pytest

from sagecove.lab.deployment import CANCEL_S, LEASE_S, job_submission
from sagecove.lab.fakes import FakeWorker
from sagecove.lab.message_copies import CopiedRequest, RequestKind
from sagecove.lab.network import Message, MessageKind
from sagecove.lab.rule_checker import RuleViolation
from sagecove.lab.world import World
from tests.test_held_launches import (
    JOB,
    TASK,
    cancel,
    complete,
    fail,
    preempt,
    world_with_task_on_first_machine,
)
from tests.test_held_messages import HeldMessages

# Copies of each direct command arrive after so many seconds: from a fraction of a report interval
# to over two leases.
COPY_DELAYS_S = (0.1, 0.6, 1.5, 3.0, 4.5, 6.0, 9.0, 13.0, 20.0, 30.0)


def copy_commands(world: World) -> None:
    """From now on, let each executed direct command arrive again, several times."""

    def delays_s(request: CopiedRequest) -> tuple[float, ...]:
        return COPY_DELAYS_S if request.kind is RequestKind.COMMAND else ()

    world.message_copies.delays_s = delays_s


def no_delays(world: World, first: FakeWorker) -> Callable[..., float]:
    """Copies need no message that is held up."""
    copy_commands(world)
    return lambda message: 0.0


def nothing_else(world: World) -> None:
    """No other fault."""


def end_leader(world: World) -> None:
    """The controllers that hold shards end; another one takes the shards, they return later."""
    for name in sorted(world.owners)[:1]:
        world.kill_node(name)
        world.call_later(LEASE_S, lambda: world.start_node(int(name[1:])))


def restart_controllers_at_once(world: World) -> None:
    """Every controller ends and is back within a second."""
    for name in list(world.owners):
        world.kill_node(name)
        world.call_later(0.4, lambda name=name: world.start_node(int(name[1:])))


def restart_machine_at_once(world: World) -> None:
    """The machine is back within a second, without its tasks, token and session."""
    sorted(world.workers.values(), key=lambda worker: worker.name)[0].restart()


def restart_machine_again_and_again(world: World) -> None:
    """The machine restarts five times within seconds."""
    for number in range(5):
        world.call_later(0.7 * number, lambda: restart_machine_at_once(world))


def move(world: World) -> None:
    """A spot notice ends the task here; it is started on the other machine."""
    first, second = sorted(world.workers.values(), key=lambda worker: worker.name)
    filler = next(task for task in second.live_tasks() if task != TASK)
    second.exit_task(filler, second.tasks[filler]["try"], "done")
    first.spot_warning_s = 300.0
    world.call_later(20.0, lambda: setattr(first, "spot_warning_s", None))


@pytest.mark.parametrize(
    "fault",
    [
        nothing_else,
        end_leader,
        restart_controllers_at_once,
        restart_machine_at_once,
        restart_machine_again_and_again,
    ],
)
@pytest.mark.parametrize("end_task", [complete, fail, preempt, cancel, move])
def test_copy_of_answered_launch_does_not_start_a_reaped_task(
    end_task: Callable[[World], None], fault: Callable[[World], None]
) -> None:
    # Guards against `ran_twice` by a launch that was executed and answered and arrives once more.
    fields = {"waypointS": 1.0, "stashS": 0.2} if end_task is move else {}
    world = world_with_task_on_first_machine(no_delays, relayed=False, node_count=2, **fields)
    world.run(0.5)
    end_task(world)
    world.run(1.5)
    fault(world)
    # The commands for further tasks on the machine are copied too.
    for number in range(4, 12):
        world.run(0.5)
        world.submit(
            world.controller_names()[0], job_submission(number, range="a", vcpus=0.5, reckonS=1.0)
        )
    world.run(CANCEL_S + LEASE_S)
    starts = [attempt for attempt in world.started_attempts if TASK in attempt]
    assert len(starts) == sum(task == TASK for _, task, _ in world.task_starts)
    assert len({(machine, attempt) for machine, _, _, _, attempt in starts}) == len(starts)
    assert world.repeated_attempts == []
    assert world.starts_after_cancel == []


def test_copied_launch_of_a_reaped_task_breaks_a_rule() -> None:
    # Guards against a lab that takes a seeded breach for allowed.
    world = world_with_task_on_first_machine(no_delays, relayed=False)
    first = next(iter(world.workers.values()))
    launch = {"verb": "launch", "hand": TASK, "try": first.tasks[TASK]["try"]}
    fail(world)
    world.run_until(
        lambda: TASK not in first.live_tasks() and world.running_task_count(JOB) > 0, 20
    )
    world.run_until(lambda: TASK not in first.tasks, 20)
    with pytest.raises(RuleViolation, match="ran_twice"):
        first.handle_commands({"brand": first.token, "ride": first.session, "orders": [launch]})


@pytest.mark.parametrize("seed", range(4))
def test_direct_commands_carry_no_launch(seed: int) -> None:
    # Guards against launches that the network may deliver late, or again after their response.
    history = HeldMessages(seed)
    commands: list[Message] = []

    def note_command(message: Message) -> float:
        if message.kind is MessageKind.COMMAND and message.body:
            commands.append(message)
        return 0.0

    history.world.message_delay_s = note_command
    history.play()
    verbs = {order["verb"] for message in commands for order in message.body["orders"]}
    assert verbs == {"halt", "reap"}

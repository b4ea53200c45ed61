"""Starts that are held up on their way do not run after their job's time for cancelling.

`test_held_messages` holds up each kind of message; here answers to reports are held up for longer
than workers take them, and launches of a build that sent them directly arrive after an upgrade.
"""

import pytest

from sagecove.lab.deployment import CANCEL_S, job_submission
from sagecove.lab.network import Message, MessageKind
from sagecove.lab.world import world_with_machines
from tests.test_held_messages import HeldMessages

LONGEST_ANSWER_DELAY_S = 24.0


class HeldAnswers(HeldMessages):
    """A history in which answers with orders are held up for up to 24 s beside cancellations."""

    def _delay_s(self, message: Message) -> float:
        delay_s = super()._delay_s(message)
        if message.kind is MessageKind.REPORT_ANSWER and delay_s:
            return self.random.uniform(0.0, LONGEST_ANSWER_DELAY_S)
        return delay_s


@pytest.mark.parametrize("seed", range(12))
def test_starts_in_late_answers_break_no_rule(seed: int) -> None:
    HeldAnswers(seed).play()


@pytest.mark.parametrize("arrives_after_s", [1.0, 16.0, CANCEL_S - 5.0, CANCEL_S + 20.0])
def test_start_of_an_earlier_build_is_refused_after_an_upgrade(arrives_after_s: float) -> None:
    # An earlier build sent launches directly. Each upgrade begins a new term with a higher token.
    world = world_with_machines(2)
    job = world.add_spec(job_submission(1, hands=4, vcpus=3.0, reckonS=300.0))
    assert world.submit("n0", job)[0] == 201
    world.run(4)
    worker = next(worker for worker in world.workers.values() if worker.live_tasks())
    order = {"verb": "launch", "hand": "run-000001/3", "try": 4_000_000_000}
    launch = {"brand": worker.token, "ride": worker.session, "orders": [order]}
    for name in list(world.owners):
        world.kill_node(name)
        world.start_node(int(name[1:]))
    world.run_until(lambda: worker.token > launch["brand"], 30)
    status, _ = world.user_request("n1", "POST", "/api/jobs/run-000001/cancel")
    assert status == 200
    world.run(arrives_after_s)
    assert worker.handle_commands(launch)[0] == 409
    world.run(CANCEL_S)
    assert not worker.live_tasks()

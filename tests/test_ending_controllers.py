"""Seeded search: controllers end again and again, within seconds of their start.

Most end shortly after their first answer to a worker, which has renewed its lease, while users
cancel, repeat their requests, and machines cannot be reached for a part of their lease. No rule may
be broken, no answer may renew a lease without the stops that are due, and afterwards each job ends.

`python -m bench.ending_controllers FIRST LAST` plays more seeds.
"""

from collections.abc import Callable

import pytest

from sagecove.lab.deployment import LEASE_S, job_submission
from sagecove.lab.network import Message, MessageKind
from tests.test_held_messages import OPEN_JOB_COUNT, HeldMessages

# Shares of the first answers after which the controller ends, and longest seconds until then.
END_SHARES = (0.0, 0.3, 0.7, 1.0)
LONGEST_LIFE_S = (0.1, 1.5, 4.0)
RESTART_S = (0.1, 0.5, 3.0)


class EndingControllers(HeldMessages):
    """One history, drawn from one seed.

    Without `controllers_end` no controller ends; with `hold_messages` single messages are held up.
    """

    def __init__(
        self, seed: int, controllers_end: bool = True, hold_messages: bool = False
    ) -> None:
        super().__init__(seed)
        self.controllers_end = controllers_end
        self.hold_messages = hold_messages
        self.end_share = self.random.choice(END_SHARES[1:])
        self.longest_life_s = self.random.choice(LONGEST_LIFE_S)
        self.world.message_delay_s = self._end_after_first_answer

    def _end_after_first_answer(self, message: Message) -> float:
        worker = self.world.workers.get(message.target)
        if message.kind is MessageKind.REPORT_ANSWER and worker is not None:
            token = message.body.get("brand", 0) if message.body else 0
            if token > worker.token and self.random.random() < self.end_share:
                delay_s = self.random.uniform(0.0, self.longest_life_s)
                self.world.call_later(delay_s, lambda: self._end(message.source))
        return self._delay_s(message) if self.hold_messages else 0.0

    def _end(self, name: str) -> None:
        if self.controllers_end and name in self.world.owners:
            self.world.kill_node(name)
            restart_s = self.random.choice(RESTART_S)
            self.world.call_later(restart_s, lambda: self._start_controller(name))

    # -- steps ----------------------------------------------------------------------------------

    def submit(self) -> None:
        states = self.world.reported_states.values()
        if sum(state not in ("done", "aborted") for state in states) >= OPEN_JOB_COUNT:
            return
        self.job_count += 1
        fields = self.random.choice(
            [
                {"hands": 2, "shape": "service", "rank": "production", "vcpus": 1.0},
                {"hands": 1, "shape": "service", "rank": "production", "vcpus": 2.0},
                {"hands": 4, "vcpus": 1.0, "rank": "low"},
                {"hands": 3, "vcpus": 1.0, "waypointS": 2.0, "stashS": 1.0},
                {"hands": 2, "shape": "ensemble", "vcpus": 1.0, "rank": "urgent"},
            ]
        )
        run_s = self.random.choice([2.0, 8.0, 30.0]) if fields.get("shape") != "service" else 0.0
        spec = self.world.add_spec(job_submission(self.job_count, reckonS=run_s, **fields))
        self.world.start_user_request(self.node(), "POST", "/api/jobs", spec)

    def end_any_controller(self) -> None:
        self._end(self.node())

    def end_all_controllers(self) -> None:
        for name in list(self.world.owners):
            self._end(name)

    def lose_contact(self) -> None:
        worker = self.worker()
        worker.isolated = True
        self.world.call_later(self.random.uniform(0.2, 0.8) * LEASE_S, worker.reconnect)

    def cancel_out_of_contact(self) -> None:
        for worker in self.world.workers.values():
            worker.isolated = True
            self.world.call_later(self.random.uniform(1.0, 0.6 * LEASE_S), worker.reconnect)
        self.cancel()

    def repeat_request(self) -> None:
        if self.world.specs:
            job, spec = self.random.choice(list(self.world.specs.items()))
            self.world.start_user_request(self.node(), "POST", "/api/jobs", spec)
            if self.world.reported_states.get(job) == "aborted":
                self.world.start_user_request(self.node(), "POST", f"/api/jobs/{job}/cancel")

    def choose_steps(self) -> list[Callable[[], None]]:
        steps = [self.submit] * 6 + [self.report_now] * 2 + [self.cancel, self.repeat_request] * 2
        steps += [self.end_any_controller, self.lose_contact, self.cancel_out_of_contact]
        rare_steps = [
            self.end_all_controllers,
            self.end_session,
            self.cut_worker_from_node,
            self.pause_controller,
            self.stop_state_service,
            self.lose_transactions,
        ]
        return steps + self.random.sample(rare_steps, self.random.randrange(4))


@pytest.mark.parametrize("seed", range(40))
def test_ending_controllers_leave_no_cancelled_task_running(seed: int) -> None:
    # Guards against leases of cancelled tasks that each of many short-lived holders renews.
    EndingControllers(seed).play()


@pytest.mark.parametrize("seed", range(10))
def test_held_messages_and_ending_controllers_leave_no_cancelled_task_running(seed: int) -> None:
    # Guards against launches of ended holders that arrive while the next ones come and go.
    EndingControllers(seed, hold_messages=True).play()

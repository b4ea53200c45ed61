"""Stateful random test: controllers and machines under arbitrary sequences of faults.

No rule of the service is violated at any time, and after the faults every job is known and
completes. Hypothesis sorts the rules by name, so a rename that changes their order also changes the
sequences that a seed produces.
"""

from typing import Any

from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from sagecove.lab.deployment import CANCEL_S, LEASE_S, job_submission
from sagecove.lab.world import World

NODES = st.sampled_from(["n0", "n1", "n2"])
SHAPES: list[dict[str, Any]] = [
    {"hands": 4},
    {"hands": 3, "shape": "ensemble", "rank": "urgent", "samePlace": True},
    {"hands": 3, "shape": "service", "rank": "production", "vcpus": 1.0},
]


class Troubled(RuleBasedStateMachine):
    """Three controllers; `World` checks every step against the rules of PROTOCOL.

    The `forgotten` rule is checked once the faults have ended.
    """

    nodes = 3

    def __init__(self) -> None:
        super().__init__()
        self.world = World(node_count=self.nodes, seed=7)
        self.world.dead_nodes_refuse = True
        self.world.cloud.capacity = {"small": 9, "gpu": 0}
        self.world.run(2)
        for number in range(9):
            self.world.cloud.start_machine("small", "ab"[number % 2], False)
        self.world.run(5)
        self.world.poll_jobs()
        self.count = 0

    def worker(self, number: int) -> Any:
        names = sorted(self.world.workers)
        return self.world.workers[names[number % len(names)]] if names else None

    @rule(node=NODES, shape=st.sampled_from(SHAPES))
    def submit(self, node: str, shape: dict[str, Any]) -> None:
        self.count += 1
        self.world.submit(node, job_submission(self.count, **shape))

    @rule(node=NODES, back_s=st.sampled_from([0.05, 0.3, 0.9, 7.0]))
    def end_and_restart_controller(self, node: str, back_s: float) -> None:
        if node in self.world.owners:
            self.world.kill_node(node)
            self.world.call_later(
                back_s,
                lambda: None if node in self.world.owners else self.world.start_node(int(node[1:])),
            )

    @rule(number=st.integers(0, 8))
    def machine_receives_nothing(self, number: int) -> None:
        if (worker := self.worker(number)) is not None:
            self.world.receive_blocked_machines.add(worker.name)

    @rule(number=st.integers(0, 8), delay=st.sampled_from([1.0, 5.0, 30.0]))
    def reports_are_duplicated(self, number: int, delay: float) -> None:
        if (worker := self.worker(number)) is not None:
            self.world.report_copy_delays_s[worker.name] = [delay]

    @rule(number=st.integers(0, 8))
    def machine_agent_restarts(self, number: int) -> None:
        if (worker := self.worker(number)) is not None:
            worker.restart()

    @rule(node=NODES, refusing=st.booleans())
    def allow_only_worker_links(self, node: str, refusing: bool) -> None:
        self.world.isolate_node(node, refusing)

    @rule(node=NODES, seconds=st.sampled_from([1.0, 5.0, 10.0]))
    def stall_controller(self, node: str, seconds: float) -> None:
        if node in self.world.owners:
            self.world.paused_until[node] = self.world.now + seconds

    @rule(verdict=st.sampled_from(["lost", "late", "unanswered"]))
    def transactions_fail(self, verdict: str) -> None:
        self.world.state.transaction_fault = lambda node, body: (
            verdict if self.world.random.random() < 0.2 else None
        )

    @rule(number=st.integers(0, 8))
    def commands_are_blocked(self, number: int) -> None:
        if (worker := self.worker(number)) is not None:
            worker.direct_commands_blocked = True

    @rule(number=st.integers(0, 8))
    def a_machine_is_isolated(self, number: int) -> None:
        if (worker := self.worker(number)) is not None:
            worker.isolated = True

    @rule(slow_s=st.sampled_from([0.0, 0.5, 2.0]))
    def the_state_service_is_slow(self, slow_s: float) -> None:
        self.world.state.answer_delay_s = slow_s

    @rule(number=st.integers(0, 8))
    def a_machine_reaches_no_controller(self, number: int) -> None:
        if (worker := self.worker(number)) is not None:
            self.world.send_blocked_machines.add(worker.name)

    @rule(number=st.integers(0, 8))
    def a_report_is_recorded(self, number: int) -> None:
        if (worker := self.worker(number)) is not None:
            self.world.recorded_reports.setdefault(worker.name, [])

    @rule(newest=st.booleans())
    def late_reports_reach_every_controller(self, newest: bool) -> None:
        for raws in self.world.recorded_reports.values():
            for raw in raws[-1:] if newest else raws[:1]:
                self.world.replay_report(raw, sorted(self.world.owners))
        self.world.recorded_reports.clear()

    @rule(node=NODES, hang_s=st.sampled_from([0.0, 3.0, 0.8 * LEASE_S]))
    def many_jobs_are_cancelled_and_machines_hang(self, node: str, hang_s: float) -> None:
        running = [
            name
            for name, state in self.world.reported_states.items()
            if self.world.running_task_count(name)
        ]
        for n, name in enumerate(running):
            path = f"/api/jobs/{name}/cancel"
            self.world.call_later(
                0.2 * n / len(running),
                lambda p=path: self.world.start_user_request(node, "POST", p),
            )
        for worker in (
            [worker for worker in self.world.workers.values() if worker.live_tasks()][:8]
            if hang_s
            else []
        ):
            worker.isolated = worker.direct_commands_blocked = True
            self.world.call_later(hang_s, worker.reconnect)
        self.world.run(0.3)

    @rule(number=st.integers(1, 9), repeat=st.booleans())
    def users_poll_all_nodes(self, number: int, repeat: bool) -> None:
        name = f"run-{number:06d}"
        for node in sorted(self.world.inboxes):
            self.world.start_user_request(node, "GET", f"/api/jobs/{name}")
            if repeat and name in self.world.specs:
                self.world.start_user_request(node, "POST", "/api/jobs", self.world.specs[name])
        self.world.run(0.06)

    @rule(seconds=st.sampled_from([0.3, 2.0]))
    def answers_have_random_delays(self, seconds: float) -> None:
        random = self.world.random
        self.world.state.answer_delay_of = lambda node, path: (
            random.choice([0.0, random.random()]) * seconds
        )

    @rule(seconds=st.sampled_from([0.0, 0.5, 2.0]))
    def machines_boot_at_once(self, seconds: float) -> None:
        self.world.cloud.boot_s, self.world.cloud.capacity["small"] = seconds, 11

    @rule(seconds=st.sampled_from([0.3, 3.0]))
    def images_take_time(self, seconds: float) -> None:
        for worker in self.world.workers.values():
            worker.image_fetch_s = seconds

    @rule()
    def mend_all_faults(self) -> None:
        self.world.send_blocked_machines.clear()
        self.world.state.answer_delay_of = None
        for worker in self.world.workers.values():
            worker.reconnect()
        self.world.state.answer_delay_s = 0.0
        self.world.cut_links.clear()
        self.world.state.refused_nodes.clear()
        self.world.receive_blocked_machines.clear()
        self.world.report_copy_delays_s.clear()
        self.world.state.transaction_fault = None

    @rule(node=NODES, number=st.integers(1, 9))
    def cancel(self, node: str, number: int) -> None:
        # World.check verifies `cancel_s` from the first answer that confirms the cancellation.
        if (name := f"run-{number:06d}") in self.world.reported_states:
            self.world.user_request(node, "POST", f"/api/jobs/{name}/cancel")

    @rule(node=NODES)
    def refuse_one_controller(self, node: str) -> None:
        self.world.state.refused_nodes.add(node)

    @rule(seconds=st.sampled_from([0.4, 3.0, LEASE_S, 1.2 * CANCEL_S]))
    def outage_of_state_service(self, seconds: float) -> None:
        self.world.state.set_outage(True)
        self.world.run(seconds)
        self.world.state.set_outage(False)

    @rule(seconds=st.sampled_from([0.3, 2.0, 6.0, LEASE_S]))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    def teardown(self) -> None:
        self.mend_all_faults()
        self.world.run(10)
        for number in range(self.nodes):
            if f"n{number}" not in self.world.owners:
                self.world.start_node(number)
        self.world.faults_over_at = self.world.now
        # A job whose submission got no answer may have been accepted by a later repetition.
        services = [
            job_id
            for job_id in self.world.reported_states
            if self.world.specs[job_id]["shape"] == "service"
        ]
        for name in services:
            started_at = self.world.now
            while self.world.user_request("n0", "POST", f"/api/jobs/{name}/cancel")[0] != 200:
                assert self.world.now - started_at < 75
                self.world.run(1)
        # A cancellation without an answer may still be executed, at most 15 s later.
        self.world.run(16)
        other_jobs = [job_id for job_id in self.world.reported_states if job_id not in services]
        for name in other_jobs:
            started_at = self.world.now
            while self.world.user_request("n0", "GET", f"/api/jobs/{name}")[0] != 200:
                assert self.world.now - started_at < 75
                self.world.run(1)
        accepted = [
            self.world.specs[job_id]
            for job_id in other_jobs
            if self.world.reported_states[job_id] != "aborted"
        ]
        wanted = {f"{spec['nameId']}/{n}" for spec in accepted for n in range(spec["hands"])}
        self.world.run_until(lambda: wanted <= self.world.completed_tasks, 240)


class OfFive(Troubled):
    """Five controllers, two of which are never disturbed directly."""

    nodes = 5


SETTINGS = hypothesis_settings(
    max_examples=40,
    stateful_step_count=18,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.generate,),
)
TestTroubled = Troubled.TestCase
TestTroubled.settings = SETTINGS
TestOfFive = OfFive.TestCase
TestOfFive.settings = hypothesis_settings(SETTINGS, max_examples=20)

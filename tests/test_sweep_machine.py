"""State machine test of sweeps: random submissions, cancellations and faults.

Points could be lost or completed twice when controllers are killed, cut off or refused by the
state service while blocks are written. The simulated world checks PROTOCOL's rules at every start
of a task; this test checks the final state of each point.
"""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from sagecove.features import feature_factory
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World
from sagecove.sweeps.feature import Options

TEAMS = ("red", "blue")


class SweepStateMachine(RuleBasedStateMachine):
    """Runs three controllers, six machines and sweeps of up to 40 points."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(seed=7, features=feature_factory([("sweeps", Options(window=64))]))
        for i in range(6):
            self.world.cloud.start_machine("small", "ab"[i % 2], False)
        self.world.run(3)
        self.sweep_sizes: dict[str, int] = {}
        self.cancelled_sweeps: set[str] = set()
        self.cancelled_points: set[str] = set()

    def request(self, method: str, path: str, body: Any = b"") -> tuple[int, Any]:
        """Sends a request to the controllers in turn until one answers, like a load balancer."""
        for node in sorted(self.world.owners):
            status, answer = self.world.user_request(node, method, path, body)
            if status not in (0, 503):
                return status, answer
        return 503, None

    @initialize()
    def begin(self) -> None:
        self.submit(20, "red", 1, 4)

    @rule(
        size=st.integers(1, 40),
        team=st.sampled_from(TEAMS),
        hands=st.sampled_from([1, 1, 1, 2]),
        seconds=st.integers(0, 3),
    )
    def submit(self, size: int, team: str, hands: int, seconds: int) -> None:
        name = f"run-s{len(self.sweep_sizes)}"
        spec = {
            k: v for k, v in job_submission(1, outfit=team, hands=hands).items() if k != "nameId"
        }
        body = {"id": name, "space": f"x in 1..{size}", "job": spec}
        status, _ = self.request("POST", "/api/sweeps", body)
        if status in (200, 201):
            self.sweep_sizes[name] = size
        self.world.run(seconds)

    @rule(seconds=st.integers(1, 6))
    def wait(self, seconds: int) -> None:
        self.world.run(seconds)

    @rule(number=st.integers(0, 2))
    def kill_and_restart(self, number: int) -> None:
        self.world.kill_node(f"n{number}")
        self.world.run(3)
        self.world.start_node(number)

    @rule(seconds=st.sampled_from([1, 4, 9]))
    def outage(self, seconds: int) -> None:
        self.world.state.set_outage(True)
        self.world.run(seconds)
        self.world.state.set_outage(False)
        self.world.run(1)

    @rule(number=st.integers(0, 2), seconds=st.sampled_from([2, 6, 14]))
    def refused_alone(self, number: int, seconds: int) -> None:
        self.world.state.refused_nodes = {f"n{number}"}
        self.world.run(seconds)
        self.world.state.refused_nodes = set()

    @rule(fault=st.sampled_from(["lost", "unanswered", "late", "throttled"]))
    def bad_writes(self, fault: str) -> None:
        self.world.state.transaction_fault = lambda node, body: (
            fault if self.world.random.random() < 0.3 else None
        )
        self.world.run(3)
        self.world.state.transaction_fault = None

    @rule(number=st.integers(0, 2))
    def cut_from_workers(self, number: int) -> None:
        self.world.nodes_cut_from_workers = {f"n{number}"}
        self.world.run(6)
        self.world.nodes_cut_from_workers = set()

    @precondition(lambda self: self.sweep_sizes)
    @rule(pick=st.integers(0, 99))
    def cancel_a_sweep(self, pick: int) -> None:
        name = sorted(self.sweep_sizes)[pick % len(self.sweep_sizes)]
        status, answer = self.request("POST", f"/api/sweeps/{name}/cancel")
        if status == 200 and answer["state"] == "aborted":
            self.cancelled_sweeps.add(name)

    @precondition(lambda self: self.sweep_sizes)
    @rule(pick=st.integers(0, 999))
    def cancel_a_point(self, pick: int) -> None:
        name = sorted(self.sweep_sizes)[pick % len(self.sweep_sizes)]
        point = f"{name}.p{pick % self.sweep_sizes[name]}"
        status, answer = self.request("POST", f"/api/jobs/{point}/cancel")
        if status == 200 and answer["standing"] == "aborted":
            self.cancelled_points.add(point)

    def teardown(self) -> None:
        """Checks that without further faults all sweeps end and each point has its final state."""
        world = self.world
        for name, size in self.sweep_sizes.items():
            world.run_until(
                lambda name=name: (
                    self.request("GET", f"/api/sweeps/{name}")[1]["state"] in ("done", "aborted")
                ),
                400,
            )
            final_states = {}
            for k in range(size):
                world.run_until(
                    lambda k=k, name=name: (
                        self.request("GET", f"/api/jobs/{name}.p{k}")[1]["standing"]
                        in ("done", "aborted")
                    ),
                    30,
                )
                final_states[k] = self.request("GET", f"/api/jobs/{name}.p{k}")[1]["standing"]
            hands = {
                t.rpartition("/")[2] for t in world.completed_tasks if t.startswith(f"{name}.p")
            }
            for k, state in final_states.items():
                point = f"{name}.p{k}"
                done = {t for t in world.completed_tasks if t.startswith(f"{point}/")}
                if state == "done":
                    assert len(done) == max(1, len(hands)) and point not in self.cancelled_points
                else:
                    assert name in self.cancelled_sweeps or point in self.cancelled_points
            if name not in self.cancelled_sweeps:
                counts = self.request("GET", f"/api/sweeps/{name}")[1]
                assert counts["done"] == sum(s == "done" for s in final_states.values())
                assert counts["cancelled"] == size - counts["done"]
        world.run(20)
        assert not [
            k for k in world.state.keys if k.startswith(("s/sweep", "s/points", "s/swept", "s/job"))
        ]
        # No task is left on any machine.
        assert not any(worker.live_tasks() for worker in world.workers.values())


SweepStateMachine.TestCase.settings = settings(
    derandomize=True, max_examples=8, stateful_step_count=10, deadline=None
)
TestSweepStateMachine = SweepStateMachine.TestCase

"""A machine that submits, kills, cuts, cancels and retries sweeps, and checks what became of them.

The world checks PROTOCOL's rules at every start; this checks that no point is lost or made twice.
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
    """Three controllers, six machines, sweeps of some tens of points."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(seed=7, features=feature_factory([("sweeps", Options(window=64))]))
        for i in range(6):
            self.world.cloud.start_machine("small", "ab"[i % 2], False)
        self.world.run(3)
        self.sizes: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.single: set[str] = set()

    def user(self, method: str, path: str, body: Any = b"") -> tuple[int, Any]:
        """Ask the controllers in turn, as the load balancer would."""
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
        name = f"run-s{len(self.sizes)}"
        spec = {
            k: v for k, v in job_submission(1, outfit=team, hands=hands).items() if k != "nameId"
        }
        body = {"id": name, "space": f"x in 1..{size}", "job": spec}
        status, _ = self.user("POST", "/api/sweeps", body)
        if status in (200, 201):
            self.sizes[name] = size
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

    @rule(verdict=st.sampled_from(["lost", "unanswered", "late", "throttled"]))
    def bad_writes(self, verdict: str) -> None:
        self.world.state.transaction_fault = lambda node, body: (
            verdict if self.world.random.random() < 0.3 else None
        )
        self.world.run(3)
        self.world.state.transaction_fault = None

    @rule(number=st.integers(0, 2))
    def cut_from_workers(self, number: int) -> None:
        self.world.nodes_cut_from_workers = {f"n{number}"}
        self.world.run(6)
        self.world.nodes_cut_from_workers = set()

    @precondition(lambda self: self.sizes)
    @rule(pick=st.integers(0, 99))
    def cancel_a_sweep(self, pick: int) -> None:
        name = sorted(self.sizes)[pick % len(self.sizes)]
        status, answer = self.user("POST", f"/api/sweeps/{name}/cancel")
        if status == 200 and answer["state"] == "aborted":
            self.cancelled.add(name)

    @precondition(lambda self: self.sizes)
    @rule(pick=st.integers(0, 999))
    def cancel_a_point(self, pick: int) -> None:
        name = sorted(self.sizes)[pick % len(self.sizes)]
        point = f"{name}.p{pick % self.sizes[name]}"
        status, answer = self.user("POST", f"/api/jobs/{point}/cancel")
        if status == 200 and answer["standing"] == "aborted":
            self.single.add(point)

    def teardown(self) -> None:
        """Left alone, everything comes to its end, and each point's end can be told."""
        w = self.world
        for name, size in self.sizes.items():
            w.run_until(
                lambda name=name: (
                    self.user("GET", f"/api/sweeps/{name}")[1]["state"] in ("done", "aborted")
                ),
                400,
            )
            told = {}
            for k in range(size):
                w.run_until(
                    lambda k=k, name=name: (
                        self.user("GET", f"/api/jobs/{name}.p{k}")[1]["standing"]
                        in ("done", "aborted")
                    ),
                    30,
                )
                told[k] = self.user("GET", f"/api/jobs/{name}.p{k}")[1]["standing"]
            hands = {t.rpartition("/")[2] for t in w.completed_tasks if t.startswith(f"{name}.p")}
            for k, state in told.items():
                point = f"{name}.p{k}"
                done = {t for t in w.completed_tasks if t.startswith(f"{point}/")}
                if state == "done":
                    assert len(done) == max(1, len(hands)) and point not in self.single
                else:
                    assert name in self.cancelled or point in self.single
            if name not in self.cancelled:
                counts = self.user("GET", f"/api/sweeps/{name}")[1]
                assert counts["done"] == sum(s == "done" for s in told.values())
                assert counts["cancelled"] == size - counts["done"]
        w.run(20)
        assert not [
            k for k in w.state.keys if k.startswith(("s/sweep", "s/points", "s/swept", "s/job"))
        ]
        # Nothing is left on machines, and no allotment is kept for what is gone.
        assert not any(worker.live_tasks() for worker in w.workers.values())


SweepStateMachine.TestCase.settings = settings(
    derandomize=True, max_examples=8, stateful_step_count=10, deadline=None
)
TestSweeping = SweepStateMachine.TestCase

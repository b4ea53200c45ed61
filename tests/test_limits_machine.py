"""Teams' limits hold for three controllers under random failures and changed settings.

Guards against use above a limit and against shares that are lost for good, when controllers die,
stall, are cut off or start with other settings and writes of shares go wrong, in any order.
"""

from typing import Any

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World
from tests.test_limits import GUEST_TEAM, team_settings

TEAMS = [team_settings("red", 8, 24), team_settings("blue", 4, 10), GUEST_TEAM]
NODES = st.sampled_from(["n0", "n1", "n2"])
SHAPES: list[dict[str, Any]] = [
    {"hands": 8},
    {"hands": 4, "shape": "ensemble", "rank": "urgent"},
    {"hands": 3, "vcpus": 3.0, "reckonS": 20.0, "rank": "low"},
    {"hands": 5, "shape": "service", "rank": "production", "vcpus": 1.0, "scatter": True},
]


class LimitsMachine(RuleBasedStateMachine):
    """Three controllers; `World.check` compares what runs with the limits at every clock step.

    Rules are chosen by their position among the sorted names, so a new name changes the runs.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = World(node_count=3, seed=5, teams=TEAMS)
        self.world.cloud.capacity = {"small": 10, "gpu": 0}
        self.world.run(2)
        for number in range(10):
            self.world.cloud.start_machine("small", "ab"[number % 2], False)
        self.world.run(5)
        self.count = 0
        self.services: list[str] = []

    @rule(node=NODES, shape=st.sampled_from(SHAPES), name=st.sampled_from(["red", "blue"]))
    def submit(self, node: str, shape: dict[str, Any], name: str) -> None:
        self.count += 1
        spec = self.world.add_spec(job_submission(self.count, outfit=name, **shape))
        if spec["shape"] == "service":
            self.services.append(spec["nameId"])
        self.world.request_controller(node, "POST", "/api/jobs", spec, lambda s, b: None)

    @rule(node=NODES)
    def kill(self, node: str) -> None:
        self.world.owners.pop(node, None)

    @rule(node=NODES)
    def boot(self, node: str) -> None:
        if node not in self.world.owners:
            self.world.start_node(int(node[1:]))

    @rule(node=NODES, seconds=st.sampled_from([1.0, 5.0, 10.0]), decided=st.booleans())
    def stall(self, node: str, seconds: float, decided: bool) -> None:
        if node in self.world.owners:
            (self.world.output_held_until if decided else self.world.paused_until)[node] = (
                self.world.now + seconds
            )

    @rule(limit=st.sampled_from([16, 24]))
    def settings_change(self, limit: int) -> None:
        # Only controllers started from now on have the new limit; use never exceeds the larger one.
        self.world.controller_teams = [team_settings("red", 8, limit), *TEAMS[1:]]

    @rule(node=NODES)
    def cut_from_peers(self, node: str) -> None:
        for number in range(3):
            self.world.cut_links.add((node, f"10.0.0.{number}:81"))

    @rule(node=NODES)
    def refused_by_state_service(self, node: str) -> None:
        self.world.state.refused_nodes.add(node)

    @rule(verdict=st.sampled_from(["lost", "late", "unanswered"]))
    def alter_share_write_outcomes(self, verdict: str) -> None:
        def hook(node: str, body: dict[str, Any]) -> str | None:
            writes_share = any(c.get("put", "").startswith("s/share/") for c in body["then"])
            return verdict if writes_share and self.world.random.random() < 0.7 else None

        self.world.state.transaction_fault = hook

    @rule()
    def mend(self) -> None:
        self.world.cut_links.clear()
        self.world.state.refused_nodes.clear()
        self.world.state.transaction_fault = None

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.0, 9.0]))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @invariant()
    def shares_stay_within_limit(self) -> None:
        for team in TEAMS[:2]:
            shares = [
                o.limits.share(s, team["name"])[0]
                for o in self.world.owners.values()
                for s in o.shards.active_shards(self.world.now)
            ]
            assert sum(shares) <= team["cpus_max"] * 1_000_000

    def teardown(self) -> None:
        self.mend()
        self.world.controller_teams = TEAMS
        for number in range(3):
            self.kill(f"n{number}")
            self.boot(f"n{number}")
            self.world.run(2)
        # No share is lost for good: within two leases all of the limit belongs to held shards.
        self.world.run(30)
        for team in TEAMS[:2]:
            shares = [
                o.limits.share(s, team["name"])[0]
                for o in self.world.owners.values()
                for s in o.held_shards
            ]
            assert sum(shares) == team["cpus_max"] * 1_000_000
        # The limit can be used: all tasks that end complete once the services are cancelled.
        for name in self.services:
            self.world.request_controller(
                "n0", "POST", f"/api/jobs/{name}/cancel", b"", lambda s, b: None
            )
        accepted = [j for o in self.world.owners.values() for j in o.jobs.values() if not j.service]
        wanted = {f"{j.id}/{n}" for j in accepted for n in range(j.spec.tasks)}
        self.world.run_until(lambda: wanted <= self.world.completed_tasks, 240)


LimitsMachine.TestCase.settings = hypothesis_settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True, database=None
)
TestLimitsMachine = LimitsMachine.TestCase

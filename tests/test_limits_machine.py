"""Three controllers, their limits, and whatever may happen to them, in any order."""

from typing import Any

from hypothesis import settings as how
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sagecove.lab.deployment import job
from sagecove.lab.world import World
from tests.test_limits import GUESTS, team_settings

TEAMS = [team_settings("red", 8, 24), team_settings("blue", 4, 10), GUESTS]
NODES = st.sampled_from(["n0", "n1", "n2"])
SHAPES: list[dict[str, Any]] = [
    {"hands": 8},
    {"hands": 4, "shape": "ensemble", "rank": "urgent"},
    {"hands": 3, "vcpus": 3.0, "reckonS": 20.0, "rank": "low"},
    {"hands": 5, "shape": "service", "rank": "production", "vcpus": 1.0, "scatter": True},
]


class Fleet(RuleBasedStateMachine):
    """`World.check` holds what runs on machines against the limits in every step of its clock."""

    def __init__(self) -> None:
        super().__init__()
        self.w = World(nodes=3, seed=5, teams=TEAMS)
        self.w.cloud.capacity = {"small": 10, "gpu": 0}
        self.w.run(2)
        for number in range(10):
            self.w.cloud.start("small", "ab"[number % 2], False)
        self.w.run(5)
        self.count = 0
        self.services: list[str] = []

    @rule(node=NODES, shape=st.sampled_from(SHAPES), name=st.sampled_from(["red", "blue"]))
    def submit(self, node: str, shape: dict[str, Any], name: str) -> None:
        self.count += 1
        spec = self.w.spec(job(self.count, outfit=name, **shape))
        if spec["shape"] == "service":
            self.services.append(spec["nameId"])
        self.w.ask(node, "POST", "/api/jobs", spec, lambda s, b: None)

    @rule(node=NODES)
    def kill(self, node: str) -> None:
        self.w.owners.pop(node, None)

    @rule(node=NODES)
    def boot(self, node: str) -> None:
        if node not in self.w.owners:
            self.w.boot_node(int(node[1:]))

    @rule(node=NODES, seconds=st.sampled_from([1.0, 5.0, 10.0]), decided=st.booleans())
    def stand_still(self, node: str, seconds: float, decided: bool) -> None:
        if node in self.w.owners:
            (self.w.decided if decided else self.w.still)[node] = self.w.now + seconds

    @rule(limit=st.sampled_from([16, 24]))
    def settings_change(self, limit: int) -> None:
        # Those that are started from now on go by it, the others do not: never above the larger.
        self.w.configured = [team_settings("red", 8, limit), *TEAMS[1:]]

    @rule(node=NODES)
    def cut_from_peers(self, node: str) -> None:
        for number in range(3):
            self.w.cut_links.add((node, f"10.0.0.{number}:81"))

    @rule(node=NODES)
    def refused_by_the_state_service(self, node: str) -> None:
        self.w.state.refused.add(node)

    @rule(verdict=st.sampled_from(["lost", "late", "unanswered"]))
    def amounts_go_astray(self, verdict: str) -> None:
        def hook(node: str, body: dict[str, Any]) -> str | None:
            amounts = any(c.get("put", "").startswith("s/share/") for c in body["then"])
            return verdict if amounts and self.w.random.random() < 0.7 else None

        self.w.state.hook = hook

    @rule()
    def mend(self) -> None:
        self.w.cut_links.clear()
        self.w.state.refused.clear()
        self.w.state.hook = None

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.0, 9.0]))
    def wait(self, seconds: float) -> None:
        self.w.run(seconds)

    @invariant()
    def no_more_is_owed_than_there_is(self) -> None:
        for known in TEAMS[:2]:
            owed = [
                o.limits.share(s, known["name"])[0]
                for o in self.w.owners.values()
                for s in o.shards.active_shards(self.w.now)
            ]
            assert sum(owed) <= known["cpus_max"] * 1_000_000

    def teardown(self) -> None:
        self.mend()
        self.w.configured = TEAMS
        for number in range(3):
            self.kill(f"n{number}")
            self.boot(f"n{number}")
            self.w.run(2)
        # No amount is lost for good: within two leases all of the limit is somebody's.
        self.w.run(30)
        for known in TEAMS[:2]:
            owed = [
                o.limits.share(s, known["name"])[0]
                for o in self.w.owners.values()
                for s in o.held_shards
            ]
            assert sum(owed) == known["cpus_max"] * 1_000_000
        # And it can be used: all that ends does, once services have made room.
        for name in self.services:
            self.w.ask("n0", "POST", f"/api/jobs/{name}/cancel", b"", lambda s, b: None)
        accepted = [j for o in self.w.owners.values() for j in o.jobs.values() if not j.service]
        wanted = {f"{j.id}/{n}" for j in accepted for n in range(j.spec.tasks)}
        self.w.until(lambda: wanted <= self.w.completed, 240)


Fleet.TestCase.settings = how(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True, database=None
)
TestFleet = Fleet.TestCase

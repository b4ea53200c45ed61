"""New machines are up within two seconds and get work at once while writes lag, and the leader
ends: the provisioner, a holder, or both in one, at each point between the rental's record, its
call, its answer, the first report, `GET /show`, the machine's record and the first launch."""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, job
from sagecove.lab.world import World

LONG = "run-000001"


def empty(boot_s: float, nodes: int = 3, seed: int = 1) -> World:
    w = World(nodes=nodes, seed=seed)
    w.cloud.boot_s, w.cloud.capacity = boot_s, {"small": 12, "gpu": 0}
    w.run(5)
    return w


def submit(w: World, node: str) -> None:
    """Eight machines' worth of work, half of it to stay."""
    keep = {"shape": "service", "hands": 16, "vcpus": 1.0, "memoryGb": 1.0, "rank": "urgent"}
    w.look(node, "POST", "/api/jobs", w.spec(job(1, **keep)))
    w.look(node, "POST", "/api/jobs", w.spec(job(2, hands=8, vcpus=2.0, reckonS=30.0)))


def settle(w: World) -> None:
    """All runs, once, on machines that have one record each; what nobody needs goes back."""
    w.state.hook = None
    w.state.slow_s = 0.0
    w.state.outage(False)
    for n in range(w.nodes):
        if f"n{n}" not in w.owners:
            w.boot_node(n)
    w.calm_at = w.now
    for name in (LONG, "run-000002"):
        # One that was never accepted is submitted again, as users do.
        w.until(lambda name=name: w.user("n0", "POST", "/api/jobs", w.specs[name])[0] < 300, 60)
    w.until(lambda: w.running(LONG) == 16, 60)
    w.until(lambda: sum(t.startswith("run-000002") for t in w.completed) == 8, 90)
    # Idle ones are given back; every machine that is left has a record, in one shard.
    w.run(120)
    records = {key for key in w.state.keys if key.startswith("s/machine/")}
    assert records == {f"s/machine/{name}" for name in w.cloud.machines}
    assert len(w.cloud.machines) <= 8 and w.running(LONG) == 16
    for owner in w.owners.values():
        for shard, machines in owner.machines_by_shard.items():
            assert all(m.record.shard == shard for m in machines.values())
    assert not [key for key in w.state.keys if key.startswith("s/rental/")]


@pytest.mark.parametrize("boot_s", [0.0, 0.3, 1.0, 2.0])
@pytest.mark.parametrize("slow_s", [0.0, 0.4, 1.2])
def test_machines_that_are_up_at_once_get_work_at_once(slow_s: float, boot_s: float) -> None:
    w = empty(boot_s)
    w.state.slow_s = slow_s
    submit(w, "n0")
    w.until(lambda: w.running(LONG) == 16, 25)
    settle(w)


def provisioner(w: World) -> str:
    return next((n for n, o in w.owners.items() if o.leadership.provisioner_term), "")


def both(w: World) -> list[str]:
    """The provisioner, and whoever was sent the jobs."""
    return [provisioner(w), "n0"]


@pytest.mark.parametrize("who", ["provisioner", "another", "both", "all"])
@pytest.mark.parametrize("back_s", [0.3, LEASE_S])
@pytest.mark.parametrize("boot_s", [0.0, 0.6, 1.8])
def test_the_leader_ends_at_each_point_of_a_rental(boot_s: float, back_s: float, who: str) -> None:
    for step in range(0, 28, 4 if who in ("provisioner", "all") else 9):
        w = empty(boot_s, seed=step + 1)
        w.state.slow_s = 0.15
        submit(w, "n0")
        w.run(0.25 + 0.12 * step)
        first = provisioner(w)
        names = {
            "provisioner": [first],
            "another": [n for n in w.owners if n != first][:1],
            "both": sorted({first, "n0"}),
            "all": sorted(w.owners),
        }[who]
        for name in names:
            w.kill(name)
            w.later(back_s, lambda w=w, n=name: w.boot_node(int(n[1:])))
        w.run(back_s + 0.1)
        settle(w)


@pytest.mark.parametrize("verdict", ["late", "unanswered", "lost"])
@pytest.mark.parametrize("kind", ["s/rental/", "s/machine/"])
@pytest.mark.parametrize("end", [False, True])
@pytest.mark.parametrize("nodes", [3, 5])
def test_writes_of_rentals_and_machines_go_astray(
    nodes: int, end: bool, kind: str, verdict: str
) -> None:
    for seed in (2, 4):
        w = empty([0.0, 0.5, 1.0, 1.9][seed - 1], nodes, seed)

        def hook(node: str, body: dict[str, Any], w: World = w) -> str | None:
            touched = [c.get("put") or c["drop"] for c in body["then"]]
            return (
                verdict
                if any(k.startswith(kind) for k in touched) and w.random.random() < 0.6
                else None
            )

        w.state.hook = hook
        submit(w, "n0")
        w.run(2.5)
        if end and (first := provisioner(w)):
            w.kill(first)
        w.run(8.0)
        settle(w)

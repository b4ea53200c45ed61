"""Jobs are cancelled in the seconds in which one controller's work changes hands: before that is
decided, while nobody acts for the shard, after the new term and before its machines are known. Some
of their tasks run, some wait for their image and would start later, some are on their way."""

from typing import Any

import pytest

from sagecove.lab.deployment import CANCEL_S, LEASE_S, REPORT_S, job
from sagecove.lab.world import World, standing
from tests.test_refused_leader import node_with_most_tasks

DOOMED = "run-000001"
FETCH_S = 5.0


def world(nodes: int, machines: int = 0) -> World:
    w = World(nodes=nodes)
    machines = machines or 3 * nodes
    w.cloud.capacity = {"small": machines, "gpu": 0}
    for i in range(machines):
        w.cloud.start("small", "ab"[i % 2], False)
    w.run(3)
    for n, worker in enumerate(w.workers.values()):
        worker.run_s, worker.fetch_s = 900.0, FETCH_S * (n % 2)
    return w


def gone_for_good(w: World, confirmed: float) -> None:
    """What was cancelled is gone long before it must be, and starts no more."""
    w.run(3 * LEASE_S)
    assert w.running(DOOMED) == 0
    for worker in w.workers.values():
        assert not any(
            t.startswith(DOOMED) and v["standing"] != "exited" for t, v in worker.tasks.items()
        )
    w.run(CANCEL_S)
    assert w.running(DOOMED) == 0
    for node in w.owners:
        assert standing(w, node, DOOMED) == "aborted"
    # Nobody acts for a shard for at most a lease and a half, and a report later all is known.
    bound = 1.5 * LEASE_S + 2 * REPORT_S
    assert all(late < bound for _, late in w.late_starts), w.late_starts


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", ["sweep", "service"])
@pytest.mark.parametrize(
    "at", [-4.0, -1.0, -0.1, 0.0, 0.1, 2.0, 5.0, 7.0, 7.8, 8.2, 9.0, 10.0, 12.0]
)
def test_cancelled_around_a_takeover(at: float, shape: str, nodes: int) -> None:
    w = world(nodes)
    w.submit("n0", job(1, shape=shape, hands=3 * nodes, vcpus=1.0, memoryGb=1.0))
    w.run(1.0 if at < -1 else 4.0)
    lead = node_with_most_tasks(w, DOOMED)
    asked = next(n for n in sorted(w.owners) if n != lead)
    confirmed: list[float] = []

    def cancel() -> None:
        def answer(status: int | None, body: bytes) -> None:
            if status == 200:
                w.answered(DOOMED, 200, {"standing": "aborted"}, submitted=False)
                confirmed.append(w.now)
            else:
                w.later(1.0, cancel)

        w.ask(asked, "POST", f"/api/jobs/{DOOMED}/cancel", b"", answer)

    w.later(max(0.0, 4.0 + at), cancel)
    w.run(4.0)
    w.kill(lead)
    w.until(lambda: bool(confirmed), 30)
    gone_for_good(w, confirmed[0])


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("at", [0.05 * n for n in range(0, 12)] + [0.4 * n for n in range(2, 16)])
def test_cancelled_while_a_shard_is_handed_back(at: float, nodes: int) -> None:
    w = world(nodes)
    w.kill("n1")
    w.run(LEASE_S)
    w.submit("n0", job(1, hands=6 * nodes, vcpus=1.0, memoryGb=1.0, shape="service"))
    w.run(2.0)
    w.boot_node(1)
    taker = next(n for n, o in w.owners.items() if "n1" in o.held_shards)
    w.until(
        lambda: (
            w.owners[taker].held_shards.get("n1") is None
            or w.owners[taker].held_shards["n1"].yielding
        ),
        60,
    )
    w.run(at)
    w.until(lambda: w.user("n0", "POST", f"/api/jobs/{DOOMED}/cancel")[0] == 200, 30)
    gone_for_good(w, w.now)


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("at", [0.25 * n for n in range(0, 16)])
@pytest.mark.parametrize("gang", [True, False])
def test_cancelled_while_machines_are_handed_to_a_gang(gang: bool, at: float, nodes: int) -> None:
    # Either the gang itself, or what runs on the machines that it is given.
    w = world(nodes, 24)
    big: dict[str, Any] = {"shape": "ensemble", "rank": "urgent", "vcpus": 4.0, "hands": 14}
    small = {"hands": 10, "vcpus": 0.5, "memoryGb": 0.5}
    w.submit("n0", job(1 if gang else 2, **big))
    if not gang:
        w.submit("n1", job(1, **small))
    w.run(at)
    w.until(lambda: w.user("n0", "POST", f"/api/jobs/{DOOMED}/cancel")[0] == 200, 30)
    gone_for_good(w, w.now)
    if not gang:
        w.until(lambda: w.running("run-000002") == 14, 60)

"""Guards against tasks that outlive a confirmed cancellation on a leader that could not read it.

The state service refuses one controller (the leader), other controllers confirm a cancellation, and
then an outage longer than `cancel_s` begins. The simulated cluster checks the bound for every task.
"""

import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from models.cancellations import InvariantViolation, Mistake, Model
from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.coordination.model import Placement
from sagecove.lab import deployment, fakes, rule_checker
from sagecove.lab.deployment import CANCEL_S, LEASE_S, controller_settings, job_submission
from sagecove.lab.world import World
from sagecove.protocol.peers import Hint, Promise
from tests.test_sweeps import SWEEPS_ENABLED, submit_sweep

CANCELLED_JOB = "run-000001"
KEPT_JOB = "run-000002"


def node_with_most_tasks(world: World, job_id: str = CANCELLED_JOB) -> str:
    """Return the controller with most tasks of a job."""
    return max(world.owners, key=lambda n: len(world.owners[n].jobs[job_id].placed))


def create_world(nodes: int = 3, features: Any = None, **cancelled_spec: Any) -> World:
    """Create machines that run tasks of a job to be cancelled and of a service that is kept."""
    world = World(node_count=nodes, features=features)
    world.cloud.capacity = {"small": 3 * nodes, "gpu": 0}
    for i in range(3 * nodes):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    for worker in world.workers.values():
        worker.task_run_s = 1000.0
    small = {"vcpus": 1.0, "memoryGb": 2.0, "reckonS": 900.0}
    world.submit("n0", job_submission(1, **{"hands": 2 * nodes, **small, **cancelled_spec}))
    world.submit("n0", job_submission(2, shape="service", hands=2 * nodes, rank="urgent", **small))
    world.run_until(
        lambda: world.running_task_count(CANCELLED_JOB) == world.specs[CANCELLED_JOB]["hands"], 90
    )
    world.run_until(lambda: world.running_task_count(KEPT_JOB) == 2 * nodes, 60)
    world.run(3)
    return world


def cancel_until_confirmed(world: World, node: str) -> None:
    """Repeat the cancel request, as users do, until it is confirmed."""
    started_at = world.now
    while world.user_request(node, "POST", f"/api/jobs/{CANCELLED_JOB}/cancel")[0] != 200:
        assert world.now - started_at < 6
        world.run(0.2)


def cancel_at_one_controller(world: World, leader: str, others: list[str]) -> None:
    world.state.refused_nodes.add(leader)
    world.run(0.3)
    cancel_until_confirmed(world, others[0])


def cancel_with_lost_answer(world: World, leader: str, others: list[str]) -> None:
    # The controller that made the transaction gets no answer. Another one reads the result and
    # confirms it to the user.
    world.state.refused_nodes.add(leader)
    world.run(0.3)
    world.state.transaction_fault = lambda node, body: (
        "unanswered" if "o/" in json.dumps(body) else None
    )
    world.request_controller(
        others[0], "POST", f"/api/jobs/{CANCELLED_JOB}/cancel", b"", lambda status, body: None
    )
    world.run(0.1)
    world.state.transaction_fault = None
    cancel_until_confirmed(world, others[-1])


def cancel_with_late_write(world: World, leader: str, others: list[str]) -> None:
    def delay_write(node: str, body: dict[str, Any]) -> str | None:
        if not any(CANCELLED_JOB in change.get("drop", "") for change in body["then"]):
            return None
        world.call_later(2.2, lambda: (world.state.commit(body), None)[1])
        return "lost"

    world.state.transaction_fault = delay_write
    world.request_controller(
        others[0], "POST", f"/api/jobs/{CANCELLED_JOB}/cancel", b"", lambda status, body: None
    )
    world.run(1.8)
    world.state.transaction_fault = None
    world.state.refused_nodes.add(leader)
    world.run(0.6)
    assert (
        world.user_request(others[-1], "GET", f"/api/jobs/{CANCELLED_JOB}")[1]["standing"]
        == "aborted"
    )


def cancel_at_two_controllers(world: World, leader: str, others: list[str]) -> None:
    cancel_at_one_controller(world, leader, others)
    cancel_until_confirmed(world, others[-1])


CANCEL_FUNCTIONS = [
    cancel_at_one_controller,
    cancel_with_lost_answer,
    cancel_with_late_write,
    cancel_at_two_controllers,
]
SHAPES: dict[str, dict[str, Any]] = {
    "array": {},
    "service": {"shape": "service", "rank": "production"},
    "gang that saves": {
        "shape": "ensemble",
        "hands": 3,
        "rank": "urgent",
        "waypointS": 5.0,
        "stashS": 3.0,
    },
}


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("cancel", CANCEL_FUNCTIONS)
def test_cancellation_reaches_refused_leader(
    cancel: Callable[[World, str, list[str]], None], shape: str, nodes: int
) -> None:
    world = create_world(nodes, **SHAPES[shape])
    leader = node_with_most_tasks(world)
    starts = len(world.task_starts)
    cancel(world, leader, [n for n in sorted(world.owners) if n != leader])
    confirmed_at = world.now
    world.state.set_outage(True)
    world.run(3.0)
    # The leader learns of it from the answer to its next hint, or stops when its promises end.
    assert world.now - confirmed_at < LEASE_S
    assert world.running_task_count(CANCELLED_JOB) == 0
    world.run(1.3 * CANCEL_S)
    # The leader keeps the service running throughout the outage.
    assert world.running_task_count(KEPT_JOB) == 2 * nodes
    world.state.refused_nodes.clear()
    world.state.set_outage(False)
    world.run(2 * LEASE_S)
    assert world.running_task_count(KEPT_JOB) == 2 * nodes
    assert [s for s in world.task_starts[starts:] if s[1].startswith(KEPT_JOB)] == []
    assert not any(o.cancellations.reported_at for o in world.owners.values())


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 0.8, 2.0, 4.0, 7.0])
@pytest.mark.parametrize("outage_share", [0.5, 1.2])
def test_two_cancellations_and_outages(pause_s: float, outage_share: float) -> None:
    world = create_world()
    for number in (1, 2):
        job_id = f"run-{number:06d}"
        leader = node_with_most_tasks(world, job_id)
        other = next(n for n in world.owners if n != leader)
        world.state.refused_nodes.add(leader)
        world.run(0.2)
        assert world.user_request(other, "POST", f"/api/jobs/{job_id}/cancel")[0] == 200
        world.run(pause_s)
        world.state.set_outage(True)
        world.run(outage_share * CANCEL_S)
        world.state.refused_nodes.clear()
        world.state.set_outage(False)
        world.run(1.0)
    world.run(CANCEL_S)
    assert world.running_task_count(CANCELLED_JOB) == world.running_task_count(KEPT_JOB) == 0


@pytest.mark.parametrize("back_s", [0.05, 0.9])
def test_confirming_controller_restarts(back_s: float) -> None:
    world = create_world()
    leader = node_with_most_tasks(world)
    other = next(n for n in world.owners if n != leader)
    world.state.refused_nodes.add(leader)
    world.run(0.2)
    cancel_until_confirmed(world, other)
    world.kill_node(other)
    world.run(back_s)
    world.start_node(int(other[1:]))
    world.run(0.3)
    world.state.set_outage(True)
    world.run(1.2 * CANCEL_S)
    assert world.running_task_count(CANCELLED_JOB) == 0


def test_relayed_workers_stop_task() -> None:
    # The leader's workers can't reach it. Other controllers, which know of the cancellation, relay
    # their reports and its answers.
    world = create_world()
    leader = node_with_most_tasks(world)
    others = [n for n in world.owners if n != leader]
    cut_off = [m.name for m in world.owners[leader].machines.values() if m.record.shard == leader]
    world.partition([leader], cut_off)
    world.run(7)
    world.state.refused_nodes.add(leader)
    world.run(0.3)
    cancel_until_confirmed(world, others[0])
    world.state.set_outage(True)
    world.run(1.3 * CANCEL_S)
    assert world.running_task_count(CANCELLED_JOB) == 0


def placements(world: World, node: str) -> list[Placement]:
    """Return the tasks that a controller has placed."""
    return [p for machine in world.owners[node].machines.values() for p in machine.tasks.values()]


def test_delayed_launch_after_outage() -> None:
    # No token can be written during the outage, and the worker keeps its lease because its reports
    # are relayed. A launch among the delayed commands would be obeyed after the partition.
    world = create_world()
    leader = node_with_most_tasks(world, KEPT_JOB)
    others = [n for n in world.owners if n != leader]
    cut_off = [m.name for m in world.owners[leader].machines.values() if m.record.shard == leader]
    # Direct commands are held back; reports get through.
    for name in cut_off:
        world.workers[name].direct_commands_blocked = True
    world.submit(leader, job_submission(3, hands=3, vcpus=0.5, memoryGb=1.0))
    world.run(0.1)
    assert any(p.task.startswith("run-000003") for p in placements(world, leader))
    # From now on reports are relayed.
    world.partition([leader], cut_off)
    world.state.refused_nodes.add(leader)
    world.run(0.3)
    assert world.user_request(others[0], "POST", "/api/jobs/run-000003/cancel")[0] == 200
    world.state.set_outage(True)
    world.run(1.2 * CANCEL_S)
    assert "launch" not in json.dumps([world.workers[n].delayed_commands for n in cut_off])
    for name in cut_off:
        world.workers[name].reconnect()
    world.run(5)
    assert world.running_task_count("run-000003") == 0


# Report interval, worker lease and `cancel_s` of the real deployments, in seconds.
DEPLOYMENT_TIMINGS_S = {
    "karakoram": (2.5, 15.25, 40.25),
    "prairie": (3.0, 24.0, 44.0),
    "annex": (1.5, 10.0, 30.0),
}


def use_deployment_timing(monkeypatch: pytest.MonkeyPatch, deployment_name: str) -> None:
    """Make the simulator use the timing of a real deployment for the rest of the test."""
    for name, value in zip(
        ("REPORT_S", "LEASE_S", "CANCEL_S"), DEPLOYMENT_TIMINGS_S[deployment_name], strict=True
    ):
        for module in (deployment, fakes, rule_checker):
            if hasattr(module, name):
                monkeypatch.setattr(module, name, value)


@pytest.mark.parametrize("deployment_name", DEPLOYMENT_TIMINGS_S)
@pytest.mark.parametrize("cancel", CANCEL_FUNCTIONS)
@pytest.mark.parametrize("outage_delay_s", [0.0, 4.0])
def test_deployment_timings(
    cancel: Callable[[World, str, list[str]], None],
    deployment_name: str,
    outage_delay_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_deployment_timing(monkeypatch, deployment_name)
    world = create_world()
    leader = node_with_most_tasks(world)
    cancel(world, leader, [n for n in sorted(world.owners) if n != leader])
    world.run(outage_delay_s)
    world.state.set_outage(True)
    world.run(1.3 * DEPLOYMENT_TIMINGS_S[deployment_name][2])
    assert world.running_task_count(CANCELLED_JOB) == 0 and world.running_task_count(KEPT_JOB) == 6


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("lost", [True, False])
def test_cancelled_sweep_or_point(whole: bool, lost: bool) -> None:
    # Promises do not name points. The leader stops in time because the promises end.
    world = create_world(features=SWEEPS_ENABLED)
    assert submit_sweep(world, "x in 1..12", vcpus=0.5, memoryGb=0.5)[0] == 201
    points = [f"run-s.p{k}" for k in range(12)]
    world.run_until(lambda: sum(map(world.running_task_count, points)) == 12, 60)
    leader = max(
        world.owners, key=lambda n: sum(len(j.placed) for j in world.owners[n].jobs.values())
    )
    first, *_, last = [n for n in sorted(world.owners) if n != leader]
    world.state.refused_nodes.add(leader)
    world.run(0.3)
    path = "/api/sweeps/run-s/cancel" if whole else "/api/jobs/run-s.p3/cancel"
    if lost:
        world.state.transaction_fault = lambda node, body: (
            "unanswered" if "run-s" in json.dumps(body) else None
        )
        world.request_controller(first, "POST", path, b"", lambda status, body: None)
        world.run(0.1)
        world.state.transaction_fault = None
    answer = (0, None)
    started_at = world.now
    while answer[0] != 200 and world.now - started_at < 5:
        answer = world.user_request(last, "POST", path)
    assert answer[0] == 200
    for name in points if whole else [points[3]]:
        world.cancelled_at.setdefault(name, world.now)
    world.state.set_outage(True)
    world.run(1.3 * CANCEL_S)
    assert not any(world.running_task_count(name) for name in (points if whole else [points[3]]))


def test_task_reported_after_cancellation_is_stopped() -> None:
    # The leader has just taken over another controller's machines, which have not reported yet.
    world = create_world()
    world.dead_nodes_refuse = True
    ended, leader, other = sorted(world.owners)
    for name in world.owners[ended].machines:
        world.workers[name].isolated = world.workers[name].direct_commands_blocked = True
    world.kill_node(ended)
    world.run_until(lambda: any(ended in world.owners[n].held_shards for n in (leader, other)), 30)
    if ended not in world.owners[leader].held_shards:
        leader, other = other, leader
    world.state.refused_nodes.add(leader)
    world.run(0.2)
    cancel_until_confirmed(world, other)
    world.run(1.5)
    assert CANCELLED_JOB in world.owners[leader].cancellations.reported_at
    cut_off = [k for k in world.workers.values() if k.isolated]
    assert any(t.startswith(CANCELLED_JOB) for k in cut_off for t in k.live_tasks())
    for worker in cut_off:
        worker.isolated = worker.direct_commands_blocked = False
        worker.node = leader
    world.run(4.0)
    assert world.running_task_count(CANCELLED_JOB) == 0
    assert any(t.startswith(KEPT_JOB) for k in cut_off for t in k.live_tasks())


def request_promise(world: World, node: str, applied: int = 0, **fields: Any) -> Promise:
    owner = world.owners[node]
    answers: list[Any] = []
    body = msgspec.json.encode(Hint(fields.pop("asker", "n1"), applied=applied, **fields))
    effects = owner.handle(
        [IncomingRequest("POST", "/hint", body, "x", True)], world.now, world.now
    )
    answers = [e.body for e in effects if isinstance(e, Reply) and e.exchange == "x"]
    assert isinstance(answers[0], Promise)
    return answers[0]


def test_promise_names_cancellations_and_floor() -> None:
    world = create_world()
    before = world.owners["n0"].mirror.applied
    cancel_until_confirmed(world, "n0")
    promise = request_promise(world, "n0", before)
    assert promise.cancelled == [CANCELLED_JOB] and promise.for_s == 0
    assert promise.floor is not None and promise.floor <= before < promise.cancels
    # A peer that has read the cancellation gets no names; an unknown controller gets nothing.
    assert request_promise(world, "n0", world.owners["n0"].mirror.applied).cancelled == []
    assert request_promise(world, "n0", before, asker="n9") == Promise()
    # With more cancellations than are remembered, only a peer that has read far enough is covered.
    cancellations = world.owners["n0"].cancellations
    for n in range(400):
        cancellations.record_confirmed(f"run-x{n}", promise.cancels + n)
    many = request_promise(world, "n0", before)
    assert many.floor is not None and many.floor > promise.cancels and many.cancels >= many.floor
    assert len(msgspec.json.encode(many)) < 64 * 1024


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"[]",
        b'{"for_s": "long"}',
        b'{"for_s": 7.0, "cancelled": 3}',
        b'{"for_s": 7.0, "floor": "x"}',
        b'{"for_s": -1.0}',
        b'{"for_s": 7.0, "cancels": 99999999}',
        b'{"for_s": 7.0, "floor": 99999999}',
    ],
)
def test_invalid_promise_extends_no_authority(answer: bytes) -> None:
    world = create_world()
    owner = world.owners["n0"]
    until = owner.leadership.may_act_until()
    for peer in owner.settings.peers:
        owner.peers._on_hint_answered(peer.node, world.now)(200, answer)
    assert owner.leadership.may_act_until() == until


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b"[1]",
        b'{"node": "n1", "applied": "far"}',
        b'{"node": "n1", "cancelled": {}}',
        b'{"node": "n9"}',
    ],
)
def test_invalid_hint_gets_no_promise_and_is_logged_once(
    body: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", "sagecove.peers")
    world = create_world()
    world.state.set_outage(True)
    world.run(2)
    owner = world.owners["n0"]
    given = owner.leadership.own_promises_until
    for _ in range(3):
        request = IncomingRequest("POST", "/hint", body, "odd", True)
        effects = owner.handle([request], world.now, world.now)
        answers = [e for e in effects if isinstance(e, Reply) and e.exchange == "odd"]
        assert [e.status for e in answers] == ([200] if b"n9" in body else [400])
        assert answers[0].body == Promise() or answers[0].status == 400
    assert owner.leadership.own_promises_until == given
    assert (
        len(
            [
                r
                for r in caplog.records
                if "unreadable" in r.message or "unknown controller" in r.message
            ]
        )
        == 1
    )


def test_promise_of_older_build() -> None:
    world = create_world()
    owner = world.owners["n0"]
    applied = owner.mirror.applied
    for cancels, more in ((applied + 1, 0.0), (applied, owner.leadership.lease_s)):
        until = owner.leadership.may_act_until()
        for peer in owner.settings.peers:
            # A promise of any length counts for at most one lease length of the receiver.
            raw = json.dumps({"for_s": 1e6, "cancels": cancels}).encode()
            owner.peers._on_hint_answered(peer.node, world.now + 5.0)(200, raw)
        assert owner.leadership.may_act_until() <= max(until, world.now + 5.0 + more)
        assert (owner.leadership.may_act_until() > until) == bool(more)


def test_false_cancellation_report_is_corrected() -> None:
    world = create_world()
    leader = node_with_most_tasks(world)
    world.state.refused_nodes.add(leader)
    world.run(0.5)
    world.owners[leader].cancellations.stop_reported(
        [CANCELLED_JOB, KEPT_JOB, "run-999999", "no name", ""]
    )
    world.run(3)
    assert set(world.owners[leader].cancellations.reported_at) == {CANCELLED_JOB, KEPT_JOB}
    # It confirms nothing to users because of such a report.
    assert world.user_request(leader, "GET", f"/api/jobs/{CANCELLED_JOB}")[0] == 503
    world.state.refused_nodes.clear()
    world.run(20)
    assert (
        world.running_task_count(CANCELLED_JOB) == world.specs[CANCELLED_JOB]["hands"]
        and world.running_task_count(KEPT_JOB) == 6
    )
    assert not world.owners[leader].cancellations.reported_at


def test_stop_bound_fits_into_cancel_s() -> None:
    for lease_s in (4.0, 10.0, 12.0, 15.25, 24.0, 60.0):
        for more in (7.0, 10.0, 20.0, 25.0, 100.0):
            s = controller_settings(0)
            workers = s.params.workers
            workers.lease_s, workers.cancel_s = lease_s, lease_s + more
            if s.lease_s >= 2.0:
                # Time during which the leader still acts, the worker's lease, and 4 s for a launch
                # without an answer.
                assert (s.lease_s + lease_s) * (1 + s.clock_drift_ratio) + 4.0 <= workers.cancel_s
                assert s.lease_s < lease_s


def test_model_keeps_bound() -> None:
    assert Model().search() == 153_749


def test_model_keeps_bound_with_two_messages() -> None:
    assert Model(max_messages=2, peers_end=False).search() == 69_559


@pytest.mark.parametrize("mistake", [m for m in Mistake if m is not Mistake.NONE])
def test_model_finds_mistake(mistake: Mistake) -> None:
    # A promise counted from its arrival does harm only with two messages in flight.
    two_messages = mistake is Mistake.COUNTED_FROM_ARRIVAL
    with pytest.raises(InvariantViolation):
        Model(mistake, max_messages=1 + two_messages, peers_end=not two_messages).search()

"""A leader that the state service refuses alone, cancellations confirmed by others meanwhile, and
then nobody served for longer than `cancel_s`. World.check holds every task against the bound."""

import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from models.cancellations import Broken, Mistake, Model
from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.lab import deployment, models, rules
from sagecove.lab.deployment import CANCEL_S, LEASE_S, job, settings
from sagecove.lab.world import World
from sagecove.protocol.peers import Hint, Promise
from tests.test_sweeps import ON, submit

DOOMED = "run-000001"
KEPT = "run-000002"


def node_with_most_tasks(w: World, job_id: str = DOOMED) -> str:
    """Who has most tasks of a job."""
    return max(w.owners, key=lambda n: len(w.owners[n].jobs[job_id].placed))


def world(nodes: int = 3, features: Any = None, **doomed: Any) -> World:
    """Each machine with a task of the job to be cancelled and one of a service that stays."""
    w = World(nodes=nodes, features=features)
    w.cloud.capacity = {"small": 3 * nodes, "gpu": 0}
    for i in range(3 * nodes):
        w.cloud.start("small", "ab"[i % 2], False)
    w.run(3)
    for worker in w.workers.values():
        worker.run_s = 1000.0
    small = {"vcpus": 1.0, "memoryGb": 2.0, "reckonS": 900.0}
    w.submit("n0", job(1, **{"hands": 2 * nodes, **small, **doomed}))
    w.submit("n0", job(2, shape="service", hands=2 * nodes, rank="urgent", **small))
    w.until(lambda: w.running(DOOMED) == w.specs[DOOMED]["hands"], 90)
    w.until(lambda: w.running(KEPT) == 2 * nodes, 60)
    w.run(3)
    return w


def persist(w: World, node: str) -> None:
    """Cancel as users do: until it is confirmed."""
    begun = w.now
    while w.user(node, "POST", f"/api/jobs/{DOOMED}/cancel")[0] != 200:
        assert w.now - begun < 6
        w.run(0.2)


def by_one(w: World, lead: str, others: list[str]) -> None:
    w.state.refused.add(lead)
    w.run(0.3)
    persist(w, others[0])


def by_another_after_a_lost_answer(w: World, lead: str, others: list[str]) -> None:
    # The one whose transaction it is never learns of it; a second one reads it and tells the user.
    w.state.refused.add(lead)
    w.run(0.3)
    w.state.hook = lambda node, body: "unanswered" if "o/" in json.dumps(body) else None
    w.ask(others[0], "POST", f"/api/jobs/{DOOMED}/cancel", b"", lambda status, body: None)
    w.run(0.1)
    w.state.hook = None
    persist(w, others[-1])


def by_a_late_write(w: World, lead: str, others: list[str]) -> None:
    def astray(node: str, body: dict[str, Any]) -> str | None:
        if not any(DOOMED in change.get("drop", "") for change in body["then"]):
            return None
        w.later(2.2, lambda: (w.state.commit(body), None)[1])
        return "lost"

    w.state.hook = astray
    w.ask(others[0], "POST", f"/api/jobs/{DOOMED}/cancel", b"", lambda status, body: None)
    w.run(1.8)
    w.state.hook = None
    w.state.refused.add(lead)
    w.run(0.6)
    assert w.user(others[-1], "GET", f"/api/jobs/{DOOMED}")[1]["standing"] == "aborted"


def by_a_repeated_request(w: World, lead: str, others: list[str]) -> None:
    by_one(w, lead, others)
    persist(w, others[-1])


WAYS = [by_one, by_another_after_a_lost_answer, by_a_late_write, by_a_repeated_request]
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
@pytest.mark.parametrize("way", WAYS)
def test_confirmed_cancellations_reach_a_refused_leader_through_an_outage(
    way: Callable[[World, str, list[str]], None], shape: str, nodes: int
) -> None:
    w = world(nodes, **SHAPES[shape])
    lead = node_with_most_tasks(w)
    starts = len(w.starts)
    way(w, lead, [n for n in sorted(w.owners) if n != lead])
    confirmed = w.now
    w.state.outage(True)
    w.run(3.0)
    # It is told with the answer to its next hint, or by its own promises' end.
    assert w.now - confirmed < LEASE_S
    assert w.running(DOOMED) == 0
    w.run(1.3 * CANCEL_S)
    # What was not cancelled lives on with it, all through the outage.
    assert w.running(KEPT) == 2 * nodes
    w.state.refused.clear()
    w.state.outage(False)
    w.run(2 * LEASE_S)
    assert w.running(KEPT) == 2 * nodes
    assert [s for s in w.starts[starts:] if s[1].startswith(KEPT)] == []
    assert not any(o.cancellations.withheld for o in w.owners.values())


@pytest.mark.parametrize("between", [0.0, 0.3, 0.8, 2.0, 4.0, 7.0])
@pytest.mark.parametrize("share", [0.5, 1.2])
def test_whenever_the_outage_begins_and_twice_in_a_row(between: float, share: float) -> None:
    w = world()
    for number in (1, 2):
        doomed = f"run-{number:06d}"
        lead = node_with_most_tasks(w, doomed)
        other = next(n for n in w.owners if n != lead)
        w.state.refused.add(lead)
        w.run(0.2)
        assert w.user(other, "POST", f"/api/jobs/{doomed}/cancel")[0] == 200
        w.run(between)
        w.state.outage(True)
        w.run(share * CANCEL_S)
        w.state.refused.clear()
        w.state.outage(False)
        w.run(1.0)
    w.run(CANCEL_S)
    assert w.running(DOOMED) == w.running(KEPT) == 0


@pytest.mark.parametrize("back_s", [0.05, 0.9])
def test_who_confirmed_ends_and_is_back_before_it_promises(back_s: float) -> None:
    w = world()
    lead = node_with_most_tasks(w)
    other = next(n for n in w.owners if n != lead)
    w.state.refused.add(lead)
    w.run(0.2)
    persist(w, other)
    w.kill(other)
    w.run(back_s)
    w.boot_node(int(other[1:]))
    w.run(0.3)
    w.state.outage(True)
    w.run(1.2 * CANCEL_S)
    assert w.running(DOOMED) == 0


def test_workers_that_come_by_another_controller_are_not_kept_alive() -> None:
    # The leader's workers can't get through to it: their reports and its answers are passed on by
    # the others, which know of the cancellation.
    w = world()
    lead = node_with_most_tasks(w)
    others = [n for n in w.owners if n != lead]
    far = [m.name for m in w.owners[lead].machines.values() if m.record.shard == lead]
    w.part([lead], far)
    w.run(7)
    w.state.refused.add(lead)
    w.run(0.3)
    persist(w, others[0])
    w.state.outage(True)
    w.run(1.3 * CANCEL_S)
    assert w.running(DOOMED) == 0


def test_a_launch_held_up_on_its_way_does_not_start_a_cancelled_job_after_the_outage() -> None:
    # Nobody can write a token while the state service is down, and the worker is answered all the
    # while by way of another controller: the old launch would be obeyed at the end of the cut.
    w = world()
    lead = node_with_most_tasks(w, KEPT)
    others = [n for n in w.owners if n != lead]
    far = [m.name for m in w.owners[lead].machines.values() if m.record.shard == lead]
    # Direct commands are held; reports get through.
    for name in far:
        w.workers[name].cut_direct = True
    w.submit(lead, job(3, hands=3, vcpus=0.5, memoryGb=1.0))
    w.run(0.1)
    doubted = [n for n in far if any("run-000003" in json.dumps(c) for c in w.workers[n].held)]
    assert doubted
    # Nor did the answers to reports bring it, and now they come by way of the others.
    w.part([lead], far)
    w.state.refused.add(lead)
    w.run(0.3)
    assert w.user(others[0], "POST", "/api/jobs/run-000003/cancel")[0] == 200
    w.state.outage(True)
    w.run(1.2 * CANCEL_S)
    for name in far:
        w.workers[name].go_on()
    w.run(5)
    assert w.running("run-000003") == 0


# The deployments' own: a report, a worker's lease, `cancel_s`.
RATIOS = {
    "karakoram": (2.5, 15.25, 40.25),
    "prairie": (3.0, 24.0, 44.0),
    "annex": (1.5, 10.0, 30.0),
}


def use_deployment_timing(monkeypatch: pytest.MonkeyPatch, ratio: str) -> None:
    """What is played from here on goes by a deployment's own times."""
    for name, value in zip(("REPORT_S", "LEASE_S", "CANCEL_S"), RATIOS[ratio], strict=True):
        for module in (deployment, models, rules):
            if hasattr(module, name):
                monkeypatch.setattr(module, name, value)


@pytest.mark.parametrize("ratio", RATIOS)
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("lead_s", [0.0, 4.0])
def test_at_the_deployments_own_ratios(
    way: Callable[[World, str, list[str]], None],
    ratio: str,
    lead_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_deployment_timing(monkeypatch, ratio)
    w = world()
    lead = node_with_most_tasks(w)
    way(w, lead, [n for n in sorted(w.owners) if n != lead])
    w.run(lead_s)
    w.state.outage(True)
    w.run(1.3 * RATIOS[ratio][2])
    assert w.running(DOOMED) == 0 and w.running(KEPT) == 6


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("lost", [True, False])
def test_a_sweep_or_a_point_of_one_cancelled_behind_the_leaders_back(
    whole: bool, lost: bool
) -> None:
    # Points are not named: the leader stops in time, by its promises' end.
    w = world(features=ON)
    assert submit(w, "x in 1..12", vcpus=0.5, memoryGb=0.5)[0] == 201
    points = [f"run-s.p{k}" for k in range(12)]
    w.until(lambda: sum(map(w.running, points)) == 12, 60)
    lead = max(w.owners, key=lambda n: sum(len(j.placed) for j in w.owners[n].jobs.values()))
    first, *_, last = [n for n in sorted(w.owners) if n != lead]
    w.state.refused.add(lead)
    w.run(0.3)
    path = "/api/sweeps/run-s/cancel" if whole else "/api/jobs/run-s.p3/cancel"
    if lost:
        w.state.hook = lambda node, body: "unanswered" if "run-s" in json.dumps(body) else None
        w.ask(first, "POST", path, b"", lambda status, body: None)
        w.run(0.1)
        w.state.hook = None
    told = (0, None)
    begun = w.now
    while told[0] != 200 and w.now - begun < 5:
        told = w.user(last, "POST", path)
    assert told[0] == 200
    for name in points if whole else [points[3]]:
        w.cancelled.setdefault(name, w.now)
    w.state.outage(True)
    w.run(1.3 * CANCEL_S)
    assert not any(w.running(name) for name in (points if whole else [points[3]]))


def test_a_task_first_heard_of_after_its_job_was_stopped_is_stopped() -> None:
    # The leader has just taken another's machines, and has not heard of them yet.
    w = world()
    w.refuses = True
    gone, lead, other = sorted(w.owners)
    for name in w.owners[gone].machines:
        w.workers[name].cut = w.workers[name].cut_direct = True
    w.kill(gone)
    w.until(lambda: any(gone in w.owners[n].held_shards for n in (lead, other)), 30)
    if gone not in w.owners[lead].held_shards:
        lead, other = other, lead
    w.state.refused.add(lead)
    w.run(0.2)
    persist(w, other)
    w.run(1.5)
    assert DOOMED in w.owners[lead].cancellations.withheld
    far = [k for k in w.workers.values() if k.cut]
    assert any(t.startswith(DOOMED) for k in far for t in k.live())
    for worker in far:
        worker.cut = worker.cut_direct = False
        worker.node = lead
    w.run(4.0)
    assert w.running(DOOMED) == 0
    assert any(t.startswith(KEPT) for k in far for t in k.live())


def promise_of(w: World, node: str, applied: int = 0, **fields: Any) -> Promise:
    owner = w.owners[node]
    told: list[Any] = []
    body = msgspec.json.encode(Hint(fields.pop("asker", "n1"), applied=applied, **fields))
    effects = owner.handle([IncomingRequest("POST", "/hint", body, "x", True)], w.now, w.now)
    told = [e.body for e in effects if isinstance(e, Reply) and e.exchange == "x"]
    assert isinstance(told[0], Promise)
    return told[0]


def test_a_promise_names_what_was_told_and_says_how_far_back_that_goes() -> None:
    w = world()
    before = w.owners["n0"].mirror.applied
    persist(w, "n0")
    told = promise_of(w, "n0", before)
    assert told.cancelled == [DOOMED] and told.for_s == 0
    assert told.floor is not None and told.floor <= before < told.cancels
    # Who has read it needs no name; who is not in the settings gets nothing.
    assert promise_of(w, "n0", w.owners["n0"].mirror.applied).cancelled == []
    assert promise_of(w, "n0", before, asker="n9") == Promise()
    # More than is remembered: only who has read as far is covered.
    cancels = w.owners["n0"].cancellations
    for n in range(400):
        cancels.record_confirmed(f"run-x{n}", told.cancels + n)
    many = promise_of(w, "n0", before)
    assert many.floor is not None and many.floor > told.cancels and many.cancels >= many.floor
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
def test_what_is_no_promise_gives_no_authority(answer: bytes) -> None:
    w = world()
    owner = w.owners["n0"]
    until = owner.leadership.acting_until()
    for peer in owner.settings.peers:
        owner.peers._hinted(peer.node, w.now)(200, answer)
    assert owner.leadership.acting_until() == until


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
def test_odd_hints_get_no_promise_and_one_line_in_the_log(
    body: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", "sagecove.peers")
    w = world()
    w.state.outage(True)
    w.run(2)
    owner = w.owners["n0"]
    given = owner.leadership.given_until
    for _ in range(3):
        ask = IncomingRequest("POST", "/hint", body, "odd", True)
        effects = owner.handle([ask], w.now, w.now)
        told = [e for e in effects if isinstance(e, Reply) and e.exchange == "odd"]
        assert [e.status for e in told] == ([200] if b"n9" in body else [400])
        assert told[0].body == Promise() or told[0].status == 400
    assert owner.leadership.given_until == given
    assert (
        len([r for r in caplog.records if "unreadable" in r.message or "stranger" in r.message])
        == 1
    )


def test_promises_of_an_earlier_build_count_by_what_has_been_read() -> None:
    w = world()
    owner = w.owners["n0"]
    applied = owner.mirror.applied
    for cancels, more in ((applied + 1, 0.0), (applied, owner.leadership.lease_s)):
        until = owner.leadership.acting_until()
        for peer in owner.settings.peers:
            # However long it is, it counts for no more than a length of one's own.
            raw = json.dumps({"for_s": 1e6, "cancels": cancels}).encode()
            owner.peers._hinted(peer.node, w.now + 5.0)(200, raw)
        assert owner.leadership.acting_until() <= max(until, w.now + 5.0 + more)
        assert (owner.leadership.acting_until() > until) == bool(more)


def test_what_a_peer_says_wrongly_is_put_right_by_the_state_service() -> None:
    w = world()
    lead = node_with_most_tasks(w)
    w.state.refused.add(lead)
    w.run(0.5)
    w.owners[lead].cancellations.stop([DOOMED, KEPT, "run-999999", "no name", ""])
    w.run(3)
    assert set(w.owners[lead].cancellations.withheld) == {DOOMED, KEPT}
    # It tells no user by it.
    assert w.user(lead, "GET", f"/api/jobs/{DOOMED}")[0] == 503
    w.state.refused.clear()
    w.run(20)
    assert w.running(DOOMED) == w.specs[DOOMED]["hands"] and w.running(KEPT) == 6
    assert not w.owners[lead].cancellations.withheld


def test_the_bound_fits_into_cancel_s_for_all_settings_taken() -> None:
    for lease_s in (4.0, 10.0, 12.0, 15.25, 24.0, 60.0):
        for more in (7.0, 10.0, 20.0, 25.0, 100.0):
            s = settings(0)
            workers = s.params.workers
            workers.lease_s, workers.cancel_s = lease_s, lease_s + more
            if s.lease_s >= 2.0:
                # Acting on, a launch without an answer, the worker's own lease.
                assert (s.lease_s + lease_s) * (1 + s.drift) + 4.0 <= workers.cancel_s
                assert s.lease_s < lease_s


def test_every_order_of_a_few_steps_keeps_the_bound() -> None:
    assert Model().search() == 153_749


def test_every_order_with_messages_of_both_givers_under_way_keeps_the_bound() -> None:
    assert Model(messages=2, ends=False).search() == 69_559


@pytest.mark.parametrize("mistake", [m for m in Mistake if m is not Mistake.NONE])
def test_mistakes_are_found(mistake: Mistake) -> None:
    # A promise dated from its arrival takes two that are under way at a time to do harm.
    two = mistake is Mistake.DATED_LATE
    with pytest.raises(Broken):
        Model(mistake, messages=1 + two, ends=not two).search()

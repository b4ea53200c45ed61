"""Machines that do not hear, late copies of reports, machines that begin anew, odd reports.

`World` watches for tasks that start twice, for limits and for tasks of cancelled jobs all along.
"""

import json
from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, REPORT_S, job
from sagecove.lab.models import FakeWorker
from sagecove.lab.world import World, with_machines


def busy(machines: int = 9, hands: int = 18, seed: int = 1) -> World:
    """Three controllers; a service that fills its machines but for one a controller."""
    w = World(seed=seed, teams=[{"name": "red", "cpus": 16, "cpus_max": 0}])
    w.cloud.capacity = {"small": machines, "gpu": 0}
    w.run(3)
    for n in range(machines):
        w.cloud.start("small", "ab"[n % 2], False)
    w.run(5)
    w.submit("n0", job(1, shape="service", hands=hands))
    w.until(lambda: w.running("run-000001") == hands, 60)
    w.run(3)
    return w


def one_with(w: World, count: int) -> FakeWorker:
    return next(k for k in w.workers.values() if len(k.live()) == count)


def marks(w: World, name: str) -> set[str]:
    """Why a machine was to be returned, if it was."""
    key = f"s/machine/{name}"
    return {v["leaving"] for _, k, v in w.state.changes if k == key and v and v.get("leaving")}


# -- one way only --------------------------------------------------------------------------------


def test_tasks_on_a_machine_that_does_not_hear_begin_elsewhere() -> None:
    # Its reports kept it alive: what was sent to it waited there for as long as they came.
    w = busy(hands=12)
    deaf = one_with(w, 0)
    w.unreached.add(deaf.name)
    w.submit("n0", job(2, shape="service", hands=2, vcpus=4.0, rank="production"))
    w.until(lambda: w.running("run-000002") == 2 or len(w.cloud.machines) > 9, 60)
    w.cloud.capacity["small"] = 12
    w.until(lambda: w.running("run-000002") == 2, 4 * LEASE_S)
    assert not deaf.live()


def test_a_machine_that_lost_its_tasks_unheard_is_left_alone_until_it_hears() -> None:
    w = busy()
    deaf = one_with(w, 2)
    w.unreached.add(deaf.name)
    w.until(lambda: not deaf.live(), 3 * LEASE_S)
    # No more than a few launches go there, and it is returned in the end.
    w.until(lambda: "does not hear" in marks(w, deaf.name), 12 * LEASE_S)
    w.until(lambda: w.running("run-000001") == 18, 60)
    # Its reports reach every controller in turn, and cost no write but a few.
    record = f"s/machine/{deaf.name}"
    assert sum(k == record for _, k, _ in w.state.changes) <= 8


def test_a_machine_that_hears_again_is_used_again() -> None:
    w = busy(machines=6, hands=12)
    w.cloud.capacity = {"small": 0, "gpu": 0}
    deaf = one_with(w, 2)
    w.unreached.add(deaf.name)
    w.run(2.5 * LEASE_S)
    assert not deaf.live()
    w.unreached.clear()
    w.until(lambda: len(deaf.live()) == 2, 6 * LEASE_S)
    assert not marks(w, deaf.name)


def test_a_holder_whose_answers_reach_nobody_is_helped_by_the_others() -> None:
    # Many do not hear at once: it is the holder's way out that is cut. Another passes answers on.
    w = busy()
    holder = "n1"
    mine = [n for n in w.workers if w.owners[holder].machines[n].record.shard == holder]
    starts = len(w.starts)
    for name in mine:
        w.cut_links.add((holder, w.workers[name].info["addr"]))
    answers = w.ask

    def lost(node: str, method: str, path: str, body: Any, answer: Any) -> None:
        if path == "/hello" and node == holder and body["mount"] in mine:
            answers(node, method, path, body, lambda status, raw: None)
        else:
            answers(node, method, path, body, answer)

    w.ask = lost  # type: ignore[method-assign]
    w.run(3 * LEASE_S)
    assert w.running("run-000001") == 18 and len(w.starts) == starts
    assert not any(marks(w, name) for name in mine)


# -- late copies ---------------------------------------------------------------------------------


@pytest.mark.parametrize("delay", [1.0, 5.0, LEASE_S / 2, 3 * LEASE_S])
@pytest.mark.parametrize("event", ["calm", "takeover", "restart", "return", "session", "hand over"])
def test_a_report_that_comes_once_more_changes_nothing(delay: float, event: str) -> None:
    w = busy(hands=12)
    one = one_with(w, 0 if event == "hand over" else 2)
    w.copies[one.name] = [delay]
    w.run(3)
    home = w.owners["n0"].machines[one.name].record.shard
    before = len(w.starts)
    if event == "takeover":
        w.kill(home)
    elif event == "restart":
        w.kill(home)
        w.run(0.4)
        w.boot_node(int(home[1:]))
    elif event == "return":
        w.cloud.capacity["small"] = 8
        answered: list[int] = []
        w.cloud.request(
            "POST", "/machines/delete", {"mounts": [one.name]}, lambda s, b: answered.append(s or 0)
        )
    elif event == "session":
        one.cut = True
        w.run(1.2 * LEASE_S)
        one.cut = False
    elif event == "hand over":
        record = w.state.keys[f"s/machine/{one.name}"][0]
        other = next(n for n in w.owners if n != home)
        moved = {**record, "shard": other}
        w.state.commit({"if": [], "then": [{"put": f"s/machine/{one.name}", "v": moved}]})
    w.run(LEASE_S + delay)
    w.copies.clear()
    w.run(delay + 5)
    if event in ("calm", "takeover", "restart"):
        assert len(w.starts) == before
    if event == "calm":
        assert not marks(w, one.name) and w.running("run-000001") == 12
    if event == "return":
        # What is gone was not taken in again, nor paid for.
        w.until(lambda: f"s/machine/{one.name}" not in w.state.keys, 60)
        gone = w.state.ledger
        w.run(30)
        assert not [k for at, k, v in w.state.changes if at > gone and one.name in k and v]
    w.until(lambda: w.running("run-000001") == 12 or event in ("return", "session"), 90)


def test_a_copy_does_not_keep_a_dead_machine_alive() -> None:
    w = busy()
    one = one_with(w, 2)
    w.copies[one.name] = [0.5 * n for n in range(1, 80)]
    w.run(2.5)
    one.dead = True
    w.cloud.capacity["small"] = 12
    # Silence of a report's way, then its deletion; or its lease: not the copies' 40 s.
    assert w.until(lambda: bool(marks(w, one.name)) or w.running("run-000001") == 18, 60) < 15


def test_copies_of_a_machine_that_is_gone_adopt_nothing_after_a_restart_of_all() -> None:
    w = busy()
    one = one_with(w, 0) if any(not k.live() for k in w.workers.values()) else one_with(w, 2)
    w.copies[one.name] = [30.0, 40.0, 50.0]
    w.run(5)
    w.cloud.request("POST", "/machines/delete", {"mounts": [one.name]}, lambda s, b: None)
    w.until(lambda: f"s/machine/{one.name}" not in w.state.keys, 60)
    gone = w.state.ledger
    # Nobody remembers that it is gone.
    for n in range(3):
        w.kill(f"n{n}")
        w.boot_node(n)
    w.run(60)
    assert not [k for at, k, v in w.state.changes if at > gone and one.name in k and v]


# -- machines that begin anew --------------------------------------------------------------------


@pytest.mark.parametrize("old_launches", [False, True])
def test_a_machine_that_is_back_at_once_is_not_taken_for_a_copy(old_launches: bool) -> None:
    # Its reports looked older than those before, and were refused until it was returned.
    w = busy(machines=6, hands=12)
    w.cloud.capacity = {"small": 0, "gpu": 0}
    one = one_with(w, 2)
    late: list[dict[str, Any]] = []
    if old_launches:
        # Launches that were sent before, under the token the holder has now.
        owner = next(
            o
            for o in w.owners.values()
            if one.name in o.machines
            and any(m.tasks for m in o.machines.values() if m.name == one.name)
        )
        machine = owner.machines[one.name]
        token = max(owner.held_shards[machine.record.shard].term, machine.stamp)
        late = [
            {"brand": token, "ride": 1, "orders": [{"verb": "launch", "hand": t, "try": p.attempt}]}
            for t, p in machine.tasks.items()
        ]
    w.run(0.3)
    one.restart()
    w.until(lambda: len(one.live()) == 2, 3 * LEASE_S)
    starts = len(w.starts)
    for command in late:
        # By now they are stale.
        assert one.commands(command)[0] == 409
    w.run(20)
    assert len(w.starts) == starts and not marks(w, one.name)


def test_it_is_asked_before_it_is_believed() -> None:
    # A copy of its first report, long after: the machine says that it has gone on.
    w = busy()
    one = one_with(w, 2)
    starts = len(w.starts)
    copy = json.loads(json.dumps(one.body()))
    copy["tally"], copy["brand"], copy["hands"] = 1, 0, []
    for node in w.owners:
        w.ask(node, "POST", "/hello", copy, lambda status, body: None)
        w.run(2 * REPORT_S)
    w.run(20)
    assert w.running("run-000001") == 18 and len(w.starts) == starts


# -- odd reports ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "odd",
    [
        {"tally": 1},
        {"ride": 2**40},
        {"brand": 2**60},
        {"hands": [{"hand": "run-999999/0", "try": 1, "standing": "running"}]},
        {"hands": [{"hand": "run-000001/0", "try": 1, "standing": "running"}]},
        {"hands": [{"hand": "run-000001/77777", "try": 1, "standing": "exited", "cause": "done"}]},
        {"mount": "vm-999999"},
    ],
)
def test_odd_reports_end_in_a_safe_state(odd: dict[str, Any]) -> None:
    w = busy()
    one = one_with(w, 2)
    said = {**one.body(), **odd}
    for node in w.owners:
        w.ask(node, "POST", "/hello", said, lambda status, body: None)
    w.run(40)
    # No controller ended, and what runs, runs once (`World.started`).
    assert len(w.owners) == 3
    w.cloud.capacity["small"] = 12
    w.until(lambda: w.running("run-000001") == 18, 120)


def test_with_machines_that_restart_one_after_the_other_all_is_done_once() -> None:
    w = with_machines(6)
    for n in range(6):
        w.submit(f"n{n % 3}", job(n, hands=3))
        one = w.random.choice(sorted(w.workers))
        w.workers[one].restart()
        w.run(1.5)
    w.until(lambda: len(w.completed) == 18, 200)

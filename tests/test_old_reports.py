"""An old report reaches every controller just as a new leader begins, whose order of reports is
forgotten; or it is held back until the new leader has acted, and arrives there. Nothing it says
counts as present: tasks, session, address, that the machine was heard of or can be reached."""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, REPORT_S, job
from sagecove.lab.world import World
from tests.test_meetings import DOOMED, LONG, mine, others, settle, world
from tests.test_refused_leader import node_with_most_tasks


def wait_for_takeover(w: World, lead: str) -> str:
    """Somebody takes the shard of a leader that has ended: until it acts for it."""

    def taker() -> str | None:
        acting = {n: o.shards.active_shards(w.now) for n, o in w.owners.items()}
        return next((n for n, shards in acting.items() if lead in shards and n != lead), None)

    w.until(lambda: taker() is not None, 4 * LEASE_S)
    found = taker()
    assert found is not None
    return found


def ended(w: World, lead: str) -> None:
    w.kill(lead)


def alone(w: World, lead: str) -> None:
    w.alone(lead, False)


def at_once(w: World, lead: str) -> None:
    w.kill(lead)
    w.later(0.2, lambda: w.boot_node(int(lead[1:])))


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("which", ["first", "oldest", "last", "all"])
@pytest.mark.parametrize("change", [ended, alone, at_once])
@pytest.mark.parametrize("after", [0.0, 0.1, 1.0, 3.0])
def test_old_reports_reach_every_controller_as_a_new_leader_begins(
    after: float, change: Any, which: str, nodes: int
) -> None:
    w = world([], nodes)
    lead = node_with_most_tasks(w, DOOMED)
    for worker in mine(w, lead):
        w.overheard[worker.name] = []
    w.run(4 * REPORT_S)
    # Two of its machines lose power, one of them with all it had a moment ago.
    dead = [worker for worker in mine(w, lead) if worker.tasks][:2]
    w.user(others(w, lead)[0], "POST", f"/api/jobs/{DOOMED}/cancel")
    w.run(0.5)
    for worker in dead:
        worker.dead, worker.tasks = True, {}
        w.cloud.machines.pop(worker.name, None)
    change(w, lead)
    if change is not at_once:
        wait_for_takeover(w, lead)
    else:
        w.until(lambda: lead in w.owners and lead in w.owners[lead].shards.active_shards(w.now), 40)
    w.run(after)
    begun = w.now
    late = {
        "first": lambda raws: raws[:1],
        "oldest": lambda raws: raws[:3],
        "last": lambda raws: raws[-1:],
        "all": lambda raws: raws,
    }[which]
    kept = [raw for raws in w.overheard.values() for raw in late(raws)]
    w.overheard.clear()
    assert kept
    for raw in kept:
        w.again(raw, sorted(w.owners))
    w.run(0.6)
    for owner in w.owners.values():
        for worker in dead:
            machine = owner.machines.get(worker.name)
            # It is known by no old list, and nothing runs there for all that is told now.
            if machine is not None and machine.record.shard in owner.shards.active_shards(w.now):
                assert not machine.tasks_known
    # They are given up as soon as without any copy, and their work goes elsewhere.
    w.cloud.capacity["small"] = 3 * nodes + 2
    w.until(lambda: w.running(LONG) == 2 * nodes, 4 * LEASE_S)
    assert w.now - begun < 3 * LEASE_S
    settle(w)


@pytest.mark.parametrize("hold_s", [0.0, 0.5 * LEASE_S, 2 * LEASE_S])
@pytest.mark.parametrize("nodes", [3, 5])
def test_a_report_is_held_back_until_the_new_leader_has_acted(nodes: int, hold_s: float) -> None:
    # Sent before a task was stopped, a machine given back, a session over: each is told again.
    w = world([], nodes)
    lead = node_with_most_tasks(w, LONG)
    for worker in mine(w, lead):
        w.overheard[worker.name] = []
    w.run(3 * REPORT_S)
    kept = [raws[-1] for raws in w.overheard.values() if raws]
    w.overheard.clear()
    w.kill(lead)
    taker = wait_for_takeover(w, lead)
    w.run(2 * REPORT_S)
    w.user(taker, "POST", f"/api/jobs/{DOOMED}/cancel")
    w.submit(taker, job(3, hands=4, vcpus=0.5, memoryGb=0.5))
    w.run(1.0 + hold_s)
    starts = len(w.starts)
    for raw in kept:
        w.again(raw, [taker])
        w.run(0.05)
    w.run(LEASE_S)
    # What runs goes on where it is, what was cancelled is not taken for running.
    assert w.running(LONG) == 2 * nodes
    assert [t for _, t, _ in w.starts[starts:] if t.startswith((LONG, DOOMED))] == []
    assert not any(o.jobs.get(DOOMED) for o in w.owners.values())
    settle(w)


def test_an_old_report_does_not_make_a_dead_machine_look_heard_of() -> None:
    # Copies keep coming, to every controller: it is returned, and what it ran is begun elsewhere.
    w = world([])
    lead = node_with_most_tasks(w, LONG)
    victim = next(worker for worker in mine(w, lead) if worker.tasks)
    w.overheard[victim.name] = []
    w.run(3 * REPORT_S)
    raw = w.overheard.pop(victim.name)[-1]
    victim.dead, victim.tasks = True, {}
    w.cloud.capacity["small"] = 10

    def again() -> None:
        w.again(raw, sorted(w.owners))
        w.later(0.4, again)

    again()
    w.until(lambda: w.running(LONG) == 6, 3 * LEASE_S)
    w.until(lambda: victim.name in w.cloud.deleted, 5 * LEASE_S)
    w.run(LEASE_S)
    assert all(victim.name not in o.machines for o in w.owners.values())


def test_an_old_report_of_a_machine_that_is_gone_brings_it_back_nowhere() -> None:
    # Whoever begins does not remember that it is gone: it asks the machine.
    w = world([])
    victim = next(worker for worker in w.workers.values() if worker.tasks)
    w.overheard[victim.name] = []
    w.run(3 * REPORT_S)
    raws = w.overheard.pop(victim.name)
    victim.dead, victim.tasks = True, {}
    w.cloud.capacity["small"] = 10
    w.until(lambda: victim.name in w.cloud.deleted, 8 * LEASE_S)
    w.until(lambda: f"s/machine/{victim.name}" not in w.state.keys, 30)
    w.workers[victim.name] = victim
    for n in range(3):
        w.kill(f"n{n}")
        w.boot_node(n)
    for _ in range(40):
        w.run(0.25)
        for raw in raws:
            w.again(raw, sorted(w.owners))
        assert f"s/machine/{victim.name}" not in w.state.keys
    assert all(victim.name not in o.machines for o in w.owners.values())

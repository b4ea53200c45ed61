"""Stories of what size alone can break: many machines, tasks and requests at one time."""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from sagecove.coordination.model import JobRun, Machine
from sagecove.coordination.placement import plan_placements, price_class
from sagecove.coordination.provisioner import ExpectedFleet, ExpectedMachine
from sagecove.lab.deployment import MACHINE_TYPES, job_submission
from sagecove.lab.world import World
from sagecove.protocol import state as wire
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job
from sagecove.storage.records import JobRecord, MachineRecord
from sagecove.storage.store import Outcome, Result, Store

KINDS = {t["sku"]: msgspec.convert(t, MachineType) for t in MACHINE_TYPES}


def run_of(**fields: Any) -> JobRun:
    return JobRun(JobRecord(msgspec.convert(job_submission(1, **fields), Job), 0.0), 1)


def machine(name: str, kind: str, spot: bool = False) -> Machine:
    m = Machine(name, MachineRecord(kind, "a", spot, "n0"), 1, 0.0)
    m.machine_type = KINDS[kind]
    m.price_class = price_class(m.machine_type, spot, 0.05)
    m.tasks_known = True
    return m


class Wire:
    """A state service that takes `room` writes and answers 429 beyond."""

    def __init__(self) -> None:
        self.room = 0
        self.sent: list[str] = []
        self.refused: Callable[[], None] = lambda: None

    def send(
        self,
        method: str,
        path: str,
        body: wire.Transaction,
        timeout: float,
        done: Callable[[int | None, bytes], None],
    ) -> None:
        key = body.changes[0].key
        if self.room <= 0:
            self.refused()
            done(429, b"{}")
            return
        self.room -= 1
        self.sent.append(key)
        done(200, b'{"ledger":1}')


def test_a_burst_of_submissions_is_written_in_order_and_before_all_else() -> None:
    # At the start of a bench day sixty submissions came to one controller: each new one went
    # ahead of those that waited, and the first were answered last, seconds late.
    wired = Wire()
    store = Store(80.0, 30.0, 3, 0.0, wired.send)
    results: list[Result] = []
    for n in range(30):
        store.commit([], [wire.Put(f"later{n}", 1)], results.append)
    for n in range(40):
        store.commit([], [wire.Put(f"user{n}", 1)], results.append, urgent=True)
    wired.room = 40
    store.flush(0.0)
    assert wired.sent == [f"user{n}" for n in range(40)]
    # What they took is owed by the rest, which is sent as the budget recovers.
    wired.room = 100
    assert (store.flush(0.1) or 0) > 0
    for tick in range(2, 60):
        store.flush(tick / 10)
    assert len(wired.sent) == 70


def test_a_429_is_tried_again_in_its_place_and_given_up_at_last() -> None:
    # A 429 was passed on as a refusal; its user came back only a second later.
    wired = Wire()
    store = Store(80.0, 30.0, 3, 0.0, wired.send)
    results: list[Result] = []
    for key in "ab":
        store.commit([], [wire.Put(key, 1)], results.append, urgent=True)
    wired.refused = lambda: store.pause_after_throttling(0.0, 0.2)
    assert store.flush(0.0) is not None
    assert not results
    wired.room = 2
    assert store.flush(0.3) is None
    assert wired.sent == ["a", "b"]
    store.commit([], [wire.Put("c", 1)], results.append)
    for tick in range(1, 40):
        store.flush(0.3 + tick / 4)
    assert [r.outcome for r in results] == [Outcome.DONE, Outcome.DONE, Outcome.REFUSED]


def test_arrays_fill_dear_machines_last_and_one_after_the_other() -> None:
    # Tasks spread thinly over dear machines kept all of them from their return.
    small = [machine(f"s{n}", "small") for n in range(3)]
    dear = [machine(f"d{n}", "gpu") for n in range(3)]
    run = run_of(hands=10)
    planned = plan_placements(run, list(range(10)), small + dear, Random(1), {})
    names = [m.name for _, m in planned]
    assert sorted(names[:6]) == ["s0", "s0", "s1", "s1", "s2", "s2"]
    assert len(set(names[6:])) == 1
    assert [index for index, _ in planned] == list(range(10))


def test_machines_to_come_are_filled_group_by_group() -> None:
    fleet = ExpectedFleet(2.0)
    for n in range(100):
        fleet.add(ExpectedMachine.from_machine(machine(f"s{n}", "small", spot=n % 2 == 0)))
    spot = run_of(hands=60, borrowed=True).spec
    assert fleet.place(spot, 60, None, {}) == 60
    steady = run_of(hands=200).spec
    assert fleet.place(steady, 200, None, {}) <= 100
    assert fleet.place(steady, 1, None, {}) == 0
    half = run_of(hands=4, scatter=True).spec
    fleet.add(ExpectedMachine.from_machine(machine("x", "gpu")))
    assert fleet.place(half, 4, None, {}) == 2


def test_a_gang_of_many_machines_finds_them_in_one_shard() -> None:
    # Machines rented for a gang were shared out among all shards, and it fitted none of them.
    w = World()
    w.run(3)
    gang = job_submission(
        1, shape="ensemble", hands=3, vcpus=12.0, cards=4, memoryGb=40.0, rank="urgent"
    )
    assert w.submit("n1", gang)[0] == 201
    w.run_until(lambda: w.running_task_count("run-000001") == 3, 60)
    shards = {w.owners["n0"].machines[name].record.shard for name in w.workers}
    assert len(shards) == 1


def test_results_of_a_large_array_are_written_together() -> None:
    # Each pass wrote the numbers that had just come in: arrays alone used up the write budget.
    w = World(node_count=1)
    for i in range(30):
        w.cloud.start_machine("small", "ab"[i % 2], False)
    w.run(3)
    for n, worker in enumerate(w.workers.values()):
        worker.task_run_s = 3.0 + 0.37 * n
    writes = [0]

    def count(_: str, body: dict[str, Any]) -> None:
        writes[0] += sum("s/job/" in change.get("put", "") for change in body["then"])

    w.state.transaction_fault = count
    w.submit("n0", job_submission(1, hands=60))
    w.run_until(lambda: len(w.completed_tasks) == 60, 120)
    assert writes[0] < 36
    w.run_until(
        lambda: w.user_request("n0", "GET", "/api/jobs/run-000001")[1]["standing"] == "done", 4
    )

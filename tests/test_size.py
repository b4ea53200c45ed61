"""Regression tests for failures that appear only with many machines, tasks or requests."""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from sagecove.coordination.model import JobRun, Machine
from sagecove.coordination.placement import plan_placements, price_class
from sagecove.coordination.provisioner import ExpectedFleet, ExpectedMachine
from sagecove.lab.deployment import MACHINE_TYPES, job_submission
from sagecove.lab.world import World
from sagecove.protocol import state as state_protocol
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job
from sagecove.storage.records import JobRecord, MachineRecord
from sagecove.storage.store import Outcome, Result, Store

KINDS = {t["sku"]: msgspec.convert(t, MachineType) for t in MACHINE_TYPES}


def job_run(**fields: Any) -> JobRun:
    return JobRun(JobRecord(msgspec.convert(job_submission(1, **fields), Job), 0.0), 1)


def machine(name: str, kind: str, spot: bool = False) -> Machine:
    machine_state = Machine(name, MachineRecord(kind, "a", spot, "n0"), 1, 0.0)
    machine_state.machine_type = KINDS[kind]
    machine_state.price_class = price_class(machine_state.machine_type, spot, 0.05)
    machine_state.tasks_known = True
    return machine_state


class ThrottlingStateService:
    """A state service that accepts `room` writes and answers 429 to further ones."""

    def __init__(self) -> None:
        self.room = 0
        self.sent: list[str] = []
        self.refused: Callable[[], None] = lambda: None

    def send(
        self,
        method: str,
        path: str,
        body: state_protocol.Transaction,
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


def test_burst_of_submissions_is_written_first_and_in_order() -> None:
    # Regression: of sixty submissions to one controller at the start of a benchmark, each new one
    # was written before those that waited, and the first were answered last, seconds late.
    state_service = ThrottlingStateService()
    store = Store(80.0, 30.0, 3, 0.0, state_service.send)
    results: list[Result] = []
    for n in range(30):
        store.commit([], [state_protocol.Put(f"later{n}", 1)], results.append)
    for n in range(40):
        store.commit([], [state_protocol.Put(f"user{n}", 1)], results.append, urgent=True)
    state_service.room = 40
    store.flush(0.0)
    assert state_service.sent == [f"user{n}" for n in range(40)]
    # The other writes wait until the budget, overdrawn by the urgent ones, has recovered.
    state_service.room = 100
    assert (store.flush(0.1) or 0) > 0
    for tick in range(2, 60):
        store.flush(tick / 10)
    assert len(state_service.sent) == 70


def test_throttled_transaction_is_retried_in_order_and_finally_given_up() -> None:
    # Regression: a 429 was passed on as a refusal, and the user retried only a second later.
    state_service = ThrottlingStateService()
    store = Store(80.0, 30.0, 3, 0.0, state_service.send)
    results: list[Result] = []
    for key in "ab":
        store.commit([], [state_protocol.Put(key, 1)], results.append, urgent=True)
    state_service.refused = lambda: store.pause_after_throttling(0.0, 0.2)
    assert store.flush(0.0) is not None
    assert not results
    state_service.room = 2
    assert store.flush(0.3) is None
    assert state_service.sent == ["a", "b"]
    store.commit([], [state_protocol.Put("c", 1)], results.append)
    for tick in range(1, 40):
        store.flush(0.3 + tick / 4)
    assert [r.outcome for r in results] == [Outcome.DONE, Outcome.DONE, Outcome.REFUSED]


def test_arrays_fill_expensive_machines_last_and_one_by_one() -> None:
    # Regression: tasks spread thinly over expensive machines kept all of them from being returned.
    small = [machine(f"s{n}", "small") for n in range(3)]
    expensive = [machine(f"d{n}", "gpu") for n in range(3)]
    run = job_run(hands=10)
    planned = plan_placements(run, list(range(10)), small + expensive, Random(1), {})
    names = [machine_state.name for _, machine_state in planned]
    assert sorted(names[:6]) == ["s0", "s0", "s1", "s1", "s2", "s2"]
    assert len(set(names[6:])) == 1
    assert [index for index, _ in planned] == list(range(10))


def test_expected_machines_are_filled_by_group() -> None:
    fleet = ExpectedFleet(2.0)
    for n in range(100):
        fleet.add(ExpectedMachine.from_machine(machine(f"s{n}", "small", spot=n % 2 == 0)))
    spot = job_run(hands=60, borrowed=True).spec
    assert fleet.place(spot, 60, None, {}) == 60
    steady_job = job_run(hands=200).spec
    assert fleet.place(steady_job, 200, None, {}) <= 100
    assert fleet.place(steady_job, 1, None, {}) == 0
    spread_job = job_run(hands=4, scatter=True).spec
    fleet.add(ExpectedMachine.from_machine(machine("x", "gpu")))
    assert fleet.place(spread_job, 4, None, {}) == 2


def test_machines_rented_for_a_gang_are_in_one_shard() -> None:
    # Regression: machines rented for a gang were spread over all shards, and it fitted in none.
    world = World()
    world.run(3)
    gang = job_submission(
        1, shape="ensemble", hands=3, vcpus=12.0, cards=4, memoryGb=40.0, rank="urgent"
    )
    assert world.submit("n1", gang)[0] == 201
    world.run_until(lambda: world.running_task_count("run-000001") == 3, 60)
    shards = {world.owners["n0"].machines[name].record.shard for name in world.workers}
    assert len(shards) == 1


def test_results_of_a_large_array_are_written_in_batches() -> None:
    # Regression: each pass wrote the results that had just arrived, and arrays alone used up the
    # write budget.
    world = World(node_count=1)
    for i in range(30):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    for n, worker in enumerate(world.workers.values()):
        worker.task_run_s = 3.0 + 0.37 * n
    writes = [0]

    def count_writes(_: str, body: dict[str, Any]) -> None:
        writes[0] += sum("s/job/" in change.get("put", "") for change in body["then"])

    world.state.transaction_fault = count_writes
    world.submit("n0", job_submission(1, hands=60))
    world.run_until(lambda: len(world.completed_tasks) == 60, 120)
    assert writes[0] < 36
    world.run_until(
        lambda: world.user_request("n0", "GET", "/api/jobs/run-000001")[1]["standing"] == "done", 4
    )

"""Controllers end again and again right after their first answer to a worker.

Each first answer renews the worker's lease. No later answer follows, so whatever a first answer
does not stop runs on for as long as controllers go on ending.
"""

from typing import Any

import msgspec
import pytest

from sagecove.coordination import workers
from sagecove.coordination.model import LAUNCH_SENT
from sagecove.coordination.stops_due import find_due_stops
from sagecove.lab.deployment import CANCEL_S, job_submission
from sagecove.lab.fakes import AnswerCallback, FakeWorker
from sagecove.lab.rule_checker import RuleViolation
from sagecove.lab.world import World
from sagecove.protocol.workers import ReportAnswer, TaskReport, answer_body, halt

CANCELLED, OTHER = "run-000001", "run-000002"


def world_with_services(node_count: int) -> tuple[World, FakeWorker]:
    """Return a world in which two services run on its only machine, and that machine."""
    world = World(node_count=node_count)
    world.dead_nodes_refuse = True
    world.cloud.capacity = {"small": 1, "gpu": 0}
    world.cloud.start_machine("small", "a", False)
    world.run(6)
    for number in (1, 2):
        world.submit("n0", job_submission(number, shape="service", vcpus=1.0, reckonS=0.0))
    (worker,) = world.workers.values()
    world.run_until(lambda: len(worker.live_tasks()) == 2, 20)
    world.run(4)
    return world, worker


def holder_of_machine(world: World, worker: FakeWorker) -> str | None:
    """Return the controller that holds the machine's shard, if any."""
    for node, owner in world.owners.items():
        machine = owner.machines.get(worker.name)
        if machine is not None and machine.record.shard in owner.held_shards:
            return node
    return None


def end_holder_after_each_first_answer(world: World, worker: FakeWorker, seconds: float) -> None:
    """Let each holder end once the worker has its token, and come back half a second later."""
    ends_at = world.now + seconds
    while world.now < ends_at:
        token = worker.token
        while worker.token == token:
            assert world.now < ends_at + 20
            world.run(0.02)
        node = holder_of_machine(world, worker)
        assert node is not None
        world.kill_node(node)
        world.run(0.5)
        world.start_node(int(node[1:]))


def cancel_in_new_process(world: World, worker: FakeWorker) -> None:
    """Restart the machine's holder and cancel a job there before the machine has reported to it."""
    worker.isolated = True
    node = holder_of_machine(world, worker)
    assert node is not None
    world.kill_node(node)
    world.start_node(int(node[1:]))
    world.run_until(lambda: world.user_request(node, "GET", "/ready")[0] == 200, 20)
    world.run_until(
        lambda: world.user_request(node, "POST", f"/api/jobs/{CANCELLED}/cancel")[0] == 200, 20
    )
    worker.reconnect()


@pytest.mark.parametrize("node_count", [1, 3])
def test_cancelled_task_is_stopped_when_holders_end_after_their_first_answer(
    node_count: int,
) -> None:
    # Guards against `ran_cancelled`: first answers renewed the lease and carried no stop.
    world, worker = world_with_services(node_count)
    cancel_in_new_process(world, worker)
    session = worker.session
    end_holder_after_each_first_answer(world, worker, CANCEL_S + 8)
    assert f"{CANCELLED}/0" not in worker.live_tasks()
    assert worker.session == session, "the worker lost its healthy tasks with its lease"
    assert f"{OTHER}/0" in worker.live_tasks()


def test_checker_finds_lease_renewed_without_due_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a checker that sees such answers only once `cancel_s` is over.
    monkeypatch.setattr(workers, "find_due_stops", lambda *args: [])
    world, worker = world_with_services(1)
    cancel_in_new_process(world, worker)
    with pytest.raises(RuleViolation, match=f"renewed_cancelled {CANCELLED}/0"):
        end_holder_after_each_first_answer(world, worker, CANCEL_S)
    assert world.now - world.cancelled_at[CANCELLED] < CANCEL_S


def test_first_answer_stops_only_what_no_holder_of_the_shard_may_run() -> None:
    # Guards against healthy tasks that are stopped with the cancelled ones.
    world, worker = world_with_services(1)
    (owner,) = world.owners.values()
    attempts = {task: entry["try"] for task, entry in worker.tasks.items()}
    reports = [
        TaskReport(f"{OTHER}/0", attempts[f"{OTHER}/0"], "running"),
        TaskReport(f"{OTHER}/1", 1, "running"),
        TaskReport(f"{CANCELLED}/0", attempts[f"{CANCELLED}/0"] + 1, "pulling"),
        TaskReport("run-000099/0", 5, "saving"),
        TaskReport("run-000099/1", 5, "exited", "stopped"),
        TaskReport("no task at all", 5, "running"),
    ]
    machine = owner.machines[worker.name]

    def stopped() -> set[tuple[str, float | None]]:
        return {(s.task, s.grace_s) for s in find_due_stops(owner.jobs, machine, reports)}

    expected = {
        (f"{OTHER}/1", 0.0),
        (f"{CANCELLED}/0", 0.0),
        ("run-000099/0", 0.0),
        ("no task at all", 0.0),
    }
    assert stopped() == expected
    # The same without any task known, as after a takeover; and after a peer's cancellation.
    machine.reset(owner.now)
    for job in owner.jobs.values():
        job.placed.clear()
    assert stopped() == expected - {(f"{CANCELLED}/0", 0.0)}
    owner.jobs[OTHER].cancelled_elsewhere = True
    assert stopped() == expected - {(f"{CANCELLED}/0", 0.0)} | {(f"{OTHER}/0", 0.0)}


@pytest.mark.parametrize("new_holder", [False, True])
def test_answer_with_many_reaps_carries_every_stop(new_holder: bool) -> None:
    # Guards against stops that are cut from an answer, and against lines of more than 64 KiB.
    world, worker = world_with_services(1)
    if new_holder:
        world.kill_node("n0")
    for number in range(1150):
        standing = "exited" if number < 250 else "running"
        task = {"try": 2**52 + number, "standing": standing, "cause": "stopped"}
        worker.tasks[f"run-9{number:05d}/0"] = {**task, "spec": world.specs[OTHER]}
        world.specs[f"run-9{number:05d}"] = world.specs[OTHER] | {"outfit": "guests"}
    line_lengths: list[int] = []
    send = world.request_controller

    def send_and_record(
        node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        def record(status: int | None, raw: bytes) -> None:
            if status == 200:
                line_lengths.extend(len(line) for line in raw.split(b"\n"))
            answer(status, raw)

        send(node, method, path, body, record)

    world.request_controller = send_and_record  # type: ignore[method-assign]
    worker.direct_commands_blocked = True
    if new_holder:
        world.start_node(0)
    world.run_until(lambda: bool(line_lengths), 20)
    world.run(0.1)
    assert sorted(worker.live_tasks()) == [f"{CANCELLED}/0", f"{OTHER}/0"]
    assert max(line_lengths) <= 64 * 1024


def test_relayed_first_answer_stops_cancelled_task() -> None:
    # Guards against a report that reaches the new holder by way of another controller only.
    world, worker = world_with_services(2)
    worker.direct_commands_blocked = True
    holder = holder_of_machine(world, worker)
    assert holder is not None
    world.cut_links.add((worker.name, holder))
    cancel_in_new_process(world, worker)
    worker.direct_commands_blocked = True
    token = worker.token
    world.run_until(lambda: worker.token > token, 20)
    world.run(0.1)
    assert worker.node != holder
    assert worker.live_tasks() == [f"{OTHER}/0"]


def test_answer_that_adopts_a_machine_stops_its_unclaimed_tasks() -> None:
    # Guards against tasks on a machine whose record the state service does not have.
    world, _ = world_with_services(1)
    name = world.cloud.start_machine("small", "b", False, boot_s=1.0)
    world.run_until(lambda: name in world.workers, 5)
    adopted = world.workers[name]
    adopted.direct_commands_blocked = False
    adopted.tasks["run-000099/0"] = {"try": 7, "standing": "running", "cause": "", "spec": None}
    world.specs["run-000099"] = world.specs[OTHER]
    world.run_until(lambda: adopted.token > 0, 20)
    world.run(0.1)
    assert adopted.live_tasks() == []


def test_stop_is_due_for_a_task_that_is_shown_before_its_launch_was_confirmed() -> None:
    # Guards against "its launch is under way" for a task that the report shows.
    world, worker = world_with_services(1)
    (owner,) = world.owners.values()
    machine = owner.machines[worker.name]
    placement = machine.tasks[f"{CANCELLED}/0"]
    placement.state, placement.stop_grace_s = LAUNCH_SENT, 0.0

    def stops(state: str) -> int:
        report = TaskReport(placement.task, placement.attempt, state)
        return len(find_due_stops(owner.jobs, machine, [report]))

    assert stops("running") == 1
    placement.stop_grace_s = 5.0
    assert (stops("running"), stops("saving")) == (1, 0)
    placement.stop_grace_s = None
    assert stops("running") == 0


@pytest.mark.parametrize(("count", "name_length"), [(1, 8), (60, 1100), (100, 90), (1100, 12)])
def test_no_line_of_an_answer_is_longer_than_a_worker_reads(count: int, name_length: int) -> None:
    # Guards against few commands with long names, and against many with short ones.
    names = [f"{number}".ljust(name_length, "\x01") for number in range(count)]
    answer = ReportAnswer(2**60, [halt(name, 2**60, 0.0) for name in names])
    encoded = msgspec.json.encode(answer_body(answer))
    assert max(map(len, encoded.split(b"\n"))) <= 64 * 1024
    assert msgspec.json.decode(encoded, type=ReportAnswer) == answer

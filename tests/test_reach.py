"""Tasks must run once, and not be lost, when answers don't arrive or reports are not current.

Covered are workers that receive no answers, duplicated and delayed reports, restarted workers, and
reports with wrong fields. `World` checks throughout that no task starts twice, that limits are kept
and that no task of a cancelled job starts.
"""

import json
from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S, REPORT_S, job_submission
from sagecove.lab.fakes import FakeWorker
from sagecove.lab.world import World, world_with_machines


def world_with_service(machines: int = 9, tasks: int = 18, seed: int = 1) -> World:
    """Three controllers, and a service with two tasks on each machine it uses.

    By default it fills all machines; with fewer tasks some machines stay empty.
    """
    world = World(seed=seed, teams=[{"name": "red", "cpus": 16, "cpus_max": 0}])
    world.cloud.capacity = {"small": machines, "gpu": 0}
    world.run(3)
    for n in range(machines):
        world.cloud.start_machine("small", "ab"[n % 2], False)
    world.run(5)
    world.submit("n0", job_submission(1, shape="service", hands=tasks))
    world.run_until(lambda: world.running_task_count("run-000001") == tasks, 60)
    world.run(3)
    return world


def worker_with_tasks(world: World, count: int) -> FakeWorker:
    return next(k for k in world.workers.values() if len(k.live_tasks()) == count)


def return_reasons(world: World, name: str) -> set[str]:
    """Reasons for which a machine was marked for return; empty if it never was."""
    key = f"s/machine/{name}"
    return {
        v["leaving"] for _, k, v in world.state.change_log if k == key and v and v.get("leaving")
    }


# -- answers don't arrive ------------------------------------------------------------------------


def test_tasks_for_unreachable_machine_start_elsewhere() -> None:
    # Guards against a machine that is kept alive by its reports: its launches waited for ever.
    world = world_with_service(tasks=12)
    unreachable = worker_with_tasks(world, 0)
    world.receive_blocked_machines.add(unreachable.name)
    world.submit("n0", job_submission(2, shape="service", hands=2, vcpus=4.0, rank="production"))
    world.run_until(
        lambda: world.running_task_count("run-000002") == 2 or len(world.cloud.machines) > 9, 60
    )
    world.cloud.capacity["small"] = 12
    world.run_until(lambda: world.running_task_count("run-000002") == 2, 4 * LEASE_S)
    assert not unreachable.live_tasks()


def test_unreachable_machine_is_returned() -> None:
    world = world_with_service()
    unreachable = worker_with_tasks(world, 2)
    world.receive_blocked_machines.add(unreachable.name)
    world.run_until(lambda: not unreachable.live_tasks(), 3 * LEASE_S)
    # It gets only a few launches, and is returned in the end.
    world.run_until(
        lambda: "does not hear" in return_reasons(world, unreachable.name), 12 * LEASE_S
    )
    world.run_until(lambda: world.running_task_count("run-000001") == 18, 60)
    # Its reports reach every controller in turn, but cause only a few writes.
    record = f"s/machine/{unreachable.name}"
    assert sum(k == record for _, k, _ in world.state.change_log) <= 8


def test_machine_is_used_again_once_reachable() -> None:
    world = world_with_service(machines=6, tasks=12)
    world.cloud.capacity = {"small": 0, "gpu": 0}
    unreachable = worker_with_tasks(world, 2)
    world.receive_blocked_machines.add(unreachable.name)
    world.run(2.5 * LEASE_S)
    assert not unreachable.live_tasks()
    world.receive_blocked_machines.clear()
    world.run_until(lambda: len(unreachable.live_tasks()) == 2, 6 * LEASE_S)
    assert not return_reasons(world, unreachable.name)


def test_peers_relay_for_holder_whose_answers_are_lost() -> None:
    # Many machines miss answers at once, as the holder can receive but not send. Peers relay.
    world = world_with_service()
    holder = "n1"
    held_names = [
        n for n in world.workers if world.owners[holder].machines[n].record.shard == holder
    ]
    starts = len(world.task_starts)
    for name in held_names:
        world.cut_links.add((holder, world.workers[name].cloud_record["addr"]))
    original_ask = world.request_controller

    def drop_answers(node: str, method: str, path: str, body: Any, answer: Any) -> None:
        if path == "/hello" and node == holder and body["mount"] in held_names:
            original_ask(node, method, path, body, lambda status, raw: None)
        else:
            original_ask(node, method, path, body, answer)

    world.request_controller = drop_answers  # type: ignore[method-assign]
    world.run(3 * LEASE_S)
    assert world.running_task_count("run-000001") == 18 and len(world.task_starts) == starts
    assert not any(return_reasons(world, name) for name in held_names)


# -- duplicated reports --------------------------------------------------------------------------


@pytest.mark.parametrize("delay", [1.0, 5.0, LEASE_S / 2, 3 * LEASE_S])
@pytest.mark.parametrize("event", ["calm", "takeover", "restart", "return", "session", "hand over"])
def test_duplicate_report_changes_nothing(delay: float, event: str) -> None:
    world = world_with_service(tasks=12)
    worker = worker_with_tasks(world, 0 if event == "hand over" else 2)
    world.report_copy_delays_s[worker.name] = [delay]
    world.run(3)
    holder_name = world.owners["n0"].machines[worker.name].record.shard
    starts_before = len(world.task_starts)
    if event == "takeover":
        world.kill_node(holder_name)
    elif event == "restart":
        world.kill_node(holder_name)
        world.run(0.4)
        world.start_node(int(holder_name[1:]))
    elif event == "return":
        world.cloud.capacity["small"] = 8
        answered: list[int] = []
        world.cloud.handle_request(
            "POST",
            "/machines/delete",
            {"mounts": [worker.name]},
            lambda s, b: answered.append(s or 0),
        )
    elif event == "session":
        worker.isolated = True
        world.run(1.2 * LEASE_S)
        worker.isolated = False
    elif event == "hand over":
        record = world.state.keys[f"s/machine/{worker.name}"][0]
        other = next(n for n in world.owners if n != holder_name)
        moved = {**record, "shard": other}
        world.state.commit({"if": [], "then": [{"put": f"s/machine/{worker.name}", "v": moved}]})
    world.run(LEASE_S + delay)
    world.report_copy_delays_s.clear()
    world.run(delay + 5)
    if event in ("calm", "takeover", "restart"):
        assert len(world.task_starts) == starts_before
    if event == "calm":
        assert (
            not return_reasons(world, worker.name) and world.running_task_count("run-000001") == 12
        )
    if event == "return":
        # The deleted machine was not adopted again.
        world.run_until(lambda: f"s/machine/{worker.name}" not in world.state.keys, 60)
        gone = world.state.ledger
        world.run(30)
        assert not [
            k for at, k, v in world.state.change_log if at > gone and worker.name in k and v
        ]
    world.run_until(
        lambda: world.running_task_count("run-000001") == 12 or event in ("return", "session"), 90
    )


def test_duplicate_reports_do_not_keep_dead_machine() -> None:
    world = world_with_service()
    worker = worker_with_tasks(world, 2)
    world.report_copy_delays_s[worker.name] = [0.5 * n for n in range(1, 80)]
    world.run(2.5)
    worker.dead = True
    world.cloud.capacity["small"] = 12
    # The machine's silence or its lease decides, not the 40 s for which copies arrive.
    assert (
        world.run_until(
            lambda: (
                bool(return_reasons(world, worker.name))
                or world.running_task_count("run-000001") == 18
            ),
            60,
        )
        < 15
    )


def test_duplicate_reports_of_deleted_machine_after_restart_of_all() -> None:
    world = world_with_service()
    worker = (
        worker_with_tasks(world, 0)
        if any(not k.live_tasks() for k in world.workers.values())
        else worker_with_tasks(world, 2)
    )
    world.report_copy_delays_s[worker.name] = [30.0, 40.0, 50.0]
    world.run(5)
    world.cloud.handle_request(
        "POST", "/machines/delete", {"mounts": [worker.name]}, lambda s, b: None
    )
    world.run_until(lambda: f"s/machine/{worker.name}" not in world.state.keys, 60)
    gone = world.state.ledger
    # No restarted controller remembers that the machine was deleted.
    for n in range(3):
        world.kill_node(f"n{n}")
        world.start_node(n)
    world.run(60)
    assert not [k for at, k, v in world.state.change_log if at > gone and worker.name in k and v]


# -- restarted workers ---------------------------------------------------------------------------


@pytest.mark.parametrize("old_launches", [False, True])
def test_restarted_worker_is_not_taken_for_duplicate(old_launches: bool) -> None:
    # Reports after a restart looked older than those before, and were refused until the machine was
    # returned.
    world = world_with_service(machines=6, tasks=12)
    world.cloud.capacity = {"small": 0, "gpu": 0}
    worker = worker_with_tasks(world, 2)
    old_commands: list[dict[str, Any]] = []
    if old_launches:
        # Launches sent before the restart, under the token that the holder still uses.
        owner = next(
            o
            for o in world.owners.values()
            if worker.name in o.machines
            and any(m.tasks for m in o.machines.values() if m.name == worker.name)
        )
        machine = owner.machines[worker.name]
        token = max(owner.held_shards[machine.record.shard].term, machine.stamp)
        old_commands = [
            {"brand": token, "ride": 1, "orders": [{"verb": "launch", "hand": t, "try": p.attempt}]}
            for t, p in machine.tasks.items()
        ]
    world.run(0.3)
    worker.restart()
    world.run_until(lambda: len(worker.live_tasks()) == 2, 3 * LEASE_S)
    starts = len(world.task_starts)
    for command in old_commands:
        # The token has been raised since.
        assert worker.handle_commands(command)[0] == 409
    world.run(20)
    assert len(world.task_starts) == starts and not return_reasons(world, worker.name)


def test_old_report_is_checked_with_worker() -> None:
    # A copy of the first report arrives long after; the worker answers that it has not restarted.
    world = world_with_service()
    worker = worker_with_tasks(world, 2)
    starts = len(world.task_starts)
    old_report = json.loads(json.dumps(worker.report_body()))
    old_report["tally"], old_report["brand"], old_report["hands"] = 1, 0, []
    for node in world.owners:
        world.request_controller(node, "POST", "/hello", old_report, lambda status, body: None)
        world.run(2 * REPORT_S)
    world.run(20)
    assert world.running_task_count("run-000001") == 18 and len(world.task_starts) == starts


# -- wrong reports -------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "wrong_fields",
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
def test_wrong_reports_end_in_safe_state(wrong_fields: dict[str, Any]) -> None:
    world = world_with_service()
    worker = worker_with_tasks(world, 2)
    report = {**worker.report_body(), **wrong_fields}
    for node in world.owners:
        world.request_controller(node, "POST", "/hello", report, lambda status, body: None)
    world.run(40)
    # No controller has ended; `World.started` checks that each task runs once.
    assert len(world.owners) == 3
    world.cloud.capacity["small"] = 12
    world.run_until(lambda: world.running_task_count("run-000001") == 18, 120)


def test_tasks_complete_once_while_workers_restart() -> None:
    world = world_with_machines(6)
    for n in range(6):
        world.submit(f"n{n % 3}", job_submission(n, hands=3))
        worker_name = world.random.choice(sorted(world.workers))
        world.workers[worker_name].restart()
        world.run(1.5)
    world.run_until(lambda: len(world.completed_tasks) == 18, 200)

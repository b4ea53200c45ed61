"""Stories of the whole service against stand-ins."""

import json
from typing import Any

import pytest

from sagecove.coordination.effects import CallResult, IncomingRequest, OutgoingCall, Reply
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World, job_state, world_with_machines


@pytest.fixture
def world() -> World:
    """Three controllers that are up, with four small machines."""
    return world_with_machines(4)


def test_array_runs_to_done_and_every_node_says_so(world: World) -> None:
    assert world.submit("n0", job_submission(1, hands=6))[0] == 201
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 60)
    assert len({t for t in world.completed_tasks}) == 6
    for node in world.owners:
        assert job_state(world, node, "run-000001") == "done"
    # A late retry of the submission meets the final state.
    assert world.submit("n2", job_submission(1, hands=6)) == (
        200,
        {"nameId": "run-000001", "standing": "done"},
    )


def test_machines_are_rented_when_there_are_none_and_returned_when_idle() -> None:
    w = World()
    w.run(3)
    assert w.submit("n1", job_submission(1, hands=60, dueS=40.0))[0] == 201
    w.run_until(lambda: job_state(w, "n0", "run-000001") == "done", 90)
    rented = len(w.cloud.machines)
    assert rented >= 4
    w.run(120)
    assert len(w.cloud.machines) < rented


def test_bad_input_gets_a_reason(world: World) -> None:
    assert world.user_request("n0", "POST", "/api/jobs", b"{")[0] == 400
    assert world.user_request("n0", "POST", "/api/jobs", b"[]")[0] == 400
    assert world.user_request("n0", "POST", "/api/jobs", job_submission(1, hands=0))[0] == 400
    assert world.user_request("n0", "POST", "/api/jobs", job_submission(1, vcpus="x"))[0] == 400
    for wrong in (
        {"outfit": "green"},
        {"vcpus": 999.0},
        {"range": "nowhere"},
        {"outfit": "blue", "shape": "service", "hands": 5},
    ):
        status, body = world.user_request("n0", "POST", "/api/jobs", job_submission(1, **wrong))
        assert status == 422 and body["error"]
    assert world.user_request("n0", "GET", "/api/jobs/run-000009")[0] == 404
    assert world.user_request("n0", "GET", "/api/nothing")[0] == 404
    assert (
        world.user_request("n0", "POST", "/api/jobs", job_submission(1, breeds=["x" * 150] * 100))[
            0
        ]
        == 400
    )
    assert world.user_request("n0", "PUT", "/api/jobs")[0] == 405
    assert world.user_request("n0", "POST", "/hello", b'{"mount":1}')[0] == 400


def test_cancel_is_durable_and_stops_tasks(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=3))
    world.run_until(lambda: world.running_task_count("run-000001") == 3, 30)
    answer = world.user_request("n2", "POST", "/api/jobs/run-000001/cancel")
    assert answer == (200, {"nameId": "run-000001", "standing": "aborted"})
    world.run_until(lambda: world.running_task_count("run-000001") == 0, 5)
    assert job_state(world, "n1", "run-000001") == "aborted"


def test_cancel_against_a_start_in_flight(world: World) -> None:
    # Direct commands hang, so the launch is in doubt when the cancellation comes.
    for worker in world.workers.values():
        worker.direct_commands_blocked = True
    world.submit("n0", job_submission(1, shape="service", hands=1))
    world.run(0.3)
    assert world.user_request("n1", "POST", "/api/jobs/run-000001/cancel")[0] == 200
    world.run(10)
    for worker in world.workers.values():
        worker.direct_commands_blocked = False
        for held in worker.delayed_commands:
            worker.handle_commands(held)
    world.run(40)
    assert world.running_task_count("run-000001") == 0


def test_late_direct_launch_after_reap_starts_nothing(world: World) -> None:
    # The direct launch is held back; the report's answer launches the task, which completes.
    # Were it reaped under the same token, the late copy would run it once more.
    for worker in world.workers.values():
        worker.direct_commands_blocked = True
    world.submit("n0", job_submission(1, hands=2))

    def no_new_tokens(node: str, body: dict[str, Any]) -> str | None:
        return "lost" if any("s/machine/" in c.get("put", "") for c in body["then"]) else None

    world.state.transaction_fault = no_new_tokens
    world.run_until(lambda: job_state(world, "n0", "run-000001") == "done", 60)
    world.run(10)
    assert sum(len(worker.tasks) for worker in world.workers.values()) == 2
    world.state.transaction_fault = None
    world.run_until(lambda: not any(worker.tasks for worker in world.workers.values()), 20)
    starts = len(world.task_starts)
    for worker in world.workers.values():
        worker.direct_commands_blocked = False
        for held in worker.delayed_commands:
            worker.handle_commands(held)
    world.run(5)
    assert len(world.task_starts) == starts


def test_crash_after_durable_write_and_before_answer(world: World) -> None:
    def hook(node: str, body: dict) -> str | None:
        return "unanswered" if any("run-000001" in c["path"] for c in body["if"]) else None

    world.state.transaction_fault = hook
    assert world.submit("n0", job_submission(1))[0] == 503
    world.state.transaction_fault = None
    world.kill_node("n0")
    status, body = world.submit("n1", job_submission(1))
    assert status == 200 and body["standing"] in ("pending", "running", "done")
    world.start_node(0)
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 60)


def test_restarted_controller_takes_its_shard_at_once_and_stops_nothing(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    starts = len(world.task_starts)
    world.kill_node("n0")
    world.run(3)
    world.start_node(0)
    world.run_until(lambda: "n0" in world.owners["n0"].held_shards, 3)
    world.run(20)
    assert world.running_task_count("run-000001") == 4
    assert len(world.task_starts) == starts


def test_takeover_with_a_silent_machine_waits_for_its_lease(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=6))
    world.run_until(lambda: world.running_task_count("run-000001") == 6, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    silent = next(w for w in world.workers.values() if w.live_tasks())
    silent.isolated = True
    world.kill_node(holder)
    # World.started checks that no task starts elsewhere while it runs on the silent machine.
    world.run(60)
    assert world.running_task_count("run-000001") == 6


def test_old_holders_late_commands_are_fenced(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    name, owner = next((n, o) for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    machine = next(m for m in owner.machines.values() if m.tasks)
    token = max(owner.held_shards[machine.record.shard].term, machine.stamp)
    late = {"brand": token, "ride": 1, "orders": [{"verb": "launch", "hand": "x/0", "try": 1}]}
    world.state.refused_nodes.add(name)
    world.cut_links.add((name, "state"))
    world.run(40)
    assert not owner.shards.active_shards(world.now)
    worker = world.workers[machine.name]
    assert worker.handle_commands(late)[0] == 409
    assert world.running_task_count("run-000001") == 4


def test_two_controllers_race_for_a_claim(world: World) -> None:
    for i in range(12):
        world.submit(f"n{i % 3}", job_submission(i, hands=5))
    world.run_until(lambda: len(world.completed_tasks) == 60, 200)
    # Every task was started once: nothing was lost, and no claim was held twice.
    assert len(world.task_starts) == 60


def test_race_for_the_last_of_a_limit(world: World) -> None:
    # World.check fails if team blue ever uses more than its 8 CPUs.
    for i in range(6):
        world.submit(f"n{i % 3}", job_submission(i, outfit="blue", hands=4))
    world.run_until(lambda: len(world.completed_tasks) == 24, 200)


def test_reap_only_after_the_finished_set_is_durable(world: World) -> None:
    world.submit("n0", job_submission(1, hands=1))
    world.run_until(lambda: world.running_task_count("run-000001") == 1, 20)
    world.state.transaction_fault = lambda node, body: "lost"
    worker = next(w for w in world.workers.values() if w.tasks)
    world.run(9)
    assert [v["standing"] for v in worker.tasks.values()] == ["exited"]
    world.state.transaction_fault = None
    world.run_until(lambda: not worker.tasks, 20)
    assert json.loads(json.dumps(world.state.keys["o/run-000001"][0]))["state"] == "done"


def test_outage_longer_than_all_leases_is_outlived_by_promises(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    starts = len(world.task_starts)
    world.state.set_outage(True)
    world.run(2)
    assert job_state(world, "n1", "run-000001") == "503"
    world.run(60)
    assert world.running_task_count("run-000001") == 4
    world.state.set_outage(False)
    world.run(30)
    assert world.running_task_count("run-000001") == 4
    assert len(world.task_starts) == starts


def test_no_promise_from_a_peer_that_is_served(world: World) -> None:
    # n0 and n1 are refused, n2 is not: n0 must stop in time for n2 to take over.
    world.state.refused_nodes |= {"n0", "n1"}
    world.cut_links |= {("n0", "state"), ("n1", "state")}
    world.run(20)
    assert not world.owners["n0"].shards.active_shards(world.now)
    assert set(world.owners["n2"].held_shards) == {"n0", "n1", "n2"}


def test_a_cancellation_the_holder_missed_ends_its_promises(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    other = next(n for n in world.owners if n != holder)
    world.cut_links.add((holder, "state"))
    world.run(0.1)
    assert world.user_request(other, "POST", "/api/jobs/run-000001/cancel")[0] == 200
    world.state.set_outage(True)
    # World.check fails if a task is still there cancel_s later, the outage notwithstanding.
    world.run(60)
    assert world.running_task_count("run-000001") == 0


def test_a_restarted_peer_takes_nothing_while_an_old_promise_may_stand(world: World) -> None:
    # World.check fails if two controllers ever act for one shard.
    world.state.refused_nodes = {"n0", "n1", "n2"}
    world.run(3)
    world.kill_node("n1")
    world.start_node(1)
    world.state.refused_nodes = {"n0", "n2"}
    lease = world.owners["n0"].leadership.lease_id
    assert lease is not None and world.owners["n0"].leadership.promises_until > world.now
    world.state.expire_lease(lease)
    begun = world.now
    world.run_until(lambda: "n0" in world.owners["n1"].held_shards, 40)
    assert world.now - begun >= world.owners["n1"].leadership.lease_s * 0.9


def test_limits_hold_over_a_restart_with_a_silent_machine(world: World) -> None:
    # The cancelled job's tasks are still on machines that nobody hears, and the controller that
    # knew of them is a new process: its team must not start others yet (World.check).
    world.submit("n0", job_submission(1, outfit="blue", shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    for worker in world.workers.values():
        worker.isolated = bool(worker.live_tasks())
    for _ in range(4):
        world.cloud.start_machine("small", "a", False)
    other = next(n for n in world.owners if n != holder)
    assert world.user_request(other, "POST", "/api/jobs/run-000001/cancel")[0] == 200
    world.kill_node(holder)
    world.run(0.5)
    world.start_node(int(holder[1:]))
    world.run(2)
    world.submit(holder, job_submission(2, outfit="blue", shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000002") == 4, 60)


def test_reports_go_by_way_of_a_peer_when_a_worker_cannot_reach_its_holder(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    starts = len(world.task_starts)
    world.nodes_cut_from_workers.add(holder)
    world.run(60)
    assert len(world.task_starts) == starts
    # Idle ones may go; none is taken for silent.
    assert not set(world.cloud.deleted_names) & {machine for _, _, machine in world.task_starts}


def test_node_refused_alone_during_a_cancellation(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    world.state.refused_nodes.add(holder)
    other = next(n for n in world.owners if n != holder)
    # World.check fails if a task is still there cancel_s later.
    assert world.user_request(other, "POST", "/api/jobs/run-000001/cancel")[0] == 200
    world.run(60)
    assert world.running_task_count("run-000001") == 0


def test_gang_runs_with_one_attempt_in_one_zone(world: World) -> None:
    world.submit("n0", job_submission(1, shape="ensemble", hands=4, samePlace=True, vcpus=4.0))
    world.run_until(lambda: job_state(world, "n2", "run-000001") == "done", 120)


def test_spread_service_keeps_half_of_its_tasks_per_zone(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=5, scatter=True, vcpus=1.0))
    world.run_until(lambda: world.running_task_count("run-000001") == 5, 60)
    for worker in world.workers.values():
        if worker.cloud_record["range"] == "a":
            worker.isolated = True
    world.run(60)


def test_production_displaces_low(world: World) -> None:
    for worker in world.workers.values():
        worker.task_run_s = 500.0
    world.cloud.capacity = {"small": 4, "gpu": 0}
    world.submit("n0", job_submission(1, hands=8, rank="low"))
    world.run_until(lambda: world.running_task_count("run-000001") == 8, 60)
    world.submit("n1", job_submission(2, shape="service", hands=2, rank="production"))
    assert world.run_until(lambda: world.running_task_count("run-000002") == 2, 20) < 10


def test_watch_that_lost_its_place_reads_everything_again(world: World) -> None:
    world.state.compacted_before = world.state.ledger + 1
    world.submit("n0", job_submission(1, hands=2))
    world.run(1)
    world.state.compacted_before = 0
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 60)


def test_failing_machine_is_replaced_and_the_job_completes(world: World) -> None:
    bad = next(iter(world.workers.values()))
    bad.fails_tasks = True
    for i in range(6):
        world.submit("n0", job_submission(i, hands=4))
    world.run_until(lambda: len(world.completed_tasks) == 24, 200)
    world.run_until(lambda: bad.dead, 60)


def test_lost_rental_answer_rents_once() -> None:
    w = World()
    real = w.cloud.handle_request
    dropped: list[str] = []

    def request(method, path, body, answer):  # type: ignore[no-untyped-def]
        if path == "/machines" and not dropped:
            dropped.append(body["hire"])
            real(method, path, body, lambda s, b: None)
        else:
            real(method, path, body, answer)

    w.cloud.handle_request = request  # type: ignore[method-assign]
    w.run(3)
    w.submit("n0", job_submission(1, hands=1))
    w.run_until(lambda: job_state(w, "n0", "run-000001") == "done", 90)
    assert dropped and len(w.cloud.machines_by_request[dropped[0]]) == 1
    assert w.cloud.next_number <= 2


def test_machine_that_never_comes_up_is_returned() -> None:
    w = World()
    w.run(3)
    w.cloud.never_boot_count = 1
    w.submit("n0", job_submission(1, hands=1))
    w.run_until(lambda: job_state(w, "n0", "run-000001") == "done", 200)
    w.run(120)
    assert "vm-000000" in w.cloud.deleted_names


def test_a_poll_is_not_answered_by_a_read_sent_before_it(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=1))
    owner = world.owners["n1"]
    answers: list[int] = []

    def ask() -> list[Any]:
        path = "/api/jobs/run-000001"
        reply = lambda status, body: answers.append(status)  # noqa: E731
        return [IncomingRequest("GET", path, b"", reply)]

    world.run(1)
    now = world.now
    first = [
        e
        for e in owner.handle(ask(), now, now)
        if isinstance(e, OutgoingCall) and "/watch" in e.path
    ]
    assert len(first) == 1
    # The clock has not moved on, but the read has been sent already.
    owner.handle(ask(), now, now)
    body = b'{"ledger":%d,"events":[]}' % owner.mirror.applied
    effects = owner.handle([CallResult(first[0].token, 200, body)], now, now)
    assert len([e for e in effects if isinstance(e, Reply)]) == 1
    assert len(owner.users.waiting_requests) == 1


def test_spot_notice_saves_what_can_save_and_places_nothing_more() -> None:
    w = World()
    w.cloud.capacity = {"small": 2, "gpu": 0}
    w.cloud.start_machine("small", "a", True)
    w.run(3)
    machine = next(iter(w.workers.values()))
    machine.task_run_s = 500.0
    spec = job_submission(1, hands=2, borrowed=True, waypointS=30.0, stashS=2.0)
    w.submit("n0", spec)
    w.run_until(lambda: w.running_task_count("run-000001") == 2, 20)
    machine.spot_warning_s = 15.0
    w.run(4)
    assert not machine.live_tasks()
    w.run_until(lambda: w.running_task_count("run-000001") == 2, 60)
    assert not machine.live_tasks()


def test_a_service_displaces_its_own_teams_arrays_at_the_limit(world: World) -> None:
    # On a bench day a service waited a minute for its team's arrays to leave the team's limit.
    for worker in world.workers.values():
        worker.task_run_s = 60.0
    world.submit("n0", job_submission(1, outfit="blue", hands=12))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    world.submit(
        "n1", job_submission(2, outfit="blue", shape="service", rank="production", hands=3)
    )
    assert world.run_until(lambda: world.running_task_count("run-000002") == 3, 40) < 8


@pytest.mark.parametrize("verdict", ["late", "unanswered", "lost", "throttled"])
def test_transactions_go_astray_and_everything_still_completes_once(
    world: World, verdict: str
) -> None:
    # A third of all transactions, whatever they are: claims, releases, results, allotments,
    # machines, takeovers. World.started and World.check watch the rules.
    world.state.transaction_fault = lambda node, body: (
        verdict if world.random.random() < 0.33 else None
    )
    for i in range(8):
        world.request_controller(
            f"n{i % 3}",
            "POST",
            "/api/jobs",
            world.add_spec(job_submission(i, hands=4)),
            lambda s, b: None,
        )
        world.run(2)
    world.kill_node("n1")
    world.run(4)
    world.start_node(1)
    world.run(40)
    world.state.transaction_fault = None
    for i in range(8):
        assert world.submit("n0", job_submission(i, hands=4))[0] in (200, 201)
    world.run_until(lambda: len(world.completed_tasks) == 32, 300)
    for i in range(8):
        world.run_until(lambda i=i: job_state(world, "n2", f"run-{i:06d}") == "done", 60)

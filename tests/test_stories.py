"""End-to-end scenarios: controllers against simulated workers, cloud and state service.

The simulator checks the rules of the service (limits, leases, cancellation deadline, one start per
task) after every step and fails the test at the first violation.
"""

import json
from typing import Any

import pytest

from sagecove.coordination.effects import CallResult, IncomingRequest, OutgoingCall, Reply
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World, job_state, world_with_machines


@pytest.fixture
def world() -> World:
    """Three running controllers and four small machines."""
    return world_with_machines(4)


def test_array_completes_and_every_node_reports_it(world: World) -> None:
    assert world.submit("n0", job_submission(1, hands=6))[0] == 201
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 60)
    assert len({t for t in world.completed_tasks}) == 6
    for node in world.owners:
        assert job_state(world, node, "run-000001") == "done"
    # A late retry of the submission returns the final state.
    assert world.submit("n2", job_submission(1, hands=6)) == (
        200,
        {"nameId": "run-000001", "standing": "done"},
    )


def test_machines_are_rented_on_demand_and_returned_when_idle() -> None:
    world = World()
    world.run(3)
    assert world.submit("n1", job_submission(1, hands=60, dueS=40.0))[0] == 201
    world.run_until(lambda: job_state(world, "n0", "run-000001") == "done", 90)
    rented = len(world.cloud.machines)
    assert rented >= 4
    world.run(120)
    assert len(world.cloud.machines) < rented


def test_invalid_requests_are_rejected(world: World) -> None:
    assert world.user_request("n0", "POST", "/api/jobs", b"{")[0] == 400
    assert world.user_request("n0", "POST", "/api/jobs", b"[]")[0] == 400
    assert world.user_request("n0", "POST", "/api/jobs", job_submission(1, hands=0))[0] == 400
    assert world.user_request("n0", "POST", "/api/jobs", job_submission(1, vcpus="x"))[0] == 400
    for invalid_fields in (
        {"outfit": "green"},
        {"vcpus": 999.0},
        {"range": "nowhere"},
        {"outfit": "blue", "shape": "service", "hands": 5},
    ):
        status, body = world.user_request(
            "n0", "POST", "/api/jobs", job_submission(1, **invalid_fields)
        )
        assert status == 422 and body["error"]
    assert world.user_request("n0", "GET", "/api/jobs/run-000009")[0] == 404
    assert world.user_request("n0", "GET", "/api/nothing")[0] == 404
    long_list = job_submission(1, breeds=["x" * 150] * 100)
    status, body = world.user_request("n0", "POST", "/api/jobs", long_list)
    assert status == 422 and "machine type" in body["error"]
    assert world.user_request("n0", "PUT", "/api/jobs")[0] == 405
    assert world.user_request("n0", "POST", "/hello", b'{"mount":1}')[0] == 400


def test_cancellation_is_durable_and_stops_tasks(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=3))
    world.run_until(lambda: world.running_task_count("run-000001") == 3, 30)
    answer = world.user_request("n2", "POST", "/api/jobs/run-000001/cancel")
    assert answer == (200, {"nameId": "run-000001", "standing": "aborted"})
    world.run_until(lambda: world.running_task_count("run-000001") == 0, 5)
    assert job_state(world, "n1", "run-000001") == "aborted"


def test_cancellation_during_a_delayed_launch(world: World) -> None:
    # Direct commands are delayed, so the launch is unconfirmed when the job is cancelled.
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


def test_late_direct_launch_after_reap_is_ignored(world: World) -> None:
    # Direct commands are delayed; the reply to a report launches the task, which completes and is
    # reaped. A launch among the delayed commands would run it again.
    for worker in world.workers.values():
        worker.direct_commands_blocked = True
    world.submit("n0", job_submission(1, hands=2))

    def lose_machine_writes(node: str, body: dict[str, Any]) -> str | None:
        return "lost" if any("s/machine/" in c.get("put", "") for c in body["then"]) else None

    world.state.transaction_fault = lose_machine_writes
    world.run_until(lambda: job_state(world, "n0", "run-000001") == "done", 60)
    world.run(10)
    delayed = [held for worker in world.workers.values() for held in worker.delayed_commands]
    assert not any(order["verb"] == "launch" for held in delayed for order in held["orders"])
    world.state.transaction_fault = None
    world.run_until(lambda: not any(worker.tasks for worker in world.workers.values()), 20)
    starts = len(world.task_starts)
    for worker in world.workers.values():
        worker.direct_commands_blocked = False
        for held in worker.delayed_commands:
            worker.handle_commands(held)
    world.run(5)
    assert len(world.task_starts) == starts


def test_crash_between_durable_write_and_reply(world: World) -> None:
    def lose_reply_for_the_job(node: str, body: dict) -> str | None:
        return "unanswered" if any("run-000001" in c["path"] for c in body["if"]) else None

    world.state.transaction_fault = lose_reply_for_the_job
    assert world.submit("n0", job_submission(1))[0] == 503
    world.state.transaction_fault = None
    world.kill_node("n0")
    status, body = world.submit("n1", job_submission(1))
    assert status == 200 and body["standing"] in ("pending", "running", "done")
    world.start_node(0)
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 60)


def test_restarted_controller_regains_its_shard_without_stopping_tasks(world: World) -> None:
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


def test_takeover_waits_for_the_lease_of_a_silent_machine(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=6))
    world.run_until(lambda: world.running_task_count("run-000001") == 6, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    silent_worker = next(worker for worker in world.workers.values() if worker.live_tasks())
    silent_worker.isolated = True
    world.kill_node(holder)
    # World.started checks that no task starts elsewhere while it still runs on the silent machine.
    world.run(60)
    assert world.running_task_count("run-000001") == 6


def test_late_commands_of_a_former_holder_are_fenced(world: World) -> None:
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


def test_controllers_competing_for_claims_start_each_task_once(world: World) -> None:
    for i in range(12):
        world.submit(f"n{i % 3}", job_submission(i, hands=5))
    world.run_until(lambda: len(world.completed_tasks) == 60, 200)
    # Every task started exactly once: none was lost, and no claim had two owners.
    assert len(world.task_starts) == 60


def test_controllers_competing_for_a_team_limit_stay_within_it(world: World) -> None:
    # World.check fails if team blue ever uses more than its 8 CPUs.
    for i in range(6):
        world.submit(f"n{i % 3}", job_submission(i, outfit="blue", hands=4))
    world.run_until(lambda: len(world.completed_tasks) == 24, 200)


def test_tasks_are_reaped_only_after_their_result_is_durable(world: World) -> None:
    world.submit("n0", job_submission(1, hands=1))
    world.run_until(lambda: world.running_task_count("run-000001") == 1, 20)
    world.state.transaction_fault = lambda node, body: "lost"
    worker = next(worker for worker in world.workers.values() if worker.tasks)
    world.run(9)
    assert [v["standing"] for v in worker.tasks.values()] == ["exited"]
    world.state.transaction_fault = None
    world.run_until(lambda: not worker.tasks, 20)
    assert json.loads(json.dumps(world.state.keys["o/run-000001"][0]))["state"] == "done"


def test_tasks_survive_an_outage_longer_than_all_leases(world: World) -> None:
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


def test_no_promise_from_a_peer_that_reaches_the_state_service(world: World) -> None:
    # The state service refuses n0 and n1 but serves n2: n0 must stop before n2 takes over.
    world.state.refused_nodes |= {"n0", "n1"}
    world.cut_links |= {("n0", "state"), ("n1", "state")}
    world.run(20)
    assert not world.owners["n0"].shards.active_shards(world.now)
    assert set(world.owners["n2"].held_shards) == {"n0", "n1", "n2"}


def test_cancellation_unknown_to_the_holder_ends_its_promises(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    other = next(n for n in world.owners if n != holder)
    world.cut_links.add((holder, "state"))
    world.run(0.1)
    assert world.user_request(other, "POST", "/api/jobs/run-000001/cancel")[0] == 200
    world.state.set_outage(True)
    # World.check fails if a task still runs after cancel_s, even during the outage.
    world.run(60)
    assert world.running_task_count("run-000001") == 0


def test_restarted_peer_takes_no_shard_while_its_old_promises_may_be_valid(world: World) -> None:
    # World.check fails if two controllers ever act for the same shard.
    world.state.refused_nodes = {"n0", "n1", "n2"}
    world.run(3)
    world.kill_node("n1")
    world.start_node(1)
    world.state.refused_nodes = {"n0", "n2"}
    lease = world.owners["n0"].leadership.lease_id
    assert lease is not None and world.owners["n0"].leadership.promises_until > world.now
    world.state.expire_lease(lease)
    started_at = world.now
    world.run_until(lambda: "n0" in world.owners["n1"].held_shards, 40)
    assert world.now - started_at >= world.owners["n1"].leadership.lease_s * 0.9


def test_team_limits_hold_across_a_restart_with_silent_machines(world: World) -> None:
    # Tasks of the cancelled job still run on silent machines, and the controller that knew of
    # them has restarted. The team must not start other tasks yet (World.check).
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


def test_reports_are_relayed_by_a_peer_when_the_holder_is_unreachable(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    starts = len(world.task_starts)
    world.nodes_cut_from_workers.add(holder)
    world.run(60)
    assert len(world.task_starts) == starts
    # Idle machines may be returned, but none that ran a task is considered silent.
    assert not set(world.cloud.deleted_names) & {machine for _, _, machine in world.task_starts}


def test_cancellation_while_only_the_holder_is_refused_by_the_state_service(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    holder = next(n for n, o in world.owners.items() if o.jobs["run-000001"].placed)
    world.state.refused_nodes.add(holder)
    other = next(n for n in world.owners if n != holder)
    # World.check fails if a task still runs after cancel_s.
    assert world.user_request(other, "POST", "/api/jobs/run-000001/cancel")[0] == 200
    world.run(60)
    assert world.running_task_count("run-000001") == 0


def test_gang_runs_with_one_attempt_in_one_zone(world: World) -> None:
    world.submit("n0", job_submission(1, shape="ensemble", hands=4, samePlace=True, vcpus=4.0))
    world.run_until(lambda: job_state(world, "n2", "run-000001") == "done", 120)


def test_service_spread_over_zones_survives_the_loss_of_one_zone(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=5, scatter=True, vcpus=1.0))
    world.run_until(lambda: world.running_task_count("run-000001") == 5, 60)
    for worker in world.workers.values():
        if worker.cloud_record["range"] == "a":
            worker.isolated = True
    world.run(60)


def test_production_tasks_preempt_low_priority_tasks(world: World) -> None:
    for worker in world.workers.values():
        worker.task_run_s = 500.0
    world.cloud.capacity = {"small": 4, "gpu": 0}
    world.submit("n0", job_submission(1, hands=8, rank="low"))
    world.run_until(lambda: world.running_task_count("run-000001") == 8, 60)
    world.submit("n1", job_submission(2, shape="service", hands=2, rank="production"))
    assert world.run_until(lambda: world.running_task_count("run-000002") == 2, 20) < 10


def test_compacted_watch_position_causes_a_full_read(world: World) -> None:
    world.state.compacted_before = world.state.ledger + 1
    world.submit("n0", job_submission(1, hands=2))
    world.run(1)
    world.state.compacted_before = 0
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 60)


def test_failing_machine_is_replaced_and_the_job_completes(world: World) -> None:
    faulty_worker = next(iter(world.workers.values()))
    faulty_worker.fails_tasks = True
    for i in range(6):
        world.submit("n0", job_submission(i, hands=4))
    world.run_until(lambda: len(world.completed_tasks) == 24, 200)
    world.run_until(lambda: faulty_worker.dead, 60)


def test_lost_rental_answer_does_not_rent_twice() -> None:
    world = World()
    handle_request = world.cloud.handle_request
    unanswered_requests: list[str] = []

    def request(method, path, body, answer):  # type: ignore[no-untyped-def]
        if path == "/machines" and not unanswered_requests:
            unanswered_requests.append(body["hire"])
            handle_request(method, path, body, lambda s, b: None)
        else:
            handle_request(method, path, body, answer)

    world.cloud.handle_request = request  # type: ignore[method-assign]
    world.run(3)
    world.submit("n0", job_submission(1, hands=1))
    world.run_until(lambda: job_state(world, "n0", "run-000001") == "done", 90)
    assert unanswered_requests and len(world.cloud.machines_by_request[unanswered_requests[0]]) == 1
    assert world.cloud.next_number <= 2


def test_machine_that_never_comes_up_is_returned() -> None:
    world = World()
    world.run(3)
    world.cloud.never_boot_count = 1
    world.submit("n0", job_submission(1, hands=1))
    world.run_until(lambda: job_state(world, "n0", "run-000001") == "done", 200)
    world.run(120)
    assert "vm-000000" in world.cloud.deleted_names


def test_poll_is_not_answered_from_a_read_sent_before_it(world: World) -> None:
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
        effect
        for effect in owner.handle(ask(), now, now)
        if isinstance(effect, OutgoingCall) and "/watch" in effect.path
    ]
    assert len(first) == 1
    # The clock has not advanced, but the read has already been sent.
    owner.handle(ask(), now, now)
    body = b'{"ledger":%d,"events":[]}' % owner.mirror.applied
    effects = owner.handle([CallResult(first[0].token, 200, body)], now, now)
    assert len([effect for effect in effects if isinstance(effect, Reply)]) == 1
    assert len(owner.coverage.waiting) == 1


def test_spot_warning_saves_tasks_and_stops_placement() -> None:
    world = World()
    world.cloud.capacity = {"small": 2, "gpu": 0}
    world.cloud.start_machine("small", "a", True)
    world.run(3)
    machine = next(iter(world.workers.values()))
    machine.task_run_s = 500.0
    spec = job_submission(1, hands=2, borrowed=True, waypointS=30.0, stashS=2.0)
    world.submit("n0", spec)
    world.run_until(lambda: world.running_task_count("run-000001") == 2, 20)
    machine.spot_warning_s = 15.0
    world.run(4)
    assert not machine.live_tasks()
    world.run_until(lambda: world.running_task_count("run-000001") == 2, 60)
    assert not machine.live_tasks()


def test_service_preempts_arrays_of_its_own_team_at_the_limit(world: World) -> None:
    # Regression seen in a benchmark: a service waited a minute until arrays of its own team freed
    # room in the team's limit.
    for worker in world.workers.values():
        worker.task_run_s = 60.0
    world.submit("n0", job_submission(1, outfit="blue", hands=12))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    world.submit(
        "n1", job_submission(2, outfit="blue", shape="service", rank="production", hands=3)
    )
    assert world.run_until(lambda: world.running_task_count("run-000002") == 3, 40) < 8


@pytest.mark.parametrize("verdict", ["late", "unanswered", "lost", "throttled"])
def test_jobs_complete_once_despite_failed_transactions(world: World, verdict: str) -> None:
    # A third of all transactions fail, of every kind: claims, releases, results, allotments,
    # machines, takeovers. World.started and World.check verify the rules.
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

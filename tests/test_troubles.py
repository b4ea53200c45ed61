"""Stories of silent and stopped controllers, of machines that are up at once, of guests."""

import json
from typing import Any

import pytest

from sagecove.coordination.claims.releaser import UnconfirmedRelease
from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World, job_state, world_with_machines


@pytest.fixture
def world() -> World:
    """Three controllers that are up, with six small machines."""
    return world_with_machines(6)


def holder_of(w: World, job_id: str) -> str:
    return next(n for n, o in w.owners.items() if o.jobs[job_id].placed)


# Shorter and longer than a controller's lease (7.8 s here) and a worker's (12 s).
@pytest.mark.parametrize("seconds", [3.0, 7.0, 10.0, 40.0])
@pytest.mark.parametrize("decided", [False, True])
def test_a_controller_stands_still_before_deciding_or_before_it_is_sent(
    world: World, seconds: float, decided: bool
) -> None:
    # World.check and World.started watch for two holders, two starts and tasks of cancelled jobs.
    world.submit("n0", job_submission(1, shape="service", hands=6))
    world.run_until(lambda: world.running_task_count("run-000001") == 6, 40)
    name = holder_of(world, "run-000001")
    other = next(n for n in world.owners if n != name)
    world.submit(name, job_submission(2, hands=6))
    (world.output_held_until if decided else world.paused_until)[name] = world.now + seconds
    world.run(0.2)
    assert world.user_request(other, "POST", "/api/jobs/run-000001/cancel")[0] == 200
    world.submit(other, job_submission(3, hands=6))
    world.run(seconds + 45)
    assert world.running_task_count("run-000001") == 0
    world.run_until(lambda: len(world.completed_tasks) == 12, 60)
    # That it was not there to hear anybody does not make machines silent.
    silent = {k for _, k, v in world.state.change_log if v and v.get("leaving") == "silent"}
    assert not silent


def test_all_controllers_stand_still_in_turn_and_no_task_is_lost(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=9))
    world.run_until(lambda: world.running_task_count("run-000001") == 9, 60)
    starts = len(world.task_starts)
    for name in sorted(world.owners):
        world.paused_until[name] = world.now + 6.0
        world.run(14)
    assert world.running_task_count("run-000001") == 9
    assert len(world.task_starts) == starts


def test_workers_of_a_silent_controller_wait_with_its_peers(world: World) -> None:
    # Sent back to the silent holder, they ran into a second timeout and the end of their leases.
    world.submit("n0", job_submission(1, shape="service", hands=9))
    world.run_until(lambda: world.running_task_count("run-000001") == 9, 60)
    starts = len(world.task_starts)
    name = holder_of(world, "run-000001")
    world.run(3)
    world.paused_until[name] = world.now + 70.0
    world.run(30)
    assert name in {s for n, o in world.owners.items() if n != name for s in o.held_shards}
    assert len(world.task_starts) == starts
    # And users are turned away by it, or served by the others; placing goes on.
    world.submit(next(n for n in world.owners if n != name), job_submission(2, hands=4))
    world.run_until(lambda: len(world.completed_tasks) == 4, 40)


def test_a_holder_cut_off_from_its_peers_alone_keeps_its_workers(world: World) -> None:
    # inc-8d24: workers that had come by a peer were sent to and fro between the others.
    world.submit("n0", job_submission(1, shape="service", hands=9))
    world.run_until(lambda: world.running_task_count("run-000001") == 9, 60)
    world.run(3)
    name = holder_of(world, "run-000001")
    for n in world.owners:
        if n != name:
            world.cut_links |= {(name, f"10.0.0.{n[1:]}:81"), (n, f"10.0.0.{name[1:]}:81")}
    world.run(4)
    starts = len(world.task_starts)
    lost = [w for w in world.workers.values() if w.node == name and w.live_tasks()]
    for worker in lost:
        worker.node = next(n for n in world.owners if n != name)
    world.run(40)
    assert world.running_task_count("run-000001") == 9
    assert len(world.task_starts) == starts


def test_a_node_that_stood_still_is_not_ready_before_it_has_read_again(world: World) -> None:
    owner = world.owners["n0"]
    answers: list[int] = []
    reply = lambda status, body: answers.append(status)  # noqa: E731
    now = world.now + 20
    effects = owner.handle([IncomingRequest("GET", "/ready", b"", reply)], now, now)
    assert [e.status for e in effects if isinstance(e, Reply)] == [503]


def test_machines_that_are_up_before_the_rentals_answer_is_written_down() -> None:
    # The record of the rental's answer conflicted with what the controllers had taken in, and the
    # cloud was asked again and again; gangs' machines ended up in three shards.
    w = World()
    w.run(3)
    real = w.cloud.start_machine

    def at_once(sku: str, zone: str, spot: bool, boot: float = 0.0) -> str:
        return real(sku, zone, spot, 0.0)

    w.cloud.start_machine = at_once  # type: ignore[method-assign]
    request = w.cloud.handle_request
    calls: list[str] = []

    def slow(method, path, body, answer):  # type: ignore[no-untyped-def]
        if path == "/machines":
            calls.append(body["hire"])
            request(method, path, body, lambda s, b: w.call_later(1.5, lambda: answer(s, b)))
        else:
            request(method, path, body, answer)

    w.cloud.handle_request = slow  # type: ignore[method-assign]
    gang = job_submission(
        1, shape="ensemble", hands=3, vcpus=12.0, cards=4, memoryGb=40.0, rank="urgent"
    )
    assert w.submit("n1", gang)[0] == 201
    assert w.run_until(lambda: w.running_task_count("run-000001") == 3, 30) < 8
    assert len(calls) == len(set(calls)) and w.cloud.next_number == 3


def test_a_refused_rental_is_not_asked_for_at_every_tick() -> None:
    # inc-24c8: while the state service refused the removal of its record, the cloud was asked for
    # it four times a second.
    w = World()
    w.run(3)
    w.cloud.capacity = {"small": 0, "gpu": 0}
    calls: list[str] = []
    request = w.cloud.handle_request

    def counted(method, path, body, answer):  # type: ignore[no-untyped-def]
        if path == "/machines":
            calls.append(body["hire"])
        request(method, path, body, answer)

    w.cloud.handle_request = counted  # type: ignore[method-assign]
    w.state.transaction_fault = lambda node, body: (
        "throttled" if any("s/rental/" in c.get("drop", "") for c in body["then"]) else None
    )
    w.submit("n0", job_submission(1, hands=4))
    w.run(15)
    assert calls and max(calls.count(name) for name in calls) <= 2


def test_guests_without_limit_run_and_short_tasks_are_claimed_ahead() -> None:
    # A limit of 0 was taken for a limit of nothing, and every job of such a team refused.
    w = World()
    for i in range(12):
        w.cloud.start_machine("small", "ab"[i % 2], False)
    w.run(3)
    for worker in w.workers.values():
        worker.task_run_s = 2.0
    claims = [0]

    def count(_: str, body: dict[str, Any]) -> None:
        claims[0] += sum("s/job/" in change.get("put", "") for change in body["then"])

    w.state.transaction_fault = count
    guests = job_submission(
        1, outfit="guests", hands=2000, vcpus=0.25, memoryGb=0.5, reckonS=2.0, rank="low"
    )
    assert w.submit("n0", guests)[0] == 201
    w.run_until(lambda: len(w.completed_tasks) == 2000, 120)
    assert len(w.task_starts) == 2000
    # Some twenty tasks a write, results included.
    assert claims[0] < 200
    record = w.state.keys.get("s/job/run-000001")
    assert record is None or len(json.dumps(record[0])) < 2000


def test_explanations_and_the_cluster_at_a_glance(world: World) -> None:
    world.cloud.capacity = {"small": 6, "gpu": 0}
    for worker in world.workers.values():
        worker.task_run_s = 500.0
    world.submit("n0", job_submission(1, hands=30, rank="normal"))
    world.run(10)
    world.submit("n1", job_submission(2, outfit="blue", hands=9, rank="low"))
    world.run(5)
    status, told = world.user_request("n1", "GET", "/explain/run-000002")
    assert status == 200 and told["team"] == "blue" and told["kind"] == "sweep"
    assert any("wait for room" in reason for reason in told["reasons"])
    assert any("run-000001" in reason for reason in told["reasons"])
    assert world.user_request("n1", "GET", "/explain/run-000009")[0] == 404
    assert world.user_request("n1", "POST", "/cluster")[0] == 405
    status, seen = world.user_request("n2", "GET", "/cluster")
    assert status == 200 and seen["up"] == ["n0", "n1", "n2"]
    assert {s["name"]: s["holder"] for s in seen["shards"]} == {n: n for n in world.owners}
    red = next(t for t in seen["teams"] if t["name"] == "red")
    assert red["cpus"] == 16 + red["borrowed_cpus"] == 60 - 2 * red["waiting_tasks"]
    assert next(t for t in seen["teams"] if t["name"] == "guests")["most_cpus"] is None


def test_a_gang_gets_what_other_shards_were_allotted_and_do_not_use() -> None:
    # inc-8d24: 24 GPUs at most, a few left with each shard in coarse steps, and a gang of 8 waited
    # for good, and its team's other work with it, since the limit was "far away".
    w = World()
    for _ in range(3):
        w.cloud.start_machine("gpu", "a", False)
    allotted = {"shards": {n: [4.0, 3.0] for n in w.owners}}
    w.state.commit({"if": [], "then": [{"put": "s/quota/red", "v": allotted}]})
    w.run(4)
    # 7 of 16 are spare, which is not near the limit, but 12 are needed.
    gang = job_submission(
        9, shape="ensemble", hands=3, vcpus=10.0, cards=4, memoryGb=40.0, rank="urgent"
    )
    w.submit("n1", gang)
    w.run_until(lambda: w.running_task_count("run-000009") == 3, 90)


def test_a_release_in_doubt_does_not_outlive_its_term(world: World) -> None:
    # inc-8d24: its outcome unknown, a release was to be repeated, the shard was lost and regained,
    # and the tasks were kept back for it for good: the job never ended.
    world.cloud.capacity = {"small": 6, "gpu": 0}
    for worker in world.workers.values():
        worker.task_run_s = 20.0
    world.submit("n0", job_submission(1, hands=4))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 40)
    name = holder_of(world, "run-000001")
    owner = world.owners[name]
    run, shard = owner.jobs["run-000001"], owner.held_shards[name]
    lease = owner.leadership.lease_id
    assert lease is not None
    world.state.expire_lease(lease)
    world.run_until(lambda: name in owner.held_shards and owner.held_shards[name] is not shard, 20)
    world.run_until(lambda: len(run.placed) > 0, 5)
    # The answer, or that there is none, comes when the term has changed already.
    index, placement = next(iter(run.placed.items()))
    run.releasing = 1 << index
    owner.backlog.mark_dirty(run)
    doubt = UnconfirmedRelease(run, shard, dict(run.claims), 1 << index, run.stamp, True)
    owner.scheduling_pass.releaser.unconfirmed.append(doubt)
    worker = world.workers[placement.machine.name]
    worker.exit_task(placement.task, placement.attempt, "error")
    world.run_until(lambda: job_state(world, "n0", "run-000001") == "done", 60)


def test_a_machine_that_never_comes_up_is_told_by_what_others_took(world: World) -> None:
    # Five times the nominal boot and more was waited for each, and paid for.
    owner = world.owners["n0"]
    kind = owner.machine_types["small"]
    assert owner.estimates.boot_timeout_s(kind) == 80.0
    for name in ["vm-000000", "vm-000001"] * 4:
        machine = owner.machines[name]
        machine.record.shard, machine.record.at = "n0", owner.wall() - 0.5
        owner.estimates.note_boot_time(machine)
    assert owner.estimates.boot_timeout_s(kind) == 25.0
    # A slow one is no reason to give up the next that is slow.
    machine.record.at = owner.wall() - 30.0
    owner.held_shards["n0"].held_since = owner.now - 40.0
    owner.estimates.note_boot_time(machine)
    assert 59.0 < owner.estimates.boot_timeout_s(kind) < 61.0
    # What was rented before this holder's time says nothing.
    machine.record.at = owner.wall() - 45.0
    owner.estimates.note_boot_time(machine)
    assert owner.estimates.boot_timeout_s(kind) < 61.0


def test_many_machines_returned_at_once_do_not_fill_the_queue_of_transactions() -> None:
    # While the removal of their records waited, they were deleted again at every tick, and each
    # time the removal was queued once more: claims waited behind hundreds of these for a minute.
    w = World(node_count=1)
    for i in range(60):
        w.cloud.start_machine("small", "ab"[i % 2], False)
    w.run(3)
    sizes = {s: len(m) for s, m in w.owners["n0"].machines_by_shard.items()}
    assert sizes == {"n0": 60}
    owner = w.owners["n0"]
    drops: list[str] = []

    def slowly(_: str, body: dict[str, Any]) -> str | None:
        names = [c["drop"] for c in body["then"] if "s/machine/" in c.get("drop", "")]
        drops.extend(names)
        return "throttled" if names and w.now < 1060 else None

    w.state.transaction_fault = slowly
    longest = 0
    for _ in range(60):
        w.run(1)
        longest = max(longest, len(owner.store.waiting))
    assert len(drops) > 20
    assert longest < 100
    w.run_until(lambda: len(owner.machines) < 10, 120)


def test_machines_found_in_the_list_are_shared_out_among_the_shards() -> None:
    # All that one listing told of went to the shard that had the fewest before it.
    w = World()
    w.run(0.5)
    for i in range(30):
        w.cloud.start_machine("small", "ab"[i % 2], False, 60.0)
    w.run(20)
    sizes = {s: len(m) for s, m in w.owners["n0"].machines_by_shard.items()}
    assert sizes == {"n0": 10, "n1": 10, "n2": 10}


def still(w: World, name: str) -> None:
    w.paused_until[name] = w.now + 60.0


def cut_off(w: World, name: str) -> None:
    for n in w.owners:
        if n != name:
            w.cut_links |= {(name, f"10.0.0.{n[1:]}:81"), (n, f"10.0.0.{name[1:]}:81")}
    w.cut_links |= {(name, "state"), (name, "cloud")}
    w.nodes_cut_from_workers.add(name)


def no_state(w: World, name: str) -> None:
    w.cut_links.add((name, "state"))


def no_workers(w: World, name: str) -> None:
    w.nodes_cut_from_workers.add(name)


def refused(w: World, name: str) -> None:
    w.state.refused_nodes.add(name)


TROUBLES = [still, cut_off, no_state, no_workers, refused]


@pytest.mark.parametrize("first", TROUBLES)
@pytest.mark.parametrize("second", [still, no_workers, refused])
def test_two_controllers_in_trouble_for_a_minute_and_the_third_serves(
    world: World, first: Any, second: Any
) -> None:
    # World.check and World.started watch the rules; here: placing goes on, nothing is stuck after.
    world.submit("n0", job_submission(1, shape="service", hands=6))
    world.run_until(lambda: world.running_task_count("run-000001") == 6, 60)
    first(world, "n0")
    world.run(5)
    second(world, "n1")
    world.run(35)
    assert world.submit("n2", job_submission(2, hands=4))[0] == 201
    world.run_until(lambda: len(world.completed_tasks) == 4, 60)
    world.cut_links.clear()
    world.nodes_cut_from_workers.clear()
    world.state.refused_nodes.clear()
    world.run(70)
    assert {n: set(o.held_shards) for n, o in world.owners.items()} == {
        n: {n} for n in world.owners
    }
    assert world.running_task_count("run-000001") == 6
    world.submit("n0", job_submission(3, hands=9))
    world.run_until(lambda: len(world.completed_tasks) == 13, 60)


def test_a_burst_of_guests_with_a_controller_killed_in_the_middle(world: World) -> None:
    # Production starts and cancellations go first; no tiny job is lost or run twice.
    world.submit("n0", job_submission(1, shape="service", hands=2, rank="production"))
    for i in range(100, 250):
        tiny = job_submission(i, outfit="guests", vcpus=0.25, memoryGb=0.4, rank="low", reckonS=5.0)
        world.request_controller(
            f"n{i % 3}", "POST", "/api/jobs", world.add_spec(tiny), lambda s, b: None
        )
        world.run(0.1)
        if i == 160:
            world.kill_node("n1")
        if i == 190:
            world.start_node(1)
    begun = world.now
    assert (
        world.submit("n0", job_submission(2, shape="service", hands=2, rank="production"))[0] == 201
    )
    world.run_until(lambda: world.running_task_count("run-000002") == 2, 10)
    assert world.user_request("n2", "POST", "/api/jobs/run-000002/cancel")[0] == 200
    assert world.now - begun < 10
    accepted = {f"run-{i:06d}" for i in range(100, 250)} & {
        k.split("/")[-1] for _, k, v in world.state.change_log if k.startswith(("s/job/", "o/"))
    }
    assert len(accepted) > 100
    for i in range(100, 250):
        assert world.submit(f"n{i % 3}", world.specs[f"run-{i:06d}"])[0] in (200, 201)
    world.run_until(lambda: len(world.completed_tasks) == 150, 120)


def test_a_session_known_by_a_direct_answer_has_its_whole_lease() -> None:
    # Found by a long search: the holder was cut from its workers until their leases had run out,
    # and learned of a new session from the answer to a direct command. It went on counting from
    # its last answer to a report, took the new session for over within a second, and placed the
    # task that it had just started once more: it ran twice.
    w = World(node_count=1)
    for _ in range(6):
        w.cloud.start_machine("small", "a", False)
    w.run(4)
    w.cloud.capacity = {"small": 6, "gpu": 0}
    for worker in w.workers.values():
        # No report of it gets through.
        worker.report_in_flight = True
        worker.task_run_s = 30.0
    answered = max(worker.lease_started_at for worker in w.workers.values())
    w.run_until(lambda: w.now - answered > 12.1, 20)
    w.submit("n0", job_submission(1, vcpus=4.0, hands=2))
    w.run_until(lambda: w.running_task_count("run-000001") == 2, 5)
    sessions = [worker.session for worker in w.workers.values()]
    assert 2 in sessions
    # The rules are checked at each start.
    w.run(8)


def test_between_two_zones_that_cannot_reach_each_other_nothing_is_lost() -> None:
    # On a bench day 46 machines that could reach the third controller were returned as silent,
    # with 153 tasks: sent back to holders they could not reach, they had no answer for 4 s more.
    w = World(seed=3, teams=[{"name": "red", "cpus": 16, "cpus_max": 0}])
    w.cloud.capacity = {"small": 24, "gpu": 0}
    w.run(3)
    for i in range(24):
        w.cloud.start_machine("small", "ab"[i % 2], False)
    w.run(5)
    w.submit("n0", job_submission(1, shape="service", hands=48))
    w.run_until(lambda: w.running_task_count("run-000001") == 48, 60)
    w.run(5)
    starts, deleted = len(w.task_starts), len(w.cloud.deleted_names)
    zone = {z: [n for n, k in w.workers.items() if k.cloud_record["range"] == z] for z in "ab"}
    w.partition(["n0", *zone["a"]], ["n1", *zone["b"]])
    w.run(25)
    w.cut_links.clear()
    w.run(25)
    assert w.running_task_count("run-000001") == 48
    assert (len(w.task_starts), len(w.cloud.deleted_names)) == (starts, deleted)


def test_machines_of_a_zone_that_stay_silent_are_returned_in_the_end(world: World) -> None:
    world.submit("n0", job_submission(1, shape="service", hands=6))
    world.run_until(lambda: world.running_task_count("run-000001") == 6, 40)
    for worker in world.workers.values():
        worker.dead = worker.cloud_record["range"] == "b"
    gone = [n for n, k in world.workers.items() if k.dead]
    # Of one shard all may be in that zone, which looks as if its holder were at fault.
    world.run_until(lambda: set(gone) <= set(world.cloud.deleted_names), 100)
    world.run_until(lambda: world.running_task_count("run-000001") == 6, 60)

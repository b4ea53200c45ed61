"""No node returns a job state older than what any user had been told when the request was sent.

Users poll all nodes within milliseconds after a job was accepted, ended or confirmed as cancelled;
`World.record_answer` checks each answer.
"""

from typing import Any

import msgspec
import pytest

from sagecove.lab.deployment import job_submission
from sagecove.lab.rule_checker import RuleViolation
from sagecove.lab.world import World, job_state, world_with_machines
from sagecove.protocol import users as user_protocol

JOB = "run-000001"


def small_job(**fields: Any) -> dict[str, Any]:
    return job_submission(1, **{"vcpus": 1.0, "memoryGb": 1.0, **fields})


def schedule_requests(
    world: World, spec: dict[str, Any], seconds: float, interval_s: float, request_kinds: str
) -> None:
    """Schedule requests at all nodes: `p` polls, `s` submits, `c` cancels."""
    for n in range(int(seconds / interval_s)):
        for node in sorted(world.inboxes):

            def send_requests(node: str = node) -> None:
                if "p" in request_kinds:
                    world.start_user_request(node, "GET", f"/api/jobs/{JOB}")
                if "s" in request_kinds:
                    world.start_user_request(node, "POST", "/api/jobs", spec)
                if "c" in request_kinds:
                    world.start_user_request(node, "POST", f"/api/jobs/{JOB}/cancel")

            world.call_later(n * interval_s, send_requests)


def randomize_answer_delays(world: World, longest_s: float) -> None:
    """Give each answer of the state service a random delay."""
    world.state.answer_delay_of = lambda node, path: world.random.choice(
        [0.0, 0.0, world.random.random() * longest_s]
    )


def no_faults(world: World) -> None:
    pass


def slow_answers(world: World) -> None:
    world.state.answer_delay_s = 0.3


def uneven_answers(world: World) -> None:
    randomize_answer_delays(world, 1.2)


def answers_lost(world: World) -> None:
    world.state.transaction_fault = lambda node, body: (
        "unanswered" if world.random.random() < 0.4 else None
    )


def late_writes(world: World) -> None:
    world.state.transaction_fault = lambda node, body: (
        "late" if world.random.random() < 0.3 else None
    )


def refuse_one_node(world: World) -> None:
    world.state.refused_nodes.add("n0")


def all_faults(world: World) -> None:
    randomize_answer_delays(world, 1.2)
    world.state.transaction_fault = lambda node, body: world.random.choice(
        [None, None, "unanswered", "late"]
    )
    world.call_later(1.0, lambda: world.state.refused_nodes.add("n0"))
    world.call_later(3.0, world.state.refused_nodes.clear)


FAULTS = [
    no_faults,
    slow_answers,
    uneven_answers,
    answers_lost,
    late_writes,
    refuse_one_node,
    all_faults,
]


def end_faults(world: World, state: str | None = None) -> None:
    """End all faults and check that all nodes report the same final state."""
    world.state.transaction_fault = world.state.answer_delay_of = None
    world.state.answer_delay_s = 0.0
    world.state.refused_nodes.clear()
    world.faults_over_at = world.now
    world.run(2.0)
    for node in sorted(world.owners):
        world.run_until(lambda node=node: job_state(world, node, JOB) in ("done", "aborted"), 60)
    reported_states = {job_state(world, node, JOB) for node in world.owners}
    assert len(reported_states) == 1 and state in (None, *reported_states)


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("cancel_at", [None, 0.0, 0.06, 0.5, 2.0, 5.1])
def test_no_node_returns_a_stale_state(cancel_at: float | None, fault: Any, nodes: int) -> None:
    world = World(node_count=nodes, seed=7 + nodes)
    for i in range(2 * nodes):
        world.cloud.start_machine("small", "ab"[i % 2], False)
    world.run(3)
    fault(world)
    spec = world.add_spec(small_job(hands=2))
    for worker in world.workers.values():
        worker.task_run_s = 3.0
    # Polled before the job exists, then submitted at all nodes, polled and cancelled.
    schedule_requests(world, spec, 7.0, 0.1, "p")
    world.call_later(0.3, lambda: schedule_requests(world, spec, 6.0, 0.25, "s"))
    if cancel_at is not None:
        world.call_later(0.3 + cancel_at, lambda: schedule_requests(world, spec, 3.0, 0.5, "c"))
    world.run(12)
    end_faults(world, None if cancel_at is not None else "done")


@pytest.mark.parametrize("first", ["s", "p", "c"])
@pytest.mark.parametrize("then", ["s", "p", "c"])
def test_second_request_at_every_moment_of_the_first(first: str, then: str) -> None:
    for step in range(0, 30):
        world = world_with_machines(3)
        spec = world.add_spec(small_job(shape="service"))
        if first == "c":
            world.submit("n2", spec)
            world.run(1.0)
        randomize_answer_delays(world, 0.3)
        schedule_requests(world, spec, 0.02, 0.02, first)
        world.call_later(
            step * 0.02,
            lambda world=world, spec=spec: schedule_requests(world, spec, 0.02, 0.02, then),
        )
        world.run(3)
        if "c" in first + then and JOB in world.reported_states:
            world.submit("n1", spec)
            world.user_request("n0", "POST", f"/api/jobs/{JOB}/cancel")
            end_faults(world, "aborted")


def test_read_in_flight_does_not_answer_later_requests() -> None:
    # A poll sent before the job exists is answered late; meanwhile the job is accepted and
    # cancelled.
    world = world_with_machines(3)
    world.state.answer_delay_of = lambda node, path: (
        1.2 if (node, path[:9]) == ("n0", "/store/o/") else 0.0
    )
    world.start_user_request("n0", "GET", f"/api/jobs/{JOB}")
    world.run(0.3)
    world.submit("n1", small_job(shape="service"))
    assert world.user_request("n1", "POST", f"/api/jobs/{JOB}/cancel")[0] == 200
    for _ in range(3):
        world.start_user_request("n0", "GET", f"/api/jobs/{JOB}")
        world.start_user_request("n0", "POST", f"/api/jobs/{JOB}/cancel")
    world.start_user_request("n0", "POST", "/api/jobs", world.specs[JOB])
    world.run(3)
    assert job_state(world, "n0", JOB) == "aborted"


def test_resubmission_of_a_known_job_is_not_rejected() -> None:
    world = world_with_machines(3)
    spec = small_job(hands=2)
    world.submit("n0", spec)
    # A resubmission is accepted in any spelling, and even if a new job would be rejected, as for a
    # team that was removed.
    padded = msgspec.json.encode(spec) + b" " * 16_000
    foreign = padded.replace(b'"red"', b'"gone"')
    world.run_until(lambda: job_state(world, "n1", JOB) == "done", 30)
    for node in world.owners:
        for body in (padded, foreign):
            status, answer = world.user_request(node, "POST", "/api/jobs", body)
            assert (status, answer["standing"]) == (200, "done")
    for body, first_status in ((padded, 201), (foreign, 422)):
        world.add_spec(job_submission(first_status))
        another = body.replace(b"run-000001", b"run-%06d" % first_status)
        status, answer = world.user_request("n1", "POST", "/api/jobs", another)
        assert status == first_status
    assert "unknown team" in answer["error"]
    status, _ = world.user_request("n2", "POST", "/api/jobs", padded.replace(b"000001", b"000201"))
    assert status == 200


def test_cancellation_is_confirmed_while_the_record_keeps_changing() -> None:
    world = world_with_machines(6)
    world.submit("n0", small_job(hands=60, reckonS=5.0))
    world.run(2)

    def change_record_first(node: str, body: dict[str, Any]) -> None:
        key = f"s/job/{JOB}"
        if any(change.get("drop") == key for change in body["then"]) and key in world.state.keys:
            world.state.commit({"if": [], "then": [{"put": key, "v": world.state.keys[key][0]}]})

    world.state.transaction_fault = change_record_first
    assert world.user_request("n1", "POST", f"/api/jobs/{JOB}/cancel") == (
        200,
        {"nameId": JOB, "standing": "aborted"},
    )
    world.state.transaction_fault = None
    world.run(10)
    assert world.running_task_count(JOB) == 0


INVALID_FIELDS: list[tuple[str, Any, int, str]] = [
    ("nameId", "run-000001\n", 400, "nameId"),
    ("nameId", "job-000001", 400, "nameId"),
    ("nameId", "run-\u00e9", 400, "nameId"),
    ("nameId", None, 400, "nameId"),
    ("shape", "sweep\n", 400, "shape"),
    ("rank", "normal\n", 400, "rank"),
    ("hands", 0, 400, "hands"),
    ("hands", 2.5, 400, "hands"),
    ("hands", "2", 400, "hands"),
    ("vcpus", None, 400, "vcpus"),
    ("vcpus", -1, 400, "vcpus"),
    ("samePlace", None, 400, "samePlace"),
    ("breeds", "small", 400, "breeds"),
    ("breeds", ["none"], 422, "machine type"),
    ("breeds", [], 422, "machine type"),
    ("range", "nowhere", 422, "machine type"),
    ("outfit", "strangers", 422, "team"),
    ("vcpus", 17.0, 422, "machine type"),
    ("memoryGb", 65.0, 422, "machine type"),
    ("cards", 5.0, 422, "machine type"),
]


@pytest.mark.parametrize("field, value, status, text", INVALID_FIELDS)
def test_rejected_submission_names_the_field_and_writes_nothing(
    field: str, value: Any, status: int, text: str
) -> None:
    world = world_with_machines(3)
    answered_status, body = world.user_request(
        "n0", "POST", "/api/jobs", {**small_job(), field: value}
    )
    assert answered_status == status and text in body["error"], body
    assert not [key for key in world.state.keys if key.startswith("s/job/")]
    # The rejection does not affect a later valid job with the same id.
    assert world.submit("n1", small_job())[0] == 201


@pytest.mark.parametrize(
    "fields",
    [
        {"shape": "ensemble", "hands": 2, "scatter": True, "range": "a"},
        {"shape": "service", "hands": 4, "scatter": True, "samePlace": True},
        {"shape": "ensemble", "hands": 33, "vcpus": 2.0},
        {"shape": "service", "hands": 2, "outfit": "blue", "vcpus": 5.0},
    ],
)
def test_gangs_and_services_that_can_never_run_are_rejected(fields: dict[str, Any]) -> None:
    world = world_with_machines(3)
    assert world.user_request("n0", "POST", "/api/jobs", job_submission(1, **fields))[0] == 422
    assert (
        world.submit("n0", job_submission(2, scatter=True, hands=1, shape="service", range="a"))[0]
        == 201
    )
    assert world.submit("n0", job_submission(3, scatter=True, hands=3, shape="ensemble"))[0] == 201


def test_missing_fields_are_named() -> None:
    world = world_with_machines(1)
    for n, field in enumerate(small_job()):
        spec = {k: v for k, v in job_submission(n + 1).items() if k != field}
        world.specs[f"run-{n + 1:06d}"] = job_submission(n + 1)
        status, body = world.user_request("n0", "POST", "/api/jobs", spec)
        if field in ("breeds", "range", "dueS"):
            assert status in (200, 201)
        else:
            assert status == 400 and field in body["error"]


@pytest.mark.parametrize("name", ["run-1\n", "run-", "run-a%0a", "run-a/b/c", "..", "run-\x00"])
def test_malformed_ids_are_unknown(name: str) -> None:
    world = world_with_machines(1)
    for path in (f"/api/jobs/{name}", f"/api/jobs/{name}/cancel"):
        status, _ = world.user_request("n0", "POST" if path.endswith("cancel") else "GET", path)
        assert status == 404
    assert not user_protocol.JOB_ID_PATTERN.match(name)


# -- tests of the checks --


def test_checker_finds_stale_answers_by_request_time() -> None:
    world = world_with_machines(1)
    world.add_spec(small_job())
    asked_early = next(world.answer_counter)
    world.record_answer(JOB, 201, {"standing": "pending"}, submitted=True)
    world.record_answer(JOB, 404, None, submitted=False, asked_at=asked_early)
    asked_late = next(world.answer_counter)
    with pytest.raises(RuleViolation, match="forgotten"):
        world.record_answer(JOB, 404, None, submitted=False, asked_at=asked_late)
    world.record_answer(JOB, 200, {"standing": "aborted"}, submitted=False)
    world.record_answer(JOB, 200, {"standing": "running"}, submitted=False, asked_at=asked_late)
    with pytest.raises(RuleViolation, match="went_back"):
        world.record_answer(
            JOB, 200, {"standing": "running"}, submitted=False, asked_at=next(world.answer_counter)
        )
    with pytest.raises(RuleViolation, match="went_back"):
        world.completed_tasks.add(f"{JOB}/0")
        world.record_answer(JOB, 200, {"standing": "done"}, submitted=False, asked_at=asked_early)


@pytest.mark.parametrize(
    "invalid_fields", [{"vcpus": 17.0}, {"range": "nowhere"}, {"outfit": "nobody"}]
)
def test_checker_finds_accepted_jobs_that_cannot_run(invalid_fields: dict[str, Any]) -> None:
    world = world_with_machines(1)
    world.add_spec(small_job(**invalid_fields))
    with pytest.raises(RuleViolation, match="accepted"):
        world.record_answer(JOB, 201, {"standing": "pending"}, submitted=True)
    del world.add_spec(small_job())["bundle"]
    with pytest.raises(RuleViolation, match="accepted .* lacks"):
        world.record_answer(JOB, 201, {"standing": "pending"}, submitted=True)


def test_checker_finds_a_job_waiting_despite_free_capacity() -> None:
    world = world_with_machines(3)
    for owner in world.owners.values():
        owner.scheduling_pass.run = lambda now: None  # type: ignore[method-assign]
        owner.maintenance.return_idle = lambda now: None  # type: ignore[method-assign]
    owner.users.claim_at_submission = lambda job: None  # type: ignore[method-assign]
    world.submit(owner.settings.node, small_job())
    world.submit(owner.settings.node, job_submission(2, outfit="blue", vcpus=4.0, breeds=["gpu"]))
    world.run(100)
    world.faults_over_at = world.now
    with pytest.raises(RuleViolation, match=f"waiting {JOB}"):
        world.run(100)


def test_starts_after_a_confirmed_cancellation_are_counted() -> None:
    world = world_with_machines(1)
    world.submit("n0", small_job(hands=1))
    world.run_until(lambda: world.running_task_count(JOB) == 1, 20)
    assert world.user_request("n0", "POST", f"/api/jobs/{JOB}/cancel")[0] == 200
    world.run(3)
    assert world.starts_after_cancel == []
    next(iter(world.workers.values())).launch_task(f"{JOB}/0", 99)
    assert [task for task, _ in world.starts_after_cancel] == [f"{JOB}/0"]

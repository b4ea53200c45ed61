"""Users look closely: at all nodes, again and again within milliseconds, right after a job was
accepted, ended or confirmed as cancelled. No node answers anything older than what a user had been
told when the question was asked (`World.look`)."""

from typing import Any

import msgspec
import pytest

from sagecove.lab.deployment import job_submission
from sagecove.lab.rule_checker import RuleViolation
from sagecove.lab.world import World, job_state, world_with_machines
from sagecove.protocol import users as u

JOB = "run-000001"


def small(**fields: Any) -> dict[str, Any]:
    return job_submission(1, **{"vcpus": 1.0, "memoryGb": 1.0, **fields})


def looks(w: World, spec: dict[str, Any], seconds: float, every: float, kinds: str) -> None:
    """From now on, at all nodes: `p`oll, `s`ubmission, `c`ancellation."""
    for n in range(int(seconds / every)):
        for node in sorted(w.inboxes):

            def ask(node: str = node) -> None:
                if "p" in kinds:
                    w.start_user_request(node, "GET", f"/api/jobs/{JOB}")
                if "s" in kinds:
                    w.start_user_request(node, "POST", "/api/jobs", spec)
                if "c" in kinds:
                    w.start_user_request(node, "POST", f"/api/jobs/{JOB}/cancel")

            w.call_later(n * every, ask)


def now_and_then(w: World, most: float) -> None:
    """Each answer of the state service takes its own time."""
    w.state.answer_delay_of = lambda node, path: w.random.choice(
        [0.0, 0.0, w.random.random() * most]
    )


def quick(w: World) -> None:
    pass


def slow(w: World) -> None:
    w.state.answer_delay_s = 0.3


def uneven(w: World) -> None:
    now_and_then(w, 1.2)


def answers_lost(w: World) -> None:
    w.state.transaction_fault = lambda node, body: "unanswered" if w.random.random() < 0.4 else None


def writes_late(w: World) -> None:
    w.state.transaction_fault = lambda node, body: "late" if w.random.random() < 0.3 else None


def one_refused(w: World) -> None:
    w.state.refused_nodes.add("n0")


def all_of_it(w: World) -> None:
    now_and_then(w, 1.2)
    w.state.transaction_fault = lambda node, body: w.random.choice(
        [None, None, "unanswered", "late"]
    )
    w.call_later(1.0, lambda: w.state.refused_nodes.add("n0"))
    w.call_later(3.0, w.state.refused_nodes.clear)


WAYS = [quick, slow, uneven, answers_lost, writes_late, one_refused, all_of_it]


def over(w: World, state: str | None = None) -> None:
    """All troubles end; all nodes come to tell the same, for good."""
    w.state.transaction_fault = w.state.answer_delay_of = None
    w.state.answer_delay_s = 0.0
    w.state.refused_nodes.clear()
    w.faults_over_at = w.now
    w.run(2.0)
    for node in sorted(w.owners):
        w.run_until(lambda node=node: job_state(w, node, JOB) in ("done", "aborted"), 60)
    told = {job_state(w, node, JOB) for node in w.owners}
    assert len(told) == 1 and state in (None, *told)


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cancel_at", [None, 0.0, 0.06, 0.5, 2.0, 5.1])
def test_no_node_tells_anything_older(cancel_at: float | None, way: Any, nodes: int) -> None:
    w = World(node_count=nodes, seed=7 + nodes)
    for i in range(2 * nodes):
        w.cloud.start_machine("small", "ab"[i % 2], False)
    w.run(3)
    way(w)
    spec = w.add_spec(small(hands=2))
    for worker in w.workers.values():
        worker.task_run_s = 3.0
    # Asked for before there is such a job, then submitted at all nodes, asked for, cancelled.
    looks(w, spec, 7.0, 0.1, "p")
    w.call_later(0.3, lambda: looks(w, spec, 6.0, 0.25, "s"))
    if cancel_at is not None:
        w.call_later(0.3 + cancel_at, lambda: looks(w, spec, 3.0, 0.5, "c"))
    w.run(12)
    over(w, None if cancel_at is not None else "done")


@pytest.mark.parametrize("first", ["s", "p", "c"])
@pytest.mark.parametrize("then", ["s", "p", "c"])
def test_each_pair_of_requests_the_second_at_every_moment_of_the_first(
    first: str, then: str
) -> None:
    for step in range(0, 30):
        w = world_with_machines(3)
        spec = w.add_spec(small(shape="service"))
        if first == "c":
            w.submit("n2", spec)
            w.run(1.0)
        now_and_then(w, 0.3)
        looks(w, spec, 0.02, 0.02, first)
        w.call_later(step * 0.02, lambda w=w, spec=spec: looks(w, spec, 0.02, 0.02, then))
        w.run(3)
        if "c" in first + then and JOB in w.reported_states:
            w.submit("n1", spec)
            w.user_request("n0", "POST", f"/api/jobs/{JOB}/cancel")
            over(w, "aborted")


def test_a_read_under_way_answers_nobody_who_came_after_it() -> None:
    # Asked for before there is such a job, and answered late; accepted and cancelled meanwhile.
    w = world_with_machines(3)
    w.state.answer_delay_of = lambda node, path: (
        1.2 if (node, path[:9]) == ("n0", "/store/o/") else 0.0
    )
    w.start_user_request("n0", "GET", f"/api/jobs/{JOB}")
    w.run(0.3)
    w.submit("n1", small(shape="service"))
    assert w.user_request("n1", "POST", f"/api/jobs/{JOB}/cancel")[0] == 200
    for _ in range(3):
        w.start_user_request("n0", "GET", f"/api/jobs/{JOB}")
        w.start_user_request("n0", "POST", f"/api/jobs/{JOB}/cancel")
    w.start_user_request("n0", "POST", "/api/jobs", w.specs[JOB])
    w.run(3)
    assert job_state(w, "n0", JOB) == "aborted"


def test_a_known_job_is_not_refused_whatever_would_be_said_of_a_new_one() -> None:
    w = world_with_machines(3)
    spec = small(hands=2)
    w.submit("n0", spec)
    # Spaces of another client, a team that is gone, types that fit no longer.
    padded = msgspec.json.encode(spec) + b" " * 16_000
    w.run_until(lambda: job_state(w, "n1", JOB) == "done", 30)
    for node in w.owners:
        status, _ = w.user_request(node, "POST", "/api/jobs", padded)
        assert status == 200
    another = padded.replace(b"run-000001", b"run-000002")
    status, body = w.user_request("n1", "POST", "/api/jobs", another)
    assert status == 400 and "too long" in body["error"]


def test_a_cancellation_is_confirmed_while_the_record_moves_on_all_the_time() -> None:
    w = world_with_machines(6)
    w.submit("n0", small(hands=60, reckonS=5.0))
    w.run(2)

    def claims_come_first(node: str, body: dict[str, Any]) -> None:
        key = f"s/job/{JOB}"
        if any(change.get("drop") == key for change in body["then"]) and key in w.state.keys:
            w.state.commit({"if": [], "then": [{"put": key, "v": w.state.keys[key][0]}]})

    w.state.transaction_fault = claims_come_first
    assert w.user_request("n1", "POST", f"/api/jobs/{JOB}/cancel") == (
        200,
        {"nameId": JOB, "standing": "aborted"},
    )
    w.state.transaction_fault = None
    w.run(10)
    assert w.running_task_count(JOB) == 0


BAD: list[tuple[str, Any, int, str]] = [
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


@pytest.mark.parametrize("field, value, status, text", BAD)
def test_odd_submissions_are_refused_by_name_and_known_jobs_are_not(
    field: str, value: Any, status: int, text: str
) -> None:
    w = world_with_machines(3)
    got, body = w.user_request("n0", "POST", "/api/jobs", {**small(), field: value})
    assert got == status and text in body["error"], body
    assert not [key for key in w.state.keys if key.startswith("s/job/")]
    # A job of the same id is nothing worse for it.
    assert w.submit("n1", small())[0] == 201


@pytest.mark.parametrize(
    "fields",
    [
        {"shape": "ensemble", "hands": 2, "scatter": True, "range": "a"},
        {"shape": "service", "hands": 4, "scatter": True, "samePlace": True},
        {"shape": "ensemble", "hands": 33, "vcpus": 2.0},
        {"shape": "service", "hands": 2, "outfit": "blue", "vcpus": 5.0},
    ],
)
def test_gangs_and_services_that_can_never_all_run_are_refused(fields: dict[str, Any]) -> None:
    w = world_with_machines(3)
    assert w.user_request("n0", "POST", "/api/jobs", job_submission(1, **fields))[0] == 422
    assert (
        w.submit("n0", job_submission(2, scatter=True, hands=1, shape="service", range="a"))[0]
        == 201
    )
    assert w.submit("n0", job_submission(3, scatter=True, hands=3, shape="ensemble"))[0] == 201


def test_every_field_that_is_missing_is_named() -> None:
    w = world_with_machines(1)
    for n, field in enumerate(small()):
        spec = {k: v for k, v in job_submission(n + 1).items() if k != field}
        w.specs[f"run-{n + 1:06d}"] = job_submission(n + 1)
        status, body = w.user_request("n0", "POST", "/api/jobs", spec)
        if field in ("breeds", "range", "dueS"):
            assert status in (200, 201)
        else:
            assert status == 400 and field in body["error"]


@pytest.mark.parametrize("name", ["run-1\n", "run-", "run-a%0a", "run-a/b/c", "..", "run-\x00"])
def test_odd_ids_are_unknown(name: str) -> None:
    w = world_with_machines(1)
    for path in (f"/api/jobs/{name}", f"/api/jobs/{name}/cancel"):
        status, _ = w.user_request("n0", "POST" if path.endswith("cancel") else "GET", path)
        assert status == 404
    assert not u.JOB_ID_PATTERN.match(name)


# -- the checks find what they are for -----------------------------------------------------------


def test_an_older_answer_is_found_by_when_it_was_asked_for() -> None:
    w = world_with_machines(1)
    w.add_spec(small())
    early = next(w.answer_counter)
    w.record_answer(JOB, 201, {"standing": "pending"}, submitted=True)
    w.record_answer(JOB, 404, None, submitted=False, asked_at=early)
    late = next(w.answer_counter)
    with pytest.raises(RuleViolation, match="forgotten"):
        w.record_answer(JOB, 404, None, submitted=False, asked_at=late)
    w.record_answer(JOB, 200, {"standing": "aborted"}, submitted=False)
    w.record_answer(JOB, 200, {"standing": "running"}, submitted=False, asked_at=late)
    with pytest.raises(RuleViolation, match="went_back"):
        w.record_answer(
            JOB, 200, {"standing": "running"}, submitted=False, asked_at=next(w.answer_counter)
        )
    with pytest.raises(RuleViolation, match="went_back"):
        w.completed_tasks.add(f"{JOB}/0")
        w.record_answer(JOB, 200, {"standing": "done"}, submitted=False, asked_at=early)


@pytest.mark.parametrize("wrong", [{"vcpus": 17.0}, {"range": "nowhere"}, {"outfit": "nobody"}])
def test_an_acceptance_of_what_cannot_run_is_found(wrong: dict[str, Any]) -> None:
    w = world_with_machines(1)
    w.add_spec(small(**wrong))
    with pytest.raises(RuleViolation, match="accepted"):
        w.record_answer(JOB, 201, {"standing": "pending"}, submitted=True)
    del w.add_spec(small())["bundle"]
    with pytest.raises(RuleViolation, match="accepted .* lacks"):
        w.record_answer(JOB, 201, {"standing": "pending"}, submitted=True)


def test_a_job_that_waits_beside_room_is_found() -> None:
    w = world_with_machines(3)
    for owner in w.owners.values():
        owner.scheduling_pass.run = lambda now: None  # type: ignore[method-assign]
        owner.maintenance.return_idle = lambda now: None  # type: ignore[method-assign]
    owner.users._claim_at_submission = lambda job: None  # type: ignore[method-assign]
    w.submit(owner.settings.node, small())
    w.submit(owner.settings.node, job_submission(2, outfit="blue", vcpus=4.0, breeds=["gpu"]))
    w.run(100)
    w.faults_over_at = w.now
    with pytest.raises(RuleViolation, match=f"waiting {JOB}"):
        w.run(100)


def test_a_start_after_a_confirmed_cancellation_is_counted() -> None:
    w = world_with_machines(1)
    w.submit("n0", small(hands=1))
    w.run_until(lambda: w.running_task_count(JOB) == 1, 20)
    assert w.user_request("n0", "POST", f"/api/jobs/{JOB}/cancel")[0] == 200
    w.run(3)
    assert w.starts_after_cancel == []
    next(iter(w.workers.values())).launch_task(f"{JOB}/0", 99)
    assert [task for task, _ in w.starts_after_cancel] == [f"{JOB}/0"]

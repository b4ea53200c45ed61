"""What comes from outside is decoded or refused, and a request that fails costs itself alone."""

import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from sagecove.coordination.effects import CallResult, IncomingRequest, OutgoingCall, Reply
from sagecove.coordination.owner import Owner
from sagecove.features import feature_factory, load_features
from sagecove.lab.deployment import controller_settings, job_submission
from sagecove.lab.world import World, job_state, world_with_machines
from sagecove.protocol import cloud as cloud_protocol
from sagecove.protocol import peers as peer_protocol
from sagecove.protocol import state as state_protocol
from sagecove.protocol import workers as worker_protocol
from sagecove.protocol.decoding import MalformedMessage, decode_message, replace_deep_values
from sagecove.protocol.submissions import decode_submission
from sagecove.service import Service
from sagecove.storage import taskset
from sagecove.storage.records import JobRecord, parse_record
from sagecove.storage.store import decode_answer

DEEP = b"[" * 3000 + b"]" * 3000
REPORT = {
    **{"mount": "vm-000000", "addr": "10.9.0.1:9", "breed": "small", "range": "a"},
    **{"borrowed": False, "ride": 1, "tally": 5, "brand": 0, "warningS": None, "hands": []},
}
# Messages with their decoders, as they come from users, workers, peers, state service and cloud.
MESSAGES: list[tuple[Callable[[bytes], Any], Any]] = [
    (decode_submission, job_submission(1)),
    (worker_protocol.decode_report, REPORT),
    (peer_protocol.decode_hint, {"node": "n1"}),
    (peer_protocol.decode_share_requests, {"node": "n1", "wants": []}),
    (peer_protocol.decode_promise, {"for_s": 1.0}),
    (lambda body: decode_message(body, state_protocol.Revision), {"ledger": 5}),
    (lambda body: decode_message(body, state_protocol.Granted), {"tenure": 5}),
    (lambda body: decode_message(body, cloud_protocol.Names), {"mounts": ["vm-1"]}),
    (lambda body: decode_message(body, cloud_protocol.Listing), {"mounts": []}),
]
JSON_TEXTS = st.recursive(
    st.sampled_from([b"1", b'"a]}[{"', b'"\\"["', b"null", b"[]", b"{}", b'"\\ud800"', b"-1e9"]),
    lambda inner: (
        st.lists(inner, min_size=1, max_size=3).map(lambda v: b"[" + b", ".join(v) + b"]")
        | st.tuples(inner, st.integers(1, 700)).map(lambda v: b"[" * v[1] + v[0] + b"]" * v[1])
        | st.tuples(inner, st.integers(1, 200)).map(lambda v: b'{"a":' * v[1] + v[0] + b"}" * v[1])
    ),
    max_leaves=8,
)
BYTES = st.binary(max_size=300) | st.lists(
    st.sampled_from([b"[", b"]", b"{", b"}", b'"', b"\\", b"a", b":", b",", b"1"])
    | st.sampled_from([b"[" * 400, b"]" * 400, b'{"a":' * 400, b"}" * 400]),
    max_size=30,
).map(b"".join)


@pytest.mark.parametrize(("decode", "message"), MESSAGES)
@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(text=JSON_TEXTS)
def test_unknown_json_decides_nothing(decode: Any, message: Any, text: bytes) -> None:
    plain = json.dumps(message).encode()
    assert decode(plain[:-1] + b',"x_unknown":' + text + b"}") == decode(plain)


@pytest.mark.parametrize(("decode", "message"), MESSAGES)
@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(body=BYTES)
def test_no_bytes_raise_anything_but_malformed_message(
    decode: Any, message: Any, body: bytes
) -> None:
    plain = json.dumps(message).encode()
    for raw in (body, plain[:-1] + b',"x_unknown":' + body + b"}", plain + body):
        try:
            decode(raw)
        except MalformedMessage:
            continue
        json.loads(replace_deep_values(raw).decode(errors="replace"))


@pytest.mark.parametrize(
    "body",
    [
        b'{"node":"n1","x":' + b"[" * 3000 + b"01" + b"]" * 3000 + b"}",
        b'{"node":"n1","x":' + b"[" * 3000 + b"}" * 3000 + b"}",
        b'{"node":"n1","x":' + b"[" * 3000 + b"1[[2]]" + b"]" * 3000 + b"}",
        b'{"node":"n1","x":' + b"[" * 3000 + b"]" * 2999 + b"}",
        b'{"node":"n1"}' + b"]" * 3000,
        b"[" * 60_000,
        b'{"x":' + b"[" * 2000 + b'"' + b'\\"' * 20_000,
    ],
)
def test_malformed_deep_values_are_refused(body: bytes) -> None:
    with pytest.raises(MalformedMessage):
        peer_protocol.decode_hint(body)


def test_undecodable_answer_counts_as_none() -> None:
    assert decode_answer(b'{"ledger":' + DEEP + b"}", state_protocol.Revision) is None
    assert decode_answer(b'{"ledger":5,"x":' + DEEP + b"}", state_protocol.Revision) is not None
    values = b'{"path":"s/x","stamp":1,"v":' + b"9" * 5000 + b"}"
    assert decode_answer(values, state_protocol.Pair) is None


@pytest.mark.parametrize("text", ["0-", "x", "b~~~\n", "1,,2", "z85:abc", "9999999999", "5 6"])
def test_record_with_a_set_of_unknown_form_is_unreadable(text: str) -> None:
    record = msgspec.to_builtins(JobRecord(decode_submission(SUBMISSION), 1.0, {"n0": text}))
    assert parse_record("s/job/run-000001", record) is None


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1_000, 99_999, 100_000])
def test_written_sets_are_readable(step: int) -> None:
    assert taskset.is_readable("")
    assert taskset.is_readable(taskset.encode(sum(1 << n for n in range(0, 100_000, step))))


SUBMISSION = json.dumps(job_submission(1)).encode()


def test_job_with_an_unreadable_set_stays_known() -> None:
    world = world_with_machines(2)
    spec = world.add_spec(job_submission(1))
    record = {"spec": spec, "at": 1.0, "claims": {"n0": "later-form:1"}}
    world.state.commit({"if": [], "then": [{"put": "s/job/run-000001", "v": record}]})
    world.run(1)
    for node in world.owners:
        status, body = world.user_request(node, "POST", "/api/jobs", job_submission(1))
        assert (status, body["standing"]) == (200, "pending")


# -- one request costs itself alone --


def world_with_sweeps() -> World:
    world = World(features=feature_factory(load_features("deploy/features.toml")))
    for number in range(2):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(3)
    return world


def answers(owner: Owner, requests: list[IncomingRequest | CallResult]) -> dict[Any, int]:
    effects = owner.handle(list(requests), owner.now + 0.01, owner.now)
    for machine in owner.machines.values():
        owner.workers.held_reports.answer_now(machine)
    effects += owner.handle([], owner.now + 0.01, owner.now)
    return {effect.exchange: effect.status for effect in effects if isinstance(effect, Reply)}


@pytest.mark.parametrize(
    ("path", "message", "from_peer"),
    [
        ("/hello", REPORT, False),
        ("/relay", REPORT, True),
        ("/hint", {"node": "n1"}, True),
        ("/wants", {"node": "n1", "wants": []}, True),
        ("/api/jobs", job_submission(1), False),
        ("/api/sweeps", {"id": "run-1", "space": "a = 1"}, False),
        ("/api/templates", {"name": "a", "job": {}}, False),
    ],
)
def test_deep_requests_are_answered_without_an_exception(
    path: str, message: Any, from_peer: bool
) -> None:
    owner = world_with_sweeps().owners["n0"]
    plain = json.dumps(message).encode()
    for body in (DEEP, b'{"x":' + DEEP + b"}", plain[:-1] + b',"x":' + DEEP + b"}"):
        request = IncomingRequest("POST", path, body, "exchange", from_peer)
        assert answers(owner, [request]).get("exchange") != 500
        assert not owner.containment.faults


@pytest.mark.parametrize(
    "path",
    [
        "/api/templates/a?version=" + "9" * 5000,
        "/api/sweeps/run-a/points?from=" + "9" * 5000,
        "/api/sweeps/run-a/points?most=" + "9" * 5000,
    ],
    ids=["version", "from", "most"],
)
def test_long_numbers_in_a_query_are_refused(path: str) -> None:
    owner = world_with_sweeps().owners["n0"]
    statuses = answers(owner, [IncomingRequest("GET", path, b"", "exchange")])
    assert statuses["exchange"] == 400
    assert not owner.containment.faults


@pytest.mark.parametrize("name", ["", "vm 1", "vm/1", "vm-1\n", "größe", "v" * 121, 7, None])
def test_reports_of_machines_without_a_valid_name_are_malformed(name: Any) -> None:
    # The name becomes a part of a key of the state service.
    owner = world_with_machines(1).owners["n0"]
    body = json.dumps({**REPORT, "mount": name}).encode()
    for path, from_peer in (("/hello", False), ("/relay", True)):
        request = IncomingRequest("POST", path, body, "exchange", from_peer)
        assert answers(owner, [request])["exchange"] == 400


def break_status_requests(world: World, job_id: str) -> None:
    """Let every controller raise while it handles a status request for a job."""
    world.allows_contained_faults = True
    for owner in world.owners.values():
        status = owner.users.status

        def failing_status(asked: str, exchange: Any, status: Any = status) -> None:
            if asked == job_id:
                raise ZeroDivisionError(asked)
            status(asked, exchange)

        owner.users.status = failing_status  # type: ignore[method-assign]


def test_request_that_raises_does_not_lose_answers_of_the_state_service() -> None:
    world = world_with_machines(1)
    owner = world.owners["n0"]
    break_status_requests(world, "run-666666")
    effects = owner.handle(
        [IncomingRequest("POST", "/api/jobs", SUBMISSION, "user")], world.now, world.now
    )
    commits = [e for e in effects if isinstance(e, OutgoingCall) and e.path == "/commit"]
    revision = owner.mirror.applied + 1
    batch = [
        IncomingRequest("GET", "/api/jobs/run-666666", b"", "before"),
        *(CallResult(call.token, 200, b'{"ledger":%d}' % revision) for call in commits),
        IncomingRequest("GET", "/api/jobs/run-666666", b"", "after"),
    ]
    statuses = answers(owner, batch)
    assert statuses["user"] == 201
    assert statuses["before"] == statuses["after"] == 500
    assert "run-000001" in owner.jobs


def test_submission_that_raises_is_decided_when_it_is_repeated() -> None:
    world = world_with_machines(1)
    world.allows_contained_faults = True
    owner = world.owners["n0"]
    claim = owner.users.claim_at_submission
    owner.users.claim_at_submission = lambda job: 1 // 0  # type: ignore
    assert world.submit("n0", job_submission(1))[0] == 500
    owner.users.claim_at_submission = claim  # type: ignore[method-assign]
    assert world.submit("n0", job_submission(1))[0] == 201


def test_answer_that_raises_does_not_lose_other_answers() -> None:
    world = world_with_machines(1)
    world.allows_contained_faults = True
    owner = world.owners["n0"]
    received: list[int | None] = []

    def fail(status: int | None, body: bytes) -> None:
        raise ZeroDivisionError

    for done in (fail, lambda status, body: received.append(status)):
        owner.call("state", "GET", "/store/o/x", None, 1.0, done)
    calls = [e for e in owner.effects if isinstance(e, OutgoingCall)]
    owner.handle([CallResult(call.token, 404, b"{}") for call in calls], world.now, world.now)
    assert received == [404]
    assert owner.event_counts.totals["contained answer"] == 1


def test_request_that_raises_is_repeated_while_jobs_are_served() -> None:
    # Ended controllers would each be met by the next repetition, and their leases would run out.
    world = world_with_machines(4)
    break_status_requests(world, "run-666666")

    def ask_again() -> None:
        for node in world.owners:
            world.request_controller(node, "GET", "/api/jobs/run-666666", b"", lambda s, b: None)
        world.call_later(0.1, ask_again)

    ask_again()
    for number in range(1, 21):
        assert world.submit(f"n{number % 3}", job_submission(number, reckonS=2.0))[0] == 201
    world.run(30)
    states = [job_state(world, "n1", f"run-{number:06d}") for number in range(1, 21)]
    assert states == ["done"] * 20
    assert {worker.session for worker in world.workers.values()} == {1}


def test_part_of_a_tick_that_raises_does_not_stop_the_others() -> None:
    world = world_with_machines(2)
    world.allows_contained_faults = True
    for owner in world.owners.values():
        owner.peers.send_hints = lambda now: 1 // 0  # type: ignore[method-assign]
        owner.maintenance.return_idle = lambda now: 1 // 0  # type: ignore[method-assign]
    for number in range(1, 5):
        assert world.submit("n0", job_submission(number, reckonS=2.0))[0] == 201
    world.run(30)
    assert job_state(world, "n1", "run-000004") == "done"


def test_contained_exceptions_fail_a_world_that_does_not_expect_them() -> None:
    world = world_with_machines(1)
    world.owners["n0"].peers.send_hints = lambda now: 1 // 0  # type: ignore[method-assign]
    with pytest.raises(ZeroDivisionError):
        world.run(1)


def test_change_that_cannot_be_applied_leaves_its_job_known() -> None:
    world = world_with_machines(1)
    world.allows_contained_faults = True
    owner = world.owners["n0"]
    job_seen = owner.job_seen

    def failing_job_seen(job: Any) -> None:
        if job.id == "run-000001":
            raise ZeroDivisionError
        job_seen(job)

    owner.job_seen = failing_job_seen  # type: ignore[method-assign]
    assert world.submit("n0", job_submission(1))[0] == 201
    assert world.submit("n0", job_submission(2))[0] == 201
    for _ in range(40):
        world.run(0.5)
        assert job_state(world, "n0", "run-000001") in ("pending", "running", "done")
    assert job_state(world, "n0", "run-000002") == "done"


def test_effect_that_cannot_be_sent_costs_itself_alone() -> None:
    service = Service(controller_settings(0), MemoryReactorClock(), [])
    sent: list[Any] = []

    def reply(effect: Reply) -> None:
        assert effect.exchange is not None
        sent.append(effect.exchange)

    service._reply = reply  # type: ignore[method-assign]
    service.settings = None  # type: ignore[assignment]  # makes calls raise
    for effect in (
        Reply(None, 200, {}),
        OutgoingCall(7, "state", "GET", "/x", None, 1.0),
        Reply("user", 200, {}),
    ):
        service._carry_out(effect)
    assert sent == ["user"]
    assert list(service.queue) == [CallResult(7, 0, b"")]

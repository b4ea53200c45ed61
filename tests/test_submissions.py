"""Whether a job is accepted depends on the meaning of its known fields, and on nothing else."""

import json
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sagecove.coordination.model import JobRun
from sagecove.lab.deployment import controller_settings, job_submission
from sagecove.lab.submission_bodies import sound_body, unsound_body
from sagecove.lab.world import World, job_state, world_with_machines
from sagecove.protocol.decoding import MalformedMessage
from sagecove.protocol.submissions import decode_submission, job_to_keep
from sagecove.protocol.users import Job
from sagecove.storage import taskset
from sagecove.storage.records import JobRecord, max_claimable_tasks

RANDOMS = st.randoms(use_true_random=False)
SUBMISSIONS = st.fixed_dictionaries(
    {},
    optional={
        "hands": st.integers(1, 100_000),
        "herd": st.text(min_size=1, max_size=300),
        "bundle": st.text(min_size=1, max_size=300),
        "range": st.sampled_from([None, "a", "b"]),
        "breeds": st.none() | st.lists(st.sampled_from(["small", "gpu", "unknown"]), max_size=4),
        "reckonS": st.floats(0, 1e300),
        "dueS": st.none() | st.floats(0, 1e300),
        "borrowed": st.booleans(),
    },
)
# The body of the incident: 18,453 bytes, most of them of a field that no controller knows.
INCIDENT_FIELDS: dict[str, Any] = {
    "x_text": "lorem ipsum " * 1_440,
    "x_labels": {"größe": "日本語 ✓", "n": 2**64 - 1, "l": [[], {}, True], "deep": [[[[[]]]]]},
}


def submission_with(extra: dict[str, Any], number: int = 1) -> bytes:
    return json.dumps({**job_submission(number), **extra}, ensure_ascii=False).encode()


def submit(world: World, node: str, body: bytes) -> int:
    world.add_spec(job_submission(1))
    return world.user_request(node, "POST", "/api/jobs", body)[0]


def test_unknown_fields_of_18_kb_do_not_refuse_a_sound_job() -> None:
    world = world_with_machines(2)
    body = submission_with(INCIDENT_FIELDS)
    assert len(body) > 17_000
    assert submit(world, "n2", body) == 201
    assert submit(world, "n0", body) == 200
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 30)


@pytest.mark.parametrize(
    "extra",
    [
        {"x": "y" * 64_000},
        {"bundle": "b" * 201},
        {"herd": "h" * 40_000},
        {"bundle": "\U0001f600" * 200, "herd": "\x01" * 200},
        {"breeds": ["small"] * 900},
        {"breeds": ["small", *(f"unknown-{n}" for n in range(3_000))]},
        {"breeds": ["small", "u" * 300]},
        {"hands": 16.0},
        {"reckonS": 2e9},
        {"dueS": 1e300},
    ],
    ids=lambda extra: next(iter(extra)),
)
def test_lengths_and_spellings_of_fields_do_not_refuse_a_job(extra: dict[str, Any]) -> None:
    world = world_with_machines(2)
    body = submission_with(extra)
    assert submit(world, "n0", body) == 201
    assert submit(world, "n1", body) == 200
    record = world.state.keys["s/job/run-000001"][0]
    assert len(msgspec.json.encode(record["spec"])) <= 16 * 512
    # Builds that know only `Job` read the record.
    msgspec.convert(record["spec"], Job)


@pytest.mark.parametrize(
    "unknown",
    [b"[" * 3000 + b"]" * 3000, b'{"a":' * 9000 + b"1" + b"}" * 9000, b'"\\ud800"', b"1e400"],
    ids=["arrays", "objects", "surrogate", "number"],
)
def test_unknown_values_that_the_decoder_refuses_do_not_refuse_a_job(unknown: bytes) -> None:
    world = world_with_machines(2)
    body = json.dumps(job_submission(1)).encode()[:-1] + b',"x":' + unknown + b"}"
    assert submit(world, "n0", body) == 201


@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(RANDOMS, SUBMISSIONS)
def test_every_spelling_of_a_submission_is_the_same_job(random: Random, fields: Any) -> None:
    submission = job_submission(1, **fields)
    plain = decode_submission(json.dumps(submission).encode())
    assert decode_submission(sound_body(random, submission)) == plain
    kept = job_to_keep(plain, {"small", "gpu"}, 8 * 512)
    assert kept is not None
    assert msgspec.json.decode(msgspec.json.encode(kept), type=Job) == kept


@hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(RANDOMS)
def test_unsound_submissions_are_malformed(random: Random) -> None:
    body = unsound_body(random, job_submission(1))
    with pytest.raises(MalformedMessage):
        decode_submission(body)


def test_random_submissions_are_accepted_once_and_unsound_ones_refused() -> None:
    random = Random(66)
    world = world_with_machines(4)
    for number in range(1, 41):
        submission = world.add_spec(job_submission(number, vcpus=0.1, memoryGb=0.1, reckonS=1.0))
        nodes = random.sample(sorted(world.owners), 2)
        unsound = unsound_body(random, submission)
        assert world.user_request(nodes[0], "POST", "/api/jobs", unsound)[0] == 400
        for node, status in zip(nodes, (201, 200), strict=True):
            body = sound_body(random, submission)
            assert world.user_request(node, "POST", "/api/jobs", body)[0] == status
    assert len([key for key in world.state.keys if key.startswith(("s/job/", "o/"))]) == 40
    world.run(20)
    assert {job_state(world, "n0", f"run-{number:06d}") for number in range(1, 41)} == {"done"}


def test_known_fields_beyond_a_value_are_put_off_and_not_malformed() -> None:
    # A value of 0.25 KiB holds no job: it is neither malformed nor impossible, so users retry.
    world = World(node_count=1)
    owner = world.owners["n0"]
    owner.settings = controller_settings(0, 1, value_kb=0.25)
    world.run(3)
    assert submit(world, "n0", submission_with({})) == 503
    assert not [key for key in world.state.keys if key.startswith("s/job/")]


def test_job_that_a_lowered_value_limit_cannot_hold_is_never_accepted_and_lost() -> None:
    world = world_with_machines(4)
    world.state.lowered_value_bytes = 2048
    long_job = submission_with({"breeds": ["small", *(f"unknown-{n}" for n in range(300))]}, 2)
    world.add_spec(job_submission(2))
    small_tasks = {"hands": 40, "vcpus": 0.1, "memoryGb": 0.1}
    world.add_spec(job_submission(1, **small_tasks))
    short_job = submission_with({**small_tasks, **INCIDENT_FIELDS})
    assert world.user_request("n0", "POST", "/api/jobs", short_job)[0] == 201
    for node in world.owners:
        assert world.user_request(node, "POST", "/api/jobs", long_job)[0] == 503
        assert job_state(world, node, "run-000002") == "404"
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 60)
    world.state.lowered_value_bytes = None
    assert world.user_request("n1", "POST", "/api/jobs", long_job)[0] == 201
    world.run_until(lambda: job_state(world, "n2", "run-000002") == "done", 60)


@pytest.mark.parametrize("value_kb", [2.0, 8.0, 16.0])
def test_record_of_the_longest_kept_job_fits_a_value(value_kb: float) -> None:
    fields = {"herd": "\x01" * 200, "bundle": "\x01" * 200, "nameId": "run-" + "a" * 100}
    types = [f"type-{number}" for number in range(900)]
    submission = job_submission(1, hands=9_000, breeds=[*types, "small"], **fields)
    job = job_to_keep(decode_submission(json.dumps(submission).encode()), {"small"}, value_kb * 512)
    assert job is not None
    run = JobRun(JobRecord(job, 1.0), 0)
    random = Random(1)
    shards = [f"n{number}" for number in range(9)]
    for _ in range(6):
        claimable = max_claimable_tasks(run.record, run.finished, 0, len(shards), value_kb)
        claims: dict[str, int] = {}
        for index in taskset.members(taskset.lowest(run.unclaimed, claimable)):
            shard = random.choice(shards)
            claims[shard] = claims.get(shard, 0) | 1 << index
        done = sum(bits for bits in claims.values()) & random.getrandbits(9_000)
        for finished, held in ((run.finished, claims), (run.finished | done, {})):
            run.apply_record(run.with_sets(finished, held), 0)
            assert len(msgspec.json.encode(run.record)) <= value_kb * 1024


def test_refusals_are_logged_with_sizes_and_reason(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", logger="sagecove.users")
    world = world_with_machines(1)
    assert submit(world, "n0", b'{"nameId":1}') == 400
    body = submission_with({"outfit": "nobody"})
    assert submit(world, "n0", body) == 422
    assert "refused job=- status=400 bytes=12 kept_bytes=0 why=Expected `str`" in caplog.text
    assert f"refused job=run-000001 status=422 bytes={len(body)} kept_bytes=" in caplog.text
    assert "why=unknown team nobody" in caplog.text
    assert world.owners["n0"].event_counts.totals["refused 400"] == 1

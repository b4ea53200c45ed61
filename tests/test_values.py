"""Records fit the state service's values, in whatever order tasks complete; unreadable ones."""

import json
from random import Random

import msgspec
import pytest

from sagecove.coordination.model import JobRun
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World, job_state, world_with_machines
from sagecove.protocol.users import decode_job
from sagecove.storage import taskset
from sagecove.storage.records import JobRecord, max_claimable_tasks


@pytest.mark.parametrize("value_kb", [8.0, 16.0])
@pytest.mark.parametrize(("tasks", "shards"), [(100_000, 3), (100_000, 9), (20_000, 5), (3_000, 3)])
def test_an_arrays_record_fits_a_value_however_its_tasks_complete(
    value_kb: float, tasks: int, shards: int
) -> None:
    # Numbers of finished tasks of 100,000 took up to 16 KiB, and as much for each shard's claim.
    random = Random(tasks + shards)
    spec = decode_job(json.dumps(job_submission(1, hands=tasks)).encode())
    run = JobRun(JobRecord(spec, 1.0), 0)
    names = [f"n{n}" for n in range(shards)]
    for _ in range(40):
        held = run.all_tasks & ~run.finished & ~run.unclaimed
        most = (
            max_claimable_tasks(run.record, run.finished, held, shards, value_kb) - held.bit_count()
        )
        claims = dict(run.claims)
        bits = taskset.lowest(run.unclaimed, max(0, most))
        for index in taskset.members(bits):
            name = random.choice(names)
            claims[name] = claims.get(name, 0) | 1 << index
        done = 0
        for index in taskset.members(held | bits):
            if random.random() < 0.5:
                done |= 1 << index
        for fin in (run.finished, run.finished | done):
            run.apply_record(run.with_sets(fin, claims), 0)
            assert len(msgspec.json.encode(run.record)) <= value_kb * 1024
    # And it is not kept from what any fleet runs of it at a time.
    assert (
        run.finished.bit_count() > 40 * min(tasks, 300) * 0.4 or run.finished.bit_count() == tasks
    )


@pytest.mark.parametrize("nodes", [3, 9])
def test_all_other_records_fit_eight_kib_with_thirty_teams(nodes: int) -> None:
    # Hundreds of machines and jobs; settled limits, rows, members that differ, rentals.
    teams = [
        {
            "name": f"team-{n:03d}-of-a-long-name",
            "cpus": 8,
            "cpus_max": 64,
            "gpus": 1,
            "gpus_max": 9,
        }
        for n in range(30)
    ]
    w = World(node_count=nodes, seed=3, teams=teams, checks_ledgers=False)
    w.cloud.capacity = {"small": 60, "gpu": 0}
    sizes: dict[str, int] = {}
    whole: list[int] = []
    changes: list[int] = []

    def noted(node: str, body: dict) -> None:
        whole.append(len(json.dumps(body)))
        changes.append(len(body["then"]))
        for change in body["then"]:
            if "put" in change:
                kind = change["put"].rpartition("/")[0][:8]
                sizes[kind] = max(sizes.get(kind, 0), len(json.dumps(change["v"])))

    w.state.transaction_fault = noted
    w.run(3)
    for n in range(60):
        spec = job_submission(n, outfit=teams[n % 30]["name"], hands=12)
        w.request_controller(
            f"n{n % nodes}", "POST", "/api/jobs", w.add_spec(spec), lambda s, b: None
        )
    w.run(25)
    assert sizes and max(sizes.values()) < 8 * 1024 / 2, sizes
    # A transaction is 64 KiB at most.
    assert max(whole) < 64 * 1024 / 2
    # Thirty settlements go in batches as large as the settings allow, and no larger.
    assert max(changes) == w.owners["n0"].settings.params.state.txn_ops


def test_a_job_whose_record_cannot_be_read_stays_known() -> None:
    # Taken for a deletion, it was told to be unknown: 404 of an accepted job.
    w = world_with_machines(4)
    w.submit("n0", job_submission(1, shape="service", hands=1))
    w.run_until(lambda: w.running_task_count("run-000001") == 1, 30)
    record = w.state.keys["s/job/run-000001"][0]
    later = {**record, "spec": {**record["spec"], "shape": 7}}
    w.state.commit({"if": [], "then": [{"put": "s/job/run-000001", "v": later}]})
    w.run(1)
    for node in w.controller_names():
        assert job_state(w, node, "run-000001") == "pending"
        assert w.submit(node, job_submission(1, shape="service", hands=1))[0] == 200
        assert w.user_request(node, "POST", "/api/jobs/run-000001/cancel")[0] == 503
    # A controller that starts now knows no more, and one that can read it again tells.
    w.kill_node("n1")
    w.start_node(1)
    w.run(3)
    assert job_state(w, "n1", "run-000001") == "pending"
    w.state.commit({"if": [], "then": [{"put": "s/job/run-000001", "v": record}]})
    w.run(1)
    w.run_until(lambda: w.running_task_count("run-000001") == 1, 60)

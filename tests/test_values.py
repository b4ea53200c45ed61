"""Records stay within the value limit of the state service, and unreadable records are kept.

The text form of the finished and claimed tasks of a large array job depends on the order in which
its tasks complete. A record over the limit could not be written any more. An unreadable record must
not be treated as a deleted one.
"""

import json
from random import Random

import msgspec
import pytest

from sagecove.coordination.model import JobRun
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World, job_state, world_with_machines
from sagecove.protocol.submissions import decode_submission
from sagecove.storage import taskset
from sagecove.storage.records import JobRecord, max_claimable_tasks


@pytest.mark.parametrize("value_kb", [8.0, 16.0])
@pytest.mark.parametrize(("tasks", "shards"), [(100_000, 3), (100_000, 9), (20_000, 5), (3_000, 3)])
def test_array_record_fits_a_value_in_any_order_of_completion(
    value_kb: float, tasks: int, shards: int
) -> None:
    # The set of finished tasks of 100,000 took up to 16 KiB, and so did the claim of each shard.
    random = Random(tasks + shards)
    spec = decode_submission(json.dumps(job_submission(1, hands=tasks)).encode())
    run = JobRun(JobRecord(spec, 1.0), 0)
    names = [f"n{n}" for n in range(shards)]
    for _ in range(40):
        claimed = run.all_tasks & ~run.finished & ~run.unclaimed
        claimable = (
            max_claimable_tasks(run.record, run.finished, claimed, shards, value_kb)
            - claimed.bit_count()
        )
        claims = dict(run.claims)
        bits = taskset.lowest(run.unclaimed, max(0, claimable))
        for index in taskset.members(bits):
            name = random.choice(names)
            claims[name] = claims.get(name, 0) | 1 << index
        done = 0
        for index in taskset.members(claimed | bits):
            if random.random() < 0.5:
                done |= 1 << index
        for finished in (run.finished, run.finished | done):
            run.apply_record(run.with_sets(finished, claims), 0)
            assert len(msgspec.json.encode(run.record)) <= value_kb * 1024
    # The limit still allows as many tasks as any fleet runs at a time.
    assert (
        run.finished.bit_count() > 40 * min(tasks, 300) * 0.4 or run.finished.bit_count() == tasks
    )


@pytest.mark.parametrize("nodes", [3, 9])
def test_other_records_fit_8_kib_with_30_teams(nodes: int) -> None:
    # Many machines and jobs; limit splits, transfers, members with other limits, rentals.
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
    world = World(node_count=nodes, seed=3, teams=teams, checks_ledgers=False)
    world.cloud.capacity = {"small": 60, "gpu": 0}
    largest_sizes: dict[str, int] = {}
    transaction_sizes: list[int] = []
    change_counts: list[int] = []

    def record_sizes(node: str, body: dict) -> None:
        transaction_sizes.append(len(json.dumps(body)))
        change_counts.append(len(body["then"]))
        for change in body["then"]:
            if "put" in change:
                kind = change["put"].rpartition("/")[0][:8]
                largest_sizes[kind] = max(largest_sizes.get(kind, 0), len(json.dumps(change["v"])))

    world.state.transaction_fault = record_sizes
    world.run(3)
    for n in range(60):
        spec = job_submission(n, outfit=teams[n % 30]["name"], hands=12)
        world.request_controller(
            f"n{n % nodes}", "POST", "/api/jobs", world.add_spec(spec), lambda s, b: None
        )
    world.run(25)
    assert largest_sizes and max(largest_sizes.values()) < 8 * 1024 / 2, largest_sizes
    # A transaction may have at most 64 KiB.
    assert max(transaction_sizes) < 64 * 1024 / 2
    # Thirty limit splits are written in batches of at most the size that the settings allow.
    assert max(change_counts) == world.owners["n0"].settings.params.state.txn_ops


def test_job_with_an_unreadable_record_stays_known() -> None:
    # The unreadable record was treated as deleted, and an accepted job was answered with 404.
    world = world_with_machines(4)
    world.submit("n0", job_submission(1, shape="service", hands=1))
    world.run_until(lambda: world.running_task_count("run-000001") == 1, 30)
    record = world.state.keys["s/job/run-000001"][0]
    unreadable = {**record, "spec": {**record["spec"], "shape": 7}}
    world.state.commit({"if": [], "then": [{"put": "s/job/run-000001", "v": unreadable}]})
    world.run(1)
    for node in world.controller_names():
        assert job_state(world, node, "run-000001") == "pending"
        assert world.submit(node, job_submission(1, shape="service", hands=1))[0] == 200
        assert world.user_request(node, "POST", "/api/jobs/run-000001/cancel")[0] == 503
    # A controller that starts now answers the same; the job runs again once its record is readable.
    world.kill_node("n1")
    world.start_node(1)
    world.run(3)
    assert job_state(world, "n1", "run-000001") == "pending"
    world.state.commit({"if": [], "then": [{"put": "s/job/run-000001", "v": record}]})
    world.run(1)
    world.run_until(lambda: world.running_task_count("run-000001") == 1, 60)

"""Teams with guarantees and limits of GPUs alone, on machines of a single type.

Guards against such guarantees being ignored, against CPUs that come with owed GPUs counting as
borrowed, and against limits of GPUs that only a lack of CPUs would enforce.
"""

import json
from itertools import product
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagecove.config import Team
from sagecove.coordination import explain
from sagecove.coordination.limits.claim_totals import ClaimTotals
from sagecove.coordination.limits.guarantees import Guarantees
from sagecove.coordination.model import JobRun
from sagecove.lab.deployment import REPORT_S, controller_settings, job_submission
from sagecove.lab.world import World
from sagecove.protocol.submissions import decode_submission
from sagecove.storage.records import JobRecord
from tests.test_limits import GUEST_TEAM, submit_all, team_use, world_with_machines


def gpu_team(name: str, gpus: float, gpus_max: float) -> dict[str, Any]:
    return {"name": name, "cpus": 0, "cpus_max": 0, "gpus": gpus, "gpus_max": gpus_max}


def gpu_job(number: int, **fields: Any) -> dict[str, Any]:
    return job_submission(number, **{"vcpus": 3.0, "cards": 1, "memoryGb": 8.0, **fields})


def job_run(number: int, submitted_at: float, cpus: float, gpus: float, tasks: int = 1) -> JobRun:
    spec = job_submission(number, outfit="t", vcpus=cpus, cards=gpus, hands=tasks)
    return JobRun(JobRecord(decode_submission(json.dumps(spec).encode()), submitted_at), 0)


def covered_jobs(team: Team, runs: list[JobRun]) -> set[str]:
    jobs = {run.id: run for run in runs}
    guarantees = Guarantees({"t": team}, jobs, lambda run: None)
    for run in runs:
        guarantees.add_job(run)
    guarantees.mark_covered_jobs([])
    return {run.id for run in runs if run.within_guarantee}


# -- definition ----------------------------------------------------------------------------------

CASES = [
    # Guaranteed CPUs and GPUs; the job's CPUs and GPUs; whether the guarantee covers the job.
    ((10, 0), (4, 0), True),
    ((10, 0), (4, 1), False),
    ((0, 4), (4, 1), True),
    ((0, 4), (4, 0), False),
    ((10, 4), (4, 1), True),
    ((10, 4), (4, 0), True),
    ((10, 4), (11, 1), False),
    ((10, 4), (4, 5), False),
    ((0, 4), (400, 5), False),
    ((0, 4), (400, 4), True),
    ((0, 0), (4, 1), False),
    ((0, 0), (4, 0), False),
]


@pytest.mark.parametrize(("guarantee", "needs", "expected"), CASES)
def test_guarantee_covers_job(
    guarantee: tuple[float, float], needs: tuple[float, float], expected: bool
) -> None:
    team = Team("t", guarantee[0], 0, guarantee[1], 0)
    assert bool(covered_jobs(team, [job_run(1, 1.0, *needs)])) is expected


AMOUNT = st.integers(0, 6).map(float)


@given(
    st.tuples(AMOUNT, AMOUNT),
    st.lists(st.tuples(st.integers(0, 20), AMOUNT, AMOUNT, st.integers(1, 3)), max_size=12),
    st.randoms(),
)
def test_covered_jobs_fit_guarantee_in_submission_order(
    guarantee: tuple[float, float], needs: list[tuple[int, float, float, int]], random: Any
) -> None:
    team = Team("t", guarantee[0], 0, guarantee[1], 0)
    # A task takes at least one CPU, as the users' protocol requires.
    runs = [
        job_run(n, float(at), cpus + 1, gpus, tasks)
        for n, (at, cpus, gpus, tasks) in enumerate(needs)
    ]
    covered = covered_jobs(team, runs)
    shuffled = [
        job_run(n, float(at), cpus + 1, gpus, tasks)
        for n, (at, cpus, gpus, tasks) in enumerate(needs)
    ]
    random.shuffle(shuffled)
    # The order in which a controller reads the jobs does not matter.
    assert covered_jobs(team, shuffled) == covered
    covered_runs = [run for run in runs if run.id in covered]
    for n, amount in enumerate(guarantee):
        used = sum((r.spec.cpus, r.spec.gpus)[n] * r.spec.tasks for r in covered_runs)
        if amount or n:
            # GPUs are covered by a guarantee of GPUs only; CPUs may come with covered GPUs.
            assert used <= amount
        else:
            assert used == sum(r.spec.cpus * r.spec.tasks for r in covered_runs if r.spec.gpus)
    # Of two jobs with the same needs, the earlier one is covered if the later one is.
    for first, second in product(runs, runs):
        if (first.submitted_at, first.id) < (second.submitted_at, second.id) and (
            (first.spec.cpus, first.spec.gpus) == (second.spec.cpus, second.spec.gpus)
        ):
            assert second.id not in covered or first.id in covered
    if not any(guarantee):
        assert not covered


def test_jobs_outside_guarantee_are_not_queued() -> None:
    team = Team("t", 0, 0, 4, 0)
    runs = [job_run(n, float(n), 2, 0) for n in range(50)]
    guarantees = Guarantees({"t": team}, {r.id: r for r in runs}, lambda run: None)
    for run in runs:
        guarantees.add_job(run)
    assert not any(guarantees.queues.values())
    for run in runs:
        guarantees.remove_job(run)


def test_cpus_with_guaranteed_gpus_are_not_borrowed() -> None:
    teams = {
        "t": Team("t", 0, 0, 4, 0),
        "other": Team("other", 0, 0, 4, 0),
        "guests": Team("guests", 0, 0),
    }
    claim_totals = ClaimTotals(teams)
    # Four GPUs are owed and two more used, so a third of the CPUs that come with them is borrowed.
    run = job_run(1, 1.0, 3, 1, 6)
    run.claims = {"n0": run.all_tasks}
    claim_totals.update_job(run)
    assert claim_totals.borrowers("other") == {"t": (6_000_000, 2_000_000)}
    # CPUs without GPUs are all borrowed.
    alone = job_run(2, 1.0, 2, 0, 2)
    alone.claims = {"n0": alone.all_tasks}
    claim_totals.update_job(alone)
    assert claim_totals.borrowers("other") == {"t": (10_000_000, 2_000_000)}
    claim_totals.remove_job(run)
    assert claim_totals.borrowers("other") == {"t": (4_000_000, 0)}
    assert claim_totals.borrowers("t") == {}


def test_guarantee_without_limit_is_valid() -> None:
    raw = [gpu_team("a", 4, 0), {"name": "b", "cpus": 8, "cpus_max": 0}]
    teams = controller_settings(0, teams=raw).params.teams
    assert teams[0].gpus <= teams[0].gpus_max and teams[1].cpus <= teams[1].cpus_max


# -- effects on scheduling -----------------------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
def test_gpu_guarantee_is_reclaimed_from_borrowers(nodes: int) -> None:
    # No job of such a team was ever within its guarantee, so no tasks were stopped for it.
    world = world_with_machines(
        nodes, nodes, gpu_team("red", 2 * nodes, 0), gpu_team("blue", nodes, 0), kind="gpu"
    )
    for worker in world.workers.values():
        worker.task_run_s = None
    endless = {"reckonS": 1e6}
    submit_all(world, gpu_job(1, outfit="blue", hands=4 * nodes, **endless))
    world.run_until(lambda: team_use(world, "blue", "cards") == 4 * nodes, 30)
    world.run(2)
    submit_all(world, gpu_job(2, hands=2 * nodes, **endless))
    assert world.run_until(lambda: team_use(world, "red", "cards") == 2 * nodes, 60) <= 3 * REPORT_S
    # Only what was borrowed is given back, and nothing is owed to a job beyond the guarantee.
    submit_all(world, gpu_job(3, hands=nodes, **endless))
    world.run(20)
    assert (team_use(world, "red", "cards"), team_use(world, "blue", "cards")) == (
        2 * nodes,
        2 * nodes,
    )
    teams = {t.name: t for t in explain.cluster_view(world.owners["n0"]).teams}
    assert teams["blue"].borrowed_gpus == nodes and teams["red"].borrowed_gpus == 0
    assert teams["red"].borrowed_cpus == 0


def test_service_preempts_own_arrays_at_gpu_limit() -> None:
    # Only a lack of CPUs made a service preempt its own team's arrays.
    world = world_with_machines(3, 3, gpu_team("red", 0, 6), kind="gpu")
    for worker in world.workers.values():
        worker.task_run_s = None
    submit_all(world, gpu_job(1, hands=12, reckonS=1e6))
    world.run_until(lambda: team_use(world, "red", "cards") == 6, 30)
    submit_all(world, gpu_job(2, shape="service", rank="production", hands=3))
    assert world.run_until(lambda: world.running_task_count("run-000002") == 3, 40) < 12


def test_gpu_limit_causes_no_cpu_transfers() -> None:
    world = world_with_machines(3, 6, gpu_team("red", 4, 12), kind="gpu")
    submit_all(world, *(gpu_job(n, hands=8) for n in range(6)))
    world.run_until(lambda: len(world.completed_tasks) == 48, 120)
    transfers = [v for _, k, v in world.state.change_log if k.startswith("s/share/") and v]
    assert all(amount[0] == 0 for v in transfers for amount in v.get("given", {}).values())


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"vcpus": 17.0}, 422),  # fits no type
        ({"cards": 5}, 422),
        ({"shape": "ensemble", "hands": 7, "cards": 2}, 422),  # all tasks exceed the limit
        ({"hands": 200, "cards": 2}, 201),  # an array: may run one task at a time
        ({"shape": "ensemble", "hands": 3, "cards": 4}, 201),
    ],
)
def test_jobs_beyond_gpu_limit_are_refused(fields: dict[str, Any], status: int) -> None:
    world = World(teams=[gpu_team("red", 4, 12), GUEST_TEAM])
    world.run(3)
    assert world.submit("n1", gpu_job(1, **fields))[0] == status

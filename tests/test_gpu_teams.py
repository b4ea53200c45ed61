"""Teams that are guaranteed and limited in GPUs alone, on machines that are all of one type."""

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
from sagecove.lab.deployment import REPORT_S, job, settings
from sagecove.lab.world import World
from sagecove.protocol.users import read_job
from sagecove.storage.records import JobRecord
from tests.test_limits import GUESTS, submit_all, use, world


def gpu_team(name: str, gpus: float, most: float) -> dict[str, Any]:
    return {"name": name, "cpus": 0, "cpus_max": 0, "gpus": gpus, "gpus_max": most}


def gpu_job(number: int, **fields: Any) -> dict[str, Any]:
    return job(number, **{"vcpus": 3.0, "cards": 1, "memoryGb": 8.0, **fields})


def run_of(number: int, at: float, cpus: float, gpus: float, tasks: int = 1) -> JobRun:
    spec = job(number, outfit="t", vcpus=cpus, cards=gpus, hands=tasks)
    return JobRun(JobRecord(read_job(json.dumps(spec).encode()), at), 0)


def within(team: Team, runs: list[JobRun]) -> set[str]:
    jobs = {run.id: run for run in runs}
    guarantees = Guarantees({"t": team}, jobs, lambda run: None)
    for run in runs:
        guarantees.add_job(run)
    guarantees.mark_covered_jobs([])
    return {run.id for run in runs if run.within_guarantee}


# -- the definition ------------------------------------------------------------------------------

CASES = [
    # Guaranteed CPUs and GPUs; the job's CPUs and GPUs; within.
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


@pytest.mark.parametrize(("owed", "needs", "expected"), CASES)
def test_what_is_within_a_guarantee_of_cpus_gpus_both_or_none(
    owed: tuple[float, float], needs: tuple[float, float], expected: bool
) -> None:
    team = Team("t", owed[0], 0, owed[1], 0)
    assert bool(within(team, [run_of(1, 1.0, *needs)])) is expected


AMOUNT = st.integers(0, 6).map(float)


@given(
    st.tuples(AMOUNT, AMOUNT),
    st.lists(st.tuples(st.integers(0, 20), AMOUNT, AMOUNT, st.integers(1, 3)), max_size=12),
    st.randoms(),
)
def test_within_is_the_same_for_all_never_above_and_never_passes_over_an_earlier_job(
    owed: tuple[float, float], found: list[tuple[int, float, float, int]], random: Any
) -> None:
    team = Team("t", owed[0], 0, owed[1], 0)
    # A task takes a CPU at least, as PROTOCOL's tasks do.
    runs = [run_of(n, float(at), cpus + 1, gpus, k) for n, (at, cpus, gpus, k) in enumerate(found)]
    names = within(team, runs)
    again = [run_of(n, float(at), cpus + 1, gpus, k) for n, (at, cpus, gpus, k) in enumerate(found)]
    random.shuffle(again)
    # Whatever the order in which a controller heard of them.
    assert within(team, again) == names
    mine = [run for run in runs if run.id in names]
    for n, amount in enumerate(owed):
        used = sum((r.spec.cpus, r.spec.gpus)[n] * r.spec.tasks for r in mine)
        if amount or n:
            # GPUs are within by a guarantee of GPUs alone, CPUs may come with GPUs.
            assert used <= amount
        else:
            assert used == sum(r.spec.cpus * r.spec.tasks for r in mine if r.spec.gpus)
    # Of two that need the same the earlier one is within if the later one is.
    for first, second in product(runs, runs):
        if (first.submitted_at, first.id) < (second.submitted_at, second.id) and (
            (first.spec.cpus, first.spec.gpus) == (second.spec.cpus, second.spec.gpus)
        ):
            assert second.id not in names or first.id in names
    if not any(owed):
        assert not names


def test_a_long_line_of_jobs_that_a_guarantee_does_not_cover_is_not_walked() -> None:
    team = Team("t", 0, 0, 4, 0)
    runs = [run_of(n, float(n), 2, 0) for n in range(50)]
    guarantees = Guarantees({"t": team}, {r.id: r for r in runs}, lambda run: None)
    for run in runs:
        guarantees.add_job(run)
    assert not any(guarantees.queues.values())
    for run in runs:
        guarantees.remove_job(run)


def test_cpus_that_come_with_guaranteed_gpus_are_not_borrowed() -> None:
    teams = {
        "t": Team("t", 0, 0, 4, 0),
        "other": Team("other", 0, 0, 4, 0),
        "guests": Team("guests", 0, 0),
    }
    standing = ClaimTotals(teams)
    # Four GPUs owed, and half as many again: a third of the CPUs beside them is borrowed.
    run = run_of(1, 1.0, 3, 1, 6)
    run.claims = {"n0": run.all_tasks}
    standing.noted(run)
    assert standing.borrowers("other") == {"t": (6_000_000, 2_000_000)}
    # And CPUs alone are, all of them.
    alone = run_of(2, 1.0, 2, 0, 2)
    alone.claims = {"n0": alone.all_tasks}
    standing.noted(alone)
    assert standing.borrowers("other") == {"t": (10_000_000, 2_000_000)}
    standing.over(run)
    assert standing.borrowers("other") == {"t": (4_000_000, 0)}
    assert standing.borrowers("t") == {}


def test_a_guarantee_above_a_limit_of_none_is_no_mistake() -> None:
    raw = [gpu_team("a", 4, 0), {"name": "b", "cpus": 8, "cpus_max": 0}]
    teams = settings(0, teams=raw).params.teams
    assert teams[0].gpus <= teams[0].gpus_max and teams[1].cpus <= teams[1].cpus_max


# -- what follows from it ------------------------------------------------------------------------


@pytest.mark.parametrize("nodes", [3, 5])
def test_a_guarantee_of_gpus_alone_is_had_from_those_that_borrow(nodes: int) -> None:
    # No job of such a team was ever within its guarantee, and no room was made for any.
    w = world(nodes, nodes, gpu_team("red", 2 * nodes, 0), gpu_team("blue", nodes, 0), kind="gpu")
    for worker in w.workers.values():
        worker.run_s = None
    endless = {"reckonS": 1e6}
    submit_all(w, gpu_job(1, outfit="blue", hands=4 * nodes, **endless))
    w.until(lambda: use(w, "blue", "cards") == 4 * nodes, 30)
    w.run(2)
    submit_all(w, gpu_job(2, hands=2 * nodes, **endless))
    assert w.until(lambda: use(w, "red", "cards") == 2 * nodes, 60) <= 3 * REPORT_S
    # Only what was borrowed was given back, and of a gang beyond the guarantee nothing is owed.
    submit_all(w, gpu_job(3, hands=nodes, **endless))
    w.run(20)
    assert (use(w, "red", "cards"), use(w, "blue", "cards")) == (2 * nodes, 2 * nodes)
    told = {t.name: t for t in explain.cluster_view(w.owners["n0"]).teams}
    assert told["blue"].borrowed_gpus == nodes and told["red"].borrowed_gpus == 0
    assert told["red"].borrowed_cpus == 0


def test_a_service_displaces_its_own_teams_arrays_at_a_limit_of_gpus() -> None:
    # Only a lack of CPUs was seen.
    w = world(3, 3, gpu_team("red", 0, 6), kind="gpu")
    for worker in w.workers.values():
        worker.run_s = None
    submit_all(w, gpu_job(1, hands=12, reckonS=1e6))
    w.until(lambda: use(w, "red", "cards") == 6, 30)
    submit_all(w, gpu_job(2, shape="service", rank="production", hands=3))
    assert w.until(lambda: w.running("run-000002") == 3, 40) < 12


def test_a_limit_of_gpus_alone_moves_no_cpus_to_and_fro() -> None:
    w = world(3, 6, gpu_team("red", 4, 12), kind="gpu")
    submit_all(w, *(gpu_job(n, hands=8) for n in range(6)))
    w.until(lambda: len(w.completed) == 48, 120)
    gifts = [v for _, k, v in w.state.changes if k.startswith("s/share/") and v]
    assert all(amount[0] == 0 for v in gifts for amount in v.get("given", {}).values())


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"vcpus": 17.0}, 422),  # fits no type
        ({"cards": 5}, 422),
        ({"shape": "ensemble", "hands": 7, "cards": 2}, 422),  # all tasks: beyond the team's limit
        ({"hands": 200, "cards": 2}, 201),  # an array: one task at a time may do
        ({"shape": "ensemble", "hands": 3, "cards": 4}, 201),
    ],
)
def test_what_can_never_run_under_a_limit_of_gpus_is_refused(
    fields: dict[str, Any], status: int
) -> None:
    w = World(teams=[gpu_team("red", 4, 12), GUESTS])
    w.run(3)
    assert w.submit("n1", gpu_job(1, **fields))[0] == status

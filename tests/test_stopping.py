"""Who is stopped for whom: never against the order, never what ends in time, never too many."""

from typing import Any

from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st
from msgspec import convert

from sagecove.coordination.model import JobRun, Placement, fixed_precedence
from sagecove.coordination.preemption_policy import may_preempt
from sagecove.lab.deployment import job
from sagecove.lab.world import World
from sagecove.protocol.users import Job
from sagecove.storage.records import JobRecord

RANKS = st.sampled_from(["production", "urgent", "normal", "low"])


def run_of(rank: str, within: bool, **fields: Any) -> JobRun:
    run = JobRun(JobRecord(convert(job(1, rank=rank, **fields), Job), 0.0), 1)
    run.within_guarantee = within
    return run


def full(**fields: Any) -> World:
    """One controller, four machines, eight tasks of guests on them that never end soon."""
    world = World(nodes=1)
    world.cloud.capacity = {"small": 4, "gpu": 0}
    for number in range(4):
        world.cloud.start("small", "ab"[number % 2], False)
    world.run(3)
    for worker in world.workers.values():
        worker.run_s = None
    world.submit("n0", job(1, hands=8, outfit="guests", **fields))
    world.until(lambda: world.running("run-000001") == 8, 20)
    return world


def stops(world: World) -> int:
    """Tasks of the guests that were started again, or are on their way out."""
    starts = [task for _, task, _ in world.starts if task.startswith("run-000001/")]
    return len(starts) - len(set(starts))


@how(derandomize=True, database=None, deadline=None)
@given(RANKS, RANKS, st.booleans(), st.booleans(), st.booleans())
def test_no_stop_is_against_priority_guarantee_or_order(
    mine: str, other: str, within: bool, other_within: bool, same_team: bool
) -> None:
    first = run_of(mine, within)
    victim = run_of(other, other_within, outfit="red" if same_team else "blue")
    if may_preempt(first, victim):
        assert fixed_precedence(first) < fixed_precedence(victim)
        lower = victim.priority < first.priority
        assert lower or (within and not other_within and not same_team)


@how(derandomize=True, database=None, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 40.0), st.integers(0, 4)), max_size=12),
    st.floats(0.0, 30.0),
)
def test_what_is_worth_a_stop_runs_on_for_longer_than_can_be_waited_for(
    tasks: list[tuple[float, int]], patience: float
) -> None:
    world = World(nodes=1, audit=False)
    stopping = world.owners["n0"].preemption_policy
    victim = run_of("low", False, hands=12, reckonS=20.0)
    victim.stop_counts = {index: count for index, (_, count) in enumerate(tasks) if count}
    placements = []
    for index, (ran, _) in enumerate(tasks):
        placement = Placement(victim, index, f"run-000001/{index}", 1, None)  # type: ignore[arg-type]
        placement.started_at = world.owners["n0"].now - ran
        placements.append(placement)
    run = world.owners["n0"].estimates.expected_run_s(victim)
    worth, soon = stopping.split_by_remaining_run(patience, victim, placements)
    assert len(worth) + soon <= len(placements)
    for placement in worth:
        ran, count = tasks[placement.index]
        if patience > 0:
            left = run - ran if ran < 1.5 * run else ran / 2
            assert left > patience * (1 + count) - 1e-6
    if patience == 0:
        assert worth == placements


def test_an_array_waits_for_tasks_that_end_as_soon_as_its_own_would() -> None:
    # Within its guarantee it stopped others' tasks by the hundred, seconds before they ended.
    world = full(reckonS=6.0)
    world.run(4.5)
    world.submit("n0", job(2, hands=8, reckonS=12.0))
    world.until(lambda: len(world.completed) == 16, 90)
    assert stops(world) == 0


def test_an_array_does_not_wait_for_what_runs_for_long() -> None:
    world = full(reckonS=600.0)
    world.submit("n0", job(2, hands=4, reckonS=5.0))
    world.until(lambda: sum(t.startswith("run-000002") for t in world.completed) == 4, 40)
    # Never more than the need: four tasks' room, and one more at most.
    ended = sum(t.startswith("run-000002") for t in world.completed)
    gone = 8 - world.running("run-000001")
    assert ended == 4 and gone <= 5


def test_a_service_waits_for_nobody() -> None:
    world = full(reckonS=8.0)
    begun = world.now
    world.submit("n0", job(2, shape="service", hands=2, rank="production"))
    world.until(lambda: world.running("run-000002") == 2, 5)
    assert world.now - begun < 5


def test_a_task_that_was_stopped_is_spared_the_longer() -> None:
    world = World(nodes=1, audit=False)
    stopping = world.owners["n0"].preemption_policy
    victim = run_of("low", False, hands=1, reckonS=30.0)
    placement = Placement(victim, 0, "run-000001/0", 1, None)  # type: ignore[arg-type]
    placement.started_at = world.owners["n0"].now
    assert stopping.worth(20.0, victim, placement)
    stopping.note_stop(placement)
    assert not stopping.worth(20.0, victim, placement)
    # A gang or a service, which has no patience, may stop it all the same.
    assert stopping.worth(0.0, victim, placement)

"""Preemption: never against precedence, never of tasks that end in time, never of too many tasks.

Without these rules, jobs within their guarantee preempted tasks by the hundred seconds before their
end, and victims took the room straight back.
"""

from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from msgspec import convert

from sagecove.coordination.model import JobRun, Placement
from sagecove.coordination.precedence import fixed_precedence
from sagecove.coordination.preemption_policy import may_preempt
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World
from sagecove.protocol.users import Job
from sagecove.storage.records import JobRecord

RANKS = st.sampled_from(["production", "urgent", "normal", "low"])


def make_job_run(rank: str, within_guarantee: bool, **fields: Any) -> JobRun:
    run = JobRun(JobRecord(convert(job_submission(1, rank=rank, **fields), Job), 0.0), 1)
    run.within_guarantee = within_guarantee
    return run


def full_world(**fields: Any) -> World:
    """Returns a world with one controller and four machines, full with eight guest tasks."""
    world = World(node_count=1)
    world.cloud.capacity = {"small": 4, "gpu": 0}
    for number in range(4):
        world.cloud.start_machine("small", "ab"[number % 2], False)
    world.run(3)
    for worker in world.workers.values():
        worker.task_run_s = None
    world.submit("n0", job_submission(1, hands=8, outfit="guests", **fields))
    world.run_until(lambda: world.running_task_count("run-000001") == 8, 20)
    return world


def stopped_guest_count(world: World) -> int:
    """Counts starts of guest tasks after their first, so those that were stopped."""
    starts = [task for _, task, _ in world.task_starts if task.startswith("run-000001/")]
    return len(starts) - len(set(starts))


@hypothesis_settings(derandomize=True, database=None, deadline=None)
@given(RANKS, RANKS, st.booleans(), st.booleans(), st.booleans())
def test_preemption_respects_precedence(
    job_rank: str,
    victim_rank: str,
    within_guarantee: bool,
    victim_within_guarantee: bool,
    same_team: bool,
) -> None:
    first = make_job_run(job_rank, within_guarantee)
    victim = make_job_run(
        victim_rank, victim_within_guarantee, outfit="red" if same_team else "blue"
    )
    if may_preempt(first, victim):
        assert fixed_precedence(first) < fixed_precedence(victim)
        lower = victim.priority < first.priority
        assert lower or (within_guarantee and not victim_within_guarantee and not same_team)


@hypothesis_settings(derandomize=True, database=None, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 40.0), st.integers(0, 4)), max_size=12),
    st.floats(0.0, 30.0),
)
def test_tasks_that_end_in_time_are_spared(tasks: list[tuple[float, int]], patience: float) -> None:
    world = World(node_count=1, checks_ledgers=False)
    policy = world.owners["n0"].preemption_policy
    victim = make_job_run("low", False, hands=12, reckonS=20.0)
    victim.stop_counts = {index: count for index, (_, count) in enumerate(tasks) if count}
    placements = []
    for index, (ran, _) in enumerate(tasks):
        placement = Placement(victim, index, f"run-000001/{index}", 1, None)  # type: ignore[arg-type]
        placement.started_at = world.owners["n0"].now - ran
        placements.append(placement)
    run = world.owners["n0"].estimates.expected_run_s(victim)
    worth, ending_count = policy.split_by_remaining_run(patience, victim, placements)
    assert len(worth) + ending_count <= len(placements)
    for placement in worth:
        ran, count = tasks[placement.index]
        if patience > 0:
            left = run - ran if ran < 1.5 * run else ran / 2
            assert left > patience * (1 + count) - 1e-6
    if patience == 0:
        assert worth == placements


def test_array_waits_for_tasks_that_end_soon() -> None:
    # Within its guarantee it preempted others' tasks by the hundred, seconds before their end.
    world = full_world(reckonS=6.0)
    world.run(4.5)
    world.submit("n0", job_submission(2, hands=8, reckonS=12.0))
    world.run_until(lambda: len(world.completed_tasks) == 16, 90)
    assert stopped_guest_count(world) == 0


def test_array_preempts_long_tasks() -> None:
    world = full_world(reckonS=600.0)
    world.submit("n0", job_submission(2, hands=4, reckonS=5.0))
    world.run_until(lambda: sum(t.startswith("run-000002") for t in world.completed_tasks) == 4, 40)
    # Frees room for its four tasks, and for one more at most.
    ended = sum(t.startswith("run-000002") for t in world.completed_tasks)
    gone = 8 - world.running_task_count("run-000001")
    assert ended == 4 and gone <= 5


def test_service_does_not_wait() -> None:
    world = full_world(reckonS=8.0)
    begun = world.now
    world.submit("n0", job_submission(2, shape="service", hands=2, rank="production"))
    world.run_until(lambda: world.running_task_count("run-000002") == 2, 5)
    assert world.now - begun < 5


def test_preempted_task_is_spared_longer() -> None:
    world = World(node_count=1, checks_ledgers=False)
    policy = world.owners["n0"].preemption_policy
    victim = make_job_run("low", False, hands=1, reckonS=30.0)
    placement = Placement(victim, 0, "run-000001/0", 1, None)  # type: ignore[arg-type]
    placement.started_at = world.owners["n0"].now
    assert policy.worth(20.0, victim, placement)
    policy.note_stop(placement)
    assert not policy.worth(20.0, victim, placement)
    # Gangs and services, whose patience is zero, may still preempt it.
    assert policy.worth(0.0, victim, placement)

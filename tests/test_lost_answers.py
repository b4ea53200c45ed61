"""Transactions that are carried out at once while only their answer is lost: other controllers read
what was written, claim, start, cancel and tell by it, while the sender still thinks in the old way.
World's rules are checked all along; docs/meetings.md has the table."""

from typing import Any

import pytest

from sagecove.lab.deployment import LEASE_S
from sagecove.lab.world import World, job_state
from tests.test_known import commits, persist
from tests.test_late_writes import fresh, stopped, story
from tests.test_sweeps import point_job, sweep_view
from tests.test_sweeps import sweep_world as sweeping


def lives_on(w: World, node: str) -> None:
    pass


def stands_still(w: World, node: str) -> None:
    w.paused_until[node] = w.now + 0.7 * LEASE_S


def stands_still_for_long(w: World, node: str) -> None:
    w.paused_until[node] = w.now + 1.3 * LEASE_S


def is_back_at_once(w: World, node: str) -> None:
    w.owners.pop(node, None)
    w.call_later(0.3, lambda: None if node in w.owners else w.start_node(int(node[1:])))


def ends(w: World, node: str) -> None:
    w.owners.pop(node, None)
    w.call_later(LEASE_S, lambda: None if node in w.owners else w.start_node(int(node[1:])))


def is_refused(w: World, node: str) -> None:
    w.state.refused_nodes.add(node)
    w.call_later(0.6 * LEASE_S, w.state.refused_nodes.clear)


SENDERS = [lives_on, stands_still, stands_still_for_long, is_back_at_once, ends, is_refused]


@pytest.mark.parametrize("sender", SENDERS)
@pytest.mark.parametrize("pair", [False, True])
def test_each_transactions_answer_is_lost_while_others_read_it(pair: bool, sender: Any) -> None:
    every = commits(fresh(), story)
    assert every > 30
    # Each one alone while its sender lives on; some with another failure beside it.
    for point in range(0, every, 1 if sender is lives_on and not pair else 6):
        w, seen = fresh(), [0]

        def lost(
            node: str, body: dict[str, Any], w: World = w, seen: list[int] = seen, at: int = point
        ) -> str | None:
            seen[0] += 1
            if seen[0] - 1 not in ((at, at + 1) if pair else (at,)):
                return None
            w.call_later(0.0, lambda: sender(w, node))
            return "unanswered"

        w.state.transaction_fault = lost
        w.poll_jobs()
        story(w)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("share", [0.2, 0.5, 0.8])
def test_a_share_of_all_answers_is_lost(share: float, seed: int) -> None:
    w = fresh()
    w.random.seed(seed)
    w.state.transaction_fault = lambda node, body: (
        "unanswered" if w.random.random() < share else None
    )
    w.poll_jobs()
    story(w)


# -- sweeps and templates ------------------------------------------------------------------------


def sweep_story(w: World) -> None:
    """A template, a sweep of it whose points run to their end, one of two tasks a point that is
    cancelled, a point cancelled by itself; all is told alike everywhere."""
    for worker in w.workers.values():
        worker.task_run_s = None
    template = {
        "name": "tiny",
        "parameters": [{"name": "x", "kind": "whole"}],
        "job": point_job(vcpus=0.5),
    }
    persist(w, "POST", "/api/templates", template)
    persist(
        w,
        "POST",
        "/api/sweeps",
        {"id": "run-s", "space": "x in 1..12", "template": "tiny", "version": 1},
    )
    two = {"id": "run-t", "space": "x in 1..6", "job": point_job(vcpus=0.5, hands=2, reckonS=900.0)}
    persist(w, "POST", "/api/sweeps", two)
    w.run(1.5)
    persist(w, "POST", "/api/jobs/run-t.p3/cancel")
    persist(w, "POST", "/api/sweeps/run-t/cancel")
    w.run_until(lambda: sum(t.startswith("run-s.p") for t in w.completed_tasks) == 12, 120)
    w.faults_over_at = w.now
    for node in sorted(w.owners):
        w.run_until(lambda node=node: sweep_view(w, "run-s", node)["state"] == "done", 60)
        w.run_until(lambda node=node: sweep_view(w, "run-t", node)["state"] == "aborted", 60)
        w.run_until(lambda node=node: job_state(w, node, "run-s.p5") == "done", 30)
        w.run_until(lambda node=node: job_state(w, node, "run-t.p3") == "aborted", 30)
    w.run(14)
    for node in sorted(w.owners):
        assert sweep_view(w, "run-s", node)["done"] == 12
        assert sweep_view(w, "run-t", node)["state"] == "aborted"
    left = ("s/job/", "s/sweep", "s/points", "s/swept")
    w.run_until(lambda: not [key for key in w.state.keys if key.startswith(left)], 30)
    once = [task for _, task, _ in w.task_starts if task.startswith("run-s.p")]
    assert set(once) == {f"run-s.p{k}/0" for k in range(12)}


@pytest.mark.parametrize("sender", [lives_on, stands_still_for_long, is_back_at_once, ends])
@pytest.mark.parametrize("verdict", ["unanswered", "late"])
def test_each_transaction_of_sweeps_goes_astray(verdict: str, sender: Any) -> None:
    every = commits(sweeping(), sweep_story)
    assert every > 12
    for point in range(0, every, 1 if sender is lives_on else 4):
        w, seen = sweeping(), [0]

        def astray(
            node: str, body: dict[str, Any], w: World = w, seen: list[int] = seen, at: int = point
        ) -> str | None:
            seen[0] += 1
            if seen[0] - 1 != at:
                return None
            w.call_later(0.0, lambda: sender(w, node))
            return verdict

        w.state.transaction_fault = astray
        sweep_story(w)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("verdicts", [["unanswered"], ["late"], ["unanswered", "late", "lost"]])
def test_half_of_all_transactions_of_sweeps_go_astray(verdicts: list[str], seed: int) -> None:
    w = sweeping(seed=seed + 1)
    w.state.transaction_fault = lambda node, body: w.random.choice(
        [*verdicts, *[None] * len(verdicts)]
    )
    sweep_story(w)


# -- what is given back or handed over ------------------------------------------------------------


def blind(w: World, name: str, seconds: float) -> None:
    """A controller's reads of changes stop for so long; its transactions go on."""
    owner = w.owners[name]
    reads = owner.sync.sync_if_due, owner.sync.watch
    owner.sync.sync_if_due = owner.sync.watch = lambda now: None  # type: ignore[method-assign]
    w.state.open_watches = [watch for watch in w.state.open_watches if watch[0] != name]
    owner.sync.watching = False

    def sees() -> None:
        owner.sync.sync_if_due, owner.sync.watch = reads  # type: ignore[method-assign]

    w.call_later(seconds, sees)


@pytest.mark.parametrize("blind_s", [0.0, 1.0, 3.0, 5.0])
def test_claims_given_back_without_an_answer_are_others_at_once(blind_s: float) -> None:
    w, owner, run, shard = stopped()
    name = shard.name
    lost: list[str] = []

    def hook(node: str, body: dict[str, Any]) -> str | None:
        if lost or not any("s/job/" in change.get("put", "") for change in body["then"]):
            return None
        lost.append(node)
        # The sender would place the tasks at once if it took this for refused.
        run.hold_until = 0.0
        return "unanswered"

    w.state.transaction_fault = hook
    if blind_s:
        blind(w, name, blind_s)
    owner.scheduling_pass.releaser.release(w.now, run, shard)
    w.run(25)
    assert lost == [name] and w.running_task_count("run-000001") == 4

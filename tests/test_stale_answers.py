"""Seeded search: no user is told anything older than what users knew when the request was sent.

Users submit jobs and sweeps, ask at all controllers within milliseconds, repeat their submissions
and cancel, above all right after they learnt that something is accepted or over. Single answers of
the state service are late, each by itself; besides, transactions are carried out without an answer,
at once or late, controllers end or stand still, the state service is out or refuses one controller
alone. `World` checks each answer; afterwards each job and each sweep ends.

`python -m bench.stale_answers FIRST LAST` plays more seeds.
"""

import enum
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from sagecove.coordination.covered_request import Basis, CoveredRequest
from sagecove.coordination.submissions import Submissions
from sagecove.lab.deployment import job_submission
from sagecove.lab.rule_checker import RuleViolation
from sagecove.lab.world import World
from sagecove.protocol.users import JobStatus
from sagecove.storage.store import Outcome
from sagecove.sweeps.sweep_answers import SweepAnswers
from tests.test_sweeps import SWEEPS_ENABLED, point_job

MACHINE_COUNT = 4
FAULTS_S = 60.0
ENDS_WITHIN_S = 240.0
OPEN_JOB_COUNT = 6
OPEN_SWEEP_COUNT = 2
# Seconds by which a single answer of the state service is late, and shares of answers that are.
LATE_ANSWER_S = (0.2, 1.1)
LATE_SHARES = (0.05, 0.2, 0.5)
UNANSWERED_SHARE = LATE_WRITE_SHARE = 1 / 30
# Seconds between requests about the same job or sweep.
BURST_PAUSES_S = (0.0, 0.0, 0.02, 0.1, 0.4)
FINAL_STATES = ("done", "aborted")


class Fault(enum.Flag):
    """What happens besides late answers."""

    NONE = 0
    UNANSWERED = enum.auto()
    CONTROLLERS_END = enum.auto()
    OUTAGES = enum.auto()
    LATE_WRITES = enum.auto()
    PAUSES = enum.auto()


class StaleAnswers:
    """One history, drawn from one seed; `late` False: no answer of the state service is late."""

    def __init__(
        self, seed: int, faults: Fault = Fault.NONE, *, sweeps: bool = False, late: bool = True
    ) -> None:
        self.random = Random(seed)
        self.faults = faults
        self.sweeps = sweeps
        self.world = World(
            node_count=self.random.choice([2, 3, 3]),
            seed=seed,
            features=SWEEPS_ENABLED if sweeps else None,
        )
        self.world.cloud.capacity = {"small": MACHINE_COUNT, "gpu": 0}
        for number in range(MACHINE_COUNT):
            self.world.cloud.start_machine("small", "ab"[number % 2], False)
        self.world.run(3)
        for worker in self.world.workers.values():
            worker.task_run_s = self.random.choice([0.1, 0.5, 2.0])
        self.late_share = self.random.choice(LATE_SHARES) if late else 0.0
        self.world.state.answer_delay_of = self._answer_delay_s
        self.world.state.transaction_fault = self._transaction_fault
        self.request_count = self.job_count = self.sweep_count = 0
        self.sweep_bodies: dict[str, dict[str, Any]] = {}

    def _answer_delay_s(self, node: str, path: str) -> float:
        if self.random.random() >= self.late_share:
            return 0.0
        return self.random.uniform(*LATE_ANSWER_S)

    def _transaction_fault(self, node: str, body: Any) -> str | None:
        if Fault.UNANSWERED in self.faults and self.random.random() < UNANSWERED_SHARE:
            return "unanswered"
        if Fault.LATE_WRITES in self.faults and self.random.random() < LATE_WRITE_SHARE:
            return "late"
        return None

    # -- requests -------------------------------------------------------------------------------

    def node(self) -> str:
        return self.random.choice(self.world.controller_names())

    def ask(
        self, node: str, method: str, path: str, body: Any = b"", then: Any = lambda *_: None
    ) -> None:
        self.request_count += 1
        self.world.start_user_request(node, method, path, body, then)

    def ask_everywhere(self, ask_at: list[Callable[[str], None]]) -> None:
        """Send some of the requests to each controller within milliseconds."""
        for node in self.world.controller_names():
            for ask in self.random.sample(ask_at, self.random.randrange(1, len(ask_at) + 1)):
                pause_s = self.random.choice(BURST_PAUSES_S)
                self.world.call_later(pause_s, lambda ask=ask, node=node: ask(node))

    # -- jobs -----------------------------------------------------------------------------------

    def open_jobs(self) -> list[str]:
        history = self.world.job_history
        return [job for job in self.world.specs if history.final_state(job) is None]

    def submit(self) -> None:
        if len(self.open_jobs()) >= OPEN_JOB_COUNT:
            return
        self.job_count += 1
        fields = self.random.choice(
            [
                {"hands": 1, "vcpus": 1.0},
                {"hands": 3, "vcpus": 1.0},
                {"hands": 2, "vcpus": 1.0, "shape": "ensemble", "rank": "urgent"},
                {"hands": 1, "vcpus": 1.0, "shape": "service", "rank": "production"},
            ]
        )
        spec = self.world.add_spec(job_submission(self.job_count, **fields))
        for _ in range(self.random.choice([1, 1, 2])):
            self.ask(self.node(), "POST", "/api/jobs", spec, self._then_ask_for_job(spec))

    def _then_ask_for_job(self, spec: dict[str, Any]) -> Callable[[int, Any], None]:
        return lambda status, _: self.ask_for_job(spec) if status in (200, 201) else None

    def ask_for_job(self, spec: dict[str, Any]) -> None:
        """Repeat a submission and ask for its job at all controllers."""
        path = f"/api/jobs/{spec['nameId']}"
        self.ask_everywhere(
            [
                lambda node: self.ask(node, "POST", "/api/jobs", spec),
                lambda node: self.ask(node, "GET", path),
            ]
        )

    def ask_for_any_job(self) -> None:
        if jobs := [s for job, s in self.world.specs.items() if "." not in job][-8:]:
            self.ask_for_job(self.random.choice(jobs))

    def cancel(self) -> None:
        jobs = [job for job in self.open_jobs() if "." not in job]
        if not jobs:
            return
        spec = self.world.specs[self.random.choice(jobs)]
        path = f"/api/jobs/{spec['nameId']}/cancel"
        self.ask(self.node(), "POST", path, b"", self._then_ask_for_job(spec))

    # -- sweeps ---------------------------------------------------------------------------------

    def open_sweeps(self) -> list[str]:
        history = self.world.sweep_history
        return [sweep for sweep in self.sweep_bodies if history.final_state(sweep) is None]

    def submit_sweep(self) -> None:
        if len(self.open_sweeps()) >= OPEN_SWEEP_COUNT:
            return
        self.sweep_count += 1
        name = f"run-s{self.sweep_count}"
        job = point_job(hands=self.random.choice([1, 1, 2]), vcpus=1.0)
        self.sweep_bodies[name] = {"id": name, "space": "x in 1..4", "job": job}
        for _ in range(self.random.choice([1, 1, 2])):
            self.ask(
                *(self.node(), "POST", "/api/sweeps", self.sweep_bodies[name]),
                self._then_ask_for_sweep(name),
            )

    def _then_ask_for_sweep(self, name: str) -> Callable[[int, Any], None]:
        return lambda status, _: self.ask_for_sweep(name) if status in (200, 201) else None

    def ask_for_sweep(self, name: str) -> None:
        """Repeat a submission and ask for its sweep and points at all controllers."""
        self.ask_everywhere(
            [
                lambda node: self.ask(node, "POST", "/api/sweeps", self.sweep_bodies[name]),
                lambda node: self.ask(node, "GET", f"/api/sweeps/{name}"),
                lambda node: self.ask(node, "GET", "/api/sweeps"),
                lambda node: self.ask_for_point(node, name, self.random.randrange(4)),
            ]
        )

    def ask_for_point(self, node: str, sweep: str, number: int) -> None:
        """Ask for a point; one of an accepted sweep is known, one of a cancelled sweep is over."""
        known = self.world.sweep_history.known_before(sweep, None)
        has_record = self.sweep_bodies[sweep]["job"]["hands"] > 1

        def check(status: int, answer: Any) -> None:
            if status == 404 and known is not None:
                raise RuleViolation(f"forgotten {sweep}.p{number}: {sweep} was {known}")
            over = status != 200 or answer["standing"] in FINAL_STATES
            # Jobs of points with records are cancelled a few at a time (docs/sweeps.md).
            if known in FINAL_STATES and not over and not has_record:
                raise RuleViolation(f"went_back {sweep}.p{number}: {sweep} was {known}")

        self.ask(node, "GET", f"/api/jobs/{sweep}.p{number}", b"", check)

    def ask_for_any_sweep(self) -> None:
        if self.sweep_bodies:
            self.ask_for_sweep(self.random.choice(list(self.sweep_bodies)[-4:]))

    def cancel_sweep(self) -> None:
        if sweeps := self.open_sweeps():
            name = self.random.choice(sweeps)
            path = f"/api/sweeps/{name}/cancel"
            self.ask(self.node(), "POST", path, b"", self._then_ask_for_sweep(name))

    def cancel_point(self) -> None:
        if sweeps := self.open_sweeps():
            name = self.random.choice(sweeps)
            path = f"/api/jobs/{name}.p{self.random.randrange(4)}/cancel"
            self.ask(self.node(), "POST", path, b"", self._then_ask_for_sweep(name))

    # -- faults ---------------------------------------------------------------------------------

    def end_controller(self) -> None:
        name = self.node()
        if name in self.world.owners:
            self.world.kill_node(name)
            delay_s = self.random.choice([0.2, 1.0, 3.0])
            self.world.call_later(delay_s, lambda: self._start_controller(name))

    def _start_controller(self, name: str) -> None:
        if name not in self.world.owners:
            self.world.start_node(int(name[1:]))

    def stop_state_service(self) -> None:
        self.world.state.set_outage(True)
        ends_after_s = self.random.uniform(0.3, 4.0)
        self.world.call_later(ends_after_s, lambda: self.world.state.set_outage(False))

    def refuse_controller(self) -> None:
        name = self.node()
        self.world.state.refused_nodes.add(name)
        ends_after_s = self.random.uniform(0.3, 6.0)
        self.world.call_later(ends_after_s, lambda: self.world.state.refused_nodes.discard(name))

    def pause_controller(self) -> None:
        """Pause a controller now, or between its next decision and the messages that follow."""
        pauses = self.random.choice([self.world.paused_until, self.world.output_held_until])
        pauses[self.node()] = self.world.now + self.random.uniform(0.3, 4.0)

    # -- the history ----------------------------------------------------------------------------

    def choose_steps(self) -> list[Callable[[], None]]:
        """Return the steps to draw from; those that occur more often are listed more often."""
        steps = [self.submit] * 4 + [self.cancel] * 3 + [self.ask_for_any_job] * 3
        if self.sweeps:
            steps += [self.submit_sweep] * 3 + [self.cancel_sweep, self.cancel_point]
            steps += [self.ask_for_any_sweep] * 3
        if Fault.CONTROLLERS_END in self.faults:
            steps.append(self.end_controller)
        if Fault.OUTAGES in self.faults:
            steps += [self.stop_state_service, self.refuse_controller]
        if Fault.PAUSES in self.faults:
            steps += [self.pause_controller] * 2
        return steps

    def play(self) -> None:
        """Play the faults, mend them, and wait until each job and each sweep has ended."""
        steps = self.choose_steps()
        started_at = self.world.now
        while self.world.now - started_at < FAULTS_S:
            self.random.choice(steps)()
            self.world.run(self.random.choice([0.04, 0.1, 0.3, 0.8]))
        self.late_share = 0.0
        self.faults = Fault.NONE
        self.world.run(8)
        for number in range(self.world.node_count):
            self._start_controller(f"n{number}")
        self.world.faults_over_at = self.world.now
        self._ask_for_all()
        self.world.run_until(
            lambda: not self.open_accepted_jobs() and not self.open_accepted_sweeps(), ENDS_WITHIN_S
        )

    def open_accepted_jobs(self) -> list[str]:
        return [job for job in self.open_jobs() if job in self.world.job_history.known_states]

    def open_accepted_sweeps(self) -> list[str]:
        history = self.world.sweep_history
        return [sweep for sweep in self.open_sweeps() if sweep in history.known_states]

    def _ask_for_all(self) -> None:
        """Ask for what is accepted and not over, now and every second; cancel services."""
        for job in self.open_accepted_jobs():
            path = f"/api/jobs/{job}"
            if self.world.specs[job]["shape"] == "service":
                self.ask(self.node(), "POST", f"{path}/cancel")
            else:
                self.ask(self.node(), "GET", path)
        for sweep in self.open_accepted_sweeps():
            self.ask(self.node(), "GET", f"/api/sweeps/{sweep}")
        self.world.call_later(1.0, self._ask_for_all)


FAULTS = [*Fault, Fault.NONE, Fault.UNANSWERED | Fault.CONTROLLERS_END]


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("seed", range(8))
def test_no_answer_about_a_job_is_older_than_its_request(seed: int, faults: Fault) -> None:
    StaleAnswers(seed, faults).play()


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("seed", range(100, 104))
def test_no_answer_about_a_sweep_is_older_than_its_request(seed: int, faults: Fault) -> None:
    StaleAnswers(seed, faults, sweeps=True).play()


@pytest.mark.parametrize("seed", range(200, 203))
def test_no_answer_is_older_than_its_request_without_any_fault(seed: int) -> None:
    StaleAnswers(seed, sweeps=True, late=False).play()


def play_to_violation(history: StaleAnswers) -> str:
    """Play a history and return the text of the rule's violation, or an empty one."""
    try:
        history.play()
    except RuleViolation as violation:
        return str(violation)
    return ""


def test_search_finds_joined_submissions_that_are_answered_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A seeded breach: the outcome of a transaction answers all submissions that joined it.
    written = Submissions._written

    def answer_joined_at_once(
        self: Submissions, job: Any, exchange: Any, result: Any, covered: Any
    ) -> None:
        if result.outcome is Outcome.DONE:
            for joined in self.open_submissions.pop(job.id, []):
                request = CoveredRequest(joined, Basis.READ, result.revision)
                self.answers.report_live(request, JobStatus(job.id, "pending"))
        written(self, job, exchange, result, covered)

    monkeypatch.setattr(Submissions, "_written", answer_joined_at_once)
    violations = [play_to_violation(StaleAnswers(seed, Fault.UNANSWERED)) for seed in range(6)]
    assert any(violation.startswith("went_back run-0") for violation in violations)


def test_search_finds_sweeps_that_are_answered_from_the_mirror(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A seeded breach: what the mirror shows is answered without a read.
    def report_at_once(self: SweepAnswers, sweep_id: str, exchange: object) -> None:
        revision = self.owner.mirror.applied
        self.report(sweep_id, CoveredRequest(exchange, Basis.READ, revision))

    monkeypatch.setattr(SweepAnswers, "report_after_read", report_at_once)
    violations = [
        play_to_violation(StaleAnswers(seed, sweeps=True, late=False)) for seed in range(6)
    ]
    assert any(violation.startswith("forgotten run-s") for violation in violations)
    assert any(violation.startswith("went_back run-s") for violation in violations)


def test_checker_finds_older_answers_about_sweeps() -> None:
    world = World(node_count=1)
    world.submitted_sweeps.add("run-s")
    asked_early = next(world.answer_counter)
    pending, aborted = {"state": "pending"}, {"state": "aborted"}
    world.record_sweep_answer("run-s", 201, pending, submitted=True)
    world.record_sweep_answer("run-s", 404, None, submitted=False, asked_at=asked_early)
    for status, submitted in ((404, True), (404, False), (422, True)):
        with pytest.raises(RuleViolation, match="forgotten run-s"):
            world.record_sweep_answer("run-s", status, None, submitted=submitted)
    asked_late = next(world.answer_counter)
    world.record_sweep_answer("run-s", 200, aborted, submitted=False)
    world.record_sweep_answer("run-s", 200, pending, submitted=True, asked_at=asked_late)
    with pytest.raises(RuleViolation, match="went_back run-s"):
        world.record_sweep_answer("run-s", 200, pending, submitted=True)
    with pytest.raises(RuleViolation, match="went_back run-s"):
        world.record_sweep_answer("run-s", 200, {"state": "done"}, submitted=False, asked_at=0)
    with pytest.raises(RuleViolation, match="invented run-t"):
        world.record_sweep_answer("run-t", 200, pending, submitted=False)

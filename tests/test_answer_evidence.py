"""Answers to users that may still change cannot be made without a read that covers the request.

`CoveredRequest` is the evidence. The type checker refuses an answer without it, only one module
creates it, and the answers that need none are listed here with their reasons.
"""

import ast
from collections import Counter
from pathlib import Path

import pytest
from mypy import api as mypy_api

from sagecove.coordination.effects import Reply
from sagecove.coordination.user_answers import UserAnswers
from sagecove.lab.world import world_with_machines
from sagecove.protocol.users import JobStatus
from tests.test_layout import module_paths

ROOT = Path(__file__).parent.parent
# Modules that make replies: to users; health checks; a fault of this program (500); to workers and
# to other controllers.
REPLYING_MODULES = {
    "coordination.user_answers",
    "coordination.request_router",
    "coordination.owner",
    "coordination.workers",
    "coordination.foreign_reports",
    "coordination.peers",
}
ANSWERS_WITHOUT_A_READ = {
    # Immutable: an ended sweep; a preview, which follows from the request and a template's version;
    # the descriptions of a job and of a point; a template's version.
    ("report_immutable", "sweeps.sweep_answers"): 1,
    ("report_immutable", "sweeps.sweep_submissions"): 1,
    ("report_immutable", "sweeps.point_routes"): 2,
    ("report_immutable", "sweeps.template_routes"): 1,
    # What this controller knows, which it names: the cluster, why a job or a point waits.
    ("report_view", "coordination.request_router"): 2,
    ("report_view", "sweeps.point_routes"): 1,
    # Final states: of jobs, from memory, from a read, or just written; and of points.
    ("report_final", "coordination.users"): 2,
    ("report_final", "sweeps.blocks"): 1,
    ("report_final", "sweeps.point_routes"): 1,
}


# Calls of `refuse` (of answers, or of what hands on to them), which takes no evidence either.
REFUSALS_WITHOUT_A_READ = {
    # An id of another form.
    "coordination.users": 1,
    # Paths and methods that don't exist; a view of what is under way here.
    "coordination.request_router": 7,
    # Malformed; an id that a sweep which was accepted reserves for good; both by way of the third.
    "coordination.submissions": 3,
    # A point that can't run, which never changes.
    "sweeps.point_routes": 1,
    # The request alone, its template and the settings (docs/user-answers.md).
    "sweeps.routes": 1,
    # An id that a job reserves for good.
    "sweeps.sweep_submissions": 1,
    # Hands on what the others refuse.
    "sweeps.refusals": 2,
}
# They refuse reports of workers.
MODULES_FOR_WORKERS = {
    "coordination.foreign_reports",
    "coordination.held_reports",
    "coordination.machine_adoption",
}


def called_names(path: Path) -> Counter[str]:
    """Return how often a module calls each name or attribute."""
    counts: Counter[str] = Counter()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call):
            if isinstance(node.func, ast.Name):
                counts[node.func.id] += 1
            elif isinstance(node.func, ast.Attribute):
                counts[node.func.attr] += 1
    return counts


def product_calls() -> dict[str, Counter[str]]:
    return {
        name: called_names(path)
        for name, path in module_paths().items()
        if not name.startswith("lab.")
    }


def test_only_one_module_creates_the_evidence() -> None:
    creators = {name for name, counts in product_calls().items() if counts["CoveredRequest"]}
    assert creators == {"coordination.request_coverage"}


def test_replies_are_made_in_listed_modules() -> None:
    assert {name for name, counts in product_calls().items() if counts["Reply"]} == REPLYING_MODULES


def test_answers_without_a_read_are_listed() -> None:
    found = {
        (method, module): counts[method]
        for module, counts in product_calls().items()
        for method in ("report_immutable", "report_view", "report_final")
        if counts[method]
    }
    assert found == ANSWERS_WITHOUT_A_READ


def test_refusals_without_a_read_are_listed() -> None:
    found = {module: counts["refuse"] for module, counts in product_calls().items()}
    assert {
        module: count
        for module, count in found.items()
        if count and module not in MODULES_FOR_WORKERS
    } == REFUSALS_WITHOUT_A_READ


def test_live_state_cannot_be_reported_as_final() -> None:
    answers = UserAnswers(world_with_machines(1).owners["n0"])
    for state in ("pending", "running"):
        with pytest.raises(ValueError, match="not final"):
            answers.report_final(object(), JobStatus("run-000001", state))


def test_unreachable_state_service_is_answered_with_a_time_to_retry() -> None:
    owner = world_with_machines(1).owners["n0"]
    owner.answers.refuse_state_unavailable("exchange")
    reply = owner.effects[-1]
    assert isinstance(reply, Reply)
    assert (reply.status, reply.retry_after) == (503, 1.0)


CHECKED_CODE = """
from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.effects import IncomingRequest
from sagecove.coordination.effects import Reply
from sagecove.coordination.user_answers import UserAnswers
from sagecove.protocol.users import JobStatus

def answer(answers: UserAnswers, request: CoveredRequest, incoming: IncomingRequest) -> None:
    {call}
"""


@pytest.mark.parametrize(
    "call, accepted",
    [
        ('answers.report_live(request, JobStatus("run-1", "pending"))', True),
        ('answers.report_live(incoming.exchange, JobStatus("run-1", "pending"))', False),
        ('answers.report_live(None, JobStatus("run-1", "pending"))', False),
        ('answers.refuse_unknown(request, 404, "no such job")', True),
        ('answers.refuse_unknown(incoming.exchange, 404, "no such job")', False),
        ('answers.report_view(incoming.exchange, JobStatus("run-1", "pending"))', False),
    ],
)
def test_type_checker_refuses_answers_without_evidence(call: str, accepted: bool) -> None:
    # `silent` leaves errors of other modules to the check of the whole package.
    code = CHECKED_CODE.format(call=call)
    output, _, status = mypy_api.run(["--follow-imports=silent", "--strict", "-c", code])
    assert (status == 0) is accepted, output
    assert accepted or "[arg-type]" in output

"""Messages between workers and controllers."""

import re
from typing import Annotated

import msgspec

from sagecove.protocol.decoding import MalformedMessage, decoder

LAUNCH, HALT, REAP = "launch", "halt", "reap"
PULLING, WAITING, TASK_RUNNING, SAVING, EXITED = (
    "pulling",
    "waiting",
    "running",
    "saving",
    "exited",
)
EXIT_DONE, EXIT_STOPPED, EXIT_ERROR, EXIT_FULL, EXIT_BUSY, EXIT_UNKNOWN = (
    "done",
    "stopped",
    "error",
    "full",
    "busy",
    "unknown",
)

# Checked only for machines that are not known: nearly all reports are of known ones.
MACHINE_NAME_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,120}\Z")

Count = Annotated[int, msgspec.Meta(ge=0)]


class TaskReport(
    msgspec.Struct,
    rename={
        "task": "hand",
        "attempt": "try",
        "state": "standing",
        "why": "cause",
        "saved": "kept",
    },
    gc=False,
):
    """The state of a task, as a worker reports it."""

    task: str
    attempt: Count
    state: str
    why: str = ""
    saved: bool = False


class Report(
    msgspec.Struct,
    rename={
        "machine": "mount",
        "type": "breed",
        "zone": "range",
        "spot": "borrowed",
        "session": "ride",
        "seq": "tally",
        "token": "brand",
        "notice_s": "warningS",
        "tasks": "hands",
    },
    gc=False,
):
    """A report of a worker about its machine and tasks."""

    machine: str
    addr: Annotated[str, msgspec.Meta(max_length=100)]
    type: str
    zone: str
    spot: bool
    session: Count
    seq: Count
    token: Count
    # Not decoded with the report: most reports repeat the tasks of the previous one byte by byte.
    tasks: msgspec.Raw = msgspec.Raw(b"[]")
    notice_s: float | None = None

    def require_machine_name(self) -> None:
        """Raise `MalformedMessage` unless the name can be one of a machine and of its record."""
        if MACHINE_NAME_PATTERN.match(self.machine) is None:
            raise MalformedMessage("Expected a machine's name - at `$.mount`")


class WorkerCommand(
    msgspec.Struct,
    rename={"op": "verb", "task": "hand", "attempt": "try", "grace_s": "leewayS"},
    omit_defaults=True,
):
    """A command to a worker."""

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


def halt(task: str, attempt: int, grace_s: float) -> WorkerCommand:
    """Return the command to stop a task, which may take up to `grace_s` seconds to save."""
    return WorkerCommand(HALT, task, attempt, grace_s)


def reap(task: str, attempt: int) -> WorkerCommand:
    """Return the command to forget an exited task."""
    return WorkerCommand(REAP, task, attempt)


class ReportAnswer(msgspec.Struct, rename={"token": "brand"}):
    """The answer to a report."""

    token: int
    orders: list[WorkerCommand]


# The longest line that workers read.
MAX_LINE_BYTES = 64 * 1024
# So many commands for tasks with names of so many characters fit into a line, however encoded.
FEW_COMMANDS_COUNT = 100
SHORT_NAME_LENGTH = 90


def answer_body(answer: ReportAnswer) -> ReportAnswer | msgspec.Raw:
    """Return the body to send for an answer: a long one has a line for each value."""
    orders = answer.orders
    if not orders:
        return answer
    if len(orders) <= FEW_COMMANDS_COUNT and all(len(o.task) <= SHORT_NAME_LENGTH for o in orders):
        return answer
    encoded = msgspec.json.encode(answer)
    if len(encoded) <= MAX_LINE_BYTES:
        return answer
    return msgspec.Raw(msgspec.json.format(encoded, indent=1))


class DirectCommands(msgspec.Struct, rename={"token": "brand", "session": "ride"}):
    """Commands that a controller sends to a worker outside the answer to a report."""

    token: int
    session: int
    orders: list[WorkerCommand]


class Redirect(msgspec.Struct, rename={"report_to": "foreman"}, omit_defaults=True):
    """The body of a 421 answer: the address to report to."""

    report_to: str | None = None


decode_task_reports = decoder(list[TaskReport])
decode_report = decoder(Report)

"""Holds workers' reports for a short time, so that new launches can travel in their answers.

Launches are sent in answers to reports only (`launch_tracker`). So that a task need not wait for
the next report of its machine, the report of a machine with room is answered when there are
commands for it, or when the hold ends (long polling):

- A machine that runs nothing has no lease to lose: its report is held for a good part of the
  report interval.
- Any other report is held for the next scheduling passes, which may use room that the report shows
  to be free. A lease counts from when the report was sent, so a longer hold would leave less of it
  to whoever takes over after this controller has ended.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

from sagecove.config import WORKER_ANSWER_TIMEOUT_S
from sagecove.coordination.interfaces import Authority, BaseContext
from sagecove.coordination.model import Machine, Shard
from sagecove.coordination.tokens import holder_token
from sagecove.protocol import workers as worker_protocol

# With the time between two ticks, less than the shortest report interval (three quarters).
HOLD_SHARE_OF_REPORT_INTERVAL = 0.6
# Covers the next scheduling passes; longer holds cost tasks when all controllers end together.
SHORT_HOLD_S = 0.3
# Leaves time for the answer to arrive before the worker drops it.
MAX_HOLD_S = 0.6 * WORKER_ANSWER_TIMEOUT_S
# A held report occupies a socket: at most one of so many sockets.
SOCKETS_PER_HELD_REPORT = 4


class HeldReportContext(BaseContext, Protocol):
    """Interface that held reports require of the owner."""

    held_shards: dict[str, Shard]

    @property
    def leadership(self) -> Authority:
        """This controller's authority."""

    def count(self, event: str) -> None:
        """Increment the metric of an event."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldReport:
    """A report that has been applied and waits for its answer since `held_at`."""

    machine: Machine
    shard: Shard
    report: worker_protocol.Report
    exchange: object
    held_at: float


class HeldReports:
    """The reports that wait for their answers, at most one for each machine.

    `answer(held)` answers a report; `refuse(exchange, reason)` answers one so that it renews no
    lease.
    """

    def __init__(
        self,
        context: HeldReportContext,
        answer: Callable[[HeldReport], None],
        refuse: Callable[[object, str], None],
    ) -> None:
        self.context = context
        self.answer = answer
        self.refuse = refuse
        params = context.settings.params
        self.long_hold_s = min(HOLD_SHARE_OF_REPORT_INTERVAL * params.workers.report_s, MAX_HOLD_S)
        self.max_count = params.resources.fd_limit // SOCKETS_PER_HELD_REPORT
        # By machine name, oldest first: those held for a short and for a long time.
        self._short: dict[str, HeldReport] = {}
        self._long: dict[str, HeldReport] = {}

    def hold(
        self, machine: Machine, shard: Shard, report: worker_protocol.Report, exchange: object
    ) -> bool:
        """Hold a report that has been applied; False if it has to be answered at once."""
        cpus, _, memory_gb = machine.free_room()
        if (
            not machine.accepts_tasks
            or cpus <= 0
            or memory_gb <= 0
            or len(self._short) + len(self._long) >= self.max_count
        ):
            return False
        reports = self._long if _runs_nothing(machine) else self._short
        reports[machine.name] = HeldReport(machine, shard, report, exchange, self.context.now)
        self.context.count("report held")
        return True

    def discard(self, machine: Machine) -> None:
        """Refuse the held report of a machine that has sent a later one."""
        held = self._take(machine)
        if held is not None:
            self.refuse(held.exchange, "the worker has sent a later report")

    def answer_now(self, machine: Machine) -> bool:
        """Answer a machine's held report; False if there is none."""
        held = self._take(machine)
        if held is None:
            return False
        self._answer(held)
        return True

    def answer_due(self, now: float) -> None:
        """Answer the reports that have been held for long enough."""
        self._answer_older(self._short, now - SHORT_HOLD_S)
        self._answer_older(self._long, now - self.long_hold_s)

    def _answer_older(self, reports: dict[str, HeldReport], held_before: float) -> None:
        """Answer those reports of one kind that are held since `held_before` or longer."""
        while reports:
            oldest = next(iter(reports.values()))
            if oldest.held_at > held_before:
                break
            del reports[oldest.machine.name]
            self._answer(oldest)

    def _take(self, machine: Machine) -> HeldReport | None:
        return self._short.pop(machine.name, None) or self._long.pop(machine.name, None)

    def _answer(self, held: HeldReport) -> None:
        """Answer a report if that is still allowed."""
        context, machine, shard = self.context, held.machine, held.shard
        if (
            context.machines.get(machine.name) is not machine
            or context.held_shards.get(machine.record.shard) is not shard
            or shard.yielding
            or not context.leadership.may_act(context.now)
        ):
            self.refuse(held.exchange, "this controller may not act for the shard now")
        elif held.report.session != machine.session:
            self.refuse(held.exchange, "the session is over")
        elif context.now < machine.unanswered_until:
            self.refuse(held.exchange, "the worker does not receive answers")
        elif holder_token(shard.term, machine) <= machine.fence_token:
            self.refuse(held.exchange, "a new token is needed")
        elif context.now - held.held_at >= WORKER_ANSWER_TIMEOUT_S:
            self.refuse(held.exchange, "the worker waits no longer")
        else:
            self.answer(held)


def _runs_nothing(machine: Machine) -> bool:
    """Return whether all tasks on the machine have completed."""
    return not machine.unknown_tasks and all(
        placement.state == worker_protocol.EXITED
        and placement.exit_reason == worker_protocol.EXIT_DONE
        for placement in machine.tasks.values()
    )

"""Detects workers that don't receive this controller's answers, and reports that are out of date.

A report proves neither that answers arrive nor that it was sent just now: answers may be lost on
their way, and a report may be a delayed copy. Only their visible effect proves that answers
arrive: a launched task, an adopted token, a session that continues.

- *Unreachable machines*: launches carried by the answers to three reports in a row don't show in
  the reports after them. From then on nothing is placed on the machine, and its reports are not
  answered until its lease has surely expired, so that every task that is or may be on it is gone.
  A session that outlives a lease shows that answers arrive again.
- *Old reports*: a report that looks older than one already seen is a delayed copy, or the worker
  has restarted. Only the answer to a request that is sent now decides which (`GET /show`). A
  restarted worker has lost its tasks and accepts any token, so no token is used on it that a launch
  still under way may carry.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from sagecove.coordination.interfaces import BaseContext, RequestSender
from sagecove.coordination.model import LAUNCH_SENT, Machine, Placement
from sagecove.protocol import workers as worker_protocol
from sagecove.storage.store import decode_answer

log = logging.getLogger("sagecove.reach")

# Answers without effect, in a row, after which a machine counts as unreachable.
MAX_MISSED_ANSWERS_COUNT = 3
# A machine that has been unreachable for more leases than this is returned.
RETURN_AFTER_LEASES_COUNT = 4.0


class ReachabilityContext(BaseContext, RequestSender, Protocol):
    """The owner's tables, and requests to machines."""


class Reachability:
    """Tracks unreachable machines and checks reports that look out of date."""

    def __init__(
        self,
        context: ReachabilityContext,
        lease_expiry_s: float,
        stop_task: Callable[[Placement, float, str], None],
    ) -> None:
        self.context = context
        self.worker_settings = context.settings.params.workers
        # This long after the last answer a worker's lease has surely expired.
        self.lease_expiry_s = lease_expiry_s
        self.stop_task = stop_task
        self.unreachable: dict[str, Machine] = {}

    # -- unreachable machines -------------------------------------------------------------------

    def note_new_session(self, now: float, machine: Machine) -> None:
        """Record a new session; one that begins although reports were answered counts as a missed
        answer."""
        if (
            now - machine.last_answer_at < 0.75 * self.worker_settings.lease_s
            and machine.session_started_at
        ):
            self._count_missed_answer(now, machine)
        machine.session_started_at = now

    def check_answers_received(self, now: float, machine: Machine, seq: int, token: int) -> None:
        """Check whether earlier answers had an effect, after report number `seq` was applied."""
        if machine.worker_token < token:
            # A report was answered under this token before, but the worker has not adopted it.
            answer_missed = 0 < machine.answered_seq < seq and machine.answered_token >= token
        else:
            answer_missed = any(
                p.state == LAUNCH_SENT and p.stop_grace_s is None and 0 < p.answered_seq < seq
                for p in machine.tasks.values()
            )
        if answer_missed:
            self._count_missed_answer(now, machine)
        elif machine.unreachable_since is None and (
            machine.worker_token > machine.confirmed_token
            or any(p.state != LAUNCH_SENT for p in machine.tasks.values())
        ):
            machine.missed_answer_count = 0
        machine.confirmed_token = max(machine.confirmed_token, machine.worker_token)
        if machine.unreachable_since is not None:
            reachable_from = max(
                machine.unreachable_since + self.lease_expiry_s, machine.session_started_at
            )
            if (
                now - reachable_from
                > 1.25 * self.worker_settings.lease_s + 2 * self.worker_settings.report_s
                and not answer_missed
            ):
                log.info("machine hears again machine=%s", machine.name)
                machine.unreachable_since, machine.missed_answer_count = None, 0
                machine.idle_since = now
                self.unreachable.pop(machine.name, None)

    def _count_missed_answer(self, now: float, machine: Machine) -> None:
        machine.missed_answer_count += 1
        if machine.missed_answer_count < MAX_MISSED_ANSWERS_COUNT:
            return
        machine.missed_answer_count = 0
        # Reports stay unanswered until the lease has expired, even if the worker can be reached
        # after all: then every task on it is surely gone.
        machine.unanswered_until = now + self.lease_expiry_s + self.worker_settings.report_s
        if machine.unreachable_since is None:
            log.info("machine does not hear machine=%s tasks=%d", machine.name, len(machine.tasks))
            machine.unreachable_since = now
            self.unreachable[machine.name] = machine
        for placement in list(machine.tasks.values()):
            if placement.state == LAUNCH_SENT:
                self.stop_task(placement, 0.0, "not heard")

    def machines_to_return(self, now: float) -> list[Machine]:
        """Machines that have been unreachable for so long that they are to be returned."""
        machines = []
        for name, machine in list(self.unreachable.items()):
            if self.context.machines.get(name) is not machine or machine.unreachable_since is None:
                del self.unreachable[name]
            elif (
                now - machine.unreachable_since
                > RETURN_AFTER_LEASES_COUNT * self.worker_settings.lease_s
            ):
                machines.append(machine)
        return machines

    # -- old reports ----------------------------------------------------------------------------

    def request_current_report(
        self, machine: Machine, addr: str, on_restart: Callable[[], None]
    ) -> None:
        """Ask a machine for its present report, after one that looks old; `on_restart` is called
        if the worker has restarted and so lost all its tasks."""
        now = self.context.now
        if (
            machine.show_request_open
            or now - machine.show_requested_at < self.worker_settings.report_s
        ):
            return
        machine.show_request_open = True
        machine.show_requested_at = now
        last_seen = machine.session, machine.seq

        def done(status: int | None, body: bytes) -> None:
            machine.show_request_open = False
            report = decode_answer(body, worker_protocol.Report) if status == 200 else None
            if (
                report is None
                or report.machine != machine.name
                or self.context.machines.get(machine.name) is not machine
                or (machine.session, machine.seq) < last_seen
                # A larger order is a newer report of a worker that has not restarted.
                or (report.session, report.seq) > last_seen
            ):
                return
            log.info("machine began anew machine=%s session=%d", machine.name, report.session)
            # Launches sent since the restart may have been executed, or may yet be: the next task
            # list that is reported under a later token decides which of its tasks are gone.
            # The present session is recorded as running, not as ended: when it was taken for a
            # later session, the next report was read as the end of its tasks, and tasks that had
            # just been launched were started again elsewhere.
            machine.session = report.session
            machine.seq = machine.worker_token = machine.last_hello_seq = machine.answered_seq = 0
            machine.launches.note_restart()
            machine.ended_session = -1
            machine.tasks_known = machine.quiescent = False
            machine.missed_answer_count = 0
            on_restart()

        self.context.call(addr, "GET", "/show", None, self.worker_settings.lease_s / 4, done)

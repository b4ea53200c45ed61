"""What shows that a machine takes in what it is told, and that what it tells is from now.

A report proves neither: answers may be lost on their way, and a report may be a late copy. What a
worker shows to have taken in counts: a launched task, a token, a session that goes on.

- *Deaf*: launches that answers to three reports in a row carried are not in the report after. From
  then on nothing is placed there and nothing answered for as long as a lease takes to end, so that
  what is on it, or may be, is gone for sure. A session that goes on for longer than a lease shows
  that answers arrive again.
- *Old*: a report that looks older than one already seen is a late copy, or the worker has begun
  anew. Only an answer to a request that is sent now tells (`GET /show`). A worker that began anew
  has lost its tasks, and takes any token: none is used on it that a launch under way may have.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

from sagecove.coordination.interfaces import BaseContext, ResponseCallback
from sagecove.coordination.model import LAUNCH_SENT, Machine, Placement
from sagecove.protocol import workers as w
from sagecove.storage.store import decode

log = logging.getLogger("sagecove.reach")

# Reports in a row whose answers were not taken in.
UNECHOED = 3
# A machine that has been deaf for so many leases is returned.
RETURN_LEASES = 4.0


class Calling(BaseContext, Protocol):
    """Calls to machines."""

    def call(
        self, target: str, method: str, path: str, body: Any, timeout: float, done: ResponseCallback
    ) -> None:
        """Emit a call; `done` hears its answer."""


class Reach:
    """Machines that do not hear, and reports that look old."""

    def __init__(
        self,
        desk: Calling,
        lease_over: float,
        halt: Callable[[Placement, float, str], None],
    ) -> None:
        self.desk = desk
        self.pace = desk.settings.params.workers
        # After the last answer, a worker's lease has run out for sure.
        self.lease_over = lease_over
        self.halt = halt
        self.deaf: dict[str, Machine] = {}

    # -- deaf -----------------------------------------------------------------------------------

    def new_session(self, now: float, machine: Machine) -> None:
        """A later session has begun, though this controller has been answering: was it heard?"""
        if now - machine.last_answer_at < 0.75 * self.pace.lease_s and machine.session_started_at:
            self._unechoed(now, machine)
        machine.session_started_at = now

    def told(self, now: float, machine: Machine, seq: int, token: int) -> None:
        """A report has been taken in; `seq` is its number. What did earlier answers bring about?"""
        if machine.worker_token < token:
            # Answered under this token before, and not by one that the worker took.
            lacking = 0 < machine.answered_seq < seq and machine.answered_token >= token
        else:
            lacking = any(
                p.state == LAUNCH_SENT and p.stop_grace_s is None and 0 < p.answered_seq < seq
                for p in machine.tasks.values()
            )
        if lacking:
            self._unechoed(now, machine)
        elif machine.unreachable_since is None and (
            machine.worker_token > machine.confirmed_token
            or any(p.state != LAUNCH_SENT for p in machine.tasks.values())
        ):
            machine.missed_answer_count = 0
        machine.confirmed_token = max(machine.confirmed_token, machine.worker_token)
        if machine.unreachable_since is not None:
            quiet = max(machine.unreachable_since + self.lease_over, machine.session_started_at)
            if now - quiet > 1.25 * self.pace.lease_s + 2 * self.pace.report_s and not lacking:
                log.info("machine hears again machine=%s", machine.name)
                machine.unreachable_since, machine.missed_answer_count = None, 0
                self.deaf.pop(machine.name, None)

    def _unechoed(self, now: float, machine: Machine) -> None:
        machine.missed_answer_count += 1
        if machine.missed_answer_count < UNECHOED:
            return
        machine.missed_answer_count = 0
        # Until its lease is over it is not answered, whoever is right: then all on it is gone.
        machine.unanswered_until = now + self.lease_over + self.pace.report_s
        if machine.unreachable_since is None:
            log.info("machine does not hear machine=%s tasks=%d", machine.name, len(machine.tasks))
            machine.unreachable_since = now
            self.deaf[machine.name] = machine
        for placement in list(machine.tasks.values()):
            if placement.state == LAUNCH_SENT:
                self.halt(placement, 0.0, "not heard")

    def lost(self, now: float) -> list[Machine]:
        """Machines that have been deaf for long: to be returned."""
        out = []
        for name, machine in list(self.deaf.items()):
            if self.desk.machines.get(name) is not machine or machine.unreachable_since is None:
                del self.deaf[name]
            elif now - machine.unreachable_since > RETURN_LEASES * self.pace.lease_s:
                out.append(machine)
        return out

    # -- old ------------------------------------------------------------------------------------

    def ask(self, machine: Machine, addr: str, began_anew: Callable[[], None]) -> None:
        """A report looks old: what does the machine say now? `began_anew` hears that it has lost
        all it had."""
        now = self.desk.now
        if machine.show_request_open or now - machine.show_requested_at < self.pace.report_s:
            return
        machine.show_request_open = True
        machine.show_requested_at = now
        seen = machine.session, machine.seq

        def done(status: int | None, body: bytes) -> None:
            machine.show_request_open = False
            report = decode(body, w.Report) if status == 200 else None
            if (
                report is None
                or report.machine != machine.name
                or self.desk.machines.get(machine.name) is not machine
                or (machine.session, machine.seq) < seen
                # The larger one is the newer: this one has gone on.
                or (report.session, report.seq) > seen
            ):
                return
            log.info("machine began anew machine=%s session=%d", machine.name, report.session)
            # Launches sent since then may have been obeyed, or may yet be: its next list that is
            # told under a token of after this tells which of its tasks are gone.
            # Its session is this one and not over: taken for a later one, the end of what ran in it
            # was concluded from its next report, and what had just been launched began elsewhere.
            machine.session = report.session
            machine.seq = machine.worker_token = machine.last_hello_seq = machine.answered_seq = 0
            machine.ended_session = -1
            machine.tasks_known = machine.quiescent = False
            machine.missed_answer_count = 0
            began_anew()

        self.desk.call(addr, "GET", "/show", None, self.pace.lease_s / 4, done)

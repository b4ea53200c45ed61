"""Answers reports of machines that another controller holds, or that no controller holds now."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

import msgspec

from sagecove.coordination.effects import Effect, Reply
from sagecove.coordination.interfaces import BaseContext, RequestSender
from sagecove.coordination.model import Machine
from sagecove.coordination.tokens import holder_token
from sagecove.protocol import workers as worker_protocol
from sagecove.protocol.peers import Hint
from sagecove.storage.mirror import Mirror
from sagecove.storage.records import HOLDER_PREFIX

# A peer whose last hint is older than this is taken for silent: hints come once a second.
HINT_FRESH_S = 2.5


class PeerQueries(Protocol):
    """Tells what peers have said lately."""

    # By node: when its last hint came, and the hint.
    hints: dict[str, tuple[float, Hint]]

    def machine_reports_to(self, node: str, machine: str) -> bool:
        """Return whether a controller says that the machine reports to it."""


class LeaseLength(Protocol):
    """The controllers' leases."""

    lease_s: float


class ReadTimes(Protocol):
    """Tells how current the mirror is."""

    synced_at: float


class ForeignReportContext(BaseContext, RequestSender, Protocol):
    """Interface that the handling of foreign reports requires of the owner."""

    random: Random
    effects: list[Effect]
    mirror: Mirror

    @property
    def peers(self) -> PeerQueries:
        """What peers have said."""

    @property
    def leadership(self) -> LeaseLength:
        """The controllers' leases."""

    @property
    def sync(self) -> ReadTimes:
        """The reads of the state service."""


class ForeignReports:
    """Redirects or relays reports to the controllers that hold the machines.

    `refuse(exchange, reason)` answers a report so that it renews no lease.
    """

    def __init__(
        self,
        context: ForeignReportContext,
        call_timeout_s: float,
        refuse: Callable[[object, str], None],
    ) -> None:
        self.context = context
        self.worker_settings = context.settings.params.workers
        self.call_timeout_s = call_timeout_s
        self.refuse = refuse

    def handle(
        self,
        machine: Machine,
        holder: str,
        report: worker_protocol.Report,
        body: bytes,
        exchange: object,
    ) -> None:
        """Answer the report of a machine that another controller holds.

        The worker is redirected to the holder. If it has tried the holder and come back, it can't
        reach the holder but this controller can, so its report is relayed.
        """
        context = self.context
        now = context.now
        holder_addr = next((p.addr for p in context.settings.peers if p.node == holder), None)
        hint = context.peers.hints.get(holder)
        holder_reachable = hint is not None and now - hint[0] < HINT_FRESH_S
        holder_tried = 0.7 < now - machine.redirected_at < self.worker_settings.lease_s
        # A worker with the holder's present token has been answered by the holder. When two zones
        # could not reach each other, such workers were redirected back and waited another 4 s for
        # an answer; then their leases had expired, and their holders had returned them as silent.
        holder_term = context.mirror.revision_of(HOLDER_PREFIX + machine.record.shard)
        holder_tried = holder_tried or report.token >= holder_token(holder_term, machine)
        # A holder whose lease outlives its silence is alive and only cut off from its peers.
        holder_silent = (
            hint is not None and HINT_FRESH_S <= now - hint[0] < context.leadership.lease_s + 1.0
        )
        if (
            holder_silent
            and hint is not None
            and (holder_tried or context.peers.machine_reports_to(holder, machine.name))
        ):
            # The holder is silent and the worker has tried it: until the shard is taken, going back
            # would cost the worker another timeout, and with that its lease and its tasks.
            self.redirect_to_live_peer(machine, report, exchange)
            return
        if not holder_reachable and now - context.sync.synced_at > context.leadership.lease_s:
            # This controller's view of the holder is out of date. Two isolated controllers
            # redirected each other's workers back and forth until the workers' leases expired,
            # while a third controller held the shard.
            self.refuse(exchange, "the shard's holder is not known")
            return
        if machine.relaying and now - machine.foreign_report_at < self.worker_settings.lease_s:
            holder_tried = True
        if not self._note_report(machine, report):
            context.effects.append(Reply(exchange, 421, worker_protocol.Redirect(holder)))
            return
        if holder_addr is None or not holder_reachable or not holder_tried:
            machine.relaying = False
            machine.redirected_at = now
            context.effects.append(Reply(exchange, 421, worker_protocol.Redirect(holder)))
            return
        machine.relaying = True

        def done(status: int | None, answer: bytes) -> None:
            if status == 200:
                context.effects.append(Reply(exchange, 200, msgspec.Raw(answer)))
            else:
                machine.relaying = False
                self.refuse(exchange, "the shard's holder did not answer")

        # Raw, so that the report is relayed unchanged.
        context.call(
            holder_addr, "POST", "/relay", msgspec.Raw(body), self.call_timeout_s / 2, done
        )

    def _note_report(self, machine: Machine, report: worker_protocol.Report) -> bool:
        """Record a report of another holder's machine; False for a delayed copy.

        A delayed copy doesn't show that the machine is up: copies kept dead machines from being
        returned.
        """
        order = report.session, report.seq
        if order <= machine.foreign_report_order:
            return False
        machine.foreign_report_order = order
        machine.foreign_report_at = self.context.now
        return True

    def redirect_to_live_peer(
        self, machine: Machine, report: worker_protocol.Report, exchange: object
    ) -> None:
        """Redirect a worker whose shard has no acting holder to any live controller.

        So it is not waiting at a silent controller when its shard is taken.
        """
        context = self.context
        now = context.now
        machine.relaying = False
        self._note_report(machine, report)
        live = sorted(n for n, (at, _) in context.peers.hints.items() if now - at < HINT_FRESH_S)
        if live:
            context.effects.append(
                Reply(exchange, 421, worker_protocol.Redirect(context.random.choice(live)))
            )
        else:
            self.refuse(exchange, "the shard's holder is silent")

    def recent_machines(self, now: float) -> list[str]:
        """Names of other holders' machines that have reported here lately."""
        return [
            m.name
            for m in self.context.machines.values()
            if now - m.foreign_report_at < 2 * self.worker_settings.report_s
        ]

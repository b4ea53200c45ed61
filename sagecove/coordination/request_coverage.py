"""Establishes that an answer to a user rests on nothing older than the user's request.

After any controller has told a user that a job is accepted, done or cancelled, no controller may
give an older answer (PROTOCOL, "GET /api/jobs/{id}"). Every answer that may still change therefore
requires a `CoveredRequest`. Only this module creates them, after a read of the state service that
began once the request had arrived, or after the transaction that the request itself caused.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

from sagecove.coordination.containment import Containment
from sagecove.coordination.covered_request import Basis, CoveredRequest
from sagecove.coordination.interfaces import TransactionSender
from sagecove.protocol import state as wire
from sagecove.storage.store import Outcome, Result, Store, decode_answer

# Requests that may wait for a read before others are told to retry.
MAX_WAITING_COUNT = 2000


OnCovered = Callable[[CoveredRequest], None]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a read. Numbers give the order of arrival: a later request may have
    the same time.
    """

    number: int
    exchange: object
    on_covered: OnCovered


class MirrorReads(Protocol):
    """Makes linearizable reads that bring the mirror up to date."""

    def connected(self) -> bool:
        """Return whether the state service has answered recently."""

    def request_sync(self) -> None:
        """Request a read that begins from now on."""


class CoverageContext(TransactionSender, Protocol):
    """Interface that the coverage of requests requires of the owner."""

    now: float
    store: Store
    containment: Containment

    @property
    def sync(self) -> MirrorReads:
        """The reads of the mirror."""


class Refusals(Protocol):
    """Answers requests that cannot be covered now."""

    def refuse_for_now(self, exchange: object, reason: str, retry_s: float = 1.0) -> None:
        """Answer 503 with the time after which to retry."""

    def refuse_state_unavailable(self, exchange: object) -> None:
        """Answer 503 because the state service does not answer."""


class RequestCoverage:
    """Covers users' requests by reads and by their own transactions.

    A request that cannot be covered is answered with 503, and its callback is not called.
    """

    def __init__(self, context: CoverageContext, refusals: Refusals) -> None:
        self.context = context
        self.refusals = refusals
        self.request_count = 0
        self.waiting: list[WaitingRequest] = []

    # -- reads of the mirror --------------------------------------------------------------------

    def after_read(self, exchange: object, on_covered: OnCovered) -> None:
        """Call back after a read of the mirror that begins from now on."""
        context = self.context
        if not context.sync.connected():
            self.refusals.refuse_state_unavailable(exchange)
        elif len(self.waiting) > MAX_WAITING_COUNT:
            self.refusals.refuse_for_now(exchange, "too many requests at once", 2.0)
        else:
            self.request_count += 1
            self.waiting.append(WaitingRequest(self.request_count, exchange, on_covered))
            context.sync.request_sync()

    def read_completed(self, last_number: int, revision: int) -> None:
        """Call back for the requests up to `last_number`, the last one when the read began."""
        due = [request for request in self.waiting if request.number <= last_number]
        if not due:
            return
        self.waiting = [request for request in self.waiting if request.number > last_number]
        for request in due:
            covered = CoveredRequest(request.exchange, Basis.READ, revision)
            self.context.containment.run("answer after read", request.on_covered, covered)

    def read_failed(self) -> None:
        """Tell all waiting users that the state service does not answer."""
        refused, self.waiting = self.waiting, []
        for request in refused:
            self.refusals.refuse_state_unavailable(request.exchange)

    # -- reads and transactions of a single request ---------------------------------------------

    def after_listing(
        self,
        exchange: object,
        prefix: str,
        on_listed: Callable[[CoveredRequest, list[wire.Pair]], None],
    ) -> None:
        """Call back with all keys below a prefix, read from now on, in key order."""
        context = self.context
        pairs: list[wire.Pair] = []

        def on_page(status: int | None, body: bytes) -> None:
            page = decode_answer(body, wire.Page) if status == 200 else None
            if page is None:
                self.refusals.refuse_state_unavailable(exchange)
                return
            pairs.extend(page.items)
            if page.more and page.items:
                context.store.read_page(context.now, prefix, page.items[-1].key, on_page)
            else:
                on_listed(CoveredRequest(exchange, Basis.READ, page.revision), pairs)

        context.store.read_page(context.now, prefix, "", on_page)

    def after_own_transaction(
        self,
        exchange: object,
        conditions: list[tuple[str, int]],
        changes: list[wire.Put | wire.Delete],
        on_outcome: Callable[[Result, CoveredRequest | None], None],
    ) -> None:
        """Send the transaction that a request causes, and call back with its outcome.

        The request is covered only if the transaction was executed. It says nothing of other
        requests that wait for it: they may have arrived after it was executed.
        """

        def on_result(result: Result) -> None:
            covered = None
            if result.outcome is Outcome.DONE:
                covered = CoveredRequest(exchange, Basis.OWN_TRANSACTION, result.revision)
            on_outcome(result, covered)

        self.context.commit(conditions, changes, on_result, urgent=True)

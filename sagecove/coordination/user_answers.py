"""Makes all answers to users.

What may still change is answered only to a `CoveredRequest`, so that no answer is older than its
request. Final states and records that never change may be answered from memory.
"""

from __future__ import annotations

import logging
from typing import Any, Protocol

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.effects import Effect, Reply
from sagecove.protocol import users as api
from sagecove.protocol.views import ClusterView, Explanation

log = logging.getLogger("sagecove.users")

RETRY_CONNECTED_S = 1.0
RETRY_UNCONNECTED_S = 2.0


class StateConnection(Protocol):
    """Tells whether the state service can be used."""

    def connected(self) -> bool:
        """Return whether the state service has answered recently."""


class AnswerContext(Protocol):
    """Interface that the answers require of the owner."""

    effects: list[Effect]

    @property
    def sync(self) -> StateConnection:
        """The connection with the state service."""


class UserAnswers:
    """Sends answers to users."""

    def __init__(self, context: AnswerContext) -> None:
        self.context = context

    # -- what may still change ------------------------------------------------------------------

    def report_live(self, request: CoveredRequest, body: Any, status: int = 200) -> None:
        """Answer with a state that may still change."""
        log.debug(
            "answered status=%d basis=%s revision=%d body=%s",
            *(status, request.basis.value, request.revision, body),
        )
        self._reply(request.exchange, status, body)

    def refuse_unknown(self, request: CoveredRequest, status: int, reason: str) -> None:
        """Refuse a request with 404 or 422, as the read that covers it shows that nothing of that
        id was ever accepted.
        """
        log.debug(
            "answered status=%d basis=%s revision=%d",
            *(status, request.basis.value, request.revision),
        )
        self._reply(request.exchange, status, api.Refusal(reason))

    # -- what never changes ---------------------------------------------------------------------

    def report_final(self, exchange: object, job: api.JobStatus) -> None:
        """Answer with the final state of a job.

        Raises `ValueError` if the state is not final.
        """
        if job.state not in api.FINAL_STATES:
            raise ValueError(f"state {job.state} of {job.id} is not final")
        self._reply(exchange, 200, job)

    def report_immutable(self, exchange: object, body: Any) -> None:
        """Answer with a record that is never changed, or with what follows from the request."""
        self._reply(exchange, 200, body)

    def refuse(self, exchange: object, status: int, reason: str) -> None:
        """Refuse a request for a reason that does not depend on any state that may change."""
        self._reply(exchange, status, api.Refusal(reason))

    def report_view(self, exchange: object, body: ClusterView | Explanation) -> None:
        """Answer with what this controller knows, which its body names. No state that users were
        told may be concluded from it.
        """
        self._reply(exchange, 200, body)

    # -- what users retry -----------------------------------------------------------------------

    def refuse_for_now(self, exchange: object, reason: str, retry_s: float = 1.0) -> None:
        """Answer 503 with the time after which to retry."""
        self._reply(exchange, 503, api.Refusal(reason), retry_s)

    def refuse_state_unavailable(self, exchange: object) -> None:
        """Answer 503 because the state service does not answer."""
        connected = self.context.sync.connected()
        retry_s = RETRY_CONNECTED_S if connected else RETRY_UNCONNECTED_S
        self.refuse_for_now(exchange, "the state service does not answer", retry_s)

    def _reply(
        self, exchange: object, status: int, body: Any, retry_s: float | None = None
    ) -> None:
        self.context.effects.append(Reply(exchange, status, body, retry_s))

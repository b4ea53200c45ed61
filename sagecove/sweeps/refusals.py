"""Tells users why a request about sweeps or templates is refused."""

from __future__ import annotations

import logging
from collections.abc import Callable

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.user_answers import UserAnswers
from sagecove.sweeps.admission import RequestRefused

log = logging.getLogger("sagecove.sweeps")


class Refusals:
    """Logs and sends refusals."""

    def __init__(self, answers: UserAnswers) -> None:
        self.answers = answers

    def refuse(self, exchange: object, refused: RequestRefused) -> None:
        """Refuse a request for a reason that does not depend on any state that may change."""
        self._log(refused)
        self.answers.refuse(exchange, refused.status, refused.reason)

    def refuse_unknown(self, request: CoveredRequest, refused: RequestRefused) -> None:
        """Refuse a request about what was never accepted, as far as its read shows."""
        self._log(refused)
        self.answers.refuse_unknown(request, refused.status, refused.reason)

    def refuse_on_error(self, exchange: object, call: Callable[[], None]) -> None:
        """Run a call; if it raises `RequestRefused`, answer the request so."""
        try:
            call()
        except RequestRefused as refused:
            self.refuse(exchange, refused)

    def _log(self, refused: RequestRefused) -> None:
        log.info("refused status=%d why=%s", refused.status, refused.reason)

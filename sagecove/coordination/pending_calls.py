"""The outgoing calls that wait for their outcome."""

from typing import Any

from sagecove.coordination.effects import OutgoingCall
from sagecove.coordination.interfaces import ResponseCallback


class PendingCalls:
    """Numbers outgoing calls and keeps the callbacks for their outcomes, by token."""

    def __init__(self) -> None:
        self.pending: dict[int, ResponseCallback] = {}
        self._last_token = 0

    def add(
        self,
        target: str,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        done: ResponseCallback,
    ) -> OutgoingCall:
        """Return a call to be sent; `done` is kept for its outcome."""
        self._last_token += 1
        self.pending[self._last_token] = done
        return OutgoingCall(self._last_token, target, method, path, body, timeout_s)

"""Requests that arrive once more after they were delivered, as network duplicates do.

Nobody waits for the answer to a copy. Copies of reports are in `network`.
"""

import dataclasses
import enum
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any


class RequestKind(enum.Enum):
    """The requests that can be copied one by one."""

    COMMAND = "command"
    PEER_REQUEST = "peer request"
    STATE_WRITE = "state write"
    USER_REQUEST = "user request"


@dataclasses.dataclass(frozen=True, slots=True)
class CopiedRequest:
    """A delivered request with its decoded content; source and target are names."""

    kind: RequestKind
    source: str
    target: str
    body: Any


class MessageCopies:
    """Schedules the copies of delivered requests; by default there are none.

    `call_later(delay_s, action)` runs an action after a delay.
    """

    def __init__(self, call_later: Callable[[float, Callable[[], None]], None]) -> None:
        self.call_later = call_later
        # Returns the seconds after which copies of a request arrive.
        self.delays_s: Callable[[CopiedRequest], Sequence[float]] | None = None
        self.copy_counts: Counter[RequestKind] = Counter()
        # How workers answered copies of commands: 200 means executed, 409 refused.
        self.command_copy_statuses: Counter[int] = Counter()

    def schedule(self, request: CopiedRequest, deliver: Callable[[], None]) -> None:
        """Deliver the copies of a request that has just been delivered."""
        if self.delays_s is None:
            return
        for delay_s in self.delays_s(request):
            self.copy_counts[request.kind] += 1
            self.call_later(delay_s, deliver)

"""What goes into the owner (commands) and what comes out (effects)."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """A request came in, from a user, a worker or a peer."""

    method: str
    path: str
    body: bytes
    exchange: Any
    from_peer: bool = False


@dataclasses.dataclass(slots=True)
class CallResult:
    """A call was answered; `status` None means no response, 0 that it was never sent."""

    token: int
    status: int | None
    body: bytes


@dataclasses.dataclass(slots=True)
class Reply:
    """Answer a request."""

    exchange: Any
    status: int
    body: Any
    retry_after: float | None = None


@dataclasses.dataclass(slots=True)
class OutgoingCall:
    """Send a request to `target`: state, cloud, or the address of a peer or worker."""

    token: int
    target: str
    method: str
    path: str
    body: Any
    timeout_s: float


Command = IncomingRequest | CallResult
Effect = Reply | OutgoingCall

"""Defines the owner's inputs (commands) and outputs (effects)."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """A request from a user, a worker or a peer."""

    method: str
    path: str
    body: bytes
    exchange: object
    from_peer: bool = False


@dataclasses.dataclass(slots=True)
class CallResult:
    """The outcome of an outgoing call; status None: no response, 0: never sent."""

    token: int
    status: int | None
    body: bytes


@dataclasses.dataclass(slots=True)
class Reply:
    """Sends the answer to a request."""

    exchange: Any
    status: int
    body: Any
    retry_after: float | None = None


@dataclasses.dataclass(slots=True)
class OutgoingCall:
    """Sends a request to `target`: "state", "cloud", or the address of a peer or worker."""

    token: int
    target: str
    method: str
    path: str
    body: Any
    timeout_s: float


Command = IncomingRequest | CallResult
Effect = Reply | OutgoingCall

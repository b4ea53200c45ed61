"""HTTP client on twisted.web's HTTPClient: keep-alive, a bounded pool per host, hard timeouts.

`None` as an answer means: no response. The request may have been executed, or may yet be.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.web import http

ResponseCallback = Callable[[int | None, bytes], None]

# A timer that fires so much late says that this process was not running.
LATE_S = 0.5


class _Call:
    __slots__ = ("data", "done", "due", "retried", "spared", "started", "timer")

    def __init__(self, data: bytes, done: ResponseCallback) -> None:
        self.data = data
        self.done: ResponseCallback | None = done
        self.timer: Any = None
        self.due = 0.0
        self.spared = False
        self.started = False
        self.retried = False

    def finish(self, status: int | None, body: bytes) -> None:
        done, self.done = self.done, None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if done is not None:
            done(status, body)


class _Wire(http.HTTPClient):
    """One connection, one request at a time."""

    MAX_LENGTH = 65536

    def __init__(self, pool: "Client") -> None:
        self.pool = pool
        self.call: _Call | None = None
        self.status = 0
        self.close = False
        self.chunked = False
        self.served = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.pool.ready(self)

    def send(self, call: _Call) -> None:
        self.call = call
        call.started = True
        self.firstLine = True
        self.length = None
        self._header = b""
        self.transport.write(call.data)

    def handleStatus(self, version: bytes, status: bytes, message: bytes) -> None:
        self.status = int(status)
        self.close = version == b"HTTP/1.0"

    def handleHeader(self, key: bytes, val: bytes) -> None:
        name = key.lower()
        if name == b"connection" and val.strip().lower() == b"close":
            self.close = True
        elif name == b"transfer-encoding":
            self.chunked = True

    def handleEndHeaders(self) -> None:
        if self.chunked:
            # Nobody here speaks it; an answer that cannot be read is no answer.
            self.transport.abortConnection()

    def setRawMode(self) -> None:
        super().setRawMode()
        if self.length == 0:
            self.handleResponseEnd()
            self.setLineMode()

    def handleResponse(self, response: bytes) -> None:
        whole = self.length == 0
        call, self.call = self.call, None
        self.served += 1
        if not whole or self.close:
            self.transport.loseConnection()
        else:
            self.pool.ready(self)
        if call is not None:
            call.finish(self.status if whole else None, response)

    def lineReceived(self, line: bytes) -> None:
        try:
            super().lineReceived(line)
        except (ValueError, IndexError):
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        call, self.call = self.call, None
        self.pool.lost(self)
        if call is not None:
            call.finish(None, b"")


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, pool: "Client") -> None:
        self.pool = pool

    def buildProtocol(self, addr: Any) -> _Wire:
        return _Wire(self.pool)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.pool.failed()


class Client:
    """Requests to one host."""

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        max_connections: int,
        connect_s: float,
        max_queued: int = 256,
    ) -> None:
        self.reactor = reactor
        self.host = host
        self.port = port
        self.max_connections = max_connections
        self.connect_s = connect_s
        self.max_queued = max_queued
        self.queue: deque[_Call] = deque()
        self.idle: list[_Wire] = []
        self.busy: set[_Wire] = set()
        self.opening = 0
        self.head = b"Host: %s:%d\r\n" % (host.encode(), port)
        self.last_used_at = 0.0

    def request(
        self, method: bytes, path: str, body: bytes | None, timeout: float, done: ResponseCallback
    ) -> None:
        """Send a request; `done(status, body)` is called exactly once, never from in here."""
        self.last_used_at = self.reactor.seconds()
        head = b"%s %s HTTP/1.1\r\n%s" % (method, path.encode(), self.head)
        if body is None:
            data = head + b"\r\n"
        else:
            data = head + (
                b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                % (len(body), body)
            )
        call = _Call(data, done)
        if len(self.queue) >= self.max_queued:
            self.reactor.callLater(0, call.finish, None, b"")
            return
        call.due = self.last_used_at + timeout
        call.timer = self.reactor.callLater(timeout, self._expired, call)
        self.queue.append(call)
        self._pump()

    def _pump(self) -> None:
        while self.queue and self.queue[0].done is None:
            self.queue.popleft()
        while self.queue and self.idle:
            wire = self.idle.pop()
            call = self.queue.popleft()
            if call.done is None:
                self.idle.append(wire)
                continue
            self.busy.add(wire)
            wire.send(call)
        waiting = len(self.queue)
        if (
            waiting > self.opening
            and len(self.busy) + len(self.idle) + self.opening < self.max_connections
        ):
            self.opening += 1
            self.reactor.connectTCP(self.host, self.port, _Factory(self), timeout=self.connect_s)

    def _expired(self, call: _Call) -> None:
        if not call.spared and self.reactor.seconds() - call.due > LATE_S:
            # This process stood still: timers run before sockets are read, and the answer may
            # well be there. Were it thrown away, all that was asked would be in doubt.
            call.spared = True
            call.timer = self.reactor.callLater(LATE_S / 4, self._expired, call)
            return
        for wire in self.busy:
            if wire.call is call:
                wire.call = None
                wire.transport.abortConnection()
                break
        call.finish(None, b"")

    def ready(self, wire: _Wire) -> None:
        """A connection is free."""
        if wire in self.busy:
            self.busy.discard(wire)
        elif wire.served == 0:
            self.opening -= 1
        self.idle.append(wire)
        self._pump()

    def lost(self, wire: _Wire) -> None:
        """A connection has ended."""
        self.busy.discard(wire)
        if wire in self.idle:
            self.idle.remove(wire)
        self.reactor.callLater(0, self._pump)

    def failed(self) -> None:
        """A connection could not be opened: whoever waits for one has no answer."""
        self.opening -= 1
        waiting, self.queue = self.queue, deque()
        for call in waiting:
            call.finish(None, b"")

    def close_idle(self) -> None:
        """Close connections nobody uses."""
        for wire in list(self.idle):
            wire.transport.loseConnection()

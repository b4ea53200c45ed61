"""HTTP client with keep-alive, a bounded connection pool per host and hard timeouts.

It is built on the HTTPClient of twisted.web. A status of `None` means that there was no response:
the request may have been executed, or may still be.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.web import http

ResponseCallback = Callable[[int | None, bytes], None]

# A timer that fires later than this shows that the process was not running.
PAUSE_DETECTION_S = 0.5


class _PendingRequest:
    """A request that is queued or sent, with its callback and timeout."""

    __slots__ = ("data", "done", "due_at", "retried", "timeout_extended", "started", "timer")

    def __init__(self, data: bytes, done: ResponseCallback) -> None:
        self.data = data
        self.done: ResponseCallback | None = done
        self.timer: Any = None
        self.due_at = 0.0
        self.timeout_extended = False
        self.started = False
        self.retried = False

    def finish(self, status: int | None, body: bytes) -> None:
        done, self.done = self.done, None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if done is not None:
            done(status, body)


class _Connection(http.HTTPClient):
    """A connection that carries one request at a time."""

    MAX_LENGTH = 65536

    def __init__(self, pool: "Client") -> None:
        self.pool = pool
        self.request: _PendingRequest | None = None
        self.status = 0
        self.close_after_response = False
        self.chunked = False
        self.response_count = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.pool.connection_ready(self)

    def send(self, request: _PendingRequest) -> None:
        self.request = request
        request.started = True
        self.firstLine = True
        self.length = None
        self._header = b""
        self.transport.write(request.data)

    def handleStatus(self, version: bytes, status: bytes, message: bytes) -> None:
        self.status = int(status)
        self.close_after_response = version == b"HTTP/1.0"

    def handleHeader(self, key: bytes, val: bytes) -> None:
        name = key.lower()
        if name == b"connection" and val.strip().lower() == b"close":
            self.close_after_response = True
        elif name == b"transfer-encoding":
            self.chunked = True

    def handleEndHeaders(self) -> None:
        if self.chunked:
            # Chunked responses are not supported: no service used here sends them, and a response
            # that cannot be read counts as none.
            self.transport.abortConnection()

    def setRawMode(self) -> None:
        super().setRawMode()
        if self.length == 0:
            self.handleResponseEnd()
            self.setLineMode()

    def handleResponse(self, response: bytes) -> None:
        complete = self.length == 0
        request, self.request = self.request, None
        self.response_count += 1
        if not complete or self.close_after_response:
            self.transport.loseConnection()
        else:
            self.pool.connection_ready(self)
        if request is not None:
            request.finish(self.status if complete else None, response)

    def lineReceived(self, line: bytes) -> None:
        try:
            super().lineReceived(line)
        except (ValueError, IndexError):
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        request, self.request = self.request, None
        self.pool.connection_lost(self)
        if request is not None:
            request.finish(None, b"")


class _Factory(ClientFactory):
    """Creates the connections of a client."""

    noisy = False

    def __init__(self, pool: "Client") -> None:
        self.pool = pool

    def buildProtocol(self, addr: Any) -> _Connection:
        return _Connection(self.pool)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.pool.connection_failed()


class Client:
    """Sends requests to one host over a pool of connections."""

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
        self.queue: deque[_PendingRequest] = deque()
        self.idle: list[_Connection] = []
        self.busy: set[_Connection] = set()
        self.opening_count = 0
        self.host_header = b"Host: %s:%d\r\n" % (host.encode(), port)
        self.last_used_at = 0.0

    def request(
        self, method: bytes, path: str, body: bytes | None, timeout_s: float, done: ResponseCallback
    ) -> None:
        """Send a request; `done(status, body)` is called exactly once, after this call returns."""
        self.last_used_at = self.reactor.seconds()
        head = b"%s %s HTTP/1.1\r\n%s" % (method, path.encode(), self.host_header)
        if body is None:
            data = head + b"\r\n"
        else:
            data = head + (
                b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                % (len(body), body)
            )
        request = _PendingRequest(data, done)
        if len(self.queue) >= self.max_queued:
            self.reactor.callLater(0, request.finish, None, b"")
            return
        request.due_at = self.last_used_at + timeout_s
        request.timer = self.reactor.callLater(timeout_s, self._timed_out, request)
        self.queue.append(request)
        self._send_queued()

    def _send_queued(self) -> None:
        while self.queue and self.queue[0].done is None:
            self.queue.popleft()
        while self.queue and self.idle:
            connection = self.idle.pop()
            request = self.queue.popleft()
            if request.done is None:
                self.idle.append(connection)
                continue
            self.busy.add(connection)
            connection.send(request)
        queued_requests = len(self.queue)
        if (
            queued_requests > self.opening_count
            and len(self.busy) + len(self.idle) + self.opening_count < self.max_connections
        ):
            self.opening_count += 1
            self.reactor.connectTCP(self.host, self.port, _Factory(self), timeout=self.connect_s)

    def _timed_out(self, request: _PendingRequest) -> None:
        if (
            not request.timeout_extended
            and self.reactor.seconds() - request.due_at > PAUSE_DETECTION_S
        ):
            # This process was paused. Timers run before sockets are read, so the response may
            # have arrived already. Dropping it would leave the outcome of every open request
            # unknown.
            request.timeout_extended = True
            request.timer = self.reactor.callLater(PAUSE_DETECTION_S / 4, self._timed_out, request)
            return
        for connection in self.busy:
            if connection.request is request:
                connection.request = None
                connection.transport.abortConnection()
                break
        request.finish(None, b"")

    def connection_ready(self, connection: _Connection) -> None:
        """Use a connection that has become free for the next request."""
        if connection in self.busy:
            self.busy.discard(connection)
        elif connection.response_count == 0:
            self.opening_count -= 1
        self.idle.append(connection)
        self._send_queued()

    def connection_lost(self, connection: _Connection) -> None:
        """Forget a connection that has been closed."""
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.reactor.callLater(0, self._send_queued)

    def connection_failed(self) -> None:
        """Fail all queued requests, as a connection could not be opened."""
        self.opening_count -= 1
        queued_requests, self.queue = self.queue, deque()
        for request in queued_requests:
            request.finish(None, b"")

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in list(self.idle):
            connection.transport.loseConnection()

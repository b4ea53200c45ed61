"""HTTP server on the channel of twisted.web, without its resource tree.

No client can lock out the others. A connection that does not complete a request is dropped after
a timeout, or at once, oldest first, when sockets run out. All users come through the load
balancer, so the connections of an address are not limited while sockets are left; when there are
none, the address with the most idle connections loses one.
"""

import io
import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.web import http

BODY_LIMIT_BYTES = 64 * 1024
# For the request line and the headers together.
HEADERS_LIMIT_BYTES = 8 * 1024
# Timeouts as multiples of the interval between two reports of a worker: for the head of a request
# from its first byte (or the start of the connection), for the body after that, and for
# a connection without a request.
HEAD_TIMEOUT_RATIO, BODY_TIMEOUT_RATIO, IDLE_TIMEOUT_RATIO = 2, 4, 40
# Between two checks for connections that have timed out, and between two log lines about them.
CHECK_INTERVAL_S, LOG_INTERVAL_S = 1.0, 10.0

log = logging.getLogger("sagecove.server")


class Exchange(http.Request):
    """A request; `reply` may be called once, at any time, even if the client has disconnected."""

    _client_gone = False
    _body_too_long = False

    def gotLength(self, length: int | None) -> None:
        """Keep the body in memory, as its size is limited and there is no disk to write it to."""
        self.content = io.BytesIO()
        if length is not None and length > BODY_LIMIT_BYTES:
            self.channel.reject(b"413 Content Too Large", b"the body is longer than 64 KiB")

    def handleContentChunk(self, data: bytes) -> None:
        """Collect the body up to the limit of the protocol; the rest is read and discarded."""
        if self.content.tell() + len(data) > BODY_LIMIT_BYTES:
            self._body_too_long = True
        else:
            self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process a complete request without parsing forms and cookies.

        twisted parses both first. No client sends them here, and that parsing costs as much as
        all the other work on a worker's report.
        """
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path
        self.process()

    def process(self) -> None:
        """Pass a complete request to the handler."""
        self.notifyFinish().addErrback(self._connection_ended)
        if self._body_too_long:
            self.reply(413, b'{"error":"the body is longer than 64 KiB"}')
            return
        handler: Callable[[str, str, bytes, Exchange], None] = self.channel.factory.handler
        path = self.path.decode("latin-1")
        handler(self.method.decode("latin-1"), path, self.content.getvalue(), self)

    def _connection_ended(self, _reason: Any) -> None:
        self._client_gone = True

    def reply(self, status: int, body: bytes, retry_after: float | None = None) -> None:
        """Send the response, unless the client has disconnected."""
        if self._client_gone or self.finished:
            return
        self.setResponseCode(status)
        headers = self.responseHeaders
        headers.setRawHeaders(b"content-type", [b"application/json"])
        headers.setRawHeaders(b"content-length", [b"%d" % len(body)])
        if retry_after is not None:
            headers.setRawHeaders(b"retry-after", [b"%d" % max(1, round(retry_after))])
        self.write(body)
        self.finish()


class Server(ServerFactory):
    """Accepts connections and passes each request to `handler(method, path, body, exchange)`.

    At most `max_connections` are open at a time. The timeouts are multiples of `report_s`, the
    seconds between two reports of a worker.
    """

    def __init__(
        self,
        handler: Callable[[str, str, bytes, Exchange], None],
        reactor: Any,
        max_connections: int,
        report_s: float = 3.0,
    ) -> None:
        self.handler = handler
        self.reactor = reactor
        self.max_connections = max_connections
        self.head_timeout_s = HEAD_TIMEOUT_RATIO * report_s
        self.body_timeout_s = BODY_TIMEOUT_RATIO * report_s
        self.idle_timeout_s = IDLE_TIMEOUT_RATIO * report_s
        self.open_count = 0
        # Connections with an incomplete request, and connections that wait for a request; oldest
        # first.
        self.incomplete: dict[_Channel, None] = {}
        self.idle: dict[_Channel, None] = {}
        self.dropped_counts: Counter[str] = Counter()
        self.logged_at = 0.0
        self.next_check_at = 0.0
        self.check_timer: Any = None

    def startFactory(self) -> None:
        """Start the check for timed-out connections when the server begins to listen."""
        self._schedule_check()

    def stopFactory(self) -> None:
        """Stop the check for timed-out connections when the server stops listening."""
        self.check_timer.cancel()

    def _schedule_check(self) -> None:
        self.next_check_at = self.reactor.seconds() + CHECK_INTERVAL_S
        self.check_timer = self.reactor.callLater(CHECK_INTERVAL_S, self._check_timeouts)

    def _check_timeouts(self) -> None:
        """Drop connections that have timed out, and log how many were dropped or refused."""
        now = self.reactor.seconds()
        late_s = now - self.next_check_at
        if late_s > CHECK_INTERVAL_S / 2:
            # This process was paused, so data that arrived meanwhile has not been read yet.
            for channel in (*self.incomplete, *self.idle):
                channel.due_at += late_s
        self._schedule_check()
        for channel in [channel for channel in self.incomplete if now > channel.due_at]:
            self.drop(channel, "slow")
        for channel in [channel for channel in self.idle if now > channel.due_at]:
            channel.transport.loseConnection()
        if self.dropped_counts and now - self.logged_at > LOG_INTERVAL_S:
            self.logged_at = now
            reasons = " ".join(
                f"{why}={count}" for why, count in sorted(self.dropped_counts.items())
            )
            log.info("connections turned away open=%d %s", self.open_count, reasons)
            self.dropped_counts.clear()

    def drop(self, channel: "_Channel", why: str) -> None:
        """Abort a connection and count the reason."""
        self.dropped_counts[why] += 1
        self.incomplete.pop(channel, None)
        self.idle.pop(channel, None)
        channel.transport.abortConnection()

    def _free_connection(self) -> bool:
        """Drop a connection to free its socket; return whether one was found.

        The oldest connection with an incomplete request is dropped. If there is none, the address
        with the most idle connections loses the one that has been idle for longest.
        """
        if self.incomplete:
            self.drop(next(iter(self.incomplete)), "evicted")
            return True
        if self.idle:
            counts = Counter(channel.peer_host for channel in self.idle)
            host, most = counts.most_common(1)[0]
            if most > 1:
                self.drop(
                    next(channel for channel in self.idle if channel.peer_host == host), "evicted"
                )
                return True
        self.dropped_counts["refused"] += 1
        return False

    def buildProtocol(self, addr: Any) -> Any:
        """Return a channel for a new connection, or None if no socket is left for it."""
        if self.open_count >= self.max_connections and not self._free_connection():
            return None
        channel = _Channel()
        channel.requestFactory = Exchange
        channel.factory = self
        channel.site = self
        channel.callLater = self.reactor.callLater
        # The server checks the timeouts of all connections itself.
        channel.timeOut = None
        channel.peer_host = getattr(addr, "host", "")
        channel.expect_request()
        self.open_count += 1
        return channel

    def log(self, request: Any) -> None:
        """Write no access log, as the service logs requests at level `debug`."""


class _Channel(http.HTTPChannel):
    """A connection: incomplete until a request has fully arrived, then busy, then idle."""

    totalHeadersSize = HEADERS_LIMIT_BYTES
    MAX_LENGTH = HEADERS_LIMIT_BYTES
    due_at = 0.0
    peer_host = ""
    rejected = False

    def expect_request(self) -> None:
        """Expect a request, and start the timeout for its head."""
        server = self.factory
        self.due_at = server.reactor.seconds() + server.head_timeout_s
        server.incomplete[self] = None

    def dataReceived(self, data: bytes) -> None:
        if self.rejected:
            return
        if self in self.factory.idle:
            del self.factory.idle[self]
            self.expect_request()
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        server = self.factory
        self.due_at = server.reactor.seconds() + server.body_timeout_s
        super().allHeadersReceived()

    def allContentReceived(self) -> None:
        if self.rejected:
            return
        self.factory.incomplete.pop(self, None)
        self.factory.idle.pop(self, None)
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:
        server = self.factory
        self.due_at = server.reactor.seconds() + server.idle_timeout_s
        server.idle[self] = None
        super().requestDone(request)

    def reject(self, status: bytes, why: bytes) -> None:
        """Answer a request with an error before it is complete, and read no more of it."""
        self.rejected = True
        self.factory.dropped_counts[status[:3].decode()] += 1
        body = b'{"error":"%s"}' % why
        self.transport.write(
            b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s" % (status, len(body), body)
        )
        self.transport.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        if self._receivedHeaderSize > self.totalHeadersSize:
            self.lineLengthExceeded(b"")
        elif not self.rejected:
            self.reject(b"400 Bad Request", b"not HTTP as it should be")

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self.rejected:
            self.reject(b"431 Request Header Fields Too Large", b"the headers are too long")

    def connectionLost(self, reason: Any) -> None:
        self.factory.open_count -= 1
        self.factory.incomplete.pop(self, None)
        self.factory.idle.pop(self, None)
        super().connectionLost(reason)

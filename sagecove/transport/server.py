"""HTTP server on twisted.web's channel, without the resource tree: a handful of fixed paths.

Nobody locks the others out: a connection that never completes a request is dropped after a while,
and at once, oldest first, when sockets run out. All users come through the load balancer, so no
address is held to a share while there is room; when there is none, the address with the most idle
connections gives one up.
"""

import io
import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.web import http

BODY_MOST = 64 * 1024
# A request line and headers may have so many bytes together.
HEADERS_MOST = 8 * 1024
# Ratios to the pace of workers' reports: the time that a request's head may take from its first
# byte (or the connection's start), its body after that, and a connection without a request.
HEAD_PACES, BODY_PACES, IDLE_PACES = 2, 4, 40
# Between two looks for connections whose time is over, and between two lines that tell of them.
LOOK_S, TOLD_S = 1.0, 10.0

log = logging.getLogger("sagecove.server")


class Exchange(http.Request):
    """One request. `reply` may be called once, now or later, even if the client has gone."""

    _gone = False
    _too_long = False

    def gotLength(self, length: int | None) -> None:
        """Keep bodies in memory: they are bounded, and the disk does not exist."""
        self.content = io.BytesIO()
        if length is not None and length > BODY_MOST:
            self.channel.refuse(b"413 Content Too Large", b"the body is longer than 64 KiB")

    def handleContentChunk(self, data: bytes) -> None:
        """Collect the body up to the protocol's limit; what is beyond is read and thrown away."""
        if self.content.tell() + len(data) > BODY_MOST:
            self._too_long = True
        else:
            self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """All of a request is here. twisted would look into forms and cookies first, which nobody
        sends here and which costs as much as all the rest of a worker's report."""
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path
        self.process()

    def process(self) -> None:
        """The request is complete."""
        self.notifyFinish().addErrback(self._lost)
        if self._too_long:
            self.reply(400, b'{"error":"the body is longer than 64 KiB"}')
            return
        handler: Callable[[str, str, bytes, Exchange], None] = self.channel.factory.handler
        path = self.path.decode("latin-1")
        handler(self.method.decode("latin-1"), path, self.content.getvalue(), self)

    def _lost(self, _reason: Any) -> None:
        self._gone = True

    def reply(self, status: int, body: bytes, retry_after: float | None = None) -> None:
        """Answer the request."""
        if self._gone or self.finished:
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

    `most`: connections at one time; `pace`: seconds between two reports of a worker."""

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
        self.head_s = HEAD_PACES * report_s
        self.body_s = BODY_PACES * report_s
        self.idle_s = IDLE_PACES * report_s
        self.open_count = 0
        # Connections whose next request is not complete, and such that wait for one; oldest first.
        self.incomplete: dict[_Channel, None] = {}
        self.idle: dict[_Channel, None] = {}
        self.turned_away: Counter[str] = Counter()
        self.told_at = 0.0
        self.look_at = 0.0
        self.looking: Any = None

    def startFactory(self) -> None:
        """Listening begins."""
        self._look_later()

    def stopFactory(self) -> None:
        """Listening ends."""
        self.looking.cancel()

    def _look_later(self) -> None:
        self.look_at = self.reactor.seconds() + LOOK_S
        self.looking = self.reactor.callLater(LOOK_S, self._look)

    def _look(self) -> None:
        """Drop the connections whose time is over, and tell how many were turned away."""
        now = self.reactor.seconds()
        late = now - self.look_at
        if late > LOOK_S / 2:
            # This process stood still: what came meanwhile has not been read yet.
            for channel in (*self.incomplete, *self.idle):
                channel.due += late
        self._look_later()
        for channel in [c for c in self.incomplete if now > c.due]:
            self.turn_away(channel, "slow")
        for channel in [c for c in self.idle if now > c.due]:
            channel.transport.loseConnection()
        if self.turned_away and now - self.told_at > TOLD_S:
            self.told_at = now
            told = " ".join(f"{why}={count}" for why, count in sorted(self.turned_away.items()))
            log.info("connections turned away open=%d %s", self.open_count, told)
            self.turned_away.clear()

    def turn_away(self, channel: "_Channel", why: str) -> None:
        """End a connection at once."""
        self.turned_away[why] += 1
        self.incomplete.pop(channel, None)
        self.idle.pop(channel, None)
        channel.transport.abortConnection()

    def _make_room(self) -> bool:
        """Out of sockets: the oldest connection without a whole request makes room; else, of the
        address that has most, the one that has been idle for longest."""
        if self.incomplete:
            self.turn_away(next(iter(self.incomplete)), "evicted")
            return True
        if self.idle:
            counts = Counter(channel.peer for channel in self.idle)
            peer, most = counts.most_common(1)[0]
            if most > 1:
                self.turn_away(next(c for c in self.idle if c.peer == peer), "evicted")
                return True
        self.turned_away["refused"] += 1
        return False

    def buildProtocol(self, addr: Any) -> Any:
        """A channel for a new connection, or none when the process is out of sockets."""
        if self.open_count >= self.max_connections and not self._make_room():
            return None
        channel = _Channel()
        channel.requestFactory = Exchange
        channel.factory = self
        channel.site = self
        channel.callLater = self.reactor.callLater
        # The server keeps time for all of them.
        channel.timeOut = None
        channel.peer = getattr(addr, "host", "")
        channel.begin()
        self.open_count += 1
        return channel

    def log(self, request: Any) -> None:
        """No access log: requests are logged by the service at `debug`."""


class _Channel(http.HTTPChannel):
    """A connection: `half` until a request is there as a whole, then busy, then idle."""

    totalHeadersSize = HEADERS_MOST
    MAX_LENGTH = HEADERS_MOST
    due = 0.0
    peer = ""
    refused = False

    def begin(self) -> None:
        """A request may be on its way from now on."""
        server = self.factory
        self.due = server.reactor.seconds() + server.head_s
        server.incomplete[self] = None

    def dataReceived(self, data: bytes) -> None:
        if self.refused:
            return
        if self in self.factory.idle:
            del self.factory.idle[self]
            self.begin()
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        server = self.factory
        self.due = server.reactor.seconds() + server.body_s
        super().allHeadersReceived()

    def allContentReceived(self) -> None:
        if self.refused:
            return
        self.factory.incomplete.pop(self, None)
        self.factory.idle.pop(self, None)
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:
        server = self.factory
        self.due = server.reactor.seconds() + server.idle_s
        server.idle[self] = None
        super().requestDone(request)

    def refuse(self, status: bytes, why: bytes) -> None:
        """Answer before the request is there as a whole, and read no more of it."""
        self.refused = True
        self.factory.turned_away[status[:3].decode()] += 1
        body = b'{"error":"%s"}' % why
        self.transport.write(
            b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s" % (status, len(body), body)
        )
        self.transport.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        if self._receivedHeaderSize > self.totalHeadersSize:
            self.lineLengthExceeded(b"")
        elif not self.refused:
            self.refuse(b"400 Bad Request", b"not HTTP as it should be")

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self.refused:
            self.refuse(b"431 Request Header Fields Too Large", b"the headers are too long")

    def connectionLost(self, reason: Any) -> None:
        self.factory.open_count -= 1
        self.factory.incomplete.pop(self, None)
        self.factory.idle.pop(self, None)
        super().connectionLost(reason)

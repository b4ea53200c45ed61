"""HTTP server on twisted.web's channel, without the resource tree: a handful of fixed paths."""

import io
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.web import http

BODY_MOST = 64 * 1024
# A peer that opened a connection and says nothing is dropped after this many seconds.
IDLE_S = 120


class Exchange(http.Request):
    """One request. `reply` may be called once, now or later, even if the client has gone."""

    _gone = False
    _too_long = False

    def gotLength(self, length: int | None) -> None:
        """Keep bodies in memory: they are bounded, and the disk does not exist."""
        self.content = io.BytesIO()

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
    """Accepts connections and passes each request to `handler(method, path, body, exchange)`."""

    def __init__(
        self, handler: Callable[[str, str, bytes, Exchange], None], reactor: Any, most: int
    ) -> None:
        self.handler = handler
        self.reactor = reactor
        self.open = 0
        self.most = most

    def buildProtocol(self, addr: Any) -> Any:
        """A channel for a new connection, or none when the process is out of sockets."""
        if self.open >= self.most:
            return None
        channel = _Channel()
        channel.requestFactory = Exchange
        channel.factory = self
        channel.site = self
        channel.callLater = self.reactor.callLater
        channel.timeOut = IDLE_S
        self.open += 1
        return channel

    def log(self, request: Any) -> None:
        """No access log: requests are logged by the service at `debug`."""


class _Channel(http.HTTPChannel):
    """Counts open connections, so that their number stays bounded."""

    def connectionLost(self, reason: Any) -> None:
        self.factory.open -= 1
        super().connectionLost(reason)

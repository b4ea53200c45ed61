"""The HTTP server and client, on in-memory transports with a fake clock.

The server must serve users while other clients hold connections open without completing requests;
the client must call back exactly once, also after timeouts, broken responses and a paused process.
"""

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from sagecove.transport.client import Client
from sagecove.transport.server import BODY_LIMIT_BYTES, Server


def connect(handler: Any) -> tuple[Any, StringTransport]:
    channel = Server(handler, MemoryReactorClock(), 10).buildProtocol(None)
    transport = StringTransport()
    transport.abortConnection = transport.loseConnection  # type: ignore[attr-defined]
    channel.makeConnection(transport)
    return channel, transport


def test_server_answers_several_requests_on_one_connection() -> None:
    requests: list[tuple[str, str, bytes]] = []

    def handler(method: str, path: str, body: bytes, exchange: Any) -> None:
        requests.append((method, path, body))
        exchange.reply(503, b'{"a":1}', 2.0)

    channel, transport = connect(handler)
    for _ in range(2):
        channel.dataReceived(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
    assert requests == [("POST", "/x", b"hi")] * 2
    answer = transport.value().lower()
    assert answer.count(b"http/1.1 503") == 2
    assert answer.count(b"retry-after: 2\r\n") == 2 and b"content-length: 7\r\n" in answer


def test_server_rejects_a_body_over_the_limit() -> None:
    channel, transport = connect(lambda *_: None)
    length = BODY_LIMIT_BYTES + 1
    channel.dataReceived(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length)
    assert transport.value().startswith(b"HTTP/1.1 413") and transport.disconnecting


def test_reply_to_a_disconnected_client_is_dropped() -> None:
    waiting: list[Any] = []
    channel, transport = connect(lambda m, p, b, exchange: waiting.append(exchange))
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
    channel.connectionLost(Failure(ConnectionDone()))
    waiting[0].reply(200, b"{}")
    assert not transport.value()


class ServerHarness:
    """A server with few sockets, and the connections to it."""

    def __init__(self, most: int = 4) -> None:
        self.reactor = MemoryReactorClock()
        self.server = Server(lambda m, p, b, e: e.reply(200, b"{}"), self.reactor, most, 3.0)
        self.server.startFactory()

    def open(self, host: str = "10.0.0.9") -> tuple[Any, StringTransport] | None:
        channel = self.server.buildProtocol(IPv4Address("TCP", host, 1))
        if channel is None:
            return None
        transport = StringTransport()

        def close() -> None:
            if transport.connected:
                transport.connected, transport.disconnecting = False, True
                channel.connectionLost(Failure(ConnectionDone()))

        transport.abortConnection = transport.loseConnection = close  # type: ignore[method-assign]
        channel.makeConnection(transport)
        return channel, transport


REQUEST = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"


def test_oldest_incomplete_request_is_dropped_for_a_new_connection() -> None:
    # 800 connections that sent half a line and stopped kept a controller from serving others.
    harness = ServerHarness()
    incomplete_requests = [harness.open() for _ in range(4)]
    for incomplete_request in incomplete_requests:
        assert incomplete_request is not None
        incomplete_request[0].dataReceived(b"GET /rea")
    user = harness.open("10.0.0.1")
    assert user is not None and harness.server.open_count == 4
    user[0].dataReceived(REQUEST)
    assert user[1].value().startswith(b"HTTP/1.1 200")
    assert [
        incomplete_request[1].connected
        for incomplete_request in incomplete_requests
        if incomplete_request
    ] == [False, True, True, True]
    for _ in range(20):
        assert harness.open() is not None
    # The connection that has made a request is idle and is not dropped for the others.
    assert user[1].connected and harness.server.dropped_counts["evicted"] == 21


def test_address_with_most_idle_connections_loses_one() -> None:
    harness = ServerHarness()
    users = [harness.open(host) for host in ("10.0.0.1", "10.0.0.9", "10.0.0.9", "10.0.0.2")]
    for user in users:
        assert user is not None
        user[0].dataReceived(REQUEST)
    new = harness.open("10.0.0.3")
    assert new is not None
    new[0].dataReceived(REQUEST)
    assert [user[1].connected for user in users if user] == [True, False, True, True]
    # With one connection per address none is dropped, so the new connection is refused.
    assert harness.open("10.0.0.4") is None


def test_slow_bytes_do_not_extend_request_timeouts() -> None:
    harness = ServerHarness()
    slow, idle = harness.open(), harness.open()
    assert slow is not None and idle is not None
    idle[0].dataReceived(REQUEST)
    for byte in b"GET /rea":
        slow[0].dataReceived(bytes([byte]))
        harness.reactor.advance(1.0)
    assert not slow[1].connected and idle[1].connected
    # The body has a timeout of its own.
    body = harness.open()
    assert body is not None
    body[0].dataReceived(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab")
    harness.reactor.pump([1.0] * 11)
    assert body[1].connected
    harness.reactor.pump([1.0] * 3)
    assert not body[1].connected
    harness.reactor.pump([1.0] * 120)
    assert not idle[1].connected


def test_server_reads_waiting_data_after_a_process_pause() -> None:
    harness = ServerHarness()
    incomplete_request = harness.open()
    assert incomplete_request is not None
    harness.reactor.advance(30.0)
    assert incomplete_request[1].connected
    incomplete_request[0].dataReceived(REQUEST)
    assert incomplete_request[1].value().startswith(b"HTTP/1.1 200")


def test_long_headers_and_bodies_are_rejected_at_once() -> None:
    harness = ServerHarness()
    for text, status in (
        (b"GET /" + b"x" * 9000, b"431"),
        (
            b"GET /x HTTP/1.1\r\n" + b"A: " + b"y" * 3000 + b"\r\nB: " + b"z" * 6000 + b"\r\n",
            b"431",
        ),
        (b"POST /x HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", b"413"),
        (b"nonsense\r\n\r\n", b"400"),
    ):
        opened = harness.open()
        assert opened is not None
        opened[0].dataReceived(text)
        assert opened[1].value().startswith(b"HTTP/1.1 " + status), opened[1].value()
        assert not opened[1].connected and harness.server.open_count == 0


def test_chunked_body_over_the_limit_is_not_called_malformed() -> None:
    # A repeated submission of a known job that gets 400 counts as forgotten; 413 is retried.
    channel, transport = connect(lambda *_: None)
    channel.dataReceived(b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(2):
        channel.dataReceived(b"8001\r\n" + b" " * 0x8001 + b"\r\n")
    channel.dataReceived(b"0\r\n\r\n")
    assert transport.value().startswith(b"HTTP/1.1 413")


class ClientHarness:
    """A client, and the other end of its connections."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.client = Client(self.reactor, "10.0.0.1", 80, 2, 2.0)
        self.responses: list[tuple[int | None, bytes]] = []

    def send_request(self, path: str = "/x", timeout: float = 5.0) -> None:
        self.client.request(
            b"POST", path, b"{}", timeout, lambda s, b: self.responses.append((s, b))
        )

    def open(self, number: int) -> tuple[Any, StringTransport]:
        factory = self.reactor.tcpClients[number][2]
        connection = factory.buildProtocol(None)
        transport = StringTransport()
        transport.setTcpNoDelay = lambda on: None  # type: ignore[attr-defined]
        transport.abortConnection = transport.loseConnection  # type: ignore[attr-defined]
        connection.makeConnection(transport)
        return connection, transport


def test_client_reuses_its_connection() -> None:
    harness = ClientHarness()
    harness.send_request("/one")
    connection, transport = harness.open(0)
    assert transport.value().startswith(b"POST /one HTTP/1.1\r\n")
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
    harness.send_request("/two")
    assert b"POST /two" in transport.value() and len(harness.reactor.tcpClients) == 1
    connection.dataReceived(b"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n")
    assert harness.responses == [(200, b"ab"), (409, b"")]


def test_client_ignores_a_response_after_the_timeout() -> None:
    harness = ClientHarness()
    harness.send_request(timeout=1.0)
    connection, transport = harness.open(0)
    harness.reactor.advance(1.1)
    assert harness.responses == [(None, b"")] and transport.disconnecting
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert len(harness.responses) == 1


def test_invalid_and_incomplete_responses_count_as_none() -> None:
    harness = ClientHarness()
    harness.send_request()
    connection, transport = harness.open(0)
    connection.dataReceived(b"what is this\r\n\r\n")
    assert transport.disconnecting
    connection.connectionLost(Failure(ConnectionDone()))
    harness.send_request()
    connection, _ = harness.open(1)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    connection.connectionLost(Failure(ConnectionDone()))
    assert harness.responses == [(None, b""), (None, b"")]


def test_client_waits_for_responses_after_a_process_pause() -> None:
    # Timers run before sockets are read: after a pause of the process all open requests were given
    # up, although their responses had arrived.
    reactor = MemoryReactorClock()
    client = Client(reactor, "127.0.0.1", 1, 1, 2.0)
    given_up: list[int | None] = []
    client.request(b"GET", "/", None, 3.0, lambda status, body: given_up.append(status))
    reactor.advance(30.0)
    assert not given_up
    reactor.advance(0.5)
    assert given_up == [None]
    # Without a pause the request ends at its timeout.
    client.request(b"GET", "/", None, 3.0, lambda status, body: given_up.append(status))
    reactor.advance(3.1)
    assert given_up == [None, None]

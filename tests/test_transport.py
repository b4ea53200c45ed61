"""Stories of the HTTP server and client on in-memory transports and a fake clock."""

from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from sagecove.transport.client import Client
from sagecove.transport.server import BODY_MOST, Server


def connect(handler: Any) -> tuple[Any, StringTransport]:
    channel = Server(handler, MemoryReactorClock(), 10).buildProtocol(None)
    transport = StringTransport()
    transport.abortConnection = transport.loseConnection  # type: ignore[attr-defined]
    channel.makeConnection(transport)
    return channel, transport


def test_server_answers_on_one_connection_again_and_again() -> None:
    asked: list[tuple[str, str, bytes]] = []

    def handler(method: str, path: str, body: bytes, exchange: Any) -> None:
        asked.append((method, path, body))
        exchange.reply(503, b'{"a":1}', 2.0)

    channel, transport = connect(handler)
    for _ in range(2):
        channel.dataReceived(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
    assert asked == [("POST", "/x", b"hi")] * 2
    answer = transport.value().lower()
    assert answer.count(b"http/1.1 503") == 2
    assert answer.count(b"retry-after: 2\r\n") == 2 and b"content-length: 7\r\n" in answer


def test_server_refuses_a_body_over_the_limit() -> None:
    channel, transport = connect(lambda *_: None)
    length = BODY_MOST + 1
    channel.dataReceived(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length)
    channel.dataReceived(b"x" * length)
    assert transport.value().startswith(b"HTTP/1.1 400")


def test_a_reply_to_a_client_that_has_gone_is_dropped() -> None:
    waiting: list[Any] = []
    channel, transport = connect(lambda m, p, b, exchange: waiting.append(exchange))
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
    channel.connectionLost(Failure(ConnectionDone()))
    waiting[0].reply(200, b"{}")
    assert not transport.value()


class Link:
    """A client whose connections end here."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.client = Client(self.reactor, "10.0.0.1", 80, 2, 2.0)
        self.got: list[tuple[int | None, bytes]] = []

    def ask(self, path: str = "/x", timeout: float = 5.0) -> None:
        self.client.request(b"POST", path, b"{}", timeout, lambda s, b: self.got.append((s, b)))

    def open(self, number: int) -> tuple[Any, StringTransport]:
        factory = self.reactor.tcpClients[number][2]
        wire = factory.buildProtocol(None)
        transport = StringTransport()
        transport.setTcpNoDelay = lambda on: None  # type: ignore[attr-defined]
        transport.abortConnection = transport.loseConnection  # type: ignore[attr-defined]
        wire.makeConnection(transport)
        return wire, transport


def test_client_keeps_its_connection() -> None:
    link = Link()
    link.ask("/one")
    wire, transport = link.open(0)
    assert transport.value().startswith(b"POST /one HTTP/1.1\r\n")
    wire.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
    link.ask("/two")
    assert b"POST /two" in transport.value() and len(link.reactor.tcpClients) == 1
    wire.dataReceived(b"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n")
    assert link.got == [(200, b"ab"), (409, b"")]


def test_client_times_out_and_takes_no_late_answer() -> None:
    link = Link()
    link.ask(timeout=1.0)
    wire, transport = link.open(0)
    link.reactor.advance(1.1)
    assert link.got == [(None, b"")] and transport.disconnecting
    wire.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert len(link.got) == 1


def test_garbage_and_half_answers_are_no_answer() -> None:
    link = Link()
    link.ask()
    wire, transport = link.open(0)
    wire.dataReceived(b"what is this\r\n\r\n")
    assert transport.disconnecting
    wire.connectionLost(Failure(ConnectionDone()))
    link.ask()
    wire, _ = link.open(1)
    wire.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    wire.connectionLost(Failure(ConnectionDone()))
    assert link.got == [(None, b""), (None, b"")]


def test_a_process_that_stood_still_looks_for_answers_before_it_gives_up() -> None:
    # Timers run before sockets are read: after a stop all that had been asked was thrown away,
    # although the answers were there.
    reactor = MemoryReactorClock()
    client = Client(reactor, "127.0.0.1", 1, 1, 2.0)
    given_up: list[int | None] = []
    client.request(b"GET", "/", None, 3.0, lambda status, body: given_up.append(status))
    reactor.advance(30.0)
    assert not given_up
    reactor.advance(0.5)
    assert given_up == [None]
    # In its usual time it gives up when it should.
    client.request(b"GET", "/", None, 3.0, lambda status, body: given_up.append(status))
    reactor.advance(3.1)
    assert given_up == [None, None]

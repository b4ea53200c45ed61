"""Stories of the HTTP server and client on in-memory transports and a fake clock."""

from typing import Any

from twisted.internet.address import IPv4Address
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
    assert transport.value().startswith(b"HTTP/1.1 413") and transport.disconnecting


def test_a_reply_to_a_client_that_has_gone_is_dropped() -> None:
    waiting: list[Any] = []
    channel, transport = connect(lambda m, p, b, exchange: waiting.append(exchange))
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
    channel.connectionLost(Failure(ConnectionDone()))
    waiting[0].reply(200, b"{}")
    assert not transport.value()


class Crowd:
    """A server with few sockets, and its connections."""

    def __init__(self, most: int = 4) -> None:
        self.reactor = MemoryReactorClock()
        self.server = Server(lambda m, p, b, e: e.reply(200, b"{}"), self.reactor, most, 3.0)
        self.server.startFactory()

    def open(self, host: str = "10.0.0.9") -> tuple[Any, StringTransport] | None:
        channel = self.server.buildProtocol(IPv4Address("TCP", host, 1))
        if channel is None:
            return None
        transport = StringTransport()

        def lose() -> None:
            if transport.connected:
                transport.connected, transport.disconnecting = False, True
                channel.connectionLost(Failure(ConnectionDone()))

        transport.abortConnection = transport.loseConnection = lose  # type: ignore[method-assign]
        channel.makeConnection(transport)
        return channel, transport


ASK = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"


def test_half_requests_make_room_for_whole_ones_oldest_first() -> None:
    # Eight hundred connections that sent half a line and stopped kept a controller deaf.
    crowd = Crowd()
    halves = [crowd.open() for _ in range(4)]
    for half in halves:
        assert half is not None
        half[0].dataReceived(b"GET /rea")
    user = crowd.open("10.0.0.1")
    assert user is not None and crowd.server.open_count == 4
    user[0].dataReceived(ASK)
    assert user[1].value().startswith(b"HTTP/1.1 200")
    assert [half[1].connected for half in halves if half] == [False, True, True, True]
    for _ in range(20):
        assert crowd.open() is not None
    # The one that has made a request is idle, and is not what the others make room with.
    assert user[1].connected and crowd.server.turned_away["evicted"] == 21


def test_idle_connections_of_the_address_that_has_most_make_room() -> None:
    crowd = Crowd()
    users = [crowd.open(host) for host in ("10.0.0.1", "10.0.0.9", "10.0.0.9", "10.0.0.2")]
    for user in users:
        assert user is not None
        user[0].dataReceived(ASK)
    new = crowd.open("10.0.0.3")
    assert new is not None
    new[0].dataReceived(ASK)
    assert [user[1].connected for user in users if user] == [True, False, True, True]
    # One each: nobody has too many, and a whole request is never given up for a new connection.
    assert crowd.open("10.0.0.4") is None


def test_a_request_has_its_time_and_drops_do_not_stretch_it() -> None:
    crowd = Crowd()
    slow, idle = crowd.open(), crowd.open()
    assert slow is not None and idle is not None
    idle[0].dataReceived(ASK)
    for letter in b"GET /rea":
        slow[0].dataReceived(bytes([letter]))
        crowd.reactor.advance(1.0)
    assert not slow[1].connected and idle[1].connected
    # A body has some time more, and then its time is over as well.
    body = crowd.open()
    assert body is not None
    body[0].dataReceived(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab")
    crowd.reactor.pump([1.0] * 11)
    assert body[1].connected
    crowd.reactor.pump([1.0] * 3)
    assert not body[1].connected
    crowd.reactor.pump([1.0] * 120)
    assert not idle[1].connected


def test_what_came_while_the_process_stood_still_is_read_before_it_is_judged() -> None:
    crowd = Crowd()
    half = crowd.open()
    assert half is not None
    crowd.reactor.advance(30.0)
    assert half[1].connected
    half[0].dataReceived(ASK)
    assert half[1].value().startswith(b"HTTP/1.1 200")


def test_long_headers_and_long_bodies_are_refused_at_once() -> None:
    crowd = Crowd()
    for text, status in (
        (b"GET /" + b"x" * 9000, b"431"),
        (
            b"GET /x HTTP/1.1\r\n" + b"A: " + b"y" * 3000 + b"\r\nB: " + b"z" * 6000 + b"\r\n",
            b"431",
        ),
        (b"POST /x HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", b"413"),
        (b"nonsense\r\n\r\n", b"400"),
    ):
        opened = crowd.open()
        assert opened is not None
        opened[0].dataReceived(text)
        assert opened[1].value().startswith(b"HTTP/1.1 " + status), opened[1].value()
        assert not opened[1].connected and crowd.server.open_count == 0


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

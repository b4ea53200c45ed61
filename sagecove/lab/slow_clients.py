"""Clients that send requests slowly, in part, or malformed, over real sockets.

They share one address with users and workers, as behind a load balancer. Numbers of connections
and the time are bounded; everything ends with `stop`.
"""

import enum
import selectors
import socket
import threading
import time
from collections import Counter

CONNECT_TIMEOUT_S = 2.0
BYTE_INTERVAL_S = 0.05
RESPONSE_MAX_BYTES = 4096

BODY = b'{"nameId":"run-1","herd":"' + "größe".encode() * 100 + b'"}'
DEEP_REPORT = b'{"x":' + b"[" * 3000 + b"]" * 3000 + b"}"


def request(path: bytes, headers: bytes, body: bytes = b"") -> bytes:
    """Return a POST request."""
    return b"POST " + path + b" HTTP/1.1\r\nHost: controller\r\n" + headers + b"\r\n" + body


def with_length(path: bytes, body: bytes, headers: bytes = b"") -> bytes:
    """Return a POST request with the length of its body."""
    return request(path, b"Content-Length: %d\r\n" % len(body) + headers, body)


class SlowRequest(enum.Enum):
    """What a client sends: at once, then byte by byte. It never completes a request."""

    BYTE_BY_BYTE = (b"", with_length(b"/api/jobs", BODY))
    BODY_BYTE_BY_BYTE = (request(b"/api/jobs", b"Content-Length: 60000\r\n"), BODY * 100)
    STOPS_IN_BODY = (with_length(b"/api/jobs", BODY)[:-40], b"")
    STOPS_IN_HEAD = (b"POST /hello HTTP/1.1\r\nHost: cont", b"")
    STOPS_IN_CHARACTER = (
        request(b"/api/jobs", b"Content-Length: 5000\r\n", BODY[: BODY.index(b"\xb6")]),
        b"",
    )
    CHUNKS_WITHOUT_END = (
        request(b"/hello", b"Transfer-Encoding: chunked\r\n", b'5\r\n{"x":\r\n'),
        b"1\r\n[\r\n" * 1000,
    )
    EXPECTS_CONTINUE = (
        request(b"/api/jobs", b"Content-Length: 500\r\nExpect: 100-continue\r\n"),
        b"",
    )
    NOTHING = (b"", b"")


class MalformedRequest(enum.Enum):
    """Requests that are complete or hopeless; each is answered with an error, or closed."""

    NOT_HTTP = b"nonsense\r\n\r\n"
    NOT_JSON = with_length(b"/api/jobs", b"{")
    CUT_IN_CHARACTER = with_length(b"/api/jobs", BODY[: BODY.index(b"\xb6")])
    DEEP_REPORT = with_length(b"/hello", DEEP_REPORT)
    DEEP_SUBMISSION = with_length(b"/api/jobs", DEEP_REPORT)
    EXPECTED = with_length(b"/api/jobs", b"{", b"Expect: 100-continue\r\n")
    TOO_LONG = with_length(b"/api/jobs", b" " * 70_000)
    TOO_LONG_IN_CHUNKS = request(
        b"/api/jobs",
        b"Transfer-Encoding: chunked\r\n",
        b"12000\r\n" + b" " * 0x12000 + b"\r\n0\r\n\r\n",
    )
    NEGATIVE_LENGTH = request(b"/api/jobs", b"Content-Length: -5\r\n", b"{}")
    LENGTH_NO_NUMBER = request(b"/api/jobs", b"Content-Length: ten\r\n", b"{}")
    INVALID_CHUNK = request(b"/api/jobs", b"Transfer-Encoding: chunked\r\n", b"zz\r\n{}\r\n")
    LONG_HEAD = b"GET /" + b"x" * 10_000 + b" HTTP/1.1\r\n\r\n"
    CONTROL_CHARACTERS = b"\x00\x01\x02\x16\x03\x01\r\n\r\n"


def send_malformed(address: tuple[str, int], malformed: MalformedRequest, timeout_s: float) -> int:
    """Send a request on a connection of its own; return the status, 0 if there was none.

    Raises `TimeoutError` if the controller neither answers nor closes the connection.
    """
    with socket.create_connection(address, CONNECT_TIMEOUT_S) as connection:
        connection.settimeout(timeout_s)
        try:
            connection.sendall(malformed.value)
            response = connection.recv(RESPONSE_MAX_BYTES)
            if response.startswith(b"HTTP/1.1 100"):
                response = response.partition(b"\r\n\r\n")[2] or connection.recv(RESPONSE_MAX_BYTES)
        except ConnectionError:
            return 0
    return int(response.split()[1]) if response.startswith(b"HTTP/1.1 ") else 0


class SlowClients:
    """Keeps a number of connections to each address, and opens those that are closed again."""

    def __init__(self, addresses: list[tuple[str, int]], connection_count: int) -> None:
        self.addresses = addresses
        self.connection_count = connection_count
        self.opened_counts: Counter[str] = Counter()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Close all connections."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        kinds = list(SlowRequest)
        open_connections: dict[socket.socket, tuple[tuple[str, int], bytes]] = {}
        selector = selectors.DefaultSelector()
        number = 0
        while not self._stopping.is_set():
            for address in self.addresses:
                used = sum(target == address for target, _ in open_connections.values())
                for _ in range(self.connection_count - used):
                    number += 1
                    kind = kinds[number % len(kinds)]
                    connection = self._open(address, kind)
                    if connection is None:
                        break
                    open_connections[connection] = (address, kind.value[1])
                    selector.register(connection, selectors.EVENT_READ)
            for key, _ in selector.select(BYTE_INTERVAL_S):
                self._read(selector, open_connections, key.fileobj)
            for connection, (address, rest) in list(open_connections.items()):
                if rest and _send_byte(connection, rest):
                    open_connections[connection] = (address, rest[1:])
            time.sleep(BYTE_INTERVAL_S)
        for connection in open_connections:
            connection.close()
        selector.close()

    def _open(self, address: tuple[str, int], kind: SlowRequest) -> socket.socket | None:
        try:
            connection = socket.create_connection(address, CONNECT_TIMEOUT_S)
            connection.sendall(kind.value[0])
        except OSError:
            return None
        connection.setblocking(False)
        self.opened_counts[kind.name] += 1
        return connection

    def _read(
        self,
        selector: selectors.BaseSelector,
        open_connections: dict[socket.socket, tuple[tuple[str, int], bytes]],
        connection: object,
    ) -> None:
        """Read what a controller sends; forget the connection if it was closed."""
        assert isinstance(connection, socket.socket)
        try:
            closed = not connection.recv(RESPONSE_MAX_BYTES)
        except OSError:
            closed = True
        if closed:
            selector.unregister(connection)
            connection.close()
            del open_connections[connection]


def _send_byte(connection: socket.socket, rest: bytes) -> bool:
    try:
        return connection.send(rest[:1]) == 1
    except OSError:
        return False

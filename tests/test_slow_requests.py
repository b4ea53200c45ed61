"""Slow, half-sent and malformed requests over real sockets neither end nor block a controller."""

import http.client
import json
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from sagecove.lab.deployment import job_submission, raw_controller_settings
from sagecove.lab.loopback import HOST, free_port
from sagecove.lab.slow_clients import (
    DEEP_REPORT,
    MalformedRequest,
    SlowClients,
    SlowRequest,
    send_malformed,
)

READY_TIMEOUT_S = 1.0  # as the load balancer's
SLOW_CONNECTION_COUNT = 150


class ControllerProcess:
    """A real controller on loopback that reaches no state service."""

    def __init__(self, folder: Path) -> None:
        self.address = (HOST, free_port())
        raw = raw_controller_settings(0, 1)
        raw["serve_on"] = f"{HOST}:{self.address[1]}"
        raw["peer_listen"] = f"{HOST}:{free_port()}"
        raw["external"] = {name: f"{HOST}:{free_port()}" for name in ("cloud", "state")}
        settings = folder / "settings.json"
        settings.write_text(json.dumps(raw))
        self.log_path = folder / "log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "sagecove", "serve", "--config", str(settings)],
                stderr=log,
                stdout=log,
            )

    def ask(self, method: str, path: str, body: bytes | None = None) -> int:
        connection = http.client.HTTPConnection(*self.address, timeout=READY_TIMEOUT_S)
        try:
            connection.request(method, path, body)
            return connection.getresponse().status
        finally:
            connection.close()

    def wait_until_up(self) -> None:
        ends_at = time.monotonic() + 20
        while time.monotonic() < ends_at:
            try:
                self.ask("GET", "/ready")
                return
            except OSError:
                time.sleep(0.1)
        raise TimeoutError(self.log_path.read_text())


@pytest.fixture
def controller(tmp_path: Path) -> Iterator[ControllerProcess]:
    process = ControllerProcess(tmp_path)
    try:
        process.wait_until_up()
        yield process
    finally:
        process.process.kill()
        process.process.wait()


@pytest.mark.parametrize("malformed", list(MalformedRequest))
def test_malformed_request_is_answered_or_closed(
    controller: ControllerProcess, malformed: MalformedRequest
) -> None:
    wanted = {
        MalformedRequest.TOO_LONG: (413, 0),
        MalformedRequest.TOO_LONG_IN_CHUNKS: (413, 0),
        MalformedRequest.LONG_HEAD: (431, 0),
    }.get(malformed, (400,))
    for _ in range(3):
        assert send_malformed(controller.address, malformed, 4.0) in wanted
    assert controller.ask("GET", "/ready") == 503
    assert controller.process.poll() is None
    assert "Traceback" not in controller.log_path.read_text()


def test_slow_requests_do_not_block_a_controller(controller: ControllerProcess) -> None:
    clients = SlowClients([controller.address], SLOW_CONNECTION_COUNT)
    clients.start()
    sound = json.dumps({**job_submission(1), "x": "y" * 20_000}).encode()
    try:
        ends_at = time.monotonic() + 8.0
        while time.monotonic() < ends_at:
            assert controller.ask("GET", "/ready") == 503
            assert controller.ask("POST", "/api/jobs", b"{") == 400
            assert controller.ask("POST", "/api/jobs", sound) == 503
            assert controller.ask("POST", "/hello", DEEP_REPORT) == 400
    finally:
        clients.stop()
    assert set(clients.opened_counts) == {kind.name for kind in SlowRequest}
    assert sum(clients.opened_counts.values()) >= SLOW_CONNECTION_COUNT
    assert controller.process.poll() is None
    assert "Traceback" not in controller.log_path.read_text()

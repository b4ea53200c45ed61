"""Stories of the command line against a stand-in controller on loopback."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any

import pytest

from sagecove.cli import main
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World

ANSWERS: dict[str, tuple[int, Any]] = {}


class Handler(BaseHTTPRequestHandler):
    """Gives the answer that the story has laid out for a path."""

    def do_GET(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        self.rfile.read(length)
        status, body = ANSWERS.get(f"{self.command} {self.path}", (404, {"error": "no such job"}))
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)

    do_POST = do_GET

    def log_message(self, format: str, *args: Any) -> None:
        """Quiet."""


@pytest.fixture
def controller() -> Iterator[str]:
    """A stand-in's address."""
    server = HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    ANSWERS.clear()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


def test_submit_status_and_cancel(controller: str, tmp_path: Path, capsys: Any) -> None:
    path = tmp_path / "job.json"
    path.write_text(json.dumps(job_submission(1)))
    ANSWERS["POST /api/jobs"] = (201, {"nameId": "run-000001", "standing": "pending"})
    running = {"nameId": "run-000001", "standing": "running", "done": 1, "running": 2}
    ANSWERS["GET /api/jobs/run-000001"] = (200, running)
    ended = {"nameId": "run-000001", "standing": "aborted"}
    ANSWERS["POST /api/jobs/run-000001/cancel"] = (200, ended)
    # The first controller is down; the next one is asked.
    there = ["--controllers", f"127.0.0.1:9,{controller}"]
    assert main(["submit", *there, str(path)]) == 0
    assert main(["status", *there, "run-000001"]) == 0
    assert main(["cancel", *there, "--json", "run-000001"]) == 0
    out = capsys.readouterr().out.splitlines()
    assert out[0] == "run-000001: pending"
    assert out[1] == "run-000001: running, 1 tasks done, 2 running"
    assert json.loads(out[2]) == ended


def test_bad_input_and_no_answer(controller: str, tmp_path: Path, capsys: Any) -> None:
    there = ["--controllers", controller]
    assert main(["status", *there, "run-000009"]) == 1
    assert "no such job" in capsys.readouterr().err
    assert main(["explain", "--controllers", "127.0.0.1:9", "run-000001"]) == 1
    err = capsys.readouterr().err
    assert "no controller can answer" in err and len(err.splitlines()) == 1
    broken = tmp_path / "job.json"
    broken.write_text('{\n  "nameId": }')
    assert main(["submit", *there, str(broken)]) == 2
    assert f"{broken}:2:13: " in capsys.readouterr().err
    assert main(["submit", *there, str(tmp_path / "none.json")]) == 2
    with pytest.raises(SystemExit) as stop:
        main(["explain"])
    assert stop.value.code == 2


def test_views_are_shown_as_the_service_tells_them(controller: str, capsys: Any) -> None:
    w = World()
    for _ in range(2):
        w.cloud.start_machine("small", "a", False)
    w.run(3)
    w.cloud.capacity = {"small": 2, "gpu": 0}
    w.failing_jobs.add("run-000001")
    w.submit("n0", job_submission(1, hands=3))
    w.run(30)
    w.submit("n1", job_submission(2, hands=40, rank="low"))
    w.run(3)
    teller = next(n for n, o in w.owners.items() if o.jobs["run-000001"].judged_faulty)
    ANSWERS["GET /explain/run-000001"] = w.user_request(teller, "GET", "/explain/run-000001")
    ANSWERS["GET /cluster"] = w.user_request(teller, "GET", "/cluster")
    there = ["--controllers", controller]
    assert main(["explain", *there, "run-000001"]) == 0
    out = capsys.readouterr().out
    assert "its tasks fail on every machine" in out and f"(told by {teller})" in out
    assert main(["cluster", *there]) == 0
    out = capsys.readouterr().out
    assert "shard n1: held by n1" in out and "job run-000001 fails on every machine" in out
    assert "team guests: 0 CPUs of 0 guaranteed, no limit" in out

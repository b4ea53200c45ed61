"""Commands of the command line, sent to a stub of a controller on the loopback interface."""

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
    """Sends the answer that the test has set for a path."""

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
        """Write no log."""


@pytest.fixture
def controller() -> Iterator[str]:
    """Run a stub of a controller and yield its address."""
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
    # The first controller is down, so the command tries the next one.
    controller_options = ["--controllers", f"127.0.0.1:9,{controller}"]
    assert main(["submit", *controller_options, str(path)]) == 0
    assert main(["status", *controller_options, "run-000001"]) == 0
    assert main(["cancel", *controller_options, "--json", "run-000001"]) == 0
    out = capsys.readouterr().out.splitlines()
    assert out[0] == "run-000001: pending"
    assert out[1] == "run-000001: running, 1 tasks done, 2 running"
    assert json.loads(out[2]) == ended


def test_invalid_input_and_no_answer(controller: str, tmp_path: Path, capsys: Any) -> None:
    controller_options = ["--controllers", controller]
    assert main(["status", *controller_options, "run-000009"]) == 1
    assert "no such job" in capsys.readouterr().err
    assert main(["explain", "--controllers", "127.0.0.1:9", "run-000001"]) == 1
    err = capsys.readouterr().err
    assert "no controller can answer" in err and len(err.splitlines()) == 1
    broken = tmp_path / "job.json"
    broken.write_text('{\n  "nameId": }')
    assert main(["submit", *controller_options, str(broken)]) == 2
    assert f"{broken}:2:13: " in capsys.readouterr().err
    assert main(["submit", *controller_options, str(tmp_path / "none.json")]) == 2
    with pytest.raises(SystemExit) as stop:
        main(["explain"])
    assert stop.value.code == 2


def test_explain_and_cluster_show_answers_of_the_service(controller: str, capsys: Any) -> None:
    world = World()
    for _ in range(2):
        world.cloud.start_machine("small", "a", False)
    world.run(3)
    world.cloud.capacity = {"small": 2, "gpu": 0}
    world.failing_jobs.add("run-000001")
    world.submit("n0", job_submission(1, hands=3))
    world.run(30)
    world.submit("n1", job_submission(2, hands=40, rank="low"))
    world.run(3)
    node = next(n for n, o in world.owners.items() if o.jobs["run-000001"].judged_faulty)
    ANSWERS["GET /explain/run-000001"] = world.user_request(node, "GET", "/explain/run-000001")
    ANSWERS["GET /cluster"] = world.user_request(node, "GET", "/cluster")
    controller_options = ["--controllers", controller]
    assert main(["explain", *controller_options, "run-000001"]) == 0
    out = capsys.readouterr().out
    assert "its tasks fail on every machine" in out and f"(told by {node})" in out
    assert main(["cluster", *controller_options]) == 0
    out = capsys.readouterr().out
    assert "shard n1: held by n1" in out and "job run-000001 fails on every machine" in out
    assert "team guests: 0 CPUs of 0 guaranteed, no limit" in out

"""Guards `sagecove dev`, the rule checker and the fakes' faults.

A demonstration must end well though a controller is killed, the checker must detect each kind of
violation, and throttling, late answers, an unavailable cloud or incomplete HTTP requests must not
lose or delay jobs.
"""

import http.client
import json
import re
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from sagecove.cli import main
from sagecove.lab.deployment import job_submission
from sagecove.lab.rule_checker import RuleViolation
from sagecove.lab.world import World, job_state, world_with_machines


def run_dev(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sagecove", "dev", "--port", "0", *args],
        capture_output=True,
        text=True,
        timeout=150,
        check=False,
    )


def test_demo_succeeds_with_a_killed_controller() -> None:
    result = run_dev("--demo", "--time-scale", "8", "--features", "deploy/features.toml")
    assert result.returncode == 0, result.stdout + result.stderr
    assert "killing controller n2" in result.stdout and "back in 3 s" in result.stdout
    assert "run-demo-service: aborted" in result.stdout
    # The sweep was expanded on the local cluster: nine points are left out and three fail.
    assert "sweep run-demo-sweep: done (24 of 36 points done, 3 failed)" in result.stdout
    assert result.stdout.splitlines()[-1].endswith("all jobs ended as they should")


def test_invalid_option_is_named_in_the_error(capsys: Any) -> None:
    with pytest.raises(SystemExit) as stop:
        main(["dev", "--controllers", "0"])
    assert stop.value.code == 2
    assert "--controllers: must be from 1 to 50" in capsys.readouterr().err


def test_rule_checker_detects_each_violation() -> None:
    # Each rule is broken once by hand, to show that the checker can fail.
    world = world_with_machines(2)
    first, second = world.workers.values()
    for number in range(1, 6):
        world.add_spec(job_submission(number, hands=1))
    order = {"verb": "launch", "hand": "run-000001/0", "try": 1}
    first.execute_orders([order])
    with pytest.raises(RuleViolation, match="ran_twice"):
        second.execute_orders([order])
    world.specs["run-000002"]["breeds"] = ["gpu"]
    with pytest.raises(RuleViolation, match="wrong_place"):
        first.execute_orders([{**order, "hand": "run-000002/0"}])
    world.cancelled_at["run-000003"] = world.now - 100
    with pytest.raises(RuleViolation, match="ran_cancelled"):
        first.execute_orders([{**order, "hand": "run-000003/0"}])
    world.record_answer("run-000004", 201, {"standing": "pending"}, submitted=True)
    with pytest.raises(RuleViolation, match="forgotten"):
        world.record_answer("run-000004", 404, {}, submitted=False)
    with pytest.raises(RuleViolation, match="not_done"):
        world.record_answer("run-000004", 200, {"standing": "done"}, submitted=False)
    world.record_answer("run-000005", 200, {"standing": "aborted"}, submitted=False)
    with pytest.raises(RuleViolation, match="went_back"):
        world.record_answer("run-000005", 200, {"standing": "running"}, submitted=False)
    with pytest.raises(RuleViolation, match="invented"):
        world.record_answer("run-000099", 200, {"standing": "pending"}, submitted=False)


def test_throttling_and_late_answers_lose_no_submission() -> None:
    world = world_with_machines(2)
    world.state.throttles_all = True
    status, _ = world.submit("n0", job_submission(1, hands=2))
    assert status == 503
    world.state.throttles_all = False
    world.run(2)
    # Executed, but answered after the client's timeout: a repeated submission finds the job.
    world.state.answer_delay_s = 4.0
    assert world.submit("n0", job_submission(1, hands=2))[0] in (0, 503)
    world.state.answer_delay_s = 0.0
    world.run(6)
    assert world.submit("n1", job_submission(1, hands=2))[0] in (200, 201)
    world.run_until(lambda: job_state(world, "n1", "run-000001") == "done", 60)


def test_no_machine_is_rented_while_the_cloud_is_unavailable() -> None:
    world = World(node_count=1)
    world.run(3)
    world.cloud.unavailable = True
    world.submit("n0", job_submission(1, hands=2))
    world.run(10)
    assert not world.cloud.machines_by_request
    world.cloud.unavailable = False
    world.run_until(lambda: job_state(world, "n0", "run-000001") == "done", 60)


def test_incomplete_requests_do_not_block_other_clients(tmp_path: Path) -> None:
    out = tmp_path / "out"
    with out.open("w") as file:
        lab = subprocess.Popen(
            [sys.executable, "-m", "sagecove", "dev", "--port", "0", "--controllers", "1"]
            + ["--machines", "2", "--time-scale", "8"],
            stdout=file,
        )
    connections: list[socket.socket] = []
    try:
        controller_match = None
        started_at = time.monotonic()
        while controller_match is None and time.monotonic() - started_at < 20:
            time.sleep(0.2)
            controller_match = re.search(r"controller n0: ([0-9.]+):(\d+)", out.read_text())
        assert controller_match is not None
        address = (controller_match[1], int(controller_match[2]))
        user_match = re.search(r"http://([0-9.]+):(\d+)", out.read_text())
        assert user_match is not None
        user_address = (user_match[1], int(user_match[2]))

        def ask(method: str, path: str, body: Any = None) -> tuple[int, Any]:
            # Submissions go to the users' address, which keeps the descriptions for workers.
            connection = http.client.HTTPConnection(*(user_address if body else address), timeout=2)
            raw = None if body is None else json.dumps(body)
            connection.request(method, path, raw, {"Connection": "close"})
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())

        while time.monotonic() - started_at < 30:
            try:
                if ask("GET", "/ready")[0] == 200:
                    break
            except OSError:
                pass
            time.sleep(0.2)
        # Machines report before the connections are opened, and must be able to go on reporting.
        time.sleep(2)
        assert ask("POST", "/api/jobs", job_submission(1, hands=4, reckonS=24.0))[0] == 201
        for _ in range(1000):
            partial_connection = socket.create_connection(address, timeout=5)
            partial_connection.sendall(b"GET /rea")
            connections.append(partial_connection)
        status = ""
        for turn in range(10):
            started_at = time.monotonic()
            assert ask("GET", "/ready")[0] == 200
            if turn == 0:
                assert ask("POST", "/api/jobs", job_submission(2))[0] == 201
            status = ask("GET", "/api/jobs/run-000001")[1]["standing"]
            assert time.monotonic() - started_at < 1.5
            time.sleep(0.6)
        assert status == "done"
    finally:
        for partial_connection in connections:
            partial_connection.close()
        lab.terminate()
        lab.wait(20)

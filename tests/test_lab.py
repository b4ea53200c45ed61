"""`sagecove dev` as a newcomer runs it, and the stand-ins' own rules and faults."""

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


def dev(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sagecove", "dev", "--port", "0", *args],
        capture_output=True,
        text=True,
        timeout=150,
        check=False,
    )


def test_the_demonstration_ends_well_though_a_controller_is_killed() -> None:
    ran = dev("--demo", "--time-scale", "8", "--features", "deploy/features.toml")
    assert ran.returncode == 0, ran.stdout + ran.stderr
    assert "killing controller n2" in ran.stdout and "back in 3 s" in ran.stdout
    assert "run-demo-service: aborted" in ran.stdout
    # The sweep was expanded against the stand-in servers: nine points left out, three fail.
    assert "sweep run-demo-sweep: done (24 of 36 points done, 3 failed)" in ran.stdout
    assert ran.stdout.splitlines()[-1].endswith("all jobs ended as they should")


def test_what_makes_no_sense_is_refused_by_name(capsys: Any) -> None:
    with pytest.raises(SystemExit) as stop:
        main(["dev", "--controllers", "0"])
    assert stop.value.code == 2
    assert "--controllers: must be from 1 to 50" in capsys.readouterr().err


def test_the_checker_knows_a_broken_rule_when_it_sees_one() -> None:
    # A checker that cannot fail is worth nothing: each rule is broken once, by hand.
    w = world_with_machines(2)
    first, second = w.workers.values()
    for number in range(1, 6):
        w.add_spec(job_submission(number, hands=1))
    order = {"verb": "launch", "hand": "run-000001/0", "try": 1}
    first.execute_orders([order])
    with pytest.raises(RuleViolation, match="ran_twice"):
        second.execute_orders([order])
    w.specs["run-000002"]["breeds"] = ["gpu"]
    with pytest.raises(RuleViolation, match="wrong_place"):
        first.execute_orders([{**order, "hand": "run-000002/0"}])
    w.cancelled_at["run-000003"] = w.now - 100
    with pytest.raises(RuleViolation, match="ran_cancelled"):
        first.execute_orders([{**order, "hand": "run-000003/0"}])
    w.record_answer("run-000004", 201, {"standing": "pending"}, submitted=True)
    with pytest.raises(RuleViolation, match="forgotten"):
        w.record_answer("run-000004", 404, {}, submitted=False)
    with pytest.raises(RuleViolation, match="not_done"):
        w.record_answer("run-000004", 200, {"standing": "done"}, submitted=False)
    w.record_answer("run-000005", 200, {"standing": "aborted"}, submitted=False)
    with pytest.raises(RuleViolation, match="went_back"):
        w.record_answer("run-000005", 200, {"standing": "running"}, submitted=False)
    with pytest.raises(RuleViolation, match="invented"):
        w.record_answer("run-000099", 200, {"standing": "pending"}, submitted=False)


def test_a_storm_of_429_and_answers_after_the_client_gave_up_lose_nothing() -> None:
    w = world_with_machines(2)
    w.state.throttles_all = True
    status, _ = w.submit("n0", job_submission(1, hands=2))
    assert status == 503
    w.state.throttles_all = False
    w.run(2)
    # Executed, but told of too late: the submission is there when it is repeated.
    w.state.answer_delay_s = 4.0
    assert w.submit("n0", job_submission(1, hands=2))[0] in (0, 503)
    w.state.answer_delay_s = 0.0
    w.run(6)
    assert w.submit("n1", job_submission(1, hands=2))[0] in (200, 201)
    w.run_until(lambda: job_state(w, "n1", "run-000001") == "done", 60)


def test_a_cloud_in_trouble_rents_nothing_until_it_is_over() -> None:
    w = World(node_count=1)
    w.run(3)
    w.cloud.unavailable = True
    w.submit("n0", job_submission(1, hands=2))
    w.run(10)
    assert not w.cloud.machines_by_request
    w.cloud.unavailable = False
    w.run_until(lambda: job_state(w, "n0", "run-000001") == "done", 60)


def test_a_thousand_half_requests_keep_nobody_out(tmp_path: Path) -> None:
    out = tmp_path / "out"
    with out.open("w") as file:
        lab = subprocess.Popen(
            [sys.executable, "-m", "sagecove", "dev", "--port", "0", "--controllers", "1"]
            + ["--machines", "2", "--time-scale", "8"],
            stdout=file,
        )
    crowd: list[socket.socket] = []
    try:
        found = None
        begun = time.monotonic()
        while found is None and time.monotonic() - begun < 20:
            time.sleep(0.2)
            found = re.search(r"controller n0: ([0-9.]+):(\d+)", out.read_text())
        assert found is not None
        address = (found[1], int(found[2]))
        by_door = re.search(r"http://([0-9.]+):(\d+)", out.read_text())
        assert by_door is not None
        door = (by_door[1], int(by_door[2]))

        def ask(method: str, path: str, body: Any = None) -> tuple[int, Any]:
            # Submissions go by the door, which keeps what workers fetch.
            connection = http.client.HTTPConnection(*(door if body else address), timeout=2)
            raw = None if body is None else json.dumps(body)
            connection.request(method, path, raw, {"Connection": "close"})
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())

        while time.monotonic() - begun < 30:
            try:
                if ask("GET", "/ready")[0] == 200:
                    break
            except OSError:
                pass
            time.sleep(0.2)
        # Machines have reported before the crowd comes; they have to go on doing so.
        time.sleep(2)
        assert ask("POST", "/api/jobs", job_submission(1, hands=4, reckonS=24.0))[0] == 201
        for _ in range(1000):
            half = socket.create_connection(address, timeout=5)
            half.sendall(b"GET /rea")
            crowd.append(half)
        status = ""
        for turn in range(10):
            begun = time.monotonic()
            assert ask("GET", "/ready")[0] == 200
            if turn == 0:
                assert ask("POST", "/api/jobs", job_submission(2))[0] == 201
            status = ask("GET", "/api/jobs/run-000001")[1]["standing"]
            assert time.monotonic() - begun < 1.5
            time.sleep(0.6)
        assert status == "done"
    finally:
        for half in crowd:
            half.close()
        lab.terminate()
        lab.wait(20)

"""Guards the sums of `sagecove lab waste`, which depend on the format of controllers' log lines.

A simulated world writes the log: a service preempts one of four tasks, which starts again.
"""

import json
import logging
from pathlib import Path

import pytest

from sagecove.cli import main
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World


def test_waste_counts_stopped_and_completed_tasks(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, capsys: pytest.CaptureFixture[str]
) -> None:
    caplog.set_level(logging.INFO, logger="sagecove")
    world = World(node_count=1)
    world.cloud.capacity = {"small": 2, "gpu": 0}
    for _ in range(2):
        world.cloud.start_machine("small", "a", False)
    world.run(3)
    for worker in world.workers.values():
        worker.task_run_s = 12.0
    world.submit("n0", job_submission(1, hands=4, outfit="guests", herd="audits", rank="low"))
    world.run_until(lambda: world.running_task_count("run-000001") == 4, 10)
    world.run(4)
    # A service preempts one of them, which starts again.
    world.submit("n0", job_submission(2, shape="service", herd="front", rank="production"))
    world.run_until(lambda: world.running_task_count("run-000002") == 1, 10)
    world.run_until(lambda: len(world.completed_tasks) == 4, 60)
    world.user_request("n0", "POST", "/api/jobs/run-000002/cancel")
    world.run(15)
    log = tmp_path / "log"
    log.write_text("".join(f"   12.5 n0 INFO {r.name} {r.getMessage()}\n" for r in caplog.records))
    assert main(["lab", "waste", str(log), "--json"]) == 0
    report = json.loads(capsys.readouterr().out)
    assert (report["starts"], report["thrown_away"], report["most_starts_of_a_task"]) == (6, 1, 2)
    stopped = next(c for c in report["causes"] if c["cause"] == "stopped for another job")
    assert stopped["class"] == "audits" and stopped["ended"] == 1
    # Two CPUs for about four to six seconds.
    assert 6.0 < stopped["lost_cpu_s"] < 16.0
    over = next(c for c in report["causes"] if c["class"] == "front")
    assert over["cause"] == "its job is over" and over["lost_cpu_s"] == 0
    assert {d["class"]: d["tasks"] for d in report["done"]} == {"audits": 4}
    assert main(["lab", "waste", str(log)]) == 0
    assert "6 starts, 1 thrown away (16.7%)" in capsys.readouterr().out


def test_waste_fails_on_a_log_without_starts(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "log"
    log.write_text("nothing of ours\n")
    assert main(["lab", "waste", str(log)]) == 1
    assert "no task was started" in capsys.readouterr().err
    assert main(["lab", "waste", str(tmp_path / "none")]) == 2

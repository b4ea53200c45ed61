"""The file that turns features on, and the commands that they bring."""

import json
import subprocess
import sys
from pathlib import Path
from random import Random
from typing import Any

import pytest

from sagecove.cli import main
from sagecove.config import SettingsError
from sagecove.coordination.owner import Owner
from sagecove.features import feature_factory, load_features
from sagecove.lab.deployment import controller_settings, job_submission
from tests.test_cli import ANSWERS, controller
from tests.test_sweeps import point_job, submit_sweep, sweep_world

__all__ = ["controller"]


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("[swepes]\n", ":1: there is no feature swepes; there are: sweeps"),
        ("# x\n[sweeps]\nwindow = 9\n", ":3: Expected `int` >= 32"),
        (
            "[sweeps]\n\nwindoww = 90\n",
            ":3: sweeps has no setting windoww; it has: points_most",
        ),
        ("[sweeps]\nenabled = 1\n", ":2: true or false"),
        ("sweeps = 3\n", ":1: sweeps must be a table"),
        ("[sweeps\n", "Expected ']'"),
    ],
)
def test_what_makes_no_sense_is_named_with_its_line(tmp_path: Path, text: str, told: str) -> None:
    path = tmp_path / "features.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        load_features(str(path))
    assert str(error.value).startswith(str(path)) and told in str(error.value)


def test_the_file_of_the_deployment_is_in_order() -> None:
    assert [name for name, _ in load_features("deploy/features.toml")] == ["sweeps"]


@pytest.mark.parametrize("text", ["", "[sweeps]\nenabled = false\n"])
def test_nothing_of_a_feature_is_imported_while_it_is_off(tmp_path: Path, text: str) -> None:
    path = tmp_path / "features.toml"
    path.write_text(text)
    code = (
        "import sys; from sagecove.features import load, maker; import sagecove.service;"
        f"maker(load({str(path)!r}))(None);"
        "print([m for m in sys.modules if m.startswith(('sagecove.sweeps', 'lark'))])"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ran.stdout.strip() == "[]"


def test_a_controller_loads_the_parser_only_with_the_first_sweep() -> None:
    code = (
        "import sys; from sagecove.lab.world import World;"
        "from sagecove.features import load, maker;"
        "w = World(features=maker(load('deploy/features.toml'))); w.run(3);"
        "print('lark' in sys.modules, 'sagecove.sweeps.routes' in sys.modules)"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ran.stdout.strip() == "False False"


def test_commands_of_sweeps_as_the_service_answers_them(
    controller: str, tmp_path: Path, capsys: Any
) -> None:
    w = sweep_world(3)
    there = ["--controllers", controller]
    body = {"id": "run-s", "space": "x in 1..6 where x != 2", "job": point_job(memoryGb="${x}")}
    path = tmp_path / "sweep.json"
    path.write_text(json.dumps(body))
    ANSWERS["POST /api/sweeps/preview"] = w.user_request("n0", "POST", "/api/sweeps/preview", body)
    assert main(["sweep", "preview", *there, str(path)]) == 0
    assert '0: {"x": 1, "repetition": 0, "index": 0}  can run' in capsys.readouterr().out
    ANSWERS["POST /api/sweeps"] = w.user_request("n0", "POST", "/api/sweeps", body)
    assert main(["sweep", "submit", *there, str(path)]) == 0
    assert capsys.readouterr().out == "run-s: pending, 6 points\n"
    ANSWERS["GET /api/sweeps"] = w.user_request("n1", "GET", "/api/sweeps")
    assert main(["sweep", "list", *there]) == 0
    assert "run-s: pending, 6 points: 0 done" in capsys.readouterr().out
    w.run_until(lambda: w.user_request("n0", "GET", "/api/sweeps/run-s")[1]["state"] == "done", 60)
    ANSWERS["GET /api/sweeps/run-s"] = w.user_request("n1", "GET", "/api/sweeps/run-s")
    assert main(["sweep", "status", "--wait", *there, "run-s"]) == 0
    assert capsys.readouterr().out == "run-s: done, 6 points: 5 done, 1 left out\n"
    query = "/api/sweeps/run-s/points?from=4&most=100"
    ANSWERS[f"GET {query}"] = w.user_request("n1", "GET", query)
    assert main(["sweep", "points", *there, "run-s", "--from", "4"]) == 0
    assert capsys.readouterr().out.splitlines()[1].startswith("run-s.p5: done")
    # Nothing failed: there is nothing to try again.
    refused = w.user_request(
        "n1", "POST", "/api/sweeps/run-s/retry", {"id": "run-t", "states": ["failed"]}
    )
    ANSWERS["POST /api/sweeps/run-s/retry"] = refused
    assert main(["sweep", "retry", *there, "run-s", "run-t", "--failed"]) == 1
    assert "no point of sweep run-s is failed" in capsys.readouterr().err
    with pytest.raises(SystemExit) as stop:
        main(["sweep", "frobnicate"])
    assert stop.value.code == 2


def test_commands_of_templates_as_the_service_answers_them(controller: str, capsys: Any) -> None:
    w = sweep_world(3)
    there = ["--controllers", controller]
    template = json.loads(Path("examples/template.json").read_text())
    ANSWERS["POST /api/templates"] = w.user_request("n0", "POST", "/api/templates", template)
    assert main(["template", "put", *there, "examples/template.json"]) == 0
    assert capsys.readouterr().out == "reindex: version 1\n"
    ANSWERS["GET /api/templates"] = w.user_request("n1", "GET", "/api/templates")
    assert main(["template", "list", *there]) == 0
    assert capsys.readouterr().out.startswith("reindex: version 1  Reindexes")
    template["parameters"][2]["default"] = 2.0
    w.user_request("n0", "POST", "/api/templates", template)
    for query in ("?version=1", ""):
        ANSWERS[f"GET /api/templates/reindex{query}"] = w.user_request(
            "n2", "GET", f"/api/templates/reindex{query}"
        )
    assert main(["template", "diff", *there, "reindex", "1"]) == 0
    assert capsys.readouterr().out == "parameter cpus, default: 1.0 -> 2.0\n"
    assert main(["template", "show", *there, "reindex"]) == 0
    assert json.loads(capsys.readouterr().out)["version"] == 2
    one = {"nameId": "run-one", "values": {"firm": "red", "shard": 3}}
    w.specs["run-one"] = job_submission(1)
    ANSWERS["POST /api/templates/reindex/jobs"] = w.user_request(
        "n0", "POST", "/api/templates/reindex/jobs", one
    )
    there = ["template", "submit", *there, "reindex", "run-one", "firm=red", "shard=3"]
    assert main(there) == 0
    assert capsys.readouterr().out == "run-one: pending\n"


def test_every_example_is_taken(tmp_path: Path) -> None:
    w = sweep_world(3)
    for name in ("array", "gang", "service"):
        spec = json.loads(Path(f"examples/{name}.json").read_text())
        assert w.submit("n0", spec)[0] == 201
    template = json.loads(Path("examples/template.json").read_text())
    assert w.user_request("n0", "POST", "/api/templates", template)[0] == 201
    for name in ("sweep", "nightly"):
        body = json.loads(Path(f"examples/{name}.json").read_text())
        assert w.user_request("n0", "POST", "/api/sweeps", body)[0] == 201
    assert submit_sweep(w, "x in 1..2", name="run-more")[0] == 201


def test_limits_of_the_state_service_that_are_too_low_are_named() -> None:
    with pytest.raises(SettingsError, match="`\\$.cluster.state.txn_ops` is 4"):
        Owner(
            controller_settings(0, txn_ops=4),
            Random(1),
            0.0,
            0.0,
            feature_factory(load_features("deploy/features.toml")),
        )

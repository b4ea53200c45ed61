"""The features file, and the commands of the sweeps feature.

A disabled feature must not be imported, and a mistake in the file must be reported with its line.
"""

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
    ("text", "message"),
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
def test_mistakes_are_reported_with_their_line(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "features.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        load_features(str(path))
    assert str(error.value).startswith(str(path)) and message in str(error.value)


def test_deployed_features_file_is_valid() -> None:
    assert [name for name, _ in load_features("deploy/features.toml")] == ["sweeps"]


@pytest.mark.parametrize("text", ["", "[sweeps]\nenabled = false\n"])
def test_disabled_feature_is_not_imported(tmp_path: Path, text: str) -> None:
    path = tmp_path / "features.toml"
    path.write_text(text)
    code = (
        "import sys; from sagecove.features import load_features, feature_factory;"
        "import sagecove.service;"
        f"feature_factory(load_features({str(path)!r}))(None);"
        "print([m for m in sys.modules if m.startswith(('sagecove.sweeps', 'lark'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_parser_is_loaded_with_the_first_sweep() -> None:
    code = (
        "import sys; from sagecove.lab.world import World;"
        "from sagecove.features import load_features, feature_factory;"
        "w = World(features=feature_factory(load_features('deploy/features.toml'))); w.run(3);"
        "print('lark' in sys.modules, 'sagecove.sweeps.routes' in sys.modules)"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "False False"


def test_sweep_commands_show_answers_of_the_service(
    controller: str, tmp_path: Path, capsys: Any
) -> None:
    cluster = sweep_world(3)
    controller_options = ["--controllers", controller]
    body = {"id": "run-s", "space": "x in 1..6 where x != 2", "job": point_job(memoryGb="${x}")}
    path = tmp_path / "sweep.json"
    path.write_text(json.dumps(body))
    ANSWERS["POST /api/sweeps/preview"] = cluster.user_request(
        "n0", "POST", "/api/sweeps/preview", body
    )
    assert main(["sweep", "preview", *controller_options, str(path)]) == 0
    assert '0: {"x": 1, "repetition": 0, "index": 0}  can run' in capsys.readouterr().out
    ANSWERS["POST /api/sweeps"] = cluster.user_request("n0", "POST", "/api/sweeps", body)
    assert main(["sweep", "submit", *controller_options, str(path)]) == 0
    assert capsys.readouterr().out == "run-s: pending, 6 points\n"
    ANSWERS["GET /api/sweeps"] = cluster.user_request("n1", "GET", "/api/sweeps")
    assert main(["sweep", "list", *controller_options]) == 0
    assert "run-s: pending, 6 points: 0 done" in capsys.readouterr().out
    cluster.run_until(
        lambda: cluster.user_request("n0", "GET", "/api/sweeps/run-s")[1]["state"] == "done", 60
    )
    ANSWERS["GET /api/sweeps/run-s"] = cluster.user_request("n1", "GET", "/api/sweeps/run-s")
    assert main(["sweep", "status", "--wait", *controller_options, "run-s"]) == 0
    assert capsys.readouterr().out == "run-s: done, 6 points: 5 done, 1 left out\n"
    query = "/api/sweeps/run-s/points?from=4&most=100"
    ANSWERS[f"GET {query}"] = cluster.user_request("n1", "GET", query)
    assert main(["sweep", "points", *controller_options, "run-s", "--from", "4"]) == 0
    assert capsys.readouterr().out.splitlines()[1].startswith("run-s.p5: done")
    # No point has failed, so there is none to retry.
    refused = cluster.user_request(
        "n1", "POST", "/api/sweeps/run-s/retry", {"id": "run-t", "states": ["failed"]}
    )
    ANSWERS["POST /api/sweeps/run-s/retry"] = refused
    assert main(["sweep", "retry", *controller_options, "run-s", "run-t", "--failed"]) == 1
    assert "no point of sweep run-s is failed" in capsys.readouterr().err
    with pytest.raises(SystemExit) as stop:
        main(["sweep", "frobnicate"])
    assert stop.value.code == 2


def test_template_commands_show_answers_of_the_service(controller: str, capsys: Any) -> None:
    cluster = sweep_world(3)
    controller_options = ["--controllers", controller]
    template = json.loads(Path("examples/template.json").read_text())
    ANSWERS["POST /api/templates"] = cluster.user_request("n0", "POST", "/api/templates", template)
    assert main(["template", "put", *controller_options, "examples/template.json"]) == 0
    assert capsys.readouterr().out == "reindex: version 1\n"
    ANSWERS["GET /api/templates"] = cluster.user_request("n1", "GET", "/api/templates")
    assert main(["template", "list", *controller_options]) == 0
    assert capsys.readouterr().out.startswith("reindex: version 1  Reindexes")
    template["parameters"][2]["default"] = 2.0
    cluster.user_request("n0", "POST", "/api/templates", template)
    for query in ("?version=1", ""):
        ANSWERS[f"GET /api/templates/reindex{query}"] = cluster.user_request(
            "n2", "GET", f"/api/templates/reindex{query}"
        )
    assert main(["template", "diff", *controller_options, "reindex", "1"]) == 0
    assert capsys.readouterr().out == "parameter cpus, default: 1.0 -> 2.0\n"
    assert main(["template", "show", *controller_options, "reindex"]) == 0
    assert json.loads(capsys.readouterr().out)["version"] == 2
    submission = {"nameId": "run-one", "values": {"firm": "red", "shard": 3}}
    cluster.specs["run-one"] = job_submission(1)
    ANSWERS["POST /api/templates/reindex/jobs"] = cluster.user_request(
        "n0", "POST", "/api/templates/reindex/jobs", submission
    )
    arguments = [
        "template",
        "submit",
        *controller_options,
        "reindex",
        "run-one",
        "firm=red",
        "shard=3",
    ]
    assert main(arguments) == 0
    assert capsys.readouterr().out == "run-one: pending\n"


def test_every_example_is_accepted(tmp_path: Path) -> None:
    cluster = sweep_world(3)
    for name in ("array", "gang", "service"):
        spec = json.loads(Path(f"examples/{name}.json").read_text())
        assert cluster.submit("n0", spec)[0] == 201
    template = json.loads(Path("examples/template.json").read_text())
    assert cluster.user_request("n0", "POST", "/api/templates", template)[0] == 201
    for name in ("sweep", "nightly"):
        body = json.loads(Path(f"examples/{name}.json").read_text())
        assert cluster.user_request("n0", "POST", "/api/sweeps", body)[0] == 201
    assert submit_sweep(cluster, "x in 1..2", name="run-more")[0] == 201


def test_too_low_limits_of_the_state_service_are_reported() -> None:
    with pytest.raises(SettingsError, match="`\\$.cluster.state.txn_ops` is 4"):
        Owner(
            controller_settings(0, txn_ops=4),
            Random(1),
            0.0,
            0.0,
            feature_factory(load_features("deploy/features.toml")),
        )

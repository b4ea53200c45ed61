"""Stories of settings and the command line."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sagecove.cli import main
from sagecove.lab.deployment import controller_settings


def write(tmp_path: Path, change: Any = None) -> str:
    raw = json.loads(msgspec.json.encode(controller_settings(0)))
    raw["new_field"] = {"ignored": True}
    if change is not None:
        change(raw)
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(raw))
    return str(path)


def test_good_settings_pass_and_unknown_fields_are_ignored(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["check-config", write(tmp_path)]) == 0
    assert "n0" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("field", "change"),
    [
        ("node", lambda raw: raw.pop("node")),
        ("serve_on", lambda raw: raw.update(serve_on="nowhere")),
        ("lease_s", lambda raw: raw["cluster"]["workers"].update(lease_s=-1)),
        ("cancel_s", lambda raw: raw["cluster"]["workers"].update(cancel_s=1.0)),
        ("teams", lambda raw: raw["cluster"]["teams"][0].update(cpus=1e6)),
        ("members", lambda raw: raw["members"][0].update(node="n0")),
    ],
)
def test_settings_that_make_no_sense_get_one_line_and_status_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], field: str, change: Any
) -> None:
    assert main(["serve", "--config", write(tmp_path, change)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1 and field in error


def test_missing_file_and_broken_json(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check-config", str(tmp_path / "none.json")]) == 2
    broken = tmp_path / "broken.json"
    broken.write_text('{"node": ')
    assert main(["check-config", str(broken)]) == 2
    assert "broken.json" in capsys.readouterr().err


def test_leases_leave_room_for_cancellations() -> None:
    s = controller_settings(0)
    workers = s.params.workers
    assert s.lease_s < workers.lease_s
    assert s.lease_s + workers.lease_s + 4 < workers.cancel_s

"""Checks of the settings file, and the lease length derived from it."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sagecove.cli import main
from sagecove.lab.deployment import controller_settings


def write_settings(tmp_path: Path, change: Any = None) -> str:
    raw = json.loads(msgspec.json.encode(controller_settings(0)))
    raw["new_field"] = {"ignored": True}
    if change is not None:
        change(raw)
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(raw))
    return str(path)


def test_valid_settings_pass_and_unknown_fields_are_ignored(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["check-config", write_settings(tmp_path)]) == 0
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
def test_invalid_settings_give_one_line_and_status_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], field: str, change: Any
) -> None:
    assert main(["serve", "--config", write_settings(tmp_path, change)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1 and field in error


def test_settings_with_six_seconds_between_worker_lease_and_cancel_s_are_accepted(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against controllers that refuse to start for want of a few milliseconds of lease.
    def change(raw: dict[str, Any]) -> None:
        raw["cluster"]["workers"].update(lease_s=8.0, cancel_s=14.0)

    status = main(["check-config", write_settings(tmp_path, change)])
    assert status == 0, capsys.readouterr().err


def test_missing_file_and_invalid_json(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check-config", str(tmp_path / "none.json")]) == 2
    broken = tmp_path / "broken.json"
    broken.write_text('{"node": ')
    assert main(["check-config", str(broken)]) == 2
    assert "broken.json" in capsys.readouterr().err


def test_leases_leave_time_for_cancellations() -> None:
    own_settings = controller_settings(0)
    workers = own_settings.params.workers
    assert own_settings.lease_s < workers.lease_s
    assert own_settings.lease_s + workers.lease_s + 4 < workers.cancel_s

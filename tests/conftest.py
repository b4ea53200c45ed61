"""Passes over the tests that KNOWN-RED.txt lists, and prints them at the end of each run.

`--run-known-red` runs them as well.
"""

from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def listed_tests() -> set[str]:
    """Return the node ids that KNOWN-RED.txt lists, one on a line of its own."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {line.strip() for line in lines if line.startswith("tests/")}


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--run-known-red", action="store_true", help="run the tests of KNOWN-RED.txt")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if config.getoption("--run-known-red"):
        return
    known = listed_tests()
    passed_over = [item for item in items if item.nodeid in known]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    if not config.getoption("--run-known-red"):
        for test in sorted(listed_tests()):
            terminalreporter.write_line(f"known red, not run (KNOWN-RED.txt): {test}")

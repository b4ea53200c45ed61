#!/usr/bin/env bash
# The one test command: sets up what it needs, then style, types and the stories (pytest's summary
# comes last).
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${VIRTUAL_ENV:-}" ]; then
  [ -x .venv/bin/python ] || python3 -m venv .venv
  PATH="$PWD/.venv/bin:$PATH"
  python3 -m pip install -q -r requirements-dev.txt
fi
python3 -m ruff format --check sagecove tests models bench run.py
python3 -m ruff check sagecove tests models bench run.py
python3 -m mypy sagecove
python3 -m pytest -q tests

#!/usr/bin/env bash
# The one test command: style, types, then the stories (pytest's summary comes last).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m ruff format --check sagecove tests run.py
python3 -m ruff check sagecove tests run.py
python3 -m mypy sagecove
python3 -m pytest -q tests

#!/usr/bin/env bash
# The README's first command: sets up what is needed and plays the service on this machine.
set -euo pipefail
cd "$(dirname "$0")"
[ -x .venv/bin/python ] || python3 -m venv .venv
.venv/bin/python -m pip install -q -r requirements.txt
if [ "${1:-}" = --serve ]; then
  shift
  exec .venv/bin/python -m sagecove dev --features deploy/features.toml "$@"
fi
exec .venv/bin/python -m sagecove dev --demo --port 0 --time-scale 4 --features deploy/features.toml "$@"

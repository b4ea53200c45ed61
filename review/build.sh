#!/usr/bin/env bash
# The stand-ins are Python and need no build: this checks that they compile, and installs nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
PYTHONPYCACHEPREFIX=target/review-pycache python3 -m py_compile review/standins.py review/*/case.py

#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: Python of the standard library only, so it is compiled
# in memory, which shows that it can be. Nothing is written and no network is needed.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c '
import pathlib
import sys

files = [pathlib.Path("standins_2.py"), *sorted(pathlib.Path(".").glob("[4-8]/case.py"))]
for path in files:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print(f"{len(files)} files, Python {sys.version.split()[0]}")
'

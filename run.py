"""Entry point named by deploy/service.toml: `python3 run.py --config FILE`."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "target", "deps"))
sys.dont_write_bytecode = True

from sagecove.cli import main  # noqa: E402  (the path above must be set first)

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))

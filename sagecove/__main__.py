"""Runs the command line with `python -m sagecove`."""

import sys

from sagecove.cli import main

sys.exit(main())

"""The `sagecove lab` commands of the command line."""

import argparse
import json
import sys

from sagecove.lab import waste


def parser(_request_options: argparse.ArgumentParser, noun: str) -> argparse.ArgumentParser:
    """Return the argument parser of `sagecove lab`."""
    lab_parser = argparse.ArgumentParser(
        prog=f"sagecove {noun}", description="Analyze logs of controllers."
    )
    verbs = lab_parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    waste_parser = verbs.add_parser("waste", help="summarize wasted work from controllers' logs")
    waste_parser.add_argument(
        "log", metavar="LOG", help="a log file of level info; - for standard input"
    )
    waste_parser.add_argument("--json", action="store_true", help="print JSON")
    return lab_parser


def run(args: argparse.Namespace) -> int:
    """Run a command and return its exit status."""
    if args.log == "-":
        sums = waste.read_log(sys.stdin)
    else:
        with open(args.log, encoding="utf-8", errors="replace") as log_file:
            sums = waste.read_log(log_file)
    if not sums["starts"]:
        print(f"sagecove: {args.log}: no task was started in this log", file=sys.stderr)
        return 1
    print(json.dumps(sums) if args.json else waste.format_table(sums))
    return 0

"""The lab's part of the command line: `sagecove lab waste`."""

import argparse
import json
import sys

from sagecove.lab import waste


def parser(_asking: argparse.ArgumentParser, noun: str) -> argparse.ArgumentParser:
    """Arguments of `sagecove lab`."""
    out = argparse.ArgumentParser(prog=f"sagecove {noun}", description="Look into what happened.")
    verbs = out.add_subparsers(dest="verb", required=True, metavar="VERB")
    told = verbs.add_parser("waste", help="where started work went, by controllers' logs")
    told.add_argument("log", metavar="LOG", help="a file of logs (info); - for standard input")
    told.add_argument("--json", action="store_true", help="print JSON")
    return out


def run(args: argparse.Namespace) -> int:
    """Run a verb; its exit status."""
    if args.log == "-":
        sums = waste.read(sys.stdin)
    else:
        with open(args.log, encoding="utf-8", errors="replace") as lines:
            sums = waste.read(lines)
    if not sums["starts"]:
        print(f"sagecove: {args.log}: no task was started, by these lines", file=sys.stderr)
        return 1
    print(json.dumps(sums) if args.json else waste.show(sums))
    return 0

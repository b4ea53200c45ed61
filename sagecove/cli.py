"""The command line."""

import argparse
import logging
import os
import sys

from sagecove import __version__


def _logging() -> None:
    level = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}.get(
        os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO
    )
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s %(message)s")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sagecove", description="A cluster scheduler whose controllers compete for work."
    )
    parser.add_argument("--version", action="version", version=f"sagecove {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run a controller until it is killed")
    serve.add_argument("--config", required=True, metavar="FILE", help="the settings file")
    check = commands.add_parser("check-config", help="check a settings file")
    check.add_argument("config", metavar="FILE", help="the settings file")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run a command; its exit status: 0 success, 1 refused or failed, 2 usage or settings."""
    args = _parser().parse_args(argv)
    from sagecove.config import SettingsError, load

    try:
        settings = load(args.config)
    except SettingsError as error:
        print(f"sagecove: {error}", file=sys.stderr)
        return 2
    if args.command == "check-config":
        print(f"{args.config}: settings of controller {settings.node} are in order")
        return 0
    _logging()
    from sagecove.service import serve

    serve(settings)
    return 0

"""The command line."""

import argparse
import json
import logging
import os
import sys
from collections.abc import Callable
from typing import Any

from sagecove import __version__
from sagecove.command_groups import COMMAND_MODULES
from sagecove.controller_client import (
    CONTROLLERS_VARIABLE,
    DEFAULT_CONTROLLERS,
    RequestFailed,
    ask_controllers,
    read_json,
)


def _logging() -> None:
    level = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}.get(
        os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO
    )
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s %(message)s")


def _count(text: str) -> int:
    value = int(text)
    if not 1 <= value <= 50:
        raise argparse.ArgumentTypeError("must be from 1 to 50")
    return value


def _scale(text: str) -> float:
    value = float(text)
    if not 0.1 <= value <= 1000:
        raise argparse.ArgumentTypeError("must be from 0.1 to 1000")
    return value


def _asking_parser() -> argparse.ArgumentParser:
    asking = argparse.ArgumentParser(add_help=False)
    asking.add_argument(
        "--controllers",
        metavar="HOST:PORT,...",
        default=os.environ.get(CONTROLLERS_VARIABLE, DEFAULT_CONTROLLERS),
        help=f"whom to ask, in this order (default: ${CONTROLLERS_VARIABLE}, else 127.0.0.1:8080)",
    )
    asking.add_argument("--json", action="store_true", help="print the answer as JSON")
    return asking


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sagecove", description="A cluster scheduler whose controllers compete for work."
    )
    parser.add_argument("--version", action="version", version=f"sagecove {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run a controller until it is killed")
    serve.add_argument("--config", required=True, metavar="FILE", help="the settings file")
    serve.add_argument("--features", metavar="FILE", help="what to turn on beyond the core (TOML)")
    dev = commands.add_parser(
        "dev",
        help="run a whole service on this machine, with stand-ins",
        description="Runs controllers and stand-ins of the state service, the cloud and the workers"
        " on 127.0.0.1, until Ctrl-C.",
    )
    dev.add_argument("--controllers", type=_count, default=3, metavar="N", help="default: 3")
    dev.add_argument(
        "--machines", type=_count, default=4, metavar="N", help="up at the start (default: 4)"
    )
    dev.add_argument(
        "--time-scale",
        type=_scale,
        default=1.0,
        metavar="X",
        help="boots and tasks take an Xth of their time (default: 1)",
    )
    dev.add_argument(
        "--port", type=int, default=8080, help="where users are served; 0: any (default: 8080)"
    )
    dev.add_argument("--features", metavar="FILE", default="", help="what to turn on (TOML)")
    dev.add_argument(
        "--demo", action="store_true", help="submit examples, kill a controller, watch all end"
    )
    check = commands.add_parser("check-config", help="check a settings file")
    check.add_argument("config", metavar="FILE", help="the settings file")
    check.add_argument("--features", metavar="FILE", help="a features file to check with it")

    asking = _asking_parser()
    submit = commands.add_parser("submit", parents=[asking], help="submit a job")
    submit.add_argument("file", metavar="FILE", help="the job as JSON; - for standard input")
    for name, text in (
        ("status", "how far a job is"),
        ("cancel", "cancel a job"),
        ("explain", "why a job waits"),
    ):
        command = commands.add_parser(name, parents=[asking], help=text)
        command.add_argument("job", metavar="JOB", help="the job's id")
    for noun, text in (
        ("sweep", "many jobs from one description (sagecove sweep --help)"),
        ("template", "job descriptions with parameters (sagecove template --help)"),
        ("lab", "look into what happened (sagecove lab --help)"),
    ):
        commands.add_parser(noun, add_help=False, help=text)
    commands.add_parser(
        "cluster", parents=[asking], help="members, shards, teams and machines in trouble"
    )
    return parser


def _command(args: argparse.Namespace) -> Any:
    if args.command == "submit":
        return ask_controllers(args.controllers, "POST", "/api/jobs", read_json(args.file))
    if args.command == "cluster":
        return ask_controllers(args.controllers, "GET", "/cluster")
    from urllib.parse import quote

    job = quote(args.job, safe="")
    if args.command == "status":
        return ask_controllers(args.controllers, "GET", f"/api/jobs/{job}")
    if args.command == "cancel":
        return ask_controllers(args.controllers, "POST", f"/api/jobs/{job}/cancel", b"")
    return ask_controllers(args.controllers, "GET", f"/explain/{job}")


def _show(command: str, answer: dict[str, Any]) -> str:
    if command == "explain":
        lines = [
            f"{answer['job']}: {answer['kind']} of team {answer['team']}, {answer['priority']},"
            f" {answer['done']} of {answer['tasks']} tasks done, {answer['running']} running",
            "within its team's guarantee" if answer["within_guarantee"] else "beyond the guarantee",
            *answer["reasons"],
        ]
        return "\n  ".join(lines) + f"\n(told by {answer['told_by']})"
    if command == "cluster":
        return _show_cluster(answer)
    line = f"{answer['nameId']}: {answer['standing']}"
    if "done" in answer:
        line += f", {answer['done']} tasks done, {answer.get('running') or 0} running"
    return line


def _amounts(team: dict[str, Any], what: str) -> str:
    """A team's CPUs or GPUs against its guarantee and limit."""
    most = team[f"most_{what}"]
    text = (
        f"{team[what]:g} {what[:-1].upper()}s of {team[f'guaranteed_{what}']:g} guaranteed,"
        f" {'no limit' if most is None else f'at most {most:g}'},"
        f" {team[f'borrowed_{what}']:g} borrowed"
    )
    if team.get(f"owed_{what}"):
        text += f", {team[f'owed_{what}']:g} owed"
    if team.get(f"lent_{what}"):
        text += f", {team[f'lent_{what}']:g} of it unused"
    return text


def _show_cluster(answer: dict[str, Any]) -> str:
    lines = [
        f"up: {', '.join(answer['up']) or '-'}; {answer['machines']} machines;"
        f" provisioner {answer['provisioner'] or '-'}"
    ]
    for shard in answer["shards"]:
        since = f", for {shard['held_s']:.0f} s" if shard["held_s"] is not None else ""
        lines.append(
            f"shard {shard['name']}: held by {shard['holder'] or 'nobody'}"
            f" (term {shard['term']}{since}), {shard['machines']} machines"
        )
    for team in answer["teams"]:
        text = f"team {team['name']}: {_amounts(team, 'cpus')}"
        if team["gpus"] or team["guaranteed_gpus"]:
            text += f"; {_amounts(team, 'gpus')}"
        lines.append(f"{text}; {team['waiting_tasks']} tasks wait")
    lines += [
        f"machine {m['name']} ({m['type']}, {m['zone']}, shard {m['shard']}): {m['state']}"
        for m in answer["troubled"]
    ]
    lines += [f"job {job} fails on every machine" for job in answer["failing"]]
    return "\n".join([*lines, f"(told by {answer['told_by']})"])


def _told(args: argparse.Namespace) -> int:
    answer = _command(args)
    print(json.dumps(answer) if args.json else _show(args.command, answer))
    return 0


def _noun(argv: list[str]) -> int:
    """A feature's part of the command line: loaded only when it is asked for."""
    import importlib

    commands = importlib.import_module(COMMAND_MODULES[argv[0]])
    args = commands.parser(_asking_parser(), argv[0]).parse_args(argv[1:])
    return _asking(lambda: commands.run(args))


def _asking(call: Callable[[], int]) -> int:
    """Run what asks controllers; its exit status."""
    try:
        return call()
    except RequestFailed as error:
        print(f"sagecove: {error}", file=sys.stderr)
        return 1
    except (OSError, ValueError) as error:
        print(f"sagecove: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130


def main(argv: list[str] | None = None) -> int:
    """Run a command; its exit status: 0 success, 1 refused or failed, 2 usage or settings."""
    given = sys.argv[1:] if argv is None else argv
    if given and given[0] in COMMAND_MODULES:
        return _noun(given)
    args = _parser().parse_args(given)
    if args.command == "dev":
        from sagecove.lab.dev import run

        return run(
            args.controllers, args.machines, args.time_scale, args.port, args.features, args.demo
        )
    if args.command not in ("serve", "check-config"):
        return _asking(lambda: _told(args))
    from sagecove import features
    from sagecove.config import SettingsError, load_settings

    try:
        settings = load_settings(args.config)
        chosen = features.load_features(args.features) if args.features else []
    except SettingsError as error:
        print(f"sagecove: {error}", file=sys.stderr)
        return 2
    if args.command == "check-config":
        print(f"{args.config}: settings of controller {settings.node} are in order")
        return 0
    _logging()
    from sagecove.service import serve

    try:
        serve(settings, chosen)
    except SettingsError as error:
        print(f"sagecove: {error}", file=sys.stderr)
        return 2
    return 0

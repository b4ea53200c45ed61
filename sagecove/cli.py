"""The command line: runs controllers, checks settings, and sends users' requests."""

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


def _configure_logging() -> None:
    level = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}.get(
        os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO
    )
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s %(message)s")


def _parse_count(text: str) -> int:
    value = int(text)
    if not 1 <= value <= 50:
        raise argparse.ArgumentTypeError("must be from 1 to 50")
    return value


def _parse_time_scale(text: str) -> float:
    value = float(text)
    if not 0.1 <= value <= 1000:
        raise argparse.ArgumentTypeError("must be from 0.1 to 1000")
    return value


def _parse_share(text: str) -> float:
    value = float(text)
    if not 0.0 <= value <= 1.0:
        raise argparse.ArgumentTypeError("must be from 0 to 1")
    return value


def _controller_options() -> argparse.ArgumentParser:
    controller_options = argparse.ArgumentParser(add_help=False)
    controller_options.add_argument(
        "--controllers",
        metavar="HOST:PORT,...",
        default=os.environ.get(CONTROLLERS_VARIABLE, DEFAULT_CONTROLLERS),
        help="controllers to try, in this order"
        f" (default: ${CONTROLLERS_VARIABLE}, else 127.0.0.1:8080)",
    )
    controller_options.add_argument("--json", action="store_true", help="print the answer as JSON")
    return controller_options


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sagecove", description="A cluster scheduler whose controllers compete for work."
    )
    parser.add_argument("--version", action="version", version=f"sagecove {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run a controller until it is killed")
    serve.add_argument("--config", required=True, metavar="FILE", help="the settings file")
    serve.add_argument(
        "--features", metavar="FILE", help="file with the optional features to enable (TOML)"
    )
    dev = commands.add_parser(
        "dev",
        help="run a complete service on this machine, with simulated dependencies",
        description="Runs controllers and simulations of the state service, the cloud and the"
        " workers on 127.0.0.1, until Ctrl-C.",
    )
    dev.add_argument("--controllers", type=_parse_count, default=3, metavar="N", help="default: 3")
    dev.add_argument(
        "--machines",
        type=_parse_count,
        default=4,
        metavar="N",
        help="running at the start (default: 4)",
    )
    dev.add_argument(
        "--time-scale",
        type=_parse_time_scale,
        default=1.0,
        metavar="X",
        help="factor by which boots and tasks are sped up (default: 1)",
    )
    dev.add_argument(
        "--copy-commands",
        type=_parse_share,
        default=0.0,
        metavar="SHARE",
        help="share of direct commands that reach their worker once more, up to 8 s later"
        " (default: 0)",
    )
    dev.add_argument(
        "--port", type=int, default=8080, help="port for users; 0: any free port (default: 8080)"
    )
    dev.add_argument(
        "--features",
        metavar="FILE",
        default="",
        help="file with the optional features to enable (TOML)",
    )
    dev.add_argument(
        "--demo",
        action="store_true",
        help="submit example jobs, kill a controller, and wait until all have ended",
    )
    check = commands.add_parser("check-config", help="check a settings file")
    check.add_argument("config", metavar="FILE", help="the settings file")
    check.add_argument("--features", metavar="FILE", help="a features file to check with it")

    controller_options = _controller_options()
    submit = commands.add_parser("submit", parents=[controller_options], help="submit a job")
    submit.add_argument("file", metavar="FILE", help="the job as JSON; - for standard input")
    for name, text in (
        ("status", "show the progress of a job"),
        ("cancel", "cancel a job"),
        ("explain", "show why a job waits"),
    ):
        command = commands.add_parser(name, parents=[controller_options], help=text)
        command.add_argument("job", metavar="JOB", help="the job's id")
    for group, text in (
        ("sweep", "submit many jobs with one description (sagecove sweep --help)"),
        ("template", "store job descriptions with parameters (sagecove template --help)"),
        ("lab", "analyze what happened in a run (sagecove lab --help)"),
    ):
        commands.add_parser(group, add_help=False, help=text)
    commands.add_parser(
        "cluster",
        parents=[controller_options],
        help="show controllers, shards, teams and machines in trouble",
    )
    return parser


def _send_request(args: argparse.Namespace) -> Any:
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


def _format_answer(command: str, answer: dict[str, Any]) -> str:
    if command == "explain":
        lines = [
            f"{answer['job']}: {answer['kind']} of team {answer['team']}, {answer['priority']},"
            f" {answer['done']} of {answer['tasks']} tasks done, {answer['running']} running",
            "within its team's guarantee" if answer["within_guarantee"] else "beyond the guarantee",
            *answer["reasons"],
        ]
        return "\n  ".join(lines) + f"\n(told by {answer['told_by']})"
    if command == "cluster":
        return _format_cluster(answer)
    line = f"{answer['nameId']}: {answer['standing']}"
    if "done" in answer:
        line += f", {answer['done']} tasks done, {answer.get('running') or 0} running"
    return line


def _format_resource(team: dict[str, Any], resource: str) -> str:
    """Describe a team's CPUs or GPUs, its guarantee and its limit."""
    limit = team[f"most_{resource}"]
    text = (
        f"{team[resource]:g} {resource[:-1].upper()}s"
        f" of {team[f'guaranteed_{resource}']:g} guaranteed,"
        f" {'no limit' if limit is None else f'at most {limit:g}'},"
        f" {team[f'borrowed_{resource}']:g} borrowed"
    )
    if team.get(f"owed_{resource}"):
        text += f", {team[f'owed_{resource}']:g} owed"
    if team.get(f"lent_{resource}"):
        text += f", {team[f'lent_{resource}']:g} of it unused"
    return text


def _format_cluster(answer: dict[str, Any]) -> str:
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
        text = f"team {team['name']}: {_format_resource(team, 'cpus')}"
        if team["gpus"] or team["guaranteed_gpus"]:
            text += f"; {_format_resource(team, 'gpus')}"
        lines.append(f"{text}; {team['waiting_tasks']} tasks wait")
    lines += [
        f"machine {machine['name']} ({machine['type']}, {machine['zone']},"
        f" shard {machine['shard']}): {machine['state']}"
        for machine in answer["troubled"]
    ]
    lines += [f"job {job} fails on every machine" for job in answer["failing"]]
    return "\n".join([*lines, f"(told by {answer['told_by']})"])


def _run_request(args: argparse.Namespace) -> int:
    answer = _send_request(args)
    print(json.dumps(answer) if args.json else _format_answer(args.command, answer))
    return 0


def _run_group(argv: list[str]) -> int:
    """Run a command of a group whose module is loaded only when the group is used."""
    import importlib

    commands = importlib.import_module(COMMAND_MODULES[argv[0]])
    args = commands.parser(_controller_options(), argv[0]).parse_args(argv[1:])
    return _run_reporting_errors(lambda: commands.run(args))


def _run_reporting_errors(call: Callable[[], int]) -> int:
    """Run a command that sends requests to controllers; return its exit status."""
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
    """Run a command and return its exit status.

    The status is 0 for success, 1 if the request was refused or failed, and 2 for wrong usage or
    settings.
    """
    arguments = sys.argv[1:] if argv is None else argv
    if arguments and arguments[0] in COMMAND_MODULES:
        return _run_group(arguments)
    args = _parser().parse_args(arguments)
    if args.command == "dev":
        from sagecove.lab.dev import run

        return run(
            *(args.controllers, args.machines, args.time_scale, args.port, args.features),
            *(args.demo, args.copy_commands),
        )
    if args.command not in ("serve", "check-config"):
        return _run_reporting_errors(lambda: _run_request(args))
    from sagecove import features
    from sagecove.config import SettingsError, load_settings

    try:
        settings = load_settings(args.config)
        enabled_features = features.load_features(args.features) if args.features else []
    except SettingsError as error:
        print(f"sagecove: {error}", file=sys.stderr)
        return 2
    if args.command == "check-config":
        print(f"{args.config}: settings of controller {settings.node} are in order")
        return 0
    _configure_logging()
    from sagecove.service import serve

    try:
        serve(settings, enabled_features)
    except SettingsError as error:
        print(f"sagecove: {error}", file=sys.stderr)
        return 2
    return 0

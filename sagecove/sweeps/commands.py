"""Implements the commands `sagecove template` and `sagecove sweep`."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from sagecove.controller_client import RequestFailed, ask_controllers, read_json

POLL_INTERVAL_S = 2.0
FINAL_STATES = ("done", "aborted")


def _path(*parts: str) -> str:
    return "/api/" + "/".join(quote(part, safe="") for part in parts)


def _post(args: argparse.Namespace, path: str, body: Any) -> Any:
    return ask_controllers(args.controllers, "POST", path, json.dumps(body).encode())


def parser(controller_options: argparse.ArgumentParser, noun: str) -> argparse.ArgumentParser:
    """Build the parser of a noun.

    `controller_options` has the options of all commands that send requests to controllers.
    """
    if noun == "template":
        return _template_parser(controller_options)
    noun_parser = argparse.ArgumentParser(
        prog="sagecove sweep", description="Sweeps: many jobs from one description."
    )
    verb_parsers = noun_parser.add_subparsers(dest="verb", required=True, metavar="VERB")

    def verb(name: str, text: str, run: Callable[..., Any]) -> argparse.ArgumentParser:
        subparser = verb_parsers.add_parser(
            name, parents=[controller_options], help=text, description=text
        )
        subparser.set_defaults(run=run)
        return subparser

    submit = verb("submit", "Submit a sweep.", _submit)
    submit.add_argument("file", metavar="FILE", help="the sweep as JSON; - for standard input")
    submit.add_argument(
        "--wait", action="store_true", help="wait until it has ended and show progress"
    )
    preview = verb(
        "preview", "Show what a sweep would expand into, without submitting it.", _preview
    )
    preview.add_argument("file", metavar="FILE", help="the sweep as JSON; - for standard input")
    verb("list", "List the sweeps that have not ended.", _list)
    status = verb("status", "Show the progress of a sweep and the points that failed.", _status)
    status.add_argument(
        "--wait", action="store_true", help="wait until it has ended and show progress"
    )
    points = verb("points", "List a sweep's points with their values and states.", _points)
    states = ["pending", "running", "done", "failed", "aborted", "left_out"]
    points.add_argument("--state", choices=states, help="list only points in this state")
    points.add_argument("--from", dest="first", type=int, default=0, metavar="K")
    points.add_argument("--most", type=int, default=100, metavar="N", help="default: 100")
    cancel = verb("cancel", "Cancel all points that have not ended.", _cancel)
    retry = verb("retry", "Submit the failed points of a sweep as a new one.", _retry)
    retry.add_argument("--failed", action="store_true", help="those that failed (the default)")
    retry.add_argument("--cancelled", action="store_true", help="those that were cancelled")
    for subparser in (status, points, cancel, retry):
        subparser.add_argument("sweep", metavar="SWEEP", help="the sweep's id")
    retry.add_argument("new", metavar="NEW", help="id of the new sweep")
    return noun_parser


def _template_parser(controller_options: argparse.ArgumentParser) -> argparse.ArgumentParser:
    noun_parser = argparse.ArgumentParser(
        prog="sagecove template", description="Templates: job descriptions with parameters."
    )
    verb_parsers = noun_parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    put = verb_parsers.add_parser("put", parents=[controller_options], help="store a new version")
    put.add_argument("file", metavar="FILE", help="the template as JSON; - for standard input")
    put.set_defaults(run=_template_put)
    verb_parsers.add_parser(
        "list", parents=[controller_options], help="all templates"
    ).set_defaults(run=_template_list)
    show = verb_parsers.add_parser(
        "show", parents=[controller_options], help="a version, or the newest"
    )
    diff = verb_parsers.add_parser(
        "diff", parents=[controller_options], help="what differs between two versions"
    )
    for subparser in (show, diff):
        subparser.add_argument("name", metavar="NAME", help="the template's name")
    show.add_argument("version", metavar="VERSION", type=int, nargs="?")
    show.set_defaults(run=_template_show)
    diff.add_argument("old", metavar="OLD", type=int, help="a version's number")
    diff.add_argument("new", metavar="NEW", type=int, nargs="?", help="default: the newest")
    diff.set_defaults(run=_template_diff)
    submit = verb_parsers.add_parser(
        "submit", parents=[controller_options], help="submit one job of a template"
    )
    submit.add_argument("name", metavar="NAME", help="the template's name")
    submit.add_argument("job", metavar="JOB", help="the job's id")
    submit.add_argument("values", metavar="NAME=VALUE", nargs="*", help="values as JSON, or texts")
    submit.add_argument("--version", type=int, help="default: the newest")
    submit.set_defaults(run=_template_submit)
    return noun_parser


def run(args: argparse.Namespace) -> int:
    """Run a command and return its exit status. Raises `RequestFailed` and `ValueError`."""
    status: int = args.run(args)
    return status


def _print(args: argparse.Namespace, answer: Any, lines: list[str]) -> int:
    print(json.dumps(answer) if args.json else "\n".join(lines))
    return 0


# -- sweeps -------------------------------------------------------------------------------------


def _submit(args: argparse.Namespace) -> int:
    body = read_json(args.file)
    answer = ask_controllers(args.controllers, "POST", _path("sweeps"), body)
    if args.wait:
        args.sweep = answer["id"]
        return _wait_until_over(args)
    # The answer for a new sweep has no counts of points by state.
    known = ", was known already" if "done" in answer else ""
    points = answer["points"]
    return _print(args, answer, [f"{answer['id']}: {answer['state']}, {points} points{known}"])


def _preview(args: argparse.Namespace) -> int:
    answer = ask_controllers(
        args.controllers, "POST", _path("sweeps", "preview"), read_json(args.file)
    )
    lines = [f"{answer['points']} points, the first of them:"]
    for point in answer["first"]:
        values = json.dumps(point["values"])
        lines.append(f"  {point['point']}: {values}  {point.get('failed', 'can run')}")
    return _print(args, answer, lines)


def _list(args: argparse.Namespace) -> int:
    answer = ask_controllers(args.controllers, "GET", _path("sweeps"))
    return _print(
        args, answer, [_summary_line(s) for s in answer["sweeps"]] or ["no sweep is under way"]
    )


def _summary_line(answer: dict[str, Any]) -> str:
    answer = {**answer, "starting": max(0, answer["claimed"] - answer["running"])}
    parts = [
        f"{answer[name]} {text}"
        for name, text in (
            ("done", "done"),
            ("running", "running"),
            ("starting", "starting"),
            ("waiting", "waiting"),
            ("failed", "failed"),
            ("cancelled", "cancelled"),
            ("left_out", "left out"),
        )
        if answer[name] or name == "done"
    ]
    return f"{answer['id']}: {answer['state']}, {answer['points']} points: {', '.join(parts)}"


def _status(args: argparse.Namespace) -> int:
    if args.wait:
        return _wait_until_over(args)
    answer = ask_controllers(args.controllers, "GET", _path("sweeps", args.sweep))
    return _print(args, answer, [_summary_line(answer), *_failure_lines(answer)])


def _failure_lines(answer: dict[str, Any]) -> list[str]:
    """Format one line for each reason, as most of thousands of failing points share one."""
    lines = []
    for reason in answer["reasons"]:
        first = ", ".join(str(point) for point in reason["first"])
        count = reason["points"]
        if count == 1:
            lines.append(f"  point {first} failed: {reason['why']}")
        else:
            more = ", ..." if count > len(reason["first"]) else ""
            lines.append(f"  {count} points failed ({first}{more}): {reason['why']}")
    return lines


def _wait_until_over(args: argparse.Namespace) -> int:
    """Poll until the sweep has ended and return the exit status.

    It is 0 if all points are done, 1 if some failed or were cancelled. Progress is printed to
    standard error, on a terminal only.
    """
    while True:
        try:
            answer = ask_controllers(args.controllers, "GET", _path("sweeps", args.sweep))
        except RequestFailed as error:
            if error.status not in (None, 429, 503, 504):
                raise
        else:
            if answer["state"] in FINAL_STATES:
                break
            if sys.stderr.isatty():
                print(f"\r\x1b[K{_summary_line(answer)}", end="", file=sys.stderr, flush=True)
        time.sleep(POLL_INTERVAL_S)
    if sys.stderr.isatty():
        print("\r\x1b[K", end="", file=sys.stderr)
    _print(args, answer, [_summary_line(answer)])
    return 0 if answer["state"] == "done" and not answer["failed"] + answer["cancelled"] else 1


def _points(args: argparse.Namespace) -> int:
    query = f"?from={args.first}&most={args.most}" + (f"&state={args.state}" if args.state else "")
    found: list[dict[str, Any]] = []
    while True:
        answer = ask_controllers(
            args.controllers, "GET", _path("sweeps", args.sweep, "points") + query
        )
        found += answer["points"]
        left = args.most - len(found)
        if answer["next"] is None or left <= 0:
            break
        query = f"?from={answer['next']}&most={left}"
        query += f"&state={args.state}" if args.state else ""
    lines = [
        f"{p['job']}: {p['state']} {json.dumps(p['values'])}{'  ' + p['why'] if 'why' in p else ''}"
        for p in found
    ]
    return _print(args, {"points": found, "next": answer["next"]}, lines or ["no such point"])


def _cancel(args: argparse.Namespace) -> int:
    answer = ask_controllers(args.controllers, "POST", _path("sweeps", args.sweep, "cancel"), b"")
    return _print(args, answer, [_summary_line(answer)])


def _retry(args: argparse.Namespace) -> int:
    states = [s for s in ("failed", "cancelled") if getattr(args, s)] or ["failed"]
    body = {"id": args.new, "states": states}
    answer = _post(args, _path("sweeps", args.sweep, "retry"), body)
    return _print(args, answer, [f"{answer['id']}: {answer['state']}"])


# -- templates ----------------------------------------------------------------------------------


def _template_put(args: argparse.Namespace) -> int:
    answer = ask_controllers(args.controllers, "POST", _path("templates"), read_json(args.file))
    return _print(args, answer, [f"{answer['name']}: version {answer['version']}"])


def _template_list(args: argparse.Namespace) -> int:
    answer = ask_controllers(args.controllers, "GET", _path("templates"))
    lines = [f"{t['name']}: version {t['version']}  {t['about']}" for t in answer["templates"]]
    return _print(args, answer, lines or ["there are no templates"])


def _get_template(args: argparse.Namespace, version: int | None) -> Any:
    query = f"?version={version}" if version is not None else ""
    return ask_controllers(args.controllers, "GET", _path("templates", args.name) + query)


def _template_show(args: argparse.Namespace) -> int:
    answer = _get_template(args, args.version)
    return _print(args, answer, [json.dumps(answer, indent=2)])


def _template_diff(args: argparse.Namespace) -> int:
    import msgspec

    from sagecove.sweeps.records import Template
    from sagecove.sweeps.template import differences

    old, new = (
        msgspec.convert(_get_template(args, version), Template) for version in (args.old, args.new)
    )
    found = differences(old, new)
    answer = {"old": old.version, "new": new.version, "differences": found}
    return _print(
        args, answer, found or [f"versions {old.version} and {new.version} are identical"]
    )


def _template_submit(args: argparse.Namespace) -> int:
    values = {}
    for assignment in args.values:
        name, sign, text = assignment.partition("=")
        if not sign:
            raise ValueError(f"{assignment}: must be NAME=VALUE")
        try:
            values[name] = json.loads(text)
        except json.JSONDecodeError:
            values[name] = text
    body = {"nameId": args.job, "values": values, "version": args.version}
    answer = _post(args, _path("templates", args.name, "jobs"), body)
    return _print(args, answer, [f"{answer['nameId']}: {answer['standing']}"])

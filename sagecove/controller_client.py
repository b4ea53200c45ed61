"""Asking controllers from the command line."""

import http.client
import json
import sys
from typing import Any

# Where controllers are asked: addresses with commas between, tried in this order.
CONTROLLERS_VARIABLE = "SAGECOVE_CONTROLLERS"
DEFAULT_CONTROLLERS = "127.0.0.1:8080"


class RequestFailed(Exception):
    """A command was refused or nobody answered: one line for the user, and status 1. `status`:
    that of the last answer, if there was one."""

    def __init__(self, why: str, status: int | None = None) -> None:
        super().__init__(why)
        self.status = status


def ask_controllers(controllers: str, method: str, path: str, body: bytes | None = None) -> Any:
    """Ask the controllers in turn until one gives an answer that is not "not now"."""
    last, status = "no address", None
    for address in controllers.split(","):
        try:
            connection = http.client.HTTPConnection(address.strip(), timeout=5)
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            content = json.loads(answer.read() or b"null")
            connection.close()
        except (OSError, http.client.HTTPException, ValueError) as error:
            last = f"{address.strip()}: {error}"
            continue
        status = answer.status
        if status in (200, 201):
            return content
        why = content.get("error", "") if isinstance(content, dict) else ""
        last = f"{address.strip()} answers {status}: {why}"
        if status not in (429, 503, 504):
            raise RequestFailed(last, status)
    raise RequestFailed(f"no controller can answer ({last})", status)


def read_json(path: str) -> bytes:
    """A file's JSON as it stands (`-`: standard input); `ValueError` names a mistake's place."""
    if path == "-":
        text, name = sys.stdin.read(), "standard input"
    else:
        with open(path, encoding="utf-8") as file:
            text, name = file.read(), path
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        raise ValueError(f"{name}:{error.lineno}:{error.colno}: {error.msg}") from None
    return text.encode()

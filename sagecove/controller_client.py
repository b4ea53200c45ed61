"""HTTP requests from the command line to controllers."""

import http.client
import json
import sys
from typing import Any

# Environment variable with the addresses of controllers, separated by commas, tried in this order.
CONTROLLERS_VARIABLE = "SAGECOVE_CONTROLLERS"
DEFAULT_CONTROLLERS = "127.0.0.1:8080"


class RequestFailed(Exception):
    """A request was refused, or no controller answered.

    The message is one line for the user, and the command exits with status 1. `status` is the HTTP
    status of the last answer, if there was one.
    """

    def __init__(self, reason: str, status: int | None = None) -> None:
        super().__init__(reason)
        self.status = status


def ask_controllers(controllers: str, method: str, path: str, body: bytes | None = None) -> Any:
    """Send a request to each controller in turn until one accepts or finally refuses it."""
    last_error, status = "no address", None
    for address in controllers.split(","):
        try:
            connection = http.client.HTTPConnection(address.strip(), timeout=5)
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = json.loads(response.read() or b"null")
            connection.close()
        except (OSError, http.client.HTTPException, ValueError) as error:
            last_error = f"{address.strip()}: {error}"
            continue
        status = response.status
        if status in (200, 201):
            return content
        reason = content.get("error", "") if isinstance(content, dict) else ""
        last_error = f"{address.strip()} answers {status}: {reason}"
        if status not in (429, 503, 504):
            raise RequestFailed(last_error, status)
    raise RequestFailed(f"no controller can answer ({last_error})", status)


def read_json(path: str) -> bytes:
    """Read a file (`-`: standard input) unchanged, and check that it is JSON.

    Raises `ValueError` with the line and column of a syntax error.
    """
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

"""Contains exceptions, so that what raises one does not stop what is handled beside it.

An exception here is a fault of this program, as decoders raise only `MalformedMessage`. The
controller goes on without the rest of the action that raised. Ending the process instead would
let a request that is repeated end every controller in turn, and with them the leases of all
workers; what a controller may start is bounded by conditions on records in the state service, which
do not depend on the state of the action that was cut short. docs/design.md weighs both.
"""

import logging
from collections.abc import Callable
from typing import Any

from sagecove.coordination.event_counts import EventCounts

log = logging.getLogger("sagecove.owner")

# Different faults that are logged with a traceback; each is logged once, and counted every time.
LOGGED_FAULT_COUNT = 20


class Containment:
    """Runs actions, and logs and counts the exceptions that they raise."""

    def __init__(self, event_counts: EventCounts) -> None:
        self.event_counts = event_counts
        # Faults so far: what was being done, and the exception. Bounded as those logged.
        self.faults: dict[tuple[str, str], Exception] = {}

    def run(self, what: str, action: Callable[..., Any], *args: Any) -> bool:
        """Run an action; return whether it ended without an exception.

        `what` names the action in the log line and the metric.
        """
        try:
            action(*args)
        except Exception as error:
            self._record(what, error)
            return False
        return True

    def _record(self, what: str, error: Exception) -> None:
        self.event_counts.add(f"contained {what}")
        fault = (what, repr(error)[:200])
        if fault not in self.faults and len(self.faults) < LOGGED_FAULT_COUNT:
            self.faults[fault] = error
            log.error("contained an exception in=%s", what, exc_info=error)

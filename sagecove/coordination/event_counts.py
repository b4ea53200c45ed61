"""Counts events and logs the counts at intervals: the controller's metrics."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger("sagecove.events")

# Time between two lines of counts, in seconds.
LOG_INTERVAL_S = 10.0


class EventCounts:
    """Counts of events by name since the process started."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self._logged: Counter[str] = Counter()
        self._next_log_at = 0.0

    def add(self, event: str) -> None:
        """Count an event; its name becomes a key of the log line, without spaces."""
        self.totals[event] += 1

    def tick(self, now: float) -> None:
        """Log which events happened how often since the last line, if any did and one is due."""
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        if recent := self.totals - self._logged:
            counts = " ".join(
                f"{event.replace(' ', '-')}={n}" for event, n in sorted(recent.items())
            )
            log.info("events %s", counts)
            self._logged = self.totals.copy()

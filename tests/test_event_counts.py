"""The log line with counts of events."""

import logging

import pytest

from sagecove.coordination.event_counts import LOG_INTERVAL_S, EventCounts


def test_counts_are_logged_once_an_interval_and_only_what_is_new(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a line for each event, and against totals that look like new events.
    caplog.set_level(logging.INFO, "sagecove.events")
    counts = EventCounts()
    counts.tick(100.0)
    for _ in range(3):
        counts.add("list overtaken")
    counts.tick(100.0 + LOG_INTERVAL_S / 2)
    counts.tick(100.0 + LOG_INTERVAL_S)
    counts.add("report refused")
    counts.tick(100.0 + 2 * LOG_INTERVAL_S)
    counts.tick(100.0 + 3 * LOG_INTERVAL_S)
    assert [record.getMessage() for record in caplog.records] == [
        "events list-overtaken=3",
        "events report-refused=1",
    ]
    assert counts.totals == {"list overtaken": 3, "report refused": 1}

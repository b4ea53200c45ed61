"""Summarizes wasted work from controllers' logs: `sagecove lab waste LOG`.

Counts task starts and, for tasks that ended without completing, why and for which job they ended
and how much of their work was lost. A log may hold lines of several controllers, with any prefix.
"""

import re
from collections import Counter
from collections.abc import Iterable
from typing import Any

START_LINE = re.compile(r"start task=(\S+) ")
END_LINE = re.compile(
    r"task ended task=(\S+) attempt=\d+ machine=\S+ class=(\S+) why=(\S+) for=(\S+)"
    r" ran=([\d.]+) lost_cpu_s=([\d.]+)"
)
DONE_LINE = re.compile(r"tasks done class=(\S+) tasks=(\d+) cpu_s=([\d.]+)")
# Texts for the values of a stop's `for` that are not job ids.
CAUSE_TEXTS = {
    "job-over": "its job is over",
    "gang": "its gang ended",
    "spot-notice": "spot notice",
}


def read_log(lines: Iterable[str]) -> dict[str, Any]:
    """Return totals over a log's lines; times are CPU seconds.

    Each entry of `causes` is for a class and a cause: ended tasks, those that never ran, those that
    lost no work, and the CPU seconds lost.
    """
    starts: Counter[str] = Counter()
    causes: dict[tuple[str, str], list[float]] = {}
    done: dict[str, list[float]] = {}
    for line in lines:
        if match := START_LINE.search(line):
            starts[match[1]] += 1
        elif match := END_LINE.search(line):
            _, class_name, exit_reason, stopped_for, ran_s, lost_cpu_s = match.groups()
            sums = causes.setdefault(
                (class_name, _cause_text(exit_reason, stopped_for)), [0, 0, 0, 0.0]
            )
            sums[0] += 1
            sums[1] += float(ran_s) == 0
            sums[2] += float(ran_s) > 0 and float(lost_cpu_s) == 0
            sums[3] += float(lost_cpu_s)
        elif match := DONE_LINE.search(line):
            totals = done.setdefault(match[1], [0, 0.0])
            totals[0] += int(match[2])
            totals[1] += float(match[3])
    thrown_away = sum(
        int(sums[0] - sums[2]) for (_, cause), sums in causes.items() if cause != JOB_OVER_TEXT
    )
    return {
        "starts": starts.total(),
        "thrown_away": thrown_away,
        "most_starts_of_a_task": max(starts.values(), default=0),
        "tasks_started_again": sum(count > 1 for count in starts.values()),
        "done": [
            {"class": class_name, "tasks": int(count), "cpu_s": round(cpu_s, 1)}
            for class_name, (count, cpu_s) in sorted(done.items())
        ],
        "causes": [
            {
                "class": class_name,
                "cause": cause,
                "ended": int(sums[0]),
                "never_ran": int(sums[1]),
                "saved": int(sums[2]),
                "lost_cpu_s": round(sums[3], 1),
            }
            for (class_name, cause), sums in sorted(causes.items(), key=lambda c: -c[1][3])
        ],
    }


JOB_OVER_TEXT = CAUSE_TEXTS["job-over"]


def _cause_text(exit_reason: str, stopped_for: str) -> str:
    if stopped_for in CAUSE_TEXTS:
        return CAUSE_TEXTS[stopped_for]
    if exit_reason == "stopped":
        return "stopped for another job"
    return exit_reason


def format_table(sums: dict[str, Any]) -> str:
    """Return the totals as a text table."""
    starts = sums["starts"]
    share = 100 * sums["thrown_away"] / starts if starts else 0.0
    lines = [
        f"{starts} starts, {sums['thrown_away']} thrown away ({share:.1f}%);"
        f" {sums['tasks_started_again']} tasks started again,"
        f" one {sums['most_starts_of_a_task']} times",
        f"{'class':<20} {'cause':<24} {'ended':>7} {'never ran':>9} {'saved':>7}"
        f" {'lost CPU s':>11}",
    ]
    for row in sums["causes"]:
        lines.append(
            f"{row['class']:<20} {row['cause']:<24} {row['ended']:>7} {row['never_ran']:>9}"
            f" {row['saved']:>7} {row['lost_cpu_s']:>11.1f}"
        )
    for row in sums["done"]:
        lines.append(
            f"{row['class']:<20} {'done':<24} {row['tasks']:>7} {'':>17} {row['cpu_s']:>11.1f}"
        )
    return "\n".join(lines)

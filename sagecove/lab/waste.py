"""Where started work goes, read off controllers' logs: `sagecove lab waste LOG`.

Counts starts, and of the tasks that ended without being done: why, for whom, and how much of their
run was thrown away. A log may hold several controllers' lines and whatever stands before them.
"""

import re
from collections import Counter
from collections.abc import Iterable
from typing import Any

START = re.compile(r"start task=(\S+) ")
END = re.compile(
    r"task ended task=(\S+) attempt=\d+ machine=\S+ class=(\S+) why=(\S+) for=(\S+)"
    r" ran=([\d.]+) lost_cpu_s=([\d.]+)"
)
DONE = re.compile(r"tasks done class=(\S+) tasks=(\d+) cpu_s=([\d.]+)")
# What a stop's `for` may say beside a job's id.
WORDS = {"job-over": "its job is over", "gang": "its gang ended", "spot-notice": "spot notice"}


def read(lines: Iterable[str]) -> dict[str, Any]:
    """Sums over a log; times in CPU seconds.

    `causes` is by (class, cause): tasks, of these never run, of these with nothing lost, and the
    CPU seconds that were.
    """
    starts: Counter[str] = Counter()
    causes: dict[tuple[str, str], list[float]] = {}
    done: dict[str, list[float]] = {}
    for line in lines:
        if found := START.search(line):
            starts[found[1]] += 1
        elif found := END.search(line):
            _, klass, why, whom, ran, lost = found.groups()
            sums = causes.setdefault((klass, _cause(why, whom)), [0, 0, 0, 0.0])
            sums[0] += 1
            sums[1] += float(ran) == 0
            sums[2] += float(ran) > 0 and float(lost) == 0
            sums[3] += float(lost)
        elif found := DONE.search(line):
            have = done.setdefault(found[1], [0, 0.0])
            have[0] += int(found[2])
            have[1] += float(found[3])
    thrown = sum(int(sums[0] - sums[2]) for (_, cause), sums in causes.items() if cause != OVER)
    return {
        "starts": starts.total(),
        "thrown_away": thrown,
        "most_starts_of_a_task": max(starts.values(), default=0),
        "tasks_started_again": sum(count > 1 for count in starts.values()),
        "done": [
            {"class": klass, "tasks": int(count), "cpu_s": round(spent, 1)}
            for klass, (count, spent) in sorted(done.items())
        ],
        "causes": [
            {
                "class": klass,
                "cause": cause,
                "ended": int(sums[0]),
                "never_ran": int(sums[1]),
                "saved": int(sums[2]),
                "lost_cpu_s": round(sums[3], 1),
            }
            for (klass, cause), sums in sorted(causes.items(), key=lambda c: -c[1][3])
        ],
    }


OVER = WORDS["job-over"]


def _cause(why: str, whom: str) -> str:
    if whom in WORDS:
        return WORDS[whom]
    if why == "stopped":
        return "stopped for another job"
    return why


def show(sums: dict[str, Any]) -> str:
    """A table."""
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

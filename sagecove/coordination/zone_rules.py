"""Rules on the zones of a job's tasks: all in one zone, or at most half of them in each."""

from __future__ import annotations

from sagecove.coordination.model import JobRun
from sagecove.protocol.users import Job


def tasks_by_zone(job: JobRun) -> dict[str, int]:
    """Count a job's tasks by zone, including those that are stopping."""
    counts: dict[str, int] = {}
    for placement in job.placed.values():
        if placement.takes_room:
            zone = placement.machine.record.zone
            counts[zone] = counts.get(zone, 0) + 1
    return counts


def tasks_per_zone_limit(spec: Job) -> int:
    """Return how many tasks of a job may be in one zone at one time."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def tasks_allowed_by_zone(job: JobRun, fitting: dict[str, int]) -> dict[str, int]:
    """Return how many more tasks of a job may start in each zone, of those that fit there. If all
    must be in one zone, that is the zone of the tasks there are, or else the one with most room."""
    spec = job.spec
    if not spec.one_zone and not spec.spread:
        return fitting
    present = tasks_by_zone(job)
    limit = tasks_per_zone_limit(spec)
    allowed = {
        zone: max(0, min(count, limit - present.get(zone, 0))) for zone, count in fitting.items()
    }
    if not spec.one_zone:
        return allowed
    if present:
        return {zone: count for zone, count in allowed.items() if zone in present}
    best = max(sorted(allowed), key=lambda zone: allowed[zone], default=None)
    return {} if best is None else {best: allowed[best]}

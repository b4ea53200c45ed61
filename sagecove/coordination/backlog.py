"""Jobs that wait, sorted so that a pass looks only at what something may be done for.

Most jobs of a backlog are resting: arrays of which no task is claimed, placed or being claimed, and
nothing is to be done for them but to claim some task once there is room. Resting jobs that need the
same, of one team and standing, are alike: if there is no room for one, there is none for the
others, and the pass looks at one of them. All else is active, and is looked at one by one.
"""

from __future__ import annotations

from collections.abc import Iterator

from sagecove.coordination.interfaces import BacklogContext
from sagecove.coordination.model import JobRun, precedence

Key = tuple[object, ...]

# Of a large group only the first so many are handed to a pass: more than one pass can claim.
FIRST = 64
# Larger groups are put in order less often: so many seconds for each job.
ORDER_S = 0.0004
SMALL = 200
# Jobs without records of their own hardly differ: they are put in order so often (seconds).
HOMED_S = 1.0


def resting(job: JobRun) -> bool:
    """Nothing is to be done for a job but to claim some of its tasks."""
    return bool(
        job.array
        and not job.claimed_whole
        and not job.claims
        and not job.placed
        and not job.finished_unrecorded
        and not job.unplaceable_since
        and not job.reserved
        and not job.committing
        and job.claiming is None
        and not job.judged_faulty
        and job.unclaimed
    )


def alike(job: JobRun) -> Key:
    """Jobs with this in common find room, or none, together."""
    spec = job.spec
    types = tuple(spec.types) if spec.types is not None else None
    return (
        *(spec.team, job.priority, job.within_guarantee),
        *(types, spec.zone, spec.spot, spec.cpus, spec.gpus, spec.memory_gb),
        job.durable_state is None,
    )


class Group:
    """Resting jobs that are alike."""

    def __init__(self, key: Key) -> None:
        self.key = key
        self.jobs: dict[str, JobRun] = {}
        # In order as of `ordered_at`; some may have left since. Those that came since are apart.
        self.ordered: list[JobRun] = []
        self.ordered_at = -1e9
        self.came: list[JobRun] = []

    def any_job(self) -> JobRun:
        """One of them."""
        return next(iter(self.jobs.values()))

    def add(self, job: JobRun) -> None:
        """A job rests."""
        self.jobs[job.id] = job
        self.came.append(job)


class Backlog:
    """Active jobs, and groups of resting ones."""

    def __init__(self, owner: BacklogContext) -> None:
        self.owner = owner
        self.active: dict[str, JobRun] = {}
        # Active jobs that something has happened to, or is to be done for: passes look at these.
        self.dirty_jobs: dict[str, JobRun] = {}
        self.groups: dict[Key, Group] = {}
        self.resting_count = 0

    def reclassify(self, job: JobRun) -> None:
        """A job has come, or something about it has changed."""
        key = alike(job) if resting(job) else None
        if key is not None and key == job.group_key:
            return
        self.remove(job)
        if key is None:
            self.active[job.id] = job
            self.dirty_jobs[job.id] = job
        else:
            group = self.groups.get(key)
            if group is None:
                group = self.groups[key] = Group(key)
            job.group_key = group.key
            group.add(job)
            self.resting_count += 1

    def remove(self, job: JobRun) -> None:
        """A job has gone, or is to be sorted anew."""
        self.active.pop(job.id, None)
        self.dirty_jobs.pop(job.id, None)
        if job.group_key is not None:
            group = self.groups.get(job.group_key)
            if group is not None and group.jobs.pop(job.id, None) is not None:
                self.resting_count -= 1
                if not group.jobs:
                    del self.groups[job.group_key]
            job.group_key = None

    def reclassify_dirty(self) -> None:
        """Active jobs may have come to rest without anybody saying so."""
        for job in [j for j in self.dirty_jobs.values() if resting(j)]:
            self.reclassify(job)

    def mark_dirty(self, job: JobRun) -> None:
        """Something has happened to a job: the next pass looks at it."""
        if job.id in self.active:
            self.dirty_jobs[job.id] = job

    @staticmethod
    def through(job: JobRun, held: list[str]) -> bool:
        """Nothing is to be done for an active job until something happens to it: all of it that is
        this controller's is on machines and meant to be. Most active jobs are; no pass looks at
        them again before they are stirred."""
        if (
            job.cancelled_elsewhere
            or job.unclaimed
            or job.reserved
            or job.unplaceable_since
            or job.finished_unrecorded
        ):
            return False
        if job.committing or job.releasing or job.possibly_running or job.claiming is not None:
            return False
        if job.gang and (
            job.gang_stopping or any(p.stop_grace_s is not None for p in job.placed.values())
        ):
            return False
        return not any(job.placeable(shard) for shard in held)

    def first(self, group: Group, now: float, most: int = FIRST) -> Iterator[JobRun]:
        """The first jobs of a group by the order of claims, those left out that may not be claimed
        at the moment."""
        owner = self.owner
        size = len(group.jobs)
        homed = group.any_job().durable_state is not None
        if now - group.ordered_at > (
            HOMED_S if homed else 0.0 if size <= SMALL else size * ORDER_S
        ):
            group.ordered_at = now
            group.came = []
            group.ordered = self.sort_by_precedence(list(group.jobs.values()))
            ranked = group.ordered
        elif homed:
            # They become jobs in their own order.
            group.ordered += group.came
            group.came = []
            ranked = group.ordered
        elif group.came:
            # Behind at most one of the first: enough, as the sorting comes soon.
            ranked = self.sort_by_precedence([*group.ordered[: 4 * most], *group.came])
        else:
            ranked = group.ordered
        found = 0
        for job in ranked:
            if (
                job.id not in group.jobs
                or now < job.claim_after
                or now < job.hold_until
                or owner.failures.fails_everywhere(job)
            ):
                continue
            yield job
            found += 1
            if found == most:
                return

    def sort_by_precedence(self, jobs: list[JobRun]) -> list[JobRun]:
        """Arrays in the order of claims."""
        for job in jobs:
            self.owner.estimates.update_rank(job)
        jobs.sort(key=precedence)
        return jobs

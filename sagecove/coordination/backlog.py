"""Sorts and groups waiting jobs so that a scheduling pass examines only those it may advance.

Most jobs of a backlog are resting: arrays of which no task is claimed, placed or being claimed, so
that all there is to do is to claim a task once there is room. Resting jobs with the same needs,
team and precedence form a group: if there is no room for one, there is none for the others, and the
pass looks at one of them. All other jobs are active, and are looked at one by one.
"""

from __future__ import annotations

from collections.abc import Iterator

from sagecove.coordination.interfaces import BacklogContext
from sagecove.coordination.model import JobRun
from sagecove.coordination.precedence import precedence

GroupKey = tuple[object, ...]

# Jobs of a large group that are handed to one pass: more than a pass can claim.
GROUP_JOBS_PER_PASS_COUNT = 64
# Groups above the small size are sorted less often: after this time for each of their jobs.
SORT_INTERVAL_PER_JOB_S = 0.0004
SMALL_GROUP_JOB_COUNT = 200
# Jobs without records of their own hardly differ, so their groups are sorted at this interval.
RECORDLESS_SORT_INTERVAL_S = 1.0


def is_resting(job: JobRun) -> bool:
    """Return whether all there is to do for a job is to claim some of its tasks."""
    return bool(
        job.array
        and not job.claimed_whole
        and not job.one_claimant
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


def make_group_key(job: JobRun) -> GroupKey:
    """Return the key of a job's group: jobs of one key either all find room or none does."""
    spec = job.spec
    types = tuple(spec.types) if spec.types is not None else None
    return (
        *(spec.team, job.priority, job.within_guarantee),
        *(types, spec.zone, spec.spot, spec.cpus, spec.gpus, spec.memory_gb),
        job.durable_state is None,
    )


class RestingGroup:
    """Resting jobs with the same needs, team and precedence."""

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.jobs: dict[str, JobRun] = {}
        # Sorted at `sorted_at`; some may have left since. Jobs added since are in `added`.
        self.sorted_jobs: list[JobRun] = []
        self.sorted_at = -1e9
        self.added: list[JobRun] = []

    def any_job(self) -> JobRun:
        """Return any job of the group."""
        return next(iter(self.jobs.values()))

    def add(self, job: JobRun) -> None:
        """Add a resting job."""
        self.jobs[job.id] = job
        self.added.append(job)


class Backlog:
    """Holds the active jobs and the groups of resting jobs."""

    def __init__(self, context: BacklogContext) -> None:
        self.context = context
        self.active: dict[str, JobRun] = {}
        # Active jobs that have changed or need something done; passes look at these.
        self.dirty_jobs: dict[str, JobRun] = {}
        self.groups: dict[GroupKey, RestingGroup] = {}
        self.resting_count = 0

    def reclassify(self, job: JobRun) -> None:
        """Put a new or changed job among the active jobs or into its group."""
        key = make_group_key(job) if is_resting(job) else None
        if key is not None and key == job.group_key:
            return
        self.remove(job)
        if key is None:
            self.active[job.id] = job
            self.dirty_jobs[job.id] = job
        else:
            group = self.groups.get(key)
            if group is None:
                group = self.groups[key] = RestingGroup(key)
            job.group_key = group.key
            group.add(job)
            self.resting_count += 1

    def remove(self, job: JobRun) -> None:
        """Remove a job that is gone or about to be reclassified."""
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
        """Move dirty jobs that have become resting without a call of `reclassify`."""
        for job in [j for j in self.dirty_jobs.values() if is_resting(j)]:
            self.reclassify(job)

    def mark_dirty(self, job: JobRun) -> None:
        """Make the next pass look at an active job."""
        if job.id in self.active:
            self.dirty_jobs[job.id] = job

    @staticmethod
    def nothing_to_do(job: JobRun, held: list[str]) -> bool:
        """Return whether an active job needs nothing until it changes: all tasks claimed here are
        on machines and meant to run. That holds for most active jobs, and no pass looks at them
        before they are marked dirty."""
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

    def first_claimable(
        self, group: RestingGroup, now: float, most: int = GROUP_JOBS_PER_PASS_COUNT
    ) -> Iterator[JobRun]:
        """Yield up to `most` jobs of a group in precedence, without those that may not be claimed
        at the moment."""
        context = self.context
        size = len(group.jobs)
        recordless = group.any_job().durable_state is not None
        if now - group.sorted_at > (
            RECORDLESS_SORT_INTERVAL_S
            if recordless
            else 0.0
            if size <= SMALL_GROUP_JOB_COUNT
            else size * SORT_INTERVAL_PER_JOB_S
        ):
            group.sorted_at = now
            group.added = []
            group.sorted_jobs = self.sort_by_precedence(list(group.jobs.values()))
            ranked = group.sorted_jobs
        elif recordless:
            # Jobs without records are created in precedence, so added ones go last.
            group.sorted_jobs += group.added
            group.added = []
            ranked = group.sorted_jobs
        elif group.added:
            # Sorting added jobs with the first of the others is enough, as the next full sort
            # comes soon.
            ranked = self.sort_by_precedence([*group.sorted_jobs[: 4 * most], *group.added])
        else:
            ranked = group.sorted_jobs
        found = 0
        for job in ranked:
            if (
                job.id not in group.jobs
                or now < job.claim_after
                or now < job.hold_until
                or context.failures.fails_everywhere(job)
            ):
                continue
            yield job
            found += 1
            if found == most:
                return

    def sort_by_precedence(self, jobs: list[JobRun]) -> list[JobRun]:
        """Update the ranks of arrays and sort them by precedence, in place."""
        for job in jobs:
            self.context.estimates.update_rank(job)
        jobs.sort(key=precedence)
        return jobs

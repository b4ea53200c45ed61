"""The order of jobs: who claims, and who may take room from whom."""

from __future__ import annotations

from sagecove.coordination.model import JobRun


def precedence(job: JobRun) -> tuple[bool, bool, int, int, int, float, float]:
    """Sort key of claims: production jobs, then jobs within guarantees, then priority; among equals
    the rank from `Estimates.update_rank`, then age."""
    return *fixed_precedence(job), *job.array_rank, job.submitted_at


def fixed_precedence(job: JobRun) -> tuple[bool, bool, int]:
    """Return the part of `precedence` that does not change with time."""
    return job.priority != 3, not job.within_guarantee, -job.priority

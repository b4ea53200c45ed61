"""Which jobs are within their teams' guarantees: those that fit them with the team's earlier ones.

Found from durable submissions alone, so every controller finds the same.

A resource of which a team is guaranteed none does not bound what it is guaranteed of the other,
nor is it owed by that: GPUs are owed to nobody who is guaranteed CPUs only, and CPUs alone to
nobody who is guaranteed GPUs only. CPUs that come with guaranteed GPUs are owed with them.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable

from sagecove.config import Team
from sagecove.coordination.model import ROOM_EPSILON, JobRun


def owed(team: Team, cpus: float, gpus: float) -> bool:
    """A team is guaranteed what a task takes (CPUs, GPUs), however much of it."""
    if gpus > 0:
        return team.gpus > 0
    return team.cpus > 0


def holds(team: Team, cpus: float, gpus: float) -> bool:
    """A team's guarantee reaches so far, in each resource that it names."""
    return (team.cpus <= 0 or cpus <= team.cpus + ROOM_EPSILON) and (
        team.gpus <= 0 or gpus <= team.gpus + ROOM_EPSILON
    )


class Guarantees:
    """Each team's line of unfinished jobs, and how far its guarantee reaches along it."""

    def __init__(
        self, teams: dict[str, Team], jobs: dict[str, JobRun], settle: Callable[[JobRun], None]
    ) -> None:
        self.teams = teams
        self.jobs = jobs
        # A job's standing has changed: it is to be sorted anew.
        self.settle = settle
        # Per team, when its jobs were submitted and their ids, in order; and those within.
        self.queues: dict[str, list[tuple[float, str]]] = {}
        self.within: dict[str, JobRun] = {}

    def add_job(self, job: JobRun) -> None:
        """A job is new: it takes its place in its team's line, if it takes of what the team is
        guaranteed: the line is walked as far as that reaches, and must not be without an end."""
        team = self.teams.get(job.spec.team)
        if team is None or not (
            (team.cpus > 0 and job.spec.cpus > 0) or (team.gpus > 0 and job.spec.gpus > 0)
        ):
            return
        insort(self.queues.setdefault(job.spec.team, []), (job.submitted_at, job.id))

    def remove_job(self, job: JobRun) -> None:
        """A job is over: those behind it move up."""
        line = self.queues.get(job.spec.team, [])
        place = bisect_left(line, (job.submitted_at, job.id))
        if place < len(line) and line[place] == (job.submitted_at, job.id):
            del line[place]
        self.within.pop(job.id, None)

    def mark_covered_jobs(self, loads: list[tuple[float, str, str, float, float]]) -> None:
        """Mark the jobs that fit their team's guarantee together with its earlier jobs. `loads`
        stand for unfinished jobs that are not listed, see `Feature.loads`. Each team's line is
        walked only as far as its guarantee reaches, however long it is."""
        found: dict[str, JobRun] = {}
        loads.sort()
        for name, line in self.queues.items():
            team = self.teams.get(name)
            if team is None:
                continue
            cpus = gpus = 0.0
            others = [load for load in loads if load[2] == name]
            for at, job_id in line:
                while others and others[0][:2] < (at, job_id):
                    load = others.pop(0)
                    cpus += load[3]
                    gpus += load[4]
                job = self.jobs[job_id]
                cpus += job.spec.cpus * job.spec.tasks
                gpus += job.spec.gpus * job.spec.tasks
                if not holds(team, cpus, gpus):
                    break
                if owed(team, job.spec.cpus, job.spec.gpus):
                    found[job_id] = job
        before, self.within = self.within, found
        for job_id, job in before.items():
            if job_id not in found:
                job.within_guarantee = False
                self.settle(job)
        for job_id, job in found.items():
            if job_id not in before:
                job.within_guarantee = True
                self.settle(job)

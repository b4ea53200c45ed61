"""Decides which jobs are within their teams' guarantees.

A job is within the guarantee if it and the team's earlier jobs together fit into it. This follows
from durable submissions alone, so every controller decides the same.

A resource of which a team is guaranteed nothing does not bound what it is guaranteed of the other
resource, and is not owed either: GPUs are owed to no team that is guaranteed CPUs only, and CPUs
alone to no team that is guaranteed GPUs only. CPUs that come with guaranteed GPUs are owed with
them.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable

from sagecove.config import Team
from sagecove.coordination.model import ROOM_EPSILON, JobRun


def is_owed(team: Team, cpus: float, gpus: float) -> bool:
    """Return whether a team is guaranteed the kinds of resources a task takes, in any amount."""
    if gpus > 0:
        return team.gpus > 0
    return team.cpus > 0


def guarantee_covers(team: Team, cpus: float, gpus: float) -> bool:
    """Return whether amounts fit a team's guarantee, in each resource that it names."""
    return (team.cpus <= 0 or cpus <= team.cpus + ROOM_EPSILON) and (
        team.gpus <= 0 or gpus <= team.gpus + ROOM_EPSILON
    )


class Guarantees:
    """Queues of each team's unfinished jobs, and which of them its guarantee covers."""

    def __init__(
        self, teams: dict[str, Team], jobs: dict[str, JobRun], reclassify: Callable[[JobRun], None]
    ) -> None:
        self.teams = teams
        self.jobs = jobs
        # Called for a job whose precedence has changed, to sort it again.
        self.reclassify = reclassify
        # By team: submission times and ids of its jobs, in order.
        self.queues: dict[str, list[tuple[float, str]]] = {}
        # Jobs within their teams' guarantees.
        self.covered: dict[str, JobRun] = {}

    def add_job(self, job: JobRun) -> None:
        """Add a new job to its team's queue.

        Only jobs that take of what the team is guaranteed are queued: the queue is walked as far as
        the guarantee reaches, which must not be the whole of an endless queue.
        """
        team = self.teams.get(job.spec.team)
        if team is None or not (
            (team.cpus > 0 and job.spec.cpus > 0) or (team.gpus > 0 and job.spec.gpus > 0)
        ):
            return
        insort(self.queues.setdefault(job.spec.team, []), (job.submitted_at, job.id))

    def remove_job(self, job: JobRun) -> None:
        """Remove a job that has ended; those behind it move up."""
        queue = self.queues.get(job.spec.team, [])
        position = bisect_left(queue, (job.submitted_at, job.id))
        if position < len(queue) and queue[position] == (job.submitted_at, job.id):
            del queue[position]
        self.covered.pop(job.id, None)

    def mark_covered_jobs(self, loads: list[tuple[float, str, str, float, float]]) -> None:
        """Mark the jobs that fit their team's guarantee together with its earlier jobs.

        `loads` are unfinished jobs that are not in the queues, see `Feature.unfinished_work`. Each
        queue is walked only as far as the team's guarantee reaches, however long it is.
        """
        found: dict[str, JobRun] = {}
        loads.sort()
        for name, queue in self.queues.items():
            team = self.teams.get(name)
            if team is None:
                continue
            cpus = gpus = 0.0
            team_loads = [load for load in loads if load[2] == name]
            for submitted_at, job_id in queue:
                while team_loads and team_loads[0][:2] < (submitted_at, job_id):
                    load = team_loads.pop(0)
                    cpus += load[3]
                    gpus += load[4]
                job = self.jobs[job_id]
                cpus += job.spec.cpus * job.spec.tasks
                gpus += job.spec.gpus * job.spec.tasks
                if not guarantee_covers(team, cpus, gpus):
                    break
                if is_owed(team, job.spec.cpus, job.spec.gpus):
                    found[job_id] = job
        before, self.covered = self.covered, found
        for job_id, job in before.items():
            if job_id not in found:
                job.within_guarantee = False
                self.reclassify(job)
        for job_id, job in found.items():
            if job_id not in before:
                job.within_guarantee = True
                self.reclassify(job)

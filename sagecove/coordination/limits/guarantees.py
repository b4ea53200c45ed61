"""Which jobs are within their teams' guarantees: those that fit them with the team's earlier ones.

Found from durable submissions alone, so every controller finds the same."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable

from sagecove.config import Team
from sagecove.coordination.model import EPS, JobRun


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
        self.lines: dict[str, list[tuple[float, str]]] = {}
        self.within: dict[str, JobRun] = {}

    def job_seen(self, job: JobRun) -> None:
        """A job is new: it takes its place in its team's line."""
        insort(self.lines.setdefault(job.spec.team, []), (job.at, job.id))

    def job_over(self, job: JobRun) -> None:
        """A job is over: those behind it move up."""
        line = self.lines.get(job.spec.team, [])
        place = bisect_left(line, (job.at, job.id))
        if place < len(line) and line[place] == (job.at, job.id):
            del line[place]
        self.within.pop(job.id, None)

    def assign(self, loads: list[tuple[float, str, str, float, float]]) -> None:
        """Mark the jobs that fit their team's guarantee together with its earlier jobs. `loads`
        stand for unfinished jobs that are not listed, see `Feature.loads`. Each team's line is
        walked only as far as its guarantee reaches, however long it is."""
        found: dict[str, JobRun] = {}
        loads.sort()
        for name, line in self.lines.items():
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
                if cpus > team.cpus + EPS or gpus > team.gpus + EPS:
                    break
                found[job_id] = job
        before, self.within = self.within, found
        for job_id, job in before.items():
            if job_id not in found:
                job.within = False
                self.settle(job)
        for job_id, job in found.items():
            if job_id not in before:
                job.within = True
                self.settle(job)

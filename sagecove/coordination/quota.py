"""Team limits, split into allotments per shard.

A shard places a task only inside its allotment, and the sum of a team's allotments never exceeds
its limit, so no controller needs to know what another one runs.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from itertools import chain
from typing import TYPE_CHECKING

from sagecove.config import Team
from sagecove.coordination.model import EPS, JobRun
from sagecove.protocol.users import Job
from sagecove.storage.records import QUOTA, QuotaRecord

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

Pair = tuple[float, float]


class Quota:
    """Arithmetic over the quota records."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.teams: dict[str, Team] = {t.name: t for t in owner.settings.params.teams}
        self.trimmed_at: dict[str, float] = {}
        self.shrinking: dict[tuple[str, str], tuple[int, Pair]] = {}
        # Per team, when its jobs were submitted and their ids, in order; and those within.
        self.lines: dict[str, list[tuple[float, str]]] = {}
        self.within: dict[str, JobRun] = {}

    def record(self, team: str) -> QuotaRecord:
        """A team's allotments."""
        item = self.owner.mirror.items.get(QUOTA + team)
        return item.value if item and item.value is not None else QuotaRecord()

    def allotted(self, shard: str, team: str) -> Pair:
        """A shard's allotment; while a reduction is on its way, already the reduced one."""
        allot = self.record(team).shards.get(shard, (0.0, 0.0))
        shrink = self.shrinking.get((shard, team))
        if shrink is not None:
            if shrink[0] == self.owner.mirror.stamp(QUOTA + team):
                return min(allot[0], shrink[1][0]), min(allot[1], shrink[1][1])
            del self.shrinking[shard, team]
        return allot

    def spare(self, team: str) -> Pair:
        """What of the limit no shard has."""
        limit = self.teams[team]
        cpus, gpus = limit.cpus_max, limit.gpus_max
        for have in self.record(team).shards.values():
            cpus -= have[0]
            gpus -= have[1]
        return cpus, gpus

    def used(self, shard: str, team: str) -> Pair:
        """An upper bound of what a team's tasks take on a shard's machines."""
        return self.owner.ledger.used(shard, team)

    def places(self, shard: str, spec: Job, wanted: int) -> int:
        """How many more tasks of this kind a shard may start within its allotment."""
        allot = self.allotted(shard, spec.team)
        used = self.used(shard, spec.team)
        return _count(spec, (allot[0] - used[0], allot[1] - used[1]), wanted)

    def committed(self, shard: str, team: str) -> Pair:
        """What all of a shard's claims of a team will take, or its tasks take if that is more."""
        claimed = self.owner.ledger.claimed(shard, team)
        used = self.used(shard, team)
        return max(claimed[0], used[0]), max(claimed[1], used[1])

    def claimable(self, shard: str, spec: Job, wanted: int) -> int:
        """How many more tasks a shard may claim, its allotment grown by all that is spare."""
        allot = self.allotted(shard, spec.team)
        spare = self.spare(spec.team)
        have = self.committed(shard, spec.team)
        return _count(spec, (allot[0] + spare[0] - have[0], allot[1] + spare[1] - have[1]), wanted)

    def grown(self, shard: str, spec: Job, more: int) -> QuotaRecord | None:
        """The record that lets a shard claim `more` tasks, see `grown_by`."""
        return self.grown_by(shard, spec.team, more * spec.cpus, more * spec.gpus)

    def grown_by(self, shard: str, team: str, cpus: float, gpus: float) -> QuotaRecord | None:
        """The record that lets a shard claim so much more for a team: the one there is if its
        allotment suffices, None if the limit does not allow it.

        Far from the limit it grows in coarse steps, to save writes; near it by the need alone.
        """
        allot = self.allotted(shard, team)
        have = self.committed(shard, team)
        spare = self.spare(team)
        nodes = len(self.owner.settings.nodes)
        new = []
        for n, need in enumerate((cpus, gpus)):
            target = have[n] + need
            if target <= allot[n] + EPS:
                new.append(allot[n])
                continue
            growth = target - allot[n]
            step = (spare[n] - growth) / (2 * nodes)
            new.append(allot[n] + growth + max(0.0, step))
        if new[0] == allot[0] and new[1] == allot[1]:
            return self.record(team)
        shards = dict(self.record(team).shards)
        if new[0] - allot[0] > spare[0] + EPS or new[1] - allot[1] > spare[1] + EPS:
            return None
        shards[shard] = (_floor(new[0]), _floor(new[1]))
        return QuotaRecord(shards)

    def trims(self, now: float) -> list[tuple[str, str, QuotaRecord]]:
        """Allotments to give back because the team is near its limit: (team, shard, record)."""
        out = []
        # Per team, the most that a job needs at once that waits to be claimed.
        waiting: dict[str, list[float]] = {}
        rested = [group.any() for group in self.owner.backlog.groups.values()]
        for job in chain(self.owner.backlog.open.values(), rested):
            if job.unclaimed:
                need = waiting.setdefault(job.spec.team, [0.0, 0.0])
                count = job.unclaimed.bit_count() if job.whole else 1
                need[0] = max(need[0], count * job.spec.cpus)
                need[1] = max(need[1], count * job.spec.gpus)
        for team, limit in self.teams.items():
            if team not in waiting:
                continue
            spare = self.spare(team)
            # A gang may need more than the rest of a limit that is far from used up: what other
            # shards have been allotted and do not use once kept it waiting for good.
            need = waiting[team]
            tight = spare[0] < max(0.25 * limit.cpus_max, need[0]) or spare[1] < max(
                0.25 * limit.gpus_max, need[1]
            )
            if not tight or now - self.trimmed_at.get(team, -1e9) < 1.0:
                continue
            for shard in self.owner.shards.acting_shards(now):
                allot = self.allotted(shard, team)
                if (shard, team) in self.shrinking:
                    continue
                have = self.committed(shard, team)
                if allot[0] - have[0] > 0.01 or allot[1] - have[1] > 0.01:
                    shards = dict(self.record(team).shards)
                    shards[shard] = (min(allot[0], have[0]), min(allot[1], have[1]))
                    if shards[shard] == (0.0, 0.0):
                        del shards[shard]
                    self.trimmed_at[team] = now
                    out.append((team, shard, QuotaRecord(shards)))
        return out

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

    def assign_guarantees(self, loads: list[tuple[float, str, str, float, float]]) -> None:
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
                job = self.owner.jobs[job_id]
                cpus += job.spec.cpus * job.spec.tasks
                gpus += job.spec.gpus * job.spec.tasks
                if cpus > team.cpus + EPS or gpus > team.gpus + EPS:
                    break
                found[job_id] = job
        before, self.within = self.within, found
        for job_id, job in before.items():
            if job_id not in found:
                job.within = False
                self.owner.backlog.settle(job)
        for job_id, job in found.items():
            if job_id not in before:
                job.within = True
                self.owner.backlog.settle(job)


def _count(spec: Job, room: Pair, wanted: int) -> int:
    count = wanted
    for have, need in ((room[0], spec.cpus), (room[1], spec.gpus)):
        if need > 0:
            count = min(count, int((have + EPS) / need) if have > 0 else 0)
    return max(0, count)


def _floor(amount: float) -> float:
    return int(amount * 1000 + 1e-3) / 1000

"""Answers to "why does my job wait?" and "who is hogging the racks?", read off the owner's state.

Nothing here changes anything, and all of it comes from memory: one pass over jobs or machines for
a question, so that asking is no load. It is what this controller knows; it says so.
"""

from __future__ import annotations

from typing import Protocol

from sagecove.config import UNLIMITED
from sagecove.coordination.claims.preemptor import gang_long_wait_s
from sagecove.coordination.interfaces import FailureJudge, OwnerContext
from sagecove.coordination.limits.records import ResourceAmount
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import (
    MILLIONTHS_PER_UNIT,
    JobRun,
    Machine,
    precedence,
    to_millionths,
)
from sagecove.coordination.placement import type_allowed
from sagecove.coordination.preemption_policy import PreemptionPolicy
from sagecove.protocol import workers as w
from sagecove.protocol.views import Cluster, Explanation, MachineView, ShardView, TeamView
from sagecove.storage.mirror import Mirror
from sagecove.storage.records import HOLDER, MEMBER, PROVISIONER


class Holders(Protocol):
    """Who holds what."""

    def holder_of(self, shard: str) -> str | None:
        """The node that holds a shard, as far as is known."""

    def home_shard(self, job: JobRun) -> str:
        """The shard that a gang is served in which fits nowhere yet."""

    def fleet_can_hold(self, job: JobRun) -> bool:
        """The fleet as it is, were it empty, has room for all tasks of a job."""


class Hearsay(Protocol):
    """What peers say."""

    def running_elsewhere(self, job_id: str) -> int:
        """Running tasks of a job on other controllers' machines."""

    def boot_status(self, machine: Machine) -> str:
        """Whether a machine is `up`, `coming` or `overdue`."""


class Connected(Protocol):
    """The state service as seen from here."""

    def connected(self) -> bool:
        """It answers."""


class Known(OwnerContext, Protocol):
    """What is known here, to be told."""

    mirror: Mirror
    limits: TeamLimits
    preemption_policy: PreemptionPolicy

    @property
    def failures(self) -> FailureJudge:
        """Who is to blame for errors."""

    @property
    def shards(self) -> Holders:
        """Who holds what."""

    @property
    def peers(self) -> Hearsay:
        """What peers say."""

    @property
    def sync(self) -> Connected:
        """The state service as seen from here."""


def explain_job(owner: Known, job: JobRun) -> Explanation:
    """Why a job waits."""
    running = sum(p.state == w.TASK_RUNNING for p in job.placed.values())
    return Explanation(
        job.id,
        job.spec.team,
        job.spec.kind,
        job.spec.priority,
        job.spec.tasks,
        (job.finished | job.finished_unrecorded).bit_count(),
        running + owner.peers.running_elsewhere(job.id),
        job.within_guarantee,
        owner.failures.fails_everywhere(job),
        {shard: n for shard in job.claims if (n := job.claimed(shard).bit_count())},
        _reasons(owner, job),
        owner.settings.node,
    )


def _reasons(owner: Known, job: JobRun) -> list[str]:
    out: list[str] = []
    if owner.failures.fails_everywhere(job):
        pause = max(0.0, job.hold_until - owner.now)
        out.append(
            f"its tasks fail on every machine (seen on {len(job.failed_on)});"
            f" next try in {pause:.0f} s"
        )
    for shard in job.claims:
        claimed = job.claimed(shard).bit_count()
        if not claimed:
            continue
        if shard not in owner.held_shards:
            holder = owner.shards.holder_of(shard)
            if holder is None:
                out.append(f"{claimed} tasks: shard {shard} has no holder at the moment")
            else:
                out.append(f"{claimed} tasks are with {holder}, which can tell more")
            continue
        if limbo := job.possibly_running.get(shard, 0):
            out.append(
                f"{limbo.bit_count()} tasks wait until machines of shard {shard} have reported to"
                " their new holder"
            )
        if lacking := job.placeable(shard).bit_count():
            making = sum(job.reserved.values())
            more = f"; others are being stopped for {making} of them" if making else ""
            out.append(f"{lacking} tasks wait for room on machines of shard {shard}{more}")
    states = [p.state for p in job.placed.values()]
    if count := states.count(w.PULLING):
        out.append(f"{count} tasks wait for their image")
    if count := states.count(w.WAITING):
        out.append(f"{count} tasks wait until the whole gang has its images")
    stopped = {p.stopped_for for p in job.placed.values() if p.stop_grace_s is not None}
    out += [f"tasks are being stopped for {whom}" for whom in sorted(stopped)]
    if job.unclaimed:
        out += _unclaimed(owner, job)
    if job.within_guarantee:
        out += _owed(owner, job)
    return out


def _owed(owner: Known, job: JobRun) -> list[str]:
    """What a job within its team's guarantee is owed, from whom it will come, and by when."""
    spec = job.spec
    count = job.unclaimed.bit_count() + sum(
        (job.claimed(shard) & ~job.placed_bits).bit_count()
        for shard in job.claims
        if shard in owner.held_shards
    )
    if not count:
        return []
    lack = count * to_millionths(spec.cpus), count * to_millionths(spec.gpus)
    sources = owner.limits.claim_totals.reclaim_sources(spec.team, lack)
    if not sources:
        return [f"{count} tasks are owed to team {spec.team}; nobody borrows what they need"]
    left = max(0.0, owner.preemption_policy.guarantee_wait_s - (owner.wall() - job.submitted_at))
    whom = ", ".join(f"{name} ({_told(amount)})" for name, amount in sorted(sources.items()))
    when = f"after {left:.1f} s" if left else "from now on"
    return [f"{count} tasks are owed to team {spec.team}: {when} room is made by stopping {whom}"]


def _told(amount: ResourceAmount) -> str:
    units = zip(amount, ("CPUs", "GPUs"), strict=True)
    return ", ".join(f"{have / MILLIONTHS_PER_UNIT:g} {unit}" for have, unit in units if have)


def _unclaimed(owner: Known, job: JobRun) -> list[str]:
    spec = job.spec
    out = []
    count = job.unclaimed.bit_count()
    need = count if job.claimed_whole else 1
    spare = owner.limits.unclaimed(spec.team)
    if need * spec.cpus > spare[0] or need * spec.gpus > spare[1]:
        out.append(f"{count} tasks wait for team {spec.team}'s limit")
    fitting = {t.name for t in owner.machine_types.values() if type_allowed(spec, t)}
    coming = sum(
        m.record.type in fitting and not m.record.leaving and owner.peers.boot_status(m) == "coming"
        for m in owner.machines.values()
    )
    mine = precedence(job)
    ahead = [
        j
        for j in owner.jobs.values()
        if j is not job
        and j.unclaimed
        and not owner.failures.fails_everywhere(j)
        and precedence(j) < mine
        and any(type_allowed(j.spec, t) for t in owner.machine_types.values() if t.name in fitting)
    ]
    text = f"{count} tasks wait for room on machines of type {', '.join(sorted(fitting)) or '-'}"
    if coming:
        text += f"; {coming} of these are booting"
    out.append(text)
    if job.gang:
        out.append(_whole(owner, job))
    if ahead:
        first = min(ahead, key=precedence)
        out.append(f"{len(ahead)} jobs come first, such as {first.id}: {_rule(first, job)}")
    return out


def _whole(owner: Known, job: JobRun) -> str:
    """From when on room is kept for a gang, or why it is not."""
    if not owner.shards.fleet_can_hold(job):
        where = "in one zone " if job.spec.one_zone else ""
        return f"the machines there are could not hold all {job.spec.tasks} tasks {where}at once"
    left = job.first_seen_at + gang_long_wait_s(owner.machine_types.values()) - owner.now
    when = f"in {left:.0f} s" if left > 0 else "from now on"
    return f"{when} what comes free in shard {owner.shards.home_shard(job)} waits for it"


def _rule(first: JobRun, job: JobRun) -> str:
    """By which rule one job comes before another."""
    if (first.priority == 3) != (job.priority == 3):
        return "it is a production job"
    if first.within_guarantee != job.within_guarantee:
        return "it is within its team's guarantee"
    if first.priority != job.priority:
        return f"its priority is {first.spec.priority}"
    if first.array_rank != job.array_rank:
        if first.array_rank[0] == job.array_rank[0] and first.array_rank[1] != job.array_rank[1]:
            return "its team borrows less for the size of its guarantee"
        return "it can still be in time with less work left"
    return "it is older"


def cluster_view(owner: Known) -> Cluster:
    """Members, shards and their holders, teams against guarantee and limit, machines in trouble."""
    settings = owner.settings
    now = owner.now
    items = owner.mirror.items
    role = items.get(PROVISIONER)
    shards = []
    for name in sorted(settings.nodes):
        held = owner.held_shards.get(name)
        shards.append(
            ShardView(
                name,
                owner.shards.holder_of(name),
                owner.mirror.stamp(HOLDER + name),
                len(owner.machines_by_shard.get(name, {})),
                round(now - held.held_since, 1) if held is not None else None,
            )
        )
    troubled = []
    for machine in owner.machines.values():
        state = ""
        if machine.record.leaving:
            state = f"leaving: {machine.record.leaving}"
        elif machine.faulty:
            state = "faulty"
        elif owner.peers.boot_status(machine) == "overdue":
            state = "late"
        if state:
            record = machine.record
            troubled.append(
                MachineView(machine.name, record.type, record.zone, record.shard, state)
            )
    return Cluster(
        settings.node,
        owner.sync.connected(),
        sorted(n for n in settings.nodes if MEMBER + n in items),
        role.value.node if role is not None and role.value is not None else None,
        len(owner.machines),
        shards,
        _teams(owner),
        sorted(troubled, key=lambda m: m.name)[:200],
        sorted(j.id for j in owner.jobs.values() if owner.failures.fails_everywhere(j))[:200],
    )


def _teams(owner: Known) -> list[TeamView]:
    used: dict[str, list[float]] = {}
    owed: dict[str, list[float]] = {}
    for job in owner.jobs.values():
        waiting = job.unclaimed.bit_count()
        if job.within_guarantee:
            lacking = owed.setdefault(job.spec.team, [0.0, 0.0])
            lacking[0] += waiting * job.spec.cpus
            lacking[1] += waiting * job.spec.gpus
        have = used.setdefault(job.spec.team, [0.0, 0.0, 0.0])
        claimed = (job.unfinished & ~job.unclaimed).bit_count()
        have[0] += claimed * job.spec.cpus
        have[1] += claimed * job.spec.gpus
        have[2] += waiting
    out = []
    for team in owner.settings.params.teams:
        cpus, gpus, tasks = used.get(team.name, (0.0, 0.0, 0.0))
        lacks = owed.get(team.name, (0.0, 0.0))
        entitled = [
            amount / MILLIONTHS_PER_UNIT for amount in owner.limits.claim_totals.entitlement(team)
        ]
        out.append(
            TeamView(
                team.name,
                round(cpus, 3),
                round(gpus, 3),
                team.cpus,
                team.gpus,
                team.cpus_max if team.cpus_max < UNLIMITED else None,
                team.gpus_max if team.gpus_max < UNLIMITED else None,
                round(max(0.0, cpus - entitled[0]), 3),
                round(max(0.0, gpus - entitled[1]), 3),
                int(tasks),
                round(lacks[0], 3),
                round(max(0.0, team.cpus - cpus - lacks[0]), 3),
                round(lacks[1], 3),
                round(max(0.0, team.gpus - gpus - lacks[1]), 3),
            )
        )
    return out

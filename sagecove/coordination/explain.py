"""Read-only views of the owner's state: why a job waits, and what the cluster is doing.

Answers come from memory with one pass over jobs or machines, so that asking causes no load. They
contain what this controller knows, and name the controller.
"""

from __future__ import annotations

from typing import Protocol

from sagecove.config import UNLIMITED_AMOUNT
from sagecove.coordination.claims.gang_waits import gang_long_wait_s
from sagecove.coordination.interfaces import FailureJudge, OwnerContext
from sagecove.coordination.limits.records import ResourceAmount
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import MILLIONTHS_PER_UNIT, JobRun, Machine, to_millionths
from sagecove.coordination.placement import type_allowed
from sagecove.coordination.precedence import precedence
from sagecove.coordination.preemption_policy import PreemptionPolicy
from sagecove.protocol import workers as worker_protocol
from sagecove.protocol.views import ClusterView, Explanation, MachineView, ShardView, TeamView
from sagecove.storage.mirror import Mirror
from sagecove.storage.records import HOLDER_PREFIX, MEMBER_PREFIX, PROVISIONER_KEY


class ShardLookup(Protocol):
    """Answers questions about shards and their holders."""

    def holder_of(self, shard: str) -> str | None:
        """Return the node that holds a shard, as far as is known."""

    def home_shard(self, job: JobRun) -> str:
        """Return the shard that serves a gang that fits in no shard yet."""

    def fleet_can_hold(self, job: JobRun) -> bool:
        """Return whether the current fleet, if it were empty, has room for all tasks of a job."""


class PeerReports(Protocol):
    """Interface to what peers reported in their hints."""

    def running_elsewhere(self, job_id: str) -> int:
        """Return the number of a job's tasks that run on other controllers' machines."""

    def boot_status(self, machine: Machine) -> str:
        """Return whether a machine is `up`, `coming` or `overdue`."""


class StateServiceStatus(Protocol):
    """The connection to the state service."""

    def connected(self) -> bool:
        """Return whether the state service answers."""


class ExplainContext(OwnerContext, Protocol):
    """Interface that the views require of the owner."""

    mirror: Mirror
    limits: TeamLimits
    preemption_policy: PreemptionPolicy

    @property
    def failures(self) -> FailureJudge:
        """The failure judge."""

    @property
    def shards(self) -> ShardLookup:
        """Shards and their holders."""

    @property
    def peers(self) -> PeerReports:
        """Return what peers reported."""

    @property
    def sync(self) -> StateServiceStatus:
        """The connection to the state service."""


def explain_job(owner: ExplainContext, job: JobRun) -> Explanation:
    """Return the state of a job and the reasons why it waits."""
    running = sum(p.state == worker_protocol.TASK_RUNNING for p in job.placed.values())
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
        {shard: count for shard in job.claims if (count := job.claimed(shard).bit_count())},
        _wait_reasons(owner, job),
        owner.settings.node,
    )


def _wait_reasons(owner: ExplainContext, job: JobRun) -> list[str]:
    """Return the reasons why tasks of a job do not run yet."""
    reasons: list[str] = []
    if owner.failures.fails_everywhere(job):
        pause = max(0.0, job.hold_until - owner.now)
        reasons.append(
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
                reasons.append(f"{claimed} tasks: shard {shard} has no holder at the moment")
            else:
                reasons.append(f"{claimed} tasks are with {holder}, which can tell more")
            continue
        if unaccounted := job.possibly_running.get(shard, 0):
            reasons.append(
                f"{unaccounted.bit_count()} tasks wait until machines of shard {shard} have"
                " reported to their new holder"
            )
        if unplaced := job.placeable(shard).bit_count():
            reserved_count = sum(job.reserved.values())
            more = (
                f"; others are being stopped for {reserved_count} of them" if reserved_count else ""
            )
            reasons.append(f"{unplaced} tasks wait for room on machines of shard {shard}{more}")
    states = [p.state for p in job.placed.values()]
    if count := states.count(worker_protocol.PULLING):
        reasons.append(f"{count} tasks wait for their image")
    if count := states.count(worker_protocol.WAITING):
        reasons.append(f"{count} tasks wait until the whole gang has its images")
    stop_reasons = {p.stopped_for for p in job.placed.values() if p.stop_grace_s is not None}
    reasons += [f"tasks are being stopped for {reason}" for reason in sorted(stop_reasons)]
    if job.unclaimed:
        reasons += _unclaimed_reasons(owner, job)
    if job.within_guarantee:
        reasons += _guarantee_reasons(owner, job)
    return reasons


def _guarantee_reasons(owner: ExplainContext, job: JobRun) -> list[str]:
    """Return what a job within its team's guarantee is owed, by which teams, and from when on."""
    spec = job.spec
    count = job.unclaimed.bit_count() + sum(
        (job.claimed(shard) & ~job.placed_bits).bit_count()
        for shard in job.claims
        if shard in owner.held_shards
    )
    if not count:
        return []
    missing = count * to_millionths(spec.cpus), count * to_millionths(spec.gpus)
    sources = owner.limits.claim_totals.reclaim_sources(spec.team, missing)
    if not sources:
        return [f"{count} tasks are owed to team {spec.team}; nobody borrows what they need"]
    wait_left_s = max(
        0.0, owner.preemption_policy.guarantee_wait_s - (owner.wall() - job.submitted_at)
    )
    victims = ", ".join(
        f"{name} ({_format_amount(amount)})" for name, amount in sorted(sources.items())
    )
    when = f"after {wait_left_s:.1f} s" if wait_left_s else "from now on"
    return [
        f"{count} tasks are owed to team {spec.team}: {when} room is made by stopping {victims}"
    ]


def _format_amount(amount: ResourceAmount) -> str:
    units = zip(amount, ("CPUs", "GPUs"), strict=True)
    return ", ".join(f"{value / MILLIONTHS_PER_UNIT:g} {unit}" for value, unit in units if value)


def _unclaimed_reasons(owner: ExplainContext, job: JobRun) -> list[str]:
    spec = job.spec
    reasons = []
    count = job.unclaimed.bit_count()
    if job.one_claimant and job.claims:
        reasons.append(f"{count} tasks wait for shard {next(iter(job.claims))}, which places all")
    need = count if job.claimed_whole else 1
    unclaimed_room = owner.limits.unclaimed(spec.team)
    if need * spec.cpus > unclaimed_room[0] or need * spec.gpus > unclaimed_room[1]:
        reasons.append(f"{count} tasks wait for team {spec.team}'s limit")
    fitting = {t.name for t in owner.machine_types.values() if type_allowed(spec, t)}
    coming = sum(
        m.record.type in fitting and not m.record.leaving and owner.peers.boot_status(m) == "coming"
        for m in owner.machines.values()
    )
    own_precedence = precedence(job)
    ahead = [
        j
        for j in owner.jobs.values()
        if j is not job
        and j.unclaimed
        and not owner.failures.fails_everywhere(j)
        and precedence(j) < own_precedence
        and any(type_allowed(j.spec, t) for t in owner.machine_types.values() if t.name in fitting)
    ]
    text = f"{count} tasks wait for room on machines of type {', '.join(sorted(fitting)) or '-'}"
    if coming:
        text += f"; {coming} of these are booting"
    reasons.append(text)
    if job.gang:
        reasons.append(_gang_reason(owner, job))
    if ahead:
        first = min(ahead, key=precedence)
        reasons.append(
            f"{len(ahead)} jobs come first, such as {first.id}: {_deciding_rule(first, job)}"
        )
    return reasons


def _gang_reason(owner: ExplainContext, job: JobRun) -> str:
    """Return from when on room is reserved for a gang, or why it is not."""
    if not owner.shards.fleet_can_hold(job):
        where = "in one zone " if job.spec.one_zone else ""
        return f"the machines there are could not hold all {job.spec.tasks} tasks {where}at once"
    wait_left_s = job.first_seen_at + gang_long_wait_s(owner.machine_types.values()) - owner.now
    when = f"in {wait_left_s:.0f} s" if wait_left_s > 0 else "from now on"
    return f"{when} what comes free in shard {owner.shards.home_shard(job)} waits for it"


def _deciding_rule(first: JobRun, job: JobRun) -> str:
    """Return the rule that puts job `first` before another."""
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


def cluster_view(owner: ExplainContext) -> ClusterView:
    """Return members, shards and holders, teams' use and limits, and machines in trouble."""
    settings = owner.settings
    now = owner.now
    items = owner.mirror.items
    role = items.get(PROVISIONER_KEY)
    shards = []
    for name in sorted(settings.nodes):
        held = owner.held_shards.get(name)
        shards.append(
            ShardView(
                name,
                owner.shards.holder_of(name),
                owner.mirror.revision_of(HOLDER_PREFIX + name),
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
    return ClusterView(
        settings.node,
        owner.sync.connected(),
        sorted(n for n in settings.nodes if MEMBER_PREFIX + n in items),
        role.value.node if role is not None and role.value is not None else None,
        len(owner.machines),
        shards,
        _team_views(owner),
        sorted(troubled, key=lambda m: m.name)[:200],
        sorted(j.id for j in owner.jobs.values() if owner.failures.fails_everywhere(j))[:200],
    )


def _team_views(owner: ExplainContext) -> list[TeamView]:
    used: dict[str, list[float]] = {}
    owed: dict[str, list[float]] = {}
    for job in owner.jobs.values():
        waiting = job.unclaimed.bit_count()
        if job.within_guarantee:
            team_owed = owed.setdefault(job.spec.team, [0.0, 0.0])
            team_owed[0] += waiting * job.spec.cpus
            team_owed[1] += waiting * job.spec.gpus
        team_used = used.setdefault(job.spec.team, [0.0, 0.0, 0.0])
        claimed = (job.unfinished & ~job.unclaimed).bit_count()
        team_used[0] += claimed * job.spec.cpus
        team_used[1] += claimed * job.spec.gpus
        team_used[2] += waiting
    views = []
    for team in owner.settings.params.teams:
        cpus, gpus, tasks = used.get(team.name, (0.0, 0.0, 0.0))
        lacks = owed.get(team.name, (0.0, 0.0))
        entitled = [
            amount / MILLIONTHS_PER_UNIT for amount in owner.limits.claim_totals.entitlement(team)
        ]
        views.append(
            TeamView(
                team.name,
                round(cpus, 3),
                round(gpus, 3),
                team.cpus,
                team.gpus,
                team.cpus_max if team.cpus_max < UNLIMITED_AMOUNT else None,
                team.gpus_max if team.gpus_max < UNLIMITED_AMOUNT else None,
                round(max(0.0, cpus - entitled[0]), 3),
                round(max(0.0, gpus - entitled[1]), 3),
                int(tasks),
                round(lacks[0], 3),
                round(max(0.0, team.cpus - cpus - lacks[0]), 3),
                round(lacks[1], 3),
                round(max(0.0, team.gpus - gpus - lacks[1]), 3),
            )
        )
    return views

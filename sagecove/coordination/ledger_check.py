"""The books counted anew, from tasks, machines and jobs: a check of what `ledger` keeps.

Linear in all there is, so `run` never calls it; the in-memory worlds do after each batch. It shares
no code with the ledger.
"""

from __future__ import annotations

from typing import Protocol

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import JobRun, Machine, Shard
from sagecove.protocol import workers as w

Pair = tuple[float, float]


class Counted(BaseContext, Protocol):
    """Whose books are counted."""

    held_shards: dict[str, Shard]
    machines_by_shard: dict[str, dict[str, Machine]]

    @property
    def backlog(self) -> Backlog:
        """Jobs that wait, or run."""

    @property
    def ledger(self) -> Ledger:
        """The books."""


def ledger_differences(owner: Counted) -> list[str]:
    """What the books say that is not so; an empty list if they are right."""
    out: list[str] = []
    ledger = owner.ledger
    if set(ledger.accounts) != set(owner.held_shards):
        out.append(f"accounts of {sorted(ledger.accounts)}, held are {sorted(owner.held_shards)}")
        return out
    running: dict[str, int] = {}
    for name, shard in owner.held_shards.items():
        used, everyone, here = _used(owner, shard)
        claimed = _claimed(owner, name)
        teams = {*used, *claimed, *ledger.accounts[name].used, *ledger.accounts[name].claimed}
        for team in teams:
            have = used.get(team, (0.0, 0.0))
            mine = have[0] + everyone[0], have[1] + everyone[1]
            out += _differ(f"{name}: used by {team}", ledger.used(name, team), mine)
            mine = claimed.get(team, (0.0, 0.0))
            out += _differ(f"{name}: claimed by {team}", ledger.claimed(name, team), mine)
        kept = {job_id: count for job_id, (_, count) in ledger.accounts[name].jobs.items()}
        if kept != here:
            out.append(f"{name}: jobs with tasks {kept}, counted {here}")
        out += _machines(owner, name)
    for machines in owner.machines_by_shard.values():
        for machine in machines.values():
            for placement in machine.tasks.values():
                if placement.job is not None and placement.state == w.TASK_RUNNING:
                    running[placement.job.id] = running.get(placement.job.id, 0) + 1
    for job in owner.jobs.values():
        if job.running_count != running.get(job.id, 0):
            out.append(f"{job.id}: {job.running_count} running, counted {running.get(job.id, 0)}")
    return out + _resting(owner)


def _used(owner: Counted, shard: Shard) -> tuple[dict[str, Pair], Pair, dict[str, int]]:
    """By team, for every team, and tasks by job."""
    table: dict[str, Pair] = {}
    everyone = (0.0, 0.0)
    jobs: dict[str, int] = {}
    for machine in owner.machines_by_shard.get(shard.name, {}).values():
        unsure = machine.name in shard.unreported_machines or any(
            state != w.EXITED for state in machine.unknown_tasks.values()
        )
        if unsure:
            kind = machine.machine_type
            more = (kind.cpus, kind.gpus) if kind is not None else (1e9, 1e9)
            everyone = everyone[0] + more[0], everyone[1] + more[1]
        for placement in machine.tasks.values():
            if placement.state == w.EXITED or placement.job is None:
                continue
            spec = placement.job.spec
            jobs[spec.id] = jobs.get(spec.id, 0) + 1
            if not unsure:
                have = table.get(spec.team, (0.0, 0.0))
                table[spec.team] = have[0] + spec.cpus, have[1] + spec.gpus
    return table, everyone, jobs


def _claimed(owner: Counted, shard: str) -> dict[str, Pair]:
    table: dict[str, Pair] = {}
    for job in owner.jobs.values():
        bits = job.claims.get(shard, 0) & job.all_tasks & ~job.finished & ~job.finished_unrecorded
        if job.claiming is not None and job.claiming[0] == shard:
            bits |= job.claiming[1]
        if count := bits.bit_count():
            have = table.get(job.spec.team, (0.0, 0.0))
            table[job.spec.team] = (
                have[0] + count * job.spec.cpus,
                have[1] + count * job.spec.gpus,
            )
    return table


def _machines(owner: Counted, shard: str) -> list[str]:
    out = []
    for machine in owner.machines_by_shard.get(shard, {}).values():
        taken = [0.0, 0.0, 0.0]
        for placement in machine.tasks.values():
            if placement.state != w.EXITED and placement.job is not None:
                spec = placement.job.spec
                for n, amount in enumerate((spec.cpus, spec.gpus, spec.memory_gb)):
                    taken[n] += amount
                if placement.job.placed.get(placement.index) is not placement:
                    out.append(f"{placement.task} on {machine.name}: its job does not know")
        for kept, counted in zip(machine.used, taken, strict=True):
            if abs(kept - counted) > 1e-4:
                out.append(f"{machine.name}: takes {machine.used}, counted {taken}")
    return out


def _resting(owner: Counted) -> list[str]:
    """Jobs that no pass looks at, though there is something to do for them."""
    out = []
    # For a shard that is being handed back nothing is done any more; under its next term, here or
    # elsewhere, all jobs with claims are looked at.
    held = [name for name, shard in owner.held_shards.items() if not shard.yielding]
    for job in owner.backlog.active.values():
        if job.id not in owner.backlog.dirty_jobs and not through(job, held):
            out.append(f"{job.id}: something is to be done for it, and no pass looks at it")
    return out


def through(job: JobRun, held: list[str]) -> bool:
    """Nothing is to be done for an active job before something happens to it."""
    claims_here = any(job.claims.get(shard, 0) for shard in held)
    lacking = job.unclaimed or any(
        job.claims.get(shard, 0) & ~job.finished & ~job.finished_unrecorded & ~job.placed_bits
        for shard in held
    )
    writing = (
        job.committing
        or job.releasing
        or job.finished_unrecorded & (job.all_tasks if claims_here else 0)
    )
    gang = job.gang and (
        job.gang_stopping or any(p.stop_grace_s is not None for p in job.placed.values())
    )
    return not (lacking or writing or gang or job.reserved or job.unplaceable_since)


def _differ(what: str, kept: Pair, counted: Pair) -> list[str]:
    if abs(kept[0] - counted[0]) < 1e-3 and abs(kept[1] - counted[1]) < 1e-3:
        return []
    return [f"{what}: kept {kept}, counted {counted}"]

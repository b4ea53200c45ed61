"""Recomputes the ledger's counts from tasks, machines and jobs, and reports differences.

The check is linear in the number of tasks, machines and jobs, so a controller never runs it; the
in-memory test worlds do after each batch. It shares no code with the ledger.
"""

from __future__ import annotations

from typing import Protocol

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import JobRun, Machine, Shard
from sagecove.protocol import workers as worker_protocol

CpusGpus = tuple[float, float]


class CheckedOwner(BaseContext, Protocol):
    """The owner whose ledger is checked."""

    held_shards: dict[str, Shard]
    machines_by_shard: dict[str, dict[str, Machine]]

    @property
    def backlog(self) -> Backlog:
        """The unfinished jobs."""

    @property
    def ledger(self) -> Ledger:
        """The counts to check."""


def ledger_differences(owner: CheckedOwner) -> list[str]:
    """Return a text for each count of the ledger that is wrong; empty if all are right."""
    found: list[str] = []
    ledger = owner.ledger
    if set(ledger.accounts) != set(owner.held_shards):
        found.append(
            f"accounts of {sorted(ledger.accounts)}, held shards are {sorted(owner.held_shards)}"
        )
        return found
    running: dict[str, int] = {}
    for name, shard in owner.held_shards.items():
        used, used_by_all, task_counts = _count_used(owner, shard)
        claimed = _count_claimed(owner, name)
        teams = {*used, *claimed, *ledger.accounts[name].used, *ledger.accounts[name].claimed}
        for team in teams:
            used_by_team = used.get(team, (0.0, 0.0))
            counted = used_by_team[0] + used_by_all[0], used_by_team[1] + used_by_all[1]
            found += _compare(f"{name}: used by {team}", ledger.used(name, team), counted)
            counted = claimed.get(team, (0.0, 0.0))
            found += _compare(f"{name}: claimed by {team}", ledger.claimed(name, team), counted)
        kept = {job_id: count for job_id, (_, count) in ledger.accounts[name].jobs.items()}
        if kept != task_counts:
            found.append(f"{name}: ledger has jobs with tasks {kept}, counted {task_counts}")
        found += _check_machines(owner, name)
    for machines in owner.machines_by_shard.values():
        for machine in machines.values():
            for placement in machine.tasks.values():
                if placement.job is not None and placement.state == worker_protocol.TASK_RUNNING:
                    running[placement.job.id] = running.get(placement.job.id, 0) + 1
    for job in owner.jobs.values():
        if job.running_count != running.get(job.id, 0):
            found.append(f"{job.id}: {job.running_count} running, counted {running.get(job.id, 0)}")
    return found + _check_clean_jobs(owner)


def _count_used(
    owner: CheckedOwner, shard: Shard
) -> tuple[dict[str, CpusGpus], CpusGpus, dict[str, int]]:
    """Return what is used by each team, what counts as used by all teams, and tasks by job."""
    by_team: dict[str, CpusGpus] = {}
    by_all = (0.0, 0.0)
    task_counts: dict[str, int] = {}
    for machine in owner.machines_by_shard.get(shard.name, {}).values():
        tasks_unknown = machine.name in shard.unreported_machines or any(
            state != worker_protocol.EXITED for state in machine.unknown_tasks.values()
        )
        if tasks_unknown:
            machine_type = machine.machine_type
            capacity = (
                (machine_type.cpus, machine_type.gpus) if machine_type is not None else (1e9, 1e9)
            )
            by_all = by_all[0] + capacity[0], by_all[1] + capacity[1]
        for placement in machine.tasks.values():
            if placement.state == worker_protocol.EXITED or placement.job is None:
                continue
            spec = placement.job.spec
            task_counts[spec.id] = task_counts.get(spec.id, 0) + 1
            if not tasks_unknown:
                used = by_team.get(spec.team, (0.0, 0.0))
                by_team[spec.team] = used[0] + spec.cpus, used[1] + spec.gpus
    return by_team, by_all, task_counts


def _count_claimed(owner: CheckedOwner, shard: str) -> dict[str, CpusGpus]:
    by_team: dict[str, CpusGpus] = {}
    for job in owner.jobs.values():
        bits = job.claims.get(shard, 0) & job.all_tasks & ~job.finished & ~job.finished_unrecorded
        if job.claiming is not None and job.claiming[0] == shard:
            bits |= job.claiming[1]
        if count := bits.bit_count():
            claimed = by_team.get(job.spec.team, (0.0, 0.0))
            by_team[job.spec.team] = (
                claimed[0] + count * job.spec.cpus,
                claimed[1] + count * job.spec.gpus,
            )
    return by_team


def _check_machines(owner: CheckedOwner, shard: str) -> list[str]:
    found = []
    for machine in owner.machines_by_shard.get(shard, {}).values():
        used = [0.0, 0.0, 0.0]
        for placement in machine.tasks.values():
            if placement.state != worker_protocol.EXITED and placement.job is not None:
                spec = placement.job.spec
                for resource, amount in enumerate((spec.cpus, spec.gpus, spec.memory_gb)):
                    used[resource] += amount
                if placement.job.placed.get(placement.index) is not placement:
                    found.append(f"{placement.task} on {machine.name}: not placed for its job")
        for kept, counted in zip(machine.used, used, strict=True):
            if abs(kept - counted) > 1e-4:
                found.append(f"{machine.name}: uses {machine.used}, counted {used}")
    return found


def _check_clean_jobs(owner: CheckedOwner) -> list[str]:
    """Return a text for each job that no pass will examine though something is due for it."""
    found = []
    # Nothing is done for a shard that is being handed back; under its next term, here or elsewhere,
    # all jobs with claims are examined.
    held = [name for name, shard in owner.held_shards.items() if not shard.yielding]
    for job in owner.backlog.active.values():
        if job.id not in owner.backlog.dirty_jobs and not nothing_due(job, held):
            found.append(f"{job.id}: something is due for it, and no pass examines it")
    return found


def nothing_due(job: JobRun, held: list[str]) -> bool:
    """Return whether nothing is due for an active job until something happens to it."""
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


def _compare(what: str, kept: CpusGpus, counted: CpusGpus) -> list[str]:
    if abs(kept[0] - counted[0]) < 1e-3 and abs(kept[1] - counted[1]) < 1e-3:
        return []
    return [f"{what}: ledger has {kept}, counted {counted}"]

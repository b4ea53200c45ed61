"""Machines that nobody needs, and telling why jobs wait."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.estimates import Estimates
from sagecove.coordination.interfaces import TICK_S, OwnerContext, ShardQueries
from sagecove.coordination.model import JobRun, Machine
from sagecove.coordination.placement import machine_allowed, tasks_fitting
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job

log = logging.getLogger("sagecove.upkeep")

# A job that waits this long is told of in the log, and again after as long.
WAIT_TOLD_S = 20.0


class Leaving(Protocol):
    """Machines that are no longer wanted."""

    def mark_for_return(self, machine: Machine, why: str) -> None:
        """Hand a machine to the provisioner for its return."""


class Limiting(Protocol):
    """Teams' limits."""

    def claimable_anywhere(self, spec: Job, wanted: int) -> int:
        """How many more tasks of this kind a team's limit has room for."""


class Maintenance:
    """Idle machines and long waits."""

    def __init__(
        self,
        desk: OwnerContext,
        shards: ShardQueries,
        workers: Leaving,
        estimates: Estimates,
        backlog: Backlog,
        limits: Limiting,
        why: Callable[[JobRun], list[str]],
    ) -> None:
        self.desk = desk
        self.shards = shards
        self.workers = workers
        self.estimates = estimates
        self.backlog = backlog
        self.limits = limits
        # Why a job waits.
        self.why = why
        self.idle_at = 0.0
        self.wait_told_at = 0.0

    def return_idle(self, now: float) -> None:
        """Return machines that have been idle for long, but keep a little room for arrivals."""
        if now < self.idle_at:
            return
        self.idle_at = now + 4 * TICK_S
        for name in self.shards.active_shards(now):
            idle: dict[tuple[str, bool], list[Machine]] = {}
            machines = list(self.desk.machines_by_shard.get(name, {}).values())
            for machine in machines:
                if not machine.empty or machine.record.leaving or machine.machine_type is None:
                    continue
                if machine.spot_notice:
                    self.workers.mark_for_return(machine, "spot notice")
                    continue
                idle.setdefault((machine.record.type, machine.record.spot), []).append(machine)
            for group in idle.values():
                group.sort(key=lambda m: -m.idle_since)
                kind = group[0].machine_type
                assert kind is not None
                patience = self._patience(kind)
                # Kept whether services came or not, a machine of each shard stayed for good.
                warm = not group[0].record.spot and self.estimates.service_expected(1.5 * patience)
                keep = self._keep(kind, machines) if warm else 0
                keep = max(keep, self._for_tries(group[0]))
                # Those that are up wait for as long as the others of their gang may yet come up.
                # Else, of eight machines, those that were there first had been given back when the
                # last one came, and were rented again: a gang waited so to the end of its day.
                gangs = self._for_gangs(name, group[0])
                until_up = self.estimates.boot_timeout_s(kind) if gangs else 0.0
                for rank, machine in enumerate(group[keep:]):
                    if rank < gangs and now - machine.idle_since <= until_up:
                        continue
                    age = self.desk.wall() - machine.record.at
                    # A machine that is deleted costs 60 s at least: it may as well wait as long.
                    drained = now < machine.drain_until and now - machine.idle_since > 2.0
                    if (drained or now - machine.idle_since > patience) and age > 55.0:
                        self.workers.mark_for_return(machine, "idle")

    def _for_tries(self, machine: Machine) -> int:
        """Machines like this one that the next try of a job takes which fails everywhere: none are
        rented for it, so that without one it would never be tried again."""
        kind = machine.machine_type
        assert kind is not None
        most = 0
        for job in self.backlog.dirty_jobs.values():
            if job.judged_faulty and not job.placed and machine_allowed(job.spec, machine):
                fit = max(1, tasks_fitting(job.spec, (kind.cpus, kind.gpus, kind.memory_gb)))
                most = max(most, -(-job.spec.tasks // fit) if job.claimed_whole else 1)
        return most

    def _for_gangs(self, shard: str, machine: Machine) -> int:
        """Machines like this one that gangs of whole machines take which wait for room in its
        shard."""
        kind = machine.machine_type
        assert kind is not None
        count = 0
        for job in self.backlog.active.values():
            if (
                job.gang
                and not job.placed
                and not job.judged_faulty
                and machine_allowed(job.spec, machine)
                and (shard in job.claims or self.shards.gang_home_shard(job) == shard)
                and self.limits.claimable_anywhere(job.spec, lack := job.unclaimed.bit_count())
                >= lack
            ):
                fit = max(1, tasks_fitting(job.spec, (kind.cpus, kind.gpus, kind.memory_gb)))
                count += -(-job.spec.tasks // fit)
        return count

    def _patience(self, kind: MachineType) -> float:
        """How long a machine may idle: longer where jobs come that need one of its own, since
        those would have to wait for a boot."""
        patience = max(15.0, 0.8 * kind.boot_s)
        arrivals = self.estimates.large_job_arrivals.get(kind.name)
        if arrivals and len(arrivals) > 1:
            gap = (self.desk.now - arrivals[0]) / len(arrivals)
            patience = max(patience, min(2.5 * gap, 5 * kind.boot_s))
        return patience

    def _keep(self, kind: MachineType, machines: list[Machine]) -> int:
        """Idle machines a shard keeps for services to come: none where others can make room."""
        if kind.gpus > 0:
            return 0
        room = 0.0
        for machine in machines:
            if machine.accepts_tasks and not machine.record.spot and machine.tasks:
                fixed = sum(
                    p.job.spec.cpus
                    for p in machine.tasks.values()
                    if p.job is not None and p.takes_room and p.job.priority == 3
                )
                room += (machine.machine_type.cpus if machine.machine_type else 0.0) - fixed
        return 0 if room >= kind.cpus else 1

    def log_long_waits(self, now: float) -> None:
        """Log why jobs wait that have waited for long: the oldest few at a time."""
        if now < self.wait_told_at + 5.0:
            return
        self.wait_told_at = now
        long = [
            j
            for j in self.desk.jobs.values()
            if j.unclaimed and now - j.wait_logged_at > WAIT_TOLD_S
        ]
        for job in sorted(long, key=lambda j: j.wait_logged_at)[:3]:
            job.wait_logged_at = now
            why = "; ".join(self.why(job))
            log.info("waits job=%s team=%s why=%s", job.id, job.spec.team, why)

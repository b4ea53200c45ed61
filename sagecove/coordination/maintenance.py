"""Periodic work: returns idle machines, and logs why jobs wait for long."""

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

# Why a job waits is logged each time it has waited for this long.
LONG_WAIT_S = 20.0


class MachineReturns(Protocol):
    """Returns machines to the provisioner."""

    def mark_for_return(self, machine: Machine, reason: str) -> None:
        """Hand a machine to the provisioner for deletion."""


class LimitQueries(Protocol):
    """Answers questions about team limits."""

    def claimable_anywhere(self, spec: Job, wanted: int) -> int:
        """Return how many more tasks of this kind the team's limit allows."""


class Maintenance:
    """Returns idle machines and logs long waits."""

    def __init__(
        self,
        context: OwnerContext,
        shards: ShardQueries,
        workers: MachineReturns,
        estimates: Estimates,
        backlog: Backlog,
        limits: LimitQueries,
        explain_wait: Callable[[JobRun], list[str]],
    ) -> None:
        self.context = context
        self.shards = shards
        self.workers = workers
        self.estimates = estimates
        self.backlog = backlog
        self.limits = limits
        self.explain_wait = explain_wait
        self.next_idle_check_at = 0.0
        self.last_wait_log_at = 0.0

    def return_idle(self, now: float) -> None:
        """Return machines that have been idle for long, except some room kept for new jobs."""
        if now < self.next_idle_check_at:
            return
        self.next_idle_check_at = now + 4 * TICK_S
        for name in self.shards.active_shards(now):
            idle: dict[tuple[str, bool], list[Machine]] = {}
            machines = list(self.context.machines_by_shard.get(name, {}).values())
            for machine in machines:
                if not machine.empty or machine.record.leaving or machine.machine_type is None:
                    continue
                if machine.unreachable_since is not None:
                    # Nothing was placed on it; it is returned unless it hears again in time.
                    continue
                if machine.spot_notice:
                    self.workers.mark_for_return(machine, "spot notice")
                    continue
                idle.setdefault((machine.record.type, machine.record.spot), []).append(machine)
            for group in idle.values():
                group.sort(key=lambda m: -m.idle_since)
                kind = group[0].machine_type
                assert kind is not None
                idle_limit_s = self._idle_limit_s(kind)
                # Without this condition each shard would keep a machine for services for good.
                services_likely = not group[0].record.spot and self.estimates.service_expected(
                    1.5 * idle_limit_s
                )
                keep = self._needed_for_services(kind, machines) if services_likely else 0
                keep = max(keep, self._needed_for_retries(group[0]))
                # Machines for a gang wait for as long as its other machines may take to boot.
                # Otherwise the first of eight machines had been returned when the last one came up,
                # and were rented again; a gang waited like this until the end of its test day.
                gangs = self._needed_for_gangs(name, group[0])
                boot_timeout_s = self.estimates.boot_timeout_s(kind) if gangs else 0.0
                for rank, machine in enumerate(group[keep:]):
                    if rank < gangs and now - machine.idle_since <= boot_timeout_s:
                        continue
                    rented_for_s = self.context.wall() - machine.record.at
                    # The cloud charges at least 60 s per machine, so it is kept almost that long.
                    may_drain = now < machine.drain_until and now - machine.idle_since > 2.0
                    if (
                        may_drain or now - machine.idle_since > idle_limit_s
                    ) and rented_for_s > 55.0:
                        self.workers.mark_for_return(machine, "idle")

    def _needed_for_retries(self, machine: Machine) -> int:
        """Return how many machines like this one the next try of a job that fails everywhere takes.
        None are rented for such jobs, so without a kept machine they would never be retried."""
        kind = machine.machine_type
        assert kind is not None
        most_needed = 0
        for job in self.backlog.dirty_jobs.values():
            if job.judged_faulty and not job.placed and machine_allowed(job.spec, machine):
                tasks_per_machine = max(
                    1, tasks_fitting(job.spec, (kind.cpus, kind.gpus, kind.memory_gb))
                )
                most_needed = max(
                    most_needed, -(-job.spec.tasks // tasks_per_machine) if job.claimed_whole else 1
                )
        return most_needed

    def _needed_for_gangs(self, shard: str, machine: Machine) -> int:
        """Return how many machines like this one are needed by gangs of whole machines that wait
        for room in the shard."""
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
                and self.limits.claimable_anywhere(
                    job.spec, unclaimed_count := job.unclaimed.bit_count()
                )
                >= unclaimed_count
            ):
                tasks_per_machine = max(
                    1, tasks_fitting(job.spec, (kind.cpus, kind.gpus, kind.memory_gb))
                )
                count += -(-job.spec.tasks // tasks_per_machine)
        return count

    def _idle_limit_s(self, kind: MachineType) -> float:
        """Return how long a machine may idle: longer if jobs arrive that need a whole machine of
        this type, since they would have to wait for a boot."""
        idle_limit_s = max(15.0, 0.8 * kind.boot_s)
        arrivals = self.estimates.large_job_arrivals.get(kind.name)
        if arrivals and len(arrivals) > 1:
            arrival_gap_s = (self.context.now - arrivals[0]) / len(arrivals)
            idle_limit_s = max(idle_limit_s, min(2.5 * arrival_gap_s, 5 * kind.boot_s))
        return idle_limit_s

    def _needed_for_services(self, kind: MachineType, machines: list[Machine]) -> int:
        """Return how many idle machines a shard keeps for new services: none if preemption can make
        room."""
        if kind.gpus > 0:
            return 0
        preemptible_cpus = 0.0
        for machine in machines:
            if machine.accepts_tasks and not machine.record.spot and machine.tasks:
                production_cpus = sum(
                    p.job.spec.cpus
                    for p in machine.tasks.values()
                    if p.job is not None and p.takes_room and p.job.priority == 3
                )
                preemptible_cpus += (
                    machine.machine_type.cpus if machine.machine_type else 0.0
                ) - production_cpus
        return 0 if preemptible_cpus >= kind.cpus else 1

    def log_long_waits(self, now: float) -> None:
        """Log why jobs have been waiting for long, a few at a time, the longest unlogged first."""
        if now < self.last_wait_log_at + 5.0:
            return
        self.last_wait_log_at = now
        long_waiting = [
            j
            for j in self.context.jobs.values()
            if j.unclaimed and now - j.wait_logged_at > LONG_WAIT_S
        ]
        for job in sorted(long_waiting, key=lambda j: j.wait_logged_at)[:3]:
            job.wait_logged_at = now
            reasons = "; ".join(self.explain_wait(job))
            log.info("waits job=%s team=%s why=%s", job.id, job.spec.team, reasons)

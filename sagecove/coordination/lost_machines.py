"""Finds workers whose leases have surely expired, and machines that are to be returned."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from sagecove.coordination.interfaces import Authority, BaseContext, MachineRecordWriter
from sagecove.coordination.model import Machine, Shard
from sagecove.coordination.reachability import Reachability
from sagecove.storage.store import Result

log = logging.getLogger("sagecove.workers")

# When many machines fall silent together, none is returned before this many leases.
MANY_SILENT_LEASES_COUNT = 6


class FaultyMachines(Protocol):
    """Machines that fail their tasks."""

    machines_to_return: dict[str, Machine]


class ShardMachines(Protocol):
    """The machines of shards."""

    def shard_machines(self, shard: str) -> list[Machine]:
        """Return the machines of a shard."""

    def resolve_machine(self, machine: Machine) -> None:
        """Note that the tasks an earlier holder may have left on a machine are known."""


class LostMachineContext(BaseContext, MachineRecordWriter, Protocol):
    """Interface that the search for lost machines requires of the owner."""

    held_shards: dict[str, Shard]
    # Since when this process has been running without a pause.
    running_since: float

    @property
    def leadership(self) -> Authority:
        """This controller's authority."""

    @property
    def failures(self) -> FaultyMachines:
        """The failures of tasks."""

    @property
    def shards(self) -> ShardMachines:
        """The shards and their machines."""


class LostMachines:
    """Watches the machines of the shards held by this controller.

    A machine that is silent for longer than `silence_limit_s` counts as dead; `lease_expiry_s`
    after the last answer a worker's lease has surely expired. `forget_tasks(machine)` drops all
    tasks of a machine.
    """

    def __init__(
        self,
        context: LostMachineContext,
        silence_limit_s: float,
        lease_expiry_s: float,
        reachability: Reachability,
        forget_tasks: Callable[[Machine], None],
    ) -> None:
        self.context = context
        self.worker_settings = context.settings.params.workers
        self.silence_limit_s = silence_limit_s
        self.lease_expiry_s = lease_expiry_s
        self.reachability = reachability
        self.forget_tasks = forget_tasks
        # By shard: when one of its machines may first be silent or have an expired lease.
        self.next_check_at: dict[str, float] = {}
        # By zone: when its machines were last cut off from this controller.
        self.zone_cut_off_at: dict[str, float] = {}

    def tick(self, now: float) -> None:
        """Drop tasks of machines with a surely expired lease; return silent and faulty machines."""
        context = self.context
        for shard in list(context.held_shards.values()):
            if now < self.next_check_at.get(shard.name, 0.0):
                continue
            machines = context.shards.shard_machines(shard.name)
            # Nothing can be due before the first machine may be silent or have an expired lease:
            # reports that come in meanwhile only make that later.
            next_check_at = now + min(self.silence_limit_s, self.lease_expiry_s)
            for machine in machines:
                if machine.ever_reported and not machine.record.leaving:
                    next_check_at = min(
                        next_check_at, machine.last_report_at + self.silence_limit_s
                    )
                if (
                    machine.tasks
                    or machine.unknown_tasks
                    or machine.name in shard.unreported_machines
                ):
                    next_check_at = min(next_check_at, machine.last_answer_at + self.lease_expiry_s)
            self.next_check_at[shard.name] = next_check_at
            # Time in which this process was not running, or didn't hold the shard, is no silence.
            reports_expected_since = max(shard.held_since, context.running_since)
            silent_machines = [
                m
                for m in machines
                if now - m.last_report_at > self.silence_limit_s and m.ever_reported
            ]
            for machine in machines:
                lease_renewed_at = max(machine.last_answer_at, shard.held_since)
                if now - lease_renewed_at > self.lease_expiry_s and (
                    machine.tasks
                    or machine.unknown_tasks
                    or machine.name in shard.unreported_machines
                ):
                    log.info(
                        "worker lease over machine=%s tasks=%d heard=%.1f answered=%.1f ever=%d",
                        machine.name,
                        len(machine.tasks),
                        now - machine.last_report_at,
                        now - machine.last_answer_at,
                        machine.ever_reported,
                    )
                    machine.ended_session = max(machine.ended_session, machine.session)
                    machine.tasks_known = False
                    self.forget_tasks(machine)
                    context.shards.resolve_machine(machine)
            if not context.leadership.may_act(now) or shard.yielding:
                continue
            # When many machines fall silent at once, the fault is more likely in this controller or
            # in the network.
            reported_machines = [m for m in machines if m.ever_reported]
            reporting_count = sum(
                1
                for m in reported_machines
                if now - m.last_report_at < 1.5 * self.worker_settings.report_s
            )
            many_silent = len(silent_machines) > max(
                2, len(machines) // 4
            ) or 2 * reporting_count < len(reported_machines)
            cut_off_zones = self._find_cut_off_zones(now, machines)
            for machine in silent_machines:
                # The wait is bounded: a shard of which most machines had died kept them for ever.
                allowed_silence_s = self.silence_limit_s
                if many_silent:
                    allowed_silence_s = MANY_SILENT_LEASES_COUNT * self.worker_settings.lease_s
                elif machine.record.zone in cut_off_zones:
                    allowed_silence_s = max(allowed_silence_s, self.worker_settings.lease_s)
                if (
                    now - max(machine.last_report_at, reports_expected_since) > allowed_silence_s
                    and not machine.record.leaving
                    and now - machine.peer_report_at > self.silence_limit_s
                ):
                    self.mark_for_return(machine, "silent")
        for name, machine in list(context.failures.machines_to_return.items()):
            if context.machines.get(name) is not machine or machine.return_due_at is None:
                del context.failures.machines_to_return[name]
            elif (
                now >= machine.return_due_at
                and not machine.record.leaving
                and machine.record.shard in context.held_shards
                and machine.empty
            ):
                self.mark_for_return(machine, "sick")
        for machine in self.reachability.machines_to_return(now):
            self.mark_for_return(machine, "does not hear")

    def _find_cut_off_zones(self, now: float, machines: list[Machine]) -> set[str]:
        """Zones that are cut off from this controller, judged by their silent machines.

        In such a zone many machines miss reports at once: the network to it is at fault, and most
        of its machines will report by way of another controller.
        """
        counts_by_zone: dict[str, list[int]] = {}
        late_s = 2 * self.worker_settings.report_s
        for machine in machines:
            if machine.ever_reported and not machine.record.leaving:
                counts = counts_by_zone.setdefault(machine.record.zone, [0, 0])
                counts[0] += 1
                counts[1] += now - machine.last_report_at > late_s
        cut_off = {
            zone
            for zone, (machine_count, silent_count) in counts_by_zone.items()
            if silent_count > max(2, machine_count // 4)
        }
        for zone in cut_off:
            self.zone_cut_off_at[zone] = now
        return {
            zone for zone, at in self.zone_cut_off_at.items() if now - at < self.silence_limit_s
        }

    def mark_for_return(self, machine: Machine, reason: str) -> None:
        """Mark a machine for deletion by the provisioner; nothing is placed on it any more."""
        context = self.context
        shard = context.held_shards.get(machine.record.shard)
        if shard is None or shard.yielding or machine.handing_over:
            return
        if machine.committing or context.now < machine.next_return_try_at:
            return
        old = machine.record
        record = msgspec.structs.replace(old, leaving=reason)
        machine.committing = True
        # While the state service refuses writes, one attempt per report interval is enough.
        machine.next_return_try_at = context.now + self.worker_settings.report_s
        log.info("machine to be returned machine=%s why=%s", machine.name, reason)

        def done(result: Result) -> None:
            machine.committing = False

        context.put_machine(machine.name, record, machine.stamp, shard, done)

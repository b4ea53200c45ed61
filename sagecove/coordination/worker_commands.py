"""Composes the commands for workers, and sends them directly where they should not wait.

Every command is repeated until a report shows its effect: launches in the answers to reports,
stops and reaps in these or directly. A direct command never carries a launch (`launch_tracker`).
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from sagecove.coordination.interfaces import (
    Authority,
    BaseContext,
    RequestSender,
    ResponseCallback,
)
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import LAUNCH_SENT, Machine, Placement, Shard
from sagecove.coordination.tokens import holder_token
from sagecove.protocol import workers as worker_protocol

log = logging.getLogger("sagecove.workers")

# At most this many commands in one message, and stops and reaps among them. Stops in the answer to
# a report are not bounded.
MAX_COMMANDS_COUNT = 400
MAX_STOPS_AND_REAPS_COUNT = 200


class CommandContext(BaseContext, RequestSender, Protocol):
    """Interface that the commands require of the owner."""

    held_shards: dict[str, Shard]
    ledger: Ledger
    # Something has changed that the next scheduling pass has to consider.
    pass_needed: bool

    @property
    def leadership(self) -> Authority:
        """This controller's authority."""

    def count(self, event: str) -> None:
        """Increment the metric of an event."""


class WorkerCommands:
    """Decides which commands workers get.

    `on_response(machine, body)` is called with each worker's response to direct commands;
    `answer_held_report(machine)` answers the machine's report if one is held.
    """

    def __init__(
        self,
        context: CommandContext,
        call_timeout_s: float,
        on_response: Callable[[Machine, bytes], None],
        answer_held_report: Callable[[Machine], bool],
    ) -> None:
        self.context = context
        self.answer_held_report = answer_held_report
        self.call_timeout_s = call_timeout_s
        self.on_response = on_response
        # Machines with commands that should not wait for the next report.
        self.urgent_machines: dict[str, Machine] = {}

    def can_reap(self, placement: Placement) -> bool:
        """Return whether the worker may forget an exited task.

        It may once no launch of the task is under way and its result is durable.
        """
        if placement.state != worker_protocol.EXITED:
            return False
        if placement.machine.launches.may_arrive(placement.launch, self.context.now):
            return False
        job = placement.job
        if (
            placement.exit_reason != worker_protocol.EXIT_DONE
            or job is None
            or job.id not in self.context.jobs
        ):
            return True
        return bool(job.finished >> placement.index & 1)

    def commands_for(
        self,
        machine: Machine,
        seq: int | None,
        due_stops: Sequence[worker_protocol.WorkerCommand] = (),
    ) -> list[worker_protocol.WorkerCommand]:
        """Commands for a worker, to answer report number `seq` or, if None, to be sent directly.

        `due_stops` are stops that are due beside those of the known tasks. Launches are sent in
        answers only, and count as under way from now on.
        """
        stops, reaps = self._stops_and_reaps(machine)
        if due_stops:
            stops = [*due_stops, *(stop for stop in stops if stop not in due_stops)]
        if seq is None:
            # A request may have 64 KiB; unlike an answer, it renews no lease.
            del stops[MAX_STOPS_AND_REAPS_COUNT:]
        orders = stops + reaps[: max(0, MAX_STOPS_AND_REAPS_COUNT - len(stops))]
        if seq is not None:
            self._add_launches(machine, seq, orders)
        return orders

    def _add_launches(
        self, machine: Machine, seq: int, orders: list[worker_protocol.WorkerCommand]
    ) -> None:
        """Add the launches that are due to the commands in the answer to report number `seq`."""
        for placement in machine.tasks.values():
            if len(orders) >= MAX_COMMANDS_COUNT:
                break
            if not self._is_launch_due(placement):
                continue
            orders.append(
                worker_protocol.WorkerCommand(
                    worker_protocol.LAUNCH, placement.task, placement.attempt
                )
            )
            placement.answered_seq = seq
            machine.launches.note_answer(placement.launch, seq, self.context.now)

    def _is_launch_due(self, placement: Placement) -> bool:
        """Return whether a task is to be started that no report has shown yet."""
        return (
            placement.state == LAUNCH_SENT
            and placement.stop_grace_s is None
            and placement.job is not None
            and placement.job.id in self.context.jobs
        )

    def _stops_and_reaps(
        self, machine: Machine
    ) -> tuple[list[worker_protocol.WorkerCommand], list[worker_protocol.WorkerCommand]]:
        """Return the commands to stop tasks, and those to forget exited ones."""
        stops: list[worker_protocol.WorkerCommand] = []
        reaps: list[worker_protocol.WorkerCommand] = []
        for placement in machine.tasks.values():
            if placement.state == worker_protocol.EXITED:
                if self.can_reap(placement):
                    reaps.append(worker_protocol.reap(*placement.launch))
                continue
            grace_s = placement.stop_grace_s
            if grace_s is None or placement.state == LAUNCH_SENT:
                continue
            if placement.state != worker_protocol.SAVING or grace_s == 0:
                stops.append(worker_protocol.halt(*placement.launch, grace_s))
        for launch, state in machine.unknown_tasks.items():
            if state != worker_protocol.EXITED:
                stops.append(worker_protocol.halt(*launch, 0.0))
            elif not machine.launches.may_arrive(launch, self.context.now):
                reaps.append(worker_protocol.reap(*launch))
        return stops, reaps

    def mark_urgent(self, machine: Machine) -> None:
        """Have a machine's commands sent directly, without waiting for its next report."""
        self.urgent_machines[machine.name] = machine

    def send_urgent_commands(self, now: float) -> None:
        """Send urgent commands directly, or with launches in the answer to a held report.

        The answer to the next report repeats them. Stops alone leave a report held: the response
        to them shows the room that has become free, and a launch can use it at once.
        """
        context = self.context
        if not context.leadership.may_act(now):
            return
        for machine in list(self.urgent_machines.values()):
            shard = context.held_shards.get(machine.record.shard)
            if shard is None or shard.yielding or not machine.tasks_known or not machine.addr:
                del self.urgent_machines[machine.name]
                continue
            launch_due = any(map(self._is_launch_due, machine.tasks.values()))
            if launch_due and self.answer_held_report(machine):
                self.urgent_machines.pop(machine.name, None)
                continue
            if machine.open_call_count:
                continue
            del self.urgent_machines[machine.name]
            orders = self.commands_for(machine, None)
            if not orders:
                continue
            token = holder_token(shard.term, machine)
            log.debug(
                "direct commands machine=%s token=%d session=%d count=%d",
                *(machine.name, token, machine.session, len(orders)),
            )
            machine.open_call_count += 1
            context.call(
                machine.addr,
                "POST",
                "/commands",
                worker_protocol.DirectCommands(token, machine.session, orders),
                self.call_timeout_s,
                self._direct_command_callback(machine),
            )

    def _direct_command_callback(self, machine: Machine) -> ResponseCallback:
        def done(status: int | None, body: bytes) -> None:
            context = self.context
            machine.open_call_count -= 1
            machine.quiescent = False
            if status == 409:
                context.count("direct commands refused")
            if status in (200, 409) and context.machines.get(machine.name) is machine:
                self.on_response(machine, body)

        return done

    def stop_task(self, placement: Placement, grace_s: float, stopped_for: str) -> None:
        """Stop a task; a later call can only shorten its grace period."""
        if placement.state == worker_protocol.EXITED:
            return
        if placement.stop_grace_s is not None and placement.stop_grace_s <= grace_s:
            return
        if placement.stop_grace_s is None:
            placement.stop_requested_at = self.context.now
            log.info(
                "stop task=%s attempt=%d machine=%s for=%s",
                placement.task,
                placement.attempt,
                placement.machine.name,
                stopped_for,
            )
        placement.stop_grace_s = grace_s
        placement.stopped_for = stopped_for
        self.context.ledger.mark_stopping(placement)
        self.mark_urgent(placement.machine)
        self.context.pass_needed = True

    def stop_saving_tasks(self, machine: Machine) -> None:
        """Stop tasks that can save before a spot machine is reclaimed; others may yet complete."""
        for placement in list(machine.tasks.values()):
            job = placement.job
            if job is not None and job.spec.checkpoint_s > 0 and placement.takes_room:
                self.stop_task(placement, job.grace_s, "spot notice")

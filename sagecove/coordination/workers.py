"""Handles workers' reports, sends them commands, and returns machines that fall silent.

A task is provably gone from a machine when
- a report newer than its launch shows it exited, or doesn't show it while no launch of it can still
  arrive (`launch_tracker`);
- the worker has begun a later session;
- the machine was deleted (its record is gone), or its worker's lease has surely expired.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sagecove.config import WORKER_ANSWER_TIMEOUT_S
from sagecove.coordination.effects import Reply
from sagecove.coordination.foreign_reports import ForeignReports
from sagecove.coordination.held_reports import HeldReport, HeldReports
from sagecove.coordination.lost_machines import LostMachines
from sagecove.coordination.machine_adoption import MachineAdoption
from sagecove.coordination.model import LAUNCH_SENT, Machine, Shard
from sagecove.coordination.reachability import Reachability
from sagecove.coordination.stops_due import find_due_stops
from sagecove.coordination.task_states import TaskStates
from sagecove.coordination.tokens import holder_token
from sagecove.coordination.worker_commands import WorkerCommands
from sagecove.protocol import workers as worker_protocol
from sagecove.protocol.decoding import MalformedMessage
from sagecove.protocol.users import Refusal
from sagecove.storage.store import Outcome, Result, decode_answer

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.workers")

# How long names of deleted machines are remembered: late reports of theirs are not adopted.
DELETED_KEPT_S = 600.0


class Workers:
    """Processes reports of workers and sends commands to them."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        worker_settings = owner.settings.params.workers
        drift = 1 + owner.settings.clock_drift_ratio
        # This long after the last answer a worker's lease has surely expired. Half a report's time
        # covers clock steps and network delay.
        self.lease_expiry_s = worker_settings.lease_s * drift + worker_settings.report_s / 2
        # A machine that is silent for longer counts as dead. A worker that gets no answer from its
        # holder turns to the next controller after a report's time, the timeout of 4 s and a pause
        # of 1 s, plus the network delay.
        self.silence_limit_s = max(
            *(3 * worker_settings.report_s, worker_settings.lease_s / 3),
            1.25 * worker_settings.report_s + WORKER_ANSWER_TIMEOUT_S + 1.5,
        )
        # By machine name: when its record was deleted.
        self.deleted_at: dict[str, float] = {}
        self.held_reports = HeldReports(owner, self._answer_held_report, self._refuse)
        self.commands = WorkerCommands(
            owner,
            WORKER_ANSWER_TIMEOUT_S,
            self._apply_direct_response,
            self.held_reports.answer_now,
        )
        self.task_states = TaskStates(owner, self.commands)
        self.adoption = MachineAdoption(owner, self.handle_report, self._refuse)
        self.foreign_reports = ForeignReports(owner, WORKER_ANSWER_TIMEOUT_S, self._refuse)
        self.reachability = Reachability(owner, self.lease_expiry_s, self.commands.stop_task)
        self.lost_machines = LostMachines(
            owner,
            self.silence_limit_s,
            self.lease_expiry_s,
            self.reachability,
            self.task_states.forget_all,
        )

    # -- reports --------------------------------------------------------------------------------

    def handle_report(self, body: bytes, exchange: object, relayed: bool = False) -> None:
        """Process and answer a worker's report, sent directly or relayed by another controller."""
        owner = self.owner
        reported_tasks: list[worker_protocol.TaskReport] | None = None
        try:
            report = worker_protocol.decode_report(body)
            machine = owner.machines.get(report.machine)
            if machine is None:
                report.require_machine_name()
            if (
                machine is None
                or not machine.quiescent
                or machine.last_task_list != bytes(report.tasks)
            ):
                reported_tasks = worker_protocol.decode_task_reports(report.tasks)
        except MalformedMessage as error:
            owner.effects.append(Reply(exchange, 400, Refusal(str(error))))
            return
        now = owner.now
        if machine is None:
            # A late report of a machine that was deleted does not bring it back.
            if report.machine in self.deleted_at or not self.adoption.adopt(report, body, exchange):
                self._refuse(exchange, "machine is not known yet")
            return
        shard = owner.held_shards.get(machine.record.shard)
        if shard is None or shard.yielding or not owner.leadership.may_act(now):
            holder = owner.shards.holder_of(machine.record.shard)
            if holder is None and not relayed:
                # The holder's lease has expired, and some controller is about to take the shard.
                self.foreign_reports.redirect_to_live_peer(machine, report, exchange)
            elif holder != owner.settings.node and holder is not None and not relayed:
                self.foreign_reports.handle(machine, holder, report, body, exchange)
            else:
                self._refuse(exchange, "this controller may not act for the shard now")
            return
        token = holder_token(shard.term, machine)
        if now < machine.unanswered_until:
            machine.last_report_at = now
            self._refuse(exchange, "the worker does not receive answers")
            return
        list_applied = False
        if self._is_newest(machine, report):
            list_applied = self.apply_report(machine, report, reported_tasks, token, via_hello=True)
            machine.last_hello_seq = report.seq
        elif (
            report.session != machine.session
            or report.session <= machine.ended_session
            or report.seq <= machine.last_hello_seq
            or report.token < machine.worker_token
        ):
            # A delayed copy, which must not renew a lease nor change any state, or the first report
            # of a worker that has restarted.
            if report.seq != machine.last_hello_seq or report.session != machine.session:
                self.reachability.request_current_report(
                    machine, report.addr, lambda: self._fence_after_restart(machine)
                )
            self._refuse(exchange, "report is out of date")
            return
        if token <= machine.fence_token:
            # An old launch under this token may still arrive and would be executed.
            self._raise_token(machine)
            self._refuse(exchange, "a new token is needed")
            return
        # A report that is neither newest nor out of date was overtaken by the response to a direct
        # command: its task list is old, but the worker still waits for this answer.
        self.held_reports.discard(machine)
        due_stops: list[worker_protocol.WorkerCommand] = []
        if not list_applied:
            due_stops = self._find_stops_in_unapplied_list(machine, report, reported_tasks, token)
        elif not relayed and self.held_reports.hold(machine, shard, report, exchange):
            return
        self._renew_lease(machine, shard, report, exchange, due_stops)

    def _answer_held_report(self, held: HeldReport) -> None:
        self._renew_lease(held.machine, held.shard, held.report, held.exchange, [])

    def _find_stops_in_unapplied_list(
        self,
        machine: Machine,
        report: worker_protocol.Report,
        reported_tasks: list[worker_protocol.TaskReport] | None,
        token: int,
    ) -> list[worker_protocol.WorkerCommand]:
        """Return the stops due for a report whose list of tasks changes no state here."""
        owner = self.owner
        if reported_tasks is None:
            reported_tasks = worker_protocol.decode_task_reports(report.tasks)
        due_stops = find_due_stops(owner.jobs, machine, reported_tasks)
        owner.count("list under lower token" if report.token < token else "list overtaken")
        level = logging.INFO if due_stops else logging.DEBUG
        if log.isEnabledFor(level):
            log.log(
                level,
                "lease renewed machine=%s shard=%s token=%d shown=%d session=%d seq=%d tasks=%d"
                " stops=%s applied=%d read_age=%.1f",
                *(machine.name, machine.record.shard, token, report.token),
                *(report.session, report.seq, len(reported_tasks)),
                ",".join(f"{stop.task}@{stop.attempt}" for stop in due_stops) or "-",
                *(owner.mirror.applied, owner.now - owner.sync.synced_at),
            )
        return due_stops

    def _renew_lease(
        self,
        machine: Machine,
        shard: Shard,
        report: worker_protocol.Report,
        exchange: object,
        due_stops: list[worker_protocol.WorkerCommand],
    ) -> None:
        """Answer a report, which renews the worker's lease; nothing else does.

        `due_stops` are the stops for tasks of the report that are not among the known ones.
        """
        owner = self.owner
        token = holder_token(shard.term, machine)
        machine.launches.note_report(report.seq)
        machine.last_answer_at = owner.now
        machine.answered_seq, machine.answered_token = report.seq, token
        orders = due_stops
        if machine.tasks_known and not machine.quiescent:
            orders = self.commands.commands_for(machine, report.seq, due_stops)
            machine.quiescent = not orders and self._has_nothing_due(machine)
        answer = worker_protocol.answer_body(worker_protocol.ReportAnswer(token, orders))
        owner.effects.append(Reply(exchange, 200, answer))
        self.commands.urgent_machines.pop(machine.name, None)

    def _refuse(self, exchange: object, reason: str) -> None:
        """Answer a report so that it renews no lease; refusals are counted by their reasons."""
        self.owner.count(f"report refused {reason}")
        self.owner.effects.append(Reply(exchange, 503, Refusal(reason)))

    @staticmethod
    def _is_newest(machine: Machine, report: worker_protocol.Report) -> bool:
        """Return whether a report was sent after all that were seen of this machine.

        The token is compared, too, as a worker's token only grows: a delayed copy from before a
        restart may have a larger session.
        """
        return (
            report.session > machine.ended_session
            and report.token >= machine.worker_token
            and (report.session, report.seq) > (machine.session, machine.seq)
        )

    def _fence_after_restart(self, machine: Machine) -> None:
        """Fence off old launches: a restarted worker accepts any token, also that of a launch that
        is still under way."""
        shard = self.owner.held_shards.get(machine.record.shard)
        if shard is not None:
            machine.fence_token = holder_token(shard.term, machine)
            self._raise_token(machine)

    def _raise_token(self, machine: Machine) -> None:
        """Write the machine's record, so that its token is higher than any earlier command's."""
        shard = self.owner.held_shards.get(machine.record.shard)
        if shard is None or shard.yielding or machine.committing:
            return
        machine.committing = True

        def done(result: Result) -> None:
            machine.committing = False
            if result.outcome is Outcome.DONE:
                log.info("token raised machine=%s", machine.name)

        self.owner.put_machine(machine.name, machine.record, machine.stamp, shard, done)

    @staticmethod
    def _has_nothing_due(machine: Machine) -> bool:
        """Return whether the same report again would change nothing and needs no command."""
        return (
            machine.tasks_known
            and not machine.unknown_tasks
            and not machine.spot_notice
            and all(
                p.state in (worker_protocol.PULLING, worker_protocol.TASK_RUNNING)
                and p.stop_grace_s is None
                for p in machine.tasks.values()
            )
        )

    def apply_report(
        self,
        machine: Machine,
        report: worker_protocol.Report,
        reported_tasks: list[worker_protocol.TaskReport] | None,
        token: int,
        via_hello: bool,
    ) -> bool:
        """Apply a report that is newer than all seen of this machine.

        Returns whether its list of tasks was applied, which it is once the worker shows `token`:
        until then commands of an earlier holder may still arrive and change the list.
        `reported_tasks` is None if the list is the same as last time and the machine quiescent.
        `via_hello` is false for a report that came in the response to a direct command.
        """
        owner = self.owner
        now = owner.now
        if report.session > machine.session:
            machine.quiescent = False
            if machine.session:
                log.info(
                    "session over machine=%s session=%d by=%s",
                    machine.name,
                    report.session,
                    "report" if via_hello else "direct answer",
                )
            self.reachability.note_new_session(now, machine)
            machine.last_hello_seq = 0
            self.task_states.forget_all(machine)
            # The session may have begun only now, and its lease counts from then on, however it
            # became known. When the lease was counted from the last answered report, a session
            # first seen in the response to a direct command was taken for expired at once, and its
            # tasks were started again.
            machine.last_answer_at = max(machine.last_answer_at, now)
        machine.session, machine.seq = report.session, report.seq
        machine.worker_token = report.token
        if via_hello:
            machine.launches.note_report(report.seq)
        machine.addr = report.addr
        machine.last_report_at = now
        if not machine.ever_reported:
            owner.estimates.note_boot_time(machine)
        machine.ever_reported = True
        if report.notice_s is not None and not machine.spot_notice:
            log.info("spot notice machine=%s", machine.name)
            machine.quiescent = False
            machine.spot_notice = True
        if report.token < token:
            machine.quiescent = False
            if via_hello:
                self.reachability.check_answers_received(now, machine, report.seq, token)
            return False
        if reported_tasks is None and machine.quiescent and machine.unreachable_since is None:
            return True
        if reported_tasks is None:
            reported_tasks = worker_protocol.decode_task_reports(report.tasks)
        machine.quiescent = False
        machine.last_task_list = bytes(report.tasks)
        first_list = not machine.tasks_known
        machine.tasks_known = True
        seen: set[str] = set()
        unknown_tasks: dict[tuple[str, int], str] = {}
        # This loop has to be fast. With tasks of a second or two, most of a report is tasks that
        # have ended and wait until that is durable: 140 of them in test runs with injected faults,
        # where they took half of the owners' time.
        tasks = machine.tasks
        task_states = self.task_states
        for reported in reported_tasks:
            placement = tasks.get(reported.task)
            if placement is None or placement.attempt != reported.attempt:
                adopted = task_states.recognize(machine, reported) if placement is None else None
                if adopted is None:
                    unknown_tasks[reported.task, reported.attempt] = reported.state
                    continue
                placement = adopted
            seen.add(reported.task)
            if placement.state != reported.state:
                task_states.apply(machine, placement, reported)
        missing = [task for task in tasks if task not in seen] if len(seen) < len(tasks) else []
        for task in missing:
            placement = tasks[task]
            if machine.launches.may_arrive(placement.launch, now):
                continue
            # A launch that has not been seen is repeated, unless the task is to be stopped.
            wanted = placement.state == LAUNCH_SENT and placement.stop_grace_s is None
            # The worker may have taken an answer after it sent the response to a direct command.
            overtaken = placement.state == LAUNCH_SENT and not via_hello
            if not wanted and not overtaken:
                self.task_states.drop(machine, placement)
        if via_hello:
            self.reachability.check_answers_received(now, machine, report.seq, token)
        if machine.spot_notice:
            self.commands.stop_saving_tasks(machine)
        if machine.unknown_tasks or unknown_tasks:
            self._log_unknown_tasks(machine, unknown_tasks, token)
            machine.unknown_tasks = unknown_tasks
            owner.ledger.update_machine(machine)
        if first_list:
            owner.shards.resolve_machine(machine)
        owner.pass_needed = True
        return True

    def _log_unknown_tasks(
        self, machine: Machine, unknown_tasks: dict[tuple[str, int], str], token: int
    ) -> None:
        """Log the tasks that are to be stopped because the shard has no claim on them."""
        for launch, state in unknown_tasks.items():
            if state != worker_protocol.EXITED and launch not in machine.unknown_tasks:
                log.info(
                    "stop unknown task=%s attempt=%d machine=%s token=%d applied=%d",
                    *launch,
                    *(machine.name, token, self.owner.mirror.applied),
                )

    def _apply_direct_response(self, machine: Machine, body: bytes) -> None:
        """Apply the report in a worker's response to direct commands."""
        report = decode_answer(body, worker_protocol.Report)
        shard = self.owner.held_shards.get(machine.record.shard)
        if report is None or shard is None or report.machine != machine.name:
            return
        try:
            reported_tasks = worker_protocol.decode_task_reports(report.tasks)
        except MalformedMessage:
            return
        if self._is_newest(machine, report):
            token = holder_token(shard.term, machine)
            self.apply_report(machine, report, reported_tasks, token, via_hello=False)

    def machine_deleted(self, machine: Machine) -> None:
        """Drop all tasks of a machine that is gone, and ignore its late reports."""
        self.deleted_at[machine.name] = self.owner.now
        self.task_states.forget_all(machine, "gone")

    def tick(self, now: float) -> None:
        """Look for lost machines, and forget deleted ones after a while."""
        for name, deleted_at in list(self.deleted_at.items()):
            if now - deleted_at > DELETED_KEPT_S:
                del self.deleted_at[name]
        self.lost_machines.tick(now)

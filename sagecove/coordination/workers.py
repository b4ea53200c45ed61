"""Dealings with workers: reports, tokens, orders, direct commands, silent machines.

What makes a task provably gone from a machine:
- a report newer than its launch shows it exited, or does not show it while no launch of it can
  still arrive;
- the worker has begun a later session;
- the machine was deleted (its record is gone), or its worker's lease has surely run out.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from sagecove.config import ANSWER_S
from sagecove.coordination import images
from sagecove.coordination.effects import Reply
from sagecove.coordination.model import LAUNCH_SENT, Machine, Placement
from sagecove.coordination.reachability import Reach
from sagecove.coordination.uncertain_launches import UncertainLaunches
from sagecove.protocol import workers as w
from sagecove.protocol.users import Refusal
from sagecove.storage.records import HOLDER, MachineRecord
from sagecove.storage.store import Outcome, Result, decode

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.workers")

Answer = Callable[[int | None, bytes], None]

# For so many leases it is not held against machines that many are silent together.
MANY_LEASES = 6
# Peers' hints come once a second; one that is older says that its sender is silent.
HINT_FRESH_S = 2.5


def split_task(task: str) -> tuple[str, int]:
    """Job id and number of a task's name; number -1 if it is none."""
    job, _, number = task.rpartition("/")
    return (job, int(number)) if number.isdecimal() and len(number) < 7 else (task, -1)


class Workers:
    """Reports in, orders out."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        pace = owner.settings.params.workers
        self.pace = pace
        drift = 1 + owner.settings.drift
        # After the last answer, a worker's lease has run out for sure (half a report for clocks'
        # steps and the way of the packets).
        self.lease_expiry_s = pace.lease_s * drift + pace.report_s / 2
        self.call_s = ANSWER_S
        # Silence that is taken for a dead machine. A worker that gets no answer from its holder
        # turns to the next controller after a report's time, 4 s, and a pause of 1 s; the way
        # takes a moment, too.
        self.silence_limit_s = max(
            *(3 * pace.report_s, pace.lease_s / 3),
            1.25 * pace.report_s + self.call_s + 1.5,
        )
        self.reach = Reach(owner, self.lease_expiry_s, self.stop_task)
        self.adopting: set[str] = set()
        # Machines with orders that should not wait for the next report.
        self.urgent: dict[str, Machine] = {}
        self.deleted_at: dict[str, float] = {}
        # By shard, when a machine of it may first have to be seen to.
        self.look_at: dict[str, float] = {}
        # Zones that the way to was at fault lately, and when.
        self.cut_at: dict[str, float] = {}
        # Lost launches that may still arrive.
        self.uncertain_launches = UncertainLaunches(
            owner, self._fence, lambda: owner.sync.connected(), self.lease_expiry_s
        )

    # -- reports --------------------------------------------------------------------------------

    def handle_report(self, body: bytes, exchange: object, relayed: bool = False) -> None:
        """A worker reports, directly or by way of another controller."""
        owner = self.owner
        hands: list[w.Hand] | None = None
        try:
            report = w.read_report(body)
            machine = owner.machines.get(report.machine)
            if (
                machine is None
                or not machine.quiescent
                or machine.last_task_list != bytes(report.tasks)
            ):
                hands = w.read_hands(report.tasks)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            owner.effects.append(Reply(exchange, 400, Refusal(str(error)[:200])))
            return
        now = owner.now
        if machine is None:
            if not self._adopt(report, body, exchange):
                owner.effects.append(Reply(exchange, 503, Refusal("machine unknown as yet")))
            return
        shard = owner.held_shards.get(machine.record.shard)
        if shard is None or shard.yielding or not owner.leadership.may_act(now):
            holder = owner.shards.holder_of(machine.record.shard)
            if holder is None and not relayed:
                # Its lease has lapsed, and somebody is about to take the shard.
                self._park(machine, report, exchange)
            elif holder != owner.settings.node and holder is not None and not relayed:
                self._elsewhere(machine, holder, report, body, exchange)
            else:
                owner.effects.append(Reply(exchange, 503, Refusal("no authority at the moment")))
            return
        token = max(shard.term, machine.stamp)
        if now < machine.unanswered_until:
            machine.last_report_at = now
            owner.effects.append(Reply(exchange, 503, Refusal("answers do not reach you")))
            return
        if self._newer(machine, report):
            self.read(machine, report, hands, token, hello=True)
            machine.last_hello_seq = report.seq
        elif (
            report.session != machine.session
            or report.session <= machine.ended_session
            or report.seq <= machine.last_hello_seq
            or report.token < machine.worker_token
        ):
            # A late copy: it renews, revives and ends nothing. Or the worker began anew.
            if report.seq != machine.last_hello_seq or report.session != machine.session:
                self.reach.ask(machine, report.addr, lambda: self._began_anew(machine))
            owner.effects.append(Reply(exchange, 503, Refusal("report is out of date")))
            return
        if token <= machine.fence_token:
            # An old launch under this token may still arrive, and would be obeyed.
            self._fence(machine)
            owner.effects.append(Reply(exchange, 503, Refusal("a new token is needed")))
            return
        # Otherwise a direct command's answer has overtaken it: the list is old, but the worker
        # waits for this answer.
        machine.last_answer_at = now
        machine.answered_seq, machine.answered_token = report.seq, token
        orders: list[w.Order] = []
        if machine.tasks_known and not machine.quiescent:
            orders = self.orders(machine, report.seq)
            machine.quiescent = not orders and self._nothing_due(machine)
        owner.effects.append(Reply(exchange, 200, w.Answer(token, orders)))
        self.urgent.pop(machine.name, None)

    def _elsewhere(
        self, machine: Machine, holder: str, report: w.Report, body: bytes, exchange: object
    ) -> None:
        """A report for another holder: send the worker there; if it comes from there, or has just
        been sent and is back, it can't get through, but this controller can: pass its report on."""
        owner = self.owner
        now = owner.now
        addr = next((p.addr for p in owner.settings.peers if p.node == holder), None)
        hint = owner.peers.hints.get(holder)
        reachable = hint is not None and now - hint[0] < HINT_FRESH_S
        back = 0.7 < now - machine.redirected_at < self.pace.lease_s
        # It has been answered by the holder under its present token. Between zones that could not
        # reach each other workers were sent back for another 4 s without an answer, after which
        # their leases were over; and their holders had returned them as silent.
        term = owner.mirror.stamp(HOLDER + machine.record.shard)
        back = back or report.token >= max(term, machine.stamp)
        # One whose lease outlives its silence is alive, and merely cut off from its peers.
        silent = hint is not None and HINT_FRESH_S <= now - hint[0] < owner.leadership.lease_s + 1.0
        if (
            silent
            and hint is not None
            and (back or owner.peers.machine_reports_to(holder, machine.name))
        ):
            # The holder is silent and the worker has come from there: until the shard is taken,
            # going back would cost it a timeout, and with a second one its lease and its tasks.
            self._park(machine, report, exchange)
            return
        if not reachable and now - owner.sync.synced_at > owner.leadership.lease_s:
            # Who holds the shard by now is not known here. Two controllers that were alone sent
            # each other's workers to and fro until their leases were over; the third had the shard.
            owner.effects.append(Reply(exchange, 503, Refusal("no authority at the moment")))
            return
        if machine.relaying and now - machine.foreign_report_at < self.pace.lease_s:
            back = True
        if not self._passes_by(machine, report):
            owner.effects.append(Reply(exchange, 421, w.Redirect(holder)))
            return
        if addr is None or not reachable or not back:
            machine.relaying = False
            machine.redirected_at = now
            owner.effects.append(Reply(exchange, 421, w.Redirect(holder)))
            return
        machine.relaying = True

        def done(status: int | None, answer: bytes) -> None:
            if status == 200:
                owner.effects.append(Reply(exchange, 200, msgspec.Raw(answer)))
            else:
                machine.relaying = False
                owner.effects.append(Reply(exchange, 503, Refusal("the holder does not answer")))

        # Raw: the report goes on as it came.
        owner.call(addr, "POST", "/relay", msgspec.Raw(body), self.call_s / 2, done)

    def _passes_by(self, machine: Machine, report: w.Report) -> bool:
        """Another's machine is there, and can't reach its holder. A late copy says nothing of the
        kind: copies kept machines that had died from being returned."""
        order = report.session, report.seq
        if order <= machine.foreign_report_order:
            return False
        machine.foreign_report_order = order
        machine.foreign_report_at = self.owner.now
        return True

    def _park(self, machine: Machine, report: w.Report, exchange: object) -> None:
        """Nobody can answer a worker at the moment: send it to a controller that is alive, so that
        it is not at a silent one when its shard is taken."""
        owner = self.owner
        now = owner.now
        machine.relaying = False
        self._passes_by(machine, report)
        live = sorted(n for n, (at, _) in owner.peers.hints.items() if now - at < HINT_FRESH_S)
        if live:
            owner.effects.append(Reply(exchange, 421, w.Redirect(owner.random.choice(live))))
        else:
            owner.effects.append(Reply(exchange, 503, Refusal("the holder is silent")))

    def recent_foreign_machines(self, now: float) -> list[str]:
        """Machines of other holders that have been seen here lately."""
        return [
            m.name
            for m in self.owner.machines.values()
            if now - m.foreign_report_at < 2 * self.pace.report_s
        ]

    @staticmethod
    def _newer(machine: Machine, report: w.Report) -> bool:
        """It was sent after all that has been seen of this machine. A worker's token only grows: a
        late copy from before it began anew may have a larger session."""
        return (
            report.session > machine.ended_session
            and report.token >= machine.worker_token
            and (report.session, report.seq) > (machine.session, machine.seq)
        )

    def _began_anew(self, machine: Machine) -> None:
        """A worker takes any token now, one of a launch that is still under way included."""
        shard = self.owner.held_shards.get(machine.record.shard)
        if shard is not None:
            machine.fence_token = max(shard.term, machine.stamp)
            self._fence(machine)

    def _fence(self, machine: Machine) -> None:
        """Give a machine a token that no command from before has: write its record."""
        shard = self.owner.held_shards.get(machine.record.shard)
        if shard is None or shard.yielding or machine.committing:
            return
        machine.committing = True

        def done(result: Result) -> None:
            machine.committing = False
            if result.outcome is Outcome.DONE:
                log.info("token raised machine=%s", machine.name)

        self.owner.put_machine(machine.name, machine.record, machine.stamp, shard, done)

    def _adopt(self, report: w.Report, body: bytes, exchange: object) -> bool:
        """A machine that reports and has no record: up before its rental's answer came or was
        written down, or rented by a call whose answer was lost. It goes to the shard it was rented
        for, as far as that can be told, and this report is answered once its record is durable.
        False if it is not taken in."""
        owner = self.owner
        name = report.machine
        node = owner.settings.node
        shard = owner.held_shards.get(node)
        if (
            name in self.adopting
            or shard is None
            or shard.yielding
            or not owner.leadership.may_act(owner.now)
            or name in self.deleted_at
        ):
            return False
        self.adopting.add(name)
        home = owner.provisioner.shard_of_rental(report.type, report.zone, report.spot) or node
        record = MachineRecord(
            report.type, report.zone, report.spot, home, report.addr, owner.wall()
        )

        def done(result: Result) -> None:
            self.adopting.discard(name)
            if name in owner.machines:
                self.handle_report(body, exchange)
            else:
                owner.effects.append(Reply(exchange, 503, Refusal("machine unknown as yet")))

        def said(status: int | None, answer: bytes) -> None:
            # A late copy of a report must not bring back a machine that is gone.
            now = decode(answer, w.Report) if status == 200 else None
            there = now is not None and now.machine == name
            if there and owner.held_shards.get(node) is shard and name not in owner.machines:
                owner.put_machine(name, record, 0, shard, done)
            else:
                done(Result(Outcome.REFUSED))

        owner.call(report.addr, "GET", "/show", None, self.call_s / 2, said)
        return True

    @staticmethod
    def _nothing_due(machine: Machine) -> bool:
        """Until a task, an order or the report changes, hearing the same report changes nothing."""
        return (
            machine.tasks_known
            and not machine.unknown_tasks
            and not machine.spot_notice
            and all(
                p.state in (w.PULLING, w.TASK_RUNNING)
                and p.stop_grace_s is None
                and p.unconfirmed_token < 0
                for p in machine.tasks.values()
            )
        )

    def read(
        self,
        machine: Machine,
        report: w.Report,
        hands: list[w.Hand] | None,
        token: int,
        hello: bool,
    ) -> None:
        """Take in a report's task list (None: the same as last time, on a settled machine). The
        report is newer than all seen of this machine."""
        owner = self.owner
        now = owner.now
        if report.session > machine.session:
            machine.quiescent = False
            if machine.session:
                log.info(
                    "session over machine=%s session=%d by=%s",
                    machine.name,
                    report.session,
                    "report" if hello else "direct answer",
                )
            self.reach.new_session(now, machine)
            machine.last_hello_seq = 0
            self.forget_tasks(machine)
            # The new session may have begun only now, and has its lease from then on, whoever told
            # of it: counted from the last answer to a report, a session that a direct command's
            # answer told of was taken for over at once, and what ran in it was started again.
            machine.last_answer_at = max(machine.last_answer_at, now)
        machine.session, machine.seq = report.session, report.seq
        machine.worker_token = report.token
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
            if hello:
                self.reach.told(now, machine, report.seq, token)
            return
        if hands is None and machine.quiescent and machine.unreachable_since is None:
            return
        if hands is None:
            hands = w.read_hands(report.tasks)
        machine.quiescent = False
        machine.last_task_list = bytes(report.tasks)
        first = not machine.tasks_known
        machine.tasks_known = True
        seen: set[str] = set()
        strays: dict[tuple[str, int], str] = {}
        # With tasks of a second or two most of a report is tasks that have ended and wait for
        # their numbers to be durable: 140 on a hunted day, half of what its owners did.
        tasks = machine.tasks
        for hand in hands:
            placement = tasks.get(hand.task)
            if placement is None or placement.attempt != hand.attempt:
                adopted = self._recognize(machine, hand) if placement is None else None
                if adopted is None:
                    strays[hand.task, hand.attempt] = hand.state
                    continue
                placement = adopted
            seen.add(hand.task)
            if placement.state != hand.state:
                self._observe(machine, placement, hand)
        self.uncertain_launches.seen(machine, report.token)
        missing = [task for task in tasks if task not in seen] if len(seen) < len(tasks) else []
        for task in missing:
            placement = tasks[task]
            if placement.state == LAUNCH_SENT:
                gone = (
                    placement.stop_grace_s is not None
                    and not placement.in_flight
                    and hello
                    and report.seq > placement.answered_seq
                )
            else:
                gone = not placement.in_flight
            if gone:
                self.drop(machine, placement)
        if hello:
            self.reach.told(now, machine, report.seq, token)
        if machine.spot_notice:
            self._save(machine)
        if machine.unknown_tasks or strays:
            machine.unknown_tasks = strays
            owner.ledger.update_machine(machine)
        if first:
            owner.shards.resolve_machine(machine)
        owner.pass_needed = True

    def _save(self, machine: Machine) -> None:
        """The machine will be taken: what can save stops in time; the rest may yet complete."""
        for placement in list(machine.tasks.values()):
            job = placement.job
            if job is not None and job.spec.checkpoint_s > 0 and placement.takes_room:
                self.stop_task(placement, job.grace_s, "spot notice")

    def _recognize(self, machine: Machine, hand: w.Hand) -> Placement | None:
        """A reported task that this process did not place: one of an earlier holder?"""
        job_id, index = split_task(hand.task)
        job = self.owner.jobs.get(job_id)
        if job is None or index < 0:
            return None
        if not job.claims.get(machine.record.shard, 0) >> index & 1:
            return None
        if index in job.placed:
            return None
        if hand.state == w.EXITED and hand.why != w.WHY_DONE:
            return None
        placement = Placement(job, index, hand.task, hand.attempt, machine)
        placement.started_at = self.owner.now
        self.owner.ledger.add_placement(machine, placement)
        if (limbo := job.possibly_running.get(machine.record.shard)) is not None:
            job.possibly_running[machine.record.shard] = limbo & ~(1 << index)
        if job.gang and job.attempt != hand.attempt:
            if len(job.placed) > 1:
                job.gang_stopping = True
            job.attempt = max(job.attempt, hand.attempt)
        return placement

    def _observe(self, machine: Machine, placement: Placement, hand: w.Hand) -> None:
        owner = self.owner
        owner.ledger.set_task_state(placement, hand.state)
        job = placement.job
        assert job is not None
        if hand.state in (w.TASK_RUNNING, w.WAITING):
            images.used(machine, job.spec)
        if hand.state == w.TASK_RUNNING and not placement.running_at:
            placement.running_at = owner.now
            log.info(
                "runs task=%s machine=%s class=%s after=%.1f image_gb=%.1f",
                *(placement.task, machine.name, job.spec.klass),
                *(owner.now - placement.started_at, job.spec.image_gb),
            )
        if hand.state != w.EXITED:
            return
        placement.exit_reason = hand.why
        owner.task_end_log.ended(placement, hand.why, hand.saved)
        if hand.why == w.WHY_DONE:
            owner.estimates.note_run_time(placement)
            owner.failures.completed(machine, job)
            if job.gang:
                # All tasks of a gang complete together.
                job.finished_unrecorded |= job.all_tasks & ~job.finished
            else:
                job.finished_unrecorded |= (1 << placement.index) & ~job.finished
        else:
            if hand.why == w.WHY_ERROR:
                owner.failures.failed(placement)
            elif hand.why in (w.WHY_FULL, w.WHY_BUSY, w.WHY_UNKNOWN):
                job.hold_until = max(job.hold_until, owner.now + self.pace.report_s)
            if job.gang:
                job.gang_stopping = True
        owner.ledger.update_claims(job)
        if not machine.tasks:
            machine.idle_since = owner.now

    # -- gone -----------------------------------------------------------------------------------

    def drop(self, machine: Machine, placement: Placement, why: str = "missing") -> None:
        """A task is provably gone from its machine."""
        job = placement.job
        if placement.takes_room and job is not None and job.gang and placement.state != LAUNCH_SENT:
            job.gang_stopping = True
        if placement.takes_room:
            self.owner.task_end_log.ended(placement, why)
        self.owner.ledger.remove_placement(machine, placement)
        if not machine.tasks:
            machine.idle_since = self.owner.now
        self.owner.pass_needed = True

    def forget_tasks(self, machine: Machine, why: str = "lease") -> None:
        """All tasks of a session are gone."""
        for placement in list(machine.tasks.values()):
            self.drop(machine, placement, why)
        machine.used = [0.0, 0.0, 0.0]
        machine.quiescent = False
        machine.unknown_tasks = {}
        self.owner.ledger.update_machine(machine)

    def tick(self, now: float) -> None:
        """Resolve machines whose lease has surely run out, and ask to delete the silent ones."""
        owner = self.owner
        for name, at in list(self.deleted_at.items()):
            if now - at > 600:
                del self.deleted_at[name]
        for shard in list(owner.held_shards.values()):
            if now < self.look_at.get(shard.name, 0.0):
                continue
            machines = owner.shards.shard_machines(shard.name)
            # Until the first of them can be silent or over its lease there is nothing to see: what
            # is heard meanwhile only makes that later.
            soonest = now + min(self.silence_limit_s, self.lease_expiry_s)
            for machine in machines:
                if machine.ever_reported and not machine.record.leaving:
                    soonest = min(soonest, machine.last_report_at + self.silence_limit_s)
                if (
                    machine.tasks
                    or machine.unknown_tasks
                    or machine.name in shard.unreported_machines
                ):
                    soonest = min(soonest, machine.last_answer_at + self.lease_expiry_s)
            self.look_at[shard.name] = soonest
            # Reports that this process was not there to hear are no silence.
            heard_since = max(shard.held_since, owner.running_since)
            quiet = [
                m
                for m in machines
                if now - m.last_report_at > self.silence_limit_s and m.ever_reported
            ]
            for machine in machines:
                last = max(machine.last_answer_at, shard.held_since)
                if now - last > self.lease_expiry_s and (
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
                    owner.shards.resolve_machine(machine)
            if not owner.leadership.may_act(now) or shard.yielding:
                continue
            # When many fall silent at once, the fault is more likely on this side, or on the way.
            up = [m for m in machines if m.ever_reported]
            heard = sum(1 for m in up if now - m.last_report_at < 1.5 * self.pace.report_s)
            many = len(quiet) > max(2, len(machines) // 4) or 2 * heard < len(up)
            cut = self._cut_off(now, machines)
            for machine in quiet:
                # Not for ever: a shard most of whose machines had died kept them.
                patience = self.silence_limit_s
                if many:
                    patience = MANY_LEASES * self.pace.lease_s
                elif machine.record.zone in cut:
                    patience = max(patience, self.pace.lease_s)
                if (
                    now - max(machine.last_report_at, heard_since) > patience
                    and not machine.record.leaving
                    and now - machine.peer_heard_at > self.silence_limit_s
                ):
                    self.mark_for_return(machine, "silent")
        for name, machine in list(owner.failures.condemned.items()):
            if owner.machines.get(name) is not machine or machine.return_due_at is None:
                del owner.failures.condemned[name]
            elif (
                now >= machine.return_due_at
                and not machine.record.leaving
                and machine.record.shard in owner.held_shards
                and machine.empty
            ):
                self.mark_for_return(machine, "sick")
        for machine in self.reach.lost(now):
            self.mark_for_return(machine, "does not hear")

    def _cut_off(self, now: float, machines: list[Machine]) -> set[str]:
        """Zones of which much has not been heard for a moment while others are: the way to them is
        at fault, and most of their machines will come by another controller."""
        seen: dict[str, list[int]] = {}
        late = 2 * self.pace.report_s
        for machine in machines:
            if machine.ever_reported and not machine.record.leaving:
                counts = seen.setdefault(machine.record.zone, [0, 0])
                counts[0] += 1
                counts[1] += now - machine.last_report_at > late
        out = {z for z, (every, quiet) in seen.items() if quiet > max(2, every // 4)}
        for zone in out:
            self.cut_at[zone] = now
        return {z for z, at in self.cut_at.items() if now - at < self.silence_limit_s}

    def mark_for_return(self, machine: Machine, reason: str) -> None:
        """Hand a machine to the provisioner for deletion. Nothing is placed on it any more."""
        owner = self.owner
        shard = owner.held_shards.get(machine.record.shard)
        if shard is None or shard.yielding or machine.handing_over:
            return
        if machine.committing or owner.now < machine.next_return_try_at:
            return
        old = machine.record
        record = msgspec.structs.replace(old, leaving=reason)
        machine.committing = True
        # While the state service refuses, once a report's time is enough.
        machine.next_return_try_at = owner.now + self.pace.report_s
        log.info("machine to be returned machine=%s why=%s", machine.name, reason)

        def done(result: Result) -> None:
            machine.committing = False

        owner.put_machine(machine.name, record, machine.stamp, shard, done)

    # -- orders ---------------------------------------------------------------------------------

    def reapable(self, placement: Placement) -> bool:
        """The worker may forget it: no copy of its launch is under way, its result is durable."""
        if placement.state != w.EXITED or placement.in_flight:
            return False
        job = placement.job
        if placement.exit_reason != w.WHY_DONE or job is None or job.id not in self.owner.jobs:
            return True
        return bool(job.finished >> placement.index & 1)

    def orders(self, machine: Machine, seq: int | None) -> list[w.Order]:
        """What the worker should do now. `seq`: the report this answers; None: sent directly."""
        owner = self.owner
        out: list[w.Order] = []
        launches: list[w.Order] = []
        for placement in machine.tasks.values():
            if placement.state == w.EXITED:
                if self.reapable(placement):
                    out.append(w.Order(w.REAP, placement.task, placement.attempt))
            elif placement.stop_grace_s is not None:
                if placement.state == LAUNCH_SENT:
                    continue
                if placement.state != w.SAVING or placement.stop_grace_s == 0:
                    out.append(
                        w.Order(w.HALT, placement.task, placement.attempt, placement.stop_grace_s)
                    )
            elif placement.state == LAUNCH_SENT and placement.job is not None:
                if placement.job.id not in owner.jobs:
                    continue
                launches.append(w.Order(w.LAUNCH, placement.task, placement.attempt))
                if seq is not None:
                    placement.answered_seq = seq
                else:
                    placement.open_launch_calls += 1
        for (task, attempt), state in machine.unknown_tasks.items():
            if state == w.EXITED:
                out.append(w.Order(w.REAP, task, attempt))
            else:
                out.append(w.Order(w.HALT, task, attempt, 0.0))
        # Bounded, so that an answer stays far below the protocol's 64 KiB.
        return out[:200] + launches[: 400 - len(out[:200])]

    def mark_urgent(self, machine: Machine) -> None:
        """Its orders should not wait for its next report."""
        self.urgent[machine.name] = machine

    def send_urgent_commands(self, now: float) -> None:
        """Send urgent orders straight to the workers; the next report's answer repeats them."""
        owner = self.owner
        if not owner.leadership.may_act(now):
            return
        for machine in list(self.urgent.values()):
            shard = owner.held_shards.get(machine.record.shard)
            if shard is None or shard.yielding or not machine.tasks_known or not machine.addr:
                del self.urgent[machine.name]
                continue
            if machine.open_call_count:
                continue
            del self.urgent[machine.name]
            launched = [
                p
                for p in machine.tasks.values()
                if p.state == LAUNCH_SENT and p.stop_grace_s is None
            ]
            before = {p.task: p.open_launch_calls for p in launched}
            orders = self.orders(machine, None)
            carried = [p for p in launched if p.open_launch_calls > before[p.task]]
            if not orders:
                continue
            token = max(shard.term, machine.stamp)
            machine.open_call_count += 1
            owner.call(
                machine.addr,
                "POST",
                "/commands",
                w.Direct(token, machine.session, orders),
                self.call_s,
                self._told(machine, carried, token),
            )

    def _told(self, machine: Machine, carried: list[Placement], token: int) -> Answer:
        def done(status: int | None, body: bytes) -> None:
            owner = self.owner
            machine.open_call_count -= 1
            machine.quiescent = False
            sure = status in (200, 409, 400, 0)
            for placement in carried:
                placement.open_launch_calls -= 1
                if not sure:
                    # It may be executed late, until the worker has seen a higher token.
                    self.uncertain_launches.note(machine, placement, token)
            if status not in (200, 409) or owner.machines.get(machine.name) is not machine:
                return
            report = decode(body, w.Report)
            shard = owner.held_shards.get(machine.record.shard)
            if report is None or shard is None or report.machine != machine.name:
                return
            try:
                hands = w.read_hands(report.tasks)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                return
            if self._newer(machine, report):
                self.read(machine, report, hands, max(shard.term, machine.stamp), hello=False)

        return done

    def stop_task(self, placement: Placement, grace_s: float, stopped_for: str) -> None:
        """Stop a task; a second, stricter call shortens its grace."""
        if placement.state == w.EXITED:
            return
        if placement.stop_grace_s is not None and placement.stop_grace_s <= grace_s:
            return
        if placement.stop_grace_s is None:
            placement.stop_requested_at = self.owner.now
            log.info(
                "stop task=%s attempt=%d machine=%s for=%s",
                placement.task,
                placement.attempt,
                placement.machine.name,
                stopped_for,
            )
        placement.stop_grace_s = grace_s
        placement.stopped_for = stopped_for
        self.owner.ledger.mark_stopping(placement)
        self.mark_urgent(placement.machine)
        self.owner.pass_needed = True

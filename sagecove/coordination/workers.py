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
from sagecove.coordination.doubts import Doubts
from sagecove.coordination.effects import Reply
from sagecove.coordination.model import SENT, Machine, Placement
from sagecove.coordination.reach import Reach
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
        self.lease_over = pace.lease_s * drift + pace.report_s / 2
        self.call_s = ANSWER_S
        # Silence that is taken for a dead machine. A worker that gets no answer from its holder
        # turns to the next controller after a report's time, 4 s, and a pause of 1 s; the way
        # takes a moment, too.
        self.silent = max(
            *(3 * pace.report_s, pace.lease_s / 3),
            1.25 * pace.report_s + self.call_s + 1.5,
        )
        self.reach = Reach(owner, self.lease_over, self.halt)
        self.adopting: set[str] = set()
        # Machines with orders that should not wait for the next report.
        self.urgent: dict[str, Machine] = {}
        self.gone: dict[str, float] = {}
        # By shard, when a machine of it may first have to be seen to.
        self.look_at: dict[str, float] = {}
        # Zones that the way to was at fault lately, and when.
        self.cut_at: dict[str, float] = {}
        # Lost launches that may still arrive.
        self.doubts = Doubts(owner, self._fence, lambda: owner.sync.connected(), self.lease_over)

    # -- reports --------------------------------------------------------------------------------

    def report(self, body: bytes, exchange: object, relayed: bool = False) -> None:
        """A worker reports, directly or by way of another controller."""
        owner = self.owner
        hands: list[w.Hand] | None = None
        try:
            report = w.read_report(body)
            machine = owner.machines.get(report.machine)
            if machine is None or not machine.settled or machine.told != bytes(report.tasks):
                hands = w.read_hands(report.tasks)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            owner.effects.append(Reply(exchange, 400, Refusal(str(error)[:200])))
            return
        now = owner.now
        if machine is None:
            if not self._adopt(report, body, exchange):
                owner.effects.append(Reply(exchange, 503, Refusal("machine unknown as yet")))
            return
        shard = owner.held.get(machine.record.shard)
        if shard is None or shard.yielding or not owner.leadership.acting(now):
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
        if now < machine.mute_until:
            machine.heard_at = now
            owner.effects.append(Reply(exchange, 503, Refusal("answers do not reach you")))
            return
        if self._newer(machine, report):
            self.read(machine, report, hands, token, hello=True)
            machine.hello_seq = report.seq
        elif (
            report.session != machine.session
            or report.session <= machine.over_session
            or report.seq <= machine.hello_seq
            or report.token < machine.brand
        ):
            # A late copy: it renews, revives and ends nothing. Or the worker began anew.
            if report.seq != machine.hello_seq or report.session != machine.session:
                self.reach.ask(machine, report.addr, lambda: self._began_anew(machine))
            owner.effects.append(Reply(exchange, 503, Refusal("report is out of date")))
            return
        if token <= machine.fence:
            # An old launch under this token may still arrive, and would be obeyed.
            self._fence(machine)
            owner.effects.append(Reply(exchange, 503, Refusal("a new token is needed")))
            return
        # Otherwise a direct command's answer has overtaken it: the list is old, but the worker
        # waits for this answer.
        machine.answered_at = now
        machine.answered_seq, machine.answered_token = report.seq, token
        orders: list[w.Order] = []
        if machine.known and not machine.settled:
            orders = self.orders(machine, report.seq)
            machine.settled = not orders and self._nothing_due(machine)
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
        silent = hint is not None and HINT_FRESH_S <= now - hint[0] < owner.leadership.length + 1.0
        if silent and hint is not None and (back or owner.peers.heard(holder, machine.name)):
            # The holder is silent and the worker has come from there: until the shard is taken,
            # going back would cost it a timeout, and with a second one its lease and its tasks.
            self._park(machine, report, exchange)
            return
        if not reachable and now - owner.sync.synced_at > owner.leadership.length:
            # Who holds the shard by now is not known here. Two controllers that were alone sent
            # each other's workers to and fro until their leases were over; the third had the shard.
            owner.effects.append(Reply(exchange, 503, Refusal("no authority at the moment")))
            return
        if machine.relaying and now - machine.stranger_at < self.pace.lease_s:
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
        if order <= machine.stranger_order:
            return False
        machine.stranger_order = order
        machine.stranger_at = self.owner.now
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

    def strangers(self, now: float) -> list[str]:
        """Machines of other holders that have been seen here lately."""
        return [
            m.name
            for m in self.owner.machines.values()
            if now - m.stranger_at < 2 * self.pace.report_s
        ]

    @staticmethod
    def _newer(machine: Machine, report: w.Report) -> bool:
        """It was sent after all that has been seen of this machine. A worker's token only grows: a
        late copy from before it began anew may have a larger session."""
        return (
            report.session > machine.over_session
            and report.token >= machine.brand
            and (report.session, report.seq) > (machine.session, machine.seq)
        )

    def _began_anew(self, machine: Machine) -> None:
        """A worker takes any token now, one of a launch that is still under way included."""
        shard = self.owner.held.get(machine.record.shard)
        if shard is not None:
            machine.fence = max(shard.term, machine.stamp)
            self._fence(machine)

    def _fence(self, machine: Machine) -> None:
        """Give a machine a token that no command from before has: write its record."""
        shard = self.owner.held.get(machine.record.shard)
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
        shard = owner.held.get(node)
        if (
            name in self.adopting
            or shard is None
            or shard.yielding
            or not owner.leadership.acting(owner.now)
            or name in self.gone
        ):
            return False
        self.adopting.add(name)
        home = owner.provision.rented_for(report.type, report.zone, report.spot) or node
        record = MachineRecord(
            report.type, report.zone, report.spot, home, report.addr, owner.wall()
        )

        def done(result: Result) -> None:
            self.adopting.discard(name)
            if name in owner.machines:
                self.report(body, exchange)
            else:
                owner.effects.append(Reply(exchange, 503, Refusal("machine unknown as yet")))

        def said(status: int | None, answer: bytes) -> None:
            # A late copy of a report must not bring back a machine that is gone.
            now = decode(answer, w.Report) if status == 200 else None
            there = now is not None and now.machine == name
            if there and owner.held.get(node) is shard and name not in owner.machines:
                owner.put_machine(name, record, 0, shard, done)
            else:
                done(Result(Outcome.REFUSED))

        owner.call(report.addr, "GET", "/show", None, self.call_s / 2, said)
        return True

    @staticmethod
    def _nothing_due(machine: Machine) -> bool:
        """Until a task, an order or the report changes, hearing the same report changes nothing."""
        return (
            machine.known
            and not machine.strays
            and not machine.notice
            and all(
                p.state in (w.PULLING, w.TASK_RUNNING) and p.halt is None and p.doubt_token < 0
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
            machine.settled = False
            if machine.session:
                log.info(
                    "session over machine=%s session=%d by=%s",
                    machine.name,
                    report.session,
                    "report" if hello else "direct answer",
                )
            self.reach.new_session(now, machine)
            machine.hello_seq = 0
            self.forget_tasks(machine)
            # The new session may have begun only now, and has its lease from then on, whoever told
            # of it: counted from the last answer to a report, a session that a direct command's
            # answer told of was taken for over at once, and what ran in it was started again.
            machine.answered_at = max(machine.answered_at, now)
        machine.session, machine.seq = report.session, report.seq
        machine.brand = report.token
        machine.addr = report.addr
        machine.heard_at = now
        if not machine.ever_heard:
            owner.learning.came_up(machine)
        machine.ever_heard = True
        if report.notice_s is not None and not machine.notice:
            log.info("spot notice machine=%s", machine.name)
            machine.settled = False
            machine.notice = True
        if report.token < token:
            machine.settled = False
            if hello:
                self.reach.told(now, machine, report.seq, token)
            return
        if hands is None and machine.settled and machine.deaf_at is None:
            return
        if hands is None:
            hands = w.read_hands(report.tasks)
        machine.settled = False
        machine.told = bytes(report.tasks)
        first = not machine.known
        machine.known = True
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
        self.doubts.seen(machine, report.token)
        missing = [task for task in tasks if task not in seen] if len(seen) < len(tasks) else []
        for task in missing:
            placement = tasks[task]
            if placement.state == SENT:
                gone = (
                    placement.halt is not None
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
        if machine.notice:
            self._save(machine)
        if machine.strays or strays:
            machine.strays = strays
            owner.ledger.look(machine)
        if first:
            owner.shards.machine_resolved(machine)
        owner.dirty = True

    def _save(self, machine: Machine) -> None:
        """The machine will be taken: what can save stops in time; the rest may yet complete."""
        for placement in list(machine.tasks.values()):
            job = placement.job
            if job is not None and job.spec.checkpoint_s > 0 and placement.live:
                self.halt(placement, job.grace_s, "spot notice")

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
        self.owner.ledger.put(machine, placement)
        if (limbo := job.limbo.get(machine.record.shard)) is not None:
            job.limbo[machine.record.shard] = limbo & ~(1 << index)
        if job.gang and job.attempt != hand.attempt:
            if len(job.placed) > 1:
                job.failing = True
            job.attempt = max(job.attempt, hand.attempt)
        return placement

    def _observe(self, machine: Machine, placement: Placement, hand: w.Hand) -> None:
        owner = self.owner
        owner.ledger.state(placement, hand.state)
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
        placement.why = hand.why
        owner.ends.ended(placement, hand.why, hand.saved)
        if hand.why == w.WHY_DONE:
            owner.learning.learned(placement)
            owner.failures.completed(machine, job)
            if job.gang:
                # All tasks of a gang complete together.
                job.fresh |= job.every & ~job.fin
            else:
                job.fresh |= (1 << placement.index) & ~job.fin
        else:
            if hand.why == w.WHY_ERROR:
                owner.failures.failed(placement)
            elif hand.why in (w.WHY_FULL, w.WHY_BUSY, w.WHY_UNKNOWN):
                job.hold_until = max(job.hold_until, owner.now + self.pace.report_s)
            if job.gang:
                job.failing = True
        owner.ledger.claims(job)
        if not machine.tasks:
            machine.idle_since = owner.now

    # -- gone -----------------------------------------------------------------------------------

    def drop(self, machine: Machine, placement: Placement, why: str = "missing") -> None:
        """A task is provably gone from its machine."""
        job = placement.job
        if placement.live and job is not None and job.gang and placement.state != SENT:
            job.failing = True
        if placement.live:
            self.owner.ends.ended(placement, why)
        self.owner.ledger.drop(machine, placement)
        if not machine.tasks:
            machine.idle_since = self.owner.now
        self.owner.dirty = True

    def forget_tasks(self, machine: Machine, why: str = "lease") -> None:
        """All tasks of a session are gone."""
        for placement in list(machine.tasks.values()):
            self.drop(machine, placement, why)
        machine.used = [0.0, 0.0, 0.0]
        machine.settled = False
        machine.strays = {}
        self.owner.ledger.look(machine)

    def tick(self, now: float) -> None:
        """Resolve machines whose lease has surely run out, and ask to delete the silent ones."""
        owner = self.owner
        for name, at in list(self.gone.items()):
            if now - at > 600:
                del self.gone[name]
        for shard in list(owner.held.values()):
            if now < self.look_at.get(shard.name, 0.0):
                continue
            machines = owner.shards.shard_machines(shard.name)
            # Until the first of them can be silent or over its lease there is nothing to see: what
            # is heard meanwhile only makes that later.
            soonest = now + min(self.silent, self.lease_over)
            for machine in machines:
                if machine.ever_heard and not machine.record.leaving:
                    soonest = min(soonest, machine.heard_at + self.silent)
                if machine.tasks or machine.strays or machine.name in shard.unknown:
                    soonest = min(soonest, machine.answered_at + self.lease_over)
            self.look_at[shard.name] = soonest
            # Reports that this process was not there to hear are no silence.
            heard_since = max(shard.since, owner.present_since)
            quiet = [m for m in machines if now - m.heard_at > self.silent and m.ever_heard]
            for machine in machines:
                last = max(machine.answered_at, shard.since)
                if now - last > self.lease_over and (
                    machine.tasks or machine.strays or machine.name in shard.unknown
                ):
                    log.info(
                        "worker lease over machine=%s tasks=%d heard=%.1f answered=%.1f ever=%d",
                        machine.name,
                        len(machine.tasks),
                        now - machine.heard_at,
                        now - machine.answered_at,
                        machine.ever_heard,
                    )
                    machine.over_session = max(machine.over_session, machine.session)
                    machine.known = False
                    self.forget_tasks(machine)
                    owner.shards.machine_resolved(machine)
            if not owner.leadership.acting(now) or shard.yielding:
                continue
            # When many fall silent at once, the fault is more likely on this side, or on the way.
            up = [m for m in machines if m.ever_heard]
            heard = sum(1 for m in up if now - m.heard_at < 1.5 * self.pace.report_s)
            many = len(quiet) > max(2, len(machines) // 4) or 2 * heard < len(up)
            cut = self._cut_off(now, machines)
            for machine in quiet:
                # Not for ever: a shard most of whose machines had died kept them.
                patience = self.silent
                if many:
                    patience = MANY_LEASES * self.pace.lease_s
                elif machine.record.zone in cut:
                    patience = max(patience, self.pace.lease_s)
                if (
                    now - max(machine.heard_at, heard_since) > patience
                    and not machine.record.leaving
                    and now - machine.elsewhere_at > self.silent
                ):
                    self.leave(machine, "silent")
        for name, machine in list(owner.failures.condemned.items()):
            if owner.machines.get(name) is not machine or machine.condemned_at is None:
                del owner.failures.condemned[name]
            elif (
                now >= machine.condemned_at
                and not machine.record.leaving
                and machine.record.shard in owner.held
                and machine.empty
            ):
                self.leave(machine, "sick")
        for machine in self.reach.lost(now):
            self.leave(machine, "does not hear")

    def _cut_off(self, now: float, machines: list[Machine]) -> set[str]:
        """Zones of which much has not been heard for a moment while others are: the way to them is
        at fault, and most of their machines will come by another controller."""
        seen: dict[str, list[int]] = {}
        late = 2 * self.pace.report_s
        for machine in machines:
            if machine.ever_heard and not machine.record.leaving:
                counts = seen.setdefault(machine.record.zone, [0, 0])
                counts[0] += 1
                counts[1] += now - machine.heard_at > late
        out = {z for z, (every, quiet) in seen.items() if quiet > max(2, every // 4)}
        for zone in out:
            self.cut_at[zone] = now
        return {z for z, at in self.cut_at.items() if now - at < self.silent}

    def leave(self, machine: Machine, reason: str) -> None:
        """Hand a machine to the provisioner for deletion. Nothing is placed on it any more."""
        owner = self.owner
        shard = owner.held.get(machine.record.shard)
        if shard is None or shard.yielding or machine.handing:
            return
        if machine.committing or owner.now < machine.leave_at:
            return
        old = machine.record
        record = msgspec.structs.replace(old, leaving=reason)
        machine.committing = True
        # While the state service refuses, once a report's time is enough.
        machine.leave_at = owner.now + self.pace.report_s
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
        if placement.why != w.WHY_DONE or job is None or job.id not in self.owner.jobs:
            return True
        return bool(job.fin >> placement.index & 1)

    def orders(self, machine: Machine, seq: int | None) -> list[w.Order]:
        """What the worker should do now. `seq`: the report this answers; None: sent directly."""
        owner = self.owner
        out: list[w.Order] = []
        launches: list[w.Order] = []
        for placement in machine.tasks.values():
            if placement.state == w.EXITED:
                if self.reapable(placement):
                    out.append(w.Order(w.REAP, placement.task, placement.attempt))
            elif placement.halt is not None:
                if placement.state == SENT:
                    continue
                if placement.state != w.SAVING or placement.halt == 0:
                    out.append(w.Order(w.HALT, placement.task, placement.attempt, placement.halt))
            elif placement.state == SENT and placement.job is not None:
                if placement.job.id not in owner.jobs:
                    continue
                launches.append(w.Order(w.LAUNCH, placement.task, placement.attempt))
                if seq is not None:
                    placement.answered_seq = seq
                else:
                    placement.open_calls += 1
        for (task, attempt), state in machine.strays.items():
            if state == w.EXITED:
                out.append(w.Order(w.REAP, task, attempt))
            else:
                out.append(w.Order(w.HALT, task, attempt, 0.0))
        # Bounded, so that an answer stays far below the protocol's 64 KiB.
        return out[:200] + launches[: 400 - len(out[:200])]

    def hurry(self, machine: Machine) -> None:
        """Its orders should not wait for its next report."""
        self.urgent[machine.name] = machine

    def flush(self, now: float) -> None:
        """Send urgent orders straight to the workers; the next report's answer repeats them."""
        owner = self.owner
        if not owner.leadership.acting(now):
            return
        for machine in list(self.urgent.values()):
            shard = owner.held.get(machine.record.shard)
            if shard is None or shard.yielding or not machine.known or not machine.addr:
                del self.urgent[machine.name]
                continue
            if machine.calling:
                continue
            del self.urgent[machine.name]
            launched = [p for p in machine.tasks.values() if p.state == SENT and p.halt is None]
            before = {p.task: p.open_calls for p in launched}
            orders = self.orders(machine, None)
            carried = [p for p in launched if p.open_calls > before[p.task]]
            if not orders:
                continue
            token = max(shard.term, machine.stamp)
            machine.calling += 1
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
            machine.calling -= 1
            machine.settled = False
            sure = status in (200, 409, 400, 0)
            for placement in carried:
                placement.open_calls -= 1
                if not sure:
                    # It may be executed late, until the worker has seen a higher token.
                    self.doubts.note(machine, placement, token)
            if status not in (200, 409) or owner.machines.get(machine.name) is not machine:
                return
            report = decode(body, w.Report)
            shard = owner.held.get(machine.record.shard)
            if report is None or shard is None or report.machine != machine.name:
                return
            try:
                hands = w.read_hands(report.tasks)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                return
            if self._newer(machine, report):
                self.read(machine, report, hands, max(shard.term, machine.stamp), hello=False)

        return done

    def halt(self, placement: Placement, grace: float, reason: str) -> None:
        """Stop a task; a second, stricter call shortens its grace."""
        if placement.state == w.EXITED:
            return
        if placement.halt is not None and placement.halt <= grace:
            return
        if placement.halt is None:
            placement.halted_at = self.owner.now
            log.info(
                "stop task=%s attempt=%d machine=%s for=%s",
                placement.task,
                placement.attempt,
                placement.machine.name,
                reason,
            )
        placement.halt = grace
        placement.for_whom = reason
        self.owner.ledger.stop(placement)
        self.hurry(placement.machine)
        self.owner.dirty = True

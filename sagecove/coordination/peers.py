"""Hints between controllers, and what they tell of other holders."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.coordination.interfaces import TICK_S, ResponseCallback
from sagecove.coordination.model import Machine
from sagecove.protocol.peers import (
    Hint,
    Promise,
    ShareRequest,
    ShareRequestList,
    read_hint,
    read_promise,
    read_wants,
)
from sagecove.protocol.users import Refusal

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.peers")

# Names that one hint carries of machines and of running jobs, and of all else: within a body of
# 64 KiB. And the most parts that are kept of what a peer says.
PART_MOST = 1000
FEW = 200
PARTS_MOST = 20
# Things that make no sense which are logged, once each.
ODD_MOST = 20


class Teller(NamedTuple):
    """What a shard's holder has said of its machines: names it has heard, and if that is all."""

    heard: Sequence[set[str]]
    all: bool


class Peers:
    """What peers say, and what is said to them."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.hints: dict[str, tuple[float, Hint]] = {}
        # Jobs short of room in the shard that must have them: (shard, tasks, when said).
        self.room_shortages: dict[str, tuple[str, int, float]] = {}
        self.cancelled_lately: list[str] = []
        self.hint_at = 0.0
        self.wants_at = 0.0
        # By node: its last hints, as many as it tells parts in, which are all it has said last.
        self.hint_parts: dict[str, deque[Hint]] = {}
        self.part = 0
        # What strangers, or other builds, have said that makes no sense.
        self.odd: set[str] = set()
        # By shard, until when some of its machines are to run empty.
        self.draining_until: dict[str, float] = {}

    def send_hints(self, now: float) -> None:
        if now < self.hint_at:
            return
        self.hint_at = now + 1.0
        hungry: dict[str, tuple[str, int]] = {}
        running: dict[str, int] = {}
        for job in self.owner.backlog.active.values():
            if job.running_count:
                running[job.id] = job.running_count
            for shard in self.owner.held_shards:
                lacking = job.placeable(shard)
                if self.owner.failures.fails_everywhere(job):
                    # Nothing is rented for what fails everywhere.
                    continue
                if lacking and now - job.unplaceable_since.get(shard, now) > 0.4:
                    hungry[job.id] = (shard, lacking.bit_count())
                    self.room_shortages[job.id] = (shard, lacking.bit_count(), now)
        known = [m.name for m in self.owner.machines.values() if m.tasks_known]
        # Of a controller that holds the shards of all, thousands of machines: its hints were longer
        # than a body may be, so that its peers took it for silent.
        parts = max(1, -(-max(len(known), len(running)) // PART_MOST))
        self.part = (self.part + 1) % parts
        hint = Hint(
            self.owner.settings.node,
            self.owner.now - self.owner.sync.synced_at < 2.0,
            self.owner.mirror.applied,
            dict(list(running.items())[self.part :: parts]),
            dict(list(hungry.items())[:FEW]),
            set(known[self.part :: parts]),
            parts,
            self.owner.workers.recent_foreign_machines(now)[:FEW],
            self.owner.provisioner.machines_to_drain[:FEW],
            self.cancelled_lately,
            [job.id for job in self.owner.backlog.active.values() if job.judged_faulty][:FEW],
            self.owner.limits.share_requests.local_requests()[:FEW],
            self.owner.limits.unrecorded_completed_claims()[:FEW],
            self.owner.room_requests.mine[:FEW],
            self.owner.images.free_room_by_image()[:FEW],
        )
        self.drain(hint)
        self.cancelled_lately = []
        for peer in self.owner.settings.peers:
            self.owner.call(peer.addr, "POST", "/hint", hint, 1.0, self._hinted(peer.node, now))

    def send_share_requests(self, now: float) -> None:
        """What is wanted of teams' limits can't wait for the next hint."""
        if not self.owner.limits.share_requests.has_unsent_changes or now < self.wants_at:
            return
        self.owner.limits.share_requests.has_unsent_changes = False
        self.wants_at = now + TICK_S / 2
        wants = ShareRequestList(
            self.owner.settings.node, self.owner.limits.share_requests.local_requests()[:FEW]
        )
        for peer in self.owner.settings.peers:
            self.owner.call(peer.addr, "POST", "/wants", wants, 1.0, self._took_in(peer.node))

    def _took_in(self, node: str) -> ResponseCallback:
        def done(status: int | None, body: bytes) -> None:
            if status == 200:
                self.owner.limits.share_requests.record_acknowledgement(self.owner.now, node)

        return done

    def _wanted(self, node: str, wants: list[ShareRequest]) -> None:
        if node in self.owner.settings.nodes:
            self.owner.limits.receive_requests(self.owner.now, node, wants)
        self.owner.pass_needed = self.owner.pass_needed or bool(wants)

    def drain(self, hint: Hint) -> None:
        for name in hint.drain:
            if (machine := self.owner.machines.get(name)) is not None:
                machine.drain_until = self.owner.now + 4.0
                self.draining_until[machine.record.shard] = machine.drain_until

    def _hinted(self, node: str, sent: float) -> ResponseCallback:
        def done(status: int | None, body: bytes) -> None:
            try:
                answer = read_promise(body) if status == 200 else None
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                log.info("unreadable promise node=%s why=%s", node, error)
                answer = None
            if answer is not None:
                self.owner.limits.share_requests.record_acknowledgement(self.owner.now, node)
                self.owner.leadership.promised(node, sent, answer)

        return done

    def announce_cancellation(self, job_id: str) -> None:
        """Let the peers look for a cancellation before their watch tells them."""
        self.cancelled_lately.append(job_id)
        self.hint_at = min(self.hint_at, self.owner.now)

    def handle_request(self, ask: IncomingRequest) -> None:
        if ask.path == "/relay":
            self.owner.workers.handle_report(ask.body, ask.exchange, relayed=True)
            return
        try:
            if ask.path == "/wants":
                said = read_wants(ask.body)
                self._wanted(said.node, said.wants)
                self.owner.effects.append(Reply(ask.exchange, 200, Promise()))
                return
            hint = read_hint(ask.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._odd(f"unreadable {ask.path} why={error}")
            self.owner.effects.append(Reply(ask.exchange, 400, Refusal("unreadable")))
            return
        if hint.node not in self.owner.settings.nodes:
            self._odd(f"hint of a stranger node={hint.node[:100]}")
            self.owner.effects.append(Reply(ask.exchange, 200, Promise()))
            return
        self._hint(hint)
        promise = self.owner.leadership.promise(hint.applied)
        self.owner.effects.append(Reply(ask.exchange, 200, promise))

    def _hint(self, hint: Hint) -> None:
        self.hints[hint.node] = (self.owner.now, hint)
        parts = min(max(1, hint.parts), PARTS_MOST)
        told = self.hint_parts.get(hint.node)
        if told is None or told.maxlen != parts:
            told = self.hint_parts[hint.node] = deque(told or (), maxlen=parts)
        told.append(hint)
        for job_id, (shard, count) in hint.hungry.items():
            self.room_shortages[job_id] = (shard, count, self.owner.now)
        self.drain(hint)
        self._wanted(hint.node, hint.wants)
        self.owner.images.update_peer(self.owner.now, hint.node, hint.warm)
        for call in hint.calls:
            self.owner.room_requests.called(self.owner.now, call)
        self.owner.limits.receive_completed_claims(self.owner.now, hint.node, hint.ended)
        for job_id in hint.failing:
            if (job := self.owner.jobs.get(job_id)) is not None:
                job.peer_judged_faulty_at = self.owner.now
        for name in hint.strangers:
            if (machine := self.owner.machines.get(name)) is not None:
                machine.peer_heard_at = self.owner.now
        if any(job_id in self.owner.jobs for job_id in hint.cancelled):
            self.owner.cancellations.stop(hint.cancelled)
            self.owner.sync.request_sync()

    def _odd(self, what: str) -> None:
        """Log what no controller of these settings says, once."""
        if what not in self.odd and len(self.odd) < ODD_MOST:
            self.odd.add(what)
            log.info("%s", what)

    def running_elsewhere(self, job_id: str) -> int:
        """Running tasks of a job on other controllers' machines, for display."""
        return sum(
            hint.running.get(job_id, 0)
            for node, (at, _) in self.hints.items()
            if self.owner.now - at < 5.0
            for hint in self.hint_parts[node]
        )

    def machine_reports_to(self, node: str, machine: str) -> bool:
        """A controller has said lately that a machine reports to it."""
        return any(machine in hint.heard for hint in self.hint_parts.get(node, ()))

    def has_all_parts(self, node: str) -> bool:
        """All parts of what a controller says have come: what it has not named it has not heard."""
        told = self.hint_parts.get(node)
        return told is not None and len(told) == told.maxlen

    def boot_status(self, machine: Machine) -> str:
        """Whether a machine is `up`, `coming` or `overdue`, as far as this controller can tell."""
        return self._arrival(machine, self.teller(machine.record.shard))

    def boot_statuses(self) -> Iterator[tuple[Machine, str]]:
        """All machines, and what `arrival` says of them."""
        tellers: dict[str, Teller] = {}
        for machine in self.owner.machines.values():
            if machine.tasks_known:
                yield machine, "up"
                continue
            shard = machine.record.shard
            teller = tellers.get(shard)
            if teller is None:
                teller = tellers[shard] = self.teller(shard)
            yield machine, self._arrival(machine, teller)

    def teller(self, shard: str) -> Teller:
        """Who knows which machines of a shard are up."""
        holder = self.owner.shards.holder_of(shard)
        hint = self.hints.get(holder or "")
        if holder is None or hint is None or self.owner.now - hint[0] >= 5.0:
            return Teller((), holder == self.owner.settings.node)
        told = [one.heard for one in self.hint_parts.get(holder, ())]
        return Teller(told, self.has_all_parts(holder) or holder == self.owner.settings.node)

    def _arrival(self, machine: Machine, teller: Teller) -> str:
        if machine.tasks_known:
            return "up"
        for names in teller.heard:
            if machine.name in names:
                return "up"
        boot = machine.machine_type.boot_s if machine.machine_type else 30.0
        if self.owner.wall() - machine.record.at < 2 * boot:
            return "coming"
        return "overdue" if teller.all else "up"

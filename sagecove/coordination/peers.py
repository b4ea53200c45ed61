"""Exchanges hints with the other controllers and keeps what they report.

Hints carry machines, jobs, room and cancellations. No rule depends on them, except for the promise
in the answer to a hint; see `leadership`.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.coordination.interfaces import TICK_S, ResponseCallback
from sagecove.coordination.model import Machine
from sagecove.protocol.decoding import MalformedMessage
from sagecove.protocol.peers import (
    Hint,
    Promise,
    ShareRequest,
    ShareRequestList,
    decode_hint,
    decode_promise,
    decode_share_requests,
)
from sagecove.protocol.users import Refusal

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner

log = logging.getLogger("sagecove.peers")

# Names in one hint: of machines and of running jobs, and of each other kind. They keep the hint
# within a body of 64 KiB. The third limit is the number of parts that are kept for a peer.
PART_NAMES_COUNT = 1000
OTHER_NAMES_COUNT = 200
KEPT_PARTS_COUNT = 20
# Different invalid messages that are logged, each of them once.
LOGGED_INVALID_COUNT = 20


class HolderReport(NamedTuple):
    """The machines that report to the holder of a shard, and whether the list is complete."""

    reporting: Sequence[set[str]]
    complete: bool


class Peers:
    """Sends hints to the other controllers and handles theirs."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.hints: dict[str, tuple[float, Hint]] = {}
        # Jobs that lack room in the shard that has claimed them: (shard, tasks, when reported).
        self.room_shortages: dict[str, tuple[str, int, float]] = {}
        self.recent_cancellations: list[str] = []
        self.next_hint_at = 0.0
        self.next_share_requests_at = 0.0
        # By node: its last hints, one for each part that it sends. Together they are its complete
        # last report.
        self.hint_parts: dict[str, deque[Hint]] = {}
        self.part_index = 0
        # Invalid messages, of unknown senders or other builds, that have been logged.
        self.logged_invalid: set[str] = set()
        # By shard: until when some of its machines are to be drained.
        self.draining_until: dict[str, float] = {}

    def forget_hints(self) -> None:
        """Drop what peers have told, as it is out of date."""
        self.hints.clear()
        self.hint_parts.clear()
        self.room_shortages.clear()

    def send_hints(self, now: float) -> None:
        """Send a hint to all peers, about once a second."""
        if now < self.next_hint_at:
            return
        self.next_hint_at = now + 1.0
        shortages: dict[str, tuple[str, int]] = {}
        running: dict[str, int] = {}
        for job in self.owner.backlog.active.values():
            if job.running_count:
                running[job.id] = job.running_count
            for shard in self.owner.held_shards:
                unplaced_tasks = job.placeable(shard)
                if self.owner.failures.fails_everywhere(job):
                    # No machine is rented for a job that fails everywhere.
                    continue
                if unplaced_tasks and now - job.unplaceable_since.get(shard, now) > 0.4:
                    shortages[job.id] = (shard, unplaced_tasks.bit_count())
                    self.room_shortages[job.id] = (shard, unplaced_tasks.bit_count(), now)
        known_machines = [m.name for m in self.owner.machines.values() if m.tasks_known]
        # A controller that holds all shards knows thousands of machines. Its hints would exceed the
        # largest body, and its peers then took it for silent, so they are sent in parts.
        parts = max(1, -(-max(len(known_machines), len(running)) // PART_NAMES_COUNT))
        self.part_index = (self.part_index + 1) % parts
        hint = Hint(
            self.owner.settings.node,
            self.owner.now - self.owner.sync.synced_at < 2.0,
            self.owner.mirror.applied,
            dict(list(running.items())[self.part_index :: parts]),
            dict(list(shortages.items())[:OTHER_NAMES_COUNT]),
            set(known_machines[self.part_index :: parts]),
            parts,
            self.owner.workers.foreign_reports.recent_machines(now)[:OTHER_NAMES_COUNT],
            self.owner.provisioner.machines_to_drain[:OTHER_NAMES_COUNT],
            self.recent_cancellations,
            [job.id for job in self.owner.backlog.active.values() if job.judged_faulty][
                :OTHER_NAMES_COUNT
            ],
            self.owner.limits.share_requests.local_requests()[:OTHER_NAMES_COUNT],
            self.owner.limits.unrecorded_completed_claims()[:OTHER_NAMES_COUNT],
            self.owner.room_requests.own_requests[:OTHER_NAMES_COUNT],
            self.owner.images.free_room_by_image()[:OTHER_NAMES_COUNT],
        )
        self.mark_draining(hint)
        self.recent_cancellations = []
        for peer in self.owner.settings.peers:
            self.owner.call(
                peer.addr, "POST", "/hint", hint, 1.0, self._on_hint_answered(peer.node, now)
            )

    def send_share_requests(self, now: float) -> None:
        """Send changed requests for shares of team limits without waiting for the next hint."""
        if (
            not self.owner.limits.share_requests.has_unsent_changes
            or now < self.next_share_requests_at
        ):
            return
        self.owner.limits.share_requests.has_unsent_changes = False
        self.next_share_requests_at = now + TICK_S / 2
        request_list = ShareRequestList(
            self.owner.settings.node,
            self.owner.limits.share_requests.local_requests()[:OTHER_NAMES_COUNT],
        )
        for peer in self.owner.settings.peers:
            self.owner.call(
                peer.addr,
                "POST",
                "/wants",
                request_list,
                1.0,
                self._on_share_requests_answered(peer.node),
            )

    def _on_share_requests_answered(self, node: str) -> ResponseCallback:
        def done(status: int | None, body: bytes) -> None:
            if status == 200:
                self.owner.limits.share_requests.record_acknowledgement(self.owner.now, node)

        return done

    def _receive_share_requests(self, node: str, requests: list[ShareRequest]) -> None:
        if node in self.owner.settings.nodes:
            self.owner.limits.receive_requests(self.owner.now, node, requests)
        self.owner.pass_needed = self.owner.pass_needed or bool(requests)

    def mark_draining(self, hint: Hint) -> None:
        """Mark the machines that a hint asks to drain."""
        for name in hint.drain:
            if (machine := self.owner.machines.get(name)) is not None:
                machine.drain_until = self.owner.now + 4.0
                self.draining_until[machine.record.shard] = machine.drain_until

    def _on_hint_answered(self, node: str, sent_at: float) -> ResponseCallback:
        def done(status: int | None, body: bytes) -> None:
            try:
                answer = decode_promise(body) if status == 200 else None
            except MalformedMessage as error:
                log.info("unreadable promise node=%s why=%s", node, error)
                answer = None
            if answer is not None:
                self.owner.limits.share_requests.record_acknowledgement(self.owner.now, node)
                self.owner.leadership.receive_promise(node, sent_at, answer)

        return done

    def announce_cancellation(self, job_id: str) -> None:
        """Name a cancellation in the next hint, which is sent at once, so that peers read it before
        their watch reports it.
        """
        self.recent_cancellations.append(job_id)
        self.next_hint_at = min(self.next_hint_at, self.owner.now)

    def handle_request(self, request: IncomingRequest) -> None:
        """Answer a request of another controller."""
        if request.path == "/relay":
            self.owner.workers.handle_report(request.body, request.exchange, relayed=True)
            return
        try:
            if request.path == "/wants":
                request_list = decode_share_requests(request.body)
                self._receive_share_requests(request_list.node, request_list.wants)
                self.owner.effects.append(Reply(request.exchange, 200, Promise()))
                return
            hint = decode_hint(request.body)
        except MalformedMessage as error:
            self._log_invalid(f"unreadable {request.path} why={error}")
            self.owner.effects.append(Reply(request.exchange, 400, Refusal("unreadable")))
            return
        if hint.node not in self.owner.settings.nodes:
            self._log_invalid(f"hint from an unknown controller node={hint.node[:100]}")
            self.owner.effects.append(Reply(request.exchange, 200, Promise()))
            return
        self._receive_hint(hint)
        promise = self.owner.leadership.make_promise(hint.applied)
        self.owner.effects.append(Reply(request.exchange, 200, promise))

    def _receive_hint(self, hint: Hint) -> None:
        self.hints[hint.node] = (self.owner.now, hint)
        parts = min(max(1, hint.parts), KEPT_PARTS_COUNT)
        received_parts = self.hint_parts.get(hint.node)
        if received_parts is None or received_parts.maxlen != parts:
            received_parts = self.hint_parts[hint.node] = deque(received_parts or (), maxlen=parts)
        received_parts.append(hint)
        for job_id, (shard, count) in hint.hungry.items():
            self.room_shortages[job_id] = (shard, count, self.owner.now)
        self.mark_draining(hint)
        self._receive_share_requests(hint.node, hint.wants)
        self.owner.images.update_peer(self.owner.now, hint.node, hint.warm)
        for room_request in hint.calls:
            self.owner.room_requests.give_machines(self.owner.now, room_request)
        self.owner.limits.receive_completed_claims(self.owner.now, hint.node, hint.ended)
        for job_id in hint.failing:
            if (job := self.owner.jobs.get(job_id)) is not None:
                job.peer_judged_faulty_at = self.owner.now
        for name in hint.strangers:
            if (machine := self.owner.machines.get(name)) is not None:
                machine.peer_report_at = self.owner.now
        if any(job_id in self.owner.jobs for job_id in hint.cancelled):
            self.owner.cancellations.stop_reported(hint.cancelled)
            self.owner.sync.request_sync()

    def _log_invalid(self, message: str) -> None:
        """Log a message that no controller of this cluster would send, once for each text."""
        if message not in self.logged_invalid and len(self.logged_invalid) < LOGGED_INVALID_COUNT:
            self.logged_invalid.add(message)
            log.info("%s", message)

    def running_elsewhere(self, job_id: str) -> int:
        """Count the running tasks of a job on other controllers' machines, for display."""
        return sum(
            hint.running.get(job_id, 0)
            for node, (at, _) in self.hints.items()
            if self.owner.now - at < 5.0
            for hint in self.hint_parts[node]
        )

    def machine_reports_to(self, node: str, machine: str) -> bool:
        """Return whether a controller has said recently that a machine reports to it."""
        return any(machine in hint.heard for hint in self.hint_parts.get(node, ()))

    def has_all_parts(self, node: str) -> bool:
        """Return whether all parts of a controller's report have arrived. If so, a machine that it
        does not name does not report to it.
        """
        received_parts = self.hint_parts.get(node)
        return received_parts is not None and len(received_parts) == received_parts.maxlen

    def boot_status(self, machine: Machine) -> str:
        """Return `up`, `coming` or `overdue`, as far as this controller can tell."""
        return self._boot_status(machine, self.holder_report(machine.record.shard))

    def boot_statuses(self) -> Iterator[tuple[Machine, str]]:
        """Yield all machines with their boot status."""
        reports: dict[str, HolderReport] = {}
        for machine in self.owner.machines.values():
            if machine.tasks_known:
                yield machine, "up"
                continue
            shard = machine.record.shard
            holder_report = reports.get(shard)
            if holder_report is None:
                holder_report = reports[shard] = self.holder_report(shard)
            yield machine, self._boot_status(machine, holder_report)

    def holder_report(self, shard: str) -> HolderReport:
        """Return which machines of a shard report to its holder, as far as is known."""
        holder = self.owner.shards.holder_of(shard)
        hint = self.hints.get(holder or "")
        if holder is None or hint is None or self.owner.now - hint[0] >= 5.0:
            return HolderReport((), holder == self.owner.settings.node)
        reporting_by_part = [hint_part.heard for hint_part in self.hint_parts.get(holder, ())]
        return HolderReport(
            reporting_by_part, self.has_all_parts(holder) or holder == self.owner.settings.node
        )

    def _boot_status(self, machine: Machine, holder_report: HolderReport) -> str:
        if machine.tasks_known:
            return "up"
        for names in holder_report.reporting:
            if machine.name in names:
                return "up"
        boot_s = machine.machine_type.boot_s if machine.machine_type else 30.0
        if self.owner.wall() - machine.record.at < 2 * boot_s:
            return "coming"
        return "overdue" if holder_report.complete else "up"

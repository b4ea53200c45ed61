"""Remembers and reads the final states of jobs, `done` and `aborted`, which never change."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from sagecove.coordination.cancellations import Cancellations
from sagecove.coordination.containment import Containment
from sagecove.protocol import users as api
from sagecove.protocol.decoding import MalformedMessage, convert_message
from sagecove.protocol.state import Pair
from sagecove.storage.records import FINAL_STATE_PREFIX, FinalStateRecord
from sagecove.storage.store import Store, decode_answer

KEPT_COUNT = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class FinalState:
    """The final state of a job and its number of tasks."""

    state: str
    task_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class FinalStateAnswer:
    """What a read found: a final state, that there is none (`absent`), or nothing that is known."""

    final_state: FinalState | None
    absent: bool


OnFinalStateRead = Callable[[FinalStateAnswer], None]


class FinalStatesContext(Protocol):
    """Interface that the final states require of the owner."""

    now: float
    store: Store
    cancellations: Cancellations
    containment: Containment


class FinalStates:
    """Final states that this controller knows, bounded; those dropped are read again."""

    def __init__(self, context: FinalStatesContext) -> None:
        self.context = context
        self.known: OrderedDict[str, FinalState] = OrderedDict()
        # By job: who waits for the open read of its final state, and who came after it began.
        self.open_reads: dict[str, list[OnFinalStateRead]] = {}
        self.queued_reads: dict[str, list[OnFinalStateRead]] = {}

    def remember(self, job_id: str, state: str, task_count: int, revision: int) -> None:
        """Remember a final state durable at `revision`. Cancellations pass here before a reply."""
        if state == api.CANCELLED:
            self.context.cancellations.record_confirmed(job_id, revision)
        self.known[job_id] = FinalState(state, task_count)
        self.known.move_to_end(job_id)
        if len(self.known) > KEPT_COUNT:
            self.known.popitem(last=False)

    def read(self, job_id: str, on_read: OnFinalStateRead) -> None:
        """Call back after a read of the final state that begins from now on."""
        if job_id in self.open_reads:
            # The open read may be executed already, and the job accepted and finished since then.
            self.queued_reads.setdefault(job_id, []).append(on_read)
        else:
            self._send_read(job_id, [on_read])

    def _send_read(self, job_id: str, waiting: list[OnFinalStateRead]) -> None:
        context = self.context
        self.open_reads[job_id] = waiting

        def on_answer(status: int | None, body: bytes) -> None:
            del self.open_reads[job_id]
            answer = self._decode(job_id, status, body)
            queued = self.queued_reads.pop(job_id, [])
            if queued and answer.final_state is None:
                self._send_read(job_id, queued)
                queued = []
            for on_read in waiting + queued:
                context.containment.run("final state read", on_read, answer)

        context.store.read(context.now, FINAL_STATE_PREFIX + job_id, on_answer)

    def _decode(self, job_id: str, status: int | None, body: bytes) -> FinalStateAnswer:
        """Return what an answer says; a state that has become known meanwhile counts too."""
        pair = decode_answer(body, Pair) if status == 200 else None
        if pair is not None:
            record = _decode_record(pair.value)
            if record is not None:
                self.remember(job_id, record.state, record.tasks, pair.version)
        return FinalStateAnswer(self.known.get(job_id), absent=status == 404)


def _decode_record(value: object) -> FinalStateRecord | None:
    """Return the record of a final state, or None if it is invalid or of a state unknown here."""
    try:
        record: FinalStateRecord = convert_message(value, FinalStateRecord)
    except MalformedMessage:
        return None
    return record if record.state in api.FINAL_STATES else None

"""Finds sweeps that have ended and the records of blocks, in the mirror or the state service."""

from __future__ import annotations

import logging
from collections.abc import Callable

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.protocol import state as state_protocol
from sagecove.protocol.decoding import MalformedMessage, convert_message
from sagecove.storage.store import decode_answer
from sagecove.sweeps import records as sweep_records
from sagecove.sweeps.admission import RequestRefused
from sagecove.sweeps.cache import BoundedCache
from sagecove.sweeps.interfaces import LiveSweeps
from sagecove.sweeps.model import Sweep
from sagecove.sweeps.refusals import Refusals

log = logging.getLogger("sagecove.sweeps")

# How many immutable records of each kind are cached after they were read.
CACHED_SWEEP_COUNT, CACHED_BLOCK_COUNT = 20, 100

OnEndedSweep = Callable[[sweep_records.EndedSweepRecord], None]


class SweepLookup:
    """Reads records for covered requests: what was live when a request was covered is in the
    mirror, and what had ended by then is found by a read that begins afterwards.
    """

    def __init__(self, feature: LiveSweeps, refusals: Refusals) -> None:
        self.feature = feature
        self.owner = feature.owner
        self.refusals = refusals
        self.ended_sweeps = BoundedCache(CACHED_SWEEP_COUNT)
        self.ended_blocks = BoundedCache(CACHED_BLOCK_COUNT)

    def find_ended_sweep(
        self,
        sweep_id: str,
        request: CoveredRequest,
        on_found: OnEndedSweep,
        on_missing: Callable[[], None] | None = None,
    ) -> None:
        """Pass an ended sweep to `on_found`; if there is none, call `on_missing` or answer 404."""
        cached = self.ended_sweeps.get(sweep_id)
        if cached is not None:
            on_found(cached)
            return

        def on_absent() -> None:
            if on_missing is not None:
                on_missing()
            else:
                refused = RequestRefused(404, f"there is no sweep {sweep_id}")
                self.refusals.refuse_unknown(request, refused)

        def on_answer(status: int | None, body: bytes) -> None:
            pair = decode_answer(body, state_protocol.Pair) if status == 200 else None
            ended_sweep = None if pair is None else self._decode_ended_sweep(sweep_id, pair)
            if ended_sweep is not None:
                on_found(ended_sweep)
            elif status == 404:
                on_absent()
            else:
                self.owner.answers.refuse_state_unavailable(request.exchange)

        if not sweep_records.SWEEP_ID_PATTERN.match(sweep_id):
            on_absent()
            return
        key = sweep_records.ENDED_SWEEP_PREFIX + sweep_id
        self.owner.store.read(self.owner.now, key, on_answer)

    def _decode_ended_sweep(
        self, sweep_id: str, pair: state_protocol.Pair
    ) -> sweep_records.EndedSweepRecord | None:
        try:
            ended_sweep: sweep_records.EndedSweepRecord = convert_message(
                pair.value, sweep_records.EndedSweepRecord
            )
        except MalformedMessage:
            log.info("unreadable ended sweep=%s", sweep_id)
            return None
        # Users may learn of a cancellation by this read, so peers have to read up to its revision
        # to know of it.
        self.owner.cancellations.raise_floor(pair.version)
        self.ended_sweeps.put(sweep_id, ended_sweep)
        return ended_sweep

    def rebuild_sweep(self, ended_sweep: sweep_records.EndedSweepRecord) -> Sweep:
        """Return an ended sweep in the form of a live one."""
        nodes = self.owner.settings.nodes
        return Sweep(ended_sweep.record, 0, nodes[0], nodes)

    def read_block(
        self,
        sweep_id: str,
        block_number: int,
        request: CoveredRequest,
        on_found: Callable[[sweep_records.BlockRecord], None],
    ) -> None:
        """Pass a block's current record, live or ended, to `on_found`; an empty one if none."""
        stored = self.feature.stored_blocks.get(sweep_id, {}).get(block_number)
        if stored is not None:
            on_found(stored[0])
            return
        key = sweep_records.block_key(sweep_records.ENDED_BLOCK_PREFIX, sweep_id, block_number)
        cached = self.ended_blocks.get(key)
        if cached is not None:
            on_found(cached)
            return

        def on_answer(status: int | None, body: bytes) -> None:
            record = None
            if status == 404:
                record = sweep_records.BlockRecord()
            elif status == 200 and (pair := decode_answer(body, state_protocol.Pair)) is not None:
                try:
                    record = convert_message(pair.value, sweep_records.BlockRecord)
                except MalformedMessage:
                    log.info("unreadable block key=%s", key)
                else:
                    self.owner.cancellations.raise_floor(pair.version)
                    self.ended_blocks.put(key, record)
            if record is None:
                self.owner.answers.refuse_state_unavailable(request.exchange)
            else:
                on_found(record)

        self.owner.store.read(self.owner.now, key, on_answer)

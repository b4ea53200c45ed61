"""What the request handlers require of the sweeps feature."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from sagecove.coordination.owner import Owner
from sagecove.sweeps.model import Sweep
from sagecove.sweeps.records import BlockRecord


class PointCanceller(Protocol):
    """A block whose points can be cancelled."""

    def cancel_point(self, k: int, exchange: object) -> None:
        """Cancel point `k` of the block and answer the user once that is durable."""


class LiveSweeps(Protocol):
    """The sweeps that the mirror shows, and what this controller knows of their points."""

    owner: Owner
    # The most points that a sweep may have.
    points_most: int
    sweeps: dict[str, Sweep]
    # Block records and stamps of the mirror, also of unknown sweeps, by sweep and number.
    stored_blocks: dict[str, dict[int, tuple[BlockRecord, int]]]
    # Final states of points by job id.
    final_states: OrderedDict[str, str]

    def get_block(self, sweep: Sweep, number: int) -> PointCanceller:
        """Return a block, not ended, of a live sweep."""

    def remember_final_state(self, job_id: str, state: str) -> None:
        """Remember the durable final state of a point."""

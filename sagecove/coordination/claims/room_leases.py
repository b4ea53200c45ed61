"""Bounds for how long room may be kept from jobs that wait beside it.

Room of a machine is kept for gangs that gather machines and on machines that are being drained;
room in a team's limit is kept for jobs that are claimed as a whole. None of them is sure to get the
rest of what it needs, so each amount of room is kept under a lease that runs out, whoever keeps it.
The leases are in memory: a controller that begins anew counts each of them from its start.
"""

from __future__ import annotations

import dataclasses

# Target of the operators (seconds): no job waits longer beside room that it may use.
WAIT_BESIDE_ROOM_TARGET_S = 90.0
# Longest time (seconds) for which room is kept without a break. What is left of the target is for
# the claim and the start of a job that has waited.
ROOM_LEASE_S = WAIT_BESIDE_ROOM_TARGET_S * 2 / 3
# For so long (seconds) it is then open to all: several polls of each controller.
ROOM_OPEN_S = WAIT_BESIDE_ROOM_TARGET_S * 2 / 9


@dataclasses.dataclass(slots=True)
class _RoomLease:
    """When room began to be kept, and when it was last asked for."""

    started_at: float
    asked_at: float


class RoomLeases:
    """The leases of one kind of room, by the name of what is kept."""

    def __init__(self) -> None:
        self._leases: dict[str, _RoomLease] = {}
        self._pruned_at = 0.0

    def may_keep(self, now: float, name: str) -> bool:
        """Return whether the room may be kept now. The lease begins with the first call, and anew
        once the room has been open to all, or has not been asked for, for `ROOM_OPEN_S`."""
        self._prune(now)
        lease = self._leases.get(name)
        if lease is None or now - lease.started_at >= ROOM_LEASE_S + ROOM_OPEN_S:
            self._leases[name] = _RoomLease(now, now)
            return True
        lease.asked_at = now
        return now - lease.started_at < ROOM_LEASE_S

    def _prune(self, now: float) -> None:
        """Drop leases of room that is not kept any more."""
        if now - self._pruned_at < 1.0:
            return
        self._pruned_at = now
        ended = [n for n, lease in self._leases.items() if now - lease.asked_at >= ROOM_OPEN_S]
        for name in ended:
            del self._leases[name]

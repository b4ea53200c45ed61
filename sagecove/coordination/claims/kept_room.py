"""Bounds the time for which room is kept from jobs that wait beside it.

Room is kept for gangs that gather machines, on machines that are drained, and in the limits of
teams for jobs that are claimed as a whole. None of these is sure to get the rest of what it needs,
so from time to time all room is open to all. That time follows from the clock alone. So whoever
keeps room, on whichever machines, a waiting job finds machines and limits open at one time; jobs
can't take turns in keeping room; and a controller that begins anew knows it.
"""

from __future__ import annotations

# Target of the operators (seconds): no job waits longer beside room that it may use.
WAIT_BESIDE_ROOM_TARGET_S = 90.0
# Room is kept for so long (seconds); the rest of the target is for the claim and the start.
KEEP_ROOM_S = WAIT_BESIDE_ROOM_TARGET_S * 2 / 3
# For so long (seconds) it is then open: several polls of each controller.
OPEN_ROOM_S = WAIT_BESIDE_ROOM_TARGET_S / 6


def may_keep_room(wall_s: float) -> bool:
    """Return whether room may be kept from waiting jobs at a time of the wall clock (seconds)."""
    return wall_s % (KEEP_ROOM_S + OPEN_ROOM_S) < KEEP_ROOM_S

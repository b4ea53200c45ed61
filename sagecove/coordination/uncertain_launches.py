"""Launches sent straight to a worker that got no answer: they may be carried out much later.

The way may have held one back until after its job was cancelled, and the worker obeys for as long
as token and session match. Its machine's token is raised where it stands in the way; while that
can't be done, the session has to end.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.model import LAUNCH_SENT, Machine, Placement, Shard
from sagecove.protocol import workers as w

log = logging.getLogger("sagecove.doubts")


class Held(BaseContext, Protocol):
    """The clock, and the shards held here."""

    held_shards: dict[str, Shard]


class UncertainLaunches:
    """`fence(machine)` writes a machine's record, for a new token; `served()`: the state service
    answers; `lease_over`: so long after the last answer a worker's lease has run out."""

    def __init__(
        self,
        desk: Held,
        fence: Callable[[Machine], None],
        served: Callable[[], bool],
        lease_over: float,
    ) -> None:
        self.desk = desk
        self.fence = fence
        self.served = served
        self.lease_over = lease_over
        self.machines: dict[str, Machine] = {}

    def note(self, machine: Machine, placement: Placement, token: int) -> None:
        """A launch under this token got no answer."""
        placement.unconfirmed_token = max(placement.unconfirmed_token, token)
        placement.unconfirmed_at = self.desk.now
        self.machines[machine.name] = machine

    def seen(self, machine: Machine, token: int) -> None:
        """A worker has shown that it obeys no lower token any more."""
        if machine.name in self.machines:
            for placement in machine.tasks.values():
                if placement.unconfirmed_token >= 0 and token > placement.unconfirmed_token:
                    placement.unconfirmed_token = -1

    def tick(self, now: float) -> None:
        """Raise tokens where a lost launch stands in the way."""
        for name, machine in list(self.machines.items()):
            if self.desk.machines.get(name) is not machine or not any(
                p.unconfirmed_token >= 0 for p in machine.tasks.values()
            ):
                del self.machines[name]
                continue
            shard = self.desk.held_shards.get(machine.record.shard)
            if shard is None:
                continue
            token = max(shard.term, machine.stamp)
            stale = [
                p
                for p in machine.tasks.values()
                if p.unconfirmed_token >= token
                and (p.state == w.EXITED or p.stop_grace_s is not None)
            ]
            if not stale:
                continue
            self.fence(machine)
            # Of a cancelled job it would start long after its user was told, if nobody can write:
            # for a worker that this controller answered on, by way of another, all through an
            # outage. So it is answered no more, and its session ends with all that was sent to it.
            if now >= machine.unanswered_until and any(self._pressing(now, p) for p in stale):
                log.info("launch in doubt, session to end machine=%s", name)
                machine.unanswered_until = now + self.lease_over + self._pace
                machine.quiescent = False

    @property
    def _pace(self) -> float:
        return self.desk.settings.params.workers.report_s

    def _pressing(self, now: float, placement: Placement) -> bool:
        job = placement.job
        over = job is None or job.cancelled_elsewhere or job.id not in self.desk.jobs
        patience = self._pace if self.served() else 0.0
        return (
            over and placement.state == LAUNCH_SENT and now - placement.unconfirmed_at >= patience
        )

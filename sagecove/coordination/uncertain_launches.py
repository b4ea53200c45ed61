"""Resolves launches sent directly to a worker that got no response and may still be executed.

The network may deliver such a launch long after its job was cancelled, and the worker obeys it as
long as token and session match. Where an uncertain launch is in the way, the machine's token is
raised; while that can't be done, the worker's session has to end.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from sagecove.coordination.interfaces import BaseContext
from sagecove.coordination.launch_tracker import Launch, UnconfirmedLaunch
from sagecove.coordination.model import LAUNCH_SENT, Machine, Placement, Shard
from sagecove.protocol import workers as worker_protocol

log = logging.getLogger("sagecove.doubts")


class ShardContext(BaseContext, Protocol):
    """The owner's tables, with the shards held by this controller."""

    held_shards: dict[str, Shard]


class UncertainLaunches:
    """Resolves launches without a response.

    `raise_token(machine)` writes the machine's record, which gives it a new token;
    `state_service_connected()` tells whether the state service responds; `lease_expiry_s` after
    the last answer a worker's lease has surely expired.
    """

    def __init__(
        self,
        context: ShardContext,
        raise_token: Callable[[Machine], None],
        state_service_connected: Callable[[], bool],
        lease_expiry_s: float,
    ) -> None:
        self.context = context
        self.raise_token = raise_token
        self.state_service_connected = state_service_connected
        self.lease_expiry_s = lease_expiry_s
        self.machines: dict[str, Machine] = {}

    def add(self, machine: Machine) -> None:
        """Watch a machine to which a launch was sent that got no response."""
        self.machines[machine.name] = machine

    def tick(self, now: float) -> None:
        """Raise the token of machines to which an unwanted launch may still be delivered."""
        for name, machine in list(self.machines.items()):
            if self.context.machines.get(name) is not machine or not machine.launches.unconfirmed:
                del self.machines[name]
                continue
            shard = self.context.held_shards.get(machine.record.shard)
            if shard is None:
                continue
            token = max(shard.term, machine.stamp)
            unwanted = [
                (machine.tasks.get(launch[0]), sent)
                for launch, sent in machine.launches.unconfirmed.items()
                if sent.token >= token and not _is_wanted(machine, launch)
            ]
            if not unwanted:
                continue
            self.raise_token(machine)
            # If nobody can write to the state service, a task of a cancelled job could start long
            # after its cancellation was confirmed to the user: another controller renews the
            # worker's lease throughout the outage. So the worker is no longer answered, and its
            # session ends with all that was sent to it.
            if now >= machine.unanswered_until and any(
                placement is not None and self._must_end_session(now, placement, sent)
                for placement, sent in unwanted
            ):
                log.info("launch in doubt, session to end machine=%s", name)
                machine.unanswered_until = now + self.lease_expiry_s + self._report_s
                machine.quiescent = False

    @property
    def _report_s(self) -> float:
        return self.context.settings.params.workers.report_s

    def _must_end_session(self, now: float, placement: Placement, sent: UnconfirmedLaunch) -> bool:
        job = placement.job
        job_over = job is None or job.cancelled_elsewhere or job.id not in self.context.jobs
        wait_s = self._report_s if self.state_service_connected() else 0.0
        return job_over and placement.state == LAUNCH_SENT and now - sent.since >= wait_s


def _is_wanted(machine: Machine, launch: Launch) -> bool:
    """Return whether the task may run: it is placed as this attempt, and neither exited nor to be
    stopped."""
    placement = machine.tasks.get(launch[0])
    return (
        placement is not None
        and placement.launch == launch
        and placement.state != worker_protocol.EXITED
        and placement.stop_grace_s is None
    )

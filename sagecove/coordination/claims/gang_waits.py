"""Tells whether room should be gathered for a gang that waits."""

from __future__ import annotations

from collections.abc import Iterable

from sagecove.coordination.interfaces import OwnerContext, ShardQueries
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import JobRun
from sagecove.protocol.cloud import MachineType

# A gang counts as waiting long after so many boots of the slowest machine type.
GANG_LONG_WAIT_BOOT_COUNT = 1.5


class GangWaits:
    """Answers questions about jobs that wait to be claimed as a whole."""

    def __init__(self, context: OwnerContext, shards: ShardQueries, limits: TeamLimits) -> None:
        self.context = context
        self.shards = shards
        self.limits = limits

    def limit_has_room(self, job: JobRun) -> bool:
        """Return whether the team's limit allows all unclaimed tasks of a gang. If not, nothing is
        reserved for it: others waited beside idle machines for as long as the team's other work
        ran, which may be for good."""
        lack = job.unclaimed.bit_count()
        return self.limits.claimable_anywhere(job.spec, lack) >= lack

    def waits_long(self, now: float, job: JobRun) -> bool:
        """Return whether a job has waited longer than machines of its own take to boot, so that
        smaller jobs of its precedence no longer go ahead of it."""
        return not self.machines_may_be_booting(now, job) and self.shards.fleet_can_hold(job)

    def machines_may_be_booting(self, now: float, job: JobRun) -> bool:
        """Return whether machines rented for a job may still be booting."""
        return now - job.first_seen_at < gang_long_wait_s(self.context.machine_types.values())


def gang_long_wait_s(types: Iterable[MachineType]) -> float:
    """Return the wait (seconds) after which a gang counts as waiting long."""
    return GANG_LONG_WAIT_BOOT_COUNT * max((t.boot_s for t in types), default=0.0)

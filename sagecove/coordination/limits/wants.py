"""What shards want of teams' limits: felt here, told by others, written down when unheard."""

from __future__ import annotations

from collections.abc import Callable
from itertools import chain

from sagecove.coordination.limits.records import ResourceAmount, within
from sagecove.coordination.model import JobRun, fixed_precedence
from sagecove.protocol.peers import ShareRequest

# Polls after which what a peer has told is void.
TOLD_POLLS = 3.0


class ShareRequests:
    """Wants of shards held here and of others', and who has heard of them."""

    def __init__(self, poll_s: float, peers: Callable[[], list[str]]) -> None:
        self.poll_s = poll_s
        # Other controllers that are up.
        self.peers = peers
        # By team and shard, and when they were last felt; and since when.
        self.mine: dict[tuple[str, str], tuple[ShareRequest, float]] = {}
        self.since: dict[tuple[str, str], float] = {}
        # All that others want, by controller, and when it was told; or by the key of the row.
        self.theirs: dict[str, tuple[list[ShareRequest], float]] = {}
        # When peers last took in what is wanted here.
        self.heard_at: dict[str, float] = {}
        # Something has changed that peers have not been told.
        self.has_unsent_changes = False

    def feel(
        self,
        now: float,
        team: str,
        shard: str,
        job: JobRun,
        target: ResourceAmount,
        share: ResourceAmount,
    ) -> None:
        """A shard wants its share to be so much, for a job; now it is `share`."""
        first = fixed_precedence(job)
        rank = int(first[0]), int(first[1]), first[2], job.submitted_at, job.id
        want = ShareRequest(team, shard, rank, target)
        key = team, shard
        known = self.mine.get(key)
        if (
            known is not None
            and now - known[1] < self.poll_s / 2
            and known[0].rank < want.rank
            and not within(known[0].target, share)
        ):
            # The job that comes first speaks for the shard, until it has what it wants.
            return
        if known is None:
            self.since[key] = now
        if known is None or known[0].rank != want.rank or not within(target, known[0].target):
            self.has_unsent_changes = True
        self.mine[key] = want, now

    def told(self, now: float, node: str, wants: list[ShareRequest]) -> None:
        """All that a peer wants: what it wanted before is void. A want that it has no more, taken
        for one, had amounts sent to and fro for nothing."""
        self.theirs[node] = wants, now

    def record_acknowledgement(self, now: float, node: str) -> None:
        """A peer has taken in what is wanted here."""
        self.heard_at[node] = now

    def lost(self, shard: str) -> None:
        """A shard is held here no longer."""
        for key in [k for k in self.mine if k[1] == shard]:
            del self.mine[key], self.since[key]

    def forget_old(self, now: float) -> None:
        """What was not felt or told again is wanted no more."""
        for key in [k for k, (_, at) in self.mine.items() if now - at > self.poll_s]:
            del self.mine[key], self.since[key]
            self.has_unsent_changes = True
        for node in [
            n for n, (_, at) in self.theirs.items() if now - at > TOLD_POLLS * self.poll_s
        ]:
            del self.theirs[node]

    def local_requests(self) -> list[ShareRequest]:
        """The wants of shards held here, to be told to peers."""
        return [want for want, _ in self.mine.values()]

    def by_team(self) -> dict[str, list[ShareRequest]]:
        """All that is wanted."""
        out: dict[str, list[ShareRequest]] = {}
        for want in chain(self.local_requests(), *(wants for wants, _ in self.theirs.values())):
            out.setdefault(want.team, []).append(want)
        return out

    def unheard(self, now: float) -> list[ShareRequest]:
        """Wants to be written down, as a controller that is up does not hear them."""
        patience = 2 * self.poll_s
        if not self.mine or all(
            now - self.heard_at.get(node, -1e9) <= patience for node in self.peers()
        ):
            return []
        out = []
        for key, (want, _) in self.mine.items():
            if now - self.since[key] > patience:
                self.since[key] = now
                out.append(want)
        return out

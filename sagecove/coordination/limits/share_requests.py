"""Requests of shards for larger shares of teams' limits.

Requests of shards held here are sent to peers directly, and written to the state service if a peer
does not acknowledge them.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import chain

from sagecove.coordination.limits.records import ResourceAmount, fits_within
from sagecove.coordination.model import JobRun
from sagecove.coordination.precedence import fixed_precedence
from sagecove.protocol.peers import ShareRequest

# Polls after which a peer's requests and reports of completed claims expire.
PEER_REPORT_EXPIRY_POLLS = 3.0


class ShareRequests:
    """Share requests of shards held here and of others, and which peers acknowledged ours."""

    def __init__(self, poll_s: float, running_peers: Callable[[], list[str]]) -> None:
        self.poll_s = poll_s
        # Returns the other controllers that are running.
        self.running_peers = running_peers
        # By team and shard held here: the request and when it was last repeated; and when it was
        # first made, or last selected to be written.
        self.own: dict[tuple[str, str], tuple[ShareRequest, float]] = {}
        self.open_since: dict[tuple[str, str], float] = {}
        # By controller, or by the key of a transfer record: all requests and when they arrived.
        self.from_peers: dict[str, tuple[list[ShareRequest], float]] = {}
        # By peer, when it last acknowledged the requests of shards held here.
        self.acknowledged_at: dict[str, float] = {}
        # Whether requests have changed that were not sent to peers yet.
        self.has_unsent_changes = False

    def request(
        self,
        now: float,
        team: str,
        shard: str,
        job: JobRun,
        target: ResourceAmount,
        share: ResourceAmount,
    ) -> None:
        """Request that a shard's share, now `share`, becomes `target` for a job."""
        precedence = fixed_precedence(job)
        rank = (
            int(precedence[0]),
            int(precedence[1]),
            precedence[2],
            job.submitted_at,
            job.id,
        )
        request = ShareRequest(team, shard, rank, target)
        key = team, shard
        known = self.own.get(key)
        if (
            known is not None
            and now - known[1] < self.poll_s / 2
            and known[0].rank < request.rank
            and not fits_within(known[0].target, share)
        ):
            # A shard requests for the job that comes first until that job has what it needs.
            return
        if known is None:
            self.open_since[key] = now
        if (
            known is None
            or known[0].rank != request.rank
            or not fits_within(target, known[0].target)
        ):
            self.has_unsent_changes = True
        self.own[key] = request, now

    def receive(self, now: float, sender: str, requests: list[ShareRequest]) -> None:
        """Replace all requests of a peer.

        Earlier requests of the peer are void: a request that it no longer has would make shares go
        to and fro for nothing.
        """
        self.from_peers[sender] = requests, now

    def record_acknowledgement(self, now: float, node: str) -> None:
        """Note that a peer has received the requests of shards held here."""
        self.acknowledged_at[node] = now

    def shard_lost(self, shard: str) -> None:
        """Drop the requests of a shard that is no longer held here."""
        for key in [k for k in self.own if k[1] == shard]:
            del self.own[key], self.open_since[key]

    def drop_expired(self, now: float) -> None:
        """Drop requests that were not repeated in time."""
        for key in [k for k, (_, at) in self.own.items() if now - at > self.poll_s]:
            del self.own[key], self.open_since[key]
            self.has_unsent_changes = True
        for sender in [
            s
            for s, (_, at) in self.from_peers.items()
            if now - at > PEER_REPORT_EXPIRY_POLLS * self.poll_s
        ]:
            del self.from_peers[sender]

    def local_requests(self) -> list[ShareRequest]:
        """Return the requests of shards held here, to be sent to peers."""
        return [request for request, _ in self.own.values()]

    def by_team(self) -> dict[str, list[ShareRequest]]:
        """Return all requests by team."""
        found: dict[str, list[ShareRequest]] = {}
        for request in chain(
            self.local_requests(), *(requests for requests, _ in self.from_peers.values())
        ):
            found.setdefault(request.team, []).append(request)
        return found

    def requests_to_record(self, now: float) -> list[ShareRequest]:
        """Return requests to be written, as a running controller has not acknowledged them."""
        timeout_s = 2 * self.poll_s
        if not self.own or all(
            now - self.acknowledged_at.get(node, -1e9) <= timeout_s for node in self.running_peers()
        ):
            return []
        found = []
        for key, (request, _) in self.own.items():
            if now - self.open_since[key] > timeout_s:
                self.open_since[key] = now
                found.append(request)
        return found

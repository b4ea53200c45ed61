"""Requests to the state service: built here, sent by the transport, paced by the budgets.

Every outcome is one of four: done, conflict (a condition failed), refused (surely not executed)
and unknown (may have been executed, or may yet be).
"""

import enum
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from sagecove.protocol import state as wire
from sagecove.storage.budget import TokenBucket

log = logging.getLogger("sagecove.store")

# A transaction, who hears its outcome, its writes, and how often it was answered 429.
QueuedTransaction = tuple[wire.Transaction, "Callable[[Result], None]", int, int]

SendRequest = Callable[[str, str, Any, float, Callable[[int | None, bytes], None]], None]


class Outcome(enum.Enum):
    """What became of a transaction."""

    DONE = 1
    CONFLICT = 2
    REFUSED = 3
    UNKNOWN = 4
    NO_LEASE = 5


class Result(NamedTuple):
    """An outcome, with the revision of a success or the failed keys of a conflict."""

    outcome: Outcome
    revision: int = 0
    failed: tuple[str, ...] = ()


def decode_answer(body: bytes, kind: Any) -> Any:
    """A decoded answer, or None: garbage counts as no answer."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        log.info("unreadable answer kind=%s", kind.__name__)
        return None


class Store:
    """Paces and sends requests; `send(method, path, body, timeout, done)` emits one."""

    # Lengths of waits for an answer, as seen by a caller whose own users give up after 2 s or 5 s.
    READ_TIMEOUT_S = 1.3
    COMMIT_TIMEOUT_S = 2.5
    MAX_TRY_COUNT = 8

    def __init__(
        self, rps: float, write_rps: float, nodes: int, now: float, send: SendRequest
    ) -> None:
        # This controller's share of the limits; a little is left for what others do in bursts.
        share = 0.95 / nodes
        self.requests = TokenBucket(rps * share, rps * share, now)
        self.writes = TokenBucket(write_rps * share, write_rps * 0.5, now)
        # What others leave unused may be had: the share of writes grows while transactions wait
        # and the service takes them, and is back at the fair one with the first 429.
        self.fair_write_rate = write_rps * share
        self.max_write_rate = write_rps * min(0.6, 2.5 * share)
        self.write_rate_raised_at = now
        self.send = send
        self.waiting: deque[QueuedTransaction] = deque()
        # Users and leases wait for these: they go first, and without regard to this controller's
        # share, which the others owe then. All that holds them up is the service's own 429.
        self.urgent: deque[QueuedTransaction] = deque()
        self.hold_until = 0.0
        self.max_waiting = 400

    def commit(
        self,
        conditions: list[tuple[str, int]],
        changes: list[wire.Put | wire.Delete],
        done: Callable[[Result], None],
        *,
        urgent: bool = False,
    ) -> None:
        """Queue a transaction; `done` hears its outcome. `urgent` ones go first."""
        transaction = wire.Transaction([wire.Condition(k, s) for k, s in conditions], changes)
        entry = (transaction, done, len(changes), 0)
        if urgent:
            self.urgent.append(entry)
        elif len(self.waiting) >= self.max_waiting:
            done(Result(Outcome.REFUSED))
        else:
            self.waiting.append(entry)

    @property
    def queued(self) -> bool:
        """Transactions wait to be sent."""
        return bool(self.waiting or self.urgent)

    def writes_scarce(self, now: float) -> bool:
        """Writes are scarce: what can do without some should."""
        return (
            bool(self.urgent) or self.writes.seconds_until_available(now, self.writes.burst / 4) > 0
        )

    def flush(self, now: float) -> float | None:
        """Send what the budgets allow; seconds until more may be sent, None if nothing waits."""
        while self.queued:
            wait = self.hold_until - now
            if wait > 0:
                return wait
            if self.urgent:
                self._send(now, self.urgent.popleft(), self.urgent)
                continue
            wait = max(
                self.requests.seconds_until_available(now),
                self.writes.seconds_until_available(now, self.waiting[0][2]),
            )
            if wait > 0:
                if now - self.write_rate_raised_at > 0.25:
                    self.write_rate_raised_at = now
                    self.writes.rate = min(self.max_write_rate, 1.15 * self.writes.rate)
                return wait
            self._send(now, self.waiting.popleft(), self.waiting)
        return None

    def _send(self, now: float, entry: QueuedTransaction, queue: deque[QueuedTransaction]) -> None:
        transaction, done, writes, tries = entry
        self.requests.spend(now)
        self.writes.spend(now, writes)
        finish = _committed(done)

        def answered(status: int | None, body: bytes) -> None:
            # A 429 says that nothing was executed: the transaction waits for the next moment
            # with room rather than being given up, while its user's patience allows.
            if status == 429 and tries < self.MAX_TRY_COUNT:
                queue.appendleft((transaction, done, writes, tries + 1))
            else:
                finish(status, body)

        self.send("POST", "/commit", transaction, self.COMMIT_TIMEOUT_S, answered)

    def pause_after_throttling(self, now: float, pause: float) -> None:
        """The service answered 429: everybody's burst is spent, so pause (the caller jitters)."""
        self.hold_until = max(self.hold_until, now + pause)
        self.write_rate_raised_at = now + 1.0
        self.writes.rate = self.fair_write_rate

    def read(self, now: float, key: str, done: Callable[[int | None, bytes], None]) -> None:
        """Read one key."""
        self.requests.spend(now)
        self.send("GET", f"/store/{key}", None, self.READ_TIMEOUT_S, done)

    def read_page(
        self, now: float, prefix: str, after: str, done: Callable[[int | None, bytes], None]
    ) -> None:
        """Read a page of a prefix."""
        self.requests.spend(now)
        start = f"&from={after}" if after else ""
        self.send("GET", f"/store?prefix={prefix}{start}&most=500", None, 3.0, done)

    def watch(
        self,
        now: float,
        prefix: str,
        since: int,
        wait_s: float,
        done: Callable[[int | None, bytes], None],
    ) -> None:
        """Wait for changes after a revision; with `wait_s` 0 a linearizable read of the changes."""
        self.requests.spend(now)
        path = f"/watch?prefix={prefix}&from={since}&blockMs={round(wait_s * 1000)}"
        self.send("GET", path, None, wait_s + (self.READ_TIMEOUT_S if not wait_s else 10.0), done)

    def grant_lease(
        self, now: float, ttl_s: float, done: Callable[[int | None, bytes], None]
    ) -> None:
        """Ask for a lease."""
        self.requests.spend(now)
        self.send("POST", "/grants", wire.Grant(round(ttl_s * 1000)), self.READ_TIMEOUT_S, done)

    def renew_lease(
        self, now: float, lease: int, done: Callable[[int | None, bytes], None]
    ) -> None:
        """Renew a lease."""
        self.requests.spend(now)
        self.send("POST", f"/grants/{lease}/renew", None, self.READ_TIMEOUT_S, done)


def _committed(done: Callable[[Result], None]) -> Callable[[int | None, bytes], None]:
    def answered(status: int | None, body: bytes) -> None:
        if status == 200:
            revision = decode_answer(body, wire.Revision)
            done(Result(Outcome.DONE, revision.revision) if revision else Result(Outcome.UNKNOWN))
        elif status == 409:
            conflict = decode_answer(body, wire.Conflict)
            failed = tuple(conflict.failed) if conflict else ()
            done(Result(Outcome.CONFLICT, conflict.revision if conflict else 0, failed))
        elif status in (429, 503, 0):
            done(Result(Outcome.REFUSED))
        elif status == 400:
            log.info("transaction refused body=%s", body[:200])
            done(Result(Outcome.NO_LEASE))
        else:
            done(Result(Outcome.UNKNOWN))

    return answered

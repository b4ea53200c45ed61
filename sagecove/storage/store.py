"""Builds requests to the state service and limits their rate; the transport sends them.

A transaction ends in one of these outcomes: done, conflict (a condition failed), refused (surely
not executed), unknown (possibly executed, now or later) and no lease (answered with 400).
"""

import enum
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from sagecove.protocol import state as wire
from sagecove.protocol.decoding import MalformedMessage, decode_message
from sagecove.storage.budget import TokenBucket

log = logging.getLogger("sagecove.store")

# A transaction, the callback for its outcome, its number of writes, and how often the service has
# answered it with 429.
QueuedTransaction = tuple[wire.Transaction, "Callable[[Result], None]", int, int]

SendRequest = Callable[[str, str, Any, float, Callable[[int | None, bytes], None]], None]


class Outcome(enum.Enum):
    """The outcome of a transaction."""

    DONE = 1
    CONFLICT = 2
    REFUSED = 3
    UNKNOWN = 4
    NO_LEASE = 5


class Result(NamedTuple):
    """An outcome with the revision of a success, or the failed keys of a conflict."""

    outcome: Outcome
    revision: int = 0
    failed: tuple[str, ...] = ()


def decode_answer(body: bytes, answer_type: Any) -> Any:
    """Decode an answer; return None if it is invalid, which counts as no answer."""
    try:
        return decode_message(body, answer_type)
    except MalformedMessage as error:
        log.info("unreadable answer kind=%s why=%s", answer_type.__name__, error)
        return None


class Store:
    """Paces requests to the state service and sends them.

    `send(method, path, body, timeout, done)` sends one request.
    """

    # Timeouts of requests; the users that wait for this controller give up after 2 s or 5 s.
    READ_TIMEOUT_S = 1.3
    COMMIT_TIMEOUT_S = 2.5
    MAX_TRY_COUNT = 8

    def __init__(
        self, rps: float, write_rps: float, nodes: int, now: float, send: SendRequest
    ) -> None:
        # The share of the limits for this controller; 5% are left for bursts of the others.
        share = 0.95 / nodes
        self.requests = TokenBucket(rps * share, rps * share, now)
        self.writes = TokenBucket(write_rps * share, write_rps * 0.5, now)
        # Writes that other controllers leave unused may be used: the write rate grows while
        # transactions wait and the service accepts them, and falls back to the fair share with
        # the first 429.
        self.fair_write_rate = write_rps * share
        self.max_write_rate = write_rps * min(0.6, 2.5 * share)
        self.write_rate_raised_at = now
        self.send = send
        self.waiting: deque[QueuedTransaction] = deque()
        # Users and leases wait for these transactions. They are sent first and without regard to
        # this controller's share, which goes into debt and delays the other transactions. Only
        # a 429 of the service holds them back.
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
        """Queue a transaction and pass its outcome to `done`; `urgent` ones are sent first."""
        transaction = wire.Transaction(
            [wire.Condition(key, revision) for key, revision in conditions], changes
        )
        entry = (transaction, done, len(changes), 0)
        if urgent:
            self.urgent.append(entry)
        elif len(self.waiting) >= self.max_waiting:
            done(Result(Outcome.REFUSED))
        else:
            self.waiting.append(entry)

    @property
    def queued(self) -> bool:
        """Return whether transactions wait to be sent."""
        return bool(self.waiting or self.urgent)

    def writes_scarce(self, now: float) -> bool:
        """Return whether writes are scarce, so that optional ones should be left out."""
        return (
            bool(self.urgent) or self.writes.seconds_until_available(now, self.writes.burst / 4) > 0
        )

    def flush(self, now: float) -> float | None:
        """Send the transactions that the budgets allow.

        Returns the seconds until more may be sent, or None if no transaction waits.
        """
        while self.queued:
            wait_s = self.hold_until - now
            if wait_s > 0:
                return wait_s
            if self.urgent:
                self._send(now, self.urgent.popleft(), self.urgent)
                continue
            wait_s = max(
                self.requests.seconds_until_available(now),
                self.writes.seconds_until_available(now, self.waiting[0][2]),
            )
            if wait_s > 0:
                if now - self.write_rate_raised_at > 0.25:
                    self.write_rate_raised_at = now
                    self.writes.rate = min(self.max_write_rate, 1.15 * self.writes.rate)
                return wait_s
            self._send(now, self.waiting.popleft(), self.waiting)
        return None

    def _send(self, now: float, entry: QueuedTransaction, queue: deque[QueuedTransaction]) -> None:
        transaction, done, writes, tries = entry
        self.requests.spend(now)
        self.writes.spend(now, writes)
        finish = _transaction_callback(done)

        def on_answer(status: int | None, body: bytes) -> None:
            # A 429 means that nothing was executed. The transaction is queued again instead of
            # being given up, but only a limited number of times, as its user stops waiting.
            if status == 429 and tries < self.MAX_TRY_COUNT:
                queue.appendleft((transaction, done, writes, tries + 1))
            else:
                finish(status, body)

        self.send("POST", "/commit", transaction, self.COMMIT_TIMEOUT_S, on_answer)

    def pause_after_throttling(self, now: float, pause_s: float) -> None:
        """Pause after a 429, which means that the shared burst is spent; the caller adds jitter."""
        self.hold_until = max(self.hold_until, now + pause_s)
        self.write_rate_raised_at = now + 1.0
        self.writes.rate = self.fair_write_rate

    def read(self, now: float, key: str, done: Callable[[int | None, bytes], None]) -> None:
        """Read one key."""
        self.requests.spend(now)
        self.send("GET", f"/store/{key}", None, self.READ_TIMEOUT_S, done)

    def read_page(
        self, now: float, prefix: str, after: str, done: Callable[[int | None, bytes], None]
    ) -> None:
        """Read a page of the keys with a prefix, beginning after the key `after`."""
        self.requests.spend(now)
        start_parameter = f"&from={after}" if after else ""
        self.send("GET", f"/store?prefix={prefix}{start_parameter}&most=500", None, 3.0, done)

    def watch(
        self,
        now: float,
        prefix: str,
        since: int,
        wait_s: float,
        done: Callable[[int | None, bytes], None],
    ) -> None:
        """Wait for changes after a revision; `wait_s` 0 makes it a linearizable read of them."""
        self.requests.spend(now)
        path = f"/watch?prefix={prefix}&from={since}&blockMs={round(wait_s * 1000)}"
        self.send("GET", path, None, wait_s + (self.READ_TIMEOUT_S if not wait_s else 10.0), done)

    def grant_lease(
        self, now: float, ttl_s: float, done: Callable[[int | None, bytes], None]
    ) -> None:
        """Request a lease."""
        self.requests.spend(now)
        self.send("POST", "/grants", wire.Grant(round(ttl_s * 1000)), self.READ_TIMEOUT_S, done)

    def renew_lease(
        self, now: float, lease: int, done: Callable[[int | None, bytes], None]
    ) -> None:
        """Renew a lease."""
        self.requests.spend(now)
        self.send("POST", f"/grants/{lease}/renew", None, self.READ_TIMEOUT_S, done)


def _transaction_callback(done: Callable[[Result], None]) -> Callable[[int | None, bytes], None]:
    def on_answer(status: int | None, body: bytes) -> None:
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

    return on_answer

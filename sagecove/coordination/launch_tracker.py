"""Tracks the launch commands that may still reach a worker.

A worker that was told to reap an attempt no longer knows it: one more launch of the same attempt
would start the task again. So an attempt is reaped, and a task that no report shows is taken for
gone, only when no launch of it is under way.

Launches travel in answers to reports only. A worker drops an answer some time after it sent the
report, and it has one report in flight at a time. So a launch is under way until the worker has
sent a later report, until that time is over, or until it has shown a later session. The same holds
for reports that another controller relays. A direct command carries no launch: the network may
deliver it minutes later, or once more after it was executed, and a restarted worker obeys any.
"""

from __future__ import annotations

import dataclasses

from sagecove.config import WORKER_ANSWER_TIMEOUT_S

# (task, attempt)
Launch = tuple[str, int]

# Added to the time after which a worker drops an answer: its clock may be slow, its timer late.
ANSWER_EXPIRY_MARGIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredLaunch:
    """A launch in the answer to report `seq`, which the worker drops after `expires_at`."""

    seq: int
    expires_at: float


class LaunchTracker:
    """The launches under way to one worker in its present session, under the present holder."""

    __slots__ = ("_answered",)

    def __init__(self) -> None:
        self._answered: dict[Launch, AnsweredLaunch] = {}

    def may_arrive(self, launch: Launch, now: float) -> bool:
        """Return whether the worker may yet receive and execute a launch of this attempt."""
        answered = self._answered.get(launch)
        return answered is not None and now < answered.expires_at

    def note_answer(self, launch: Launch, seq: int, now: float) -> None:
        """Record that a launch is being sent in the answer to report `seq`, received by `now`."""
        earlier = self._answered.get(launch)
        if earlier is not None:
            # An older report can arrive after a newer one, whose answer may still be under way.
            seq = max(seq, earlier.seq)
        expires_at = now + WORKER_ANSWER_TIMEOUT_S + ANSWER_EXPIRY_MARGIN_S
        self._answered[launch] = AnsweredLaunch(seq, expires_at)

    def note_report(self, seq: int) -> None:
        """Record a report that waits for an answer: the worker has taken or dropped the answers to
        those it sent before."""
        if self._answered:
            self._answered = {
                launch: sent for launch, sent in self._answered.items() if sent.seq >= seq
            }

    def note_restart(self) -> None:
        """Record that the worker has restarted: answers to its earlier reports are lost."""
        self._answered.clear()

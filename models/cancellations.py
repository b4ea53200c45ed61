"""Promises and confirmed cancellations as an explicit-state model: every order of steps is tried.

A leader that may be refused at any time, two givers of promises, one job with a task on a worker
that the leader answers, the state service as a single fact: the cancellation is durable, or its
transaction is still under way. Reads happen or do not, so that every refusal, outage and cut is
among the histories; messages arrive late or never; a giver ends between any two steps and comes
back.

Time goes in ticks, in which nothing has to happen. The invariant: from the moment a user is told,
the task is gone within one length (of a lease, or of a promise) and one lease of the worker.
`Mistake` names ways to get it wrong that the search must find.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

# In ticks: a controller's lease and a promise; a worker's lease.
LENGTH = 2
WORKER = 2
# The last answer comes before the tick in which the leader stops.
MOST = LENGTH + WORKER - 1


class Mistake(enum.Enum):
    """What an implementation could get wrong."""

    NONE = 0
    # Who reads of a cancellation, and tells its user, does not name it with its promises.
    READ_UNNAMED = 1
    # A giver that has come back does not say that it cannot name what was told before.
    NO_FLOOR = 2
    # A giver that has come back promises before it has read.
    UNREAD = 3
    # The leader counts a promise from when it arrives.
    DATED_LATE = 4
    # The leader counts a promise and goes on with what it names.
    NOT_STOPPED = 5
    # The leader does not compare the floor with what it has read.
    FLOOR_IGNORED = 6
    # A name that the leader has been told is forgotten with the promise that brought it.
    LIFTED = 7


class Giver(NamedTuple):
    """`up`: it has read since it came back. `named`: it would name the cancellation. `floor`: only
    who has read it is covered. `counted`: ticks since the hint that brought the leader its promise
    was sent, `LENGTH` for none."""

    up: bool = True
    named: bool = False
    floor: bool = False
    counted: int = LENGTH


class Message(NamedTuple):
    """Between the leader and a giver. `read`: the hint says that the leader has read it. `age`:
    since the hint was sent. A reply names the cancellation, or has a floor above it."""

    giver: int
    reply: bool
    read: bool
    age: int
    named: bool = False
    floor: bool = False


class State(NamedTuple):
    """`durable`: 0 not cancelled, 1 under way, 2 cancelled. `told`: ticks since a user was told, -1
    before. `age`: since the leader last read, `LENGTH` when that is over. `read`, `stopped`: the
    leader has read of it, has been told by a peer. `lease`: ticks that the worker has left."""

    durable: int = 0
    told: int = -1
    age: int = 0
    read: bool = False
    stopped: bool = False
    lease: int = WORKER
    givers: tuple[Giver, Giver] = (Giver(), Giver())
    messages: tuple[Message, ...] = ()


class Broken(Exception):
    """The invariant does not hold."""


class Model:
    """`messages`: so many are under way at a time. `ends`: givers may end."""

    def __init__(
        self, mistake: Mistake = Mistake.NONE, messages: int = 1, ends: bool = True
    ) -> None:
        self.mistake = mistake
        self.messages = messages
        self.ends = ends

    def search(self) -> int:
        """Try everything; how many states there are. `Broken` with the first that breaks it."""
        seen = {State()}
        left = deque(seen)
        while left:
            state = left.popleft()
            if state.lease and state.told >= MOST:
                raise Broken(state)
            for after in self.steps(state):
                if after not in seen:
                    seen.add(after)
                    left.append(after)
        return len(seen)

    def acting(self, state: State) -> bool:
        """The leader may act: by its lease, or by promises of all."""
        return state.age < LENGTH or all(g.counted < LENGTH for g in state.givers)

    def steps(self, state: State) -> Iterator[State]:
        """All that may happen next."""
        yield self._tick(state)
        if state.durable == 0:
            yield state._replace(durable=1)
        if state.durable == 1:
            # With its answer or without one, at once or late: who tells a user does so below.
            yield state._replace(durable=2)
        cancelled = state.durable == 2
        # The leader reads; its own lease is alive for as long as that is answered.
        yield state._replace(age=0, read=cancelled, stopped=state.stopped and not cancelled)
        if self.acting(state) and state.lease:
            # The worker reports; its answer stops the task if the leader knows.
            knows = state.read or state.stopped
            yield state._replace(lease=0 if knows else WORKER)
        for n, giver in enumerate(state.givers):
            yield from self._giver(state, n, giver, cancelled)
        for message in state.messages:
            rest = tuple(m for m in state.messages if m is not message)
            yield state._replace(messages=rest)
            yield from self._arrived(state._replace(messages=rest), message)

    def _giver(self, state: State, n: int, giver: Giver, cancelled: bool) -> Iterator[State]:
        # It ends, and is back before it has read.
        if self.ends:
            yield _with(state, n, giver._replace(up=False, named=False, floor=False))
        if not giver.up:
            floor = cancelled and self.mistake is not Mistake.NO_FLOOR
            yield _with(state, n, giver._replace(up=True, floor=floor))
        elif cancelled:
            # It reads, or has the answer to its own transaction, and tells the user.
            named = giver.named or self.mistake is not Mistake.READ_UNNAMED
            told = max(state.told, 0)
            yield _with(state._replace(told=told), n, giver._replace(named=named))
        if len(state.messages) < self.messages and not any(m.giver == n for m in state.messages):
            hint = Message(n, False, state.read, 0)
            yield state._replace(messages=(*state.messages, hint))

    def _arrived(self, state: State, message: Message) -> Iterator[State]:
        giver = state.givers[message.giver]
        if not message.reply:
            if giver.up or self.mistake is Mistake.UNREAD:
                named = giver.named and not message.read
                reply = message._replace(reply=True, named=named, floor=giver.floor)
                yield state._replace(messages=(*state.messages, reply))
            return
        if message.named and not state.read and self.mistake is not Mistake.NOT_STOPPED:
            state = state._replace(stopped=True)
        covered = state.read or not message.floor or self.mistake is Mistake.FLOOR_IGNORED
        counted = LENGTH
        if covered and self.acting(state):
            counted = 0 if self.mistake is Mistake.DATED_LATE else message.age
        if self.mistake is Mistake.LIFTED and not message.named:
            state = state._replace(stopped=False)
        yield _with(state, message.giver, giver._replace(counted=counted))

    def _tick(self, state: State) -> State:
        givers = tuple(g._replace(counted=min(LENGTH, g.counted + 1)) for g in state.givers)
        aged = (m._replace(age=m.age + 1) for m in state.messages)
        return state._replace(
            told=state.told + 1 if 0 <= state.told < MOST else state.told,
            age=min(LENGTH, state.age + 1),
            lease=max(0, state.lease - 1),
            givers=givers,
            # The leader waits for no answer for longer.
            messages=tuple(
                m
                for m in aged
                if m.age < LENGTH or self.mistake is Mistake.DATED_LATE and m.age < 2 * LENGTH
            ),
        )


def _with(state: State, n: int, giver: Giver) -> State:
    givers = (giver, state.givers[1]) if n == 0 else (state.givers[0], giver)
    return state._replace(givers=givers)

"""Explicit-state model of promises and confirmed cancellations, searched exhaustively.

The model has a leader that may be refused at any time, two peers that give promises, and one job
with a task on a worker that reports to the leader. The state service is reduced to one fact: the
cancellation is durable, or its transaction is still in flight. A read may or may not happen, so
that every refusal, outage and network partition is covered. Messages arrive late or never. A peer
may end between any two steps and restart.

Time advances in ticks, in which nothing has to happen. The invariant: after a user has received the
confirmation, the task is gone within one length (of a lease or promise) plus one lease of the
worker. `Mistake` lists implementation mistakes that the search must find.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

# A controller's lease and a promise have the same length.
LEASE_TICKS = 2
WORKER_LEASE_TICKS = 2
# The leader's last answer to the worker comes before the tick in which the leader stops.
MAX_CONFIRMED_TICKS = LEASE_TICKS + WORKER_LEASE_TICKS - 1


class Mistake(enum.Enum):
    """Mistakes that an implementation could make."""

    NONE = 0
    # A peer that reads a cancellation and confirms it to a user does not name it in its promises.
    READ_NOT_NAMED = 1
    # A restarted peer does not say that it cannot name cancellations confirmed before its restart.
    NO_FLOOR = 2
    # A restarted peer gives promises before it has read the state.
    PROMISE_BEFORE_READ = 3
    # The leader counts a promise from its arrival instead of from the sending of the hint.
    COUNTED_FROM_ARRIVAL = 4
    # The leader counts a promise but does not stop the job that it names.
    NAMED_NOT_STOPPED = 5
    # The leader does not compare the floor with what it has read.
    FLOOR_IGNORED = 6
    # The leader forgets a named cancellation as soon as a later promise does not name it.
    STOP_FORGOTTEN = 7


class Peer(NamedTuple):
    """A peer that gives promises.

    `up`: it has read the state since its restart. `names_it`: it names the cancellation in its
    promises. `floor`: its promises cover only a leader that has read the cancellation.
    `promise_age`: ticks since the leader sent the hint that the peer's promise answers;
    `LEASE_TICKS` means no promise.
    """

    up: bool = True
    names_it: bool = False
    floor: bool = False
    promise_age: int = LEASE_TICKS


class Message(NamedTuple):
    """A hint of the leader to a peer, or the reply.

    `read`: the hint says that the leader has read the cancellation. `age`: ticks since the hint was
    sent. A reply may name the cancellation (`names_it`) or have a floor above it (`floor`).
    """

    peer: int
    reply: bool
    read: bool
    age: int
    names_it: bool = False
    floor: bool = False


class State(NamedTuple):
    """A state of the whole system.

    `durable`: 0 not cancelled, 1 transaction in flight, 2 cancelled. `confirmed_age`: ticks since
    the cancellation was confirmed to a user, -1 before that. `read_age`: ticks since the leader
    last read, at most `LEASE_TICKS`, when its lease has ended. `read`: the leader has read the
    cancellation. `stopped`: a peer has named it to the leader. `worker_lease`: ticks left of the
    worker's lease.
    """

    durable: int = 0
    confirmed_age: int = -1
    read_age: int = 0
    read: bool = False
    stopped: bool = False
    worker_lease: int = WORKER_LEASE_TICKS
    peers: tuple[Peer, Peer] = (Peer(), Peer())
    messages: tuple[Message, ...] = ()


class InvariantViolation(Exception):
    """Raised with the state that violates the invariant."""


class Model:
    """The model with its bounds.

    `max_messages`: messages that may be in flight at a time. `peers_end`: peers may end.
    """

    def __init__(
        self, mistake: Mistake = Mistake.NONE, max_messages: int = 1, peers_end: bool = True
    ) -> None:
        self.mistake = mistake
        self.max_messages = max_messages
        self.peers_end = peers_end

    def search(self) -> int:
        """Visit all reachable states and return their number.

        Raises `InvariantViolation` with the first state that violates the invariant.
        """
        seen = {State()}
        queue = deque(seen)
        while queue:
            state = queue.popleft()
            if state.worker_lease and state.confirmed_age >= MAX_CONFIRMED_TICKS:
                raise InvariantViolation(state)
            for next_state in self.steps(state):
                if next_state not in seen:
                    seen.add(next_state)
                    queue.append(next_state)
        return len(seen)

    def may_act(self, state: State) -> bool:
        """Return whether the leader may act, by its own lease or by promises of all peers."""
        return state.read_age < LEASE_TICKS or all(
            peer.promise_age < LEASE_TICKS for peer in state.peers
        )

    def steps(self, state: State) -> Iterator[State]:
        """Yield all states that may come next."""
        yield self._tick(state)
        if state.durable == 0:
            yield state._replace(durable=1)
        if state.durable == 1:
            # The transaction is executed, at once or late, with or without an answer. Confirmation
            # to a user is a separate step of the peers.
            yield state._replace(durable=2)
        cancelled = state.durable == 2
        # The leader reads. Its lease stays alive as long as its reads are answered.
        yield state._replace(read_age=0, read=cancelled, stopped=state.stopped and not cancelled)
        if self.may_act(state) and state.worker_lease:
            # The worker reports. The answer stops the task if the leader knows of the cancellation.
            knows = state.read or state.stopped
            yield state._replace(worker_lease=0 if knows else WORKER_LEASE_TICKS)
        for peer_index, peer in enumerate(state.peers):
            yield from self._peer_steps(state, peer_index, peer, cancelled)
        for message in state.messages:
            remaining = tuple(m for m in state.messages if m is not message)
            yield state._replace(messages=remaining)
            yield from self._deliver(state._replace(messages=remaining), message)

    def _peer_steps(
        self, state: State, peer_index: int, peer: Peer, cancelled: bool
    ) -> Iterator[State]:
        # The peer ends and restarts, and has not read the state yet.
        if self.peers_end:
            yield _with_peer(
                state, peer_index, peer._replace(up=False, names_it=False, floor=False)
            )
        if not peer.up:
            floor = cancelled and self.mistake is not Mistake.NO_FLOOR
            yield _with_peer(state, peer_index, peer._replace(up=True, floor=floor))
        elif cancelled:
            # The peer reads the cancellation, or gets the answer to its own transaction, and
            # confirms it to the user.
            names_it = peer.names_it or self.mistake is not Mistake.READ_NOT_NAMED
            confirmed_age = max(state.confirmed_age, 0)
            yield _with_peer(
                state._replace(confirmed_age=confirmed_age),
                peer_index,
                peer._replace(names_it=names_it),
            )
        if len(state.messages) < self.max_messages and not any(
            m.peer == peer_index for m in state.messages
        ):
            hint = Message(peer_index, False, state.read, 0)
            yield state._replace(messages=(*state.messages, hint))

    def _deliver(self, state: State, message: Message) -> Iterator[State]:
        peer = state.peers[message.peer]
        if not message.reply:
            if peer.up or self.mistake is Mistake.PROMISE_BEFORE_READ:
                names_it = peer.names_it and not message.read
                reply = message._replace(reply=True, names_it=names_it, floor=peer.floor)
                yield state._replace(messages=(*state.messages, reply))
            return
        if message.names_it and not state.read and self.mistake is not Mistake.NAMED_NOT_STOPPED:
            state = state._replace(stopped=True)
        covered = state.read or not message.floor or self.mistake is Mistake.FLOOR_IGNORED
        promise_age = LEASE_TICKS
        if covered and self.may_act(state):
            promise_age = 0 if self.mistake is Mistake.COUNTED_FROM_ARRIVAL else message.age
        if self.mistake is Mistake.STOP_FORGOTTEN and not message.names_it:
            state = state._replace(stopped=False)
        yield _with_peer(state, message.peer, peer._replace(promise_age=promise_age))

    def _tick(self, state: State) -> State:
        peers = tuple(
            peer._replace(promise_age=min(LEASE_TICKS, peer.promise_age + 1))
            for peer in state.peers
        )
        aged = (m._replace(age=m.age + 1) for m in state.messages)
        return state._replace(
            confirmed_age=state.confirmed_age + 1
            if 0 <= state.confirmed_age < MAX_CONFIRMED_TICKS
            else state.confirmed_age,
            read_age=min(LEASE_TICKS, state.read_age + 1),
            worker_lease=max(0, state.worker_lease - 1),
            peers=peers,
            # The leader does not wait longer than this for an answer.
            messages=tuple(
                m
                for m in aged
                if m.age < LEASE_TICKS
                or self.mistake is Mistake.COUNTED_FROM_ARRIVAL
                and m.age < 2 * LEASE_TICKS
            ),
        )


def _with_peer(state: State, peer_index: int, peer: Peer) -> State:
    peers = (peer, state.peers[1]) if peer_index == 0 else (state.peers[0], peer)
    return state._replace(peers=peers)

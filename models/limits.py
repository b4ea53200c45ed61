"""The protocol of shares as an explicit-state model: every order of a few steps is tried.

The arithmetic is the real one (`limits.account`); what is modelled is the world around it: a store
with conditional transactions that may be executed late, without an answer, or not at all;
controllers whose mirrors lag; holders that die at any point and are replaced; settings that change
controller by controller. One team, CPUs in whole units: teams share no record, so that two of them
are two models side by side. `Mistake` names ways to get it wrong that the search must find.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from functools import lru_cache
from random import Random
from typing import NamedTuple

from sagecove.coordination.limits.account import Account
from sagecove.coordination.limits.records import ZERO, LimitSplit, ResourceAmount, ShardTransfers


class Mistake(enum.Enum):
    """What an implementation could get wrong."""

    NONE = 0
    # Transactions are not conditional on the term.
    NO_TERM = 1
    # A giver goes on using what it gives until it is told that the gift is durable.
    NOT_BOUND = 2
    # A successor acts before it has read all up to its term.
    STALE_SUCCESSOR = 3
    # A shard goes over to a new split while it uses more than its part.
    EARLY_ACCEPT = 4
    # A shard that has gone over grows at once, before the others have.
    EARLY_GROWTH = 5
    # A row may be written over one that has changed.
    NO_STAMP = 6


class Flight(NamedTuple):
    """A transaction on its way: by whom, under which term of its shard, on which revision."""

    node: int
    shard: int
    term: int
    key: str
    stamp: int
    value: tuple[object, ...]


class Node(NamedTuple):
    """A controller: what it has read, what it holds (shard to term), its settings' limit, and rows
    that it has decided on and not seen durable (shard, value, stamp)."""

    up: bool
    seen: int
    held: tuple[tuple[int, int], ...]
    limit: int
    pending: tuple[tuple[int, tuple[object, ...], int], ...]


class State(NamedTuple):
    """The world. `log`: all changes, (key, value); the revision is the place, from 1."""

    log: tuple[tuple[str, tuple[object, ...]], ...]
    nodes: tuple[Node, ...]
    used: tuple[int, ...]
    flights: tuple[Flight, ...]


class Bounds(NamedTuple):
    """How far the search goes."""

    log: int = 6
    flights: int = 2
    deaths: int = 1


class Broken(Exception):
    """An invariant does not hold."""


def _amount(units: int) -> ResourceAmount:
    return units, 0


def _settlement(value: tuple[object, ...]) -> LimitSplit:
    limit, shards, before, earlier = value
    return LimitSplit(
        _amount(limit),  # type: ignore[arg-type]
        {name: _amount(n) for name, n in shards},  # type: ignore[attr-defined]
        before,  # type: ignore[arg-type]
        {name: _amount(n) for name, n in earlier},  # type: ignore[attr-defined]
    )


def _row(value: tuple[object, ...]) -> ShardTransfers:
    epoch, given, hold = value
    return ShardTransfers(
        epoch,  # type: ignore[arg-type]
        {name: _amount(n) for name, n in given},  # type: ignore[attr-defined]
        None if hold is None else _amount(hold),  # type: ignore[arg-type]
    )


def _packed(row: ShardTransfers) -> tuple[object, ...]:
    given = tuple(sorted((name, amount[0]) for name, amount in row.given.items()))
    return row.epoch, given, None if row.hold is None else row.hold[0]


@lru_cache(maxsize=200_000)
def _account(
    changes: tuple[tuple[int, str, tuple[object, ...]], ...],
    pending: tuple[tuple[int, tuple[object, ...], int], ...],
) -> Account:
    account = Account()
    for revision, key, value in changes:
        if key == "q":
            account.settlement, account.epoch = _settlement(value), revision
        elif key[0] == "r":
            account.rows[key[1:]] = _row(value)
    for shard, value, _ in pending:
        account.pending[str(shard)] = _row(value)
    return account


class Model:
    """States and steps."""

    def __init__(
        self,
        shards: int,
        limits: list[list[int]],
        mistake: Mistake = Mistake.NONE,
        bounds: Bounds | None = None,
    ) -> None:
        """`limits`: for each controller the limits of its settings, in order; it takes the next one
        when it is restarted."""
        self.shards = shards
        self.limits = limits
        self.mistake = mistake
        self.bounds = bounds or Bounds()

    def start(self) -> State:
        """Each shard is held by its namesake, and the limit is split in equal parts."""
        log: list[tuple[str, tuple[object, ...]]] = [
            (f"h{shard}", (shard % len(self.limits),)) for shard in range(self.shards)
        ]
        limit = min(steps[0] for steps in self.limits)
        parts = [limit // self.shards] * self.shards
        parts[0] += limit - sum(parts)
        split = tuple((str(shard), n) for shard, n in enumerate(parts))
        log.append(("q", (limit, split, 0, ())))
        nodes = tuple(
            Node(
                True,
                len(log),
                tuple((s, s + 1) for s in range(self.shards) if s % len(self.limits) == n),
                steps[0],
                (),
            )
            for n, steps in enumerate(self.limits)
        )
        return State(tuple(log), nodes, (0,) * self.shards, ())

    # -- reading ----------------------------------------------------------------------------------

    @staticmethod
    def store(state: State) -> dict[str, tuple[int, tuple[object, ...]]]:
        """Keys with their revisions and values."""
        return {key: (at + 1, value) for at, (key, value) in enumerate(state.log)}

    @staticmethod
    def view(state: State, upto: int) -> tuple[tuple[int, str, tuple[object, ...]], ...]:
        """What a mirror that has read so far knows."""
        last: dict[str, tuple[int, str, tuple[object, ...]]] = {}
        for at, (key, value) in enumerate(state.log[:upto]):
            if key[0] != "h":
                last[key] = (at + 1, key, value)
        return tuple(sorted(last.values()))

    def account(self, state: State, node: Node) -> Account:
        """The account as a controller knows it."""
        pending = () if self.mistake is Mistake.NOT_BOUND else node.pending
        return _account(self.view(state, node.seen), pending)

    def share(self, account: Account, shard: int) -> int:
        """What a holder may let run."""
        q = account.settlement
        row = account.rows.get(str(shard))
        accepted = row is not None and row.epoch == account.epoch
        if self.mistake is Mistake.EARLY_GROWTH and q is not None and accepted:
            return account.share(str(shard))[0] if account.settled else q.shards[str(shard)][0]
        return account.share(str(shard))[0]

    def check(self, state: State) -> None:
        """Nothing is used beyond the limit; while a split is gone over to, beyond the limit before:
        a lower one is being reached, a higher one not yet used."""
        truth = _account(self.view(state, len(state.log)), ())
        q = truth.settlement
        assert q is not None
        most = q.limit[0]
        if not truth.settled:
            most = sum(amount[0] for amount in q.earlier.values())
        if sum(state.used) > most:
            raise Broken(f"{sum(state.used)} of {most} used: {state}")

    # -- steps ------------------------------------------------------------------------------------

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """All that may happen next."""
        for n, node in enumerate(state.nodes):
            if node.up:
                yield from self._acts(state, n, node)
            yield from self._lives(state, n, node)
        for at, flight in enumerate(state.flights):
            rest = state.flights[:at] + state.flights[at + 1 :]
            yield f"lost {flight.key}", state._replace(flights=rest)
            yield from self._executed(state, flight, rest)
        for shard, used in enumerate(state.used):
            if used:
                yield f"end {shard}", self._use(state, shard, -1)

    @staticmethod
    def _use(state: State, shard: int, more: int) -> State:
        used = list(state.used)
        used[shard] += more
        return state._replace(used=tuple(used))

    @staticmethod
    def _node(state: State, n: int, node: Node) -> State:
        nodes = list(state.nodes)
        nodes[n] = node
        return state._replace(nodes=tuple(nodes))

    def _acts(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        account = self.account(state, node)
        q = account.settlement
        if q is None:
            return
        for shard, term in node.held:
            if node.seen < term and self.mistake is not Mistake.STALE_SUCCESSOR:
                continue
            used = state.used[shard]
            share = self.share(account, shard)
            if used < share and q.limit[0] <= node.limit:
                yield f"start {shard}", self._use(state, shard, 1)
            busy = any(p[0] == shard for p in node.pending)
            if busy or len(state.flights) >= self.bounds.flights:
                continue
            if account.settled and used < share:
                for other in range(self.shards):
                    if other != shard:
                        row = account.giving(str(shard), {str(other): _amount(1)})
                        yield f"give {shard}>{other}", self._send(state, n, shard, term, row)
            seen = ZERO if self.mistake is Mistake.EARLY_ACCEPT else _amount(used)
            accepted = account.accepting(str(shard), seen)
            if accepted is not None:
                yield f"accept {shard}", self._send(state, n, shard, term, accepted)
            target = self._target(state, node)
            if account.settled and target != q.limit[0]:
                claimed = {str(s): _amount(u) for s, u in enumerate(state.used)}
                new = account.resettled(_amount(target), claimed, [*map(str, range(self.shards))])
                value = (
                    target,
                    tuple((s, a[0]) for s, a in sorted(new.shards.items())),
                    new.before,
                    tuple((s, a[0]) for s, a in sorted(new.earlier.items())),
                )
                flight = Flight(n, shard, term, "q", account.epoch, value)
                if flight not in state.flights:
                    flights = (*state.flights, flight)
                    yield f"propose {target}", state._replace(flights=flights)

    @staticmethod
    def _target(state: State, node: Node) -> int:
        others = [other.limit for other in state.nodes if other.up]
        return min([node.limit, *others])

    def _send(self, state: State, n: int, shard: int, term: int, row: ShardTransfers) -> State:
        node = state.nodes[n]
        key = f"r{shard}"
        known = {k: at for at, k, _ in self.view(state, node.seen)}
        value = _packed(row)
        stamp = known.get(key, 0)
        pending = (*node.pending, (shard, value, stamp))
        state = self._node(state, n, node._replace(pending=pending))
        flight = Flight(n, shard, term, key, stamp, value)
        return state._replace(flights=(*state.flights, flight))

    def _executed(
        self, state: State, flight: Flight, rest: tuple[Flight, ...]
    ) -> Iterator[tuple[str, State]]:
        store = self.store(state)
        held = store[f"h{flight.shard}"][0] == flight.term or self.mistake is Mistake.NO_TERM
        stamp = store[flight.key][0] if flight.key in store else 0
        same = stamp == flight.stamp or (self.mistake is Mistake.NO_STAMP and flight.key != "q")
        if not held or not same or len(state.log) >= self.bounds.log + self.shards + 1:
            return
        log = (*state.log, (flight.key, flight.value))
        # Its sender hears of it when it reads on. A copy may come later still, and must fail.
        yield f"done {flight.key}", state._replace(log=log, flights=rest)
        if flight.key != "q":
            yield f"done {flight.key}, a copy left", state._replace(log=log)

    def _lives(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        if node.up and node.seen < len(state.log):
            key, value = state.log[node.seen]
            held, pending = node.held, node.pending
            if key[0] == "h":
                shard = int(key[1:])
                held = tuple(h for h in held if h[0] != shard or h[1] > node.seen)
                if not any(h[0] == shard for h in held):
                    pending = tuple(p for p in pending if p[0] != shard)
            elif key[0] == "r":
                pending = tuple(p for p in pending if p[0] != int(key[1:]))
            read = node._replace(seen=node.seen + 1, held=held, pending=pending)
            yield f"read {n}", self._node(state, n, read)
        steps = self.limits[n]
        more = steps.index(node.limit) + 1
        deaths = len(state.log) - self.shards - 1
        if node.up and (more < len(steps) or deaths < self.bounds.deaths):
            # Its lease ends before anybody takes what it held; what it sent may come later.
            limit = steps[min(more, len(steps) - 1)]
            yield f"end of {n}", self._node(state, n, Node(False, 0, (), limit, ()))
        if not node.up:
            # It is started anew, reads all there is, and takes what nobody holds.
            seen = len(state.log)
            yield f"up {n}", self._node(state, n, node._replace(up=True, seen=seen))
        if node.up and len(state.log) < self.bounds.log + self.shards + 1:
            for shard in range(self.shards):
                if not any(h[0] == shard for other in state.nodes for h in other.held):
                    term = len(state.log) + 1
                    log = (*state.log, (f"h{shard}", (n,)))
                    taken = node._replace(held=tuple(sorted((*node.held, (shard, term)))))
                    yield f"take {shard} by {n}", self._node(state, n, taken)._replace(log=log)

    # -- searching --------------------------------------------------------------------------------

    def search(self, most: int = 200_000) -> int:
        """Look at all states that can be reached, the nearest first, up to a number; how many."""
        first = self.start()
        seen = {first}
        layer = [first]
        while layer:
            after = []
            for state in layer:
                self.check(state)
                for _, found in self.steps(state):
                    if found not in seen:
                        seen.add(found)
                        after.append(found)
                if len(seen) > most:
                    return len(seen)
            layer = after
        return len(seen)

    def walk(self, random: Random, steps: int) -> list[str]:
        """One long history, drawn; what happened in it."""
        state, names = self.start(), []
        for _ in range(steps):
            found = list(self.steps(state))
            if not found:
                break
            name, state = random.choice(found)
            names.append(name)
            try:
                self.check(state)
            except Broken as broken:
                raise Broken(f"{broken} after {names}") from None
        return names

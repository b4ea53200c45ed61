"""Explicit-state model of the protocol of limit shares: tries every order of a few steps.

The arithmetic is the real one (`limits.team_shares`). Modelled is its environment: a store with
conditional transactions that may be executed late, without an answer or not at all; controllers
whose mirrors lag; shard holders that die at any point and are replaced; settings that change
controller by controller. The model has one team and CPUs in whole units: teams share no record, so
two teams would be two independent models. `Mistake` lists implementation errors that the search
must find.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from functools import lru_cache
from random import Random
from typing import NamedTuple

from sagecove.coordination.limits.records import ZERO, LimitSplit, ResourceAmount, ShardTransfers
from sagecove.coordination.limits.team_shares import TeamShares


class Mistake(enum.Enum):
    """Errors that an implementation could make."""

    NONE = 0
    # Transactions are not conditional on the term.
    NO_TERM_CHECK = 1
    # A giver goes on using what it transfers until it reads that the transfer is durable.
    GIVER_NOT_BOUND = 2
    # A new holder acts before it has read all changes up to its term.
    STALE_SUCCESSOR = 3
    # A shard adopts a new split while it uses more than its part.
    EARLY_ADOPTION = 4
    # A shard that has adopted a split grows at once, before the others have adopted it.
    EARLY_GROWTH = 5
    # A transfer record may be written over one that has changed.
    NO_REVISION_CHECK = 6


class Transaction(NamedTuple):
    """A transaction in flight: its sender, the shard and its term, and the expected revision."""

    node: int
    shard: int
    term: int
    key: str
    revision: int
    value: tuple[object, ...]


class Node(NamedTuple):
    """A controller: how much of the log it has read, its shards with their terms, its limit.

    `pending`: transfer records that it has decided on and not read yet (shard, value, revision).
    """

    running: bool
    applied: int
    held: tuple[tuple[int, int], ...]
    limit: int
    pending: tuple[tuple[int, tuple[object, ...], int], ...]


class State(NamedTuple):
    """The state of the whole system.

    `log` has all changes as (key, value); a change's revision is its position, counted from 1. The
    keys are `h<shard>` (holder), `q` (limit split) and `r<shard>` (transfer record).
    """

    log: tuple[tuple[str, tuple[object, ...]], ...]
    nodes: tuple[Node, ...]
    used: tuple[int, ...]
    in_flight: tuple[Transaction, ...]


class Bounds(NamedTuple):
    """Bounds of the search: log entries, transactions in flight, deaths of controllers."""

    log: int = 6
    in_flight: int = 2
    deaths: int = 1


class InvariantViolation(Exception):
    """More is used than the limit allows."""


def _amount(units: int) -> ResourceAmount:
    return units, 0


def _decode_split(value: tuple[object, ...]) -> LimitSplit:
    limit, shards, before, earlier = value
    return LimitSplit(
        _amount(limit),  # type: ignore[arg-type]
        {name: _amount(units) for name, units in shards},  # type: ignore[attr-defined]
        before,  # type: ignore[arg-type]
        {name: _amount(units) for name, units in earlier},  # type: ignore[attr-defined]
    )


def _decode_transfers(value: tuple[object, ...]) -> ShardTransfers:
    epoch, given, hold = value
    return ShardTransfers(
        epoch,  # type: ignore[arg-type]
        {name: _amount(units) for name, units in given},  # type: ignore[attr-defined]
        None if hold is None else _amount(hold),  # type: ignore[arg-type]
    )


def _encode_transfers(record: ShardTransfers) -> tuple[object, ...]:
    given = tuple(sorted((name, amount[0]) for name, amount in record.given.items()))
    return record.epoch, given, None if record.hold is None else record.hold[0]


@lru_cache(maxsize=200_000)
def _team_shares(
    changes: tuple[tuple[int, str, tuple[object, ...]], ...],
    pending: tuple[tuple[int, tuple[object, ...], int], ...],
) -> TeamShares:
    shares = TeamShares()
    for revision, key, value in changes:
        if key == "q":
            shares.split, shares.epoch = _decode_split(value), revision
        elif key[0] == "r":
            shares.transfers[key[1:]] = _decode_transfers(value)
    for shard, value, _ in pending:
        shares.pending[str(shard)] = _decode_transfers(value)
    return shares


class Model:
    """The states of the system and the steps between them."""

    def __init__(
        self,
        shards: int,
        limits: list[list[int]],
        mistake: Mistake = Mistake.NONE,
        bounds: Bounds | None = None,
    ) -> None:
        """Set up a model.

        `limits`: for each controller the limits of its settings, in order; it goes on to the next
        one when it is restarted.
        """
        self.shards = shards
        self.limits = limits
        self.mistake = mistake
        self.bounds = bounds or Bounds()

    def initial_state(self) -> State:
        """Return the state in which shards are held in turn and the limit is split equally."""
        log: list[tuple[str, tuple[object, ...]]] = [
            (f"h{shard}", (shard % len(self.limits),)) for shard in range(self.shards)
        ]
        limit = min(steps[0] for steps in self.limits)
        parts = [limit // self.shards] * self.shards
        parts[0] += limit - sum(parts)
        split = tuple((str(shard), units) for shard, units in enumerate(parts))
        log.append(("q", (limit, split, 0, ())))
        nodes = tuple(
            Node(
                True,
                len(log),
                tuple((s, s + 1) for s in range(self.shards) if s % len(self.limits) == index),
                steps[0],
                (),
            )
            for index, steps in enumerate(self.limits)
        )
        return State(tuple(log), nodes, (0,) * self.shards, ())

    # -- reading ----------------------------------------------------------------------------------

    @staticmethod
    def current_values(state: State) -> dict[str, tuple[int, tuple[object, ...]]]:
        """Return all keys of the store with their revisions and values."""
        return {key: (position + 1, value) for position, (key, value) in enumerate(state.log)}

    @staticmethod
    def values_read(state: State, end: int) -> tuple[tuple[int, str, tuple[object, ...]], ...]:
        """Return what a mirror knows that has read the log up to `end`."""
        last: dict[str, tuple[int, str, tuple[object, ...]]] = {}
        for position, (key, value) in enumerate(state.log[:end]):
            if key[0] != "h":
                last[key] = (position + 1, key, value)
        return tuple(sorted(last.values()))

    def team_shares(self, state: State, node: Node) -> TeamShares:
        """Return the team's shares as a controller knows them."""
        pending = () if self.mistake is Mistake.GIVER_NOT_BOUND else node.pending
        return _team_shares(self.values_read(state, node.applied), pending)

    def share(self, shares: TeamShares, shard: int) -> int:
        """Return what the holder of a shard lets run."""
        split = shares.split
        record = shares.transfers.get(str(shard))
        adopted = record is not None and record.epoch == shares.epoch
        if self.mistake is Mistake.EARLY_GROWTH and split is not None and adopted:
            return (
                shares.share(str(shard))[0] if shares.fully_adopted else split.shards[str(shard)][0]
            )
        return shares.share(str(shard))[0]

    def check(self, state: State) -> None:
        """Raise `InvariantViolation` if more is used than the limit.

        While shards still have to adopt a split, the previous limit holds: use is still falling to
        a lower limit, and may not grow yet to a higher one.
        """
        durable = _team_shares(self.values_read(state, len(state.log)), ())
        split = durable.split
        assert split is not None
        limit = split.limit[0]
        if not durable.fully_adopted:
            limit = sum(amount[0] for amount in split.earlier.values())
        if sum(state.used) > limit:
            raise InvariantViolation(f"{sum(state.used)} of {limit} used: {state}")

    # -- steps ------------------------------------------------------------------------------------

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the name of each possible next step and the state after it."""
        for index, node in enumerate(state.nodes):
            if node.running:
                yield from self._controller_steps(state, index, node)
            yield from self._lifecycle_steps(state, index, node)
        for position, transaction in enumerate(state.in_flight):
            others = state.in_flight[:position] + state.in_flight[position + 1 :]
            yield f"lost {transaction.key}", state._replace(in_flight=others)
            yield from self._execute(state, transaction, others)
        for shard, used in enumerate(state.used):
            if used:
                yield f"end {shard}", self._change_use(state, shard, -1)

    @staticmethod
    def _change_use(state: State, shard: int, change: int) -> State:
        used = list(state.used)
        used[shard] += change
        return state._replace(used=tuple(used))

    @staticmethod
    def _replace_node(state: State, index: int, node: Node) -> State:
        nodes = list(state.nodes)
        nodes[index] = node
        return state._replace(nodes=tuple(nodes))

    def _controller_steps(
        self, state: State, index: int, node: Node
    ) -> Iterator[tuple[str, State]]:
        shares = self.team_shares(state, node)
        split = shares.split
        if split is None:
            return
        for shard, term in node.held:
            if node.applied < term and self.mistake is not Mistake.STALE_SUCCESSOR:
                continue
            used = state.used[shard]
            share = self.share(shares, shard)
            if used < share and split.limit[0] <= node.limit:
                yield f"start {shard}", self._change_use(state, shard, 1)
            writing = any(p[0] == shard for p in node.pending)
            if writing or len(state.in_flight) >= self.bounds.in_flight:
                continue
            if shares.fully_adopted and used < share:
                for other in range(self.shards):
                    if other != shard:
                        record = shares.transfer_record(str(shard), {str(other): _amount(1)})
                        yield (
                            f"give {shard}>{other}",
                            self._send_record(state, index, shard, term, record),
                        )
            used_amount = ZERO if self.mistake is Mistake.EARLY_ADOPTION else _amount(used)
            adoption = shares.adoption_record(str(shard), used_amount)
            if adoption is not None:
                yield f"accept {shard}", self._send_record(state, index, shard, term, adoption)
            target = self._target_limit(state, node)
            if shares.fully_adopted and target != split.limit[0]:
                claimed = {str(s): _amount(units) for s, units in enumerate(state.used)}
                new = shares.next_split(_amount(target), claimed, [*map(str, range(self.shards))])
                value = (
                    target,
                    tuple((s, a[0]) for s, a in sorted(new.shards.items())),
                    new.before,
                    tuple((s, a[0]) for s, a in sorted(new.earlier.items())),
                )
                transaction = Transaction(index, shard, term, "q", shares.epoch, value)
                if transaction not in state.in_flight:
                    in_flight = (*state.in_flight, transaction)
                    yield f"propose {target}", state._replace(in_flight=in_flight)

    @staticmethod
    def _target_limit(state: State, node: Node) -> int:
        others = [other.limit for other in state.nodes if other.running]
        return min([node.limit, *others])

    def _send_record(
        self, state: State, index: int, shard: int, term: int, record: ShardTransfers
    ) -> State:
        node = state.nodes[index]
        key = f"r{shard}"
        known = {k: revision for revision, k, _ in self.values_read(state, node.applied)}
        value = _encode_transfers(record)
        revision = known.get(key, 0)
        pending = (*node.pending, (shard, value, revision))
        state = self._replace_node(state, index, node._replace(pending=pending))
        transaction = Transaction(index, shard, term, key, revision, value)
        return state._replace(in_flight=(*state.in_flight, transaction))

    def _execute(
        self, state: State, transaction: Transaction, others: tuple[Transaction, ...]
    ) -> Iterator[tuple[str, State]]:
        store = self.current_values(state)
        term_holds = (
            store[f"h{transaction.shard}"][0] == transaction.term
            or self.mistake is Mistake.NO_TERM_CHECK
        )
        revision = store[transaction.key][0] if transaction.key in store else 0
        unchanged = revision == transaction.revision or (
            self.mistake is Mistake.NO_REVISION_CHECK and transaction.key != "q"
        )
        if not term_holds or not unchanged or len(state.log) >= self.bounds.log + self.shards + 1:
            return
        log = (*state.log, (transaction.key, transaction.value))
        # The sender learns of it when it reads on. A copy may arrive later still, and must fail.
        yield f"done {transaction.key}", state._replace(log=log, in_flight=others)
        if transaction.key != "q":
            yield f"done {transaction.key}, a copy left", state._replace(log=log)

    def _lifecycle_steps(self, state: State, index: int, node: Node) -> Iterator[tuple[str, State]]:
        if node.running and node.applied < len(state.log):
            key, value = state.log[node.applied]
            held, pending = node.held, node.pending
            if key[0] == "h":
                shard = int(key[1:])
                held = tuple(h for h in held if h[0] != shard or h[1] > node.applied)
                if not any(h[0] == shard for h in held):
                    pending = tuple(p for p in pending if p[0] != shard)
            elif key[0] == "r":
                pending = tuple(p for p in pending if p[0] != int(key[1:]))
            reader = node._replace(applied=node.applied + 1, held=held, pending=pending)
            yield f"read {index}", self._replace_node(state, index, reader)
        limits = self.limits[index]
        next_limit = limits.index(node.limit) + 1
        deaths = len(state.log) - self.shards - 1
        if node.running and (next_limit < len(limits) or deaths < self.bounds.deaths):
            # Its lease ends before another controller takes its shards; its transactions in flight
            # may be executed later.
            limit = limits[min(next_limit, len(limits) - 1)]
            yield (
                f"end of {index}",
                self._replace_node(state, index, Node(False, 0, (), limit, ())),
            )
        if not node.running:
            # A restarted controller reads everything and takes shards that nobody holds.
            applied = len(state.log)
            yield (
                f"up {index}",
                self._replace_node(state, index, node._replace(running=True, applied=applied)),
            )
        if node.running and len(state.log) < self.bounds.log + self.shards + 1:
            for shard in range(self.shards):
                if not any(h[0] == shard for other in state.nodes for h in other.held):
                    term = len(state.log) + 1
                    log = (*state.log, (f"h{shard}", (index,)))
                    holder = node._replace(held=tuple(sorted((*node.held, (shard, term)))))
                    yield (
                        f"take {shard} by {index}",
                        self._replace_node(state, index, holder)._replace(log=log),
                    )

    # -- searching --------------------------------------------------------------------------------

    def search(self, max_states: int = 200_000) -> int:
        """Check reachable states breadth-first, up to a number; return how many were found."""
        first = self.initial_state()
        seen = {first}
        layer = [first]
        while layer:
            next_layer = []
            for state in layer:
                self.check(state)
                for _, after in self.steps(state):
                    if after not in seen:
                        seen.add(after)
                        next_layer.append(after)
                if len(seen) > max_states:
                    return len(seen)
            layer = next_layer
        return len(seen)

    def walk(self, random: Random, steps: int) -> list[str]:
        """Check the states of one long random history; return the names of its steps."""
        state, names = self.initial_state(), []
        for _ in range(steps):
            found = list(self.steps(state))
            if not found:
                break
            name, state = random.choice(found)
            names.append(name)
            try:
                self.check(state)
            except InvariantViolation as violation:
                raise InvariantViolation(f"{violation} after {names}") from None
        return names

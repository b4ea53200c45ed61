"""The protocol of limit shares never exceeds a limit: model search, properties of the arithmetic.

The model executes transactions late, twice or not at all, lets controllers die and changes their
settings one after the other; with each known implementation mistake it must exceed the limit.
"""

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from models.limits import Bounds, InvariantViolation, Mistake, Model
from sagecove.coordination.limits.records import LimitSplit, ShardTransfers
from sagecove.coordination.limits.team_shares import TeamShares
from sagecove.coordination.limits.transfer_plan import plan_transfers, request_order
from sagecove.protocol.peers import ShareRequest

SAME, LOWER, RAISED = [[2], [2]], [[2, 1], [2, 1]], [[1, 2], [1, 2]]
SHARDS = ["a", "b", "c", "d"]


@pytest.mark.parametrize(
    ("limits", "bounds", "states"),
    [(SAME, Bounds(2, 2, 1), 9_621), (LOWER, Bounds(3, 1, 0), 135_694)],
)
def test_limit_holds_in_all_states(limits: list[list[int]], bounds: Bounds, states: int) -> None:
    # All states within the bounds are reached, so that their number is known.
    assert Model(2, limits, bounds=bounds).search() == states


@pytest.mark.parametrize(
    ("shards", "limits"),
    [(2, SAME), (2, RAISED), (3, [[3], [3], [3]]), (4, [[4, 2], [4, 2], [4, 2], [4, 2]])],
)
def test_limit_holds_in_nearest_states(shards: int, limits: list[list[int]]) -> None:
    assert Model(shards, limits, bounds=Bounds(6, 3, 2)).search(30_000) > 30_000


@pytest.mark.parametrize("limits", [SAME, LOWER, RAISED])
def test_limit_holds_in_long_random_histories(limits: list[list[int]]) -> None:
    for seed in range(500):
        Model(2, limits, bounds=Bounds(8, 3, 3)).walk(Random(seed), 60)
    for seed in range(50):
        Model(4, [steps * 1 for steps in limits * 2], bounds=Bounds(10, 4, 3)).walk(
            Random(seed), 100
        )


@pytest.mark.parametrize(
    ("mistake", "limits"),
    [
        (Mistake.NO_TERM_CHECK, SAME),
        (Mistake.GIVER_NOT_BOUND, SAME),
        (Mistake.STALE_SUCCESSOR, SAME),
        (Mistake.EARLY_ADOPTION, LOWER),
        (Mistake.EARLY_GROWTH, RAISED),
        (Mistake.NO_REVISION_CHECK, SAME),
    ],
)
def test_mistakes_are_found(mistake: Mistake, limits: list[list[int]]) -> None:
    with pytest.raises(InvariantViolation, match="used"):
        for seed in range(3000):
            Model(2, limits, mistake, Bounds(8, 3, 3)).walk(Random(seed), 60)


# -- arithmetic ------------------------------------------------------------------------------------

SHARES = st.lists(st.integers(0, 40), min_size=4, max_size=4)
TRANSFERS = st.lists(
    st.tuples(st.sampled_from(SHARDS), st.sampled_from(SHARDS), st.integers(1, 30)), max_size=20
)


def team_shares_of(parts: list[int]) -> TeamShares:
    shares = TeamShares()
    split = {shard: (n, 2 * n) for shard, n in zip(SHARDS, parts, strict=True)}
    shares.split, shares.epoch = LimitSplit((sum(parts), 2 * sum(parts)), split), 5
    return shares


@hypothesis_settings(derandomize=True, database=None, deadline=None)
@given(SHARES, TRANSFERS, st.lists(st.integers(0, 20), min_size=4, max_size=4))
def test_shares_add_up_to_limit_or_less_for_lagging_readers(
    parts: list[int], transfers: list[tuple[str, str, int]], lags: list[int]
) -> None:
    shares = team_shares_of(parts)
    history: list[dict[str, ShardTransfers]] = [{}]
    for giver, receiver, amount in transfers:
        have = shares.share(giver)[0]
        if giver != receiver and have >= amount:
            shares.transfers[giver] = shares.transfer_record(
                giver, {receiver: (amount, 2 * amount)}
            )
            shares.clear_cache()
        history.append(dict(shares.transfers))
    assert sum(shares.share(s)[0] for s in SHARDS) == sum(parts)
    # Each holder knows its own record, and others' as they were some time ago.
    total = 0
    for shard, lag in zip(SHARDS, lags, strict=True):
        view = team_shares_of(parts)
        view.transfers = dict(history[max(0, len(history) - 1 - lag)])
        if shard in shares.transfers:
            view.transfers[shard] = shares.transfers[shard]
        total += view.share(shard)[0]
    assert total <= sum(parts)


@hypothesis_settings(derandomize=True, database=None, deadline=None)
@given(
    SHARES,
    SHARES,
    st.lists(st.tuples(st.sampled_from(SHARDS), st.integers(0, 3), st.integers(1, 80)), max_size=4),
)
def test_plan_gives_only_spare_shares_and_serves_first_request_first(
    parts: list[int], claims: list[int], needs: list[tuple[str, int, int]]
) -> None:
    shares = team_shares_of(parts)
    claimed = {s: (c, 0) for s, c in zip(SHARDS, claims, strict=True)}
    requests = [
        ShareRequest("red", shard, (1, 1, 0, float(number), f"run-{number}"), (target, 0))
        for shard, number, target in needs
    ]
    transfers = plan_transfers(shares, claimed, requests)
    for shard in SHARDS:
        given_away = sum(transfer.amount[0] for transfer in transfers if transfer.giver == shard)
        assert given_away <= max(0, shares.share(shard)[0] - claimed[shard][0])
        assert not [
            transfer for transfer in transfers if transfer.giver == shard == transfer.receiver
        ]
    if requests:
        first = min(requests, key=request_order)
        lack = max(0, first.target[0] - shares.share(first.shard)[0])
        spare = sum(max(0, shares.share(s)[0] - claimed[s][0]) for s in SHARDS if s != first.shard)
        received = sum(
            transfer.amount[0] for transfer in transfers if transfer.receiver == first.shard
        )
        assert received >= min(lack, spare)


@hypothesis_settings(derandomize=True, database=None, deadline=None)
@given(SHARES, SHARES, st.integers(0, 200))
def test_new_split_has_all_of_limit_and_covers_claims_if_possible(
    parts: list[int], claims: list[int], limit: int
) -> None:
    claimed = {s: (c, 0) for s, c in zip(SHARDS, claims, strict=True)}
    new = team_shares_of(parts).next_split((limit, 0), claimed, SHARDS)
    assert sum(part[0] for part in new.shards.values()) == limit
    if sum(claims) <= limit:
        assert all(new.shards[s][0] >= claimed[s][0] for s in SHARDS)

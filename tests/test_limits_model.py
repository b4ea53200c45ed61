"""The protocol of shares searched as a model, its arithmetic by properties."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from models.limits import Bounds, Broken, Mistake, Model
from sagecove.coordination.limits.account import Account
from sagecove.coordination.limits.records import LimitSplit, ShardTransfers
from sagecove.coordination.limits.transfers import order, plan
from sagecove.protocol.peers import ShareRequest

SAME, LOWER, RAISED = [[2], [2]], [[2, 1], [2, 1]], [[1, 2], [1, 2]]
SHARDS = ["a", "b", "c", "d"]


@pytest.mark.parametrize(
    ("limits", "bounds", "states"),
    [(SAME, Bounds(2, 2, 1), 9_621), (LOWER, Bounds(3, 1, 0), 135_694)],
)
def test_every_order_of_a_few_steps_keeps_the_limit(
    limits: list[list[int]], bounds: Bounds, states: int
) -> None:
    # All that can be reached within the bounds, so that the number is known.
    assert Model(2, limits, bounds=bounds).search() == states


@pytest.mark.parametrize(
    ("shards", "limits"),
    [(2, SAME), (2, RAISED), (3, [[3], [3], [3]]), (4, [[4, 2], [4, 2], [4, 2], [4, 2]])],
)
def test_the_nearest_of_many_more_states_keep_it(shards: int, limits: list[list[int]]) -> None:
    assert Model(shards, limits, bounds=Bounds(6, 3, 2)).search(30_000) > 30_000


@pytest.mark.parametrize("limits", [SAME, LOWER, RAISED])
def test_long_histories_keep_it(limits: list[list[int]]) -> None:
    for seed in range(500):
        Model(2, limits, bounds=Bounds(8, 3, 3)).walk(Random(seed), 60)
    for seed in range(50):
        Model(4, [steps * 1 for steps in limits * 2], bounds=Bounds(10, 4, 3)).walk(
            Random(seed), 100
        )


@pytest.mark.parametrize(
    ("mistake", "limits"),
    [
        (Mistake.NO_TERM, SAME),
        (Mistake.NOT_BOUND, SAME),
        (Mistake.STALE_SUCCESSOR, SAME),
        (Mistake.EARLY_ACCEPT, LOWER),
        (Mistake.EARLY_GROWTH, RAISED),
        (Mistake.NO_STAMP, SAME),
    ],
)
def test_mistakes_are_found(mistake: Mistake, limits: list[list[int]]) -> None:
    with pytest.raises(Broken, match="used"):
        for seed in range(3000):
            Model(2, limits, mistake, Bounds(8, 3, 3)).walk(Random(seed), 60)


# -- arithmetic ------------------------------------------------------------------------------------

SHARES = st.lists(st.integers(0, 40), min_size=4, max_size=4)
GIFTS = st.lists(
    st.tuples(st.sampled_from(SHARDS), st.sampled_from(SHARDS), st.integers(1, 30)), max_size=20
)


def account_of(parts: list[int]) -> Account:
    account = Account()
    split = {shard: (n, 2 * n) for shard, n in zip(SHARDS, parts, strict=True)}
    account.settlement, account.epoch = LimitSplit((sum(parts), 2 * sum(parts)), split), 5
    return account


@how(derandomize=True, database=None, deadline=None)
@given(SHARES, GIFTS, st.lists(st.integers(0, 20), min_size=4, max_size=4))
def test_shares_add_up_to_the_limit_and_to_less_for_who_is_behind(
    parts: list[int], gifts: list[tuple[str, str, int]], behind: list[int]
) -> None:
    account = account_of(parts)
    history: list[dict[str, ShardTransfers]] = [{}]
    for giver, to, amount in gifts:
        have = account.share(giver)[0]
        if giver != to and have >= amount:
            account.rows[giver] = account.giving(giver, {to: (amount, 2 * amount)})
            account.changed()
        history.append(dict(account.rows))
    assert sum(account.share(s)[0] for s in SHARDS) == sum(parts)
    # Each holder knows its own row, and others' as they were some time ago.
    owed = 0
    for shard, late in zip(SHARDS, behind, strict=True):
        view = account_of(parts)
        view.rows = dict(history[max(0, len(history) - 1 - late)])
        if shard in account.rows:
            view.rows[shard] = account.rows[shard]
        owed += view.share(shard)[0]
    assert owed <= sum(parts)


@how(derandomize=True, database=None, deadline=None)
@given(
    SHARES,
    SHARES,
    st.lists(st.tuples(st.sampled_from(SHARDS), st.integers(0, 3), st.integers(1, 80)), max_size=4),
)
def test_plans_give_what_is_spare_and_first_things_first(
    parts: list[int], claims: list[int], needs: list[tuple[str, int, int]]
) -> None:
    account = account_of(parts)
    claimed = {s: (c, 0) for s, c in zip(SHARDS, claims, strict=True)}
    wants = [
        ShareRequest("red", shard, (1, 1, 0, float(order), f"run-{order}"), (target, 0))
        for shard, order, target in needs
    ]
    gifts = plan(account, claimed, wants)
    for shard in SHARDS:
        given_away = sum(gift.amount[0] for gift in gifts if gift.giver == shard)
        assert given_away <= max(0, account.share(shard)[0] - claimed[shard][0])
        assert not [gift for gift in gifts if gift.giver == shard == gift.to]
    if wants:
        first = min(wants, key=order)
        lack = max(0, first.target[0] - account.share(first.shard)[0])
        there = sum(max(0, account.share(s)[0] - claimed[s][0]) for s in SHARDS if s != first.shard)
        got = sum(gift.amount[0] for gift in gifts if gift.to == first.shard)
        assert got >= min(lack, there)


@how(derandomize=True, database=None, deadline=None)
@given(SHARES, SHARES, st.integers(0, 200))
def test_a_new_split_is_all_of_the_limit_and_nobody_stops_without_need(
    parts: list[int], claims: list[int], limit: int
) -> None:
    claimed = {s: (c, 0) for s, c in zip(SHARDS, claims, strict=True)}
    new = account_of(parts).resettled((limit, 0), claimed, SHARDS)
    assert sum(part[0] for part in new.shards.values()) == limit
    if sum(claims) <= limit:
        assert all(new.shards[s][0] >= claimed[s][0] for s in SHARDS)

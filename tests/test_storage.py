"""The mirror of the state service, sets of task numbers, and request budgets."""

from random import Random

from sagecove.storage import taskset
from sagecove.storage.budget import TokenBucket
from sagecove.storage.mirror import Event, Item, Mirror


def test_late_watch_answer_does_not_restore_a_deleted_key() -> None:
    # A finished job became pending again: the answer of a long watch, sent before the job ended,
    # arrived after that of a read that reported the end.
    mirror = Mirror()
    mirror.apply(Event("s/job/1", "a", 5))
    mirror.apply(Event("s/job/1", None, 7))
    mirror.advance_to(7)
    assert not mirror.apply(Event("s/job/1", "a", 5))
    assert "s/job/1" not in mirror.items


def test_own_commit_is_applied_before_the_watch_reports_it() -> None:
    mirror = Mirror()
    mirror.advance_to(4)
    mirror.apply(Event("k", None, 9))
    assert not mirror.apply(Event("k", "old", 6))
    assert mirror.apply(Event("k", "new", 10))
    mirror.advance_to(10)
    assert mirror.revision_of("k") == 10


def test_new_listing_after_a_lost_watch() -> None:
    mirror = Mirror()
    for revision, key in enumerate("abc", 1):
        mirror.apply(Event(key, key, revision))
    mirror.advance_to(3)
    for event in mirror.differences({"a": Item("a", 1), "b": Item("B", 6), "d": Item("d", 5)}, 6):
        mirror.apply(event)
    mirror.advance_to(6)
    assert {k: i.value for k, i in mirror.items.items()} == {"a": "a", "b": "B", "d": "d"}


def test_task_sets_keep_their_members_in_text_form_and_fit_a_record() -> None:
    random = Random(3)
    for bits in (0, 1, taskset.full(100_000), random.getrandbits(1000), random.getrandbits(33)):
        assert taskset.decode(taskset.encode(bits)) == bits
        assert sum(1 << i for i in taskset.members(bits)) == bits
    worst = random.getrandbits(100_000)
    assert taskset.decode(taskset.encode(worst)) == worst
    assert len(taskset.encode(worst)) < 16_000
    assert list(taskset.members(taskset.lowest(0b101101, 2))) == [0, 2]


def test_token_bucket_allows_a_burst_and_then_its_rate() -> None:
    budget = TokenBucket(10.0, 5.0, 0.0)
    spent = 0
    for tick in range(200):
        while budget.seconds_until_available(tick / 100) <= 0:
            budget.spend(tick / 100)
            spent += 1
    assert 23 <= spent <= 26

"""The lease on orders: one holder at a time, and tokens that only rise."""

import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.lease import Lease
from martenrun.router.messages import LeaseRecord

from .fakes import FakeLoop, FakeStore, read_lease
from .lease_world import LEASE_S, RUNNER, made, order, pursue_for


@pytest.fixture
def loop():
    return FakeLoop()


@pytest.fixture
def store(loop):
    return FakeStore(loop)


def test_one_of_many_holds_it_and_keeps_it(loop, store):
    leases = [made(loop, store, f"n{number}") for number in range(5)]
    held = pursue_for(loop, leases, 12.0)
    assert len({id(lease) for _, lease in held}) == 1
    assert {spec["fence_token"] for _, spec in store.writes} == {1}


def test_renewals_change_the_object(loop, store):
    """A write that changes nothing gives no revision, and another could replace it."""
    pursue_for(loop, [made(loop, store, "n1")], 4.0)
    revisions = [spec["renewals"] for _, spec in store.writes]
    assert len(revisions) >= 2
    assert revisions == sorted(set(revisions))


def test_a_dead_holders_lease_is_taken_after_its_whole_length(loop, store):
    first, second = made(loop, store, "n1"), made(loop, store, "n2")
    pursue_for(loop, [first, second], 2.0)
    assert first.is_held()
    last_write = store.writes[-1][0]
    held = pursue_for(loop, [second], 6.0)
    taken_at = held[0][0]
    assert taken_at >= last_write + LEASE_S
    assert second.fencing_token > first.fencing_token


def test_the_holder_stops_before_another_can_take_it(loop, store):
    first, second = made(loop, store, "n1"), made(loop, store, "n2")
    pursue_for(loop, [first, second], 2.0)
    store.is_silent = True
    both = []
    for _ in range(60):
        first.pursue(0)
        loop.run_until(loop.now() + 0.1)
        store.is_silent = False
        second.pursue(0)
        store.is_silent = True
        both.append(first.is_held() and second.is_held())
    assert not any(both)


def test_a_write_whose_answer_was_lost_is_not_taken_for_another_holders(loop, store):
    lease = made(loop, store, "n1")
    store.loses_answers = True
    pursue_for(loop, [lease], 1.0)
    assert not lease.is_held()
    store.loses_answers = False
    pursue_for(loop, [lease], 1.0)
    assert lease.is_held()
    assert lease.fencing_token == read_lease(store, "weights").fencing_token


def test_a_taker_after_gossip_raises_the_token_told_there(loop, store):
    first, second = made(loop, store, "n1"), made(loop, store, "n2")
    pursue_for(loop, [first], 1.0)
    second.note_revision(LeaseRecord("n1", first.fencing_token), first.revision)
    assert not second.is_held()
    pursue_for(loop, [second], 4.0)
    assert second.is_held()
    assert second.fencing_token > first.fencing_token


def test_a_router_of_higher_rank_takes_an_expired_lease_later(loop, store):
    first = made(loop, store, "n1")
    pursue_for(loop, [first], 0.5)
    waiting = made(loop, store, "n2")
    waiting.note_revision(LeaseRecord("n1", 1), first.revision)
    began = loop.now()
    held = pursue_for(loop, [waiting], 8.0, rank=4)
    assert held[0][0] - began >= LEASE_S + 4 * 0.25


def test_a_holder_that_finds_another_stops_at_once(loop, store):
    first, second = made(loop, store, "n1"), made(loop, store, "n2")
    pursue_for(loop, [first], 0.5)
    store.objects["weights"]["spec"] = {"holder": "n9", "fence_token": 7, "renewals": 1}
    store.revision += 1
    store.objects["weights"]["metadata"]["revision"] = store.revision
    loop.run_until(loop.now() + 1.7)
    pursue_for(loop, [first], 0.3)
    assert not first.is_held()
    pursue_for(loop, [second], 4.0)
    assert second.fencing_token == 8


def test_a_lease_given_up_is_taken_at_once_and_orders_wait_for_the_last_one(loop, store):
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first, second], 2.0)
    ordered_at = order(loop, first)
    loop.run_until(loop.now() + 1.0)
    first.release(lambda record, revision: second.note_revision(record, revision))
    held = pursue_for(loop, [second], 1.0)
    assert held[0][0] < ordered_at + 1.3
    assert ordered_at + LEASE_S <= second.turns.orders_from(RUNNER) < ordered_at + LEASE_S + 0.3
    assert second.fencing_token > first.fencing_token
    assert not first.is_held()


def test_whoever_reads_a_lease_that_was_given_up_takes_it_at_once(loop, store):
    """The news that it was given up may be lost."""
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first], 1.0)
    first.release(lambda *_: None)
    held = pursue_for(loop, [second], 1.0)
    assert held
    assert second.turns.orders_from(RUNNER) <= loop.now()


def test_a_lease_given_up_is_not_taken_again_by_that_life(loop, store):
    first = made(loop, store, "n1#1")
    pursue_for(loop, [first], 1.0)
    first.release(lambda *_: None)
    assert pursue_for(loop, [first], 8.0) == []


def test_a_restarted_holder_goes_on_at_once_under_a_higher_token(loop, store):
    first = made(loop, store, "n1#1")
    pursue_for(loop, [first], 1.0)
    order(loop, first)
    again = made(loop, store, "n1#2")
    began = loop.now()
    held = pursue_for(loop, [again], 1.0, rank=3)
    assert held[0][0] - began < 0.5
    assert again.turns.orders_from(RUNNER) <= loop.now()
    assert again.fencing_token > first.fencing_token


def test_a_restarted_holder_keeps_the_pause_of_its_life_before(loop, store):
    dead, first = made(loop, store, "n0#1"), made(loop, store, "n1#1")
    pursue_for(loop, [dead, first], 1.0)
    order(loop, dead)
    first.note_revision(LeaseRecord("n0#1", dead.fencing_token), dead.revision)
    held = pursue_for(loop, [first], 4.0)
    assert held[-1][0] < first.turns.orders_from(RUNNER)
    again = made(loop, store, "n1#2")
    pursue_for(loop, [again], 0.5)
    assert again.is_held()
    assert again.turns.orders_from(RUNNER) >= first.turns.orders_from(RUNNER) - 0.01


def test_a_lease_that_ended_long_ago_brings_no_pause(loop, store):
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first, second], 1.0)
    loop.run_until(loop.now() + 10.0)
    pursue_for(loop, [second], 0.5)
    assert second.is_held()
    assert second.turns.orders_from(RUNNER) <= loop.now()


def test_a_lost_answer_to_a_takeover_takes_no_pause_away(loop, store):
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first], 1.0)
    last_order_at = order(loop, first)
    pursue_for(loop, [second], 0.1)
    store.loses_answers = True
    pursue_for(loop, [second], 3.9)
    assert read_lease(store, "weights").holder == "n2#1"
    store.loses_answers = False
    pursue_for(loop, [second], 1.5)
    assert second.is_held()
    assert second.turns.orders_from(RUNNER) >= last_order_at + LEASE_S


def test_how_long_versions_have_been_known_outlasts_a_loss_of_power(loop, store):
    """All routers restart at once: none of them knows since when older weights are too old."""
    known = {"m": [(2, 9_000), (3, 4_000)]}
    first = Lease(loop, store, PLATFORM_ADAPTER, "weights", "n1#1", LEASE_S, lambda: known)
    pursue_for(loop, [first], 2.0)
    learned = []
    restarted = Lease(
        loop, store, PLATFORM_ADAPTER, "weights", "n2#9", LEASE_S, dict, learned.append
    )
    pursue_for(loop, [restarted], 0.2)
    assert learned[0] == known
    held = pursue_for(loop, [restarted], 6.0)
    assert held

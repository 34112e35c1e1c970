"""Tests of the lease on orders: one holder at a time and increasing fencing tokens."""

import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.lease import Lease
from martenrun.router.messages import LeaseRecord

from .fakes import FakeLoop, FakeStore, read_lease
from .lease_world import LEASE_S, RUNNER, make_lease, order, run_leases


@pytest.fixture
def loop():
    return FakeLoop()


@pytest.fixture
def store(loop):
    return FakeStore(loop)


def test_one_router_acquires_and_keeps_the_lease(loop, store):
    leases = [make_lease(loop, store, f"n{number}") for number in range(5)]
    held = run_leases(loop, leases, 12.0)
    assert len({id(lease) for _, lease in held}) == 1
    assert {spec["fence_token"] for _, spec in store.writes} == {1}


def test_each_renewal_changes_the_object(loop, store):
    """Guards against a takeover during a renewal.

    A write without a change creates no new revision, so that another router could replace it.
    """
    run_leases(loop, [make_lease(loop, store, "n1")], 4.0)
    revisions = [spec["renewals"] for _, spec in store.writes]
    assert len(revisions) >= 2
    assert revisions == sorted(set(revisions))


def test_lease_of_a_failed_holder_is_taken_after_its_full_length(loop, store):
    first, second = make_lease(loop, store, "n1"), make_lease(loop, store, "n2")
    run_leases(loop, [first, second], 2.0)
    assert first.is_held()
    last_write = store.writes[-1][0]
    held = run_leases(loop, [second], 6.0)
    taken_at = held[0][0]
    assert taken_at >= last_write + LEASE_S
    assert second.fencing_token > first.fencing_token


def test_holder_stops_before_another_router_takes_over(loop, store):
    first, second = make_lease(loop, store, "n1"), make_lease(loop, store, "n2")
    run_leases(loop, [first, second], 2.0)
    store.is_silent = True
    both = []
    for _ in range(60):
        first.acquire_or_renew(0)
        loop.run_until(loop.now() + 0.1)
        store.is_silent = False
        second.acquire_or_renew(0)
        store.is_silent = True
        both.append(first.is_held() and second.is_held())
    assert not any(both)


def test_own_write_with_a_lost_response_is_recognized(loop, store):
    lease = make_lease(loop, store, "n1")
    store.loses_answers = True
    run_leases(loop, [lease], 1.0)
    assert not lease.is_held()
    store.loses_answers = False
    run_leases(loop, [lease], 1.0)
    assert lease.is_held()
    assert lease.fencing_token == read_lease(store, "weights").fencing_token


def test_takeover_after_gossip_raises_the_token(loop, store):
    first, second = make_lease(loop, store, "n1"), make_lease(loop, store, "n2")
    run_leases(loop, [first], 1.0)
    second.record_position(LeaseRecord("n1", first.fencing_token), first.position)
    assert not second.is_held()
    run_leases(loop, [second], 4.0)
    assert second.is_held()
    assert second.fencing_token > first.fencing_token


def test_router_of_higher_rank_takes_an_expired_lease_later(loop, store):
    first = make_lease(loop, store, "n1")
    run_leases(loop, [first], 0.5)
    waiting = make_lease(loop, store, "n2")
    waiting.record_position(LeaseRecord("n1", 1), first.position)
    began = loop.now()
    held = run_leases(loop, [waiting], 8.0, rank=4)
    assert held[0][0] - began >= LEASE_S + 4 * 0.25


def test_holder_that_finds_another_holder_stops_at_once(loop, store):
    first, second = make_lease(loop, store, "n1"), make_lease(loop, store, "n2")
    run_leases(loop, [first], 0.5)
    store.objects["weights"]["spec"] = {"holder": "n9", "fence_token": 7, "renewals": 1}
    store.revision += 1
    store.objects["weights"]["metadata"]["revision"] = store.revision
    loop.run_until(loop.now() + 1.7)
    run_leases(loop, [first], 0.3)
    assert not first.is_held()
    run_leases(loop, [second], 4.0)
    assert second.fencing_token == 8


def test_released_lease_is_taken_at_once_and_orders_wait_for_the_last_order(loop, store):
    first, second = make_lease(loop, store, "n1#1"), make_lease(loop, store, "n2#1")
    run_leases(loop, [first, second], 2.0)
    ordered_at = order(loop, first)
    loop.run_until(loop.now() + 1.0)
    first.release(lambda record, position: second.record_position(record, position))
    held = run_leases(loop, [second], 1.0)
    assert held[0][0] < ordered_at + 1.3
    assert (
        ordered_at + LEASE_S
        <= second.order_schedule.earliest_order_at(RUNNER)
        < ordered_at + LEASE_S + 0.3
    )
    assert second.fencing_token > first.fencing_token
    assert not first.is_held()


def test_released_lease_read_from_the_store_is_taken_at_once(loop, store):
    """Guards against a delay if the broadcast of the release is lost."""
    first, second = make_lease(loop, store, "n1#1"), make_lease(loop, store, "n2#1")
    run_leases(loop, [first], 1.0)
    first.release(lambda *_: None)
    held = run_leases(loop, [second], 1.0)
    assert held
    assert second.order_schedule.earliest_order_at(RUNNER) <= loop.now()


def test_released_lease_is_not_taken_again_by_the_same_incarnation(loop, store):
    first = make_lease(loop, store, "n1#1")
    run_leases(loop, [first], 1.0)
    first.release(lambda *_: None)
    assert run_leases(loop, [first], 8.0) == []


def test_restarted_holder_continues_at_once_with_a_higher_token(loop, store):
    first = make_lease(loop, store, "n1#1")
    run_leases(loop, [first], 1.0)
    order(loop, first)
    again = make_lease(loop, store, "n1#2")
    began = loop.now()
    held = run_leases(loop, [again], 1.0, rank=3)
    assert held[0][0] - began < 0.5
    assert again.order_schedule.earliest_order_at(RUNNER) <= loop.now()
    assert again.fencing_token > first.fencing_token


def test_restarted_holder_keeps_the_pause_of_its_previous_incarnation(loop, store):
    dead, first = make_lease(loop, store, "n0#1"), make_lease(loop, store, "n1#1")
    run_leases(loop, [dead, first], 1.0)
    order(loop, dead)
    first.record_position(LeaseRecord("n0#1", dead.fencing_token), dead.position)
    held = run_leases(loop, [first], 4.0)
    assert held[-1][0] < first.order_schedule.earliest_order_at(RUNNER)
    again = make_lease(loop, store, "n1#2")
    run_leases(loop, [again], 0.5)
    assert again.is_held()
    assert (
        again.order_schedule.earliest_order_at(RUNNER)
        >= first.order_schedule.earliest_order_at(RUNNER) - 0.01
    )


def test_takeover_long_after_expiry_has_no_pause(loop, store):
    first, second = make_lease(loop, store, "n1#1"), make_lease(loop, store, "n2#1")
    run_leases(loop, [first, second], 1.0)
    loop.run_until(loop.now() + 10.0)
    run_leases(loop, [second], 0.5)
    assert second.is_held()
    assert second.order_schedule.earliest_order_at(RUNNER) <= loop.now()


def test_lost_response_to_a_takeover_keeps_the_pause(loop, store):
    first, second = make_lease(loop, store, "n1#1"), make_lease(loop, store, "n2#1")
    run_leases(loop, [first], 1.0)
    last_order_at = order(loop, first)
    run_leases(loop, [second], 0.1)
    store.loses_answers = True
    run_leases(loop, [second], 3.9)
    assert read_lease(store, "weights").holder == "n2#1"
    store.loses_answers = False
    run_leases(loop, [second], 1.5)
    assert second.is_held()
    assert second.order_schedule.earliest_order_at(RUNNER) >= last_order_at + LEASE_S


def test_version_ages_survive_a_restart_of_all_routers(loop, store):
    """Guards against losing the deadlines of old weights when all routers restart at once."""
    known = {"m": [(2, 9_000), (3, 4_000)]}
    first = Lease(loop, store, PLATFORM_ADAPTER, "weights", "n1#1", LEASE_S, lambda: known)
    run_leases(loop, [first], 2.0)
    learned = []
    restarted = Lease(
        loop, store, PLATFORM_ADAPTER, "weights", "n2#9", LEASE_S, dict, learned.append
    )
    run_leases(loop, [restarted], 0.2)
    assert learned[0] == known
    held = run_leases(loop, [restarted], 6.0)
    assert held

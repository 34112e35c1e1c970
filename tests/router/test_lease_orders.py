"""Tests that orders of two routers to one runner are at least the lease length apart."""

import itertools
import random

import pytest

from martenrun.router.messages import LeaseRecord

from .fakes import FakeLoop, FakeStore
from .lease_world import LEASE_S, RUNNER, Crowd, made, order, pursue_for


@pytest.fixture
def loop():
    return FakeLoop()


@pytest.fixture
def store(loop):
    return FakeStore(loop)


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize("runners", [("r1",), ("r1", "r2", "r3")], ids=["one", "three"])
def test_orders_of_two_routers_to_a_runner_always_lie_a_lease_apart(loop, store, seed, runners):
    """Holds at each runner; with a single runner this covers all orders."""
    crowd = Crowd(loop, store, random.Random(seed), runners)
    crowd.run(400.0)
    for runner in runners:
        orders = [order for order in crowd.orders if order[3] == runner]
        for (earlier_at, earlier, low, _), (later_at, later, high, _) in itertools.pairwise(orders):
            assert low <= high
            if earlier != later:
                assert low < high
                assert later_at - earlier_at >= LEASE_S - 1e-6
        assert len({name for _, name, *_ in orders}) > 1
    tokens = [token for _, _, token, _ in crowd.orders]
    assert tokens == sorted(tokens)


def test_a_successor_orders_at_once_whom_the_dead_holder_had_not_reserved(loop, store):
    """Guards against late loads after several failed holders.

    With three holders failing in turn no runner had current weights in time (soak seed 1008).
    """
    first, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [first, second], 1.0)
    order(loop, first, "r1")
    second.note_revision(LeaseRecord("n1#1", first.fencing_token), first.revision)
    died_at = loop.now()
    pursue_for(loop, [second], 3.6)
    order(loop, second, "r2")
    assert loop.now() - died_at < 2 * LEASE_S - 2.0
    assert second.turns.orders_from("r1") >= died_at + LEASE_S


def test_reservations_and_orders_outlast_a_restart_of_the_holder(loop, store):
    first, again = made(loop, store, "n1#1"), made(loop, store, "n1#2")
    pursue_for(loop, [first], 1.0)
    ordered_at = order(loop, first)
    pursue_for(loop, [again], 0.5)
    third = made(loop, store, "n3#1")
    again.release(lambda record, revision: third.note_revision(record, revision))
    pursue_for(loop, [third], 0.5)
    assert third.is_held()
    assert third.turns.orders_from(RUNNER) >= ordered_at + LEASE_S


def test_a_runner_is_not_ordered_before_its_reservation_is_stored(loop, store):
    lease = made(loop, store, "n1#1")
    pursue_for(loop, [lease], 1.0)
    store.loses_answers = True
    done = []
    lease.reserve([RUNNER], done.append)
    loop.run_until(loop.now() + 1.0)
    assert done == [False] and not lease.may_order(RUNNER)


def test_after_a_holder_of_an_older_version_every_runner_waits(loop, store):
    """Guards against early orders after a record that does not list the ordered runners."""
    old, second = made(loop, store, "n1#1"), made(loop, store, "n2#1")
    pursue_for(loop, [old, second], 1.0)
    del store.objects["weights"]["spec"]["ordered_ms"]
    died_at = loop.now()
    second._seen = None
    pursue_for(loop, [second], 4.0)
    assert second.is_held()
    assert second.turns.orders_from("r9") >= died_at + LEASE_S
    third = made(loop, store, "n3#1")
    second.release(lambda record, revision: third.note_revision(record, revision))
    pursue_for(loop, [third], 0.5)
    assert third.turns.orders_from("r9") >= died_at + LEASE_S


def test_a_lease_given_up_within_its_pause_keeps_the_next_one_waiting(loop, store):
    names = ("n1#1", "n2#1", "n3#1")
    first, second, third = (made(loop, store, name) for name in names)
    pursue_for(loop, [first, second], 1.0)
    ordered_at = order(loop, first)
    first.release(lambda record, revision: second.note_revision(record, revision))
    pursue_for(loop, [second], 0.5)
    second.release(lambda record, revision: third.note_revision(record, revision))
    pursue_for(loop, [third], 0.5)
    assert third.is_held()
    assert third.turns.orders_from(RUNNER) >= ordered_at + LEASE_S


def test_a_reservation_that_is_given_up_meanwhile_keeps_no_other_waiting(loop, store):
    """Guards against a write every 0.1 s for the reservation of a runner that has left."""
    lease = made(loop, store, "n1#1")
    pursue_for(loop, [lease], 1.0)
    done = []
    lease.reserve(["r1"], lambda _stored: None)
    lease.reserve(["r2", "r3"], done.append)
    lease.turns.finish("r2")
    writes = len(store.writes)
    pursue_for(loop, [lease], 1.0)
    assert done == [True] and lease.may_order("r3")
    assert len(store.writes) - writes <= 4


def test_a_runner_ordered_before_is_not_taken_for_reserved(loop, store):
    """Guards against confirmation by a write that only contains the time of an earlier order."""
    lease = made(loop, store, "n1#1")
    pursue_for(loop, [lease], 1.0)
    order(loop, lease)
    lease.turns.finish(RUNNER)
    done = []
    lease.reserve(["r2"], lambda _stored: None)
    lease.reserve([RUNNER], lambda stored: done.append((stored, lease.may_order(RUNNER))))
    pursue_for(loop, [lease], 0.5)
    assert done == [(True, True)]

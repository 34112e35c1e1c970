"""Few of many routers read the store: at starts, after failures, and while it is down.

All routers start within 0.3 s, as after a power failure, with three seeds and no state.  Each call
to the store costs the same in all deployments, so calls must not grow with the number of routers:
two readers make about 5 a second.
"""

import pytest

from martenrun.router.store.planner import READERS, order_by_strength

from .fleet_world import DATASETS, Fleet
from .link_world import LinkedFleet

CALLS_PER_S = 6
"""Calls of all readers per second while nothing changes: three watches of 0.8 to 2.5 s each."""

MAX_AGE_S = 3.5
"""Maximum age of the configuration on any router while the store works, in seconds.

A reader's watch, its follower's query and that of the follower's follower: 0.8 s each, delayed for
the whole time, and the same again until the next response.
"""


def run_and_measure(fleet, seconds):
    """Advance the time; return the calls to the store and the age of the oldest configuration."""
    calls = len(fleet.store.calls)
    max_age_s = 0.0
    end = fleet.world.now() + seconds
    while fleet.world.now() < end - 1e-6:
        fleet.world.run(0.1)
        max_age_s = max(max_age_s, fleet.max_age_s())
    return len(fleet.store.calls) - calls, max_age_s


def settled_fleet(count, seed=1):
    """Return a fleet that has run for some seconds."""
    fleet = Fleet(seed, count)
    fleet.start_all()
    fleet.world.run(5.0)
    return fleet


@pytest.mark.parametrize("count", [8, 60, 195])
def test_routers_that_start_at_once_soon_have_state_and_few_query_the_store(count):
    fleet = Fleet(1, count)
    fleet.start_all()
    fleet.world.run(1.0)
    assert fleet.max_age_s() < MAX_AGE_S
    fleet.world.run(2.0)
    assert len(fleet.store.calls) <= 3 * 3 * len(DATASETS) + 3 * CALLS_PER_S
    assert len(fleet.readers()) == READERS


def test_readers_do_not_change_without_cause():
    fleet = settled_fleet(60)
    readers = set(fleet.readers())
    calls, max_age_s = run_and_measure(fleet, 10.0)
    assert set(fleet.readers()) == readers and len(readers) == READERS
    assert calls <= 10 * CALLS_PER_S
    assert max_age_s < MAX_AGE_S


@pytest.mark.parametrize("killed", [1, READERS])
def test_dead_readers_are_replaced_without_a_burst_of_calls(killed):
    fleet = settled_fleet(60)
    for address in fleet.readers()[:killed]:
        fleet.stop(address)
    calls, max_age_s = run_and_measure(fleet, 5.0)
    assert calls <= 5 * CALLS_PER_S + 10 * len(DATASETS)
    assert max_age_s < MAX_AGE_S
    run_and_measure(fleet, 2.0)
    assert len(fleet.readers()) == READERS


def test_many_restarted_routers_query_those_with_state():
    fleet = settled_fleet(60)
    for address in fleet.addresses[::2]:
        fleet.stop(address)
    fleet.start_all(fleet.addresses[::2])
    calls, _ = run_and_measure(fleet, 3.0)
    assert calls <= 3 * CALLS_PER_S + 10 * len(DATASETS)
    assert fleet.max_age_s() < MAX_AGE_S


# Guards against routers that keep querying a lost store until another router responds.
def test_few_routers_retry_during_an_outage_and_all_notice_its_end():
    fleet = settled_fleet(60)
    fleet.store.is_down = True
    calls, _ = run_and_measure(fleet, 5.0)
    assert calls <= 5 * 200
    fleet.store.is_down = False
    run_and_measure(fleet, 2.0)
    assert fleet.max_age_s() < MAX_AGE_S


def test_quick_changes_are_batched_in_few_responses():
    fleet = settled_fleet(8)
    for number in range(50):
        fleet.loop.call_later(number * 0.1, fleet.store.change)
    calls, _ = run_and_measure(fleet, 5.0)
    assert calls <= 5 * (CALLS_PER_S + READERS * 5)


# Guards against 27 s without a store reader after an outage in which all routers restarted: they
# queried each other, none had state, and each refusal counted as a reader that was reached.
@pytest.mark.parametrize("count", [7, 60])
def test_routers_that_start_during_an_outage_all_notice_its_end(count):
    fleet = LinkedFleet(1, count)
    # Seeds read at once; here they are last in the order of preference.
    fleet.addresses = order_by_strength(b"readers", dict.fromkeys(fleet.addresses, 1.0))[::-1]
    fleet.capacities = dict.fromkeys(fleet.addresses, 1.0)
    fleet.change_configuration(10)
    fleet.store.is_down = True
    fleet.start_all()
    fleet.world.run(8.0)
    fleet.store.is_down = False
    fleet.world.run(6.0)
    assert fleet.max_age_s() < MAX_AGE_S


# Guards against 4 s without a store reader after an outage in which all routers restarted.  Target
# weights that were set meanwhile became known so late that a request started on the old version
# 11.4 s after.  Routers that had queried the store without success stopped, but still reported that
# they had lost it; the others took them for readers that do what they can.
@pytest.mark.parametrize(("down_s", "seed"), [(0.8, 3), (1.4, 3), (2.0, 0), (2.0, 2), (2.0, 7)])
def test_no_router_waits_for_others_that_stopped_querying_the_store(down_s, seed):
    fleet = Fleet(seed, 7, 3)
    fleet.store.is_down = True
    fleet.start_all()
    fleet.world.run(down_s)
    fleet.store.is_down = False
    fleet.world.run(2.0)
    assert all(router.configuration.is_loaded for router in fleet.members.values())

"""Few routers of many read the store: at starts, after losses, and while it is down.

The load: all routers start within 0.3 s, as after a loss of power, and know nothing but three
seeds.  What each call to the store costs is the same for all deployments, so that calls must not
grow with routers: two readers make some 5 a second.
"""

import pytest

from martenrun.router.readers import READERS, strong_first

from .fleet_world import DATASETS, Fleet
from .link_world import LinkedFleet

CALLS_PER_S = 6
"""Calls of all readers a second while nothing changes: three watches of 0.8 to 2.5 s each."""

OLDEST_S = 3.5
"""How old the configuration may be at any router while the store works, in seconds.

A reader's watch, its follower's question and a follower's follower's: 0.8 s each, held for the
whole time, and as long again until the next answer.
"""


def watch(fleet, seconds):
    """Let time pass; return the calls to the store and the age of the oldest configuration."""
    calls = len(fleet.store.calls)
    oldest_s = 0.0
    end = fleet.world.now() + seconds
    while fleet.world.now() < end - 1e-6:
        fleet.world.run(0.1)
        oldest_s = max(oldest_s, fleet.oldest_s())
    return len(fleet.store.calls) - calls, oldest_s


def settled(count, seed=1):
    """Return a fleet that has run for some seconds."""
    fleet = Fleet(seed, count)
    fleet.start_all()
    fleet.world.run(5.0)
    return fleet


@pytest.mark.parametrize("count", [8, 60, 195])
def test_all_that_start_at_once_know_all_soon_and_few_ask_the_store(count):
    fleet = Fleet(1, count)
    fleet.start_all()
    fleet.world.run(1.0)
    assert fleet.oldest_s() < OLDEST_S
    fleet.world.run(2.0)
    assert len(fleet.store.calls) <= 3 * 3 * len(DATASETS) + 3 * CALLS_PER_S
    assert len(fleet.readers()) == READERS


def test_readers_stay_the_same_while_nothing_happens():
    fleet = settled(60)
    readers = set(fleet.readers())
    calls, oldest_s = watch(fleet, 10.0)
    assert set(fleet.readers()) == readers and len(readers) == READERS
    assert calls <= 10 * CALLS_PER_S
    assert oldest_s < OLDEST_S


@pytest.mark.parametrize("killed", [1, READERS])
def test_readers_that_die_are_followed_by_others_without_a_herd(killed):
    fleet = settled(60)
    for address in fleet.readers()[:killed]:
        fleet.stop(address)
    calls, oldest_s = watch(fleet, 5.0)
    assert calls <= 5 * CALLS_PER_S + 10 * len(DATASETS)
    assert oldest_s < OLDEST_S
    watch(fleet, 2.0)
    assert len(fleet.readers()) == READERS


def test_a_herd_of_restarts_asks_those_that_know():
    fleet = settled(60)
    for address in fleet.addresses[::2]:
        fleet.stop(address)
    fleet.start_all(fleet.addresses[::2])
    calls, _ = watch(fleet, 3.0)
    assert calls <= 3 * CALLS_PER_S + 10 * len(DATASETS)
    assert fleet.oldest_s() < OLDEST_S


def test_while_the_store_is_down_a_few_ask_and_all_know_of_its_return():
    """Every router that lost it once goes on asking where only an answer of another ends that."""
    fleet = settled(60)
    fleet.store.is_down = True
    calls, _ = watch(fleet, 5.0)
    assert calls <= 5 * 200
    fleet.store.is_down = False
    watch(fleet, 2.0)
    assert fleet.oldest_s() < OLDEST_S


def test_changes_in_quick_succession_come_in_few_answers():
    fleet = settled(8)
    for number in range(50):
        fleet.loop.call_later(number * 0.1, fleet.store.change)
    calls, _ = watch(fleet, 5.0)
    assert calls <= 5 * (CALLS_PER_S + READERS * 5)


@pytest.mark.parametrize("count", [7, 60])
def test_all_that_start_while_the_store_is_down_know_of_its_return(count):
    """A hunted day: all lost power during an outage, and nobody read the store for 27 s after it.

    Each asked the others, who knew nothing; their refusals arrived, and counted as readers reached.
    """
    fleet = LinkedFleet(1, count)
    # Seeds read at once; here they are the last to be chosen.
    fleet.addresses = strong_first(b"readers", dict.fromkeys(fleet.addresses, 1.0))[::-1]
    fleet.capacities = dict.fromkeys(fleet.addresses, 1.0)
    fleet.change_configuration(10)
    fleet.store.is_down = True
    fleet.start_all()
    fleet.world.run(8.0)
    fleet.store.is_down = False
    fleet.world.run(6.0)
    assert fleet.oldest_s() < OLDEST_S


@pytest.mark.parametrize(("down_s", "seed"), [(0.8, 3), (1.4, 3), (2.0, 0), (2.0, 2), (2.0, 7)])
def test_nobody_waits_for_routers_that_have_stopped_asking_the_store(down_s, seed):
    """A hunted day: all lost power in an outage, and for 4 s after it nobody read the store.

    A version of weights was named meanwhile and known so late that a request began on the one
    before, 11.4 s after.  Those that had asked the store in vain stopped asking and went on to say
    that they had lost it; all others took that for a reader that does what it can.
    """
    fleet = Fleet(seed, 7, 3)
    fleet.store.is_down = True
    fleet.start_all()
    fleet.world.run(down_s)
    fleet.store.is_down = False
    fleet.world.run(2.0)
    assert all(router.configuration.is_known for router in fleet.members.values())

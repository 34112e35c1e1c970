"""Gossip in virtual time: departed routers soon disappear, live ones are known to all."""

import pytest

from martenrun.router.peer_messages import Gossip, encode
from martenrun.router.router_table import longest_named_s

from .gossip_world import GossipWorld, router_record

SETTLED_S = 18.0
WATCHED_S = 40.0
STEP_S = 0.1

NAMED_BOUND_S = 4.5
"""How long after its end a small deployment may consider a router alive, in seconds.

The maximum age of a record that counts as received in time and the time after which a silent router
counts as dead, two seconds each, and half a second in transit.
"""


def settled_world(seed, count=8, **network):
    """Return a world whose routers have known each other for long."""
    world = GossipWorld(seed, **network)
    addresses = [f"r{number}" for number in range(count)]
    for address in addresses:
        world.start(address, seeds=addresses[:3])
    world.run(SETTLED_S)
    return world, addresses


def named_until(world, gone, each_step=lambda _since: None):
    """Stop a router; return the last time after that at which another considered it alive."""
    world.stop(gone)
    ended_at = world.now()
    last = 0.0
    while (since := world.now() - ended_at) < WATCHED_S:
        each_step(since)
        if any(gone in peers.named() for peers in world.alive()):
            last = since
        world.run(STEP_S)
    return last


def named_through_restarts(seed, pause_s):
    """Return how long a departed router is considered alive while the others restart in turn."""
    world, addresses = settled_world(seed)
    others = addresses[:-1]
    started = 0

    def restart_next(since):
        nonlocal started
        if since >= started * pause_s:
            world.start(others[started % len(others)], seeds=addresses[:3])
            started += 1

    return named_until(world, addresses[-1], restart_next)


def named_after_stand_still(still_s):
    """Return how long a router that left while another was suspended is considered alive."""
    world, addresses = settled_world(1)
    world.stand_still(addresses[1])
    world.run(0.5)

    def go_on(since):
        if world.routers[addresses[1]].is_still and since >= still_s:
            world.go_on(addresses[1], still_s + 0.5)

    return named_until(world, addresses[3], go_on)


# Guards against routers that learn of a departed router at each restart, as if it were alive.
def test_no_series_of_restarts_keeps_a_departed_router_named():
    named = {
        (seed, pause_s): named_through_restarts(seed, pause_s)
        for seed in range(4)
        for pause_s in (0.3, 0.6, 1.0, 1.9)
    }
    assert {case: until for case, until in named.items() if until > NAMED_BOUND_S} == {}


# Guards against datagrams that waited in the socket of a suspended process and count as current.
def test_a_router_that_stood_still_does_not_name_who_left_meanwhile():
    named = {still_s: named_after_stand_still(still_s) for still_s in (3.0, 8.0, 25.0)}
    assert {still: until for still, until in named.items() if until > NAMED_BOUND_S} == {}


def falsely_dead(world, seconds):
    """Return the share of checks at which a live router is considered dead by another."""
    missed = looks = 0
    end = world.now() + seconds
    while world.now() < end:
        world.run(0.5)
        alive = world.alive()
        missed += sum(len(alive) - 1 - len(peers.named()) for peers in alive)
        looks += len(alive) * (len(alive) - 1)
    return missed / looks


def test_live_routers_are_not_declared_dead_over_many_hops():
    """Without requests, gossip is the only source of heartbeats."""
    for count in (8, 16, 30):
        world, _ = settled_world(1, count, copies=(0, *[1] * 9))
        assert falsely_dead(world, 15.0) == 0.0


MISTAKEN_SHARE = 1e-4
"""Maximum share of checks at which a live router may be considered dead, or be unknown."""


def test_live_routers_of_a_large_deployment_are_hardly_ever_declared_dead():
    world, _ = settled_world(1, 79)
    assert falsely_dead(world, 10.0) <= MISTAKEN_SHARE


# Guards against records that take a minute to reach all routers: missing ones must be requested.
def test_195_routers_in_five_zones_that_start_at_once_know_each_other():
    world = GossipWorld(1, copies=(0, *[1] * 9))
    addresses = [f"r{number}" for number in range(195)]
    for number, address in enumerate(addresses):
        world.start(address, seeds=addresses[:3], zone=f"z{number % 5}")
    world.run(5.0)
    assert falsely_dead(world, 4.0) <= MISTAKEN_SHARE
    gone = addresses[100]
    world.stop(gone)
    world.run(longest_named_s(195) + 0.5)
    assert [peers for peers in world.alive() if gone in peers.named()] == []


def test_overlapping_restarts_and_suspensions_keep_no_departed_router_alive():
    """Routers restart and are suspended at random; datagrams are lost, duplicated and delayed."""
    for seed in range(6):
        world, addresses = settled_world(seed, delays_s=(0.002, 0.05, 0.2), copies=(0, 1, 1, 2))
        standing = {}

        def strike(since, world=world, addresses=addresses, standing=standing):
            rng, others = world.rng, addresses[:-1]
            for address, until in list(standing.items()):
                if since >= until[0]:
                    world.go_on(address, since - until[1])
                    del standing[address]
            free = [address for address in others if address not in standing]
            if rng.random() < 0.1:
                world.start(rng.choice(free), seeds=addresses[:3])
            if rng.random() < 0.04 and len(free) > 4:
                address = rng.choice(free)
                world.stand_still(address)
                standing[address] = (since + rng.uniform(0.5, 12.0), since)

        assert named_until(world, addresses[-1], strike) <= NAMED_BOUND_S + 1.0


# Guards against an endless loop of a router that replies to its own earlier incarnation.
def test_router_does_not_reply_to_an_earlier_incarnation_of_itself():
    world = GossipWorld(1)
    world.start("a", zone="z")
    sent = []
    world.send = lambda address, _data: sent.append(address)
    for incarnation in (1, 9):
        world.routers["a"].take_datagram(encode(Gossip([router_record("a", incarnation)])))
    assert sent == []


def test_unknown_router_is_sent_the_records_once():
    world = GossipWorld(1)
    for address in ("a", "b"):
        world.start(address, zone="z")
    greeted = encode(Gossip([world.routers["b"].own]))
    sent = []
    world.send = lambda address, _data: sent.append(address)
    for _ in range(3):
        world.routers["a"].take_datagram(greeted)
    assert sent == ["b"]


# Guards against slow gossip after many routers left and joined within 20 s (soak seed 3004).
def test_departed_routers_do_not_slow_down_the_gossip():
    world, addresses = settled_world(1, 16)
    for number, address in enumerate(addresses[1:13]):
        world.stop(address)
        world.start(f"n{number}", seeds=addresses[:3])
        world.run(1.0)
    world.run(5.0)
    assert [peers.table.slowness() for peers in world.alive()] == [1.0] * 16
    assert named_until(world, addresses[13]) <= NAMED_BOUND_S


# Guards against late notice of a new configuration when versions follow each other every 60 ms.
def test_scheduled_broadcast_is_sent_at_once_and_then_twice_a_second_at_most():
    world = GossipWorld(1)
    for address in ("10.0.0.1:7", "10.0.0.2:7"):
        world.start(address, ("10.0.0.1:7",))
    world.run(2.0)
    teller, _ = world.routers.values()
    told_at = []
    teller._send_to = lambda _addresses, _message: told_at.append(world.now())
    for number in range(30):
        world.loop.call_later(number * 0.06, teller.tell_soon)
    world.run(3.0)
    assert told_at[0] == pytest.approx(2.0)
    assert 4 <= len(told_at) <= 5 and told_at[-1] >= 2.0 + 29 * 0.06


def test_versions_in_force_are_received_with_their_age():
    world = GossipWorld(1)
    for address in ("10.0.0.1:7", "10.0.0.2:7"):
        world.start(address, ("10.0.0.1:7",))
    world.run(2.0)
    teller, hearer = world.routers.values()
    teller.own.configurations = [(8, 1_500)]
    teller.tell_now()
    world.run(0.1)
    ((record, told_at),) = hearer.table.told()
    assert record.configurations == [(8, 1_500)]
    assert told_at == pytest.approx(hearer.now() - 0.1, abs=0.01)


class StandingStill:
    """A socket whose router is suspended for 6 s before it reads the last datagram."""

    def __init__(self, loop, datagrams):
        self._loop = loop
        self._datagrams = list(datagrams)

    def recvfrom(self, _size):
        if not self._datagrams:
            raise BlockingIOError
        if len(self._datagrams) == 1:
            self._loop.time += 6.0
        return self._datagrams.pop(0), None


# Guards against datagrams read after a suspension within one receive loop that count as current.
# Found while tracing soak seed 3004, in which three departed routers were listed for 3.6 s more;
# there the delay was lost in another way, see docs/findings.md.
def test_what_waited_while_a_router_stood_still_in_the_middle_of_reading_is_old():
    world = GossipWorld(1)
    world.start("10.0.0.1:7")
    world.run(1.0)
    peers = world.routers["10.0.0.1:7"]
    gossip = [
        encode(Gossip([router_record(address, beat=5)])) for address in ("10.0.0.2:7", "10.0.0.3:7")
    ]
    peers._socket = StandingStill(world.loop, gossip)
    peers._receive()
    assert "10.0.0.3:7" not in peers.named()

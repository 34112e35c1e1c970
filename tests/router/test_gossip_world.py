"""Gossip in virtual time: departed routers soon disappear, live ones are known to all."""

import pytest

from martenrun.router.peer_messages import Gossip, encode
from martenrun.router.router_table import max_detection_s

from .gossip_world import GossipWorld, router_record

SETTLED_S = 18.0
OBSERVED_S = 40.0
STEP_S = 0.1

MAX_DETECTION_S = 4.5
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


def last_seen_alive_s(world, departed, each_step=lambda _since: None):
    """Stop a router; return the last time after that at which another considered it alive."""
    world.stop(departed)
    stopped_at = world.now()
    last = 0.0
    while (elapsed_s := world.now() - stopped_at) < OBSERVED_S:
        each_step(elapsed_s)
        if any(departed in peers.live_addresses() for peers in world.running()):
            last = elapsed_s
        world.run(STEP_S)
    return last


def detection_after_restarts_s(seed, pause_s):
    """Return how long a departed router is considered alive while the others restart in turn."""
    world, addresses = settled_world(seed)
    others = addresses[:-1]
    started = 0

    def restart_next(elapsed_s):
        nonlocal started
        if elapsed_s >= started * pause_s:
            world.start(others[started % len(others)], seeds=addresses[:3])
            started += 1

    return last_seen_alive_s(world, addresses[-1], restart_next)


def detection_after_suspension_s(suspended_s):
    """Return how long a router that left while another was suspended is considered alive."""
    world, addresses = settled_world(1)
    world.suspend(addresses[1])
    world.run(0.5)

    def resume(elapsed_s):
        if world.routers[addresses[1]].is_suspended and elapsed_s >= suspended_s:
            world.resume(addresses[1], suspended_s + 0.5)

    return last_seen_alive_s(world, addresses[3], resume)


# Guards against routers that learn of a departed router at each restart, as if it were alive.
def test_no_series_of_restarts_keeps_a_departed_router_named():
    seen_alive = {
        (seed, pause_s): detection_after_restarts_s(seed, pause_s)
        for seed in range(4)
        for pause_s in (0.3, 0.6, 1.0, 1.9)
    }
    assert {case: until for case, until in seen_alive.items() if until > MAX_DETECTION_S} == {}


# Guards against datagrams that waited in the socket of a suspended process and count as current.
def test_a_router_that_stood_still_does_not_name_who_left_meanwhile():
    seen_alive = {
        suspended_s: detection_after_suspension_s(suspended_s) for suspended_s in (3.0, 8.0, 25.0)
    }
    assert {
        duration_s: until for duration_s, until in seen_alive.items() if until > MAX_DETECTION_S
    } == {}


def false_death_share(world, seconds):
    """Return the share of checks at which a live router is considered dead by another."""
    mistakes = checks = 0
    end = world.now() + seconds
    while world.now() < end:
        world.run(0.5)
        alive = world.running()
        mistakes += sum(len(alive) - 1 - len(peers.live_addresses()) for peers in alive)
        checks += len(alive) * (len(alive) - 1)
    return mistakes / checks


def test_live_routers_are_not_declared_dead_over_many_hops():
    """Without requests, gossip is the only source of heartbeats."""
    for count in (8, 16, 30):
        world, _ = settled_world(1, count, copies=(0, *[1] * 9))
        assert false_death_share(world, 15.0) == 0.0


MAX_FALSE_DEATH_SHARE = 1e-4
"""Maximum share of checks at which a live router may be considered dead, or be unknown."""


def test_live_routers_of_a_large_deployment_are_hardly_ever_declared_dead():
    world, _ = settled_world(1, 79)
    assert false_death_share(world, 10.0) <= MAX_FALSE_DEATH_SHARE


# Guards against records that take a minute to reach all routers: missing ones must be requested.
def test_195_routers_in_five_zones_that_start_at_once_know_each_other():
    world = GossipWorld(1, copies=(0, *[1] * 9))
    addresses = [f"r{number}" for number in range(195)]
    for number, address in enumerate(addresses):
        world.start(address, seeds=addresses[:3], zone=f"z{number % 5}")
    world.run(5.0)
    assert false_death_share(world, 4.0) <= MAX_FALSE_DEATH_SHARE
    departed = addresses[100]
    world.stop(departed)
    world.run(max_detection_s(195) + 0.5)
    assert [peers for peers in world.running() if departed in peers.live_addresses()] == []


def test_overlapping_restarts_and_suspensions_keep_no_departed_router_alive():
    """Routers restart and are suspended at random; datagrams are lost, duplicated and delayed."""
    for seed in range(6):
        world, addresses = settled_world(seed, delays_s=(0.002, 0.05, 0.2), copies=(0, 1, 1, 2))
        suspended = {}

        def inject_failures(elapsed_s, world=world, addresses=addresses, suspended=suspended):
            rng, others = world.rng, addresses[:-1]
            for address, until in list(suspended.items()):
                if elapsed_s >= until[0]:
                    world.resume(address, elapsed_s - until[1])
                    del suspended[address]
            free = [address for address in others if address not in suspended]
            if rng.random() < 0.1:
                world.start(rng.choice(free), seeds=addresses[:3])
            if rng.random() < 0.04 and len(free) > 4:
                address = rng.choice(free)
                world.suspend(address)
                suspended[address] = (elapsed_s + rng.uniform(0.5, 12.0), elapsed_s)

        assert last_seen_alive_s(world, addresses[-1], inject_failures) <= MAX_DETECTION_S + 1.0


# Guards against an endless loop of a router that replies to its own earlier incarnation.
def test_router_does_not_reply_to_an_earlier_incarnation_of_itself():
    world = GossipWorld(1)
    world.start("a", zone="z")
    sent = []
    world.send = lambda address, _data: sent.append(address)
    for incarnation in (1, 9):
        world.routers["a"].receive_datagram(encode(Gossip([router_record("a", incarnation)])))
    assert sent == []


def test_unknown_router_is_sent_the_records_once():
    world = GossipWorld(1)
    for address in ("a", "b"):
        world.start(address, zone="z")
    gossip = encode(Gossip([world.routers["b"].own]))
    sent = []
    world.send = lambda address, _data: sent.append(address)
    for _ in range(3):
        world.routers["a"].receive_datagram(gossip)
    assert sent == ["b"]


# Guards against slow gossip after many of 16 routers left and joined within 20 s (soak seed 3004).
def test_departed_routers_do_not_slow_down_the_gossip():
    world, addresses = settled_world(1, 16)
    for number, address in enumerate(addresses[1:13]):
        world.stop(address)
        world.start(f"n{number}", seeds=addresses[:3])
        world.run(1.0)
    world.run(5.0)
    assert [peers.table.slowdown() for peers in world.running()] == [1.0] * 16
    assert last_seen_alive_s(world, addresses[13]) <= MAX_DETECTION_S


# Guards against late notice of a new configuration when versions follow each other every 60 ms.
def test_scheduled_broadcast_is_sent_at_once_and_then_twice_a_second_at_most():
    world = GossipWorld(1)
    for address in ("10.0.0.1:7", "10.0.0.2:7"):
        world.start(address, ("10.0.0.1:7",))
    world.run(2.0)
    sender, _ = world.routers.values()
    sent_at = []
    sender._send_to = lambda _addresses, _message: sent_at.append(world.now())
    for number in range(30):
        world.loop.call_later(number * 0.06, sender.schedule_record_broadcast)
    world.run(3.0)
    assert sent_at[0] == pytest.approx(2.0)
    assert 4 <= len(sent_at) <= 5 and sent_at[-1] >= 2.0 + 29 * 0.06


def test_versions_in_force_are_received_with_their_age():
    world = GossipWorld(1)
    for address in ("10.0.0.1:7", "10.0.0.2:7"):
        world.start(address, ("10.0.0.1:7",))
    world.run(2.0)
    sender, receiver = world.routers.values()
    sender.own.configurations = [(8, 1_500)]
    sender.broadcast_record()
    world.run(0.1)
    ((record, reported_at),) = receiver.table.timed_records()
    assert record.configurations == [(8, 1_500)]
    assert reported_at == pytest.approx(receiver.now() - 0.1, abs=0.01)


class SuspendingSocket:
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
        encode(Gossip([router_record(address, heartbeat=5)]))
        for address in ("10.0.0.2:7", "10.0.0.3:7")
    ]
    peers._socket = SuspendingSocket(world.loop, gossip)
    peers._receive()
    assert "10.0.0.3:7" not in peers.live_addresses()

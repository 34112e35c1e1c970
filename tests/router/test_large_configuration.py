"""A large configuration is in force everywhere in time, over links of very different bandwidth.

Guards against followers that request a large response again and again.  A change of 0.7 MB was in
force on its two readers at once, on eight of 67 followers after 1.1 s and on the last one 4.7 s
after its acknowledgement, with 3 s allowed.  All followers queried the readers at once.  Each gave
up its response 0.6 s after it had started, shortly before its end, and requested it again from the
start, then from the store over the same link, with a timeout of 0.9 s.  Timeouts limited the whole
response, whatever its size, although it kept arriving: routers received 0.5 MB in each of nine
seconds and applied nothing.
"""

from .link_world import LinkedFleet, size_of

MAX_SPREAD_S = 2.5
"""Time for all to have a change: the tightest bound among deployments of this size is 3 s."""


def settled_fleet(count, routes):
    """Return a fleet that has run for some seconds with this number of routes."""
    fleet = LinkedFleet(1, count)
    fleet.change_configuration(routes)
    fleet.start_all()
    fleet.world.run(12.0)
    assert not fleet.outdated()
    return fleet


def measure_spread_s(fleet, limit_s=15.0):
    """Return how long it takes until every router has the newest configuration."""
    began_at = fleet.world.now()
    while fleet.outdated() and fleet.world.now() - began_at < limit_s:
        fleet.world.run(0.05)
    return fleet.world.now() - began_at


def test_all_know_a_large_configuration_in_time():
    """The incident's three changes, each directly followed by another of the same size."""
    fleet = settled_fleet(69, 100)
    times_s = []
    for routes in (1_400, 2_800, 4_200):
        for _ in range(2):
            fleet.change_configuration(routes)
            times_s.append(measure_spread_s(fleet))
        assert 240 * routes < size_of(fleet.store.configuration) < 300 * routes
    assert max(times_s) < MAX_SPREAD_S, times_s

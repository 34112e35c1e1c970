"""Compares methods of enforcing a tenant's rate at many routers, in virtual time.

    python -m router.compare_quota_methods SIZES      in tests/, sizes as 8,79; prints a table
    python -m router.compare_quota_methods honest N   N requests of tenants at 0.9 of their rate,
                                                      16 routers

`even` splits the limit evenly; `gossip` counts a router's own use and the use that the other
routers' gossip records report, as old as the gossip is; `owners` is what routers do.
"""

import bisect
import itertools
import sys

from martenrun.limits.token_bucket import TokenBucket
from martenrun.router.log import EVENT_LOG

from .quota_world import BOUNDS, QuotaFleet
from .test_quota_fleet import LARGE, SMALL, conforming

LIMIT = LARGE
SETTLED_S = 16.0
LOAD_S = 20.0


class Decided:
    """The decision of a gate that asks no other router."""

    def __init__(self, is_granted, wait_s=0.0):
        self.is_granted = is_granted
        self.wait_s = wait_s


class EvenGate:
    """Grants an even share of the limit."""

    def __init__(self, fleet, address):
        part = 1.0 / len(fleet.addresses)
        self._fleet = fleet
        self._bucket = TokenBucket(
            fleet.limit.units_per_s * part, fleet.limit.burst_units * part, fleet.loop.now()
        )

    def ask(self, tenant, limit, units, on_decided):
        wait_s = self._bucket.wait_s(units, self._fleet.loop.now())
        if wait_s == 0:
            self._bucket.take(units, self._fleet.loop.now())
        on_decided(Decided(wait_s == 0, wait_s))


class ToldGate:
    """Grants by its own use and by the use that the others' last gossip records report."""

    def __init__(self, fleet, address):
        limit = fleet.limit
        spare = BOUNDS.slack(limit.units_per_s, limit.burst_units) / 2
        self._fleet = fleet
        self._peers = fleet.world.routers[address]
        self._times, self._totals = [0.0], [0]
        self._bucket = TokenBucket(limit.units_per_s, limit.burst_units + spare, fleet.loop.now())
        self._known = 0

    def total_at(self, at):
        """Return the units that this router had used by a time."""
        return self._totals[bisect.bisect_right(self._times, at) - 1]

    def ask(self, tenant, limit, units, on_decided):
        now = self._fleet.loop.now()
        told = sum(
            self._fleet.gates[record.address].total_at(told_at)
            for record, told_at in self._peers.table.told()
        )
        self._bucket.take(max(0, told - self._known), now)
        self._known = max(told, self._known)
        wait_s = self._bucket.wait_s(units, now)
        if wait_s == 0:
            self._bucket.take(units, now)
            self._times.append(now)
            self._totals.append(self._totals[-1] + units)
        on_decided(Decided(wait_s == 0, wait_s))


WAYS = {"even": EvenGate, "told": ToldGate, "keepers": None}


def fleet_of(way, seed, routers):
    """Return a settled fleet that enforces rates with one method."""
    fleet = QuotaFleet(seed, routers, limit=LIMIT)
    fleet.run(SETTLED_S)
    if WAYS[way] is not None:
        fleet.gates = {address: WAYS[way](fleet, address) for address in fleet.addresses}
    fleet.quota_bytes = fleet.quota_datagrams = 0
    return fleet


def line(way, routers):
    """Simulate a greedy tenant and one within its limit; return a row of the table."""
    greedy = fleet_of(way, 1, routers)
    greedy.load("t", 5 * LIMIT.units_per_s, LOAD_S)
    greedy.run(LOAD_S + 2)
    honest = fleet_of(way, 2, routers)
    conforming(honest, "t", LIMIT, LOAD_S)
    honest.run(LOAD_S + 2)
    waits = sorted(honest.waits_s)
    per_s = len(waits) / LOAD_S
    return (
        f"| {routers} | {way} | {greedy.worst_window():.2f} | {honest.refused_share():.4f} "
        f"| {waits[len(waits) // 2] * 1000:.1f}, {waits[int(len(waits) * 0.99)] * 1000:.1f} "
        f"| {honest.quota_datagrams / LOAD_S / per_s:.1f} "
        f"| {honest.quota_datagrams / LOAD_S / routers:.2f} "
        f"| {honest.quota_bytes / LOAD_S / routers:.0f} |"
    )


def honest_tenants(least):
    """Simulate tenants within their limits until enough requests were made; return a summary."""
    made = refused = 0
    longest_s = 0.0
    for seed in itertools.count():
        few = seed % 2 == 1
        limit = (SMALL, LARGE)[seed // 2 % 2]
        fleet = QuotaFleet(seed, 16, limit=limit)
        fleet.run(SETTLED_S)
        routers = fleet.addresses[:2] if few else None
        for number in range(8):
            conforming(fleet, f"t{number}", limit, LOAD_S, routers=routers)
        fleet.run(LOAD_S + 3)
        made += len(fleet.waits_s)
        refused += len(fleet.refused)
        longest_s = max(longest_s, *fleet.waits_s)
        if made >= least:
            return f"{made} requests, {refused} refused, longest wait {longest_s * 1000:.1f} ms"


def main():
    """Print the table."""
    EVENT_LOG.open("")
    EVENT_LOG._output = -1
    if sys.argv[1] == "honest":
        print(honest_tenants(int(sys.argv[2])))
        return
    sizes = [int(text) for text in sys.argv[1].split(",")]
    for routers, way in itertools.product(sizes, WAYS):
        print(line(way, routers), flush=True)


if __name__ == "__main__":
    main()

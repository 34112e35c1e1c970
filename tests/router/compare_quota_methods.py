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
from .test_quota_fleet import LARGE, SMALL, schedule_conforming

LIMIT = LARGE
SETTLED_S = 16.0
LOAD_S = 20.0


class Decision:
    """The decision of a gate that asks no other router."""

    def __init__(self, is_granted, wait_s=0.0):
        self.is_granted = is_granted
        self.wait_s = wait_s


class EvenGate:
    """Grants an even share of the limit."""

    def __init__(self, fleet, address):
        share = 1.0 / len(fleet.addresses)
        self._fleet = fleet
        self._bucket = TokenBucket(
            fleet.limit.units_per_s * share, fleet.limit.burst_units * share, fleet.loop.now()
        )

    def request(self, tenant, limit, units, on_decided):
        wait_s = self._bucket.wait_s(units, self._fleet.loop.now())
        if wait_s == 0:
            self._bucket.take(units, self._fleet.loop.now())
        on_decided(Decision(wait_s == 0, wait_s))


class GossipGate:
    """Grants by its own use and by the use that the others' last gossip records report."""

    def __init__(self, fleet, address):
        limit = fleet.limit
        extra_units = BOUNDS.slack(limit.units_per_s, limit.burst_units) / 2
        self._fleet = fleet
        self._peers = fleet.world.routers[address]
        self._times, self._totals = [0.0], [0]
        self._bucket = TokenBucket(
            limit.units_per_s, limit.burst_units + extra_units, fleet.loop.now()
        )
        self._reported = 0

    def total_at(self, at):
        """Return the units that this router had used by a time."""
        return self._totals[bisect.bisect_right(self._times, at) - 1]

    def request(self, tenant, limit, units, on_decided):
        now = self._fleet.loop.now()
        reported = sum(
            self._fleet.gates[record.address].total_at(reported_at)
            for record, reported_at in self._peers.table.timed_records()
        )
        self._bucket.take(max(0, reported - self._reported), now)
        self._reported = max(reported, self._reported)
        wait_s = self._bucket.wait_s(units, now)
        if wait_s == 0:
            self._bucket.take(units, now)
            self._times.append(now)
            self._totals.append(self._totals[-1] + units)
        on_decided(Decision(wait_s == 0, wait_s))


METHODS = {"even": EvenGate, "gossip": GossipGate, "owners": None}


def make_fleet(method, seed, routers):
    """Return a settled fleet that enforces rates with one method."""
    fleet = QuotaFleet(seed, routers, limit=LIMIT)
    fleet.run(SETTLED_S)
    if METHODS[method] is not None:
        fleet.gates = {address: METHODS[method](fleet, address) for address in fleet.addresses}
    fleet.quota_bytes = fleet.quota_datagrams = 0
    return fleet


def compare_row(method, routers):
    """Simulate a greedy tenant and one within its limit; return a row of the table."""
    greedy = make_fleet(method, 1, routers)
    greedy.load("t", 5 * LIMIT.units_per_s, LOAD_S)
    greedy.run(LOAD_S + 2)
    honest = make_fleet(method, 2, routers)
    schedule_conforming(honest, "t", LIMIT, LOAD_S)
    honest.run(LOAD_S + 2)
    waits = sorted(honest.waits_s)
    per_s = len(waits) / LOAD_S
    return (
        f"| {routers} | {method} | {greedy.worst_window():.2f} | {honest.refused_share():.4f} "
        f"| {waits[len(waits) // 2] * 1000:.1f}, {waits[int(len(waits) * 0.99)] * 1000:.1f} "
        f"| {honest.quota_datagrams / LOAD_S / per_s:.1f} "
        f"| {honest.quota_datagrams / LOAD_S / routers:.2f} "
        f"| {honest.quota_bytes / LOAD_S / routers:.0f} |"
    )


def simulate_conforming_tenants(min_requests):
    """Simulate tenants within their limits until enough requests were made; return a summary."""
    requested = refused = 0
    longest_s = 0.0
    for seed in itertools.count():
        few = seed % 2 == 1
        limit = (SMALL, LARGE)[seed // 2 % 2]
        fleet = QuotaFleet(seed, 16, limit=limit)
        fleet.run(SETTLED_S)
        routers = fleet.addresses[:2] if few else None
        for number in range(8):
            schedule_conforming(fleet, f"t{number}", limit, LOAD_S, routers=routers)
        fleet.run(LOAD_S + 3)
        requested += len(fleet.waits_s)
        refused += len(fleet.refused)
        longest_s = max(longest_s, *fleet.waits_s)
        if requested >= min_requests:
            return (
                f"{requested} requests, {refused} refused, longest wait {longest_s * 1000:.1f} ms"
            )


def main():
    """Print the table."""
    EVENT_LOG.open("")
    EVENT_LOG._output = -1
    if sys.argv[1] == "honest":
        print(simulate_conforming_tenants(int(sys.argv[2])))
        return
    sizes = [int(text) for text in sys.argv[1].split(",")]
    for routers, method in itertools.product(sizes, METHODS):
        print(compare_row(method, routers), flush=True)


if __name__ == "__main__":
    main()

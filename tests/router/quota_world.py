"""Simulates routers that enforce rate limits, in virtual time, with real gossip and lossy links."""

import bisect
import random

from martenrun.router.peer_messages import encode
from martenrun.router.quotas.gate import QuotaGate
from martenrun.router.quotas.limit import QuotaBounds, RateLimit
from martenrun.router.quotas.messages import QuotaStage
from martenrun.router.quotas.owners import AccountOwners
from martenrun.router.settings import RouterSettings

from .builders import bounds
from .gossip_world import GossipWorld

BOUNDS = QuotaBounds(window_s=8.0, over_share=0.1, slack_units=110_000.0)

UDP_HEADER_BYTES = 28

PROMPT_TOKENS = (9_190, 9_190, 875, 875, 875, 200)
"""Units of callers' requests, chosen at random: long prompts, short queries, plain requests."""


class PartitionedWorld(GossipWorld):
    """A simulation in which some routers cannot reach others.

    ``groups`` maps each router that is cut off to its partition; all others share one.
    """

    def __init__(self, seed, **arguments):
        super().__init__(seed, **arguments)
        self.groups = {}
        self.bytes_sent = 0
        self.datagrams = 0

    def deliver(self, sender, address, data):
        """Send a datagram unless the routers are in different partitions."""
        if self.groups.get(sender) == self.groups.get(address):
            self.send(address, data)


class QuotaFleet:
    """Routers with rate-limited accounts, their callers, and the requests that reached runners.

    Args:
        seed: seed of the random generator.
        count: number of routers.
        loss: probability that a datagram about accounts is lost.
    """

    def __init__(
        self, seed, count, zones=3, loss=0.0, limit=None, is_first_start=True, bounds=BOUNDS
    ):
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.world = PartitionedWorld(seed, delays_s=(0.001, 0.002))
        self.loop = self.world.loop
        self.loss = loss
        self.limit = limit or RateLimit(333_366.0, 333_366.0, True, 200)
        self.addresses = [f"10.{n % zones}.0.{n // zones + 1}:7" for n in range(count)]
        self.gates = {}
        self.configuration = 1
        self.arrived = []
        self.refused = []
        self.waits_s = []
        self.quota_bytes = 0
        self.quota_datagrams = 0
        self.in_force = [(0.0, self.limit)]
        for address in self.addresses:
            self.start(address, is_first_start)

    def start(self, address, is_first_start=False):
        """Start a router, replacing an earlier incarnation at its address."""
        seeds = tuple(self.addresses[:3])
        stage = QuotaStage.ESTABLISHED if is_first_start else QuotaStage.JOINING
        self.world.start(address, seeds, address.split(".")[1], quota_stage=stage.value)
        peers = self.world.routers[address]
        peers._send = lambda to, data: self.world.deliver(address, to, data)
        peers.send = lambda to, message: self._send(address, peers, to, message)
        settings = RouterSettings(
            name=address,
            zone="z",
            front_address="",
            ready_address="",
            directory_address="",
            internal_address=address,
            seeds=seeds,
            store_address="",
            bounds=bounds(quota=self.bounds),
            maximum_descriptors=1,
            link_bytes_per_s=1.0,
            capacity=1.0,
            is_first_start=is_first_start,
        )
        owners = AccountOwners(
            self.loop.now,
            peers,
            lambda: gate.is_starting(),
            seeds,
        )
        gate = QuotaGate(
            self.loop, peers, address, owners, lambda: self.configuration, lambda: settings
        )
        peers._on_quota_message = gate.handle_message
        peers._refresh = lambda own: setattr(own, "quota_stage", gate.stage().value)
        self.gates[address] = gate
        self._run_maintenance(address, gate)

    def _run_maintenance(self, address, gate):
        if self.gates.get(address) is gate:
            if not self.world.routers[address].is_suspended:
                gate.run_maintenance()
            self.loop.call_later(0.25, lambda: self._run_maintenance(address, gate))

    def stop(self, address):
        """Kill a router; its callers are refused until it is restarted."""
        self.world.stop(address)
        del self.gates[address]

    def leave(self, address, grace_s=3.0):
        """Shut a router down: it announces that it leaves, serves on for a while, and exits."""
        self.addresses.remove(address)
        peers = self.world.routers[address]
        peers.own.is_leaving = True
        peers.broadcast_record()
        self.loop.call_later(grace_s, lambda: self.stop(address))

    def vanish(self, address):
        """Remove a router permanently and without notice."""
        self.addresses.remove(address)
        self.stop(address)

    def restart(self, addresses, after_s):
        """Kill some routers and restart them."""
        for address in addresses:
            self.stop(address)
        self.loop.call_later(after_s, lambda: [self.start(address) for address in addresses])

    def cut(self, addresses, group, for_s=None):
        """Cut routers off from the others but not from each other."""
        self.world.groups.update(dict.fromkeys(addresses, group))
        if for_s is not None:
            self.loop.call_later(for_s, lambda: [self.world.groups.pop(a, None) for a in addresses])

    def change_limit(self, limit):
        """Put a newer configuration into effect at all routers."""
        self.configuration += 1
        self.limit = limit
        self.in_force.append((self.now(), limit))

    def _send(self, sender, peers, addresses, message):
        for address in addresses:
            self.quota_bytes += len(encode(message)) + UDP_HEADER_BYTES
            self.quota_datagrams += 1
            if self.rng.random() >= self.loss:
                type(peers)._send_to(peers, [address], message)

    def now(self):
        return self.world.now()

    def run(self, seconds):
        self.world.run(seconds)

    # Callers

    def request(self, tenant, units, address=None):
        """Send one request to a router; if granted, it reaches a runner at once."""
        router = address or self.rng.choice(self.addresses)
        gate = self.gates.get(router)
        if gate is None or self.world.routers[router].is_suspended:
            return
        requested_at = self.loop.now()

        def decided(grant):
            if self.gates.get(router) is not gate:
                return
            self.waits_s.append(self.loop.now() - requested_at)
            if grant.is_granted:
                self.arrived.append((self.now(), tenant, units))
            else:
                self.refused.append((self.now(), tenant, units, grant.wait_s))

        gate.request(tenant, self.limit, units, decided)

    def load(self, tenant, units_per_s, for_s, routers=None):
        """Let a tenant request units at a mean rate, at random times and routers."""
        mean = sum(PROMPT_TOKENS) / len(PROMPT_TOKENS)
        at_s = 0.0
        while True:
            at_s += self.rng.expovariate(units_per_s / mean)
            if at_s > for_s:
                return
            units = self.rng.choice(PROMPT_TOKENS)
            address = self.rng.choice(routers) if routers else None
            self.loop.call_later(at_s, lambda u=units, a=address: self.request(tenant, u, a))

    # Requests that reached runners

    def worst_window(self, tenant="t", since=0.0):
        """Return the most units that reached runners within a window, relative to the bound."""
        limit = self.limit
        allowed = self.bounds.window_units(limit.units_per_s, limit.burst_units)
        return self.most_in_window(tenant, since) / (
            allowed + self.bounds.slack(limit.units_per_s, limit.burst_units)
        )

    def most_in_window(self, tenant="t", since=0.0):
        """Return the most units that reached runners within a window."""
        runs = [(at, units) for at, name, units in self.arrived if name == tenant and at >= since]
        times = [at for at, _ in runs]
        sums = [0]
        for _, units in runs:
            sums.append(sums[-1] + units)
        return max(
            (
                sums[bisect.bisect_right(times, at + self.bounds.window_s)] - sums[i]
                for i, at in enumerate(times)
            ),
            default=0,
        )

    def refused_share(self, tenant="t", since=0.0):
        """Return the fraction of a tenant's requests that were refused."""
        refused = sum(name == tenant and at >= since for at, name, *_ in self.refused)
        served = sum(name == tenant and at >= since for at, name, _ in self.arrived)
        return refused / max(1, refused + served)

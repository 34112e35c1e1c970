"""A cluster of hollow nodes that run nothing but membership, in virtual time."""

import functools
import random
from collections.abc import Callable, Sequence

from martenrun.membership.gossip import GossipMembership
from martenrun.membership.record import MemberStatus
from martenrun.membership.view import Member
from martenrun.settings.model import MembershipSettings
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler

SEEDS = 3
ZONES = 6
ZONES_PER_REGION = 2
START_SPREAD_S = 1.0
"""Time over which the nodes of a cluster start, in seconds."""


class MemberCluster:
    """Hollow nodes over a simulated network; node ``i`` is in zone ``i mod 6``.

    Attributes:
        views: membership of every running node, by address.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        faults: LinkFaults | None = None,
        settings: MembershipSettings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.scheduler = Scheduler()
        self.faults = faults or LinkFaults()
        self.network = SimulatedNetwork(self.scheduler, self.rng, self.faults)
        self.settings = settings or MembershipSettings()
        self.addresses = [f"10.0.{i // 256}.{i % 256}:7000" for i in range(nodes)]
        self.views: dict[str, GossipMembership] = {}
        self.processes: dict[str, HollowProcess] = {}
        for address in self.addresses:
            self.scheduler.after(
                self.rng.uniform(0, START_SPREAD_S), functools.partial(self.start, address)
            )

    def zone(self, address: str) -> int:
        """Return the number of a node's zone."""
        return self.addresses.index(address) % ZONES

    def in_zone(self, zone: int) -> list[str]:
        """Return the addresses of a zone."""
        return self.addresses[zone::ZONES]

    def in_region(self, region: int) -> list[str]:
        """Return the addresses of a region."""
        first = region * ZONES_PER_REGION
        return [a for zone in range(first, first + ZONES_PER_REGION) for a in self.in_zone(zone)]

    def start(self, address: str) -> None:
        """Start a node without any memory; also how one restarts."""
        zone = self.zone(address)
        own = Member(address, f"zone-{zone}", f"region-{zone // ZONES_PER_REGION}")
        rng = random.Random(self.rng.random())
        view = GossipMembership(own, self.addresses[:SEEDS], self.settings, rng)
        self.views[address] = view
        self.processes[address] = HollowProcess(
            address, [view], self.scheduler, self.network, carriers={}
        )

    def kill(self, address: str) -> None:
        """End a node at once."""
        self.processes.pop(address).kill()
        del self.views[address]

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.scheduler.run_until(self.scheduler.now + seconds)

    def run_until(
        self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.1
    ) -> float:
        """Run until a condition holds; returns the seconds it took.

        Raises:
            TimeoutError: it does not hold after ``limit_s``.
        """
        started = self.scheduler.now
        while not condition():
            if self.scheduler.now - started >= limit_s:
                raise TimeoutError(f"not within {limit_s} s of virtual time")
            self.run(step_s)
        return self.scheduler.now - started

    def live_seen_by(self, address: str) -> set[str]:
        """Return the addresses a node believes to be live."""
        return {member.address for member in self.views[address].live()}

    def agrees(self, expected: Sequence[str] | None = None) -> bool:
        """Return whether every running node's live members are exactly ``expected``.

        Args:
            expected: all running nodes if not given.
        """
        wanted = set(self.views if expected is None else expected)
        return all(self.live_seen_by(address) == wanted for address in self.views)

    def count_believing(self, address: str, status: MemberStatus) -> int:
        """Return how many running nodes hold a status of a member."""
        return sum(view.statuses().get(address) is status for view in self.views.values())

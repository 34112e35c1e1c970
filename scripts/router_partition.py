"""Cuts some routers off from the store and from other routers, or slows them down.

Callers and runners reach the routers as before.  Make the partition before the deployment begins:
its routers connect through the relays that are made here.
"""

from collections.abc import Iterable, Sequence
from enum import Flag, auto

from faulty_relay import FaultyRelay
from platform_deployment import PlatformDeployment
from router_run import RouterRun


class Way(Flag):
    """What a partition concerns."""

    STORE = auto()
    CONNECTIONS_OUT = auto()
    CONNECTIONS_IN = auto()
    DATAGRAMS_OUT = auto()
    DATAGRAMS_IN = auto()

    CONNECTIONS = CONNECTIONS_OUT | CONNECTIONS_IN
    DATAGRAMS = DATAGRAMS_OUT | DATAGRAMS_IN
    OUT = STORE | CONNECTIONS_OUT | DATAGRAMS_OUT
    IN = CONNECTIONS_IN | DATAGRAMS_IN
    ALL = OUT | IN


class RouterPartition:
    """Separates some routers from the store and from the other routers.

    Args:
        deployment: its program must follow links, as LINKED_ROUTER does.
        routers: the routers that are separated, also from each other.
    """

    def __init__(self, deployment: PlatformDeployment, routers: Sequence[RouterRun]) -> None:
        self._deployment = deployment
        self.routers = list(routers)
        for router in self.routers:
            store = deployment.store.address
            router.router_links[store] = FaultyRelay(store, router.ip)
            for other in deployment.routers:
                if other is not router:
                    _link(router, other)
                    _link(other, router)
        for router in deployment.routers:
            router.write_links()

    @property
    def others(self) -> list[RouterRun]:
        """Return the routers that stay in touch."""
        return [router for router in self._deployment.routers if router not in self.routers]

    def cut(self, ways: Way = Way.ALL) -> None:
        """Let no packet pass until :meth:`restore`; open connections stop and new ones hang."""
        for relay in self._relays(ways):
            relay.stall()
        self._write_datagram_faults(ways, None)

    def slow_down(self, delay_s: float, ways: Way = Way.ALL) -> None:
        """Delay each datagram and each piece of a connection until :meth:`restore`, in seconds."""
        for relay in self._relays(ways):
            relay.delay_s = delay_s
        self._write_datagram_faults(ways, delay_s)

    def restore(self) -> None:
        """Let all packets pass again; what connections held up passes now."""
        for relay in self._relays(Way.ALL):
            relay.restore()
        for router in self._deployment.routers:
            router.write_datagram_faults({})

    def _relays(self, ways: Way) -> Iterable[FaultyRelay]:
        store = self._deployment.store.address
        separated = {router.ip for router in self.routers}
        for router in self._deployment.routers:
            for address, relay in router.router_links.items():
                if address == store:
                    way = Way.STORE
                elif router.ip in separated:
                    way = Way.CONNECTIONS_OUT
                    if address.rpartition(":")[0] in separated:
                        way |= Way.CONNECTIONS_IN
                else:
                    way = Way.CONNECTIONS_IN
                if way & ways:
                    yield relay

    def _write_datagram_faults(self, ways: Way, delay_s: float | None) -> None:
        separated = [router.ip for router in self.routers]
        for router in self._deployment.routers:
            others = [it.ip for it in self._deployment.routers if it is not router]
            harmed: set[str] = set()
            if Way.DATAGRAMS_OUT in ways and router in self.routers:
                harmed.update(others)
            if Way.DATAGRAMS_IN in ways:
                harmed.update(ip for ip in separated if ip != router.ip)
            router.write_datagram_faults(dict.fromkeys(sorted(harmed), delay_s))


def _link(router: RouterRun, other: RouterRun) -> None:
    """Give a router relays of its own to another one."""
    for address in (other.internal, other.front):
        if address not in router.router_links:
            router.router_links[address] = FaultyRelay(address, router.ip)

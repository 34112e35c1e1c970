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
        self._ways = Way(0)
        self._delay_s: float | None = None
        self._harmed: set[FaultyRelay] = set()
        for router in self.routers:
            link_router(deployment, router)

    @property
    def others(self) -> list[RouterRun]:
        """Return the routers that stay in touch."""
        return [router for router in self._deployment.routers if router not in self.routers]

    def cut(self, ways: Way = Way.ALL) -> None:
        """Let no packet pass until :meth:`restore`; open connections stop and new ones hang."""
        self._ways, self._delay_s = ways, None
        self.refresh()

    def slow_down(self, delay_s: float, ways: Way = Way.ALL) -> None:
        """Delay each datagram and each piece of a connection until :meth:`restore`, in seconds."""
        self._ways, self._delay_s = ways, delay_s
        self.refresh()

    def refresh(self) -> None:
        """Harm also the ways to routers that have been linked since."""
        for relay in set(self._relays(self._ways)) - self._harmed:
            self._harmed.add(relay)
            if self._delay_s is None:
                relay.stall()
            else:
                relay.delay_s = self._delay_s
        self._write_datagram_faults()

    def restore(self) -> None:
        """Let all packets pass again; what connections held up passes now."""
        for relay in self._harmed:
            relay.restore()
        self._harmed.clear()
        self._ways = Way(0)
        self._write_datagram_faults()

    def _relays(self, ways: Way) -> Iterable[FaultyRelay]:
        separated = {router.ip for router in self.routers}
        for router in self._deployment.routers:
            store = _store_address(self._deployment, router)
            for address, relay in router.router_links.items():
                way = Way(0)
                if router.ip in separated:
                    way |= Way.STORE if address == store else Way.CONNECTIONS_OUT
                if address.rpartition(":")[0] in separated:
                    way |= Way.CONNECTIONS_IN
                if way & ways:
                    yield relay

    def _write_datagram_faults(self) -> None:
        separated = {router.ip for router in self.routers}
        for router in self._deployment.routers:
            others = {it.ip for it in self._deployment.routers} - {router.ip}
            harmed: set[str] = set()
            if Way.DATAGRAMS_OUT in self._ways and router.ip in separated:
                harmed |= others
            if Way.DATAGRAMS_IN in self._ways:
                harmed |= separated & others
            router.write_datagram_faults(dict.fromkeys(sorted(harmed), self._delay_s))


def link_router(deployment: PlatformDeployment, router: RouterRun) -> None:
    """Let a router and all others reach each other through relays, and the router the store."""
    _relay(router, _store_address(deployment, router))
    for other in deployment.routers:
        if other is not router:
            for address in (other.internal, other.front):
                _relay(router, address)
            for address in (router.internal, router.front):
                _relay(other, address)
            other.write_links()
    router.write_links()


def _store_address(deployment: PlatformDeployment, router: RouterRun) -> str:
    """Return the store's address in the router's settings."""
    return deployment.store.address if router.store is None else router.store.address


def _relay(router: RouterRun, address: str) -> None:
    """Give a router a relay of its own to an address."""
    if address not in router.router_links:
        router.router_links[address] = FaultyRelay(address, router.ip)

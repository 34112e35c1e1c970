"""Which routers the directory tells callers of."""

import pytest

from martenrun.net.http import HttpRequest
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.router_discovery import RouterDiscovery

from .test_forwarding import FakeExchange
from .test_partition_monitor import FakePeers, record


def addresses(own, *others, zone="z1"):
    """Return the addresses in the response of a directory."""
    discovery = RouterDiscovery(
        PLATFORM_ADAPTER, FakePeers(own, list(others)), lambda _own: None, lambda: True
    )
    target = b"/martenrun/resolve?name=a&region=r&zone=" + zone.encode()
    exchange = FakeExchange(HttpRequest(b"GET", target, [], b"", 0.0))
    discovery.serve_directory(exchange)
    body = exchange.responses[0][2]
    return sorted(name for name in ("a", "b", "c", "d") if f'"{name}-front"'.encode() in body)


# Guards against callers that are sent to routers which reach no runners.
def test_routers_that_are_cut_off_are_left_out():
    cut = record("a", is_cut_off=True)
    assert addresses(cut, record("b"), record("c"), record("d", is_cut_off=True)) == ["b", "c"]


def test_a_zone_whose_routers_are_cut_off_gets_those_of_other_zones():
    others = [record("b", is_cut_off=True), record("c", zone="z2"), record("d", zone="z3")]
    assert addresses(record("a"), *others) == ["a", "c", "d"]
    assert addresses(record("a", is_cut_off=True), *others) == ["c", "d"]


# Guards against an empty directory when the runners themselves are gone.
@pytest.mark.parametrize("count", [1, 3])
def test_all_routers_stay_if_all_are_cut_off(count):
    records = [record(name, is_cut_off=True) for name in "abc"[:count]]
    assert addresses(*records) == sorted("abc"[:count])


# Guards against a few routers that get the callers of a whole zone.
def test_a_zone_whose_routers_are_mostly_cut_off_is_served_by_all_zones():
    own = record("a")
    zone = [record(name, is_cut_off=True) for name in ("e", "f", "g")]
    assert addresses(own, record("b"), *zone, record("c", zone="z2")) == ["a", "b", "c"]
    assert addresses(own, record("b"), zone[0], zone[1], record("c", zone="z2")) == ["a", "b"]

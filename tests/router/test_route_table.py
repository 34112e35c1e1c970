"""Lookup of routes by host and longest prefix, of tenants by key, and weighted splits."""

import collections

from martenrun.router.messages import Call, WeightedService
from martenrun.router.route_table import RouteTable, TrafficSplitter

from .builders import configuration, route


def call(path, host="a.example", key=b"k1"):
    return Call(b"id", host, path, key, 1.0, None, (), 0, 0)


def test_the_longest_matching_prefix_wins():
    short, long = route(name="short", path_prefix="/a/"), route(name="long", path_prefix="/a/b/")
    table = RouteTable(configuration(1, routes=(short, long)))
    assert table.route(call("/a/b/c")).name == "long"
    assert table.route(call("/a/x")).name == "short"
    assert table.route(call("/b/")) is None
    assert table.route(call("/a/x", host="other")) is None


def test_api_keys_identify_tenants():
    table = RouteTable(configuration(1))
    assert table.tenant(call("/a/")).name == "t"
    assert table.tenant(call("/a/", key=b"other")) is None
    assert table.tenant(call("/a/", key=None)) is None
    assert table.needs_key(route()) and not table.needs_key(route(is_open=True))


def test_a_split_gives_each_service_its_share_in_any_interval():
    parts = (WeightedService("x", 90), WeightedService("y", 10))
    splitter = TrafficSplitter()
    chosen = [splitter.next_service(route(split=parts)) for _ in range(200)]
    assert collections.Counter(chosen) == {"x": 180, "y": 20}
    assert collections.Counter(chosen[:10]) == {"x": 9, "y": 1}

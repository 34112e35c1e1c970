"""Origins of streams survive the routers that recorded them, and are found by any other."""

import pytest

from martenrun.router.origins import exchange as origin_exchange
from martenrun.router.origins import table as origin_table
from martenrun.router.origins.messages import OriginQuery, OriginUpdate
from martenrun.router.origins.table import OriginTable, StreamOrigin, stream_key

from .origin_world import DETECTION_S, OriginWorld

SIZES = [3, 16, 79]


def origin(software="v1", sent_after_ms=1, expires_at=100.0, service="s"):
    return StreamOrigin(service, software, sent_after_ms, expires_at)


def holders(world, name):
    key = stream_key("t", name.encode())
    return [
        address
        for address in world.addresses
        if world.routers[address].exchange._known(key) is not None
    ]


# The table


def test_the_runner_that_a_stream_was_sent_to_last_takes_precedence():
    table = OriginTable()
    table.put(1, origin("v2", sent_after_ms=30))
    table.put(1, origin("v1", sent_after_ms=5))
    assert table.get(1, 0.0).software == "v2"
    table.put(1, origin("v3", sent_after_ms=40))
    assert table.get(1, 0.0).software == "v3"


def test_contradictory_origins_name_no_software_version():
    table = OriginTable()
    table.put(1, origin("v1"))
    table.put(1, origin("v2"))
    assert table.get(1, 0.0).software == ""


def test_origins_expire_and_those_that_end_first_give_way(monkeypatch):
    monkeypatch.setattr(origin_table, "MAXIMUM_RECORDS", 10)
    table = OriginTable()
    for number in range(20):
        table.put(number, origin(expires_at=100.0 + number))
    assert table.get(0, 99.0) and not table.get(0, 100.0)
    table.drop_expired(99.0)
    assert len(table) == 10 and not table.get(9, 99.0) and table.get(10, 99.0)
    table.drop_expired(114.0)
    assert len(table) == 5


# Guards against tenants that learn of each other's streams, or steer them.
def test_streams_of_tenants_are_kept_apart():
    keys = {stream_key(None, b"a"), stream_key("t", b"a"), stream_key("u", b"a")}
    assert len(keys) == 3
    world = OriginWorld(5)
    world.begin("r0", "a")
    world.run(0.1)
    assert world.find("r1", "a", tenant="u")[0] is None


# Sharing


@pytest.mark.parametrize("count", SIZES)
def test_an_origin_is_found_at_every_router_after_its_router_was_killed(count):
    world = OriginWorld(count)
    for number in range(20):
        world.begin("r0", f"a{number}", software=f"v{number % 2}")
    world.run(0.01)
    world.kill("r0")
    for number in range(20):
        software, took_s = world.find(world.addresses[number % (count - 1)], f"a{number}")
        assert software == f"v{number % 2}" and took_s < 0.1


def test_nothing_is_sent_while_a_single_software_version_serves():
    world = OriginWorld(16)
    world.is_mixed = False
    for number in range(50):
        world.begin("r0", f"a{number}")
    world.run(2.0)
    assert world.datagrams == 0


# Guards against streams begun just before a second software version appeared.
def test_origins_are_shared_once_a_second_software_version_serves():
    world = OriginWorld(16)
    world.is_mixed = False
    world.begin("r0", "a")
    world.run(0.1)
    world.is_mixed = True
    assert world.find("r1", "a")[0] == "v1"
    world.run(0.5)
    world.kill("r0")
    assert world.find("r2", "a")[0] == "v1"


@pytest.mark.parametrize("count", SIZES)
def test_an_origin_survives_successive_kills_of_all_routers_that_keep_it(count):
    world = OriginWorld(count)
    world.begin("r0", "a", lifetime_s=60.0)
    world.run(0.1)
    for address in holders(world, "a"):
        if len(world.addresses) > 1:
            world.kill(address)
            world.run(DETECTION_S + 0.6)
    assert world.find(world.addresses[0], "a")[0] == "v1"


def test_an_origin_survives_successive_restarts_of_all_routers():
    world = OriginWorld(7)
    world.begin("r0", "a", lifetime_s=60.0)
    world.run(0.1)
    for address in list(world.addresses):
        world.kill(address)
        world.start(address)
        world.run(0.6)
    assert world.find("r3", "a")[0] == "v1"


# Guards against origins that are lost with routers that leave one after the other.
def test_a_leaving_router_hands_its_origins_over():
    world = OriginWorld(7)
    world.begin("r0", "a", lifetime_s=60.0)
    world.run(0.1)
    for address in list(world.addresses)[:-1]:
        world.routers[address].record.is_leaving = True
        world.run(0.6)
        world.kill(address)
    assert world.find("r6", "a")[0] == "v1"


def test_a_changed_origin_reaches_routers_over_lossy_links():
    wrong = missing = 0
    for seed in range(60):
        world = OriginWorld(16, seed=seed, loss=0.05)
        world.begin("r0", "a", software="v1", sent_after_ms=2)
        world.run(0.05)
        world.begin("r0", "a", software="v2", sent_after_ms=50)
        world.run(0.2)
        world.kill("r0")
        software, _ = world.find(f"r{1 + seed % 15}", "a")
        wrong += software == "v1"
        missing += software is None
    assert (wrong, missing) == (0, 0)


# Guards against origins that contradict each other because two sends took less than a millisecond.
def test_the_later_of_two_sends_in_a_millisecond_takes_precedence():
    world = OriginWorld(5)
    world.begin("r0", "a", software="v1", sent_after_ms=0)
    world.begin("r0", "a", software="v2", sent_after_ms=0)
    world.run(0.1)
    world.kill("r0")
    assert world.find("r1", "a")[0] == "v2"


# Guards against a stream that goes on at the version of an earlier send: a router that keeps its
# origin missed the later one.
@pytest.mark.parametrize("asker", ["an owner that missed it", "another router"])
def test_an_outdated_origin_gives_way_to_those_of_other_owners(asker):
    wrong = 0
    for seed in range(20):
        world = OriginWorld(7, seed=seed)
        world.begin("r0", "a", software="v1", sent_after_ms=2)
        world.run(0.05)
        outdated = next(address for address in holders(world, "a") if address != "r0")
        world.cut_off([outdated])
        world.begin("r0", "a", software="v2", sent_after_ms=50)
        world.run(0.2)
        world.cut_off([])
        world.kill("r0")
        others = [address for address in world.addresses if address not in holders(world, "a")]
        found_at = outdated if asker == "an owner that missed it" else others[0]
        wrong += world.find(found_at, "a")[0] != "v2"
    assert wrong == 0


# Guards against the version of a failed send, after which another router sent the stream on.
def test_the_router_that_forwarded_a_stream_asks_where_it_was_sent():
    world = OriginWorld(7)
    world.begin("r0", "a", software="v1", sent_after_ms=2)
    world.run(0.05)
    world.cut_off(["r0"])
    world.begin("r1", "a", software="v2", sent_after_ms=50)
    world.run(0.2)
    world.cut_off([])
    world.routers["r0"].exchange.disown(stream_key("t", b"a"))
    assert world.find("r0", "a")[0] == "v2"


# Guards against routers of earlier versions that cannot read the messages.
def test_routers_of_earlier_versions_are_sent_nothing():
    world = OriginWorld(0)
    for number in range(6):
        world.start(f"r{number}", keeps_stream_software=number < 3)
    world.run(1.0)
    world.begin("r0", "a")
    world.run(0.1)
    assert world.find("r1", "b")[0] is None
    assert {address for _, address, _ in world.sent} <= {"r0", "r1", "r2"}


# Searching


def test_an_unknown_stream_is_reported_at_once_if_all_respond():
    world = OriginWorld(16)
    software, took_s = world.find("r0", "never")
    assert software is None and took_s < 0.02


def test_an_unknown_stream_is_reported_within_two_timeouts_if_routers_are_suspended():
    world = OriginWorld(16)
    for number in range(1, 6):
        world.suspend(f"r{number}")
    software, took_s = world.find("r0", "never")
    assert software is None and took_s < 0.2


def test_an_origin_is_found_while_two_of_its_owners_are_suspended():
    world = OriginWorld(16)
    world.begin("r0", "a")
    world.run(0.1)
    world.kill("r0")
    for address in holders(world, "a")[:2]:
        world.suspend(address)
    asked = next(a for a in world.addresses if a not in holders(world, "a"))
    assert world.find(asked, "a")[0] == "v1"


def test_an_origin_is_unknown_on_the_other_side_of_a_partition_and_found_after_it():
    world = OriginWorld(6)
    world.cut_off(["r0", "r1"])
    world.begin("r0", "a")
    world.run(0.1)
    unknown = [a for a in ("r2", "r3", "r4", "r5") if world.find(a, "a")[0] is None]
    assert unknown == ["r2", "r3", "r4", "r5"]
    world.cut_off([])
    assert world.find("r2", "a")[0] == "v1"


# Guards against floods of queries by callers that name streams which never existed.
def test_searches_beyond_the_owners_are_limited():
    world = OriginWorld(79)
    world.sent.clear()
    for number in range(500):
        key = stream_key("t", b"%d" % number)
        world.routers["r0"].exchange.find(key, lambda _origin: None)
    world.run(0.5)
    queries = [message for _, _, message in world.sent if isinstance(message, OriginQuery)]
    wide = origin_exchange.MAXIMUM_WIDE_QUERIES_PER_S * origin_exchange.MAXIMUM_ASKED
    assert len(queries) <= 500 * 3 + 2 * wide


def test_origins_are_collected_in_few_datagrams():
    world = OriginWorld(4)
    for number in range(300):
        world.begin("r0", f"a{number}")
    world.run(0.1)
    updates = [message for _, _, message in world.sent if isinstance(message, OriginUpdate)]
    assert len(updates) <= 3 * 2

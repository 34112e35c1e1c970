"""The router table: newer records win, dead routers are detected, old incarnations refuted."""

import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from martenrun.net.loop import Loop
from martenrun.router.known_router import PREFILL_EXPIRY_S
from martenrun.router.peer_messages import (
    Gossip,
    LoadUpdate,
    RouterHeartbeat,
    RunnerLoad,
    decode,
    encode,
    incarnation_id,
)
from martenrun.router.peers import Peers
from martenrun.router.router_table import (
    DEAD_AFTER_S,
    FORGET_AFTER_S,
    MAX_BROADCAST_ROUTERS,
    MAX_DEPARTED,
    RouterTable,
)

from .gossip_world import router_record
from .loopback import free_address, serve_until

MAX_DELAY_S = 25.0
"""Maximum delay of a record in these tests, in seconds: longer than dead routers are gossiped."""


def record(address, incarnation=1, heartbeat=1, **changes):
    return router_record(address, incarnation, heartbeat, **changes)


def test_newer_records_replace_older_ones_only():
    table = RouterTable(record("a"))
    table.merge([record("b", heartbeat=5, is_leaving=True)], 0.0)
    table.merge([record("b", heartbeat=4)], 0.1)
    assert table.live(0.2)[0].is_leaving
    table.merge([record("b", incarnation=2, heartbeat=1)], 0.3)
    assert not table.live(0.4)[0].is_leaving


def test_router_without_new_heartbeats_is_dead_and_later_forgotten():
    table = RouterTable(record("a"))
    table.merge([record("b")], 0.0)
    table.merge([record("b")], DEAD_AFTER_S)
    assert table.live(DEAD_AFTER_S + 0.1) == []
    assert table.count() == 2
    table.forget_dead(FORGET_AFTER_S + 0.1)
    assert table.count() == 1


def test_own_record_of_another_incarnation_is_refuted():
    table = RouterTable(record("a", incarnation=5))
    table.merge([record("a", incarnation=9)], 0.0)
    assert table.own.incarnation == 10
    table.merge([record("a", incarnation=3)], 0.0)
    assert table.own.incarnation == 10


def test_load_update_is_merged_once_and_in_order():
    table = RouterTable(record("a"))
    table.merge([record("b", heartbeat=5)], 0.0)
    newer = LoadUpdate("b", 1, 7, "i-0", RunnerLoad(2, 9_000, 9_500))
    older = LoadUpdate("b", 1, 6, "i-0", RunnerLoad(1, 3_000, 3_000))
    assert table.merge_load(newer, 0.1)
    assert not table.merge_load(newer, 0.1)
    assert not table.merge_load(older, 0.1)
    assert table.live(0.2)[0].loads == {"i-0": RunnerLoad(2, 9_000, 9_500)}
    table.merge([record("b", heartbeat=6)], 0.3)
    assert table.live(0.4)[0].loads["i-0"].prefill_tokens == 9_000


# Guards against idle runners that look too busy because the update that ends a prefill was lost.
def test_pending_prefill_expires_without_further_updates():
    table = RouterTable(record("a"))
    table.merge([record("b", heartbeat=5, loads={"i-1": RunnerLoad(1, 7_000, 7_000)})], 0.0)
    table.merge_load(LoadUpdate("b", 1, 7, "i-0", RunnerLoad(1, 9_000, 9_500)), 1.0)
    table.update_liveness(PREFILL_EXPIRY_S + 0.5)
    loads = table.records_of([incarnation_id("b", 1)], 1.0)[0].loads
    assert loads == {"i-0": RunnerLoad(1, 9_000, 9_500), "i-1": RunnerLoad(1, 0, 7_000)}
    table.update_liveness(PREFILL_EXPIRY_S + 1.5)
    assert loads["i-0"] == RunnerLoad(1, 0, 9_500)


def test_load_update_of_another_incarnation_or_unknown_router_is_ignored():
    table = RouterTable(record("a"))
    table.merge([record("b", incarnation=3)], 0.0)
    load = RunnerLoad(1, 1_000, 1_000)
    assert not table.merge_load(LoadUpdate("b", 2, 9, "i-0", load), 0.1)
    assert not table.merge_load(LoadUpdate("c", 1, 9, "i-0", load), 0.1)
    assert table.live(0.2)[0].loads == {}


def test_load_updates_go_to_the_own_zone_only_in_a_large_deployment():
    table = RouterTable(record("a"))
    others = [
        record(f"b{n}", zone="z" if n % 4 == 0 else "y") for n in range(MAX_BROADCAST_ROUTERS)
    ]
    table.merge(others[:-1], 0.0)
    assert len(table.load_update_addresses()) == MAX_BROADCAST_ROUTERS - 1
    table.merge(others, 0.0)
    assert set(table.load_update_addresses()) == {r.address for r in others if r.zone == "z"}


def test_load_updates_and_invalid_datagrams_arrive_over_real_sockets():
    loop = Loop()
    received = []

    def peers():
        own = record(free_address())
        return Peers(loop, own, (), lambda _: None, lambda _: None, lambda: None, received.append)

    sender, receiver, unknown = peers(), peers(), peers()
    sender.table.merge([record(receiver.own.address)], loop.now())
    receiver.table.merge([record(sender.own.address)], loop.now())
    unknown.table.merge([record(receiver.own.address)], loop.now())
    unknown.broadcast_load("i-9", RunnerLoad(1, 5_000, 5_000))
    unknown._send(receiver.own.address, b"\xff no message")
    sender.broadcast_load("i-0", RunnerLoad(1, 9_000, 9_200))
    serve_until(loop, lambda: received)
    assert received == ["i-0"]
    assert receiver.live()[0].loads == {"i-0": RunnerLoad(1, 9_000, 9_200)}


def send_gossip(sender, target, now):
    """Merge into one table what another one would send."""
    own = msgspec.structs.replace(sender.own, heartbeat=sender.own.heartbeat)
    records = decode(encode(Gossip([own, *sender.select_records(100, now)]))).records
    target.merge(records, now)


# Guards against a directory that lists a machine 20 s after it left, because a neighbour forgot it
# later and gossiped it again.
def test_neighbour_that_forgets_later_does_not_revive_a_departed_router():
    first, second = RouterTable(record("a")), RouterTable(record("b"))
    first.merge([record("gone", heartbeat=9)], 0.0)
    second.merge([record("gone", heartbeat=9)], 0.8)
    forgotten_at = FORGET_AFTER_S + 0.1
    first.forget_dead(forgotten_at)
    send_gossip(second, first, forgotten_at + 0.1)
    assert "gone" not in [item.address for item in first.live(forgotten_at + 0.2)]
    assert "gone" not in first.addresses()


def test_new_router_learns_of_a_dead_one_as_dead():
    old, new = RouterTable(record("a")), RouterTable(record("b"))
    old.merge([record("gone", heartbeat=9)], 0.0)
    send_gossip(old, new, 10.0)
    assert [item.address for item in new.live(10.0)] == ["a"]
    assert new.count() == 3
    new.forget_dead(FORGET_AFTER_S + 0.1)
    assert "gone" not in new.addresses()


def test_delayed_copy_does_not_revive_a_forgotten_router():
    table = RouterTable(record("a"))
    table.merge([record("gone", heartbeat=9)], 0.0)
    table.forget_dead(FORGET_AFTER_S + 0.1)
    table.merge([record("gone", heartbeat=9)], FORGET_AFTER_S + 1.0)
    assert table.count() == 1


def test_new_incarnation_at_the_address_of_a_forgotten_router_is_alive():
    table = RouterTable(record("a"))
    table.merge([record("b", incarnation=5, heartbeat=9)], 0.0)
    table.forget_dead(FORGET_AFTER_S + 0.1)
    table.merge([record("b", incarnation=6)], FORGET_AFTER_S + 1.0)
    assert [item.address for item in table.live(FORGET_AFTER_S + 1.1)] == ["b"]


# Guards against a router whose records all others ignore, because its wall clock went back and its
# first incarnation is lower than its last one.
def test_router_whose_clock_went_back_is_sent_its_last_incarnation():
    table = RouterTable(record("a"))
    table.merge([record("b", incarnation=50, heartbeat=9)], 0.0)
    table.forget_dead(FORGET_AFTER_S + 0.1)
    restarted = RouterTable(record("b", incarnation=20))
    table.merge([restarted.own], 30.0)
    restarted.merge([table.later_incarnation(restarted.own)], 30.0)
    table.merge([restarted.own], 30.1)
    assert [item.address for item in table.live(30.1)] == ["b"]
    assert table.later_incarnation(restarted.own) is None


def test_number_of_forgotten_routers_is_bounded():
    table = RouterTable(record("a"))
    table.merge([record(f"b{n}") for n in range(MAX_DEPARTED + 50)], 0.0)
    table.forget_dead(FORGET_AFTER_S + 0.1)
    table.merge([record("b49")], FORGET_AFTER_S + 1.0)
    table.merge([record("b50")], FORGET_AFTER_S + 1.0)
    assert table.addresses() == ["b49"]


@given(st.integers())
def test_loss_duplication_delay_and_reordering_do_not_keep_a_departed_router_alive(seed):
    """Tables gossip for a minute after one router has left; messages are lost and delayed."""
    rng = random.Random(seed)
    tables = [RouterTable(record(f"t{n}")) for n in range(4)]
    for table in tables:
        if rng.random() < 0.7:
            table.merge([record("gone", heartbeat=rng.randint(1, 5))], rng.uniform(0.0, 1.0))
    in_transit = []
    for step in range(120):
        now = 1.0 + step * 0.5
        for table in tables:
            table.own.heartbeat += 1
            table.forget_dead(now)
        sender, target = rng.sample(tables, 2)
        heartbeats = sender.live_heartbeats(100, now)
        message = encode(Gossip([sender.own, *sender.select_records(100, now)], heartbeats))
        copies = rng.choice([0, 1, 1, 2])
        delay_s = rng.choice([0.0, 0.1, 1.5, 8.0, MAX_DELAY_S])
        in_transit += [(now + delay_s, target, message)] * copies
        due = [item for item in in_transit if item[0] <= now]
        in_transit = [item for item in in_transit if item[0] > now]
        for _, receiver, late in due:
            gossip = decode(late)
            receiver.merge(gossip.records, now)
            receiver.merge_heartbeats(gossip.heartbeats, now)
        if now > 1.0 + MAX_DELAY_S + 2 * DEAD_AFTER_S:
            for table in tables:
                assert "gone" not in [item.address for item in table.live(now)]


@given(st.lists(st.floats(0.0, 3.0), min_size=1, max_size=12))
def test_age_of_a_record_never_decreases_over_hops(delays_s):
    """Each table receives the record from the previous one only, and forwards it later."""
    now = 0.0
    forwarded = record("gone", heartbeat=9)
    for number, delay_s in enumerate(delays_s):
        table = RouterTable(record(f"t{number}"))
        table.merge([forwarded], now)
        now += delay_s
        received = table.select_records(1, now)
        if not received:
            return
        forwarded = decode(encode(Gossip(received))).records[0]
        assert forwarded.age_ms >= now * 1000 - 1


def test_heartbeat_without_record_keeps_a_router_alive_with_its_last_record():
    table = RouterTable(record("a"))
    table.merge([record("b", heartbeat=5)], 0.0)
    heartbeats = [
        RouterHeartbeat(incarnation_id("b", 1), 9, 100),
        RouterHeartbeat(incarnation_id("c", 1), 1, 0),
    ]
    assert table.merge_heartbeats(heartbeats, 3.0) == [incarnation_id("c", 1)]
    assert [item.address for item in table.live(3.0)] == ["b"]
    table.merge([record("b", heartbeat=7, is_leaving=True)], 3.1)
    assert table.live(3.1)[0].is_leaving
    assert table.merge_heartbeats([RouterHeartbeat(incarnation_id("b", 2), 20, 0)], 9.0)
    assert table.live(9.0) == []


def test_heartbeats_are_sent_for_live_routers_only_and_limited_in_number():
    table = RouterTable(record("a"))
    table.merge([record("gone")], 0.0)
    table.merge([record(f"b{n}") for n in range(5)], 10.0)
    incarnation_ids = {incarnation_id(f"b{n}", 1) for n in range(5)}
    assert {item.incarnation_id for item in table.live_heartbeats(9, 10.0)} == incarnation_ids
    assert len(table.live_heartbeats(3, 10.0)) == 3


def test_records_that_waited_unread_count_as_older():
    table = RouterTable(record("a"))
    table.merge([record("b")], 10.0, late_s=DEAD_AFTER_S + 1.0)
    assert table.live(10.0) == []
    assert table.select_records(1, 10.0)[0].age_ms >= 3_000
    table.merge([record("b", heartbeat=2)], 10.2)
    assert [item.address for item in table.live(10.2)] == ["b"]


def test_load_update_that_waited_unread_does_not_revive_a_departed_router():
    table = RouterTable(record("a"))
    table.merge([record("b", heartbeat=5)], 0.0)
    table.merge_load(LoadUpdate("b", 1, 7, "i-0", RunnerLoad(1, 1, 1)), 10.0, late_s=9.0)
    assert table.live(10.0) == []

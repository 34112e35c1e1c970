"""The table of routers: newer records win, dead ones are noticed, old lives are refuted."""

from martenrun.net.loop import Loop
from martenrun.router.peer_messages import ReadingNews, RouterRecord, RunnerLoad
from martenrun.router.peers import Peers
from martenrun.router.router_table import (
    DEAD_AFTER_S,
    FORGOTTEN_AFTER_S,
    MOST_TOLD_ROUTERS,
    RouterTable,
)

from .loopback import free_address, serve_until


def record(address, incarnation=1, beat=1, **changes):
    fields = {
        "front": "f" + address,
        "zone": "z",
        "is_leaving": False,
        "is_current": True,
        "has_lost_store": False,
        "lease_revision": 0,
        "lease_token": 0,
        "loads": {},
        "weights": {},
    }
    return RouterRecord(
        address=address, incarnation=incarnation, beat=beat, **{**fields, **changes}
    )


def test_newer_records_replace_older_ones_only():
    table = RouterTable(record("a"))
    table.merge([record("b", beat=5, is_leaving=True)], 0.0)
    table.merge([record("b", beat=4)], 0.1)
    assert table.live(0.2)[0].is_leaving
    table.merge([record("b", incarnation=2, beat=1)], 0.3)
    assert not table.live(0.4)[0].is_leaving


def test_a_record_that_no_longer_rises_is_dead_and_later_forgotten():
    table = RouterTable(record("a"))
    table.merge([record("b")], 0.0)
    table.merge([record("b")], DEAD_AFTER_S)
    assert table.live(DEAD_AFTER_S + 0.1) == []
    assert table.count() == 2
    table.forget_dead(FORGOTTEN_AFTER_S + 0.1)
    assert table.count() == 1


def test_a_record_of_an_earlier_life_with_a_higher_number_is_refuted():
    table = RouterTable(record("a", incarnation=5))
    table.merge([record("a", incarnation=9)], 0.0)
    assert table.own.incarnation == 10
    table.merge([record("a", incarnation=3)], 0.0)
    assert table.own.incarnation == 10


def test_a_load_sent_ahead_of_its_record_is_taken_in_once_and_in_order():
    table = RouterTable(record("a"))
    table.merge([record("b", beat=5)], 0.0)
    newer = ReadingNews("b", 1, 7, "i-0", RunnerLoad(2, 9_000, 9_500))
    older = ReadingNews("b", 1, 6, "i-0", RunnerLoad(1, 3_000, 3_000))
    assert table.take_reading(newer, 0.1)
    assert not table.take_reading(newer, 0.1)
    assert not table.take_reading(older, 0.1)
    assert table.live(0.2)[0].loads == {"i-0": RunnerLoad(2, 9_000, 9_500)}
    table.merge([record("b", beat=6)], 0.3)
    assert table.live(0.4)[0].loads["i-0"].tokens_to_read == 9_000


def test_a_load_of_another_life_or_of_an_unknown_router_is_left_out():
    table = RouterTable(record("a"))
    table.merge([record("b", incarnation=3)], 0.0)
    load = RunnerLoad(1, 1_000, 1_000)
    assert not table.take_reading(ReadingNews("b", 2, 9, "i-0", load), 0.1)
    assert not table.take_reading(ReadingNews("c", 1, 9, "i-0", load), 0.1)
    assert table.live(0.2)[0].loads == {}


def test_among_very_many_routers_only_those_of_the_zone_are_told_at_once():
    table = RouterTable(record("a"))
    others = [record(f"b{n}", zone="z" if n % 4 == 0 else "y") for n in range(MOST_TOLD_ROUTERS)]
    table.merge(others[:-1], 0.0)
    assert len(table.told_at_once()) == MOST_TOLD_ROUTERS - 1
    table.merge(others, 0.0)
    assert set(table.told_at_once()) == {r.address for r in others if r.zone == "z"}


def test_a_reading_and_what_cannot_be_understood_come_over_real_datagrams():
    loop = Loop()
    heard = []

    def peers():
        own = record(free_address())
        return Peers(loop, own, (), lambda _: None, lambda _: None, lambda: None, heard.append)

    sender, receiver, stranger = peers(), peers(), peers()
    sender.table.merge([record(receiver.own.address)], loop.now())
    receiver.table.merge([record(sender.own.address)], loop.now())
    stranger.table.merge([record(receiver.own.address)], loop.now())
    stranger.tell_reading("i-9", RunnerLoad(1, 5_000, 5_000))
    stranger._send(receiver.own.address, b"\xff no message")
    sender.tell_reading("i-0", RunnerLoad(1, 9_000, 9_200))
    serve_until(loop, lambda: heard)
    assert heard == ["i-0"]
    assert receiver.live()[0].loads == {"i-0": RunnerLoad(1, 9_000, 9_200)}

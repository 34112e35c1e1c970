"""The table of routers: newer records win, dead ones are noticed, old lives are refuted."""

from martenrun.router.peers import DEAD_AFTER_S, FORGOTTEN_AFTER_S, RouterRecord, RouterTable


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

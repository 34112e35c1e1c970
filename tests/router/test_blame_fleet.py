"""Tests that all routers of a simulated fleet block a crash-causing request in time."""

import pytest

from .blame_fleet import KNOWN_WITHIN_S, TROUBLES, play

LATE_ARRIVALS = 3


@pytest.mark.parametrize("after_ends", [1, 3])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_all_know_in_time_and_few_more_runners_end(trouble, after_ends):
    for seed in range(4):
        fleet, known_after_s = play(seed, 7, trouble, trouble_after=after_ends)
        assert known_after_s < KNOWN_WITHIN_S, seed
        assert fleet.late_arrivals() <= LATE_ARRIVALS, seed


def test_many_routers_know_in_time_after_half_of_them_started_anew():
    fleet, known_after_s = play(1, 30, "half restart")
    assert known_after_s < KNOWN_WITHIN_S
    assert fleet.late_arrivals() <= LATE_ARRIVALS


def test_the_store_is_written_rarely():
    fleet, _ = play(1, 7, "none")
    assert fleet.store.writes <= 2 * len(fleet.crashes)


def test_what_the_store_keeps_outlasts_one_loss_of_power_after_another():
    """Guards against three more crashes after each restart of all routers, caused by a slowly
    repeated request at routers that had run long enough to know of it."""
    fleet, _ = play(1, 7, "none", pause_s=1.5)
    for _ in range(4):
        TROUBLES["all lose power"](fleet)
        fleet.world.run(10.0)
    assert fleet.late_arrivals() <= LATE_ARRIVALS
    assert len(fleet.crashes) <= 4
    assert all(router.knows() for router in fleet.members.values())

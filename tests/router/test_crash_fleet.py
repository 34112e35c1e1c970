"""Tests that all routers of a simulated fleet block a crash-causing request in time."""

import pytest

from .crash_fleet import BLOCKED_WITHIN_S, FAILURES, simulate

LATE_ARRIVALS = 3


@pytest.mark.parametrize("crashes_before", [1, 3])
@pytest.mark.parametrize("failure", FAILURES)
def test_all_routers_block_in_time_and_few_more_runners_crash(failure, crashes_before):
    for seed in range(4):
        fleet, blocked_after_s = simulate(seed, 7, failure, crashes_before=crashes_before)
        assert blocked_after_s < BLOCKED_WITHIN_S, seed
        assert fleet.late_arrivals() <= LATE_ARRIVALS, seed


def test_many_routers_block_in_time_after_half_of_them_restarted():
    fleet, blocked_after_s = simulate(1, 30, "half restart")
    assert blocked_after_s < BLOCKED_WITHIN_S
    assert fleet.late_arrivals() <= LATE_ARRIVALS


def test_store_is_written_rarely():
    fleet, _ = simulate(1, 7, "none")
    assert fleet.store.writes <= 2 * len(fleet.crashes)


def test_stored_records_outlast_repeated_restarts_of_all_routers():
    """Guards against three more crashes after each restart of all routers, caused by a slowly
    repeated request at routers that had run long enough to know of it."""
    fleet, _ = simulate(1, 7, "none", pause_s=1.5)
    for _ in range(4):
        FAILURES["all lose power"](fleet)
        fleet.world.run(10.0)
    assert fleet.late_arrivals() <= LATE_ARRIVALS
    assert len(fleet.crashes) <= 4
    assert all(router.blocks_request() for router in fleet.members.values())

"""Tests for the recovery of accounts from the grants that other routers remember."""

import pytest

from martenrun.router.quotas.account import InitialBalance, LimitShare, PastUse
from martenrun.router.quotas.limit import QuotaBounds, RateLimit
from martenrun.router.quotas.messages import (
    RecalledAccount,
    RecalledUse,
    RecallResponse,
    VersionedLimit,
)
from martenrun.router.quotas.recovery import AccountRecovery, RecoveryContext

from .quota_world import QuotaFleet

LIMIT = VersionedLimit(1, 1_000.0, 2_000.0)
BOUNDS = QuotaBounds(window_s=8.0, over_share=0.1, slack_units=800.0)
WINDOW_MS = 8_000
EXTRA_BURST_UNITS = 100.0
"""An eighth of the fixed slack, which is added to the burst of a full account."""

FULL_UNITS = LIMIT.burst_units + EXTRA_BURST_UNITS
NOW = 100.0


def make_recovery(*routers):
    return AccountRecovery(LIMIT, routers, BOUNDS)


def response(sender, uses=(), remembered_ms=WINDOW_MS, account=None):
    recalled = [RecalledUse(sender, number, units, age_ms) for number, units, age_ms in uses]
    return RecallResponse("t", sender, remembered_ms, recalled, account)


def recover(recovery, **context):
    return recovery.recover(LimitShare(), RecoveryContext(**context), NOW)


def test_balance_of_another_owner_is_restored():
    recovery = make_recovery("a", "b")
    uses = [RecalledUse("a", 1, 1_500, 300)]
    recovery.add_response(response("a", [(1, 1_500, 300)]), NOW)
    recovery.add_response(response("b", account=RecalledAccount(650, WINDOW_MS, uses)), NOW)
    recovered = recover(recovery)
    assert recovered.initial_balance is InitialBalance.TRANSFERRED
    assert recovered.account.level(NOW) == 650
    assert recovered.account.covered_s(NOW) == 8.0


def test_grants_missing_from_the_other_owners_account_are_counted():
    recovery = make_recovery("a", "b")
    recovery.add_response(response("a", [(1, 400, 5)]), NOW)
    recovery.add_response(response("b", account=RecalledAccount(650, WINDOW_MS, [])), NOW)
    assert recover(recovery).account.level(NOW) == 250


def test_grants_of_requesters_are_counted_without_an_account():
    recovery = make_recovery("a", "b", "c")
    recovery.add_response(response("a", [(1, 1_800, 100)]), NOW)
    recovery.add_response(response("b", [(1, 200, 100), (2, 100, 7_000)]), NOW)
    recovery.add_response(response("c"), NOW)
    recovered = recover(recovery)
    assert recovered.initial_balance is InitialBalance.FULL
    assert recovered.account.level(NOW) == pytest.approx(FULL_UNITS - 2_000 + 100)


def test_returned_grants_are_not_counted():
    recovery = make_recovery("a", "b")
    recovery.add_response(
        response("b", account=RecalledAccount(1_000, 500, [RecalledUse("a", 1, 700, 90)])), NOW
    )
    recovery.add_response(response("a", [(1, 0, 90)]), NOW)
    assert recover(recovery).account.level(NOW) == FULL_UNITS


def test_one_router_with_incomplete_history_loses_no_grants():
    """Each grant is known to at least two routers."""
    recovery = make_recovery("a", "b")
    recovery.add_response(response("a", [(1, 500, 10)]), NOW)
    recovery.add_response(response("b", remembered_ms=300), NOW)
    assert recover(recovery).initial_balance is InitialBalance.FULL


@pytest.mark.parametrize(
    "context",
    [{"departure_times": (NOW - 3.0,)}, {"has_complete_view": False}],
    ids=["departed", "incomplete view"],
)
def test_burst_counts_as_used_while_several_histories_are_incomplete(context):
    recovery = make_recovery("a", "b")
    recovery.add_response(response("a", [(1, 500, 100)]), NOW)
    recovery.add_response(response("b", remembered_ms=1_000), NOW)
    recovered = recover(recovery, **context)
    assert recovered.initial_balance is InitialBalance.RESTARTED
    assert recovered.account.level(NOW) < FULL_UNITS - 500


def test_units_refilled_since_histories_are_complete_are_available():
    """After a restart of all routers, units refilled since the last one started are available."""
    levels = []
    for up_ms in (100, 1_100):
        recovery = make_recovery("a", "b")
        recovery.add_response(response("a", remembered_ms=up_ms), NOW)
        recovery.add_response(response("b", remembered_ms=up_ms + 400), NOW)
        levels.append(recover(recovery).account.level(NOW))
    assert levels[1] - levels[0] == pytest.approx(LIMIT.units_per_s)


def test_account_that_covers_a_longer_period_takes_precedence():
    recovery = make_recovery("a", "b", "c")
    recovery.add_response(
        response("a", account=RecalledAccount(900, 500, []), remembered_ms=500), NOW
    )
    recovery.add_response(
        response("b", account=RecalledAccount(300, 4_000, []), remembered_ms=4_000), NOW
    )
    recovered = recover(recovery)
    assert recovered.account.level(NOW) == 300
    assert recovered.account.covered_s(NOW) == 4.0


def test_uses_reported_during_recovery_are_counted():
    recovery = make_recovery("b")
    recovery.add_use(PastUse(("a", 7), 300, NOW - 0.001))
    recovery.add_response(response("b", account=RecalledAccount(1_000, WINDOW_MS, [])), NOW)
    assert recover(recovery).account.level(NOW) == 700


def test_substitute_starts_with_a_lower_balance():
    first, second = make_recovery("a", "b", "c"), make_recovery("a", "b", "c")
    substitute = recover(first, is_substitute=True)
    assert substitute.initial_balance is InitialBalance.SUBSTITUTE
    assert substitute.account.level(NOW) < recover(second).account.level(NOW)


# A fleet whose slack is less than two bursts

RATE = RateLimit(5_100.0, 5_100.0, True, 200)
TIGHT = QuotaBounds(window_s=8.0, over_share=0.1, slack_units=4_000.0)
UNITS = 1_020
ALLOWED = TIGHT.window_units(5_100.0, 5_100.0) + TIGHT.slack(5_100.0, 5_100.0)

EXTRA_UNITS = 4_000.0 / 8
EXACT = TIGHT.window_units(5_100.0, 5_100.0) + 2 * EXTRA_UNITS
"""The most units that one account grants in a window; changes of owners must not add to it."""

SETTLED_S = 16.0
FIRST_WINDOW_S = 4.5
"""Times from the start to the first request, in seconds: after a window, and within the first."""

SEEDS = pytest.mark.parametrize("seed", range(4))
SIZES = pytest.mark.parametrize("routers", [5, 16])
SETTLED = pytest.mark.parametrize("settled_s", [FIRST_WINDOW_S, SETTLED_S])


def tight_fleet(seed, routers, settled_s=SETTLED_S, for_s=24.0):
    """A tenant requests four times its rate, one request every 50 ms, at random routers."""
    fleet = QuotaFleet(seed, routers, limit=RATE, bounds=TIGHT)
    fleet.run(settled_s)
    for number in range(int(for_s / 0.05)):
        fleet.loop.call_later(number * 0.05, lambda: fleet.request("t", UNITS))
    return fleet


def owner_of(fleet):
    """Return the first owner that is not leaving, as seen by one of the routers."""
    owners = fleet.gates[fleet.addresses[-1]]._owners.owners("t")
    return next((address for address in owners if address in fleet.addresses), fleet.addresses[0])


@SEEDS
@SIZES
@SETTLED
@pytest.mark.parametrize("remove", [QuotaFleet.leave, QuotaFleet.vanish], ids=["leave", "vanish"])
def test_account_outlasts_successive_losses_of_owners(seed, routers, settled_s, remove):
    """Guards against new owners that each opened the account with the whole burst.

    Found by the soak with seed 6137.
    """
    fleet = tight_fleet(seed, routers, settled_s)
    for _ in range(3):
        fleet.run(1.5)
        remove(fleet, owner_of(fleet))
    fleet.run(14.0)
    assert fleet.most_in_window() <= EXACT


@SEEDS
@SETTLED
def test_router_joining_with_first_start_settings_recovers_the_account(seed, settled_s):
    """Their settings may claim a first start of all routers, but the others remember grants."""
    fleet = tight_fleet(seed, 6, settled_s)
    for number in range(8):
        fleet.run(0.9)
        address = f"10.9.{seed}.{number + 1}:7"
        fleet.start(address, is_first_start=True)
        fleet.addresses.append(address)
        if number % 2:
            fleet.leave(owner_of(fleet))
    fleet.run(14.0)
    assert fleet.most_in_window() <= EXACT


@SEEDS
def test_account_of_a_restarted_owner_is_recovered_before_use(seed):
    """Its first owner restarts repeatedly while the second keeps granting."""
    fleet = tight_fleet(seed, 8)
    for _ in range(3):
        fleet.run(2.0)
        fleet.restart([owner_of(fleet)], 0.6)
    fleet.run(14.0)
    assert fleet.most_in_window() <= EXACT

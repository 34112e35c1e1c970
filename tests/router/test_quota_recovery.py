"""Tests for the recovery of accounts from the grants that other routers remember."""

import pytest

from martenrun.router.quotas.account import InitialBalance, Part, PastUse
from martenrun.router.quotas.limit import QuotaBounds, RateLimit
from martenrun.router.quotas.messages import (
    QuotaMemory,
    RecalledAccount,
    RecalledUse,
    VersionedLimit,
)
from martenrun.router.quotas.recovery import AccountRecovery, Situation

from .quota_world import QuotaFleet

LIMIT = VersionedLimit(1, 1_000.0, 2_000.0)
BOUNDS = QuotaBounds(window_s=8.0, over_share=0.1, slack_units=800.0)
WHOLE_MS = 8_000
SPARE_UNITS = 100.0
"""An eighth of the fixed slack, which is added to the burst of a full account."""

FULL_UNITS = LIMIT.burst_units + SPARE_UNITS
NOW = 100.0


def recovery(*asked):
    return AccountRecovery(LIMIT, asked, BOUNDS)


def memory(sender, uses=(), remembered_ms=WHOLE_MS, account=None):
    recalled = [RecalledUse(sender, number, units, age_ms) for number, units, age_ms in uses]
    return QuotaMemory("t", sender, remembered_ms, recalled, account)


def opened(made, **situation):
    return made.open(Part(), Situation(**situation), NOW)


def test_another_owners_balance_is_taken_over():
    made = recovery("a", "b")
    uses = [RecalledUse("a", 1, 1_500, 300)]
    made.add(memory("a", [(1, 1_500, 300)]), NOW)
    made.add(memory("b", account=RecalledAccount(650, WHOLE_MS, uses)), NOW)
    opening = opened(made)
    assert opening.beginning is InitialBalance.TRANSFERRED
    assert opening.account.level(NOW) == 650
    assert opening.account.covered_s(NOW) == 8.0


def test_grants_that_the_other_owner_has_not_counted_yet_are():
    made = recovery("a", "b")
    made.add(memory("a", [(1, 400, 5)]), NOW)
    made.add(memory("b", account=RecalledAccount(650, WHOLE_MS, [])), NOW)
    assert opened(made).account.level(NOW) == 250


def test_without_an_account_the_askers_grants_are_counted():
    made = recovery("a", "b", "c")
    made.add(memory("a", [(1, 1_800, 100)]), NOW)
    made.add(memory("b", [(1, 200, 100), (2, 100, 7_000)]), NOW)
    made.add(memory("c"), NOW)
    opening = opened(made)
    assert opening.beginning is InitialBalance.FULL
    assert opening.account.level(NOW) == pytest.approx(FULL_UNITS - 2_000 + 100)


def test_what_was_given_back_counts_nothing():
    made = recovery("a", "b")
    made.add(memory("b", account=RecalledAccount(1_000, 500, [RecalledUse("a", 1, 700, 90)])), NOW)
    made.add(memory("a", [(1, 0, 90)]), NOW)
    assert opened(made).account.level(NOW) == FULL_UNITS


def test_one_router_that_has_forgotten_hides_nothing():
    """Each grant is known to at least two routers."""
    made = recovery("a", "b")
    made.add(memory("a", [(1, 500, 10)]), NOW)
    made.add(memory("b", remembered_ms=300), NOW)
    assert opened(made).beginning is InitialBalance.FULL


@pytest.mark.parametrize(
    "situation", [{"departed_at": (NOW - 3.0,)}, {"knows_all": False}], ids=["departed", "unheard"]
)
def test_where_more_have_forgotten_the_burst_counts_as_used_until_then(situation):
    made = recovery("a", "b")
    made.add(memory("a", [(1, 500, 100)]), NOW)
    made.add(memory("b", remembered_ms=1_000), NOW)
    opening = opened(made, **situation)
    assert opening.beginning is InitialBalance.RESTARTED
    assert opening.account.level(NOW) < FULL_UNITS - 500


def test_what_came_back_since_all_remember_may_be_used():
    """After a restart of all routers, units refilled since the last one started are available."""
    levels = []
    for up_ms in (100, 1_100):
        made = recovery("a", "b")
        made.add(memory("a", remembered_ms=up_ms), NOW)
        made.add(memory("b", remembered_ms=up_ms + 400), NOW)
        levels.append(opened(made).account.level(NOW))
    assert levels[1] - levels[0] == pytest.approx(LIMIT.units_per_s)


def test_of_two_accounts_the_one_that_counts_for_longer_holds():
    made = recovery("a", "b", "c")
    made.add(memory("a", account=RecalledAccount(900, 500, []), remembered_ms=500), NOW)
    made.add(memory("b", account=RecalledAccount(300, 4_000, []), remembered_ms=4_000), NOW)
    opening = opened(made)
    assert opening.account.level(NOW) == 300
    assert opening.account.covered_s(NOW) == 4.0


def test_uses_told_during_the_recovery_count():
    made = recovery("b")
    made.add_use(PastUse(("a", 7), 300, NOW - 0.001))
    made.add(memory("b", account=RecalledAccount(1_000, WHOLE_MS, [])), NOW)
    assert opened(made).account.level(NOW) == 700


def test_a_substitute_begins_with_less():
    one, other = recovery("a", "b", "c"), recovery("a", "b", "c")
    substitute = opened(one, is_substitute=True)
    assert substitute.beginning is InitialBalance.SUBSTITUTE
    assert substitute.account.level(NOW) < opened(other).account.level(NOW)


# A fleet whose slack is less than two bursts

RATE = RateLimit(5_100.0, 5_100.0, True, 200)
TIGHT = QuotaBounds(window_s=8.0, over_share=0.1, slack_units=4_000.0)
UNITS = 1_020
ALLOWED = TIGHT.window_units(5_100.0, 5_100.0) + TIGHT.slack(5_100.0, 5_100.0)

KNOWN_SPARE = 4_000.0 / 8
EXACT = TIGHT.window_units(5_100.0, 5_100.0) + 2 * KNOWN_SPARE
"""The most units that one account grants in a window; changes of owners must not add to it."""

SETTLED_S = 16.0
FIRST_SECONDS_S = 4.5
"""Times from the start to the first request, in seconds: after a window, and within the first."""

SEEDS = pytest.mark.parametrize("seed", range(4))
SIZES = pytest.mark.parametrize("routers", [5, 16])
SETTLED = pytest.mark.parametrize("settled_s", [FIRST_SECONDS_S, SETTLED_S])


def tight_fleet(seed, routers, settled_s=SETTLED_S, for_s=24.0):
    """A tenant requests four times its rate, one request every 50 ms, at random routers."""
    fleet = QuotaFleet(seed, routers, limit=RATE, bounds=TIGHT)
    fleet.run(settled_s)
    for number in range(int(for_s / 0.05)):
        fleet.loop.call_later(number * 0.05, lambda: fleet.ask("t", UNITS))
    return fleet


def owner_of(fleet):
    """Return the first owner that is not leaving, as seen by one of the routers."""
    owners = fleet.gates[fleet.addresses[-1]]._owners.owners("t")
    return next((address for address in owners if address in fleet.addresses), fleet.addresses[0])


@SEEDS
@SIZES
@SETTLED
@pytest.mark.parametrize("end", [QuotaFleet.leave, QuotaFleet.vanish], ids=["leave", "vanish"])
def test_owners_that_go_one_after_the_other_leave_their_account_behind(
    seed, routers, settled_s, end
):
    """Guards against new owners that each opened the account with the whole burst.

    Found by the soak with seed 6137.
    """
    fleet = tight_fleet(seed, routers, settled_s)
    for _ in range(3):
        fleet.run(1.5)
        end(fleet, owner_of(fleet))
    fleet.run(14.0)
    assert fleet.most_in_window() <= EXACT


@SEEDS
@SETTLED
def test_routers_that_join_as_in_a_first_start_take_the_account_as_it_stands(seed, settled_s):
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
def test_an_account_that_lost_touch_for_a_while_is_recovered_before_it_is_used_again(seed):
    """Its first owner restarts repeatedly while the second keeps granting."""
    fleet = tight_fleet(seed, 8)
    for _ in range(3):
        fleet.run(2.0)
        fleet.restart([owner_of(fleet)], 0.6)
    fleet.run(14.0)
    assert fleet.most_in_window() <= EXACT

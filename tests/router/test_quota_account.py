"""Tests for one account: units granted per window, retry delays, and expiry of grants."""

import itertools
import random

import pytest

from martenrun.router.quotas.account import Account, InitialBalance, LimitShare
from martenrun.router.quotas.limit import QuotaBounds, RateLimit
from martenrun.router.quotas.messages import VersionedLimit

LIMIT = VersionedLimit(1, 30_000.0, 30_000.0)
BOUNDS = QuotaBounds(window_s=8.0, over_share=0.1, slack_units=110_000.0)
EXACT = QuotaBounds(window_s=8.0)


FULL_SHARE = LimitShare()
NUMBERS = itertools.count()


def make_account(
    limit=LIMIT, bounds=BOUNDS, initial_balance=InitialBalance.FULL, share=FULL_SHARE, now=0.0
):
    return Account(limit, bounds, initial_balance, share, now)


def request(account, units, now):
    """Request units with a new grant number."""
    return account.request(("a", next(NUMBERS)), units, now)


def grants_over(account, seconds, units, per_s, start=0.0):
    """Return (time, units) of the grants of a tenant that requests units at a fixed rate."""
    granted = []
    for step in range(int(seconds * per_s)):
        now = start + step / per_s
        if request(account, units, now).is_granted:
            granted.append((now, units))
    return granted


def most_in_window(granted, window_s=8.0):
    return max(sum(u for at, u in granted if 0 <= at - start <= window_s) for start, _ in granted)


@pytest.mark.parametrize("units", [200, 875, 9_190, 50_000])
def test_grants_in_any_window_stay_within_the_bound(units):
    granted = grants_over(make_account(), 30, units, 400)
    slack = BOUNDS.slack(LIMIT.units_per_s, LIMIT.burst_units)
    most = most_in_window(granted)
    assert most <= 8 * 30_000 + 30_000 + slack
    assert most >= 8 * 30_000  # the allowance can be used


def test_requests_within_rate_and_burst_are_never_refused():
    """Requests that a bucket of exactly this rate and burst admits, each some ms late."""
    rng = random.Random(5)
    left, at, account = 30_000.0, 0.0, make_account()
    for _ in range(20_000):
        units = rng.choice((200, 875, 875, 9_190))
        wait_s = max(0.0, (units - left) / 30_000) if rng.random() < 0.9 else 1.0
        left = min(30_000.0, left + wait_s * 30_000) - units
        at += wait_s
        assert request(account, units, at + rng.uniform(0.0, 0.005) + 0.01).is_granted


def test_large_requests_are_granted_as_often_as_small_ones():
    rng, account, counts = random.Random(1), make_account(), {875: [0, 0], 9_190: [0, 0]}
    for step in range(20_000):
        units = rng.choice((875, 9_190))
        counts[units][0] += 1
        counts[units][1] += request(account, units, step / 40).is_granted
    shares = {units: granted / requested for units, (requested, granted) in counts.items()}
    assert shares[9_190] > 0.8 * shares[875]


def test_request_larger_than_burst_is_granted_by_a_full_account():
    account = make_account(bounds=EXACT)
    assert request(account, 50_000, 0.0).is_granted
    assert not request(account, 200, 0.1).is_granted
    assert request(account, 200, 0.8).is_granted


def test_oversized_request_blocks_the_account_for_at_most_one_window():
    account = make_account()
    assert request(account, 10**15, 0.0).is_granted
    assert request(account, 200, 10.0).is_granted


def test_retries_of_refused_requests_are_staggered():
    account = make_account(bounds=EXACT)
    request(account, 30_000, 0.0)
    waits = [request(account, 3_000, 0.0).wait_s for _ in range(5)]
    assert waits == pytest.approx([0.1, 0.2, 0.3, 0.4, 0.5])
    assert request(account, 3_000, 0.1).is_granted


def test_retry_delay_is_at_most_one_window():
    account = make_account()
    request(account, 10**6, 0.0)
    assert max(request(account, 50_000, 0.0).wait_s for _ in range(1_000)) <= 10.0


def test_repeated_reports_of_a_grant_count_once():
    account = make_account(bounds=EXACT)
    assert account.request(("a", 1), 10_000, 0.0).is_granted
    assert account.request(("a", 1), 10_000, 0.0).is_granted
    account.record_use(("a", 1), 10_000, 0.0)
    assert account.level(0.0) == 20_000


def test_unused_grant_is_returned_and_a_late_request_for_it_is_ignored():
    account = make_account(bounds=EXACT)
    account.request(("a", 1), 10_000, 0.0)
    account.record_use(("a", 1), 0, 0.0)
    assert account.level(0.0) == 30_000
    assert account.request(("a", 1), 10_000, 0.0) is None
    assert account.level(0.0) == 30_000


def test_grants_expire_after_one_window():
    account = make_account()
    for number in range(1_000):
        account.record_use(("a", number), 1, number * 0.1)
    assert len(account._grants) <= 82


def test_restarted_account_counts_its_burst_as_used():
    large = VersionedLimit(1, 333_366.0, 333_366.0)
    slack = BOUNDS.slack(large.units_per_s, large.burst_units)
    full = make_account(large)
    restarted = make_account(large, initial_balance=InitialBalance.RESTARTED)
    substitute = make_account(large, initial_balance=InitialBalance.SUBSTITUTE)
    assert full.level(0.0) - substitute.level(0.0) == large.burst_units
    assert substitute.level(0.0) < restarted.level(0.0) < min(slack, full.level(0.0))
    assert request(substitute, 9_190, 0.0).is_granted
    assert restarted.level(30.0) == full.level(30.0)


def test_lowered_and_raised_limits_apply_immediately():
    account = make_account(bounds=EXACT)
    account.update_limit(VersionedLimit(2, 3_000.0, 3_000.0), EXACT, FULL_SHARE, 0.0)
    assert account.level(0.0) == 3_000
    account.update_limit(VersionedLimit(3, 60_000.0, 60_000.0), EXACT, FULL_SHARE, 0.0)
    assert account.level(0.0) == 60_000
    request(account, 60_000, 0.0)
    assert account.level(1.0) == 60_000


def test_limit_of_an_older_configuration_is_ignored():
    account = make_account(bounds=EXACT)
    account.update_limit(VersionedLimit(2, 3_000.0, 3_000.0), EXACT, FULL_SHARE, 0.0)
    account.update_limit(LIMIT, EXACT, FULL_SHARE, 0.0)
    assert account.limit.units_per_s == 3_000.0


def test_small_shares_refuse_requests_above_their_capacity():
    account = make_account(share=LimitShare(fraction=0.01))
    assert not request(account, 9_190, 100.0).is_granted
    assert request(account, 200, 100.0).is_granted


def test_rate_factor_does_not_reduce_the_burst():
    account = make_account(bounds=EXACT, share=LimitShare(rate_factor=0.5))
    assert account.level(0.0) == 30_000
    request(account, 30_000, 0.0)
    assert account.level(1.0) == 15_000


@pytest.mark.parametrize("burst", [0.0, 1e-9])
def test_limit_without_burst_grants_requests_one_by_one(burst):
    account = make_account(VersionedLimit(1, 1_000.0, burst), EXACT)
    granted = grants_over(account, 10, 500, 100)
    assert 18 <= len(granted) <= 22


def test_request_units_are_its_tokens_or_one():
    tokens = RateLimit(10.0, 10.0, counts_tokens=True, plain_tokens=200)
    assert [tokens.units(9_190), tokens.units(None), tokens.units(0)] == [9_190, 200, 1]
    requests = RateLimit(10.0, 10.0)
    assert [requests.units(9_190), requests.units(None)] == [1, 1]

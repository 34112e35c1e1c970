"""Tests for one account: units granted per window, retry delays, and expiry of grants."""

import itertools
import random

import pytest

from martenrun.router.quotas.account import Account, InitialBalance, Part
from martenrun.router.quotas.limit import QuotaBounds, RateLimit
from martenrun.router.quotas.messages import VersionedLimit

LIMIT = VersionedLimit(1, 30_000.0, 30_000.0)
BOUNDS = QuotaBounds(window_s=8.0, over_share=0.1, slack_units=110_000.0)
EXACT = QuotaBounds(window_s=8.0)


WHOLE = Part()
NUMBERS = itertools.count()


def account(limit=LIMIT, bounds=BOUNDS, beginning=InitialBalance.FULL, part=WHOLE, now=0.0):
    return Account(limit, bounds, beginning, part, now)


def spend(made, units, now):
    """Request units with a new grant number."""
    return made.ask(("a", next(NUMBERS)), units, now)


def granted_over(made, seconds, units, per_s, began=0.0):
    """Return (time, units) of the grants of a tenant that requests units at a fixed rate."""
    granted = []
    for step in range(int(seconds * per_s)):
        now = began + step / per_s
        if spend(made, units, now).is_granted:
            granted.append((now, units))
    return granted


def most_in_window(granted, window_s=8.0):
    return max(sum(u for at, u in granted if 0 <= at - start <= window_s) for start, _ in granted)


@pytest.mark.parametrize("units", [200, 875, 9_190, 50_000])
def test_no_window_holds_more_than_the_bound(units):
    granted = granted_over(account(), 30, units, 400)
    slack = BOUNDS.slack(LIMIT.units_per_s, LIMIT.burst_units)
    most = most_in_window(granted)
    assert most <= 8 * 30_000 + 30_000 + slack
    assert most >= 8 * 30_000  # the allowance can be used


def test_what_keeps_within_rate_and_burst_is_never_refused():
    """Requests that a bucket of exactly this rate and burst admits, each some ms late."""
    rng = random.Random(5)
    left, at, made = 30_000.0, 0.0, account()
    for _ in range(20_000):
        units = rng.choice((200, 875, 875, 9_190))
        wait_s = max(0.0, (units - left) / 30_000) if rng.random() < 0.9 else 1.0
        left = min(30_000.0, left + wait_s * 30_000) - units
        at += wait_s
        assert spend(made, units, at + rng.uniform(0.0, 0.005) + 0.01).is_granted


def test_large_requests_pass_as_often_as_small_ones():
    rng, made, passed = random.Random(1), account(), {875: [0, 0], 9_190: [0, 0]}
    for step in range(20_000):
        units = rng.choice((875, 9_190))
        passed[units][0] += 1
        passed[units][1] += spend(made, units, step / 40).is_granted
    shares = {units: served / asked for units, (asked, served) in passed.items()}
    assert shares[9_190] > 0.8 * shares[875]


def test_a_request_larger_than_the_burst_passes_once_the_account_is_full():
    made = account(bounds=EXACT)
    assert spend(made, 50_000, 0.0).is_granted
    assert not spend(made, 200, 0.1).is_granted
    assert spend(made, 200, 0.8).is_granted


def test_a_request_beyond_all_measure_closes_the_account_for_a_window_at_most():
    made = account()
    assert spend(made, 10**15, 0.0).is_granted
    assert spend(made, 200, 10.0).is_granted


def test_refused_callers_come_back_one_after_the_other():
    made = account(bounds=EXACT)
    spend(made, 30_000, 0.0)
    waits = [spend(made, 3_000, 0.0).wait_s for _ in range(5)]
    assert waits == pytest.approx([0.1, 0.2, 0.3, 0.4, 0.5])
    assert spend(made, 3_000, 0.1).is_granted


def test_no_caller_is_told_to_wait_for_longer_than_a_window():
    made = account()
    spend(made, 10**6, 0.0)
    assert max(spend(made, 50_000, 0.0).wait_s for _ in range(1_000)) <= 10.0


def test_a_grant_counts_once_however_often_it_is_told():
    made = account(bounds=EXACT)
    assert made.ask(("a", 1), 10_000, 0.0).is_granted
    assert made.ask(("a", 1), 10_000, 0.0).is_granted
    made.note_use(("a", 1), 10_000, 0.0)
    assert made.level(0.0) == 20_000


def test_what_was_not_used_is_given_back_and_a_late_question_for_it_counts_nothing():
    made = account(bounds=EXACT)
    made.ask(("a", 1), 10_000, 0.0)
    made.note_use(("a", 1), 0, 0.0)
    assert made.level(0.0) == 30_000
    assert made.ask(("a", 1), 10_000, 0.0) is None
    assert made.level(0.0) == 30_000


def test_grants_are_forgotten_after_a_window():
    made = account()
    for number in range(1_000):
        made.note_use(("a", number), 1, number * 0.1)
    assert len(made._grants) <= 82


def test_an_account_that_begins_anew_has_used_its_burst():
    large = VersionedLimit(1, 333_366.0, 333_366.0)
    slack = BOUNDS.slack(large.units_per_s, large.burst_units)
    full = account(large)
    restarted = account(large, beginning=InitialBalance.RESTARTED)
    substitute = account(large, beginning=InitialBalance.SUBSTITUTE)
    assert full.level(0.0) - substitute.level(0.0) == large.burst_units
    assert substitute.level(0.0) < restarted.level(0.0) < min(slack, full.level(0.0))
    assert spend(substitute, 9_190, 0.0).is_granted
    assert restarted.level(30.0) == full.level(30.0)


def test_a_lower_limit_binds_at_once_and_a_raised_one_too():
    made = account(bounds=EXACT)
    made.learn(VersionedLimit(2, 3_000.0, 3_000.0), EXACT, WHOLE, 0.0)
    assert made.level(0.0) == 3_000
    made.learn(VersionedLimit(3, 60_000.0, 60_000.0), EXACT, WHOLE, 0.0)
    assert made.level(0.0) == 60_000
    spend(made, 60_000, 0.0)
    assert made.level(1.0) == 60_000


def test_a_router_that_is_behind_does_not_bring_an_old_limit_back():
    made = account(bounds=EXACT)
    made.learn(VersionedLimit(2, 3_000.0, 3_000.0), EXACT, WHOLE, 0.0)
    made.learn(LIMIT, EXACT, WHOLE, 0.0)
    assert made.limit.units_per_s == 3_000.0


def test_small_parts_of_a_limit_let_nothing_pass_that_they_cannot_hold():
    part = account(part=Part(share=0.01))
    assert not spend(part, 9_190, 100.0).is_granted
    assert spend(part, 200, 100.0).is_granted


def test_a_slower_pace_leaves_the_burst():
    made = account(bounds=EXACT, part=Part(pace=0.5))
    assert made.level(0.0) == 30_000
    spend(made, 30_000, 0.0)
    assert made.level(1.0) == 15_000


@pytest.mark.parametrize("burst", [0.0, 1e-9])
def test_a_limit_without_a_burst_lets_requests_pass_one_by_one(burst):
    made = account(VersionedLimit(1, 1_000.0, burst), EXACT)
    granted = granted_over(made, 10, 500, 100)
    assert 18 <= len(granted) <= 22


def test_a_request_counts_for_its_tokens_or_for_one():
    tokens = RateLimit(10.0, 10.0, counts_tokens=True, plain_tokens=200)
    assert [tokens.units(9_190), tokens.units(None), tokens.units(0)] == [9_190, 200, 1]
    requests = RateLimit(10.0, 10.0)
    assert [requests.units(9_190), requests.units(None)] == [1, 1]

"""Tests of load shedding: admission by expected wait, urgency and fairness."""

import pytest

from martenrun.router.overload import OverloadGuard, WaitingPrompt
from martenrun.router.prefill_rate import MINIMUM_SAMPLES, MINIMUM_TOKENS, PrefillRate
from martenrun.router.route_table import RouteTable
from martenrun.router.tuning import DEFAULTS

from .builders import configuration, route

URGENT_SHARE = DEFAULTS.overload.urgent_share
OTHERS_SHARE = DEFAULTS.overload.others_share
BEHIND_WAIT_SHARE = DEFAULTS.overload.behind_wait_share

PREFILL_TOKENS_PER_S = 40_000.0
"""Prefill rate of the runners in these tests, in tokens per second."""

NOW = 100.0


def add_samples(rate, tokens=10_000.0, samples=MINIMUM_SAMPLES):
    for _ in range(samples):
        rate.add_sample(tokens, tokens / PREFILL_TOKENS_PER_S)


@pytest.fixture
def guard():
    overload_guard = OverloadGuard()
    add_samples(overload_guard.prefill_rate)
    return overload_guard


def prompt(wait_s, is_urgent=False, groups=("route a",)):
    return WaitingPrompt(1.0, is_urgent, groups, wait_s * PREFILL_TOKENS_PER_S)


def test_prefill_rate_is_unknown_before_enough_samples():
    rate = PrefillRate()
    add_samples(rate, samples=MINIMUM_SAMPLES - 1)
    assert rate.seconds_for(1_000) is None
    add_samples(rate, samples=1)
    assert rate.seconds_for(PREFILL_TOKENS_PER_S) == pytest.approx(1.0)


def test_short_prefills_are_ignored():
    rate = PrefillRate()
    add_samples(rate, tokens=MINIMUM_TOKENS - 1)
    assert rate.seconds_for(1_000) is None


def test_prefill_rate_adapts_to_slower_runners():
    rate = PrefillRate()
    add_samples(rate)
    for _ in range(200):
        rate.add_sample(10_000, 1.0)
    assert rate.seconds_for(10_000) == pytest.approx(1.0, rel=0.05)


def test_all_prompts_are_admitted_while_the_prefill_rate_is_unknown():
    assert OverloadGuard().admits(WaitingPrompt(0.1, False, (), 1e9), NOW)


def test_less_urgent_prompts_are_shed_first(guard):
    assert guard.admits(prompt(OTHERS_SHARE - 0.01), NOW)
    assert not guard.admits(prompt(OTHERS_SHARE + 0.01), NOW)
    assert guard.admits(prompt(OTHERS_SHARE + 0.01, is_urgent=True), NOW)
    assert not guard.admits(prompt(URGENT_SHARE + 0.01, is_urgent=True), NOW)


def count_requests(guard, group, requested, admitted, now=NOW):
    for number in range(requested):
        guard.record_demand((group,), now)
        if number < admitted:
            guard.record_admitted((group,), now)


def test_underserved_route_or_tenant_may_wait_longer_than_urgent_prompts(guard):
    count_requests(guard, "route b", requested=20, admitted=20)
    count_requests(guard, "tenant t", requested=10, admitted=2)
    busy = OTHERS_SHARE + 0.1
    assert not guard.admits(prompt(busy, groups=("route b",)), NOW)
    assert guard.admits(prompt(busy, groups=("route b", "tenant t")), NOW)
    assert guard.admits(prompt(BEHIND_WAIT_SHARE - 0.1, groups=("tenant t",)), NOW)
    assert not guard.admits(prompt(BEHIND_WAIT_SHARE + 0.1, groups=("tenant t",)), NOW)


def test_groups_with_few_or_old_requests_are_not_underserved(guard):
    count_requests(guard, "route b", requested=20, admitted=20)
    count_requests(guard, "tenant few", requested=2, admitted=0)
    count_requests(guard, "tenant t", requested=10, admitted=0)
    busy = prompt(OTHERS_SHARE + 0.1, groups=("tenant t",))
    assert not guard.admits(prompt(OTHERS_SHARE + 0.1, groups=("tenant few",)), NOW)
    assert guard.admits(busy, NOW)
    assert not guard.admits(busy, NOW + 20.0)


def simulate(guard, seconds, urgent_per_s, others_per_s):
    """Offer prompts of 0.1 s of prefill to one runner; return the admitted shares by route."""
    backlog_s = 0.0
    requested = {"route a": 0, "route b": 0}
    admitted = {"route a": 0, "route b": 0}
    for step in range(seconds * 100):
        now = NOW + step / 100
        backlog_s = max(0.0, backlog_s - 0.01)
        for group, per_s in (("route a", urgent_per_s), ("route b", others_per_s)):
            if step % (100 // per_s):
                continue
            requested[group] += 1
            guard.record_demand((group,), now)
            if guard.admits(prompt(backlog_s, group == "route a", (group,)), now):
                guard.record_admitted((group,), now)
                admitted[group] += 1
                backlog_s += 0.1
    return admitted["route a"] / requested["route a"], admitted["route b"] / requested["route b"]


@pytest.mark.parametrize(("urgent_per_s", "others_per_s"), [(10, 10), (20, 5), (25, 25), (50, 1)])
def test_no_route_starves_under_overload(guard, urgent_per_s, others_per_s):
    """Every route is guaranteed at least a quarter of the average admitted share."""
    urgent, others = simulate(guard, 60, urgent_per_s, others_per_s)
    common = (urgent * urgent_per_s + others * others_per_s) / (urgent_per_s + others_per_s)
    assert others >= 0.25 * common
    assert urgent >= 0.9 * others


def test_service_without_overload_admits_all_prompts(guard):
    assert simulate(guard, 20, 4, 4) == (1.0, 1.0)


def test_only_the_most_urgent_routes_of_a_service_are_urgent():
    first, second = route(priority=0), route(name="r2", path_prefix="/b/", priority=2)
    other = route(name="r3", path_prefix="/c/", priority=2, split=(first.split[0],))
    table = RouteTable(configuration(1, routes=(first, second)))
    assert table.is_most_urgent(first, "s")
    assert not table.is_most_urgent(second, "s")
    alone = RouteTable(configuration(1, routes=(second, other)))
    assert alone.is_most_urgent(second, "s") and alone.is_most_urgent(other, "s")
    assert alone.is_most_urgent(second, "unknown")

"""Tests of the tracking of rate limits that runners advertise."""

import itertools

import pytest

from martenrun.router.limit_messages import LimitRecord, LimitUpdate
from martenrun.router.peer_messages import decode, encode
from martenrun.router.response_metadata import AdvertisedLimit
from martenrun.router.runner_limits import (
    CHANGE_REPEATS,
    MAXIMUM_REQUESTS_PER_S,
    MINIMUM_REQUESTS_PER_S,
    PROBE_AFTER_S,
    RECOVERY_FACTOR,
    RECOVERY_STEP_S,
    RECOVERY_STEPS,
    UNLISTED_RETENTION_S,
    RunnerLimits,
)


def limits_with(requests_per_s, at=1.0):
    limits = RunnerLimits()
    limits.record_advertised("i-1", AdvertisedLimit(requests_per_s, str(requests_per_s)), at)
    return limits


def test_later_response_replaces_the_limit():
    limits = limits_with(2.0)
    limits.record_advertised("i-1", AdvertisedLimit(1.0, "1"), 2.0)
    assert limits.limit("i-1").requests_per_s == 1.0 and limits.limit("i-2") is None


def test_invalid_limit_changes_nothing():
    limits = limits_with(2.0)
    limits.record_advertised("i-1", AdvertisedLimit(None, "nan"), 2.0)
    limits.record_advertised("i-2", AdvertisedLimit(None, ""), 2.0)
    assert limits.limit("i-1").requests_per_s == 2.0 and len(limits) == 1


def test_response_to_an_earlier_request_does_not_end_the_limit():
    limits = limits_with(2.0, at=5.0)
    limits.record_absent("i-1", 4.9, 6.0)
    assert limits.limit("i-1") is not None
    limits.record_absent("i-1", 5.1, 6.0)
    assert limits.limit("i-1").requests_per_s == 2.0 * RECOVERY_FACTOR


def recover(limits, now):
    """Record responses without a limit until it is lifted; return the times of changes."""
    changes = []
    while limits.limit("i-1") is not None:
        rate = limits.limit("i-1").requests_per_s
        now += 0.1
        limits.record_absent("i-1", now - 0.05, now)
        left = limits.limit("i-1")
        if left is None or left.requests_per_s != rate:
            changes.append(now)
    return changes


def test_limit_is_lifted_in_spaced_steps():
    """Guards against a thundering herd on a runner that has just recovered."""
    changes = recover(limits_with(2.0, at=5.0), 5.0)
    assert len(changes) == RECOVERY_STEPS
    pauses = [after - before for before, after in itertools.pairwise(changes)]
    assert all(pause >= RECOVERY_STEP_S for pause in pauses)


def test_advertised_limit_during_recovery_resets_recovery():
    limits = limits_with(2.0, at=5.0)
    limits.record_absent("i-1", 5.1, 6.0)
    limits.record_advertised("i-1", AdvertisedLimit(2.0, "2"), 6.1)
    limit = limits.limit("i-1")
    assert limit.requests_per_s == 2.0 and limit.recovery_steps == 0


@pytest.mark.parametrize("rate", [0.0, 1e-9, 1e308])
def test_extreme_rates_are_clamped(rate):
    """Guards against a runner being excluded forever and against rates too large to encode."""
    limit = limits_with(rate).limit("i-1").rate_limit
    assert MINIMUM_REQUESTS_PER_S <= limit.units_per_s <= MAXIMUM_REQUESTS_PER_S
    assert limit.burst_units >= 1


def deliver(update, now, limits=None):
    """Deliver an encoded update to a router's limits and return them."""
    limits = RunnerLimits() if limits is None else limits
    limits.merge(decode(encode(update)), now)
    return limits


def limit_update(per_s, version=1, steps=0, changed_ago_ms=0):
    return LimitUpdate([LimitRecord("i-1", version, per_s, steps, changed_ago_ms, 0)])


def test_change_is_broadcast_at_once_and_repeated():
    sent = []
    limits = RunnerLimits(sent.append)
    limits.record_advertised("i-1", AdvertisedLimit(1.0, "1"), 1.0)
    assert len(sent) == 1
    for tenth in range(100):
        limits.repeat_broadcasts(1.0 + tenth / 10)
    assert len(sent) == 1 + CHANGE_REPEATS


def test_limit_is_broadcast_again_only_after_a_confirming_response():
    """Guards against updates without a confirming response keeping a limit alive."""
    sent = []
    one, other = RunnerLimits(sent.append), RunnerLimits(sent.append)
    other.merge(limit_update(1.0), 1.0)
    for tenth in range(100):
        other.repeat_broadcasts(1.0 + tenth / 10)
    assert sent == []
    one.record_advertised("i-1", AdvertisedLimit(1.0, "1"), 1.0)
    for tenth in range(100):
        one.repeat_broadcasts(1.0 + tenth / 10)
    del sent[:]
    one.record_advertised("i-1", AdvertisedLimit(1.0, "1"), 20.0)
    one.repeat_broadcasts(20.1)
    assert len(sent) == 1
    deliver(sent[0], 20.2, other)
    assert other.limit("i-1").confirmed_at == pytest.approx(20.1)


def test_higher_version_wins_then_stricter_limit():
    limits = deliver(limit_update(2.0, version=3), 1.0)
    assert deliver(limit_update(5.0, version=2), 1.0, limits).limit("i-1").requests_per_s == 2.0
    assert deliver(limit_update(3.0, version=3), 1.0, limits).limit("i-1").requests_per_s == 2.0
    assert deliver(limit_update(1.0, version=3), 1.0, limits).limit("i-1").requests_per_s == 1.0
    assert (
        deliver(limit_update(8.0, version=4, steps=1), 1.0, limits).limit("i-1").requests_per_s
        == 8.0
    )
    ended = deliver(limit_update(64.0, version=5, steps=RECOVERY_STEPS), 1.0, limits)
    assert ended.limit("i-1") is None
    assert deliver(limit_update(1.0, version=4), 1.0, limits).limit("i-1") is None


def test_response_to_a_request_older_than_a_received_change_is_ignored():
    limits = deliver(limit_update(1.0, changed_ago_ms=500), 10.0)
    limits.record_absent("i-1", 9.4, 10.0)
    assert limits.limit("i-1").recovery_steps == 0
    limits.record_absent("i-1", 9.6, 10.0)
    assert limits.limit("i-1").recovery_steps == 1


def test_router_without_responses_probes_periodically():
    """Guards against a partitioned router never using a recovered runner again."""
    limits = limits_with(1.0, at=0.0)
    probes = [now for now in range(1, 200) if limits.allow_probe("i-1", float(now))]
    assert 4 <= len(probes) <= 10 and probes[0] >= PROBE_AFTER_S[0]


def test_updates_of_many_limits_fit_in_datagrams():
    """Guards against updates that exceed the maximum datagram size with many limits."""
    sent = []
    limits = RunnerLimits(sent.append)
    for number in range(2_000):
        limits.record_advertised(f"i-{number:012x}~01234", AdvertisedLimit(1.0, "1"), 1.0)
    del sent[:]
    limits.repeat_broadcasts(2.0)
    assert sum(len(update.records) for update in sent) == 2_000
    assert all(len(encode(update)) < 60_000 for update in [*sent, limits.new_router_update(2.0)])


def test_new_router_receives_limits():
    limits = limits_with(1.0)
    assert RunnerLimits().new_router_update(1.0) is None
    assert deliver(limits.new_router_update(1.0), 1.0).limit("i-1").requests_per_s == 1.0


def test_limit_of_an_unlisted_runner_expires():
    limits = limits_with(2.0, at=0.0)
    limits.forget_unlisted(set(), UNLISTED_RETENTION_S - 1)
    assert len(limits) == 1
    limits.forget_unlisted({"i-1"}, UNLISTED_RETENTION_S + 1)
    assert len(limits) == 1
    limits.forget_unlisted(set(), UNLISTED_RETENTION_S + 1)
    assert len(limits) == 0

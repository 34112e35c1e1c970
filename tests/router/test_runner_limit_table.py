"""Tracking of the rate limits that runners advertise."""

from martenrun.router.messages import AdvertisedLimit
from martenrun.router.runner_limits import UNLISTED_RETENTION_S, RunnerLimits


def limits_with(requests_per_s, at=1.0):
    limits = RunnerLimits()
    limits.note_advertised("i-1", AdvertisedLimit(requests_per_s, str(requests_per_s)), at)
    return limits


def test_later_answer_replaces_the_limit():
    limits = limits_with(2.0)
    limits.note_advertised("i-1", AdvertisedLimit(1.0, "1"), 2.0)
    assert limits.limit("i-1").requests_per_s == 1.0 and limits.limit("i-2") is None


def test_invalid_limit_changes_nothing():
    limits = limits_with(2.0)
    limits.note_advertised("i-1", AdvertisedLimit(None, "nan"), 2.0)
    limits.note_advertised("i-2", AdvertisedLimit(None, ""), 2.0)
    assert limits.limit("i-1").requests_per_s == 2.0 and len(limits) == 1


def test_answer_to_an_earlier_request_does_not_end_the_limit():
    limits = limits_with(2.0, at=5.0)
    limits.note_absent("i-1", 4.9, 6.0)
    assert limits.limit("i-1") is not None
    limits.note_absent("i-1", 5.1, 6.0)
    assert limits.limit("i-1") is None


def test_limit_of_an_unlisted_runner_expires():
    limits = limits_with(2.0, at=0.0)
    limits.forget_unlisted(set(), UNLISTED_RETENTION_S - 1)
    assert len(limits) == 1
    limits.forget_unlisted({"i-1"}, UNLISTED_RETENTION_S + 1)
    assert len(limits) == 1
    limits.forget_unlisted(set(), UNLISTED_RETENTION_S + 1)
    assert len(limits) == 0

"""Admission limits: rates, streams, waiting, deadlines; refusals take nothing."""

import pytest

from martenrun.configuration.objects import Tenant
from martenrun.errors import CapacityError, DeadlineExceededError, Ran
from martenrun.limits.admission import AdmissionLimits
from martenrun.wire.messages import DecideRequest


def question(number: int, tenant: str = "a", deadline_s: float = 30.0, output: int = 100):
    return DecideRequest(
        request_id=f"r{number}",
        tenant=tenant,
        prompt_bytes=400,
        maximum_output_tokens=output,
        deadline_s=deadline_s,
    )


def refused(limits: AdmissionLimits, number: int, tenant: Tenant, now: float) -> CapacityError:
    with pytest.raises(CapacityError) as caught:
        limits.check(question(number), tenant, now)
    assert caught.value.ran is Ran.NO
    assert caught.value.retry_after_s is not None
    return caught.value


def test_retry_after_of_the_request_rate_is_exact():
    limits, tenant = AdmissionLimits(), Tenant(requests_per_s=2.0)
    for number in range(4):
        limits.check(question(number), tenant, 0.0)
    error = refused(limits, 9, tenant, 0.1)
    assert error.retry_after_s == pytest.approx(0.4)
    limits.check(question(9), tenant, 0.1 + error.retry_after_s + 1e-9)


def test_retry_after_of_the_token_rate_is_exact_and_refusals_take_nothing():
    limits, tenant = AdmissionLimits(), Tenant(tokens_per_s=100.0)
    limits.check(question(0), tenant, 0.0)
    for number in range(1, 50):
        assert refused(limits, number, tenant, 0.0).retry_after_s == pytest.approx(2.0)
    limits.check(question(50), tenant, 2.0 + 1e-9)


def test_a_request_larger_than_the_burst_passes_when_the_bucket_is_full():
    limits, tenant = AdmissionLimits(), Tenant(tokens_per_s=10.0)
    limits.check(question(0, output=900), tenant, 0.0)
    assert refused(limits, 1, tenant, 0.0).retry_after_s == pytest.approx(100.0)


def test_unused_tokens_are_given_back_when_a_request_ends():
    limits, tenant = AdmissionLimits(), Tenant(tokens_per_s=100.0)
    limits.check(question(0), tenant, 0.0)
    limits.ended("r0", 0.0, used_tokens=0.0)
    limits.check(question(1), tenant, 0.0)


def test_streams_are_limited_and_retry_after_follows_the_rate_of_ends():
    limits, tenant = AdmissionLimits(), Tenant(concurrent_streams=2)
    for number in range(40):
        limits.check(question(number), tenant, number / 2)
        limits.ended(f"r{number}", number / 2)
    limits.check(question(40), tenant, 20.0)
    limits.check(question(41), tenant, 20.0)
    error = refused(limits, 42, tenant, 20.0)
    assert error.retry_after_s == pytest.approx(0.5, rel=0.3)
    assert limits.active("a") == 2


def test_waiting_requests_are_limited_and_a_started_one_makes_room():
    limits, tenant = AdmissionLimits(), Tenant(queue_length=1)
    for number in range(3):
        limits.check(question(number), tenant, 0.0)
    limits.queued("r0", 0.0)
    limits.queued("r0", 0.0)
    with pytest.raises(CapacityError):
        limits.queued("r1", 0.0)
    limits.ended("r1", 0.0)
    limits.started("r0", 0.0)
    limits.queued("r2", 0.0)


def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once_as_not_run():
    limits, tenant = AdmissionLimits(), Tenant()
    with pytest.raises(DeadlineExceededError) as caught:
        limits.check(question(0, deadline_s=2.0), tenant, 0.0, expected_wait_s=5.0)
    assert caught.value.ran is Ran.NO
    assert caught.value.retry_after_s == pytest.approx(3.0)
    with pytest.raises(DeadlineExceededError):
        limits.check(question(0, deadline_s=0.0), tenant, 0.0)
    assert limits.active("a") == 0


def test_further_attempts_and_late_ends_are_counted_once():
    limits, tenant = AdmissionLimits(), Tenant(requests_per_s=0.5)
    for _ in range(3):
        limits.check(question(0), tenant, 0.0)
    for _ in range(3):
        limits.ended("r0", 1.0)
    assert limits.active("a") == 0
    refused(limits, 1, tenant, 1.0)


def test_limits_hold_in_this_nodes_share_and_change_without_restart():
    limits = AdmissionLimits(share_of=lambda name, now: 0.5)
    tenant = Tenant(concurrent_streams=4)
    limits.check(question(0), tenant, 0.0)
    limits.check(question(1), tenant, 0.0)
    refused(limits, 2, tenant, 0.0)
    limits.check(question(2), Tenant(concurrent_streams=8), 0.0)


def test_idle_tenants_are_forgotten_and_active_ones_are_not():
    limits, tenant = AdmissionLimits(), Tenant()
    limits.check(question(0, tenant="idle"), tenant, 0.0)
    limits.ended("r0", 0.0)
    limits.check(question(1, tenant="busy"), tenant, 0.0)
    limits.forget_idle(100.0)
    assert (len(limits._tenants), limits.active("busy")) == (1, 1)

"""Tests for reading tenants' limits from the operator's configuration."""

import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.messages import StoredObject, UnreadableError
from martenrun.router.quotas.limit import RateLimit


def tenant_of(**fields):
    tenants = [{"name": "growers", "api_keys": ["k"], **fields}]
    spec = {"version": 1, "routes": [], "services": [], "tenants": tenants}
    configuration = PLATFORM_ADAPTER.read_configuration(StoredObject("main", 1, spec))
    return configuration.tenants_by_key[b"k"]


def test_limit_in_tokens():
    tenant = tenant_of(rate_per_s=333_366, burst=7, unit="token_count", plain_tokens=200)
    assert tenant.limit == RateLimit(333_366.0, 7.0, True, 200)


def test_limit_in_requests():
    assert tenant_of(rate_per_s=2.5, burst=3).limit == RateLimit(2.5, 3.0, False, 1)


@pytest.mark.parametrize("fields", [{}, {"rate_per_s": 0}, {"rate_per_s": 0, "burst": 5}])
def test_tenant_without_rate_has_no_limit(fields):
    assert tenant_of(**fields).limit is None


@pytest.mark.parametrize("fields", [{}, {"plain_tokens": 0}])
def test_request_without_tokens_counts_at_least_one_unit(fields):
    limit = tenant_of(rate_per_s=10, unit="token_count", **fields).limit
    assert limit.units(None) == 1


@pytest.mark.parametrize(
    "fields",
    [
        {"rate_per_s": -1},
        {"rate_per_s": "10"},
        {"rate_per_s": None},
        {"rate_per_s": True},
        {"rate_per_s": 1e400},
        {"rate_per_s": 10**400},
        {"rate_per_s": 1e16},
        {"rate_per_s": 10, "burst": -1},
        {"rate_per_s": 10, "burst": "x"},
        {"rate_per_s": 10, "burst": 10**400},
        {"rate_per_s": 10, "unit": "tokenses"},
        {"rate_per_s": 10, "unit": 7},
        {"rate_per_s": 10, "unit": "token_count", "plain_tokens": -1},
        {"rate_per_s": 10, "unit": "token_count", "plain_tokens": 1.5},
        {"rate_per_s": 10, "unit": "token_count", "plain_tokens": "200"},
    ],
)
def test_invalid_limit_error_names_the_field(fields):
    with pytest.raises(UnreadableError, match=r"tenants\[0\]|number|range|int"):
        tenant_of(**fields)

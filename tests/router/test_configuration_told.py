"""A router that knows of a newer configuration must not serve by the old one for long.

Guards against routers that kept serving by a replaced version, beyond the time within which a
change must be in force everywhere, while their requests for the newer one failed for four seconds.
Routers did not report the versions in force to each other, so a router that was behind could not
know it.
"""

from types import SimpleNamespace

import pytest

from martenrun.net.http import HttpRequest
from martenrun.router.admission import Admission, Refusal
from martenrun.router.messages import AdmittedRequest, Call
from martenrun.router.store.state import ConfigurationState

from .builders import bounds, configuration
from .fakes import FakeLoop


def put_configuration(behind, version, now):
    behind.configuration.put(configuration(version))
    behind.configuration.merge_versions([(version, 0)], now)


@pytest.fixture
def behind():
    """A router with version 8 and a bound of 2 s that learns of version 12 at 100.0 s."""
    state = ConfigurationState()
    world = SimpleNamespace(
        loop=FakeLoop(),
        configuration=state,
        settings=SimpleNamespace(bounds=bounds(configuration_s=2.0)),
    )
    put_configuration(world, 8, 90.0)
    state.confirm(100.0)
    state.merge_versions([(12, 0)], 100.0)
    return world


def decide_at(behind, now):
    behind.loop.time = now
    call = Call(b"r1", "a.example", "/a/x", b"k1", 3.0, None, (), 0, 0)
    exchange = SimpleNamespace(request=HttpRequest(b"GET", b"/a/x", [], b"", now))
    return Admission(behind).admit(exchange, call)


def test_it_serves_until_shortly_before_the_bound_and_then_refuses(behind):
    assert isinstance(decide_at(behind, 101.5), AdmittedRequest)
    refusal = decide_at(behind, 101.9)
    assert isinstance(refusal, Refusal) and refusal.status == 503


def test_it_serves_again_after_it_has_caught_up(behind):
    put_configuration(behind, 12, 102.5)
    assert isinstance(decide_at(behind, 104.0), AdmittedRequest)


def test_intermediate_version_is_not_enough_after_its_successor_is_due(behind):
    behind.configuration.merge_versions([(15, 0)], 101.0)
    put_configuration(behind, 12, 101.5)
    assert isinstance(decide_at(behind, 102.5), AdmittedRequest)
    assert isinstance(decide_at(behind, 102.9), Refusal)


def test_repeated_reports_of_a_version_do_not_renew_it(behind):
    for tenth in range(1, 18):
        behind.configuration.merge_versions([(12, 100 * tenth)], 100.0 + tenth / 10)
    assert isinstance(decide_at(behind, 101.9), Refusal)


# Guards against a renewed age when versions follow each other so fast that only the last are kept.
def test_newer_version_after_many_others_does_not_reset_the_age(behind):
    for number in range(60):
        behind.configuration.merge_versions([(13 + number, 0)], 100.0 + number * 0.03)
    assert isinstance(decide_at(behind, 101.9), Refusal)


def test_it_keeps_serving_without_reports_of_newer_versions(behind):
    """The store may be down; then no router has a newer version, and age alone proves nothing."""
    state = behind.configuration
    put_configuration(behind, 12, 100.0)
    state.confirm(100.5)
    assert isinstance(decide_at(behind, 104.0), AdmittedRequest)
    assert state.versions_in_force(104.0)[-1] == (12, 4_000)

"""A router that has been told of a newer configuration does not serve by the old one for long.

Seen: two routers that had asked for news in vain for four seconds went on serving by a version that
the others had replaced, beyond the time within which a change must be in force everywhere.
Cause: a request was decided by whatever configuration was known; routers did not tell each other
which version is in force, so that one that was behind could not know it.
What proved it: the trail of such a request names the old version and an age of seconds.
"""

from types import SimpleNamespace

import pytest

from martenrun.net.http import HttpRequest
from martenrun.router.admission import Admission, Refusal
from martenrun.router.knowledge import ConfigurationKnowledge
from martenrun.router.messages import AdmittedRequest, Call

from .builders import bounds, configuration
from .fakes import FakeLoop


def take(behind, version, now):
    behind.configuration.take(configuration(version))
    behind.configuration.hear([(version, 0)], now)


@pytest.fixture
def behind():
    """A router with version 8, bound to 2 s, that hears of version 12 at 100.0 s."""
    known = ConfigurationKnowledge()
    world = SimpleNamespace(
        loop=FakeLoop(),
        configuration=known,
        settings=SimpleNamespace(bounds=bounds(configuration_s=2.0)),
    )
    take(world, 8, 90.0)
    known.confirm(100.0)
    known.hear([(12, 0)], 100.0)
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


def test_it_serves_again_once_it_has_caught_up(behind):
    take(behind, 12, 102.5)
    assert isinstance(decide_at(behind, 104.0), AdmittedRequest)


def test_a_version_between_is_not_enough_once_its_successor_is_due(behind):
    behind.configuration.hear([(15, 0)], 101.0)
    take(behind, 12, 101.5)
    assert isinstance(decide_at(behind, 102.5), AdmittedRequest)
    assert isinstance(decide_at(behind, 102.9), Refusal)


def test_being_told_again_renews_nothing(behind):
    for tenth in range(1, 18):
        behind.configuration.hear([(12, 100 * tenth)], 100.0 + tenth / 10)
    assert isinstance(decide_at(behind, 101.9), Refusal)


def test_a_newer_version_after_many_others_does_not_make_it_young_again(behind):
    """Versions in quick succession, of which only the last ones are remembered."""
    for number in range(60):
        behind.configuration.hear([(13 + number, 0)], 100.0 + number * 0.03)
    assert isinstance(decide_at(behind, 101.9), Refusal)


def test_without_news_of_others_it_serves_on(behind):
    """The store may be down: then nobody has a newer version, and no age says that there is one."""
    known = behind.configuration
    take(behind, 12, 100.0)
    known.confirm(100.5)
    assert isinstance(decide_at(behind, 104.0), AdmittedRequest)
    assert known.told(104.0)[-1] == (12, 4_000)

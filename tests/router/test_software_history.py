"""Software versions of a service's runners count for a while after the last runner has left."""

from martenrun.router.software_history import RETENTION_S, SoftwareHistory
from martenrun.router.stream_software import StreamSoftware

from .builders import runner
from .gossip_world import GossipWorld


def test_versions_count_until_some_time_after_their_last_runner_was_listed():
    history = SoftwareHistory()
    history.record_listed([runner("i-1", software="v1")], 0.0)
    history.record_listed([runner("i-2", software="v2")], 10.0)
    assert sorted(history.versions("s")) == ["v1", "v2"]
    history.record_listed([runner("i-2", software="v2")], RETENTION_S + 1.0)
    assert history.versions("s") == ["v2"] and history.versions("other") == []


def test_runners_of_unknown_software_count_as_versions_of_their_own():
    history = SoftwareHistory()
    history.record_listed([runner("i-1", software=""), runner("i-2", software="")], 0.0)
    assert len(history.versions("s")) == 2


# Guards against a version that is kept alive by routers that tell each other of it.
def test_reports_of_other_routers_do_not_renew_a_version():
    first, second = SoftwareHistory(), SoftwareHistory()
    first.record_listed([runner("i-1", software="v1"), runner("i-2", software="v2")], 0.0)
    for second_s in range(1, int(RETENTION_S) + 3):
        now = float(second_s)
        listed = [runner("i-2", software="v2")]
        second.merge(first.ages(now - 0.5), now - 0.5)
        first.merge(second.ages(now), now)
        for history in (first, second):
            history.record_listed(listed, now)
    assert first.versions("s") == second.versions("s") == ["v2"]


def test_a_router_that_starts_learns_of_versions_that_have_left():
    known, started = SoftwareHistory(), SoftwareHistory()
    known.record_listed([runner("i-1", software="v1"), runner("i-2", software="v2")], 0.0)
    started.record_listed([runner("i-2", software="v2")], 5.0)
    started.merge(known.ages(5.0), 5.0)
    assert sorted(started.versions("s")) == ["v1", "v2"]


def test_nothing_is_told_of_services_with_one_version():
    history = SoftwareHistory()
    history.record_listed([runner("i-1"), runner("i-2")], 0.0)
    assert history.ages(1.0) == {}


def test_a_version_that_no_entry_shows_counts():
    history = SoftwareHistory()
    history.record_listed([runner("i-1", software="v1")], 0.0)
    assert history.record_version("s", "unknown at i-1", 1.0)
    assert not history.record_version("s", "unknown at i-1", 2.0)
    assert len(history.versions("s")) == 2


class InformedVersions:
    """The stored versions of a router that knows the past."""

    is_informed = knows_past = True


# Guards against a stream of a restarted runner that another router resumes at the only version that
# it knows.
def test_other_routers_learn_at_once_of_a_restart_that_no_entry_shows():
    world = GossipWorld(1)
    routers = {}
    listed = [runner("i-1", software="v1")]
    for address in ("a", "b", "c"):
        world.start(address, ("a", "b"))
        peers = world.routers[address]
        routers[address] = StreamSoftware(
            world.loop,
            peers,
            lambda: listed,
            lambda _: None,
            lambda _: InformedVersions(),
            None,
        )
        peers._on_software_message = routers[address].handle_message
    world.run(6.0)
    for software in routers.values():
        software.record_listed()
        assert not software.may_be_mixed("s")
    routers["a"].record_restart(listed[0])
    world.run(0.05)
    assert all(software.may_be_mixed("s") for software in routers.values())

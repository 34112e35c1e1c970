"""What a router knows only moves forward, and its age counts from the sending of reads."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.knowledge import (
    RETURN_GRACE_S,
    ConfigurationKnowledge,
    RunnerDirectory,
    WeightsKnowledge,
)
from martenrun.router.messages import WantedWeights

from .builders import configuration, runner


@given(st.lists(st.integers(1, 30), min_size=1))
def test_the_configuration_never_goes_back(versions):
    knowledge = ConfigurationKnowledge()
    highest = 0
    for version in versions:
        knowledge.take(configuration(version))
        highest = max(highest, version)
        assert knowledge.table.configuration.version == highest


def test_age_counts_from_the_sending_of_the_read():
    knowledge = ConfigurationKnowledge()
    assert knowledge.age_s(10.0) == float("inf")
    knowledge.confirm(4.0)
    knowledge.confirm(3.0)
    assert knowledge.age_s(10.0) == 6.0


def test_entries_missing_after_an_outage_stay_for_the_time_of_grace():
    directory = RunnerDirectory()
    directory.replace([runner("a"), runner("b")], False, 0.0)
    directory.replace([runner("a")], True, 10.0)
    assert set(directory.runners) == {"a", "b"}
    directory.drop_missing(10.0 + RETURN_GRACE_S / 2)
    assert set(directory.runners) == {"a", "b"}
    directory.drop_missing(10.1 + RETURN_GRACE_S)
    assert set(directory.runners) == {"a"}


def test_an_entry_that_returns_after_an_outage_is_not_dropped():
    directory = RunnerDirectory()
    directory.replace([runner("a")], False, 0.0)
    directory.remove("a", True, 10.0)
    directory.put(runner("a"))
    directory.drop_missing(20.0)
    assert set(directory.runners) == {"a"}


def test_an_entry_that_goes_in_quiet_times_is_gone_at_once():
    directory = RunnerDirectory()
    directory.replace([runner("a")], False, 0.0)
    directory.remove("a", False, 1.0)
    assert not directory.runners


def test_a_draining_runner_does_not_become_ready_again():
    directory = RunnerDirectory()
    directory.put(runner("a", is_draining=True))
    directory.put(runner("a"))
    assert directory.runners["a"].is_draining


@given(st.lists(st.integers(1, 30), min_size=1))
def test_named_weights_never_go_back(versions):
    weights = WeightsKnowledge()
    for at, version in enumerate(versions):
        weights.take(WantedWeights("m", version), float(at))
    assert weights.wanted["m"].version == max(versions)


def test_each_version_counts_from_its_own_time():
    weights = WeightsKnowledge()
    weights.take(WantedWeights("m", 2), 0.0)
    weights.take(WantedWeights("m", 3), 5.0)
    assert weights.oldest_allowed("m", 8.0, 7.0) == 0
    assert weights.oldest_allowed("m", 8.0, 9.0) == 2
    assert weights.oldest_allowed("m", 8.0, 14.0) == 3


def test_a_restarted_router_learns_the_age_of_versions_from_others():
    old = WeightsKnowledge()
    old.take(WantedWeights("m", 2), 0.0)
    restarted = WeightsKnowledge()
    restarted.take(WantedWeights("m", 2), 1000.0)
    restarted.learn_ages(old.ages_ms(7.0), 1000.5)
    assert restarted.oldest_allowed("m", 8.0, 1001.0) == 0
    assert restarted.oldest_allowed("m", 8.0, 1002.0) == 2

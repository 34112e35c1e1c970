"""State from the store only moves forward, and its age counts from when the read was sent."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.knowledge import (
    ConfigurationKnowledge,
    RunnerDirectory,
    WeightsKnowledge,
)
from martenrun.router.messages import WantedWeights

from .builders import configuration, runner


@given(st.lists(st.integers(1, 30), min_size=1))
def test_configuration_never_goes_back(versions):
    knowledge = ConfigurationKnowledge()
    highest = 0
    for version in versions:
        knowledge.take(configuration(version))
        highest = max(highest, version)
        assert knowledge.table.configuration.version == highest


def test_configuration_age_counts_from_when_the_read_was_sent():
    knowledge = ConfigurationKnowledge()
    assert knowledge.age_s(10.0) == float("inf")
    knowledge.confirm(4.0)
    knowledge.confirm(3.0)
    assert knowledge.age_s(10.0) == 6.0


# Guards against an invalid configuration that counts as confirmed, although it may revoke keys.
def test_unreadable_configuration_is_not_confirmed():
    knowledge = ConfigurationKnowledge()
    knowledge.take(configuration(3))
    assert knowledge.confirm(4.0)
    knowledge.note_unreadable()
    assert not knowledge.confirm(6.0)
    assert knowledge.age_s(10.0) == 6.0 and knowledge.version == 3
    knowledge.take(configuration(4))
    assert knowledge.confirm(7.0)
    assert knowledge.age_s(10.0) == 3.0


def test_draining_runner_does_not_become_ready_again():
    directory = RunnerDirectory()
    directory.put(runner("a", is_draining=True))
    directory.put(runner("a"))
    assert directory.runners["a"].is_draining


def test_runner_is_removed_with_its_entry():
    directory = RunnerDirectory()
    directory.put(runner("a"))
    directory.remove("a")
    directory.remove("a")
    assert not directory.runners


@given(st.lists(st.integers(1, 30), min_size=1))
def test_target_weights_never_go_back(versions):
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


def test_restarted_router_learns_the_age_of_versions_from_others():
    old = WeightsKnowledge()
    old.take(WantedWeights("m", 2), 0.0)
    restarted = WeightsKnowledge()
    restarted.take(WantedWeights("m", 2), 1000.0)
    restarted.learn_ages(old.ages_ms(7.0), 1000.5)
    assert restarted.oldest_allowed("m", 8.0, 1001.0) == 0
    assert restarted.oldest_allowed("m", 8.0, 1002.0) == 2

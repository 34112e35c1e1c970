"""State from the store only moves forward, and its age counts from when the read was sent."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.messages import TargetWeights
from martenrun.router.store.state import ConfigurationState, RunnerDirectory, WeightsState

from .builders import configuration, runner


@given(st.lists(st.integers(1, 30), min_size=1))
def test_configuration_never_goes_back(versions):
    state = ConfigurationState()
    highest = 0
    for version in versions:
        state.put(configuration(version))
        highest = max(highest, version)
        assert state.table.configuration.version == highest


def test_configuration_age_counts_from_when_the_read_was_sent():
    state = ConfigurationState()
    assert state.age_s(10.0) == float("inf")
    state.confirm(4.0)
    state.confirm(3.0)
    assert state.age_s(10.0) == 6.0


# Guards against an invalid configuration that counts as confirmed, although it may revoke keys.
def test_unreadable_configuration_is_not_confirmed():
    state = ConfigurationState()
    state.put(configuration(3))
    assert state.confirm(4.0)
    state.mark_unreadable()
    assert not state.confirm(6.0)
    assert state.age_s(10.0) == 6.0 and state.version == 3
    state.put(configuration(4))
    assert state.confirm(7.0)
    assert state.age_s(10.0) == 3.0


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
    weights = WeightsState()
    for at, version in enumerate(versions):
        weights.put(TargetWeights("m", version), float(at))
    assert weights.targets["m"].version == max(versions)


def test_each_version_counts_from_its_own_time():
    weights = WeightsState()
    weights.put(TargetWeights("m", 2), 0.0)
    weights.put(TargetWeights("m", 3), 5.0)
    assert weights.oldest_allowed("m", 8.0, 7.0) == 0
    assert weights.oldest_allowed("m", 8.0, 9.0) == 2
    assert weights.oldest_allowed("m", 8.0, 14.0) == 3


def test_restarted_router_learns_the_age_of_versions_from_others():
    old = WeightsState()
    old.put(TargetWeights("m", 2), 0.0)
    restarted = WeightsState()
    restarted.put(TargetWeights("m", 2), 1000.0)
    restarted.merge_ages(old.ages_ms(7.0), 1000.5)
    assert restarted.oldest_allowed("m", 8.0, 1001.0) == 0
    assert restarted.oldest_allowed("m", 8.0, 1002.0) == 2

"""Tests of the selection of runners that load new weights."""

import pytest

from martenrun.router.rollout_plan import RolloutQuery, outdated_runners, runners_to_load
from martenrun.router.tuning import DEFAULTS

from .builders import state

RUNS_END_S = DEFAULTS.roll.runs_end_s
LOAD_TIME_S = 2.0
BOUND_S = 9.0


def rollout_query(version=2, loading=(), not_before=None, now=100.0, **changes):
    return RolloutQuery(
        "m", version, set(loading), not_before or {}, now, DEFAULTS.roll, LOAD_TIME_S, **changes
    )


def runners(count, **changes):
    return [state(f"i-{number}", **changes) for number in range(count)]


def test_a_fifth_of_the_runners_load_at_a_time_and_at_least_one():
    assert len(runners_to_load(rollout_query(), runners(45))) == 9
    assert len(runners_to_load(rollout_query(), runners(5))) == 1
    assert len(runners_to_load(rollout_query(), runners(1))) == 1


def test_loads_in_progress_count_towards_the_limit():
    ten = runners(10)
    assert len(runners_to_load(rollout_query(loading=["i-0"]), ten)) == 1
    assert runners_to_load(rollout_query(loading=["i-0", "i-1"]), ten) == []


def test_runners_with_the_oldest_weights_load_first():
    """Guards against delaying runners past their deadline by updating newer ones first."""
    some = [state(f"i-{number}", weights={"m": 2}) for number in range(5)]
    some.append(state("i-5", weights={"m": 1}))
    some[0].in_flight = 0
    some[5].in_flight = 9
    assert runners_to_load(rollout_query(version=3), some)[0].runner.instance == "i-5"


def test_only_staying_runners_of_the_model_with_older_weights_are_outdated():
    some = [
        state("i-0", weights={"m": 2}),
        state("i-1", is_draining=True),
        state("i-2", weights={"other": 1}),
        state("i-3"),
    ]
    assert [item.runner.instance for item in outdated_runners(some, "m", 2)] == ["i-3"]


def test_learned_weights_are_taken_into_account():
    item = state("i-0")
    item.record_weights("m", 2)
    assert outdated_runners([item], "m", 2) == []
    item.record_weights("m", 1)
    assert item.weights_version("m") == 2


def test_failed_runner_is_tried_again_only_after_a_pause():
    some = [state("i-0")]
    assert runners_to_load(rollout_query(not_before={"i-0": 100.5}), some) == []
    assert len(runners_to_load(rollout_query(not_before={"i-0": 99.5}), some)) == 1


def test_stopping_router_starts_no_load_that_it_cannot_order():
    some = [state("i-0")]
    assert runners_to_load(rollout_query(stops_at=100.0 + RUNS_END_S - 0.1), some) == []
    assert len(runners_to_load(rollout_query(stops_at=100.0 + RUNS_END_S + 0.1), some)) == 1


def test_loads_of_other_models_do_not_count_towards_the_limit():
    some = [state("i-0"), state("i-1", weights={"other": 1})]
    assert len(runners_to_load(rollout_query(loading=["i-1"]), some)) == 1


def test_runners_with_expired_weights_load_all_at_once():
    """Guards against a needless wait of runners that get no requests until they have loaded."""
    some = runners(6) + [state(f"j-{number}", weights={"m": 2}) for number in range(3)]
    target_changes = [(85.0, 1), (90.0, 2), (95.0, 3)]
    ordered = runners_to_load(
        rollout_query(version=3, target_changes=target_changes, old_weights_bound_s=BOUND_S), some
    )
    assert {item.runner.instance for item in ordered} == {f"i-{number}" for number in range(6)}
    late = rollout_query(
        version=3, target_changes=target_changes, old_weights_bound_s=BOUND_S, now=95.0 + BOUND_S
    )
    assert len(runners_to_load(late, some)) == 9


def test_runners_that_still_serve_wait_for_those_with_expired_weights():
    some = runners(2) + [state(f"j-{number}", weights={"m": 2}) for number in range(4)]
    known = {"target_changes": [(85.0, 1), (90.0, 2), (99.0, 3)], "old_weights_bound_s": BOUND_S}
    ordered = runners_to_load(rollout_query(version=3, **known), some)
    assert [item.runner.instance for item in ordered] == ["i-0", "i-1"]
    assert runners_to_load(rollout_query(version=3, loading=["i-0", "i-1"], **known), some) == []


def test_runner_that_cannot_load_does_not_speed_up_the_rollout():
    """Guards against a crashed runner near its deadline taking all runners out of service."""
    some = [state("i-0"), *(state(f"j-{number}", weights={"m": 3}) for number in range(3))]
    target_changes = [(80.0, 1), (91.5, 2), (95.5, 3), (99.5, 4)]
    ordered = runners_to_load(
        rollout_query(version=4, target_changes=target_changes, old_weights_bound_s=BOUND_S), some
    )
    assert [item.runner.instance for item in ordered] == ["i-0"]


def simulate_rollout(count, load_time_s, target_changes, end):
    """Simulate a rollout; return the largest delay of a load and the most parallel loads.

    The delay of a load is the time from its runner's deadline until its start.
    """
    states = runners(count)
    loading, worst, most, now = {}, -BOUND_S, 0, target_changes[0][0]
    while now < end:
        for instance, done_at in list(loading.items()):
            if done_at <= now:
                del loading[instance]
        known = [item for item in target_changes if item[0] <= now]
        version = known[-1][1]
        question = RolloutQuery(
            "m", version, set(loading), {}, now, DEFAULTS.roll, load_time_s, known, BOUND_S
        )
        for chosen in runners_to_load(question, states):
            has = chosen.weights_version("m")
            until = min(since for since, newer in known if newer > has) + BOUND_S
            worst = max(worst, now - until)
            loading[chosen.runner.instance] = now + load_time_s
            chosen.record_weights("m", version)
        most = max(most, len(loading))
        now += 0.1
    assert not outdated_runners(states, "m", target_changes[-1][1])
    return worst, most


@pytest.mark.parametrize("count", range(1, 80))
@pytest.mark.parametrize("load_time_s", [0.8, 2.0, 4.0])
def test_every_load_starts_before_the_weights_expire(count, load_time_s):
    worst, _ = simulate_rollout(count, load_time_s, [(0.0, 2)], 30.0)
    assert worst <= 0.2


@pytest.mark.parametrize("count", [1, 2, 5, 9, 45])
@pytest.mark.parametrize("gap_s", [1.0, 2.5, 4.0])
def test_rollout_keeps_up_with_versions_in_quick_succession(count, gap_s):
    target_changes = [(number * gap_s, number + 2) for number in range(6)]
    worst, most = simulate_rollout(count, 2.0, target_changes, 40.0)
    assert worst <= 0.2
    assert most <= max(1, count // 2)


def test_draining_runners_do_not_raise_the_limit():
    some = runners(3) + [state(f"j-{number}", is_draining=True) for number in range(12)]
    assert len(runners_to_load(rollout_query(), some)) == 1

"""Tests of the selection of runners that load new weights."""

import pytest

from martenrun.router.decisions import DEFAULTS
from martenrun.router.roll_plan import RollQuestion, lacking, runners_to_order

from .builders import state

RUNS_END_S = DEFAULTS.roll.runs_end_s
TURN_S = 2.0
BOUND_S = 9.0


def ask(version=2, loading=(), not_before=None, now=100.0, **changes):
    return RollQuestion(
        "m", version, set(loading), not_before or {}, now, DEFAULTS.roll, TURN_S, **changes
    )


def runners(count, **changes):
    return [state(f"i-{number}", **changes) for number in range(count)]


def test_a_fifth_of_the_runners_load_at_a_time_and_at_least_one():
    assert len(runners_to_order(ask(), runners(45))) == 9
    assert len(runners_to_order(ask(), runners(5))) == 1
    assert len(runners_to_order(ask(), runners(1))) == 1


def test_loads_under_way_take_places():
    ten = runners(10)
    assert len(runners_to_order(ask(loading=["i-0"]), ten)) == 1
    assert runners_to_order(ask(loading=["i-0", "i-1"]), ten) == []


def test_the_oldest_weights_go_first():
    """Guards against delaying runners past their deadline by updating newer ones first."""
    some = [state(f"i-{number}", weights={"m": 2}) for number in range(5)]
    some.append(state("i-5", weights={"m": 1}))
    some[0].in_flight = 0
    some[5].in_flight = 9
    assert runners_to_order(ask(version=3), some)[0].runner.instance == "i-5"


def test_runners_with_the_weights_that_leave_or_serve_other_models_are_left_alone():
    some = [
        state("i-0", weights={"m": 2}),
        state("i-1", is_draining=True),
        state("i-2", weights={"other": 1}),
        state("i-3"),
    ]
    assert [item.runner.instance for item in lacking(some, "m", 2)] == ["i-3"]


def test_learned_weights_count():
    item = state("i-0")
    item.learn_weights("m", 2)
    assert lacking([item], "m", 2) == []
    item.learn_weights("m", 1)
    assert item.weights_version("m") == 2


def test_a_runner_that_failed_is_tried_again_only_after_a_pause():
    some = [state("i-0")]
    assert runners_to_order(ask(not_before={"i-0": 100.5}), some) == []
    assert len(runners_to_order(ask(not_before={"i-0": 99.5}), some)) == 1


def test_a_router_that_ends_begins_no_load_that_it_could_not_order():
    some = [state("i-0")]
    assert runners_to_order(ask(ends_at=100.0 + RUNS_END_S - 0.1), some) == []
    assert len(runners_to_order(ask(ends_at=100.0 + RUNS_END_S + 0.1), some)) == 1


def test_loads_of_another_models_runners_take_no_places():
    some = [state("i-0"), state("i-1", weights={"other": 1})]
    assert len(runners_to_order(ask(loading=["i-1"]), some)) == 1


def test_runners_too_old_to_serve_load_all_at_once():
    """Guards against a needless wait of runners that get no requests until they have loaded."""
    some = runners(6) + [state(f"j-{number}", weights={"m": 2}) for number in range(3)]
    namings = [(85.0, 1), (90.0, 2), (95.0, 3)]
    ordered = runners_to_order(ask(version=3, namings=namings, bound_s=BOUND_S), some)
    assert {item.runner.instance for item in ordered} == {f"i-{number}" for number in range(6)}
    late = ask(version=3, namings=namings, bound_s=BOUND_S, now=95.0 + BOUND_S)
    assert len(runners_to_order(late, some)) == 9


def test_runners_that_still_serve_wait_for_those_too_old():
    some = runners(2) + [state(f"j-{number}", weights={"m": 2}) for number in range(4)]
    known = {"namings": [(85.0, 1), (90.0, 2), (99.0, 3)], "bound_s": BOUND_S}
    ordered = runners_to_order(ask(version=3, **known), some)
    assert [item.runner.instance for item in ordered] == ["i-0", "i-1"]
    assert runners_to_order(ask(version=3, loading=["i-0", "i-1"], **known), some) == []


def test_a_runner_that_cannot_load_does_not_make_all_others_hurry():
    """Guards against a crashed runner near its deadline taking all runners out of service."""
    some = [state("i-0"), *(state(f"j-{number}", weights={"m": 3}) for number in range(3))]
    namings = [(80.0, 1), (91.5, 2), (95.5, 3), (99.5, 4)]
    ordered = runners_to_order(ask(version=4, namings=namings, bound_s=BOUND_S), some)
    assert [item.runner.instance for item in ordered] == ["i-0"]


def roll(count, turn_s, namings, end):
    """Simulate a rollout; return the largest delay of a load and the most parallel loads.

    The delay of a load is the time from its runner's deadline until its start.
    """
    states = runners(count)
    loading, worst, most, now = {}, -BOUND_S, 0, namings[0][0]
    while now < end:
        for instance, done_at in list(loading.items()):
            if done_at <= now:
                del loading[instance]
        known = [item for item in namings if item[0] <= now]
        version = known[-1][1]
        question = RollQuestion(
            "m", version, set(loading), {}, now, DEFAULTS.roll, turn_s, known, BOUND_S
        )
        for chosen in runners_to_order(question, states):
            has = chosen.weights_version("m")
            until = min(since for since, newer in known if newer > has) + BOUND_S
            worst = max(worst, now - until)
            loading[chosen.runner.instance] = now + turn_s
            chosen.learn_weights("m", version)
        most = max(most, len(loading))
        now += 0.1
    assert not lacking(states, "m", namings[-1][1])
    return worst, most


@pytest.mark.parametrize("count", range(1, 80))
@pytest.mark.parametrize("turn_s", [0.8, 2.0, 4.0])
def test_every_runner_begins_to_load_before_its_weights_are_too_old(count, turn_s):
    worst, _ = roll(count, turn_s, [(0.0, 2)], 30.0)
    assert worst <= 0.2


@pytest.mark.parametrize("count", [1, 2, 5, 9, 45])
@pytest.mark.parametrize("gap_s", [1.0, 2.5, 4.0])
def test_versions_in_quick_succession_are_kept_up_with(count, gap_s):
    namings = [(number * gap_s, number + 2) for number in range(6)]
    worst, most = roll(count, 2.0, namings, 40.0)
    assert worst <= 0.2
    assert most <= max(1, count // 2)


def test_leaving_runners_give_no_places():
    some = runners(3) + [state(f"j-{number}", is_draining=True) for number in range(12)]
    assert len(runners_to_order(ask(), some)) == 1

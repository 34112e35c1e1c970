"""Which runners are ordered to load weights, and when."""

import pytest

from martenrun.router.decisions import DEFAULTS
from martenrun.router.weights_roll import RollQuestion, lacking, runners_to_order

from .builders import state

RUNS_END_S = DEFAULTS.roll.runs_end_s


def ask(version=2, loading=(), not_before=None, **changes):
    return RollQuestion(
        "m", version, set(loading), not_before or {}, 100.0, DEFAULTS.roll, **changes
    )


def test_a_third_of_the_runners_load_at_a_time_and_at_least_one():
    six = [state(f"i-{number}") for number in range(6)]
    assert len(runners_to_order(ask(), six)) == 2
    assert len(runners_to_order(ask(), six[:1])) == 1


def test_loads_under_way_take_places():
    six = [state(f"i-{number}") for number in range(6)]
    assert len(runners_to_order(ask(loading=["i-0"]), six)) == 1
    assert runners_to_order(ask(loading=["i-0", "i-1"]), six) == []


def test_the_oldest_weights_go_first():
    """A runner moved to an overtaken version must not keep others waiting past their time."""
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
    """They serve nobody until they have loaded: waiting for each other only costs time."""
    some = [state(f"i-{number}") for number in range(6)]
    some += [state(f"i-{number}", weights={"m": 2}) for number in range(6, 9)]
    ordered = runners_to_order(ask(version=3, oldest_version=2), some)
    assert {item.runner.instance for item in ordered} == {f"i-{number}" for number in range(6)}
    assert len(runners_to_order(ask(version=3, oldest_version=3), some)) == 9


def test_runners_that_still_serve_wait_for_those_too_old():
    some = [state("i-0"), state("i-1"), *(state(f"j-{n}", weights={"m": 2}) for n in range(4))]
    ordered = runners_to_order(ask(version=3, oldest_version=2), some)
    assert [item.runner.instance for item in ordered] == ["i-0", "i-1"]
    loading = runners_to_order(ask(version=3, oldest_version=2, loading=["i-0", "i-1"]), some)
    assert loading == []


@pytest.mark.parametrize("count", range(1, 80))
def test_three_turns_are_enough_for_any_number_of_runners(count):
    some = [state(f"i-{number}") for number in range(count)]
    assert 3 * len(runners_to_order(ask(), some)) >= count


def test_leaving_runners_give_no_places():
    some = [state("i-0"), state("i-1"), state("i-2")]
    some += [state(f"j-{number}", is_draining=True) for number in range(6)]
    assert len(runners_to_order(ask(), some)) == 1

"""Tests of the action after a failed attempt, in particular for unsafe requests."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.retry import MAXIMUM_SENDS, Failure, NextStep, TryState, next_step

states = st.builds(
    TryState,
    may_repeat=st.booleans(),
    maximum_attempts=st.integers(1, 4),
    runs=st.integers(0, 5),
    sends=st.integers(1, 6),
    has_answer_begun=st.booleans(),
    left_s=st.floats(-1, 10),
    is_within_budget=st.booleans(),
    has_other_runner=st.booleans(),
)
failures = st.sampled_from(Failure)


@given(failures, states)
def test_what_may_have_run_and_must_not_repeat_is_never_sent_again(failure, state):
    if state.may_repeat or failure in (Failure.NOT_SENT, Failure.NOT_EXECUTED):
        return
    assert next_step(failure, state) is not NextStep.SEND_AGAIN


@given(failures, states)
def test_a_request_that_may_have_run_is_never_said_not_to_have_run(failure, state):
    ran = state.runs > 0
    if ran:
        assert next_step(failure, state) is not NextStep.REFUSE


@given(failures, states)
def test_an_answer_that_has_begun_is_broken_off_or_continued_only(failure, state):
    if state.has_answer_begun:
        assert next_step(failure, state) in (NextStep.SEND_AGAIN, NextStep.BREAK_OFF)


@given(failures, states)
def test_sends_stay_within_attempts_budget_time_and_number(failure, state):
    if next_step(failure, state) is not NextStep.SEND_AGAIN:
        return
    assert state.left_s > 0 and state.has_other_runner and state.sends < MAXIMUM_SENDS
    assert failure is Failure.NOT_SENT or state.is_within_budget
    assert state.runs == 0 or state.runs < state.maximum_attempts


def made(**changes):
    fields = {
        "may_repeat": True,
        "maximum_attempts": 2,
        "runs": 1,
        "sends": 1,
        "has_answer_begun": False,
        "left_s": 1.0,
        "is_within_budget": True,
        "has_other_runner": True,
    }
    return TryState(**{**fields, **changes})


def test_a_repeatable_request_goes_to_another_runner():
    assert next_step(Failure.BROKEN, made()) is NextStep.SEND_AGAIN
    assert next_step(Failure.RUN_FAILED, made()) is NextStep.SEND_AGAIN


def test_a_failed_run_that_cannot_be_repeated_is_passed_on():
    state = made(runs=2)
    assert next_step(Failure.RUN_FAILED, state) is NextStep.PASS_ON


def test_an_unsafe_request_that_was_not_run_goes_to_another_runner():
    state = made(may_repeat=False, runs=0, maximum_attempts=1)
    assert next_step(Failure.NOT_EXECUTED, state) is NextStep.SEND_AGAIN
    assert next_step(Failure.NOT_SENT, state) is NextStep.SEND_AGAIN


def test_an_unsafe_request_cut_off_after_sending_ends_as_unknown():
    state = made(may_repeat=False, runs=1, maximum_attempts=1)
    assert next_step(Failure.BROKEN, state) is NextStep.ANSWER_UNKNOWN


def test_nothing_is_refused_as_not_run_when_no_runner_is_left_after_a_run():
    assert next_step(Failure.NOT_EXECUTED, made(has_other_runner=False)) is NextStep.ANSWER_UNKNOWN
    assert next_step(Failure.NOT_EXECUTED, made(runs=0, has_other_runner=False)) is NextStep.REFUSE

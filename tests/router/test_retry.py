"""Tests of the action after a failed attempt, in particular for unsafe requests."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.retry import MAXIMUM_SENDS, AttemptState, Failure, NextStep, next_step

states = st.builds(
    AttemptState,
    may_repeat=st.booleans(),
    maximum_attempts=st.integers(1, 4),
    runs=st.integers(0, 5),
    sends=st.integers(1, 6),
    has_response_started=st.booleans(),
    left_s=st.floats(-1, 10),
    is_within_budget=st.booleans(),
    has_other_runner=st.booleans(),
)
failures = st.sampled_from(Failure)


@given(failures, states)
def test_unsafe_request_that_may_have_run_is_never_sent_again(failure, state):
    if state.may_repeat or failure in (Failure.NOT_SENT, Failure.NOT_EXECUTED):
        return
    assert next_step(failure, state) is not NextStep.SEND_AGAIN


@given(failures, states)
def test_request_that_may_have_run_is_never_refused(failure, state):
    may_have_run = state.runs > 0
    if may_have_run:
        assert next_step(failure, state) is not NextStep.REFUSE


@given(failures, states)
def test_started_response_is_only_aborted_or_continued(failure, state):
    if state.has_response_started:
        assert next_step(failure, state) in (NextStep.SEND_AGAIN, NextStep.ABORT_RESPONSE)


@given(failures, states)
def test_sends_stay_within_all_limits(failure, state):
    if next_step(failure, state) is not NextStep.SEND_AGAIN:
        return
    assert state.left_s > 0 and state.has_other_runner and state.sends < MAXIMUM_SENDS
    assert failure is Failure.NOT_SENT or state.is_within_budget
    assert state.runs == 0 or state.runs < state.maximum_attempts


def attempt_state(**changes):
    fields = {
        "may_repeat": True,
        "maximum_attempts": 2,
        "runs": 1,
        "sends": 1,
        "has_response_started": False,
        "left_s": 1.0,
        "is_within_budget": True,
        "has_other_runner": True,
    }
    return AttemptState(**{**fields, **changes})


def test_repeatable_request_goes_to_another_runner():
    assert next_step(Failure.BROKEN, attempt_state()) is NextStep.SEND_AGAIN
    assert next_step(Failure.RUN_FAILED, attempt_state()) is NextStep.SEND_AGAIN


def test_response_of_the_last_failed_run_is_forwarded():
    state = attempt_state(runs=2)
    assert next_step(Failure.RUN_FAILED, state) is NextStep.FORWARD_RESPONSE


def test_unsafe_request_that_was_not_run_goes_to_another_runner():
    state = attempt_state(may_repeat=False, runs=0, maximum_attempts=1)
    assert next_step(Failure.NOT_EXECUTED, state) is NextStep.SEND_AGAIN
    assert next_step(Failure.NOT_SENT, state) is NextStep.SEND_AGAIN


def test_unsafe_request_interrupted_after_sending_has_an_unknown_outcome():
    state = attempt_state(may_repeat=False, runs=1, maximum_attempts=1)
    assert next_step(Failure.BROKEN, state) is NextStep.OUTCOME_UNKNOWN


def test_request_without_another_runner_is_refused_only_if_it_never_ran():
    assert (
        next_step(Failure.NOT_EXECUTED, attempt_state(has_other_runner=False))
        is NextStep.OUTCOME_UNKNOWN
    )
    assert (
        next_step(Failure.NOT_EXECUTED, attempt_state(runs=0, has_other_runner=False))
        is NextStep.REFUSE
    )

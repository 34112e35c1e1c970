"""Decides what to do after a failed attempt of a request at a runner.  No I/O or clock.

A request that must not run twice is sent to another runner only if none of its bytes can have been
sent, or if the runner has stated that it did not execute it.
"""

import enum

import attrs

MAXIMUM_SENDS = 4
"""Maximum number of sends of a request, including those that were not executed."""

MINIMUM_LEFT_S = 0.05
"""Minimum time left before the deadline for another send, in seconds."""


class Failure(enum.Enum):
    """The way in which an attempt failed to give a usable response."""

    NOT_SENT = "not sent"
    NOT_EXECUTED = "not executed"
    BROKEN = "broken"
    RUN_FAILED = "run failed"


class NextStep(enum.Enum):
    """The action taken after a failed attempt."""

    SEND_AGAIN = "send again"
    REFUSE = "refuse"
    FORWARD_RESPONSE = "pass on"
    OUTCOME_UNKNOWN = "answer unknown"
    ABORT_RESPONSE = "break off"


@attrs.frozen
class AttemptState:
    """The state of a request when an attempt has failed.

    Attributes:
        may_repeat: whether the request may run more than once.
        maximum_attempts: maximum number of runners that may execute it.
        runs: number of runners that may have executed it, including this attempt.
        sends: number of times it was sent, including this attempt.
        has_response_started: whether the caller has received a part of the response.
        left_s: time left before the deadline or the timeout of the route, in seconds.
        is_within_budget: whether the retry budget allows another send to the service.
        has_other_runner: whether there is another runner to send it to.
        is_blocked: whether it is blocked because it crashed too many runners.
    """

    may_repeat: bool
    maximum_attempts: int
    runs: int
    sends: int
    has_response_started: bool
    left_s: float
    is_within_budget: bool
    has_other_runner: bool
    is_blocked: bool = False


def next_step(failure: Failure, state: AttemptState) -> NextStep:
    """Return the action to take after a failed attempt."""
    if _may_send_again(failure, state):
        return NextStep.SEND_AGAIN
    if state.has_response_started:
        return NextStep.ABORT_RESPONSE
    if failure is Failure.RUN_FAILED:
        return NextStep.FORWARD_RESPONSE
    if state.runs == 0:
        return NextStep.REFUSE
    return NextStep.OUTCOME_UNKNOWN


def _may_send_again(failure: Failure, state: AttemptState) -> bool:
    if state.left_s < MINIMUM_LEFT_S or not state.has_other_runner or state.is_blocked:
        return False
    if state.sends >= MAXIMUM_SENDS:
        return False
    if failure is not Failure.NOT_SENT and not state.is_within_budget:
        return False
    if failure in (Failure.NOT_SENT, Failure.NOT_EXECUTED):
        return state.runs == 0 or state.runs < state.maximum_attempts
    return state.may_repeat and state.runs < state.maximum_attempts

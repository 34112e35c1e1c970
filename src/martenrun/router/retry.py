"""What follows when a try of a request at a runner fails: pure decisions.

A request that must not run twice goes to another runner only if no byte of it can have left or
the runner said that it did not run it.
"""

import enum

import attrs

MAXIMUM_SENDS = 4
"""Most runners that one request is sent to, those that did not run it included."""

LEAST_LEFT_S = 0.05
"""Time left to the deadline below which nothing is sent again, in seconds."""


class Failure(enum.Enum):
    """How a try ended without an answer that can be passed on."""

    NOT_SENT = "not sent"
    NOT_EXECUTED = "not executed"
    BROKEN = "broken"
    RUN_FAILED = "run failed"


class NextStep(enum.Enum):
    """What is done after a failed try."""

    SEND_AGAIN = "send again"
    REFUSE = "refuse"
    PASS_ON = "pass on"
    ANSWER_UNKNOWN = "answer unknown"
    BREAK_OFF = "break off"


@attrs.frozen
class TryState:
    """Where a request stands when a try fails.

    Attributes:
        may_repeat: whether it can run more than once.
        maximum_attempts: most runners that may have run it.
        runs: runners that may have run it, this one included.
        sends: runners that it has been sent to, this one included.
        has_answer_begun: whether the caller has got a part of the answer.
        left_s: time to the end of the deadline or the route's time-out, in seconds.
        is_within_budget: whether the retry budget allows another arrival at the service.
        has_other_runner: whether there is another runner to send it to.
        is_held_back: whether it has ended too many runners to be sent to another.
    """

    may_repeat: bool
    maximum_attempts: int
    runs: int
    sends: int
    has_answer_begun: bool
    left_s: float
    is_within_budget: bool
    has_other_runner: bool
    is_held_back: bool = False


def next_step(failure: Failure, state: TryState) -> NextStep:
    """Return what is done after a failed try."""
    if _may_send_again(failure, state):
        return NextStep.SEND_AGAIN
    if state.has_answer_begun:
        return NextStep.BREAK_OFF
    if failure is Failure.RUN_FAILED:
        return NextStep.PASS_ON
    if state.runs == 0:
        return NextStep.REFUSE
    return NextStep.ANSWER_UNKNOWN


def _may_send_again(failure: Failure, state: TryState) -> bool:
    if state.left_s < LEAST_LEFT_S or not state.has_other_runner or state.is_held_back:
        return False
    if state.sends >= MAXIMUM_SENDS:
        return False
    if failure is not Failure.NOT_SENT and not state.is_within_budget:
        return False
    if failure in (Failure.NOT_SENT, Failure.NOT_EXECUTED):
        return state.runs == 0 or state.runs < state.maximum_attempts
    return state.may_repeat and state.runs < state.maximum_attempts

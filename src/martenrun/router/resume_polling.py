"""Waits for a runner that can resume a stream in progress."""

import attrs

from martenrun.router.caller_stream import CallerStream
from martenrun.router.retry import AttemptState, Failure, NextStep, next_step
from martenrun.router.runner_choice import RunnerChoice

FIRST_POLL_S = 0.025
MAXIMUM_POLL_S = 0.2
"""First and longest delay before a stream tries again to choose a runner, in seconds."""

MAXIMUM_GAP_S = 1.5
"""Gap in a stream until which it waits for a runner that can go on, in seconds.

Callers give a stream up after two seconds without an event.
"""


class ResumePolling:
    """Decides whether a stream waits for a runner, and for how long at a time."""

    def __init__(self, runner_choice: RunnerChoice, caller_stream: CallerStream) -> None:
        self._runner_choice = runner_choice
        self._caller_stream = caller_stream
        self._polls = 0

    def may_wait(self, failure: Failure, state: AttemptState, now: float) -> bool:
        """Return whether a runner of the stream's software version may soon be usable again."""
        blocked_s = self._runner_choice.all_blocked_for_s() or 0.0
        if state.has_other_runner or self._caller_stream.gap_s(now) + blocked_s > MAXIMUM_GAP_S:
            return False
        would_resume = attrs.evolve(state, has_other_runner=True)
        return (
            next_step(failure, would_resume) is NextStep.SEND_AGAIN
            and self._runner_choice.has_listed_runner()
        )

    def next_delay_s(self) -> float:
        """Return the next delay, which doubles; runners that broke the stream may resume it."""
        self._runner_choice.tried_instances.clear()
        delay_s = min(MAXIMUM_POLL_S, FIRST_POLL_S * 2**self._polls)
        self._polls += 1
        return delay_s

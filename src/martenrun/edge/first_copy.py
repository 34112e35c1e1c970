"""Holding requests that come before an edge has its first copy of the configuration.

An edge without a copy can not tell whose key it sees.  A process that has just started has one
within a fraction of a second, so a request waits for it for a bounded time, and is then refused
as not run.

See also: docs/design/requests.md.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.configuration.view import ConfigurationView
from martenrun.edge.forward import CallerLeft

HOLD_S = 2.0
"""Longest time for which a request waits for the first copy, in seconds."""

DEADLINE_SHARE = 0.5
"""Largest part of a request's time that it may wait; the rest is for running it."""

LOOK_INTERVAL_S = 0.02
"""Time between two looks at the configuration in force, in seconds."""


@dataclass(frozen=True, slots=True)
class FirstCopy:
    """The configuration in force, and how long a request has waited for it, in seconds."""

    view: ConfigurationView
    held_s: float


def longest_hold_s(deadline_s: float) -> float:
    """Return how long a request may wait for the first copy, in seconds."""
    return min(HOLD_S, DEADLINE_SHARE * deadline_s)


def wait_for_first_copy(
    view: Callable[[], ConfigurationView], deadline_s: float, caller_gone: Callable[[], bool]
) -> FirstCopy:
    """Return the configuration in force, after a wait if there is none yet.

    It is still the empty one if no copy has come in time.

    Args:
        view: returns the configuration in force.
        deadline_s: the time that the request may take.
        caller_gone: returns whether the caller has left.

    Raises:
        CallerLeft: the caller left meanwhile.
    """
    present = view()
    if present.revision > 0:
        return FirstCopy(present, 0.0)
    began = time.monotonic()
    until = began + longest_hold_s(deadline_s)
    while present.revision == 0 and time.monotonic() < until:
        if caller_gone():
            raise CallerLeft
        time.sleep(LOOK_INTERVAL_S)
        present = view()
    return FirstCopy(present, time.monotonic() - began)

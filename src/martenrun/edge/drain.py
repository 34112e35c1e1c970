"""Waiting for the end of work at a planned stop."""

import threading
import time
from collections.abc import Callable

POLL_S = 0.02
"""Time between two looks at a condition, in seconds."""


def wait_while(condition: Callable[[], bool], limit_s: float, hurry: threading.Event) -> bool:
    """Wait while a condition holds; returns whether it ended in time.

    Args:
        condition: what has to end.
        limit_s: longest wait, in seconds.
        hurry: ends the wait at once.
    """
    until = time.monotonic() + limit_s
    while condition():
        if time.monotonic() >= until or hurry.wait(POLL_S):
            return False
    return True

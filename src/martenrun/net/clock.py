"""The clock of all ages, deadlines, leases and beliefs: steady, and it goes on during suspension.

``CLOCK_MONOTONIC`` stands still while a machine is suspended: a router that wakes up after four
seconds would take its lease, its keys and its configuration to be four seconds younger than they
are.  ``CLOCK_BOOTTIME`` counts that time.  Where a system has none, the steady clock has to do:
there a suspended machine believes what it knew for as much longer as it was suspended.
"""

import time
from collections.abc import Callable


def _steady_clock() -> Callable[[], float]:
    """Return the clock that counts suspended time, or the steady one where there is none."""
    number = getattr(time, "CLOCK_BOOTTIME", None)
    if number is None:
        return time.monotonic
    try:
        time.clock_gettime(number)
    except OSError:
        return time.monotonic
    return lambda: time.clock_gettime(number)


_read = _steady_clock()


def now() -> float:
    """Return the time in seconds; only differences mean anything."""
    return _read()

"""The clock of the process: monotonic, and it includes the time for which the machine is suspended.

All ages, deadlines and leases are measured with it.  ``CLOCK_MONOTONIC`` stops during suspension:
after four seconds of it, a router would take its lease, its keys and its configuration to be four
seconds younger than they are.  ``CLOCK_BOOTTIME`` includes that time.  A system without it uses
``CLOCK_MONOTONIC``; there a router trusts outdated state for as much longer as it was suspended.
"""

import time
from collections.abc import Callable


def _monotonic_clock() -> Callable[[], float]:
    """Return a clock that includes suspended time, or the monotonic one if there is none."""
    number = getattr(time, "CLOCK_BOOTTIME", None)
    if number is None:
        return time.monotonic
    try:
        time.clock_gettime(number)
    except OSError:
        return time.monotonic
    return lambda: time.clock_gettime(number)


_read = _monotonic_clock()


def now() -> float:
    """Return the monotonic time in seconds; only differences are meaningful."""
    return _read()

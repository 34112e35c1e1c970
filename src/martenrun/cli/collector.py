"""How often the interpreter looks for garbage in cycles.

Reference counts free nearly everything.  What is left are cycles of exceptions and of a request's
state, while a full look passes over all that a process holds: at the target size 188,000 objects
and 0.13 s of the loop's time, twice in two minutes with the interpreter's own thresholds.
"""

import gc

YOUNG_OBJECTS = 5_000
"""Containers made and not freed after which the young ones are looked at; 700 by default."""

YOUNG_LOOKS = 5
"""Looks at young containers before one at those that have outlived a look."""

MIDDLE_LOOKS = 10
"""Looks at those before one at everything; also waits until a quarter more is held."""


def collect_seldom() -> None:
    """Set the thresholds of a long-lived process."""
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_LOOKS, MIDDLE_LOOKS)

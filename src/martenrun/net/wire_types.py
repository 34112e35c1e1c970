"""Number types of messages between routers, with bounds that are checked when they are decoded.

Without bounds, an odd number from one router is computed with, passed on, and may exceed what the
encoding can express at another router.
"""

from typing import Annotated

import msgspec

MAXIMUM_MS = 2**50
"""Maximum age or delay in a message, in milliseconds; far longer than any process runs."""

MAXIMUM_INCARNATION = 2**53
"""Maximum incarnation of a router; usual ones are wall-clock times in milliseconds."""

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_MS)]
"""An age or a delay."""

Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_INCARNATION)]

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""A number that only increases."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e300)]
"""A finite number that is not negative."""


def bounded_ms(milliseconds: int) -> int:
    """Return an age or delay within the bounds of messages; ages grow while they are kept."""
    return min(MAXIMUM_MS, max(0, milliseconds))

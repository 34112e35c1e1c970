"""What an owner remembers of prefixes that its runners served, for homes that restart.

Only a prefix's home knows where it has placed it, and a home that restarts has forgotten.  The
owner of a runner sees every reservation, so it remembers the first block of each, and tells a
home that has come back which of its prefixes were served where.

See also: :meth:`martenrun.routing.placement.Placement.settle`.
"""

from collections.abc import Callable
from dataclasses import dataclass

MAXIMUM_SERVED = 16_384
"""Prefixes that an owner remembers; the one served longest ago is forgotten first."""

MAXIMUM_TOLD = 1_024
"""Most prefixes told to one home at a time; the ones served last."""


@dataclass(frozen=True, slots=True)
class PrefixKey:
    """What decides which home a prompt has."""

    tenant: str
    model: str
    first_block: bytes


@dataclass(frozen=True, slots=True)
class ServedPrefix:
    """A prefix, the run that served it last, and when, in this node's time."""

    key: PrefixKey
    runner: str
    incarnation: str
    served_at: float


class ServedPrefixes:
    """The last runner of each prefix among an owner's runners."""

    def __init__(self) -> None:
        self._served: dict[PrefixKey, ServedPrefix] = {}

    def served(self, prefix: ServedPrefix) -> None:
        """A runner has been given a prompt with this prefix."""
        self._served.pop(prefix.key, None)
        self._served[prefix.key] = prefix
        if len(self._served) > MAXIMUM_SERVED:
            del self._served[next(iter(self._served))]

    def of_home(
        self, is_home_of: Callable[[PrefixKey], bool], incarnation_of: Callable[[str], str]
    ) -> list[ServedPrefix]:
        """Return the prefixes of one home that a present run may still hold, latest first."""
        found: list[ServedPrefix] = []
        for prefix in reversed(self._served.values()):
            is_present = incarnation_of(prefix.runner) == prefix.incarnation
            if is_present and is_home_of(prefix.key):
                found.append(prefix)
                if len(found) == MAXIMUM_TOLD:
                    break
        return found

"""What has ended a short time ago, against messages that come late or twice."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Identity = TypeVar("Identity", bound=Hashable)


class Ended(Generic[Identity]):
    """Identities that have ended, each with a number that only rises, for a set time.

    Args:
        lifetime_s: how long an identity is remembered, in seconds.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._until: dict[Identity, tuple[int, float]] = {}

    def __contains__(self, identity: Identity) -> bool:
        return identity in self._until

    def __len__(self) -> int:
        return len(self._until)

    def add(self, identity: Identity, now: float, number: int = 0) -> None:
        """Remember an identity from now on."""
        known, _until = self._until.pop(identity, (number, 0.0))
        self._until[identity] = (max(known, number), now + self._lifetime_s)

    def number(self, identity: Identity) -> int:
        """Return the largest number given for an identity; -1 if it is not remembered."""
        found = self._until.get(identity)
        return found[0] if found is not None else -1

    def forget_old(self, now: float) -> None:
        """Drop what is older than the lifetime; entries stand in the order of their times."""
        while self._until:
            identity = next(iter(self._until))
            if self._until[identity][1] > now:
                break
            del self._until[identity]

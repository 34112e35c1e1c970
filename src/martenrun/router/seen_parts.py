"""Which parts of prompts this router has seen read, where and when; bounded in number and age."""

from typing import TypeVar

_Key = TypeVar("_Key")

KEPT_S = 20.0
"""How long a part is believed to be kept after it was last used, in seconds."""

MAXIMUM_PARTS = 4096
"""Most (runner, part) pairs and most parts remembered."""


class SeenParts:
    """Parts read lately, by runner and at all."""

    def __init__(self) -> None:
        self._at: dict[tuple[str, bytes], float] = {}
        self._anywhere: dict[bytes, float] = {}

    def note(self, instance: str, key: bytes, now: float) -> None:
        """Take in that a runner has read a part."""
        _put(self._at, (instance, key), now)
        _put(self._anywhere, key, now)

    def is_at(self, instance: str, key: bytes, now: float) -> bool:
        """Whether a runner is believed to keep a part."""
        return now - self._at.get((instance, key), -KEPT_S) < KEPT_S

    def is_anywhere(self, key: bytes, now: float) -> bool:
        """Whether any runner has read a part, so that the kept-cache store should have it."""
        return now - self._anywhere.get(key, -KEPT_S) < KEPT_S


def _put(times: dict[_Key, float], key: _Key, now: float) -> None:
    """Note a time; the entries noted longest ago give way."""
    times.pop(key, None)
    times[key] = now
    while len(times) > MAXIMUM_PARTS:
        del times[next(iter(times))]

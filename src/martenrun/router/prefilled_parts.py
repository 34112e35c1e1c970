"""Records which prompt parts runners have prefilled recently, bounded in number and age."""

import math
from typing import TypeVar

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")

RETENTION_S = 20.0
"""Time for which a part is assumed to stay cached after its last use, in seconds."""

MAXIMUM_PARTS = 4096
"""Maximum number of entries of each table: pairs of runner and part, parts, and saved parts."""


class PrefilledParts:
    """Recently prefilled prompt parts, by runner and over all runners."""

    def __init__(self) -> None:
        self._prefilled_at: dict[tuple[str, bytes], float] = {}
        self._last_prefills: dict[bytes, tuple[float, str]] = {}
        self._saved_at: dict[bytes, float] = {}

    def record_prefill(self, instance: str, key: bytes, now: float) -> None:
        """Record that a runner has prefilled a part."""
        _put(self._prefilled_at, (instance, key), now)
        _put(self._last_prefills, key, (now, instance))

    def record_saved(self, key: bytes, now: float) -> None:
        """Record that a part is saved to the KV cache store."""
        _put(self._saved_at, key, now)

    def was_saved_within(self, key: bytes, now: float, memory_s: float) -> bool:
        """Return whether a part was saved to the KV cache store within ``memory_s`` seconds."""
        return now - self._saved_at.get(key, -math.inf) < memory_s

    def is_cached_at(self, instance: str, key: bytes, now: float) -> bool:
        """Return whether a runner is assumed to have a part cached."""
        return now - self._prefilled_at.get((instance, key), -RETENTION_S) < RETENTION_S

    def is_cached_anywhere(self, key: bytes, now: float) -> bool:
        """Return whether any runner has prefilled a part recently.

        The KV cache store is then assumed to hold it.
        """
        return self.last_prefilled_by(key, now) is not None

    def last_prefilled_by(self, key: bytes, now: float) -> str | None:
        """Return the instance of the runner that prefilled a part last, or None."""
        at, instance = self._last_prefills.get(key, (-RETENTION_S, ""))
        return instance if now - at < RETENTION_S else None


def _put(entries: dict[_Key, _Value], key: _Key, value: _Value) -> None:
    """Put an entry at the end, and evict the oldest entries above the maximum."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > MAXIMUM_PARTS:
        del entries[next(iter(entries))]

"""Which parts of prompts this router has seen read, where and when; bounded in number and age."""

import math
from typing import TypeVar

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")

KEPT_S = 20.0
"""How long a part is believed to be kept after it was last used, in seconds."""

MAXIMUM_PARTS = 4096
"""Most (runner, part) pairs and most parts remembered."""


class SeenParts:
    """Parts read lately, by runner and at all."""

    def __init__(self) -> None:
        self._at: dict[tuple[str, bytes], float] = {}
        self._anywhere: dict[bytes, tuple[float, str]] = {}
        self._saved_at: dict[bytes, float] = {}

    def note(self, instance: str, key: bytes, now: float) -> None:
        """Take in that a runner has read a part."""
        _put(self._at, (instance, key), now)
        _put(self._anywhere, key, (now, instance))

    def note_saved(self, key: bytes, now: float) -> None:
        """Take in that a part goes to the kept-cache store."""
        _put(self._saved_at, key, now)

    def is_saved(self, key: bytes, now: float, memory_s: float) -> bool:
        """Whether a part went to the kept-cache store within the last ``memory_s`` seconds."""
        return now - self._saved_at.get(key, -math.inf) < memory_s

    def is_at(self, instance: str, key: bytes, now: float) -> bool:
        """Whether a runner is believed to keep a part."""
        return now - self._at.get((instance, key), -KEPT_S) < KEPT_S

    def is_anywhere(self, key: bytes, now: float) -> bool:
        """Whether any runner has read a part, so that the kept-cache store should have it."""
        return self.last_reader(key, now) is not None

    def last_reader(self, key: bytes, now: float) -> str | None:
        """Return the instance of the runner that read a part last."""
        at, instance = self._anywhere.get(key, (-KEPT_S, ""))
        return instance if now - at < KEPT_S else None


def _put(entries: dict[_Key, _Value], key: _Key, value: _Value) -> None:
    """Note an entry; those noted longest ago give way."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > MAXIMUM_PARTS:
        del entries[next(iter(entries))]

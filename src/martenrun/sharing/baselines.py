"""Baseline of the fair queue, kept for comparison.

See also: :mod:`martenrun.sharing.fair_queue`, :mod:`martenrun.bench.sharing`.
"""

from collections.abc import Mapping
from typing import Protocol

from martenrun.sharing.drain import DrainMeter
from martenrun.sharing.fair_queue import QueueEntry


class RequestQueue(Protocol):
    """What a queue of waiting requests offers; see FairQueue for each operation."""

    def __len__(self) -> int: ...

    def push(self, entry: QueueEntry, now: float) -> bool:
        """Add an entry."""
        ...

    def pop(self, now: float) -> QueueEntry | None:
        """Remove and return the next entry."""
        ...

    def remove(self, request_id: str, attempt: int) -> bool:
        """Take an entry out."""
        ...

    def expire(self, now: float) -> list[QueueEntry]:
        """Remove and return entries past their deadline."""
        ...

    def expected_wait_s(self, now: float, tenant: str | None = None) -> float:
        """Return the expected wait of one more entry."""
        ...

    def backlogged(self) -> list[str]:
        """Return the tenants with waiting entries."""
        ...

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights."""
        ...


class FifoQueue:
    """First in, first out over all tenants; weights and priorities change nothing."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, int], QueueEntry] = {}
        self._tokens = 0.0
        self._drain = DrainMeter()

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: QueueEntry, now: float) -> bool:
        """Add an entry at the end."""
        if entry.key in self._entries:
            return False
        self._drain.advance(now, bool(self._entries))
        self._entries[entry.key] = entry
        self._tokens += entry.cost_tokens
        return True

    def pop(self, now: float) -> QueueEntry | None:
        """Remove and return the oldest entry that can still meet its deadline."""
        self._drain.advance(now, bool(self._entries))
        for entry in self._entries.values():
            if entry.deadline > now:
                self._take(entry)
                self._drain.popped(entry.cost_tokens)
                return entry
        return None

    def remove(self, request_id: str, attempt: int) -> bool:
        """Take an entry out; returns whether it was there."""
        entry = self._entries.get((request_id, attempt))
        if entry is None:
            return False
        self._take(entry)
        return True

    def expire(self, now: float) -> list[QueueEntry]:
        """Remove and return entries past their deadline."""
        expired = [entry for entry in self._entries.values() if entry.deadline <= now]
        for entry in expired:
            self._take(entry)
        return expired

    def expected_wait_s(self, now: float, tenant: str | None = None) -> float:
        """Return the whole queue's time to drain."""
        self._drain.advance(now, bool(self._entries))
        return self._drain.wait_s(self._tokens)

    def backlogged(self) -> list[str]:
        """Return the tenants with waiting entries."""
        return list({entry.tenant for entry in self._entries.values()})

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Change nothing."""

    def _take(self, entry: QueueEntry) -> None:
        del self._entries[entry.key]
        self._tokens -= entry.cost_tokens

"""Which prefixes are hot, and which runners are still computing one.

A prefix is known by its first block.  Its rate is a count that decays, so it is noticed within
seconds and forgotten within seconds.  A runner that has just been sent a prefix does not hold
it before its prefill ends; until then only what it held before counts.
"""

from dataclasses import dataclass, field

from martenrun.constants import BLOCK_HASH_BYTES

RATE_HALF_LIFE_S = 2.0
"""Time in which the count of a prefix halves, in seconds."""

MAXIMUM_PREFIXES = 2_048
"""Prefixes counted at a time; the least recent is forgotten first."""

MINIMUM_COMPUTED_BLOCKS = 3
"""A prefill of fewer blocks ends before it matters."""

_LN_2 = 0.6931


@dataclass(slots=True)
class Computation:
    """A runner computes a prefix until ``ready_at``; it held ``blocks_before`` of it."""

    runner: str
    ready_at: float
    blocks_before: int


@dataclass(slots=True)
class _Prefix:
    count: float = 0.0
    at: float = 0.0
    computations: list[Computation] = field(default_factory=list)


class HotPrefixes:
    """Decayed counts and running computations by first block."""

    def __init__(self) -> None:
        self._prefixes: dict[bytes, _Prefix] = {}

    def rate(self, chain: bytes, now: float) -> float:
        """Return the prefix's requests a second, smoothed."""
        prefix = self._prefixes.get(chain[:BLOCK_HASH_BYTES])
        return 0.0 if prefix is None else _decayed(prefix, now) * _LN_2 / RATE_HALF_LIFE_S

    def count(self, chain: bytes, now: float) -> None:
        """Count one request."""
        key = chain[:BLOCK_HASH_BYTES]
        prefix = self._prefixes.pop(key, None) or _Prefix()
        prefix.count = _decayed(prefix, now) + 1.0
        prefix.at = now
        self._prefixes[key] = prefix
        if len(self._prefixes) > MAXIMUM_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]

    def started(self, chain: bytes, computation: Computation) -> None:
        """A runner has begun to compute a counted prefix."""
        prefix = self._prefixes.get(chain[:BLOCK_HASH_BYTES])
        if prefix is not None:
            prefix.computations.append(computation)

    def ended(self, chain: bytes, runner: str) -> None:
        """An attempt of the prefix at a runner has ended; whatever it computed is computed."""
        prefix = self._prefixes.get(chain[:BLOCK_HASH_BYTES])
        if prefix is not None:
            running = [each for each in prefix.computations if each.runner != runner]
            prefix.computations = running

    def computations(self, chain: bytes, now: float) -> list[Computation]:
        """Return the computations of the prefix that have not ended."""
        prefix = self._prefixes.get(chain[:BLOCK_HASH_BYTES])
        if prefix is None or not prefix.computations:
            return []
        prefix.computations = [each for each in prefix.computations if each.ready_at > now]
        return prefix.computations


def _decayed(prefix: _Prefix, now: float) -> float:
    return float(prefix.count * 0.5 ** ((now - prefix.at) / RATE_HALF_LIFE_S))

"""Where a home places prefixes that it believes nobody holds.

A home is asked about the same prefixes again and again, so it remembers where it placed them.
A new prefix goes to the first runner in rendezvous order on which all homes have placed no more
blocks than on the mean runner: prefixes then fill all caches evenly, and a home that has forgotten
everything finds more of them than by chance.  Owners tell such a home the rest, and with each
grant what all homes have placed on its runner.

See also: :class:`martenrun.routing.prefix_aware.PrefixAwarePolicy`,
:mod:`martenrun.routing.served_prefixes`.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.identity.rendezvous import weight

MAXIMUM_PREFIXES = 4_096
"""Prefixes remembered; the one unused for longest is forgotten first."""

UNUSED_S = 60.0
"""Time without use after which a prefix no longer counts, in seconds."""

_MAXIMUM_NAME_HASHES = 16_384
_MIX = 0x9E3779B97F4A7C15
_MIX_SHIFT = 16
_MASK_64 = 0xFFFF_FFFF_FFFF_FFFF


@dataclass(slots=True)
class _Placed:
    """A prefix and its runner; ``blocks`` of the longest prompt that begins with it."""

    runner: str
    blocks: int
    used_at: float


@dataclass(slots=True)
class _Told:
    """What an owner told of a runner, and the blocks that this home had placed there by then."""

    blocks: int
    own_blocks: int
    at: float


class Placement:
    """Prefixes that one home has placed, by first block."""

    def __init__(self) -> None:
        self._placed: dict[bytes, _Placed] = {}
        self._blocks: dict[str, int] = {}
        self._told: dict[str, _Told] = {}
        self._name_hashes: dict[str, int] = {}

    def runner_for(
        self, chain: bytes, names: Sequence[str], believed: Sequence[int], now: float
    ) -> str:
        """Return the runner of a prompt's prefix, one of ``names``, which are not empty.

        A prefix that has no runner yet goes to the one with the most ``believed`` blocks.
        """
        key = chain[:BLOCK_HASH_BYTES]
        blocks = len(chain) // BLOCK_HASH_BYTES
        placed = self._placed.pop(key, None)
        if placed is not None and placed.runner not in names:
            self._add(placed.runner, -placed.blocks)
            placed = None
        if placed is None:
            most = max(believed)
            runner = names[believed.index(most)] if most else self._choose(key, names, now)
            placed = _Placed(runner, 0, now)
        self._placed[key] = placed
        placed.used_at = now
        if blocks > placed.blocks:
            self._add(placed.runner, blocks - placed.blocks)
            placed.blocks = blocks
        self._forget_unused(now)
        return placed.runner

    def settle(self, first_block: bytes, runner: str, served_at: float) -> None:
        """Take in where another node saw a prefix served; the latest place of all counts.

        A prefix that this home has placed itself stays where it is.
        """
        placed = self._placed.get(first_block)
        if placed is None or (not placed.blocks and placed.used_at < served_at):
            self._placed[first_block] = _Placed(runner, 0, served_at)

    def told(self, runner: str, blocks: int, now: float) -> None:
        """Take in how many blocks all homes have placed on a runner, as its owner counts."""
        self._told.pop(runner, None)
        self._told[runner] = _Told(blocks, self._blocks.get(runner, 0), now)
        if len(self._told) > MAXIMUM_PREFIXES:
            del self._told[next(iter(self._told))]

    def blocks_on(self, names: Sequence[str]) -> int:
        """Return the blocks placed on these runners."""
        return sum(self._blocks.get(name, 0) for name in names)

    def forget(self, chain: bytes) -> None:
        """Forget where a prompt's prefix was placed."""
        placed = self._placed.pop(chain[:BLOCK_HASH_BYTES], None)
        if placed is not None:
            self._add(placed.runner, -placed.blocks)

    def _choose(self, key: bytes, names: Sequence[str], now: float) -> str:
        held = self._held(names, now)
        mean = sum(held) / len(names)
        number = int.from_bytes(key, "little")
        best, best_weight = "", -1
        for name, blocks in zip(names, held, strict=True):
            if blocks <= mean:
                weighed = ((self._hash_of(name) ^ number) * _MIX & _MASK_64) >> _MIX_SHIFT
                if weighed > best_weight:
                    best, best_weight = name, weighed
        return best

    def _held(self, names: Sequence[str], now: float) -> list[float]:
        """Return the blocks that all homes are believed to have placed on each runner.

        A runner of which nothing was told lately is taken for a mean one, plus this home's own.
        """
        own = [self._blocks.get(name, 0) for name in names]
        told = [self._told_lately(name, now) for name in names]
        known = [each.blocks for each in told if each is not None]
        mean = sum(known) / len(known) if known else 0.0
        return [
            mean + blocks if each is None else each.blocks + max(0, blocks - each.own_blocks)
            for blocks, each in zip(own, told, strict=True)
        ]

    def _told_lately(self, runner: str, now: float) -> _Told | None:
        told = self._told.get(runner)
        return told if told is not None and now - told.at < UNUSED_S else None

    def _add(self, runner: str, blocks: int) -> None:
        left = self._blocks.get(runner, 0) + blocks
        if left > 0:
            self._blocks[runner] = left
        else:
            self._blocks.pop(runner, None)

    def _forget_unused(self, now: float) -> None:
        while self._placed:
            key = next(iter(self._placed))
            placed = self._placed[key]
            if len(self._placed) <= MAXIMUM_PREFIXES and now - placed.used_at < UNUSED_S:
                return
            del self._placed[key]
            self._add(placed.runner, -placed.blocks)

    def _hash_of(self, name: str) -> int:
        found = self._name_hashes.get(name)
        if found is None:
            if len(self._name_hashes) >= _MAXIMUM_NAME_HASHES:
                self._name_hashes.clear()
            found = self._name_hashes[name] = weight(b"", name)
        return found

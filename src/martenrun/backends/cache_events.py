"""Adapter of the engines' cache-event feeds.

An engine publishes which blocks its prefix cache stored and removed, late and with losses.
Entries are numbered from 1 in each incarnation of the engine, so a reader sees what is
missing and what it has already had.

See also: :class:`martenrun.events.CacheEventsRead`, docs/PROTOCOL.md.
"""

from dataclasses import dataclass

import msgspec
import numpy

from martenrun.backends.engine import EngineConnections
from martenrun.identity.chain import BlockHashes, as_array

READ_TIMEOUT_S = 2.0
"""Longest wait for a feed's answer beyond the time the engine was asked to wait, in seconds."""

_EMPTY: BlockHashes = numpy.empty(0, dtype="<i8")


@dataclass(frozen=True, slots=True, eq=False)
class CacheEvents:
    """Net change of one engine's prefix cache since the previous read.

    Attributes:
        incarnation: the engine's incarnation; beliefs about any other one are void.
        first_sequence: number of the first entry covered, lost ones included.
        last_sequence: number of the last entry covered, lost ones included.
        stored: hashes held at the end that the entries name, shape (stored,).
        removed: hashes no longer held at the end, shape (removed,); disjoint from ``stored``.
        gap: entries in the range are missing, so blocks believed cached may be gone.
    """

    incarnation: str
    first_sequence: int
    last_sequence: int
    stored: BlockHashes
    removed: BlockHashes
    gap: bool


class FeedEntry(msgspec.Struct):
    """One entry of a feed; hashes are 8 bytes each; ``stored`` happened before ``removed``."""

    sequence: int
    stored: bytes = b""
    removed: bytes = b""


class FeedAnswer(msgspec.Struct):
    """An engine's answer; ``last_sequence`` counts the entries that it lost, too."""

    incarnation: str
    last_sequence: int
    entries: list[FeedEntry]


@dataclass(frozen=True, slots=True)
class FeedPosition:
    """How far a feed has been read."""

    incarnation: str = ""
    sequence: int = 0


def take_in(position: FeedPosition, answer: FeedAnswer) -> tuple[FeedPosition, CacheEvents | None]:
    """Return the position after an answer and its net change, or None if it has nothing new.

    A new incarnation starts again at sequence 1.  Replayed entries are dropped.
    """
    if answer.incarnation == position.incarnation:
        known = position.sequence
        if answer.last_sequence <= known:
            return position, None
    else:
        known = 0
    fresh = [entry for entry in answer.entries if entry.sequence > known]
    expected = range(known + 1, answer.last_sequence + 1)
    gap = [entry.sequence for entry in fresh] != list(expected)
    stored, removed = _net_change(fresh)
    events = CacheEvents(answer.incarnation, known + 1, answer.last_sequence, stored, removed, gap)
    return FeedPosition(answer.incarnation, answer.last_sequence), events


def _net_change(entries: list[FeedEntry]) -> tuple[BlockHashes, BlockHashes]:
    """Return the hashes whose last change is a store, and those whose last is a removal."""
    if len(entries) == 1 and not entries[0].removed:
        return as_array(entries[0].stored), _EMPTY
    parts: list[BlockHashes] = []
    kinds = []
    for entry in entries:
        for data, is_stored in ((entry.stored, True), (entry.removed, False)):
            hashes = as_array(data)
            parts.append(hashes)
            kinds.append(numpy.full(len(hashes), is_stored))
    if not parts:
        return _EMPTY, _EMPTY
    newest_first = numpy.concatenate(parts)[::-1]
    kind = numpy.concatenate(kinds)[::-1]
    hashes, last = numpy.unique(newest_first, return_index=True)
    is_stored_at_end = kind[last]
    return hashes[is_stored_at_end], hashes[~is_stored_at_end]


class CacheEventReader:
    """Reads the feeds of engines and keeps the position of each; for one driver thread a feed."""

    def __init__(self, engines: EngineConnections) -> None:
        self._engines = engines
        self._positions: dict[str, FeedPosition] = {}

    def read(self, runner: str, address: str, wait_s: float = 0.0) -> CacheEvents | None:
        """Return what is new in a runner's feed, or None; raises HTTPError.

        An engine whose incarnation is not the asked one answers from its beginning.
        """
        position = self._positions.get(runner, FeedPosition())
        path = (
            f"/v1/cache-events?after={position.sequence}"
            f"&incarnation={position.incarnation}&wait_s={wait_s}"
        )
        response = self._engines.pool(address).request("GET", path, timeout=READ_TIMEOUT_S + wait_s)
        if response.status != 200:
            return None
        answer = msgspec.json.decode(response.data, type=FeedAnswer)
        self._positions[runner], events = take_in(position, answer)
        return events

    def forget(self, runner: str) -> None:
        """Forget the position of a runner that has gone."""
        self._positions.pop(runner, None)

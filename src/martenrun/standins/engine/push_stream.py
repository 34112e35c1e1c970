"""Push stream of the stand-in engine: one held response of descriptions and cache events.

Cache-event entries that follow each other are merged to their net change, so that a push holds
one merged entry unless entries between were lost.

See also: docs/PROTOCOL.md, :mod:`martenrun.backends.engine_stream`, the reader.
"""

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import msgspec
from werkzeug.wrappers import Request

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.standins.engine.description import Description
from martenrun.standins.engine.events import FeedEntry
from martenrun.standins.engine.faults import ConnectionCutError, Faults
from martenrun.standins.engine.incarnation import Incarnation

KEEP_ALIVE_S = 1.0
"""Longest silence of a healthy stream, in seconds."""

MINIMUM_PACE_S = 0.1
"""Shortest time between two pushes of load or of cache events, in seconds."""

MAXIMUM_PUSH_HASHES = 8_192
"""Hashes in one push at which no further entry is added to it."""

_LOOK_S = 0.05
_TAKEN_ALONG_S = 0.2
_KEEP_ALIVE = b": \n\n"


class PushedEntry(msgspec.Struct, omit_defaults=True):
    """Net change over the entries ``first`` to ``last``; hashes are 8 bytes each."""

    first: int
    last: int
    stored: bytes = b""
    removed: bytes = b""


class Push(msgspec.Struct, omit_defaults=True):
    """One event of the stream; ``last_sequence`` counts lost entries, too."""

    incarnation: str
    last_sequence: int
    description: Description | None = None
    entries: list[PushedEntry] = []


@dataclass(frozen=True)
class StreamQuestion:
    """What the reader asked for.

    Attributes:
        after, incarnation: where it goes on in the cache events.
        pace_s, events_pace_s: time between two pushes of load, and of cache events, in seconds.
        cache_events: whether it wants cache events.
    """

    after: int
    incarnation: str
    pace_s: float
    events_pace_s: float
    cache_events: bool


def question_of(request: Request) -> StreamQuestion:
    """Read the query of a request."""
    arguments = request.args
    return StreamQuestion(
        int(arguments.get("after", "0")),
        arguments.get("incarnation", ""),
        max(MINIMUM_PACE_S, float(arguments.get("pace_s", "0.5"))),
        max(MINIMUM_PACE_S, float(arguments.get("events_pace_s", "1.0"))),
        arguments.get("cache_events", "1") == "1",
    )


def merge(entries: Iterable[FeedEntry]) -> list[PushedEntry]:
    """Merge entries whose numbers follow each other; a missing number begins another one."""
    runs: list[list[FeedEntry]] = []
    for entry in entries:
        if not runs or entry.sequence != runs[-1][-1].sequence + 1:
            runs.append([])
        runs[-1].append(entry)
    return [_merged(run) for run in runs]


def _merged(run: list[FeedEntry]) -> PushedEntry:
    is_held: dict[bytes, bool] = {}
    for entry in run:
        is_held.update(dict.fromkeys(_hashes(entry.stored), True))
        is_held.update(dict.fromkeys(_hashes(entry.removed), False))
    stored = b"".join(block for block, held in is_held.items() if held)
    removed = b"".join(block for block, held in is_held.items() if not held)
    return PushedEntry(run[0].sequence, run[-1].sequence, stored, removed)


def _hashes(data: bytes) -> list[bytes]:
    starts = range(0, len(data), BLOCK_HASH_BYTES)
    return [data[start : start + BLOCK_HASH_BYTES] for start in starts]


class PushStream:
    """One held stream of one incarnation.

    Args:
        engine: the incarnation; its crash breaks the stream.
        describe: returns the present description.
        faults: returns the faults in force.
        question: what the reader asked for.
    """

    def __init__(
        self,
        engine: Incarnation,
        describe: Callable[[], Description],
        faults: Callable[[], Faults],
        question: StreamQuestion,
    ) -> None:
        self._engine = engine
        self._describe = describe
        self._faults = faults
        self._question = question
        self._after = question.after if question.incarnation == engine.name else 0
        self._told: Description | None = None
        self._is_behind = False
        self._next_load = 0.0
        self._next_entries = 0.0
        self._next_keep_alive = 0.0

    def events(self) -> Iterator[bytes]:
        """Yield pushes and keep-alives until the engine crashes or the reader leaves."""
        while True:
            if self._engine.is_dead.is_set():
                raise ConnectionCutError
            faults = self._faults()
            if not faults.freeze and not faults.silent_pushes:
                yield from self._due_event(time.monotonic(), faults)
            self._engine.feed.wait(_LOOK_S)

    def _due_event(self, now: float, faults: Faults) -> Iterator[bytes]:
        push = self._due_push(now)
        if push is not None:
            self._next_keep_alive = now + KEEP_ALIVE_S
            time.sleep(faults.push_delay_s)
            if push.entries and faults.lose_pushes > 0:
                faults.lose_pushes -= 1
                push.entries = []
            yield _event(push, faults)
        elif now >= self._next_keep_alive:
            self._next_keep_alive = now + KEEP_ALIVE_S
            yield _KEEP_ALIVE

    def _due_push(self, now: float) -> Push | None:
        description = self._describe()
        is_urgent = self._told is None or _lasting(description) != _lasting(self._told)
        is_load_due = now >= self._next_load and _load(description) != _load(self._told)
        is_changed = is_urgent or is_load_due
        before = self._after
        entries = self._take_entries(now) if self._are_entries_due(now, is_changed) else []
        if not is_changed and self._after == before:
            return None
        if is_changed:
            self._next_load = now + self._question.pace_s
            self._told = description
        return Push(self._engine.name, self._after, description if is_changed else None, entries)

    def _are_entries_due(self, now: float, is_pushing: bool) -> bool:
        """Whether to look for entries; a push that goes anyway takes those nearly due along."""
        early_s = _TAKEN_ALONG_S if is_pushing else 0.0
        return self._question.cache_events and now >= self._next_entries - early_s

    def _take_entries(self, now: float) -> list[PushedEntry]:
        """Return merged entries, bounded in size, and go on after them."""
        answer = self._engine.feed.read(self._after, self._engine.name, now)
        taken: list[FeedEntry] = []
        size = 0
        for entry in answer.entries:
            taken.append(entry)
            size += (len(entry.stored) + len(entry.removed)) // BLOCK_HASH_BYTES
            if size >= MAXIMUM_PUSH_HASHES:
                break
        self._is_behind = len(taken) < len(answer.entries)
        self._after = taken[-1].sequence if self._is_behind else answer.last_sequence
        if not self._is_behind and taken:
            self._next_entries = now + self._question.events_pace_s
        return merge(taken)


def _event(push: Push, faults: Faults) -> bytes:
    data = msgspec.json.encode(push)
    if faults.garble_pushes > 0:
        faults.garble_pushes -= 1
        data = data[: len(data) // 2]
    return b"data: " + data + b"\n\n"


def _lasting(description: Description) -> Description:
    """Return a description without what changes with every request."""
    return msgspec.structs.replace(description, running=0, waiting=0, cached_blocks=0)


def _load(description: Description | None) -> list[int]:
    return [] if description is None else [description.running, description.waiting]

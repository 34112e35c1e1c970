"""When no engine of a history could be given work."""

import collections

from martenrun.proof.history import (
    EngineListed,
    History,
    LeavingAnnounced,
    LeavingWithdrawn,
    ProcessDisturbed,
)

DESCRIPTION_NEWS_S = 1.0
"""Longest time until a router knows that an engine answers again, in seconds."""

LEAVING_NEWS_S = 3.0
"""Longest time until a router knows that an engine no longer leaves, in seconds."""

_OUTAGES = frozenset({"kill", "freeze"})


class EngineOutages:
    """Spans in which each listed engine was down, paused or leaving, as a router could know."""

    def __init__(self, history: History) -> None:
        self._engines = [record.process for record in history.of(EngineListed)]
        self._spans = collections.defaultdict[str, list[tuple[float, float]]](list)
        for fault in history.of(ProcessDisturbed):
            if fault.kind in _OUTAGES:
                span = (fault.time_s, fault.until_s + DESCRIPTION_NEWS_S)
                self._spans[fault.process].append(span)
        returns = history.of(LeavingWithdrawn)
        for leaving in history.of(LeavingAnnounced):
            ends_s = [
                back.time_s + LEAVING_NEWS_S
                for back in returns
                if back.process == leaving.process and back.time_s >= leaving.time_s
            ]
            span = (leaving.time_s, min(ends_s, default=history.end_s))
            self._spans[leaving.process].append(span)

    def cover_all(self, start_s: float, end_s: float) -> bool:
        """Return whether at one moment of a span no listed engine could be given work.

        False if the history lists no engine.
        """
        starts_s = [start for spans in self._spans.values() for start, _end in spans]
        moments_s = [start_s, *(time_s for time_s in starts_s if start_s <= time_s <= end_s)]
        return bool(self._engines) and any(
            all(self._is_out(engine, time_s) for engine in self._engines) for time_s in moments_s
        )

    def _is_out(self, engine: str, time_s: float) -> bool:
        return any(start <= time_s <= end for start, end in self._spans[engine])

"""Keeping the marks of age: one node at a time adds to them, and is the one that cleans.

The object of the marks is a lease at the same time: who has replaced it last keeps it, by
replacing it again; who sees it unchanged for long takes it.  Two keepers at once, after a
pause, do no harm: the marks of both are true.

See also: :mod:`martenrun.claims.ages`, :mod:`martenrun.claims.retention`.
"""

import itertools

import msgspec

from martenrun.claims.ages import AgeMarks, advanced
from martenrun.events import Instruction, StoreAnswered, StoreOutcome, StoreRead, StoreWrite

AGES_KIND = "claim-ages"
"""Kind of the marks' object in the object API."""

AGES_NAME = "ages"
"""Name of the marks' object in the object API."""

ADVANCE_S = 30.0
"""Time between two replacements by the keeper, in seconds."""

TAKE_OVER_S = 120.0
"""Time for which another node must see the object unchanged before it takes it, in seconds."""

FIRST_CALL_S = 60.0
"""Time until the first call: restarted nodes have more urgent ones to make, in seconds."""

CALL_TIMEOUT_S = 30.0
"""A call unanswered for so long counts as lost, in seconds."""


class AgeKeeper:
    """Reads and replaces the marks; every call is told apart by its id.

    Args:
        prefix: unique beginning of this keeper's call ids.

    Attributes:
        ages: marks as last read or written; true from then on.
        is_keeper: whether this node replaced the object last, as far as it knows.
    """

    def __init__(self, prefix: str) -> None:
        self.ages = AgeMarks()
        self.is_keeper = False
        self._prefix = f"{prefix}ages/"
        self._counter = itertools.count()
        self._version: int | None = None
        self._known_at = 0.0
        self._call_id = ""
        self._sent_at = 0.0
        self._written: AgeMarks | None = None
        self._next_call: float | None = None

    def tick(self, now: float, retention_s: float) -> list[Instruction]:
        """Start the next call if one is due."""
        if self._next_call is None:
            self._next_call = now + FIRST_CALL_S
        if self._call_id and now - self._sent_at >= CALL_TIMEOUT_S:
            self._lost(now)
        if self._call_id or now < self._next_call:
            return []
        has_waited = self._version is not None and now - self._known_at >= TAKE_OVER_S
        if self.is_keeper or self._version == 0 or has_waited:
            return self._write(now, retention_s)
        self._start(now, None)
        return [StoreRead(self._call_id, AGES_KIND, AGES_NAME)]

    def answered(self, event: StoreAnswered, now: float) -> None:
        """Take in the answer to a call of this keeper; others are ignored."""
        if not self._call_id or event.call_id != self._call_id:
            return
        self._call_id = ""
        if event.outcome is StoreOutcome.UNKNOWN:
            self._lost(now)
        elif self._written is None:
            self._read(event, now)
        elif event.outcome is StoreOutcome.DONE:
            self.ages = self._written
            self._known(event.version, now)
            self.is_keeper = True
        else:
            self._lost(now)

    def _read(self, event: StoreAnswered, now: float) -> None:
        if event.outcome is StoreOutcome.NOT_FOUND or event.found is None:
            self._known(0, now)
            self._next_call = now
        elif event.version != self._version:
            self.ages = _decoded(event.found.document)
            self._known(event.version, now)
        else:
            # Unchanged: the time since it was first seen goes on.
            self._next_call = now + ADVANCE_S

    def _write(self, now: float, retention_s: float) -> list[Instruction]:
        assert self._version is not None
        elapsed_s = now - self._known_at
        ages = self.ages if self._version else AgeMarks()
        self._start(now, advanced(ages, self._version, elapsed_s, retention_s))
        document = msgspec.json.encode(self._written)
        return [StoreWrite(self._call_id, AGES_KIND, AGES_NAME, self._version, document)]

    def _start(self, now: float, written: AgeMarks | None) -> None:
        self._call_id = f"{self._prefix}{next(self._counter)}"
        self._sent_at = now
        self._written = written

    def _known(self, version: int, now: float) -> None:
        self._version = version
        self._known_at = now
        self._next_call = now + ADVANCE_S

    def _lost(self, now: float) -> None:
        """Another may have replaced the object, or this node without knowing: read it back."""
        self._call_id = ""
        self._version = None
        self.is_keeper = False
        self._next_call = now + ADVANCE_S


def _decoded(document: bytes) -> AgeMarks:
    """Decode marks; those that cannot be read tell no age."""
    try:
        return msgspec.json.decode(document, type=AgeMarks)
    except msgspec.MsgspecError:
        return AgeMarks()

"""Whole events of a ``text/event-stream``, with their ids.

Only whole events are passed on, so that a stream that breaks in the middle of one can go on
elsewhere after the last whole one.
"""

import attrs

MAXIMUM_EVENT_BYTES = 1_048_576
"""Longest event that is waited for."""


class BrokenStreamError(ValueError):
    """The events do not follow each other as those of one stream."""


@attrs.frozen
class StreamEvent:
    """One whole event as sent, with its blank line; ``event_id`` None if it names none."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Cuts a byte stream into whole events and checks that their ids rise one by one.

    Args:
        last_event_id: id of the last event that the caller has.
    """

    def __init__(self, last_event_id: int) -> None:
        self._rest = bytearray()
        self.last_event_id = last_event_id

    @property
    def has_rest(self) -> bool:
        """Whether a part of an event waits for its end."""
        return bool(self._rest)

    def restart(self) -> None:
        """Drop a part of an event: another runner goes on after the last whole one."""
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are now whole; raises BrokenStreamError if one is amiss."""
        self._rest += data
        events = []
        while True:
            end = self._rest.find(b"\n\n")
            if end < 0:
                break
            block = bytes(self._rest[: end + 2])
            del self._rest[: end + 2]
            event = StreamEvent(block, _event_id(block))
            self._check(event)
            events.append(event)
        if len(self._rest) > MAXIMUM_EVENT_BYTES:
            raise BrokenStreamError("an event is too long")
        return events

    def _check(self, event: StreamEvent) -> None:
        if event.event_id is None:
            return
        if event.event_id != self.last_event_id + 1:
            raise BrokenStreamError(f"event {event.event_id} follows event {self.last_event_id}")
        self.last_event_id = event.event_id


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            try:
                return int(line[3:])
            except ValueError as exc:
                raise BrokenStreamError("an event's id is no number") from exc
    return None

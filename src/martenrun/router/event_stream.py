"""Splits a ``text/event-stream`` into complete events with their ids.

Only complete events are forwarded, so that a stream broken inside an event can be resumed at
another runner after the last complete one.
"""

import attrs

MAXIMUM_EVENT_BYTES = 1_048_576
"""Maximum size of one event."""


class BrokenStreamError(ValueError):
    """An event is malformed, too long or out of sequence."""


@attrs.frozen
class StreamEvent:
    """One complete event with its final blank line; ``event_id`` is None if it has no id."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Splits a byte stream into complete events and checks that their ids are consecutive.

    Args:
        last_event_id: id of the last event that the caller has.
    """

    def __init__(self, last_event_id: int) -> None:
        self._buffer = bytearray()
        self.last_event_id = last_event_id

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def discard_partial_event(self) -> None:
        """Discard an incomplete event; another runner resumes after the last complete one."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by these bytes; raises BrokenStreamError on invalid ones."""
        self._buffer += data
        events = []
        while True:
            end = self._buffer.find(b"\n\n")
            if end < 0:
                break
            block = bytes(self._buffer[: end + 2])
            del self._buffer[: end + 2]
            event = StreamEvent(block, _event_id(block))
            self._check_sequence(event)
            events.append(event)
        if len(self._buffer) > MAXIMUM_EVENT_BYTES:
            raise BrokenStreamError(f"event exceeds {MAXIMUM_EVENT_BYTES} bytes")
        return events

    def _check_sequence(self, event: StreamEvent) -> None:
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
                raise BrokenStreamError("event id is not an integer") from exc
    return None

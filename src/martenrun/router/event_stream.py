"""Splits a ``text/event-stream`` into complete events with their ids.

Only complete events are forwarded, so that a stream broken inside an event can be resumed at
another runner after the last complete one.
"""

from collections.abc import Iterator

import attrs

MAXIMUM_EVENT_BYTES = 1_048_576
"""Maximum size of one event."""

MAXIMUM_ID_DIGITS = 18
"""Maximum number of digits of an event's id: it has to fit into a message between routers."""


class BrokenStreamError(ValueError):
    """An event is malformed, too long or out of sequence."""


@attrs.frozen
class StreamEvent:
    """One complete event with its final blank line; ``event_id`` is None if it has no id."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Splits a byte stream into complete events and checks that their ids are consecutive.

    Events carry ids, so one without a readable id is malformed once another had one.  The first
    event is held back while it has none, until the next one shows whether the stream has ids.

    Args:
        last_event_id: id of the last event that the caller has.

    Attributes:
        last_event_id: id of the last event that was yielded.
        has_no_ids: whether events without ids were yielded, after which no runner can resume.
    """

    def __init__(self, last_event_id: int) -> None:
        self._buffer = bytearray()
        self._held: StreamEvent | None = None
        self.has_no_ids = False
        self.last_event_id = last_event_id

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def discard_partial_event(self) -> None:
        """Discard what was not yielded; another runner resumes after the last yielded event."""
        self._buffer = bytearray()
        self._held = None

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yield the events completed by these bytes.

        Raises BrokenStreamError at the first invalid event, after the valid ones before it.
        """
        self._buffer += data
        while (end := self._buffer.find(b"\n\n")) >= 0:
            block = bytes(self._buffer[: end + 2])
            del self._buffer[: end + 2]
            yield from self._check(StreamEvent(block, _event_id(block)))
        if len(self._buffer) > MAXIMUM_EVENT_BYTES:
            raise BrokenStreamError(f"event exceeds {MAXIMUM_EVENT_BYTES} bytes")

    def finish(self) -> Iterator[StreamEvent]:
        """Yield an event that was held back, at the end of a complete stream."""
        if self._held is not None:
            self.has_no_ids = True
            yield self._held
            self._held = None

    def _check(self, event: StreamEvent) -> Iterator[StreamEvent]:
        """Yield the events that may be forwarded now; raises BrokenStreamError."""
        if _is_comment(event.data):
            yield event
        elif event.event_id is None:
            yield from self._check_without_id(event)
        elif event.event_id != self.last_event_id + 1 or self._held or self.has_no_ids:
            raise BrokenStreamError(f"event {event.event_id} follows event {self.last_event_id}")
        else:
            self.last_event_id = event.event_id
            yield event

    def _check_without_id(self, event: StreamEvent) -> Iterator[StreamEvent]:
        if self.last_event_id > 0:
            raise BrokenStreamError(f"event without an id follows event {self.last_event_id}")
        if self.has_no_ids:
            yield event
        elif self._held is None:
            self._held = event
        else:
            yield from self.finish()
            yield event


def _is_comment(block: bytes) -> bool:
    return all(line.startswith(b":") for line in block.splitlines() if line)


def _event_id(block: bytes) -> int | None:
    """Return the id, or None without one; raises BrokenStreamError if it is not one integer."""
    values = [line[3:] for line in block.split(b"\n") if line.startswith(b"id:")]
    if not values:
        return None
    if len(values) > 1:
        raise BrokenStreamError("event has several ids")
    value = values[0].strip(b" \r")
    if not value.isdigit() or len(value) > MAXIMUM_ID_DIGITS:
        raise BrokenStreamError("event id is not an integer")
    return int(value)

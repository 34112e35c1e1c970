"""Streams complete events to a caller and measures the gaps between them."""

from martenrun.net.exchange import Exchange
from martenrun.net.http import end_to_end
from martenrun.net.loop import Loop
from martenrun.router.attempt import SentRequest
from martenrun.router.event_stream import EventSplitter, StreamEvent
from martenrun.router.forwarded_request import software_field
from martenrun.router.log import Value


class CallerStream:
    """Forwards one stream of events to a caller, across all runners that produce parts of it.

    Args:
        last_event_id: id of the last event that the caller has received before this request.
        required_software: software version that wrote these events; None if there are none.
        tells_software: whether the response head names the software version, for the router that
            forwarded the request.

    Attributes:
        required_software: software version that may write further events; None for any.
        first_event_at: when the first event was forwarded, or None.
        longest_gap_s: the longest time between two events, in seconds.
        software: software versions of the runners whose events were forwarded, in order.
    """

    def __init__(
        self,
        loop: Loop,
        exchange: Exchange,
        last_event_id: int,
        required_software: str | None = None,
        tells_software: bool = False,
    ) -> None:
        self._loop = loop
        self._exchange = exchange
        self._splitter = EventSplitter(last_event_id)
        self.required_software = required_software
        self._tells_software = tells_software
        self._last_event_at = 0.0
        self.first_event_at: float | None = None
        self.longest_gap_s = 0.0
        self.software: list[str] = []

    @property
    def last_event_id(self) -> int:
        """Id of the last event that the caller has."""
        return self._splitter.last_event_id

    @property
    def has_events(self) -> bool:
        """Whether the caller has received an event, possibly before this request."""
        return self.first_event_at is not None or self.last_event_id > 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return self._splitter.has_partial_event

    @property
    def may_resume(self) -> bool:
        """Whether a runner can go on after the forwarded events, which needs their ids."""
        return not self._splitter.has_no_ids

    def discard_partial_event(self) -> None:
        """Discard what was not forwarded of a runner whose stream broke."""
        self._splitter.discard_partial_event()

    def forward(self, attempt: SentRequest, data: bytes) -> None:
        """Forward the complete events to the caller; raises BrokenStreamError.

        The valid events in front of an invalid one are forwarded before the error is raised.
        """
        for event in self._splitter.feed(data):
            self._send(event, attempt)

    def finish(self, attempt: SentRequest) -> None:
        """Forward what is left of a complete stream, and the response head if it had no events."""
        for event in self._splitter.finish():
            self._send(event, attempt)
        self.start_response(attempt)

    def _send(self, event: StreamEvent, attempt: SentRequest) -> None:
        now = self._loop.now()
        if self.first_event_at is None:
            self.first_event_at = now
            self.start_response(attempt)
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_event_at)
        self._last_event_at = now
        if self.required_software is None:
            self.required_software = attempt.software
        if not self.software or self.software[-1] != attempt.software:
            self.software.append(attempt.software)
        self._exchange.send(event.data)

    def start_response(self, attempt: SentRequest) -> None:
        """Send the response head of the first runner, once."""
        if self._exchange.has_started:
            return
        headers = end_to_end(attempt.headers)
        if self._tells_software:
            headers = [*headers, software_field(attempt.software)]
        self._exchange.start(attempt.status, headers, None)

    def gap_s(self, now: float) -> float:
        """Return the time since the last forwarded event in seconds; 0 before the first."""
        return 0.0 if self.first_event_at is None else now - self._last_event_at

    def summary(self, started_at: float) -> dict[str, Value]:
        """Return the log fields of the stream; its first event is timed from a start time."""
        first_at = self.first_event_at
        return {
            "events": self.last_event_id,
            "software": ",".join(self.software) or None,
            "first_ms": None if first_at is None else round((first_at - started_at) * 1000, 1),
            "longest_gap_ms": round(self.longest_gap_s * 1000, 1),
        }

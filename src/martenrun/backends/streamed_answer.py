"""An engine's streamed answer, taken apart as its bytes arrive; reads no socket and never waits.

See also: :mod:`martenrun.backends.attempt`, which reads the socket,
:mod:`martenrun.backends.http_stream`, :mod:`martenrun.backends.stream_progress`.
"""

from collections.abc import Iterator

import msgspec

from martenrun.backends.engine import AttemptResult
from martenrun.backends.http_stream import StreamedResponse
from martenrun.backends.stream_progress import StreamProgress

_DONE = b"data: [DONE]"
_EVENT_END = b"\n\n"
_DATA = b"data: "


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0
    import_held_blocks: int = 0
    imported_blocks: int = 0
    import_ms: int = 0


class Usage(msgspec.Struct):
    """What an engine reports of a request's tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails = msgspec.field(default_factory=_PromptDetails)


class UsageHolder(msgspec.Struct):
    """An answer, or an event of one, of which only the usage matters."""

    usage: Usage | None = None


class StreamedAnswer:
    """Takes in the bytes of one answer; gives back the whole events that the caller lacks.

    Attributes:
        is_done: whether the stream's terminator has come.
        refusal: the body so far of an answer other than 200.
    """

    def __init__(self, progress: StreamProgress, result: AttemptResult) -> None:
        self._progress = progress
        self._result = result
        self._response = StreamedResponse()
        self._tail = b""
        self.is_done = False
        self.refusal = b""

    @property
    def status(self) -> int:
        """The status code; 0 until the head is whole."""
        return self._response.status

    @property
    def has_ended(self) -> bool:
        """Whether nothing of the answer can follow."""
        return self.is_done or self._response.is_complete

    def received(self, data: bytes) -> Iterator[bytes]:
        """Take in received bytes and yield events; each is counted as it is yielded.

        Raises:
            HttpStreamError: the response cannot be read on.
        """
        body = self._response.received(data)
        if self._response.status != 200:
            self.refusal += body
            return
        *events, self._tail = (self._tail + body).split(_EVENT_END)
        for event in events:
            if self._is_wanted(event):
                yield event + _EVENT_END
            if self.is_done:
                return

    def _is_wanted(self, event: bytes) -> bool:
        if event.startswith(_DONE):
            self.is_done = True
            return True
        if b'"usage"' in event:
            take_usage(self._result, _usage_of(event))
        return self._progress.take(event)


def take_usage(result: AttemptResult, usage: Usage | None) -> None:
    """Put the usage that an engine reports into an attempt's result."""
    if usage is None:
        return
    result.prompt_tokens = usage.prompt_tokens
    result.output_tokens = usage.completion_tokens
    details = usage.prompt_tokens_details
    result.cached_tokens = details.cached_tokens
    result.import_held_blocks = details.import_held_blocks
    result.imported_blocks = details.imported_blocks
    result.import_ms = details.import_ms


def _usage_of(event: bytes) -> Usage | None:
    try:
        return msgspec.json.decode(event.removeprefix(_DATA).strip(), type=UsageHolder).usage
    except msgspec.MsgspecError:
        return None

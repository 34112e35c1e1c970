"""A client that streams completions and records what a caller sees."""

import time
from dataclasses import dataclass

import msgspec
import urllib3

_EVENT_END = b"\n\n"
_DONE = b"data: [DONE]"
_CONTROL = (b"event: error", _DONE)


@dataclass
class StreamRecord:
    """What a caller saw of one request.

    Attributes:
        whole: whether the stream ended with its terminator and without an error.
        text: the output, joined.
        lost: ``refused`` if no connection came about, so that nothing was sent; ``broken`` if
            the connection was lost later.
        first_token_s: time to the first event, in seconds.
        routed_id: the request's identity within the system; empty if no answer began.
    """

    request_id: str
    status: int = 0
    whole: bool = False
    text: str = ""
    error: str = ""
    lost: str = ""
    first_token_s: float = 0.0
    duration_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    routed_id: str = ""


class _Choice(msgspec.Struct):
    text: str = ""


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    prompt_tokens_details: _Details = msgspec.field(default_factory=_Details)


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = msgspec.field(default_factory=list)
    usage: _Usage | None = None


@dataclass(frozen=True)
class CompletionCall:
    """One completion to request."""

    request_id: str
    model: str
    prompt: str
    output_tokens: int = 8
    repeatable: bool = True
    idempotency_key: str = ""
    deadline_s: float = 30.0


class CompletionClient:
    """Streams completions from one edge; may be used from several threads."""

    def __init__(self, address: str, key: str) -> None:
        self._http = urllib3.PoolManager(maxsize=64, retries=False)
        self._base = f"http://{address}"
        self._key = key

    def stream(self, call: CompletionCall) -> StreamRecord:
        """Run one streamed completion and return what was seen; failures do not raise."""
        record = StreamRecord(call.request_id)
        started = time.monotonic()
        try:
            self._read(call, record, started)
        except urllib3.exceptions.HTTPError as error:
            is_refused = isinstance(error, urllib3.exceptions.NewConnectionError)
            record.lost = "refused" if is_refused else "broken"
            record.error = f"transport: {error}"
        record.duration_s = time.monotonic() - started
        return record

    def _read(self, call: CompletionCall, record: StreamRecord, started: float) -> None:
        body = {
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.output_tokens,
            "stream": True,
            "user": call.request_id,
        }
        headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
            "X-Repeatable": str(call.repeatable).lower(),
            "X-Deadline-Seconds": str(call.deadline_s),
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        response = self._http.request(
            "POST",
            f"{self._base}/v1/completions",
            body=msgspec.json.encode(body),
            headers=headers,
            preload_content=False,
            timeout=urllib3.Timeout(connect=2.0, read=call.deadline_s + 5.0),
        )
        record.status = response.status
        record.routed_id = response.headers.get("X-Martenrun-Request-Id", "")
        if response.status != 200:
            record.error = response.data.decode(errors="replace")
            return
        buffer = b""
        for data in response.stream(amt=None):
            buffer += data
            while _EVENT_END in buffer:
                event, buffer = buffer.split(_EVENT_END, 1)
                record.first_token_s = record.first_token_s or time.monotonic() - started
                _take_event(event, record)
        response.release_conn()


def _take_event(event: bytes, record: StreamRecord) -> None:
    if event.startswith(_DONE):
        record.whole = not record.error
    elif event.startswith(b"event: error"):
        record.error = event.decode(errors="replace")
    else:
        chunk = msgspec.json.decode(event.removeprefix(b"data: "), type=_Chunk)
        record.text += "".join(choice.text for choice in chunk.choices)
        if chunk.usage is not None:
            record.prompt_tokens = chunk.usage.prompt_tokens
            record.cached_tokens = chunk.usage.prompt_tokens_details.cached_tokens

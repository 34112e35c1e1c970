"""HTTP face of the stand-in engine (the protocol is described in docs/PROTOCOL.md)."""

import secrets
import threading
import time
from collections.abc import Iterator

import msgspec
from werkzeug.wrappers import Request, Response

from martenrun.identity.chain import block_count, chain_seed, hash_chain
from martenrun.identity.prompt import (
    ChatMessage,
    canonical_chat_text,
    canonical_completion_text,
)
from martenrun.standins.engine.cache import PrefixCache
from martenrun.standins.engine.events import CacheEventFeed, FeedFaults
from martenrun.standins.engine.model import TimeModel

_BYTES_PER_TOKEN = 4
FEED_WAIT_S = 0.05
"""How often a waiting feed request looks for entries that have become due, in seconds."""
_WORDS = ("season", "note", "block", "tally", "weight", "permit", "market", "stall")


class EngineBody(msgspec.Struct):
    """Fields of a completion or chat request that the engine reads."""

    model: str
    prompt: str = ""
    messages: list[ChatMessage] = msgspec.field(default_factory=list)
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0
    cache_salt: str = ""
    request_id: str = ""


class EngineApplication:
    """WSGI application of one engine incarnation."""

    def __init__(
        self,
        model: str,
        weights_version: str,
        slots: int,
        block_bytes: int,
        cache_blocks: int,
        times: TimeModel,
        feed_faults: FeedFaults | None = None,
    ) -> None:
        self.incarnation = secrets.token_hex(4)
        self._model = model
        self._weights_version = weights_version
        self._slots = slots
        self._block_bytes = block_bytes
        self._times = times
        self._lock = threading.Lock()
        self._cache = PrefixCache(cache_blocks)
        self._feed = CacheEventFeed(self.incarnation, feed_faults or FeedFaults())
        self._running = 0
        self._cancelled: set[str] = set()
        self._executed: list[str] = []

    def __call__(self, environ: dict[str, object], start_response: object) -> object:
        """Serve one request."""
        return self._serve(Request(environ))(environ, start_response)  # type: ignore[arg-type]

    def _serve(self, request: Request) -> Response:
        if request.path in ("/v1/completions", "/v1/chat/completions"):
            return self._complete(request)
        if request.path == "/v1/cancel":
            with self._lock:
                self._cancelled.add(request.args["request_id"])
            return _json({})
        if request.path == "/v1/runner":
            return _json(self._description())
        if request.path == "/v1/cache-events":
            return self._cache_events(request)
        if request.path == "/v1/executed":
            return _json(self._executed)
        return _json({"error": {"message": "not found"}}, 404)

    def _description(self) -> dict[str, object]:
        with self._lock:
            return {
                "incarnation": self.incarnation,
                "model": self._model,
                "weights_version": self._weights_version,
                "running": self._running,
                "slots": self._slots,
                "cached_blocks": len(self._cache),
            }

    def _cache_events(self, request: Request) -> Response:
        after = int(request.args.get("after", "0"))
        incarnation = request.args.get("incarnation", "")
        until = time.monotonic() + float(request.args.get("wait_s", "0"))
        while True:
            now = time.monotonic()
            answer = self._feed.read(after, incarnation, now)
            if answer.entries or now >= until:
                return _json(answer)
            self._feed.wait(min(until - now, FEED_WAIT_S))

    def _complete(self, request: Request) -> Response:
        expected = request.headers.get("X-Expected-Incarnation", self.incarnation)
        if expected != self.incarnation:
            return _json({"error": {"message": "another incarnation", "ran": "no"}}, 412)
        body = msgspec.json.decode(request.get_data(), type=EngineBody)
        chat = request.path.endswith("chat/completions")
        text = (
            canonical_chat_text(body.messages) if chat else canonical_completion_text(body.prompt)
        )
        with self._lock:
            if self._running >= self._slots:
                return _json({"error": {"message": "no free slot", "ran": "no"}}, 429)
            self._running += 1
            self._executed.append(body.request_id)
        if body.stream:
            return Response(self._events(body, text, chat), mimetype="text/event-stream")
        pieces = list(self._generate(body, text))
        return _json(_whole_answer(body, chat, pieces))

    def _generate(self, body: EngineBody, text: bytes) -> Iterator[tuple[str, int]]:
        """Yield (token text, cached tokens), paced by the time model."""
        try:
            seed = chain_seed(body.cache_salt, self._weights_version)
            chain = hash_chain(text, seed, self._block_bytes)
            with self._lock:
                matched = self._cache.match(chain)
                running = self._running
            uncached = len(text) / self._block_bytes - matched
            time.sleep(self._times.prefill_s(uncached, running))
            with self._lock:
                self._cache.insert(chain)
                self._feed.add(*self._cache.take_events(), time.monotonic())
            cached_tokens = matched * self._block_bytes // _BYTES_PER_TOKEN
            for index in range(body.max_tokens):
                if body.request_id in self._cancelled:
                    return
                time.sleep(self._times.decode_s(self._running))
                yield (
                    f"{_WORDS[(index + block_count(chain)) % len(_WORDS)]}-{index} ",
                    cached_tokens,
                )
        finally:
            with self._lock:
                self._running -= 1

    def _events(self, body: EngineBody, text: bytes, chat: bool) -> Iterator[bytes]:
        count = 0
        cached_tokens = 0
        for piece, matched_tokens in self._generate(body, text):
            count += 1
            cached_tokens = matched_tokens
            yield _event(_chunk(body, chat, piece))
        finish = _chunk(body, chat, "", finish="length")
        finish["usage"] = _usage(text, count, cached_tokens)
        yield _event(finish)
        yield b"data: [DONE]\n\n"


def _event(value: object) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _usage(text: bytes, output_tokens: int, cached_tokens: int) -> dict[str, object]:
    prompt_tokens = max(1, len(text) // _BYTES_PER_TOKEN)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": prompt_tokens + output_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


def _chunk(
    body: EngineBody, chat: bool, piece: str, finish: str | None = None
) -> dict[str, object]:
    choice: dict[str, object] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {"content": piece} if piece else {}
    else:
        choice["text"] = piece
    kind = "chat.completion.chunk" if chat else "text_completion"
    identity = body.request_id or "request"
    return {"id": identity, "object": kind, "created": 0, "model": body.model, "choices": [choice]}


def _whole_answer(body: EngineBody, chat: bool, pieces: list[tuple[str, int]]) -> dict[str, object]:
    text = "".join(piece for piece, _cached in pieces)
    answer = _chunk(body, chat, text, finish="length")
    prompt = canonical_chat_text(body.messages) if chat else body.prompt.encode()
    answer["usage"] = _usage(prompt, len(pieces), pieces[-1][1] if pieces else 0)
    if chat:
        answer["object"] = "chat.completion"
        answer["choices"] = [
            {
                "index": 0,
                "finish_reason": "length",
                "message": {"role": "assistant", "content": text},
            }
        ]
    return answer


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, mimetype="application/json")

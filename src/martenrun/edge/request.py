"""Parsing a caller's request into a decision question and the body for the engine."""

import secrets
from dataclasses import dataclass

import msgspec
from werkzeug.datastructures import Headers
from werkzeug.wrappers import Request

from martenrun.backends.stream_progress import ResumeFields
from martenrun.configuration.view import ConfigurationView
from martenrun.constants import MAXIMUM_BODY_BYTES
from martenrun.errors import (
    BodyTooLargeError,
    DeadlineExceededError,
    InvalidKeyError,
    InvalidRequestError,
    NotReadyError,
)
from martenrun.identity.chain import chain_seed, hash_chain
from martenrun.identity.prompt import (
    ChatMessage,
    canonical_chat_text,
    canonical_completion_text,
)
from martenrun.wire.messages import DecideRequest

CALLER_ID_HEADER = "X-Request-Id"
"""Header of a request and its answer with the caller's own name for the request."""

DEFAULT_DEADLINE_S = 60.0
DEFAULT_OUTPUT_TOKENS = 16
MAXIMUM_OUTPUT_TOKENS = 1_000_000
"""Most output tokens that a request may ask for; the internal protocol holds 32 bits."""

MAXIMUM_PRIORITY = 10
MAXIMUM_KEY_BYTES = 256
REQUEST_ID_BYTES = 8
_CHAT_PATH = "/v1/chat/completions"


class _Body(msgspec.Struct):
    model: str
    prompt: str | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    priority: int = 0


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, checked and authenticated.

    ``fields`` is the caller's JSON object; the engine gets it with the router's fields added.
    ``caller_id`` is the caller's own request id: callers may use one twice, so inside the
    system a request goes by ``question.request_id``, which is unique.
    """

    path: str
    question: DecideRequest
    caller_id: str
    repeatable: bool
    stream: bool
    pool: str
    fields: dict[str, object]

    def engine_body(self, priority: int, resume: ResumeFields | None) -> bytes:
        """Encode the body for the engine; ``resume`` is what the caller has already."""
        added: dict[str, object] = {
            "cache_salt": self.question.tenant,
            "request_id": self.question.request_id,
            "priority": priority,
            "resume_from": resume.resume_from if resume else 0,
            "resume_text": resume.resume_text if resume else "",
        }
        if self.stream:
            added["stream_options"] = {"include_usage": True}
        return msgspec.json.encode({**self.fields, **added})


def read_body(request: Request) -> bytes:
    """Read the body; raises BodyTooLargeError.

    The HTTP server has the whole body before the application starts, so this never waits.
    """
    size = request.content_length or 0
    if size > MAXIMUM_BODY_BYTES:
        raise BodyTooLargeError(f"the body has {size} bytes; {MAXIMUM_BODY_BYTES} are allowed")
    return request.get_data()


def bearer_token(headers: Headers) -> str:
    """Return the bearer token; raises InvalidKeyError if there is none."""
    scheme, _, token = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise InvalidKeyError("the Authorization header has no bearer token")
    return token.strip()


def parse_request(
    path: str, headers: Headers, data: bytes, view: ConfigurationView, zone: str
) -> CallerRequest:
    """Check a completion or chat request.

    Raises:
        MartenrunError: of the kind that fits the first fault found.
    """
    if view.revision == 0:
        raise NotReadyError("no configuration has arrived yet", retry_after_s=1.0)
    tenant = view.key_of(bearer_token(headers)).tenant
    view.tenant(tenant)
    body, fields = _decode(data)
    routed = view.route(tenant, body.model)
    text = _canonical_text(path, body)
    repeatable = _is_repeatable(headers)
    seed = chain_seed(tenant, routed.pool.weights_version)
    question = DecideRequest(
        request_id=secrets.token_hex(REQUEST_ID_BYTES),
        tenant=tenant,
        model=body.model,
        weights_version=routed.pool.weights_version,
        chain=hash_chain(text, seed, routed.pool.block_bytes),
        prompt_bytes=len(text),
        maximum_output_tokens=_output_tokens(body),
        priority=body.priority,
        deadline_s=deadline_s(headers),
        idempotency_key="" if repeatable else _idempotency_key(headers),
        zone=zone,
    )
    caller_id = headers.get(CALLER_ID_HEADER) or question.request_id
    return CallerRequest(path, question, caller_id, repeatable, body.stream, routed.name, fields)


def _decode(data: bytes) -> tuple[_Body, dict[str, object]]:
    try:
        fields = msgspec.json.decode(data, type=dict[str, object])
        body = msgspec.convert(fields, type=_Body)
    except msgspec.MsgspecError as error:
        raise InvalidRequestError(f"the body is not a valid request: {error}") from error
    except RecursionError as error:
        raise InvalidRequestError("the body's lists or objects are nested too deeply") from error
    if not 0 <= body.priority <= MAXIMUM_PRIORITY:
        raise InvalidRequestError(f"field 'priority' must be from 0 to {MAXIMUM_PRIORITY}")
    return body, fields


def _canonical_text(path: str, body: _Body) -> bytes:
    if path == _CHAT_PATH:
        if body.messages is None:
            raise InvalidRequestError("field 'messages' is missing")
        return canonical_chat_text(body.messages)
    if body.prompt is None:
        raise InvalidRequestError("field 'prompt' is missing")
    return canonical_completion_text(body.prompt)


def _output_tokens(body: _Body) -> int:
    if body.max_completion_tokens is not None:
        field, given = "max_completion_tokens", body.max_completion_tokens
    elif body.max_tokens is not None:
        field, given = "max_tokens", body.max_tokens
    else:
        return DEFAULT_OUTPUT_TOKENS
    if not 1 <= given <= MAXIMUM_OUTPUT_TOKENS:
        raise InvalidRequestError(f"field {field!r} must be from 1 to {MAXIMUM_OUTPUT_TOKENS}")
    return given


def _idempotency_key(headers: Headers) -> str:
    key = headers.get("Idempotency-Key", "")
    if len(key.encode()) > MAXIMUM_KEY_BYTES:
        raise InvalidRequestError(f"header Idempotency-Key is over {MAXIMUM_KEY_BYTES} bytes")
    return key


def deadline_s(headers: Headers) -> float:
    """Return how long a request may take, in seconds; raises MartenrunError if it is not told."""
    text = headers.get("X-Deadline-Seconds")
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(text)
    except ValueError as error:
        raise InvalidRequestError("header X-Deadline-Seconds is not a number") from error
    if not seconds > 0:
        raise DeadlineExceededError("the deadline given is already past")
    return min(seconds, 24 * 3600.0)


def _is_repeatable(headers: Headers) -> bool:
    text = headers.get("X-Repeatable", "true").lower()
    if text not in ("true", "false"):
        raise InvalidRequestError("header X-Repeatable must be 'true' or 'false'")
    return text == "true"

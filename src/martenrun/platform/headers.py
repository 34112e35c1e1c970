"""Header fields of callers' requests, of requests to runners, and of runners' responses."""

import math
import re

from martenrun.net.http import Headers, HttpRequest, end_to_end, find_header
from martenrun.platform.nesting import MAX_INTEGER
from martenrun.router.messages import Call, Dispatch, PromptPart
from martenrun.router.response_metadata import AdvertisedLimit, RequestedBackoff, ResponseMetadata

REQUEST_ID = b"x-request-id"
"""Field that carries a request's id, in lower case."""

_SET_BY_ROUTER = frozenset(
    {
        b"x-key",
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-tenant-id",
        b"x-request-priority",
        b"x-expect-version",
        b"x-cache-salt",
        b"x-kv-fetch-from",
        b"x-kv-save-to",
        b"x-kv-backup",
        b"kv-from",
        b"x-pin-ms",
        b"x-hold",
        b"last-event-id",
    }
)
"""Fields of a caller's request that are not forwarded; the router sets its own values, if any."""


def read_call(request: HttpRequest) -> Call:
    """Parse a caller's request; raises ValueError if a field is invalid."""
    fields = {name.lower(): value for name, value in request.headers}
    deadline = fields.get(b"x-deadline-ms")
    model = fields.get(b"x-model-id")
    prompt_tokens, counted_tokens = _token_usage(fields.get(b"x-token-usage"))
    return Call(
        request_id=fields.get(REQUEST_ID, b""),
        host=fields.get(b"host", b"").decode("latin-1").partition(":")[0].lower(),
        path=request.target.partition(b"?")[0].decode("latin-1"),
        key=fields.get(b"x-key"),
        deadline_s=None if deadline is None else max(0.0, float(deadline) / 1000.0),
        model=None if model is None else model.decode("latin-1"),
        parts=_prompt_parts(fields.get(b"x-prefix-hash", b"")),
        prompt_tokens=prompt_tokens,
        last_event_id=_count(fields.get(b"last-event-id") or b"0", MAX_INTEGER),
        counted_tokens=counted_tokens,
        resumed_id=fields.get(b"resumes") or None,
    )


def _count(text: bytes, maximum: int) -> int:
    """Parse a number from 0 to ``maximum``; raises ValueError."""
    number = int(text)
    if not 0 <= number <= maximum:
        raise ValueError(f"a number of a request must be from 0 to {maximum}")
    return number


MAXIMUM_TOKENS = 10**9
"""Maximum token count in a request; a higher one is an error of the caller."""


def _token_usage(text: bytes | None) -> tuple[int, int | None]:
    """Return the prompt's tokens, and the sum of prompt and maximum output if they are given.

    A missing second number counts as 0.  A negative one is an error: it would give the tenant back
    units of its rate limit.
    """
    if text is None:
        return 0, None
    prompt, _, output = text.partition(b",")
    numbers = _count(prompt, MAXIMUM_TOKENS), _count(output or b"0", MAXIMUM_TOKENS)
    return numbers[0], sum(numbers)


def _prompt_parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for part in text.split(b",") if text else ():
        part_id, _, tokens = part.strip().rpartition(b":")
        parts.append(PromptPart(part_id, _count(tokens, MAXIMUM_TOKENS)))
    return tuple(parts)


def runner_headers(headers: Headers, dispatch: Dispatch) -> Headers:
    """Return the header fields of a request as it is sent to a runner."""
    sent = [
        (name, value) for name, value in end_to_end(headers) if name.lower() not in _SET_BY_ROUTER
    ]
    sent.append((b"X-Deadline-Ms", b"%d" % max(1, int(dispatch.deadline_s * 1000))))
    sent.append((b"X-Expect-Instance", dispatch.runner.encode()))
    optional = (
        (b"X-Tenant-Id", dispatch.tenant),
        (b"X-Request-Priority", dispatch.priority),
        (b"X-Expect-Version", dispatch.weights_version),
        (b"X-Cache-Salt", dispatch.cache_salt),
        (b"X-Kv-Fetch-From", dispatch.fetch_from),
        (b"X-Kv-Save-To", dispatch.save_to),
        (b"Last-Event-Id", dispatch.last_event_id),
    )
    sent += [(name, str(value).encode()) for name, value in optional if value is not None]
    return sent


SERVER_LEAVING = b"server-leaving"
"""Field in which a runner announces with the value 1 that it will stop, in lower case."""

RETRY_AFTER = b"retry-after"
"""Field in which a runner that refuses a request requests a backoff in seconds, in lower case."""

MAXIMUM_BACKOFF_S = 3_600.0
"""Longest backoff that is granted, in seconds: a mistaken value must not exclude a runner forever.
"""

STATUS_UNAVAILABLE = 503

REFUSAL_STATUSES = frozenset({408, 429, STATUS_UNAVAILABLE})
"""Statuses that promise callers that the request has not run and never will.

So does 421, which a runner sends only before it would run a request.
"""

_BOUND_TO_STATUS = frozenset({b"x-response-stamp", RETRY_AFTER})
"""Fields of a response that hold only with its own status, in lower case."""


def without_status_fields(headers: Headers) -> Headers:
    """Return the fields of a response that hold with another status, too."""
    return [(name, value) for name, value in headers if name.lower() not in _BOUND_TO_STATUS]


def read_response_metadata(status: int, headers: Headers) -> ResponseMetadata:
    """Read the metadata in the status and header fields of a runner's response."""
    is_not_executed = status == 421 or find_header(headers, b"x-not-executed") is not None
    return ResponseMetadata(
        is_signed=find_header(headers, b"x-response-stamp") is not None,
        is_not_executed=is_not_executed,
        is_unconfirmed_refusal=status in REFUSAL_STATUSES and not is_not_executed,
        is_encoded=find_header(headers, b"content-encoding") is not None,
        rate_limit=_advertised_limit(headers),
        tolerated_rejections_per_s=_advertised_brittleness(headers),
        is_draining=b"1" in _values(headers, SERVER_LEAVING),
        backoff=_requested_backoff(headers) if status == STATUS_UNAVAILABLE else None,
    )


SERVER_LIMIT = b"server-limit"
"""Field in which a runner advertises its limit in requests per second, in lower case."""

SERVER_BRITTLE = b"server-brittle"
"""Field in which a runner advertises how many rejections per second it tolerates, in lower case."""

MAXIMUM_LOGGED_CHARACTERS = 40
"""Length to which a field's text is truncated for logs."""

_DECIMAL = re.compile(rb"\s*\d+(\.\d*)?(e[+-]?\d+)?\s*", re.IGNORECASE)
"""Stricter than ``float``, which also accepts a sign, underscores, nan and infinity."""


def _requested_backoff(headers: Headers) -> RequestedBackoff | None:
    """Return the backoff that a refusal requests: the longest valid value if there are several."""
    values = _values(headers, RETRY_AFTER)
    if not values:
        return None
    seconds = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    longest_s = min(max(seconds), MAXIMUM_BACKOFF_S) if seconds else None
    return RequestedBackoff(longest_s, _logged(values))


def _advertised_limit(headers: Headers) -> AdvertisedLimit | None:
    """Return the rate limit of a response: the lowest valid value if there are several."""
    values = _values(headers, SERVER_LIMIT)
    return AdvertisedLimit(_lowest_rate(values), _logged(values)) if values else None


def _advertised_brittleness(headers: Headers) -> float | None:
    """Return the rejections per second that a runner tolerates: the lowest valid value."""
    return _lowest_rate(_values(headers, SERVER_BRITTLE))


def _values(headers: Headers, field: bytes) -> list[bytes]:
    """Return the values of all fields of a name, which is in lower case."""
    fields = [value for name, value in headers if name.lower() == field]
    return [value.strip() for listed in fields for value in listed.split(b",")]


def _logged(values: list[bytes]) -> str:
    return b", ".join(values)[:MAXIMUM_LOGGED_CHARACTERS].decode("latin-1")


def _lowest_rate(values: list[bytes]) -> float | None:
    rates = [rate for rate in map(_parse_rate, values) if rate is not None]
    return min(rates, default=None)


def _parse_rate(text: bytes) -> float | None:
    """Parse a finite, non-negative decimal number; return None if the text is not one."""
    if _DECIMAL.fullmatch(text) is None:
        return None
    rate = float(text)
    return rate if math.isfinite(rate) else None


def responding_instance(headers: Headers) -> str | None:
    """Return the id of the runner instance that sent a response, if it carries one."""
    value = find_header(headers, b"x-instance-id")
    return None if value is None else value.decode("latin-1")

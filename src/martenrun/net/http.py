"""Typed HTTP/1.1 messages, and helpers shared by the client and the server."""

import attrs

Headers = list[tuple[bytes, bytes]]
"""Header fields in the order received; names as sent."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"http2-settings",
        b"content-length",
        b"expect",
    }
)
"""Hop-by-hop header fields, which are never forwarded (RFC 9110, section 7.6.1)."""

JOINED_BODY_BYTES = 16_384
"""Bodies up to this size are copied behind their head, so that one write sends both."""

STATUS_OK = 200
"""Status of a successful response."""

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
"""Reason phrases of the statuses that the router sends itself."""


@attrs.define(slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: as received.
        target: path and query, as received.
        headers: all header fields.
        body: the decoded body; empty once the response is complete.
        received_at: monotonic time at which the head was complete, in seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    received_at: float

    def discard(self) -> None:
        """Drop the body and the header fields, which others may still refer to."""
        self.headers = []
        self.body = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field; ``name`` must be in lower case."""
        return find_header(self.headers, name)


@attrs.define(slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field; ``name`` must be in lower case."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header field; ``name`` must be in lower case."""
    for field, value in headers:
        if field.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Return the header fields to forward, without the hop-by-hop fields."""
    named: set[bytes] = set()
    for field, value in headers:
        if field.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    dropped = HOP_BY_HOP | named
    return [(field, value) for field, value in headers if field.lower() not in dropped]


def request_bytes(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a request; see :func:`request_head`."""
    return request_head(method, target, headers, len(body)) + body


def request_head(method: bytes, target: bytes, headers: Headers, body_length: int) -> bytes:
    """Return the head of a request; Content-Length is added where a body is expected."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [field + b": " + value for field, value in headers]
    if body_length or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % body_length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def response_head(status: int, headers: Headers, framing: bytes, is_closing: bool) -> bytes:
    """Return the head of a response; ``framing`` is its length or transfer encoding field."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Status"))]
    lines += [field + b": " + value for field, value in headers]
    lines.append(framing)
    if is_closing:
        lines.append(b"Connection: close")
    return b"\r\n".join(line for line in lines if line) + b"\r\n\r\n"

"""Lists crash-causing requests to operators and clears them, at the internal address."""

import msgspec

from martenrun.net.exchange import Exchange
from martenrun.net.http import STATUS_OK
from martenrun.router.crashes.table import CrashSummary
from martenrun.router.crashes.tracker import CrashTracker
from martenrun.router.log import log_event

BLAME_PATH = b"/blame"
"""GET lists the crash records; POST with a :class:`ClearRequest` clears one request."""

JSON_TYPE = [(b"Content-Type", b"application/json")]

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404


class ClearRequest(msgspec.Struct):
    """Clears the request with the given hexadecimal fingerprint."""

    fingerprint: str


class CrashPage(msgspec.Struct):
    """The crash records of one router."""

    requests: list[CrashSummary]


_DECODE = msgspec.json.Decoder(ClearRequest).decode
_ENCODE = msgspec.json.Encoder().encode


def serve_crash_records(exchange: Exchange, tracker: CrashTracker) -> None:
    """List the crash records, or clear one request at all routers."""
    if exchange.request.method == b"GET":
        exchange.respond(STATUS_OK, JSON_TYPE, _ENCODE(CrashPage(tracker.summaries())))
        return
    try:
        fingerprint = bytes.fromhex(_DECODE(exchange.request.body).fingerprint)
    except (msgspec.MsgspecError, ValueError):
        exchange.respond(STATUS_BAD_REQUEST, [])
        return
    if not tracker.clear(fingerprint):
        exchange.respond(STATUS_NOT_FOUND, [])
        return
    log_event("blame_cleared", fingerprint=fingerprint.hex())
    exchange.respond(STATUS_OK, [])

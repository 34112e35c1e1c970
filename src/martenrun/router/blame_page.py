"""Lists crash-causing requests to operators and clears them, at the internal address."""

import msgspec

from martenrun.net.http import STATUS_OK
from martenrun.net.server import Exchange
from martenrun.router.blame_table import BlamedRequest
from martenrun.router.log import log_event
from martenrun.router.suspects import Suspects

BLAME_PATH = b"/blame"
"""GET lists the crash records; POST with a :class:`ClearRequest` clears one request."""

JSON_TYPE = [(b"Content-Type", b"application/json")]

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404


class ClearQuestion(msgspec.Struct):
    """Clears the request with the given hexadecimal fingerprint."""

    fingerprint: str


class BlamePage(msgspec.Struct):
    """The crash records of one router."""

    requests: list[BlamedRequest]


_QUESTION = msgspec.json.Decoder(ClearQuestion).decode
_ENCODE = msgspec.json.Encoder().encode


def serve_blame(exchange: Exchange, suspects: Suspects) -> None:
    """List the crash records, or clear one request at all routers."""
    if exchange.request.method == b"GET":
        exchange.respond(STATUS_OK, JSON_TYPE, _ENCODE(BlamePage(suspects.list_blamed())))
        return
    try:
        run = bytes.fromhex(_QUESTION(exchange.request.body).fingerprint)
    except (msgspec.MsgspecError, ValueError):
        exchange.respond(STATUS_BAD_REQUEST, [])
        return
    if not suspects.clear(run):
        exchange.respond(STATUS_NOT_FOUND, [])
        return
    log_event("blame_cleared", fingerprint=run.hex())
    exchange.respond(STATUS_OK, [])

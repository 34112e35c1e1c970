"""Requests that callers and the platform send to the router itself: addresses and readiness."""

from collections.abc import Sequence
from urllib.parse import parse_qs

import msgspec

from martenrun.net.http import HttpRequest

_DIRECTORY_PATH = b"/martenrun/resolve"
_READINESS_PATH = b"/martenrun/readyz"


def directory_zone(request: HttpRequest) -> str | None:
    """Return the requester's zone if a request asks for router addresses, else None."""
    path, _, query = request.target.partition(b"?")
    if path != _DIRECTORY_PATH:
        return None
    return parse_qs(query.decode("latin-1")).get("zone", [""])[0]


def directory_response(addresses: Sequence[str], seconds_to_live: float) -> bytes:
    """Return the body of the response to a request for router addresses."""
    return msgspec.json.encode({"addresses": list(addresses), "ttl_s": seconds_to_live})


def is_readiness_request(request: HttpRequest) -> bool:
    """Return whether a request is the platform's readiness check."""
    return request.target.partition(b"?")[0] == _READINESS_PATH

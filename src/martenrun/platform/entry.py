"""What callers and the platform ask a router for itself: addresses and readiness."""

from collections.abc import Sequence
from urllib.parse import parse_qs

import msgspec

from martenrun.net.http import HttpRequest

_DIRECTORY_PATH = b"/martenrun/resolve"
_READY_PATH = b"/martenrun/readyz"


def directory_zone(request: HttpRequest) -> str | None:
    """Return the zone of who asks for addresses, or None if the request asks something else."""
    path, _, query = request.target.partition(b"?")
    if path != _DIRECTORY_PATH:
        return None
    return parse_qs(query.decode("latin-1")).get("zone", [""])[0]


def directory_answer(addresses: Sequence[str], seconds_to_live: float) -> bytes:
    """Return the body that tells addresses."""
    return msgspec.json.encode({"addresses": list(addresses), "ttl_s": seconds_to_live})


def is_ready_question(request: HttpRequest) -> bool:
    """Return whether the platform asks if the router is ready."""
    return request.target.partition(b"?")[0] == _READY_PATH

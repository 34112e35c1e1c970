"""Lists what a request has in common with others that may crash runners.

The request itself is one feature; see :mod:`martenrun.router.crashes.fingerprint`.  Each part of
its prompt that other requests may share is another one: a runner may crash on a part whatever else
the request holds.  Parts are not tied to a caller, route, service or weights version.
"""

import attrs

from martenrun.net.http import HttpRequest
from martenrun.router.crashes.fingerprint import PREFIX_BYTES, request_fingerprint
from martenrun.router.messages import AdmittedRequest, Call, bounded_part_id

PART_TAG = b"\xffpart\xff\xff:"
"""Begins the keys of parts; as long as the prefix of a request's fingerprint."""

MAX_PARTS = 16
"""Maximum number of parts of one request that are features, the first ones."""

assert len(PART_TAG) == PREFIX_BYTES


@attrs.frozen
class RequestFeatures:
    """The features of one request, as keys of crash records.

    Attributes:
        fingerprint: identifies the whole request.
        parts: keys of the parts that its prompt shares with other requests.
    """

    fingerprint: bytes
    parts: tuple[bytes, ...] = ()


def request_features(request: HttpRequest, admitted: AdmittedRequest) -> RequestFeatures:
    """Return the features of a request."""
    return RequestFeatures(request_fingerprint(request, admitted), part_keys(admitted.call))


def part_keys(call: Call) -> tuple[bytes, ...]:
    """Return the keys of a prompt's shared parts; the last part belongs to the request alone."""
    return tuple(part_key(part.part_id) for part in call.parts[:-1][:MAX_PARTS])


def part_key(part_id: bytes) -> bytes:
    """Return the key of a part of a prompt."""
    return PART_TAG + bounded_part_id(part_id)


def part_name(key: bytes) -> str | None:
    """Return the id of the part that a key identifies; None for the key of a request."""
    if not key.startswith(PART_TAG):
        return None
    return key[len(PART_TAG) :].decode("ascii", "backslashreplace")

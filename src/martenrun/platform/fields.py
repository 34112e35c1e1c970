"""Types of the fields of the platform's objects, and the conversion of a spec."""

from typing import Annotated, Any, TypeVar

import msgspec

from martenrun.platform.nesting import MAX_INTEGER
from martenrun.router.messages import UnreadableError

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
"""Exceptions that decoding raises for invalid input."""

MS_PER_S = 1000.0

Name = Annotated[str, msgspec.Meta(max_length=1_024)]
"""Name of an object of the store."""

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1, max_length=1_024)]
"""A name within a spec."""

Text = Annotated[str, msgspec.Meta(max_length=1_024)]
"""A name within a spec that may be empty."""

LocationText = Annotated[str, msgspec.Meta(min_length=1, max_length=65_536)]
"""A host name or a path; header limits bound those of requests."""

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = "([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"

Address = Annotated[
    str, msgspec.Meta(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z", max_length=21)
]
"""IPv4 address, and port from 1 to 65535."""

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER - 1, le=MAX_INTEGER)]
"""An integer of 64 bits."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""An integer from 0."""

Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
"""An integer from 1 to a million."""

Version = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
"""A version number; the first one is 1."""

FencingToken = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
"""A fencing token; below the largest integer, so that there is always a higher one."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
"""A duration in milliseconds, a weight, or a rate or burst in units."""


Spec = TypeVar("Spec")


def convert_spec(spec: Any, schema: type[Spec], subject: str) -> Spec:
    """Validate a spec against its schema; raises UnreadableError that names the field."""
    try:
        return msgspec.convert(spec, schema)
    except DECODE_ERRORS as exc:
        raise UnreadableError(f"invalid {subject}: {exc}") from exc

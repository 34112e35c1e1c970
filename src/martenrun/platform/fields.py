"""Types of the fields of the platform's objects, and the conversion of a spec."""

from typing import Annotated, Any, TypeVar

import msgspec

from martenrun.router.messages import UnreadableError

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
"""Exceptions that decoding raises for invalid input."""

MS_PER_S = 1000.0

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
"""A text of one character or more."""

Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
"""IPv4 address and port."""

Count = Annotated[int, msgspec.Meta(ge=0)]
"""An integer from 0."""

Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
"""An integer from 1 to a million."""

Version = Annotated[int, msgspec.Meta(ge=1)]
"""A version number; the first one is 1."""

Amount = Annotated[float, msgspec.Meta(ge=0)]
"""A number from 0."""

Units = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
"""A rate or a burst, in units."""

Spec = TypeVar("Spec")


def convert_spec(spec: Any, schema: type[Spec], subject: str) -> Spec:
    """Validate a spec against its schema; raises UnreadableError that names the field."""
    try:
        return msgspec.convert(spec, schema)
    except DECODE_ERRORS as exc:
        raise UnreadableError(f"invalid {subject}: {exc}") from exc

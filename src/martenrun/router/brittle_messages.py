"""Datagrams in which routers tell each other of services with brittle runners."""

import msgspec

from martenrun.net.wire_types import Amount, Milliseconds


class BrittleRecord(msgspec.Struct, array_like=True, frozen=True):
    """A service with brittle runners.

    Attributes:
        rejections_per_s: rejections per second that a runner tolerates.
        age_ms: time since the last response that advertised it, in milliseconds.
    """

    service: str
    rejections_per_s: Amount
    age_ms: Milliseconds


class BrittleUpdate(msgspec.Struct, array_like=True, tag="brittle"):
    """Services with brittle runners, sent to all routers."""

    records: list[BrittleRecord]

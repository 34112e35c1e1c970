"""Crash records, as exchanged between routers and written to the store."""

import msgspec

from martenrun.net.wire_types import Milliseconds


class CrashRecord(msgspec.Struct, array_like=True, frozen=True):
    """The crash record of one feature of requests.

    Attributes:
        fingerprint: key of the feature, see :mod:`martenrun.router.crashes.features`.
        crashes: runner instances that crashed while serving it, and how long ago, in milliseconds.
        completed_ms: time since it last completed, in milliseconds, or None if it never did.
        companions: keys of other parts that each of the crashed requests had as well.
    """

    fingerprint: bytes
    crashes: list[tuple[str, Milliseconds]]
    completed_ms: Milliseconds | None = None
    companions: list[bytes] = []


class CrashUpdate(msgspec.Struct, array_like=True, tag="blame", frozen=True):
    """Some of the crash records of a router."""

    records: list[CrashRecord]

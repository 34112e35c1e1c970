"""Crash records of requests, as exchanged between routers and written to the store."""

import msgspec


class CrashRecord(msgspec.Struct, array_like=True, frozen=True):
    """The crash record of one request.

    Attributes:
        fingerprint: identifies the request, see :mod:`martenrun.router.crashes.fingerprint`.
        crashes: runner instances that crashed while serving it, and how long ago, in milliseconds.
        completed_ms: time since it last completed, in milliseconds, or None if it never did.
    """

    fingerprint: bytes
    crashes: list[tuple[str, int]]
    completed_ms: int | None = None


class CrashUpdate(msgspec.Struct, array_like=True, tag="blame", frozen=True):
    """Some of the crash records of a router."""

    records: list[CrashRecord]

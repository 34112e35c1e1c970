"""What routers tell each other, and keep in the store, of requests that end runners."""

import msgspec


class BlameRecord(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one request, see :mod:`martenrun.router.fingerprint`.

    Attributes:
        fingerprint: which request.
        ended: starts of runners that ended under it, and how long ago, in milliseconds.
        whole_ms: how long ago it last ran whole, in milliseconds, or None if it never did.
    """

    fingerprint: bytes
    ended: list[tuple[str, int]]
    whole_ms: int | None = None


class BlameNews(msgspec.Struct, array_like=True, tag="blame", frozen=True):
    """Some of what a router knows of requests that end runners."""

    records: list[BlameRecord]

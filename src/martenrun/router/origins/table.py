"""The origins of streams that one router keeps.  No I/O or clock."""

import hashlib
from collections.abc import Iterable

import attrs

SLOTS = 256
"""Number of groups of streams; all streams of a group are kept by the same routers."""

MAXIMUM_RECORDS = 100_000
"""Number of records above which those that end first are dropped; 22 MB."""


def stream_key(tenant: str | None, request_id: bytes) -> int:
    """Return a 64-bit key of a stream, from the id of the attempt that began it.

    Tenants cannot address each other's streams.
    """
    text = b"%b\0%b" % ((tenant or "").encode(), request_id)
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


@attrs.define
class StreamOrigin:
    """The runner's service and software version to which a stream was sent.

    Attributes:
        software: empty if records contradict each other.
        sent_after_ms: time from the receipt of the request until it was sent, in milliseconds.
        expires_at: monotonic time from which the stream cannot be resumed any more.
        is_shared: whether the routers that keep it have been told.
        is_own: whether this router sent the stream itself; others may have missed a later send.
    """

    service: str
    software: str
    sent_after_ms: int
    expires_at: float
    is_shared: bool = False
    is_own: bool = False


class OriginTable:
    """Origins by stream key, grouped by slot."""

    def __init__(self) -> None:
        self._slots: dict[int, dict[int, StreamOrigin]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def put(self, key: int, origin: StreamOrigin) -> StreamOrigin:
        """Add an origin, or merge it with the known one; return the result."""
        slot = self._slots.setdefault(key % SLOTS, {})
        known = slot.get(key)
        if known is None:
            slot[key] = origin
            self._count += 1
            return origin
        known.expires_at = max(known.expires_at, origin.expires_at)
        if origin.sent_after_ms > known.sent_after_ms:
            known.service, known.software = origin.service, origin.software
            known.sent_after_ms = origin.sent_after_ms
            known.is_shared, known.is_own = origin.is_shared, origin.is_own
        elif origin.sent_after_ms == known.sent_after_ms and (
            (known.service, known.software) != (origin.service, origin.software)
        ):
            known.software = ""
        return known

    def get(self, key: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream that can still be resumed, or None."""
        origin = self._slots.get(key % SLOTS, {}).get(key)
        return None if origin is None or origin.expires_at <= now else origin

    def slots(self) -> list[int]:
        """Return the slots that have records."""
        return list(self._slots)

    def items(self, slot: int) -> Iterable[tuple[int, StreamOrigin]]:
        """Return the keys and origins of a slot."""
        return self._slots.get(slot, {}).items()

    def drop_expired(self, now: float) -> None:
        """Drop the origins of streams that cannot be resumed any more."""
        self._keep_after(now)
        if self._count > MAXIMUM_RECORDS:
            ends = sorted(o.expires_at for slot in self._slots.values() for o in slot.values())
            self._keep_after(ends[self._count - MAXIMUM_RECORDS - 1])

    def _keep_after(self, at: float) -> None:
        kept = {
            number: {key: origin for key, origin in slot.items() if origin.expires_at > at}
            for number, slot in self._slots.items()
        }
        self._slots = {number: slot for number, slot in kept.items() if slot}
        self._count = sum(len(slot) for slot in self._slots.values())

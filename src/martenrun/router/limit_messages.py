"""Datagrams in which routers exchange the rate limits that runners advertise."""

import msgspec

from martenrun.net.wire_types import Amount, Milliseconds


class LimitRecord(msgspec.Struct, array_like=True, frozen=True):
    """The limit of one runner instance.

    Attributes:
        version: the record with the higher version takes precedence.
        requests_per_s: rate limit shared by all routers.
        recovery_steps: number of increases since the runner stopped advertising a limit.
        changed_ago_ms: time since the limit last changed, in milliseconds.
        confirmed_ago_ms: time since a response of the runner last confirmed it, in milliseconds.
    """

    instance: str
    version: int
    requests_per_s: Amount
    recovery_steps: int
    changed_ago_ms: Milliseconds
    confirmed_ago_ms: Milliseconds


class LimitUpdate(msgspec.Struct, array_like=True, tag="limit"):
    """Rate limits of one or more runner instances."""

    records: list[LimitRecord]

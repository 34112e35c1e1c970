"""What a stand-in for a runner records, and the faults that it injects."""

import enum

import attrs


class Fault(enum.Enum):
    """A fault that a runner injects into its handling of a request."""

    NONE = "none"
    FULL = "full"
    ERROR = "error"
    LOST_ANSWER = "lost answer"
    CUT_MIDWAY = "cut midway"
    NO_SIGNATURE = "no signature"
    SILENT = "silent"
    UNCONFIRMED_REFUSAL = "unconfirmed refusal"


FAILURE_STATUSES = {Fault.ERROR: 500, Fault.UNCONFIRMED_REFUSAL: 503}
"""Statuses of signed responses to requests that ran and failed."""


class CrashPoint(enum.Enum):
    """How far the response to a crash-causing request gets."""

    BEFORE_HEAD = "before the head"
    AFTER_HEAD = "after the head"
    AFTER_EVENT = "after an event"


@attrs.frozen
class Run:
    """A request that the runner began to execute; ``parts`` are the ids of its prompt's parts."""

    request_id: str
    instance: str
    method: str
    path: str
    body: bytes
    tenant: str | None
    has_key: bool
    cache_salt: str | None
    weights_version: int
    at: float
    parts: tuple[str, ...] = ()


@attrs.frozen
class Arrival:
    """A request that reached the runner, whether it was executed or refused.

    Attributes:
        limit: rate limit that its response advertises, or None.
        source: IP address that it came from.
        announces_drain: whether its response announces that the runner will stop.
        retry_after: the backoff that its refusal requests, in seconds, or None.
    """

    request_id: str
    instance: str
    born_ms: int
    at: float
    limit: str | None
    source: str = ""
    announces_drain: bool = False
    retry_after: str | None = None


@attrs.frozen
class RunEnd:
    """When a runner stopped executing a request, and whether it completed it."""

    request_id: str
    at: float
    is_complete: bool


@attrs.frozen
class Crash:
    """A crash of a runner instance while it served a request."""

    request_id: str
    instance: str
    at: float

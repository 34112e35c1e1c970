"""Typed refusals of the stand-in engine: nothing was run."""

import enum


class RefusalCode(enum.StrEnum):
    """Why the engine did not run a request or an order."""

    ANOTHER_INCARNATION = "another_incarnation"
    ANOTHER_VERSION = "another_weights_version"
    NOT_SERVING = "not_serving"
    FULL = "full"
    CANCELLED = "cancelled"
    RESUME_MISMATCH = "resume_mismatch"
    STALE_FENCE = "stale_fence"
    INVALID = "invalid"
    STORE_UNAVAILABLE = "store_unavailable"


_STATUSES = {
    RefusalCode.FULL: 429,
    RefusalCode.CANCELLED: 409,
    RefusalCode.INVALID: 400,
    RefusalCode.STORE_UNAVAILABLE: 503,
}
_OTHER_STATUS = 412


class RefusedError(Exception):
    """The engine refuses; ``status`` is the HTTP status."""

    def __init__(self, code: RefusalCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.status = _STATUSES.get(code, _OTHER_STATUS)

"""Error bodies in OpenAI's shape, for those who write them and those who read them."""

import msgspec


class ErrorDetail(msgspec.Struct, omit_defaults=True):
    """The ``error`` member of an error body."""

    message: str
    type: str
    code: str
    ran: str
    remedy: str
    present_version: int | None = None


class ErrorBody(msgspec.Struct):
    """An error body."""

    error: ErrorDetail

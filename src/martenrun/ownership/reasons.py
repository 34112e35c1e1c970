"""Why an owner node refuses a reservation."""

import enum


class Reason(enum.StrEnum):
    """Typed reasons of a refused reservation; none of them has run anything."""

    FULL = "full"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    UNKNOWN_RUNNER = "unknown_runner"
    NOT_OWNER = "not_owner"
    STALE_VERSION = "stale_version"

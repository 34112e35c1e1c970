"""Rate limits that all routers share, and the bounds within which they are enforced.

A tenant's limit is configured by the operator; a runner's is advertised by the runner itself.
"""

import attrs

_RUNNER_PREFIX = "runner\x00"
"""Prefix of runners' account names; a tenant's account has the name of the tenant."""


def runner_account(instance: str) -> str:
    """Return the account name of a runner instance."""
    return _RUNNER_PREFIX + instance


_CAPACITY_PREFIX = "capacity\x00"
"""Prefix of the accounts of runners' capacity; their units are returned after use."""


def capacity_account(instance: str) -> str:
    """Return the account name of the capacity of a runner instance."""
    return _CAPACITY_PREFIX + instance


def is_capacity_account(account: str) -> bool:
    """Whether an account is that of a runner's capacity."""
    return account.startswith(_CAPACITY_PREFIX)


def is_runner_account(account: str) -> bool:
    """Whether an account belongs to a runner rather than a tenant."""
    return account.startswith(_RUNNER_PREFIX)


def display_name(account: str) -> str:
    """Return the name of an account as displayed to operators."""
    return account.replace("\x00", " ")


@attrs.frozen
class RateLimit:
    """A rate limit shared by all routers.

    Attributes:
        units_per_s: sustained rate in units per second.
        burst_units: additional units that may be used at once.
        counts_tokens: whether a unit is a token; otherwise each request counts as one unit.
        plain_tokens: tokens assumed for a request that does not state its token count.
    """

    units_per_s: float
    burst_units: float
    counts_tokens: bool = False
    plain_tokens: int = 1

    def units(self, tokens: int | None) -> int:
        """Return the units of a request.

        At least one, so that no request is free.

        Args:
            tokens: tokens of the prompt and of the longest response, None if not stated.
        """
        if not self.counts_tokens:
            return 1
        return max(1, self.plain_tokens if tokens is None else tokens)


@attrs.frozen
class QuotaBounds:
    """How precisely limits are enforced.

    Attributes:
        window_s: length of the sliding window in which units are counted, in seconds.
        over_share: fraction of a window's allowance that may be granted beyond the limit.
        slack_units: units that may be granted in addition to that.
    """

    window_s: float = 8.0
    over_share: float = 0.0
    slack_units: float = 0.0

    def window_units(self, units_per_s: float, burst_units: float) -> float:
        """Return the units that a limit allows within a window."""
        return units_per_s * self.window_s + burst_units

    def slack(self, units_per_s: float, burst_units: float) -> float:
        """Return the units that may be granted beyond a limit within a window."""
        return self.window_units(units_per_s, burst_units) * self.over_share + self.slack_units


RUNNER_LIMIT_BOUNDS = QuotaBounds(window_s=4.0, over_share=0.5, slack_units=5.0)
"""Enforcement bounds for the limits that runners advertise."""

RUNNER_CAPACITY_BOUNDS = QuotaBounds(window_s=8.0)
"""Enforcement bounds for runners' capacity: units that are returned within the window count."""

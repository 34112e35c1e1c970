"""Rate limits that all routers share, and the bounds within which they are enforced.

A tenant's limit is configured by the operator; a runner's is advertised by the runner itself.
"""

import attrs

_RUNNER_PREFIX = "runner\x00"
"""Prefix of runners' account names; a tenant's account has the name of the tenant."""


def runner_account(instance: str) -> str:
    """Return the account name of a runner instance."""
    return _RUNNER_PREFIX + instance


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
        units_per_s: units that may be used a second.
        burst_units: units on top at once.
        counts_tokens: whether a unit is a token; else each request is one unit.
        plain_tokens: tokens that a request counts for which tells of none.
    """

    units_per_s: float
    burst_units: float
    counts_tokens: bool = False
    plain_tokens: int = 1

    def units(self, tokens: int | None) -> int:
        """Return what a request counts for; ``tokens`` of prompt and answer, None if it has none.

        Never less than one: no request is free.
        """
        if not self.counts_tokens:
            return 1
        return max(1, self.plain_tokens if tokens is None else tokens)


@attrs.frozen
class QuotaBounds:
    """How exactly limits are to be kept.

    Attributes:
        window_s: any span of this length is counted, in seconds.
        over_share: part of a limit's units of one window that may pass above it.
        slack_units: units that may pass above that.
    """

    window_s: float = 8.0
    over_share: float = 0.0
    slack_units: float = 0.0

    def window_units(self, units_per_s: float, burst_units: float) -> float:
        """Return the units that a limit allows in a window."""
        return units_per_s * self.window_s + burst_units

    def slack(self, units_per_s: float, burst_units: float) -> float:
        """Return the units that may pass in a window beyond a limit."""
        return self.window_units(units_per_s, burst_units) * self.over_share + self.slack_units


RUNNER_LIMIT_BOUNDS = QuotaBounds(window_s=4.0, over_share=0.5, slack_units=5.0)
"""Enforcement bounds for the limits that runners advertise."""

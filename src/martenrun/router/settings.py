"""Settings of one router process, and the bounds that its deployment requires."""

import attrs

from martenrun.net.held_memory import DEFAULT_MACHINE_BYTES
from martenrun.router.quotas.limit import (
    RUNNER_CAPACITY_BOUNDS,
    RUNNER_LIMIT_BOUNDS,
    QuotaBounds,
    is_capacity_account,
    is_runner_account,
)

CALLER_CONNECTIONS_SHARE = 0.6
INTERNAL_CONNECTIONS_SHARE = 0.1
DIRECTORY_CONNECTIONS_SHARE = 0.05
READINESS_CONNECTIONS_SHARE = 0.02
"""Shares of the process's file descriptors available to the connections of each port.

The rest is for connections to runners, the store and other routers.
"""

MINIMUM_CONNECTIONS = 16
"""Minimum number of connections of each port."""


@attrs.frozen
class Bounds:
    """Time limits and ratios that the deployment requires."""

    drain_s: float
    grace_s: float
    configuration_s: float
    revoke_s: float
    is_revocation_strict: bool
    budget_ratio: float
    budget_window_s: float
    budget_slack: float
    lease_s: float
    weights_s: float
    directory_ttl_s: float
    quota: QuotaBounds = attrs.field(factory=QuotaBounds)
    runner_limit: QuotaBounds = RUNNER_LIMIT_BOUNDS
    runner_capacity: QuotaBounds = RUNNER_CAPACITY_BOUNDS

    def for_account(self, account: str) -> QuotaBounds:
        """Return the enforcement bounds for a tenant's or a runner's account."""
        if is_capacity_account(account):
            return self.runner_capacity
        return self.runner_limit if is_runner_account(account) else self.quota

    @property
    def longest_window_s(self) -> float:
        """The longest window over which any account's usage is counted, in seconds."""
        bounds = (self.quota, self.runner_limit, self.runner_capacity)
        return max(item.window_s for item in bounds)


@attrs.frozen
class RouterSettings:
    """Settings of one router process.

    ``capacity`` is the CPU capacity available to it, in cores, and ``memory_bytes`` the memory.
    ``is_first_start`` states that the whole deployment starts for the first time, so that no
    earlier process has sent any request.
    """

    name: str
    zone: str
    front_address: str
    ready_address: str
    directory_address: str
    internal_address: str
    seeds: tuple[str, ...]
    store_address: str
    bounds: Bounds
    maximum_descriptors: int
    link_bytes_per_s: float
    capacity: float
    is_first_start: bool = False
    memory_bytes: float = DEFAULT_MACHINE_BYTES

    def maximum_connections(self, share: float) -> int:
        """Return how many connections a port with this share of the descriptors accepts."""
        return max(MINIMUM_CONNECTIONS, int(self.maximum_descriptors * share))

"""What a run of the routing benchmark counts, and the line it prints."""

import collections
from dataclasses import dataclass, field

import msgspec
import numpy

from martenrun.bench.routing_causes import LateCauses


class RoutingFigures(msgspec.Struct, frozen=True):
    """One line of results; times in seconds, shares of 1.

    Attributes:
        hit_rate: cached tokens over prompt tokens.
        wasted: tokens computed although another live runner had them, over prompt tokens.
        restarted: attempts begun again because an engine crashed or was gone.
        store: ``off``, ``on`` or ``faulty``.
        imported: prompt tokens fetched from a store, over prompt tokens; part of the hit rate.
        share_error: largest deviation of a tenant's share of the prompts that got a first token
            from its share of the prompts that arrived, over the latter.
        exported_blocks: blocks that the stores took in, the warm-up included.
        late: requests whose first token took over 0.1 s, by cause.
    """

    deployment: str
    policy: str
    seed: int
    load: float
    feeds: str
    requests: int
    hit_rate: float
    wasted: float
    ttft_p50_s: float
    ttft_p95_s: float
    ttft_p99_s: float
    refused: int
    restarted: int
    late: dict[str, int]
    store: str
    imported: float
    exported_blocks: int
    share_error: float
    nodes: int
    runners: int


@dataclass(slots=True)
class RoutingCounts:
    """Sums of a run; only requests after the warm-up are counted."""

    warm_up_s: float
    requests: int = 0
    prompt_blocks: float = 0.0
    cached_blocks: int = 0
    wasted_blocks: int = 0
    imported_blocks: int = 0
    arrived: collections.Counter[str] = field(default_factory=collections.Counter)
    served: collections.Counter[str] = field(default_factory=collections.Counter)
    refused: int = 0
    restarted: int = 0
    first_token_s: list[float] = field(default_factory=list)
    causes: LateCauses = field(default_factory=LateCauses)

    def count_arrival(self, arrived_at: float, tenant: str, prompt_bytes: int) -> None:
        """Count one request of a tenant."""
        if arrived_at >= self.warm_up_s:
            self.requests += 1
            self.arrived[tenant] += prompt_bytes

    @property
    def share_error(self) -> float:
        """Return the largest deviation of a tenant's share; 0 if nobody was refused."""
        arrived, served = self.arrived.total(), max(1, self.served.total())
        return max(
            abs(self.served[tenant] / served * arrived / prompt_bytes - 1.0)
            for tenant, prompt_bytes in self.arrived.items()
        )

    def count_prefill(self, arrived_at: float, prompt: float, cached: int, best: int) -> None:
        """Count one prefill; ``best`` is the most that any live runner had."""
        if arrived_at >= self.warm_up_s:
            self.prompt_blocks += prompt
            self.cached_blocks += cached
            self.wasted_blocks += max(0, best - cached)

    def count_import(self, arrived_at: float, blocks: int) -> None:
        """Count blocks that a request fetched from a store."""
        if arrived_at >= self.warm_up_s:
            self.imported_blocks += blocks

    def count_first_token(
        self, arrived_at: float, first_token_s: float, tenant: str, prompt_bytes: int
    ) -> None:
        """Count the time to one request's first token."""
        if arrived_at >= self.warm_up_s:
            self.first_token_s.append(first_token_s)
            self.served[tenant] += prompt_bytes

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the times to the first token, in seconds."""
        return round(float(numpy.quantile(self.first_token_s, share)), 4)

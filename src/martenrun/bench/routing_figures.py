"""What a run of the routing benchmark counts, and the line it prints."""

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


@dataclass(slots=True)
class RoutingCounts:
    """Sums of a run; only requests after the warm-up are counted."""

    warm_up_s: float
    requests: int = 0
    prompt_blocks: float = 0.0
    cached_blocks: int = 0
    wasted_blocks: int = 0
    refused: int = 0
    restarted: int = 0
    first_token_s: list[float] = field(default_factory=list)
    causes: LateCauses = field(default_factory=LateCauses)

    def count_prefill(self, arrived_at: float, prompt: float, cached: int, best: int) -> None:
        """Count one prefill; ``best`` is the most that any live runner had."""
        if arrived_at >= self.warm_up_s:
            self.prompt_blocks += prompt
            self.cached_blocks += cached
            self.wasted_blocks += max(0, best - cached)

    def count_first_token(self, arrived_at: float, first_token_s: float) -> None:
        """Count the time to one request's first token."""
        if arrived_at >= self.warm_up_s:
            self.first_token_s.append(first_token_s)

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the times to the first token, in seconds."""
        return round(float(numpy.quantile(self.first_token_s, share)), 4)

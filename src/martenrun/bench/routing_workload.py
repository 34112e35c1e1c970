"""Seeded load of the routing benchmark: nested prompts with hot prefixes that shift."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

import numpy

from martenrun.constants import DEFAULT_BLOCK_BYTES
from martenrun.deployments.model import Deployment, PoolShape

_BYTES_PER_TOKEN = 4
TOKENS_PER_BLOCK = DEFAULT_BLOCK_BYTES // _BYTES_PER_TOKEN


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request before it is sent; ``hashes`` are its whole blocks."""

    request_id: str
    at: float
    tenant: str
    model: str
    zone: str
    hashes: list[int]
    prompt_bytes: int
    output_tokens: int

    @property
    def chain(self) -> bytes:
        """The block-hash chain as it goes over the wire."""
        return numpy.array(self.hashes, "<i8").tobytes()


@dataclass(frozen=True, slots=True)
class _Root:
    tenant: str
    path: list[int]


class Workload:
    """Requests of one pool, in the order of their times."""

    def __init__(self, deployment: Deployment, pool: PoolShape, rng: random.Random) -> None:
        self._deployment = deployment
        self._pool = pool
        self._rng = rng
        shares = deployment.popularity.tenant_shares
        tenants = [f"tenant-{number}" for number in range(len(shares))]
        prompt = pool.prompt
        longest = prompt.root_blocks + prompt.chapters * prompt.chapter_blocks
        owners = rng.choices(tenants, shares, k=prompt.roots)
        self._roots = [_Root(tenant, self._hashes(longest)) for tenant in owners]
        self._hot: list[_Root] = []

    def requests(self, duration_s: float) -> Iterator[PlannedRequest]:
        """Yield the requests of a run; arrivals are a Poisson process."""
        popularity = self._deployment.popularity
        now, shift_at = 0.0, 0.0
        for number in itertools.count():
            now += self._rng.expovariate(self._pool.requests_per_s)
            if now >= duration_s:
                return
            if now >= shift_at:
                shift_at = now + popularity.shift_every_s
                self._hot = self._rng.sample(
                    self._roots, min(popularity.hot_roots, len(self._roots))
                )
            is_hot = self._rng.random() < popularity.hot_share
            root = self._rng.choice(self._hot if is_hot else self._roots)
            yield self._request(f"{self._pool.model}-{number}", now, root)

    def _request(self, request_id: str, now: float, root: _Root) -> PlannedRequest:
        prompt = self._pool.prompt
        chapters = self._rng.randint(0, prompt.chapters)
        prefix = root.path[: prompt.root_blocks + chapters * prompt.chapter_blocks]
        question = self._rng.random() * prompt.question_blocks
        hashes = prefix + self._hashes(int(question))
        return PlannedRequest(
            request_id,
            now,
            root.tenant,
            self._pool.model,
            self._rng.choice(self._deployment.zones),
            hashes,
            int((len(prefix) + question) * DEFAULT_BLOCK_BYTES),
            self._rng.randint(1, prompt.output_tokens),
        )

    def _hashes(self, count: int) -> list[int]:
        return [self._rng.getrandbits(63) for _ in range(count)]

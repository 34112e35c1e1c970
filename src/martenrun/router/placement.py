"""Chooses the runner for a request by pending prefill, cached prefixes, weights and failures.

Every router places on its own.  The cost of a runner, in prompt tokens, is its pending prefill plus
the part of the new prompt that is not in its cache.  Rendezvous hashing of the last shared part of
a prompt selects the runner that all routers assume to have that prefix cached.  Other runners cost
more, depending on which parts they and the KV cache store are assumed to hold.
"""

from collections.abc import Collection, Sequence

import attrs

from martenrun.identity.rendezvous import weight
from martenrun.router.messages import PromptPart
from martenrun.router.prefilled_parts import PrefilledParts
from martenrun.router.runner_state import RunnerState
from martenrun.router.tuning import DEFAULTS, PlacementParameters

MAXIMUM_RANKINGS = 512
"""Maximum number of cached rankings of runners; one for each prefix and set of runners."""


@attrs.frozen
class PlacementQuery:
    """The properties of a request that determine its placement.

    Attributes:
        parts: the parts of the prompt, the last one not shared; empty without a prompt.
        needed_tokens: KV cache memory that the request needs at a runner, in tokens.
        memory_tokens: KV cache memory of a runner of the service, in tokens; 0 if unknown.
        isolation_key: the tenant if it shares no cached parts with other tenants, else empty.
        model: the model, or None if the service has none.
        target_version: target version of the model's weights, or None.
        minimum_version: oldest version of the weights that may still start requests.
        tried_instances: instances to which the request has been sent.
        zone: zone of this router.
        now: monotonic time, in seconds.
        suspect_key: key of the feature for which the request may crash a runner, else None.
        software: software version that the runner must have, or None for any.
        longest_drain_s: how long after its drain became known a runner may still be chosen if no
            other runner can serve the request, in seconds.
    """

    parts: tuple[PromptPart, ...]
    needed_tokens: int
    memory_tokens: int
    isolation_key: bytes
    model: str | None
    target_version: int | None
    minimum_version: int
    tried_instances: Collection[str]
    zone: str
    now: float
    suspect_key: bytes | None = None
    software: str | None = None
    longest_drain_s: float = 0.0


class Placement:
    """Chooses runners and caches their ranking by prefix."""

    def __init__(self, parameters: PlacementParameters = DEFAULTS.placement) -> None:
        self._parameters = parameters
        self._cached_ranks: dict[tuple[bytes, tuple[str, ...]], dict[str, int]] = {}
        self.prefilled_parts = PrefilledParts()

    def choose(self, query: PlacementQuery, states: Sequence[RunnerState]) -> RunnerState | None:
        """Return the runner to send a request to, or None if no runner is usable."""
        allowed = [
            state
            for state in _with_usable_weights(query, _with_software(query, states))
            if not state.is_blocked(query.now)
            and state.runner.instance not in query.tried_instances
        ]
        usable = [state for state in allowed if not state.is_draining]
        healthy = _healthy(query, usable)
        if not healthy:
            return _least_failing(query, usable) or _latest_draining(query, allowed)
        if query.suspect_key is not None:
            return _assigned_by_key(query.suspect_key, healthy)
        if query.parts:
            return self._cheapest(query, healthy)
        return min(healthy, key=lambda state: self._cost_without_prompt(query, state))

    def blocked_for_s(self, query: PlacementQuery, states: Sequence[RunnerState]) -> float | None:
        """Return the time until a rate limit or backoff first allows the request, in seconds.

        None if the request is not blocked by rate limits and backoffs alone.
        """
        now = query.now
        reliable = [
            state
            for state in _with_usable_weights(query, _with_software(query, states))
            if not state.is_draining and not state.is_unreliable(now)
        ]
        blocked = [state for state in reliable if state.is_blocked(now)]
        busy = [state for state in reliable if state.is_avoided(now) and state not in blocked]
        if not blocked or len(blocked) + len(busy) < len(reliable):
            return None
        ends = [state.blocked_until for state in blocked]
        ends += [max(state.full_until, state.loading_until) for state in busy]
        return max(0.0, min(ends) - now)

    def prefill_tokens(self, query: PlacementQuery, state: RunnerState) -> float:
        """Return the estimated prefill of a request at a runner, in tokens."""
        own_tokens = query.parts[-1].tokens if query.parts else 0
        return own_tokens + self._shared_prefill_cost(query, state)

    def _cheapest(self, query: PlacementQuery, healthy: list[RunnerState]) -> RunnerState:
        instances = tuple(sorted(state.runner.instance for state in healthy))
        ranks = self._ranks(shared_prefix_id(query.parts) + query.isolation_key, instances)
        parameters = self._parameters

        def cost(state: RunnerState) -> tuple[float, int]:
            rank = ranks[state.runner.instance]
            shared = 0.0 if rank == 0 else self._shared_prefill_cost(query, state)
            distance = 0 if state.runner.zone == query.zone else parameters.other_zone_tokens
            return (
                state.backlog_tokens
                + shared
                + distance
                + parameters.request_tokens * state.load
                + self._memory_pressure_cost(query, state)
                + (parameters.old_weights_tokens if _has_old_weights(query, state) else 0)
                + parameters.failure_tokens * state.failure_score(query.now),
                rank,
            )

        return min(healthy, key=cost)

    def _shared_prefill_cost(self, query: PlacementQuery, state: RunnerState) -> float:
        cost = 0.0
        for part in query.parts[:-1]:
            key = _cache_key(query, state, part)
            if self.prefilled_parts.is_cached_at(state.runner.instance, key, query.now):
                continue
            is_stored = self.prefilled_parts.is_cached_anywhere(key, query.now)
            cost += part.tokens * (self._parameters.fetched_share if is_stored else 1.0)
        return cost

    def cache_source(
        self, query: PlacementQuery, state: RunnerState, states: Sequence[RunnerState]
    ) -> RunnerState | None:
        """Return another runner that most likely has a prompt's shared parts cached, or None.

        It is the runner known to have prefilled the last shared part most recently, otherwise the
        first by rendezvous hashing, to which all routers send that prefix while it has room.
        """
        if len(query.parts) < 2:
            return None
        version = _weights_version(query, state)
        healthy = _healthy(query, states)
        others = [
            other
            for other in healthy
            if other is not state and _weights_version(query, other) == version
        ]
        if not others:
            return None
        key = _cache_key(query, state, query.parts[-2])
        source = self.prefilled_parts.last_prefilled_by(key, query.now)
        if source == state.runner.instance:
            return None
        instances = tuple(sorted(item.runner.instance for item in healthy))
        ranks = self._ranks(shared_prefix_id(query.parts) + query.isolation_key, instances)

        def distance(other: RunnerState) -> tuple[bool, int]:
            return other.runner.instance != source, ranks[other.runner.instance]

        return min(others, key=distance)

    def _memory_pressure_cost(self, query: PlacementQuery, state: RunnerState) -> float:
        """Return the cost of a runner without enough free memory for the request, in tokens."""
        if not query.memory_tokens:
            return 0.0
        usable = self._parameters.usable_memory * query.memory_tokens
        excess = state.total_kv_cache_tokens + query.needed_tokens - usable
        return max(0.0, excess) * self._parameters.crowding_factor

    def _cost_without_prompt(
        self, query: PlacementQuery, state: RunnerState
    ) -> tuple[float, float]:
        is_same_zone = state.runner.zone == query.zone
        distance = 0.0 if is_same_zone else self._parameters.other_zone_load
        failures = state.failure_score(query.now)
        per_slot = (state.load + distance) / max(1, state.runner.slots)
        return per_slot + 0.2 * failures, weight(query.zone.encode(), state.runner.instance)

    def needs_cache_save(self, query: PlacementQuery, state: RunnerState) -> bool:
        """Return whether the KV cache store may lack the shared parts of a prompt.

        A runner that saves a prompt also saves the part that is not shared.  Saving every prompt
        would fill the store with parts that are never requested again, and its link with
        duplicates.
        """
        if len(query.parts) < 2:
            return False
        last_shared = _cache_key(query, state, query.parts[-2])
        return not self.prefilled_parts.was_saved_within(
            last_shared, query.now, self._parameters.save_again_s
        )

    def record_prefill(self, query: PlacementQuery, state: RunnerState) -> None:
        """Record that a runner has prefilled a prompt, and saved its parts if that was needed."""
        if self.needs_cache_save(query, state):
            last_shared = _cache_key(query, state, query.parts[-2])
            self.prefilled_parts.record_saved(last_shared, query.now)
        for part in query.parts[:-1]:
            key = _cache_key(query, state, part)
            self.prefilled_parts.record_prefill(state.runner.instance, key, query.now)

    def _ranks(self, prefix: bytes, instances: tuple[str, ...]) -> dict[str, int]:
        """Return the rank of each instance in the rendezvous order of a prefix."""
        key = (prefix, instances)
        ranks = self._cached_ranks.get(key)
        if ranks is None:
            order = sorted(instances, key=lambda instance: weight(prefix, instance), reverse=True)
            ranks = {instance: rank for rank, instance in enumerate(order)}
            if len(self._cached_ranks) >= MAXIMUM_RANKINGS:
                self._cached_ranks.clear()
            self._cached_ranks[key] = ranks
        return ranks


def shared_prefix_id(parts: tuple[PromptPart, ...]) -> bytes:
    """Return the identity of the last shared part of a prompt."""
    return parts[-2].part_id if len(parts) > 1 else parts[-1].part_id


def _healthy(query: PlacementQuery, states: Sequence[RunnerState]) -> list[RunnerState]:
    """Return the runners that are neither draining nor to be avoided."""
    return [state for state in states if not state.is_draining and not state.is_avoided(query.now)]


def _assigned_by_key(key: bytes, states: Sequence[RunnerState]) -> RunnerState:
    """Return the runner to which all routers send a request suspected of causing crashes.

    Suspected requests are spread over the runners by what they are suspected for.  Two suspects
    rarely share a runner, so that a crash can be attributed to one of them, and all requests with
    the same suspect crash only one runner at a time.
    """
    return max(states, key=lambda state: weight(key, state.runner.instance))


def _with_usable_weights(query: PlacementQuery, states: list[RunnerState]) -> list[RunnerState]:
    """Return the runners whose weights may still start requests."""
    if query.model is None or not query.minimum_version:
        return states
    oldest = query.minimum_version
    return [state for state in states if (_weights_version(query, state) or oldest) >= oldest]


def _with_software(query: PlacementQuery, states: Sequence[RunnerState]) -> list[RunnerState]:
    """Return the runners of the required software version."""
    required = query.software
    return [state for state in states if required in (None, state.software_id)]


def _latest_draining(query: PlacementQuery, states: Sequence[RunnerState]) -> RunnerState | None:
    """Return the runner that began to drain last, if it may still be sent requests."""
    draining = [
        state
        for state in states
        if state.draining_since is not None
        and query.now - state.draining_since < query.longest_drain_s
        and not state.is_avoided(query.now)
    ]
    return max(draining, key=lambda state: state.draining_since or 0.0, default=None)


def _has_old_weights(query: PlacementQuery, state: RunnerState) -> bool:
    """Return whether a runner has older weights than the target version."""
    version = _weights_version(query, state)
    target = query.target_version
    return version is not None and target is not None and version < target


def _cache_key(query: PlacementQuery, state: RunnerState, part: PromptPart) -> bytes:
    """Return the cache key of a part, which includes the weights version and isolated tenant."""
    return part.part_id + b"/%d/" % (_weights_version(query, state) or 0) + query.isolation_key


def _weights_version(query: PlacementQuery, state: RunnerState) -> int | None:
    return None if query.model is None else state.weights_version(query.model)


def _least_failing(query: PlacementQuery, states: list[RunnerState]) -> RunnerState | None:
    """Return the runner with the fewest recent failures that is neither loading nor full."""
    now = query.now
    usable = [state for state in states if now >= state.loading_until and now >= state.full_until]
    if not usable:
        return None
    return min(usable, key=lambda state: (state.failure_score(now), state.load))

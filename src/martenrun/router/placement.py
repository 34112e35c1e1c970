"""Chooses the runner for a request by pending prefill, cached prefixes, weights and failures.

Every router places on its own.  The cost of a runner, in prompt tokens, is its pending prefill plus
the part of the new prompt that is not in its cache.  Rendezvous hashing of the last shared part of
a prompt selects the runner that all routers assume to have that prefix cached.  Other runners cost
more, depending on which parts they and the KV cache store are assumed to hold.
"""

from collections.abc import Collection, Sequence

import attrs

from martenrun.identity.rendezvous import weight
from martenrun.router.decisions import DEFAULTS, PlacementFigures
from martenrun.router.messages import PromptPart
from martenrun.router.runner_state import RunnerState
from martenrun.router.seen_parts import SeenParts

REMEMBERED_ORDERS = 512
"""Maximum number of cached rankings of runners; one for each prefix and set of runners."""


@attrs.frozen
class PlacementQuestion:
    """The properties of a request that determine its placement.

    Attributes:
        parts: the parts of the prompt, the last one not shared; empty without a prompt.
        needed_tokens: KV cache memory that the request needs at a runner, in tokens.
        memory_tokens: KV cache memory of a runner of the service, in tokens; 0 if unknown.
        wall: the tenant if it shares no cached parts with other tenants, else empty.
        model: the model, or None if the service has none.
        wanted_version: target version of the model's weights, or None.
        oldest_version: oldest version of the weights that may still start requests.
        tried: instances to which the request has been sent.
        zone: zone of this router.
        now: monotonic time, in seconds.
        apart_by: fingerprint of a request suspected of crashing a runner, else None.
    """

    parts: tuple[PromptPart, ...]
    needed_tokens: int
    memory_tokens: int
    wall: bytes
    model: str | None
    wanted_version: int | None
    oldest_version: int
    tried: Collection[str]
    zone: str
    now: float
    apart_by: bytes | None = None


class Placement:
    """Chooses runners and caches their ranking by prefix."""

    def __init__(self, figures: PlacementFigures = DEFAULTS.placement) -> None:
        self._figures = figures
        self._known_ranks: dict[tuple[bytes, tuple[str, ...]], dict[str, int]] = {}
        self.seen = SeenParts()

    def choose(
        self, question: PlacementQuestion, states: Sequence[RunnerState]
    ) -> RunnerState | None:
        """Return the runner to send a request to, or None if no runner is usable."""
        usable = [
            state
            for state in states
            if not state.runner.is_draining
            and not state.is_limited(question.now)
            and state.runner.instance not in question.tried
        ]
        usable = _with_allowed_weights(question, usable)
        sound = _sound(question, usable)
        if not sound:
            return _least_bad(question, usable)
        if question.apart_by is not None:
            return _apart(question.apart_by, sound)
        if question.parts:
            return self._by_reading(question, sound)
        return min(sound, key=lambda state: self._cost_without_prompt(question, state))

    def limited_for_s(
        self, question: PlacementQuestion, states: Sequence[RunnerState]
    ) -> float | None:
        """Return the time until the first rate limit of a runner allows the request, in seconds.

        None if the request is not blocked by rate limits alone.
        """
        sound = _with_allowed_weights(question, _sound(question, states))
        now = question.now
        if not sound or not all(state.is_limited(now) for state in sound):
            return None
        return max(0.0, min(state.limited_until for state in sound) - now)

    def tokens_to_read(self, question: PlacementQuestion, state: RunnerState) -> float:
        """Return the estimated prefill of a request at a runner, in tokens."""
        own_tokens = question.parts[-1].tokens if question.parts else 0
        return own_tokens + self._shared_cost(question, state)

    def _by_reading(self, question: PlacementQuestion, sound: list[RunnerState]) -> RunnerState:
        instances = tuple(sorted(state.runner.instance for state in sound))
        ranks = self._ranks(shared_prefix(question.parts) + question.wall, instances)
        figures = self._figures

        def cost(state: RunnerState) -> tuple[float, int]:
            rank = ranks[state.runner.instance]
            shared = 0.0 if rank == 0 else self._shared_cost(question, state)
            distance = 0 if state.runner.zone == question.zone else figures.other_zone_tokens
            return (
                state.backlog_tokens
                + shared
                + distance
                + figures.request_tokens * state.load
                + self._crowding_cost(question, state)
                + (figures.old_weights_tokens if _is_old(question, state) else 0)
                + figures.failure_tokens * state.remembered_failures(question.now),
                rank,
            )

        return min(sound, key=cost)

    def _shared_cost(self, question: PlacementQuestion, state: RunnerState) -> float:
        cost = 0.0
        for part in question.parts[:-1]:
            key = _part_key(question, state, part)
            if self.seen.is_at(state.runner.instance, key, question.now):
                continue
            is_stored = self.seen.is_anywhere(key, question.now)
            cost += part.tokens * (self._figures.fetched_share if is_stored else 1.0)
        return cost

    def cache_source(
        self, question: PlacementQuestion, state: RunnerState, states: Sequence[RunnerState]
    ) -> RunnerState | None:
        """Return another runner that most likely has a prompt's shared parts cached, or None.

        It is the runner known to have prefilled the last shared part most recently, otherwise the
        first by rendezvous hashing, to which all routers send that prefix while it has room.
        """
        if len(question.parts) < 2:
            return None
        version = _version(question, state)
        sound = _sound(question, states)
        others = [
            other for other in sound if other is not state and _version(question, other) == version
        ]
        if not others:
            return None
        key = _part_key(question, state, question.parts[-2])
        reader = self.seen.last_reader(key, question.now)
        if reader == state.runner.instance:
            return None
        instances = tuple(sorted(item.runner.instance for item in sound))
        ranks = self._ranks(shared_prefix(question.parts) + question.wall, instances)

        def distance(other: RunnerState) -> tuple[bool, int]:
            return other.runner.instance != reader, ranks[other.runner.instance]

        return min(others, key=distance)

    def _crowding_cost(self, question: PlacementQuestion, state: RunnerState) -> float:
        """Return what a runner costs whose memory does not hold one more request, in tokens."""
        if not question.memory_tokens:
            return 0.0
        usable = self._figures.usable_memory * question.memory_tokens
        over = state.held_tokens + question.needed_tokens - usable
        return max(0.0, over) * self._figures.crowding_factor

    def _cost_without_prompt(
        self, question: PlacementQuestion, state: RunnerState
    ) -> tuple[float, float]:
        is_near = state.runner.zone == question.zone
        distance = 0.0 if is_near else self._figures.other_zone_load
        failures = state.remembered_failures(question.now)
        per_slot = (state.load + distance) / max(1, state.runner.slots)
        return per_slot + 0.2 * failures, weight(question.zone.encode(), state.runner.instance)

    def needs_saving(self, question: PlacementQuestion, state: RunnerState) -> bool:
        """Return whether the KV cache store may lack the shared parts of a prompt.

        A runner that saves a prompt also saves the part that is not shared.  Saving every prompt
        would fill the store with parts that are never requested again, and its link with
        duplicates.
        """
        if len(question.parts) < 2:
            return False
        last_shared = _part_key(question, state, question.parts[-2])
        return not self.seen.is_saved(last_shared, question.now, self._figures.save_again_s)

    def note_read(self, question: PlacementQuestion, state: RunnerState) -> None:
        """Record that a runner has prefilled a prompt, and saved its parts if that was needed."""
        if self.needs_saving(question, state):
            last_shared = _part_key(question, state, question.parts[-2])
            self.seen.note_saved(last_shared, question.now)
        for part in question.parts[:-1]:
            key = _part_key(question, state, part)
            self.seen.note(state.runner.instance, key, question.now)

    def _ranks(self, prefix: bytes, instances: tuple[str, ...]) -> dict[str, int]:
        """Return the rank of each instance in the rendezvous order of a prefix."""
        key = (prefix, instances)
        ranks = self._known_ranks.get(key)
        if ranks is None:
            order = sorted(instances, key=lambda instance: weight(prefix, instance), reverse=True)
            ranks = {instance: rank for rank, instance in enumerate(order)}
            if len(self._known_ranks) >= REMEMBERED_ORDERS:
                self._known_ranks.clear()
            self._known_ranks[key] = ranks
        return ranks


def shared_prefix(parts: tuple[PromptPart, ...]) -> bytes:
    """Return the identity of the last shared part of a prompt."""
    return parts[-2].part_id if len(parts) > 1 else parts[-1].part_id


def _sound(question: PlacementQuestion, states: Sequence[RunnerState]) -> list[RunnerState]:
    """Return the runners that are neither draining nor to be avoided."""
    return [
        state
        for state in states
        if not state.runner.is_draining and not state.is_avoided(question.now)
    ]


def _apart(fingerprint: bytes, states: Sequence[RunnerState]) -> RunnerState:
    """Return the runner to which all routers send a request suspected of causing crashes.

    Suspected requests are spread over the runners by fingerprint.  Two of them rarely share a
    runner, so that a crash can be attributed to one of them, and all repeats of one request crash
    only one runner at a time.
    """
    return max(states, key=lambda state: weight(fingerprint, state.runner.instance))


def _with_allowed_weights(
    question: PlacementQuestion, states: list[RunnerState]
) -> list[RunnerState]:
    """Return the runners whose weights may still start requests."""
    if question.model is None or not question.oldest_version:
        return states
    oldest = question.oldest_version
    return [state for state in states if (_version(question, state) or oldest) >= oldest]


def _is_old(question: PlacementQuestion, state: RunnerState) -> bool:
    """Return whether a runner has older weights than the target version."""
    version = _version(question, state)
    wanted = question.wanted_version
    return version is not None and wanted is not None and version < wanted


def _part_key(question: PlacementQuestion, state: RunnerState, part: PromptPart) -> bytes:
    """Return the cache key of a part, which includes the weights version and isolated tenant."""
    return part.part_id + b"/%d/" % (_version(question, state) or 0) + question.wall


def _version(question: PlacementQuestion, state: RunnerState) -> int | None:
    return None if question.model is None else state.weights_version(question.model)


def _least_bad(question: PlacementQuestion, states: list[RunnerState]) -> RunnerState | None:
    """Return the runner with the fewest recent failures that is neither loading nor full."""
    now = question.now
    usable = [state for state in states if now >= state.loading_until and now >= state.full_until]
    if not usable:
        return None
    return min(usable, key=lambda state: (state.remembered_failures(now), state.load))

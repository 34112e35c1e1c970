"""Which runner serves a request: by kept prefix, load, weights, zone and past failures.

Every router places by itself.  Rendezvous hashing of the last shared part of a prompt lets all of
them choose the same runner for it; a bound on the load moves the rest of a hot part on to the
next runners of the same order.
"""

from collections.abc import Collection, Sequence

import attrs

from martenrun.identity.rendezvous import weight
from martenrun.router.runner_state import RunnerState

LOAD_FACTOR = 1.5
LOAD_ALLOWANCE = 2
"""A runner takes a request by its prefix up to LOAD_FACTOR x mean load + LOAD_ALLOWANCE."""

OTHER_ZONE_LOAD = 0.5
"""Requests that a runner of another zone counts as having more, where the prefix says nothing."""

REMEMBERED_ORDERS = 2048
"""Orders of runners kept, by prefix."""


@attrs.frozen
class PlacementQuestion:
    """What is asked of a placement.

    Attributes:
        prefix: identity of the last shared part of the prompt with its isolation, or empty.
        model: the model, or None where the service serves none.
        wanted_version: version of its weights that the operator named, or None.
        oldest_version: oldest version of the weights that may still begin requests.
        tried: instances that this request has been sent to.
        zone: the asking router's zone.
        now: steady time.
    """

    prefix: bytes
    model: str | None
    wanted_version: int | None
    oldest_version: int
    tried: Collection[str]
    zone: str
    now: float


class Placement:
    """Chooses runners; remembers the order of runners for the prefixes asked for last."""

    def __init__(self) -> None:
        self._orders: dict[tuple[bytes, tuple[str, ...]], list[str]] = {}

    def choose(
        self, question: PlacementQuestion, states: Sequence[RunnerState]
    ) -> RunnerState | None:
        """Return the runner to send a request to, or None if there is none."""
        usable = [
            state
            for state in states
            if not state.runner.is_draining and state.runner.instance not in question.tried
        ]
        usable = _with_preferred_weights(question, usable)
        sound = [state for state in usable if not state.is_avoided(question.now)]
        if not sound:
            return _least_bad(question, usable)
        if question.prefix:
            return self._by_prefix(question.prefix, sound)
        return min(sound, key=lambda state: _cost(question, state))

    def _by_prefix(self, prefix: bytes, sound: list[RunnerState]) -> RunnerState:
        bound = LOAD_FACTOR * sum(state.load for state in sound) / len(sound) + LOAD_ALLOWANCE
        by_instance = {state.runner.instance: state for state in sound}
        for instance in self._order(prefix, tuple(sorted(by_instance))):
            if by_instance[instance].load <= bound:
                return by_instance[instance]
        return min(sound, key=lambda state: state.load)

    def _order(self, prefix: bytes, instances: tuple[str, ...]) -> list[str]:
        key = (prefix, instances)
        order = self._orders.get(key)
        if order is None:
            order = sorted(instances, key=lambda instance: weight(prefix, instance), reverse=True)
            if len(self._orders) >= REMEMBERED_ORDERS:
                self._orders.clear()
            self._orders[key] = order
        return order


def _with_preferred_weights(
    question: PlacementQuestion, states: list[RunnerState]
) -> list[RunnerState]:
    """Return the runners with the named weights once half have them, else all."""
    if question.model is None or question.wanted_version is None:
        return states
    wanted = question.wanted_version
    versions = [(state.weights_version(question.model) or wanted, state) for state in states]
    allowed = [state for version, state in versions if version >= question.oldest_version]
    new = [state for version, state in versions if version >= wanted]
    ready = [state for state in new if not state.is_avoided(question.now)]
    return new if ready and len(ready) * 2 >= len(states) else allowed


def _least_bad(question: PlacementQuestion, states: list[RunnerState]) -> RunnerState | None:
    """Return a runner that is neither loading nor full, the least failing one."""
    now = question.now
    usable = [state for state in states if now >= state.loading_until and now >= state.full_until]
    if not usable:
        return None
    return min(usable, key=lambda state: (state.remembered_failures(now), state.load))


def _cost(question: PlacementQuestion, state: RunnerState) -> tuple[float, float]:
    distance = 0.0 if state.runner.zone == question.zone else OTHER_ZONE_LOAD
    failures = state.remembered_failures(question.now)
    per_slot = (state.load + distance) / max(1, state.runner.slots)
    return per_slot + 0.2 * failures, weight(question.zone.encode(), state.runner.instance)

"""Which runner one request goes to, and whether it can begin there soon enough."""

import attrs

from martenrun.net.http import HttpRequest
from martenrun.router.messages import Admitted
from martenrun.router.placement import PlacementQuestion
from martenrun.router.runner_limits import MINIMUM_REQUESTS_PER_S, RunnerLimit
from martenrun.router.runner_request import placement_question, request_groups, waiting_prompt
from martenrun.router.runner_state import RunnerState
from martenrun.router.world import World

MINIMUM_YIELD_S = 1.0
"""Minimum retry delay of a request that yields to more urgent ones, in seconds."""


class RunnerChoice:
    """Chooses runners for one request.

    Attributes:
        tried: instances that are not chosen again.
    """

    def __init__(self, world: World, request: HttpRequest, admitted: Admitted) -> None:
        self._world = world
        self._request = request
        self._admitted = admitted
        self._guard = world.guard(admitted.service)
        self._groups = request_groups(admitted)
        self._fingerprint: bytes | None = None
        self.tried: list[str] = []

    def choose(self) -> RunnerState | None:
        """Return the best runner that was not tried, or None."""
        states = self._world.runner_states(self._admitted.service)
        question = self.question()
        if self._yields_to_urgent():
            limited = [state.runner.instance for state, _ in self._limited()]
            question = attrs.evolve(question, tried=[*question.tried, *limited])
        return self._world.placement.choose(question, states)

    def question(self) -> PlacementQuestion:
        """Return what the placement is asked."""
        run = self.known_fingerprint()
        apart_by = run if self._world.suspects.is_suspect(run) else None
        return placement_question(self._world, self._admitted, self.tried, apart_by)

    def known_fingerprint(self) -> bytes | None:
        """Return this request's fingerprint if something is known of requests like it."""
        if self._fingerprint is None:
            suspects = self._world.suspects
            self._fingerprint = suspects.known_fingerprint(self._request, self._admitted)
        return self._fingerprint

    def held_back_s(self) -> float:
        """Return for how long requests like this one are held back, in seconds; 0 if not."""
        return self._world.suspects.blocked_for_s(self.known_fingerprint())

    # Rate limits of runners

    def limited_for_s(self) -> float | None:
        """Return for how long rate limits block the request at all runners; None if they do not."""
        states = self._world.runner_states(self._admitted.service)
        limited_s = self._world.placement.limited_for_s(self.question(), states)
        if self._yields_to_urgent() and len(self._limited()) == len(states):
            return max(limited_s or 0.0, MINIMUM_YIELD_S)
        return limited_s

    def retry_delay_s(self, limited_s: float) -> float:
        """Return the retry delay for a caller refused because of rate limits, in seconds."""
        now = self._world.loop.now()
        if self._is_urgent():
            self._guard.note_urgent_refused(now)
        per_s = sum(limit.rate_limit.units_per_s for _, limit in self._limited())
        per_router = max(MINIMUM_REQUESTS_PER_S, per_s) / max(1, self._world.node_count())
        return self._guard.retry_turns.next_delay_s(limited_s, per_router, now)

    def _limited(self) -> list[tuple[RunnerState, RunnerLimit]]:
        limits = self._world.runner_limits
        found = [
            (state, limits.limit(state.runner.instance))
            for state in self._world.pool.states(self._admitted.service)
        ]
        return [(state, limit) for state, limit in found if limit is not None]

    def _yields_to_urgent(self) -> bool:
        """Whether to leave rate-limited runners to urgent requests, one of which was refused."""
        now = self._world.loop.now()
        if not self._guard.has_refused_urgent(now) or self._is_urgent():
            return False
        return not self._guard.is_behind(self._groups, now)

    def _is_urgent(self) -> bool:
        table = self._world.configuration.table
        admitted = self._admitted
        return table is None or table.is_most_urgent(admitted.route, admitted.service)

    # Overload

    def note_asked(self) -> None:
        """The request takes part in the demand from now on."""
        self._guard.note_asked(self._groups, self._world.loop.now())

    def note_taken(self) -> None:
        """The request goes to its first runner."""
        self._guard.note_taken(self._groups, self._world.loop.now())

    def may_wait_at(self, state: RunnerState) -> bool:
        """Whether a runner can begin with this request soon enough."""
        if not self._admitted.call.parts:
            return True
        prompt = waiting_prompt(self._world, self._admitted, state)
        return self._guard.takes(prompt, self._world.loop.now())

    def wait_s(self, state: RunnerState) -> float:
        """Return after how long the request may be taken at a runner, in seconds."""
        return self._guard.wait_s(state.backlog_tokens)

"""Which runner one request goes to, and whether it can begin there soon enough."""

from martenrun.net.http import HttpRequest
from martenrun.router.messages import Admitted
from martenrun.router.placement import PlacementQuestion
from martenrun.router.runner_request import placement_question, request_groups, waiting_prompt
from martenrun.router.runner_state import RunnerState
from martenrun.router.world import World


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
        return self._world.placement.choose(self.question(), states)

    def question(self) -> PlacementQuestion:
        """Return what the placement is asked."""
        run = self.known_fingerprint()
        apart_by = run if self._world.suspects.is_suspect(run) else None
        return placement_question(self._world, self._admitted, self.tried, apart_by)

    def known_fingerprint(self) -> bytes | None:
        """Return this request's fingerprint if something is known of requests like it."""
        if self._fingerprint is None:
            suspects = self._world.suspects
            self._fingerprint = suspects.fingerprint(self._request, self._admitted)
        return self._fingerprint

    def held_back_s(self) -> float:
        """Return for how long requests like this one are held back, in seconds; 0 if not."""
        return self._world.suspects.held_for_s(self.known_fingerprint())

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

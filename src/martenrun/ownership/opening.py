"""Opening a question at its home node: route, admission, candidates, ranking."""

from collections.abc import Callable

from martenrun.configuration.view import ConfigurationView, RoutedPool
from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.errors import NoRunnerError
from martenrun.limits.admission import AdmissionLimits
from martenrun.ownership.loads import LoadBook
from martenrun.ownership.questions import NO_RUNNER_RETRY_AFTER_S, OpenQuestion
from martenrun.routing.policy import RoutingPolicy, RunnerChoice
from martenrun.wire.messages import DecideRequest


class QuestionOpener:
    """Turns an agent's message into an open question with ranked candidates."""

    def __init__(
        self,
        view: Callable[[], ConfigurationView],
        limits: AdmissionLimits,
        loads: LoadBook,
        policy: RoutingPolicy,
    ) -> None:
        self._view = view
        self._limits = limits
        self._loads = loads
        self._policy = policy
        self._routes: dict[tuple[str, str], RoutedPool] = {}
        self._routes_view: ConfigurationView | None = None

    def open(self, agent: str, question: DecideRequest, state: str, now: float) -> OpenQuestion:
        """Return the question, admitted and ranked; raises MartenrunError if it is refused."""
        pool = self._route(question.tenant, question.model)
        self._limits.check(question, self._view().tenant(question.tenant), now)
        key = question.tenant.encode() + question.chain[:BLOCK_HASH_BYTES]
        excluded = question.excluded_runners
        candidates = self._loads.candidates(pool.name, key, excluded, now)
        spare = self._spare(pool.name, key, excluded, now) if excluded else []
        if not candidates and not spare:
            self._limits.ended(question.request_id, now, 0.0)
            raise NoRunnerError(
                f"pool {pool.name!r} has no usable runner", retry_after_s=NO_RUNNER_RETRY_AFTER_S
            )
        choices = self._policy.rank(question, candidates, now) if candidates else []
        deadline = now + question.deadline_s
        return OpenQuestion(question, agent, pool.name, state, deadline, choices, spare)

    def _spare(self, pool: str, key: bytes, excluded: list[str], now: float) -> list[RunnerChoice]:
        """Return the excluded runners, for the case that no other one takes work."""
        candidates = self._loads.candidates(pool, key, (), now)
        return [RunnerChoice(runner) for runner in candidates if runner.name in excluded]

    def _route(self, tenant: str, model: str) -> RoutedPool:
        """Return the pool of a model; looked up once per tenant, model and revision."""
        view = self._view()
        if view is not self._routes_view:
            self._routes.clear()
            self._routes_view = view
        found = self._routes.get((tenant, model))
        if found is None:
            found = self._routes[(tenant, model)] = view.route(tenant, model)
        return found

"""Evaluates a pool's sharing policy tick by tick and keeps the last good weights.

See also: :mod:`martenrun.sharing.policy`.
"""

from collections.abc import Iterable

from martenrun.errors import InvalidObjectError
from martenrun.sharing.policy import CompiledPolicy, PolicyEvaluationError, PolicyInputs
from martenrun.sharing.policy_status import PolicyStatus

EVALUATIONS_PER_TICK = 64
"""Tenants evaluated in one tick; the others keep their weights until their turn."""

MAXIMUM_TENANTS = 8_192
"""Tenants whose last good weight is kept."""


class PolicyWeights:
    """Weights of the tenants of one pool under its policy."""

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self._name = ""
        self._published = ""
        self._policy: CompiledPolicy | None = None
        self._publish_error = ""
        self._last_error = ""
        self._failing: set[str] = set()
        self._evaluations = 0
        self._failures = 0
        self._next_turn = ""

    def publish(self, name: str, expression: str) -> None:
        """Put a policy in force; one that does not compile leaves the present one in force."""
        if (name, expression) == (self._name, self._published):
            return
        self._name, self._published = name, expression
        self._publish_error = self._last_error = ""
        try:
            self._policy = CompiledPolicy(expression)
            self._failing = set()
        except InvalidObjectError as error:
            self._publish_error = self._last_error = error.message

    def withdraw(self) -> None:
        """Have no policy: the weights in the tenants' objects hold."""
        self._policy = None
        self._name = self._published = self._publish_error = ""
        self._failing = set()
        self.weights = {}

    def evaluate(self, inputs: Iterable[PolicyInputs]) -> None:
        """Evaluate active tenants, at most EVALUATIONS_PER_TICK, in turns over the ticks."""
        ordered = sorted(inputs, key=lambda item: item.tenant)
        first = next((i for i, item in enumerate(ordered) if item.tenant >= self._next_turn), 0)
        turns = (ordered[first:] + ordered[:first])[: EVALUATIONS_PER_TICK + 1]
        for item in turns[:EVALUATIONS_PER_TICK]:
            self._evaluate(item)
        self._next_turn = turns[-1].tenant if len(turns) > EVALUATIONS_PER_TICK else ""
        while len(self.weights) > MAXIMUM_TENANTS:
            oldest = next(iter(self.weights))
            del self.weights[oldest]
            self._failing.discard(oldest)

    def status(self, pool: str = "") -> PolicyStatus:
        """Return what an operator should see."""
        return PolicyStatus(
            pool,
            self._name,
            self._published,
            self._policy.expression if self._policy is not None else "",
            bool(self._failing or self._publish_error),
            self._last_error,
            len(self._failing),
            self._evaluations,
            self._failures,
        )

    def _evaluate(self, inputs: PolicyInputs) -> None:
        if self._policy is None:
            self.weights[inputs.tenant] = inputs.weight
            return
        self._evaluations += 1
        try:
            self.weights[inputs.tenant] = self._policy.weight(inputs)
            self._failing.discard(inputs.tenant)
        except PolicyEvaluationError as error:
            self._failures += 1
            self._failing.add(inputs.tenant)
            self._last_error = f"tenant {inputs.tenant!r}: {error}"
            self.weights.setdefault(inputs.tenant, inputs.weight)

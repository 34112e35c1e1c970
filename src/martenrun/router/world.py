"""Everything that the parts of one router share."""

from collections.abc import Callable

import attrs

from martenrun.identity.rendezvous import weight
from martenrun.net.loop import Loop
from martenrun.router.crash_tracker import CrashTracker
from martenrun.router.decisions import Decisions
from martenrun.router.dialect import Dialect
from martenrun.router.knowledge import ConfigurationKnowledge, RunnerDirectory, WeightsKnowledge
from martenrun.router.messages import KeptCacheStore, Route
from martenrun.router.overload import OverloadGuard
from martenrun.router.placement import Placement
from martenrun.router.quotas.gate import QuotaGate
from martenrun.router.retry_budget import RetryBudget
from martenrun.router.runner_limits import RunnerLimits
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.runner_state import RunnerState
from martenrun.router.settings import RouterSettings

OLD_WEIGHTS_MARGIN_S = 0.9
"""How long before the bound no request is sent to older weights any more, in seconds.

It may still wait in the runner's queue before it begins.
"""

OVERDUE_MARGIN_S = 0.6
"""How long before the bound waiting requests are taken from older weights, in seconds."""


@attrs.define
class World:
    """What a router knows and uses.

    Attributes:
        decisions: the figures that decisions depend on.
        node_count: returns among how many routers the retry budget is shared.
        suspects: what is known of requests that end runners.
        count: takes in how a request ended: outcome, route, seconds.
        store_works: whether the kept-cache store at an address answers.
        note_reading: takes in that a runner has more or less to read for this router.
        refresh_loads: makes what is known of other routers' loads current.
        quotas: asks whether tenants may use more; None where nobody keeps accounts.
        runner_limits: the rate limits that runners advertise.
        spends_from: from when on this router may use its part of the common slack of retries.
    """

    loop: Loop
    settings: RouterSettings
    dialect: Dialect
    configuration: ConfigurationKnowledge
    runners: RunnerDirectory
    weights: WeightsKnowledge
    pool: RunnerPool
    placement: Placement
    suspects: CrashTracker
    node_count: Callable[[], int]
    count: Callable[[str, Route, float], None]
    store_works: Callable[[KeptCacheStore], bool]
    note_reading: Callable[[RunnerState], None]
    refresh_loads: Callable[[], None]
    decisions: Decisions = attrs.field(factory=Decisions)
    spends_from: float = 0.0
    quotas: QuotaGate | None = None
    runner_limits: RunnerLimits = attrs.field(factory=RunnerLimits)
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    _guards: dict[str, OverloadGuard] = attrs.field(factory=dict)

    def budget(self, service: str) -> RetryBudget:
        """Return this router's retry budget for a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.settings.bounds, self.spends_from)
        return budget

    def guard(self, service: str) -> OverloadGuard:
        """Return what decides whether a service is too busy for one more prompt."""
        guard = self._guards.get(service)
        if guard is None:
            guard = self._guards[service] = OverloadGuard(self.decisions.overload)
        return guard

    def runner_states(self, service: str) -> list[RunnerState]:
        """Return what is believed now of a service's runners."""
        self.refresh_loads()
        return self.pool.states(service)

    def replace_settings(self, settings: RouterSettings) -> None:
        """Put other bounds in force; addresses stay those of the start."""
        self.settings = settings
        for budget in self._budgets.values():
            budget.bounds = settings.bounds

    def oldest_weights(self, model: str, now: float) -> int:
        """Return the oldest version of a model's weights that may still begin requests."""
        return self.weights.oldest_allowed(model, self.old_weights_bound_s, now)

    @property
    def old_weights_bound_s(self) -> float:
        """For how long after a newer version was named older weights are sent requests."""
        return self.settings.bounds.weights_s - OLD_WEIGHTS_MARGIN_S

    def overdue_weights(self, model: str, now: float) -> int:
        """Return the version of which older ones may not even begin requests sent before."""
        bound_s = self.settings.bounds.weights_s - OVERDUE_MARGIN_S
        return self.weights.oldest_allowed(model, bound_s, now)

    def memory_tokens(self, service: str) -> int:
        """Return the memory of one runner of a service in tokens, or 0 if it serves no model."""
        table = self.configuration.table
        found = None if table is None else table.configuration.services.get(service)
        return 0 if found is None or found.engine is None else found.engine.cache_tokens

    def cache_store(self, prefix: bytes) -> str | None:
        """Return the address of the kept-cache store that keeps a prefix for all runners."""
        table = self.configuration.table
        if table is None:
            return None
        works = [store for store in table.configuration.stores if self.store_works(store)]
        if len(works) < 2:
            return works[0].address if works else None
        return max(works, key=lambda store: weight(prefix, store.address)).address

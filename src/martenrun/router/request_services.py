"""Services and state shared by the components of one router."""

from collections.abc import Callable

import attrs

from martenrun.identity.rendezvous import weight
from martenrun.net.loop import Loop
from martenrun.net.response_limits import BodyMemory
from martenrun.router.brittle_services import BrittleServices
from martenrun.router.crashes.tracker import CrashTracker
from martenrun.router.drain_messages import DrainUpdate
from martenrun.router.instance_check import InstanceCheck
from martenrun.router.messages import AdmittedRequest, KvCacheStore, Route
from martenrun.router.overload import OverloadGuard
from martenrun.router.placement import Placement
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.quotas.gate import QuotaGate
from martenrun.router.reachability import Reachability
from martenrun.router.retry_budget import RetryBudget
from martenrun.router.runner_limits import RunnerLimits
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.runner_state import RunnerState
from martenrun.router.settings import RouterSettings
from martenrun.router.silent_runners import SilentRunners
from martenrun.router.store.state import ConfigurationState, RunnerDirectory, WeightsState
from martenrun.router.tuning import TuningParameters

OLD_WEIGHTS_MARGIN_S = 0.9
"""Sending requests to old weights stops this many seconds before the bound.

A request may still wait in the runner's queue before it starts.
"""

OVERDUE_MARGIN_S = 0.6
"""Requests queued at old weights are withdrawn this many seconds before the bound."""


@attrs.define
class RequestServices:
    """Services and state that requests are handled with.

    Attributes:
        decisions: tuning parameters.
        router_count: returns how many routers share the retry budget.
        suspects: crash records of requests, and the blocking of crash-causing ones.
        record_outcome: records how a request ended: outcome, route, seconds.
        broadcast_drains: tells other routers of runners that have announced a drain.
        count_notice: counts what a runner's response announces about it, by kind, and requests sent
            to it in spite of that.
        is_store_available: returns whether a KV cache store responds.
        on_prefill_changed: called when a runner's pending prefill for this router changes.
        refresh_loads: updates runners' states with the loads that other routers report.
        quotas: grants quota units to tenants; None where no quota accounts are kept.
        runner_limits: the rate limits that runners advertise.
        brittle: services whose runners crash if they turn away too many requests.
        reachability: services whose runners this router cannot reach.
        silent_runners: probes of runners that have been silent for long.
        peers_reaching: returns the internal addresses of live routers that reach the runners of a
            service, in the order in which to try them.
        peer_keeps_software: returns whether the router at an internal address keeps a forwarded
            stream at the software version that began it.
        record_stream: records the software version of the runner that a request is sent to, with
            the time of the request's receipt, in case it begins a stream that is resumed at
            another router.
        record_forwarded: records that another router sends a request to a runner instead.
        instance_check: checks that runners are the instances that their entries describe; None if
            entries are trusted.
        body_memory: the memory of buffered bodies of responses.
        retry_slack_from: when this router may start to use its share of the retry slack.
    """

    loop: Loop
    settings: RouterSettings
    adapter: PlatformAdapter
    configuration: ConfigurationState
    runners: RunnerDirectory
    weights: WeightsState
    pool: RunnerPool
    placement: Placement
    suspects: CrashTracker
    router_count: Callable[[], int]
    record_outcome: Callable[[str, Route, float], None]
    is_store_available: Callable[[KvCacheStore], bool]
    on_prefill_changed: Callable[[RunnerState], None]
    refresh_loads: Callable[[], None]
    decisions: TuningParameters = attrs.field(factory=TuningParameters)
    retry_slack_from: float = 0.0
    body_memory: BodyMemory = attrs.field(factory=BodyMemory)
    quotas: QuotaGate | None = None
    runner_limits: RunnerLimits = attrs.field(factory=RunnerLimits)
    brittle: BrittleServices = attrs.field(factory=BrittleServices)
    reachability: Reachability = attrs.field(
        default=attrs.Factory(lambda self: Reachability(self.pool.states), takes_self=True)
    )
    silent_runners: SilentRunners = attrs.field(
        default=attrs.Factory(lambda self: SilentRunners(self.loop), takes_self=True)
    )
    peers_reaching: Callable[[str], list[str]] = lambda _service: []
    peer_keeps_software: Callable[[str], bool] = lambda _address: True
    record_stream: Callable[[AdmittedRequest, str, float], None] = (
        lambda _admitted, _software, _received_at: None
    )
    record_forwarded: Callable[[AdmittedRequest], None] = lambda _admitted: None
    instance_check: InstanceCheck | None = None
    count_notice: Callable[[str], None] = lambda _notice: None
    broadcast_drains: Callable[[DrainUpdate], None] = lambda _update: None
    _retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    _overload_guards: dict[str, OverloadGuard] = attrs.field(factory=dict)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return this router's retry budget for a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = RetryBudget(
                self.settings.bounds, self.retry_slack_from
            )
        return budget

    def overload_guard(self, service: str) -> OverloadGuard:
        """Return the guard that decides whether a service is overloaded for another prompt."""
        guard = self._overload_guards.get(service)
        if guard is None:
            guard = self._overload_guards[service] = OverloadGuard(self.decisions.overload)
        return guard

    def runner_states(self, service: str) -> list[RunnerState]:
        """Return the states of a service's runners with current loads."""
        self.refresh_loads()
        return self.pool.states(service)

    def replace_settings(self, settings: RouterSettings) -> None:
        """Apply the bounds of new settings; addresses stay as they were at startup."""
        self.settings = settings
        for budget in self._retry_budgets.values():
            budget.bounds = settings.bounds

    def oldest_allowed_weights(self, model: str, now: float) -> int:
        """Return the oldest version of a model's weights that requests may be sent to."""
        return self.weights.oldest_allowed(model, self.old_weights_bound_s, now)

    @property
    def old_weights_bound_s(self) -> float:
        """How long requests are sent to old weights after a newer version became the target."""
        return self.settings.bounds.weights_s - OLD_WEIGHTS_MARGIN_S

    def oldest_startable_weights(self, model: str, now: float) -> int:
        """Return the oldest version of a model's weights that may start queued requests."""
        bound_s = self.settings.bounds.weights_s - OVERDUE_MARGIN_S
        return self.weights.oldest_allowed(model, bound_s, now)

    def kv_cache_capacity(self, service: str) -> int:
        """Return the KV cache capacity of a service's runner in tokens; 0 if it has no model."""
        table = self.configuration.table
        definition = None if table is None else table.configuration.services.get(service)
        return (
            0
            if definition is None or definition.engine is None
            else definition.engine.kv_cache_tokens
        )

    def kv_cache_store(self, prefix: bytes) -> str | None:
        """Return the address of the KV cache store responsible for a prefix, or None."""
        table = self.configuration.table
        if table is None:
            return None
        available = [
            store for store in table.configuration.stores if self.is_store_available(store)
        ]
        if len(available) < 2:
            return available[0].address if available else None
        return max(available, key=lambda store: weight(prefix, store.address)).address

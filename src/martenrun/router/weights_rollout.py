"""Rolls out new target weights: the lease holder orders runners to load them, a few at a time.

:mod:`martenrun.router.rollout_plan` selects the runners without I/O; :class:`WeightsRollout` sends
the orders.  Only the newest target version of a model is ordered.
"""

import math
from collections.abc import Callable

import attrs

from martenrun.net.http import HttpResponse
from martenrun.net.periodic import PeriodicCall, call_safely
from martenrun.router.lease import Lease
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import (
    HttpCall,
    LeaseRecord,
    OrderOutcome,
    RunnerReport,
    StorePosition,
    WeightsOrder,
)
from martenrun.router.observed_lease import era_of_token
from martenrun.router.peer_messages import LeaseUpdate, WeightsUpdate
from martenrun.router.peers import Peers
from martenrun.router.request_services import RequestServices
from martenrun.router.rollout_plan import RolloutQuery, outdated_runners, runners_to_load
from martenrun.router.runner_responses import record_control_response
from martenrun.router.runner_state import RunnerState
from martenrun.router.store.client import MAXIMUM_CONTROL_BYTES, HttpClient, call_runner
from martenrun.router.store.planner import order_by_strength
from martenrun.router.store.state import decode_or_log
from martenrun.router.weights_updates import WeightsUpdateBatcher, apply_weights_update

STEP_INTERVAL_S = 0.1
"""Interval between steps of a rollout, in seconds."""

RANK_DELAY_S = 0.7
"""Additional delay per rank before a router tries to acquire the lease, in seconds."""

REPORT_TIMEOUT_S = 0.4
ORDER_TIMEOUT_S = 0.6
"""Timeouts of calls to a runner's control interface, in seconds."""

REPORT_INTERVAL_S = 0.2
"""Interval at which a loading runner is asked for its report, in seconds."""

ORDER_RETRY_S = 1.0
"""Time after which an order without a known outcome may be sent again, in seconds."""

STATUS_OK = 200
MS_PER_S = 1000


@attrs.define
class WeightsLoad:
    """A load of weights in progress at a runner.

    Attributes:
        instance: the runner's instance.
        model: the model.
        version: the version to load.
        started_at: monotonic time from which the runner gets no new requests, in seconds.
        last_step_at: monotonic time of the last report request or order, in seconds.
        is_ordered: whether an order may have reached the runner.
    """

    instance: str
    model: str
    version: int
    started_at: float
    last_step_at: float
    is_ordered: bool = False


class WeightsRollout:
    """Orders runners to load target weights while this router holds the lease."""

    def __init__(self, world: RequestServices, peers: Peers, lease: Lease) -> None:
        self._world = world
        self._peers = peers
        self._lease = lease
        self._loads: dict[str, WeightsLoad] = {}
        self._unanswered_orders: set[str] = set()
        self._not_before: dict[str, float] = {}
        self._needed_since: float | None = None
        self._callers: dict[str, HttpClient] = {}
        self._steps = PeriodicCall(world.loop, "weights_rollout", STEP_INTERVAL_S, self._step)
        self._update_batcher = WeightsUpdateBatcher(world.loop, peers)
        self._stops_at = math.inf
        self._load_time_s = world.decisions.roll.first_turn_s

    @property
    def _runs_end_s(self) -> float:
        return self._world.decisions.roll.runs_end_s

    def schedule_step(self) -> None:
        """Schedule a step of the rollout; called after every change of targets or runners."""
        self._steps.start_later(0.0)

    def stop_by(self, stops_at: float) -> None:
        """Start no load that cannot be ordered before a time, and release the lease by then."""
        self._stops_at = stops_at
        self.schedule_step()

    def handle_lease_release(self, update: LeaseUpdate) -> None:
        """Record that another router has released the lease."""
        record = LeaseRecord(
            update.holder, update.fencing_token, released_idle_s=update.idle_ms / MS_PER_S
        )
        position = StorePosition(era_of_token(update.fencing_token), update.revision)
        self._lease.record_position(record, position)
        self.schedule_step()

    def _step(self) -> None:
        now = self._world.loop.now()
        models = self._outdated_models()
        if self._is_finished(models, now):
            self._lease.release(self._broadcast_release)
        if not models:
            self._needed_since = None
            for instance in list(self._loads):
                self._remove_load(instance)
            self._steps.stop()
            return
        if self._needed_since is None:
            self._needed_since = now
        may_order = not self._is_unreachable(models, now)
        if may_order:
            # Otherwise the lease expires, and a router that reaches the runners acquires it.
            call_safely("acquire_lease", self._acquire_lease, now)
        for model in models:
            call_safely("weights_rollout", self._step_model, model, may_order, now)

    def _step_model(self, model: str, may_order: bool, now: float) -> None:
        self._check_loads(model, self._world.weights.targets[model].version, now)
        if may_order and self._lease.is_held():
            self._start_loads(model, now)
        else:
            self._cancel_unordered_loads(model)

    def _acquire_lease(self, now: float) -> None:
        is_held = self._lease.is_held()
        if self._stops_at < math.inf and not is_held:
            return
        rank = 0 if is_held else self._rank()
        if now - (self._needed_since or now) >= RANK_DELAY_S * rank:
            self._lease.acquire_or_renew(rank)

    def _is_finished(self, models: list[str], now: float) -> bool:
        """Return whether this router is stopping and has nothing left to order."""
        if now >= self._stops_at or self._stops_at == math.inf:
            return now >= self._stops_at
        may_begin = bool(models) and now + self._runs_end_s <= self._stops_at
        return not may_begin and all(load.is_ordered for load in self._loads.values())

    def _broadcast_release(self, record: LeaseRecord, position: StorePosition) -> None:
        idle_ms = round((record.released_idle_s or 0.0) * MS_PER_S)
        self._peers.broadcast(
            LeaseUpdate(record.holder, record.fencing_token, position.revision, idle_ms)
        )

    def _is_unreachable(self, models: list[str], now: float) -> bool:
        """Return whether this router cannot reach the runners of a service that needs orders."""
        states, targets = self._world.pool.all_states(), self._world.weights.targets
        return any(
            self._world.reachability.is_unreachable(state.runner.service, now)
            for model in models
            for state in outdated_runners(states, model, targets[model].version)
        )

    def _outdated_models(self) -> list[str]:
        states = self._world.pool.all_states()
        targets = self._world.weights.targets
        return [
            name for name, item in targets.items() if outdated_runners(states, name, item.version)
        ]

    def _rank(self) -> int:
        """Return this router's rank among the live routers: last holder first, then by hashing."""
        own = self._peers.own
        candidates = [own]
        candidates += [
            record
            for record in self._peers.live()
            if record.is_current and not record.is_leaving and not record.unreachable_services
        ]
        ranking = order_by_strength(
            b"weights", {item.address: item.capacity for item in candidates}
        )
        last = self._lease.last_holder_address()
        if last is not None and last in ranking:
            ranking.remove(last)
            ranking.insert(0, last)
        return ranking.index(own.address)

    def _start_loads(self, model: str, now: float) -> None:
        version = self._world.weights.targets[model].version
        query = RolloutQuery(
            model=model,
            version=version,
            loading=set(self._loads),
            not_before=self._earliest_loads(model),
            now=now,
            parameters=self._world.decisions.roll,
            load_time_s=self._load_time_s,
            target_changes=self._world.weights.known_versions(model),
            old_weights_bound_s=self._world.old_weights_bound_s,
            stops_at=self._stops_at,
        )
        states = runners_to_load(query, self._world.pool.all_states())
        instances = [state.runner.instance for state in states]
        for instance, state in zip(instances, states, strict=True):
            self._loads[instance] = WeightsLoad(instance, model, version, now, now)
            log_event("load_begun", instance=instance, model=model, version=version)
            self._report_load(state, model, version, is_loaded=False)
        if states:
            self._lease.reserve(
                instances, lambda is_stored: self._on_reserved(states, model, is_stored)
            )

    def _earliest_loads(self, model: str) -> dict[str, float]:
        """Return the times before which loads at runners are not started.

        A runner that an earlier holder may have ordered stays in service until its requests have to
        finish for an order of this router.
        """
        earliest = dict(self._not_before)
        for state in outdated_runners(
            self._world.pool.all_states(), model, self._world.weights.targets[model].version
        ):
            instance = state.runner.instance
            from_schedule = (
                self._lease.order_schedule.earliest_order_at(instance) - self._runs_end_s
            )
            earliest[instance] = max(from_schedule, earliest.get(instance, 0.0))
        return earliest

    def _on_reserved(self, states: list[RunnerState], model: str, is_stored: bool) -> None:
        """Continue with loads after their runners have been reserved in the lease object."""
        for state in states:
            if state.runner.instance not in self._loads:
                continue
            if is_stored:
                self._request_report(state, model)
            else:
                self._postpone_load(state, "not_reserved")

    def _cancel_unordered_loads(self, model: str) -> None:
        """Cancel the loads of a model that have not been ordered, as the lease is lost."""
        for instance, load in list(self._loads.items()):
            if load.model == model and not load.is_ordered:
                self._remove_load(instance)

    def _remove_load(self, instance: str) -> WeightsLoad | None:
        """Remove a load; its runner is ordered again only after a new reservation."""
        if instance not in self._unanswered_orders:
            self._lease.order_schedule.cancel(instance)
        return self._loads.pop(instance, None)

    def _check_loads(self, model: str, version: int, now: float) -> None:
        for instance, load in list(self._loads.items()):
            if load.model != model:
                continue
            state = self._world.pool.state(instance)
            current = None if state is None else state.weights_version(model)
            if state is None or (current is not None and current >= version):
                self._finish_load(instance, now)
            elif not load.is_ordered and not self._lease.order_schedule.is_reserved(instance):
                self._postpone_load(state, "not_reserved")
            elif now - load.last_step_at >= REPORT_INTERVAL_S:
                load.last_step_at = now
                self._request_report(state, model)

    def _finish_load(self, instance: str, now: float) -> None:
        """Remove a finished load and update the average load time."""
        load = self._remove_load(instance)
        if load is not None and load.is_ordered:
            latest_weight = self._world.decisions.roll.turn_weight
            self._load_time_s += latest_weight * (now - load.started_at - self._load_time_s)

    def _report_load(self, state: RunnerState, model: str, version: int, is_loaded: bool) -> None:
        """Apply a runner's loading state here and broadcast it with the next batch."""
        instance = state.runner.instance
        apply_weights_update(self._world, WeightsUpdate([instance], model, version, is_loaded))
        self._update_batcher.add(instance, model, version, is_loaded)

    def _request_report(self, state: RunnerState, model: str) -> None:
        self._call(
            state,
            self._world.adapter.report_request(),
            REPORT_TIMEOUT_S,
            lambda response: self._on_report(response, state, model),
        )

    def _on_report(self, response: HttpResponse | None, state: RunnerState, model: str) -> None:
        instance = state.runner.instance
        now = self._world.loop.now()
        self._world.reachability.record_call(state, response is not None, now)
        load = self._loads.get(instance)
        target = self._world.weights.targets[model].version
        if load is None:
            return
        if response is None or response.status != STATUS_OK:
            self._postpone_load(state, "no_report")
            return
        report = decode_or_log(response.body, self._world.adapter.read_report)
        if report is None:
            self._postpone_load(state, "report_unreadable")
            return
        if report.started_at_ms != state.runner.started_at_ms and report.started_at_ms is not None:
            # The runner has restarted and its entry is outdated: its order count began at zero.
            self._postpone_load(state, "started_again")
            return
        current = report.weights.get(model, 0)
        if current >= load.version:
            self._finish_load(instance, self._world.loop.now())
            log_event("load_done", instance=instance, model=model, version=current)
            self._report_load(state, model, current, is_loaded=current >= target)
        elif not report.is_loading and not load.is_ordered and self._may_order(load, report):
            self._send_order(state, model, target, report)

    def _may_order(self, load: WeightsLoad, report: RunnerReport) -> bool:
        """Return whether the runner's requests have finished or had enough time to finish."""
        now = self._world.loop.now()
        if not self._lease.may_order(load.instance):
            return False
        return report.active == 0 or now - load.started_at >= self._runs_end_s

    def _send_order(
        self, state: RunnerState, model: str, version: int, report: RunnerReport
    ) -> None:
        if not self._lease.may_order(state.runner.instance):
            self._remove_load(state.runner.instance)
            return
        load = self._loads[state.runner.instance]
        load.version = version
        load.is_ordered = True
        load.last_step_at = self._world.loop.now() + REPORT_INTERVAL_S
        order = WeightsOrder(
            runner=state.runner.name,
            model=model,
            version=version,
            holder=self._peers.own.address,
            fencing_token=self._lease.fencing_token,
            expected_orders=report.orders_taken,
            lets_runs_finish=False,
        )
        self._lease.record_order(state.runner.instance)
        self._unanswered_orders.add(state.runner.instance)
        log_event(
            "weights_ordered",
            instance=state.runner.instance,
            model=model,
            version=version,
            token=order.fencing_token,
        )
        self._call(
            state,
            self._world.adapter.order_weights(order),
            ORDER_TIMEOUT_S,
            lambda response: self._on_ordered(response, state, model, version),
        )

    def _on_ordered(
        self, response: HttpResponse | None, state: RunnerState, model: str, version: int
    ) -> None:
        # The order may have arrived as late as now.
        instance = state.runner.instance
        self._lease.record_order(instance)
        self._unanswered_orders.discard(instance)
        if instance not in self._loads:
            self._lease.order_schedule.cancel(instance)
            return
        outcome = (
            None if response is None else self._world.adapter.read_order_outcome(response.status)
        )
        if outcome is OrderOutcome.ACCEPTED:
            return
        if outcome is OrderOutcome.HOLDS_ALREADY:
            self._remove_load(instance)
            self._report_load(state, model, version, is_loaded=True)
            return
        log_warning(
            "order_failed", instance=instance, outcome=None if outcome is None else outcome.value
        )
        if outcome is None:
            # The order may have been accepted or may still be executed; it is repeated if the
            # reports do not show that it was.
            self._world.loop.call_later(ORDER_RETRY_S, lambda: self._allow_retry(instance))
        else:
            self._postpone_load(state, outcome.value)

    def _allow_retry(self, instance: str) -> None:
        load = self._loads.get(instance)
        if load is not None:
            load.is_ordered = False

    def _postpone_load(self, state: RunnerState, reason: str) -> None:
        """Postpone a runner's load, so that another runner can load first."""
        now = self._world.loop.now()
        self._remove_load(state.runner.instance)
        self._not_before[state.runner.instance] = now + 2 * REPORT_INTERVAL_S
        state.loading_until = 0.0
        log_warning("load_put_off", instance=state.runner.instance, reason=reason)

    def _call(
        self,
        state: RunnerState,
        call: HttpCall,
        timeout_s: float,
        on_response: Callable[[HttpResponse | None], None],
    ) -> None:
        """Call a runner; orders need a connection of their own, see :func:`call_runner`."""
        loop, address = self._world.loop, state.runner.address

        def on_control_response(response: HttpResponse | None) -> None:
            record_control_response(self._world, state, response)
            on_response(response)

        if call.method != b"GET":
            call_runner(loop, address, call, timeout_s, on_control_response)
            return
        caller = self._callers.get(address)
        if caller is None:
            caller = self._callers[address] = HttpClient(loop, address, MAXIMUM_CONTROL_BYTES)
        caller.call(call, timeout_s, on_control_response)

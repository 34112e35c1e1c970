"""Bringing runners to the weights that the operator has named: one lease holder, few at a time.

The plan is pure (:mod:`martenrun.router.roll_plan`); :class:`WeightsRoller` carries it out.
Versions that have been overtaken are never ordered.
"""

import math

import attrs

from martenrun.net.http import HttpAnswer
from martenrun.router.lease import Lease
from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import (
    HttpCall,
    LeaseRecord,
    OrderOutcome,
    RunnerReport,
    WeightsOrder,
)
from martenrun.router.peer_messages import LeaseUpdate, WeightsUpdate
from martenrun.router.peers import Peers
from martenrun.router.roll_plan import RollQuestion, lacking, runners_to_order
from martenrun.router.runner_state import RunnerState
from martenrun.router.store_client import HttpClient
from martenrun.router.store_readers import order_by_strength
from martenrun.router.store_state import decode_or_log
from martenrun.router.weights_news import WeightsTeller, take_weights_news
from martenrun.router.world import World

TICK_S = 0.1
"""How often the roll is looked at while runners lack weights, in seconds."""

RANK_DELAY_S = 0.7
"""How much later each next router looks at the lease at all, in seconds."""

REPORT_TIMEOUT_S = 0.4
ORDER_TIMEOUT_S = 0.6
"""How long a runner's answer to the control interface is waited for, in seconds."""

REPORT_INTERVAL_S = 0.2
"""How often a loading runner is asked for its report, in seconds."""

ORDER_AGAIN_S = 1.0
"""Time after an order without effect until it is given again, in seconds."""

STATUS_OK = 200
MS_PER_S = 1000


@attrs.define
class WeightsLoad:
    """A load of weights under way at a runner.

    Attributes:
        instance: the runner's instance.
        model: the model.
        version: the version ordered.
        began_at: steady time from which no new requests are sent to the runner.
        since: steady time of the last step.
        is_ordered: whether an order may have reached the runner.
    """

    instance: str
    model: str
    version: int
    began_at: float
    since: float
    is_ordered: bool = False


class WeightsRoller:
    """Gives the orders of this router while it holds the lease."""

    def __init__(self, world: World, peers: Peers, lease: Lease) -> None:
        self._world = world
        self._peers = peers
        self._lease = lease
        self._loads: dict[str, WeightsLoad] = {}
        self._unanswered_orders: set[str] = set()
        self._not_before: dict[str, float] = {}
        self._needed_since: float | None = None
        self._callers: dict[str, HttpClient] = {}
        self._is_ticking = False
        self._teller = WeightsTeller(world.loop, peers)
        self._ends_at = math.inf
        self._turn_s = world.decisions.roll.first_turn_s

    @property
    def _runs_end_s(self) -> float:
        return self._world.decisions.roll.runs_end_s

    def check(self) -> None:
        """Look whether runners lack weights; called after every change of what is known."""
        if not self._is_ticking:
            self._is_ticking = True
            self._world.loop.call_later(0, self._tick)

    def end_by(self, ends_at: float) -> None:
        """Begin no load that cannot be ordered before a time; give the lease up by then."""
        self._ends_at = ends_at
        self.check()

    def take_release(self, news: LeaseUpdate) -> None:
        """Take in that another router has given the lease up."""
        record = LeaseRecord(
            news.holder, news.fencing_token, released_idle_s=news.idle_ms / MS_PER_S
        )
        self._lease.note_revision(record, news.revision)
        self.check()

    def _tick(self) -> None:
        self._is_ticking = False
        now = self._world.loop.now()
        models = self._models_lacking()
        if self._is_at_its_end(models, now):
            self._lease.release(self._tell_release)
        if not models:
            self._needed_since = None
            for instance in list(self._loads):
                self._end_load(instance)
            return
        if self._needed_since is None:
            self._needed_since = now
        self._pursue_lease(now)
        for model in models:
            self._check_loads(model, self._world.weights.targets[model].version, now)
            if self._lease.is_held():
                self._order_model(model, now)
            else:
                self._drop_unordered(model)
        self._is_ticking = True
        self._world.loop.call_later(TICK_S, self._tick)

    def _pursue_lease(self, now: float) -> None:
        is_held = self._lease.is_held()
        if self._ends_at < math.inf and not is_held:
            return
        rank = 0 if is_held else self._rank()
        if now - (self._needed_since or now) >= RANK_DELAY_S * rank:
            self._lease.pursue(rank)

    def _is_at_its_end(self, models: list[str], now: float) -> bool:
        """Whether this router ends and has nothing more to order."""
        if now >= self._ends_at or self._ends_at == math.inf:
            return now >= self._ends_at
        may_begin = bool(models) and now + self._runs_end_s <= self._ends_at
        return not may_begin and all(load.is_ordered for load in self._loads.values())

    def _tell_release(self, record: LeaseRecord, revision: int) -> None:
        idle_ms = round((record.released_idle_s or 0.0) * MS_PER_S)
        self._peers.broadcast(LeaseUpdate(record.holder, record.fencing_token, revision, idle_ms))

    def _models_lacking(self) -> list[str]:
        states = self._world.pool.all_states()
        wanted = self._world.weights.targets
        return [name for name, item in wanted.items() if lacking(states, name, item.version)]

    def _rank(self) -> int:
        """Return this router's place among the living: the last holder, then by hashing."""
        own = self._peers.own
        candidates = [own]
        candidates += [
            record for record in self._peers.live() if record.is_current and not record.is_leaving
        ]
        living = order_by_strength(b"weights", {item.address: item.capacity for item in candidates})
        last = self._lease.last_router()
        if last is not None and last in living:
            living.remove(last)
            living.insert(0, last)
        return living.index(own.address)

    def _order_model(self, model: str, now: float) -> None:
        version = self._world.weights.targets[model].version
        question = RollQuestion(
            model=model,
            version=version,
            loading=set(self._loads),
            not_before=self._earliest_loads(model),
            now=now,
            figures=self._world.decisions.roll,
            turn_s=self._turn_s,
            namings=self._world.weights.known_versions(model),
            bound_s=self._world.old_weights_bound_s,
            ends_at=self._ends_at,
        )
        states = runners_to_order(question, self._world.pool.all_states())
        instances = [state.runner.instance for state in states]
        for instance, state in zip(instances, states, strict=True):
            self._loads[instance] = WeightsLoad(instance, model, version, now, now)
            log_event("load_begun", instance=instance, model=model, version=version)
            self._tell(state, model, version, is_loaded=False)
        if states:
            self._lease.reserve(instances, lambda done: self._on_reserved(states, model, done))

    def _earliest_loads(self, model: str) -> dict[str, float]:
        """Return the times before which loads at runners are not begun.

        A runner that an earlier holder may have ordered stays in service until its runs have to end
        for this router's order.
        """
        earliest = dict(self._not_before)
        for state in lacking(
            self._world.pool.all_states(), model, self._world.weights.targets[model].version
        ):
            instance = state.runner.instance
            from_turn = self._lease.turns.orders_from(instance) - self._runs_end_s
            earliest[instance] = max(from_turn, earliest.get(instance, 0.0))
        return earliest

    def _on_reserved(self, states: list[RunnerState], model: str, is_done: bool) -> None:
        """Go on with loads once the lease object names their runners."""
        for state in states:
            if state.runner.instance not in self._loads:
                continue
            if is_done:
                self._ask_report(state, model)
            else:
                self._drop(state, "not_reserved")

    def _drop_unordered(self, model: str) -> None:
        """Give up loads that this router may not order any more."""
        for instance, load in list(self._loads.items()):
            if load.model == model and not load.is_ordered:
                self._end_load(instance)

    def _end_load(self, instance: str) -> WeightsLoad | None:
        """Forget a load; its runner is ordered again only after it is reserved anew."""
        if instance not in self._unanswered_orders:
            self._lease.turns.finish(instance)
        return self._loads.pop(instance, None)

    def _check_loads(self, model: str, version: int, now: float) -> None:
        for instance, load in list(self._loads.items()):
            if load.model != model:
                continue
            state = self._world.pool.state(instance)
            has = None if state is None else state.weights_version(model)
            if state is None or (has is not None and has >= version):
                self._note_done(instance, now)
            elif not load.is_ordered and not self._lease.turns.is_reserved(instance):
                self._drop(state, "not_reserved")
            elif now - load.since >= REPORT_INTERVAL_S:
                load.since = now
                self._ask_report(state, model)

    def _note_done(self, instance: str, now: float) -> None:
        """Take in that a load is over; learn how long loads take."""
        load = self._end_load(instance)
        if load is not None and load.is_ordered:
            weight_of_new = self._world.decisions.roll.turn_weight
            self._turn_s += weight_of_new * (now - load.began_at - self._turn_s)

    def _tell(self, state: RunnerState, model: str, version: int, is_loaded: bool) -> None:
        """Take in what a runner does now, and tell it to all routers in a moment."""
        instance = state.runner.instance
        take_weights_news(self._world, WeightsUpdate([instance], model, version, is_loaded))
        self._teller.tell(instance, model, version, is_loaded)

    def _ask_report(self, state: RunnerState, model: str) -> None:
        self._call(
            state,
            self._world.dialect.ask_report(),
            REPORT_TIMEOUT_S,
            lambda answer: self._on_report(answer, state, model),
        )

    def _on_report(self, answer: HttpAnswer | None, state: RunnerState, model: str) -> None:
        instance = state.runner.instance
        load = self._loads.get(instance)
        wanted = self._world.weights.targets[model].version
        if load is None:
            return
        if answer is None or answer.status != STATUS_OK:
            self._drop(state, "no_report")
            return
        report = decode_or_log(answer.body, self._world.dialect.read_report)
        if report is None:
            self._drop(state, "report_unreadable")
            return
        if report.born_ms != state.runner.born_ms and report.born_ms is not None:
            # It has started anew and its entry does not tell yet: its orders are counted anew.
            self._drop(state, "started_again")
            return
        has = report.weights.get(model, 0)
        if has >= load.version:
            self._note_done(instance, self._world.loop.now())
            log_event("load_done", instance=instance, model=model, version=has)
            self._tell(state, model, has, is_loaded=has >= wanted)
        elif not report.is_loading and not load.is_ordered and self._may_order(load, report):
            self._order(state, model, wanted, report)

    def _may_order(self, load: WeightsLoad, report: RunnerReport) -> bool:
        """Whether the runner's runs have ended, or have had their time to end."""
        now = self._world.loop.now()
        if not self._lease.may_order(load.instance):
            return False
        return report.active == 0 or now - load.began_at >= self._runs_end_s

    def _order(self, state: RunnerState, model: str, version: int, report: RunnerReport) -> None:
        if not self._lease.may_order(state.runner.instance):
            self._end_load(state.runner.instance)
            return
        load = self._loads[state.runner.instance]
        load.version = version
        load.is_ordered = True
        load.since = self._world.loop.now() + REPORT_INTERVAL_S
        order = WeightsOrder(
            runner=state.runner.name,
            model=model,
            version=version,
            holder=self._peers.own.address,
            fencing_token=self._lease.fencing_token,
            expected_orders=report.orders_taken,
            lets_runs_finish=False,
        )
        self._lease.note_order(state.runner.instance)
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
            self._world.dialect.order_weights(order),
            ORDER_TIMEOUT_S,
            lambda answer: self._on_ordered(answer, state, model, version),
        )

    def _on_ordered(
        self, answer: HttpAnswer | None, state: RunnerState, model: str, version: int
    ) -> None:
        # It may have arrived as late as this.
        instance = state.runner.instance
        self._lease.note_order(instance)
        self._unanswered_orders.discard(instance)
        if instance not in self._loads:
            self._lease.turns.finish(instance)
            return
        outcome = None if answer is None else self._world.dialect.read_order_outcome(answer.status)
        if outcome is OrderOutcome.ACCEPTED:
            return
        if outcome is OrderOutcome.HOLDS_ALREADY:
            self._end_load(instance)
            self._tell(state, model, version, is_loaded=True)
            return
        log_trouble(
            "order_failed", instance=instance, outcome=None if outcome is None else outcome.value
        )
        if outcome is None:
            # It may have been taken, or be carried out later: reports tell, then it is repeated.
            self._world.loop.call_later(ORDER_AGAIN_S, lambda: self._allow_again(instance))
        else:
            self._drop(state, outcome.value)

    def _allow_again(self, instance: str) -> None:
        load = self._loads.get(instance)
        if load is not None:
            load.is_ordered = False

    def _drop(self, state: RunnerState, reason: str) -> None:
        """Give a runner's place to another for a moment."""
        now = self._world.loop.now()
        self._end_load(state.runner.instance)
        self._not_before[state.runner.instance] = now + 2 * REPORT_INTERVAL_S
        state.loading_until = 0.0
        log_trouble("load_put_off", instance=state.runner.instance, reason=reason)

    def _call(self, state, call: HttpCall, timeout_s: float, on_answer) -> None:  # type: ignore[no-untyped-def]
        address = state.runner.address
        caller = self._callers.get(address)
        if caller is None:
            caller = self._callers[address] = HttpClient(self._world.loop, address)
        caller.call(call, timeout_s, on_answer)

"""Decision logic of the node that moves runners between scaled pools.

It follows the pools' pressure, and carries out one decision at a time by the ``scaling`` chart:
settle the decision before, wait until the configuration here shows it, choose, record the
choice, write the assignment.  Everything is compare-and-swap, so a second deciding node, or one
that was paused, finds itself overtaken.  Without the object API nothing moves.

See also: ``statecharts/scaling.toml``, :mod:`martenrun.scaling.record`, docs/design/scaling.md.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from martenrun.configuration.objects import Assignment, AssignmentOrigin, Kind, encode_document
from martenrun.configuration.state import ConfigurationState
from martenrun.events import (
    Event,
    Instruction,
    StoreAnswered,
    StoreOutcome,
    StoreRead,
    StoreWrite,
    Tick,
)
from martenrun.node.runners import RunnerTable
from martenrun.scaling.choice import Choice
from martenrun.scaling.demand import DemandExchange
from martenrun.scaling.record import AS_LISTED, RECORD_KIND, RECORD_NAME, Decision
from martenrun.scaling.watch import PoolStatus, PoolWatch
from martenrun.statecharts.compiler import load_chart

LOOK_INTERVAL_S = 1.0
"""Time between two looks at the figures, in seconds."""

CALL_TIMEOUT_S = 30.0
"""A call of the object API unanswered for so long counts as lost, in seconds."""

SYNCHRONIZATION_S = 30.0
"""How long to wait for the configuration to show the decision before, in seconds."""

DECISION_LIFETIME_S = 20.0
"""A decision that took longer to record is not carried out, in seconds."""

BACK_OFF_S = 2.0
"""Least pause after a call that failed, in seconds; up to twice as long."""

_CHART = load_chart("scaling")


@dataclass(slots=True)
class _Call:
    """The call of the object API in progress."""

    call_id: str
    sent_at: float


class ScalingLogic:
    """Decides on moves while this node is the deciding one.

    Args:
        holder: identity of this run of the node.
        exchange: tells whether this node decides, and the pools' demand.
        table: the node's runners.
        configuration: the configuration in force.
        rng: for jitter.
    """

    handles = frozenset({Tick, StoreAnswered})

    def __init__(
        self,
        holder: str,
        exchange: DemandExchange,
        table: RunnerTable,
        configuration: ConfigurationState,
        rng: random.Random,
    ) -> None:
        self.state = _CHART.initial
        self.moves = 0
        self.statuses: tuple[PoolStatus, ...] = ()
        """Accounts of the pools; replaced, never changed, so threads may read it."""
        self._holder = holder
        self._exchange = exchange
        self._table = table
        self._configuration = configuration
        self._rng = rng
        self._watch = PoolWatch(table)
        self._calls = 0
        self._call: _Call | None = None
        self._next_look = 0.0
        self._next_try = 0.0
        self._entered_at = 0.0
        self._choice: Choice | None = None
        self._decision: Decision | None = None
        self._decided_at = float("-inf")
        self._record_version = 0
        self._settled_change = ""
        self._must_settle = True
        self._needed: tuple[str, int] = ("", 0)
        self._actions: dict[str, Callable[[float], list[Instruction]]] = {
            "read_record": self._read_record,
            "settle_record": self._settle_record,
            "note_settled": self._note_settled,
            "record_decision": self._record_decision,
            "write_assignment": self._write_assignment,
            "back_off": self._back_off,
        }

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case Tick() if now >= self._next_look:
                self._next_look = now + LOOK_INTERVAL_S
                return self._look(now)
            case StoreAnswered():
                return self._answered(event, now)
        return []

    def _look(self, now: float) -> list[Instruction]:
        view = self._configuration.view
        if not any(pool.scaling for pool in view.pools.values()) or not self._exchange.is_decider:
            self._resign()
            return []
        self._watch.observe(view, self._exchange.zones(now), now)
        self.statuses = self._watch.statuses()
        if self._call is not None:
            is_lost = now - self._call.sent_at >= CALL_TIMEOUT_S
            return self._step("call_failed", now) if is_lost else []
        if self.state == "synchronizing":
            return self._synchronize(now)
        if self.state != _CHART.initial or now < self._next_try:
            return []
        is_due = self._must_settle or self._watch.choose(view, now) is not None
        return self._step("decision_due", now) if is_due else []

    def _resign(self) -> None:
        """Forget everything; what is on its way is settled by whoever decides next."""
        self.state = _CHART.initial
        self._call = None
        self._must_settle = True
        if self.statuses:
            self._watch = PoolWatch(self._table)
            self.statuses = ()

    def _synchronize(self, now: float) -> list[Instruction]:
        if not self._is_current():
            is_over = now - self._entered_at >= SYNCHRONIZATION_S
            return self._step("time_over", now) if is_over else []
        self._choice = self._watch.choose(self._configuration.view, now)
        return self._step("nothing_chosen" if self._choice is None else "move_chosen", now)

    def _is_current(self) -> bool:
        """Whether configuration and table show the decision before."""
        runner, version = self._needed
        known = self._table.runners.get(runner)
        if self._configuration.revision < version or known is None:
            return self._configuration.revision >= version
        listed = self._table.listed_pool(runner)
        return known.pool == self._configuration.view.pool_of_runner(runner, listed)

    # Answers of the object API.

    def _answered(self, answer: StoreAnswered, now: float) -> list[Instruction]:
        if self._call is None or self._call.call_id != answer.call_id:
            return []
        self._call = None
        if answer.outcome is StoreOutcome.UNKNOWN:
            return self._step("call_failed", now)
        match self.state:
            case "reading":
                return self._record_read(answer, now)
            case "recording" if answer.outcome is not StoreOutcome.DONE:
                return self._step("decision_overtaken", now)
            case "recording":
                self._record_version = answer.version
                is_fresh = now - self._decided_at < DECISION_LIFETIME_S
                return self._step("decision_recorded" if is_fresh else "decision_stale", now)
        assert self._decision is not None
        self._needed = (self._decision.runner, answer.version)
        return self._step("assignment_decided", now)

    def _record_read(self, answer: StoreAnswered, now: float) -> list[Instruction]:
        self._record_version = answer.version
        if answer.found is None or answer.found.deleted:
            self._record_version = 0
            self._must_settle = False
            return self._step("record_settled", now)
        self._decision = msgspec.json.decode(answer.found.document, type=Decision)
        is_settled = self._decision.change == self._settled_change
        return self._step("record_settled" if is_settled else "record_unsettled", now)

    # The chart and its actions.

    def _step(self, event: str, now: float) -> list[Instruction]:
        transition = _CHART.step(self.state, event)
        if transition is None:
            return []
        self.state = transition.next_state
        self._entered_at = now
        instructions: list[Instruction] = []
        for action in transition.actions:
            instructions += self._actions[action](now)
        return instructions

    def _begin_call(self, now: float) -> str:
        self._calls += 1
        self._call = _Call(f"scaling/{self._holder}/{self._calls}", now)
        return self._call.call_id

    def _read_record(self, now: float) -> list[Instruction]:
        return [StoreRead(self._begin_call(now), RECORD_KIND, RECORD_NAME)]

    def _settle_record(self, now: float) -> list[Instruction]:
        """Carry an own decision out again if it is fresh; make sure that others never are."""
        decision = self._decision
        assert decision is not None
        is_own = decision.change.startswith(f"{self._holder}/")
        is_fresh = now - self._decided_at < DECISION_LIFETIME_S
        return self._assign(
            decision, decision.after if is_own and is_fresh else decision.before, now
        )

    def _note_settled(self, now: float) -> list[Instruction]:
        assert self._decision is not None
        self._settled_change = self._decision.change
        self._must_settle = False
        return []

    def _record_decision(self, now: float) -> list[Instruction]:
        choice = self._choice
        assert choice is not None
        before = self._configuration.view.assignments.get(choice.runner)
        expected = self._configuration.revision_of(Kind.ASSIGNMENT, choice.runner)
        listed = self._table.listed_pool(choice.runner)
        after = Assignment(
            pool=None if choice.pool == listed else choice.pool,
            left_pool=choice.left_pool,
            made_by=AssignmentOrigin.SCALING,
            reason=choice.reason,
        )
        self.moves += 1
        self._decided_at = now
        self._must_settle = True
        self._decision = Decision(
            f"{self._holder}/{self.moves}",
            choice.runner,
            0 if before is None else expected,
            before or AS_LISTED,
            after,
        )
        document = msgspec.json.encode(self._decision)
        call_id = self._begin_call(now)
        return [StoreWrite(call_id, RECORD_KIND, RECORD_NAME, self._record_version, document)]

    def _write_assignment(self, now: float) -> list[Instruction]:
        assert self._decision is not None and self._choice is not None
        self._watch.decided(self._choice, now)
        return self._assign(self._decision, self._decision.after, now)

    def _assign(self, decision: Decision, document: Assignment, now: float) -> list[Instruction]:
        return [
            StoreWrite(
                self._begin_call(now),
                Kind.ASSIGNMENT.value,
                decision.runner,
                decision.expected,
                encode_document(document),
            )
        ]

    def _back_off(self, now: float) -> list[Instruction]:
        self._call = None
        self._must_settle = True
        self._next_try = now + BACK_OFF_S * self._rng.uniform(1.0, 2.0)
        return []

"""Decision logic of requests at an agent (or a node's front), from arrival to final answer.

Each request is an instance of the ``request`` state chart.  This module turns events into
the chart's events and carries out the chart's actions as instructions.

See also: ``statecharts/request.toml``, :mod:`martenrun.edge.forward`.
"""

import random
from collections.abc import Callable

from martenrun.agent.active import REPEAT_SHARE, RETRY_AFTER_S, ActiveRequest, later_ran
from martenrun.agent.home_nodes import HomeNodes
from martenrun.agent.messages import (
    attempt_report,
    claim_report,
    declined,
    question_message,
    runner_leaves,
    weights_changed,
    withdrawal,
)
from martenrun.agent.retry import RetryBudget, pause_s
from martenrun.backends.engine import AttemptOutcome
from martenrun.constants import DECISION_TIMEOUT_S, RESUME_WINDOW_S
from martenrun.errors import (
    DeadlineExceededError,
    InvalidKeyError,
    MartenrunError,
    NodeUnavailableError,
    NotReadyError,
    Ran,
    StoppingError,
    UnknownModelError,
)
from martenrun.events import (
    AttemptEnded,
    CallerGone,
    Event,
    Finish,
    Instruction,
    PeerDisconnected,
    PeerMessage,
    RequestArrived,
    RunAttempt,
    Tick,
)
from martenrun.ownership.stall import StallDetector
from martenrun.statecharts.compiler import load_chart
from martenrun.wire.messages import Grant, Queued, Refusal

MAXIMUM_ATTEMPTS = 4
"""Attempts at engines for one request, the first included."""

NODE_SEARCH_S = 4.0
"""How long nodes are asked again after each of them has been silent or not ready, in seconds."""

ROUND_PAUSE_S = 0.25
"""Mean pause before the nodes are asked once more, in seconds."""

LATER_PATIENCE = 2
"""How many times longer nodes may take to answer once all have been asked in vain.

A network that delays every answer past the first time-out would else let no answer count.
"""

LATE_PATIENCE = 4
"""How many times longer a node may take that has answered the same request too late before."""

_UNABLE_CODES = frozenset({StoppingError.code, NotReadyError.code})
"""Refusals of a node that can not judge the question."""

_CONTRARY_CODES = frozenset({UnknownModelError.code, InvalidKeyError.code})
"""Refusals that contradict this edge's configuration: one of the two copies is older."""

_CHART = load_chart("request")


class RequestsLogic:
    """All requests in progress at one edge.

    Args:
        live_nodes: returns the addresses of nodes that may be asked.
        rng: source of jitter.
        is_leaving: whether this edge's own machine list, if it has one, shows a runner as
            leaving; the list of the node that granted it may be older.
    """

    handles = frozenset(
        {Tick, RequestArrived, AttemptEnded, CallerGone, PeerDisconnected}
        | {Grant, Refusal, Queued}
    )

    def __init__(
        self,
        live_nodes: Callable[[], list[str]],
        rng: random.Random | None = None,
        is_leaving: Callable[[str], bool] = lambda runner: False,
    ) -> None:
        self._is_leaving = is_leaving
        self._home_nodes = HomeNodes(live_nodes)
        self._rng = rng or random.Random()
        self._budget = RetryBudget()
        self._active: dict[str, ActiveRequest] = {}
        self._stall = StallDetector()
        self._actions: dict[str, Callable[[ActiveRequest, float], list[Instruction]]] = {
            "run_attempt": self._run_attempt,
            "wait_longer": self._wait_longer,
            "answer_refusal": self._answer_refusal,
            "withdraw": self._withdraw,
            "repeat_question": self._repeat_question,
            "ask_next_node": self._ask_next_node,
            "ask_other_node": self._ask_other_node,
            "plan_round": self._plan_round,
            "answer_node_unavailable": self._answer_node_unavailable,
            "answer_deadline": self._answer_deadline,
            "report": self._report,
            "answer_complete": self._answer_complete,
            "exclude_runner": self._exclude_runner,
            "pause": self._pause,
            "ask_again": self._ask_again,
            "answer_failure": self._answer_failure,
        }

    @property
    def active_count(self) -> int:
        """Number of requests without a final answer."""
        return len(self._active)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        anew = self._ask_anew(now) if self._stall.is_stalled(now) else []
        return anew + self._handled(event, now)

    def _ask_anew(self, now: float) -> list[Instruction]:
        """After a pause, replace every open question; answers to the old ones are declined."""
        steps = [self._step(name, "stalled", now) for name, _ in self._deciding()]
        return [instruction for step in steps for instruction in step]

    def _deciding(self) -> list[tuple[str, ActiveRequest]]:
        return [(name, held) for name, held in self._active.items() if held.state == "deciding"]

    def _disconnected(self, peer: str, now: float) -> list[Instruction]:
        """Ask the next node what was asked over a connection that has ended."""
        instructions: list[Instruction] = []
        for name, request in self._deciding():
            if request.nodes[:1] == [peer]:
                instructions += self._step(name, self._unanswered_event(request, now), now)
        return instructions

    def _unanswered_event(self, request: ActiveRequest, now: float) -> str:
        """Return the chart event when the node asked can not be expected to answer."""
        return "node_silent" if len(request.nodes) > 1 else self._search_event(request, now)

    def _handled(self, event: Event, now: float) -> list[Instruction]:
        match event:
            case RequestArrived():
                return self._arrived(event, now)
            case PeerMessage(peer, Grant() | Refusal() | Queued() as answer):
                return self._answered(peer, answer, now)
            case AttemptEnded():
                return self._attempt_ended(event, now)
            case CallerGone():
                return self._caller_gone(event.request_id, now)
            case PeerDisconnected(peer):
                return self._disconnected(peer, now)
            case Tick():
                return self._check_times(now)
            case _:
                return []

    def _arrived(self, event: RequestArrived, now: float) -> list[Instruction]:
        question = event.question
        request = ActiveRequest(
            question,
            event.repeatable,
            _CHART.initial,
            self._home_nodes.ranked(question, now),
            now + question.deadline_s,
        )
        self._active[question.request_id] = request
        self._budget.earn()
        if not request.nodes:
            return self._step(question.request_id, "no_node_left", now)
        return self._ask(request, now)

    def _answered(
        self, peer: str, answer: Grant | Refusal | Queued, now: float
    ) -> list[Instruction]:
        self._home_nodes.heard(peer)
        request = self._active.get(answer.request_id)
        if request is None or answer.attempt != request.attempt:
            if request is not None:
                request.note_late(peer, answer.attempt)
            return declined(peer, answer)
        if request.state == "pausing":
            return declined(peer, answer)
        if request.state != "deciding":
            return []  # The same answer again.
        if isinstance(answer, Grant):
            if self._is_leaving(answer.runner):
                return declined(peer, answer) + self._grant_stale(request, answer, now)
            if request.weights_differ(answer):
                request.refusal = weights_changed(answer)
                return declined(peer, answer) + self._step(answer.request_id, "refused", now)
            request.grant = answer
            return self._step(answer.request_id, "granted", now)
        if isinstance(answer, Queued):
            return self._step(answer.request_id, "queued", now)
        request.refusal = answer
        return self._step(answer.request_id, self._refused_event(request, answer, now), now)

    def _grant_stale(self, request: ActiveRequest, grant: Grant, now: float) -> list[Instruction]:
        """Ask for another runner; one that is granted again although excluded is the last."""
        if grant.runner in request.excluded:
            request.refusal = runner_leaves(grant)
            return self._step(grant.request_id, "refused", now)
        request.excluded.append(grant.runner)
        return self._step(grant.request_id, "grant_stale", now)

    def _refused_event(self, request: ActiveRequest, refusal: Refusal, now: float) -> str:
        """Return the chart event for a node's refusal."""
        is_last = len(request.nodes) <= 1
        if refusal.code in _UNABLE_CODES:
            return self._search_event(request, now) if is_last else "node_unable"
        if refusal.code in _CONTRARY_CODES and not is_last:
            return "node_contrary"
        return "refused"

    def _search_event(self, request: ActiveRequest, now: float) -> str:
        """Return the chart event when no node is left to ask in this round."""
        if request.search_until == 0.0:
            request.search_until = now + NODE_SEARCH_S
        is_over = now + ROUND_PAUSE_S >= request.search_end()
        return "no_node_left" if is_over else "round_over"

    def _attempt_ended(self, event: AttemptEnded, now: float) -> list[Instruction]:
        request = self._active.get(event.request_id)
        if request is None or event.attempt != request.attempt:
            return []
        request.take_result(event.result)
        request.first_token_s = event.first_token_s
        request.can_resume = event.can_resume
        return self._step(event.request_id, self._classified(request, now), now)

    def _caller_gone(self, request_id: str, now: float) -> list[Instruction]:
        request = self._active.get(request_id)
        if request is not None and request.state == "running":
            request.ran = later_ran(request.ran, Ran.UNKNOWN)
        return self._step(request_id, "caller_gone", now)

    def _classified(self, request: ActiveRequest, now: float) -> str:
        """Return the chart event for the attempt's outcome."""
        assert request.result is not None
        outcome = request.result.outcome
        if outcome is AttemptOutcome.COMPLETE:
            return "completed"
        if request.attempts >= MAXIMUM_ATTEMPTS or not request.may_run_again():
            return "failed"
        if outcome is AttemptOutcome.BROKEN:
            request.deadline = max(request.deadline, now + RESUME_WINDOW_S)
            return "may_resume"
        if now >= request.deadline or not self._budget.spend():
            return "failed"
        return "may_retry"

    def _check_times(self, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for request_id, request in list(self._active.items()):
            event = self._due_event(request, now)
            if event:
                instructions += self._step(request_id, event, now)
        return instructions

    def _due_event(self, request: ActiveRequest, now: float) -> str:
        """Return the chart event that time alone causes, or an empty string."""
        if request.state == "running":
            return ""
        if now >= request.deadline:
            return "deadline_passed"
        if request.state == "pausing":
            return "pause_over" if now >= request.resume_at else ""
        if now < request.asked_until:
            return "answer_late" if now >= request.repeat_at else ""
        return self._unanswered_event(request, now)

    def _step(self, request_id: str, event: str, now: float) -> list[Instruction]:
        request = self._active.get(request_id)
        if request is None:
            return []
        transition = _CHART.step(request.state, event)
        if transition is None:
            return []
        request.state = transition.next_state
        instructions: list[Instruction] = []
        for action in transition.actions:
            instructions += self._actions[action](request, now)
        if request.state in _CHART.final:
            self._active.pop(request_id, None)
            instructions += claim_report(request)
        return instructions

    def _ask(self, request: ActiveRequest, now: float) -> list[Instruction]:
        request.attempt += 1
        self._await_answer(request, now, self._home_nodes.patience_s(request.nodes))
        return [question_message(request, now)]

    @staticmethod
    def _await_answer(request: ActiveRequest, now: float, patience_s: float) -> None:
        later = LATER_PATIENCE if request.rounds else 1
        is_late = request.nodes[0] in request.late_nodes
        request.await_answer(now, patience_s, LATE_PATIENCE if is_late else later)

    def _repeat_question(self, request: ActiveRequest, now: float) -> list[Instruction]:
        """Send the same question once more: it or its answer may have been lost."""
        request.repeat_at = now + REPEAT_SHARE * DECISION_TIMEOUT_S
        return [question_message(request, now)]

    def _run_attempt(self, request: ActiveRequest, now: float) -> list[Instruction]:
        assert request.grant is not None
        request.result = None
        request.search_until = 0.0
        request.rounds = 0
        request.late_nodes.clear()
        request.asked.clear()
        return [RunAttempt(request.question.request_id, request.grant)]

    def _wait_longer(self, request: ActiveRequest, now: float) -> list[Instruction]:
        request.search_until = 0.0
        self._await_answer(request, now, DECISION_TIMEOUT_S)
        return []

    def _withdraw(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return withdrawal(request)

    def _ask_next_node(self, request: ActiveRequest, now: float) -> list[Instruction]:
        silent = request.nodes.pop(0)
        self._home_nodes.silent(silent, now)
        request.asked.append(silent)
        # What other questions have met meanwhile counts.
        ranked = self._home_nodes.ranked(request.question, now, request.asked)
        request.nodes = ranked or request.nodes
        return self._ask(request, now)

    def _ask_other_node(self, request: ActiveRequest, now: float) -> list[Instruction]:
        request.nodes.pop(0)
        return self._ask(request, now)

    def _plan_round(self, request: ActiveRequest, now: float) -> list[Instruction]:
        self._home_nodes.silent(request.nodes[0], now)
        request.asked.clear()
        request.rounds += 1
        request.nodes = self._home_nodes.ranked(request.question, now) or request.nodes
        pause_s = ROUND_PAUSE_S * self._rng.uniform(0.5, 1.5)
        request.resume_at = min(now + pause_s, request.search_end())
        return []

    def _ask_again(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return self._ask(request, now)

    def _exclude_runner(self, request: ActiveRequest, now: float) -> list[Instruction]:
        assert request.grant is not None
        request.excluded.append(request.grant.runner)
        return []

    def _report(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return [attempt_report(request)]

    def _pause(self, request: ActiveRequest, now: float) -> list[Instruction]:
        request.resume_at = now + pause_s(request.attempts, self._rng)
        return []

    @staticmethod
    def _refuse(request: ActiveRequest, error: MartenrunError) -> list[Instruction]:
        told = request.told(error)
        request.ran = told.ran
        return [Finish(request.question.request_id, told)]

    def _answer_complete(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return [Finish(request.question.request_id, None, request.result)]

    def _answer_refusal(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return self._refuse(request, request.refusal_error())

    def _answer_node_unavailable(self, request: ActiveRequest, now: float) -> list[Instruction]:
        if request.nodes:
            self._home_nodes.silent(request.nodes[0], now)
        if request.refusal is not None and request.refusal.code in _UNABLE_CODES:
            return self._refuse(request, request.refusal_error())
        error = NodeUnavailableError("no node answered in time", retry_after_s=RETRY_AFTER_S)
        return self._refuse(request, error)

    def _answer_deadline(self, request: ActiveRequest, now: float) -> list[Instruction]:
        if request.search_until > 0.0:
            return self._answer_node_unavailable(request, now)
        error = DeadlineExceededError("the deadline passed in the queue")
        return self._refuse(request, error)

    def _answer_failure(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return self._refuse(request, request.failure_error(now))

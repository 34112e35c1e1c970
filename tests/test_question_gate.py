"""Questions that reach a node that leaves or has only just started."""

import random

import pytest

from martenrun.agent.requests import LATER_PATIENCE, NODE_SEARCH_S, RequestsLogic
from martenrun.configuration.view import ConfigurationView
from martenrun.constants import DECISION_TIMEOUT_S, TICK_INTERVAL_S
from martenrun.errors import NotReadyError
from martenrun.events import Finish, PeerMessage, RequestArrived, Tick
from martenrun.node.question_gate import QuestionGate, readiness_fault
from martenrun.wire.messages import DecideRequest, Refusal


class Recorder:
    def __init__(self):
        self.events = []

    def handle(self, event, now):
        self.events.append(event)
        return []


def test_only_a_leaving_node_refuses_and_only_others_questions():
    part, leaving = Recorder(), [False]
    gate = QuestionGate([part], "node", lambda: leaving[0], lambda: None)
    question = DecideRequest("r", attempt=1)
    assert gate.handle(PeerMessage("agent/a", question), 0.0) == []
    leaving[0] = True
    (refusal,) = gate.handle(PeerMessage("agent/a", question), 0.0)
    assert (refusal.peer, refusal.message.code, refusal.message.ran) == (
        "agent/a",
        "stopping",
        "no",
    )
    gate.handle(PeerMessage("node", question), 0.0)
    assert len(part.events) == 2


@pytest.mark.parametrize(("revision", "is_listed"), [(0, True), (5, False), (0, False)])
def test_a_node_that_knows_nothing_yet_judges_no_question(revision, is_listed):
    part = Recorder()
    gate = QuestionGate([part], "n", lambda: False, lambda: readiness_fault(revision, is_listed))
    for peer in ("agent/a", "n"):
        (refusal,) = gate.handle(PeerMessage(peer, DecideRequest("r", attempt=1)), 0.0)
        assert (refusal.message.code, refusal.message.ran) == ("not_ready", "no")
        assert refusal.message.retry_after_s > 0
    assert part.events == []
    assert readiness_fault(5, True) is None


@pytest.mark.parametrize(
    "look_up",
    [
        lambda view: view.key_of("unknown"),
        lambda view: view.tenant("unknown"),
        lambda view: view.route("unknown", "model"),
        lambda view: view.routes("unknown"),
    ],
)
def test_an_empty_view_says_nothing_of_keys_tenants_or_models(look_up):
    with pytest.raises(NotReadyError):
        look_up(ConfigurationView())


class Agent:
    """An agent's requests with one question open, and the nodes it has asked."""

    def __init__(self, *nodes, seed=1):
        self.logic = RequestsLogic(lambda: list(nodes), random.Random(seed))
        self.asked, self.finished, self.now = [], [], 0.0
        self.last_asked_at = 0.0
        self.take(self.logic.handle(RequestArrived(DecideRequest("r", deadline_s=30.0), True), 0.0))

    def take(self, instructions):
        for instruction in instructions:
            if isinstance(instruction, Finish):
                self.finished.append(instruction.error.code)
            elif isinstance(
                instruction.message, DecideRequest
            ) and instruction.message.attempt > len(self.asked):
                self.asked.append(instruction.peer)
                self.last_asked_at = self.now

    def refused(self, code):
        refusal = Refusal("r", len(self.asked), code, "", "", "no", 1.0)
        self.take(self.logic.handle(PeerMessage(self.asked[-1], refusal), self.now))

    def pass_time(self, seconds):
        for _ in range(int(seconds / 0.05)):
            self.now += 0.05
            self.take(self.logic.handle(Tick(), self.now))


@pytest.mark.parametrize("code", ["stopping", "not_ready", "model_not_found", "invalid_api_key"])
def test_an_agent_asks_the_next_node_at_once(code):
    agent = Agent("a", "b")
    agent.refused(code)
    assert sorted(agent.asked) == ["a", "b"]
    assert agent.finished == []


@pytest.mark.parametrize("code", ["model_not_found", "invalid_api_key"])
def test_what_every_node_says_of_the_configuration_is_final(code):
    agent = Agent("a", "b")
    agent.refused(code), agent.refused(code)
    assert agent.finished == [code]


@pytest.mark.parametrize("seed", range(20))
def test_nodes_that_all_start_are_asked_again_and_for_a_bounded_time(seed):
    agent = Agent("a", "b", seed=seed)
    agent.refused("not_ready"), agent.refused("not_ready")
    assert agent.finished == []
    agent.pass_time(0.5)
    assert len(agent.asked) == 3
    while not agent.finished and agent.now < 30.0:
        agent.refused("not_ready")
        agent.pass_time(0.05)
    assert agent.finished == ["not_ready"]
    # The last round begins in time, a tick late at most; its two nodes answer one tick apart.
    assert agent.last_asked_at <= NODE_SEARCH_S + 2.01 * TICK_INTERVAL_S


def test_silent_nodes_are_asked_again_and_for_a_bounded_time():
    agent = Agent("a", "b")
    agent.pass_time(2 * DECISION_TIMEOUT_S + 0.5)
    assert len(agent.asked) == 3
    agent.pass_time(NODE_SEARCH_S + LATER_PATIENCE * DECISION_TIMEOUT_S)
    assert agent.finished == ["node_unavailable"]

"""Questions that reach a node after it has begun to leave."""

from martenrun.agent.requests import RequestsLogic
from martenrun.events import PeerMessage, RequestArrived, Send
from martenrun.node.late_questions import LateQuestions
from martenrun.wire.messages import DecideRequest, Refusal


class Recorder:
    def __init__(self):
        self.events = []

    def handle(self, event, now):
        self.events.append(event)
        return []


def test_only_a_leaving_node_refuses_and_only_others_questions():
    part, leaving = Recorder(), [False]
    gate = LateQuestions([part], "node", lambda: leaving[0])
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


def test_an_agent_asks_the_next_node_at_once():
    logic = RequestsLogic(lambda: ["a", "b"])
    question = DecideRequest("r", deadline_s=10.0)
    (first,) = logic.handle(RequestArrived(question, True), 0.0)
    refusal = Refusal("r", 1, "stopping", "", "", "no", 1.0)
    sent = logic.handle(PeerMessage(first.peer, refusal), 0.1)
    questions = [i for i in sent if isinstance(i, Send) and isinstance(i.message, DecideRequest)]
    assert [instruction.peer for instruction in questions] == list({"a", "b"} - {first.peer})

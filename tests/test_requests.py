"""A request's life at the agent: silence, retries, resuming, late answers, true errors."""

import random

import pytest

from martenrun.agent.home_nodes import NODES_ASKED, RISK_TIMEOUT_S, SILENT_RETRY_S
from martenrun.agent.requests import (
    LATE_PATIENCE,
    MAXIMUM_ATTEMPTS,
    NODE_SEARCH_S,
    REPEAT_SHARE,
    ROUND_PAUSE_S,
    RequestsLogic,
)
from martenrun.agent.retry import MAXIMUM_SAVED
from martenrun.backends.engine import AttemptOutcome, AttemptResult
from martenrun.constants import DECISION_TIMEOUT_S
from martenrun.events import (
    AttemptEnded,
    CallerGone,
    Finish,
    PeerDisconnected,
    PeerMessage,
    RequestArrived,
    RunAttempt,
    Send,
    Tick,
)
from martenrun.ownership.stall import STALL_S
from martenrun.statecharts.compiler import load_chart
from martenrun.wire.messages import (
    AttemptReport,
    ClaimReport,
    DecideRequest,
    Grant,
    Queued,
    Refusal,
    WithdrawRequest,
)


class Agent:
    """Runs the logic and keeps what it gives back."""

    def __init__(self, nodes=("node-a", "node-b"), leaving=()):
        self.logic = RequestsLogic(lambda: list(nodes), random.Random(1), leaving.__contains__)
        self.now = 0.0
        self.out = []

    def tell(self, event):
        self.out += self.logic.handle(event, self.now)

    def arrive(self, request_id="r", repeatable=True, key="", deadline_s=10.0):
        question = DecideRequest(
            request_id, "growers", "reader", deadline_s=deadline_s, idempotency_key=key
        )
        self.tell(RequestArrived(question, repeatable))

    def wait(self, seconds):
        self.now += seconds
        self.tell(Tick())

    def questions(self):
        """Return each question once; one whose answer is late is sent once more."""
        return list({item.message.attempt: item for item in self.sent(DecideRequest)}.values())

    def sent(self, kind):
        return [
            item for item in self.out if isinstance(item, Send) and isinstance(item.message, kind)
        ]

    def asked(self):
        return self.sent(DecideRequest)[-1]

    def grant(self, runner="engine-0", request_id="r", attempt=None):
        asked = self.asked()
        attempt = asked.message.attempt if attempt is None else attempt
        self.tell(PeerMessage(asked.peer, Grant(request_id, attempt, runner)))

    def refuse(self, code="no_runner"):
        asked = self.asked()
        refusal = Refusal("r", asked.message.attempt, code, "none", "", "no", 1.5)
        self.tell(PeerMessage(asked.peer, refusal))

    def end(self, outcome, can_resume=True):
        attempt = self.runs()[-1].grant.attempt
        self.tell(AttemptEnded("r", attempt, AttemptResult(outcome), 0.1, can_resume))

    def runs(self):
        return [item for item in self.out if isinstance(item, RunAttempt)]

    def error(self):
        (finish,) = [item for item in self.out if isinstance(item, Finish)]
        return finish.error


@pytest.fixture
def agent():
    return Agent()


def test_after_a_nodes_silence_the_next_is_asked_and_the_last_silence_is_answered(agent):
    agent.arrive(deadline_s=30.0)
    first = agent.asked().peer
    agent.wait(DECISION_TIMEOUT_S)
    assert agent.asked().peer != first
    assert agent.sent(WithdrawRequest)[0].peer == first
    agent.wait(DECISION_TIMEOUT_S)
    searched_from = agent.now
    while agent.logic.active_count and agent.now < 20.0:
        agent.wait(0.1)
    assert agent.asked().message.attempt > 3
    assert searched_from < agent.now <= searched_from + NODE_SEARCH_S + DECISION_TIMEOUT_S
    assert (agent.error().code, agent.error().ran) == ("node_unavailable", "no")
    assert agent.error().retry_after_s is not None
    assert agent.logic.active_count == 0


def test_what_was_asked_over_an_ended_connection_is_asked_elsewhere_at_once(agent):
    agent.arrive()
    first = agent.asked()
    agent.tell(PeerDisconnected("node-x"))
    assert agent.asked() is first
    agent.tell(PeerDisconnected(first.peer))
    second = agent.asked()
    assert second.peer != first.peer
    assert (second.message.request_id, second.message.attempt) == ("r", 2)
    agent.tell(PeerMessage(first.peer, Grant("r", 1, "engine-0")))
    assert agent.runs() == [] and agent.sent(WithdrawRequest)[-1].peer == first.peer
    agent.grant("engine-1")
    agent.tell(PeerDisconnected(second.peer))
    assert [run.grant.runner for run in agent.runs()] == ["engine-1"]
    assert agent.asked() is second


def test_a_late_answer_is_asked_for_once_more_and_waited_for_longer_in_later_rounds(agent):
    agent.arrive(deadline_s=30.0)
    agent.wait(DECISION_TIMEOUT_S / 2)
    first, second = agent.sent(DecideRequest)
    assert (first.peer, first.message.attempt) == (second.peer, second.message.attempt)
    for _ in range(2):
        agent.wait(DECISION_TIMEOUT_S)
    agent.wait(2 * ROUND_PAUSE_S)
    attempt = agent.asked().message.attempt
    for _ in range(3):
        agent.wait(DECISION_TIMEOUT_S / 2)
    assert agent.asked().message.attempt == attempt
    agent.grant()
    assert len(agent.runs()) == 1


def test_nodes_that_answer_late_are_asked_until_the_deadline_and_waited_for_longer(agent):
    agent.arrive(deadline_s=20.0)
    for _ in range(int(19.0 / 0.1)):
        asked = agent.asked()
        is_withdrawn = asked.message.attempt > 2
        if is_withdrawn:  # An answer to the question before the present one.
            late = Grant("r", asked.message.attempt - 2, "engine-0")
            agent.tell(PeerMessage(asked.peer, late))
        agent.wait(0.1)
    times = [item.message.attempt for item in agent.sent(DecideRequest)]
    assert max(map(times.count, times)) == LATE_PATIENCE / REPEAT_SHARE
    assert agent.runs() == [] and agent.logic.active_count == 1
    agent.wait(1.0)
    assert (agent.error().code, agent.error().ran) == ("node_unavailable", "no")


def test_a_runner_that_leaves_by_the_edges_own_list_is_not_used():
    agent = Agent(leaving={"engine-0"})
    agent.arrive()
    agent.grant("engine-0")
    assert agent.runs() == [] and len(agent.sent(WithdrawRequest)) == 1
    assert agent.asked().message.excluded_runners == ["engine-0"]
    agent.grant("engine-0")
    assert agent.runs() == [] and agent.error().code == "no_runner"


def test_a_silent_node_is_asked_last_but_for_one_question_now_and_then(agent):
    def asked_by(request_id):
        agent.arrive(request_id)
        return agent.asked().peer

    home = asked_by("r1")
    agent.wait(DECISION_TIMEOUT_S)
    other = agent.asked().peer
    assert asked_by("r2") == other != home
    for request_id, attempt in (("r1", 2), ("r2", 1)):
        agent.tell(PeerMessage(other, Refusal(request_id, attempt, "capacity", "full")))
    agent.wait(SILENT_RETRY_S)
    risked = [asked_by("r3"), asked_by("r4")]
    assert risked == [home, other]
    agent.wait(RISK_TIMEOUT_S)
    assert (agent.asked().message.request_id, agent.asked().peer) == ("r3", other)
    agent.tell(PeerMessage(home, Queued("r3", 1, 0.5)))
    assert asked_by("r5") == home


def test_silent_nodes_do_not_keep_out_others_that_rank_lower():
    agent = Agent([f"node-{number}" for number in range(20)])
    agent.arrive("r1", deadline_s=60.0)
    silent = set()
    while agent.logic.active_count:
        silent.add(agent.asked().peer)
        agent.wait(0.25)
    assert len(silent) > NODES_ASKED
    agent.arrive("r2")  # It may be risked on a silent node.
    agent.arrive("r3")
    assert agent.asked().peer not in silent


def test_queued_notices_keep_a_question_waiting_until_its_deadline_and_no_longer(agent):
    agent.arrive(deadline_s=2.0)
    for _ in range(4):
        agent.wait(0.5)
        agent.tell(PeerMessage("node", Queued("r", 1, 9.0)))
    assert agent.error().code == "deadline_exceeded"
    assert agent.sent(WithdrawRequest)


def test_after_a_pause_a_grant_from_before_it_is_given_back_and_asked_for_anew(agent):
    agent.arrive()
    old = agent.asked().message.attempt
    agent.now += STALL_S + 0.1
    agent.grant(attempt=old)
    assert agent.runs() == []
    assert agent.asked().message.attempt > old
    assert [item.message.attempt for item in agent.sent(WithdrawRequest)] == [old, old]
    agent.grant()
    assert len(agent.runs()) == 1


def test_late_crossing_and_repeated_answers_reach_nobody(agent):
    agent.arrive()
    agent.wait(DECISION_TIMEOUT_S)
    agent.grant("late", attempt=1)
    assert agent.runs() == []
    agent.grant("engine-1")
    agent.grant("again")
    agent.grant("stranger", request_id="other")
    assert [run.grant.runner for run in agent.runs()] == ["engine-1"]
    declined = [
        (item.message.request_id, item.message.attempt) for item in agent.sent(WithdrawRequest)
    ]
    assert declined == [("r", 1), ("r", 1), ("other", 2)]
    agent.end(AttemptOutcome.COMPLETE)
    assert agent.error() is None
    assert agent.sent(AttemptReport)[0].message.runner == "engine-1"


@pytest.mark.parametrize(
    ("repeatable", "outcome", "again"),
    [
        (True, AttemptOutcome.NOT_RUN, True),
        (True, AttemptOutcome.UNKNOWN, True),
        (True, AttemptOutcome.BROKEN, True),
        (False, AttemptOutcome.NOT_RUN, True),
        (False, AttemptOutcome.UNKNOWN, False),
        (False, AttemptOutcome.BROKEN, False),
    ],
)
def test_only_what_may_run_again_does(agent, repeatable, outcome, again):
    agent.arrive(repeatable=repeatable)
    agent.grant()
    agent.end(outcome)
    agent.wait(DECISION_TIMEOUT_S / 2)
    questions = agent.questions()
    assert (len(questions) == 2) is again
    if again:
        assert questions[1].message.excluded_runners == ["engine-0"]
        assert agent.logic.active_count == 1
    else:
        assert agent.error().ran in ("unknown", "yes")


def test_a_refusal_after_an_unknown_attempt_does_not_say_not_run(agent):
    agent.arrive()
    agent.grant()
    agent.end(AttemptOutcome.UNKNOWN)
    agent.wait(1.0)
    agent.refuse()
    assert (agent.error().code, agent.error().ran) == ("no_runner", "unknown")


def test_a_refusal_after_output_says_the_stream_broke(agent):
    agent.arrive()
    agent.grant()
    agent.end(AttemptOutcome.BROKEN)
    agent.refuse()
    assert (agent.error().code, agent.error().ran) == ("stream_broken", "yes")


def test_a_stream_does_not_go_on_with_other_weights(agent):
    agent.arrive()
    agent.grant()
    agent.end(AttemptOutcome.BROKEN)
    asked = agent.asked()
    grant = Grant("r", asked.message.attempt, "engine-1", weights_version="v2")
    agent.tell(PeerMessage(asked.peer, grant))
    assert len(agent.runs()) == 1
    assert agent.sent(WithdrawRequest)[0].message.attempt == grant.attempt
    assert (agent.error().code, agent.error().ran) == ("stream_broken", "yes")


def test_output_that_cannot_be_resumed_is_not_tried_again(agent):
    agent.arrive()
    agent.grant()
    agent.end(AttemptOutcome.BROKEN, can_resume=False)
    assert agent.error().code == "stream_broken"


def test_a_stream_that_breaks_past_its_deadline_still_gets_time_to_go_on(agent):
    agent.arrive(deadline_s=1.0)
    agent.grant()
    agent.now = 60.0
    agent.end(AttemptOutcome.BROKEN)
    agent.wait(0.5)
    assert agent.asked().message.deadline_s > 1.0
    agent.wait(10.0)
    assert agent.error().code == "stream_broken"


def test_attempts_are_bounded_and_the_last_failure_is_answered_at_once(agent):
    agent.arrive(deadline_s=60.0)
    for _ in range(MAXIMUM_ATTEMPTS):
        agent.grant()
        agent.end(AttemptOutcome.NOT_RUN)
        agent.wait(1.0)
    assert len(agent.runs()) == MAXIMUM_ATTEMPTS
    assert (agent.error().ran, agent.error().retry_after_s) == ("no", 1.0)


def test_a_spent_retry_budget_ends_retries(agent):
    requests = int(MAXIMUM_SAVED) * 2
    for index in range(requests):
        agent.arrive(f"r{index}")
        agent.grant(request_id=f"r{index}")
        result = AttemptResult(AttemptOutcome.NOT_RUN)
        agent.tell(AttemptEnded(f"r{index}", 1, result, 0.0))
    agent.wait(1.0)
    retries = sum(item.message.attempt == 2 for item in agent.sent(DecideRequest))
    assert MAXIMUM_SAVED <= retries <= MAXIMUM_SAVED + 0.2 * requests
    assert agent.logic.active_count == retries


@pytest.mark.parametrize("state", ["deciding", "pausing", "running"])
def test_a_caller_who_leaves_is_forgotten_in_every_state(agent, state):
    agent.arrive(key="pay-1", repeatable=False)
    if state != "deciding":
        agent.grant()
    if state == "pausing":
        agent.end(AttemptOutcome.NOT_RUN)
    agent.tell(CallerGone("r"))
    assert agent.logic.active_count == 0
    states = [item.message.state for item in agent.sent(ClaimReport)]
    assert states == ([] if state == "running" else ["released"])


@pytest.mark.parametrize(
    ("outcome", "state"),
    [
        (AttemptOutcome.COMPLETE, ["done"]),
        (AttemptOutcome.BROKEN, ["done"]),
        (AttemptOutcome.UNKNOWN, []),
    ],
)
def test_the_end_of_a_claim_is_reported_only_if_it_is_known(agent, outcome, state):
    agent.arrive(key="pay-1", repeatable=False)
    agent.grant()
    agent.end(outcome)
    assert [item.message.state for item in agent.sent(ClaimReport)] == state


def test_without_nodes_the_answer_comes_at_once():
    agent = Agent(nodes=())
    agent.arrive()
    assert agent.error().code == "node_unavailable"


def test_every_event_has_a_transition_in_every_state_it_can_meet():
    """Pairs without one are events that cannot come, or that must change nothing."""
    chart = load_chart("request")
    states = {state for state, _ in chart.table}
    events = {event for _, event in chart.table}
    missing = {(state, event) for state in states for event in events} - set(chart.table)
    answers = {"granted", "queued", "refused"}
    ends = {"completed", "failed", "may_retry", "may_resume"}
    silence = {"node_silent", "no_node_left", "node_unable", "node_contrary", "round_over"}
    silence |= {"answer_late", "grant_stale"}
    # A pause of the process concerns only questions that wait for a node.
    unaffected = {("running", "stalled"), ("pausing", "stalled")}
    assert missing == (
        unaffected
        | {("deciding", event) for event in ends | {"pause_over"}}
        | {("running", event) for event in answers | silence | {"pause_over", "deadline_passed"}}
        | {("pausing", event) for event in answers | ends | silence}
    )

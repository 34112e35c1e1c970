"""At most once: claims under lost answers, outages, two agents, retries and node death."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.claims.logic import CLAIM_LIMIT_S, MAXIMUM_CALLS, ClaimsLogic
from martenrun.claims.record import (
    ClaimRecord,
    ClaimState,
    claim_name,
    decode_claim,
    encode_claim,
)
from martenrun.events import (
    PeerMessage,
    QuestionCleared,
    Send,
    StoreAnswered,
    StoreOutcome,
    StoreRead,
    Tell,
    Tick,
)
from martenrun.wire.messages import (
    ClaimReport,
    ConfigurationObject,
    DecideRequest,
    Queued,
    Refusal,
    WithdrawRequest,
)

NAME = claim_name("growers", "pay-1")


def question(request_id, attempt=1):
    return DecideRequest(request_id, "growers", attempt=attempt, idempotency_key="pay-1")


@dataclass
class Store:
    """The object API: ``fate`` says what becomes of each call."""

    objects: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    revision: int = 0

    def claim(self):
        return decode_claim(self.objects[NAME][1])

    def answer(self, call, fate="done"):
        """Fates: done; lost (took effect, answer lost); down (no effect)."""
        if fate == "down":
            return StoreAnswered(call.call_id, StoreOutcome.UNKNOWN)
        version, document = self.objects.get(call.name, (0, b""))
        if isinstance(call, StoreRead):
            if fate == "lost":
                return StoreAnswered(call.call_id, StoreOutcome.UNKNOWN)
            if not version:
                return StoreAnswered(call.call_id, StoreOutcome.NOT_FOUND)
            found = ConfigurationObject(call.kind, call.name, version, False, document)
            return StoreAnswered(call.call_id, StoreOutcome.DONE, version, found)
        if version != call.expected:
            outcome = StoreOutcome.CONFLICT
        else:
            self.revision += 1
            version = self.revision
            self.objects[call.name] = (version, call.document)
            outcome = StoreOutcome.DONE
        if fate == "lost":
            outcome = StoreOutcome.UNKNOWN
        return StoreAnswered(call.call_id, outcome, version)


class Node:
    """One node's claims logic with the calls and answers it has produced."""

    def __init__(self, store, logic=ClaimsLogic, name="node"):
        self.logic = logic(name)
        self.store = store
        self.now = 0.0
        self.calls = []
        self.sent = []
        self.cleared = []

    def tell(self, event):
        for instruction in self.logic.handle(event, self.now):
            match instruction:
                case Send(peer, message):
                    self.sent.append((peer, message))
                case Tell(QuestionCleared() as cleared):
                    self.cleared.append(cleared)
                case call:
                    self.calls.append(call)

    def ask(self, request_id, attempt=1, peer="agent"):
        self.tell(PeerMessage(peer, question(request_id, attempt)))

    def report(self, request_id, state):
        self.tell(PeerMessage("agent", ClaimReport(request_id, "growers", "pay-1", state)))

    def serve(self, *fates):
        """Answer the calls; the named fates come first, then all are done."""
        fates = list(fates)
        while self.calls or self.waits_for_a_pause(fates):
            if self.calls:
                self.tell(self.store.answer(self.calls.pop(0), fates.pop(0) if fates else "done"))
            else:
                self.wait(0.1)

    def waits_for_a_pause(self, fates):
        return self.logic.pending_count > 0 and self.now < 2 * CLAIM_LIMIT_S

    def wait(self, seconds):
        self.now += seconds
        self.tell(Tick())

    def refusals(self):
        return [message for _, message in self.sent if isinstance(message, Refusal)]


@pytest.fixture
def node():
    return Node(Store())


def test_only_the_first_of_two_requests_goes_on(node):
    second = Node(node.store, name="other")
    node.ask("first")
    second.ask("second", peer="other-agent")
    node.serve()
    second.serve()
    assert [cleared.question.request_id for cleared in node.cleared] == ["first"]
    assert second.cleared == []
    assert [(r.code, r.ran) for r in second.refusals()] == [("duplicate_request", "unknown")]


@pytest.mark.parametrize("fates", [["lost"], ["down"], ["lost", "down"], ["down", "down", "lost"]])
def test_after_a_lost_answer_the_claim_is_read_back_and_the_request_goes_on_once(node, fates):
    node.ask("first")
    node.serve(*fates)
    assert [cleared.question.request_id for cleared in node.cleared] == ["first"]
    assert node.store.claim() == ClaimRecord("first", ClaimState.HELD)


def test_a_lost_answer_of_the_loser_does_not_let_it_go_on(node):
    node.store.objects[NAME] = (9, encode_claim(ClaimRecord("rival", ClaimState.HELD)))
    node.ask("first")
    node.serve("lost", "down")
    assert node.cleared == []
    assert node.refusals()[0].ran == "unknown"


def test_an_outage_refuses_not_run_and_says_so_in_time(node):
    node.ask("first")
    node.serve(*["down"] * 100)
    assert node.now <= CLAIM_LIMIT_S + 0.2
    assert [(r.code, r.ran) for r in node.refusals()] == [("store_unavailable", "no")]
    assert node.refusals()[0].retry_after_s > 0
    assert any(isinstance(message, Queued) for _, message in node.sent)
    assert node.cleared == []


def test_an_answer_after_the_refusal_clears_nothing(node):
    node.ask("first")
    node.wait(CLAIM_LIMIT_S)
    node.serve()
    assert len(node.refusals()) == 1
    assert node.cleared == []


def test_a_withdrawn_question_is_not_cleared(node):
    node.ask("first")
    node.tell(PeerMessage("agent", WithdrawRequest("first", 1)))
    node.serve()
    assert node.cleared == []


def test_a_second_attempt_of_the_same_request_keeps_its_claim(node):
    other = Node(node.store, name="other")
    node.ask("first")
    node.serve()
    other.ask("first", attempt=2)
    other.serve()
    assert len(other.cleared) == 1


def test_a_released_key_may_be_used_again_but_not_by_its_last_holder(node):
    node.ask("first")
    node.serve()
    node.report("first", "released")
    node.serve("lost", "down")
    node.wait(10.0)
    node.wait(10.0)
    node.serve()
    assert node.store.claim() == ClaimRecord("first", ClaimState.RELEASED)
    node.ask("first", attempt=3)
    node.serve()
    assert node.refusals()[0].code == "duplicate_request"
    node.ask("second")
    node.serve()
    assert node.cleared[-1].question.request_id == "second"


def test_a_release_waits_for_the_claiming_call_it_would_overtake(node):
    node.ask("first")
    node.tell(PeerMessage("agent", WithdrawRequest("first", 1)))
    node.report("first", "released")
    assert len(node.calls) == 1
    node.serve()
    assert node.store.claim().state is ClaimState.RELEASED


def test_a_done_key_is_refused_as_run(node):
    node.ask("first")
    node.serve()
    node.report("first", "done")
    node.serve()
    node.ask("second")
    node.serve()
    assert [(r.code, r.ran) for r in node.refusals()] == [("duplicate_request", "yes")]


def test_a_stranger_cannot_release_a_claim(node):
    node.ask("first")
    node.serve()
    node.report("second", "released")
    node.report("first", "nonsense")
    node.serve()
    assert node.store.claim() == ClaimRecord("first", ClaimState.HELD)


def test_a_store_that_never_answers_does_not_pile_up_calls(node):
    for index in range(MAXIMUM_CALLS + 5):
        node.ask(f"request-{index}")
    assert len(node.calls) == MAXIMUM_CALLS
    assert len(node.refusals()) == 5


class Guardless(ClaimsLogic):
    """Trusts a write whose answer was lost, as a router without the guard would."""

    def _pause(self, pending, event, now):
        return self._clear(pending)


class Takeover(ClaimsLogic):
    """Lets anybody take a held claim over."""

    def _judge(self, pending, record, version):
        pending.version = version
        return self._write(pending)


class Schedule:
    """Interleaves three requests of one key over three nodes that may die.

    A request runs when a cleared question reaches its agent while it waits for just that
    attempt: the agent's own rule.
    """

    def __init__(self, logic, seed):
        self.logic = logic
        self.rng = random.Random(seed)
        self.store = Store()
        self.nodes = [Node(self.store, logic, f"node-{index}") for index in range(3)]
        self.waiting = {}
        self.ran = []
        for request_id in ("a", "b", "c"):
            self.ask_again(self.rng.choice(self.nodes), request_id)

    def ask_again(self, node, request_id):
        self.waiting[request_id] = self.waiting.get(request_id, 0) + 1
        node.ask(request_id, self.waiting[request_id])

    def step(self, fate):
        index = self.rng.randrange(len(self.nodes))
        node = self.nodes[index]
        action = self.rng.randrange(6)
        if action == 0:
            self.ask_again(node, self.rng.choice(list(self.waiting)))
        elif action == 1 and self.rng.random() < 0.3:
            self.nodes[index] = Node(self.store, self.logic, f"node-{index}")
        elif action == 2:
            node.wait(self.rng.random())
        elif node.calls:
            call = node.calls.pop(self.rng.randrange(len(node.calls)))
            node.tell(self.store.answer(call, fate))
        self.agents_act(node)

    def agents_act(self, node):
        for refusal in node.refusals():
            if refusal.attempt == self.waiting.get(refusal.request_id):
                del self.waiting[refusal.request_id]
                node.report(refusal.request_id, "released")
        for cleared in node.cleared:
            asked = cleared.question
            if self.waiting.get(asked.request_id) != asked.attempt:
                continue
            if self.rng.random() < 0.3:  # The runner certainly did not run it.
                self.ask_again(node, asked.request_id)
                continue
            del self.waiting[asked.request_id]
            self.ran.append(asked.request_id)
        node.sent.clear()
        node.cleared.clear()


def run_schedule(logic, seed, fates):
    schedule = Schedule(logic, seed)
    for fate in fates:
        if schedule.waiting:
            schedule.step(fate)
    return schedule.ran


SEEDS = st.integers(0, 2**32)
FATES = st.lists(st.sampled_from(["done", "done", "lost", "down"]), min_size=60, max_size=120)


@settings(derandomize=True, deadline=None, max_examples=250)
@given(SEEDS, FATES)
def test_no_schedule_runs_a_key_twice(seed, fates):
    assert len(run_schedule(ClaimsLogic, seed, fates)) <= 1


@pytest.mark.parametrize("broken", [Guardless, Takeover])
def test_the_schedules_find_two_runs_when_a_guard_is_missing(broken):
    rng = random.Random(5)
    runs = [
        run_schedule(broken, seed, rng.choices(["done", "lost", "down"], k=100))
        for seed in range(300)
    ]
    assert any(len(ran) > 1 for ran in runs)


def test_the_schedules_do_run_requests():
    rng = random.Random(5)
    runs = [
        run_schedule(ClaimsLogic, seed, rng.choices(["done", "lost", "down"], k=100))
        for seed in range(300)
    ]
    assert sum(len(ran) for ran in runs) > 150

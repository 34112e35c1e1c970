"""Tests of the prefix-aware policy and its beliefs under the failures they are meant for."""

import collections
import random

import numpy
import pytest

from martenrun.identity.chain import as_array, chain_seed, hash_chain
from martenrun.routing.beliefs import BeliefBook
from martenrun.routing.first_token_model import FirstTokenModel
from martenrun.routing.policy import RunnerState
from martenrun.routing.prefix_aware import PrefixAwarePolicy
from martenrun.wire.messages import AttemptReport, DecideRequest

NOTHING = numpy.empty(0, dtype="<i8")
SLOTS = 8


def make_runners(count):
    return [RunnerState(f"r{i}", "", "z", "pool", "1", "v1", SLOTS) for i in range(count)]


def make_policy(seed=1):
    return PrefixAwarePolicy(BeliefBook(600_000, 600_000), random.Random(seed))


def make_question(request_id, blocks, tenant="growers", prompt="season"):
    text = (prompt.encode() * (blocks * 4000))[: blocks * 4000]
    chain = hash_chain(text, chain_seed(tenant, "v1"), 4000)
    return DecideRequest(request_id, tenant, "m", "v1", chain, len(text), zone="z")


def run(policy, question, runners, now=0.0, cached_blocks=0):
    """Grant a question to the best runner and let it end; return the runner's name."""
    choice = policy.route(question, runners, now)
    policy.granted(question, choice, now)
    tokens = question.prompt_bytes // 4
    report = AttemptReport(
        question.request_id,
        0,
        choice.runner.name,
        "complete",
        tokens,
        cached_blocks * 1000,
        8,
        0.02 * (tokens // 1000 - cached_blocks),
    )
    policy.observe(report, now + 0.5)
    return choice.runner.name


@pytest.fixture(params=["fed", "routed"])
def policy_that_knows_r1(request):
    """A policy that believes r1 to hold 30 blocks, from its feed or from own routing."""
    policy, chain = make_policy(), make_question("q", 30).chain
    for runner in make_runners(4):
        policy.beliefs.identify(runner.name, "1", "v1")
    if request.param == "fed":
        policy.beliefs.feed("r1", as_array(chain), NOTHING)
    else:
        policy.beliefs.routed("r1", chain, 0, 0.0)
    return policy


def test_the_believed_holder_of_the_deepest_prefix_is_taken(policy_that_knows_r1):
    choice = policy_that_knows_r1.route(make_question("q", 30), make_runners(4), 0.0)
    assert (choice.runner.name, choice.believed_blocks) == ("r1", 30)


@pytest.mark.parametrize("change", [("2", "v1"), ("1", "v2")])
def test_an_engine_back_empty_or_with_new_weights_is_believed_empty(policy_that_knows_r1, change):
    runners = make_runners(4)
    runners[1].incarnation, runners[1].weights_version = change
    choices = policy_that_knows_r1.rank(make_question("q", 30), runners, 0.0)
    assert {choice.believed_blocks for choice in choices} == {0}


def test_a_runner_with_other_weights_is_not_credited_with_what_it_is_sent():
    policy, runners = make_policy(), make_runners(1)
    runners[0].weights_version = "v0"
    run(policy, make_question("a", 30), runners)
    assert policy.rank(make_question("b", 30), runners, 1.0)[0].believed_blocks == 0


def test_tenants_with_the_same_prompt_share_no_beliefs(policy_that_knows_r1):
    question = make_question("q", 30, tenant="stallholders")
    choices = policy_that_knows_r1.rank(question, make_runners(4), 0.0)
    assert {choice.believed_blocks for choice in choices} == {0}


def test_an_owner_that_knows_fewer_blocks_corrects_the_belief(policy_that_knows_r1):
    question, runners = make_question("q", 30), make_runners(4)
    policy_that_knows_r1.rank(question, runners, 0.0)
    policy_that_knows_r1.corrected(question, "r1", 3)
    believed = [c.believed_blocks for c in policy_that_knows_r1.rank(question, runners, 0.0)]
    assert max(believed) == 3


def test_a_gap_drops_what_events_told_and_keeps_what_was_sent_lately():
    beliefs = BeliefBook(600_000, 600_000)
    beliefs.identify("r1", "1", "v1")
    told, sent = make_question("a", 20).chain, make_question("b", 9, "x").chain
    beliefs.feed("r1", as_array(told), NOTHING)
    beliefs.routed("r1", sent, 0, 5.0)
    beliefs.feed_gap("r1", 6.0)
    assert beliefs.leading(told, ("r1",), 6.0) == [0]
    assert beliefs.leading(sent, ("r1",), 6.0) == [9]
    beliefs.feed("r1", as_array(told), NOTHING)
    assert beliefs.leading(told, ("r1",), 6.0) == [20]


def test_a_replayed_feed_changes_nothing():
    beliefs, chain = BeliefBook(600_000, 600_000), make_question("a", 20).chain
    beliefs.identify("r1", "1", "v1")
    for _ in range(2):
        beliefs.feed("r1", as_array(chain), NOTHING)
        beliefs.feed("r1", NOTHING, as_array(chain)[12:])
    assert beliefs.leading(chain, ("r1",), 0.0) == [12]


def test_beliefs_of_a_runner_without_feed_end_after_two_lifetimes():
    beliefs, chain = BeliefBook(600_000, 600_000), make_question("a", 20).chain
    beliefs.identify("r1", "1", "v1")
    beliefs.routed("r1", chain, 0, 0.0)
    lifetime_s = beliefs.lifetime_s("r1")
    assert beliefs.leading(chain, ("r1",), lifetime_s) == [20]
    assert beliefs.leading(chain, ("r1",), 2 * lifetime_s) == [0]


def test_wrong_beliefs_shorten_their_lifetime():
    beliefs = BeliefBook(600_000, 600_000)
    beliefs.identify("r1", "1", "v1")
    before = beliefs.lifetime_s("r1")
    beliefs.judged("r1", 20, 2)
    assert beliefs.lifetime_s("r1") < before


def test_stale_loads_draw_no_herd_onto_one_idle_looking_runner():
    policy, runners = make_policy(), make_runners(8)
    for runner in runners[1:]:
        runner.reported_running = SLOTS
    taken = collections.Counter()
    for number in range(64):
        question = make_question(f"q{number}", 10, prompt=f"prompt {number} ")
        choice = policy.route(question, runners, 30.0)
        policy.granted(question, choice, 30.0)
        choice.runner.in_flight += 1
        taken[choice.runner.name] += 1
    assert max(taken.values()) <= 3 * 64 / 8


def test_a_hot_prefix_widens_when_its_holder_is_full_and_shrinks_again():
    policy, runners = make_policy(), make_runners(6)
    question = make_question("hot", 10)
    holder = run(policy, question, runners)
    for number in range(40):
        choice = policy.route(question, runners, 1.0)
        policy.granted(question, choice, 1.0)
        choice.runner.in_flight += 1
        question.request_id = f"hot-{number}"
    used = {runner.name for runner in runners if runner.in_flight}
    assert holder in used
    assert 2 <= len(used) <= len(runners)
    for runner in runners:
        runner.in_flight = 0
    after = {run(policy, make_question(f"later-{i}", 10), runners, 2.0, 10) for i in range(10)}
    assert len(after) == 1


def test_a_node_that_knows_nothing_sends_a_prefix_where_others_sent_it():
    runners = make_runners(8)
    same = sum(
        run(make_policy(1), make_question("a", 20, prompt=f"p{number}"), runners)
        == run(make_policy(2), make_question("a", 20, prompt=f"p{number}"), runners)
        for number in range(40)
    )
    assert same >= 32


@pytest.mark.parametrize("blocks", [0, 1000])
def test_prompts_below_a_block_and_of_a_million_tokens_are_ranked(blocks):
    policy, runners = make_policy(), make_runners(4)
    question = make_question("a", blocks)
    holder = run(policy, question, runners)
    choice = policy.route(question, runners, 1.0)
    assert choice.believed_blocks == blocks
    assert not blocks or choice.runner.name == holder


def test_an_attempt_that_was_not_run_leaves_no_belief():
    policy, runners, question = make_policy(), make_runners(4), make_question("a", 20)
    choice = policy.route(question, runners, 0.0)
    policy.granted(question, choice, 0.0)
    policy.observe(AttemptReport("a", 0, choice.runner.name, "not_run"), 0.1)
    assert policy.route(question, runners, 0.2).believed_blocks == 0


def test_rates_are_learned_from_reports():
    model = FirstTokenModel()
    for number in range(400):
        load = number % 10
        model.observe_first_token(40, load, 40 * (0.05 + 0.004 * load))
    assert model.prefill_s(10, 5) == pytest.approx(0.7, rel=0.05)


def test_a_prefix_that_is_still_being_computed_does_not_count_as_held():
    policy, runners, question = make_policy(), make_runners(4), make_question("a", 50)
    first = policy.route(question, runners, 0.0)
    policy.granted(question, first, 0.0)
    assert policy.route(question, runners, 0.1).believed_blocks == 0
    policy.observe(AttemptReport("a", 0, first.runner.name, "complete", 50_000, 0, 8, 1.0), 0.3)
    assert policy.route(question, runners, 0.4).believed_blocks == 50

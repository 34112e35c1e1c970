"""Tests of the decisions about kept-cache stores."""

import pytest

from martenrun.identity.chain import chain_seed, hash_chain
from martenrun.kvcache import exports, health
from martenrun.kvcache.contents import StoreContents
from martenrun.kvcache.cost import TransferCost
from martenrun.kvcache.exports import ExportQueue, ExportWanted, ExportWishes
from martenrun.kvcache.health import StoreHealth
from martenrun.kvcache.imports import ImportEnd, ImportPolicy
from martenrun.kvcache.limits import StoreLimits

BLOCK_S = 0.02
LIMITS = StoreLimits(name="cellar", block_bytes=1_000, export_bytes_per_s=100_000.0)


def chain(name, blocks):
    return b"".join(f"{name}{number:07}".encode() for number in range(blocks))


def test_the_store_is_believed_to_keep_what_was_exported_until_it_answers_otherwise():
    contents = StoreContents()
    contents.exported(chain("a", 20))
    assert contents.kept_blocks(chain("a", 30)) == 20
    assert contents.kept_blocks(chain("a", 5)) == 5
    contents.answered(chain("a", 30), 8)
    assert contents.kept_blocks(chain("a", 30)) == 8
    contents.answered(chain("a", 30), 0)
    assert not contents.knows(chain("a", 30))
    contents.answered(chain("a", 30), 12)
    assert contents.kept_blocks(chain("a", 30)) == 12


def test_branches_of_a_prefix_are_told_apart():
    contents, root = StoreContents(), chain("a", 5)
    contents.exported(root + chain("b", 5))
    contents.exported(root + chain("c", 9))
    contents.answered(root + chain("c", 9), 5)
    assert contents.kept_blocks(root + chain("b", 9)) == 10
    assert contents.kept_blocks(root + chain("c", 9)) == 5


def test_another_tenants_or_versions_prompt_finds_nothing():
    contents, prompt = StoreContents(), b"x" * 80_000
    contents.exported(hash_chain(prompt, chain_seed("a", "v1"), 4_000))
    for tenant, version in [("b", "v1"), ("a", "v2")]:
        other = hash_chain(prompt, chain_seed(tenant, version), 4_000)
        assert contents.kept_blocks(other) == 0


def test_the_cost_of_transfers_is_learned():
    cost = TransferCost()
    for blocks in [5, 10, 40, 20] * 40:
        cost.observe(blocks, 0.1 + 0.002 * blocks)
    assert cost.expected_s(30) == pytest.approx(0.16, rel=0.05)


def test_a_failing_store_is_left_alone_for_longer_and_longer():
    store = StoreHealth()
    for _ in range(health.FAILURES_TO_CLOSE):
        assert store.is_open(0.0)
        store.failed(0.0)
    assert not store.is_open(health.FIRST_PAUSE_S - 0.1)
    assert store.is_open(health.FIRST_PAUSE_S)
    store.failed(1.0)
    assert not store.is_open(1.0 + 1.5 * health.FIRST_PAUSE_S)
    store.succeeded()
    store.failed(9.0)
    assert store.is_open(9.0)


@pytest.fixture
def policy():
    made = ImportPolicy(LIMITS)
    made.contents.exported(chain("a", 20))
    return made


def test_a_request_says_what_the_store_keeps_and_from_when_an_import_pays(policy):
    plan = policy.plan(chain("a", 30), 20, BLOCK_S, 0.0)
    assert (plan.blocks, plan.is_known) == (20, True)
    assert LIMITS.minimum_blocks <= plan.least_blocks < 20
    assert 0.0 < plan.wait_s <= LIMITS.import_wait_s


def test_a_slow_store_is_asked_for_more_blocks_or_not_at_all(policy):
    plan = policy.plan(chain("a", 30), 0, BLOCK_S, 0.0)
    for _ in range(100):
        policy.ended(ImportEnd(plan, 20, 0.3), 0, 0.0)
        policy.ended(ImportEnd(plan, 20, 0.12), 18, 0.0)
    assert policy.plan(chain("a", 30), 0, BLOCK_S, 0.0).least_blocks > plan.least_blocks
    assert policy.plan(chain("a", 30), 0, 0.009, 0.0) is None


def test_a_late_or_failing_store_is_left_alone(policy):
    plan = policy.plan(chain("a", 30), 0, BLOCK_S, 0.0)
    for _ in range(health.FAILURES_TO_CLOSE):
        policy.ended(ImportEnd(plan, None, plan.wait_s), 0, 0.0)
    assert policy.plan(chain("a", 30), 0, BLOCK_S, 0.5) is None
    assert policy.plan(chain("a", 30), 0, BLOCK_S, health.FIRST_PAUSE_S) is not None


def test_an_unknown_prefix_is_asked_for_while_cold_and_while_the_store_often_has_such(policy):
    cold = chain("b", 30)
    assert policy.plan(cold, 3, BLOCK_S, 0.0) is None
    plan = policy.plan(cold, 0, BLOCK_S, 0.0)
    assert not plan.is_known
    for _ in range(50):
        policy.ended(ImportEnd(plan, 0, 0.01), 0, 0.0)
    assert policy.plan(cold, 0, BLOCK_S, 0.0) is None


def test_what_prompts_share_is_wanted_once_it_is_used_again():
    contents = StoreContents()
    wishes = ExportWishes(LIMITS, contents)
    one, other = chain("a", 20) + chain("q", 2), chain("a", 20) + chain("r", 2)
    assert wishes.used(one, "r1", "1", "v1", 0.0) is None
    wanted = wishes.used(other, "r1", "1", "v1", 1.0)
    assert (wanted.chain, wanted.new_blocks) == (chain("a", 20), 20)
    contents.exported(wanted.chain)
    assert wishes.used(one, "r1", "1", "v1", 2.0) is None
    short = [wishes.used(chain("s", 3), "r1", "1", "v1", now) for now in (3.0, 4.0)]
    assert short == [None, None]


def want(name, blocks, runner="r1", uses=2.0):
    return ExportWanted(runner, "1", "v1", chain(name, blocks), blocks, uses)


def make_queue(share=1.0):
    queue = ExportQueue()
    queue.limit(LIMITS, share)
    return queue


def test_an_owner_exports_once_one_at_a_time_the_best_first():
    queue = make_queue()
    for wanted in [want("a", 5), want("b", 30), want("a", 9), want("a", 9), want("c", 6, "r2")]:
        queue.wanted(wanted)
    assert queue.due(1.0) == [want("b", 30), want("c", 6, "r2")]
    queue.wanted(want("b", 20))
    assert queue.due(1.5) == []
    queue.ended("r1")
    assert queue.due(2.0) == [want("a", 9)]
    queue.ended("r1")
    assert queue.due(3.0) == []


def test_exports_keep_to_the_rate_and_an_answer_that_never_comes_does_not_block():
    queue = make_queue(0.5)
    for number in range(40):
        queue.wanted(want(f"{number:01}" if number < 10 else chr(55 + number), 20))
    ordered = 0
    for tick in range(100):
        exported = queue.due(tick * 0.1)
        ordered += sum(wanted.new_blocks for wanted in exported)
        queue.ended("r1")
    assert ordered <= 50 * 10 + 20
    queue.wanted(want("x", 5, "r3"))
    queue.due(20.0)
    queue.wanted(want("y", 5, "r3"))
    assert queue.due(21.0) == []
    assert want("y", 5, "r3") in queue.due(20.0 + exports.EXPORT_TIMEOUT_S)


def test_a_runner_that_restarted_exports_nothing_that_waited():
    queue = make_queue()
    queue.wanted(want("a", 9))
    queue.restarted("r1")
    assert queue.due(1.0) == []

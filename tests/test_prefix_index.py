"""Tests of the prefix index against its dictionary baseline and at its limits."""

import numpy
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.identity.chain import as_array, chain_seed, hash_chain
from martenrun.routing.dict_index import DictPrefixIndex
from martenrun.routing.prefix_index import PrefixIndex, RunnerIdentity
from martenrun.routing.prefix_table import SLOTS_PER_TABLE, WIDE_SLOTS_PER_TABLE, PrefixTable

RUNNERS = ("a", "b", "c")
FIRST = RunnerIdentity("1", "v1")


def make_index(memory_bytes=200_000, maximum_runners=32):
    index = PrefixIndex(memory_bytes, maximum_runners)
    for runner in RUNNERS:
        index.identify(runner, FIRST)
    return index


def chain_of(*blocks):
    return numpy.array(blocks, dtype="<i8")


change = st.tuples(
    st.sampled_from(["add", "remove", "drop"]),
    st.sampled_from(RUNNERS),
    st.lists(st.integers(1, 12), max_size=6),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(change, max_size=20), st.lists(st.integers(1, 12), max_size=8))
def test_arrays_and_dictionary_believe_the_same(changes, chain):
    index, baseline = make_index(), DictPrefixIndex()
    for runner in RUNNERS:
        baseline.identify(runner, FIRST)
    for kind, runner, blocks in changes:
        for knowledge in (index, baseline):
            if kind == "drop":
                knowledge.drop(runner)
            else:
                getattr(knowledge, kind)(runner, chain_of(*blocks))
    for runner in RUNNERS:
        expected = baseline.match(chain_of(*chain)).of(runner)
        assert index.match(chain_of(*chain)).of(runner) == expected


def test_a_new_incarnation_or_version_drops_every_belief_of_the_runner():
    for identity in (RunnerIdentity("2", "v1"), RunnerIdentity("1", "v2")):
        index = make_index()
        index.add("a", chain_of(1, 2, 3))
        index.add("b", chain_of(1, 2))
        assert index.identify("a", identity)
        assert index.match(chain_of(1, 2, 3)).of("a") == 0
        assert index.match(chain_of(1, 2, 3)).of("b") == 2


def test_tenants_with_the_same_prompt_share_no_belief():
    index = make_index()
    text = b"by-law " * 2000
    own = as_array(hash_chain(text, chain_seed("growers", "v1"), 4000))
    foreign = as_array(hash_chain(text, chain_seed("stallholders", "v1"), 4000))
    index.add("a", own)
    assert index.match(own).of("a") == len(own)
    assert index.match(foreign).of("a") == 0


def test_a_prompt_below_one_block_matches_nothing():
    index = make_index()
    index.add("a", chain_of(1))
    assert index.match(chain_of()).of("a") == 0


def test_a_prompt_of_a_million_tokens_matches_in_full():
    index = make_index()
    chain = numpy.random.default_rng(1).integers(1, 2**62, 1000, dtype=numpy.int64)
    index.add("b", chain)
    index.remove("b", chain[700:701])
    assert index.match(chain).of("b") == 700
    assert index.match(chain[:650]).of("b") == 650


def test_a_hole_in_front_hides_the_blocks_behind_it():
    index = make_index()
    index.add("a", chain_of(2, 3))
    assert index.match(chain_of(1, 2, 3)).of("a") == 0


def test_memory_stays_bound_when_far_more_is_told_than_fits():
    table = PrefixTable(12_000)
    before = table.memory_bytes
    blocks = numpy.random.default_rng(2).integers(1, 2**62, 20_000, dtype=numpy.int64)
    table.add(blocks, 3)
    assert table.memory_bytes == before <= 12_000
    assert table.overwritten >= 17_000
    assert table.count(3) <= 3_000


def test_more_runners_than_one_table_holds_are_kept_apart():
    index = PrefixIndex(200_000, 64)
    for number in range(64):
        index.identify(f"r{number}", FIRST)
    index.add("r3", chain_of(1, 2))
    index.add("r40", chain_of(1))
    matches = index.match(chain_of(1, 2))
    assert [matches.of("r3"), matches.of("r40"), matches.of("r35")] == [2, 1, 0]
    index.forget("r3")
    assert index.match(chain_of(1, 2)).of("r3") == 0
    index.identify("late", FIRST)
    assert index.match(chain_of(1, 2)).of("late") == 0


@pytest.mark.parametrize("slots", [SLOTS_PER_TABLE, WIDE_SLOTS_PER_TABLE])
def test_a_table_grows_in_portions_and_keeps_every_belief(slots):
    table = PrefixTable(4_000_000, slots)
    blocks = numpy.random.default_rng(3).integers(-(2**63), 2**63 - 1, 700_000, dtype=numpy.int64)
    portion = table.memory_bytes
    assert portion <= 4_000_000 / 32
    for start in range(0, len(blocks), 1_000):
        before = table.memory_bytes
        table.add(blocks[start : start + 1_000], start // 1_000 % slots)
        assert table.memory_bytes - before in (0, portion)
    assert portion < table.memory_bytes <= 4_000_000
    assert table.overwritten < 0.001 * len(blocks)
    held = table.masks(blocks) >> (numpy.arange(len(blocks)) // 1_000 % slots).astype("u8") & 1
    assert held.sum() > 0.998 * len(blocks)
    before_drop = table.count(3)
    table.drop(2)
    assert table.count(2) == 0 and table.count(3) == before_drop
    for start in range(0, len(blocks), 1_000):
        table.remove(blocks[start : start + 1_000], start // 1_000 % slots)
    assert not table.masks(blocks).any()


def test_unknown_blocks_match_no_more_often_than_the_stated_rate():
    table = PrefixTable(1_000_000)
    rng = numpy.random.default_rng(4)
    known, unknown = rng.integers(-(2**63), 2**63 - 1, (2, 200_000), dtype=numpy.int64)
    table.add(known, 5)
    assert 0 < numpy.count_nonzero(table.masks(unknown)) < table.false_match_rate * len(unknown)


def test_a_block_held_by_every_runner_is_believed_of_each():
    index = PrefixIndex(200_000)
    for number in range(SLOTS_PER_TABLE):
        index.identify(f"r{number}", FIRST)
        index.add(f"r{number}", chain_of(1, 2, 3))
    assert index.match(chain_of(1, 2, 3)).blocks.tolist() == [3] * SLOTS_PER_TABLE
    index.remove("r7", chain_of(2))
    assert index.match(chain_of(1, 2, 3)).of("r7") == 1
    assert index.match(chain_of(1, 2, 3)).of("r15") == 3

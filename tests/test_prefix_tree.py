"""Tests of the tree of sent chains against plain sets, and of its bounds."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.routing.beliefs import BELIEVED_LIFETIMES, MAXIMUM_RUNS, BeliefBook
from martenrun.routing.prefix_tree import MAXIMUM_HOLDERS, PrefixTree

HOLDERS = ("r0", "r1", "r2")


def chain_of(letters):
    return b"".join(letter.encode() * 8 for letter in letters)


def leading_of(sent, chain, since):
    """Return the leading blocks by a plain dictionary of prefixes and times."""
    blocks = 0
    while blocks * 8 < len(chain) and sent.get(chain[: blocks * 8 + 8], float("-inf")) >= since:
        blocks += 1
    return blocks


words = st.text("ab", min_size=1, max_size=6)
steps = st.lists(st.tuples(st.sampled_from(HOLDERS), words, st.none() | st.integers(0, 6)))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(steps=steps, asked=st.lists(words, min_size=1, max_size=5), since=st.integers(-5, 10))
def test_every_holder_is_found_as_by_a_plain_dictionary(steps, asked, since):
    tree, sent = PrefixTree(10**6), {holder: {} for holder in HOLDERS}
    for now, (holder, word, kept) in enumerate(steps):
        chain = chain_of(word)
        ends = range(8, len(chain) + 8, 8)
        if kept is None:
            tree.add(holder, chain, float(now))
            sent[holder].update({chain[:end]: float(now) for end in ends})
            continue
        tree.remove(holder, chain, kept)
        for end in ends[kept:]:
            sent[holder].pop(chain[:end], None)
    for chain in map(chain_of, asked):
        expected = [leading_of(sent[holder], chain, since) for holder in HOLDERS]
        assert tree.leading(chain, HOLDERS, [since] * 3) == expected


def test_the_bound_of_memory_forgets_the_chains_sent_longest_ago():
    tree, rng = PrefixTree(100_000), random.Random(1)
    shared, chains = rng.randbytes(80), [rng.randbytes(80) for _ in range(300)]
    for now, chain in enumerate(chains):
        tree.add("r1", shared + chain, float(now))
        assert tree.memory_bytes <= 100_000
    found = [tree.leading(shared + chain, ["r1"], [0.0])[0] for chain in chains]
    assert found[-100:] == [20] * 100
    assert found[0] == 10


def test_a_chain_names_no_more_than_a_few_holders_the_latest_ones():
    tree = PrefixTree(10**6)
    for number in range(3 * MAXIMUM_HOLDERS):
        tree.add(number, b"x" * 8, float(number))
    found = tree.leading(b"x" * 8, range(3 * MAXIMUM_HOLDERS), [0.0] * 3 * MAXIMUM_HOLDERS)
    assert found == [0] * 2 * MAXIMUM_HOLDERS + [1] * MAXIMUM_HOLDERS


def test_a_home_believes_in_more_runners_than_a_table_of_masks_has_slots_for():
    beliefs, rng = BeliefBook(600_000, 600_000), random.Random(1)
    chains = {f"r{number}": rng.randbytes(80) for number in range(200)}
    for runner, chain in chains.items():
        beliefs.identify(runner, "1", "v1")
        beliefs.routed(runner, chain, 0, 0.0)
    assert all(beliefs.leading(chain, (name,), 1.0) == [10] for name, chain in chains.items())


def test_runners_that_have_gone_for_good_are_forgotten_in_the_end():
    beliefs = BeliefBook(600_000, 600_000)
    first = beliefs.identify("r0", "1", "v1")
    assert beliefs.identify("r0", "1", "v1") is first
    for number in range(1, MAXIMUM_RUNS + 1):
        beliefs.identify(f"r{number}", "1", "v1")
    assert beliefs.identify("r0", "1", "v1") is not first


@settings(derandomize=True, deadline=None, max_examples=30)
@given(steps=st.lists(st.tuples(st.floats(0.1, 9.0), st.booleans(), st.booleans()), max_size=60))
def test_beliefs_end_by_the_lifetime_learned_last_and_with_the_run(steps):
    beliefs, rng = BeliefBook(600_000, 600_000), random.Random(1)
    now, restarts, sent = 0.0, 0, {}
    for pause_s, is_right, is_restarted in steps:
        now += pause_s
        restarts += is_restarted
        beliefs.identify("r1", f"run-{restarts}", "v1")
        if is_restarted:
            sent.clear()
        chain = rng.randbytes(8)
        beliefs.routed("r1", chain, 0, now)
        sent[chain] = now
        for known, at in sent.items():
            expected = int(at >= now - BELIEVED_LIFETIMES * beliefs.lifetime_s("r1"))
            assert beliefs.leading(known, ("r1",), now) == [expected]
        beliefs.judged("r1", 4, 4 if is_right else 0)

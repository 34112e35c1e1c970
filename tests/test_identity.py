"""Tests of prompt identities."""

from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.identity.chain import block_count, chain_seed, hash_chain
from martenrun.identity.rendezvous import ranked

SEED = chain_seed("tenant", "v1")


def test_prompts_share_hashes_exactly_up_to_their_common_blocks():
    one = hash_chain(b"a" * 300 + b"b" * 100, SEED, 100)
    other = hash_chain(b"a" * 300 + b"c" * 100, SEED, 100)
    assert one[:24] == other[:24]
    assert one[24:] != other[24:]


def test_tenants_and_versions_never_share_hashes():
    text = b"x" * 1000
    chains = [
        hash_chain(text, chain_seed(tenant, version), 100)
        for tenant, version in (("a", "v1"), ("b", "v1"), ("a", "v2"))
    ]
    hashes = [chain[i : i + 8] for chain in chains for i in range(0, len(chain), 8)]
    assert len(set(hashes)) == len(hashes)


def test_a_prompt_below_one_block_has_no_blocks():
    assert block_count(hash_chain(b"short", SEED, 100)) == 0


@settings(derandomize=True, deadline=None)
@given(st.sets(st.text("abc", min_size=1, max_size=5), min_size=2), st.binary())
def test_removing_a_member_moves_only_its_own_keys(members, key):
    order = ranked(key, members)
    assert ranked(key, members - {order[-1]}) == order[:-1]

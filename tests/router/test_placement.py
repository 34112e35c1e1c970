"""Tests of placement by cached prefixes, pending prefill, memory, weights and failures."""

from martenrun.router.messages import PromptPart
from martenrun.router.placement import Placement
from martenrun.router.tuning import DEFAULTS

from .builders import placement_query, state

PARTS = (PromptPart(b"aa", 2_000), PromptPart(b"bb", 4_000), PromptPart(b"cc", 1_000))


def query(**changes):
    return placement_query(
        parts=PARTS,
        model="m",
        target_version=1,
        needed_tokens=7_000,
        memory_tokens=100_000,
        **changes,
    )


def states(count=6):
    return [state(f"i-{number}") for number in range(count)]


def test_every_router_chooses_the_same_runner_for_a_prefix():
    chosen = {Placement().choose(query(), states()).runner.instance for _ in range(5)}
    assert len(chosen) == 1


def test_removed_runner_moves_only_its_own_prefixes():
    candidates = states()
    first = Placement().choose(query(), candidates)
    others = [item for item in candidates if item is not candidates[0]]
    if first is not candidates[0]:
        assert Placement().choose(query(), others) is first


def test_backlog_moves_a_prefix_to_another_runner():
    candidates = states()
    first = Placement().choose(query(), candidates)
    first.other_prefill_tokens = 50_000
    assert Placement().choose(query(), candidates) is not first


def test_runner_without_free_memory_is_skipped():
    candidates = states()
    first = Placement().choose(query(), candidates)
    first.other_kv_cache_tokens = 95_000
    assert Placement().choose(query(), candidates) is not first


def test_draining_tried_loading_and_failing_runners_are_skipped():
    candidates = states(5)
    candidates[0].runner = state("i-0", is_draining=True).runner
    candidates[1].loading_until = 200.0
    candidates[2].record_failure(100.0, weight=9.0)
    for _ in range(3):
        chosen = Placement().choose(query(tried_instances=("i-3",)), candidates)
        assert chosen is candidates[4]


def test_failing_runner_is_used_if_there_is_no_other():
    only = states(1)
    only[0].record_failure(100.0, weight=9.0)
    assert Placement().choose(query(), only) is only[0]


def test_draining_or_loading_runner_is_never_chosen():
    draining = [state("i-0", is_draining=True)]
    loading = states(1)
    loading[0].loading_until = 200.0
    assert Placement().choose(query(), draining) is None
    assert Placement().choose(query(), loading) is None


def test_runner_with_expired_weights_is_never_chosen():
    old = [state("i-0", weights={"m": 1}), state("i-1", weights={"m": 1})]
    assert Placement().choose(query(minimum_version=2), old) is None


def test_new_weights_are_preferred():
    mixed = [state(f"i-{number}", weights={"m": 1}) for number in range(5)]
    mixed.append(state("i-5", weights={"m": 2}))
    chosen = Placement().choose(
        placement_query(parts=PARTS[-1:], model="m", target_version=2), mixed
    )
    assert chosen is mixed[5]


def test_unresponsive_runner_with_pending_requests_is_avoided():
    candidates = states(2)
    first = Placement().choose(query(), candidates)
    first.record_sent(99.0)
    assert Placement().choose(query(), candidates) is not first
    first.record_data(99.9)
    assert not first.is_avoided(100.0)


def test_request_without_a_prompt_goes_to_the_least_loaded_runner_of_the_zone():
    near, far = state("i-0"), state("i-1", zone="z2")
    assert Placement().choose(placement_query(), [near, far]) is near
    near.in_flight = 3
    assert Placement().choose(placement_query(), [near, far]) is far


def test_failure_score_decays():
    item = state("i-0")
    item.record_failure(0.0, weight=4.0)
    assert item.is_avoided(0.1)
    assert not item.is_avoided(10.0)


def test_isolated_tenants_share_no_parts():
    placement = Placement()
    candidates = states()
    placement.record_prefill(query(isolation_key=b"t1"), candidates[0])
    shared = placement.prefill_tokens(query(isolation_key=b"t1"), candidates[0])
    isolated = placement.prefill_tokens(query(isolation_key=b"t2"), candidates[0])
    assert shared == 1_000
    assert isolated == 7_000


def test_parts_are_fetched_from_the_runner_that_prefilled_them_last():
    placement = Placement()
    candidates = states()
    first = placement.choose(query(), candidates)
    reader, chosen = [item for item in candidates if item is not first][:2]
    placement.record_prefill(query(), reader)
    assert placement.cache_source(query(), chosen, candidates) is reader
    assert placement.cache_source(query(), reader, candidates) is None


def test_parts_not_known_to_be_cached_are_fetched_from_the_first_runner_by_hashing():
    """Guards against repeated prefill of parts that are cached through other routers' requests."""
    placement = Placement()
    candidates = states()
    first = placement.choose(query(), candidates)
    chosen = next(item for item in candidates if item is not first)
    assert placement.cache_source(query(), chosen, candidates) is first
    placement.record_prefill(query(), chosen)
    assert placement.cache_source(query(now=200.0), chosen, candidates) is first


def test_prefix_is_saved_again_only_after_an_interval():
    """Guards against filling the store and its link, as unshared parts are saved as well."""
    placement = Placement()
    reader, other = states()[:2]
    again_s = DEFAULTS.placement.save_again_s
    assert placement.needs_cache_save(query(), reader)
    placement.record_prefill(query(), reader)
    assert not placement.needs_cache_save(query(now=100.0 + again_s - 0.1), other)
    placement.record_prefill(query(now=100.0 + again_s - 0.1), other)
    assert placement.needs_cache_save(query(now=100.0 + again_s), other)


def test_prefix_is_saved_for_each_version_and_isolated_tenant():
    placement = Placement()
    old, new = states()[:2]
    new.record_weights("m", 2)
    placement.record_prefill(query(), old)
    assert not placement.needs_cache_save(query(), old)
    assert placement.needs_cache_save(query(), new)
    assert placement.needs_cache_save(query(isolation_key=b"t1"), old)


def test_prompt_without_shared_parts_is_not_saved():
    alone = placement_query(parts=(PromptPart(b"own", 500),), model="m")
    assert not Placement().needs_cache_save(alone, states()[0])


def test_parts_are_not_fetched_from_avoided_runners_or_other_weights():
    candidates = states()
    placement = Placement()
    chosen, *others = candidates
    for item in others:
        item.record_weights("m", 2)
    assert placement.cache_source(query(), chosen, candidates) is None
    chosen.record_weights("m", 2)
    assert placement.cache_source(query(), chosen, candidates) in others
    for item in others:
        item.loading_until = 1_000.0
    assert placement.cache_source(query(), chosen, candidates) is None


def test_prompt_without_shared_parts_has_no_cache_source():
    alone = placement_query(parts=(PromptPart(b"own", 500),), model="m")
    assert Placement().cache_source(alone, states()[0], states()) is None


def test_backlog_extends_the_unresponsive_timeout():
    busy = state("i-0")
    busy.record_sent(99.0)
    busy.pending_prefill_tokens = 24_000
    assert not busy.is_unresponsive(100.0)
    assert busy.is_unresponsive(102.0)

"""Metrics by tenant and pool: bounded labels, and figures that are true of the request."""

import random

from prometheus_client.parser import text_string_to_metric_families

from martenrun.backends.engine import AttemptOutcome, AttemptResult
from martenrun.identity.chain import chain_seed, hash_chain
from martenrun.observability.labels import OTHER, OTHER_PAIR, BusiestLabels, LabelPair
from martenrun.observability.metrics import MAXIMUM_NAMED_PAIRS, EdgeMetrics
from martenrun.observability.recent_blocks import RecentBlocks
from martenrun.observability.requests import RequestObservation
from martenrun.wire.messages import DecideRequest

TENANTS = 5_100
CHAIN = hash_chain(b"n" * 40_000, chain_seed("growers", "v1"), 4_000)


def series(metrics, name):
    """Return the values of a metric's samples by tenant."""
    families = text_string_to_metric_families(metrics.exposition().decode())
    samples = [sample for family in families for sample in family.samples]
    return {each.labels["tenant"]: each.value for each in samples if each.name == name}


def question(request_id="r", tenant="growers"):
    return DecideRequest(request_id, tenant, chain=CHAIN)


def test_the_busiest_are_named_also_when_they_come_last():
    rng = random.Random(7)
    labels = BusiestLabels(maximum=10)
    for _ in range(2_000):
        labels.use(LabelPair(f"small-{rng.randrange(TENANTS)}", "p"))
    for _ in range(2_000):
        tenant = rng.choice([f"large-{rng.randrange(5)}", f"small-{rng.randrange(TENANTS)}"])
        labels.use(LabelPair(tenant, "p"))
    large = [LabelPair(f"large-{index}", "p") for index in range(5)]
    assert [labels.use(pair).labels for pair in large] == large
    assert labels.use(LabelPair("new", "p")).labels == OTHER_PAIR


def test_series_stay_bounded_and_dropped_ones_go():
    metrics = EdgeMetrics()
    for index in range(TENANTS):
        metrics.pair(f"tenant-{index}", "p").ended("ok")
    for _ in range(100):
        metrics.pair("late", "p").ended("ok")
    found = series(metrics, "martenrun:tenant_requests_total")
    assert len(found) == MAXIMUM_NAMED_PAIRS + 1
    assert found["late"] > 50
    assert found[OTHER] > TENANTS - MAXIMUM_NAMED_PAIRS
    assert len(series(metrics, "martenrun:time_to_first_token_seconds_count")) == len(found)


def test_hit_rate_and_recomputation_follow_what_engines_report():
    metrics = EdgeMetrics()
    for cached in (0, 10_000, 4_000):
        request = RequestObservation(metrics)
        request.identified(question(), "r", "readers")
        result = AttemptResult(AttemptOutcome.COMPLETE, prompt_tokens=10_000, cached_tokens=cached)
        request.attempt_ended(result, has_resumed=False)
        request.whole()
    assert series(metrics, "martenrun:prompt_tokens_total") == {"growers": 30_000}
    assert series(metrics, "martenrun:cached_prompt_tokens_total") == {"growers": 14_000}
    # The first request had nothing to find; the third computed again what was sent before.
    assert series(metrics, "martenrun:recomputed_prompt_tokens_total") == {"growers": 6_000}


def test_retries_and_resumed_streams_are_told_apart():
    metrics = EdgeMetrics()
    request = RequestObservation(metrics)
    request.identified(question(), "r", "readers")
    request.attempt_started(is_first=True, has_output=False)
    request.attempt_ended(AttemptResult(AttemptOutcome.NOT_RUN), has_resumed=False)
    request.attempt_started(is_first=False, has_output=False)
    request.first_output(is_stream=True)
    for tokens in (1, 2, 2):
        request.output(tokens)
    request.attempt_ended(AttemptResult(AttemptOutcome.BROKEN), has_resumed=False)
    request.attempt_started(is_first=False, has_output=True)
    request.output(3)
    assert series(metrics, "martenrun:retries_total") == {"growers": 1}
    assert series(metrics, "martenrun:resumed_streams_total") == {"growers": 1}
    assert series(metrics, "martenrun:queue_wait_seconds_count") == {"growers": 3}
    assert series(metrics, "martenrun:time_between_tokens_seconds_count") == {"growers": 2}


def test_recent_blocks_forget_the_oldest():
    blocks = RecentBlocks(maximum=15)
    other = hash_chain(b"m" * 40_000, chain_seed("growers", "v1"), 4_000)
    assert [blocks.leading(chain) for chain in (CHAIN, CHAIN, other, CHAIN)] == [0, 10, 0, 0]

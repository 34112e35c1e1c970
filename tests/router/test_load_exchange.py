"""Tests of the load exchange: long prompts are broadcast at once, others sent with records."""

from martenrun.router.load_exchange import (
    BROADCAST_THRESHOLD_TOKENS,
    REPORT_INTERVAL_S,
    LoadExchange,
)
from martenrun.router.peer_messages import RunnerLoad
from martenrun.router.runner_pool import RunnerPool

from .builders import runner
from .fakes import FakeLoop, FakePeers
from .test_peers import record


def exchange():
    """Return an exchange over one runner, its peers and the runner's state."""
    pool = RunnerPool(FakeLoop())
    pool.update({"i-0": runner("i-0")})
    peers = FakePeers(record("own"))
    return LoadExchange(pool, peers), peers, pool.state("i-0")


def test_long_prompt_is_broadcast_when_sent_and_when_prefilled():
    loads, peers, state = exchange()
    state.record_sent(0.0)
    state.pending_prefill_tokens, state.kv_cache_tokens = 9_000.0, 9_200
    loads.report_pending_prefill(state)
    state.pending_prefill_tokens = 0.0
    loads.report_pending_prefill(state)
    assert peers.load_updates == [
        ("i-0", RunnerLoad(1, 9_000, 9_200)),
        ("i-0", RunnerLoad(1, 0, 9_200)),
    ]


def test_report_of_a_long_prefill_is_repeated():
    loads, peers, state = exchange()
    state.record_sent(0.0)
    state.pending_prefill_tokens = 9_000.0
    loads.report_pending_prefill(state)
    peers.time = REPORT_INTERVAL_S / 2
    loads.repeat_reports()
    assert len(peers.load_updates) == 1
    peers.time = REPORT_INTERVAL_S * 1.1
    loads.repeat_reports()
    assert peers.load_updates == [("i-0", RunnerLoad(1, 9_000, 0))] * 2
    state.pending_prefill_tokens = 0.0
    loads.report_pending_prefill(state)
    peers.time *= 3
    loads.repeat_reports()
    assert len(peers.load_updates) == 3


def test_short_prompts_are_broadcast_once_they_add_up():
    loads, peers, state = exchange()
    step = BROADCAST_THRESHOLD_TOKENS * 0.4
    for _ in range(6):
        state.pending_prefill_tokens += step
        loads.report_pending_prefill(state)
    assert len(peers.load_updates) == 2


def test_only_loads_of_live_routers_are_summed():
    loads, peers, state = exchange()
    peers.records = [
        record("b", loads={"i-0": RunnerLoad(2, 3_000, 4_000)}),
        record("c", loads={"i-0": RunnerLoad(1, 500, 600), "i-9": RunnerLoad(1, 1, 1)}),
    ]
    loads.update_from_records()
    assert (state.other_requests, state.other_prefill_tokens, state.other_kv_cache_tokens) == (
        3,
        3_500,
        4_600,
    )
    peers.records = peers.records[1:]
    loads.mark_outdated("i-0")
    loads.mark_outdated("i-9")
    loads.refresh()
    assert (state.other_requests, state.other_prefill_tokens, state.other_kv_cache_tokens) == (
        1,
        500,
        600,
    )


def test_own_loads_contain_only_runners_with_requests():
    loads, _peers, state = exchange()
    assert loads.own_loads() == {}
    state.record_sent(0.0)
    assert loads.own_loads() == {"i-0": RunnerLoad(1, 0, 0)}


def test_many_reports_cause_one_recomputation():
    loads, peers, _state = exchange()
    peers.asked = 0
    live = peers.live

    def counted():
        peers.asked += 1
        return live()

    peers.live = counted
    for _ in range(50):
        loads.mark_outdated("i-0")
    loads.refresh()
    loads.refresh()
    assert peers.asked == 1

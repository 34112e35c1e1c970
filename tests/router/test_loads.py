"""Loads of runners: long prompts are told at once, the rest with the records."""

from martenrun.router.loads import READING_TOLD_AGAIN_S, TOLD_AT_ONCE_TOKENS, LoadExchange
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


def test_a_long_prompt_is_told_at_once_when_it_is_sent_and_when_it_is_read():
    loads, peers, state = exchange()
    state.note_sent(0.0)
    state.reading, state.held = 9_000.0, 9_200
    loads.note_reading(state)
    state.reading = 0.0
    loads.note_reading(state)
    assert peers.load_updates == [
        ("i-0", RunnerLoad(1, 9_000, 9_200)),
        ("i-0", RunnerLoad(1, 0, 9_200)),
    ]


def test_a_prompt_that_is_read_for_long_is_told_of_again():
    loads, peers, state = exchange()
    state.note_sent(0.0)
    state.reading = 9_000.0
    loads.note_reading(state)
    peers.time = READING_TOLD_AGAIN_S / 2
    loads.tell_again()
    assert len(peers.load_updates) == 1
    peers.time = READING_TOLD_AGAIN_S * 1.1
    loads.tell_again()
    assert peers.load_updates == [("i-0", RunnerLoad(1, 9_000, 0))] * 2
    state.reading = 0.0
    loads.note_reading(state)
    peers.time *= 3
    loads.tell_again()
    assert len(peers.load_updates) == 3


def test_short_prompts_are_told_once_they_add_up():
    loads, peers, state = exchange()
    step = TOLD_AT_ONCE_TOKENS * 0.4
    for _ in range(6):
        state.reading += step
        loads.note_reading(state)
    assert len(peers.load_updates) == 2


def test_what_others_tell_is_added_up_and_what_the_dead_told_is_not():
    loads, peers, state = exchange()
    peers.records = [
        record("b", loads={"i-0": RunnerLoad(2, 3_000, 4_000)}),
        record("c", loads={"i-0": RunnerLoad(1, 500, 600), "i-9": RunnerLoad(1, 1, 1)}),
    ]
    loads.take_records()
    assert (state.elsewhere, state.reading_elsewhere, state.held_elsewhere) == (3, 3_500, 4_600)
    peers.records = peers.records[1:]
    loads.take_reading("i-0")
    loads.take_reading("i-9")
    loads.refresh()
    assert (state.elsewhere, state.reading_elsewhere, state.held_elsewhere) == (1, 500, 600)


def test_a_router_tells_only_of_runners_that_work_for_it():
    loads, _peers, state = exchange()
    assert loads.own_loads() == {}
    state.note_sent(0.0)
    assert loads.own_loads() == {"i-0": RunnerLoad(1, 0, 0)}


def test_sums_are_made_once_for_many_readings_told():
    loads, peers, _state = exchange()
    peers.asked = 0
    live = peers.live

    def counted():
        peers.asked += 1
        return live()

    peers.live = counted
    for _ in range(50):
        loads.take_reading("i-0")
    loads.refresh()
    loads.refresh()
    assert peers.asked == 1

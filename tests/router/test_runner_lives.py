"""A runner that starts again under its id: all that was believed of its earlier start has ended."""

import pytest

from martenrun.platform import DIALECT
from martenrun.router.messages import RouteKind, StoredObject
from martenrun.router.peer_messages import UnresponsiveRunnerUpdate, WeightsUpdate
from martenrun.router.runner_life import life_key
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.seen_parts import SeenParts
from martenrun.router.silence import take_silence
from martenrun.router.store_state import RunnerDirectory
from martenrun.router.weights_news import take_weights_news

from .builders import route, state
from .fakes import FakeLoop
from .test_broken_entries import GOOD
from .test_forwarding import FULL, Played
from .test_forwarding import GOOD as GOOD_ANSWER

BORN = 1_774_121_905_851


def entry(born=BORN, **changes):
    """The runner i-1 as it stands in the store."""
    return DIALECT.read_runner(StoredObject("i-1", 1, {**GOOD, "born": born, **changes}))


class Listed:
    """The runners that a router knows, and its beliefs about them."""

    def __init__(self):
        self.loop = FakeLoop()
        self.runners = RunnerDirectory()
        self.pool = RunnerPool(self.loop)

    def put(self, runner):
        self.runners.put(runner)
        self.pool.update(self.runners.runners)
        return self.pool.state(runner.instance)


@pytest.mark.parametrize("later", [BORN + 1, BORN + 60_000, BORN - 5_000], ids=str)
def test_a_drained_runner_that_starts_again_is_ready(later):
    """Also where its clock has gone back: the store's order of entries tells which is newer."""
    listed = Listed()
    listed.put(entry(state="draining"))
    listed.put(entry(state="ready"))
    assert [runner.is_draining for runner in listed.runners.runners.values()] == [True]
    listed.put(entry(later))
    assert [runner.is_draining for runner in listed.runners.runners.values()] == [False]


def test_nothing_is_believed_of_the_new_start():
    listed = Listed()
    before = listed.put(entry())
    before.reading = 5_000.0
    before.note_sent(100.0)
    before.learn_weights("m", 7)
    before.loading_until = before.full_until = 900.0
    before.note_failure(100.0, 9.0)
    after = listed.put(entry(BORN + 1, models=[{"name": "m", "version": 2}]))
    assert after is not before
    assert (after.load, after.backlog_tokens, after.weights_version("m")) == (0, 0.0, 2)
    assert not after.is_avoided(100.0)
    assert listed.runners.is_replaced(before.runner) and not listed.runners.is_replaced(
        after.runner
    )


def test_late_news_of_the_earlier_start_changes_nothing():
    listed = Listed()
    before = listed.put(entry())
    after = listed.put(entry(BORN + 1))
    for instance in (before.runner.instance, "i-1"):
        take_silence(listed, UnresponsiveRunnerUpdate("10.0.0.2:7", instance), 100.0)
        take_weights_news(listed, WeightsUpdate([instance], "m", 9, True))
    assert after.weights_version("m") == 2 and not after.is_avoided(100.0)


def test_parts_kept_by_the_earlier_start_are_not_looked_for_at_the_later_one():
    seen = SeenParts()
    seen.note(entry().instance, b"part", 100.0)
    assert seen.is_at(entry().instance, b"part", 100.1)
    assert not seen.is_at(entry(BORN + 1).instance, b"part", 100.1)


def test_an_entry_that_is_gone_ends_whichever_start_it_was_of():
    listed = Listed()
    listed.put(entry())
    listed.put(entry(BORN + 1))
    listed.runners.remove("i-1")
    assert not listed.runners.runners


def test_requests_and_orders_name_the_runner_by_its_id():
    assert entry().instance != "i-1" == entry().name
    assert life_key("i-1", None) == "i-1"


def test_a_request_at_a_runner_that_started_again_goes_on_elsewhere_at_once():
    """The connection may stay silent for long where the runner crashed behind a cut."""
    played = Played(states=[state("i-0~1", name="i-0")])
    played.world.runners.put(played.states[0].runner)
    assert played.pool.sent == ["i-0~1"]
    played.states[:] = [state("i-0~2", name="i-0")]
    played.world.runners.put(played.states[0].runner)
    played.pool.script = [GOOD_ANSWER]
    played.forwarding.leave_ended_runner()
    played.run(0.1)
    assert played.pool.sent == ["i-0~1", "i-0~2"]
    assert played.exchange.answers[0][0] == 200


def test_a_request_that_must_not_run_twice_is_not_sent_again_there():

    played = Played(states=[state("i-0~1", name="i-0")], the_route=route(kind=RouteKind.UNSAFE))
    played.world.runners.put(played.states[0].runner)
    played.states[:] = [state("i-0~2", name="i-0")]
    played.world.runners.put(played.states[0].runner)
    played.forwarding.leave_ended_runner()
    played.run(0.1)
    assert played.pool.sent == ["i-0~1"]
    assert played.exchange.answers[0][0] == 502


def test_a_runner_that_is_only_full_is_not_taken_for_one_that_ended():
    played = Played([FULL], states=[state("i-0~1", name="i-0")])
    played.world.runners.put(played.states[0].runner)
    played.forwarding.leave_ended_runner()
    played.run(0.001)
    assert played.pool.sent == ["i-0~1"]

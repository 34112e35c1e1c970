"""Tests that no state of an earlier runner instance applies to a restarted runner."""

import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.messages import RouteKind, StoredObject
from martenrun.router.peer_messages import UnresponsiveRunnerUpdate, WeightsUpdate
from martenrun.router.prefilled_parts import PrefilledParts
from martenrun.router.request_moves import move_off_replaced_runner
from martenrun.router.runner_instance import instance_key
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.store.state import RunnerDirectory
from martenrun.router.unresponsive_runners import record_unresponsive
from martenrun.router.weights_updates import apply_weights_update

from .builders import route, state
from .fakes import FakeLoop
from .test_broken_entries import GOOD
from .test_forwarding import FULL, ForwardingCase
from .test_forwarding import GOOD as GOOD_RESPONSE

BORN = 1_774_121_905_851


def entry(born=BORN, **changes):
    """Return the runner i-1 as read from the store."""
    return PLATFORM_ADAPTER.read_runner(StoredObject("i-1", 1, {**GOOD, "born": born, **changes}))


class KnownRunners:
    """The runners that a router knows and their state."""

    def __init__(self):
        self.loop = FakeLoop()
        self.runners = RunnerDirectory()
        self.pool = RunnerPool(self.loop)

    def put(self, runner):
        self.runners.put(runner)
        self.pool.update(self.runners.runners)
        return self.pool.state(runner.instance)


@pytest.mark.parametrize("later", [BORN + 1, BORN + 60_000, BORN - 5_000], ids=str)
def test_restarted_runner_is_not_draining(later):
    """Covers clocks set back: the newer entry is determined by the store's revisions."""
    known = KnownRunners()
    known.put(entry(state="draining"))
    known.put(entry(state="ready"))
    assert [runner.is_draining for runner in known.runners.runners.values()] == [True]
    known.put(entry(later))
    assert [runner.is_draining for runner in known.runners.runners.values()] == [False]


def test_new_instance_has_no_state_of_the_previous_one():
    known = KnownRunners()
    before = known.put(entry())
    before.pending_prefill_tokens = 5_000.0
    before.record_sent(100.0)
    before.record_weights("m", 7)
    before.loading_until = before.full_until = 900.0
    before.record_failure(100.0, 9.0)
    after = known.put(entry(BORN + 1, models=[{"name": "m", "version": 2}]))
    assert after is not before
    assert (after.load, after.backlog_tokens, after.weights_version("m")) == (0, 0.0, 2)
    assert not after.is_avoided(100.0)
    assert known.runners.is_replaced(before.runner) and not known.runners.is_replaced(after.runner)


def test_late_updates_of_an_earlier_instance_are_ignored():
    known = KnownRunners()
    before = known.put(entry())
    after = known.put(entry(BORN + 1))
    for instance in (before.runner.instance, "i-1"):
        record_unresponsive(known, UnresponsiveRunnerUpdate("10.0.0.2:7", instance), 100.0)
        apply_weights_update(known, WeightsUpdate([instance], "m", 9, True))
    assert after.weights_version("m") == 2 and not after.is_avoided(100.0)


def test_cached_parts_do_not_carry_over_to_a_new_instance():
    parts = PrefilledParts()
    parts.record_prefill(entry().instance, b"part", 100.0)
    assert parts.is_cached_at(entry().instance, b"part", 100.1)
    assert not parts.is_cached_at(entry(BORN + 1).instance, b"part", 100.1)


def test_removed_entry_removes_the_runner_of_any_instance():
    known = KnownRunners()
    known.put(entry())
    known.put(entry(BORN + 1))
    known.runners.remove("i-1")
    assert not known.runners.runners


def test_instance_key_differs_from_the_runner_name():
    assert entry().instance != "i-1" == entry().name
    assert instance_key("i-1", None) == "i-1"


def test_request_at_a_restarted_runner_is_retried_at_once():
    """Guards against a long wait on the connection of a runner that crashed while unreachable."""
    played = ForwardingCase(states=[state("i-0~1", name="i-0")])
    played.services.runners.put(played.states[0].runner)
    assert played.pool.sent == ["i-0~1"]
    played.states[:] = [state("i-0~2", name="i-0")]
    played.services.runners.put(played.states[0].runner)
    played.pool.script = [GOOD_RESPONSE]
    move_off_replaced_runner(played.services, played.forwarder)
    played.run(0.1)
    assert played.pool.sent == ["i-0~1", "i-0~2"]
    assert played.exchange.responses[0][0] == 200


def test_unsafe_request_at_a_restarted_runner_is_not_retried():
    played = ForwardingCase(
        states=[state("i-0~1", name="i-0")], custom_route=route(kind=RouteKind.UNSAFE)
    )
    played.services.runners.put(played.states[0].runner)
    played.states[:] = [state("i-0~2", name="i-0")]
    played.services.runners.put(played.states[0].runner)
    move_off_replaced_runner(played.services, played.forwarder)
    played.run(0.1)
    assert played.pool.sent == ["i-0~1"]
    assert played.exchange.responses[0][0] == 502


def test_full_runner_does_not_count_as_restarted():
    played = ForwardingCase([FULL], states=[state("i-0~1", name="i-0")])
    played.services.runners.put(played.states[0].runner)
    move_off_replaced_runner(played.services, played.forwarder)
    played.run(0.001)
    assert played.pool.sent == ["i-0~1"]

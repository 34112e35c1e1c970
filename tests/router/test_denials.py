"""Requests that would be denied while the store does not respond."""

import time
from types import SimpleNamespace

from platform_deployment import PlatformDeployment

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.platform.objects import _ENCODE
from martenrun.router.denials import (
    CONFIRM_TIMEOUT_S,
    DENIAL_WAIT_S,
    MAX_DENIAL_AGE_S,
    DenialRecheck,
)
from martenrun.router.store.state import ConfigurationState

from .builders import configuration
from .fakes import FakeLoop

UNCONFIRMED_S = 3.0
MOST_ANSWER_S = 0.3


class ReadStore:
    """Responds to reads of one object after a short delay, or not at all while ``is_silent``."""

    def __init__(self, loop):
        self.loop = loop
        self.is_silent = True
        self.era = 0
        self.reads = 0

    def call(self, call, timeout_s, on_response, max_response_s):
        self.reads += 1
        if self.is_silent:
            self.loop.call_later(timeout_s, lambda: on_response(None))
        else:
            body = _ENCODE({"metadata": {"name": "main", "revision": 1}, "spec": {}})
            self.loop.call_later(0.004, lambda: on_response(HttpResponse(200, [], body)))


class FakeExchange:
    def __init__(self, loop):
        self.loop = loop
        self.is_over = False
        self.responses = []

    def respond(self, status, headers):
        self.responses.append((self.loop.now(), status))
        self.is_over = True


class DenialWorld:
    def __init__(self):
        self.loop = FakeLoop()
        self.store = ReadStore(self.loop)
        self.state = ConfigurationState()
        self.state.put(configuration(1))
        self.state.confirm(self.loop.now())
        world = SimpleNamespace(loop=self.loop, configuration=self.state, adapter=PLATFORM_ADAPTER)
        admission = SimpleNamespace(
            admit=lambda exchange, call: SimpleNamespace(status=404, reason="no_route")
        )
        feed = SimpleNamespace(
            put_configuration=lambda stored: None, is_in_force=lambda stored: True
        )
        self.recheck = DenialRecheck(world, admission, self.store, feed, lambda *_: None)

    def send(self):
        exchange = FakeExchange(self.loop)
        self.recheck.recheck(exchange, SimpleNamespace(request_id=b"r"))
        return exchange

    def run(self, seconds):
        self.loop.run_until(self.loop.now() + seconds)

    def fail_one_read(self):
        self.run(MAX_DENIAL_AGE_S + 0.1)
        first = self.send()
        self.run(DENIAL_WAIT_S + CONFIRM_TIMEOUT_S + 0.01)
        assert [status for _, status in first.responses] == [503]


# Guards against denials that each wait for a store that does not respond.
def test_denials_are_refused_at_once_after_a_read_has_failed():
    world = DenialWorld()
    world.fail_one_read()
    later = world.send()
    world.run(DENIAL_WAIT_S + 0.01)
    assert [status for _, status in later.responses] == [503]


# Guards against one store call per denial.
def test_denials_share_one_read():
    world = DenialWorld()
    world.run(MAX_DENIAL_AGE_S + 0.1)
    sent = [world.send() for _ in range(20)]
    world.run(DENIAL_WAIT_S + 0.01)
    assert world.store.reads == 1
    world.run(CONFIRM_TIMEOUT_S)
    assert [len(exchange.responses) for exchange in sent] == [1] * 20


def test_denials_are_decided_after_a_background_read_succeeded():
    world = DenialWorld()
    world.fail_one_read()
    world.store.is_silent = False
    refused = world.send()
    world.run(DENIAL_WAIT_S + 0.02)
    decided = world.send()
    world.run(DENIAL_WAIT_S + 0.02)
    assert [status for _, status in refused.responses + decided.responses] == [503, 404]


def test_failed_read_is_forgotten_after_the_configuration_was_confirmed():
    world = DenialWorld()
    world.fail_one_read()
    world.run(1.0)
    world.state.confirm(world.loop.now())
    world.run(MAX_DENIAL_AGE_S + 0.1)
    waits = world.send()
    world.run(DENIAL_WAIT_S + 0.02)
    assert not waits.responses
    world.run(CONFIRM_TIMEOUT_S)
    assert [status for _, status in waits.responses] == [503]


# Guards against a ready router that does not respond on unknown routes while the store is
# unresponsive (soak seed 9001 with --limits).
def test_unknown_routes_get_a_timely_response_while_the_store_is_unresponsive():
    with PlatformDeployment(routers=1) as deployment:
        deployment.store.is_silent = True
        silent_since = time.monotonic()
        deployment.wait(lambda: time.monotonic() > silent_since + UNCONFIRMED_S)
        deployment.ask("/nowhere/", "first")
        took_s = []
        for number in range(3):
            began_at = time.monotonic()
            assert deployment.ask("/nowhere/", f"later-{number}").status == 503
            took_s.append(time.monotonic() - began_at)
        deployment.store.is_silent = False
    assert max(took_s) < MOST_ANSWER_S, took_s

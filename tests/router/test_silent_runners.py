"""Probes of silent runners, and requests that leave those that are down."""

from types import SimpleNamespace

import pytest

from martenrun.router.messages import RouteKind
from martenrun.router.request_moves import move_off_silent_runner
from martenrun.router.silent_runners import PROBE_VALIDITY_S, SilentRunners

from .builders import route, state
from .crash_world import Probes
from .fakes import FakeLoop
from .test_forwarding import GOOD, ForwardingCase

ADDRESS = "127.0.0.1:1"


@pytest.fixture
def loop():
    return FakeLoop()


def is_down_after_probe(loop, probes, runner):
    silent = SilentRunners(loop, probes)
    assert not silent.is_down(runner, loop.now())
    loop.run_until(loop.now() + 0.5)
    return silent, silent.is_down(runner, loop.now())


def test_a_runner_that_accepts_a_connection_is_not_down(loop):
    probes = Probes()
    silent, is_down = is_down_after_probe(loop, probes, state("i-1"))
    assert not is_down and len(probes.probed) == 1
    loop.run_until(loop.now() + PROBE_VALIDITY_S)
    silent.is_down(state("i-1"), loop.now())
    assert len(probes.probed) == 2


@pytest.mark.parametrize("result", ["refused", "inconclusive", "silent"])
def test_a_runner_that_accepts_no_connection_is_down_until_it_sends_data(loop, result):
    probes, runner = Probes(), state("i-1")
    getattr(probes, result).add(ADDRESS)
    silent, is_down = is_down_after_probe(loop, probes, runner)
    assert is_down
    runner.record_data(loop.now())
    assert not silent.is_down(runner, loop.now())


def test_probes_of_unlisted_runners_are_forgotten(loop):
    probes, runner = Probes(), state("i-1")
    probes.refused.add(ADDRESS)
    silent, is_down = is_down_after_probe(loop, probes, runner)
    silent.forget_unlisted({"i-2"})
    assert is_down and not silent.is_down(runner, loop.now())


def silent_case(is_down, **options):
    case = ForwardingCase(**options)
    case.services.silent_runners = SimpleNamespace(is_down=lambda _state, _now: is_down)
    case.pool.script = [GOOD]
    case.run(1.6)
    move_off_silent_runner(case.services, case.forwarder, case.loop.now())
    case.run(0.1)
    return case


# Guards against repeatable requests that wait for a runner without power until their timeout.
def test_a_repeatable_request_leaves_a_runner_that_is_down():
    case = silent_case(is_down=True)
    assert len(set(case.pool.sent)) == 2 and case.exchange.responses[0][0] == 200


# Guards against requests that leave a sound runner which pauses or prefills a long prompt.
def test_a_request_stays_at_a_silent_runner_that_accepts_connections():
    case = silent_case(is_down=False)
    assert len(case.pool.sent) == 1 and case.exchange.responses == []


def test_a_request_stays_if_it_may_not_be_repeated():
    case = silent_case(is_down=True, custom_route=route(kind=RouteKind.UNSAFE))
    assert len(case.pool.sent) == 1 and case.exchange.responses == []
    case = silent_case(is_down=True, budget_slack=0.0)
    assert len(case.pool.sent) == 1 and case.exchange.responses == []

"""Tests that every request sent to a rate-limited runner has a grant."""

import attrs
import pytest

from martenrun.router.messages import RouteKind
from martenrun.router.quotas.limit import runner_account
from martenrun.router.response_metadata import AdvertisedLimit
from martenrun.router.retry_schedule import JITTER_SHARE, MAXIMUM_DELAY_S, RetrySchedule

from .builders import route, state
from .test_forwarding import FULL, GOOD, ForwardingCase

LIMITED_RESPONSE = (200, [(b"X-Response-Stamp", b"s"), (b"Server-Limit", b"1")], b"ok")
WAIT_S = 1.5


@attrs.define
class FakeGrant:
    is_granted: bool
    wait_s: float = WAIT_S
    is_isolated: bool = False
    is_decided: bool = True
    owner: str = "r1"
    balance: float = 0.0
    asked: list = attrs.field(factory=list)
    use: object = type("Use", (), {"units": 1})()


class FakeGate:
    """Grants a fixed number of requests, each decided after a delay."""

    def __init__(self, loop, left=0, delay_s=0.002, is_isolated=False):
        self.loop = loop
        self.left = left
        self.delay_s = delay_s
        self.is_isolated = is_isolated
        self.asked = []
        self.given_back = 0

    def request(self, account, limit, units, on_decided, version):
        self.asked.append(account)
        grant = FakeGrant(self.left > 0, is_isolated=self.is_isolated, is_decided=False)
        self.left -= grant.is_granted

        def decide():
            if not grant.is_decided:
                grant.is_decided = True
                on_decided(grant)

        self.loop.call_later(self.delay_s, decide)
        return grant

    def give_back(self, grant):
        grant.is_decided = True
        self.given_back += 1


def limit_runners(played, *instances, left=0, **more):
    """Apply rate limits to runners and install a gate with ``left`` grants."""
    played.services.quotas = FakeGate(played.loop, left, **more)
    for instance in instances:
        limit = AdvertisedLimit(1.0, "1")
        played.services.runner_limits.record_advertised(instance, limit, played.loop.now())


def forward_request(script=(GOOD,) * 4, limited=("i-0", "i-1", "i-2"), left=0, gate=None, **more):
    """Forward one request to runners of which some are rate-limited."""

    def before(played):
        limit_runners(played, *limited, left=left, **(gate or {}))

    return ForwardingCase(script, setup=before, **more)


def refusal(played):
    status, headers, _ = played.exchange.responses[0]
    return status, float(headers[b"Retry-After"])


def test_request_waits_for_its_grant():
    played = forward_request(left=1).run(0.1)
    assert played.pool.sent == [played.services.quotas.asked[0].rpartition("\x00")[2]]
    assert played.exchange.responses[0][0] == 200 and played.services.quotas.given_back == 0


def test_request_without_a_grant_goes_to_another_runner():
    played = forward_request(limited=("i-0", "i-1")).run(0.1)
    assert played.pool.sent == ["i-2"] and played.exchange.responses[0][0] == 200


def test_request_is_refused_at_once_if_all_runners_are_exhausted():
    """Guards against holding a request until the caller can no longer be served elsewhere."""
    played = forward_request().run(0.02)
    assert played.pool.sent == [] and len(played.services.quotas.asked) == 3
    status, retry_after = refusal(played)
    assert status == 503 and WAIT_S - 0.1 <= retry_after <= WAIT_S + JITTER_SHARE * MAXIMUM_DELAY_S


def test_request_is_sent_once_without_a_quota_gate():
    """Guards against placing a request again and again until its deadline without sending it."""
    limit = AdvertisedLimit(1.0, "1")

    def before(played):
        played.services.runner_limits.record_advertised("i-0", limit, played.loop.now())

    played = ForwardingCase([GOOD], setup=before, states=[state("i-0")]).run(0.1)
    assert played.pool.sent == ["i-0"] and played.exchange.responses[0][0] == 200


def test_runner_is_skipped_until_its_grant_wait_has_passed():
    played = forward_request().run(0.02)
    assert all(item.is_limited(played.loop.now() + WAIT_S - 0.1) for item in played.states)
    assert not any(item.is_limited(played.loop.now() + WAIT_S + 0.1) for item in played.states)


def test_retry_needs_a_grant():
    """Guards against retries that bypass the rate limit."""
    failed = (500, [(b"X-Response-Stamp", b"s")], b"no")

    def states():
        return [state("i-0"), state("i-1", zone="z9")]

    played = forward_request([failed, GOOD], limited=("i-1",), states=states()).run(0.1)
    assert played.pool.sent == ["i-0"] and played.exchange.responses[0][0] == 500
    played = forward_request([failed, GOOD], limited=("i-1",), left=1, states=states()).run(0.1)
    assert played.pool.sent == ["i-0", "i-1"] and played.exchange.responses[0][0] == 200


def test_send_refused_by_the_runner_consumes_its_grant():
    """Guards against repeated sends to a full runner that bypass its limit."""
    played = forward_request([FULL] * 9, left=2).run(0.1)
    assert len(played.pool.sent) == 2 and played.services.quotas.given_back == 0


def test_limit_learned_while_connecting_is_enforced():
    """Guards against sending a request that was placed before the limit was known."""

    def before(played):
        played.pool.send = lambda chosen, *_: sends.append((chosen, _[1]))
        played.services.quotas = FakeGate(played.loop)

    sends = []
    played = ForwardingCase(setup=before, states=[state("i-0")])
    limit = AdvertisedLimit(1.0, "1")
    played.services.runner_limits.record_advertised("i-0", limit, played.loop.now())
    sends[0][1].on_sent()
    assert not sends[0][1].was_sent
    played.run(0.1)
    assert len(sends) == 1 and refusal(played)[0] == 503
    assert played.states[0].failure_score(played.loop.now()) == 0


def test_pending_grant_is_given_back_when_the_caller_disconnects():
    played = forward_request(left=1)
    played.exchange.on_disconnect()
    played.run(0.1)
    assert played.pool.sent == [] and played.services.quotas.given_back == 1
    assert not any(item.is_grant_pending for item in played.states)


def test_late_grant_is_not_used():
    """Guards against using a stale grant after the process was paused."""
    played = forward_request(left=1, limited=("i-0",), states=[state("i-0")], gate={"delay_s": 0.8})
    played.run(1.0)
    assert played.pool.sent == [] and played.services.quotas.given_back == 1


def test_router_without_account_owners_sends_a_probe():
    def before(played):
        limit_runners(played, "i-0", is_isolated=True)
        played.loop.time += 60.0 if is_probe_due else 0.0

    for is_probe_due in (False, True):
        states = [state("i-0")]
        played = ForwardingCase(
            [GOOD], setup=before, states=states, custom_route=route(timeout_s=90.0)
        )
        played.run(0.02)
        assert played.pool.sent == ["i-0"] * is_probe_due


def test_limited_runners_are_reserved_for_urgent_requests():
    """Guards against less urgent requests using up the limit needed by urgent ones."""

    def before(played):
        limit_runners(played, "i-0", left=1)
        table = played.services.configuration.table
        table.is_most_urgent = lambda _route, _service: False
        played.services.overload_guard("s").record_urgent_refused(played.loop.now())

    played = ForwardingCase([GOOD], setup=before, states=[state("i-0")]).run(0.1)
    assert played.pool.sent == [] and refusal(played)[0] == 503


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.STREAM])
def test_limit_applies_from_the_head_of_the_response(kind):
    played = ForwardingCase(custom_route=route(kind=kind), states=[state("i-0")])
    played.pool.readers[0].on_head(200, LIMITED_RESPONSE[1], None)
    assert played.services.runner_limits.limit("i-0").requests_per_s == 1.0


@pytest.mark.parametrize("status", [500, 503, 421])
def test_limit_of_an_error_response_applies(status):
    headers = [(b"X-Not-Executed", b"1"), (b"Server-Limit", b"2")]
    played = ForwardingCase(states=[state("i-0")])
    played.pool.readers[0].on_head(status, headers, 0)
    assert played.services.runner_limits.limit("i-0").requests_per_s == 2.0


def test_limit_of_another_instance_at_the_address_is_ignored():
    headers = [(b"X-Instance-Id", b"i-9"), (b"Server-Limit", b"2")]
    played = ForwardingCase(states=[state("i-0")])
    played.pool.readers[0].on_head(421, headers, 0)
    assert played.services.runner_limits.limit("i-0") is None


def test_retry_delays_of_refused_callers_are_spread():
    turns = RetrySchedule()
    given = [turns.next_delay_s(0.5, 2.0, 10.0) for _ in range(200)]
    assert all(0.5 <= turn <= MAXIMUM_DELAY_S * (1 + JITTER_SHARE) for turn in given)
    assert len({round(turn, 2) for turn in given}) > 50


def test_runner_accounts_have_distinct_names():
    assert runner_account("i-1") != "i-1" and runner_account("i-1") != runner_account("i-2")

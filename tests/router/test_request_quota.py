"""Tests that a request of a tenant with a limit obtains one grant per run before it is sent."""

import attrs
import pytest

from martenrun.net.http import HttpRequest
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.forwarding import RequestForwarder
from martenrun.router.messages import Tenant
from martenrun.router.overload import OverloadGuard
from martenrun.router.quotas.gate import Grant
from martenrun.router.quotas.limit import RateLimit
from martenrun.router.quotas.messages import QuotaUse, VersionedLimit

from .builders import route
from .test_forwarding import FULL, GOOD, ForwardingCase

LIMIT = RateLimit(1_000.0, 1_000.0, True, 200)
TENANT = Tenant("growers", 1, False, LIMIT)
FAILED = (500, [(b"X-Response-Stamp", b"s")], b"no")


class ScriptedGate:
    """Decides requests for units by a script, after a delay."""

    def __init__(self, loop, decisions, delay_s=0.0):
        self._loop = loop
        self._decisions = list(decisions)
        self._delay_s = delay_s
        self.requests = []
        self.returned = []

    def request(self, tenant, limit, units, on_decided):
        use = QuotaUse(tenant, "own", len(self.requests), units, VersionedLimit(1, 1.0, 1.0))
        grant = Grant(use, on_decided, [])
        self.requests.append((tenant, units))
        wait_s, is_conclusive = self._decisions.pop(0)
        grant.is_conclusive = is_conclusive

        def decide():
            if not grant.is_decided:
                grant.is_decided, grant.is_granted = True, wait_s is None
                grant.wait_s = wait_s or 0.0
                on_decided(grant)

        if self._delay_s:
            self._loop.call_later(self._delay_s, decide)
        else:
            decide()
        return grant

    def give_back(self, grant):
        grant.is_decided = True
        self.returned.append(grant.use.units)


GRANTED = (None, True)
OVER_LIMIT = (2.5, True)
INCONCLUSIVE = (2.5, False)


def run_limited(decisions, script=(), delay_s=0.0, **more):
    """Run a request of a tenant with a limit; ``counted_tokens`` is 1,130."""
    gates = []

    def install_gate(played):
        gate = ScriptedGate(played.loop, decisions, delay_s)
        gates.append(gate)
        played.services.quotas = gate
        call = attrs.evolve(played.forwarder.admitted.call, counted_tokens=1_130)
        admitted = attrs.evolve(played.forwarder.admitted, call=call, tenant=TENANT)
        played.forwarder = RequestForwarder(
            played.services, played.exchange, admitted, lambda _f: None
        )

    played = ForwardingCase(script, setup=install_gate, **more)
    played.gate = gates[0]
    return played


def test_request_units_include_prompt_and_longest_response():
    played = run_limited([GRANTED], [GOOD]).run(0.1)
    assert played.gate.requests == [("growers", 1_130)]
    assert played.exchange.responses[0][0] == 200 and played.gate.returned == []


def test_request_over_the_limit_gets_429_and_reaches_no_runner():
    played = run_limited([OVER_LIMIT])
    status, headers, _ = played.exchange.responses[0]
    assert (status, float(headers[b"Retry-After"])) == (429, 2.5)
    assert played.pool.sent == [] and played.gate.returned == []


def test_inconclusive_refusal_gets_503():
    played = run_limited([INCONCLUSIVE])
    status, headers, _ = played.exchange.responses[0]
    assert status == 503 and float(headers[b"Retry-After"]) < 1.0


@pytest.mark.parametrize(("decision", "counted"), [(GRANTED, 1), (OVER_LIMIT, 0)])
def test_request_over_the_limit_is_not_counted_as_demand(decision, counted, monkeypatch):
    asked = []
    monkeypatch.setattr(OverloadGuard, "record_demand", lambda _self, *group: asked.append(group))
    run_limited([decision], [GOOD])
    assert len(asked) == counted


def test_request_is_sent_after_its_grant_and_a_late_grant_is_returned():
    played = run_limited([GRANTED], [GOOD], delay_s=0.05)
    assert played.pool.sent == []
    played.exchange.on_disconnect()
    assert played.run(0.2).pool.sent == []
    assert played.gate.returned == [1_130]


def test_refusal_by_a_runner_does_not_use_the_grant():
    played = run_limited([GRANTED], [FULL, GOOD]).run(0.2)
    assert len(played.pool.sent) == 2
    assert len(played.gate.requests) == 1 and played.gate.returned == []


def test_request_that_no_runner_ran_returns_its_units():
    played = run_limited([GRANTED], [FULL] * 9).run(1.0)
    assert played.exchange.responses[0][0] == 503
    assert len(played.gate.requests) == 1 and played.gate.returned == [1_130]


def test_retry_after_a_run_needs_another_grant():
    played = run_limited([GRANTED, GRANTED], [FAILED, GOOD], delay_s=0.002).run(0.2)
    assert len(played.gate.requests) == 2 and len(played.pool.sent) == 2
    assert played.exchange.responses[0][0] == 200 and played.gate.returned == []


def test_retry_over_the_limit_is_not_sent():
    played = run_limited([GRANTED, OVER_LIMIT], [FAILED, GOOD]).run(0.2)
    assert len(played.pool.sent) == 1
    assert played.exchange.responses[0][0] == 500


def test_run_with_unknown_outcome_gets_502():
    played = run_limited(
        [GRANTED, OVER_LIMIT], [None, GOOD], custom_route=route(maximum_attempts=3)
    ).run(0.2)
    assert played.exchange.responses[0][0] == 502


def test_tenant_without_limit_needs_no_grant():
    played = ForwardingCase([GOOD]).run(0.1)
    assert played.exchange.responses[0][0] == 200


# Token counts from the platform


def call_with(usage):
    headers = [(b"X-Request-Id", b"r"), (b"Host", b"h")]
    if usage is not None:
        headers.append((b"X-Token-Usage", usage))
    return PLATFORM_ADAPTER.read_call(HttpRequest(b"POST", b"/", headers, b"", 0.0))


@pytest.mark.parametrize(
    ("usage", "prompt", "counted"),
    [(b"1460,80", 1460, 1540), (b"1460", 1460, 1460), (b"0,0", 0, 0), (None, 0, None)],
)
def test_token_counts_are_parsed(usage, prompt, counted):
    call = call_with(usage)
    assert (call.prompt_tokens, call.counted_tokens) == (prompt, counted)


@pytest.mark.parametrize(
    "usage",
    [b"-5,10", b"10,-11", b"many", b"10,many", b"1.5,2", b"", b",5", b"9" * 5000, b"9" * 30],
)
def test_invalid_token_counts_are_rejected(usage):
    with pytest.raises(ValueError):
        call_with(usage)

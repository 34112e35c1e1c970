"""Tests that a request of a tenant with a limit obtains one grant per run before it is sent."""

import attrs
import pytest

from martenrun.net.http import HttpRequest
from martenrun.platform import DIALECT
from martenrun.router.forwarding import Forwarding
from martenrun.router.messages import Tenant
from martenrun.router.overload import OverloadGuard
from martenrun.router.quotas.gate import Grant
from martenrun.router.quotas.limit import RateLimit
from martenrun.router.quotas.messages import QuotaUse, VersionedLimit

from .builders import route
from .test_forwarding import FULL, GOOD, Played

LIMIT = RateLimit(1_000.0, 1_000.0, True, 200)
TENANT = Tenant("growers", 1, False, LIMIT)
FAILED = (500, [(b"X-Response-Stamp", b"s")], b"no")


class ScriptedGate:
    """Decides requests for units by a script, after a delay."""

    def __init__(self, loop, verdicts, after_s=0.0):
        self._loop = loop
        self._verdicts = list(verdicts)
        self._after_s = after_s
        self.asked = []
        self.given_back = []

    def ask(self, tenant, limit, units, on_decided):
        use = QuotaUse(tenant, "own", len(self.asked), units, VersionedLimit(1, 1.0, 1.0))
        grant = Grant(use, on_decided, [])
        self.asked.append((tenant, units))
        wait_s, is_sure = self._verdicts.pop(0)
        grant.is_sure = is_sure

        def decide():
            if not grant.is_decided:
                grant.is_decided, grant.is_granted = True, wait_s is None
                grant.wait_s = wait_s or 0.0
                on_decided(grant)

        if self._after_s:
            self._loop.call_later(self._after_s, decide)
        else:
            decide()
        return grant

    def give_back(self, grant):
        grant.is_decided = True
        self.given_back.append(grant.use.units)


YES = (None, True)
OVER = (2.5, True)
UNSURE = (2.5, False)


def play(verdicts, script=(), after_s=0.0, **more):
    """Run a request of a tenant with a limit; ``counted_tokens`` is 1,130."""
    gates = []

    def limit(played):
        gate = ScriptedGate(played.loop, verdicts, after_s)
        gates.append(gate)
        played.world.quotas = gate
        call = attrs.evolve(played.forwarding.admitted.call, counted_tokens=1_130)
        admitted = attrs.evolve(played.forwarding.admitted, call=call, tenant=TENANT)
        played.forwarding = Forwarding(played.world, played.exchange, admitted, lambda _f: None)

    played = Played(script, before=limit, **more)
    played.gate = gates[0]
    return played


def test_a_request_counts_its_prompt_and_longest_answer():
    played = play([YES], [GOOD]).run(0.1)
    assert played.gate.asked == [("growers", 1_130)]
    assert played.exchange.answers[0][0] == 200 and played.gate.given_back == []


def test_what_is_over_the_limit_gets_429_at_once_and_reaches_no_runner():
    played = play([OVER])
    status, headers, _ = played.exchange.answers[0]
    assert (status, float(headers[b"Retry-After"])) == (429, 2.5)
    assert played.pool.sent == [] and played.gate.given_back == []


def test_a_router_that_sees_few_others_does_not_say_that_a_tenant_is_over_its_limit():
    played = play([UNSURE])
    status, headers, _ = played.exchange.answers[0]
    assert status == 503 and float(headers[b"Retry-After"]) < 1.0


@pytest.mark.parametrize(("verdict", "counted"), [(YES, 1), (OVER, 0)])
def test_what_is_over_the_limit_is_no_demand_that_others_wait_behind(verdict, counted, monkeypatch):
    asked = []
    monkeypatch.setattr(OverloadGuard, "note_asked", lambda _self, *group: asked.append(group))
    play([verdict], [GOOD])
    assert len(asked) == counted


def test_nothing_is_sent_before_the_answer_and_a_late_grant_is_given_back():
    played = play([YES], [GOOD], after_s=0.05)
    assert played.pool.sent == []
    played.exchange.on_gone()
    assert played.run(0.2).pool.sent == []
    assert played.gate.given_back == [1_130]


def test_a_runner_that_did_not_run_it_has_used_nothing():
    played = play([YES], [FULL, GOOD]).run(0.2)
    assert len(played.pool.sent) == 2
    assert len(played.gate.asked) == 1 and played.gate.given_back == []


def test_a_request_that_no_runner_ran_gives_its_units_back():
    played = play([YES], [FULL] * 9).run(1.0)
    assert played.exchange.answers[0][0] == 503
    assert len(played.gate.asked) == 1 and played.gate.given_back == [1_130]


def test_a_further_run_is_asked_for_again():
    played = play([YES, YES], [FAILED, GOOD], after_s=0.002).run(0.2)
    assert len(played.gate.asked) == 2 and len(played.pool.sent) == 2
    assert played.exchange.answers[0][0] == 200 and played.gate.given_back == []


def test_a_further_run_that_is_over_the_limit_is_not_sent():
    played = play([YES, OVER], [FAILED, GOOD]).run(0.2)
    assert len(played.pool.sent) == 1
    assert played.exchange.answers[0][0] == 500


def test_a_run_whose_outcome_is_unknown_is_never_called_not_run():
    played = play([YES, OVER], [None, GOOD], the_route=route(maximum_attempts=3)).run(0.2)
    assert played.exchange.answers[0][0] == 502


def test_a_tenant_without_a_limit_asks_nobody():
    played = Played([GOOD]).run(0.1)
    assert played.exchange.answers[0][0] == 200


# Token counts from the platform


def call_with(usage):
    headers = [(b"X-Request-Id", b"r"), (b"Host", b"h")]
    if usage is not None:
        headers.append((b"X-Token-Usage", usage))
    return DIALECT.read_call(HttpRequest(b"POST", b"/", headers, b"", 0.0))


@pytest.mark.parametrize(
    ("usage", "prompt", "counted"),
    [(b"1460,80", 1460, 1540), (b"1460", 1460, 1460), (b"0,0", 0, 0), (None, 0, None)],
)
def test_tokens_are_read(usage, prompt, counted):
    call = call_with(usage)
    assert (call.prompt_tokens, call.counted_tokens) == (prompt, counted)


@pytest.mark.parametrize(
    "usage",
    [b"-5,10", b"10,-11", b"many", b"10,many", b"1.5,2", b"", b",5", b"9" * 5000, b"9" * 30],
)
def test_tokens_that_are_no_count_are_an_error(usage):
    with pytest.raises(ValueError):
        call_with(usage)

"""What routers know of services with brittle runners, and permits for these runners' capacity."""

import attrs
import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.brittle_messages import BrittleRecord, BrittleUpdate
from martenrun.router.brittle_services import (
    BROADCAST_INTERVAL_S,
    CAPACITY_UNITS,
    VALIDITY_S,
    BrittleServices,
    capacity_limit,
    capacity_units,
)
from martenrun.router.quotas.limit import capacity_account

from .builders import route, state
from .test_forwarding import FULL, GOOD, ForwardingCase
from .test_runner_access import FakeGate

STAMP = (b"X-Response-Stamp", b"s")
BRITTLE = (b"Server-Brittle", b"3")


@pytest.fixture
def broadcasts():
    return []


@pytest.fixture
def services(broadcasts):
    return BrittleServices(broadcasts.append)


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], None),
        ([b"3"], 3.0),
        ([b" 2.5 "], 2.5),
        ([b"0"], 0.0),
        ([b"4", b"2"], 2.0),
        ([b"5, 1"], 1.0),
        ([b"x"], None),
        ([b""], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"x", b"6"], 6.0),
    ],
)
def test_the_lowest_valid_value_of_the_header_is_read(values, expected):
    headers = [STAMP, *[(b"server-brittle", value) for value in values]]
    metadata = PLATFORM_ADAPTER.read_response_metadata(200, headers)
    assert metadata.tolerated_rejections_per_s == expected


def test_a_service_is_brittle_until_no_response_has_said_so_for_a_while(services):
    assert services.rejections_per_s("s", 10.0) is None
    services.record_advertised("s", 3.0, 10.0)
    services.record_advertised("s", 3.0, 12.0)
    assert services.rejections_per_s("s", 12.0 + VALIDITY_S) == 3.0
    assert services.rejections_per_s("other", 12.0) is None
    assert services.rejections_per_s("s", 12.1 + VALIDITY_S) is None


def test_the_strictest_of_several_values_holds(services):
    for value in (3.0, 1.0, 5.0):
        services.record_advertised("s", value, 10.0)
    assert services.rejections_per_s("s", 10.0) == 1.0


def test_confirmations_are_broadcast_at_intervals(services, broadcasts):
    for step in range(10):
        services.record_advertised("s", 3.0, 10.0 + step * BROADCAST_INTERVAL_S / 5)
    assert broadcasts == [BrittleUpdate([BrittleRecord("s", 3.0, 0)])] * 2


# Guards against 195 routers that all broadcast what each of them sees.
def test_a_router_that_has_just_heard_of_it_does_not_broadcast(services, broadcasts):
    services.merge(BrittleUpdate([BrittleRecord("s", 3.0, 20)]), 10.0)
    services.record_advertised("s", 3.0, 10.1)
    assert broadcasts == [] and services.rejections_per_s("s", 10.2) == 3.0


# Guards against a belief that routers keep alive among themselves.
def test_being_told_does_not_renew_the_belief(services):
    other = BrittleServices()
    services.record_advertised("s", 3.0, 10.0)
    for now in (12.0, 14.0, 15.9):
        other.merge(services.new_router_update(now), now)
        services.merge(other.new_router_update(now), now)
    assert other.rejections_per_s("s", 15.9) == 3.0
    assert other.rejections_per_s("s", 16.1) is None
    assert services.rejections_per_s("s", 16.1) is None
    other.merge(BrittleUpdate([BrittleRecord("s", 3.0, 7_000)]), 20.0)
    assert other.rejections_per_s("s", 20.0) is None


def test_all_slots_of_a_runner_may_be_occupied():
    runner = state("i-1", slots=6)
    case = ForwardingCase(states=[runner])
    query = case.forwarder._runner_choice.placement_query()
    assert 6 * capacity_units(runner, query) <= CAPACITY_UNITS < 7 * capacity_units(runner, query)
    limit = capacity_limit(runner, 3.0)
    assert limit.burst_units == CAPACITY_UNITS
    lost_per_s = limit.units_per_s / capacity_units(runner, query)
    assert lost_per_s == pytest.approx(0.75, rel=0.01)


def test_long_prompts_occupy_the_memory_of_a_runner():
    runner = state("i-1", slots=64)
    case = ForwardingCase(states=[runner], model="m")
    query = attrs.evolve(
        case.forwarder._runner_choice.placement_query(), needed_tokens=10_000, memory_tokens=100_000
    )
    assert CAPACITY_UNITS // capacity_units(runner, query) == 8
    large = attrs.evolve(query, needed_tokens=500_000)
    assert capacity_units(runner, large) == CAPACITY_UNITS


def brittle_case(script, left, **options):
    def setup(case):
        case.services.brittle.record_advertised("s", 3.0, case.loop.now())
        case.services.quotas = FakeGate(case.loop, left)

    return ForwardingCase(script, setup=setup, **options)


def test_a_request_returns_its_permit_when_it_ends():
    case = brittle_case([GOOD], left=1).run(0.1)
    gate = case.services.quotas
    assert case.exchange.responses[0][0] == 200
    assert gate.asked == [capacity_account(case.pool.sent[0])] and gate.given_back == 1


# Guards against permits that are granted again at once to requests that are rejected as well.
def test_the_permit_of_a_rejected_request_is_not_returned():
    case = brittle_case([FULL, GOOD], left=2).run(0.1)
    assert len(case.pool.sent) == 2 and case.services.quotas.given_back == 1


def test_a_broken_attempt_and_a_caller_that_leaves_return_the_permit():
    case = brittle_case([None], left=1, budget_slack=0.0).run(0.1)
    assert case.services.quotas.given_back == 1
    case = brittle_case([], left=1).run(0.01)
    case.exchange.on_disconnect()
    assert case.services.quotas.given_back == 1


# Guards against requests that are held until their deadline while no runner has capacity.
def test_a_request_without_a_permit_is_refused_early_with_a_retry_time():
    slow = route(objective_s=1.0, timeout_s=4.0)
    case = brittle_case([], left=0, custom_route=slow).run(0.25)
    status, headers, _ = case.exchange.responses[0]
    assert status == 503 and float(headers[b"Retry-After"]) > 0
    assert case.pool.sent == []


def test_a_brittle_response_makes_the_next_request_ask_for_a_permit():
    case = ForwardingCase([(200, [STAMP, BRITTLE], b"ok")]).run(0.1)
    now = case.loop.now()
    assert case.services.brittle.rejections_per_s("s", now) == 3.0
    rejected = (503, [(b"X-Not-Executed", b"1"), BRITTLE], b"")
    case = ForwardingCase([rejected, GOOD]).run(0.1)
    assert case.services.brittle.rejections_per_s("s", now) == 3.0

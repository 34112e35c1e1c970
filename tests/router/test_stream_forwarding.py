"""A stream that has begun goes on only at runners of the software version that began it."""

import attrs
import pytest

from martenrun.net.http import HttpRequest
from martenrun.router.attempt import RESTART_NOTICE_S
from martenrun.router.forwarded_request import (
    SOFTWARE_FIELD,
    ForwardedState,
    forwarded_head,
    read_forwarded,
    read_software,
)
from martenrun.router.messages import AMBIGUOUS_SOFTWARE, RouteKind
from martenrun.router.request_moves import (
    move_off_replaced_runner,
    move_off_silent_runner,
)
from martenrun.router.resume_polling import MAXIMUM_GAP_S

from .builders import route, state
from .crash_world import PROBE_S
from .test_forwarded_request import received
from .test_forwarding import ForwardingCase
from .test_peer_forwarding import PeerConnections

SIGNED = [(b"X-Response-Stamp", b"s"), (b"Content-Type", b"text/event-stream")]


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def stream_case(software, setup=lambda _case: None, **options):
    """Return a stream sent to the first of some runners, whose software versions are given."""
    resumable = route(
        kind=RouteKind.STREAM, is_resumable=True, maximum_attempts=4, timeout_s=6.0, objective_s=0.8
    )
    states = [state(f"i-{n}", software=version) for n, version in enumerate(software)]
    for other in states[1:]:
        other.in_flight = 4
    return ForwardingCase(custom_route=resumable, states=states, setup=setup, **options)


def begin(case, number=1):
    case.pool.readers[-1].on_head(200, SIGNED, None)
    case.pool.readers[-1].on_body(event(number))


def runner_break(case, partial=b"id: 2\nda"):
    case.pool.readers[-1].on_body(partial)
    case.pool.readers[-1].on_broken(True)
    case.run(PROBE_S)


def is_broken_off(case):
    return case.exchange.is_aborted and case.outcomes == ["broken_off"]


# Guards against events of two software versions in one response.
def test_a_begun_stream_goes_on_at_its_software_version():
    case = stream_case(["v1", "v2", "v2", "v1"])
    begin(case)
    runner_break(case)
    assert case.pool.sent == ["i-0", "i-3"]
    begin(case, 2)
    case.pool.readers[-1].on_complete()
    assert case.exchange.responses == [event(1), event(2)] and case.outcomes == ["served"]


def test_a_stream_without_events_begins_at_any_version():
    case = stream_case(["v1", "v2"])
    case.pool.readers[-1].on_head(200, SIGNED, None)
    runner_break(case, b"id: 1\nda")
    assert case.pool.sent == ["i-0", "i-1"]


# Guards against events that the caller never gets since a malformed one follows in the same read.
@pytest.mark.parametrize("malformed", [b"id: 4?\ndata: x\n\n", b"i?: 4\ndata: x\n\n", event(5)])
def test_a_stream_goes_on_after_the_last_event_before_a_malformed_one(malformed):
    case = stream_case(["v1", "v1"])
    begin(case)
    case.pool.readers[-1].on_body(event(2) + event(3) + malformed)
    case.run(PROBE_S)
    assert case.pool.sent == ["i-0", "i-1"]
    assert case.exchange.responses == [event(1), event(2), event(3)]
    begin(case, 4)
    assert case.exchange.responses[3:] == [event(4)]


# Guards against events without ids that a second runner repeats.
def test_a_begun_stream_without_ids_is_broken_off_with_its_runner():
    case = stream_case(["v1", "v1"])
    case.pool.readers[-1].on_head(200, SIGNED, None)
    case.pool.readers[-1].on_body(b"data: a\n\ndata: b\n\n")
    runner_break(case, b"data: c")
    assert case.pool.sent == ["i-0"] and is_broken_off(case)


# Guards against unknown versions that are taken for one and the same.
def test_a_stream_of_unknown_software_does_not_go_on_at_another_runner():
    case = stream_case(["", "", "v1"])
    begin(case)
    case.states[0].runner = attrs.evolve(case.states[0].runner, is_draining=True)
    runner_break(case)
    case.run(MAXIMUM_GAP_S + 0.5)
    assert case.pool.sent == ["i-0"] and is_broken_off(case)


# Guards against streams that are held until their deadline though nothing can resume them.
def test_a_stream_is_broken_off_at_once_if_its_version_is_not_listed():
    case = stream_case(["v1", "v2"])
    begin(case)
    case.states.pop(0)
    runner_break(case)
    assert is_broken_off(case) and not case.exchange.responses[1:]


def test_a_stream_waits_for_a_runner_of_its_version_while_callers_bear_the_gap():
    case = stream_case(["v1", "v2", "v1"])
    case.states[2].full_until = case.loop.now() + 0.6
    case.states[0].loading_until = case.loop.now() + 60.0
    begin(case)
    runner_break(case)
    assert case.pool.sent == ["i-0"] and not case.exchange.is_aborted
    case.run(0.9)
    assert case.pool.sent == ["i-0", "i-2"]


def test_a_stream_is_broken_off_when_the_gap_is_too_long():
    case = stream_case(["v1", "v2", "v1"])
    for item in (case.states[0], case.states[2]):
        item.full_until = case.loop.now() + 60.0
    begin(case)
    runner_break(case)
    case.run(MAXIMUM_GAP_S - 0.3)
    assert not case.exchange.is_aborted
    case.run(0.6)
    assert case.pool.sent == ["i-0"] and is_broken_off(case)


# Guards against streams that break off because the only runner of their version cut them.
def test_the_only_runner_of_a_version_resumes_the_stream_that_it_cut():
    case = stream_case(["v1", "v2"])
    begin(case)
    runner_break(case)
    case.run(0.1)
    assert case.pool.sent == ["i-0", "i-0"]


# Guards against streams taken off a sound runner though no other runner may resume them.
def test_a_stream_stays_at_a_silent_runner_without_another_of_its_version():
    case = stream_case(["v1", "v2"])
    begin(case)
    now = case.loop.now()
    assert not case.forwarder.may_repeat(now)
    case.services.silent_runners.is_down = lambda _state, _now: True
    move_off_silent_runner(case.services, case.forwarder, now + 5.0)
    assert case.pool.sent == ["i-0"] and not case.exchange.is_aborted


def test_a_draining_runner_resumes_a_stream_that_no_other_can_for_a_while():
    case = stream_case(["v1", "v2", "v1"])
    case.states[2].runner = attrs.evolve(case.states[2].runner, is_draining=True)
    case.states[2].draining_since = case.loop.now()
    begin(case)
    case.states[0].loading_until = case.loop.now() + 60.0
    runner_break(case)
    assert case.pool.sent == ["i-0", "i-2"]


def test_a_runner_that_has_drained_for_long_gets_no_stream():
    case = stream_case(["v1", "v2", "v1"])
    case.states[2].runner = attrs.evolve(case.states[2].runner, is_draining=True)
    case.states[2].draining_since = case.loop.now() - 0.8
    case.states[0].full_until = case.loop.now() + 60.0
    begin(case)
    runner_break(case)
    case.run(2.0)
    assert case.pool.sent == ["i-0"] and is_broken_off(case)


# Runners that restart under their id


def restart(case, number, software, key=None):
    """List another instance under a runner's id, with its own key or that of the former one."""
    former = case.states[number].runner
    case.services.runners.put(former)
    listed = attrs.evolve(former, instance=key or former.instance, software=software)
    case.services.runners.put(listed)
    if key is None:
        case.states[number].runner = listed


def move(case):
    move_off_replaced_runner(case.services, case.forwarder)


# Guards against events of a restarted runner that count as those of its former version.
@pytest.mark.parametrize("key", [None, "i-0~2"])
def test_a_stream_that_a_restarted_runner_may_have_begun_goes_on_nowhere_else(key):
    recorded = []
    case = stream_case(["v1", "v1", "v2"])
    case.services.record_stream = lambda _admitted, software, _at: recorded.append(software)
    begin(case)
    restart(case, 0, "v2", key)
    move(case)
    move(case)
    assert case.pool.sent == ["i-0"] and not case.exchange.is_aborted
    assert recorded == [AMBIGUOUS_SOFTWARE]
    runner_break(case)
    assert case.pool.sent == ["i-0"] and is_broken_off(case)


def test_a_stream_that_a_runner_began_long_before_its_restart_goes_on_at_its_version():
    case = stream_case(["v1", "v1", "v2"])
    begin(case)
    case.run(RESTART_NOTICE_S + 0.1)
    restart(case, 0, "v2", "i-0~2")
    move(case)
    assert case.pool.sent == ["i-0", "i-1"]


@pytest.mark.parametrize("key", [None, "i-0~2"])
def test_a_request_without_events_leaves_a_runner_that_has_other_software(key):
    case = stream_case(["v1", "v2"])
    restart(case, 0, "v2", key)
    move(case)
    assert case.pool.sent == ["i-0", "i-1"]


# Streams through other routers


@pytest.fixture
def peers(monkeypatch):
    return PeerConnections(monkeypatch)


def partitioned(case, keeping=("p-1", "p-2")):
    now = case.loop.now()
    for item in case.states:
        case.services.reachability.record_failure("s", item.runner.instance, now)
    case.services.peers_reaching = lambda _service: ["p-1", "p-2"]
    case.services.peer_keeps_software = lambda address: address in keeping


# Guards against forwarded streams that go on at the other router's choice of version.
def test_a_begun_stream_is_forwarded_with_its_software_version(peers):
    case = stream_case(["v1 ü", "v2"])
    begin(case)
    partitioned(case, keeping=["p-2"])
    runner_break(case)
    assert peers.addresses == ["p-2"]
    _, forwarded = read_forwarded(received(peers.sent[0], 50.0))
    assert (forwarded.last_event_id, forwarded.software) == (1, "v1 ü")


# Guards against the same loss in streams that come through another router.
def test_events_before_a_malformed_one_are_forwarded_from_another_router(peers):
    stream = stream_case(["v1", "v1"], partitioned)
    reader = peers.readers[0]
    reader.on_sent()
    reader.on_head(200, [*SIGNED, (SOFTWARE_FIELD, b"v1")], None)
    reader.on_body(event(1) + event(2) + event(4))
    assert peers.addresses == ["p-1", "p-2"]
    assert read_forwarded(received(peers.sent[1], 50.0))[1].last_event_id == 2
    assert stream.exchange.responses == [event(1), event(2)]


def test_a_begun_stream_is_not_forwarded_through_routers_of_earlier_versions(peers):
    case = stream_case(["v1", "v2"])
    begin(case)
    partitioned(case, keeping=[])
    runner_break(case)
    case.run(2.0)
    assert peers.addresses == []


def test_the_software_version_of_a_forwarded_stream_is_learned_and_kept(peers):
    stream_case(["v1", "v2"], partitioned)
    assert peers.addresses == ["p-1"]
    reader = peers.readers[0]
    reader.on_sent()
    reader.on_head(200, [*SIGNED, (SOFTWARE_FIELD, b"v2")], None)
    reader.on_body(event(1))
    reader.on_broken(True)
    assert peers.addresses == ["p-1", "p-2"]
    assert read_forwarded(received(peers.sent[1], 50.0))[1].software == "v2"


# Guards against a version that an earlier router does not tell and that counts as any.
def test_a_stream_begun_through_an_earlier_router_goes_on_nowhere(peers):
    case = stream_case(["v1", "v2"], lambda case: partitioned(case, keeping=["p-2"]))
    reader = peers.readers[0]
    reader.on_sent()
    reader.on_head(200, SIGNED, None)
    reader.on_body(event(1))
    case.services.reachability.record_response("s", 200.0, case.loop.now())
    case.services.peers_reaching = lambda _service: []
    reader.on_broken(True)
    assert case.pool.sent == [] and is_broken_off(case)


def test_a_forwarded_stream_is_bound_and_tells_its_software_version():
    def forwarded(case):
        admitted = case.forwarder.admitted
        call = attrs.evolve(
            admitted.call, last_event_id=3, forwarded=ForwardedState(10, 1, 3, "v2", "s")
        )
        admitted = attrs.evolve(admitted, call=call, software="v2")
        case.forwarder.__init__(case.services, case.exchange, admitted, lambda _forwarder: None)

    case = stream_case(["v1", "v2"], forwarded)
    assert case.pool.sent == ["i-1"]
    begin(case, 4)
    assert read_software(case.exchange.started_headers) == "v2"


def test_a_callers_software_field_is_not_forwarded():
    headers = [(b"Host", b"a"), (b"martenrun-software", b"v9")]
    request = HttpRequest(b"GET", b"/a/x", headers, b"", 10.0)
    arrived = received(forwarded_head(request, ForwardedState(0, 0, 0)) + request.body, 50.0)
    assert read_forwarded(arrived)[1].software is None

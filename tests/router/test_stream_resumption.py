"""Which requests resume a stream, and which software version they need."""

import attrs
import pytest

from martenrun.router.forwarded_request import ForwardedState
from martenrun.router.messages import AdmittedRequest, Call, RouteKind, Tenant, WeightedService
from martenrun.router.origins.table import StreamOrigin, stream_key
from martenrun.router.software_history import RETENTION_S, SoftwareHistory
from martenrun.router.stream_resumption import StreamResumption

from .builders import route, runner
from .fakes import FakeLoop

TENANT = Tenant("t", 1, False)
STREAM = route(kind=RouteKind.STREAM, is_resumable=True)


class Origins:
    """Origins by key; records what is recorded and looked for."""

    def __init__(self):
        self.known = {}
        self.searched = []
        self.shared = []

    def record(self, key, origin, must_share=False):
        self.known[key] = origin
        self.shared.append(must_share)

    def lookup(self, key):
        return self.known.get(key)

    def disown(self, key):
        self.known.pop(key, None)

    def find(self, key, on_found):
        self.searched.append(key)
        on_found(self.known.get(key))


class Case:
    def __init__(self, *versions):
        self.loop = FakeLoop()
        self.history = SoftwareHistory()
        self.origins = Origins()
        self.outcomes = []
        self.knows_past = True
        self.confirmations = 0
        self.confirm = lambda: True
        self.list_runners(*versions)
        self.resumption = StreamResumption(
            self.loop,
            self.history,
            self.origins,
            lambda service: len(self.history.versions(service)) > 1,
            self.outcomes.append,
            lambda: self.knows_past,
            confirm_versions=self.confirm_versions,
        )

    def confirm_versions(self, on_confirmed):
        self.confirmations += 1
        on_confirmed(self.confirm())

    def list_runners(self, *versions, service="s"):
        runners = [runner(f"{v}", software=v, service=service) for v in versions]
        self.history.record_listed(runners, self.loop.now())

    def begin(self, request_id, software, tenant=TENANT, on_route=STREAM, service="s"):
        admitted = request(self.loop, request_id, tenant=tenant, on_route=on_route)
        admitted = attrs.evolve(admitted, service=service)
        self.resumption.record_sent(admitted, software, self.loop.now())

    def resolve(self, **changes):
        resolved = []
        self.resumption.resolve(request(self.loop, **changes), resolved.append)
        assert len(resolved) == 1
        return resolved[0]


def request(
    loop, request_id=b"r2", last=0, resumed=None, tenant=TENANT, on_route=STREAM, forwarded=None
):
    now = loop.now()
    call = Call(request_id, "a.example", "/a/x", b"k1", 3.0, "m", (), 10, last)
    call = attrs.evolve(call, resumed_id=resumed, forwarded=forwarded)
    return AdmittedRequest(call, on_route, tenant, on_route.split[0].service, now + 3.0, now + 2.0)


def test_a_resumed_stream_needs_the_version_that_began_it():
    case = Case("v1", "v2")
    case.begin(b"r1", "v2")
    assert case.resolve(last=3, resumed=b"r1").software == "v2"
    assert case.outcomes == ["known"]


def test_a_chain_of_resumptions_names_the_first_attempt_or_the_last():
    case = Case("v1", "v2")
    case.begin(b"r1", "v2")
    case.begin(b"r2", "v2")
    assert case.resolve(request_id=b"r3", last=5, resumed=b"r1").software == "v2"
    assert case.resolve(request_id=b"r3", last=5, resumed=b"r2").software == "v2"


# Guards against a version that is guessed.
@pytest.mark.parametrize("resumed", [None, b"never", b"other tenant's"])
def test_a_stream_that_several_versions_may_have_begun_is_not_resumed(resumed):
    case = Case("v1", "v2")
    case.begin(b"other tenant's", "v1", tenant=Tenant("u", 1, False))
    assert case.resolve(last=3, resumed=resumed) is None
    assert case.outcomes == ["unknown"]


def test_an_unknown_stream_is_resumed_while_one_version_has_served_alone():
    case = Case("v1")
    assert case.resolve(last=3, resumed=b"never").software == "v1"
    assert case.origins.searched == []


# Guards against streams joined from two versions by a router that is cut off from the others.
def test_a_sole_version_counts_only_if_it_is_confirmed():
    case = Case("v1")
    case.confirm = lambda: False
    assert case.resolve(last=3, resumed=b"never") is None
    assert len(case.origins.searched) == 1 and case.outcomes == ["unknown"]


# Guards against the same at a router that learns of the other version by asking.
def test_a_stream_is_looked_up_if_the_confirmation_finds_another_version():
    case = Case("v1")

    def confirm():
        case.list_runners("v2")
        return True

    case.confirm = confirm
    assert case.resolve(last=3, resumed=b"never") is None
    assert len(case.origins.searched) == 1 and case.outcomes == ["unknown"]


# Guards against the same at a router that has heard from no other for a while.
def test_an_unknown_stream_of_a_router_without_peers_needs_the_confirmation():
    case = Case("v1")
    case.resumption._may_be_mixed = lambda _service: True
    assert case.resolve(last=3, resumed=b"never").software == "v1"
    case.confirm = lambda: False
    assert case.resolve(last=3, resumed=b"never") is None
    assert case.confirmations == 2


def test_a_stream_whose_origin_is_kept_here_needs_no_confirmation():
    case = Case("v1")
    case.begin(b"r1", "v1")
    case.confirm = lambda: False
    assert case.resolve(last=3, resumed=b"r1").software == "v1"
    assert case.confirmations == 0 and case.origins.searched == []


# Guards against the version of a failed send, after which another router sent the stream on.
def test_a_stream_that_was_forwarded_is_looked_up():
    case = Case("v1", "v2")
    case.begin(b"r1", "v1")
    case.resumption.record_forwarded(request(case.loop, b"r1"))
    assert case.resolve(last=3, resumed=b"r1") is None
    assert len(case.origins.searched) == 1


# Guards against a stream that goes on at any service of a split route.
def test_an_unknown_stream_of_a_split_route_is_not_resumed():
    split = (WeightedService("s", 9.0), WeightedService("other", 1.0))
    case = Case("v1")
    case.list_runners("v1", service="other")
    split_route = attrs.evolve(STREAM, split=split)
    assert case.resolve(last=3, resumed=b"never", on_route=split_route) is None


# Guards against a sole listed version taken for that of all streams by a router that just started.
def test_a_sole_version_counts_only_if_the_past_is_known():
    case = Case("v1")
    case.knows_past = False
    case.resumption._may_be_mixed = lambda _service: True
    assert case.resolve(last=3, resumed=b"never") is None
    case.knows_past = True
    assert case.resolve(last=3, resumed=b"never").software == "v1"


def test_a_version_that_has_left_makes_streams_unknown_for_a_while():
    case = Case("v1")
    case.loop.time += 10.0
    case.list_runners("v2")
    assert case.resolve(last=3, resumed=b"never") is None
    case.loop.time += RETENTION_S
    case.list_runners("v2")
    assert case.resolve(last=3, resumed=b"never").software == "v2"


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"resumed": b"r1"}, id="without events"),
        pytest.param({"resumed": b"r1", "last": 3, "on_route": route()}, id="no stream"),
        pytest.param(
            {"resumed": b"r1", "last": 3, "on_route": route(kind=RouteKind.STREAM)},
            id="not resumable",
        ),
    ],
)
def test_other_requests_need_no_version(changes):
    case = Case("v1", "v2")
    case.begin(b"r1", "v2")
    assert case.resolve(**changes).software is None


def test_a_resumption_without_the_name_of_its_attempt_uses_its_own_id():
    case = Case("v1", "v2")
    case.begin(b"r1", "v1")
    assert case.resolve(request_id=b"r1", last=2).software == "v1"


def test_a_forwarded_stream_keeps_the_version_that_the_first_router_knows():
    case = Case("v1", "v2")
    state = ForwardedState(10, 1, 4, "v1", "s")
    assert case.resolve(last=4, forwarded=state).software == "v1"
    assert case.origins.searched == []


# Guards against an earlier router's stream whose version counts as any.
def test_a_begun_stream_forwarded_without_its_version_is_looked_up():
    case = Case("v1", "v2")
    assert case.resolve(last=4, forwarded=ForwardedState(10, 1, 4)) is None


# Guards against streams that go on at another service of a split route.
def test_a_resumed_stream_stays_at_the_service_that_began_it():
    split = (WeightedService("s", 9.0), WeightedService("other", 1.0))
    split_route = attrs.evolve(STREAM, split=split)
    case = Case("v1")
    case.list_runners("v1", service="other")
    case.begin(b"r1", "v1", on_route=split_route, service="other")
    resolved = case.resolve(last=3, resumed=b"r1", on_route=split_route)
    assert (resolved.service, resolved.software) == ("other", "v1")
    assert case.origins.shared == [True]


def test_a_stream_of_a_service_that_the_route_left_is_not_resumed():
    case = Case("v1", "v2")
    case.begin(b"r1", "v1", service="former")
    assert case.resolve(last=3, resumed=b"r1") is None
    assert case.outcomes == ["other_service"]


def test_an_origin_is_kept_a_little_longer_than_the_caller_waits():
    case = Case("v1", "v2")
    case.begin(b"r1", "v1")
    (origin,) = case.origins.known.values()
    assert origin == StreamOrigin("s", "v1", 0, pytest.approx(case.loop.now() + 4.0))
    assert list(case.origins.known) == [stream_key("t", b"r1")]

"""An exception in one handler ends neither a chain of calls nor the work of other handlers."""

import json

import pytest

from martenrun.net.http import HttpResponse
from martenrun.net.loop import Loop
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.crashes.fingerprint import request_fingerprint
from martenrun.router.instance_check import InstanceCheck
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.store.client import HttpClient, StoreClient
from martenrun.router.store.eras import StoreEras
from martenrun.router.store.follower import FollowSettings, StoreFollower
from martenrun.router.store.replica import DatasetReplica, ReplicaListener

from .builders import state
from .fakes import TolerantLoop, at
from .loopback import free_address, serve_until
from .test_broken_entries import FedState, stored
from .test_crash_tracker import StoreReader, admitted, request
from .test_instance_check import Reports
from .test_relay import Pair
from .test_stored_versions import World


class Fault:
    """Raises in the first calls of whatever it replaces."""

    def __init__(self, times=1, error=OverflowError):
        self.left = times
        self._error = error

    def wrap(self, call):
        def raise_or_call(*arguments):
            if self.left:
                self.left -= 1
                raise self._error("odd")
            return call(*arguments)

        return raise_or_call


class FaultyAdapter:
    """The platform's adapter with one method that raises at first."""

    def __init__(self, name, fault):
        self._replaced = {name: fault.wrap(getattr(PLATFORM_ADAPTER, name))}

    def __getattr__(self, name):
        return self._replaced.get(name) or getattr(PLATFORM_ADAPTER, name)


class ListingStore:
    """Lists one object and reports another one, and then one more a second, to each watch."""

    def __init__(self, loop):
        self._loop = loop
        self.era = 0
        self.calls_at = []

    def call(self, call, timeout_s, on_response, *_more):
        self.calls_at.append(self._loop.now())
        revision = int(self._loop.now())
        if b"watch=" in call.target:
            events = [{"object": stored(f"i-{revision}", revision), "gone": False}]
            body = {"events": events, "at": revision}
        else:
            body = {"items": [stored(f"i-{revision}", revision)], "more": False, "at": revision}
        response = HttpResponse(200, [], json.dumps(body).encode())
        self._loop.call_later(0.5, lambda: on_response(response))


def nothing(*_arguments):
    return None


# Guards against a follower of the store that makes no further call after a handler that raised.
@pytest.mark.parametrize("times", [1, 3])
@pytest.mark.parametrize(
    "place",
    [
        *("on_put", "on_applied", "applied", "confirm", "record_position"),
        *("list_objects", "watch_objects", "read_page", "read_changes"),
    ],
)
def test_follower_goes_on_after_a_handler_that_raised(place, times):
    loop, fault = TolerantLoop(), Fault(times, RecursionError if "read" in place else OverflowError)
    handlers = {name: nothing for name in ("on_put", "on_deleted", "on_applied")}
    if place in handlers:
        handlers[place] = fault.wrap(nothing)
    eras = StoreEras()
    replica = DatasetReplica(Dataset.RUNNERS, ReplicaListener(**handlers), eras)
    if place == "confirm":
        replica.confirm = fault.wrap(replica.confirm)
    if place == "record_position":
        eras.record_position = fault.wrap(eras.record_position)
    adapter = FaultyAdapter(place, fault) if hasattr(PLATFORM_ADAPTER, place) else PLATFORM_ADAPTER
    on_applied = fault.wrap(nothing) if place == "applied" else nothing
    store = ListingStore(loop)
    follower = StoreFollower(loop, store, adapter, FollowSettings(0.5), replica, on_applied)
    loop.call_later(0.0, follower.start)
    loop.run_until(loop.now() + 20.0)
    assert fault.left == 0
    assert follower.is_current and not follower.is_failing
    assert int(loop.now()) - replica.position.revision <= 1
    assert f"i-{int(loop.now()) - 2}" in {item.name for item in replica.objects}


# Guards against two chains of calls after a handler that raised once the next call was made.
def test_follower_keeps_to_one_chain_of_calls():
    loop, fault = TolerantLoop(), Fault()
    replica = DatasetReplica(Dataset.RUNNERS, ReplicaListener(nothing, nothing, nothing))
    store = ListingStore(loop)
    follower = StoreFollower(loop, store, PLATFORM_ADAPTER, FollowSettings(0.5), replica, nothing)
    watch = follower._watch

    def watch_and_raise():
        watch()
        fault.wrap(nothing)()

    follower._watch = watch_and_raise
    loop.call_later(0.0, follower.start)
    loop.run_until(loop.now() + 20.0)
    assert fault.left == 0
    assert len([sent_at for sent_at in store.calls_at if sent_at > loop.now() - 5.0]) <= 10


# Guards against a change that is never read again since its position counts as applied.
@pytest.mark.parametrize("method", ["apply", "replace"])
def test_position_stays_before_a_change_that_could_not_be_applied(method):
    replica = DatasetReplica(Dataset.RUNNERS, ReplicaListener(nothing, nothing, nothing))
    replica.replace([StoredObject("a", 1, {})], at(1), False, 100.0)
    replica._put = Fault().wrap(replica._put)
    changed = [StoredObject("a", 2, {"v": 2})]
    arguments = {
        "apply": (changed, [], at(2), False, 101.0),
        "replace": (changed, at(2), False, 101.0),
    }
    with pytest.raises(OverflowError):
        getattr(replica, method)(*arguments[method])
    assert replica.position == at(1)
    getattr(replica, method)(*arguments[method])
    assert replica.position == at(2) and replica.objects == changed


# Guards against a follower that counts as current since a handler raised after it was stopped.
def test_follower_that_a_handler_stopped_and_that_then_raised_stays_stopped():
    loop = TolerantLoop()
    replica = DatasetReplica(Dataset.RUNNERS, ReplicaListener(nothing, nothing, nothing))
    store = ListingStore(loop)
    follower = StoreFollower(loop, store, PLATFORM_ADAPTER, FollowSettings(0.5), replica, nothing)

    def stop_and_raise(_sent_at):
        follower.stop()
        raise OverflowError

    replica.confirm = stop_and_raise
    follower.start()
    loop.run_until(loop.now() + 5.0)
    assert not follower.is_running and not follower.is_current and len(store.calls_at) == 1


# Guards against a revoked key that is accepted, since a configuration that could not be put in
# force counts as read.
def test_configuration_that_raises_confirms_nothing():
    fed = FedState()
    content = {"version": 2, "routes": [], "services": []}
    fed.put(Dataset.CONFIGURATION, "main", content)
    fed.feed.replicas[Dataset.CONFIGURATION].confirm(100.0)
    fed.feed.confirm()
    fed.adapter = FaultyAdapter("read_configuration", Fault())
    fed.put(Dataset.CONFIGURATION, "main", {**content, "version": 3})
    fed.feed.replicas[Dataset.CONFIGURATION].confirm(101.0)
    fed.feed.confirm()
    assert fed.configuration.version == 2
    assert fed.configuration.age_s(102.0) == 2.0


def test_listener_of_the_configuration_that_raises_does_not_keep_it_from_the_others():
    fed, taken = FedState(), []
    fed.configuration.on_changed += [Fault().wrap(nothing), taken.append]
    fed.put(Dataset.CONFIGURATION, "main", {"version": 2, "routes": [], "services": []})
    assert [item.version for item in taken] == [2]


def test_listener_of_eras_that_raises_does_not_keep_a_change_from_the_others():
    eras, seen = StoreEras(), []
    eras.on_changed += [Fault().wrap(nothing), seen.append]
    eras.observe(4, "test")
    assert seen == [0]


# Guards against followers that hear nothing while the router they follow cannot encode its state.
@pytest.mark.parametrize("place", ["_build_dataset", "_reads_store"])
def test_query_whose_response_cannot_be_built_is_refused_and_repeated(place):
    pair, fault = Pair(), Fault(2)
    setattr(pair.relay, place, fault.wrap(getattr(pair.relay, place)))
    pair.put("a", 1)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.failed)
    pair.follower.start()
    serve_until(pair.loop, lambda: len(pair.failed) == 2)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.names() == {"a"})


@pytest.mark.parametrize("place", ["_apply", "_observe_eras"])
def test_router_whose_response_cannot_be_applied_counts_as_failed(place):
    pair, fault = Pair(), Fault()
    setattr(pair.follower, place, fault.wrap(getattr(pair.follower, place)))
    pair.put("a", 1)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.failed)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.names() == {"a"})
    pair.put("b", 2)
    serve_until(pair.loop, lambda: pair.names() == {"a", "b"})


def test_relayed_state_is_followed_after_a_listener_that_raised():
    pair, fault = Pair(), Fault()
    pair.follower._on_applied = fault.wrap(nothing)
    pair.put("a", 1)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.names() == {"a"})
    pair.put("b", 2)
    serve_until(pair.loop, lambda: pair.names() == {"a", "b"})


# Guards against callers of the store that wait for ever for a response that could not be accepted.
def test_response_that_cannot_be_accepted_counts_as_lost():
    class Http:
        def call(self, _call, _timeout_s, on_response, *_more):
            on_response(HttpResponse(200, [], b"{}"))

    responses = []
    client = StoreClient(Http(), Fault().wrap(lambda _headers: None), StoreEras())
    for _ in range(2):
        client.call(HttpCall(b"GET", b"/", []), 0.5, responses.append)
    assert [None if item is None else item.status for item in responses] == [None, 200]


def test_call_that_cannot_be_sent_gets_an_empty_response():
    loop, responses = Loop(), []
    client = HttpClient(loop, free_address())
    client._connection = Fault().wrap(client._connection)
    client.call(HttpCall(b"GET", b"/", []), 0.5, responses.append)
    serve_until(loop, lambda: responses)
    assert responses == [None]


# Guards against crash records that are never stored since a write could not be built once.
def test_crash_records_are_stored_after_a_write_that_could_not_be_built():
    reader = StoreReader()
    reader.writer._adapter = FaultyAdapter("crash_records_spec", Fault(2))
    fingerprint = request_fingerprint(request(b"body"), admitted())
    reader.tracker.table.record_crash(fingerprint, "i-1", reader.loop.now())
    for _ in range(2):
        with pytest.raises(OverflowError):
            reader.writer.write_if_due()
    reader.run(5.0)
    assert len(reader.store.writes) == 1


# Guards against calls to the store in each round of maintenance while a response raises.
def test_stored_versions_are_read_again_with_pauses_after_a_response_that_raised():
    world = World("v1")
    router = world.start(is_first=True)
    fault = Fault(3)
    router.versions._apply_missing = fault.wrap(router.versions._apply_missing)

    def run_until(condition):
        while not condition():
            try:
                world.run(0.25)
            except OverflowError:
                continue

    run_until(lambda: fault.left == 0)
    assert world.loop.now() - 100.0 > 1.0
    run_until(lambda: world.store.objects)
    assert world.stored() == {"s": ["v1"]}


# Guards against a runner that is never checked again since one of its reports raised.
@pytest.mark.parametrize("place", ["_record_response", "_read_report", "_apply"])
def test_runner_is_checked_again_after_a_report_that_raised(place):
    loop = TolerantLoop()
    reports = Reports(loop)
    runner_state = state("i-0", address="10.0.0.1:1", started_at_ms=1_000)
    reports.born_ms["10.0.0.1:1"] = 1_000
    check = InstanceCheck(
        loop,
        reports,
        PLATFORM_ADAPTER.report_request,
        PLATFORM_ADAPTER.read_report,
        lambda _service: True,
        nothing,
    )
    setattr(check, place, Fault().wrap(getattr(check, place)))
    done = []
    check.run(runner_state, lambda: done.append(1))
    loop.run_until(loop.now() + 1.0)
    check.run(runner_state, lambda: done.append(2))
    loop.run_until(loop.now() + 1.0)
    assert done == [1, 2]
    assert runner_state.instance_checked_at == 101.0

"""Tests of fenced orders between the adapter and the stand-in engine over HTTP."""

import pytest
from deployment import free_address, wait_until

from engine_server import FAST, MODEL, SLOW, running_engine, served
from martenrun.backends.engine import AttemptOutcome
from martenrun.backends.engine_orders import EngineOrder, EngineOrders, OrderAction, OrderOutcome
from martenrun.standins.weights import Faults, LoadPace, WeightStoreApplication

OTHER_MODEL = "ledger-app"


@pytest.fixture
def store():
    published = [f"{MODEL}/{name}" for name in ("v1", "v2", "v3", "permits-adapter")]
    published += [f"{OTHER_MODEL}/v1"]
    application = WeightStoreApplication(LoadPace(load_s=0.2), published)
    with served(application) as address:
        application.address = address
        yield application


@pytest.fixture
def engine(store, request):
    times = getattr(request, "param", FAST)
    with running_engine(weight_store=store.address, times=times) as running:
        yield running


def send(engine, fence, value, action=OrderAction.LOAD_WEIGHTS, incarnation=None, model=""):
    order = EngineOrder(fence, incarnation or engine.incarnation, action, value, model)
    return EngineOrders(engine.connections).send(engine.address, order)


def describe(engine):
    return engine.connections.describe(engine.address)


def test_new_weights_are_loaded_once_and_the_old_cache_is_forgotten(engine, store):
    engine.run(prompt="x" * 8_000, max_tokens=1)
    assert describe(engine).cached_blocks == 2
    assert send(engine, 7, "v2") is OrderOutcome.ACCEPTED
    assert send(engine, 7, "v2") is OrderOutcome.ACCEPTED
    wait_until(lambda: describe(engine).weights_version == "v2", "v2 serves", 5.0)
    assert (describe(engine).cached_blocks, describe(engine).fence) == (0, 7)
    assert store.counts.most == 1
    assert engine.run(weights_version="v1")[1].outcome is AttemptOutcome.NOT_RUN
    assert engine.run(weights_version="v2")[1].outcome is AttemptOutcome.COMPLETE


def test_a_lower_token_another_incarnation_and_unknown_weights_are_refused(engine):
    assert send(engine, 7, "v2") is OrderOutcome.ACCEPTED
    assert send(engine, 6, "v3") is OrderOutcome.STALE
    assert send(engine, 7, "v3") is OrderOutcome.STALE
    assert send(engine, 9, "v3", incarnation="earlier") is OrderOutcome.RESTARTED
    assert send(engine, 9, "no-such-version") is OrderOutcome.REFUSED
    wait_until(lambda: describe(engine).weights_version == "v2", "v2 serves", 5.0)
    assert send(engine, 8, "v1") is OrderOutcome.STALE


def test_a_store_that_is_down_leaves_the_order_to_be_sent_again(engine, store):
    store.set_faults(Faults(down=True))
    assert send(engine, 7, "v2") is OrderOutcome.UNKNOWN
    assert describe(engine).state == "serving"
    store.set_faults(Faults())
    assert send(engine, 7, "v2") is OrderOutcome.ACCEPTED
    wait_until(lambda: describe(engine).weights_version == "v2", "v2 serves", 5.0)


def test_a_newer_order_gives_up_an_unfinished_load(engine, store):
    assert send(engine, 7, "v2") is OrderOutcome.ACCEPTED
    wait_until(lambda: describe(engine).state == "loading", "it loads", 5.0)
    assert send(engine, 8, "v3") is OrderOutcome.ACCEPTED
    wait_until(lambda: describe(engine).weights_version == "v3", "v3 serves", 5.0)
    assert store.counts.finished <= 2


@pytest.mark.parametrize("engine", [SLOW], indirect=True)
def test_an_order_cuts_off_no_stream(engine):
    attempt = engine.attempt(max_tokens=20)
    events = attempt.events()
    next(events)
    assert send(engine, 7, "v2") is OrderOutcome.ACCEPTED
    assert engine.run()[1].outcome is AttemptOutcome.NOT_RUN
    list(events)
    assert attempt.result.outcome is AttemptOutcome.COMPLETE
    wait_until(lambda: describe(engine).weights_version == "v2", "v2 serves", 5.0)


def test_a_crash_in_mid_load_ends_the_load_and_comes_back_with_the_first_weights(engine, store):
    assert send(engine, 7, "v2") is OrderOutcome.ACCEPTED
    wait_until(lambda: store.counts.active == 1, "it loads", 5.0)
    engine.set_faults(crash=True)
    description = describe(engine)
    assert (description.weights_version, description.fence) == ("v1", 0)
    wait_until(lambda: store.counts.active == 0, "the load ends", 5.0)


def test_adapters_and_roles_are_ordered_without_a_drain(engine):
    attempt = engine.attempt(max_tokens=1_000_000)
    next(attempt.events())
    assert send(engine, 7, "permits-adapter", OrderAction.LOAD_ADAPTER) is OrderOutcome.ACCEPTED
    wait_until(lambda: describe(engine).adapters == ("permits-adapter",), "it is loaded", 5.0)
    assert send(engine, 8, "decode", OrderAction.SET_ROLE) is OrderOutcome.ACCEPTED
    assert send(engine, 9, "no-such-role", OrderAction.SET_ROLE) is OrderOutcome.REFUSED
    assert describe(engine).role == "decode"
    engine.connections.cancel(engine.address, "r")
    attempt.close()


def test_an_order_to_nobody_has_an_unknown_outcome(engine):
    order = EngineOrder(1, "i", OrderAction.LOAD_WEIGHTS, "v2")
    assert EngineOrders(engine.connections).send(free_address(), order) is OrderOutcome.UNKNOWN


def load_model(engine, fence, **options):
    options = {"model": OTHER_MODEL, **options}
    return send(engine, fence, "v1", OrderAction.LOAD_MODEL, **options)


@pytest.mark.parametrize("engine", [SLOW], indirect=True)
def test_another_model_begins_another_incarnation_and_cuts_off_no_stream(engine, store):
    first = engine.incarnation
    attempt = engine.attempt(max_tokens=20)
    events = attempt.events()
    next(events)
    assert load_model(engine, 7) is OrderOutcome.ACCEPTED
    assert engine.run()[1].outcome is AttemptOutcome.NOT_RUN
    list(events)
    assert attempt.result.outcome is AttemptOutcome.COMPLETE
    wait_until(lambda: describe(engine).model == OTHER_MODEL, "it loads", 5.0)
    wait_until(lambda: describe(engine).state == "serving", "it serves", 5.0)
    known = describe(engine)
    assert (known.weights_version, known.fence, known.cached_blocks) == ("v1", 7, 0)
    # The version has the same name, but requests and orders for the old model are refused.
    assert engine.run(incarnation=first, weights_version="v1")[1].outcome is AttemptOutcome.NOT_RUN
    assert load_model(engine, 9, incarnation=first) is OrderOutcome.RESTARTED
    assert load_model(engine, 6, model=MODEL) is OrderOutcome.STALE
    assert load_model(engine, 7) is OrderOutcome.ACCEPTED
    assert store.counts.finished == 1


def test_a_model_that_does_not_exist_is_refused_and_a_crash_brings_the_first_one_back(engine):
    assert load_model(engine, 7, model="no-such-model") is OrderOutcome.REFUSED
    assert describe(engine).state == "serving"
    assert load_model(engine, 8) is OrderOutcome.ACCEPTED
    wait_until(lambda: describe(engine).model == OTHER_MODEL, "it loads", 5.0)
    engine.set_faults(crash=True)
    assert (describe(engine).model, describe(engine).state) == (MODEL, "serving")


def test_a_newer_order_stops_the_change_of_the_model(engine):
    attempt = engine.attempt(max_tokens=200)
    events = attempt.events()
    next(events)
    assert load_model(engine, 7) is OrderOutcome.ACCEPTED
    assert send(engine, 8, "v2") is OrderOutcome.ACCEPTED
    list(events)
    wait_until(lambda: describe(engine).weights_version == "v2", "v2 serves", 5.0)
    assert (describe(engine).model, engine.incarnation) == (MODEL, attempt._request.incarnation)

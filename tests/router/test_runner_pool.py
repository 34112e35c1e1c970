"""Reuse of idle connections to runners, and its limit after a stale connection."""

import itertools

import pytest

from martenrun.router import runner_pool
from martenrun.router.runner_pool import (
    SAFE_IDLE_LIMIT_S,
    STALE_MEMORY_S,
    SUSPECT_IDLE_LIMIT_S,
    UNLISTED_RETENTION_S,
    RunnerPool,
)

from .builders import runner
from .fakes import FakeLoop


class FakeConnection:
    """A connection without responses; :meth:`release` returns it to the pool."""

    created = 0

    def __init__(self, loop, _address, on_reusable, _on_idle_close):
        FakeConnection.created += 1
        self.loop = loop
        self.on_reusable = on_reusable
        self.is_open = True
        self.was_kept_alive = False
        self.keep_alive_s = 10.0
        self.idle_since = loop.now()
        self.sent_ids = []

    def has_carried(self, request_id):
        return request_id in self.sent_ids

    def send(self, _request, _reader, expected_id, _body):
        self.sent_ids.append(expected_id[1])

    def release(self):
        self.idle_since = self.loop.now()
        self.was_kept_alive = True
        self.on_reusable(self)

    def close(self):
        self.is_open = False


@pytest.fixture
def pool(monkeypatch):
    monkeypatch.setattr(runner_pool, "ClientConnection", FakeConnection)
    FakeConnection.created = 0
    pool = RunnerPool(FakeLoop())
    pool.update({"i-0": runner("i-0")})
    return pool


REQUEST_NUMBERS = itertools.count()


def send(pool, may_repeat=False, request_id=None):
    request_id = request_id or b"%d" % next(REQUEST_NUMBERS)
    return pool.send(pool.state("i-0"), b"", None, (b"", request_id), may_repeat)


# Guards against a late copy of a refusal that is taken for the response to the next send.
@pytest.mark.parametrize("may_repeat", [True, False])
def test_a_request_is_not_sent_again_on_a_connection_that_has_carried_it(pool, may_repeat):
    first = send(pool, request_id=b"1")
    other = send(pool, request_id=b"2")
    other.release()
    first.release()
    assert send(pool, may_repeat, b"1") is other
    assert send(pool, may_repeat, b"1") not in (first, other)
    assert send(pool, may_repeat, b"3") is first


def test_an_unrepeatable_request_reuses_only_recently_used_connections(pool):
    first = send(pool)
    first.release()
    pool._loop.time += SAFE_IDLE_LIMIT_S - 0.1
    assert send(pool) is first
    first.release()
    pool._loop.time += SAFE_IDLE_LIMIT_S + 0.1
    assert send(pool) is not first
    assert send(pool, may_repeat=True) is first


def test_a_stale_connection_lowers_the_idle_limit_for_a_while(pool):
    first = send(pool)
    first.release()
    pool.record_broken_connection(send(pool, may_repeat=True))
    first.release()
    pool._loop.time += SUSPECT_IDLE_LIMIT_S + 0.1
    assert send(pool) is not first
    pool._loop.time += STALE_MEMORY_S
    again = send(pool, may_repeat=True)
    again.release()
    pool._loop.time += SAFE_IDLE_LIMIT_S - 0.1
    assert send(pool) is again


def test_a_broken_new_connection_does_not_lower_the_idle_limit(pool):
    pool.record_broken_connection(send(pool))
    second = send(pool)
    second.release()
    pool._loop.time += SAFE_IDLE_LIMIT_S - 0.1
    assert send(pool) is second


def test_a_connection_to_an_unlisted_runner_is_closed(pool):
    connection = send(pool)
    pool.update({})
    connection.release()
    assert not connection.is_open


# Guards against drains, weights and failures that are forgotten while an entry is missing.
def test_what_is_known_of_a_runner_outlasts_a_lapsed_entry(pool):
    known = pool.state("i-0")
    pool.record_draining(known, "response")
    known.record_weights("m", 3)
    pool.update({})
    assert pool.state("i-0") is None and pool.states("s") == []
    assert pool.recent_state("i-0") is known
    pool._loop.time += UNLISTED_RETENTION_S - 1
    pool.update({"i-0": runner("i-0")})
    assert pool.state("i-0") is known
    assert known.is_draining and known.weights_version("m") == 3


def test_the_state_of_an_unlisted_runner_is_forgotten_after_a_while(pool):
    known = pool.state("i-0")
    pool.update({})
    pool._loop.time += UNLISTED_RETENTION_S + 1
    pool.update({})
    assert pool.recent_state("i-0") is None
    pool.update({"i-0": runner("i-0")})
    assert pool.state("i-0") is not known


# Guards against a drain of one start of a runner that is attributed to its next start.
def test_a_new_start_of_a_runner_has_a_state_of_its_own(pool):
    pool.record_draining(pool.state("i-0"), "response")
    pool.update({"i-0~00001": runner("i-0~00001", name="i-0", started_at_ms=1)})
    assert not pool.state("i-0~00001").is_draining


# Guards against a backoff requested by a restarted runner that ends when its new entry is read.
@pytest.mark.parametrize("lapse_s", [0.0, UNLISTED_RETENTION_S / 2])
def test_a_backoff_outlasts_the_entry_of_a_new_start(pool, lapse_s):
    former, other = runner("i-0~1", name="i-0"), runner("i-1")
    pool.update({"i-0~1": former, "i-1": other})
    until = pool._loop.now() + UNLISTED_RETENTION_S
    pool.state("i-0~1").record_backoff(until)
    pool.update({"i-1": other})
    pool._loop.time += lapse_s
    pool.update({"i-0~2": runner("i-0~2", name="i-0"), "i-1": other})
    assert pool.state("i-0~2").backoff_until == until
    assert not pool.state("i-1").is_backing_off(pool._loop.now())

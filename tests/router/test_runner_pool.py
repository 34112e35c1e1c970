"""Reuse of idle connections to runners, and its limit after a stale connection."""

import pytest

from martenrun.router import runner_pool
from martenrun.router.runner_pool import (
    FORGETFUL_S,
    SAFE_REST_S,
    SUSPECT_REST_S,
    RunnerPool,
)

from .builders import runner
from .fakes import FakeLoop


class FakeConnection:
    """A connection without responses; :meth:`release` returns it to the pool."""

    made = 0

    def __init__(self, loop, _address, keep, _forget):
        FakeConnection.made += 1
        self.loop = loop
        self.keep = keep
        self.is_open = True
        self.was_kept = False
        self.keep_alive_s = 10.0
        self.idle_since = loop.now()

    def send(self, *_arguments):
        pass

    def rest(self):
        self.idle_since = self.loop.now()
        self.was_kept = True
        self.keep(self)

    def close(self):
        self.is_open = False


@pytest.fixture
def pool(monkeypatch):
    monkeypatch.setattr(runner_pool, "ClientConnection", FakeConnection)
    FakeConnection.made = 0
    made = RunnerPool(FakeLoop())
    made.update({"i-0": runner("i-0")})
    return made


def send(pool, may_repeat=False):
    return pool.send(pool.state("i-0"), b"", None, (b"", b""), may_repeat)


def test_a_request_that_must_not_run_twice_takes_a_connection_that_rested_shortly(pool):
    first = send(pool)
    first.rest()
    pool._loop.time += SAFE_REST_S - 0.1
    assert send(pool) is first
    first.rest()
    pool._loop.time += SAFE_REST_S + 0.1
    assert send(pool) is not first
    assert send(pool, may_repeat=True) is first


def test_after_a_runner_forgot_a_connection_only_fresh_ones_are_taken_for_a_while(pool):
    first = send(pool)
    first.rest()
    pool.note_broken(send(pool, may_repeat=True))
    first.rest()
    pool._loop.time += SUSPECT_REST_S + 0.1
    assert send(pool) is not first
    pool._loop.time += FORGETFUL_S
    again = send(pool, may_repeat=True)
    again.rest()
    pool._loop.time += SAFE_REST_S - 0.1
    assert send(pool) is again


def test_a_new_connection_that_breaks_says_nothing_of_kept_ones(pool):
    pool.note_broken(send(pool))
    second = send(pool)
    second.rest()
    pool._loop.time += SAFE_REST_S - 0.1
    assert send(pool) is second


def test_a_connection_to_a_runner_that_is_no_longer_listed_is_not_kept(pool):
    connection = send(pool)
    pool.update({})
    connection.rest()
    assert not connection.is_open

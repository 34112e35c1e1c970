"""The loop's report of how late it handles ready events, with a simulated clock and selector."""

import ast
from pathlib import Path

import pytest

import martenrun
from martenrun.net import clock
from martenrun.net import loop as loop_module


class PlayedSelector:
    """Advances the clock by the timeout, and by a suspension of the process at its end."""

    def __init__(self):
        self.now = 50.0
        self.stands_still_s = 0.0
        self.waiting = []

    def select(self, wait_s):
        """Time out; events that arrive during a suspension are returned by the next call."""
        self.now += wait_s + self.stands_still_s
        self.stands_still_s = 0.0
        if wait_s:
            return []
        ready, self.waiting = self.waiting, []
        return ready


@pytest.fixture
def played(monkeypatch):
    selector = PlayedSelector()
    monkeypatch.setattr(clock, "_read", lambda: selector.now)
    loop = loop_module.Loop()
    loop._selector = selector
    return loop, selector


def test_a_wait_for_what_has_yet_to_come_is_no_lateness(played):
    loop, _ = played
    loop.call_later(0.5, lambda: None)
    loop.run_once()
    assert loop.late_s == 0.0


def test_what_came_during_a_long_call_may_be_as_old_as_the_call(played):
    loop, selector = played

    def take_long():
        selector.now += 0.3

    loop.call_later(0.1, take_long)
    loop.run_once()
    loop.run_once()
    assert loop.late_s == pytest.approx(0.3)


def test_what_came_while_the_process_stood_still_may_be_as_old_as_that(played):
    loop, selector = played
    loop.call_later(0.2, lambda: None)
    selector.stands_still_s = 7.0
    loop.run_once()
    assert loop.late_s == pytest.approx(7.0)


def test_what_came_in_a_wait_that_ended_without_events_is_not_taken_for_new(played):
    """Guards against datagrams of 7 s ago counting as new.

    The process was suspended just as its wait timed out, so that the wait returned no events.
    """
    loop, selector = played
    lateness = []
    selector.waiting = [(SimpleKey(lambda _ready: lateness.append(loop.late_s)), 1)]
    selector.stands_still_s = 7.0
    loop.call_later(0.2, lambda: None)
    loop.run_once()
    assert len(lateness) == 1 and lateness[0] >= 7.0


class SimpleKey:
    """The key that a selector returns for a ready socket."""

    def __init__(self, call):
        self.data = call


def test_a_suspended_machine_ages_what_it_knows(played):
    """The timeout does not include suspended time, the clock does: timers are due on resume."""
    loop, selector = played
    served = []
    loop.call_later(3.0, lambda: served.append("lease ends"))
    selector.stands_still_s = 4.0
    loop.run_once()
    assert served == ["lease ends"]


def test_the_clock_counts_suspended_time_where_the_system_does(monkeypatch):
    times = {"boot": 104.0, "steady": 100.0}
    monkeypatch.setattr(clock.time, "CLOCK_BOOTTIME", 7, raising=False)
    monkeypatch.setattr(clock.time, "clock_gettime", lambda number: times["boot"])
    monkeypatch.setattr(clock.time, "monotonic", lambda: times["steady"])
    assert clock._steady_clock()() == 104.0


def test_the_steady_clock_has_to_do_where_suspended_time_is_not_counted(monkeypatch):
    def missing(_number):
        raise OSError

    monkeypatch.setattr(clock.time, "clock_gettime", missing)
    assert clock._steady_clock() is clock.time.monotonic


READS_A_CLOCK = {"monotonic", "perf_counter", "clock_gettime", "time", "time_ns", "monotonic_ns"}
WALL_CLOCK_READERS = {"router/log.py", "router/peers.py"}
"""Modules that read the time of day: for log lines, and to choose an incarnation id."""


def test_no_other_clock_is_read_by_the_router():
    """An age, a lease or a deadline measured with another clock would stop during suspension."""
    root = Path(martenrun.__file__).parent
    readers = set()
    for folder in ("net", "router", "platform"):
        for path in (root / folder).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if (
                    isinstance(node, ast.Attribute)
                    and isinstance(node.value, ast.Name)
                    and node.value.id == "time"
                    and node.attr in READS_A_CLOCK
                ):
                    readers.add((path.relative_to(root).as_posix(), node.attr))
    allowed = {(name, "time") for name in WALL_CLOCK_READERS}
    assert {item for item in readers if item[0] != "net/clock.py"} == allowed

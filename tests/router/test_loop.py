"""The loop's report of how late it handles ready events, with a simulated clock and selector."""

import ast
from pathlib import Path

import pytest

import martenrun
from martenrun.net import clock
from martenrun.net import loop as loop_module


class SimulatedSelector:
    """Advances the clock by the timeout, and by a suspension of the process at its end."""

    def __init__(self):
        self.now = 50.0
        self.suspended_s = 0.0
        self.pending = []

    def select(self, wait_s):
        """Time out; events that arrive during a suspension are returned by the next call."""
        self.now += wait_s + self.suspended_s
        self.suspended_s = 0.0
        if wait_s:
            return []
        ready, self.pending = self.pending, []
        return ready


@pytest.fixture
def loop_and_selector(monkeypatch):
    selector = SimulatedSelector()
    monkeypatch.setattr(clock, "_read", lambda: selector.now)
    loop = loop_module.Loop()
    loop._selector = selector
    return loop, selector


def test_regular_wait_does_not_count_as_late(loop_and_selector):
    loop, _ = loop_and_selector
    loop.call_later(0.5, lambda: None)
    loop.run_once()
    assert loop.late_s == 0.0


def test_events_after_long_callback_may_be_as_old_as_the_callback(loop_and_selector):
    loop, selector = loop_and_selector

    def run_long():
        selector.now += 0.3

    loop.call_later(0.1, run_long)
    loop.run_once()
    loop.run_once()
    assert loop.late_s == pytest.approx(0.3)


def test_events_after_suspension_may_be_as_old_as_the_suspension(loop_and_selector):
    loop, selector = loop_and_selector
    loop.call_later(0.2, lambda: None)
    selector.suspended_s = 7.0
    loop.run_once()
    assert loop.late_s == pytest.approx(7.0)


def test_events_during_suspension_at_end_of_wait_do_not_count_as_new(loop_and_selector):
    """Guards against datagrams of 7 s ago counting as new.

    The process was suspended just as its wait timed out, so that the wait returned no events.
    """
    loop, selector = loop_and_selector
    lateness = []
    selector.pending = [(SelectorKey(lambda _ready: lateness.append(loop.late_s)), 1)]
    selector.suspended_s = 7.0
    loop.call_later(0.2, lambda: None)
    loop.run_once()
    assert len(lateness) == 1 and lateness[0] >= 7.0


class SelectorKey:
    """The key that a selector returns for a ready socket."""

    def __init__(self, call):
        self.data = call


def test_timers_are_due_after_suspension_of_machine(loop_and_selector):
    """The timeout does not include suspended time, the clock does: timers are due on resume."""
    loop, selector = loop_and_selector
    calls = []
    loop.call_later(3.0, lambda: calls.append("lease ends"))
    selector.suspended_s = 4.0
    loop.run_once()
    assert calls == ["lease ends"]


def test_clock_includes_suspended_time_where_supported(monkeypatch):
    times = {"boot": 104.0, "monotonic": 100.0}
    monkeypatch.setattr(clock.time, "CLOCK_BOOTTIME", 7, raising=False)
    monkeypatch.setattr(clock.time, "clock_gettime", lambda number: times["boot"])
    monkeypatch.setattr(clock.time, "monotonic", lambda: times["monotonic"])
    assert clock._monotonic_clock()() == 104.0


def test_monotonic_clock_is_used_without_boottime(monkeypatch):
    def missing(_number):
        raise OSError

    monkeypatch.setattr(clock.time, "clock_gettime", missing)
    assert clock._monotonic_clock() is clock.time.monotonic


CLOCK_FUNCTIONS = {"monotonic", "perf_counter", "clock_gettime", "time", "time_ns", "monotonic_ns"}
WALL_CLOCK_READERS = {"router/log.py", "router/peers.py"}
"""Modules that read the time of day: for log lines, and to choose an incarnation id."""


def test_router_reads_no_other_clock():
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
                    and node.attr in CLOCK_FUNCTIONS
                ):
                    readers.add((path.relative_to(root).as_posix(), node.attr))
    allowed = {(name, "time") for name in WALL_CLOCK_READERS}
    assert {item for item in readers if item[0] != "net/clock.py"} == allowed

"""Periodic work goes on whatever one round raises, and nothing repeats itself in another way."""

import ast
from pathlib import Path

import pytest

from martenrun.net.periodic import FAILED_CALLS, PeriodicCall, call_safely
from martenrun.router.metrics import Metrics

from .fakes import FakeLoop

SOURCES = Path(__file__).resolve().parents[2] / "src" / "martenrun"


class Work:
    """Counts its rounds; raises in some of them."""

    def __init__(self, loop, raises_in=()):
        self.rounds = []
        self._loop = loop
        self._raises_in = raises_in

    def run(self):
        self.rounds.append(self._loop.now())
        if len(self.rounds) in self._raises_in:
            raise OverflowError("can't serialize ints >= 2**64")


@pytest.mark.parametrize("raises_in", [(), (1,), (2, 3), range(1, 100)])
def test_rounds_go_on_at_their_interval_whatever_they_raise(raises_in):
    loop = FakeLoop()
    work = Work(loop, raises_in)
    PeriodicCall(loop, "work", 0.25, work.run).start()
    loop.run_until(101.0)
    assert work.rounds == [100.0, 100.25, 100.5, 100.75, 101.0]


def test_failures_are_counted_and_shown_as_a_metric():
    loop = FakeLoop()
    before = FAILED_CALLS["counted work"]
    PeriodicCall(loop, "counted work", 1.0, Work(loop, (1, 3)).run).start()
    loop.run_until(105.0)
    assert FAILED_CALLS["counted work"] == before + 2
    line = f'martenrun_task_failures_total{{task="counted work"}} {before + 2}'
    assert line in Metrics(lambda: []).text().decode().splitlines()


def test_interval_is_computed_after_each_round_and_the_last_one_stands_in():
    loop = FakeLoop()
    intervals = iter([1.0, 2.0])
    work = Work(loop)
    PeriodicCall(loop, "work", lambda: next(intervals), work.run).start()
    loop.run_until(107.0)
    assert work.rounds == [100.0, 101.0, 103.0, 105.0, 107.0]


def test_work_that_is_started_twice_or_asks_for_its_next_round_is_scheduled_once():
    loop = FakeLoop()
    work = Work(loop)

    def run():
        work.run()
        periodic.start_later(0.5)

    periodic = PeriodicCall(loop, "work", 1.0, run)
    periodic.start()
    periodic.start()
    periodic.start_later(0.0)
    loop.run_until(101.9)
    assert work.rounds == [100.0, 100.5, 101.0, 101.5]


# A process that stood still makes one round for the time that it missed, as a timer does.
def test_missed_rounds_are_not_made_up_for():
    loop = FakeLoop()
    work = Work(loop)
    PeriodicCall(loop, "work", 0.25, work.run).start()
    loop.time = 110.0
    loop.run_until(110.6)
    assert work.rounds == [100.0, 110.0, 110.25, 110.5]


def test_stopped_work_makes_no_round_until_it_is_started_again():
    loop = FakeLoop()
    work = Work(loop)
    periodic = PeriodicCall(loop, "work", 1.0, work.run)
    periodic.start_later()
    loop.run_until(101.5)
    periodic.stop()
    loop.run_until(105.0)
    assert work.rounds == [101.0]
    periodic.start()
    loop.run_until(106.5)
    assert work.rounds == [101.0, 105.0, 106.0]


def test_work_can_stop_itself():
    loop = FakeLoop()
    work = Work(loop)

    def run():
        work.run()
        periodic.stop()

    periodic = PeriodicCall(loop, "work", 1.0, run)
    periodic.start()
    loop.run_until(105.0)
    assert work.rounds == [100.0]


def test_safe_call_tells_whether_it_returned():
    assert call_safely("work", lambda number: number, 1)
    assert not call_safely("work", lambda number: 1 / number, 0)


# Repetition outside of PeriodicCall

RESCHEDULING = {
    ("net/pacing.py", "Pacer._serve_next"): "schedules the next writer in a finally clause",
    ("router/store/client.py", "ResponseReader._check_timeout"): "computes only its next time",
    ("router/forwarding.py", "RequestForwarder._choose_runner"): "one request until its deadline",
    ("router/forwarding.py", "RequestForwarder._continue"): "one request until its deadline",
    ("router/quotas/gate.py", "QuotaGate._on_timeout"): "one call for each owner of one account",
    ("router/crashes/detector.py", "CrashDetector._repeat_probe"): "some probes of one crash",
    ("router/crashes/outcome_check.py", "OutcomeCheck.start"): "some reports of one response",
    ("router/crashes/outcome_check.py", "OutcomeCheck._confirm"): "some reports of one response",
    ("router/origins/store_probe.py", "StoreProbe._call"): "ends its questions if it raises",
    ("router/origins/exchange.py", "OriginExchange._ask_further"): "two rounds of one search",
}
"""Methods that schedule themselves, and why that is not periodic work that an exception ends."""


def names_of(node):
    """Return the methods of self that a scheduled callback names, in lambdas too."""
    return {
        item.attr
        for item in ast.walk(node)
        if isinstance(item, ast.Attribute)
        and isinstance(item.value, ast.Name)
        and item.value.id == "self"
    }


def called_names(function):
    """Return the methods of self that a method uses, without those that it only schedules."""
    scheduled = {
        id(part)
        for call in scheduling_calls(function)
        for arg in call.args
        for part in ast.walk(arg)
    }
    return {
        item.attr
        for item in ast.walk(function)
        if id(item) not in scheduled
        and isinstance(item, ast.Attribute)
        and isinstance(item.value, ast.Name)
        and item.value.id == "self"
    }


def scheduling_calls(function):
    return [
        item
        for item in ast.walk(function)
        if isinstance(item, ast.Call)
        and isinstance(item.func, ast.Attribute)
        and item.func.attr in ("call_later", "_call_later")
    ]


def self_scheduling(tree):
    """Return the methods from which a call that schedules the same method is reached."""
    found = set()
    for owner in [item for item in ast.walk(tree) if isinstance(item, ast.ClassDef)]:
        methods = {item.name: item for item in owner.body if isinstance(item, ast.FunctionDef)}
        calls = {name: called_names(item) & set(methods) for name, item in methods.items()}
        for name in methods:
            reached, pending = set(), {name}
            while pending:
                reached |= pending
                pending = set().union(*(calls[item] for item in pending)) - reached
            scheduled = {
                target
                for item in reached
                for call in scheduling_calls(methods[item])
                for target in names_of(call.args[1])
            }
            if name in scheduled:
                found.add(f"{owner.name}.{name}")
    return found


def sources():
    for package in ("net", "router"):
        for path in sorted((SOURCES / package).rglob("*.py")):
            name = str(path.relative_to(SOURCES))
            if name != "net/periodic.py":
                yield name, ast.parse(path.read_text(encoding="utf-8"))


# Guards against periodic work that ends for good because one round raised before its last line.
def test_no_callback_schedules_itself_outside_of_the_helper():
    found = {(name, method) for name, tree in sources() for method in self_scheduling(tree)}
    assert found == set(RESCHEDULING)


BEFORE = """
class Peers:
    def start(self):
        self._tick()
    def _tick(self):
        self.work()
        self._plan()
    def _plan(self):
        self._loop.call_later(1.0, {callback})
"""


@pytest.mark.parametrize("callback", ["self._tick", "lambda: self._tick()", "lambda: self._tick"])
def test_the_check_finds_work_that_schedules_itself(callback):
    assert "Peers._tick" in self_scheduling(ast.parse(BEFORE.format(callback=callback)))

"""New weights: few loads at a time, late orders fenced off, the floor kept, no mixed streams."""

from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import (
    EngineListed,
    Executed,
    History,
    LoadBegun,
    LoadEnded,
)

PROMISE = "weights"

MAXIMUM_LOADS = 2
"""Engines that may be out of service for a load at a time."""

FLOOR = 1
"""Engines that loads may not take out of service."""


def check_weights(history: History) -> list[Violation]:
    """Find loads and executions that the rules of a roll-out forbid.

    The floor counts what loads take out of service; a crash is no load.
    """
    return [*_loads(history), *_late_orders(history), *_versions(history)]


def _loads(history: History) -> list[Violation]:
    engines = {listed.process for listed in history.of(EngineListed)}
    loading: set[str] = set()
    found: list[Violation] = []
    for record in history.records:
        if isinstance(record, LoadEnded):
            loading.discard(record.engine)
        if not isinstance(record, LoadBegun):
            continue
        loading.add(record.engine)
        if len(loading) > MAXIMUM_LOADS:
            found.append(_violation(record, f"{len(loading)} engines load at a time"))
        if engines and len(engines - loading) < FLOOR:
            found.append(_violation(record, "loads left no engine in service"))
    return found


def _late_orders(history: History) -> list[Violation]:
    """Find loads by an order with a lower token than that of an earlier load."""
    highest: dict[str, int] = {}
    found: list[Violation] = []
    for load in history.of(LoadBegun):
        before = highest.get(load.incarnation, 0)
        if load.fence <= before:
            found.append(_violation(load, f"an order with token {load.fence} after {before}"))
        highest[load.incarnation] = max(before, load.fence)
    return found


def _versions(history: History) -> list[Violation]:
    """Find executions with other weights than granted, and streams of two versions."""
    begun: dict[str, str] = {}
    found: list[Violation] = []
    for run in history.of(Executed):
        if run.expected_version not in ("", run.weights_version):
            detail = f"granted for {run.expected_version}, run with {run.weights_version}"
            found.append(Violation(PROMISE, run.request_id, run.time_s, detail))
        if run.resume_from == 0:
            begun[run.request_id] = run.weights_version
        elif begun.get(run.request_id, run.weights_version) != run.weights_version:
            detail = f"a stream of {begun[run.request_id]} went on with {run.weights_version}"
            found.append(Violation(PROMISE, run.request_id, run.time_s, detail))
    return found


def _violation(load: LoadBegun, detail: str) -> Violation:
    return Violation(PROMISE, load.engine, load.time_s, detail)

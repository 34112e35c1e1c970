"""An accepted configuration is in force everywhere within seconds and never reverts."""

from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import ConfigurationAccepted, ConfigurationInForce, History

PROMISE = "configuration"

IN_FORCE_BOUND_S = 12.0
"""Longest time from acceptance until a change is in force at a process, in seconds."""


def check_configuration(history: History, bound_s: float = IN_FORCE_BOUND_S) -> list[Violation]:
    """Find processes that fell back, that differ at the same revision, or that are late."""
    return [*_reverts(history), *_differences(history), *_late(history, bound_s)]


def _reverts(history: History) -> list[Violation]:
    reached: dict[tuple[str, str], int] = {}
    found: list[Violation] = []
    for seen in history.of(ConfigurationInForce):
        run = (seen.process, seen.incarnation)
        highest = reached.get(run, 0)
        if seen.revision < highest:
            detail = f"revision {seen.revision} in force after {highest}"
            found.append(Violation(PROMISE, seen.process, seen.time_s, detail))
        reached[run] = max(highest, seen.revision)
    return found


def _differences(history: History) -> list[Violation]:
    first: dict[int, ConfigurationInForce] = {}
    found: list[Violation] = []
    for seen in history.of(ConfigurationInForce):
        other = first.setdefault(seen.revision, seen)
        if other.digest != seen.digest:
            detail = f"revision {seen.revision} differs from that of {other.process}"
            found.append(Violation(PROMISE, seen.process, seen.time_s, detail))
    return found


def _late(history: History, bound_s: float) -> list[Violation]:
    disturbances = Disturbances(history)
    found: list[Violation] = []
    first_seen: dict[str, float] = {}
    for seen in history.of(ConfigurationInForce):
        first_seen.setdefault(seen.process, seen.time_s)
    highest = 0
    accepted_at: list[tuple[float, int]] = []
    for accepted in history.of(ConfigurationAccepted):
        highest = max(highest, accepted.revision)
        accepted_at.append((accepted.time_s, highest))
    for seen in history.of(ConfigurationInForce):
        for accepted_s, revision in accepted_at:
            start_s = max(accepted_s, first_seen[seen.process])
            due_s = disturbances.calm_since(seen.process, start_s, bound_s)
            if seen.time_s > due_s and seen.revision < revision:
                detail = f"revision {revision} not in force {seen.time_s - accepted_s:.1f} s later"
                found.append(Violation(PROMISE, seen.process, seen.time_s, detail))
    return found

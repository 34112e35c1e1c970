"""An accepted configuration is in force everywhere within seconds and never reverts."""

from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import (
    OBJECT_API,
    ConfigurationAccepted,
    ConfigurationInForce,
    History,
    ProcessStarted,
    RemovalUnknown,
)

PROMISE = "configuration"

IN_FORCE_BOUND_S = 12.0
"""Longest time from acceptance until a change is in force at a process, in seconds."""


def check_configuration(history: History, bound_s: float = IN_FORCE_BOUND_S) -> list[Violation]:
    """Find processes that fell back, differ at the same revision, or are late; lost updates."""
    return [
        *_reverts(history),
        *_differences(history),
        *_lost_updates(history),
        *_late(history, bound_s),
    ]


def _lost_updates(history: History) -> list[Violation]:
    """Find two accepted changes of an object that were based on the same version."""
    first: dict[tuple[str, int], ConfigurationAccepted] = {}
    found: list[Violation] = []
    for accepted in history.records:
        if isinstance(accepted, RemovalUnknown):
            # It may be created anew from version 0, as after a removal that was accepted.
            first.pop((accepted.subject, 0), None)
        if not isinstance(accepted, ConfigurationAccepted):
            continue
        base = (accepted.subject, accepted.expected)
        if accepted.subject and first.setdefault(base, accepted) is not accepted:
            detail = f"two accepted changes of version {accepted.expected}"
            found.append(Violation(PROMISE, accepted.subject, accepted.time_s, detail))
        if accepted.removed:
            # The object may be created anew from version 0.
            first.pop((accepted.subject, 0), None)
    return found


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
    """Find processes that ran undisturbed for the bound without an older accepted change."""
    disturbances = Disturbances(history)
    due_times = _DueTimes(history, disturbances, bound_s)
    first_seen: dict[str, float] = {}
    found: list[Violation] = []
    for seen in history.of(ConfigurationInForce):
        since_s = seen.time_s - bound_s
        if first_seen.setdefault(seen.process, seen.time_s) > since_s:
            continue
        if disturbances.touch(seen.process, since_s, seen.time_s):
            continue
        due = due_times.revision_due(seen)
        if seen.revision < due:
            detail = f"revision {due} not in force {bound_s} s after it was accepted"
            found.append(Violation(PROMISE, seen.process, seen.time_s, detail))
    return found


class _DueTimes:
    """When each accepted change must be in force.

    An agent learns of changes from nodes only: its bound begins when some node has been
    undisturbed for as long, since the agent's own start too, because it keeps nothing.  A change
    that no process had in force when the object API went down can be learned from nobody: its
    bound begins when the object API can be read again.
    """

    def __init__(self, history: History, disturbances: Disturbances, bound_s: float) -> None:
        self._starts = starts = history.of(ProcessStarted)
        self._nodes = {start.process for start in starts if start.is_node}
        self._agents = {start.process for start in starts if not start.is_node}
        self._disturbances = disturbances
        self._bound_s = bound_s
        self._seen = history.of(ConfigurationInForce)
        self._due = [
            (change, self._known_s(change) + bound_s)
            for change in history.of(ConfigurationAccepted)
        ]

    def revision_due(self, seen: ConfigurationInForce) -> int:
        """Return the revision that a process must have reached when it was seen."""
        is_agent = seen.process in self._agents and bool(self._nodes)
        started_s = self._started_s(seen) if is_agent else 0.0
        return max(
            (
                change.revision
                for change, due_s in self._due
                if due_s <= seen.time_s
                and (
                    not is_agent
                    or self._told_by_s(max(started_s, due_s - self._bound_s)) <= seen.time_s
                )
            ),
            default=0,
        )

    def _started_s(self, seen: ConfigurationInForce) -> float:
        """Return when the run of a process began in which it was seen."""
        times = (
            start.time_s
            for start in self._starts
            if start.process == seen.process and start.time_s <= seen.time_s
        )
        return max(times, default=0.0)

    def _known_s(self, change: ConfigurationAccepted) -> float:
        """Return when a change could first be learned."""
        bound_s = self._bound_s
        readable_s = self._disturbances.calm_since(OBJECT_API, change.time_s, bound_s) - bound_s
        if readable_s == change.time_s:
            return readable_s
        had_s = (seen.time_s for seen in self._seen if seen.revision >= change.revision)
        return min(readable_s, max(change.time_s, min(had_s, default=readable_s)))

    def _told_by_s(self, known_s: float) -> float:
        """Return when some node has had the bound to tell."""
        return min(
            self._disturbances.calm_since(node, known_s, self._bound_s) for node in self._nodes
        )

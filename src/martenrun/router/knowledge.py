"""What a router knows from the platform's store, and how old that knowledge is.

Versions only rise.  The age of the configuration counts from the sending of the read that
confirmed it, on the steady clock, never from its answer.
"""

from collections.abc import Callable
from typing import TypeVar

from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import Configuration, Runner, StoredObject, WantedWeights
from martenrun.router.route_table import RouteTable

TOLD = 3
"""Versions of a model's weights of which the age is told to other routers."""

REMEMBERED_VERSIONS = 16
"""Versions of one model's weights of which the time is remembered."""


class ConfigurationKnowledge:
    """The newest configuration seen, and when it was last known to be the newest."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.confirmed_at: float | None = None
        self.on_changed: list[Callable[[Configuration], None]] = []

    def age_s(self, now: float) -> float:
        """Return how old the knowledge is, in seconds; infinite before the first."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def take(self, configuration: Configuration) -> None:
        """Take in a configuration unless a newer one is known."""
        if self.table is not None and configuration.version <= self.table.configuration.version:
            return
        self.table = RouteTable(configuration)
        log_event("configuration_taken", version=configuration.version)
        for call in self.on_changed:
            call(configuration)

    def confirm(self, asked_at: float) -> None:
        """Note that a read sent at ``asked_at`` showed nothing newer; the time only rises."""
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at


class RunnerDirectory:
    """The runners listed."""

    def __init__(self) -> None:
        self.runners: dict[str, Runner] = {}

    def put(self, runner: Runner) -> None:
        """Take in an entry; a runner that drains never becomes ready again."""
        known = self.runners.get(runner.instance)
        if known is None or runner.is_draining or not known.is_draining:
            self.runners[runner.instance] = runner

    def remove(self, instance: str) -> None:
        """Take in that an entry is gone."""
        self.runners.pop(instance, None)


class WeightsKnowledge:
    """The versions of weights that the operator has named, and since when they are known."""

    def __init__(self) -> None:
        self.wanted: dict[str, WantedWeights] = {}
        self._known_since: dict[str, list[tuple[float, int]]] = {}
        self.on_changed: Callable[[], None] = _nothing

    def take(self, wanted: WantedWeights, now: float) -> None:
        """Take in a named version unless a newer one is known."""
        known = self.wanted.get(wanted.model)
        if known is not None and known.version >= wanted.version:
            return
        self.wanted[wanted.model] = wanted
        history = self._known_since.setdefault(wanted.model, [])
        history.append((now, wanted.version))
        del history[:-REMEMBERED_VERSIONS]
        log_event("weights_named", model=wanted.model, version=wanted.version)
        self.on_changed()

    def namings(self, model: str) -> list[tuple[float, int]]:
        """Return since when each version of a model's weights is known, the latest last."""
        return self._known_since.get(model, [])

    def ages_ms(self, now: float) -> dict[str, list[tuple[int, int]]]:
        """Return for each model how long its last versions have been known, in milliseconds."""
        return {
            model: [(version, int((now - since) * 1000)) for since, version in history[-TOLD:]]
            for model, history in self._known_since.items()
        }

    def learn_ages(self, ages_ms: dict[str, list[tuple[int, int]]], now: float) -> None:
        """Take in since when another router has known of versions."""
        for model, ages in ages_ms.items():
            history = dict((version, since) for since, version in self._known_since.get(model, ()))
            for version, age_ms in ages:
                since = now - age_ms / 1000.0
                history[version] = min(since, history.get(version, since))
            ordered = sorted((since, version) for version, since in history.items())
            self._known_since[model] = ordered[-REMEMBERED_VERSIONS:]

    def oldest_allowed(self, model: str, bound_s: float, now: float) -> int:
        """Return the newest version known for longer than ``bound_s``, or 0.

        Older ones may no longer begin requests.
        """
        due = [v for since, v in self._known_since.get(model, ()) if now - since > bound_s]
        return max(due, default=0)


Read = TypeVar("Read")


def decoded(stored: StoredObject, read: Callable[[StoredObject], Read]) -> Read | None:
    """Decode an object; one that cannot be understood is logged and left out."""
    try:
        return read(stored)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        log_trouble("object_unreadable", name=stored.name, fault=str(exc)[:100])
        return None


def _nothing() -> None:
    return None

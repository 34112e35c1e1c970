"""What a router knows from the platform's store, and how old that knowledge is.

Versions only rise.  The age of the configuration counts from the sending of the read that
confirmed it, on the steady clock, never from its answer.
"""

from collections.abc import Callable
from typing import TypeVar

from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import (
    Configuration,
    Runner,
    StoredObject,
    TargetWeights,
    UnreadableError,
)
from martenrun.router.route_table import RouteTable

TOLD = 3
"""Versions of the configuration, or of a model's weights, of which other routers are told."""

REMEMBERED_VERSIONS = 16
"""Versions of the configuration, or of a model's weights, of which the time is remembered."""


class ConfigurationKnowledge:
    """The newest configuration seen, and when it was last known to be the newest.

    Beside it stands since when newer versions are in force at other routers: whoever is behind for
    longer than a change may take must not serve by the old one, however long it asks in vain.
    While the store is down, or this router cut off, nobody tells of newer versions.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.confirmed_at: float | None = None
        self.on_changed: list[Callable[[Configuration], None]] = []
        self._is_readable = True
        self._since: dict[int, float] = {}
        self._behind_since: float | None = None

    @property
    def version(self) -> int:
        """The version in force here, or 0."""
        return 0 if self.table is None else self.table.configuration.version

    def age_s(self, now: float) -> float:
        """Return how old the knowledge is, in seconds; infinite before the first."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def take(self, configuration: Configuration) -> None:
        """Take in a configuration unless a newer one is known."""
        self._is_readable = True
        if self.table is not None and configuration.version <= self.version:
            return
        self.table = RouteTable(configuration)
        self._behind_since = self._first_known_after(configuration.version)
        log_event("configuration_taken", version=configuration.version)
        for call in self.on_changed:
            call(configuration)

    def note_unreadable(self) -> None:
        """Take in that the store holds a configuration that cannot be understood.

        The last good one stays in force, but reads do not confirm it any more: the newer one may
        have taken keys away.
        """
        self._is_readable = False

    def confirm(self, asked_at: float) -> bool:
        """Note that a read sent at ``asked_at`` showed nothing newer; the time only rises.

        Returns:
            Whether what is in force here is what the store holds.
        """
        if self._is_readable and (self.confirmed_at is None or asked_at > self.confirmed_at):
            self.confirmed_at = asked_at
        return self._is_readable

    def hear(self, versions: list[tuple[int, int]], told_at: float) -> None:
        """Take in which versions are in force somewhere, and for how long, in milliseconds.

        Being told again renews nothing: the earliest time stays.
        """
        for version, age_ms in versions:
            since = told_at - age_ms / 1000.0
            known = self._since.get(version)
            if known is not None and known <= since:
                continue
            self._since[version] = since
            if version > self.version:
                behind_since = self._behind_since
                self._behind_since = since if behind_since is None else min(since, behind_since)
        if len(self._since) > REMEMBERED_VERSIONS:
            for version in sorted(self._since)[:-REMEMBERED_VERSIONS]:
                del self._since[version]

    def told(self, now: float) -> list[tuple[int, int]]:
        """Return the last versions that are in force somewhere, and for how long, as in hear()."""
        newest = sorted(self._since.items())[-TOLD:]
        return [(version, int((now - since) * 1000)) for version, since in newest]

    def behind_s(self, now: float) -> float:
        """Return for how long a newer version has been in force elsewhere, in seconds."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def _first_known_after(self, version: int) -> float | None:
        return min((at for newer, at in self._since.items() if newer > version), default=None)


class RunnerDirectory:
    """The runners listed, each by the key of its last start.

    The entry of another start under the same id ends the one before at once, drained or not.
    """

    def __init__(self) -> None:
        self.runners: dict[str, Runner] = {}
        self._lives: dict[str, str] = {}

    def put(self, runner: Runner) -> None:
        """Take in an entry; a runner that drains never becomes ready again in this life."""
        last = self._lives.get(runner.name)
        if last is not None and last != runner.instance:
            log_event("runner_started_again", instance=runner.instance, before=last)
            del self.runners[last]
        known = self.runners.get(runner.instance)
        self._lives[runner.name] = runner.instance
        if known is None or runner.is_draining or not known.is_draining:
            self.runners[runner.instance] = runner

    def remove(self, name: str) -> None:
        """Take in that the entry of a runner is gone, or that it cannot be read any more."""
        self.runners.pop(self._lives.pop(name, ""), None)

    def listed_at(self, address: str) -> list[str]:
        """Return the instances listed at an address."""
        return [key for key, runner in self.runners.items() if runner.address == address]

    def has_ended(self, runner: Runner) -> bool:
        """Whether a later start under the same id is known: this one works on nothing any more."""
        return self._lives.get(runner.name, runner.instance) != runner.instance


class WeightsKnowledge:
    """The versions of weights that the operator has named, and since when they are known."""

    def __init__(self) -> None:
        self.wanted: dict[str, TargetWeights] = {}
        self._known_since: dict[str, list[tuple[float, int]]] = {}
        self.on_changed: Callable[[], None] = _nothing

    def take(self, wanted: TargetWeights, now: float) -> None:
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


Raw = TypeVar("Raw", StoredObject, bytes)
Read = TypeVar("Read")


def decoded(stored: Raw, read: Callable[[Raw], Read]) -> Read | None:
    """Decode an object; one that cannot be understood is logged and left out."""
    try:
        return read(stored)
    except UnreadableError as exc:
        name = stored.name if isinstance(stored, StoredObject) else None
        log_warning("object_unreadable", name=name, fault=str(exc)[:100])
        return None


def _nothing() -> None:
    return None

"""State read from the platform's store, and its age.

Versions only increase.  The age of the configuration counts from the time at which the confirming
read was sent, not from its response, on the monotonic clock.
"""

from collections.abc import Callable
from typing import TypeVar

from martenrun.net.periodic import call_safely, record_failure
from martenrun.net.wire_types import bounded_ms
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import (
    Configuration,
    Runner,
    StoredObject,
    TargetWeights,
    UnreadableError,
)
from martenrun.router.route_table import RouteTable

GOSSIPED_VERSIONS = 3
"""Number of latest versions of the configuration, or of a model's weights, that are gossiped."""

REMEMBERED_VERSIONS = 16
"""Number of versions of the configuration, or of a model's weights, whose time is kept."""


class ConfigurationState:
    """The newest known configuration, and when it was last confirmed to be the newest.

    Also tracks since when newer versions are in force on other routers: a router that has been
    behind for longer than a change may take must not serve by the old version, even if its own
    requests for the newer one fail.  While the store is down, or this router is isolated, newer
    versions are not reported.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.era = 0
        self.confirmed_at: float | None = None
        self.on_changed: list[Callable[[Configuration], None]] = []
        self._is_readable = True
        self._in_force_since: dict[int, float] = {}
        self._behind_since: float | None = None

    @property
    def version(self) -> int:
        """The version in force here, or 0."""
        return 0 if self.table is None else self.table.configuration.version

    def age_s(self, now: float) -> float:
        """Return the age of the configuration in seconds; infinite before the first one."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def put(self, configuration: Configuration, era: int = 0) -> None:
        """Put a configuration in force unless a newer one is known.

        Args:
            era: era of the store in which it was read.
        """
        self._is_readable = True
        if self.table is not None and configuration.version <= self.version:
            return
        self.era = era
        self.table = RouteTable(configuration)
        self._behind_since = self._earliest_in_force_after(configuration.version)
        log_event("configuration_taken", version=configuration.version, store_era=era or None)
        for call in self.on_changed:
            call_safely("configuration_changed", call, configuration)

    def mark_unreadable(self) -> None:
        """Record that the store holds a configuration that cannot be decoded.

        The last valid one stays in force, but reads do not confirm it any more, because the newer
        one may have revoked keys.
        """
        self._is_readable = False

    def confirm(self, sent_at: float) -> bool:
        """Record that a read sent at ``asked_at`` found nothing newer; the time only increases.

        Returns:
            Whether the store holds the configuration that is in force on this router.
        """
        if self._is_readable and (self.confirmed_at is None or sent_at > self.confirmed_at):
            self.confirmed_at = sent_at
        return self._is_readable

    def merge_versions(self, versions: list[tuple[int, int]], reported_at: float) -> None:
        """Merge the versions in force on other routers, with their ages in milliseconds.

        Repeated reports do not renew a version: its earliest time is kept.
        """
        for version, age_ms in versions:
            since = reported_at - age_ms / 1000.0
            known = self._in_force_since.get(version)
            if known is not None and known <= since:
                continue
            self._in_force_since[version] = since
            if version > self.version:
                behind_since = self._behind_since
                self._behind_since = since if behind_since is None else min(since, behind_since)
        if len(self._in_force_since) > REMEMBERED_VERSIONS:
            for version in sorted(self._in_force_since)[:-REMEMBERED_VERSIONS]:
                del self._in_force_since[version]

    def versions_in_force(self, now: float) -> list[tuple[int, int]]:
        """Return the latest versions in force on any router and their ages in milliseconds."""
        newest = sorted(self._in_force_since.items())[-GOSSIPED_VERSIONS:]
        return [(version, bounded_ms(int((now - since) * 1000))) for version, since in newest]

    def behind_s(self, now: float) -> float:
        """Return for how long a newer version has been in force on another router, in seconds."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def _earliest_in_force_after(self, version: int) -> float | None:
        return min(
            (at for newer, at in self._in_force_since.items() if newer > version), default=None
        )


class RunnerDirectory:
    """The listed runners, by the key of their latest instance.

    An entry for a new instance with the same ID replaces the previous one at once, even if that
    has not drained.
    """

    def __init__(self) -> None:
        self.runners: dict[str, Runner] = {}
        self._instances: dict[str, str] = {}

    def put(self, runner: Runner) -> None:
        """Add or update an entry; a draining instance never becomes ready again."""
        last = self._instances.get(runner.name)
        if last is not None and last != runner.instance:
            log_event("runner_started_again", instance=runner.instance, before=last)
            del self.runners[last]
        known = self.runners.get(runner.instance)
        self._instances[runner.name] = runner.instance
        if known is None or runner.is_draining or not known.is_draining:
            self.runners[runner.instance] = runner

    def remove(self, name: str) -> None:
        """Remove a runner whose entry was deleted or cannot be decoded."""
        self.runners.pop(self._instances.pop(name, ""), None)

    def instances_at(self, address: str) -> list[str]:
        """Return the instances that are listed with an address."""
        return [key for key, runner in self.runners.items() if runner.address == address]

    def has_other_software(self, runner: Runner, software: str) -> bool:
        """Return whether the listed runner with the same ID has another software version."""
        listed = self.runners.get(self._instances.get(runner.name, ""))
        return listed is not None and listed.software_id != software

    def is_replaced(self, runner: Runner) -> bool:
        """Return whether a later instance with the same ID has replaced this one."""
        return self._instances.get(runner.name, runner.instance) != runner.instance


class WeightsState:
    """The target versions of weights set by the operator, and when each became known."""

    def __init__(self) -> None:
        self.targets: dict[str, TargetWeights] = {}
        self._known_since: dict[str, list[tuple[float, int]]] = {}
        self.on_changed: Callable[[], None] = _nothing

    def put(self, target: TargetWeights, now: float) -> None:
        """Set a target version unless a newer one is known."""
        known = self.targets.get(target.model)
        if known is not None and known.version >= target.version:
            return
        self.targets[target.model] = target
        history = self._known_since.setdefault(target.model, [])
        history.append((now, target.version))
        del history[:-REMEMBERED_VERSIONS]
        log_event("weights_named", model=target.model, version=target.version)
        call_safely("weights_changed", self.on_changed)

    def known_versions(self, model: str) -> list[tuple[float, int]]:
        """Return when each version of a model's weights became known, the latest last."""
        return self._known_since.get(model, [])

    def ages_ms(self, now: float) -> dict[str, list[tuple[int, int]]]:
        """Return for each model how long its latest versions have been known, in milliseconds."""
        return {
            model: [
                (version, bounded_ms(int((now - since) * 1000)))
                for since, version in history[-GOSSIPED_VERSIONS:]
            ]
            for model, history in self._known_since.items()
        }

    def merge_ages(self, ages_ms: dict[str, list[tuple[int, int]]], now: float) -> None:
        """Merge how long another router has known of versions."""
        for model, ages in ages_ms.items():
            history = dict((version, since) for since, version in self._known_since.get(model, ()))
            for version, age_ms in ages:
                since = now - age_ms / 1000.0
                history[version] = min(since, history.get(version, since))
            ordered = sorted((since, version) for version, since in history.items())
            self._known_since[model] = ordered[-REMEMBERED_VERSIONS:]

    def oldest_allowed(self, model: str, bound_s: float, now: float) -> int:
        """Return the newest version known for longer than ``bound_s``, or 0.

        New requests must not use an older version.
        """
        due = [v for since, v in self._known_since.get(model, ()) if now - since > bound_s]
        return max(due, default=0)


Raw = TypeVar("Raw", StoredObject, bytes)
Read = TypeVar("Read")


def decode_or_log(stored: Raw, decode: Callable[[Raw], Read]) -> Read | None:
    """Decode an object; return None and log a failure if it cannot be decoded."""
    try:
        return decode(stored)
    except UnreadableError as exc:
        name = stored.name if isinstance(stored, StoredObject) else None
        log_warning("object_unreadable", name=name, fault=str(exc)[:100])
        return None
    except Exception as exc:
        # One object must not keep the others of its response from being applied.
        record_failure("decode_object", exc)
        return None


def _nothing() -> None:
    return None

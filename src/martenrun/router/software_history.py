"""Which software versions the runners of each service have had lately.  No I/O or clock."""

from collections.abc import Iterable, Mapping

from martenrun.net.wire_types import bounded_ms
from martenrun.router.messages import Runner

RETENTION_S = 60.0
"""How long a version counts after its last runner was listed, in seconds.

Streams that it began may be resumed as long; origins of streams are not kept for longer either.
"""

MAXIMUM_SHARED = 16
"""Number of versions of a service that are told to other routers, those seen last."""

VersionAges = dict[str, list[tuple[str, int]]]
"""For each service its versions as (version, milliseconds since a runner was last listed)."""


class SoftwareHistory:
    """When a runner of each software version was last listed, as far as any router knows."""

    def __init__(self) -> None:
        self._seen_at: dict[str, dict[str, float]] = {}

    def record_listed(self, runners: Iterable[Runner], now: float) -> None:
        """Record the runners that are listed now, and forget versions seen long ago."""
        for runner in runners:
            self._seen_at.setdefault(runner.service, {})[runner.software_id] = now
        for service, seen_at in list(self._seen_at.items()):
            recent = {name: at for name, at in seen_at.items() if now - at <= RETENTION_S}
            if recent:
                self._seen_at[service] = recent
            else:
                del self._seen_at[service]

    def record_version(self, service: str, software: str, now: float) -> bool:
        """Record a version that a runner may have; return whether it was unknown."""
        seen_at = self._seen_at.setdefault(service, {})
        is_new = software not in seen_at
        seen_at[software] = now
        return is_new

    def merge(self, ages: Mapping[str, Iterable[tuple[str, int]]], reported_at: float) -> None:
        """Merge what another router knew at a monotonic time; repeated reports renew nothing."""
        for service, versions in ages.items():
            seen_at = self._seen_at.setdefault(service, {})
            for software, age_ms in versions:
                at = reported_at - age_ms / 1000.0
                seen_at[software] = max(at, seen_at.get(software, at))

    def versions(self, service: str) -> list[str]:
        """Return the versions that the runners of a service have had lately."""
        return list(self._seen_at.get(service, ()))

    def all_versions(self) -> dict[str, tuple[str, ...]]:
        """Return for each service its versions seen last, sorted by name."""
        return {
            service: tuple(sorted(sorted(seen_at, key=seen_at.__getitem__)[-MAXIMUM_SHARED:]))
            for service, seen_at in self._seen_at.items()
        }

    def ages(self, now: float) -> VersionAges:
        """Return what other routers need to know: services with several versions lately."""
        return {
            service: versions
            for service, versions in self.all_ages(now).items()
            if len(versions) > 1
        }

    def all_ages(self, now: float) -> VersionAges:
        """Return for each service its versions seen last and their ages."""
        return {
            service: [
                (software, bounded_ms(round((now - at) * 1000)))
                for software, at in sorted(seen_at.items(), key=lambda item: -item[1])
            ][:MAXIMUM_SHARED]
            for service, seen_at in self._seen_at.items()
        }

"""Counts of admissions and refusals by tenant, with a bounded number of tenants."""

from dataclasses import dataclass

MAXIMUM_COUNTED_TENANTS = 200
"""Tenants counted by name; the rest are counted together."""

OTHER_TENANTS = "_other"
"""Name that the rest is counted under; no tenant can have it."""

ADMITTED = "admitted"


@dataclass(frozen=True, slots=True)
class AdmissionCount:
    """How often a tenant's questions ended this way; ``outcome`` is ADMITTED or a code."""

    tenant: str
    outcome: str
    count: int


class AdmissionCounts:
    """Counts that only rise; may be read from any thread."""

    def __init__(self) -> None:
        self._tenants: set[str] = set()
        self._counts: dict[tuple[str, str], int] = {}

    def add(self, tenant: str, outcome: str) -> None:
        """Count one outcome."""
        if tenant not in self._tenants:
            if len(self._tenants) >= MAXIMUM_COUNTED_TENANTS:
                tenant = OTHER_TENANTS
            else:
                self._tenants.add(tenant)
        key = (tenant, outcome)
        self._counts[key] = self._counts.get(key, 0) + 1

    def all(self) -> list[AdmissionCount]:
        """Return a copy of every count."""
        return [AdmissionCount(*key, count) for key, count in self._counts.copy().items()]

"""Sums of usage over nodes and zones, kept by the node that adds up a shard in its zone.

What a node or zone reports is its present rate, not an increment: a lost report is healed by
the next one, a repeated one changes nothing, and a part that is not refreshed (its node has
died) is dropped after :data:`HOLD_S`.

See also: :mod:`martenrun.sharing.usage`.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from martenrun.sharing.records import UsageRecord

REPORT_INTERVAL_S = 4.0
"""Time between a node's reports and between a zone's, in seconds."""

REFRESH_S = 10.0
"""A part is reported again after this time also if it has not changed, in seconds."""

HOLD_S = 3 * REFRESH_S
"""A part that has not been refreshed for this long is dropped, in seconds."""

CHANGE_TOLERANCE = 0.1
"""Relative change that is not worth a record before the refresh."""

RATE_FLOOR = 1.0
"""Rates and changes below this are not reported, in tokens per second."""


@dataclass(slots=True)
class Reported:
    """Rates last reported, in tokens per second, and when."""

    usage: float = 0.0
    demand: float = 0.0
    at: float = float("-inf")

    def urgency(
        self, usage: float, demand: float, now: float, is_unanswered: bool = False
    ) -> float:
        """Return how urgent new rates are to report; 0 means not yet.

        Large changes go first, and small ones gain with time, so that none waits for ever.  What
        was reported and not answered is reported again without a change.
        """
        largest = max(abs(usage), demand, abs(self.usage), self.demand)
        if largest < RATE_FLOOR:
            return 0.0
        gap = max(abs(usage - self.usage), abs(demand - self.demand))
        age_s = min(now - self.at, HOLD_S)
        is_known = gap < CHANGE_TOLERANCE * largest and age_s < REFRESH_S
        if is_known and not is_unanswered:
            return 0.0
        return (gap + CHANGE_TOLERANCE * largest) * age_s


@dataclass(slots=True)
class _Tenant:
    """A tenant's parts by origin, their sums, and what other zones were last told."""

    own_parts: dict[str, Reported] = field(default_factory=dict)
    zone_parts: dict[str, Reported] = field(default_factory=dict)
    own_usage: float = 0.0
    own_demand: float = 0.0
    told: Reported = field(default_factory=Reported)


class UsageAggregator:
    """Parts and sums of the tenants of every shard that this node adds up.

    Attributes:
        own_zone_usage: usage of all these tenants in the own zone, in tokens per second.
    """

    def __init__(self) -> None:
        self.own_zone_usage = 0.0
        self._tenants: dict[int, _Tenant] = {}

    def __len__(self) -> int:
        return len(self._tenants)

    def take_node(self, node: str, records: Iterable[UsageRecord], now: float) -> None:
        """Replace what a node of the own zone has reported for these tenants."""
        for record in records:
            tenant = self._tenants.setdefault(record.tenant_id, _Tenant())
            part = tenant.own_parts.setdefault(node, Reported())
            self._change(tenant, record.usage - part.usage, record.demand - part.demand)
            part.usage, part.demand, part.at = record.usage, record.demand, now

    def take_zone(self, zone: str, records: Iterable[UsageRecord], now: float) -> None:
        """Replace what another zone has reported for these tenants."""
        for record in records:
            tenant = self._tenants.setdefault(record.tenant_id, _Tenant())
            tenant.zone_parts[zone] = Reported(record.usage, record.demand, now)

    def total(self, identity: int) -> UsageRecord:
        """Return a tenant's rates over all nodes of all zones heard from."""
        tenant = self._tenants.get(identity)
        if tenant is None:
            return UsageRecord(identity, 0.0, 0.0)
        zones = tenant.zone_parts.values()
        usage = tenant.own_usage + sum(part.usage for part in zones)
        return UsageRecord(identity, usage, tenant.own_demand + sum(part.demand for part in zones))

    def total_usage(self) -> float:
        """Return the usage of all tenants added up here, over all zones."""
        foreign = sum(
            part.usage for tenant in self._tenants.values() for part in tenant.zone_parts.values()
        )
        return self.own_zone_usage + foreign

    def zone_changes(self, limit: int, now: float) -> list[UsageRecord]:
        """Return sums of the own zone that other zones should be told, most urgent first."""
        urgent: list[tuple[float, int]] = []
        for identity, tenant in self._tenants.items():
            urgency = tenant.told.urgency(tenant.own_usage, tenant.own_demand, now)
            if urgency > 0:
                urgent.append((urgency, identity))
        urgent.sort(reverse=True)
        records = []
        for _urgency, identity in urgent[:limit]:
            tenant = self._tenants[identity]
            tenant.told = Reported(tenant.own_usage, tenant.own_demand, now)
            records.append(UsageRecord(identity, tenant.own_usage, tenant.own_demand))
        return records

    def forget_stale(self, now: float) -> None:
        """Drop parts that have not been refreshed, and tenants without parts."""
        for identity, tenant in list(self._tenants.items()):
            for node, part in list(tenant.own_parts.items()):
                if now - part.at > HOLD_S:
                    self._change(tenant, -part.usage, -part.demand)
                    del tenant.own_parts[node]
            for zone, part in list(tenant.zone_parts.items()):
                if now - part.at > HOLD_S:
                    del tenant.zone_parts[zone]
            if not tenant.own_parts and not tenant.zone_parts and now - tenant.told.at > HOLD_S:
                self.own_zone_usage -= tenant.own_usage
                del self._tenants[identity]

    def _change(self, tenant: _Tenant, usage: float, demand: float) -> None:
        tenant.own_usage += usage
        tenant.own_demand += demand
        self.own_zone_usage += usage

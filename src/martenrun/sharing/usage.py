"""Decision logic that tells every node how much each tenant uses on all nodes together.

Tenants are divided into shards.  In each zone one live node, chosen by rendezvous hashing,
adds up a shard.  Every node reports its changed rates to the adding nodes of its own zone;
the answer carries the tenants' sums over all zones.  The adding nodes of a shard tell each
other their zones' sums.  No node is special: another member takes a shard over at the next
report, and no state has to move.  If nodes are cut off their sums fade and each side shares
by what it sees.

See also: :mod:`martenrun.sharing.shares`, docs/design/sharing.md.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from martenrun.events import Event, Instruction, PeerMessage, Send, Tick
from martenrun.identity.rendezvous import ranked
from martenrun.membership.view import Member, MemberView
from martenrun.sharing.aggregation import (
    HOLD_S,
    RATE_FLOOR,
    REFRESH_S,
    REPORT_INTERVAL_S,
    Reported,
    UsageAggregator,
)
from martenrun.sharing.decay import USAGE_WINDOW_S, UseRate
from martenrun.sharing.records import (
    SHARDS,
    UsageRecord,
    as_told,
    pack,
    pack_rates,
    shard_of,
    tenant_id,
    unpack,
    unpack_rates,
)
from martenrun.wire.messages import UsageDigest, UsageTotals

RECORDS_PER_REPORT = 48
"""Tenants in one node's reports of one interval; the most urgent go first."""

RECORDS_PER_ZONE_DIGEST = 128
"""Tenants that a zone's adding node tells other zones of in one interval."""

REFRESH_TURNS = round(REFRESH_S / REPORT_INTERVAL_S)
"""Reports in which every tenant is looked at once."""

WATCH_INTERVAL_S = 2 * REPORT_INTERVAL_S
"""Time between two reports of a watched tenant whose own rates do not change, in seconds."""

FORGET_INTERVAL_S = 5.0
"""Time between removals of stale state, in seconds."""

UNASKED_SHARE = 0.25
"""Part of an even share of its limits that a tenant has at a node it has not used yet."""

_INCARNATION_BITS = 34
"""Width of the number that tells a node's runs apart: 5 bytes on the wire."""


@dataclass(frozen=True, slots=True)
class TenantUsage:
    """A tenant's decayed rates here and on all nodes, in tokens per second."""

    own_usage: float
    own_demand: float
    all_usage: float
    all_demand: float


@dataclass(slots=True)
class _OwnTenant:
    """Rates at this node, what was last reported of them, and the rates of other nodes.

    ``turn`` is the report out of REFRESH_TURNS in which it is looked at even if unused.
    """

    here: UseRate
    turn: int
    watched_at: float = float("-inf")
    reported: Reported = field(default_factory=Reported)
    elsewhere: Reported = field(default_factory=Reported)


@dataclass(slots=True)
class _Heard:
    """The latest digest of a peer, to drop repeated and overtaken ones."""

    incarnation: int
    sequence: int
    heard_at: float


class UsageExchange:
    """Counts tenants' use at this node and exchanges sums with the other nodes.

    Args:
        members: the live nodes.
        rng: seeded source of jitter and of this run's incarnation.
    """

    def __init__(self, members: MemberView, rng: random.Random) -> None:
        self._members = members
        self._rng = rng
        self._incarnation = rng.getrandbits(_INCARNATION_BITS)
        self._sequence = 0
        # Tenants reported last, by the node that was told, in the order of the records.
        self._asked: dict[str, list[int]] = {}
        self._tenants: dict[str, _OwnTenant] = {}
        self._names: dict[int, str] = {}
        self._touched: set[str] = set()
        self._unanswered: set[str] = set()
        self._aggregator = UsageAggregator()
        self._added = 0.0
        self._heard: dict[str, _Heard] = {}
        self._added_usage: dict[str, Reported] = {}
        self._adders: dict[tuple[str, int], str] = {}
        self._live: tuple[Member, ...] = ()
        self._next_report: float | None = None
        self._next_forget = 0.0

    def served(self, tenant: str, tokens: float, now: float) -> None:
        """Count tokens that a tenant has been given here; negative tokens take back."""
        self._rate(tenant, now).add(tokens / USAGE_WINDOW_S, 0.0)

    def demanded(self, tenant: str, tokens: float, now: float) -> None:
        """Count tokens that a tenant has asked for here, refused or not."""
        self._rate(tenant, now).add(0.0, tokens / USAGE_WINDOW_S)

    def watch(self, tenant: str, now: float) -> None:
        """Ask for a tenant's sums also if it uses nothing here; to be repeated while needed."""
        self._rate(tenant, now)
        self._tenants[tenant].watched_at = now

    def usage(self, tenant: str, now: float) -> TenantUsage:
        """Return a tenant's rates here and on all nodes together."""
        found = self._tenants.get(tenant)
        if found is None:
            return TenantUsage(0.0, 0.0, 0.0, 0.0)
        here, elsewhere = found.here, found.elsewhere
        here.advance(now)
        return TenantUsage(
            here.usage,
            here.demand,
            max(0.0, here.usage + elsewhere.usage),
            here.demand + elsewhere.demand,
        )

    def total_usage(self) -> float:
        """Return the usage of all tenants known to the adding nodes, in tokens per second."""
        return sum(added.usage for added in self._added_usage.values())

    def share_of(self, own_demand: float, all_demand: float) -> float:
        """Return this node's share of a tenant's limits, in proportion to demand.

        A tenant that nobody else has reported has its whole limits here.
        """
        if all_demand <= own_demand:
            return 1.0
        least = UNASKED_SHARE / max(1, len(self._live))
        return max(least, own_demand / all_demand)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case Tick():
                return self._tick(now)
            case PeerMessage(peer, UsageDigest() as digest):
                return self._take_digest(peer, digest, now)
            case PeerMessage(peer, UsageTotals() as totals):
                self._take_totals(peer, totals, now)
        return []

    def _rate(self, name: str, now: float) -> UseRate:
        found = self._tenants.get(name)
        if found is None:
            identity = tenant_id(name)
            turn = identity // SHARDS % REFRESH_TURNS
            found = self._tenants[name] = _OwnTenant(UseRate(updated=now), turn)
            self._names[identity] = name
        self._touched.add(name)
        found.here.advance(now)
        return found.here

    def _tick(self, now: float) -> list[Instruction]:
        if self._next_report is None:
            # The first report comes at a random time, so that a herd of starts spreads out.
            self._next_report = now + self._rng.random() * REPORT_INTERVAL_S
        if now < self._next_report:
            return []
        self._next_report = now + REPORT_INTERVAL_S * self._rng.uniform(0.9, 1.1)
        if now >= self._next_forget:
            self._next_forget = now + FORGET_INTERVAL_S
            self._forget_stale(now)
        self._update_members()
        self._sequence += 1
        self._added = self._aggregator.total_usage()
        return self._reports(now) + self._zone_digests(now)

    def _update_members(self) -> None:
        live = tuple(self._members.live())
        if live != self._live:
            self._live = live
            self._adders.clear()

    def _reports(self, now: float) -> list[Instruction]:
        zone = self._members.own.zone
        by_adder: dict[str, list[UsageRecord]] = {}
        for name in self._urgent(now):
            tenant = self._tenants[name]
            usage, demand = as_told(tenant.here.usage), as_told(tenant.here.demand)
            tenant.reported = Reported(usage, demand, now)
            self._unanswered.add(name)
            record = UsageRecord(tenant_id(name), usage, demand)
            by_adder.setdefault(self._adder(zone, record.tenant_id), []).append(record)
        self._asked = {
            adder: [record.tenant_id for record in records] for adder, records in by_adder.items()
        }
        return [Send(adder, self._digest("", records)) for adder, records in by_adder.items()]

    def _urgent(self, now: float) -> list[str]:
        """Return the tenants to report.

        Only those used since the last report or not answered, and in turn a part of the others,
        are looked at: rates that only fade need no more than a refresh.
        """
        turn = self._sequence % REFRESH_TURNS
        urgent: list[tuple[float, str]] = []
        for name, tenant in self._tenants.items():
            is_unanswered = name in self._unanswered
            if tenant.turn != turn and name not in self._touched and not is_unanswered:
                continue
            here = tenant.here
            here.advance(now)
            urgency = tenant.reported.urgency(here.usage, here.demand, now, is_unanswered)
            is_watched = now - tenant.watched_at <= REPORT_INTERVAL_S
            if is_watched and now - tenant.reported.at >= WATCH_INTERVAL_S:
                urgency = max(urgency, abs(tenant.elsewhere.usage), RATE_FLOOR)
            if urgency > 0:
                urgent.append((urgency, name))
            elif is_unanswered:
                self._unanswered.discard(name)
        self._touched.clear()
        urgent.sort(reverse=True)
        return [name for _urgency, name in urgent[:RECORDS_PER_REPORT]]

    def _zone_digests(self, now: float) -> list[Instruction]:
        own = self._members.own
        changes = [
            record
            for record in self._aggregator.zone_changes(RECORDS_PER_ZONE_DIGEST, now)
            if self._adder(own.zone, record.tenant_id) == own.address
        ]
        by_adder: dict[str, list[UsageRecord]] = {}
        for zone in sorted({member.zone for member in self._live} - {own.zone}):
            for record in changes:
                by_adder.setdefault(self._adder(zone, record.tenant_id), []).append(record)
        return [Send(adder, self._digest(own.zone, part)) for adder, part in by_adder.items()]

    def _digest(self, zone: str, records: Iterable[UsageRecord]) -> UsageDigest:
        return UsageDigest(self._incarnation, self._sequence, zone, pack(records))

    def _take_digest(self, peer: str, digest: UsageDigest, now: float) -> list[Instruction]:
        if not self._is_news(f"{peer} {digest.zone}", digest, now):
            return []
        records = unpack(digest.records)
        if digest.zone:
            self._aggregator.take_zone(digest.zone, records, now)
            return []
        self._aggregator.take_node(peer, records, now)
        totals = pack_rates(self._aggregator.total(record.tenant_id) for record in records)
        answer = UsageTotals(digest.incarnation, digest.sequence, self._added, totals)
        return [Send(peer, answer)]

    def _is_news(self, source: str, digest: UsageDigest, now: float) -> bool:
        last = self._heard.get(source)
        same_run = last is not None and last.incarnation == digest.incarnation
        if last is not None and same_run and digest.sequence <= last.sequence:
            return False
        self._heard[source] = _Heard(digest.incarnation, digest.sequence, now)
        return True

    def _take_totals(self, peer: str, totals: UsageTotals, now: float) -> None:
        if totals.incarnation != self._incarnation or totals.sequence != self._sequence:
            return
        self._added_usage[peer] = Reported(totals.added_usage, 0.0, now)
        for record in unpack_rates(self._asked.get(peer, ()), totals.records):
            name = self._names.get(record.tenant_id, "")
            tenant = self._tenants.get(name)
            if tenant is None:
                continue
            self._unanswered.discard(name)
            usage = record.usage - tenant.reported.usage
            demand = max(0.0, record.demand - tenant.reported.demand)
            tenant.elsewhere = Reported(usage, demand, now)

    def _adder(self, zone: str, identity: int) -> str:
        """Return the address of the node that adds up a tenant in a zone."""
        shard = shard_of(identity)
        found = self._adders.get((zone, shard))
        if found is None:
            addresses = [member.address for member in self._live if member.zone == zone]
            ranking = ranked(f"usage shard {shard}".encode(), addresses)
            found = ranking[0] if ranking else self._members.own.address
            self._adders[(zone, shard)] = found
        return found

    def _forget_stale(self, now: float) -> None:
        self._aggregator.forget_stale(now)
        for name, tenant in list(self._tenants.items()):
            is_idle = max(abs(tenant.here.usage), tenant.here.demand) < RATE_FLOOR
            is_idle = is_idle and now - tenant.watched_at > HOLD_S
            if is_idle and now - tenant.reported.at > HOLD_S:
                del self._tenants[name]
                self._unanswered.discard(name)
                self._names.pop(tenant_id(name), None)
            elif now - tenant.elsewhere.at > HOLD_S:
                tenant.elsewhere = Reported()
        self._heard = {
            source: heard for source, heard in self._heard.items() if now - heard.heard_at < HOLD_S
        }
        self._added_usage = {
            peer: added for peer, added in self._added_usage.items() if now - added.at < HOLD_S
        }

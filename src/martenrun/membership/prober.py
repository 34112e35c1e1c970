"""Failure detection: probing one member after another, directly and through others."""

import collections
import random
from dataclasses import dataclass

from martenrun.membership.record import MemberRecord, MemberStatus
from martenrun.membership.table import MemberTable
from martenrun.settings.model import MembershipSettings
from martenrun.wire.messages import MemberClaim

RELAY_MEMORY_S = 5.0
"""How long a node remembers for whom it probes, in seconds."""

SUSPECTED_IN_ZONE = 3
"""Suspected members of one zone from which on the others of that zone are probed sooner."""

ZONE_PROBE_SHARE = 0.5
"""Share of probes that go to such a zone; the others go on with the round."""


@dataclass(slots=True)
class OpenProbe:
    """A probe whose answer is awaited.

    Attributes:
        is_corroborated: another node claims the death already, so none is asked to probe.
    """

    target: str
    incarnation: int
    indirect_at: float
    asked_others: bool = False
    is_corroborated: bool = False


@dataclass(slots=True)
class Relay:
    """A probe made for another node."""

    asked_by: str
    sequence: int
    until: float


class Prober:
    """Chooses targets and relays and keeps the open probes of one node.

    Every member is probed once in each round over a shuffled list, so that a dead one is
    found within a round by each and within about one interval by somebody.  A member that
    comes during a round gets a random place in what is left of it; else no node would probe
    the members that came after all had drawn up their rounds.  When several members of a zone
    are suspected, half of the probes go to the others of that zone.
    """

    def __init__(
        self, table: MemberTable, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self.open: dict[int, OpenProbe] = {}
        self.relays: dict[int, Relay] = {}
        self._table = table
        self._settings = settings
        self._rng = rng
        self._round: list[str] = []
        self._in_round: set[str] = set()
        self._seen_version = -1
        self._sequence = rng.randrange(1 << 30)
        self._order = random.Random(self._sequence)

    def next_sequence(self) -> int:
        """Return a number that no open probe of this node has."""
        self._sequence = (self._sequence + 1) % (1 << 31)
        return self._sequence

    def next_target(self) -> MemberRecord | None:
        """Return the member to probe now: of a zone in doubt, or the next of the round."""
        doubtful = self._of_doubtful_zones()
        if doubtful and self._order.random() < ZONE_PROBE_SHARE:
            return self._order.choice(doubtful)
        self._add_newcomers()
        for _ in range(2):
            while self._round:
                address = self._round.pop()
                record = self._table.records.get(address)
                if record is not None and record.status is not MemberStatus.DEAD:
                    return record
                self._in_round.discard(address)
            self._round = self._others()
            self._rng.shuffle(self._round)
            self._in_round = set(self._round)
        return None

    def _add_newcomers(self) -> None:
        """Give members that this round does not know a random place in it."""
        if self._seen_version == self._table.version:
            return
        self._seen_version = self._table.version
        for address in self._others():
            if address not in self._in_round:
                self._in_round.add(address)
                self._round.insert(self._order.randint(0, len(self._round)), address)

    def _of_doubtful_zones(self) -> list[MemberRecord]:
        """Return the members, not suspected themselves, of zones with several suspected ones."""
        others = [r for r in self._table.records.values() if r is not self._table.own]
        suspected = [r.zone for r in others if r.status is MemberStatus.SUSPECTED]
        if len(suspected) < SUSPECTED_IN_ZONE:
            return []
        counts = collections.Counter(suspected)
        zones = {zone for zone, count in counts.items() if count >= SUSPECTED_IN_ZONE}
        usable = (MemberStatus.LIVE, MemberStatus.LEAVING)
        return [r for r in others if r.zone in zones and r.status in usable]

    def doubted(self, count: int) -> list[tuple[MemberRecord, MemberClaim]]:
        """Take out some members that others claim to be dead, each with that claim.

        Which ones is drawn: after a cut, all nodes hear the same claims in the same order, and
        would probe the same members at once.
        """
        taken: list[tuple[MemberRecord, MemberClaim]] = []
        waiting = list(self._table.unverified)
        for address in self._rng.sample(waiting, min(count, len(waiting))):
            claim = self._table.unverified.pop(address)
            record = self._table.records.get(address)
            if record is not None and not self.is_probed(address):
                taken.append((record, claim))
        return taken

    def relays_for(self, target: MemberRecord) -> list[str]:
        """Return the members to ask for an indirect probe, other zones first."""
        records = self._table.records
        candidates = [address for address in self._others() if address != target.address]
        count = min(self._settings.indirect_probes, len(candidates))
        sample = self._rng.sample(candidates, min(4 * count, len(candidates)))
        near = {self._table.own.zone, target.zone}
        sample.sort(key=lambda address: records[address].zone in near)
        return sample[:count]

    def random_members(self, count: int) -> list[str]:
        """Return members to tell news to."""
        others = self._others()
        return self._rng.sample(others, min(count, len(others)))

    def random_dead(self) -> MemberRecord | None:
        """Return a dead member that may have come back."""
        dead = [r for r in self._table.records.values() if r.status is MemberStatus.DEAD]
        return self._rng.choice(dead) if dead else None

    def drop_old_relays(self, now: float) -> None:
        """Forget relays whose answer would come too late."""
        for sequence in [key for key, relay in self.relays.items() if now >= relay.until]:
            del self.relays[sequence]

    def _others(self) -> list[str]:
        own = self._table.own
        return [
            record.address
            for record in self._table.records.values()
            if record.status is not MemberStatus.DEAD and record is not own
        ]

    def is_probed(self, address: str) -> bool:
        """Return whether an answer of a member is awaited."""
        return any(probe.target == address for probe in self.open.values())

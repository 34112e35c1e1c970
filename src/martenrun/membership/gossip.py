"""Membership of a node by probes and gossip, after the SWIM protocol.

Cost does not grow with the number of nodes: a node probes one member in each interval and
tells each piece of news a few times.  A node that joins asks for a full list.  After a cut, and
when two nodes' digests stay different, they exchange what differs.

See also: docs/design/membership.md, :mod:`martenrun.membership.table`.
"""

import random
from collections.abc import Sequence

from martenrun.events import (
    Event,
    Instruction,
    LeaveRequested,
    MachinesListed,
    MembersChanged,
    PeerDisconnected,
    PeerMessage,
    Send,
    SendDatagram,
    Tell,
    Tick,
)
from martenrun.membership.exchange import JITTER, DifferenceExchange
from martenrun.membership.joining import Joining
from martenrun.membership.listed import ListedNodes
from martenrun.membership.news import NewsBudget
from martenrun.membership.prober import RELAY_MEMORY_S, OpenProbe, Prober, Relay
from martenrun.membership.record import MemberRecord, MemberStatus
from martenrun.membership.table import MemberTable
from martenrun.membership.view import Member
from martenrun.settings.model import MembershipSettings
from martenrun.wire.messages import (
    MemberClaim,
    MemberDigests,
    MemberGossip,
    MemberList,
    MemberStates,
    MemberUpdate,
    Probe,
    ProbeAnswer,
    ProbeRequest,
)

STALL_S = 1.0
"""A pause between two events after which a node distrusts its own timers, in seconds."""

SEEDS_ASKED = 3
"""Seed nodes asked at a time when joining."""

VERIFIED_AT_ONCE = 5
"""Members claimed dead that are probed in one round of news."""

DOUBT_INTERVAL_S = 0.2
"""Shortest time between two probes because a connection has ended, in seconds."""

BULK_FANOUT = 1
"""Nodes told in one round of news while there are so many changes."""


class GossipMembership:
    """A :class:`martenrun.membership.view.MemberView` kept current by gossip.

    Args:
        own: this node.
        seeds: addresses of nodes to join through; this node's own is skipped.
        rng: source of all random choices.
    """

    handles = frozenset(
        {
            Tick,
            MachinesListed,
            LeaveRequested,
            PeerDisconnected,
            Probe,
            ProbeAnswer,
            ProbeRequest,
            MemberGossip,
            MemberList,
            MemberDigests,
            MemberStates,
            MemberUpdate,
        }
    )

    def __init__(
        self, own: Member, seeds: Sequence[str], settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._table = MemberTable(own, settings)
        self._prober = Prober(self._table, settings, rng)
        self._listed = ListedNodes(own.address)
        self._news_budget = NewsBudget()
        self._joining = Joining(bool(self._seeds))
        self._knows_members = self._joining.has_joined
        self._live: tuple[Member, ...] = (own,)
        self._told_version = (0, 0)
        self._last_event_at: float | None = None
        self._exchange = DifferenceExchange(self._table, settings, rng)
        self._due = {"probe": 0.0, "gossip": 0.0, "dead": 0.0, "join": 0.0, "doubt": 0.0}

    @property
    def own(self) -> Member:
        """This node."""
        return self._table.own_member

    @property
    def leave_is_spread(self) -> bool:
        """Whether this node is leaving and has told so often enough that others know."""
        own = self._table.own
        if own.status is not MemberStatus.LEAVING:
            return False
        return own.address not in self._table.news or self.is_alone

    @property
    def is_alone(self) -> bool:
        """Whether no other node is live and staying; may be read from any thread.

        Nor is a node that has asked its seeds and waits for their answers: they know of it.
        """
        return self._knows_members and all(
            member.address == self._table.own.address for member in self._live
        )

    @property
    def is_settled(self) -> bool:
        """Whether enough members are known to own anything."""
        return self._joining.is_settled

    def live(self) -> Sequence[Member]:
        """Return members believed alive, this node included, leaving ones excluded."""
        return self._live

    def suspected(self) -> frozenset[str]:
        """Return the addresses of members that may be dead and have not refuted it yet."""
        return self._table.suspected

    def statuses(self) -> dict[str, MemberStatus]:
        """Return what is believed of every known member, by address."""
        return {record.address: record.status for record in self._table.records.values()}

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        self._notice_stall(now)
        instructions = self._handled(event, now)
        if isinstance(event, Tick):
            # Once a tick: a list that brings many changes is one change for the others.
            instructions += self._told_changes()
            self._knows_members = self._joining.has_joined
        return instructions

    def _handled(self, event: Event, now: float) -> list[Instruction]:
        match event:
            case Tick():
                return self._tick(now)
            case PeerMessage(peer, message):
                return self._message(peer, message, now)
            case PeerDisconnected(peer):
                return self._doubt(peer, now)
            case MachinesListed(machines):
                if self._listed.update(machines):
                    self._table.leave(now)
            case LeaveRequested():
                self._table.leave(now)
        return []

    def _message(self, peer: str, message: object, now: float) -> list[Instruction]:
        match message:
            case Probe(sequence, _, claims):
                self._take_in(claims, now)
                own = self._table.own.claim() if self._is_stranger(peer) else None
                answer = ProbeAnswer(sequence, self._table.digest, self._claims_for(peer, own))
                return [SendDatagram(peer, answer), *self._greet(peer, now)]
            case ProbeAnswer():
                self._take_in(message.claims, now)
                return self._answered(peer, message, now)
            case ProbeRequest(sequence, target, claims):
                self._take_in(claims, now)
                return self._relay(peer, sequence, target, now)
            case MemberGossip(claims):
                self._take_in(claims, now)
                return self._greet(peer, now)
            case MemberList(wants_answer, members):
                return self._list_received(peer, wants_answer, members, now)
            case MemberDigests() | MemberStates() | MemberUpdate():
                return self._exchange.handle(peer, message, now)
        return []

    def _tick(self, now: float) -> list[Instruction]:
        settings = self._settings
        self._table.expire(now)
        self._joining.update(self._table.changed_at, now)
        instructions = self._check_probes(now)
        if self._is_due("join", settings.join_interval_s, now):
            instructions += self._join(now)
        if self._is_due("probe", settings.probe_interval_s, now):
            instructions += self._probe(now)
        if self._is_due("gossip", settings.gossip_interval_s, now):
            instructions += self._gossip(now) + self._verify(now)
        if self._is_due("dead", settings.dead_probe_interval_s, now):
            instructions += self._probe_dead()
        return instructions

    def _is_due(self, name: str, interval_s: float, now: float) -> bool:
        if now < self._due[name]:
            return False
        self._due[name] = now + interval_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
        return True

    # Probing

    def _probe(self, now: float) -> list[Instruction]:
        self._prober.drop_old_relays(now)
        target = self._prober.next_target()
        return [] if target is None else [self._open_probe(target, None, now)]

    def _verify(self, now: float) -> list[Instruction]:
        """Probe members that others claim to be dead; those that live refute it."""
        doubted = self._prober.doubted(VERIFIED_AT_ONCE)
        return [self._open_probe(record, claim, now) for record, claim in doubted]

    def _open_probe(
        self, target: MemberRecord, claim: MemberClaim | None, now: float
    ) -> Instruction:
        sequence = self._prober.next_sequence()
        indirect_at = now + self._settings.probe_timeout_s
        probe = OpenProbe(target.address, target.incarnation, indirect_at)
        probe.is_corroborated = claim is not None
        self._prober.open[sequence] = probe
        # Many claimed deaths may be verified at once; their probes carry no other news.
        claims = self._claims_for(target.address) if claim is None else [claim]
        return SendDatagram(target.address, Probe(sequence, "", claims))

    def _probe_message(self, sequence: int, target: str, relay_for: str = "") -> Probe:
        return Probe(sequence, relay_for, self._claims_for(target))

    def _check_probes(self, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for sequence, probe in list(self._prober.open.items()):
            if now < probe.indirect_at:
                continue
            record = self._table.records.get(probe.target)
            if probe.asked_others or record is None:
                del self._prober.open[sequence]
                self._fail(record, probe, now)
                continue
            probe.asked_others = True
            probe.indirect_at = now + 2 * self._settings.probe_timeout_s
            claims = [] if probe.is_corroborated else self._claims_for(probe.target)
            instructions.append(SendDatagram(probe.target, Probe(sequence, "", claims)))
            if not probe.is_corroborated:
                instructions += self._ask_others(sequence, record)
        return instructions

    def _ask_others(self, sequence: int, target: MemberRecord) -> list[Instruction]:
        return [
            SendDatagram(relay, ProbeRequest(sequence, target.address, self._claims_for(relay)))
            for relay in self._prober.relays_for(target)
        ]

    def _doubt(self, peer: str, now: float) -> list[Instruction]:
        """Probe a member whose connection has ended, directly and through others at once."""
        record = self._table.records.get(peer)
        if record is None or record.status is not MemberStatus.LIVE:
            return []
        if self._prober.is_probed(peer) or not self._is_due("doubt", DOUBT_INTERVAL_S, now):
            return []
        sequence = self._prober.next_sequence()
        until = now + self._settings.probe_timeout_s
        probe = OpenProbe(peer, record.incarnation, until, asked_others=True)
        self._prober.open[sequence] = probe
        direct = SendDatagram(peer, self._probe_message(sequence, peer))
        return [direct, *self._ask_others(sequence, record)]

    def _fail(self, record: MemberRecord | None, probe: OpenProbe, now: float) -> None:
        if record is None or record.incarnation != probe.incarnation:
            return
        if record.address in self._listed.removed:
            self._table.removal_confirmed(record, now)
        else:
            self._table.probe_failed(record, now)

    def _relay(self, peer: str, sequence: int, target: str, now: float) -> list[Instruction]:
        if target not in self._table.records:
            return []
        own_sequence = self._prober.next_sequence()
        self._prober.relays[own_sequence] = Relay(peer, sequence, now + RELAY_MEMORY_S)
        return [SendDatagram(target, self._probe_message(own_sequence, target, relay_for=peer))]

    def _answered(self, peer: str, answer: ProbeAnswer, now: float) -> list[Instruction]:
        relay = self._prober.relays.pop(answer.sequence, None)
        if relay is not None:
            passed_on = ProbeAnswer(relay.sequence, self._table.digest, answer.claims)
            return [SendDatagram(relay.asked_by, passed_on)]
        self._prober.open.pop(answer.sequence, None)
        if self._exchange.compare(answer.digest, now) and self._exchange.is_due(now):
            return self._exchange.begin(peer, now)
        return self._greet(peer, now)

    def _probe_dead(self) -> list[Instruction]:
        """Look whether a dead member is back, as after a cut."""
        record = self._prober.random_dead()
        if record is None:
            return []
        sequence = self._prober.next_sequence()
        return [SendDatagram(record.address, self._probe_message(sequence, record.address))]

    # News

    def _take_in(self, claims: list[MemberClaim], now: float) -> None:
        for claim in claims:
            self._table.take_in(claim, now)

    def _claims_for(self, peer: str, extra: MemberClaim | None = None) -> list[MemberClaim]:
        """Return news for a peer; what is held against it goes first so that it can refute."""
        record = self._table.records.get(peer)
        if record is not None and record.status in (MemberStatus.SUSPECTED, MemberStatus.DEAD):
            extra = record.claim()
        room_bytes = self._news_budget.left(self._last_event_at or 0.0)
        claims = self._table.news.take(len(self._table.records), extra, room_bytes)
        self._news_budget.spend(claims)
        return claims

    def _gossip(self, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        if len(self._table.news) > 0:
            fanout = BULK_FANOUT if self._exchange.is_bulk(now) else self._settings.gossip_fanout
            for peer in self._prober.random_members(fanout):
                claims = self._claims_for(peer)
                if claims:
                    instructions.append(SendDatagram(peer, MemberGossip(claims)))
        return instructions

    # Lists and differences

    def _join(self, now: float) -> list[Instruction]:
        known = self._table.records
        if self._joining.has_joined:
            unknown = [seed for seed in self._seeds if seed not in known]
            is_turn = self._rng.random() < self._settings.join_interval_s / (
                self._settings.dead_probe_interval_s
            )
            asked = self._rng.sample(unknown, 1) if unknown and is_turn else []
        else:
            asked = self._rng.sample(self._seeds, min(SEEDS_ASKED, len(self._seeds)))
        question = MemberList(True, [self._table.own.claim()])
        return [Send(seed, question) for seed in asked]

    def _list_received(
        self, peer: str, wants_answer: bool, members: list[MemberClaim], now: float
    ) -> list[Instruction]:
        self._exchange.take_in(members, now)
        if wants_answer:
            return [Send(peer, MemberList(False, self._table.claims()))]
        self._joining.answered(self._table.own.incarnation > 0, now)
        return []

    def _is_stranger(self, peer: str) -> bool:
        record = self._table.records.get(peer)
        return record is None or record.status is MemberStatus.DEAD

    def _greet(self, peer: str, now: float) -> list[Instruction]:
        """Exchange differences with a node that was unknown or believed dead."""
        return self._exchange.begin(peer, now) if self._is_stranger(peer) else []

    # This node itself

    def _notice_stall(self, now: float) -> None:
        """After a pause of this process, silence of others proves nothing."""
        if self._last_event_at is not None and now - self._last_event_at > STALL_S:
            self._prober.open.clear()
            self._table.postpone(now - self._last_event_at)
        self._last_event_at = now

    def _told_changes(self) -> list[Instruction]:
        version = (self._table.version, self._listed.version)
        if version == self._told_version:
            return []
        self._told_version = version
        live = self._computed_live()
        if live == self._live:
            return []
        self._live = live
        return [Tell(MembersChanged(live))]

    def _computed_live(self) -> tuple[Member, ...]:
        excluded = (MemberStatus.LEAVING, MemberStatus.DEAD)
        members = [
            record.member()
            for record in self._table.records.values()
            if record.status not in excluded and record.address not in self._listed.leaving
        ]
        members.sort(key=lambda member: member.address)
        return tuple(members)

"""When a node exchanges differences with another, and what it does with them.

See also: :mod:`martenrun.membership.differences`, :mod:`martenrun.membership.gossip`.
"""

import math
import random

from martenrun.events import Instruction, Send
from martenrun.membership.differences import (
    claims_in,
    claims_wanted,
    digests_of,
    states_that_differ,
    update_for,
)
from martenrun.membership.news import claim_bytes
from martenrun.membership.table import MemberTable
from martenrun.settings.model import MembershipSettings
from martenrun.wire.messages import MemberClaim, MemberDigests, MemberStates, MemberUpdate

BULK_CLAIMS = 28
"""Changes at a time, about two datagrams, above which differences are exchanged sooner."""

BULK_REPAIRS = 15
"""Exchanges in one repair interval while there are so many changes."""

ANSWER_INTERVAL_S = 0.5
"""Shortest time between two answers that hold states, in seconds: bounds what many askers cost."""

STATES_BYTES_PER_S = 5_000
"""Bytes of states and updates that a node sends per second when there are many changes.

Together with the bytes of news it stays under what a node may send.
"""

EQUAL_ANSWERS = 3
"""Answers in a row with this node's own digest after which news of live members are dropped."""

JITTER = 0.2
"""Largest part by which an interval is lengthened or shortened."""


class DifferenceExchange:
    """Exchanges of one node, each begun with a node whose digest differs."""

    def __init__(
        self, table: MemberTable, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._table = table
        self._repair_interval_s = settings.repair_interval_s
        self._rng = rng
        self._begun_at = -math.inf
        self._jitter = 1.0
        self._is_awaiting = False
        self._next_answer = 0.0
        self._paid_at = 0.0
        self._bulk_until = 0.0
        self._equal_answers = 0

    def compare(self, digest: int, now: float) -> bool:
        """Take in the digest of a node that answered a probe; returns whether it differs.

        After many changes, most nodes soon know by exchanges what is still queued as news.
        """
        if digest != self._table.digest:
            self._equal_answers = 0
            return True
        self._equal_answers += 1
        if self._equal_answers >= EQUAL_ANSWERS and self.is_bulk(now):
            self._table.news.drop_live()
        return False

    def is_bulk(self, now: float) -> bool:
        """Return whether many changes are under way."""
        return now < self._bulk_until or len(self._table.news) > BULK_CLAIMS

    def is_due(self, now: float) -> bool:
        """Return whether a difference will not settle by news alone, or not soon enough."""
        is_quiet = now >= self._table.changed_at + self._repair_interval_s / 2
        return is_quiet or self.is_bulk(now)

    def begin(self, peer: str, now: float) -> list[Instruction]:
        """Begin an exchange with a peer, unless the last one was too short a time ago.

        After one that nobody answered the time is short: a restarted node may know nothing yet.
        """
        interval_s = self._repair_interval_s
        if self._is_awaiting or self.is_bulk(now):
            interval_s /= BULK_REPAIRS
        if now < self._begun_at + interval_s * self._jitter or now < self._paid_at:
            return []
        self._begun_at = now
        self._jitter = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._is_awaiting = True
        return [Send(peer, digests_of(self._table))]

    def handle(
        self, peer: str, message: MemberDigests | MemberStates | MemberUpdate, now: float
    ) -> list[Instruction]:
        """Take in one step of an exchange and return the next."""
        match message:
            case MemberDigests():
                return self._answer(peer, message, now)
            case MemberStates():
                self._is_awaiting = False
                self.take_in(claims_in(self._table, message.states), now)
                update = update_for(self._table, message)
                return [] if update is None else [self._sent(peer, update, now)]
            case MemberUpdate(states, members, wanted):
                self.take_in(claims_in(self._table, states) + members, now)
                claims = claims_wanted(self._table, wanted)
                return [self._sent(peer, MemberUpdate(b"", claims), now)] if claims else []

    def take_in(self, claims: list[MemberClaim], now: float) -> None:
        """Take in the claims of a list or an exchange; few of them are told on as news."""
        is_bulk = self._table.count_news(claims) > BULK_CLAIMS
        if is_bulk:
            # So many changes travel faster by exchanges than as news.
            self._bulk_until = now + self._repair_interval_s
        for claim in claims:
            self._table.take_in(claim, now, spread=not is_bulk)

    def _answer(self, peer: str, digests: MemberDigests, now: float) -> list[Instruction]:
        if now < max(self._next_answer, self._paid_at):
            # Whoever asked asks another node at its next turn.
            return []
        states = states_that_differ(self._table, digests, self._rng)
        if states is None:
            return []
        self._next_answer = now + ANSWER_INTERVAL_S
        return [self._sent(peer, states, now)]

    def _sent(self, peer: str, message: MemberStates | MemberUpdate, now: float) -> Instruction:
        """Return the message to send, and put off the next exchange for as long as it costs."""
        size_bytes = len(message.states)
        if isinstance(message, MemberUpdate):
            size_bytes += len(message.wanted) + sum(map(claim_bytes, message.members))
        self._paid_at = max(now, self._paid_at) + size_bytes / STATES_BYTES_PER_S
        return Send(peer, message)

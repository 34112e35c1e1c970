"""Claims that still have to be told to others, each a limited number of times."""

import math
from dataclasses import dataclass

from martenrun.constants import MAXIMUM_DATAGRAM_BYTES
from martenrun.membership.record import MemberStatus
from martenrun.wire.messages import MemberClaim

CLAIM_FIXED_BYTES = 20
"""Encoded size of a claim without its three texts, in bytes."""

DATAGRAM_FIXED_BYTES = 150
"""Room kept for tag, names and the other fields of a datagram, in bytes."""

CLAIMS_BYTES = MAXIMUM_DATAGRAM_BYTES - DATAGRAM_FIXED_BYTES
"""Room for claims in one datagram, in bytes."""

REPEATS_PER_DECADE = 4
"""How often a claim is told for each factor of ten in the number of members."""


NEWS_BYTES_PER_S = 6_000
"""Bytes of news that a node sends per second when there are many changes."""

NEWS_BURST_BYTES = 4_000
"""Bytes of news that a node may send at once after a quiet time."""


class NewsBudget:
    """Bounds the bytes of news, so that a cut or a lost zone does not flood the network."""

    def __init__(self) -> None:
        self._left = float(NEWS_BURST_BYTES)
        self._at = 0.0

    def left(self, now: float) -> int:
        """Return the bytes that may be sent now."""
        earned = max(0.0, now - self._at) * NEWS_BYTES_PER_S
        self._left = min(float(NEWS_BURST_BYTES), self._left + earned)
        self._at = now
        return int(self._left)

    def spend(self, claims: list[MemberClaim]) -> None:
        """Take the bytes of claims that are sent."""
        self._left -= sum(claim_bytes(claim) for claim in claims)


@dataclass(slots=True)
class News:
    """A claim and how often it has been told."""

    claim: MemberClaim
    told: int = 0


class NewsQueue:
    """The newest claim of each member that others may not know yet."""

    def __init__(self) -> None:
        self._news: dict[str, News] = {}

    def __len__(self) -> int:
        return len(self._news)

    def __contains__(self, address: str) -> bool:
        return address in self._news

    def add(self, claim: MemberClaim) -> None:
        """Queue a claim; it replaces an older one of the same member."""
        self._news[claim.address] = News(claim)

    def drop_live(self) -> None:
        """Forget the claims of live members; those that take members out of use stay."""
        live = int(MemberStatus.LIVE)
        self._news = {
            address: news for address, news in self._news.items() if news.claim.status != live
        }

    def take(
        self, members: int, first: MemberClaim | None = None, room_bytes: int = CLAIMS_BYTES
    ) -> list[MemberClaim]:
        """Return claims for one datagram, those told least often first.

        Args:
            members: number of members, which sets how often a claim is told.
            first: a claim that must go with this datagram in any case.
            room_bytes: room for claims, if that is less than a datagram's.
        """
        limit = REPEATS_PER_DECADE * math.ceil(math.log10(members + 1))
        taken = [] if first is None else [first]
        room = min(CLAIMS_BYTES, room_bytes) - sum(claim_bytes(claim) for claim in taken)
        if not self._news:
            return taken
        for news in sorted(self._news.values(), key=lambda entry: entry.told):
            room -= claim_bytes(news.claim)
            if room < 0:
                break
            taken.append(news.claim)
            news.told += 1
            if news.told >= limit:
                del self._news[news.claim.address]
        return taken


def claim_bytes(claim: MemberClaim) -> int:
    """Return the encoded size of a claim, in bytes."""
    return CLAIM_FIXED_BYTES + len(claim.address) + len(claim.zone) + len(claim.region)

"""The members a node knows, each an instance of the ``member`` state chart.

See also: ``statecharts/member.toml``.
"""

from collections.abc import Callable

from martenrun.membership.news import NewsQueue
from martenrun.membership.record import MemberRecord, MemberStatus
from martenrun.membership.view import Member
from martenrun.settings.model import MembershipSettings
from martenrun.statecharts.compiler import load_chart
from martenrun.wire.messages import MemberClaim

_CHART = load_chart("member")
_STATE_OF = {status: status.name.lower() for status in MemberStatus}
_STATUS_OF = {name: status for status, name in _STATE_OF.items()}
_CLAIM_EVENT_OF = {status: f"{name}_claimed" for status, name in _STATE_OF.items()}

BUCKETS = 64
"""Parts that the members are divided into to find what two nodes believe differently."""


def bucket_of(identity: int) -> int:
    """Return the bucket of a member, the same on every node."""
    return identity % BUCKETS


class MemberTable:
    """Records of all members, this node's own included.

    Attributes:
        news: what others have to be told.
        unverified: live members that somebody claims to be dead, with that claim.
        digest: equal on two nodes that believe in the same members.
        bucket_digests: the same for the members of each bucket.
        by_identity: records by the hash of their address.
        changed_at: when the digest changed last.
        version: raised when the digest changes.
        own_member: this node as other decision logic sees it.
        suspected: addresses of the members that are suspected; the digest leaves that out.
    """

    def __init__(self, own: Member, settings: MembershipSettings) -> None:
        self.own = MemberRecord(own.address, own.zone, own.region)
        self.own_member = self.own.member()
        self.records: dict[str, MemberRecord] = {own.address: self.own}
        self.by_identity: dict[int, MemberRecord] = {self.own.identity: self.own}
        self.news = NewsQueue()
        self.unverified: dict[str, MemberClaim] = {}
        self.digest = 0
        self.bucket_digests = [0] * BUCKETS
        self.changed_at = 0.0
        self.version = 0
        self.suspected: frozenset[str] = frozenset()
        self._settings = settings
        self._pending: dict[str, MemberRecord] = {}
        self._actions: dict[str, Callable[[MemberRecord, MemberClaim | None, float], None]] = {
            "adopt": self._adopt,
            "verify": self._verify,
            "spread": self._spread,
            "start_suspicion": self._start_suspicion,
            "start_forgetting": self._start_forgetting,
            "forget": self._forget,
        }
        self._update_digest(self.own, 0.0)
        self.news.add(self.own.claim())

    def count_news(self, claims: list[MemberClaim]) -> int:
        """Return how many claims are newer than what is known."""
        return sum(self._is_news(claim) for claim in claims)

    def take_in(self, claim: MemberClaim, now: float, spread: bool = True) -> None:
        """Take in another node's claim; old ones change nothing.

        Args:
            claim: what the other node believes.
            now: the present time.
            spread: whether to tell it on, if it is news.
        """
        if claim.address == self.own.address:
            self._refute(claim, now)
            return
        record = self.records.get(claim.address)
        if record is None:
            if not self._introduces(claim):
                return
            record = MemberRecord(claim.address, claim.zone, claim.region, incarnation=-1)
            self.records[claim.address] = record
            self.by_identity[record.identity] = record
        if record.is_older_than(claim):
            self._step(record, _CLAIM_EVENT_OF[MemberStatus(claim.status)], claim, now)
            is_adopted = (record.incarnation, record.status) == (claim.incarnation, claim.status)
            if spread and is_adopted:
                self.news.add(record.claim())

    def _is_news(self, claim: MemberClaim) -> bool:
        record = self.records.get(claim.address)
        if record is None:
            return self._introduces(claim)
        return record.is_older_than(claim)

    def _introduces(self, claim: MemberClaim) -> bool:
        """Return whether a claim is enough to take in a member that was unknown."""
        if claim.status == MemberStatus.SUSPECTED:
            return bool(claim.zone)
        return claim.status != MemberStatus.DEAD

    def probe_failed(self, record: MemberRecord, now: float) -> None:
        """Take in that neither this node nor others could reach a member."""
        self._step(record, "probe_failed", None, now)

    def removal_confirmed(self, record: MemberRecord, now: float) -> None:
        """Take in that a member is off the machine list and does not answer either."""
        self._step(record, "removal_confirmed", None, now)

    def expire(self, now: float) -> None:
        """End the suspicions and memories whose time is over."""
        for record in [entry for entry in self._pending.values() if now >= entry.due]:
            del self._pending[record.address]
            self._step(record, "time_over", None, now)

    def postpone(self, seconds: float) -> None:
        """Add time to every suspicion, because this node itself has stood still."""
        for record in self._pending.values():
            record.due += seconds

    def leave(self, now: float) -> None:
        """Make this node a leaving one."""
        if self.own.status is not MemberStatus.LEAVING:
            self.own.status = MemberStatus.LEAVING
            self.own_member = self.own.member()
            self._raise_incarnation(self.own.incarnation + 1, now)

    def claims(self) -> list[MemberClaim]:
        """Return a claim for every known member."""
        return [record.whole_claim() for record in self.records.values()]

    def _refute(self, claim: MemberClaim, now: float) -> None:
        # Also how a restarted node learns of its earlier incarnation.
        if self.own.is_older_than(claim):
            self._raise_incarnation(claim.incarnation + 1, now)

    def _raise_incarnation(self, incarnation: int, now: float) -> None:
        self.own.incarnation = incarnation
        self.news.add(self.own.claim())
        self._update_digest(self.own, now)

    def _step(
        self, record: MemberRecord, event: str, claim: MemberClaim | None, now: float
    ) -> None:
        transition = _CHART.step(_STATE_OF[record.status], event)
        if transition is None:
            return
        was_suspected = record.status is MemberStatus.SUSPECTED
        status = _STATUS_OF.get(transition.next_state)
        if status is not None:
            record.status = status
        for action in transition.actions:
            self._actions[action](record, claim, now)
        if was_suspected != (record.status is MemberStatus.SUSPECTED):
            self.suspected ^= {record.address}
        self._update_digest(record, now)

    def _update_digest(self, record: MemberRecord, now: float) -> None:
        fingerprint = record.computed_fingerprint()
        if fingerprint != record.fingerprint:
            difference = fingerprint ^ record.fingerprint
            self.digest ^= difference
            self.bucket_digests[bucket_of(record.identity)] ^= difference
            record.fingerprint = fingerprint
            self.changed_at = now
            self.version += 1

    def _adopt(self, record: MemberRecord, claim: MemberClaim | None, now: float) -> None:
        assert claim is not None
        record.incarnation = claim.incarnation
        record.zone = claim.zone or record.zone
        record.region = claim.region or record.region
        self._pending.pop(record.address, None)
        self.unverified.pop(record.address, None)

    def _verify(self, record: MemberRecord, claim: MemberClaim | None, now: float) -> None:
        assert claim is not None
        self.unverified[record.address] = claim

    def _spread(self, record: MemberRecord, claim: MemberClaim | None, now: float) -> None:
        self.news.add(record.claim())

    def _start_suspicion(self, record: MemberRecord, claim: MemberClaim | None, now: float) -> None:
        record.due = now + self._settings.suspicion_timeout_s
        self._pending[record.address] = record

    def _start_forgetting(
        self, record: MemberRecord, claim: MemberClaim | None, now: float
    ) -> None:
        record.due = now + self._settings.forget_dead_after_s
        self._pending[record.address] = record
        self.unverified.pop(record.address, None)

    def _forget(self, record: MemberRecord, claim: MemberClaim | None, now: float) -> None:
        del self.records[record.address]
        del self.by_identity[record.identity]

"""What two nodes believe differently of the members, found without sending whole lists.

Members are divided into buckets by a hash of their address.  One node sends a digest of each
bucket, the other answers with the states of the buckets that differ, 17 bytes a member, and
the first gives back what it knows better.  Addresses and zones travel only for members that
one of the two has never heard of.

See also: :mod:`martenrun.membership.gossip`, docs/design/membership.md.
"""

import random
import struct
from collections.abc import Iterable

from martenrun.membership.record import MemberRecord, MemberStatus
from martenrun.membership.table import BUCKETS, MemberTable, bucket_of
from martenrun.wire.messages import MemberClaim, MemberDigests, MemberStates, MemberUpdate

MAXIMUM_STATES = 150
"""States sent at a time, about: bounds what a node sends at once while two sides merge."""

_DIGESTS = struct.Struct(f"!{BUCKETS}q")
_STATE = struct.Struct("!qqb")
_IDENTITY = struct.Struct("!q")


def digests_of(table: MemberTable) -> MemberDigests:
    """Return the digests of what a node believes."""
    return MemberDigests(_DIGESTS.pack(*table.bucket_digests))


def states_that_differ(
    table: MemberTable, digests: MemberDigests, rng: random.Random
) -> MemberStates | None:
    """Return the states of buckets that differ, None if none does.

    If that were many states, buckets are drawn: other exchanges bring the others.
    """
    if len(digests.buckets) != _DIGESTS.size:
        return None
    theirs = _DIGESTS.unpack(digests.buckets)
    differing = [i for i in range(BUCKETS) if theirs[i] != table.bucket_digests[i]]
    if not differing:
        return None
    most = max(1, MAXIMUM_STATES * BUCKETS // len(table.records))
    drawn = set(rng.sample(differing, min(most, len(differing))))
    return MemberStates(bytes(sorted(drawn)), _packed(_records_in(table, drawn)))


def claims_in(table: MemberTable, states: bytes) -> list[MemberClaim]:
    """Return the claims that packed states make of members known here."""
    claims: list[MemberClaim] = []
    for identity, incarnation, status in _unpacked(states):
        record = table.by_identity.get(identity)
        if record is not None:
            claims.append(
                MemberClaim(record.address, record.zone, record.region, incarnation, status)
            )
    return claims


def update_for(table: MemberTable, theirs: MemberStates) -> MemberUpdate | None:
    """Return what the sender of states knows worse or not at all, and what is unknown here.

    To be called after its claims have been taken in.
    """
    known = {identity: (inc, status) for identity, inc, status in _unpacked(theirs.states)}
    newer: list[MemberRecord] = []
    unknown_there: list[MemberClaim] = []
    for record in _records_in(table, set(theirs.buckets)):
        state = known.get(record.identity)
        if state is not None and state < (record.incarnation, record.status):
            newer.append(record)
        elif state is None and record.status is not MemberStatus.DEAD:
            unknown_there.append(record.whole_claim())
    wanted = [
        _IDENTITY.pack(identity)
        for identity, (_incarnation, status) in known.items()
        if identity not in table.by_identity and status != MemberStatus.DEAD
    ]
    if not newer and not unknown_there and not wanted:
        return None
    return MemberUpdate(_packed(newer), unknown_there, b"".join(wanted))


def claims_wanted(table: MemberTable, wanted: bytes) -> list[MemberClaim]:
    """Return the claims of the members whose identities were asked for."""
    whole = wanted[: len(wanted) // _IDENTITY.size * _IDENTITY.size]
    records = (table.by_identity.get(identity) for (identity,) in _IDENTITY.iter_unpack(whole))
    return [record.whole_claim() for record in records if record is not None]


def _records_in(table: MemberTable, buckets: set[int]) -> list[MemberRecord]:
    return [r for r in table.records.values() if bucket_of(r.identity) in buckets]


def _packed(records: Iterable[MemberRecord]) -> bytes:
    return b"".join(
        _STATE.pack(record.identity, record.incarnation, record.status) for record in records
    )


def _unpacked(states: bytes) -> Iterable[tuple[int, int, int]]:
    whole = states[: len(states) // _STATE.size * _STATE.size]
    return _STATE.iter_unpack(whole)

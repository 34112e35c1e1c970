"""The claim object: who holds an idempotency key, and what became of its request.

See also: :mod:`martenrun.claims.logic`, which writes it by compare-and-swap.
"""

import enum
import hashlib

import msgspec

_NAME_BYTES = 16


class ClaimState(enum.StrEnum):
    """What is known about the request that holds a claim.

    ``HELD``: it may run, be running or have run.  ``DONE``: it ran.  ``RELEASED``: it was
    certainly not run and never will be, so another request may take the claim over.
    """

    HELD = "held"
    DONE = "done"
    RELEASED = "released"


class ClaimRecord(msgspec.Struct, frozen=True):
    """Document of a claim; ``holder`` is the unique id of the request that made it."""

    holder: str
    state: ClaimState


def claim_name(tenant: str, idempotency_key: str) -> str:
    """Return the object name of a tenant's key, 32 hex digits; the key itself is not stored."""
    identity = f"{tenant}\0{idempotency_key}".encode()
    return hashlib.blake2b(identity, digest_size=_NAME_BYTES).hexdigest()


def encode_claim(record: ClaimRecord) -> bytes:
    """Encode a claim as a JSON document."""
    return msgspec.json.encode(record)


def decode_claim(document: bytes) -> ClaimRecord:
    """Decode a claim; one that cannot be read counts as held by a stranger."""
    try:
        return msgspec.json.decode(document, type=ClaimRecord)
    except msgspec.MsgspecError:
        return ClaimRecord("", ClaimState.HELD)

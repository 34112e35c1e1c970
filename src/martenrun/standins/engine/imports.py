"""What a request tells the stand-in engine to import before its prefill."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.standins.engine.refusals import RefusalCode, RefusedError

IMPORT_HEADER = "X-KV-Import"

_OFFER = re.compile(r"blocks=(\d{1,6}), least=(\d{1,6}), wait-ms=(\d{1,6})")


@dataclass(frozen=True, slots=True)
class ImportOffer:
    """What the store keeps of a request's prompt; see docs/PROTOCOL.md."""

    blocks: int
    least_blocks: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class Imported:
    """An import: blocks held before and fetched, -1 if it failed, and its time."""

    held_blocks: int
    blocks: int
    duration_ms: int


BeforePrefill = Callable[[bytes], Imported | None]
"""Imports what a prompt's chain lacks."""


def import_nothing(chain: bytes) -> Imported | None:
    """Import nothing."""
    return None


def parse_offer(header: str) -> ImportOffer | None:
    """Return what a request's header offers, None without one; raises RefusedError."""
    if not header:
        return None
    found = _OFFER.fullmatch(header)
    if found is None:
        raise RefusedError(RefusalCode.INVALID, f"the import header is not valid: {header!r}")
    return ImportOffer(*map(int, found.groups()))

"""Adapter for moving cached blocks between engines and their KV store."""

import enum
from dataclasses import dataclass

import msgspec
from urllib3.exceptions import HTTPError

from martenrun.backends.engine import EngineConnections
from martenrun.constants import BLOCK_HASH_BYTES

_TIMEOUT_S = 30.0


class TransferDirection(enum.StrEnum):
    """Which way blocks move, seen from the engine."""

    EXPORT = "export"
    IMPORT = "import"


class BlockTransfer(msgspec.Struct, frozen=True):
    """Which blocks to move.

    Attributes:
        incarnation: the engine refuses if it has restarted since.
        weights_version: the engine refuses if it serves with other weights.
        chain: hashes of a prompt's leading blocks, 8 bytes each.
    """

    incarnation: str
    weights_version: str
    chain: bytes

    def leading(self, blocks: int) -> bytes:
        """Return the hashes of the first blocks."""
        return self.chain[: blocks * BLOCK_HASH_BYTES]


IMPORT_HEADER = "X-KV-Import"
"""Header by which a request tells its engine what to fetch before the prefill."""


@dataclass(frozen=True, slots=True)
class ImportOffer:
    """What the store keeps of a request's prompt.

    Attributes:
        blocks: leading blocks to fetch, those the engine holds included.
        least_blocks: the engine computes fewer missing blocks than this.
        wait_ms: after this time it computes all.
    """

    blocks: int
    least_blocks: int
    wait_ms: int

    def header(self) -> str:
        """Return the header's value."""
        return f"blocks={self.blocks}, least={self.least_blocks}, wait-ms={self.wait_ms}"


class _Moved(msgspec.Struct):
    blocks: int


class KvTransfers:
    """Orders block transfers; used from driver threads."""

    def __init__(self, engines: EngineConnections) -> None:
        self._engines = engines

    def move(self, address: str, direction: TransferDirection, transfer: BlockTransfer) -> int:
        """Move blocks and return how many leading ones were moved; 0 if refused or failed."""
        body = msgspec.json.encode(transfer)
        path = f"/v1/kv/{direction.value}"
        try:
            response = self._engines.pool(address).request(
                "POST", path, body=body, timeout=_TIMEOUT_S
            )
        except HTTPError:
            return 0
        if response.status != 200:
            return 0
        return msgspec.json.decode(response.data, type=_Moved).blocks

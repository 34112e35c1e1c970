"""Stand-in for a KV store, which keeps blocks that engines exported.

Protocol (also in docs/PROTOCOL.md); block hashes are 8 bytes each, in base64:

* ``POST /v1/blocks/store`` -- keep every block of ``chain``; answers ``blocks``.
* ``POST /v1/blocks/fetch`` -- send the leading blocks of ``chain`` that are kept; answers
  their number in ``blocks``.

* ``GET /v1/blocks`` -- answers in ``blocks`` how many are kept.

The first two take time for each block moved; ones that the store keeps or, by ``held_blocks``, the
engine holds are not moved.  Memory is limited; the least recently used block goes
first.  A hash covers tenant and weights version, so no other tenant's block can match; blocks of
another ``model`` do not match either.
"""

import hashlib
import threading
import time

import msgspec
import numpy
from werkzeug.wrappers import Request, Response

from martenrun.identity.chain import BLOCK_HASH_BYTES, as_array, block_count
from martenrun.standins.engine.cache import PrefixCache


class BlocksQuestion(msgspec.Struct):
    """Body of a store or fetch request; the asker holds ``held_blocks`` leading ones."""

    chain: bytes
    held_blocks: int = 0
    model: str = ""

    @property
    def keys(self) -> bytes:
        """What the blocks of the chain are kept under: eight bytes each, other for each model."""
        seed = hashlib.blake2b(self.model.encode(), digest_size=BLOCK_HASH_BYTES).digest()
        return (as_array(self.chain) ^ numpy.int64(as_array(seed)[0])).tobytes()


class BlocksAnswer(msgspec.Struct):
    """How many leading blocks were moved."""

    blocks: int


class KvStoreApplication:
    """WSGI application of the KV store.

    Args:
        capacity_blocks: blocks kept.
        transfer_s_per_block: time to move one block, in seconds.
    """

    def __init__(self, capacity_blocks: int, transfer_s_per_block: float) -> None:
        self._blocks = PrefixCache(capacity_blocks)
        self._transfer_s_per_block = transfer_s_per_block
        self._lock = threading.Lock()

    def __call__(self, environ: dict[str, object], start_response: object) -> object:
        """Serve one request."""
        return self._serve(Request(environ))(environ, start_response)  # type: ignore[arg-type]

    def _serve(self, request: Request) -> Response:
        if request.path == "/v1/blocks" and request.method == "GET":
            return _json(BlocksAnswer(len(self._blocks)))
        if request.path not in ("/v1/blocks/store", "/v1/blocks/fetch"):
            return _json({"error": "not found"}, 404)
        try:
            question = msgspec.json.decode(request.get_data(), type=BlocksQuestion)
        except msgspec.MsgspecError as error:
            return _json({"error": str(error)}, 400)
        if len(question.chain) % BLOCK_HASH_BYTES:
            return _json({"error": "chain is not a whole number of hashes"}, 400)
        if request.path.endswith("store"):
            return _json(BlocksAnswer(self._store(question.keys)))
        moved = self._fetch(question.keys, question.held_blocks)
        return _json(BlocksAnswer(moved))

    def _store(self, chain: bytes) -> int:
        blocks = block_count(chain)
        with self._lock:
            new_blocks = blocks - self._blocks.match(chain)
        time.sleep(new_blocks * self._transfer_s_per_block)
        with self._lock:
            self._blocks.insert(chain)
            self._blocks.take_events()
        return blocks

    def _fetch(self, chain: bytes, held_blocks: int) -> int:
        with self._lock:
            blocks = self._blocks.match(chain)
        time.sleep(max(0, blocks - held_blocks) * self._transfer_s_per_block)
        return blocks


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, mimetype="application/json")

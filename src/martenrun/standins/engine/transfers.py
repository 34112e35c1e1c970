"""Export and import of the stand-in engine's cached blocks to and from a KV store."""

import time

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.standins.engine.imports import Imported, ImportOffer
from martenrun.standins.engine.incarnation import Incarnation
from martenrun.standins.engine.refusals import RefusalCode, RefusedError
from martenrun.standins.engine.settings import EngineSettings

_TIMEOUT_S = 30.0


class TransferQuestion(msgspec.Struct):
    """Body of ``POST /v1/kv/export`` and ``POST /v1/kv/import``; hashes are 8 bytes each."""

    incarnation: str
    weights_version: str
    chain: bytes


class TransferAnswer(msgspec.Struct):
    """How many leading blocks of the chain were moved."""

    blocks: int


def export_blocks(engine: Incarnation, question: TransferQuestion) -> TransferAnswer:
    """Copy the cached leading blocks of a chain to the KV store; raises RefusedError."""
    _check(engine, question)
    cached = question.chain[: engine.match(question.chain) * BLOCK_HASH_BYTES]
    if not cached:
        return TransferAnswer(0)
    return _ask(engine.settings, "store", cached)


def import_blocks(engine: Incarnation, question: TransferQuestion) -> TransferAnswer:
    """Cache the leading blocks of a chain that the KV store keeps; raises RefusedError.

    Blocks that arrive after a crash or after other weights were ordered are dropped.
    """
    _check(engine, question)
    answer = _ask(engine.settings, "fetch", question.chain)
    _check(engine, question)
    engine.store(question.chain[: answer.blocks * BLOCK_HASH_BYTES])
    return answer


def _check(engine: Incarnation, question: TransferQuestion) -> None:
    if question.incarnation != engine.name or engine.is_dead.is_set():
        raise RefusedError(RefusalCode.ANOTHER_INCARNATION, "the engine has restarted")
    if len(question.chain) % BLOCK_HASH_BYTES:
        raise RefusedError(RefusalCode.INVALID, "chain is not a whole number of hashes")
    refusal = engine.weights.refusal(question.weights_version)
    if refusal is not None:
        raise refusal


def import_offered(engine: Incarnation, chain: bytes, offer: ImportOffer) -> Imported | None:
    """Fetch what a request's prompt lacks; None if it lacks too little.

    A store that fails or is late costs at most the offered time; the blocks are then computed.
    """
    offered = chain[: offer.blocks * BLOCK_HASH_BYTES]
    held = engine.match(offered)
    if len(offered) // BLOCK_HASH_BYTES - held < offer.least_blocks:
        return None
    began = time.monotonic()
    try:
        answer = _ask(engine.settings, "fetch", offered, held, offer.wait_ms / 1000)
        moved = max(0, answer.blocks - held)
        engine.store(offered[: answer.blocks * BLOCK_HASH_BYTES])
    except RefusedError:
        moved = -1
    return Imported(held, moved, max(1, int((time.monotonic() - began) * 1000)))


def _ask(
    settings: EngineSettings,
    action: str,
    chain: bytes,
    held: int = 0,
    timeout_s: float = _TIMEOUT_S,
) -> TransferAnswer:
    # A hash covers the weights version but not the model, and versions of two may share a name.
    body = msgspec.json.encode({"model": settings.model, "chain": chain, "held_blocks": held})
    url = f"http://{settings.kv_store}/v1/blocks/{action}"
    try:
        response = urllib3.request("POST", url, body=body, retries=False, timeout=timeout_s)
        return msgspec.json.decode(response.data, type=TransferAnswer)
    except (HTTPError, msgspec.MsgspecError) as error:
        message = f"the KV store did not answer: {error}"
        raise RefusedError(RefusalCode.STORE_UNAVAILABLE, message) from error

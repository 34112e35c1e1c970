"""Which nodes an edge asks about a request: its home node first, then the next in rank.

See also: :mod:`martenrun.identity.hashing`.
"""

from collections.abc import Callable, Sequence

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.identity.hashing import name_hash, name_hashes, top_columns
from martenrun.wire.messages import DecideRequest

NODES_ASKED = 6
"""Nodes ranked for a request; after the last one has been silent the request is given up."""


SILENT_RETRY_S = 2.0
"""Time between two questions that are risked on a silent node, in seconds."""


class HomeNodes:
    """Ranks live nodes by rendezvous hashing over a request's tenant, model and first block.

    The hashes of the nodes' names are kept until the nodes change, so ranking 370 nodes costs
    one vector operation.

    A node that let a question go unanswered is asked last until it answers again: its death is
    known from the members only seconds later, and each question to it would wait for nothing.
    One question is risked on it now and then.

    Args:
        live_nodes: returns the addresses of the nodes that may be asked.
    """

    def __init__(self, live_nodes: Callable[[], Sequence[str]]) -> None:
        self._live_nodes = live_nodes
        self._nodes: list[str] = []
        self._hashes = name_hashes([])
        self._retry_at: dict[str, float] = {}

    def silent(self, node: str, now: float) -> None:
        """A node has not answered a question in time."""
        self._retry_at[node] = now + SILENT_RETRY_S

    def heard(self, node: str) -> None:
        """A node has answered a question."""
        self._retry_at.pop(node, None)

    def ranked(self, question: DecideRequest, now: float) -> list[str]:
        """Return the nodes to ask, the home node first; empty if none is known."""
        nodes = list(self._live_nodes())
        if nodes != self._nodes:
            self._nodes = nodes
            self._hashes = name_hashes(nodes)
            self._retry_at = {node: at for node, at in self._retry_at.items() if node in nodes}
        first_block = question.chain[:BLOCK_HASH_BYTES]
        key = f"{question.tenant}\0{question.model}\0".encode() + first_block
        top = top_columns(name_hash(key), self._hashes, NODES_ASKED)
        ranking = [nodes[index] for index in top]
        return self._silent_last(ranking, now) if self._retry_at else ranking

    def _silent_last(self, ranking: list[str], now: float) -> list[str]:
        first = ranking[0] if ranking else ""
        if now >= self._retry_at.get(first, now + 1.0):
            self._retry_at[first] = now + SILENT_RETRY_S
            return ranking
        return sorted(ranking, key=self._retry_at.__contains__)

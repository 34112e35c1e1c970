"""Which nodes an edge asks about a request: its home node first, then the next in rank.

See also: :mod:`martenrun.identity.hashing`.
"""

from collections.abc import Callable, Sequence

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.identity.hashing import name_hash, name_hashes, top_columns
from martenrun.wire.messages import DecideRequest

NODES_ASKED = 6
"""Nodes ranked for a request; after the last one has been silent the request is given up."""


class HomeNodes:
    """Ranks live nodes by rendezvous hashing over a request's tenant, model and first block.

    The hashes of the nodes' names are kept until the nodes change, so ranking 370 nodes costs
    one vector operation.

    Args:
        live_nodes: returns the addresses of the nodes that may be asked.
    """

    def __init__(self, live_nodes: Callable[[], Sequence[str]]) -> None:
        self._live_nodes = live_nodes
        self._nodes: list[str] = []
        self._hashes = name_hashes([])

    def ranked(self, question: DecideRequest) -> list[str]:
        """Return the nodes to ask, the home node first; empty if none is known."""
        nodes = list(self._live_nodes())
        if nodes != self._nodes:
            self._nodes = nodes
            self._hashes = name_hashes(nodes)
        first_block = question.chain[:BLOCK_HASH_BYTES]
        key = f"{question.tenant}\0{question.model}\0".encode() + first_block
        return [nodes[index] for index in top_columns(name_hash(key), self._hashes, NODES_ASKED)]

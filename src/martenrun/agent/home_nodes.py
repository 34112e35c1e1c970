"""Which nodes an edge asks about a request: its home node first, then the next in rank.

See also: :mod:`martenrun.identity.hashing`.
"""

from collections.abc import Callable, Sequence

from martenrun.constants import BLOCK_HASH_BYTES, DECISION_TIMEOUT_S
from martenrun.identity.hashing import name_hash, name_hashes, top_columns
from martenrun.wire.messages import DecideRequest

NODES_ASKED = 6
"""Nodes ranked for a request; after the last one has been silent the request is given up."""


SILENT_RETRY_S = 2.0
"""Time between two questions that are risked on a silent node, in seconds."""

RISK_TIMEOUT_S = 0.25
"""How long a question risked on a silent node waits for it, in seconds."""


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

    def patience_s(self, nodes: Sequence[str]) -> float:
        """Return how long to wait for the first of the nodes to ask, in seconds."""
        is_risked = nodes[0] in self._retry_at and not self._retry_at.keys() >= set(nodes)
        return RISK_TIMEOUT_S if is_risked else DECISION_TIMEOUT_S

    def ranked(self, question: DecideRequest, now: float, asked: Sequence[str] = ()) -> list[str]:
        """Return the nodes to ask, the home node first; empty if none is known.

        Args:
            asked: nodes that were asked already; they count among ``NODES_ASKED``.
        """
        nodes = list(self._live_nodes())
        if nodes != self._nodes:
            self._nodes = nodes
            self._hashes = name_hashes(nodes)
            self._retry_at = {node: at for node, at in self._retry_at.items() if node in nodes}
        first_block = question.chain[:BLOCK_HASH_BYTES]
        key = f"{question.tenant}\0{question.model}\0".encode() + first_block
        # With so many more, silent nodes do not keep out others that may answer.
        count = NODES_ASKED + len(self._retry_at)
        top = top_columns(name_hash(key), self._hashes, count)
        ranking = [nodes[index] for index in top if nodes[index] not in asked]
        if self._retry_at:
            ranking = self._silent_last(ranking, now, may_risk=not asked)
        return ranking[: max(0, NODES_ASKED - len(asked))]

    def _silent_last(self, ranking: list[str], now: float, may_risk: bool) -> list[str]:
        first = ranking[0] if ranking else ""
        if may_risk and now >= self._retry_at.get(first, now + 1.0):
            self._retry_at[first] = now + SILENT_RETRY_S
            return ranking
        return sorted(ranking, key=self._retry_at.__contains__)

"""Decision logic that keeps an agent's copy of the configuration current."""

import random

from martenrun.configuration.replica import ConfigurationReplica, nodes_digest
from martenrun.configuration.state import ConfigurationState
from martenrun.events import Event, Instruction, PeerMessage, Send, Tick
from martenrun.wire.messages import ConfigurationQuery, ConfigurationUpdate

QUERY_INTERVAL_S = 2.0
"""Mean time between two questions for newer configuration, in seconds."""
FIRST_QUERY_S = 0.25
"""Time between two rounds of questions while the agent has no configuration, in seconds."""
FIRST_FANOUT = 3
"""Random nodes asked in each of those rounds: some may be dead, cut off or empty themselves."""
OFFER_FANOUT = 3
"""Other nodes to which an agent offers its copy after it has met an empty node."""
OFFER_INTERVAL_S = 0.25
"""Shortest time between two rounds of such offers, in seconds."""


class AgentConfigurationLogic:
    """Asks random nodes for configuration newer than the own copy, and answers nodes.

    The copy outlives the nodes: restarted nodes learn from it.

    Args:
        seed_nodes: nodes named in the settings.
        rng: source of jitter and of random choices.
    """

    def __init__(self, seed_nodes: list[str], rng: random.Random | None = None) -> None:
        self._seed_nodes = list(seed_nodes)
        self._rng = rng or random.Random("/".join(seed_nodes))
        self._replica = ConfigurationReplica(seed_nodes, self._rng)
        self._next_offer = 0.0
        self._silent: set[str] = set()

    @property
    def state(self) -> ConfigurationState:
        """The configuration in force."""
        return self._replica.state

    def live_nodes(self) -> list[str]:
        """Return the nodes to ask for decisions."""
        return self.state.nodes or self._seed_nodes

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(peer, ConfigurationQuery() as query):
                self._silent.clear()
                return self._replica.answer(peer, query) + self._offer(peer, query, now)
            case PeerMessage(peer, ConfigurationUpdate() as update):
                self._silent.clear()
                return self._replica.take_in(peer, update, now)
            case Tick():
                return self._replica.settle(now) + self._query(now)
        return []

    def _offer(self, peer: str, query: ConfigurationQuery, now: float) -> list[Instruction]:
        """Offer the own copy to other nodes: where one is empty, all may have restarted."""
        has_copy = self.state.revision > 0
        if query.known_revision > 0 or not has_copy or now < self._next_offer:
            return []
        self._next_offer = now + OFFER_INTERVAL_S
        others = sorted({*self.live_nodes(), *self._seed_nodes} - {peer})
        chosen = self._rng.sample(others, min(OFFER_FANOUT, len(others)))
        return [Send(node, ConfigurationQuery(self.state.revision)) for node in chosen]

    def _not_asked(self, nodes: set[str]) -> list[str]:
        """Return the nodes that were not asked since the last answer; all, if there is none."""
        left = sorted(nodes - self._silent)
        if not left:
            self._silent.clear()
        return left or sorted(nodes)

    def _query(self, now: float) -> list[Instruction]:
        if not self._replica.is_question_due(now):
            return []
        is_new = self.state.revision == 0
        self._replica.asked(now, FIRST_QUERY_S if is_new else QUERY_INTERVAL_S)
        nodes = self._not_asked({*self.live_nodes(), *self._seed_nodes})
        chosen = self._rng.sample(nodes, min(FIRST_FANOUT if is_new else 1, len(nodes)))
        self._silent.update(chosen)
        digest = nodes_digest(self.state.nodes)
        return [
            Send(node, ConfigurationQuery(self.state.revision, nodes_digest=digest))
            for node in chosen
        ]

"""Decision logic that keeps an agent's copy of the configuration current."""

from martenrun.configuration.state import ConfigurationState
from martenrun.events import Event, Instruction, PeerMessage, Send, Tick
from martenrun.wire.messages import ConfigurationQuery, ConfigurationUpdate

QUERY_INTERVAL_S = 0.5
"""Time between two questions for newer configuration, in seconds."""


class AgentConfigurationLogic:
    """Asks one node after another for configuration newer than the own copy.

    The copy outlives the nodes: it is also what restarted nodes may learn from.
    """

    def __init__(self, seed_nodes: list[str]) -> None:
        self.state = ConfigurationState(nodes=list(seed_nodes))
        self._seed_nodes = list(seed_nodes)
        self._next_query = 0.0
        self._turn = 0

    def live_nodes(self) -> list[str]:
        """Return the nodes to ask for decisions."""
        return self.state.nodes or self._seed_nodes

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(_, ConfigurationUpdate() as update):
                self.state.apply(update)
            case Tick() if now >= self._next_query:
                self._next_query = now + QUERY_INTERVAL_S
                return self._query()
        return []

    def _query(self) -> list[Instruction]:
        nodes = sorted({*self.live_nodes(), *self._seed_nodes})
        self._turn += 1
        if not nodes:
            return []
        return [Send(nodes[self._turn % len(nodes)], ConfigurationQuery(self.state.revision))]

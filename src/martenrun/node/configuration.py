"""Decision logic that keeps a node's configuration current and passes it on."""

from dataclasses import replace

from martenrun.configuration.state import ConfigurationState
from martenrun.events import (
    Event,
    Instruction,
    MembersChanged,
    PeerMessage,
    Send,
    StoreChanges,
)
from martenrun.wire.messages import ConfigurationQuery, ConfigurationUpdate


class NodeConfigurationLogic:
    """Takes in changes from the object API and answers agents' and nodes' queries."""

    def __init__(self, own_address: str, seed_nodes: list[str]) -> None:
        nodes = sorted({own_address, *seed_nodes})
        self.state = ConfigurationState(nodes=nodes)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case StoreChanges(update):
                self.state.apply(update)
            case PeerMessage(_, ConfigurationUpdate() as update):
                # A node takes the live nodes from its own membership.
                self.state.apply(replace(update, nodes=[]))
            case MembersChanged(members):
                self.state.nodes = [member.address for member in members]
            case PeerMessage(peer, ConfigurationQuery(known_revision)):
                return [Send(peer, self.state.update_since(known_revision))]
        return []

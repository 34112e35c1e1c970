"""Decision logic that gathers which configuration is in force on every node and agent.

Nodes are asked only when an operator wants to know, so that the answer is exact and costs
nothing otherwise.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from martenrun.events import (
    Event,
    Instruction,
    PeerMessage,
    Send,
    StatusReady,
    StatusWanted,
    Tick,
)
from martenrun.membership.view import MemberView
from martenrun.node.configuration import NodeConfigurationLogic
from martenrun.wire.messages import AgentRevision, NodeStatus, StatusQuery

STATUS_TIMEOUT_S = 1.0
"""How long nodes may take to answer, in seconds; those that do not are shown as silent."""


@dataclass
class _Gathering:
    """Answers to one operator's question."""

    until: float
    members: list[str]
    nodes: dict[str, NodeStatus] = field(default_factory=dict)

    def is_over(self, now: float) -> bool:
        """Whether all have answered, or their time is over."""
        return now >= self.until or set(self.members) <= self.nodes.keys()


class StatusLogic:
    """Answers other nodes' status queries and gathers answers for operators."""

    handles = frozenset({Tick, StatusWanted, StatusQuery, NodeStatus})

    def __init__(self, configuration: NodeConfigurationLogic, members: MemberView) -> None:
        self._configuration = configuration
        self._members = members
        self._gathering: dict[str, _Gathering] = {}

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case StatusWanted(query_id):
                return self._ask(query_id, now)
            case PeerMessage(peer, StatusQuery(query_id)):
                return [Send(peer, self._own_status(query_id, now))]
            case PeerMessage(peer, NodeStatus() as status):
                if status.query_id in self._gathering:
                    self._gathering[status.query_id].nodes[peer] = status
                return self._finished(now)
            case Tick():
                return self._finished(now)
        return []

    def _ask(self, query_id: str, now: float) -> list[Instruction]:
        own = self._members.own.address
        members = sorted({own, *(member.address for member in self._members.live())})
        nodes = {own: self._own_status(query_id, now)}
        self._gathering[query_id] = _Gathering(now + STATUS_TIMEOUT_S, members, nodes)
        questions: list[Instruction] = [
            Send(member, StatusQuery(query_id)) for member in members if member != own
        ]
        return questions + self._finished(now)

    def _own_status(self, query_id: str, now: float) -> NodeStatus:
        state = self._configuration.state
        watching = self._configuration.watching
        agents = self._configuration.agents(now)
        return NodeStatus(
            query_id,
            state.revision,
            watching.slot if watching.holds_lease else "",
            sorted(state.faults),
            [AgentRevision(name, revision) for name, revision in agents.items()],
        )

    def _finished(self, now: float) -> list[Instruction]:
        over = [key for key, entry in self._gathering.items() if entry.is_over(now)]
        ready: list[Instruction] = []
        for query_id in over:
            entry = self._gathering.pop(query_id)
            own = self._members.own.address
            ready.append(StatusReady(query_id, own, entry.members, entry.nodes))
        return ready


def newest_agent_revisions(nodes: Iterable[NodeStatus]) -> dict[str, int]:
    """Return the highest revision told of each agent; several nodes may have heard it."""
    found: dict[str, int] = {}
    for node in nodes:
        for told in node.agents:
            found[told.agent] = max(told.revision, found.get(told.agent, 0))
    return found

"""Decision logic that keeps a node's configuration current and passes it on.

Changes reach a node from the object API if it holds a watcher's lease, and else from other
nodes: whoever learns a change pushes it to a few random live nodes, and every node compares
revisions with a random other node every few seconds.

See also: docs/design/configuration.md.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from martenrun.configuration.replica import ConfigurationReplica
from martenrun.configuration.state import ConfigurationState
from martenrun.configuration.watching import StoreWatching
from martenrun.events import (
    Event,
    Instruction,
    MembersChanged,
    PeerMessage,
    Send,
    StoreAnswered,
    StoreWatched,
    Tick,
)
from martenrun.membership.view import Member, MemberView, StaticMemberView
from martenrun.wire.messages import (
    AttemptReport,
    ConfigurationQuery,
    ConfigurationUpdate,
    DecideRequest,
)

PUSH_FANOUT = 3
"""Random live nodes to which a node passes a change on."""
MAXIMUM_PUSH_BYTES = 4 * 1024
"""Longer changes are announced and then asked for, in bytes of documents."""
COMPARISON_S = 2.0
"""Mean time between two comparisons of revisions with a random node, in seconds."""
FIRST_QUERY_S = 0.25
"""Time between two rounds of questions while a node has no configuration, in seconds."""
MAXIMUM_AGENTS = 256
"""Agents remembered by a node; the ones not heard of for longest are forgotten."""
AGENT_PREFIX = "agent/"
"""Beginning of the names of agents on the internal network."""

AGENT_MEMORY_S = 10.0
"""How long an agent's revision is told in the status after it was heard, in seconds."""

_QUESTIONS_AND_REPORTS = (DecideRequest, AttemptReport)


@dataclass(frozen=True, slots=True)
class AgentHeard:
    """The revision an agent had in force when it was heard, and when that was."""

    revision: int
    at: float


class NodeConfigurationLogic:
    """Replicates the configuration between the object API, nodes and agents.

    Args:
        own_address: ``IP:port`` of the internal protocol.
        seed_nodes: nodes named in the settings; asked at the start and now and then.
        members: the live nodes; by default the seed nodes.
        rng: source of jitter and of random choices.
    """

    handles = frozenset(
        {
            Tick,
            MembersChanged,
            StoreAnswered,
            StoreWatched,
            ConfigurationQuery,
            ConfigurationUpdate,
            DecideRequest,
            AttemptReport,
        }
    )

    def __init__(
        self,
        own_address: str,
        seed_nodes: Sequence[str],
        members: MemberView | None = None,
        rng: random.Random | None = None,
    ) -> None:
        nodes = sorted({own_address, *seed_nodes})
        own = Member(own_address)
        self._members = members or StaticMemberView(own, [Member(node) for node in nodes])
        self._own_address = own_address
        self._seed_nodes = [node for node in seed_nodes if node != own_address]
        self._rng = rng or random.Random(own_address)
        self._replica = ConfigurationReplica(nodes, self._rng)
        self._agents: dict[str, AgentHeard] = {}
        self._asked_early: set[str] = set()
        self._pushed = 0
        self.watching = StoreWatching(self.state, self._members, self._rng, seed_nodes)

    @property
    def state(self) -> ConfigurationState:
        """The configuration in force."""
        return self._replica.state

    def agents(self, now: float) -> dict[str, int]:
        """Return agents that have asked this node lately, and the revision each had in force."""
        return {
            name: heard.revision
            for name, heard in self._agents.items()
            if now - heard.at <= AGENT_MEMORY_S
        }

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        sender = ""
        if isinstance(event, PeerMessage):
            sender = event.peer
            if isinstance(event.message, _QUESTIONS_AND_REPORTS):
                return self._ask_early(sender)
        instructions = self._handle(event, now)
        instructions += self.watching.handle(event, now)
        return instructions + self._push(sender)

    def _handle(self, event: Event, now: float) -> list[Instruction]:
        match event:
            case Tick():
                return self._tick(now)
            case PeerMessage(peer, ConfigurationQuery() as query):
                return self._answer(peer, query, now)
            case PeerMessage(peer, ConfigurationUpdate() as update):
                update.nodes = []
                return self._replica.take_in(peer, update, now)
            case MembersChanged(members):
                self.state.nodes = [member.address for member in members]
        return []

    def _ask_early(self, peer: str) -> list[Instruction]:
        """Ask an agent at once that has sent anything to this node, if the node is empty."""
        if not self._may_have_copy(peer):
            return []
        self._asked_early.add(peer)
        return [Send(peer, ConfigurationQuery(self.state.revision))]

    def _may_have_copy(self, peer: str) -> bool:
        """Whether to ask an agent at once that has sent anything to this empty node."""
        is_new = self.state.revision == 0 and peer.startswith(AGENT_PREFIX)
        return is_new and peer not in self._asked_early and len(self._asked_early) < PUSH_FANOUT

    def _tick(self, now: float) -> list[Instruction]:
        instructions = self._replica.settle(now)
        if not self._replica.is_question_due(now):
            return instructions
        is_new = self.state.revision == 0
        self._replica.asked(now, FIRST_QUERY_S if is_new else COMPARISON_S)
        self._asked_early.clear()
        self.state.nodes = sorted(member.address for member in self._members.live())
        peers = self._first_peers() if is_new else self._random_nodes(1, "")
        query = ConfigurationQuery(self.state.revision)
        return instructions + [Send(peer, query) for peer in peers]

    def _answer(self, peer: str, query: ConfigurationQuery, now: float) -> list[Instruction]:
        if peer.startswith(AGENT_PREFIX):
            self._agents.pop(peer, None)
            self._agents[peer] = AgentHeard(query.known_revision, now)
            if len(self._agents) > MAXIMUM_AGENTS:
                del self._agents[next(iter(self._agents))]
        return self._replica.answer(peer, query)

    def _push(self, sender: str) -> list[Instruction]:
        """Pass on what was learned since the last push."""
        pushed, self._pushed = self._pushed, self.state.revision
        # A first copy is not news to anybody.
        if pushed == 0 or pushed == self.state.revision:
            return []
        update = self.state.update_since(pushed)
        update.nodes = []
        size = sum(len(item.document) for item in update.objects)
        is_small = size <= MAXIMUM_PUSH_BYTES and not update.complete
        message = update if is_small else ConfigurationQuery(self.state.revision)
        return [Send(peer, message) for peer in self._random_nodes(PUSH_FANOUT, sender)]

    def _random_nodes(self, count: int, excluded: str) -> list[str]:
        live = [member.address for member in self._members.live()]
        others = [node for node in live if node not in (self._own_address, excluded)]
        return self._rng.sample(others, min(count, len(others)))

    def _first_peers(self) -> list[str]:
        live = {member.address for member in self._members.live()}
        nodes = sorted({*live, *self._seed_nodes} - {self._own_address})
        # Agents outlive a restart of all nodes, so one of them is always asked.
        agents = self._rng.sample(sorted(self._agents), min(1, len(self._agents)))
        count = min(PUSH_FANOUT - len(agents), len(nodes))
        return agents + self._rng.sample(nodes, count)

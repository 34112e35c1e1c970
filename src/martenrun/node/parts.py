"""The decision logic of a node, built in one place for real and for hollow processes.

See also: :mod:`martenrun.node.process`, :mod:`martenrun.proof.world`.
"""

import random
from dataclasses import dataclass

from martenrun.agent.requests import RequestsLogic
from martenrun.claims.logic import ClaimsLogic
from martenrun.configuration.view import ConfigurationView
from martenrun.events import DecisionLogic
from martenrun.identity.rendezvous import ranked
from martenrun.node.configuration import NodeConfigurationLogic
from martenrun.node.routing import RoutingLogic
from martenrun.node.runners import RunnerTable
from martenrun.orders.rolls import RollsLogic
from martenrun.routing.baselines import ConsistentHashPolicy
from martenrun.settings.model import NodeSettings


@dataclass(frozen=True)
class NodeParts:
    """Every part of a node's decision logic."""

    configuration: NodeConfigurationLogic
    runners: RunnerTable
    claims: ClaimsLogic
    routing: RoutingLogic
    requests: RequestsLogic
    rolls: RollsLogic

    def view(self) -> ConfigurationView:
        """Return the configuration in force."""
        return self.configuration.state.view

    def in_order(self) -> list[DecisionLogic]:
        """Return the parts in the order in which they handle an event."""
        return [
            self.configuration,
            self.runners,
            self.claims,
            self.routing,
            self.requests,
            self.rolls,
        ]


def node_parts(settings: NodeSettings, incarnation: str, rng: random.Random) -> NodeParts:
    """Build the decision logic of one run of a node.

    Args:
        settings: the node's settings.
        incarnation: identity of this run of the node; changes at every restart.
        rng: source of jitter; seeded in simulations.
    """
    own_address = settings.peer_address
    configuration = NodeConfigurationLogic(own_address, list(settings.seed_nodes), rng=rng)
    runners = RunnerTable()
    routing = RoutingLogic(runners, ConsistentHashPolicy(), lambda: configuration.state.view)
    claims = ClaimsLogic(f"{own_address}/{incarnation}")
    requests = RequestsLogic(lambda: [own_address], rng)

    def is_owner(runner: str) -> bool:
        nodes = configuration.state.nodes or [own_address]
        return ranked(runner.encode(), nodes)[0] == own_address

    holder = f"{own_address}/{incarnation}"
    rolls = RollsLogic(holder, runners.runners, configuration.state, is_owner, rng)
    return NodeParts(configuration, runners, claims, routing, requests, rolls)

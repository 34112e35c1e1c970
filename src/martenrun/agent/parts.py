"""The decision logic of an agent, built in one place for real and for hollow processes.

See also: :mod:`martenrun.agent.process`, :mod:`martenrun.proof.world`.
"""

import random
from dataclasses import dataclass

from martenrun.agent.configuration import AgentConfigurationLogic
from martenrun.agent.requests import RequestsLogic
from martenrun.configuration.view import ConfigurationView
from martenrun.events import DecisionLogic
from martenrun.settings.model import AgentSettings


@dataclass(frozen=True)
class AgentParts:
    """Every part of an agent's decision logic."""

    configuration: AgentConfigurationLogic
    requests: RequestsLogic

    def view(self) -> ConfigurationView:
        """Return the configuration in force."""
        return self.configuration.state.view

    def in_order(self) -> list[DecisionLogic]:
        """Return the parts in the order in which they handle an event."""
        return [self.configuration, self.requests]


def agent_parts(settings: AgentSettings, incarnation: str, rng: random.Random) -> AgentParts:
    """Build the decision logic of one run of an agent.

    Args:
        settings: the agent's settings.
        incarnation: identity of this run of the agent; changes at every restart.
        rng: source of jitter; seeded in simulations.
    """
    configuration = AgentConfigurationLogic(list(settings.seed_nodes), rng)
    requests = RequestsLogic(configuration.live_nodes, rng)
    return AgentParts(configuration, requests)

"""The interface of routing policies and what they know about runners."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from martenrun.wire.messages import DecideRequest


@dataclass(slots=True)
class RunnerState:
    """What a node knows about one runner.

    Attributes:
        name: the machine's name.
        address: ``IP:port`` of the engine.
        incarnation: changes whenever the engine restarts; empty until it described itself.
        in_flight: requests this node has granted and that have not ended.
        reported_running: the engine's own count, some time old.
    """

    name: str
    address: str
    zone: str
    pool: str
    incarnation: str = ""
    weights_version: str = ""
    slots: int = 0
    in_flight: int = 0
    reported_running: int = 0
    leaving: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent to the runner."""
        return bool(self.incarnation) and not self.leaving

    @property
    def free_slots(self) -> int:
        """Slots believed free; own grants count at once, foreign ones late."""
        return self.slots - max(self.in_flight, self.reported_running)


@dataclass(frozen=True, slots=True)
class RunnerChoice:
    """The chosen runner and how many leading blocks are believed to be cached there."""

    runner: RunnerState
    believed_blocks: int = 0


class RoutingPolicy(Protocol):
    """Chooses one of the runners that could take a request now."""

    def route(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> RunnerChoice:
        """Return the choice among ``runners``, which is not empty."""
        ...

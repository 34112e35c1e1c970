"""Processor time of decision logic, by process role, part and event."""

import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from martenrun.dispatch import handled_kinds
from martenrun.events import DecisionLogic, Event, Instruction, PeerMessage

MICROSECONDS_PER_S = 1_000_000


@dataclass
class Cost:
    """Calls and the processor time they took together, in seconds."""

    calls: int = 0
    cpu_s: float = 0.0


@dataclass
class CostMeter:
    """Costs by (part, event) of all processes of one role."""

    costs: dict[tuple[str, str], Cost] = field(default_factory=lambda: defaultdict(Cost))

    def reset(self) -> None:
        """Forget all costs."""
        self.costs.clear()

    def cpu_s(self) -> float:
        """Return the processor time of all parts, in seconds."""
        return sum(cost.cpu_s for cost in self.costs.values())

    def by_part(self) -> dict[str, float]:
        """Return the processor time of each part, in seconds."""
        found: dict[str, float] = defaultdict(float)
        for (part, _event), cost in self.costs.items():
            found[part] += cost.cpu_s
        return dict(found)

    def by_event(self) -> dict[str, float]:
        """Return the processor time that each kind of event took, in seconds."""
        found: dict[str, float] = defaultdict(float)
        for (_part, event), cost in self.costs.items():
            found[event] += cost.cpu_s
        return dict(found)


class TimedPart:
    """Decision logic whose processor time is metered.

    Args:
        part: the logic.
        meter: where its costs are added.
    """

    def __init__(self, part: DecisionLogic, meter: CostMeter) -> None:
        self._part = part
        self._meter = meter
        self._name = type(part).__name__
        self.handles = handled_kinds(part)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        started = time.thread_time()
        instructions = self._part.handle(event, now)
        spent = time.thread_time() - started
        cost = self._meter.costs[(self._name, _event_name(event))]
        cost.calls += 1
        cost.cpu_s += spent
        return instructions


def timed(parts: Sequence[DecisionLogic], meter: CostMeter) -> list[DecisionLogic]:
    """Wrap every part of a process."""
    return [TimedPart(part, meter) for part in parts]


def _event_name(event: Event) -> str:
    if isinstance(event, PeerMessage):
        return type(event.message).__name__
    return type(event).__name__

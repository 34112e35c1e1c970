"""Requests of the routing benchmark on their way, and their attempts at engines."""

from dataclasses import dataclass, field

from martenrun.bench.routing_engine import SimulatedEngine
from martenrun.bench.routing_node import SimulatedNode
from martenrun.bench.routing_workload import PlannedRequest
from martenrun.kvcache.imports import ImportPlan
from martenrun.ownership.questions import OpenQuestion
from martenrun.routing.policy import RunnerChoice
from martenrun.wire.messages import DecideRequest


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request on its way; ``attempt`` makes calls that come too late find out."""

    plan: PlannedRequest
    question: DecideRequest
    attempt: int = 0
    excluded: set[str] = field(default_factory=set)
    has_first_token: bool = False
    is_over: bool = False


@dataclass(slots=True, eq=False)
class RoutedAttempt:
    """One try at an engine; ``opened`` is what its home goes on with if no slot is free."""

    request: ActiveRequest
    home: SimulatedNode
    choice: RunnerChoice
    engine: SimulatedEngine
    incarnation: int
    ranked: list[RunnerChoice]
    opened: OpenQuestion | None = None
    import_plan: ImportPlan | None = None
    is_running: bool = False
    is_over: bool = False
    cached_blocks: int = 0
    imported_blocks: int = 0
    best_blocks: int = 0
    best_believed: int = 0
    waited_s: float = 0.0
    first_token_s: float = 0.0


def open_question(
    request: ActiveRequest, home: SimulatedNode, choices: list[RunnerChoice], deadline_s: float
) -> OpenQuestion | None:
    """Return a question as the product's home holds it.

    None for the baselines and the oracle, whose questions wait at their first choice.
    """
    if not home.is_product:
        return None
    plan, deadline = request.plan, request.plan.at + deadline_s
    return OpenQuestion(request.question, "", plan.model, "reserving", deadline, list(choices))

"""What the stand-in engine tells about itself."""

import time

import msgspec

from martenrun.standins.engine.incarnation import Incarnation
from martenrun.standins.engine.weights import ServingState


class Description(msgspec.Struct):
    """Answer of ``GET /v1/runner``; ``running`` and ``waiting`` lag."""

    incarnation: str
    model: str
    weights_version: str
    running: int
    waiting: int
    slots: int
    cached_blocks: int
    state: str
    target_version: str
    fence: int
    role: str
    adapters: list[str]


def describe(engine: Incarnation, fence: int, says_draining: bool) -> Description:
    """Return the present description of an engine.

    Args:
        engine: its present incarnation.
        fence: the highest fencing token seen.
        says_draining: show ``draining`` in place of the true state.
    """
    load = engine.load_report.shown(time.monotonic())
    weights = engine.weights
    state = ServingState.DRAINING if says_draining else weights.state
    return Description(
        engine.name,
        engine.settings.model,
        weights.version,
        load.running,
        load.waiting,
        engine.settings.slots,
        len(engine.cached),
        state.value,
        weights.target_version,
        fence,
        weights.role.value,
        list(weights.adapters),
    )

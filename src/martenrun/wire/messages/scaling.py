"""Demand of pools between nodes.

See also: :mod:`martenrun.scaling.demand`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class PoolDemand:
    """Present figures of one pool at a node or in a zone.

    ``runners`` serve the pool and have ``slots``, of which ``used_slots`` are taken;
    ``waiting_tokens`` wait in their queues, for ``wait_ms`` in the mean.  Giving
    ``spare_runner`` away would lose the fewest cached blocks, ``spare_blocks``.
    """

    pool_id: int = 0
    runners: int = 0
    slots: int = 0
    used_slots: int = 0
    waiting_tokens: int = 0
    wait_ms: int = 0
    spare_runner: str = ""
    spare_blocks: int = 0


@dataclass(slots=True)
class DemandReport:
    """Node to its zone's adding node, or a ``zone`` to the deciding node."""

    zone: str = ""
    pools: list[PoolDemand] = field(default_factory=list)

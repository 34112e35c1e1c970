"""Which starting nodes read a first copy of the configuration without waiting for fellows.

After a restart of all nodes no node has a copy to give.  The seed nodes are ranked alike by
everybody, without a message; the first of them read the object API at once, the next ones
later, and the others never: they learn the copy from those.

See also: :mod:`martenrun.configuration.watching`, docs/design/configuration.md.
"""

from collections.abc import Sequence
from math import inf

from martenrun.identity.rendezvous import weight

FIRST_READERS = 8
"""Seed nodes that may read a first copy early."""
READERS_AT_ONCE = 2
"""Seed nodes that read at the same time."""
READ_STEP_S = 0.5
"""Time until the next seed nodes read, if they still have no copy, in seconds."""

_KEY = b"first-copy"


def first_read_delay_s(own: str, seed_nodes: Sequence[str]) -> float:
    """Return how long after its start a node without a copy reads the object API, in seconds.

    Args:
        own: the node's address.
        seed_nodes: addresses named in the settings, this node's own included if it is a seed.

    Returns:
        Infinity for a node that is no seed node, or one that ranks too low.
    """
    others = {seed for seed in seed_nodes if seed != own}
    if not others:
        return 0.0
    if own not in seed_nodes:
        return inf
    own_weight = weight(_KEY, own)
    rank = sum(weight(_KEY, other) > own_weight for other in others)
    return READ_STEP_S * (rank // READERS_AT_ONCE) if rank < FIRST_READERS else inf

"""Tenants' usage between nodes.

See also: :mod:`martenrun.sharing.usage`.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class UsageDigest:
    """Node to node: tenants' present rates at a node, or in a zone if ``zone`` is named.

    ``records`` are 10 bytes a tenant, see :mod:`martenrun.sharing.records`.  ``incarnation``
    and ``sequence`` show repeated and overtaken digests.
    """

    incarnation: int = 0
    sequence: int = 0
    zone: str = ""
    records: bytes = b""


@dataclass(slots=True)
class UsageTotals:
    """Answer to a node's UsageDigest: the same tenants' rates over all nodes, in their order.

    ``added_usage`` is the usage of all tenants that the sender adds up, in tokens per second.
    """

    incarnation: int = 0
    sequence: int = 0
    added_usage: float = 0.0
    records: bytes = b""

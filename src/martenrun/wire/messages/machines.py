"""Changes of the machine list between nodes.

See also: :mod:`martenrun.ownership.machine_feed`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class MachinesQuery:
    """Node to a reader of the machine list: what differs from the list of this digest?

    ``takes_packed`` tells that the node understands ``MachinesUpdate.packed``.
    """

    known_digest: int = 0
    takes_packed: bool = False


@dataclass(slots=True)
class MachineEntry:
    """One machine; ``state`` is ``removed`` for one that is no longer listed."""

    name: str = ""
    role: str = ""
    address: str = ""
    zone: str = ""
    pool: str = ""
    state: str = ""


@dataclass(slots=True)
class MachinesUpdate:
    """Reader to node: changes that lead to the list of ``digest``, or that whole list.

    A whole list is in ``packed`` if the node takes that, else in ``machines``.
    """

    digest: int = 0
    complete: bool = False
    machines: list[MachineEntry] = field(default_factory=list)
    packed: bytes = b""

"""The cluster's keys: the one a process seals with, and others it accepts.

Keys are changed without a stop in three passes over all processes: accept the new key, seal
with it, no longer accept the old one.

See also: :mod:`martenrun.wire.frames`, docs/operations/cluster-keys.md.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field


class KeyUses:
    """How often another key than the sealing one was used towards this process.

    Written by the transport's thread only; others read it.
    """

    def __init__(self) -> None:
        self.other_key = 0


@dataclass(frozen=True, slots=True)
class ClusterKeys:
    """Keys shared by all nodes and agents of a cluster.

    Attributes:
        sealing: seals what this process sends first on a connection or in a datagram.
        others: accepted from other processes beside the sealing key.
        uses: counts what arrives under one of the others.
    """

    sealing: bytes
    others: tuple[bytes, ...] = ()
    uses: KeyUses = field(default_factory=KeyUses, compare=False)

    @property
    def accepted(self) -> tuple[bytes, ...]:
        """Every key that another process may use, the likeliest first."""
        return (self.sealing, *self.others)

    def note_use(self, key: bytes) -> None:
        """Count the use of a key by another process."""
        if key != self.sealing:
            self.uses.other_key += 1


def cluster_keys(secret: str, others: Iterable[str] = ()) -> ClusterKeys:
    """Return the keys that settings name."""
    return ClusterKeys(secret.encode(), tuple(other.encode() for other in others))

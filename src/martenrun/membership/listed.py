"""What the platform's lagging machine list says of nodes."""

from martenrun.backends.machine_list import Machine

NODE_ROLE = "node"


class ListedNodes:
    """Nodes that the machine list names as leaving, or names no longer.

    The list lags and may be wrong, so it excludes leaving nodes from new work, but removes
    nobody: a node that is off the list is dead only if it does not answer either.

    Attributes:
        leaving: addresses listed as leaving.
        removed: addresses that were listed and are not any more.
        version: raised when ``leaving`` changes.
    """

    def __init__(self, own_address: str) -> None:
        self.leaving: frozenset[str] = frozenset()
        self.removed: frozenset[str] = frozenset()
        self.version = 0
        self._own_address = own_address
        self._listed: frozenset[str] = frozenset()

    def update(self, machines: list[Machine]) -> bool:
        """Take in a list; returns whether this node is newly listed as leaving."""
        nodes = [machine for machine in machines if machine.role == NODE_ROLE]
        listed = frozenset(machine.address for machine in nodes)
        leaving = frozenset(machine.address for machine in nodes if machine.is_leaving)
        self.removed = (self.removed | self._listed) - listed
        self._listed = listed
        if leaving == self.leaving:
            return False
        is_newly_leaving = self._own_address in leaving - self.leaving
        self.leaving = leaving
        self.version += 1
        return is_newly_leaving

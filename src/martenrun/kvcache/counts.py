"""What a node counts of a pool's kept-cache store, for metrics."""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreCounts:
    """Counts since the node's start.

    Attributes:
        offers: grants that told the runner what the store keeps.
        imports: reports of imports, failed ones included.
        imported_blocks: blocks that runners fetched.
        failed_imports: imports whose store failed or was late.
        exports: exports ordered by this node as an owner.
        exported_blocks: leading blocks that the store kept after them.
        failed_exports: exports that kept nothing.
    """

    offers: int = 0
    imports: int = 0
    imported_blocks: int = 0
    failed_imports: int = 0
    exports: int = 0
    exported_blocks: int = 0
    failed_exports: int = 0


class CountsByPool:
    """Counts of each pool with a store."""

    def __init__(self) -> None:
        self._counts: dict[str, StoreCounts] = {}

    def of(self, pool: str) -> StoreCounts:
        """Return a pool's counts."""
        return self._counts.setdefault(pool, StoreCounts())

    def items(self) -> list[tuple[str, StoreCounts]]:
        """Return every pool with its counts."""
        return sorted(self._counts.items())

"""Limits of one pool's kept-cache store."""

from typing import Annotated

from msgspec import Meta, Struct


class StoreLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a pool may move to and from its store; part of the pool's object.

    Attributes:
        name: the store's name, for status and metrics.
        block_bytes: size of one cached block.
        export_bytes_per_s: most bytes that all owners together export, in bytes a second.
        minimum_blocks: shorter prefixes are neither exported nor imported.
        minimum_uses: uses of a prefix within about half a minute from which it is exported.
        import_wait_s: longest time that a request waits for an import, in seconds.
    """

    name: Annotated[str, Meta(min_length=1, max_length=63)]
    block_bytes: Annotated[int, Meta(gt=0)] = 32_000_000
    export_bytes_per_s: Annotated[float, Meta(gt=0)] = 2e9
    minimum_blocks: Annotated[int, Meta(ge=1)] = 4
    minimum_uses: Annotated[int, Meta(ge=1)] = 2
    import_wait_s: Annotated[float, Meta(gt=0, le=5)] = 0.5

    @property
    def export_blocks_per_s(self) -> float:
        """The bound on exports in blocks a second."""
        return self.export_bytes_per_s / self.block_bytes

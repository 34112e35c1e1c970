"""Limits of one pool's kept-cache store."""

from pydantic import BaseModel, ConfigDict, Field


class StoreLimits(BaseModel):
    """What a pool may move to and from its store.

    Attributes:
        name: the store's name, for status and metrics.
        block_bytes: size of one cached block.
        export_bytes_per_s: most bytes that all owners together export, in bytes a second.
        minimum_blocks: shorter prefixes are neither exported nor imported.
        minimum_uses: uses of a prefix within a minute from which it is exported.
        import_wait_s: longest time that a request waits for an import, in seconds.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1)
    block_bytes: int = Field(default=32_000_000, gt=0)
    export_bytes_per_s: float = Field(default=8e9, gt=0)
    minimum_blocks: int = Field(default=4, gt=0)
    minimum_uses: int = Field(default=2, gt=0)
    import_wait_s: float = Field(default=0.5, gt=0)

    @property
    def export_blocks_per_s(self) -> float:
        """The bound on exports in blocks a second."""
        return self.export_bytes_per_s / self.block_bytes

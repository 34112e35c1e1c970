"""Exports to kept-cache stores between homes and the owners of runners.

See also: :mod:`martenrun.kvcache`.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class ExportPrefix:
    """Home to owner: these blocks are worth keeping; ``uses`` are counted with decay."""

    runner: str = ""
    incarnation: str = ""
    weights_version: str = ""
    chain: bytes = b""
    new_blocks: int = 0
    uses: float = 0.0


@dataclass(slots=True)
class PrefixExported:
    """Owner to home: the store of the runner's pool keeps every block of the chain."""

    runner: str = ""
    weights_version: str = ""
    chain: bytes = b""

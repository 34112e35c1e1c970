"""What two processes tell each other before anything else."""

from dataclasses import dataclass


@dataclass(slots=True)
class Hello:
    """First frame of each side of a connection."""

    protocol_version: int = 0
    peer: str = ""
    nonce: bytes = b""

"""Typed settings of nodes and agents; unknown keys are faults."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from martenrun.wire.transport import parse_address


def _checked_address(text: str) -> str:
    parse_address(text)
    return text


Address = Annotated[str, AfterValidator(_checked_address)]
"""``IP:port``; names are not resolved."""


class ProcessSettings(BaseModel):
    """Settings that every process has."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, description="unique name of the process, used in logs")
    zone: str = Field(min_length=1, description="zone of the machine")
    region: str = Field(default="local", min_length=1, description="region of the machine")
    cluster_secret: str = Field(min_length=16, max_length=64, description="shared by the cluster")
    http_address: Address = Field(description="IP:port of the HTTP edge")
    seed_nodes: list[Address] = Field(default_factory=list, description="nodes to ask first")
    http_threads: int = Field(default=16, ge=4, le=512, description="threads beside streams")
    max_streams: int = Field(
        default=256, ge=1, le=1_000, description="requests carried at a time; more are refused"
    )
    token_gap_timeout_s: float = Field(
        default=5.0, ge=0.2, le=600.0, description="longest silence between tokens, in seconds"
    )


class NodeSettings(ProcessSettings):
    """Settings of ``martenrun node``."""

    peer_address: Address = Field(description="IP:port of the internal protocol")
    object_api: Address = Field(description="IP:port of the platform's object API")
    machine_list: Address = Field(description="IP:port of the platform's machine list")
    bootstrap_key_sha256: str = Field(
        default="", pattern=r"^([0-9a-f]{64})?$", description="digest of the first admin key"
    )


class AgentSettings(ProcessSettings):
    """Settings of ``martenrun agent``."""

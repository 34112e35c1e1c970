"""Typed settings of nodes and agents; unknown keys are faults."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from martenrun.wire.transport import parse_address


def _checked_address(text: str) -> str:
    parse_address(text)
    return text


Address = Annotated[str, AfterValidator(_checked_address)]
"""``IP:port``; names are not resolved."""


class MembershipSettings(BaseModel):
    """Times and counts of failure detection between nodes; the same on every node."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    probe_interval_s: float = Field(
        default=1.0, ge=0.2, le=60, description="seconds between two probes of a node"
    )
    probe_timeout_s: float = Field(
        default=0.4, ge=0.05, le=10, description="seconds until others are asked to probe"
    )
    indirect_probes: int = Field(
        default=3, ge=0, le=10, description="nodes asked to probe a silent one"
    )
    suspicion_timeout_s: float = Field(
        default=4.0, ge=0.5, le=120, description="seconds a suspected node has to refute"
    )
    gossip_interval_s: float = Field(
        default=0.2, ge=0.05, le=10, description="seconds between two rounds of news"
    )
    gossip_fanout: int = Field(default=2, ge=1, le=10, description="nodes told in one round")
    dead_probe_interval_s: float = Field(
        default=5.0, ge=1, le=600, description="seconds between two probes of dead nodes"
    )
    forget_dead_after_s: float = Field(
        default=1800.0, ge=10, le=86_400, description="seconds until a dead node is forgotten"
    )
    join_interval_s: float = Field(
        default=1.0, ge=0.1, le=60, description="seconds between two attempts to join"
    )
    repair_interval_s: float = Field(
        default=10.0, ge=1, le=600, description="shortest time between two full exchanges"
    )


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
        default=100, ge=1, le=1_000, description="requests carried at a time; more are refused"
    )
    max_connections: int | None = Field(
        default=None, ge=1, le=20_000, description="connections held; more are refused"
    )
    receive_timeout_s: float = Field(
        default=30.0, ge=0.2, le=600.0, description="seconds to receive a caller's request"
    )
    token_gap_timeout_s: float = Field(
        default=5.0, ge=0.2, le=600.0, description="longest silence between tokens, in seconds"
    )
    drain_timeout_s: float = Field(
        default=30.0, ge=0.0, le=3600.0, description="seconds that running streams get at a stop"
    )


class NodeSettings(ProcessSettings):
    """Settings of ``martenrun node``."""

    peer_address: Address = Field(description="IP:port of the internal protocol")
    object_api: Address = Field(description="IP:port of the platform's object API")
    machine_list: Address = Field(description="IP:port of the platform's machine list")
    weight_store: Address | None = Field(
        default=None, description="IP:port of the weight store; pools are checked against it"
    )
    membership: MembershipSettings = Field(
        default_factory=MembershipSettings, description="failure detection between nodes"
    )
    bootstrap_key_sha256: str = Field(
        default="", pattern=r"^([0-9a-f]{64})?$", description="digest of the first admin key"
    )


class AgentSettings(ProcessSettings):
    """Settings of ``martenrun agent``."""

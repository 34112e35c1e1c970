"""Typed settings of nodes and agents; unknown keys are faults."""

from typing import Annotated

from msgspec import Meta, Struct

_OCTET = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|\d{1,4})"

Address = Annotated[str, Meta(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z", title="IP:port")]
"""``IP:port``; names are not resolved."""


ClusterSecret = Annotated[str, Meta(min_length=16, max_length=64)]
"""A key of the cluster, as text."""


class MembershipSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Times and counts of failure detection between nodes; the same on every node."""

    probe_interval_s: Annotated[
        float, Meta(ge=0.2, le=60, description="seconds between two probes of a node")
    ] = 1.0
    probe_timeout_s: Annotated[
        float, Meta(ge=0.05, le=10, description="seconds until others are asked to probe")
    ] = 0.4
    indirect_probes: Annotated[
        int, Meta(ge=0, le=10, description="nodes asked to probe a silent one")
    ] = 3
    suspicion_timeout_s: Annotated[
        float, Meta(ge=0.5, le=120, description="seconds a suspected node has to refute")
    ] = 4.0
    gossip_interval_s: Annotated[
        float, Meta(ge=0.05, le=10, description="seconds between two rounds of news")
    ] = 0.2
    gossip_fanout: Annotated[int, Meta(ge=1, le=10, description="nodes told in one round")] = 2
    dead_probe_interval_s: Annotated[
        float, Meta(ge=1, le=600, description="seconds between two probes of dead nodes")
    ] = 5.0
    forget_dead_after_s: Annotated[
        float, Meta(ge=10, le=86_400, description="seconds until a dead node is forgotten")
    ] = 1800.0
    join_interval_s: Annotated[
        float, Meta(ge=0.1, le=60, description="seconds between two attempts to join")
    ] = 1.0
    repair_interval_s: Annotated[
        float, Meta(ge=1, le=600, description="shortest time between two full exchanges")
    ] = 10.0


class ProcessSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings that every process has."""

    name: Annotated[str, Meta(min_length=1, description="unique name of the process, used in logs")]
    zone: Annotated[str, Meta(min_length=1, description="zone of the machine")]
    region: Annotated[str, Meta(min_length=1, description="region of the machine")] = "local"
    cluster_secret: Annotated[ClusterSecret, Meta(description="shared by the cluster")]
    http_address: Annotated[Address, Meta(description="IP:port of the HTTP edge")]
    seed_nodes: Annotated[list[Address], Meta(description="nodes to ask first")] = []
    http_threads: Annotated[int, Meta(ge=4, le=512, description="threads beside streams")] = 16
    max_streams: Annotated[
        int, Meta(ge=1, le=1_000, description="requests carried at a time; more are refused")
    ] = 100
    max_connections: Annotated[
        Annotated[int, Meta(ge=1, le=20_000)] | None,
        Meta(description="connections held; more are refused"),
    ] = None
    receive_timeout_s: Annotated[
        float, Meta(ge=0.2, le=600.0, description="seconds to receive a caller's request")
    ] = 30.0
    token_gap_timeout_s: Annotated[
        float, Meta(ge=0.2, le=600.0, description="longest silence between tokens, in seconds")
    ] = 5.0
    drain_timeout_s: Annotated[
        float, Meta(ge=0.0, le=3600.0, description="seconds that running streams get at a stop")
    ] = 30.0


class NodeSettings(ProcessSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of ``martenrun node``."""

    accepted_secrets: Annotated[
        list[ClusterSecret],
        Meta(max_length=4, description="other cluster secrets accepted for now"),
    ] = []
    peer_address: Annotated[Address, Meta(description="IP:port of the internal protocol")]
    object_api: Annotated[Address, Meta(description="IP:port of the platform's object API")]
    machine_list: Annotated[Address, Meta(description="IP:port of the platform's machine list")]
    weight_store: Annotated[
        Address | None,
        Meta(description="IP:port of the weight store; pools are checked against it"),
    ] = None
    membership: Annotated[
        MembershipSettings, Meta(description="failure detection between nodes")
    ] = MembershipSettings()
    bootstrap_key_sha256: Annotated[
        str, Meta(pattern=r"^([0-9a-f]{64})?\Z", description="digest of the first admin key")
    ] = ""


class AgentSettings(ProcessSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of ``martenrun agent``."""

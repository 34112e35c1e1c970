"""Gauges of a router, read when the metrics are requested."""

from collections.abc import Callable

import attrs

from martenrun.net.held_memory import HeldMemory
from martenrun.router.lease import Lease
from martenrun.router.metrics import Sample
from martenrun.router.peers import Peers
from martenrun.router.request_services import RequestServices
from martenrun.router.store.eras import StoreEras
from martenrun.router.store.sync import StoreSync


@attrs.frozen
class GaugeSources:
    """Components that the gauges are read from.

    Attributes:
        requests: returns the number of requests in progress.
        connections: returns the number of callers' connections.
        stream_origins: returns the number of streams whose origins are kept.
        memory: what the connections of all ports hold.
    """

    services: RequestServices
    peers: Peers
    keeper: StoreSync
    lease: Lease
    eras: StoreEras
    request_count: Callable[[], int]
    connection_count: Callable[[], int]
    stream_origin_count: Callable[[], int]
    memory: HeldMemory


def read_gauges(sources: GaugeSources) -> list[Sample]:
    """Return the current values of all gauges."""
    services = sources.services
    now = services.loop.now()
    states = services.pool.all_states()
    crash_records = services.suspects.table
    return [
        Sample("requests_in_flight", sources.request_count()),
        Sample("caller_connections", sources.connection_count()),
        Sample("held_request_bytes", sources.memory.requests.size),
        Sample("held_response_bytes", sources.memory.responses.size),
        Sample("held_unread_bytes", sources.memory.unread.size),
        Sample("stream_origins", sources.stream_origin_count()),
        Sample("runners", len(states)),
        Sample("runners_avoided", sum(state.is_avoided(now) for state in states)),
        Sample("runners_draining", sum(state.is_draining for state in states)),
        Sample("runners_backing_off", sum(state.is_backing_off(now) for state in states)),
        Sample("runners_limited", len(services.runner_limits)),
        Sample("services_brittle", len(services.brittle)),
        Sample("services_unreachable", len(services.reachability.unreachable_services(now))),
        Sample("runner_requests", sum(state.load for state in states)),
        Sample("runner_backlog_tokens", sum(state.backlog_tokens for state in states)),
        Sample("configuration_age_seconds", services.configuration.age_s(now)),
        Sample("configuration_version", services.configuration.version),
        Sample("configuration_behind_seconds", services.configuration.behind_s(now)),
        Sample("routers_alive", 1 + len(sources.peers.live())),
        Sample("oldest_router_alive_seconds", sources.peers.table.max_live_silence_s(now)),
        Sample("store_lost", sources.keeper.has_lost_store),
        Sample("store_era", sources.eras.current),
        Sample("lease_held", sources.lease.is_held()),
        Sample("requests_blamed", len(crash_records)),
        Sample("requests_held_back", len(crash_records.blocked(now))),
        Sample("quota_accounts", 0 if services.quotas is None else len(services.quotas)),
    ]

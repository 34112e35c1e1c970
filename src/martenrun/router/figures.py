"""The figures of a router that are read when they are asked for."""

from collections.abc import Callable

import attrs

from martenrun.router.keeper import Keeper
from martenrun.router.lease import Lease
from martenrun.router.metrics import Sample
from martenrun.router.peers import Peers
from martenrun.router.world import World


@attrs.frozen
class FigureSources:
    """What the figures are read from.

    Attributes:
        requests, connections: return how many requests are under way, and callers' connections.
    """

    world: World
    peers: Peers
    keeper: Keeper
    lease: Lease
    requests: Callable[[], int]
    connections: Callable[[], int]


def read_samples(sources: FigureSources) -> list[Sample]:
    """Return the figures as they are now."""
    world = sources.world
    now = world.loop.now()
    states = world.pool.all_states()
    blame = world.suspects.table
    return [
        Sample("requests_in_flight", sources.requests()),
        Sample("caller_connections", sources.connections()),
        Sample("runners", len(states)),
        Sample("runners_avoided", sum(state.is_avoided(now) for state in states)),
        Sample("runners_limited", len(world.runner_limits)),
        Sample("runner_requests", sum(state.load for state in states)),
        Sample("runner_backlog_tokens", sum(state.backlog_tokens for state in states)),
        Sample("configuration_age_seconds", world.configuration.age_s(now)),
        Sample("configuration_version", world.configuration.version),
        Sample("configuration_behind_seconds", world.configuration.behind_s(now)),
        Sample("routers_alive", 1 + len(sources.peers.live())),
        Sample("oldest_router_alive_seconds", sources.peers.table.oldest_alive_s(now)),
        Sample("store_lost", sources.keeper.has_lost_store),
        Sample("lease_held", sources.lease.is_held()),
        Sample("requests_blamed", len(blame)),
        Sample("requests_held_back", len(blame.blocked(now))),
        Sample("quota_accounts", 0 if world.quotas is None else len(world.quotas)),
    ]

"""Endpoints for router discovery: this router's readiness and the addresses of live routers."""

from collections.abc import Callable

from martenrun.net.exchange import Exchange
from martenrun.net.periodic import call_safely
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.peers import Peers
from martenrun.router.platform_adapter import PlatformAdapter

DIRECTORY_TTL_S = 1.0
"""How long callers may cache a response of the directory, in seconds."""

MAX_ADDRESSES = 64
"""Maximum number of addresses in one response of the directory."""

LEAST_ZONE_SHARE = 0.5
"""Least share of a zone's routers that serve all of its callers."""


class RouterDiscovery:
    """Serves readiness checks and the directory of routers.

    Args:
        refresh: updates this router's own record.
        is_ready: returns whether this router serves requests.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        peers: Peers,
        refresh: Callable[[RouterRecord], None],
        is_ready: Callable[[], bool],
    ) -> None:
        self._adapter = adapter
        self._peers = peers
        self._refresh = refresh
        self._is_ready = is_ready

    def serve_ready(self, exchange: Exchange) -> None:
        """Respond with 200 if this router is ready, else with 503."""
        if not self._adapter.is_readiness_request(exchange.request):
            exchange.respond(404, [])
        else:
            exchange.respond(200 if self._is_ready() else 503, [])

    def serve_directory(self, exchange: Exchange) -> None:
        """Respond with the addresses of routers for a caller's zone."""
        zone = self._adapter.directory_zone(exchange.request)
        if zone is None:
            exchange.respond(404, [])
            return
        addresses = self._addresses(zone)
        if not addresses:
            exchange.respond(503, [(b"Retry-After", b"0.2")])
            return
        body = self._adapter.directory_response(addresses, DIRECTORY_TTL_S)
        exchange.respond(200, [(b"Content-Type", b"application/json")], body)

    def _addresses(self, zone: str) -> list[str]:
        """Return routers that are not stopping, reach runners and have a recent configuration.

        Only those of the zone are returned if the zone has at least two, and most of it reaches
        runners: a few routers could not serve the callers of all others.
        """
        own = self._peers.own
        call_safely("own_record", self._refresh, own)
        records = [record for record in [own, *self._peers.live()] if not record.is_leaving]
        reaching = [record for record in records if not record.is_cut_off] or records
        current = [record for record in reaching if record.is_current] or reaching
        in_zone = [record for record in current if record.zone == zone]
        zone_size = sum(record.zone == zone for record in records)
        is_enough = len(in_zone) > 1 and len(in_zone) >= LEAST_ZONE_SHARE * zone_size
        chosen = in_zone if is_enough else current
        return [record.front for record in chosen][:MAX_ADDRESSES]

"""HTTP interface on a router's internal address, which is not reachable from outside.

It serves metrics and status pages, and relays store data and callers' requests for other routers.
"""

from collections.abc import Callable

from martenrun.net.exchange import Exchange
from martenrun.net.http import STATUS_OK
from martenrun.router.crashes.page import BLAME_PATH, serve_crash_records
from martenrun.router.crashes.tracker import CrashTracker
from martenrun.router.forwarded_request import is_forwarded
from martenrun.router.metrics import Metrics
from martenrun.router.quotas.gate import QuotaGate
from martenrun.router.quotas.page import QUOTAS_PATH, serve_quotas
from martenrun.router.store.relay import RelayServer

METRICS_PATH = b"/metrics"
"""Path of the metrics page."""


class InternalInterface:
    """Serves metrics, blocked requests, tenants' quota accounts, and cached store data.

    Args:
        serve_forwarded: serves a caller's request that another router forwarded.
    """

    def __init__(
        self,
        metrics: Metrics,
        suspects: CrashTracker,
        quotas: QuotaGate,
        relay: RelayServer,
        serve_forwarded: Callable[[Exchange], None],
    ) -> None:
        self._metrics = metrics
        self._suspects = suspects
        self._quotas = quotas
        self._relay = relay
        self._serve_forwarded = serve_forwarded

    def serve(self, exchange: Exchange) -> None:
        """Serve a request of another router, an operator or a metrics collector."""
        target = exchange.request.target
        if is_forwarded(exchange.request):
            self._serve_forwarded(exchange)
        elif target == METRICS_PATH:
            content = [(b"Content-Type", b"text/plain")]
            exchange.respond(STATUS_OK, content, self._metrics.text())
        elif target == BLAME_PATH:
            serve_crash_records(exchange, self._suspects)
        elif target == QUOTAS_PATH:
            serve_quotas(exchange, self._quotas)
        else:
            self._relay.serve(exchange)

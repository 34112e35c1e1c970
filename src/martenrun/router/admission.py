"""Decides whether a caller's request is served, by the configuration in force and its age."""

import attrs

from martenrun.net.exchange import Exchange
from martenrun.router.log import log_warning
from martenrun.router.messages import AdmittedRequest, Call
from martenrun.router.request_services import RequestServices
from martenrun.router.route_table import RouteTable, TrafficSplitter
from martenrun.router.tuning import DEFAULTS

KEY_AGE_MARGIN_S = 0.3
"""Margin before the bound on revoked keys at which API keys count as too old, in seconds."""

LAG_MARGIN_S = 0.5
"""Margin before the bound on configuration changes at which a lagging router stops serving.

In seconds.  A router learns of a newer version some tenths of a second after the first router has
it, and a request may wait as long before it is forwarded.
"""

DEFAULT_DEADLINE_S = 30.0
"""Deadline of requests without one, in seconds."""


@attrs.frozen
class Refusal:
    """The final response to a request that is not forwarded; 503 includes ``Retry-After``."""

    status: int
    reason: str
    retry_after_s: float = DEFAULTS.forwarding.retry_after_s


class Admission:
    """Admits or refuses requests by the configuration that this router has now.

    :mod:`martenrun.router.denials` checks refusals again after the configuration is read anew.
    """

    def __init__(self, world: RequestServices) -> None:
        self._world = world
        self._splits = TrafficSplitter()

    def read_call(self, exchange: Exchange) -> Call | Refusal:
        """Parse a request; refuse a malformed one with 400."""
        try:
            call = self._world.adapter.read_call(exchange.request)
        except (ValueError, UnicodeError):
            return Refusal(400, "unreadable")
        return call if call.request_id else Refusal(400, "no_request_id")

    def admit(self, exchange: Exchange, call: Call) -> AdmittedRequest | Refusal:
        """Admit or refuse a request by the current configuration."""
        now = self._world.loop.now()
        table = self._world.configuration.table
        if table is None:
            return Refusal(503, "nothing_known")
        if self._is_behind(now):
            return Refusal(503, "configuration_behind")
        route = table.route(call)
        if route is None:
            return Refusal(404, "no_route")
        tenant = None
        if table.needs_key(route):
            if self._are_keys_too_old(now):
                return Refusal(503, "keys_too_old")
            tenant = table.tenant(call)
            if tenant is None:
                return Refusal(401, "unknown_key")
        received_at = exchange.request.received_at
        deadline_s = DEFAULT_DEADLINE_S if call.deadline_s is None else call.deadline_s
        deadline_at = received_at + deadline_s
        return AdmittedRequest(
            call=call,
            route=route,
            tenant=tenant,
            service=self._splits.next_service(route),
            deadline_at=deadline_at,
            give_up_at=min(deadline_at, received_at + route.timeout_s),
        )

    def _is_behind(self, now: float) -> bool:
        """Return whether a newer configuration should have been applied here by now."""
        bound_s = self._world.settings.bounds.configuration_s - LAG_MARGIN_S
        return self._world.configuration.behind_s(now) > bound_s

    def _are_keys_too_old(self, now: float) -> bool:
        bounds = self._world.settings.bounds
        age_s = self._world.configuration.age_s(now)
        return bounds.is_revocation_strict and age_s > bounds.revoke_s - KEY_AGE_MARGIN_S

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force."""
        return self._world.configuration.table


def send_refusal(exchange: Exchange, refusal: Refusal, call: Call | None) -> None:
    """Send the final response to a request that is not forwarded."""
    headers = [(b"Retry-After", b"%.2f" % refusal.retry_after_s)] if refusal.status == 503 else []
    exchange.respond(refusal.status, headers)
    log_warning(
        "refused",
        request=None if call is None else call.request_id.decode("latin-1"),
        reason=refusal.reason,
        status=refusal.status,
    )

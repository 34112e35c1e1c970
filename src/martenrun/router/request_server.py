"""Serves callers' requests: those of this router's callers and those that others forward."""

import random

import attrs

from martenrun.net.exchange import Exchange
from martenrun.net.periodic import call_safely
from martenrun.router.admission import Admission, Refusal, send_refusal
from martenrun.router.denials import DenialRecheck
from martenrun.router.forwarded_request import ForwardedState, read_forwarded
from martenrun.router.forwarding import RequestForwarder
from martenrun.router.messages import AdmittedRequest, Call
from martenrun.router.planned_stop import PlannedStop
from martenrun.router.request_moves import move_off_runners
from martenrun.router.request_services import RequestServices
from martenrun.router.store.client import StoreClient
from martenrun.router.store.feed import StoreStateFeed
from martenrun.router.stream_resumption import StreamResumption

UNKNOWN_ORIGIN_RETRY_S = (0.3, 1.2)
"""Range of the random delay after which a caller should try to resume a stream again, in seconds.

A router that knows its origin may be reached again by then.
"""


class RequestServer:
    """Admits requests and tracks those in progress.

    Attributes:
        forwarders: the requests in progress.
        stop: the planned stop of the process, or None.
    """

    def __init__(
        self,
        services: RequestServices,
        store: StoreClient,
        feed: StoreStateFeed,
        resumption: StreamResumption,
    ) -> None:
        self._services = services
        self._resumption = resumption
        self._admission = Admission(services)
        self._denials = DenialRecheck(services, self._admission, store, feed, self._forward)
        self.forwarders: set[RequestForwarder] = set()
        self.stop: PlannedStop | None = None

    def serve(self, exchange: Exchange) -> None:
        """Serve a caller's request."""
        self._serve(exchange, None)

    def serve_forwarded(self, exchange: Exchange) -> None:
        """Serve a request that another router forwarded."""
        try:
            exchange.request, forwarded = read_forwarded(exchange.request)
        except ValueError:
            exchange.respond(400, [])
            return
        self._serve(exchange, forwarded)

    def _serve(self, exchange: Exchange, forwarded: ForwardedState | None) -> None:
        call = self._admission.read_call(exchange)
        if isinstance(call, Refusal):
            send_refusal(exchange, call, None)
            return
        if forwarded is not None:
            call = attrs.evolve(call, last_event_id=forwarded.last_event_id, forwarded=forwarded)
        self._admit(exchange, call)

    def _admit(self, exchange: Exchange, call: Call) -> None:
        decision = self._admission.admit(exchange, call)
        if isinstance(decision, AdmittedRequest):
            self._forward(exchange, decision)
        elif decision.status in (401, 404):
            self._denials.recheck(exchange, call)
        else:
            send_refusal(exchange, decision, call)

    def _forward(self, exchange: Exchange, admitted: AdmittedRequest) -> None:
        forwarded = admitted.call.forwarded
        if forwarded is not None and forwarded.service in _services_of(admitted):
            admitted = attrs.evolve(admitted, service=forwarded.service)

        def on_resolved(resolved: AdmittedRequest | None) -> None:
            if exchange.is_over:
                return
            if resolved is None:
                retry_after_s = random.uniform(*UNKNOWN_ORIGIN_RETRY_S)
                refusal = Refusal(503, "origin_unknown", retry_after_s)
                send_refusal(exchange, refusal, admitted.call)
                return
            self._start(exchange, resolved)

        self._resumption.resolve(admitted, on_resolved)

    def _start(self, exchange: Exchange, admitted: AdmittedRequest) -> None:
        received_at = exchange.request.received_at
        if self.stop is not None and not self.stop.may_accept(admitted, received_at):
            send_refusal(exchange, Refusal(503, "stopping"), admitted.call)
            return
        if admitted.call.forwarded is None:
            # The router that received a forwarded request has counted it.
            budget = self._services.retry_budget(admitted.service)
            budget.record_request(self._services.loop.now())
        forwarder = RequestForwarder(self._services, exchange, admitted, self.forwarders.discard)
        self.forwarders.add(forwarder)
        forwarder.start()

    def run_maintenance(self, now: float) -> None:
        """Move requests off runners that can no longer serve them."""
        for forwarder in list(self.forwarders):
            call_safely("move_requests", move_off_runners, self._services, forwarder, now)


def _services_of(admitted: AdmittedRequest) -> list[str]:
    return [part.service for part in admitted.route.split]

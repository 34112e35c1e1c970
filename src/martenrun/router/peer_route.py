"""Forwards requests through other routers while this one cannot reach a service's runners."""

import random

from martenrun.net.http import HttpRequest
from martenrun.router.attempt import AttemptListener
from martenrun.router.forwarded_request import ForwardedState, forwarded_head
from martenrun.router.messages import AdmittedRequest
from martenrun.router.peer_attempt import PeerAttempt
from martenrun.router.request_services import RequestServices

MAXIMUM_PEERS = 3
"""Maximum number of other routers that one request is sent to."""

MINIMUM_REFUSAL_DELAY_S = 0.3
MAXIMUM_REFUSAL_DELAY_S = 1.2
"""Range of the random delay after which a refused caller should retry, in seconds.

Spreads the callers of all routers that have lost the runners at the same time.
"""


class PeerRoute:
    """The way of one request through other routers; forwarded ones are not forwarded again."""

    def __init__(
        self, services: RequestServices, request: HttpRequest, admitted: AdmittedRequest
    ) -> None:
        self._services = services
        self._request = request
        self._admitted = admitted
        self._may_forward = admitted.call.forwarded is None
        self._tried: set[str] = set()

    def has_lost_all_runners(self) -> bool:
        """Return whether connections to every runner of the service have failed lately."""
        now = self._services.loop.now()
        return self._services.reachability.has_lost_all(self._admitted.service, now)

    def next_peer(self, keeps_software: bool = False) -> str | None:
        """Return the router to forward the request to, or None if there is none or no need.

        Args:
            keeps_software: whether the router must keep the stream at its software version.
        """
        if not self._may_forward or len(self._tried) >= MAXIMUM_PEERS:
            return None
        service, now = self._admitted.service, self._services.loop.now()
        if not self._services.reachability.is_unreachable(service, now):
            return None
        peers = self._services.peers_reaching(service)
        if keeps_software:
            peers = [peer for peer in peers if self._services.peer_keeps_software(peer)]
        return next((peer for peer in peers if peer not in self._tried), None)

    def send(
        self,
        peer: str,
        listener: AttemptListener,
        runs: int,
        last_event_id: int,
        software: str | None = None,
    ) -> PeerAttempt:
        """Forward the request to another router.

        Args:
            runs: number of runners that may have executed the request.
            last_event_id: id of the last event that the caller has received.
            software: software version that wrote the events so far; None if there are none.
        """
        self._tried.add(peer)
        if software is None:
            self._services.record_forwarded(self._admitted)
        elapsed_s = self._services.loop.now() - self._request.received_at
        elapsed_ms = max(0, round(elapsed_s * 1000))
        service = self._admitted.service
        state = ForwardedState(elapsed_ms, runs, last_event_id, software, service)
        attempt = PeerAttempt(self._services, self._admitted, listener, peer)
        attempt.send(forwarded_head(self._request, state), self._request.body)
        return attempt

    @staticmethod
    def refusal_delay_s() -> float:
        """Return after which time a refused caller should retry, in seconds."""
        return random.uniform(MINIMUM_REFUSAL_DELAY_S, MAXIMUM_REFUSAL_DELAY_S)

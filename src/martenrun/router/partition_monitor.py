"""Handles partitions of this router from runners that other routers still reach.

While the runners of a service are unreachable, requests for it are forwarded through other routers.
A router that reaches no runners at all also leaves the directory and has callers reconnect
elsewhere.  Probes of the runners show when the partition has ended.
"""

import random
from collections.abc import Callable

from martenrun.net.http import HttpResponse
from martenrun.net.periodic import call_safely
from martenrun.net.server import Server
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import HttpCall
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.peers import Peers
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_responses import record_control_response
from martenrun.router.runner_state import UNRESPONSIVE_AFTER_S, RunnerState

PROBE_INTERVAL_S = 0.5
"""Minimum time between the probes of one service, in seconds."""

PROBE_TIMEOUT_S = 0.5
"""Timeout of a probe, in seconds."""

PROBE_JITTER_SHARE = 1.0
"""Maximum random extension of that time as a share of it.

It spreads the probes of all routers over a service whose runners return.
"""

PROBED_RUNNERS = 2
"""Number of runners that are probed at a time, until the service is known to be unreachable."""


class PartitionMonitor:
    """Detects partitions from runners and tells callers and other routers about them.

    Args:
        front: the server of this router's callers.
        probe: sends a request to an address and passes on the response, or None on failure.
    """

    def __init__(
        self,
        services: RequestServices,
        peers: Peers,
        front: Server,
        probe: Callable[[str, HttpCall, Callable[[HttpResponse | None], None]], None],
    ) -> None:
        self._services = services
        self._peers = peers
        self._front = front
        self._probe = probe
        self._next_probe_at: dict[str, float] = {}
        self._unreachable: list[str] = []
        self._is_cut_off = False
        services.peers_reaching = self._peers_reaching
        services.peer_keeps_software = self._keeps_software

    def update_record(self, own: RouterRecord) -> None:
        """Set what other routers need to know about this router's reach."""
        own.unreachable_services = list(self._unreachable)
        own.is_cut_off = self._is_cut_off
        own.accepts_forwarded = True

    def run_maintenance(self, now: float) -> None:
        """Probe runners that may be unreachable, and publish changes."""
        reachability = self._services.reachability
        for service in self._services.pool.services():
            if reachability.is_unreachable(service, now) or self._is_silent(service, now):
                call_safely("probe_service", self._probe_service, service, now)
        self._publish(reachability.unreachable_services(now), reachability.is_cut_off(now))

    def _publish(self, unreachable: list[str], is_cut_off: bool) -> None:
        if is_cut_off != self._is_cut_off:
            log = log_warning if is_cut_off else log_event
            log("cut_off_from_runners" if is_cut_off else "runners_regained")
        self._front.sheds_connections = is_cut_off and self._has_better_peer()
        if (unreachable, is_cut_off) != (self._unreachable, self._is_cut_off):
            self._unreachable, self._is_cut_off = unreachable, is_cut_off
            self._peers.schedule_record_broadcast()

    def _has_better_peer(self) -> bool:
        return any(not (peer.is_cut_off or peer.is_leaving) for peer in self._peers.live())

    def _peers_reaching(self, service: str) -> list[str]:
        """Return the routers that may reach a service's runners: those of the own zone first."""
        records = [
            record
            for record in self._peers.live()
            if record.accepts_forwarded
            and record.is_current
            and not record.is_leaving
            and service not in record.unreachable_services
        ]
        random.shuffle(records)
        records.sort(key=lambda record: record.zone != self._peers.own.zone)
        return [record.address for record in records]

    def _keeps_software(self, address: str) -> bool:
        return any(
            record.keeps_stream_software
            for record in self._peers.live()
            if record.address == address
        )

    def _is_silent(self, service: str, now: float) -> bool:
        """Return whether requests wait at a service's runners and none has sent data lately."""
        states = self._services.pool.states(service)
        return any(state.is_unresponsive(now) for state in states) and not any(
            now - state.last_data_at <= UNRESPONSIVE_AFTER_S for state in states
        )

    def _probe_service(self, service: str, now: float) -> None:
        if now < self._next_probe_at.get(service, 0.0):
            return
        jitter = random.uniform(1.0, 1.0 + PROBE_JITTER_SHARE)
        self._next_probe_at[service] = now + PROBE_INTERVAL_S * jitter
        staying = [state for state in self._services.pool.states(service) if not state.is_draining]
        states = [state for state in staying if not state.is_backing_off(now)] or staying
        count = 1 if service in self._unreachable else PROBED_RUNNERS
        for state in random.sample(states, min(count, len(states))):
            self._probe_runner(service, state, now)

    def _probe_runner(self, service: str, state: RunnerState, sent_at: float) -> None:
        def on_response(response: HttpResponse | None) -> None:
            record_control_response(self._services, state, response)
            now = self._services.loop.now()
            reachability = self._services.reachability
            if response is not None:
                reachability.record_response(service, sent_at, now)
            elif now - sent_at < 2 * PROBE_TIMEOUT_S:
                # A timeout that fires later was delayed by a suspension of this process.
                reachability.record_failure(service, state.runner.instance, now)
            self._publish(reachability.unreachable_services(now), reachability.is_cut_off(now))

        self._probe(state.runner.address, self._services.adapter.report_request(), on_response)

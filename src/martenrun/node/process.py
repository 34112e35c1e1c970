"""The node process: wiring of decision logic and drivers."""

import random
import secrets
import threading
from collections.abc import Iterable, Sequence
from typing import Any

from absl import logging
from urllib3.exceptions import HTTPError

from martenrun.admin.application import ADMIN_PREFIX, AdminApplication
from martenrun.admin.status import StatusPort
from martenrun.configuration.driver import WatchWorker
from martenrun.edge.application import CallerApplication
from martenrun.edge.drain import wait_while
from martenrun.edge.forward import EdgePort
from martenrun.edge.server import HttpServer
from martenrun.events import (
    CacheEventsRead,
    Finish,
    LeaveRequested,
    MachinesListed,
    PeerMessage,
    RunAttempt,
    RunnerDescribed,
    Send,
    SendDatagram,
    SendOrder,
    StatusReady,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from martenrun.node.parts import node_parts
from martenrun.observability.admission import SharingCollector
from martenrun.orders.workers import OrderWorkers
from martenrun.platform.cache_events import CacheEventReader
from martenrun.platform.engine import EngineConnections
from martenrun.platform.engine_orders import EngineOrders
from martenrun.platform.machine_list import MachineList
from martenrun.platform.object_api import ObjectApi
from martenrun.platform.weight_store import WeightStore
from martenrun.process import (
    Clock,
    LoopActor,
    Poller,
    StoreWorkers,
    datagram_carrier,
    message_carrier,
)
from martenrun.settings.model import NodeSettings
from martenrun.sharing.policy_weights import PolicyStatus
from martenrun.wire.transport import PeerTransport

LEAVE_SPREAD_LIMIT_S = 3.0
"""Longest time that other nodes are given to learn of a planned stop, in seconds."""

LATE_QUESTIONS_S = 2.5
"""Time for which agents' late questions are refused; longer than agents' query interval."""

MACHINE_POLL_S = 1.0
RUNNER_POLL_S = 0.5
CACHE_EVENTS_POLL_S = 0.2


class NodeProcess:
    """Everything that runs in a node process."""

    def __init__(self, settings: NodeSettings) -> None:
        own_address = settings.peer_address
        self._store = ObjectApi(settings.object_api)
        self._machine_list = MachineList(settings.machine_list)
        self._engines = EngineConnections()
        self._cache_events = CacheEventReader(self._engines)
        self._parts = node_parts(settings, secrets.token_hex(8), random.Random())
        self._loop: Any = None
        self._store_workers = StoreWorkers(self._store, lambda event: self._loop.tell(event))
        self._order_workers = OrderWorkers(
            EngineOrders(self._engines), lambda event: self._loop.tell(event)
        )
        self._port = port = EdgePort(tell=lambda event: self._loop.tell(event))
        self._watch_worker = WatchWorker(self._store, lambda event: self._loop.tell(event))
        status_port = StatusPort(lambda event: self._loop.tell(event))
        self._transport = PeerTransport(
            own_address,
            settings.cluster_secret.encode(),
            lambda peer, message: self._loop.tell(PeerMessage(peer, message)),
        )
        self._transport.listen(own_address)
        self._loop = LoopActor.start(
            self._parts.in_order(),
            {
                Send: message_carrier(self._transport, lambda event: self._loop.tell(event)),
                SendDatagram: datagram_carrier(self._transport),
                RunAttempt: port.deliver,
                Finish: port.deliver,
                StoreWrite: self._store_workers.carry,
                StoreRead: self._store_workers.carry,
                StoreWatch: self._watch_worker.carry,
                StatusReady: status_port.deliver,
                SendOrder: self._order_workers.carry,
            },
        )
        caller = CallerApplication(port, self._parts.view, settings)
        self._slots = caller.slots
        self._drain_timeout_s = settings.drain_timeout_s
        caller.add_metrics(SharingCollector(self._parts.limits.counts, self._policy_statuses))
        weights = WeightStore(settings.weight_store) if settings.weight_store else None
        admin = AdminApplication(
            self._store,
            self._parts.view,
            settings.bootstrap_key_sha256,
            lambda: status_port.status(self._parts.view(), self._policy_statuses()),
            weights,
        )
        application = NodeApplication(caller, admin)
        self._server = HttpServer(
            application, settings.http_address, settings.max_streams + settings.http_threads
        )
        self._clock = Clock(self._loop.tell)
        self._pollers = [
            Poller("machine-list", self._list_machines, MACHINE_POLL_S),
            Poller("runners", self._describe_runners, RUNNER_POLL_S),
            Poller("cache-events", self._read_cache_events, CACHE_EVENTS_POLL_S),
        ]

    def start(self) -> None:
        """Start every driver."""
        self._transport.start()
        self._clock.start()
        self._port.watch.start()
        for poller in self._pollers:
            poller.start()
        self._server.start()

    def drain(self, hurry: threading.Event) -> None:
        """Leave: tell the others first, refuse new work, let the front's streams end.

        Late questions of agents that do not know yet are refused as not run, so that they
        ask another node.
        """
        self._loop.tell(LeaveRequested())
        self._slots.close()
        membership = self._parts.membership
        wait_while(lambda: not membership.leave_is_spread, LEAVE_SPREAD_LIMIT_S, hurry)
        if not wait_while(lambda: self._slots.taken > 0, self._drain_timeout_s, hurry):
            logging.warning("%d streams are cut by the stop", self._slots.taken)
        if not membership.is_alone:
            hurry.wait(LATE_QUESTIONS_S)

    def stop(self) -> None:
        """Stop every driver and the loop."""
        self._server.stop()
        for poller in self._pollers:
            poller.stop()
        self._clock.stop()
        self._port.watch.stop()
        self._transport.stop()
        self._store_workers.stop()
        self._order_workers.stop()
        self._loop.stop()

    def _policy_statuses(self) -> Sequence[PolicyStatus]:
        return self._parts.sharing.statuses

    def _list_machines(self) -> None:
        if self._parts.machine_feed.must_poll():
            self._loop.tell(MachinesListed(self._machine_list.machines()))

    def _describe_runners(self) -> None:
        owned = list(self._parts.ownership.owner.owned)
        for name in {*owned, *self._parts.rolls.watched}:
            runner = self._parts.runners.runners.get(name)
            if runner is None:
                continue
            try:
                description = self._engines.describe(runner.address)
            except HTTPError:
                description = None
            self._loop.tell(RunnerDescribed(runner.name, description))

    def _read_cache_events(self) -> None:
        for name in list(self._parts.ownership.owner.owned):
            runner = self._parts.runners.runners.get(name)
            if runner is None:
                continue
            try:
                events = self._cache_events.read(runner.name, runner.address)
            except HTTPError:
                continue
            if events is not None:
                self._loop.tell(CacheEventsRead(runner.name, events))


class NodeApplication:
    """Serves the caller's API and the administration API on one address."""

    def __init__(self, caller: CallerApplication, admin: AdminApplication) -> None:
        self._caller = caller
        self._admin = admin

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        is_admin = str(environ.get("PATH_INFO", "")).startswith(ADMIN_PREFIX)
        application = self._admin if is_admin else self._caller
        return application(environ, start_response)

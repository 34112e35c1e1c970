"""The node process: wiring of decision logic and drivers."""

import random
from collections.abc import Iterable
from typing import Any

from urllib3.exceptions import HTTPError

from martenrun.admin.application import ADMIN_PREFIX, AdminApplication
from martenrun.agent.requests import RequestsLogic
from martenrun.edge.application import CallerApplication
from martenrun.edge.forward import EdgePort
from martenrun.edge.server import HttpServer
from martenrun.events import (
    Finish,
    MachinesListed,
    PeerMessage,
    RunAttempt,
    RunnerDescribed,
    Send,
    SendDatagram,
    StoreChanges,
    StoreRead,
    StoreWrite,
)
from martenrun.membership.gossip import GossipMembership
from martenrun.membership.view import Member
from martenrun.node.configuration import NodeConfigurationLogic
from martenrun.node.routing import RoutingLogic
from martenrun.node.runners import RunnerTable
from martenrun.platform.engine import EngineConnections
from martenrun.platform.machine_list import MachineList
from martenrun.platform.object_api import ObjectApi
from martenrun.process import (
    Clock,
    LoopActor,
    Poller,
    StoreWorkers,
    datagram_carrier,
    message_carrier,
)
from martenrun.routing.baselines import ConsistentHashPolicy
from martenrun.settings.model import NodeSettings
from martenrun.wire.transport import PeerTransport

WATCH_WAIT_S = 5.0
MACHINE_POLL_S = 0.5
RUNNER_POLL_S = 0.5


class NodeProcess:
    """Everything that runs in a node process."""

    def __init__(self, settings: NodeSettings) -> None:
        own_address = settings.peer_address
        self._store = ObjectApi(settings.object_api)
        self._machine_list = MachineList(settings.machine_list)
        self._engines = EngineConnections()
        self._configuration = NodeConfigurationLogic(own_address, list(settings.seed_nodes))
        self._membership = GossipMembership(
            Member(own_address, settings.zone, settings.region),
            settings.seed_nodes,
            settings.membership,
            random.Random(),
        )
        self._runners = RunnerTable()
        routing = RoutingLogic(self._runners, ConsistentHashPolicy(), self._view)
        requests = RequestsLogic(lambda: [own_address])
        self._loop: Any = None
        self._store_workers = StoreWorkers(self._store, lambda event: self._loop.tell(event))
        port = EdgePort(tell=lambda event: self._loop.tell(event))
        self._transport = PeerTransport(
            own_address,
            settings.cluster_secret.encode(),
            lambda peer, message: self._loop.tell(PeerMessage(peer, message)),
        )
        self._transport.listen(own_address)
        self._loop = LoopActor.start(
            [self._membership, self._configuration, self._runners, routing, requests],
            {
                Send: message_carrier(self._transport, lambda event: self._loop.tell(event)),
                SendDatagram: datagram_carrier(self._transport),
                RunAttempt: port.deliver,
                Finish: port.deliver,
                StoreWrite: self._store_workers.carry,
                StoreRead: self._store_workers.carry,
            },
        )
        caller = CallerApplication(port, self._view, settings.zone)
        admin = AdminApplication(self._store, self._view, settings.bootstrap_key_sha256)
        application = NodeApplication(caller, admin)
        self._server = HttpServer(application, settings.http_address, settings.http_threads)
        self._clock = Clock(self._loop.tell)
        self._pollers = [
            Poller("store-watch", self._watch_store, pause_s=0.0),
            Poller("machine-list", self._list_machines, MACHINE_POLL_S),
            Poller("runners", self._describe_runners, RUNNER_POLL_S),
        ]

    def start(self) -> None:
        """Start every driver."""
        self._transport.start()
        self._clock.start()
        for poller in self._pollers:
            poller.start()
        self._server.start()

    def stop(self) -> None:
        """Stop every driver and the loop."""
        self._server.stop()
        for poller in self._pollers:
            poller.stop()
        self._clock.stop()
        self._transport.stop()
        self._store_workers.stop()
        self._loop.stop()

    def _view(self) -> Any:
        return self._configuration.state.view

    def _watch_store(self) -> None:
        known = self._configuration.state.revision
        update = self._store.changes(known, WATCH_WAIT_S)
        if update.to_revision > known:
            self._loop.tell(StoreChanges(update))

    def _list_machines(self) -> None:
        self._loop.tell(MachinesListed(self._machine_list.machines()))

    def _describe_runners(self) -> None:
        for runner in list(self._runners.runners.values()):
            try:
                description = self._engines.describe(runner.address)
            except HTTPError:
                description = None
            self._loop.tell(RunnerDescribed(runner.name, description))


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
